#ifndef IBISGATE_NET_PLATFORM_H
#define IBISGATE_NET_PLATFORM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"

/**
 * enum platform_error - codes of layer ERROR_PLATFORM
 * @PLATFORM_UNAVAILABLE: provably not applied (no connection, or refused with 429 or 503)
 * @PLATFORM_DOUBTFUL: sent, no reply; a write may have been applied
 * @PLATFORM_CONFLICT: a version did not match
 * @PLATFORM_NOT_FOUND: no such row or object
 * @PLATFORM_PROTOCOL: the reply was not understood; treated like DOUBTFUL for writes
 */
enum platform_error {
	PLATFORM_OK,
	PLATFORM_UNAVAILABLE,
	PLATFORM_DOUBTFUL,
	PLATFORM_CONFLICT,
	PLATFORM_NOT_FOUND,
	PLATFORM_PROTOCOL,
};

/**
 * struct platform - client of the platform's table, object store and list
 *
 * Thread-safe: calls block the calling thread up to their timeout on a pooled libcurl handle.
 * Never call with a lock held.
 */
struct platform;

struct platform *platform_create(const char *url, int64_t timeout_ms);
void platform_destroy(struct platform *p);

/** platform_since_ms - since when (boot clock) the platform has not answered; 0 while it does */
int64_t platform_down_since_ms(const struct platform *p);

/**
 * struct table_row - one row
 * @value: owned reference; release with table_row_clear()
 */
struct table_row {
	char key[256];
	int64_t version;
	json_t *value;
};

void table_row_clear(struct table_row *row);

#define TABLE_ANY_VERSION (-1)
#define TABLE_MUST_NOT_EXIST 0

int platform_get(struct platform *p, const char *key, struct table_row *out, struct error *err);

/**
 * platform_put - write one row if its version is @if_version
 * @version: out: new version
 *
 * Return: 0, or -1 with PLATFORM_CONFLICT and, if @current is not NULL, the row that is there.
 */
int platform_put(struct platform *p, const char *key, const json_t *value, int64_t if_version,
		 int64_t *version, struct table_row *current, struct error *err);
int platform_delete(struct platform *p, const char *key, int64_t if_version, struct error *err);

/** platform_scan - rows with a prefix, in key order, after @after (may be ""); caller frees */
int platform_scan(struct platform *p, const char *prefix, const char *after, int limit,
		  struct table_row **rows, int *count, bool *more, struct error *err);

enum table_op_kind {
	TABLE_OP_PUT,
	TABLE_OP_DELETE,
	TABLE_OP_CHECK,
};

struct table_op {
	enum table_op_kind kind;
	const char *key;
	const json_t *value;
	int64_t if_version;
};

/** platform_txn - all operations or none; @versions (may be NULL) gets one version per operation */
int platform_txn(struct platform *p, const struct table_op *ops, int count, int64_t *versions,
		 struct error *err);

int platform_object_get(struct platform *p, const char *key, struct buf *out, struct error *err);
int platform_object_put(struct platform *p, const char *key, struct str data, struct error *err);

#define PLATFORM_ETAG_MAX 96

/**
 * platform_list - the list of instances and endpoints as JSON
 * @etag: in: entity tag of the list that the caller holds, "" for none; out: that of the reply
 * @out: new reference; NULL when the list is still the one that @etag names
 *
 * A platform without entity tags answers with the whole list each time. @etag is kept on errors.
 */
int platform_list(struct platform *p, char etag[PLATFORM_ETAG_MAX], json_t **out,
		  struct error *err);

#endif
