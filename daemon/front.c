#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <urcu-bp.h>

#include "front_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/daemon/request.h"

enum front_error {
	FRONT_OK,
	FRONT_LISTEN,
};

#define AUTHORIZATION_MAX 256
#define IDEMPOTENCY_KEY_MAX 255
#define HEADERS_MAX_BYTES "16384"
#define KEEP_ALIVE_MS "30000"
/* If the backlog is full, the client's TCP retries the connection only after a second. */
#define LISTEN_BACKLOG "1024"
#define CONNECTION_QUEUE "256"

enum authentication organisation_read(const struct gate *gate, const char *key_hash,
				      struct call *call)
{
	struct config_organisation org;
	const struct config *c;
	enum authentication result = AUTH_NO_CONFIG;

	rcu_read_lock();
	c = rcu_dereference(gate->config);
	if (c) {
		result = AUTH_REJECTED;
		if (config_organisation_by_key(c, key_hash, &org)) {
			result = AUTH_OK;
			call->weight = org.weight;
			str_copy(call->organisation, sizeof(call->organisation),
				 str_from(org.name));
		}
	}
	rcu_read_unlock();
	return result;
}

static bool authenticate(struct exchange *x)
{
	const char *header = mg_get_header(x->conn, "Authorization");
	char hash[HASH_HEX_SIZE] = "";
	struct outcome o = { .status = 503,
			     .type = "not_run",
			     .code = "starting",
			     .message = "the configuration has not been loaded yet",
			     .retry_after_s = 1 };

	if (header && strncasecmp(header, "Bearer ", 7) == 0 && strlen(header) < AUTHORIZATION_MAX)
		hash_secret_hex(str_trim(str_from(header + 7)), hash);
	switch (organisation_read(x->front->gate, hash, &x->call)) {
	case AUTH_OK:
		return true;
	case AUTH_REJECTED:
		buf_append_str(&x->headers, STR_LIT("WWW-Authenticate: Bearer\r\n"));
		reply_invalid(x, 401, "invalid_api_key", NULL, "the API key is missing or unknown");
		return false;
	case AUTH_NO_CONFIG:
		break;
	}
	reply_outcome(x, &o);
	return false;
}

static bool request_options_read(struct exchange *x)
{
	const char *priority = mg_get_header(x->conn, "Ibisgate-Priority");
	const char *deadline = mg_get_header(x->conn, "Ibisgate-Deadline-Ms");

	x->call.class = CLASS_NORMAL;
	if (priority && !share_class_parse(str_from(priority), &x->call.class)) {
		reply_invalid(x, 400, "invalid_value", "Ibisgate-Priority",
			      "expected urgent, normal or background");
		return false;
	}
	x->call.has_class = priority != NULL;
	if (deadline && (!str_to_i64(str_from(deadline), &x->call.requested_timeout_ms) ||
			 x->call.requested_timeout_ms < 1)) {
		reply_invalid(x, 400, "invalid_value", "Ibisgate-Deadline-Ms",
			      "expected milliseconds");
		return false;
	}
	return true;
}

static void health_handle(struct exchange *x)
{
	reply_body(x, 200, "text/plain", STR_LIT("ok\n"));
}

static void reply_not_ready(struct exchange *x)
{
	const struct gate *gate = x->front->gate;
	const char *missing = NULL;
	struct buf text = { 0 };

	/* The listener is bound before the control plane exists. */
	if (atomic_load(&gate->state) != GATE_CREATING)
		missing = control_missing_state(gate->control);
	buf_printf(&text, "not ready");
	if (missing)
		buf_printf(&text, ": no %s from the platform or a ready peer", missing);
	buf_printf(&text, "\n");
	reply_body(x, 503, "text/plain", buf_str(&text));
	buf_free(&text);
}

static void ready_handle(struct exchange *x)
{
	struct gate *gate = x->front->gate;
	bool ready = atomic_load(&gate->state) == GATE_READY && !atomic_load(&gate->failed) &&
		     control_is_ready(gate->control);

	if (ready)
		reply_body(x, 200, "text/plain", STR_LIT("ready\n"));
	else
		reply_not_ready(x);
}

