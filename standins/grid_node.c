#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/standins/grid.h"

#define BODY_MAX_BYTES (1 << 20)

/* Time that a silent node holds a request before it closes the connection. */
#define SILENT_MS 4000

void grid_node_register(struct grid_node *n, const char *state)
{
	char value[512];
	char own_address[32];

	snprintf(own_address, sizeof(own_address), "127.0.0.1:%d", n->port);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":"
		 "\"v1\",\"slots\":64,\"state\":\"%s\",\"coldLeftMs\":0,\"seq\":1,\"born\":%d%s%s%"
		 "s}",
		 n->service, n->advertised_address[0] ? n->advertised_address : own_address, n->dc,
		 state, 1000 + n->boot_count, n->is_engine ? ",\"stage\":\"" : "",
		 n->is_engine ? n->stage : "", n->is_engine ? "\"" : "");
	grid_row_put(n->grid, "servers", n->id, value);
}

static const char *header_or_empty(struct mg_connection *conn, const char *name)
{
	const char *value = mg_get_header(conn, name);

	return value ? value : "";
}

/* Return: index of the run, for marking it as cancelled later, or -1 when the list is full. */
static int run_record(struct grid_node *n, struct mg_connection *conn, const char *id,
		      const char *kind, const char *detail)
{
	struct grid *g = n->grid;
	int index = -1;

	pthread_mutex_lock(&g->lock);
	if (g->run_count < GRID_RUNS_MAX) {
		struct grid_run *r = &g->runs[index = g->run_count++];

		str_copy(r->node, sizeof(r->node), str_from(n->id));
		str_copy(r->id, sizeof(r->id), str_from(id));
		str_copy(r->kind, sizeof(r->kind), str_from(kind));
		str_copy(r->detail, sizeof(r->detail), str_from(detail));
		str_copy(r->organisation, sizeof(r->organisation),
			 str_from(header_or_empty(conn, "X-Ibisgate-Tenant")));
		r->has_key = mg_get_header(conn, "Authorization") != NULL;
		r->recorded_ms = clock_boot_ms();
	}
	pthread_mutex_unlock(&g->lock);
	return index;
}

static enum grid_fault fault_consume(struct grid_node *n)
{
	enum grid_fault f;

	pthread_mutex_lock(&n->grid->lock);
	f = n->fault_requests_left ? n->fault : GRID_FAULT_NONE;
	if (n->fault_requests_left > 0)
		n->fault_requests_left--;
	if (f == GRID_FAULT_NONE && n->grid->fault_requests_left > 0) {
		n->grid->fault_requests_left--;
		f = n->grid->fault;
	}
	pthread_mutex_unlock(&n->grid->lock);
	return f;
}

static void response_head_print(struct mg_connection *conn, const struct grid_node *n,
				const char *id, int status, const char *headers)
{
	mg_printf(conn,
		  "HTTP/1.1 %d Status\r\nX-Ibisgate-Request-Id: %s\r\n"
		  "X-Ibisgate-Server-Signature: sig.%s.%s\r\n%s%s\r\n",
		  status, id, n->id, id, n->extra_headers, headers);
}

static int reply_not_executed(struct mg_connection *conn, const struct grid_node *n, int status)
{
	mg_printf(conn,
		  "HTTP/1.1 %d Status\r\nX-Ibisgate-Request-Id: %s\r\n"
		  "X-Ibisgate-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n",
		  status, header_or_empty(conn, "X-Ibisgate-Request-Id"), n->extra_headers);
	return status;
}

/* Streams the events "id: K, data: ID.K" for K from @resume_from + 1 to @count output tokens. */
static int stream_reply(struct grid_node *n, struct mg_connection *conn, const char *id,
			int64_t resume_from, int64_t count, enum grid_fault fault, int run)
{
	char event[160];
	int boot = n->boot_count;
	int sent = 0;

	response_head_print(conn, n, id, 200,
			    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
	for (int64_t k = resume_from + 1; k <= count; k++) {
		int len = snprintf(event, sizeof(event),
				   "id: %" PRId64 "\ndata: %s.%" PRId64 "\n\n", k, id, k);

		usleep((useconds_t)(n->event_interval_ms * 1000));
		if (n->boot_count != boot)
			return http_abort(conn);
		if (fault == GRID_FAULT_CUT_STREAM && sent == 2) {
			mg_printf(conn, "%x\r\nid: %" PRId64 "\nda", len, k);
			return http_abort(conn);
		}
		/*
		 * The last event is never skipped: the shorter stream would look complete, and the
		 * loss could not be detected.
		 */
		if (fault == GRID_FAULT_SKIP_EVENT && sent == 2 && k < count) {
			sent++;
			continue;
		}
		if (mg_printf(conn, "%x\r\n%s\r\n", len, event) <= 0) {
			pthread_mutex_lock(&n->grid->lock);
			if (run >= 0)
				n->grid->runs[run].cancelled = true;
			pthread_mutex_unlock(&n->grid->lock);
			return http_abort(conn);
		}
		sent++;
	}
	mg_printf(conn, "0\r\n\r\n");
	return 200;
}

static int prefill_reply(struct grid_node *n, struct mg_connection *conn, const char *id)
{
	char body[96];
	int handle;

	pthread_mutex_lock(&n->grid->lock);
	handle = ++n->grid->handle_count;
	pthread_mutex_unlock(&n->grid->lock);
	run_record(n, conn, id, "prefill", header_or_empty(conn, "Kv-Fetch"));
	snprintf(body, sizeof(body), "{\"kvHandle\":\"h%d\",\"tokens\":1,\"version\":1}", handle);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nX-Ibisgate-Request-Id: %s\r\nContent-Type: application/json"
		  "\r\n%sContent-Length: %zu\r\n\r\n%s",
		  id, n->extra_headers, strlen(body), body);
	return 200;
}

