#include <event2/buffer.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>

#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"

/* TCP user timeout of a caller's connection, in milliseconds. */
#define CALLER_USER_TIMEOUT_MS 5000

/*
 * How long a connection stays open after a refusal that leaves unread bytes, in milliseconds:
 * closing it at once would send a reset and lose the response.
 */
#define CLOSE_LINGER_MS 1000

/* Maximum unparsed bytes buffered for pipelined requests. */
#define PIPELINE_MAX_BYTES 65536

/* Limits until a configuration is loaded. */
static const struct request_limits limits_default = {
	.head_max_bytes = 16384,
	.body_max_bytes = 4194304,
	.head_timeout_ms = 3000,
	.idle_timeout_ms = 15000,
};

/*
 * Unsent output of a connection above which the rest of its answer is not received from the
 * endpoint, in bytes, until the caller has read it.
 */
#define OUTPUT_MAX_BYTES (256 << 10)

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
	size_t unsent_bytes;
	bool destroy_pending;
	int callback_depth;
};

static void caller_set_phase(struct caller *c, enum caller_phase phase)
{
	c->phase = phase;
	c->phase_since_ms = clock_boot_ms();
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
	cds_list_del(&c->link);
	bufferevent_free(c->bev);
	http_reader_free(&c->reader);
	buf_free(&c->body);
	free(c);
}

void caller_write(struct caller *c, struct str bytes)
{
	bufferevent_write(c->bev, bytes.data, bytes.len);
	if (c->exchange && evbuffer_get_length(bufferevent_get_output(c->bev)) > OUTPUT_MAX_BYTES)
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

static void caller_refuse(struct caller *c, int status, const char *reason)
{
	struct buf out = { 0 };

	metric_add(METRIC_BAD_REQUESTS, 1);
	log_info("request-refused", "request=- status=%d cause=%s", status, reason);
	wire_local_response_encode(&out, &(struct local_response){
						 .status = status,
						 .reason = reason,
						 .retry_after_ms = -1,
						 .close = true,
					 });
	caller_write(c, buf_str(&out));
	buf_free(&out);
	c->keep_open = false;
	caller_set_phase(c, CALLER_CLOSING);
}

static int on_head(void *ctx, const struct http_head *head)
{
	struct caller *c = ctx;
	struct str value;

	c->begun_ms = clock_boot_ms();
	c->body.len = 0;
	c->keep_open = head->keep_alive;
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
	metric_add(METRIC_REQUESTS, 1);
	c->in_exchange_begin = true;
	exchange_begin(c->entry, c, &c->reader.head, buf_str(&c->body), c->begun_ms, &c->exchange);
	c->in_exchange_begin = false;
}

static void caller_parse_input(struct caller *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);

	while (c->phase != CALLER_BUSY && c->phase != CALLER_CLOSING && !c->destroy_pending &&
	       evbuffer_get_length(in) > 0) {
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
	if (--c->callback_depth == 0 && c->destroy_pending)
		caller_destroy(c);
}

static void on_write(struct bufferevent *bev, void *ctx)
{
	struct caller *c = ctx;

	if (c->exchange)
		attempt_set_paused(c->exchange, false);
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
		if (caller_close_begin(c))
			caller_destroy(c);
		return;
	}
	caller_set_idle(c);
	c->body.len = 0;
	if (c->in_exchange_begin || c->callback_depth)
		return;
	on_read(c->bev, c);
}

void caller_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		   void *ctx)
{
	struct entry *e = ctx;
	struct caller *c = mem_zalloc(sizeof(*c));

	tcp_set_options(fd, CALLER_USER_TIMEOUT_MS);
	c->entry = e;
	c->bev = bufferevent_socket_new(e->base, fd, BEV_OPT_CLOSE_ON_FREE);
	http_reader_init(&c->reader, HTTP_MESSAGE_REQUEST, 0, &reader_ops, c);
	caller_set_idle(c);
	cds_list_add_tail(&c->link, &e->callers);
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, PIPELINE_MAX_BYTES);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
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

/*
 * Whether bytes have arrived that are not read yet, such as a request on an idle connection. After
 * the process has not run for a while, timers expire before all connections are read.
 */
static bool caller_has_unread(const struct caller *c)
{
	int bytes = 0;

	return ioctl(bufferevent_getfd(c->bev), FIONREAD, &bytes) == 0 && bytes > 0;
}

void callers_check_timeouts(struct entry *e, int64_t now_ms)
{
	struct caller *c, *next;

	cds_list_for_each_entry_safe(c, next, &e->callers, link) {
		int64_t age = now_ms - c->phase_since_ms;

		switch (c->phase) {
		case CALLER_IDLE:
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
			break;
		}
	}
}

void callers_close_idle(struct entry *e, int64_t idle_ms, int64_t now_ms)
{
	struct caller *c, *next;

	cds_list_for_each_entry_safe(c, next, &e->callers, link) {
		if (c->phase == CALLER_IDLE && now_ms - c->phase_since_ms >= idle_ms &&
		    !caller_has_unread(c))
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
