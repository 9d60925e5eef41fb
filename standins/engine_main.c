#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/standins/engine.h"

#define SMALL_BODY_MAX 65536
#define DRAIN_POLL_INTERVAL_US 20000

static int handle_kv(struct engine *e, struct mg_connection *conn, struct str handle)
{
	char hex[17] = "";
	int64_t tokens = -1;

	if (handle.len == 16 && str_copy(hex, sizeof(hex), handle))
		tokens = engine_kv_find(e, strtoull(hex, NULL, 16));
	if (tokens < 0)
		return http_reply_error(conn, 404, "not_run", "kv_gone");
	mono_sleep_until(mono_now_us() + tokens * e->opt.kv_token_us);
	return http_reply(conn, 200, json_pack("{s:I}", "tokens", (json_int_t)tokens));
}

static int handle_cancel(struct engine *e, struct mg_connection *conn)
{
	json_t *req = http_body_json(conn, SMALL_BODY_MAX);
	const json_t *v = json_object_get(req, "attempt");
	char attempt[ENGINE_NAME_MAX] = "";
	int n;

	if (json_is_string(v))
		str_copy(attempt, sizeof(attempt), json_get_str(req, "attempt"));
	else if (json_is_integer(v))
		snprintf(attempt, sizeof(attempt), "%lld", (long long)json_integer_value(v));
	json_decref(req);
	if (!attempt[0])
		return http_reply_error(conn, 400, "invalid_request", "bad_attempt");
	pthread_mutex_lock(&e->lock);
	n = engine_seqs_abort(e, attempt);
	e->stats.cancelled += n;
	pthread_mutex_unlock(&e->lock);
	return http_reply(conn, 200, json_pack("{s:i}", "cancelled", n));
}

static void faults_set(struct engine *e, const json_t *req)
{
	struct engine_faults *f = &e->faults;
	bool frozen = json_get_bool(req, "load_frozen", f->load_frozen);

	if (json_object_get(req, "crash_marker"))
		str_copy(f->crash_marker, sizeof(f->crash_marker),
			 json_get_str(req, "crash_marker"));
	f->crash_in_change = json_get_bool(req, "crash_in_change", f->crash_in_change);
	if (json_object_get(req, "stall_ms"))
		f->stall_until_us = mono_now_us() + json_get_i64(req, "stall_ms", 0) * 1000;
	if (json_object_get(req, "silent_after_tokens"))
		atomic_store(&f->silent_after_tokens, json_get_i64(req, "silent_after_tokens", -1));
	if (frozen && !f->load_frozen)
		e->load_frozen_at_us = mono_now_us();
	f->load_frozen = frozen;
	e->opt.cache_event_loss = json_get_double(req, "cache_event_loss", e->opt.cache_event_loss);
	f->slow_factor = json_get_double(req, "slow_factor", f->slow_factor);
	f->late_chunks = json_get_i64(req, "late_chunks", f->late_chunks);
}

static int handle_faults(struct engine *e, struct mg_connection *conn)
{
	json_t *req = http_body_json(conn, SMALL_BODY_MAX);

	if (!req)
		return http_reply_error(conn, 400, "invalid_request", "bad_json");
	if (json_get_bool(req, "crash", false))
		engine_crash("fault");
	pthread_mutex_lock(&e->lock);
	faults_set(e, req);
	pthread_mutex_unlock(&e->lock);
	json_decref(req);
	return http_reply(conn, 200, json_pack("{s:b}", "ok", 1));
}

static int handle_stats(struct engine *e, struct mg_connection *conn)
{
	const struct engine_stats *s = &e->stats;
	json_t *out;

	pthread_mutex_lock(&e->lock);
	/* A crash ends the process, so "crashes" of a running engine is always 0. */
	out = json_pack(
		"{s:I,s:I,s:I,s:I,s:i,s:I,s:I,s:I,s:I}", "requests", (json_int_t)s->requests,
		"tokens", (json_int_t)s->tokens, "prefill_tokens", (json_int_t)s->prefill_tokens,
		"cached_tokens", (json_int_t)s->cached_tokens, "crashes", 0, "bad_resume",
		(json_int_t)s->bad_resume, "cut_requests", (json_int_t)s->cut_requests, "cancelled",
		(json_int_t)s->cancelled, "late_chunks", (json_int_t)s->late_chunks);
	pthread_mutex_unlock(&e->lock);
	return http_reply(conn, 200, out);
}

