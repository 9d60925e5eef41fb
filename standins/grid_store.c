#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/standins/grid.h"

#define BODY_MAX_BYTES (1 << 20)
#define WAIT_MAX_MS 30000

static struct grid_row *row_find(struct grid *g, const char *table, const char *key)
{
	for (int i = 0; i < g->row_count; i++) {
		if (strcmp(g->rows[i].table, table) == 0 && strcmp(g->rows[i].key, key) == 0)
			return &g->rows[i];
	}
	return NULL;
}

bool grid_row_put(struct grid *g, const char *table, const char *key, const char *value)
{
	struct grid_row *r = row_find(g, table, key);

	if (!r && g->row_count == GRID_ROWS_MAX)
		return false;
	if (!r) {
		r = &g->rows[g->row_count++];
		str_copy(r->table, sizeof(r->table), str_from(table));
		str_copy(r->key, sizeof(r->key), str_from(key));
	}
	free(r->value);
	r->value = value ? mem_strdup(value) : NULL;
	r->deleted = !value;
	r->version = ++g->version;
	grid_write_record(g, r);
	pthread_cond_broadcast(&g->rows_changed);
	return true;
}

static json_t *row_json(const struct grid_row *r)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:I}", "table", r->table, "part", "", "key", r->key,
			      "schemaVersion", (json_int_t)r->version);
	size_t len, size;
	char *text;

	if (r->deleted) {
		json_object_set_new(o, "deleted", json_true());
		return o;
	}
	len = strlen(r->value);
	size = sodium_base64_ENCODED_LEN(len, sodium_base64_VARIANT_ORIGINAL);
	text = mem_alloc(size);
	sodium_bin2base64(text, size, (const unsigned char *)r->value, len,
			  sodium_base64_VARIANT_ORIGINAL);
	json_object_set_new(o, "value", json_string(text));
	free(text);
	return o;
}

