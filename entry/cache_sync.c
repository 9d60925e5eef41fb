#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "internal.h"

/*
 * Requests started in one tick of 100 ms: hundreds of engines are queried within two seconds of a
 * start while callers are being served.
 */
#define CALLS_PER_TICK 30

/*
 * Part of these that may go to engines of other data centres while the local data centre may turn
 * out to have enough engines. Whether the deployment is large enough to do without remote engines
 * is known only seconds after a start.
 */
#define REMOTE_CALLS_PER_TICK 12

/* Connect and silence timeouts of one request, in milliseconds. */
#define SYNC_CONNECT_MS 300
#define SYNC_SILENCE_MS 1000

/*
 * Interval between two requests of one instance to an engine, in milliseconds for each instance, so
 * that the rate at which an engine is queried doesn't depend on the number of instances. What the
 * instances send to engines themselves they report to each other sooner.
 */
#define SYNC_PERIOD_PER_INSTANCE_MS 400
#define SYNC_PERIOD_MIN_MS 1500

/* Delay before an engine that has not answered successfully is queried again, in milliseconds. */
#define SYNC_RETRY_MS 1000

/* A response with fewer events than this is the last page: engines send some hundred at a time. */
#define PAGE_MIN 100

/*
 * Layout of a report: the engine's process, its epoch, the number of its next event, and the parts
 * with their tokens.
 */
#define REPORT_HEAD 3
#define REPORT_PARTS_MAX ((PEER_REPORT_VALUES_MAX - REPORT_HEAD) / 2)

/* Reports sent in one tick of 100 ms. */
#define REPORTS_PER_TICK 4

/**
 * struct cache_fetch - paged read of the cache events of one engine
 * @since: number of the next event
 * @events: number of events received so far
 */
struct cache_fetch {
	struct entry *entry;
	struct endpoint *endpoint;
	int64_t since;
	int events;
};

static void fetch_start_due(struct entry *e);

static void cache_fetch_destroy(struct cache_fetch *f)
{
	struct entry *e = f->entry;

	e->cache_calls--;
	endpoint_put(f->endpoint);
	free(f);
	fetch_start_due(e);
}

static void cache_fetch_send(struct cache_fetch *f);

/* The engine has restarted with an empty cache, perhaps between two pages of the first read. */
static void epoch_changed(struct endpoint *ep)
{
	int64_t now_ms = clock_boot_ms();

	cache_view_clear(ep->cache);
	/* One that changes its epoch from answer to answer is not queried without end. */
	ep->cache_sync_due_ms = ep->cache_synced ? 0 : now_ms + SYNC_RETRY_MS;
	ep->cache_unknown_since_ms = ep->cache_synced ? now_ms : ep->cache_sync_due_ms;
	ep->cache_synced = false;
	ep->cache_origin.replaced = true;
	ep->cache_next_event = 0;
}

/* Applies one page; true when another one follows. */
static bool cache_fetch_apply(struct cache_fetch *f, const struct cache_events *events)
{
	uint64_t epoch = hash_str(str_from(events->epoch), 0);
	struct endpoint *ep = f->endpoint;
	bool more;

	if ((ep->cache_synced || f->since > 0) && ep->cache_epoch != epoch) {
		epoch_changed(ep);
		return false;
	}
	/* A report of another instance has arrived meanwhile, and what follows it is read later. */
	if (ep->cache_synced && f->since != ep->cache_next_event)
		return false;
	ep->cache_epoch = epoch;
	for (int i = 0; i < events->count; i++) {
		const struct cache_event *e = &events->events[i];

		if (e->tokens)
			cache_view_record(ep->cache, e->part, e->tokens, true);
		else
			cache_view_remove(ep->cache, e->part);
	}
	f->events += events->count;
	/* An engine whose events don't go on is not queried without end. */
	more = events->count >= PAGE_MIN && events->next > f->since && ep->listed;
	f->since = events->next;
	ep->cache_next_event = events->next;
	if (more)
		return true;
	if (!ep->cache_synced || events->lost)
		log_info("cache-known", "endpoint=%s events=%d lost=%d epoch=%s", ep->entry.id,
			 f->events, events->lost, events->epoch);
	ep->cache_untold = ep->cache_untold || !ep->cache_synced;
	ep->cache_synced = true;
	return false;
}