static int handle_cache_events(struct engine *e, struct mg_connection *conn)
{
	int64_t after = http_query_i64(conn, "after", 0);
	json_t *out;

	pthread_mutex_lock(&e->lock);
	out = engine_cache_events(e, after);
	pthread_mutex_unlock(&e->lock);
	return http_reply(conn, 200, out);
}

static int handle_request(struct mg_connection *conn, void *ctx)
{
	struct engine *e = ctx;
	struct str path = http_request_path(conn);

	if (http_request_matches(conn, "POST", "/v1/completions"))
		return engine_completions(e, conn, false);
	if (http_request_matches(conn, "POST", "/v1/chat/completions"))
		return engine_completions(e, conn, true);
	if (http_request_matches(conn, "POST", "/v1/cancel"))
		return handle_cancel(e, conn);
	if (http_request_matches(conn, "GET", "/load"))
		return http_reply(conn, 200, engine_load_json(e));
	if (http_request_matches(conn, "GET", "/cache_events"))
		return handle_cache_events(e, conn);
	if (http_request_matches(conn, "POST", "/orders"))
		return engine_order_post(e, conn);
	if (http_request_matches(conn, "GET", "/orders"))
		return engine_order_list(e, conn);
	if (http_request_matches(conn, "GET", "/stats"))
		return handle_stats(e, conn);
	if (http_request_matches(conn, "POST", "/faults"))
		return handle_faults(e, conn);
	if (str_starts_with(path, STR_LIT("/kv/")))
		return handle_kv(e, conn, (struct str){ path.data + 4, path.len - 4 });
	return http_reply_error(conn, 404, "invalid_request", "unknown_path");
}

static void *engine_timer_run(void *engine)
{
	struct engine *e = engine;
	int64_t next = mono_now_us();

	while (!e->stopping) {
		engine_load_sample(e);
		engine_order_finish_due(e);
		next += ENGINE_SAMPLE_MS * 1000;
		mono_sleep_until(next);
	}
	return NULL;
}

static int engine_options_read(struct engine_options *o, int argc, char **argv)
{
	const struct option_spec specs[] = {
		{ "port", &o->port, .help = "port, 0: chosen by the kernel" },
		{ "bind", .text = &o->bind, .help = "address to listen on" },
		{ "url", .text = &o->url, .help = "URL announced to other processes" },
		{ "name", .text = &o->name, .help = "name in the platform's endpoint list" },
		{ "dc", .text = &o->dc, .help = "data centre" },
		{ "model", .text = &o->model, .help = "model" },
		{ "role", .text = &o->role, .help = "prefill, decode or mixed" },
		{ "platform", .text = &o->platform, .help = "platform to register with" },
		{ "prefill-rate", &o->prefill_rate,
		  .help = "prefill tokens per second, 0: instant" },
		{ "step-base-us", &o->step_base_us, .help = "fixed duration of a decode step" },
		{ "step-per-seq-us", &o->step_per_seq_us,
		  .help = "decode step duration added per sequence" },
		{ "slots", &o->slots, .help = "sequences decoded concurrently" },
		{ "cache-pieces", &o->cache_pieces, .help = "capacity of the prefix cache" },
		{ "cache-event-lag-ms", &o->cache_event_lag_ms, .help = "delay of cache events" },
		{ "cache-event-loss", .fraction = &o->cache_event_loss,
		  .help = "probability that an event is lost" },
		{ "load-lag-ms", &o->load_lag_ms, .help = "delay of the load report" },
		{ "role-change-ms", &o->role_change_ms,
		  .help = "duration of a role or model change" },
		{ "check-fencing", &o->check_fencing, .help = "1: refuse stale fencing tokens" },
		{ "kv-token-us", &o->kv_token_us, .help = "KV transfer time per token" },
		{ "threads", &o->threads, .help = "connection threads" },
		{ "tokens-per-chunk", &o->tokens_per_chunk, .help = "tokens in an SSE chunk" },
		{ "leave-ms", &o->leave_ms,
		  .help = "time to keep serving after SIGTERM if registered" },
		{ "drain-ms", &o->drain_ms, .help = "limit for requests in flight after that" },
	};

	if (options_parse(argc, argv, specs, sizeof(specs) / sizeof(specs[0])) != 0)
		return -1;
	if (strcmp(o->role, "mixed") != 0 && strcmp(o->role, "prefill") != 0 &&
	    strcmp(o->role, "decode") != 0) {
		fprintf(stderr, "--role: expected prefill, decode or mixed\n");
		return -1;
	}
	if (o->tokens_per_chunk < 1 || o->slots < 1 || o->threads < 1 || o->cache_pieces < 0) {
		fprintf(stderr, "--tokens-per-chunk, --slots, --threads: minimum 1; "
				"--cache-pieces: minimum 0\n");
		return -1;
	}
	return 0;
}