static int reply_plain(struct grid_node *n, struct mg_connection *conn, const char *id,
		       enum grid_fault fault)
{
	char body[160];
	char headers[64];

	snprintf(body, sizeof(body), "{\"id\":\"%s\",\"node\":\"%s\"}", id, n->id);
	snprintf(headers, sizeof(headers), "Content-Length: %zu\r\n", strlen(body));
	if (fault == GRID_FAULT_MALFORMED) {
		mg_printf(conn, "\x01\x02 this is no response\r\n\r\n");
		return http_abort(conn);
	}
	if (fault == GRID_FAULT_TRUNCATE_BODY) {
		response_head_print(conn, n, id, 200, headers);
		mg_printf(conn, "{\"id\"");
		return http_abort(conn);
	}
	if (fault == GRID_FAULT_EXTRA_RESPONSE) {
		response_head_print(conn, n, "another", 200, headers);
		mg_printf(conn, "%s", body);
	}
	response_head_print(conn, n, id, fault == GRID_FAULT_ERROR ? 500 : 200, headers);
	mg_printf(conn, "%s", body);
	return 200;
}

static int reply_control(struct mg_connection *conn, const struct grid_node *n, int status,
			 json_t *value)
{
	return http_reply_with_fields(conn, status, value, n->control_headers);
}

static int handle_order(struct grid_node *n, struct mg_connection *conn)
{
	json_t *req = http_body_json(conn, BODY_MAX_BYTES);
	char detail[128];
	int status = 202;

	if (!req)
		return http_reply(conn, 400, json_object());
	snprintf(detail, sizeof(detail), "%s %s %" PRId64, json_get_cstr(req, "stage", ""),
		 json_get_cstr(req, "holder", ""), json_get_i64(req, "fencingToken", 0));
	pthread_mutex_lock(&n->grid->lock);
	if (json_get_i64(req, "precondition", -1) != n->order_count) {
		status = 409;
	} else {
		n->order_count++;
		str_copy(n->stage, sizeof(n->stage), json_get_str(req, "stage"));
		grid_node_register(n, "ready");
	}
	pthread_mutex_unlock(&n->grid->lock);
	json_decref(req);
	run_record(n, conn, "", status == 202 ? "order" : "order-409", detail);
	return reply_control(conn, n, status, json_object());
}

static int handle_report(struct grid_node *n, struct mg_connection *conn)
{
	json_t *out;

	pthread_mutex_lock(&n->grid->lock);
	out = json_pack("{s:s,s:[],s:b,s:i,s:i,s:i,s:i,s:i,s:i}", "stage", n->stage, "models",
			"busy", 0, "seq", n->order_count, "queued", 0, "active", 0, "kvUsed", 0,
			"kvTotal", 400000, "kvHandles", 0);
	pthread_mutex_unlock(&n->grid->lock);
	return reply_control(conn, n, 200, out);
}

static int handle_cache_events(struct grid_node *n, struct mg_connection *conn)
{
	if (n->control_status) {
		run_record(n, conn, "", "events-refused", "");
		return reply_control(conn, n, n->control_status, json_object());
	}
	return reply_control(
		conn, n, 200,
		json_pack("{s:s,s:i,s:b,s:[]}", "epoch", "1", "next", 0, "lost", 0, "events"));
}

static bool is_deadly(const struct grid_node *n, struct mg_connection *conn)
{
	const struct grid *g = n->grid;

	if (g->deadly_target[0] &&
	    strstr(mg_get_request_info(conn)->local_uri_raw, g->deadly_target))
		return true;
	return n->is_engine && g->deadly_part[0] &&
	       strstr(header_or_empty(conn, "X-Ibisgate-Prefix-Hash"), g->deadly_part);
}

