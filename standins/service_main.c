#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/standins/common.h"

#define SMALL_BODY_MAX 65536
#define CALL_BODY_MAX (4 * 1024 * 1024)
#define CRASH_STATUS 42

struct service_faults {
	int64_t delay_ms;
	double drop_reply, refuse;
	bool crash_before_effect, crash_after_effect;
};

struct service {
	pthread_mutex_t lock;
	char boot_id[17];
	json_t *effects;
	int64_t in_flight;
	struct service_faults faults;
};

static void faults_snapshot(struct service *s, struct service_faults *out)
{
	pthread_mutex_lock(&s->lock);
	*out = s->faults;
	pthread_mutex_unlock(&s->lock);
}

static const char *header_or_empty(const struct mg_connection *conn, const char *name)
{
	const char *v = mg_get_header(conn, name);

	return v ? v : "";
}

static int64_t effect_record(struct service *s, const struct mg_connection *conn, const char *name,
			     const char *hash)
{
	json_t *effect = json_pack("{s:s,s:s,s:s,s:s,s:s,s:I}", "service", name, "organisation",
				   header_or_empty(conn, "Ibisgate-Organisation"), "key",
				   header_or_empty(conn, "Idempotency-Key"), "request_id",
				   header_or_empty(conn, "Ibisgate-Request-Id"), "body_hash", hash,
				   "at_ms", (json_int_t)clock_wall_ms());
	int64_t number;

	pthread_mutex_lock(&s->lock);
	number = (int64_t)json_array_size(s->effects) + 1;
	json_object_set_new(effect, "effect", json_integer(number));
	json_array_append_new(s->effects, effect);
	pthread_mutex_unlock(&s->lock);
	return number;
}

static int call_run(struct service *s, struct mg_connection *conn, const char *name,
		    struct str body)
{
	struct service_faults f;
	char hash[17];
	int64_t effect;

	faults_snapshot(s, &f);
	if (random_chance(f.refuse))
		return http_reply_error(conn, 503, "not_run", "refused");
	if (f.delay_ms > 0)
		mono_sleep_until(mono_now_us() + f.delay_ms * 1000);
	/* Read the faults again: a crash fault set during the delay applies to this call. */
	faults_snapshot(s, &f);
	if (f.crash_before_effect)
		_exit(CRASH_STATUS);
	snprintf(hash, sizeof(hash), "%016" PRIx64, hash_str(body, 0));
	effect = effect_record(s, conn, name, hash);
	if (f.crash_after_effect)
		_exit(CRASH_STATUS);
	if (random_chance(f.drop_reply))
		return http_abort(conn);
	return http_reply(conn, 200,
			  json_pack("{s:s,s:I,s:s,s:s}", "service", name, "effect",
				    (json_int_t)effect, "key",
				    header_or_empty(conn, "Idempotency-Key"), "body_hash", hash));
}

static void in_flight_add(struct service *s, int64_t n)
{
	pthread_mutex_lock(&s->lock);
	s->in_flight += n;
	pthread_mutex_unlock(&s->lock);
}

static int handle_call(struct service *s, struct mg_connection *conn, struct str raw_name)
{
	struct buf body = { 0 };
	char name[128];
	int status;

	if (!http_percent_decode(raw_name, name, sizeof(name)) ||
	    !http_body_read(conn, CALL_BODY_MAX, &body)) {
		buf_free(&body);
		return http_reply_error(conn, 400, "invalid_request", "bad_call");
	}
	in_flight_add(s, 1);
	status = call_run(s, conn, name, buf_str(&body));
	in_flight_add(s, -1);
	buf_free(&body);
	return status;
}

static int handle_effects(struct service *s, struct mg_connection *conn)
{
	json_t *out;

	pthread_mutex_lock(&s->lock);
	out = json_pack("{s:o}", "effects", json_deep_copy(s->effects));
	pthread_mutex_unlock(&s->lock);
	return http_reply(conn, 200, out);
}

static int handle_load(struct service *s, struct mg_connection *conn)
{
	json_t *out;

	pthread_mutex_lock(&s->lock);
	out = json_pack("{s:s,s:I}", "boot_id", s->boot_id, "in_flight", (json_int_t)s->in_flight);
	pthread_mutex_unlock(&s->lock);
	return http_reply(conn, 200, out);
}

static int handle_faults(struct service *s, struct mg_connection *conn)
{
	json_t *req = http_body_json(conn, SMALL_BODY_MAX);
	struct service_faults *f = &s->faults;

	if (!req)
		return http_reply_error(conn, 400, "invalid_request", "bad_json");
	pthread_mutex_lock(&s->lock);
	f->delay_ms = json_get_i64(req, "delay_ms", f->delay_ms);
	f->drop_reply = json_get_double(req, "drop_reply", f->drop_reply);
	f->refuse = json_get_double(req, "refuse", f->refuse);
	f->crash_before_effect = json_get_bool(req, "crash_before_effect", f->crash_before_effect);
	f->crash_after_effect = json_get_bool(req, "crash_after_effect", f->crash_after_effect);
	pthread_mutex_unlock(&s->lock);
	json_decref(req);
	return http_reply(conn, 200, json_pack("{s:b}", "ok", 1));
}

static int handle_request(struct mg_connection *conn, void *ctx)
{
	struct service *s = ctx;
	struct str path = http_request_path(conn);
	struct str call = STR_LIT("/call/");

	if (str_starts_with(path, call))
		return handle_call(s, conn,
				   (struct str){ path.data + call.len, path.len - call.len });
	if (http_request_matches(conn, "GET", "/effects"))
		return handle_effects(s, conn);
	if (http_request_matches(conn, "GET", "/load"))
		return handle_load(s, conn);
	if (http_request_matches(conn, "POST", "/faults"))
		return handle_faults(s, conn);
	return http_reply_error(conn, 404, "invalid_request", "unknown_path");
}

int main(int argc, char **argv)
{
	static struct service s;
	int64_t port = 0;
	int64_t threads = 100;
	const char *bind = "127.0.0.1";
	const struct option_spec specs[] = {
		{ "port", &port, .help = "port, 0: chosen by the kernel" },
		{ "bind", .text = &bind, .help = "address to listen on" },
		{ "threads", &threads, .help = "connection threads" },
		{ "delay-ms", &s.faults.delay_ms, .help = "duration of a call" },
	};
	struct mg_context *http;
	int bound;

	if (options_parse(argc, argv, specs, sizeof(specs) / sizeof(specs[0])) != 0)
		return 2;
	signals_block();
	pthread_mutex_init(&s.lock, NULL);
	snprintf(s.boot_id, sizeof(s.boot_id), "%016" PRIx64, random_u64());
	s.effects = json_array();
	bound = (int)port;
	http = http_start(bind, &bound, (int)threads, handle_request, &s);
	if (!http)
		return 1;
	http_port_announce(bound);
	signals_wait();
	http_stop(http, bind, bound);
	json_decref(s.effects);
	return 0;
}