static struct engine *engine_create(const struct engine_options *o)
{
	struct engine *e = mem_zalloc(sizeof(*e));

	e->opt = *o;
	snprintf(e->boot_id, sizeof(e->boot_id), "%016" PRIx64, random_u64());
	str_copy(e->role, sizeof(e->role), str_from(o->role));
	str_copy(e->model, sizeof(e->model), str_from(o->model));
	pthread_mutex_init(&e->lock, NULL);
	cond_init_mono(&e->work_cond);
	cond_init_mono(&e->stop_cond);
	e->seqs_tail = &e->seqs;
	e->cache.capacity = (int)o->cache_pieces;
	e->cache.pieces = mem_zalloc(sizeof(*e->cache.pieces) * (size_t)(o->cache_pieces + 1));
	e->current_order = -1;
	e->faults.slow_factor = 1.0;
	atomic_store(&e->faults.silent_after_tokens, -1);
	return e;
}

static void engine_destroy(struct engine *e)
{
	free(e->cache.pieces);
	pthread_cond_destroy(&e->stop_cond);
	pthread_cond_destroy(&e->work_cond);
	pthread_mutex_destroy(&e->lock);
	free(e);
}

static bool engine_is_idle(struct engine *e)
{
	bool idle;

	pthread_mutex_lock(&e->lock);
	idle = e->in_flight == 0;
	pthread_mutex_unlock(&e->lock);
	return idle;
}

static void engine_shutdown(struct engine *e)
{
	int64_t end;

	if (e->opt.platform) {
		e->leaving = true;
		engine_register_post(e, true);
		mono_sleep_until(mono_now_us() + e->opt.leave_ms * 1000);
	}
	end = mono_now_us() + e->opt.drain_ms * 1000;
	while (!engine_is_idle(e) && mono_now_us() < end)
		mono_sleep_until(mono_now_us() + DRAIN_POLL_INTERVAL_US);
	pthread_mutex_lock(&e->lock);
	e->stopping = true;
	pthread_cond_broadcast(&e->work_cond);
	pthread_cond_broadcast(&e->stop_cond);
	e->stats.cut_requests += engine_seqs_abort(e, NULL);
	pthread_mutex_unlock(&e->lock);
}

int main(int argc, char **argv)
{
	struct engine_options opt = {
		.prefill_rate = 20000,
		.step_base_us = 20000,
		.step_per_seq_us = 300,
		.slots = 64,
		.cache_pieces = 200,
		.load_lag_ms = 2000,
		.cache_event_lag_ms = 1000,
		.role_change_ms = 3000,
		.kv_token_us = 5,
		.threads = 300,
		.tokens_per_chunk = 1,
		.leave_ms = 5000,
		.drain_ms = 5000,
		.name = "engine",
		.dc = "local",
		.model = "model",
		.role = "mixed",
		.bind = "127.0.0.1",
	};
	struct mg_context *http;
	struct engine *e;
	pthread_t sched, timer, registrar;
	int port;

	if (engine_options_read(&opt, argc, argv) != 0)
		return 2;
	log_init(LOG_INFO, "engine");
	signals_block();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	e = engine_create(&opt);
	engine_load_sample(e);
	port = (int)opt.port;
	http = http_start(opt.bind, &port, (int)opt.threads, handle_request, e);
	if (!http)
		return 1;
	if (opt.url)
		str_copy(e->url, sizeof(e->url), str_from(opt.url));
	else
		snprintf(e->url, sizeof(e->url), "http://%s:%d", opt.bind, port);
	pthread_create(&sched, NULL, engine_sched_run, e);
	pthread_create(&timer, NULL, engine_timer_run, e);
	if (opt.platform)
		pthread_create(&registrar, NULL, engine_register_run, e);
	http_port_announce(port);
	signals_wait();
	engine_shutdown(e);
	http_stop(http, opt.bind, port);
	pthread_join(sched, NULL);
	pthread_join(timer, NULL);
	if (opt.platform)
		pthread_join(registrar, NULL);
	engine_destroy(e);
	return 0;
}
