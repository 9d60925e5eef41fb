#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/net/http_call.h"
#include "ibisgate/net/platform.h"

struct platform {
	char url[160];
	int64_t timeout_ms;
	struct http_pool *pool;
	_Atomic int64_t down_since_ms;
};

struct platform *platform_create(const char *url, int64_t timeout_ms)
{
	struct platform *p = mem_zalloc(sizeof(*p));
	size_t len;

	str_copy(p->url, sizeof(p->url), str_from(url));
	len = strlen(p->url);
	if (len && p->url[len - 1] == '/')
		p->url[len - 1] = '\0';
	p->timeout_ms = timeout_ms;
	p->pool = http_pool_create();
	return p;
}

void platform_destroy(struct platform *p)
{
	if (!p)
		return;
	http_pool_destroy(p->pool);
	free(p);
}

int64_t platform_down_since_ms(const struct platform *p)
{
	return atomic_load(&p->down_since_ms);
}

void table_row_clear(struct table_row *row)
{
	json_decref(row->value);
	*row = (struct table_row){ 0 };
}

static void update_down_since(struct platform *p, bool is_reachable)
{
	int64_t expected = 0;

	if (is_reachable)
		atomic_store(&p->down_since_ms, 0);
	else
		atomic_compare_exchange_strong(&p->down_since_ms, &expected, clock_boot_ms());
}

static int call_fail(struct error *err, enum platform_error code, const struct http_call *call,
		     const char *reason)
{
	metric_add(METRIC_PLATFORM_ERRORS, 1);
	return error_set(err, ERROR_PLATFORM, code, "%s: %s", call->method, reason);
}

/*
 * Makes a call and maps its outcome to an error. Status 200, 412 and, for a conditional GET, 304
 * are left to the caller; all others are errors.
 */
static int platform_call(struct platform *p, struct http_call *call, struct error *err)
{
	bool is_read = strcmp(call->method, "GET") == 0;
	enum http_outcome outcome;

	metric_add(is_read ? METRIC_PLATFORM_READS : METRIC_PLATFORM_WRITES, 1);
	call->timeout_ms = p->timeout_ms;
	outcome = http_call(p->pool, call);
	update_down_since(p, outcome == HTTP_REPLIED && call->status != 503);
	if (outcome == HTTP_NOT_SENT)
		return call_fail(err, PLATFORM_UNAVAILABLE, call, "platform is unreachable");
	if (outcome == HTTP_NO_REPLY)
		return call_fail(err, PLATFORM_OUTCOME_UNKNOWN, call,
				 "request sent, but no reply received");
	switch (call->status) {
	case 200:
	case 412:
		return 0;
	case 304:
		if (is_read && call->extra_header)
			return 0;
		return call_fail(err, PLATFORM_PROTOCOL, call,
				 "status 304 to an unconditional request");
	case 404:
		return error_set(err, ERROR_PLATFORM, PLATFORM_NOT_FOUND, "not found");
	case 429:
	case 503:
		return call_fail(err, PLATFORM_UNAVAILABLE, call,
				 "temporarily rejected by the platform");
	default:
		return call_fail(err, PLATFORM_PROTOCOL, call, "unexpected status");
	}
}

/* Percent-encodes all bytes other than the unreserved ones of RFC 3986. */
static void append_encoded_key(struct buf *b, const char *key)
{
	for (; *key; key++) {
		unsigned char c = (unsigned char)*key;

		if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
		    strchr("-._~", c))
			buf_append(b, key, 1);
		else
			buf_printf(b, "%%%02X", c);
	}
}

static char *build_url(const struct platform *p, const char *path, const char *key)
{
	struct buf b = { 0 };

	buf_printf(&b, "%s%s", p->url, path);
	append_encoded_key(&b, key);
	return b.data;
}

static json_t *parse_reply_object(struct http_call *call, struct error *err)
{
	json_t *o = json_parse(buf_str(&call->reply));

	if (json_is_object(o))
		return o;
	json_decref(o);
	call_fail(err, PLATFORM_PROTOCOL, call, "reply is not a JSON object");
	return NULL;
}

static bool row_parse(struct table_row *row, const char *key, const json_t *o)
{
	json_t *value = json_object_get(o, "value");

	*row = (struct table_row){ .version = json_get_i64(o, "version", -1) };
	if (row->version < 0 || !str_copy(row->key, sizeof(row->key), str_from(key)))
		return false;
	row->value = json_incref(value);
	return true;
}

