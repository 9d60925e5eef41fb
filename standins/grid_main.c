#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/standins/grid.h"

#define BODY_MAX_BYTES (1 << 20)
/*
 * An open connection occupies a thread until it has been idle for 20 s. Clients that lose the path
 * to the store or to a node leave several connections behind each second.
 */
#define NODE_THREADS 64
#define STORE_THREADS 256

/*
 * An idle connection occupies a thread, so this exceeds the number of connections that a test opens
 * to the control port.
 */
#define CONTROL_THREADS 16

static const char *const fault_names[] = {
	[GRID_FAULT_NONE] = "ok",
	[GRID_FAULT_FULL] = "full",
	[GRID_FAULT_LOSE_RESPONSE] = "lose-answer",
	[GRID_FAULT_TRUNCATE_BODY] = "truncate",
	[GRID_FAULT_SILENT] = "silent",
	[GRID_FAULT_MALFORMED] = "garble",
	[GRID_FAULT_EXTRA_RESPONSE] = "extra",
	[GRID_FAULT_CUT_STREAM] = "cut-stream",
	[GRID_FAULT_ERROR] = "error",
	[GRID_FAULT_MOVED] = "moved",
	[GRID_FAULT_SKIP_EVENT] = "skip-event",
};

static const char *const mode_names[] = {
	[GRID_STORE_UP] = "up",
	[GRID_STORE_BUSY] = "busy",
	[GRID_STORE_RESET] = "reset",
};

static const char *const api_mode_names[] = {
	[GRID_API_UP] = "up",
	[GRID_API_BUSY] = "busy",
	[GRID_API_LIMITED] = "limited",
	[GRID_API_LOSE_ANSWER] = "lose-answer",
};

static int name_index(const char *const *names, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++) {
		if (strcmp(names[i], name) == 0)
			return (int)i;
	}
	return 0;
}

/*
 * Writes the row {"table", "key", "value"}. A string value is stored unquoted, any other value as
 * JSON text; without a value the row is deleted.
 */
static void control_row_put(struct grid *g, const json_t *req)
{
	const json_t *value = json_object_get(req, "value");
	const char *table = json_get_cstr(req, "table", "");
	const char *key = json_get_cstr(req, "key", "");
	struct buf text = { 0 };

	if (json_is_string(value)) {
		grid_row_put(g, table, key, json_string_value(value));
	} else if (value) {
		json_append(&text, value);
		grid_row_put(g, table, key, text.data);
	} else {
		grid_row_put(g, table, key, NULL);
	}
	buf_free(&text);
}

/*
 * Applies {"mode", "compact", "era", "era_text", "drill"}; see struct grid and
 * grid_drill_start().
 */
static void control_store_set(struct grid *g, const json_t *req)
{
	const char *mode = json_get_cstr(req, "mode", "");

	if (mode[0])
		g->mode = (enum grid_store_mode)name_index(
			mode_names, sizeof(mode_names) / sizeof(mode_names[0]), mode);
	if (json_get_bool(req, "compact", false))
		g->oldest_version = g->version + 1;
	g->era = json_get_i64(req, "era", g->era);
	if (json_object_get(req, "era_text"))
		str_copy(g->era_text, sizeof(g->era_text), json_get_str(req, "era_text"));
	if (json_object_get(req, "drill"))
		grid_drill_start(g, json_object_get(req, "drill"));
	pthread_cond_broadcast(&g->rows_changed);
}

/*
 * Applies {"id", "fault", "left", "event_ms", "headers", "control_headers",
 * "control_status", "memory_tokens", "address", "state"}. An empty id selects all nodes; an empty
 * id with "left" injects the fault into the next requests, whichever nodes receive them.
 */
static void control_nodes_set(struct grid *g, const json_t *req)
{
	const char *id = json_get_cstr(req, "id", "");
	const char *fault = json_get_cstr(req, "fault", "");
	const char *state = json_get_cstr(req, "state", "");

	if (!id[0] && json_get_i64(req, "left", -1) >= 0) {
		g->fault = (enum grid_fault)name_index(
			fault_names, sizeof(fault_names) / sizeof(fault_names[0]), fault);
		g->fault_requests_left = (int)json_get_i64(req, "left", 0);
		return;
	}
	for (int i = 0; i < g->node_count; i++) {
		struct grid_node *n = &g->nodes[i];

		if (id[0] && strcmp(id, n->id) != 0)
			continue;
		if (fault[0]) {
			n->fault = (enum grid_fault)name_index(
				fault_names, sizeof(fault_names) / sizeof(fault_names[0]), fault);
			n->fault_requests_left = (int)json_get_i64(req, "left", -1);
		}
		n->event_interval_ms = json_get_i64(req, "event_ms", n->event_interval_ms);
		if (json_object_get(req, "headers"))
			str_copy(n->extra_headers, sizeof(n->extra_headers),
				 json_get_str(req, "headers"));
		if (json_object_get(req, "control_headers"))
			str_copy(n->control_headers, sizeof(n->control_headers),
				 json_get_str(req, "control_headers"));
		n->control_status = (int)json_get_i64(req, "control_status", n->control_status);
		n->memory_tokens = json_get_i64(req, "memory_tokens", n->memory_tokens);
		if (json_get_cstr(req, "address", "")[0])
			str_copy(n->advertised_address, sizeof(n->advertised_address),
				 json_get_str(req, "address"));
		if (strcmp(state, "gone") == 0)
			grid_row_put(g, "servers", n->id, NULL);
		else if (state[0])
			grid_node_register(n, state);
	}
}

