#include <event2/buffer.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>

#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"

/*
 * Least TCP user timeout of a caller's connection, in milliseconds. The kernel also applies it to a
 * peer that is alive and has no room for more, so it must not be below the idle limit.
 */
#define CALLER_USER_TIMEOUT_MS 5000

/*
 * How long a connection stays open after a refusal that leaves unread bytes, in milliseconds:
 * closing it at once would send a reset and lose the response.
 */
#define CLOSE_LINGER_MS 1000

/*
 * Maximum unparsed bytes buffered for pipelined requests, and so bytes that one call of on_read()
 * finds; libevent reads as much at a time.
 */
#define PIPELINE_MAX_BYTES 16384

/* Limits until a configuration is loaded. */
static const struct request_limits limits_default = {
	.head_max_bytes = 16384,
	.body_max_bytes = 4194304,
	.head_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

/* Unsent output of a connection above which no further request of it is read, in bytes. */
#define OUTPUT_MAX_BYTES (256 << 10)

/*
 * Memory of a connection besides its head and buffers, in bytes: struct caller, its bufferevent and
 * the smallest blocks of its buffers.
 */
#define CONNECTION_BYTES 6144

/* A larger buffer of a body is freed after its request, in bytes. */
#define BODY_KEPT_BYTES 16384

/*
 * How long a body waits for memory before another unfinished one is given up for it, and before
 * it is refused itself, in milliseconds. Callers give up a request that isn't read for a second.
 */
#define MEMORY_WAIT_MS 500
#define MEMORY_WAIT_MAX_MS 1000

/* When a caller should come back who is refused for lack of memory, in milliseconds. */
#define MEMORY_RETRY_AFTER_MS 500

enum caller_phase {
	CALLER_IDLE,
	CALLER_HEAD,
	CALLER_BODY,
	CALLER_BUSY,
	CALLER_CLOSING,
};

/**
 * struct caller - one connection from a caller
 * @phase_since_ms: when @phase was entered
 * @idle_limit_ms: highest idle limit in force since the connection became idle
 * @begun_ms: when the head of the current request was complete
 * @in_exchange_begin: exchange_begin() is on the stack
 * @oversized: the body exceeds the limit
 * @announced: length of the body that is being read; -1 if it was not announced
 * @received_ms: when input last arrived, or when reading went on
 * @waits_since_ms: since when reading is stopped for lack of memory; 0 if it is not
 * @held: bytes in the ledger, by purpose
 * @had_request: a request has run on the connection
 * @unread_ms: when the caller last read some of its output, or when there was none before
 * @unsent_bytes: output left to send at the last check of a connection that is closing
 * @destroy_pending: free the connection once no callback runs on it
 * @callback_depth: number of read callbacks on the stack
 */
struct caller {
	struct cds_list_head link;
	struct entry *entry;
	struct bufferevent *bev;
	struct http_reader reader;
	struct buf body;
	struct exchange *exchange;
	struct request_limits limits;
	enum caller_phase phase;
	int64_t phase_since_ms;
	int64_t idle_limit_ms;
	int64_t begun_ms;
	bool keep_open;
	bool in_exchange_begin;
	bool oversized;
	bool had_request;
	int64_t announced;
	int64_t received_ms;
	int64_t waits_since_ms;
	int64_t held[LEDGER_PURPOSES];
	int64_t unread_ms;
	size_t unsent_bytes;
	bool destroy_pending;
	int callback_depth;
};

static void caller_set_phase(struct caller *c, enum caller_phase phase)
{
	c->phase = phase;
	c->phase_since_ms = clock_boot_ms();
	cds_list_del(&c->link);
	cds_list_add_tail(&c->link, &c->entry->callers);
}

static int64_t caller_unread_bytes(const struct caller *c)
{
	return (int64_t)evbuffer_get_length(bufferevent_get_output(c->bev));
}

static void caller_hold(struct caller *c, enum ledger_purpose purpose, int64_t bytes)
{
	memory_ledger_set(&c->entry->ledger, purpose, &c->held[purpose], bytes);
}

static void caller_account_unread(struct caller *c)
{
	caller_hold(c, LEDGER_UNREAD, caller_unread_bytes(c));
}

/* Receives the answer on once its caller has read half of what may wait for it. */
static void caller_resume_answer(struct caller *c)
{
	if (c->exchange &&
	    caller_unread_bytes(c) <= memory_ledger_unread_max(&c->entry->ledger) / 2)
		attempt_set_paused(c->exchange, false);
}

static void on_output(struct evbuffer *out, const struct evbuffer_cb_info *info, void *ctx)
{
	struct caller *c = ctx;

	if (info->n_deleted || !info->orig_size)
		c->unread_ms = clock_boot_ms();
	if (info->n_deleted) {
		caller_account_unread(c);
		caller_resume_answer(c);
	}
}

/* Brings the ledger up to date with everything but a body that is being read. */
static void caller_account(struct caller *c)
{
	size_t held = c->reader.head.text.cap + c->reader.head.target.cap +
		      evbuffer_get_length(bufferevent_get_input(c->bev));

	caller_account_unread(c);
	if (c->phase != CALLER_BODY && c->phase != CALLER_BUSY) {
		caller_hold(c, LEDGER_BODIES, 0);
		held += c->body.cap;
	}
	caller_hold(c, LEDGER_CONNECTIONS, CONNECTION_BYTES + (int64_t)held);
}

static void caller_wait_end(struct caller *c)
{
	if (!c->waits_since_ms)
		return;
	c->waits_since_ms = 0;
	c->entry->callers_waiting--;
	c->received_ms = clock_boot_ms();
	bufferevent_enable(c->bev, EV_READ);
}

/* Takes the memory to read the body on; false when there is none. */
static bool caller_take_body(struct caller *c)
{
	int64_t bytes =
		memory_ledger_body_bytes((int64_t)c->body.len + PIPELINE_MAX_BYTES, c->announced);
	int64_t least = memory_ledger_body_bytes(0, (int64_t)c->body.len);
	int64_t most = memory_ledger_body_bytes(0, c->limits.body_max_bytes);

	if (bytes > most)
		bytes = most;
	if (c->held[LEDGER_BODIES] >= bytes)
		return true;
	if (memory_ledger_has_room(&c->entry->ledger, c->held[LEDGER_BODIES], bytes,
				   c->limits.body_max_bytes)) {
		caller_hold(c, LEDGER_BODIES, bytes);
		return true;
	}
	if (c->held[LEDGER_BODIES] < least)
		caller_hold(c, LEDGER_BODIES, least);
	return false;
}

/* Stops reading the body while there is no memory for more of it. */
static void caller_wait_for_memory(struct caller *c)
{
	if (c->waits_since_ms)
		return;
	c->waits_since_ms = clock_boot_ms();
	c->entry->callers_waiting++;
	bufferevent_disable(c->bev, EV_READ);
	callers_check_memory(c->entry);
}

static void caller_free_body(struct caller *c)
{
	if (c->body.cap > BODY_KEPT_BYTES)
		buf_free(&c->body);
	c->body.len = 0;
	caller_hold(c, LEDGER_BODIES, 0);
	caller_account(c);
	callers_check_memory(c->entry);
}

void caller_destroy(struct caller *c)
{
	if (c->exchange) {
		struct exchange *x = c->exchange;

		c->exchange = NULL;
		exchange_cancel(x);
	}
	if (c->callback_depth) {
		c->destroy_pending = true;
		return;
	}
	if (c->waits_since_ms)
		c->entry->callers_waiting--;
	for (int i = 0; i < LEDGER_PURPOSES; i++)
		caller_hold(c, (enum ledger_purpose)i, 0);
	callers_check_memory(c->entry);
	c->entry->caller_count--;
	c->entry->callers_unused -= !c->had_request;
	cds_list_del(&c->link);
	bufferevent_free(c->bev);
	http_reader_free(&c->reader);
	buf_free(&c->body);
	free(c);
}

void caller_write(struct caller *c, struct str bytes)
{
	bufferevent_write(c->bev, bytes.data, bytes.len);
	caller_account_unread(c);
	callers_check_memory(c->entry);
	if (c->exchange && c->held[LEDGER_UNREAD] > memory_ledger_unread_max(&c->entry->ledger))
		attempt_set_paused(c->exchange, true);
}

/*
 * Starts to close the connection after all pending output has been sent; input that still arrives
 * is discarded. Returns true when there is nothing to wait for.
 */
static bool caller_close_begin(struct caller *c)
{
	caller_set_phase(c, CALLER_CLOSING);
	return evbuffer_get_length(bufferevent_get_output(c->bev)) == 0 &&
	       evbuffer_get_length(bufferevent_get_input(c->bev)) == 0 && !c->reader.is_in_message;
}

static void caller_refuse_until(struct caller *c, int status, const char *reason,
				int64_t retry_after_ms)
{
	struct buf out = { 0 };

	metric_add(METRIC_BAD_REQUESTS, 1);
	log_info("request-refused", "request=- status=%d cause=%s", status, reason);
	wire_local_response_encode(&out,
				   &(struct local_response){
					   .status = status,
					   .reason = reason,
					   .retry_after_ms = retry_after_ms,
					   .close = true,
					   .no_body = http_reader_is_in_head_request(&c->reader),
				   });
	caller_write(c, buf_str(&out));
	buf_free(&out);
	c->keep_open = false;
	caller_set_phase(c, CALLER_CLOSING);
	caller_wait_end(c);
	caller_free_body(c);
}

static void caller_refuse(struct caller *c, int status, const char *reason)
{
	caller_refuse_until(c, status, reason, -1);
}

static int on_head(void *ctx, const struct http_head *head)
{
	struct caller *c = ctx;
	struct str value;

	c->begun_ms = clock_boot_ms();
	c->body.len = 0;
	c->keep_open = head->keep_alive;
	c->announced = http_head_i64(head, "content-length", -1);
	c->oversized = http_head_i64(head, "content-length", 0) > c->limits.body_max_bytes;
	caller_set_phase(c, CALLER_BODY);
	if (!c->oversized && http_head_find(head, "expect", &value))
		caller_write(c, STR_LIT("HTTP/1.1 100 Continue\r\n\r\n"));
	return 0;
}

static void on_body(void *ctx, struct str bytes)
{
	struct caller *c = ctx;

	if (c->oversized)
		return;
	if ((int64_t)(c->body.len + bytes.len) > c->limits.body_max_bytes) {
		c->oversized = true;
		return;
	}
	buf_append(&c->body, bytes.data, bytes.len);
}

static void on_end(void *ctx)
{
	(void)ctx;
}

static const struct http_reader_ops reader_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static const struct request_limits *limits_in_force(const struct entry *e)
{
	return e->table ? &e->table->limits : &limits_default;
}

static void caller_update_limits(struct caller *c)
{
	c->limits = *limits_in_force(c->entry);
	c->reader.head_max = (size_t)c->limits.head_max_bytes;
}

static void caller_set_idle(struct caller *c)
{
	caller_set_phase(c, CALLER_IDLE);
	c->idle_limit_ms = limits_in_force(c->entry)->idle_timeout_ms;
}

/*
 * A caller reuses the connection for a part of the limit that it knows, so a lower one applies from
 * the next time that the connection becomes idle.
 */
static bool caller_is_idle_too_long(struct caller *c, int64_t age_ms)
{
	int64_t limit_ms = limits_in_force(c->entry)->idle_timeout_ms;

	if (limit_ms > c->idle_limit_ms)
		c->idle_limit_ms = limit_ms;
	return age_ms > c->idle_limit_ms;
}

static void refuse_parse_fault(struct caller *c)
{
	if (c->reader.fault == HTTP_FAULT_HEAD_SIZE)
		caller_refuse(c, 431, "head too large");
	else if (c->reader.fault == HTTP_FAULT_FRAMING)
		caller_refuse(c, 400, "conflicting framing");
	else
		caller_refuse(c, 400, "malformed request");
}

static void caller_run_request(struct caller *c)
{
	caller_set_phase(c, CALLER_BUSY);
	c->entry->callers_unused -= !c->had_request;
	c->had_request = true;
	caller_account(c);
	caller_hold(c, LEDGER_BODIES, memory_ledger_body_bytes(0, (int64_t)c->body.len));
	metric_add(METRIC_REQUESTS, 1);
	c->in_exchange_begin = true;
	exchange_begin(c->entry, c, &c->reader.head, buf_str(&c->body), c->begun_ms, &c->exchange);
	c->in_exchange_begin = false;
}

static void caller_parse_input(struct caller *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);

	while (c->phase != CALLER_BUSY && c->phase != CALLER_CLOSING && !c->destroy_pending &&
	       !c->waits_since_ms && evbuffer_get_length(in) > 0 &&
	       caller_unread_bytes(c) <= OUTPUT_MAX_BYTES) {
		size_t len = evbuffer_get_contiguous_space(in);
		struct str bytes = { .data = (char *)evbuffer_pullup(in, (ev_ssize_t)len),
				     .len = len };
		int64_t used;

		if (c->phase == CALLER_IDLE) {
			caller_update_limits(c);
			caller_set_phase(c, CALLER_HEAD);
		}
		used = http_reader_feed(&c->reader, bytes);
		if (used < 0) {
			refuse_parse_fault(c);
			return;
		}
		evbuffer_drain(in, (size_t)used);
		if (c->oversized) {
			caller_refuse(c, 413, "body too large");
			return;
		}
		if (c->reader.is_complete) {
			http_reader_next(&c->reader);
			caller_run_request(c);
		} else if (c->phase == CALLER_BODY && !caller_take_body(c)) {
			caller_wait_for_memory(c);
		}
	}
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct caller *c = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (c->phase == CALLER_CLOSING) {
		evbuffer_drain(in, evbuffer_get_length(in));
		return;
	}
	c->callback_depth++;
	caller_parse_input(c);
	if (c->phase == CALLER_BODY)
		c->received_ms = clock_boot_ms();
	caller_account(c);
	callers_check_memory(c->entry);
	if (--c->callback_depth == 0 && c->destroy_pending)
		caller_destroy(c);
}

