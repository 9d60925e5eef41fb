#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "internal.h"

/* Engines that are asked at the same time; each answer may carry thousands of events. */
#define ASKED_AT_ONCE 6

/*
 * Calls begun in one tick of 100 ms: hundreds of engines are asked within two seconds of a start,
 * and callers are served meanwhile.
 */
#define ASKS_PER_TICK 30

/*
 * Of these, calls to engines of other data centres while the own one may have engines enough:
 * whether the deployment is a large one, which does without them, shows seconds after a start.
 */
#define FAR_ASKS_PER_TICK 6

/* Limits of one call in milliseconds. */
#define ASK_CONNECT_MS 300
#define ASK_SILENCE_MS 1000

/*
 * Pause between two calls to an engine in milliseconds, for each instance: an engine is asked as
 * often however many instances there are. What they send themselves they tell each other sooner.
 */
#define ASK_PAUSE_PER_INSTANCE_MS 400
#define ASK_PAUSE_MIN_MS 1500

/* Pause after an engine that has not answered, or not yet, in milliseconds. */
#define ASK_AGAIN_MS 1000

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

static void ask_due(struct entry *e);

static void ask_free(struct cache_ask *a)
{
	struct entry *e = a->entry;

	e->cache_asks--;
	endpoint_put(a->endpoint);
	free(a);
	ask_due(e);
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
		ep->cache_due_ms = 0;
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
		a->endpoint->cache_due_ms = clock_boot_ms() + ASK_AGAIN_MS;
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

/* Only the instances that place on an engine ask it, in turn. */
static int64_t pause_of(const struct entry *e, bool near)
{
	int instances = near ? peers_near(e->peers) : peers_most(e->peers);
	int64_t pause = (int64_t)instances * ASK_PAUSE_PER_INSTANCE_MS;

	return pause < ASK_PAUSE_MIN_MS ? ASK_PAUSE_MIN_MS : pause;
}

static void ask(struct entry *e, struct endpoint *ep, int64_t now)
{
	struct cache_ask *a = mem_zalloc(sizeof(*a));

	a->entry = e;
	a->endpoint = ep;
	a->since = ep->cache_next;
	ep->refs++;
	ep->cache_due_ms = now + pause_of(e, ep->service->near);
	e->cache_asks++;
	send_ask(a);
}

/*
 * Those of this data centre, then the one that has waited longest; of those never asked each
 * instance takes another one first.
 */
static bool goes_before(const struct entry *e, const struct endpoint *ep,
			const struct endpoint *other)
{
	if (!other)
		return true;
	if (!ep->dc != !other->dc)
		return !ep->dc;
	if (ep->cache_due_ms != other->cache_due_ms)
		return ep->cache_due_ms < other->cache_due_ms;
	return hash_mix(ep->hash, e->self_hash) > hash_mix(other->hash, e->self_hash);
}

static struct endpoint *next_due(const struct entry *e, int64_t now_ms)
{
	bool some_far = e->cache_asks_left > ASKS_PER_TICK - FAR_ASKS_PER_TICK;
	struct endpoint *best = NULL;
	const struct service *s;

	cds_list_for_each_entry(s, &e->services, link) {
		const struct cds_list_head *list = s->near ? &s->here : &s->endpoints;
		struct cds_list_head *link;
		bool far = some_far || !s->may_be_near;

		cds_list_for_each(link, list) {
			struct endpoint *ep = service_endpoint(link, s->near);

			if (ep->cache && (far || !ep->dc) && now_ms >= ep->cache_due_ms &&
			    endpoint_open(ep, now_ms) && goes_before(e, ep, best))
				best = ep;
		}
	}
	return best;
}

static void ask_due(struct entry *e)
{
	int64_t now = clock_boot_ms();
	struct endpoint *ep;

	while (!e->stopping && e->cache_asks < ASKED_AT_ONCE && e->cache_asks_left > 0 &&
	       (ep = next_due(e, now))) {
		e->cache_asks_left--;
		ask(e, ep, now);
	}
}

void cache_sync_step(struct entry *e)
{
	e->cache_asks_left = ASKS_PER_TICK;
	ask_due(e);
}
