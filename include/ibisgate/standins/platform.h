#ifndef IBISGATE_STANDINS_PLATFORM_H
#define IBISGATE_STANDINS_PLATFORM_H

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/standins/common.h"

#define ROW_KEY_MAX 255

/**
 * struct row - one row of the sorted map
 * @value: JSON value of a table row, NULL for an object
 * @data: bytes of an object
 */
struct row {
	char *key;
	int64_t version;
	json_t *value;
	struct buf data;
};

/** struct row_map - array of rows sorted by key; a lookup is a binary search */
struct row_map {
	struct row **items;
	size_t count, cap;
};

/** row_map_lower_bound - index of the first row whose key is not less than @key */
size_t row_map_lower_bound(const struct row_map *rows, const char *key);
struct row *row_map_find(const struct row_map *rows, const char *key);

/** row_map_insert - find the row @key, or create it if it does not exist */
struct row *row_map_insert(struct row_map *rows, const char *key);
void row_map_remove(struct row_map *rows, const char *key);

/**
 * struct token_bucket - rate limit with a burst of a quarter of a second
 * @refilled_us: time of the last refill
 *
 * Guarded by the platform's lock.
 */
struct token_bucket {
	int64_t per_s;
	double tokens;
	int64_t refilled_us;
};

void token_bucket_init(struct token_bucket *bucket, int64_t per_s);

/** token_bucket_take - consume one token; Return: false when none is left */
bool token_bucket_take(struct token_bucket *bucket);

struct list_entry {
	char id[64];
	json_t *value;
	int64_t ttl_ms; /* 0: never expires */
	int64_t refreshed_us;
	struct list_entry *next;
};

/**
 * struct list_snapshot - state of the list from @created_us on
 * @number: identifies the state within one run of the stand-in
 */
struct list_snapshot {
	int64_t created_us;
	uint64_t number;
	json_t *value;
	struct list_snapshot *next;
};

/**
 * struct list - instances and endpoints, and the past states that readers see
 * @lag_ms: readers see the list as it was this long ago
 * @boot_nonce: random number that distinguishes the runs of the stand-in
 */
struct list {
	pthread_mutex_t lock;
	int64_t lag_ms;
	uint64_t boot_nonce;
	uint64_t next_number;
	struct list_entry *instances, *endpoints;
	struct list_snapshot *snapshots; /* newest first */
};

void list_init(struct list *l, int64_t lag_ms);
bool list_entry_set(struct list *l, bool instance, const json_t *entry);
bool list_entry_remove(struct list *l, bool instance, const char *id);

/** list_expire - remove entries that were not refreshed within their "ttl_ms" */
void list_expire(struct list *l);

/**
 * list_read - copy the list as readers see it now; the caller owns the copy
 * @etag: out: quoted entity tag of the copied state
 */
json_t *list_read(struct list *l, char *etag, size_t size);

/**
 * struct platform_faults - faults that a test injects
 * @down: close every connection without a response
 * @delay_ms: delay before a request is handled
 * @drop_reply_probability: share of the writes that are applied but get no response, 0 to 1
 * @drop_next_writes: number of the next writes that are applied but get no response
 */
struct platform_faults {
	bool down;
	int64_t delay_ms;
	double drop_reply_probability;
	int64_t drop_next_writes;
};

struct platform_stats {
	int64_t reads, writes, rejected, conflicts;
};

struct platform_state {
	pthread_mutex_t lock;
	struct row_map table, objects;
	int64_t version;
	struct token_bucket reads, writes;
	struct platform_faults faults;
	struct platform_stats stats;
	struct list list;
	atomic_bool stopping;
};

/**
 * struct table_change - one operation on the table
 * @if_version: version that the row must have; 0: the row must not exist, -1: any
 * @version: out: version after the change, or before it for a delete; on a conflict the current one
 */
struct table_change {
	enum table_change_kind {
		CHANGE_PUT,
		CHANGE_DELETE,
		CHANGE_CHECK,
	} kind;
	char key[ROW_KEY_MAX + 1];
	json_t *value; /* borrowed */
	int64_t if_version;
	int64_t version;
};

/**
 * table_apply - apply all changes or none; the caller holds the lock
 *
 * Return: -1 when applied, or the index of the first change whose version did not match.
 */
int table_apply(struct platform_state *p, struct table_change *changes, int count);

int table_request(struct platform_state *p, struct mg_connection *conn, struct str raw_key);
int table_scan(struct platform_state *p, struct mg_connection *conn);
int table_txn(struct platform_state *p, struct mg_connection *conn);
int object_request(struct platform_state *p, struct mg_connection *conn, struct str raw_key);

/**
 * platform_admit - apply the injected outage and delay and the rate limit to a request
 *
 * Return: 0 if the request is admitted, or the status that the handler must return.
 */
int platform_admit(struct platform_state *p, struct mg_connection *conn, bool write);

/** platform_write_reply - respond to a write, unless an injected fault drops the response */
int platform_write_reply(struct platform_state *p, struct mg_connection *conn, int status,
			 json_t *value);

#endif
