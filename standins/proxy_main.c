#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/standins/common.h"
#include "ibisgate/standins/proxy.h"

#define ROUTES_MAX 1000
#define CONTROL_THREADS 8
#define CONTROL_BODY_MAX_BYTES 65536

static const char *const mode_names[] = {
	[PROXY_PASS] = "pass",
	[PROXY_CUT] = "cut",
	[PROXY_SILENT] = "silent",
	[PROXY_SILENT_TO_TARGET] = "silent_to_target",
	[PROXY_SILENT_TO_CLIENT] = "silent_to_client",
	[PROXY_DROP_REPLIES] = "drop_replies",
};

static bool mode_parse(const json_t *req, int *out)
{
	const char *name = json_get_cstr(req, "mode", NULL);

	*out = -1;
	if (!name)
		return true;
	for (size_t i = 0; i < sizeof(mode_names) / sizeof(mode_names[0]); i++) {
		if (strcmp(name, mode_names[i]) == 0)
			*out = (int)i;
	}
	return *out >= 0;
}

static int handle_faults(struct proxy *p, struct mg_connection *conn)
{
	json_t *req = http_body_json(conn, CONTROL_BODY_MAX_BYTES);
	struct proxy_fault f = {
		.route = json_get_cstr(req, "route", ""),
		.delay_us = -1,
		.existing_only = json_get_bool(req, "existing_only", false),
	};
	double delay_ms = json_get_double(req, "delay_ms", -1);
	int matched = 0;

	if (delay_ms >= 0)
		f.delay_us = (int64_t)(delay_ms * 1000);
	if (req && mode_parse(req, &f.mode))
		matched = proxy_fault_set(p, &f);
	json_decref(req);
	if (!matched)
		return http_reply_error(conn, 400, "invalid_request", "bad_fault");
	return http_reply(conn, 200, json_pack("{s:i}", "routes", matched));
}

static int handle_routes(struct proxy *p, struct mg_connection *conn)
{
	json_t *req = http_body_json(conn, CONTROL_BODY_MAX_BYTES);
	struct str name = json_get_str(req, "name");
	struct sockaddr_in target;
	int port = -1;

	if (name.len && proxy_target_parse(json_get_str(req, "target"), &target))
		port = proxy_route_set(p, name, &target);
	json_decref(req);
	if (port < 0)
		return http_reply_error(conn, 400, "invalid_request", "bad_route");
	return http_reply(conn, 200, json_pack("{s:i}", "port", port));
}

static int handle_list(struct proxy *p, struct mg_connection *conn)
{
	json_t *list = json_array();

	pthread_mutex_lock(&p->lock);
	for (const struct route *r = p->routes; r; r = r->next) {
		int open = 0;

		for (const struct conn *c = p->conns; c; c = c->next)
			open += c->route == r;
		json_array_append_new(list,
				      json_pack("{s:s,s:i,s:s,s:i,s:I}", "name", r->name, "port",
						r->port, "mode", mode_names[r->mode], "connections",
						open, "accepted", (json_int_t)r->accepted));
	}
	pthread_mutex_unlock(&p->lock);
	return http_reply(conn, 200, json_pack("{s:o}", "routes", list));
}

static int handle(struct mg_connection *conn, void *ctx)
{
	struct proxy *p = ctx;

	if (http_request_matches(conn, "POST", "/faults"))
		return handle_faults(p, conn);
	if (http_request_matches(conn, "POST", "/routes"))
		return handle_routes(p, conn);
	if (http_request_matches(conn, "GET", "/routes"))
		return handle_list(p, conn);
	return http_reply_error(conn, 404, "invalid_request", "unknown_path");
}

static bool routes_add_from_options(struct proxy *p, const struct arg_str *routes, struct buf *line)
{
	for (int i = 0; i < routes->count; i++) {
		struct str target = str_from(routes->sval[i]);
		struct str name = str_split(&target, '=');
		struct sockaddr_in addr;
		int port;

		if (!name.len || !proxy_target_parse(target, &addr)) {
			fprintf(stderr, "--route %s: expected NAME=IP:PORT\n", routes->sval[i]);
			return false;
		}
		port = proxy_route_set(p, name, &addr);
		if (port < 0) {
			fprintf(stderr, "--route %s: cannot listen\n", routes->sval[i]);
			return false;
		}
		buf_printf(line, " " STR_FMT "=%d", STR_ARG(name), port);
	}
	return true;
}

static int run(struct proxy *p, int port, const struct arg_str *routes)
{
	struct buf line = { 0 };
	struct mg_context *http;
	pthread_t loop;

	if (proxy_init(p) != 0 || !routes_add_from_options(p, routes, &line))
		return 1;
	http = http_start("127.0.0.1", &port, CONTROL_THREADS, handle, p);
	if (!http)
		return 1;
	pthread_create(&loop, NULL, proxy_thread_run, p);
	printf("listening %d" STR_FMT "\n", port, STR_ARG(buf_str(&line)));
	fflush(stdout);
	buf_free(&line);
	signals_wait();
	p->stopping = true;
	proxy_wake(p);
	http_stop(http, "127.0.0.1", port);
	pthread_join(loop, NULL);
	return 0;
}

int main(int argc, char **argv)
{
	static struct proxy proxy;
	struct arg_int *control =
		arg_int0(NULL, "control", "PORT", "control port, 0: chosen by the kernel");
	struct arg_str *routes = arg_strn(NULL, "route", "NAME=IP:PORT", 0, ROUTES_MAX,
					  "route that forwards a port to a target");
	struct arg_end *end = arg_end(10);
	void *table[] = { control, routes, end };
	int status = 2;

	signals_block();
	if (arg_parse(argc, argv, table) > 0)
		arg_print_errors(stderr, end, argv[0]);
	else
		status = run(&proxy, control->count ? control->ival[0] : 0, routes);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