static int row_key_compare(const void *a, const void *b)
{
	const struct grid_row *const *x = a;
	const struct grid_row *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static json_t *rows_reply(struct grid *g, json_t *rows)
{
	return json_pack("{s:o,s:b,s:I,s:I}", "rows", rows, "hasMore", 0, "schemaVersion",
			 (json_int_t)g->version, "nowMs", (json_int_t)(mono_now_us() / 1000));
}

static int handle_get(struct grid *g, struct mg_connection *conn)
{
	struct grid_row *found[GRID_ROWS_MAX];
	json_t *rows = json_array();
	char era[GRID_ERA_FIELD_MAX];
	char table[64], source[128] = "";
	int64_t limit = http_query_i64(conn, "limit", 500);
	json_t *out;
	int count = 0;

	http_query(conn, "table", table, sizeof(table));
	http_query(conn, "source", source, sizeof(source));
	pthread_mutex_lock(&g->lock);
	for (int i = 0; i < g->row_count; i++) {
		struct grid_row *r = &g->rows[i];

		if (!r->deleted && strcmp(r->table, table) == 0 && strcmp(r->key, source) >= 0)
			found[count++] = r;
	}
	qsort(found, (size_t)count, sizeof(void *), row_key_compare);
	for (int i = 0; i < count && i < limit; i++)
		json_array_append_new(rows, row_json(found[i]));
	out = rows_reply(g, rows);
	grid_era_field(g, era);
	pthread_mutex_unlock(&g->lock);
	return http_reply_with_fields(conn, 200, out, era);
}

static int changes_collect(struct grid *g, const char *table, int64_t after, json_t *rows)
{
	int count = 0;

	for (int i = 0; i < g->row_count; i++) {
		struct grid_row *r = &g->rows[i];

		if (r->version <= after || strcmp(r->table, table) != 0)
			continue;
		json_array_append_new(rows, row_json(r));
		count++;
	}
	return count;
}

static int handle_feed(struct grid *g, struct mg_connection *conn)
{
	int64_t after = http_query_i64(conn, "after", 0);
	int64_t wait_ms = http_query_i64(conn, "waitMs", 0);
	struct timespec deadline;
	json_t *rows = json_array();
	char era[GRID_ERA_FIELD_MAX];
	char table[64];
	int64_t asked_era;
	json_t *out;
	bool is_up;

	http_query(conn, "table", table, sizeof(table));
	deadline = mono_timespec(mono_now_us() +
				 (wait_ms < WAIT_MAX_MS ? wait_ms : WAIT_MAX_MS) * 1000);
	pthread_mutex_lock(&g->lock);
	grid_era_field(g, era);
	if (after < g->oldest_version || (g->era && after > g->version)) {
		pthread_mutex_unlock(&g->lock);
		json_decref(rows);
		return http_reply_with_fields(conn, 410, json_object(), era);
	}
	asked_era = g->era;
	while (g->mode == GRID_STORE_UP && g->era == asked_era &&
	       !changes_collect(g, table, after, rows)) {
		if (pthread_cond_timedwait(&g->rows_changed, &g->lock, &deadline))
			break;
	}
	out = rows_reply(g, rows);
	is_up = g->mode == GRID_STORE_UP && g->era == asked_era;
	pthread_mutex_unlock(&g->lock);
	if (is_up)
		return http_reply_with_fields(conn, 200, out, era);
	json_decref(out);
	return http_abort(conn);
}

static bool condition_holds(const struct grid *g, const json_t *entry)
{
	const char *table = json_get_cstr(entry, "table", "");
	const char *key = json_get_cstr(entry, "key", "");
	int64_t expected_version = json_get_i64(entry, "schemaVersion", 0);

	for (int i = 0; i < g->row_count; i++) {
		const struct grid_row *r = &g->rows[i];

		if (strcmp(r->table, table) == 0 && strcmp(r->key, key) == 0)
			return (r->deleted ? 0 : r->version) == expected_version;
	}
	return expected_version == 0;
}

/* The value of a put; NULL when it isn't base64. */
static char *put_decode(const json_t *entry)
{
	struct str text = json_get_str(entry, "value");
	size_t size = text.len + 1;
	char *value = mem_zalloc(size);
	size_t used = 0;

	if (sodium_base642bin((unsigned char *)value, size - 1, text.data, text.len, NULL, &used,
			      NULL, sodium_base64_VARIANT_ORIGINAL) == 0)
		return value;
	free(value);
	return NULL;
}

/* Status for the puts of a transaction, none of which is applied unless all can be. */
static int puts_check(struct grid *g, const json_t *puts)
{
	int room = GRID_ROWS_MAX - g->row_count;
	json_t *entry;
	size_t i;

	json_array_foreach(puts, i, entry) {
		char *value = put_decode(entry);

		if (!value)
			return 400;
		free(value);
		if (!row_find(g, json_get_cstr(entry, "table", ""),
			      json_get_cstr(entry, "key", "")) &&
		    --room < 0)
			return 507;
	}
	return 200;
}

static void put_apply(struct grid *g, const json_t *entry)
{
	char *value = put_decode(entry);

	grid_row_put(g, json_get_cstr(entry, "table", ""), json_get_cstr(entry, "key", ""), value);
	free(value);
}

static int handle_tx(struct grid *g, struct mg_connection *conn)
{
	json_t *req = http_body_json(conn, BODY_MAX_BYTES);
	json_t *puts = json_object_get(req, "puts");
	char era[GRID_ERA_FIELD_MAX];
	json_t *out = NULL;
	json_t *entry;
	bool all_hold = true;
	int status = 200;
	size_t i;

	if (!req)
		return http_reply(conn, 400, json_object());
	pthread_mutex_lock(&g->lock);
	json_array_foreach(json_object_get(req, "precondition"), i, entry)
		all_hold = all_hold && condition_holds(g, entry);
	if (all_hold)
		status = puts_check(g, puts);
	if (all_hold && status == 200) {
		json_array_foreach(puts, i, entry)
			put_apply(g, entry);
		out = json_pack("{s:I}", "schemaVersion", (json_int_t)g->version);
	}
	grid_era_field(g, era);
	pthread_mutex_unlock(&g->lock);
	json_decref(req);
	if (!all_hold)
		return http_reply_with_fields(conn, 412, json_pack("{s:[]}", "rows"), era);
	return http_reply_with_fields(conn, status, out ? out : json_object(), era);
}

int grid_store_handle(struct mg_connection *conn, void *ctx)
{
	struct grid *g = ctx;
	char era[GRID_ERA_FIELD_MAX];
	enum grid_store_mode mode;

	pthread_mutex_lock(&g->lock);
	mode = g->mode;
	g->store_calls++;
	grid_era_field(g, era);
	pthread_mutex_unlock(&g->lock);
	if (mode == GRID_STORE_BUSY)
		return http_reply_with_fields(conn, 503, json_object(), era);
	if (mode == GRID_STORE_RESET)
		return http_abort(conn);
	if (http_request_matches(conn, "GET", "/rows-get"))
		return handle_get(g, conn);
	if (http_request_matches(conn, "GET", "/rows-feed"))
		return handle_feed(g, conn);
	if (http_request_matches(conn, "POST", "/rows-tx"))
		return handle_tx(g, conn);
	return http_reply(conn, 404, json_object());
}