static void metrics_handle(struct exchange *x)
{
	struct buf out = { 0 };

	metrics_format(&out, x->front->gate->settings.instance.id);
	reply_body(x, 200, "text/plain; version=0.0.4", buf_str(&out));
	buf_free(&out);
}

static void models_handle(struct exchange *x)
{
	json_t *seen = json_object();
	json_t *data = json_array();
	struct endpoint_status *st;
	int count;

	st = fleet_statuses_copy(x->front->gate->fleet, &count);
	for (int i = 0; i < count; i++) {
		const char *model = st[i].info.model;

		if (!st[i].info.is_engine || !model[0] || json_object_get(seen, model))
			continue;
		json_object_set_new(seen, model, json_true());
		json_array_append_new(data, json_pack("{s:s,s:s,s:s}", "id", model, "object",
						      "model", "owned_by", "ibisgate"));
	}
	free(st);
	json_decref(seen);
	reply_json(x, 200, json_pack("{s:s,s:o}", "object", "list", "data", data));
}

static void service_call_run(struct exchange *x, const char *name, struct str key)
{
	struct service_call s = { .call = x->call, .key = key, .body = buf_str(&x->body) };
	struct outcome o = { 0 };

	str_copy(s.service, sizeof(s.service), str_from(name));
	dispatch_service(x->front->gate->dispatch, &s, &o);
	x->call = s.call;
	if (s.is_single_attempt)
		buf_append_str(&x->headers, STR_LIT("Ibisgate-Outcome: single-try\r\n"));
	if (s.is_replayed)
		buf_append_str(&x->headers, STR_LIT("Ibisgate-Outcome: replayed\r\n"));
	if (o.status == 200) {
		metric_add(METRIC_REQUESTS_OK, 1);
		reply_body(x, s.response_status, "application/json", buf_str(&s.response));
	} else {
		reply_outcome(x, &o);
	}
	buf_free(&s.response);
}

static bool idempotency_key_is_valid(struct str key)
{
	for (size_t i = 0; i < key.len; i++) {
		if (key.data[i] < 0x21 || key.data[i] > 0x7e)
			return false;
	}
	return key.len > 0 && key.len <= IDEMPOTENCY_KEY_MAX;
}

static bool service_name_is_valid(const char *name)
{
	size_t len = strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-._");

	return len > 0 && len < 48 && !name[len];
}

static void service_handle(struct exchange *x, const char *name)
{
	const char *header = mg_get_header(x->conn, "Idempotency-Key");
	struct str key = header ? str_trim(str_from(header)) : (struct str){ 0 };
	struct error err = { 0 };
	json_t *body;

	if (!service_name_is_valid(name)) {
		reply_invalid(x, 404, "unknown_service", NULL, "no such service");
		return;
	}
	if (header && !idempotency_key_is_valid(key)) {
		reply_invalid(x, 400, "invalid_value", "Idempotency-Key",
			      "expected 1 to 255 visible ASCII characters");
		return;
	}
	if (!body_read(x))
		return;
	body = request_json(buf_str(&x->body), &err);
	if (!body) {
		reply_body_error(x, &err, NULL);
		return;
	}
	json_decref(body);
	service_call_run(x, name, key);
}

static const struct path paths[] = {
	{ "/healthz", "GET", false, true, PATH_HEALTH },
	{ "/readyz", "GET", false, true, PATH_READY },
	{ "/metrics", "GET", false, true, PATH_METRICS },
	{ "/v1/models", "GET", false, false, PATH_MODELS },
	{ "/v1/completions", "POST", false, false, PATH_COMPLETIONS },
	{ "/v1/chat/completions", "POST", false, false, PATH_CHAT },
	{ "/v1/services/", "POST", true, false, PATH_SERVICE },
};

const struct path *path_find(const char *uri)
{
	for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		size_t len = strlen(paths[i].path);

		if (paths[i].is_prefix ? strncmp(uri, paths[i].path, len) == 0
				       : strcmp(uri, paths[i].path) == 0)
			return &paths[i];
	}
	return NULL;
}

bool path_allows(const struct path *p, const char *method)
{
	return strcmp(method, p->method) == 0 ||
	       (strcmp(method, "HEAD") == 0 && strcmp(p->method, "GET") == 0);
}