static void on_write(struct bufferevent *bev, void *ctx)
{
	struct caller *c = ctx;

	caller_account_unread(c);
	caller_resume_answer(c);
	if (c->phase == CALLER_IDLE && evbuffer_get_length(bufferevent_get_input(bev))) {
		on_read(bev, c);
		return;
	}
	if (c->phase == CALLER_CLOSING && !c->reader.is_in_message && !c->oversized &&
	    !c->reader.fault)
		caller_destroy(c);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	caller_destroy(ctx);
}

void caller_request_done(struct caller *c, bool keep)
{
	c->exchange = NULL;
	if (!keep || !c->keep_open) {
		caller_free_body(c);
		if (caller_close_begin(c))
			caller_destroy(c);
		return;
	}
	caller_set_idle(c);
	caller_free_body(c);
	if (c->in_exchange_begin || c->callback_depth)
		return;
	on_read(c->bev, c);
}

/*
 * Whether bytes have arrived that are not read yet, such as a request on an idle connection. After
 * the process has not run for a while, timers expire before all connections are read.
 */
static bool caller_has_unread(const struct caller *c)
{
	int bytes = 0;

	return ioctl(bufferevent_getfd(c->bev), FIONREAD, &bytes) == 0 && bytes > 0;
}

/* Whether the connection may be closed for a new one. */
static bool caller_is_spare(const struct caller *c)
{
	return c->phase != CALLER_BUSY && !c->callback_depth && !caller_unread_bytes(c) &&
	       !caller_has_unread(c);
}

