#ifndef IBISGATE_PLATFORM_STORE_H
#define IBISGATE_PLATFORM_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"
#include "ibisgate/net/http_message.h"
#include "ibisgate/state/directory.h"
#include "ibisgate/state/routing_table.h"

/*
 * Encoders and decoders for the platform's row store, and for the rows that other parties write.
 * Versions have the store's era in their upper bits, see state/store_era.h; the store itself has
 * only their number.
 */

/* Tables written by the platform's operator and by the endpoints. */
#define STORE_TABLE_OPERATOR "op"
#define STORE_TABLE_ENDPOINTS "servers"

/** enum store_error - error codes of layer ERROR_PLATFORM for the row store */
enum store_error {
	STORE_OK,
	STORE_BAD_RESPONSE,
	STORE_BAD_ROW,
};

/**
 * struct store_row - one row of a response
 * @value: decoded bytes; empty when the row has been deleted
 * @version: version of the transaction that wrote the row
 */
struct store_row {
	char key[256];
	struct buf value;
	int64_t version;
	bool deleted;
};

/**
 * struct store_rows - result of a read or of a change feed
 * @version: newest version that the response covers; the next feed request continues from here
 * @has_more: the read was truncated at the store's limit; continue after the last key
 */
struct store_rows {
	struct store_row *rows;
	int count;
	int64_t version;
	bool has_more;
};

/**
 * store_read_encode - append a read of a table's empty part
 * @after: last key already read, or "" to start from the beginning
 */
void store_read_encode(struct buf *out, const char *address, const char *table, const char *after);

/** store_feed_encode - append a long poll of up to @wait_ms for changes after @version */
void store_feed_encode(struct buf *out, const char *address, const char *table, int64_t version,
		       int wait_ms);

/** store_answer_era - era of an answer; 0 when it names none, -1 when that is malformed */
int64_t store_answer_era(const struct http_head *head);

/**
 * store_rows_decode - decode the rows of a read or feed response; free with store_rows_free()
 * @era: era of the answer
 *
 * Return: 0, or -1 with STORE_BAD_RESPONSE.
 */
int store_rows_decode(struct str body, int64_t era, struct store_rows *out, struct error *err);
void store_rows_free(struct store_rows *r);

/**
 * store_put_encode - append a conditional write of one row in a table's empty part
 * @version: version that the row must have; 0 means that the row must not exist
 */
void store_put_encode(struct buf *out, const char *address, const char *table, const char *key,
		      int64_t version, struct str value);

/** store_row_read_encode - append a read of one row of a table's empty part */
void store_row_read_encode(struct buf *out, const char *address, const char *table,
			   const char *key);

/**
 * store_put_decode - decode the version that a successful write gave its row
 * @era: era of the answer
 *
 * Return: 0, or -1 with STORE_BAD_RESPONSE.
 */
int store_put_decode(struct str body, int64_t era, int64_t *version, struct error *err);

/** store_row_is_config - whether the row holds the operator's configuration */
bool store_row_is_config(const struct store_row *row);

/** store_config_decode - decode one version of the configuration; NULL with STORE_BAD_ROW */
struct routing_table *store_config_decode(struct str value, struct error *err);

/**
 * store_endpoint_check - whether requests can be addressed to the endpoint; its id and address are
 * printed into their heads
 *
 * Return: 0, or -1 with STORE_BAD_ROW.
 */
int store_endpoint_check(const struct endpoint_entry *e, struct error *err);

/**
 * store_endpoint_decode - decode an endpoint's entry
 *
 * Return: 0, or -1 with STORE_BAD_ROW when the entry describes no usable endpoint.
 */
int store_endpoint_decode(const struct store_row *row, struct endpoint_entry *out,
			  struct error *err);

#endif