static void on_done(void *ctx, const struct http_result *r)
{
	struct cache_fetch *f = ctx;
	struct cache_events events;
	bool more;

	endpoint_apply_result(f->entry, f->endpoint, r);
	if (r->status != 200 || !wire_cache_events_decode(r->body, &events)) {
		log_warn("cache-unknown", "endpoint=%s status=%d cause=%s", f->endpoint->entry.id,
			 r->status, r->status ? "-" : http_failure_name(r->failure));
		f->endpoint->cache_sync_due_ms = clock_boot_ms() + SYNC_RETRY_MS;
		f->endpoint->cache_unknown_since_ms = f->endpoint->cache_sync_due_ms;
		f->endpoint->cache_unreadable = true;
		cache_fetch_destroy(f);
		return;
	}
	f->endpoint->cache_unreadable = false;
	more = cache_fetch_apply(f, &events);
	wire_cache_events_free(&events);
	if (more)
		cache_fetch_send(f);
	else
		cache_fetch_destroy(f);
}

static void cache_fetch_send(struct cache_fetch *f)
{
	struct buf request = { 0 };

	wire_cache_request_encode(&request, f->endpoint->entry.address, f->since);
	http_collect_start(f->entry->endpoint_client,
			   &(struct http_exchange_spec){
				   .to = f->endpoint->address,
				   .request = buf_str(&request),
				   .connect_ms = SYNC_CONNECT_MS,
				   .read_timeout_ms = SYNC_SILENCE_MS,
				   .body_max_bytes = CACHE_ANSWER_MAX_BYTES,
			   },
			   on_done, f);
	buf_free(&request);
}

/* Only the instances that place requests on an engine query it, taking turns. */
static int64_t sync_period_ms(const struct entry *e, bool local)
{
	int instances = local ? peers_local_instances(e->peers) : peers_max_instances(e->peers);
	int64_t period_ms = (int64_t)instances * SYNC_PERIOD_PER_INSTANCE_MS;

	return period_ms < SYNC_PERIOD_MIN_MS ? SYNC_PERIOD_MIN_MS : period_ms;
}

static void cache_fetch_start(struct entry *e, struct endpoint *ep, int64_t now)
{
	struct cache_fetch *f = mem_zalloc(sizeof(*f));

	f->entry = e;
	f->endpoint = ep;
	f->since = ep->cache_next_event;
	ep->refs++;
	ep->cache_sync_due_ms = now + sync_period_ms(e, ep->service->prefers_local);
	e->cache_calls++;
	cache_fetch_send(f);
}

/*
 * Engines of this data centre come first, then the one whose turn came earliest. Ties, as between
 * engines never queried, are broken in a different order on each instance.
 */
static bool endpoint_precedes(const struct entry *e, const struct endpoint *ep,
			      const struct endpoint *other)
{
	if (!other)
		return true;
	if (!ep->dc != !other->dc)
		return !ep->dc;
	if (ep->cache_sync_due_ms != other->cache_sync_due_ms)
		return ep->cache_sync_due_ms < other->cache_sync_due_ms;
	return hash_mix(ep->hash, e->self_hash) > hash_mix(other->hash, e->self_hash);
}

static struct endpoint *endpoint_next_due(const struct entry *e, int64_t now_ms)
{
	bool remote_calls_left = e->cache_calls_left > CALLS_PER_TICK - REMOTE_CALLS_PER_TICK;
	struct endpoint *best = NULL;
	const struct service *s;

	cds_list_for_each_entry(s, &e->services, link) {
		const struct cds_list_head *list = service_list(s, s->prefers_local);
		struct cds_list_head *link;
		bool remote_allowed = remote_calls_left || !s->may_prefer_local;

		cds_list_for_each(link, list) {
			struct endpoint *ep = service_endpoint(link, s->prefers_local);

			if (ep->cache && (remote_allowed || !ep->dc) &&
			    now_ms >= ep->cache_sync_due_ms &&
			    (ep->cache_synced || now_ms >= ep->cache_turn_ms) &&
			    endpoint_is_available(ep, now_ms) && endpoint_precedes(e, ep, best))
				best = ep;
		}
	}
	return best;
}

static void fetch_start_due(struct entry *e)
{
	int calls_max = cache_turn_calls_max(e->settings.machine.link_mbps, e->caches_to_read);
	int64_t now = clock_boot_ms();
	struct endpoint *ep;

	while (!e->stopping && e->cache_calls < calls_max && e->cache_calls_left > 0 &&
	       (ep = endpoint_next_due(e, now))) {
		e->cache_calls_left--;
		cache_fetch_start(e, ep, now);
	}
}