static int callers_max(const struct entry *e)
{
	return connections_max_beside(e->descriptors, peers_connections(e->peers));
}

/* Of @unused ones or of all, the caller that has been idle or unfinished for the longest time. */
static struct caller *callers_oldest(struct entry *e, bool unused)
{
	struct caller *c;

	cds_list_for_each_entry(c, &e->callers, link) {
		if (!(unused && c->had_request) && caller_is_spare(c))
			return c;
	}
	return NULL;
}

/* Closes a connection that has no request in progress; false if there is none. */
static bool callers_close_oldest(struct entry *e)
{
	struct caller *c = NULL;

	if (unused_connections_go_first(e->callers_unused, callers_max(e)))
		c = callers_oldest(e, true);
	if (!c)
		c = callers_oldest(e, false);
	if (!c)
		return false;
	metric_add(METRIC_CLOSED_FOR_DESCRIPTORS, 1);
	log_warn("caller-closed", "cause=descriptors phase=%d age_ms=%lld connections=%d unused=%d",
		 (int)c->phase, (long long)(clock_boot_ms() - c->phase_since_ms), e->caller_count,
		 e->callers_unused);
	connection_close_now(c->bev);
	caller_destroy(c);
	return true;
}

void listener_failed(struct evconnlistener *l, void *ctx)
{
	struct entry *e = ctx;
	int error = errno;

	metric_add(METRIC_ACCEPT_FAILURES, 1);
	if (callers_close_oldest(e))
		return;
	log_warn("accept-failed", "fd=%d error=%s connections=%d", (int)evconnlistener_get_fd(l),
		 strerror(error), e->caller_count);
	evconnlistener_disable(l);
	e->listeners_paused = true;
}

