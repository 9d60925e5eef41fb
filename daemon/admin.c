#include <civetweb.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/daemon/admin.h"
#include "ibisgate/daemon/control.h"
#include "ibisgate/daemon/dispatch.h"

#define ADMIN_BODY_MAX (1 << 20)
#define ADMIN_THREADS "4"

enum admin_error {
	ADMIN_OK,
	ADMIN_LISTEN,
};

struct admin {
	struct gate *gate;
	struct mg_context *ctx;
	int port;
};

static int reply(struct mg_connection *conn, int status, const char *type, struct str body)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
		  "Cache-Control: no-store\r\n\r\n",
		  status, mg_get_response_code_text(conn, status), type, body.len);
	mg_write(conn, body.data, body.len);
	return status;
}

static int reply_json(struct mg_connection *conn, int status, json_t *value)
{
	struct buf out = { 0 };

	json_append(&out, value);
	buf_append(&out, "\n", 1);
	reply(conn, status, "application/json", buf_str(&out));
	buf_free(&out);
	json_decref(value);
	return status;
}

static int reply_error(struct mg_connection *conn, int status, const char *type,
		       const char *message)
{
	return reply_json(conn, status,
			  json_pack("{s:{s:s,s:s}}", "error", "type", type, "message", message));
}

/* Compares in constant time, so that the token can't be guessed byte by byte from the timing. */
static bool is_authorised(struct admin *a, struct mg_connection *conn)
{
	const char *header = mg_get_header(conn, "Authorization");
	const char *token = a->gate->settings.admin.token;
	size_t len = strlen(token);

	if (!header || strncmp(header, "Bearer ", 7) != 0 || strlen(header + 7) != len)
		return false;
	return sodium_memcmp(header + 7, token, len) == 0;
}

static bool read_body(struct mg_connection *conn, struct buf *out)
{
	char chunk[4096];
	int n;

	while ((n = mg_read(conn, chunk, sizeof(chunk))) > 0) {
		buf_append(out, chunk, (size_t)n);
		if (out->len > ADMIN_BODY_MAX)
			return false;
	}
	return n == 0;
}

static int64_t query_i64(struct mg_connection *conn, const char *name, int64_t fallback)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char value[32];
	int64_t n;

	if (!query || mg_get_var(query, strlen(query), name, value, sizeof(value)) < 0)
		return fallback;
	return str_to_i64(str_from(value), &n) ? n : fallback;
}

static int status_get(struct admin *a, struct mg_connection *conn)
{
	json_t *status = control_status(a->gate->control);

	json_object_set_new(status, "dispatch", dispatch_status(a->gate->dispatch));
	json_object_set_new(status, "requests", json_integer(a->gate->requests));
	return reply_json(conn, 200, status);
}

static int events_get(struct admin *a, struct mg_connection *conn)
{
	uint64_t after = (uint64_t)query_i64(conn, "after", 0);
	struct buf out = { 0 };

	events_format(&out, after, a->gate->settings.instance.id);
	reply(conn, 200, "application/json", buf_str(&out));
	buf_free(&out);
	return 200;
}

static int config_get(struct admin *a, struct mg_connection *conn)
{
	json_t *snapshot;

	rcu_read_lock();
	snapshot = config_to_json(rcu_dereference(a->gate->config));
	rcu_read_unlock();
	return reply_json(conn, 200, snapshot);
}

static int reply_config_failed(struct mg_connection *conn, const struct error *err, int64_t version)
{
	json_t *body;

	if (err->layer == ERROR_PLATFORM && err->code == PLATFORM_OUTCOME_UNKNOWN)
		return reply_error(conn, 504, "outcome_unknown", err->text);
	if (err->layer == ERROR_PLATFORM)
		return reply_error(conn, 503, "not_run", err->text);
	if (err->code != CONFIG_VERSION_STALE)
		return reply_error(conn, 400, "invalid_request", err->text);
	body = json_pack("{s:I,s:{s:s,s:s}}", "version", (json_int_t)version, "error", "type",
			 "conflict", "message", err->text);
	return reply_json(conn, 409, body);
}