/* An engine that can't be read doesn't hold up the others. */
static bool any_cache_to_read(const struct entry *e, int64_t now_ms)
{
	const struct service *s;

	cds_list_for_each_entry(s, &e->services, link) {
		const struct cds_list_head *list = service_list(s, s->prefers_local);
		struct cds_list_head *link;

		cds_list_for_each(link, list) {
			const struct endpoint *ep = service_endpoint(link, s->prefers_local);

			if (ep->cache && !ep->cache_synced && !ep->cache_unreadable &&
			    endpoint_is_available(ep, now_ms))
				return true;
		}
	}
	return false;
}

/* Where the instances of a data centre use its engines alone, they take turns at reading them. */
static void turns_update(struct entry *e, struct service *s)
{
	struct cds_list_head *link;

	cds_list_for_each(link, &s->local_endpoints) {
		struct endpoint *ep = service_endpoint(link, true);

		if (ep->cache && !ep->cache_synced)
			ep->cache_turn_ms =
				cache_turn_due_ms(peers_rank_for(e->peers, ep->hash, true),
						  ep->cache_unknown_since_ms);
	}
}

/* Tells the other instances of the data centre what an engine has cached. */
static void cache_report(struct entry *e, struct endpoint *ep)
{
	struct cached_part parts[REPORT_PARTS_MAX];
	uint64_t values[PEER_REPORT_VALUES_MAX];
	int part_count = cache_view_list(ep->cache, parts, REPORT_PARTS_MAX);
	int count = 0;

	values[count++] = ep->process_tag;
	values[count++] = ep->cache_epoch;
	values[count++] = (uint64_t)ep->cache_next_event;
	for (int i = 0; i < part_count; i++) {
		values[count++] = parts[i].part;
		values[count++] = (uint64_t)parts[i].tokens;
	}
	ep->cache_untold = false;
	peers_send_report(e->peers, REPORT_CACHE, REPORT_TO_DC, values, count);
}

/*
 * Only the first in the order tells: the others may know the engine by then, as those do that run
 * while an instance is restarted alone. @left: reports that may still be sent in this tick
 */
static void caches_report(struct entry *e, struct service *s, int *left)
{
	struct cds_list_head *link;

	cds_list_for_each(link, &s->local_endpoints) {
		struct endpoint *ep = service_endpoint(link, true);

		if (!ep->cache_untold || !ep->cache_synced)
			continue;
		if (peers_rank_for(e->peers, ep->hash, true) > 0)
			ep->cache_untold = false;
		else if ((*left)-- > 0)
			cache_report(e, ep);
	}
}

static bool report_head_is_valid(const uint64_t *values, int count)
{
	return count >= REPORT_HEAD && values[0] <= UINT32_MAX && values[2] <= INT64_MAX;
}

void cache_report_apply(void *ctx, const struct report_source *from, const uint64_t *values,
			int count, int64_t now_ms)
{
	struct entry *e = ctx;
	struct cached_part parts[REPORT_PARTS_MAX];
	struct endpoint *ep;
	int64_t period_ms;
	int part_count = -1;

	if (report_head_is_valid(values, count))
		part_count = cached_parts_decode(&values[REPORT_HEAD], count - REPORT_HEAD, parts,
						 REPORT_PARTS_MAX);
	if (part_count < 0) {
		log_warn("cache-report-malformed", "from=%s count=%d", from->id, count);
		return;
	}
	ep = endpoint_by_process(e, (uint32_t)values[0]);
	if (!ep || !ep->cache || ep->cache_synced)
		return;
	cache_view_take_list(ep->cache, parts, part_count, ep->cache_next_event > 0);
	period_ms = sync_period_ms(e, true);
	ep->cache_synced = true;
	ep->cache_epoch = values[1];
	ep->cache_next_event = (int64_t)values[2];
	/* Spreads the next requests of the instances that were told at the same time. */
	ep->cache_sync_due_ms = now_ms + period_ms / 2 +
				(int64_t)(hash_mix(ep->hash, e->self_hash) % (uint64_t)period_ms);
	log_info("cache-known", "endpoint=%s parts=%d source=%s", ep->entry.id, part_count,
		 from->id);
}

void cache_sync_step(struct entry *e)
{
	int reports_left = REPORTS_PER_TICK;
	struct service *s;

	cds_list_for_each_entry(s, &e->services, link) {
		if (!s->prefers_local)
			continue;
		turns_update(e, s);
		if (peers_local_instances(e->peers) > 1)
			caches_report(e, s, &reports_left);
	}
	e->caches_to_read = any_cache_to_read(e, clock_boot_ms());
	e->cache_calls_left = CALLS_PER_TICK;
	fetch_start_due(e);
}
