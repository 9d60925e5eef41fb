#include <string.h>
#include <strings.h>

#include "front_impl.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/metrics.h"

/*
 * An idle connection occupies its thread for the whole keep-alive time, and new connections would
 * wait as long. Therefore a quarter of the threads only serves connections without keep-alive.
 */
static bool threads_are_scarce(const struct front *f)
{
	return atomic_load(&f->connections) > f->gate->settings.http.threads * 3 / 4;
}

static bool must_close(const struct exchange *x)
{
	const char *requested = mg_get_header(x->conn, "Connection");
	int state = atomic_load(&x->front->gate->state);

	return state >= GATE_DRAINING || !x->body_read || threads_are_scarce(x->front) ||
	       (requested && !strcasecmp(requested, "close")) ||
	       strcmp(x->info->http_version ? x->info->http_version : "1.0", "1.1") != 0;
}

static void response_head_append(struct exchange *x, struct buf *out, int status, const char *type)
{
	bool close = must_close(x);

	buf_printf(out,
		   "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nIbisgate-Request-Id: %s\r\n"
		   "Ibisgate-Instance: %s\r\nIbisgate-Endpoint: %s\r\nConnection: %s\r\n",
		   status, mg_get_response_code_text(x->conn, status), type, x->call.id,
		   x->front->gate->settings.instance.id,
		   x->call.endpoint[0] ? x->call.endpoint : "none", close ? "close" : "keep-alive");
	buf_append_str(out, buf_str(&x->headers));
	if (close)
		mg_disable_connection_keep_alive(x->conn);
}

void reply_body(struct exchange *x, int status, const char *type, struct str body)
{
	struct buf out = { 0 };

	response_head_append(x, &out, status, type);
	buf_printf(&out, "Content-Length: %zu\r\n\r\n", body.len);
	if (strcmp(x->info->request_method ? x->info->request_method : "", "HEAD") != 0)
		buf_append_str(&out, body);
	mg_write(x->conn, out.data, out.len);
	buf_free(&out);
}

void reply_json(struct exchange *x, int status, json_t *value)
{
	struct buf body = { 0 };

	json_append(&body, value);
	json_decref(value);
	reply_body(x, status, "application/json", buf_str(&body));
	buf_free(&body);
}

json_t *error_json(const char *message, const char *type, const char *code, const char *param)
{
	return json_pack("{s:{s:s,s:s,s:s,s:s?}}", "error", "message", message, "type", type,
			 "code", code, "param", param);
}

void reply_outcome(struct exchange *x, const struct outcome *o)
{
	if (strcmp(o->type, "not_run") == 0)
		metric_add(METRIC_REFUSED_NOT_RUN, 1);
	else if (strcmp(o->type, "outcome_unknown") == 0)
		metric_add(METRIC_OUTCOME_UNKNOWN, 1);
	else
		metric_add(METRIC_BAD_REQUESTS, 1);
	if (o->retry_after_s)
		buf_printf(&x->headers, "Retry-After: %d\r\n", o->retry_after_s);
	reply_json(x, o->status, error_json(o->message, o->type, o->code, NULL));
}

void reply_invalid(struct exchange *x, int status, const char *code, const char *param,
		   const char *message)
{
	metric_add(METRIC_BAD_REQUESTS, 1);
	reply_json(x, status, error_json(message, "invalid_request", code, param));
}

static bool uses_chunked_encoding(const struct exchange *x)
{
	return x->info->http_version && strcmp(x->info->http_version, "1.1") == 0;
}

bool reply_stream_begin(struct exchange *x)
{
	struct buf out = { 0 };
	bool ok;

	response_head_append(x, &out, 200, "text/event-stream");
	buf_printf(&out, "Cache-Control: no-store\r\n%s\r\n",
		   uses_chunked_encoding(x) ? "Transfer-Encoding: chunked\r\n" : "");
	ok = mg_write(x->conn, out.data, out.len) == (int)out.len;
	buf_free(&out);
	return ok;
}

bool reply_stream(struct exchange *x, struct str part)
{
	struct buf out = { 0 };
	bool ok;

	/* Each part is sent in one write, because with TCP_NODELAY every write becomes a packet. */
	if (uses_chunked_encoding(x)) {
		buf_printf(&out, "%zx\r\n", part.len);
		buf_append_str(&out, part);
		buf_append(&out, "\r\n", 2);
	} else {
		buf_append_str(&out, part);
	}
	ok = !out.len || mg_write(x->conn, out.data, out.len) == (int)out.len;
	buf_free(&out);
	return ok;
}
