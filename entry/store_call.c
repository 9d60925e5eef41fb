#include <inttypes.h>
#include <stdlib.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/histogram.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/platform/store.h"
#include "internal.h"

/* Connect timeout for the store, in milliseconds; a healthy store responds within 4 ms. */
#define STORE_CONNECT_MS 700

/* Maximum silence of the store beyond the requested long-poll time, in milliseconds. */
#define STORE_SILENCE_MS 1500

/* Maximum size of an answer of the store in bytes; the largest ones are whole tables. */
#define STORE_ANSWER_MAX_BYTES (16 << 20)

struct store_call {
	struct http_collect *call;
	int wait_ms;
	int64_t sent_ms;
	void (*done)(void *ctx, const struct http_result *r);
	void *ctx;
};

static void on_done(void *ctx, const struct http_result *r)
{
	struct store_call *c = ctx;

	if (r->status && !c->wait_ms)
		histogram_add(HISTOGRAM_STORE, clock_boot_ms() - c->sent_ms);
	c->done(c->ctx, r);
	free(c);
}

void store_address(const struct entry *e, char out[32])
{
	struct str url = str_from(e->settings.platform.url);

	if (str_starts_with(url, STR_LIT("http://"))) {
		url.data += 7;
		url.len -= 7;
	}
	str_copy(out, 32, url);
}

/* Interval between two log lines about answers of another era, in milliseconds. */
#define ERA_REJECTED_LOG_MS 1000

/* @peer: instance that has told the era; "-" when it comes from the store */
static void era_begin(struct entry *e, int64_t former, const char *peer)
{
	log_info("store-era", "era=%" PRId64 " former=%" PRId64 " peer=%s", e->era.number, former,
		 peer);
	metric_set(METRIC_STORE_ERA, e->era.number);
	directory_era_began(&e->directory, e->era.since_ms);
}

static void era_reject(struct entry *e, int64_t era, int64_t now)
{
	metric_add(METRIC_STORE_ANSWERS_REJECTED, 1);
	if (e->era_rejected_ms && now - e->era_rejected_ms < ERA_REJECTED_LOG_MS)
		return;
	e->era_rejected_ms = now;
	log_warn("store-answer-rejected", "era=%" PRId64 " known=%" PRId64, era, e->era.number);
}

int64_t entry_answer_era(void *ctx, const struct http_result *r)
{
	struct entry *e = ctx;
	int64_t era = store_answer_era(r->head);
	int64_t former = e->era.number;
	int64_t now = clock_boot_ms();

	switch (store_era_observe(&e->era, era, now)) {
	case STORE_ERA_SAME:
		break;
	case STORE_ERA_NEW:
		era_begin(e, former, "-");
		break;
	case STORE_ERA_REJECTED:
		era_reject(e, era, now);
		return -1;
	}
	return era;
}

void entry_hear_era(struct entry *e, int64_t era, const char *peer)
{
	int64_t former = e->era.number;

	if (store_era_observe(&e->era, era, clock_boot_ms()) == STORE_ERA_NEW)
		era_begin(e, former, peer);
}

void entry_duty_host(struct entry *e, struct duty_host *out)
{
	const struct settings *s = &e->settings;

	*out = (struct duty_host){
		.base = e->base,
		.store = e->store_client,
		.api = e->store_client,
		.incarnation = (uint64_t)clock_wall_ms(),
		.lease_ms = s->duties.lease_ms,
		.calls_per_s = s->duties.calls_per_s,
		.era = &e->era,
		.answer_era = entry_answer_era,
		.ctx = e,
	};
	str_copy(out->self, sizeof(out->self), str_from(s->instance.id));
	if (!duty_host_set_store(out, s->platform.url))
		log_error("settings", "key=platform.url value=\"%s\" expected=http://IP:PORT",
			  s->platform.url);
	if (s->duties.api[0] && !duty_host_set_api(out, s->duties.api))
		log_error("settings", "key=duties.api value=\"%s\" expected=IP:PORT",
			  s->duties.api);
}

struct store_call *store_call_start(struct entry *e, struct str request, int wait_ms,
				    void (*done)(void *ctx, const struct http_result *r), void *ctx)
{
	struct store_call *c = mem_zalloc(sizeof(*c));
	struct http_address to = { 0 };
	char address[32];

	store_address(e, address);
	if (!http_address_parse(str_from(address), &to))
		log_error("settings", "key=platform.url value=\"%s\" expected=http://IP:PORT",
			  e->settings.platform.url);
	c->done = done;
	c->ctx = ctx;
	c->wait_ms = wait_ms;
	c->sent_ms = clock_boot_ms();
	c->call = http_collect_start(e->store_client,
				     &(struct http_exchange_spec){
					     .to = to,
					     .request = request,
					     .connect_ms = STORE_CONNECT_MS,
					     .read_timeout_ms = wait_ms + STORE_SILENCE_MS,
					     .body_max_bytes = STORE_ANSWER_MAX_BYTES,
				     },
				     on_done, c);
	return c;
}

void store_call_cancel(struct store_call *c)
{
	if (!c)
		return;
	http_collect_cancel(c->call);
	free(c);
}
