#include <stdlib.h>

#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/duty/api_call.h"

/*
 * Connect timeout and maximum silence, in milliseconds. A call that is still on its way when the
 * lease ends could arrive after those of the next holder, so the lease must outlast both the
 * connection set-up and the way.
 */
#define API_CONNECT_MS 300
#define API_SILENCE_MS 2000
#define API_WAY_MS 200

/* Maximum size of an answer in bytes. */
#define API_ANSWER_MAX_BYTES (64 << 10)

/* Share of the platform's limit of calls that is used, and the limit where none is known. */
#define API_RATE_SHARE 0.8
#define API_RATE_DEFAULT 1.0

struct api_calls {
	const struct duty_host *host;
	int64_t interval_ms;
	int64_t next_ms;
};

struct api_call {
	struct http_collect *call;
	int64_t fencing;
	void (*done)(void *ctx, const struct api_result *r);
	void *ctx;
};

static enum api_outcome outcome_of(const struct http_result *r)
{
	if (!r->status)
		return http_failure_is_unsent(r->failure) ? API_BUSY : API_UNANSWERED;
	if (r->status >= 200 && r->status < 300)
		return API_ACCEPTED;
	return r->status == 429 || r->status >= 500 ? API_BUSY : API_REFUSED;
}

static void on_done(void *ctx, const struct http_result *r)
{
	struct api_call *c = ctx;

	c->done(c->ctx, &(struct api_result){ .outcome = outcome_of(r),
					      .status = r->status,
					      .fencing = c->fencing });
	free(c);
}

bool api_call_prepare(const struct api_calls *a, const struct duty *d, int64_t now_ms,
		      struct api_lease *lease)
{
	*lease = (struct api_lease){ .address = a->host->api_name, .holder = a->host->self };
	return now_ms >= a->next_ms &&
	       duty_is_held(d, API_CONNECT_MS + API_WAY_MS, now_ms, &lease->fencing);
}

struct api_call *api_call_start(struct api_calls *a, const struct api_lease *lease,
				struct str request,
				void (*done)(void *ctx, const struct api_result *r), void *ctx,
				int64_t now_ms)
{
	struct api_call *c = mem_zalloc(sizeof(*c));

	c->done = done;
	c->ctx = ctx;
	c->fencing = lease->fencing;
	a->next_ms = now_ms + a->interval_ms;
	metric_add(METRIC_API_CALLS, 1);
	c->call = http_collect_start(a->host->api,
				     &(struct http_exchange_spec){
					     .to = a->host->api_address,
					     .request = request,
					     .connect_ms = API_CONNECT_MS,
					     .read_timeout_ms = API_SILENCE_MS,
					     .total_ms = API_CONNECT_MS + API_SILENCE_MS,
					     .body_max_bytes = API_ANSWER_MAX_BYTES,
				     },
				     on_done, c);
	return c;
}

void api_call_cancel(struct api_call *c)
{
	if (!c)
		return;
	http_collect_cancel(c->call);
	free(c);
}

struct api_calls *api_calls_create(const struct duty_host *host)
{
	struct api_calls *a = mem_zalloc(sizeof(*a));
	double rate = host->calls_per_s > 0 ? host->calls_per_s : API_RATE_DEFAULT;

	a->host = host;
	a->interval_ms = (int64_t)(1000 / (API_RATE_SHARE * rate)) + 1;
	return a;
}

void api_calls_destroy(struct api_calls *a)
{
	free(a);
}
