#include <stdlib.h>

#include "ibisgate/net/http_collect.h"

/* Time for the whole response, as a multiple of the read timeout. */
#define COLLECT_TOTAL_FACTOR 4

struct http_collect {
	struct http_exchange *exchange;
	struct buf body;
	const struct http_head *head;
	void (*done)(void *ctx, const struct http_result *r);
	void *ctx;
};

static void on_head(void *ctx, const struct http_head *head)
{
	struct http_collect *call = ctx;

	call->head = head;
}

static void collect_finish(struct http_collect *call, const struct http_result *r)
{
	call->done(call->ctx, r);
	buf_free(&call->body);
	free(call);
}

static void on_body(void *ctx, struct str bytes)
{
	struct http_collect *call = ctx;

	buf_append(&call->body, bytes.data, bytes.len);
}

static void on_end(void *ctx)
{
	struct http_collect *call = ctx;

	collect_finish(call, &(struct http_result){ .status = call->head->status,
						    .head = call->head,
						    .body = buf_str(&call->body) });
}

static void on_fail(void *ctx, enum http_failure why)
{
	collect_finish(ctx, &(struct http_result){ .failure = why });
}

static const struct http_exchange_ops collect_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
	.on_fail = on_fail,
};

struct http_collect *http_collect_start(struct http_client *c,
					const struct http_exchange_spec *spec,
					void (*done)(void *ctx, const struct http_result *r),
					void *ctx)
{
	struct http_collect *call = mem_zalloc(sizeof(*call));
	struct http_exchange_spec bounded = *spec;

	if (!bounded.total_ms)
		bounded.total_ms = COLLECT_TOTAL_FACTOR * spec->read_timeout_ms;
	call->done = done;
	call->ctx = ctx;
	call->exchange = http_exchange_start(c, &bounded, &collect_ops, call);
	return call;
}

void http_collect_cancel(struct http_collect *call)
{
	if (!call)
		return;
	http_exchange_cancel(call->exchange);
	buf_free(&call->body);
	free(call);
}
