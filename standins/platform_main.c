#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/standins/platform.h"

#define CONTROL_BODY_MAX_BYTES 65536
#define EXPIRE_INTERVAL_US 100000

static bool fault_is_down(struct platform_state *p, int64_t *delay_ms)
{
	bool down;

	pthread_mutex_lock(&p->lock);
	down = p->faults.down;
	*delay_ms = p->faults.delay_ms;
	pthread_mutex_unlock(&p->lock);
	return down;
}

int platform_admit(struct platform_state *p, struct mg_connection *conn, bool write)
{
	int64_t delay_ms;
	bool is_admitted;

	if (fault_is_down(p, &delay_ms))
		return http_abort(conn);
	if (delay_ms > 0) {
		mono_sleep_until(mono_now_us() + delay_ms * 1000);
		/* An outage that started during the delay applies to this request too. */
		if (fault_is_down(p, &delay_ms))
			return http_abort(conn);
	}
	pthread_mutex_lock(&p->lock);
	is_admitted = token_bucket_take(write ? &p->writes : &p->reads);
	if (!is_admitted)
		p->stats.rejected++;
	else if (write)
		p->stats.writes++;
	else
		p->stats.reads++;
	pthread_mutex_unlock(&p->lock);
	return is_admitted ? 0 : http_reply_error(conn, 429, "not_run", "rate_limited");
}

int platform_write_reply(struct platform_state *p, struct mg_connection *conn, int status,
			 json_t *value)
{
	bool drop;

	pthread_mutex_lock(&p->lock);
	drop = random_chance(p->faults.drop_reply_probability);
	if (!drop && p->faults.drop_next_writes > 0) {
		p->faults.drop_next_writes--;
		drop = true;
	}
	pthread_mutex_unlock(&p->lock);
	if (!drop)
		return http_reply(conn, status, value);
	json_decref(value);
	return http_abort(conn);
}

static int handle_list_read(struct platform_state *p, struct mg_connection *conn)
{
	const char *if_none_match = mg_get_header(conn, "If-None-Match");
	int status = platform_admit(p, conn, false);
	char etag[64];
	json_t *list;

	if (status)
		return status;
	list = list_read(&p->list, etag, sizeof(etag));
	/* If-None-Match may list several tags, each in quotes. */
	if (!if_none_match || !strstr(if_none_match, etag))
		return http_reply_with_etag(conn, 200, list, etag);
	json_decref(list);
	return http_reply_with_etag(conn, 304, NULL, etag);
}

static int handle_list_set(struct platform_state *p, struct mg_connection *conn, bool instance)
{
	json_t *req = http_body_json(conn, CONTROL_BODY_MAX_BYTES);
	bool ok = req && list_entry_set(&p->list, instance, req);

	json_decref(req);
	if (!ok)
		return http_reply_error(conn, 400, "invalid_request", "bad_entry");
	return http_reply(conn, 200, json_pack("{s:b}", "ok", 1));
}

static int handle_list_remove(struct platform_state *p, struct mg_connection *conn, bool instance,
			      struct str raw_id)
{
	char id[64];

	if (!http_percent_decode(raw_id, id, sizeof(id)) ||
	    !list_entry_remove(&p->list, instance, id))
		return http_reply_error(conn, 404, "not_found", "no_entry");
	return http_reply(conn, 200, json_pack("{s:b}", "ok", 1));
}

static int handle_faults(struct platform_state *p, struct mg_connection *conn)
{
	json_t *req = http_body_json(conn, CONTROL_BODY_MAX_BYTES);
	struct platform_faults *f = &p->faults;

	if (!req)
		return http_reply_error(conn, 400, "invalid_request", "bad_json");
	pthread_mutex_lock(&p->lock);
	f->down = json_get_bool(req, "down", f->down);
	f->delay_ms = json_get_i64(req, "delay_ms", f->delay_ms);
	f->drop_reply_probability = json_get_double(req, "drop_reply", f->drop_reply_probability);
	f->drop_next_writes = json_get_i64(req, "drop_next_writes", f->drop_next_writes);
	pthread_mutex_unlock(&p->lock);
	json_decref(req);
	return http_reply(conn, 200, json_pack("{s:b}", "ok", 1));
}