void callers_check_descriptors(struct entry *e)
{
	while (e->caller_count > callers_max(e) && callers_close_oldest(e))
		;
}

static int caller_user_timeout_ms(const struct entry *e)
{
	int64_t idle_ms = limits_in_force(e)->idle_timeout_ms;

	return idle_ms < CALLER_USER_TIMEOUT_MS ? CALLER_USER_TIMEOUT_MS
	       : idle_ms < INT32_MAX		? (int)idle_ms
						: INT32_MAX;
}

void caller_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		   void *ctx)
{
	struct entry *e = ctx;
	struct caller *c;

	if (e->caller_count >= callers_max(e) && !callers_close_oldest(e)) {
		metric_add(METRIC_CLOSED_FOR_DESCRIPTORS, 1);
		evutil_closesocket(fd);
		return;
	}
	c = mem_zalloc(sizeof(*c));
	e->caller_count++;
	e->callers_unused++;
	tcp_set_options(fd, caller_user_timeout_ms(e));
	c->entry = e;
	c->bev = bufferevent_socket_new(e->base, fd, BEV_OPT_CLOSE_ON_FREE);
	http_reader_init(&c->reader, HTTP_MESSAGE_REQUEST, 0, &reader_ops, c);
	cds_list_add_tail(&c->link, &e->callers);
	caller_set_idle(c);
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	evbuffer_add_cb(bufferevent_get_output(c->bev), on_output, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, PIPELINE_MAX_BYTES);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	caller_account(c);
}

