#include <event2/buffer.h>
#include <stdlib.h>

#include "ibisgate/common/histogram.h"
#include "ibisgate/common/metrics.h"
#include "internal.h"

/* A connection without input for this long is closed, in seconds. */
#define PROBE_IDLE_TIMEOUT_S 20

/* Maximum size of a head, in bytes; probes send a few short fields. */
#define PROBE_HEAD_MAX_BYTES 4096

/* Unread answers above which no further request of a connection is read, in bytes. */
#define PROBE_OUTPUT_MAX_BYTES 65536

/*
 * Maximum size of the description of a request to explain, in bytes; 16 parts with long ids take
 * half of it.
 */
#define EXPLAIN_BODY_MAX_BYTES 8192

/* Connections to both listeners together. The platform and a scraper keep one or two open each. */
#define PROBE_CONNECTIONS_MAX 32

/* Memory of a connection besides its head and buffers, in bytes. */
#define PROBE_BYTES 4096

/**
 * struct probe_client - a connection to the readiness or the metrics listener
 * @answered: it has had an answer
 * @explains: the current message asks to explain a request
 * @body: what has arrived of its description
 * @held: bytes in the ledger
 */
struct probe_client {
	struct cds_list_head link;
	struct entry *entry;
	struct bufferevent *bev;
	struct http_reader reader;
	bool metrics;
	bool keep;
	bool answered;
	bool explains;
	struct buf body;
	int64_t held;
};

static void probe_client_destroy(struct probe_client *p)
{
	memory_ledger_set(&p->entry->ledger, LEDGER_PROBES, &p->held, 0);
	cds_list_del(&p->link);
	p->entry->probe_count--;
	bufferevent_free(p->bev);
	http_reader_free(&p->reader);
	buf_free(&p->body);
	free(p);
}

static void probe_client_account(struct probe_client *p)
{
	memory_ledger_set(&p->entry->ledger, LEDGER_PROBES, &p->held,
			  PROBE_BYTES +
				  (int64_t)(p->reader.head.text.cap + p->reader.head.target.cap +
					    p->body.cap +
					    evbuffer_get_length(bufferevent_get_output(p->bev))));
}

static void held_update(const struct entry *e)
{
	metric_set(METRIC_HELD_CONNECTIONS, e->ledger.held[LEDGER_CONNECTIONS]);
	metric_set(METRIC_HELD_BODIES, e->ledger.held[LEDGER_BODIES]);
	metric_set(METRIC_HELD_ANSWERS, e->ledger.held[LEDGER_ANSWERS]);
	metric_set(METRIC_HELD_UNREAD, e->ledger.held[LEDGER_UNREAD]);
	metric_set(METRIC_HELD_PROBES, e->ledger.held[LEDGER_PROBES]);
	metric_set(METRIC_HELD_LIMIT, e->ledger.limit);
}

static void reply(struct probe_client *p, int status, const char *type, struct str body)
{
	struct buf out = { 0 };

	buf_printf(&out, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
		   status, http_status_str((enum http_status)status), type, body.len);
	if (p->reader.head.method != HTTP_HEAD)
		buf_append_str(&out, body);
	bufferevent_write(p->bev, out.data, out.len);
	buf_free(&out);
}

static void reply_error(struct probe_client *p, int status, const char *message)
{
	struct buf out = { 0 };

	buf_printf(&out, "{\"error\":{\"message\":\"%s\"}}", message);
	reply(p, status, "application/json", buf_str(&out));
	buf_free(&out);
}

/* Whether the message asks to explain a request; it is answered at its end, or already has been. */
static bool explain_begin(struct probe_client *p, const struct http_head *head)
{
	if (!p->metrics || !str_eq_cstr(buf_str(&head->target), "/explain"))
		return false;
	if (!p->entry->explain)
		reply_error(p, 404, "explain is switched off here; set explain = 1 in [metrics]");
	else if (head->method != HTTP_POST)
		reply_error(p, 405, "expected POST with a JSON object");
	else
		p->explains = true;
	return true;
}