int platform_get(struct platform *p, const char *key, struct table_row *out, struct error *err)
{
	struct http_call call = { .method = "GET", .url = build_url(p, "/table/", key) };
	json_t *o = NULL;
	int rc = -1;

	*out = (struct table_row){ 0 };
	if (platform_call(p, &call, err))
		goto out;
	o = parse_reply_object(&call, err);
	if (!o)
		goto out;
	if (!row_parse(out, key, o) || !out->value) {
		table_row_clear(out);
		call_fail(err, PLATFORM_PROTOCOL, &call, "row has no version or value");
		goto out;
	}
	rc = 0;
out:
	json_decref(o);
	buf_free(&call.reply);
	free((char *)call.url);
	return rc;
}

static const char *condition_header(int64_t if_version, char *header, size_t size)
{
	if (if_version == TABLE_ANY_VERSION)
		return NULL;
	if (if_version == TABLE_MUST_NOT_EXIST)
		snprintf(header, size, "If-None-Match: *");
	else
		snprintf(header, size, "If-Match: %" PRId64, if_version);
	return header;
}

static int parse_put_reply(struct http_call *call, const char *key, int64_t *version,
			   struct table_row *current, struct error *err)
{
	json_t *o = parse_reply_object(call, err);
	int64_t v;

	if (!o)
		return -1;
	v = json_get_i64(o, "version", -1);
	if (call->status == 412) {
		if (current && !row_parse(current, key, o))
			*current = (struct table_row){ 0 };
		json_decref(o);
		return error_set(err, ERROR_PLATFORM, PLATFORM_CONFLICT,
				 "row is at version %" PRId64, v);
	}
	json_decref(o);
	if (v <= 0)
		return call_fail(err, PLATFORM_PROTOCOL, call, "reply to a write has no version");
	if (version)
		*version = v;
	return 0;
}

int platform_put(struct platform *p, const char *key, const json_t *value, int64_t if_version,
		 int64_t *version, struct table_row *current, struct error *err)
{
	struct http_call call = { .method = "PUT", .url = build_url(p, "/table/", key) };
	struct buf body = { 0 };
	char header[64];
	int rc;

	if (current)
		*current = (struct table_row){ 0 };
	json_append(&body, value);
	call.body = buf_str(&body);
	call.extra_header = condition_header(if_version, header, sizeof(header));
	rc = platform_call(p, &call, err);
	if (!rc)
		rc = parse_put_reply(&call, key, version, current, err);
	buf_free(&body);
	buf_free(&call.reply);
	free((char *)call.url);
	return rc;
}

int platform_delete(struct platform *p, const char *key, int64_t if_version, struct error *err)
{
	struct http_call call = { .method = "DELETE", .url = build_url(p, "/table/", key) };
	char header[64];
	int rc;

	call.extra_header = condition_header(if_version, header, sizeof(header));
	rc = platform_call(p, &call, err);
	if (!rc && call.status == 412)
		rc = error_set(err, ERROR_PLATFORM, PLATFORM_CONFLICT,
			       "row version does not match");
	buf_free(&call.reply);
	free((char *)call.url);
	return rc;
}

static int parse_scan_rows(struct http_call *call, const json_t *o, struct table_row **rows,
			   int *count, struct error *err)
{
	const json_t *list = json_object_get(o, "rows");
	size_t n = json_array_size(list);

	if (!json_is_array(list))
		return call_fail(err, PLATFORM_PROTOCOL, call, "reply has no array of rows");
	*rows = mem_zalloc(n * sizeof(**rows));
	for (size_t i = 0; i < n; i++) {
		const json_t *o_row = json_array_get(list, i);

		const char *key = json_get_cstr(o_row, "key", "");

		if (row_parse(&(*rows)[*count], key, o_row)) {
			(*count)++;
			continue;
		}
		metric_add(METRIC_TABLE_ROWS_SKIPPED, 1);
		log_warn("table-row-skipped", "key=%s", key);
	}
	return 0;
}

int platform_scan(struct platform *p, const char *prefix, const char *after, int limit,
		  struct table_row **rows, int *count, bool *more, struct error *err)
{
	struct http_call call = { .method = "GET" };
	struct buf url = { 0 };
	json_t *o = NULL;
	int rc = -1;