/* A caller that reads slowly gets its whole answer; one that stops reading is given up. */
static void caller_check_closing(struct caller *c, int64_t now_ms)
{
	size_t unsent = evbuffer_get_length(bufferevent_get_output(c->bev));

	if (unsent != c->unsent_bytes) {
		c->unsent_bytes = unsent;
		c->phase_since_ms = now_ms;
	}
	if (now_ms - c->phase_since_ms > (unsent ? c->limits.idle_timeout_ms : CLOSE_LINGER_MS))
		caller_destroy(c);
}

/* Gives back the copy of a body as far as it has been sent; a repeat takes it again. */
static void caller_account_sent(struct caller *c)
{
	struct http_exchange *call = c->exchange ? c->exchange->attempt.call : NULL;
	int64_t unsent = call ? (int64_t)http_exchange_unsent_bytes(call) : (int64_t)c->body.len;
	int64_t copy = unsent < (int64_t)c->body.len ? unsent : (int64_t)c->body.len;

	if (c->held[LEDGER_BODIES])
		caller_hold(c, LEDGER_BODIES, (int64_t)c->body.len + copy);
}

/* Keeps an answer that is held back from staying unread for so long that its endpoint cuts it. */
static void caller_trickle_answer(struct caller *c, int64_t now_ms)
{
	if (c->exchange &&
	    memory_ledger_may_trickle(&c->entry->ledger, attempt_paused_ms(c->exchange, now_ms)))
		attempt_set_paused(c->exchange, false);
}