static void control_deadly_set(struct grid *g, const json_t *req)
{
	str_copy(g->deadly_part, sizeof(g->deadly_part), json_get_str(req, "part"));
	str_copy(g->deadly_target, sizeof(g->deadly_target), json_get_str(req, "target"));
}

static void control_api_set(struct grid *g, const json_t *req)
{
	g->api_mode = (enum grid_api_mode)name_index(
		api_mode_names, sizeof(api_mode_names) / sizeof(api_mode_names[0]),
		json_get_cstr(req, "mode", ""));
}

static json_t *runs_json(const struct grid *g)
{
	json_t *runs = json_array();

	for (int i = 0; i < g->run_count; i++) {
		const struct grid_run *r = &g->runs[i];

		json_array_append_new(
			runs, json_pack("{s:s,s:s,s:s,s:s,s:I,s:b,s:s,s:b}", "node", r->node, "id",
					r->id, "work", r->kind, "detail", r->detail, "at_ms",
					(json_int_t)r->recorded_ms, "cancelled", r->cancelled,
					"organisation", r->organisation, "has_key", r->has_key));
	}
	return json_pack("{s:o,s:I,s:O*}", "runs", runs, "store_calls", (json_int_t)g->store_calls,
			 "api_calls", g->api_calls);
}

static json_t *ports_json(const struct grid *g)
{
	json_t *out = json_object();

	for (int i = 0; i < g->node_count; i++)
		json_object_set_new(out, g->nodes[i].id, json_integer(g->nodes[i].port));
	return out;
}

static int handle_control(struct mg_connection *conn, void *ctx)
{
	struct grid *g = ctx;
	json_t *req = NULL;
	json_t *out;

	/* The control port must always respond; idle connections would occupy its threads. */
	mg_disable_connection_keep_alive(conn);

	if (http_request_matches(conn, "GET", "/ports"))
		return http_reply(conn, 200, ports_json(g));
	if (!http_request_matches(conn, "GET", "/runs")) {
		req = http_body_json(conn, BODY_MAX_BYTES);
		if (!req)
			return http_reply_error(conn, 400, "invalid_request", "bad_json");
	}
	pthread_mutex_lock(&g->lock);
	if (!req) {
		out = runs_json(g);
	} else {
		out = json_object();
		if (http_request_matches(conn, "POST", "/row"))
			control_row_put(g, req);
		else if (http_request_matches(conn, "POST", "/store"))
			control_store_set(g, req);
		else if (http_request_matches(conn, "POST", "/node"))
			control_nodes_set(g, req);
		else if (http_request_matches(conn, "POST", "/deadly"))
			control_deadly_set(g, req);
		else if (http_request_matches(conn, "POST", "/api"))
			control_api_set(g, req);
	}
	pthread_mutex_unlock(&g->lock);
	json_decref(req);
	return http_reply(conn, 200, out);
}

static bool node_start(struct grid *g, const char *id, const char *service, bool is_engine,
		       const char *stage, int dc)
{
	struct grid_node *n = &g->nodes[g->node_count++];

	n->grid = g;
	n->is_engine = is_engine;
	n->event_interval_ms = 2;
	str_copy(n->id, sizeof(n->id), str_from(id));
	str_copy(n->service, sizeof(n->service), str_from(service));
	str_copy(n->stage, sizeof(n->stage), str_from(stage));
	snprintf(n->dc, sizeof(n->dc), "dc%d", dc);
	n->http = http_start("127.0.0.1", &n->port, NODE_THREADS, grid_node_handle, n);
	if (!n->http)
		return false;
	pthread_mutex_lock(&g->lock);
	grid_node_register(n, "ready");
	pthread_mutex_unlock(&g->lock);
	return true;
}

static bool nodes_start(struct grid *g, int64_t engines, int64_t prefill, int64_t services)
{
	char id[32];

	for (int i = 0; i < engines && g->node_count < GRID_NODES_MAX; i++) {
		snprintf(id, sizeof(id), "e%d", i);
		if (!node_start(g, id, "models", true, i < prefill ? "prefill" : "decode", i % 2))
			return false;
	}
	for (int i = 0; i < services && g->node_count < GRID_NODES_MAX; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		if (!node_start(g, id, "orders", false, "", i % 2))
			return false;
	}
	return true;
}

int main(int argc, char **argv)
{
	static struct grid g;
	int64_t engines = 3, prefill = 1, services = 2;
	const struct option_spec specs[] = {
		{ "engines", &engines, .help = "number of engines e0, e1, ... of service models" },
		{ "prefill", &prefill, .help = "number of engines, from e0 on, that prefill" },
		{ "services", &services, .help = "number of nodes s0, s1, ... of service orders" },
	};
	struct mg_context *store, *control, *api;
	int store_port = 0, control_port = 0, api_port = 0;

	if (options_parse(argc, argv, specs, sizeof(specs) / sizeof(specs[0])) != 0)
		return 2;
	if (sodium_init() < 0)
		return 1;
	signals_block();
	pthread_mutex_init(&g.lock, NULL);
	cond_init_mono(&g.rows_changed);
	g.runs = mem_zalloc(sizeof(*g.runs) * GRID_RUNS_MAX);
	store = http_start("127.0.0.1", &store_port, STORE_THREADS, grid_store_handle, &g);
	control = http_start("127.0.0.1", &control_port, CONTROL_THREADS, handle_control, &g);
	api = http_start("127.0.0.1", &api_port, CONTROL_THREADS, grid_api_handle, &g);
	if (!store || !control || !api || !nodes_start(&g, engines, prefill, services))
		return 1;
	printf("listening %d store=%d api=%d\n", control_port, store_port, api_port);
	fflush(stdout);
	signals_wait();
	/* Exits at once: a shutdown would wait for long polls and streams. */
	_Exit(0);
}