	*rows = NULL;
	*count = 0;
	*more = false;
	buf_printf(&url, "%s/table?prefix=", p->url);
	append_encoded_key(&url, prefix);
	buf_printf(&url, "&limit=%d&after=", limit);
	append_encoded_key(&url, after);
	call.url = url.data;
	if (platform_call(p, &call, err))
		goto out;
	o = parse_reply_object(&call, err);
	if (!o)
		goto out;
	*more = json_get_bool(o, "more", false);
	rc = parse_scan_rows(&call, o, rows, count, err);
out:
	json_decref(o);
	buf_free(&call.reply);
	buf_free(&url);
	return rc;
}

static json_t *op_to_json(const struct table_op *op)
{
	static const char *const op_names[] = { "put", "delete", "check" };
	json_t *o = json_object();

	json_object_set_new(o, "op", json_string(op_names[op->kind]));
	json_object_set_new(o, "key", json_string(op->key));
	if (op->kind == TABLE_OP_PUT)
		json_object_set(o, "value", (json_t *)op->value);
	if (op->if_version != TABLE_ANY_VERSION)
		json_object_set_new(o, "if_version", json_integer(op->if_version));
	return o;
}

static int parse_txn_reply(struct http_call *call, int count, int64_t *versions, struct error *err)
{
	json_t *o = parse_reply_object(call, err);
	json_t *list;

	if (!o)
		return -1;
	if (call->status == 412) {
		error_set(err, ERROR_PLATFORM, PLATFORM_CONFLICT,
			  "operation %" PRId64 " failed: row is at version %" PRId64,
			  json_get_i64(o, "failed", -1), json_get_i64(o, "version", -1));
		json_decref(o);
		return -1;
	}
	list = json_object_get(o, "versions");
	for (int i = 0; versions && i < count; i++)
		versions[i] = json_integer_value(json_array_get(list, (size_t)i));
	json_decref(o);
	return 0;
}

int platform_txn(struct platform *p, const struct table_op *ops, int count, int64_t *versions,
		 struct error *err)
{
	struct http_call call = { .method = "POST", .url = build_url(p, "/txn", "") };
	json_t *list = json_array();
	json_t *o = json_object();
	struct buf body = { 0 };
	int rc;

	for (int i = 0; i < count; i++)
		json_array_append_new(list, op_to_json(&ops[i]));
	json_object_set_new(o, "ops", list);
	json_append(&body, o);
	call.body = buf_str(&body);
	rc = platform_call(p, &call, err);
	if (!rc)
		rc = parse_txn_reply(&call, count, versions, err);
	json_decref(o);
	buf_free(&body);
	buf_free(&call.reply);
	free((char *)call.url);
	return rc;
}

int platform_object_get(struct platform *p, const char *key, struct buf *out, struct error *err)
{
	struct http_call call = { .method = "GET", .url = build_url(p, "/objects/", key) };
	int rc = platform_call(p, &call, err);

	if (rc)
		buf_free(&call.reply);
	*out = call.reply;
	free((char *)call.url);
	return rc;
}

int platform_object_put(struct platform *p, const char *key, struct str data, struct error *err)
{
	struct http_call call = { .method = "PUT", .url = build_url(p, "/objects/", key) };
	int rc;

	call.body = data;
	rc = platform_call(p, &call, err);
	buf_free(&call.reply);
	free((char *)call.url);
	return rc;
}

int platform_list(struct platform *p, char etag[PLATFORM_ETAG_MAX], json_t **out, struct error *err)
{
	struct http_call call = { .method = "GET", .url = build_url(p, "/list", "") };
	char header[PLATFORM_ETAG_MAX + 32];
	int rc;

	*out = NULL;
	snprintf(header, sizeof(header), "If-None-Match: %s", etag);
	if (etag[0])
		call.extra_header = header;
	rc = platform_call(p, &call, err);
	metric_add(METRIC_LIST_BYTES, call.total_bytes);
	if (!rc && call.status != 304) {
		*out = parse_reply_object(&call, err);
		rc = *out ? 0 : -1;
		if (!rc)
			str_copy(etag, PLATFORM_ETAG_MAX, str_from(call.etag));
	}
	buf_free(&call.reply);
	free((char *)call.url);
	return rc;
}