void callers_check_timeouts(struct entry *e, int64_t now_ms)
{
	struct caller *c, *next;

	cds_list_for_each_entry_safe(c, next, &e->callers, link) {
		int64_t age = now_ms - c->phase_since_ms;

		switch (c->phase) {
		case CALLER_IDLE:
			if (caller_unread_bytes(c) && now_ms - c->unread_ms < age)
				age = now_ms - c->unread_ms;
			if (caller_is_idle_too_long(c, age) && !caller_has_unread(c))
				caller_destroy(c);
			break;
		case CALLER_HEAD:
			if (age > c->limits.head_timeout_ms && !caller_has_unread(c))
				caller_refuse(c, 408, "head too slow");
			break;
		case CALLER_BODY:
			if (age > c->limits.idle_timeout_ms && !caller_has_unread(c))
				caller_refuse(c, 408, "body too slow");
			break;
		case CALLER_CLOSING:
			caller_check_closing(c, now_ms);
			break;
		case CALLER_BUSY:
			caller_account_sent(c);
			caller_trickle_answer(c, now_ms);
			break;
		}
	}
}

static struct unfinished_body caller_unfinished(const struct caller *c, int64_t now_ms)
{
	struct unfinished_body b = {
		.held_bytes = c->held[LEDGER_BODIES],
		.received_bytes = (int64_t)c->body.len,
		.age_ms = now_ms - c->begun_ms,
		.silent_ms = c->waits_since_ms ? 0 : now_ms - c->received_ms,
	};

	/* Asked last, since it is a system call. */
	if (unfinished_body_is_silent(&b) && caller_has_unread(c))
		b.silent_ms = 0;
	return b;
}

/* The unfinished body that is given up first, or NULL; only a silent one with @silent. */
static struct caller *callers_costliest(struct entry *e, const struct caller *but, bool silent,
					int64_t now_ms)
{
	struct caller *worst = NULL;
	double most = 0;
	struct caller *c;

	cds_list_for_each_entry(c, &e->callers, link) {
		struct unfinished_body b;
		double cost;

		if (c->phase != CALLER_BODY || c == but || !c->held[LEDGER_BODIES])
			continue;
		b = caller_unfinished(c, now_ms);
		cost = unfinished_body_cost(&b);
		if (cost <= most || (silent && !unfinished_body_is_silent(&b)))
			continue;
		worst = c;
		most = cost;
	}
	return worst;
}

static void caller_give_up(struct caller *c, int64_t now_ms)
{
	struct unfinished_body b = caller_unfinished(c, now_ms);
	bool silent = unfinished_body_is_silent(&b);

	metric_add(METRIC_REFUSED_FOR_MEMORY, 1);
	log_warn("body-given-up",
		 "held=%lld received=%lld age_ms=%lld silent_ms=%lld all_held=%lld",
		 (long long)b.held_bytes, (long long)b.received_bytes, (long long)b.age_ms,
		 (long long)b.silent_ms, (long long)c->entry->ledger.total);
	if (silent)
		caller_refuse(c, 408, "body too slow");
	else
		caller_refuse_until(c, 503, "no memory", MEMORY_RETRY_AFTER_MS);
}

/* Closes the oldest connection that has had no request; false if there is none. */
static bool callers_close_unused(struct entry *e, int64_t now_ms)
{
	struct caller *c;

	cds_list_for_each_entry(c, &e->callers, link) {
		if (c->had_request || (c->phase != CALLER_IDLE && c->phase != CALLER_HEAD))
			continue;
		if (!connection_is_spare(now_ms - c->phase_since_ms))
			break;
		if (!caller_is_spare(c))
			continue;
		metric_add(METRIC_REFUSED_FOR_MEMORY, 1);
		log_warn("caller-closed", "cause=memory phase=%d age_ms=%lld all_held=%lld",
			 (int)c->phase, (long long)(now_ms - c->phase_since_ms),
			 (long long)e->ledger.total);
		connection_close_now(c->bev);
		caller_destroy(c);
		return true;
	}
	return false;
}

/* Gives up requests that have not run, until the answers of others have room. */
static void callers_make_room(struct entry *e, int64_t now_ms)
{
	struct caller *c;

	while (memory_ledger_is_crowded(&e->ledger) &&
	       (c = callers_costliest(e, NULL, true, now_ms)))
		caller_give_up(c, now_ms);
	while (memory_ledger_is_crowded(&e->ledger) && callers_close_unused(e, now_ms))
		;
	while (memory_ledger_is_crowded(&e->ledger) &&
	       (c = callers_costliest(e, NULL, false, now_ms)))
		caller_give_up(c, now_ms);
}

