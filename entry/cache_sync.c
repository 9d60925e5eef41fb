#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "internal.h"

/* Engines that are asked at the same time; each answer may carry thousands of events. */
#define ASKED_AT_ONCE 6

/* Limits of one call in milliseconds. */
#define ASK_CONNECT_MS 300
#define ASK_SILENCE_MS 1000

/*
 * Pause between two calls to an engine in milliseconds, for each instance: an engine is asked as
 * often however many instances there are. What they send themselves they tell each other sooner.
 */
#define ASK_PAUSE_PER_INSTANCE_MS 400
#define ASK_PAUSE_MIN_MS 1500

/* An answer with fewer events than this is the last one: engines send some hundred at once. */
#define PAGE_MIN 100

/**
 * struct cache_ask - calls for the contents of an engine's cache
 * @since: number of the next event
 * @events: received so far
 */
struct cache_ask {
	struct entry *entry;
	struct endpoint *endpoint;
	int64_t since;
	int events;
};

static void ask_free(struct cache_ask *a)
{
	a->entry->cache_asks--;
	endpoint_put(a->endpoint);
	free(a);
}

static void send_ask(struct cache_ask *a);

/* Takes over one page; true when another one follows. */
static bool take_page(struct cache_ask *a, const struct cache_events *events)
{
	struct endpoint *ep = a->endpoint;

	if (ep->cache_known && strcmp(ep->cache_epoch, events->epoch) != 0) {
		/* The engine has started again and keeps nothing of before. */
		cache_view_clear(ep->cache);
		ep->cache_known = false;
		ep->cache_next = 0;
		ep->cache_asked_ms = 0;
		return false;
	}
	str_copy(ep->cache_epoch, sizeof(ep->cache_epoch), str_from(events->epoch));
	for (int i = 0; i < events->count; i++) {
		const struct cache_event *e = &events->events[i];

		if (e->tokens)
			cache_view_use(ep->cache, e->part, e->tokens, true);
		else
			cache_view_drop(ep->cache, e->part);
	}
	a->events += events->count;
	a->since = events->next;
	ep->cache_next = events->next;
	if (events->count >= PAGE_MIN && ep->listed)
		return true;
	if (!ep->cache_known || events->lost)
		log_info("cache-known", "endpoint=%s events=%d lost=%d epoch=%s", ep->entry.id,
			 a->events, events->lost, events->epoch);
	ep->cache_known = true;
	return false;
}

static void on_done(void *ctx, const struct http_result *r)
{
	struct cache_ask *a = ctx;
	struct cache_events events;
	bool more;

	if (r->status != 200 || !wire_cache_decode(r->body, &events)) {
		log_warn("cache-unknown", "endpoint=%s status=%d cause=%s", a->endpoint->entry.id,
			 r->status, r->status ? "-" : http_failure_name(r->failure));
		ask_free(a);
		return;
	}
	more = take_page(a, &events);
	wire_cache_free(&events);
	if (more)
		send_ask(a);
	else
		ask_free(a);
}

static void send_ask(struct cache_ask *a)
{
	struct buf request = { 0 };

	wire_cache_request(&request, a->endpoint->entry.address, a->since);
	http_collect_start(a->entry->endpoint_client,
			   &(struct http_exchange_spec){
				   .to = a->endpoint->address,
				   .request = buf_str(&request),
				   .connect_ms = ASK_CONNECT_MS,
				   .silence_ms = ASK_SILENCE_MS,
			   },
			   on_done, a);
	buf_free(&request);
}

static void ask(struct entry *e, struct endpoint *ep, int64_t now)
{
	struct cache_ask *a = mem_zalloc(sizeof(*a));

	a->entry = e;
	a->endpoint = ep;
	a->since = ep->cache_next;
	ep->refs++;
	ep->cache_asked_ms = now;
	e->cache_asks++;
	send_ask(a);
}

/* Only the instances that place on an engine ask it, in turn. */
static int64_t pause_of(const struct entry *e, bool near)
{
	int instances = near ? peers_near(e->peers) : peers_most(e->peers);
	int64_t pause = (int64_t)instances * ASK_PAUSE_PER_INSTANCE_MS;

	return pause < ASK_PAUSE_MIN_MS ? ASK_PAUSE_MIN_MS : pause;
}

static void ask_if_due(struct entry *e, struct endpoint *ep, int64_t pause, int64_t now_ms)
{
	if (e->cache_asks < ASKED_AT_ONCE && ep->cache && endpoint_open(ep, now_ms) &&
	    (!ep->cache_asked_ms || now_ms - ep->cache_asked_ms >= pause))
		ask(e, ep, now_ms);
}

void cache_sync_step(struct entry *e, int64_t now_ms)
{
	const struct service *s;

	cds_list_for_each_entry(s, &e->services, link) {
		int64_t pause = pause_of(e, s->near);
		struct endpoint *ep;

		if (s->near) {
			cds_list_for_each_entry(ep, &s->here, here)
				ask_if_due(e, ep, pause, now_ms);
		} else {
			cds_list_for_each_entry(ep, &s->endpoints, of_service)
				ask_if_due(e, ep, pause, now_ms);
		}
	}
}