static int on_head(void *ctx, const struct http_head *head)
{
	struct probe_client *p = ctx;
	struct buf body = { 0 };
	int status = 404;

	p->keep = head->keep_alive;
	p->answered = true;
	if (explain_begin(p, head))
		return 0;
	if (p->metrics) {
		held_update(p->entry);
		metrics_format(&body, p->entry->settings.instance.id);
		histograms_format(&body, p->entry->settings.instance.id);
		status = 200;
	} else if (wire_is_ready_path(head)) {
		status = entry_is_ready(p->entry) ? 200 : 503;
	}
	reply(p, status, "text/plain", buf_str(&body));
	buf_free(&body);
	return 0;
}

static void on_body(void *ctx, struct str bytes)
{
	struct probe_client *p = ctx;

	if (!p->explains)
		return;
	if (p->body.len + bytes.len > EXPLAIN_BODY_MAX_BYTES) {
		p->explains = false;
		buf_free(&p->body);
		reply_error(p, 413, "the description is too large");
		return;
	}
	buf_append_str(&p->body, bytes);
}

static void on_end(void *ctx)
{
	struct probe_client *p = ctx;
	struct buf out = { 0 };
	int status;

	if (!p->explains)
		return;
	p->explains = false;
	status = p->entry->explain(p->entry, buf_str(&p->body), &out);
	reply(p, status, "application/json", buf_str(&out));
	buf_free(&out);
	buf_free(&p->body);
}

static const struct http_reader_ops reader_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct probe_client *p = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);

	while (evbuffer_get_length(in) > 0 &&
	       evbuffer_get_length(bufferevent_get_output(bev)) < PROBE_OUTPUT_MAX_BYTES) {
		size_t len = evbuffer_get_contiguous_space(in);
		struct str bytes = { .data = (char *)evbuffer_pullup(in, (ev_ssize_t)len),
				     .len = len };
		int64_t used = http_reader_feed(&p->reader, bytes);

		if (used < 0) {
			probe_client_destroy(p);
			return;
		}
		evbuffer_drain(in, (size_t)used);
		if (p->reader.is_complete)
			http_reader_next(&p->reader);
	}
	if (evbuffer_get_length(bufferevent_get_output(bev)) >= PROBE_OUTPUT_MAX_BYTES)
		bufferevent_disable(bev, EV_READ);
	probe_client_account(p);
}

static void on_write(struct bufferevent *bev, void *ctx)
{
	bufferevent_enable(bev, EV_READ);
	on_read(bev, ctx);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	probe_client_destroy(ctx);
}

/* Closes the first connection that has had no answer yet, or else the first of all. */
static void probes_close_first(struct entry *e)
{
	struct probe_client *first = cds_list_first_entry(&e->probes, struct probe_client, link);
	struct probe_client *p;

	cds_list_for_each_entry(p, &e->probes, link) {
		if (p->answered)
			continue;
		first = p;
		break;
	}
	metric_add(METRIC_CLOSED_FOR_DESCRIPTORS, 1);
	connection_close_now(first->bev);
	probe_client_destroy(first);
}

void probes_destroy(struct entry *e)
{
	struct probe_client *p, *next;

	cds_list_for_each_entry_safe(p, next, &e->probes, link)
		probe_client_destroy(p);
}

static void probe_client_accept(struct entry *e, evutil_socket_t fd, bool metrics)
{
	struct timeval idle = { .tv_sec = PROBE_IDLE_TIMEOUT_S };
	struct probe_client *p;

	if (e->probe_count >= PROBE_CONNECTIONS_MAX)
		probes_close_first(e);
	p = mem_zalloc(sizeof(*p));
	cds_list_add_tail(&p->link, &e->probes);
	e->probe_count++;
	p->entry = e;
	p->metrics = metrics;
	p->bev = bufferevent_socket_new(e->base, fd, BEV_OPT_CLOSE_ON_FREE);
	http_reader_init(&p->reader, HTTP_MESSAGE_REQUEST, PROBE_HEAD_MAX_BYTES, &reader_ops, p);
	bufferevent_setcb(p->bev, on_read, on_write, on_event, p);
	bufferevent_set_timeouts(p->bev, &idle, &idle);
	bufferevent_setwatermark(p->bev, EV_READ, 0, PROBE_HEAD_MAX_BYTES);
	bufferevent_enable(p->bev, EV_READ | EV_WRITE);
	probe_client_account(p);
}

void ready_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		  void *ctx)
{
	probe_client_accept(ctx, fd, false);
}

void metrics_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		    void *ctx)
{
	probe_client_accept(ctx, fd, true);
}
