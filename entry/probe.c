#include <event2/buffer.h>
#include <stdlib.h>

#include "ibisgate/common/histogram.h"
#include "ibisgate/common/metrics.h"
#include "internal.h"

/* A connection without input for this long is closed, in seconds. */
#define PROBE_IDLE_TIMEOUT_S 20

/** struct probe_client - a connection to the readiness or the metrics listener */
struct probe_client {
	struct entry *entry;
	struct bufferevent *bev;
	struct http_reader reader;
	bool metrics;
	bool keep;
};

static void probe_client_destroy(struct probe_client *p)
{
	bufferevent_free(p->bev);
	http_reader_free(&p->reader);
	free(p);
}

static int on_head(void *ctx, const struct http_head *head)
{
	struct probe_client *p = ctx;
	struct buf body = { 0 };
	struct buf out = { 0 };
	int status = 404;

	p->keep = head->keep_alive;
	if (p->metrics) {
		metrics_format(&body, p->entry->settings.instance.id);
		histograms_format(&body, p->entry->settings.instance.id);
		status = 200;
	} else if (wire_is_ready_path(head)) {
		status = entry_is_ready(p->entry) ? 200 : 503;
	}
	buf_printf(&out,
		   "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %zu\r\n\r\n",
		   status, http_status_str((enum http_status)status), body.len);
	buf_append_str(&out, buf_str(&body));
	bufferevent_write(p->bev, out.data, out.len);
	buf_free(&body);
	buf_free(&out);
	return 0;
}

static void on_body(void *ctx, struct str bytes)
{
}

static void on_end(void *ctx)
{
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

	while (evbuffer_get_length(in) > 0) {
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
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	probe_client_destroy(ctx);
}

static void probe_client_accept(struct entry *e, evutil_socket_t fd, bool metrics)
{
	struct probe_client *p = mem_zalloc(sizeof(*p));
	struct timeval idle = { .tv_sec = PROBE_IDLE_TIMEOUT_S };

	p->entry = e;
	p->metrics = metrics;
	p->bev = bufferevent_socket_new(e->base, fd, BEV_OPT_CLOSE_ON_FREE);
	http_reader_init(&p->reader, HTTP_MESSAGE_REQUEST, 0, &reader_ops, p);
	bufferevent_setcb(p->bev, on_read, NULL, on_event, p);
	bufferevent_set_timeouts(p->bev, &idle, NULL);
	bufferevent_enable(p->bev, EV_READ | EV_WRITE);
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
