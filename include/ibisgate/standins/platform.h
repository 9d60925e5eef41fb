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
 * struct row - one row of the ordered map
 * @value: JSON value of a table row, or NULL
 * @data: bytes of an object
 */
struct row {
	char *key;
	int64_t version;
	json_t *value;
	struct buf data;
};

/** struct rows - map sorted by key; lookups are binary searches */
struct rows {
	struct row **items;
	size_t count, cap;
};

/** rows_seek - index of the first row with a key not below @key */
size_t rows_seek(const struct rows *rows, const char *key);
struct row *rows_find(const struct rows *rows, const char *key);

/** rows_insert - row @key, created when absent */
struct row *rows_insert(struct rows *rows, const char *key);
void rows_remove(struct rows *rows, const char *key);

/** struct rate - token bucket of a quarter of a second; guarded by the platform's lock */
struct rate {
	int64_t per_s;
	double tokens;
	int64_t at_us;
};

void rate_init(struct rate *r, int64_t per_s);
bool rate_take(struct rate *r);

struct list_entry {
	char id[64];
	json_t *value;
	int64_t ttl_ms; /* 0: does not expire */
	int64_t refreshed_us;
	struct list_entry *next;
};

/** struct list_snapshot - past state; @number names it within this run of the stand-in */
struct list_snapshot {
	int64_t at_us;
	uint64_t number;
	json_t *value;
	struct list_snapshot *next;
};

/** struct list - instances and endpoints, and the past states that readers see */
struct list {
	pthread_mutex_t lock;
	int64_t lag_ms;
	uint64_t boot;
	uint64_t next_number;
	struct list_entry *instances, *endpoints;
	struct list_snapshot *snapshots; /* newest first */
};

void list_init(struct list *l, int64_t lag_ms);
bool list_set(struct list *l, bool instance, const json_t *entry);
bool list_remove(struct list *l, bool instance, const char *id);

/** list_expire - drop entries that were not refreshed within their "ttl_ms" */
void list_expire(struct list *l);

/**
 * list_read - new reference to the list as readers see it now
 * @etag: out: entity tag of that state, quoted
 */
json_t *list_read(struct list *l, char *etag, size_t size);

struct platform_faults {
	bool down;
	int64_t delay_ms;
	double drop_reply;
	int64_t drop_next_writes;
};

struct platform_stats {
	int64_t reads, writes, rejected, conflicts;
};

struct platform_state {
	pthread_mutex_t lock;
	struct rows table, objects;
	int64_t version;
	struct rate reads, writes;
	struct platform_faults faults;
	struct platform_stats stats;
	struct list list;
	atomic_bool stopping;
};

/**
 * struct table_change - one operation on the table
 * @if_version: -1 any, 0 must not exist
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
	int64_t version; /* out */
};

/**
 * table_apply - all changes or none; the caller holds the lock
 *
 * Return: -1 when applied, or the index of the change whose version did not match.
 */
int table_apply(struct platform_state *p, struct table_change *changes, int count);

int table_request(struct platform_state *p, struct mg_connection *conn, struct str raw_key);
int table_scan(struct platform_state *p, struct mg_connection *conn);
int table_txn(struct platform_state *p, struct mg_connection *conn);
int object_request(struct platform_state *p, struct mg_connection *conn, struct str raw_key);

/**
 * platform_admit - outage, delay and rate limit in front of a request
 *
 * Return: 0 to go on, or the status that the handler returns.
 */
int platform_admit(struct platform_state *p, struct mg_connection *conn, bool write);

/** platform_write_reply - answer a write unless a fault swallows the answer */
int platform_write_reply(struct platform_state *p, struct mg_connection *conn, int status,
			 json_t *value);

#endif