/* Closes the connections with the most unread answers until the ledger is within its limit. */
static void callers_close_unread(struct entry *e, int64_t now_ms)
{
	while (memory_ledger_is_over(&e->ledger)) {
		struct linger discard = { .l_onoff = 1, .l_linger = 0 };
		struct caller *worst = NULL;
		double most = 0;
		struct caller *c;

		cds_list_for_each_entry(c, &e->callers, link) {
			double cost;

			caller_account_unread(c);
			cost = unread_answer_cost(&e->ledger,
						  &(struct unread_answer){
							  .bytes = c->held[LEDGER_UNREAD],
							  .stalled_ms = now_ms - c->unread_ms,
						  });
			if (cost <= most || c->callback_depth)
				continue;
			worst = c;
			most = cost;
		}
		if (!worst || !memory_ledger_is_over(&e->ledger))
			return;
		metric_add(METRIC_CLOSED_UNREAD, 1);
		log_warn("caller-closed", "cause=unread bytes=%lld unread_ms=%lld all_held=%lld",
			 (long long)worst->held[LEDGER_UNREAD],
			 (long long)(now_ms - worst->unread_ms), (long long)e->ledger.total);
		setsockopt(bufferevent_getfd(worst->bev), SOL_SOCKET, SO_LINGER, &discard,
			   sizeof(discard));
		caller_destroy(worst);
	}
}

/* The waiting caller that is nearest to the end of its body. */
static struct caller *callers_first_waiting(struct entry *e)
{
	struct caller *first = NULL;
	struct caller *c;

	cds_list_for_each_entry(c, &e->callers, link) {
		if (c->waits_since_ms && (!first || c->body.len > first->body.len))
			first = c;
	}
	return first;
}

static void callers_refuse_late(struct entry *e, int64_t now_ms)
{
	struct caller *c, *next;

	cds_list_for_each_entry_safe(c, next, &e->callers, link) {
		if (c->waits_since_ms && now_ms - c->waits_since_ms >= MEMORY_WAIT_MAX_MS)
			caller_give_up(c, now_ms);
	}
}

void callers_on_memory(evutil_socket_t fd, short what, void *ctx)
{
	struct entry *e = ctx;
	int64_t now = clock_boot_ms();
	struct caller *c;

	callers_make_room(e, now);
	callers_close_unread(e, now);
	if (e->callers_waiting)
		callers_refuse_late(e, now);
	while (e->callers_waiting && (c = callers_first_waiting(e))) {
		struct caller *other;

		if (caller_take_body(c)) {
			caller_wait_end(c);
			/* What is in the buffer already brings no event of its own. */
			on_read(c->bev, c);
			continue;
		}
		other = callers_costliest(e, c, true, now);
		if (!other && now - c->waits_since_ms >= MEMORY_WAIT_MS)
			other = callers_costliest(e, c, false, now);
		if (!other)
			break;
		caller_give_up(other, now);
	}
}

void callers_check_memory(struct entry *e)
{
	if (e->callers_waiting || memory_ledger_is_crowded(&e->ledger))
		event_active(e->memory_event, 0, 0);
}

void callers_close_idle(struct entry *e, int64_t idle_ms, int64_t now_ms)
{
	struct caller *c, *next;

	cds_list_for_each_entry_safe(c, next, &e->callers, link) {
		if (c->phase == CALLER_IDLE && now_ms - c->phase_since_ms >= idle_ms &&
		    !caller_unread_bytes(c) && !caller_has_unread(c))
			caller_destroy(c);
	}
}

bool callers_are_active(const struct entry *e)
{
	const struct caller *c;

	cds_list_for_each_entry(c, &e->callers, link) {
		if (c->phase != CALLER_CLOSING ||
		    evbuffer_get_length(bufferevent_get_output(c->bev)))
			return true;
	}
	return false;
}

void callers_destroy(struct entry *e)
{
	struct caller *c, *next;

	cds_list_for_each_entry_safe(c, next, &e->callers, link)
		caller_destroy(c);
}