static int handle_stats(struct platform_state *p, struct mg_connection *conn)
{
	struct platform_stats s;

	pthread_mutex_lock(&p->lock);
	s = p->stats;
	pthread_mutex_unlock(&p->lock);
	return http_reply(conn, 200,
			  json_pack("{s:I,s:I,s:I,s:I}", "reads", (json_int_t)s.reads, "writes",
				    (json_int_t)s.writes, "rejected", (json_int_t)s.rejected,
				    "conflicts", (json_int_t)s.conflicts));
}

static bool path_strip_prefix(struct str *path, const char *prefix)
{
	struct str p = str_from(prefix);

	if (!str_starts_with(*path, p))
		return false;
	path->data += p.len;
	path->len -= p.len;
	return true;
}

static int handle(struct mg_connection *conn, void *ctx)
{
	struct platform_state *p = ctx;
	struct str path = http_request_path(conn);

	if (path_strip_prefix(&path, "/table/"))
		return table_request(p, conn, path);
	if (path_strip_prefix(&path, "/objects/"))
		return object_request(p, conn, path);
	if (http_request_matches(conn, "GET", "/table"))
		return table_scan(p, conn);
	if (http_request_matches(conn, "POST", "/txn"))
		return table_txn(p, conn);
	if (http_request_matches(conn, "GET", "/list"))
		return handle_list_read(p, conn);
	if (http_request_matches(conn, "POST", "/list/instances"))
		return handle_list_set(p, conn, true);
	if (http_request_matches(conn, "POST", "/list/endpoints"))
		return handle_list_set(p, conn, false);
	if (path_strip_prefix(&path, "/list/instances/"))
		return handle_list_remove(p, conn, true, path);
	if (path_strip_prefix(&path, "/list/endpoints/"))
		return handle_list_remove(p, conn, false, path);
	if (http_request_matches(conn, "POST", "/faults"))
		return handle_faults(p, conn);
	if (http_request_matches(conn, "GET", "/stats"))
		return handle_stats(p, conn);
	return http_reply_error(conn, 404, "invalid_request", "unknown_path");
}

static void *expire_thread_run(void *platform)
{
	struct platform_state *p = platform;

	while (!p->stopping) {
		list_expire(&p->list);
		mono_sleep_until(mono_now_us() + EXPIRE_INTERVAL_US);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static struct platform_state p;
	int64_t port = 0;
	int64_t threads = 100;
	int64_t lag_ms = 1000;
	int64_t writes = 400;
	int64_t reads = 2000;
	const char *bind = "127.0.0.1";
	const struct option_spec specs[] = {
		{ "port", &port, .help = "port, 0: chosen by the kernel" },
		{ "bind", .text = &bind, .help = "address to listen on" },
		{ "threads", &threads, .help = "connection threads" },
		{ "list-lag-ms", &lag_ms, .help = "age of the list that readers see" },
		{ "writes-per-s", &writes, .help = "limit on the rate of writes" },
		{ "reads-per-s", &reads, .help = "limit on the rate of reads" },
	};
	struct mg_context *http;
	pthread_t thread;
	int bound;

	if (options_parse(argc, argv, specs, sizeof(specs) / sizeof(specs[0])) != 0)
		return 2;
	signals_block();
	pthread_mutex_init(&p.lock, NULL);
	token_bucket_init(&p.reads, reads);
	token_bucket_init(&p.writes, writes);
	list_init(&p.list, lag_ms);
	bound = (int)port;
	http = http_start(bind, &bound, (int)threads, handle, &p);
	if (!http)
		return 1;
	pthread_create(&thread, NULL, expire_thread_run, &p);
	http_port_announce(bound);
	signals_wait();
	p.stopping = true;
	http_stop(http, bind, bound);
	pthread_join(thread, NULL);
	return 0;
}
