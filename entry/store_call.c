#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/histogram.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "internal.h"

/* Connection set-up to the store, in milliseconds; its answers take 4 ms when it is well. */
#define STORE_CONNECT_MS 700

/* Longest silence of the store beyond a wait that was asked for, in milliseconds. */
#define STORE_SILENCE_MS 1500

struct store_call {
	struct http_exchange *exchange;
	struct buf body;
	int status;
	int wait_ms;
	int64_t sent_ms;
	void (*done)(void *ctx, const struct store_result *r);
	void *ctx;
};

static void on_head(void *ctx, const struct http_head *head)
{
	struct store_call *c = ctx;

	c->status = head->status;
}

static void on_body(void *ctx, struct str bytes)
{
	struct store_call *c = ctx;

	buf_append(&c->body, bytes.data, bytes.len);
}

static void finish(struct store_call *c, const struct store_result *r)
{
	int64_t elapsed = clock_boot_ms() - c->sent_ms;

	c->exchange = NULL;
	if (r->status && !c->wait_ms)
		histogram_add(HISTOGRAM_STORE, elapsed);
	c->done(c->ctx, r);
	buf_free(&c->body);
	free(c);
}

static void on_end(void *ctx)
{
	struct store_call *c = ctx;

	finish(c, &(struct store_result){ .status = c->status, .body = buf_str(&c->body) });
}

static void on_fail(void *ctx, enum http_failure why)
{
	finish(ctx, &(struct store_result){ .failure = why });
}

static const struct http_exchange_ops store_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
	.on_fail = on_fail,
};

void store_address(const struct entry *e, char out[32])
{
	struct str url = str_from(e->settings.platform.url);

	if (str_starts_with(url, STR_LIT("http://"))) {
		url.data += 7;
		url.len -= 7;
	}
	str_copy(out, 32, url);
}

struct store_call *store_call_start(struct entry *e, struct str request, int wait_ms,
				    void (*done)(void *ctx, const struct store_result *r),
				    void *ctx)
{
	struct store_call *c = mem_zalloc(sizeof(*c));
	struct http_address to = { 0 };
	char address[32];

	store_address(e, address);
	if (!http_address_parse(str_from(address), &to))
		log_error("settings", "key=platform.url value=\"%s\" expected=http://IP:PORT",
			  e->settings.platform.url);
	c->done = done;
	c->wait_ms = wait_ms;
	c->sent_ms = clock_boot_ms();
	c->ctx = ctx;
	c->exchange = http_exchange_start(e->store_client,
					  &(struct http_exchange_spec){
						  .to = to,
						  .request = request,
						  .connect_ms = STORE_CONNECT_MS,
						  .silence_ms = wait_ms + STORE_SILENCE_MS,
					  },
					  &store_ops, c);
	return c;
}

void store_call_cancel(struct store_call *c)
{
	if (!c)
		return;
	http_exchange_cancel(c->exchange);
	buf_free(&c->body);
	free(c);
}