static void request_run(struct exchange *x, const struct path *p, const char *uri)
{
	metric_add(METRIC_REQUESTS, 1);
	event_record("request-received", x->call.id, NULL, x->call.organisation, "path=%s",
		     p->path);
	switch (p->kind) {
	case PATH_COMPLETIONS:
		generate_handle(x, false);
		break;
	case PATH_CHAT:
		generate_handle(x, true);
		break;
	case PATH_SERVICE:
		service_handle(x, uri + strlen(p->path));
		break;
	default:
		break;
	}
	event_record("finished", x->call.id, x->call.endpoint, x->call.organisation,
		     "ms=%" PRId64 " attempts=%d", clock_boot_ms() - x->call.arrived_ms,
		     x->call.attempts);
}

bool gate_is_serving(const struct gate *gate)
{
	int state = atomic_load(&gate->state);

	return state == GATE_READY || state == GATE_DRAINING;
}

/*
 * Sends a 503 and returns false unless the instance is ready or draining. No API key can be
 * verified before the configuration is known, and the caller may retry at another instance.
 */
static bool check_serving(struct exchange *x)
{
	struct outcome o = {
		.status = 503, .type = "not_run", .code = "not_ready", .retry_after_s = 1
	};

	if (gate_is_serving(x->front->gate))
		return true;
	str_copy(o.message, sizeof(o.message), STR_LIT("the instance is starting or stopping"));
	reply_outcome(x, &o);
	return false;
}

static void exchange_handle(struct exchange *x)
{
	const char *uri = x->info->local_uri ? x->info->local_uri : "";
	const char *method = x->info->request_method;
	const struct path *p = path_find(uri);

	/*
	 * CivetWeb drops the headers beyond its limit. If Content-Length is among them, the body
	 * looks like the next request, so the connection is closed.
	 */
	if (x->info->num_headers >= MG_MAX_HEADERS) {
		x->body_read = false;
		reply_invalid(x, 431, "too_many_headers", NULL, "too many header lines");
		return;
	}
	if (!p) {
		reply_invalid(x, 404, "unknown_path", NULL, "no such resource");
		return;
	}
	if (!path_allows(p, method)) {
		buf_printf(&x->headers, "Allow: %s\r\n", p->method);
		reply_invalid(x, 405, "wrong_method", NULL, "method not allowed");
		return;
	}
	if (!p->is_public && !check_serving(x))
		return;
	if (!p->is_public && (!authenticate(x) || !request_options_read(x)))
		return;
	switch (p->kind) {
	case PATH_HEALTH:
		health_handle(x);
		break;
	case PATH_READY:
		ready_handle(x);
		break;
	case PATH_METRICS:
		metrics_handle(x);
		break;
	case PATH_MODELS:
		models_handle(x);
		break;
	default:
		request_run(x, p, uri);
	}
}

static void exchange_init(struct exchange *x, struct front *f, struct mg_connection *conn)
{
	*x = (struct exchange){ .front = f,
				.conn = conn,
				.info = mg_get_request_info(conn),
				.slot = mg_get_user_connection_data(conn) };
	snprintf(x->call.id, sizeof(x->call.id), "r%016" PRIx64, random_u64());
	x->call.arrived_ms = clock_boot_ms();
	/* Without a body, no unread bytes are left that could be parsed as the next request. */
	x->body_read = x->info->content_length <= 0 && !mg_get_header(conn, "Transfer-Encoding");
}

static void exchange_clear(struct exchange *x)
{
	body_release(x);
	buf_free(&x->headers);
}

static int on_request(struct mg_connection *conn)
{
	struct front *f = mg_get_user_data(mg_get_context(conn));
	struct exchange x;

	atomic_fetch_add(&f->gate->requests, 1);
	metric_add(METRIC_STREAMS, 1);
	exchange_init(&x, f, conn);
	if (front_crowd_begin(f->crowd, x.slot, x.info))
		exchange_handle(&x);
	else
		mg_disable_connection_keep_alive(conn);
	exchange_clear(&x);
	front_slot_enter(x.slot, CONNECTION_WAITING);
	metric_add(METRIC_STREAMS, -1);
	atomic_fetch_sub(&f->gate->requests, 1);
	return 200;
}

/*
 * Handles errors that CivetWeb detects before a request handler runs. It reports an oversized
 * header block as malformed, too.
 */
