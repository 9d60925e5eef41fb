#ifndef IBISGATE_PLATFORM_STORE_H
#define IBISGATE_PLATFORM_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"
#include "ibisgate/state/directory.h"
#include "ibisgate/state/routing_table.h"

/* Requests and responses of the platform's store, and the rows that others write there. */

/* Tables that the platform and the endpoints write. */
#define STORE_TABLE_OPERATOR "op"
#define STORE_TABLE_ENDPOINTS "servers"

/** enum store_error - codes of layer ERROR_PLATFORM for this store */
enum store_error {
	STORE_OK,
	STORE_BAD_RESPONSE,
	STORE_BAD_ROW,
};

/**
 * struct store_row - one row of a response
 * @value: decoded bytes; empty when the row was deleted
 * @version: of the transaction that wrote it
 */
struct store_row {
	char key[256];
	struct buf value;
	int64_t version;
	bool deleted;
};

/**
 * struct store_rows - rows of a read or of a change feed
 * @version: newest version that the response covers; a feed goes on from here
 * @more: the read was cut at the store's limit; go on after the last key
 */
struct store_rows {
	struct store_row *rows;
	int count;
	int64_t version;
	bool more;
};

/** store_read_request - append a read of a table's empty part; @after: last key read, or "" */
void store_read_request(struct buf *out, const char *address, const char *table, const char *after);

/** store_feed_request - append a wait of up to @wait_ms for changes after @version */
void store_feed_request(struct buf *out, const char *address, const char *table, int64_t version,
			int wait_ms);

/** store_rows_decode - rows of either response; -1 with STORE_BAD_RESPONSE */
int store_rows_decode(struct str body, struct store_rows *out, struct error *err);
void store_rows_free(struct store_rows *r);

/**
 * store_put_request - append a write of one row of a table's empty part under a condition
 * @version: that the row must have; 0 means that it must not exist
 */
void store_put_request(struct buf *out, const char *address, const char *table, const char *key,
		       int64_t version, struct str value);

/** store_row_request - append a read of one row of a table's empty part */
void store_row_request(struct buf *out, const char *address, const char *table, const char *key);

/** store_put_decode - version that a successful write gave its row; -1 with STORE_BAD_RESPONSE */
int store_put_decode(struct str body, int64_t *version, struct error *err);

/** store_row_is_config - whether the row holds the operator's configuration */
bool store_row_is_config(const struct store_row *row);

/** store_config_decode - configuration of one version; NULL with STORE_BAD_ROW */
struct routing_table *store_config_decode(struct str value, struct error *err);

/** store_endpoint_decode - an endpoint's entry; -1 with STORE_BAD_ROW when it names none to use */
int store_endpoint_decode(const struct store_row *row, struct endpoint_entry *out,
			  struct error *err);

#endif
