#ifndef IBISGATE_NET_PLATFORM_H
#define IBISGATE_NET_PLATFORM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"

/**
 * enum platform_error - codes of layer ERROR_PLATFORM
 * @PLATFORM_UNAVAILABLE: certainly not applied: no connection, or rejected with status 429 or 503
 * @PLATFORM_OUTCOME_UNKNOWN: sent without a reply; a write may have been applied
 * @PLATFORM_CONFLICT: a row's version did not match
 * @PLATFORM_NOT_FOUND: the row or object does not exist
 * @PLATFORM_PROTOCOL: the reply was invalid; for a write, treat it like PLATFORM_OUTCOME_UNKNOWN
 */
enum platform_error {
	PLATFORM_OK,
	PLATFORM_UNAVAILABLE,
	PLATFORM_OUTCOME_UNKNOWN,
	PLATFORM_CONFLICT,
	PLATFORM_NOT_FOUND,
	PLATFORM_PROTOCOL,
};

/**
 * struct platform - client of the platform's table, object store and list
 *
 * Thread-safe. Calls use a pooled libcurl handle and block the calling thread for up to the
 * timeout, so never call with a lock held.
 */
struct platform;

struct platform *platform_create(const char *url, int64_t timeout_ms);
void platform_destroy(struct platform *p);

/** platform_down_since_ms - boot time since which the platform is unreachable; 0 if reachable */
int64_t platform_down_since_ms(const struct platform *p);

/**
 * struct table_row - row of the table
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
 * platform_put - write a row if its version is @if_version
 * @version: out: new version; may be NULL
 * @current: out: the existing row on PLATFORM_CONFLICT; may be NULL
 *
 * Return: 0, or -1 with @err set; PLATFORM_CONFLICT if the version did not match.
 */
int platform_put(struct platform *p, const char *key, const json_t *value, int64_t if_version,
		 int64_t *version, struct table_row *current, struct error *err);
int platform_delete(struct platform *p, const char *key, int64_t if_version, struct error *err);

/**
 * platform_scan - read rows whose key starts with @prefix, in key order
 * @after: return only keys after this one; may be ""
 * @limit: maximum number of rows
 * @rows: out: array of @count rows; the caller clears each row and frees the array
 * @more: out: true if there are further rows
 */
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

/**
 * platform_txn - apply all operations or none
 * @versions: out: one version per operation; may be NULL
 */
int platform_txn(struct platform *p, const struct table_op *ops, int count, int64_t *versions,
		 struct error *err);

int platform_object_get(struct platform *p, const char *key, struct buf *out, struct error *err);
int platform_object_put(struct platform *p, const char *key, struct str data, struct error *err);

#define PLATFORM_ETAG_MAX 96

/**
 * platform_list - get the list of instances and endpoints as JSON
 * @etag: in: entity tag of the list that the caller has, "" for none; out: entity tag of the reply
 * @out: out: new reference; NULL if the list still matches @etag
 *
 * A platform without entity tags returns the whole list each time. On errors @etag is unchanged.
 */
int platform_list(struct platform *p, char etag[PLATFORM_ETAG_MAX], json_t **out,
		  struct error *err);

#endif