static int on_error(struct mg_connection *conn, int status, const char *message)
{
	struct front *f = mg_get_user_data(mg_get_context(conn));
	struct exchange x;

	exchange_init(&x, f, conn);
	x.body_read = false;
	reply_invalid(&x, status, "bad_request", NULL, "the request is malformed");
	exchange_clear(&x);
	return 0;
}

static int on_log(const struct mg_connection *conn, const char *message)
{
	return 1;
}

static void *on_thread(const struct mg_context *context, int type)
{
	struct front *f = mg_get_user_data(context);

	return type == 1 ? front_crowd_slot(f->crowd) : NULL;
}

/*
 * CivetWeb may call on_close() for a connection without having called on_open(), so counted
 * connections are marked by their user data.
 */
static int on_open(const struct mg_connection *conn, void **data)
{
	struct front *f = mg_get_user_data(mg_get_context(conn));
	struct front_slot *slot = mg_get_thread_pointer(conn);

	atomic_fetch_add(&f->connections, 1);
	front_slot_reset(slot);
	*data = slot;
	return 0;
}

static void on_close(const struct mg_connection *conn)
{
	struct front_slot *slot = mg_get_user_connection_data(conn);

	if (slot)
		front_slot_end(slot, mg_get_request_info(conn));
}

/* The descriptor is closed by now, and the connection's user data is gone. */
static void on_closed(const struct mg_connection *conn)
{
	struct front *f = mg_get_user_data(mg_get_context(conn));

	if (front_slot_reset(mg_get_thread_pointer(conn)))
		atomic_fetch_sub(&f->connections, 1);
}

struct front *front_create(struct gate *gate, struct error *err)
{
	const struct settings *s = &gate->settings;
	struct front *f = mem_zalloc(sizeof(*f));
	struct mg_callbacks callbacks = { .begin_request = on_request,
					  .http_error = on_error,
					  .init_connection = on_open,
					  .connection_close = on_close,
					  .connection_closed = on_closed,
					  .init_thread = on_thread,
					  .log_message = on_log };
	struct mg_server_port port;
	char listen[80];
	char threads[16];
	char timeout[24];
	bool tls = s->http.tls_certificate[0];
	const char *options[] = {
		"listening_ports",
		listen,
		"num_threads",
		threads,
		"request_timeout_ms",
		timeout,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		KEEP_ALIVE_MS,
		"max_request_size",
		HEADERS_MAX_BYTES,
		"tcp_nodelay",
		"1",
		"listen_backlog",
		LISTEN_BACKLOG,
		"connection_queue",
		CONNECTION_QUEUE,
		"decode_url",
		"yes",
		tls ? "ssl_certificate" : NULL,
		s->http.tls_certificate,
		NULL,
	};

	f->gate = gate;
	pthread_mutex_init(&f->ledger_lock, NULL);
	memory_ledger_init(&f->ledger, s->machine.memory_mb);
	f->crowd = front_crowd_create(f);
	snprintf(listen, sizeof(listen), "%s%s", s->http.listen, tls ? "s" : "");
	snprintf(threads, sizeof(threads), "%d", s->http.threads);
	snprintf(timeout, sizeof(timeout), "%" PRId64, s->http.request_timeout_ms);
	mg_init_library(tls ? MG_FEATURES_TLS : MG_FEATURES_DEFAULT);
	f->context = mg_start(&callbacks, f, options);
	if (!f->context || mg_get_server_ports(f->context, 1, &port) != 1) {
		front_stop(f);
		front_destroy(f);
		error_set(err, ERROR_FRONT, FRONT_LISTEN, "cannot listen on %s", s->http.listen);
		return NULL;
	}
	f->port = port.port;
	gate->front = f;
	front_crowd_watch(f->crowd);
	return f;
}

int front_port(const struct front *f)
{
	return f->port;
}

void front_stop(struct front *f)
{
	if (!f)
		return;
	if (f->context)
		mg_stop(f->context);
	f->context = NULL;
	mg_exit_library();
}

void front_destroy(struct front *f)
{
	if (!f)
		return;
	front_crowd_destroy(f->crowd);
	pthread_mutex_destroy(&f->ledger_lock);
	free(f);
}