/* The engine crashes and a new process registers. Requests in flight lose their connections. */
static int crash(struct grid_node *n, struct mg_connection *conn, const char *id)
{
	run_record(n, conn, id, "crash", "");
	pthread_mutex_lock(&n->grid->lock);
	n->boot_count++;
	n->held_tokens = 0;
	grid_node_register(n, "ready");
	pthread_mutex_unlock(&n->grid->lock);
	return http_abort(conn);
}

/* Tokens of the prompt and of the answer. */
static int64_t tokens_of(struct mg_connection *conn)
{
	const char *text = header_or_empty(conn, "X-Ibisgate-Token-Count");
	const char *output = strchr(text, ',');

	return strtoll(text, NULL, 10) + (output ? strtoll(output + 1, NULL, 10) : 0);
}

/* Adds @tokens to what the engine holds; false when that exceeds its memory. */
static bool memory_take(struct grid_node *n, int64_t tokens)
{
	bool fits;

	pthread_mutex_lock(&n->grid->lock);
	n->held_tokens += tokens;
	fits = !n->memory_tokens || n->held_tokens <= n->memory_tokens;
	pthread_mutex_unlock(&n->grid->lock);
	return fits;
}

/* A process that has started since holds nothing of before. */
static void memory_return(struct grid_node *n, int64_t tokens, int boot)
{
	pthread_mutex_lock(&n->grid->lock);
	if (n->boot_count == boot)
		n->held_tokens -= tokens;
	pthread_mutex_unlock(&n->grid->lock);
}

int grid_node_handle(struct mg_connection *conn, void *ctx)
{
	struct grid_node *n = ctx;
	const char *id = header_or_empty(conn, "X-Ibisgate-Request-Id");
	const char *expected_id = header_or_empty(conn, "X-Ibisgate-Expect-Instance");
	const char *last_event_id = header_or_empty(conn, "Last-Event-Id");
	const char *tokens = strchr(header_or_empty(conn, "X-Ibisgate-Token-Count"), ',');
	enum grid_fault fault;
	struct buf body = { 0 };
	char detail[128];
	int run, boot, status;

	if (http_request_matches(conn, "GET", "/report"))
		return handle_report(n, conn);
	if (http_request_matches(conn, "GET", "/kv-events"))
		return handle_cache_events(n, conn);
	if (expected_id[0] && strcmp(expected_id, n->id) != 0)
		return reply_not_executed(conn, n, 421);
	if (http_request_matches(conn, "POST", "/order"))
		return handle_order(n, conn);
	if (str_starts_with(http_request_path(conn), STR_LIT("/kv-handle/")))
		return http_reply(conn, 200, json_object());
	http_body_read(conn, BODY_MAX_BYTES, &body);
	buf_free(&body);
	fault = fault_consume(n);
	if (fault == GRID_FAULT_FULL) {
		run_record(n, conn, id, "refused", "");
		return reply_not_executed(conn, n, 503);
	}
	if (fault == GRID_FAULT_MOVED)
		return reply_not_executed(conn, n, 421);
	if (strcmp(header_or_empty(conn, "X-Ibisgate-Serving-Stage"), "prefill") == 0) {
		if (strcmp(n->stage, "prefill") != 0)
			return reply_not_executed(conn, n, 421);
		return prefill_reply(n, conn, id);
	}
	if (n->is_engine && strcmp(n->stage, "decode") != 0)
		return reply_not_executed(conn, n, 421);
	snprintf(detail, sizeof(detail), "%s %s", header_or_empty(conn, "X-Ibisgate-Deadline-Ms"),
		 header_or_empty(conn, "X-Ibisgate-Kv-Source"));
	run = run_record(n, conn, id, n->is_engine ? "stream" : "call", detail);
	if (is_deadly(n, conn))
		return crash(n, conn, id);
	if (fault == GRID_FAULT_LOSE_RESPONSE)
		return http_abort(conn);
	if (fault == GRID_FAULT_SILENT) {
		usleep(SILENT_MS * 1000);
		return http_abort(conn);
	}
	if (!n->is_engine)
		return reply_plain(n, conn, id, fault);
	if (!memory_take(n, tokens_of(conn)))
		return crash(n, conn, id);
	boot = n->boot_count;
	status = stream_reply(n, conn, id, last_event_id[0] ? strtoll(last_event_id, NULL, 10) : 0,
			      tokens ? strtoll(tokens + 1, NULL, 10) : 3, fault, run);
	memory_return(n, tokens_of(conn), boot);
	return status;
}