static int config_post(struct admin *a, struct mg_connection *conn)
{
	struct buf body = { 0 };
	struct error err = { 0 };
	json_t *req = NULL;
	const char *key;
	const char *author;
	json_t *value;
	int64_t version = 0;
	int status;

	if (!read_body(conn, &body)) {
		status = reply_error(conn, 413, "invalid_request",
				     "the request body is incomplete or too large");
		goto out;
	}
	req = json_parse(buf_str(&body));
	key = json_get_cstr(req, "key", NULL);
	author = json_get_cstr(req, "author", NULL);
	value = json_object_get(req, "value");
	if (!key || !author || !value) {
		status = reply_error(conn, 400, "invalid_request",
				     "expected a JSON object with key, value and author");
		goto out;
	}
	if (json_is_null(value))
		value = NULL;
	if (control_config_change(a->gate->control, key, value, author,
				  json_get_i64(req, "if_version", -1), &version, &err) < 0) {
		log_info("config-refused", "key=%s author=%s error=\"%s\"", key, author, err.text);
		status = reply_config_failed(conn, &err, version);
		goto out;
	}
	log_info("config-accepted", "key=%s author=%s version=%" PRId64, key, author, version);
	status = reply_json(conn, 200, json_pack("{s:I}", "version", (json_int_t)version));
out:
	json_decref(req);
	buf_free(&body);
	return status;
}

static int drain_post(struct admin *a, struct mg_connection *conn)
{
	struct buf body = { 0 };
	json_t *req = read_body(conn, &body) ? json_parse(buf_str(&body)) : NULL;
	const char *reason = json_get_cstr(req, "reason", "");
	int status;

	if (!reason[0]) {
		status = reply_error(conn, 400, "invalid_request", "expected a reason");
		goto out;
	}
	gate_drain_start(a->gate, reason);
	status = reply_json(conn, 202, json_pack("{s:s}", "state", "draining"));
out:
	json_decref(req);
	buf_free(&body);
	return status;
}

static int metrics_get(struct admin *a, struct mg_connection *conn)
{
	struct buf out = { 0 };

	metrics_format(&out, a->gate->settings.instance.id);
	reply(conn, 200, "text/plain; version=0.0.4", buf_str(&out));
	buf_free(&out);
	return 200;
}

static int explain_post(struct admin *a, struct mg_connection *conn)
{
	struct buf body = { 0 };
	json_t *answer = NULL;
	int status;

	if (!read_body(conn, &body)) {
		status = reply_error(conn, 413, "invalid_request",
				     "the request body is incomplete or too large");
		goto out;
	}
	status = front_explain(a->gate->front, buf_str(&body), &answer);
	status = reply_json(conn, status, answer);
out:
	buf_free(&body);
	return status;
}

static const struct {
	const char *method;
	const char *path;
	int (*run)(struct admin *a, struct mg_connection *conn);
} routes[] = {
	{ "GET", "/admin/status", status_get }, { "GET", "/admin/events", events_get },
	{ "GET", "/admin/config", config_get }, { "POST", "/admin/config", config_post },
	{ "POST", "/admin/drain", drain_post }, { "POST", "/explain", explain_post },
	{ "GET", "/metrics", metrics_get },
};

static int on_request(struct mg_connection *conn, void *cbdata)
{
	struct admin *a = cbdata;
	const struct mg_request_info *info = mg_get_request_info(conn);
	bool path_known = false;

	if (a->gate->state == GATE_CREATING)
		return reply_error(conn, 503, "not_run", "the instance is starting");
	if (!is_authorised(a, conn))
		return reply_error(conn, 401, "invalid_request",
				   "the operator token is missing or invalid");
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(info->local_uri, routes[i].path) != 0)
			continue;
		path_known = true;
		if (strcmp(info->request_method, routes[i].method) == 0)
			return routes[i].run(a, conn);
	}
	if (path_known)
		return reply_error(conn, 405, "invalid_request", "method not allowed");
	return reply_error(conn, 404, "invalid_request", "unknown path");
}

struct admin *admin_create(struct gate *gate, struct error *err)
{
	const char *options[] = { "listening_ports",
				  gate->settings.admin.listen,
				  "num_threads",
				  ADMIN_THREADS,
				  "request_timeout_ms",
				  "5000",
				  "enable_keep_alive",
				  "no",
				  NULL };
	struct mg_callbacks callbacks = { 0 };
	struct mg_server_port port = { 0 };
	struct admin *a = mem_zalloc(sizeof(*a));

	a->gate = gate;
	a->ctx = mg_start(&callbacks, a, options);
	if (!a->ctx || mg_get_server_ports(a->ctx, 1, &port) != 1) {
		error_set(err, ERROR_ADMIN, ADMIN_LISTEN, "cannot listen on %s",
			  gate->settings.admin.listen);
		admin_destroy(a);
		return NULL;
	}
	a->port = port.port;
	mg_set_request_handler(a->ctx, "/", on_request, a);
	return a;
}

int admin_port(const struct admin *a)
{
	return a->port;
}

void admin_destroy(struct admin *a)
{
	if (!a)
		return;
	if (a->ctx)
		mg_stop(a->ctx);
	free(a);
}
