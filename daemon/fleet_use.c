#include <math.h>
#include <string.h>

#include "fleet_impl.h"
#include "ibisgate/common/clock.h"

/* Speeds assumed until the first load report of an engine. */
static const struct engine_cost default_cost = {
	.prefill_tokens_per_s = 10000,
	.step_base_us = 10000,
	.step_per_seq_us = 200,
	.kv_token_us = 2,
};
#define DEFAULT_DECODE_SLOTS 32
/* While no cache event is known, 1 / HOME_CACHE_DIVISOR of the prompt counts as cached at home. */
#define HOME_CACHE_DIVISOR 8

bool endpoint_is_usable(const struct endpoint *ep, int64_t now_ms)
{
	return ep->used && ep->listed && !ep->stop_count && !ep->info.leaving && !ep->down &&
	       !ep->load.changing && circuit_allows_request(&ep->circuit, now_ms);
}

bool endpoint_matches_query(const struct endpoint *ep, const struct fleet_query *q)
{
	return ep->used && ep->info.is_engine == q->engine && strcmp(ep->info.model, q->model) == 0;
}

bool endpoint_is_reserved(const struct endpoint *ep)
{
	return ep->reserved || ep->peer_reserved;
}

/*
 * Ordinary requests don't use a reserved engine while there is another usable one. On the last
 * engine of a role they continue beside the suspect request, which then is the only suspect there.
 */
bool endpoint_is_withheld(const struct fleet *f, const struct fleet_query *q, int id,
			  int64_t now_ms)
{
	const struct endpoint *kept = &f->endpoints[id];

	for (int i = 0; endpoint_is_reserved(kept) && i < f->count; i++) {
		const struct endpoint *ep = &f->endpoints[i];

		if (!endpoint_is_reserved(ep) && ep->info.role == kept->info.role &&
		    endpoint_matches_query(ep, q) && endpoint_is_usable(ep, now_ms))
			return true;
	}
	return false;
}

bool fleet_has_model(struct fleet *f, const char *model)
{
	const struct fleet_query q = { .model = model, .engine = true };
	bool found = false;

	pthread_mutex_lock(&f->lock);
	for (int i = 0; i < f->count && !found; i++)
		found = f->endpoints[i].listed && endpoint_matches_query(&f->endpoints[i], &q);
	pthread_mutex_unlock(&f->lock);
	return found;
}

static bool is_avoided(const struct fleet_query *q, int id)
{
	for (int i = 0; i < q->avoid_count; i++) {
		if (q->avoid[i] == id)
			return true;
	}
	return false;
}

/**
 * struct own_work_total - own work on all engines of one role
 * @engines: number of usable engines
 */
struct own_work_total {
	int engines;
	int64_t prefill;
	int64_t seqs;
};

#define ROLE_COUNT (ROLE_DECODE + 1)

static void own_work_sum(const struct fleet *f, const struct fleet_query *q, int64_t now_ms,
			 struct own_work_total sums[ROLE_COUNT])
{
	for (int i = 0; i < f->count; i++) {
		const struct endpoint *ep = &f->endpoints[i];
		struct own_work_total *s = &sums[ep->info.role];

		if (!endpoint_matches_query(ep, q))
			continue;
		s->engines += endpoint_is_usable(ep, now_ms);
		s->prefill += ep->own_prefill;
		s->seqs += ep->own_seqs;
	}
}

/*
 * All instances see the same stale reports and would move to each other's home engines at the same
 * moment. Requests are spread evenly over the instances, so the present load of all engines can be
 * estimated from the work of this instance. The home engine of another instance counts as at least
 * as loaded as this mean.
 */
static void candidate_raise_load(const struct fleet *f, const struct endpoint *ep,
				 const struct own_work_total *own, struct route_candidate *c)
{
	int engines = own->engines > 0 ? own->engines : 1;
	int64_t prefill = own->prefill * f->instances / engines;
	int seqs = (int)(own->seqs * f->instances / engines);

	if (prefill < ep->mean_prefill)
		prefill = ep->mean_prefill;
	if (seqs < ep->mean_seqs)
		seqs = ep->mean_seqs;
	if (c->prefill_backlog < prefill)
		c->prefill_backlog = prefill;
	if (c->decode_seqs < seqs)
		c->decode_seqs = seqs;
}

static void candidate_fill(struct fleet *f, int id, const struct fleet_query *q,
			   const struct own_work_total *own, struct route_candidate *c)
{
	const struct endpoint *ep = &f->endpoints[id];
	int64_t cached = 0;

	if (q->prefix)
		cached = (int64_t)prefix_index_match_count(f->index, q->prefix, id) *
			 PREFIX_PIECE_TOKENS;
	*c = (struct route_candidate){
		.index = id,
		.role = ep->info.is_engine ? ep->info.role : ROLE_SERVICE,
		.prefill_backlog = ep->own_prefill + llround(ep->peer_prefill),
		.decode_seqs = ep->own_seqs + (int)lround(ep->peer_seqs),
		.preferred_by_others = ep->is_peer_home && !ep->has_no_home,
		.decode_slots = ep->load.received_ms ? ep->load.decode_slots : DEFAULT_DECODE_SLOTS,
		.cached_tokens = cached < q->prompt_tokens ? cached : q->prompt_tokens,
		.cost = ep->load.received_ms ? ep->load.cost : default_cost,
	};
	if (c->preferred_by_others)
		candidate_raise_load(f, ep, &own[ep->info.role], c);
	if (q->settings)
		c->distance_us = settings_distance_us(q->settings, ep->info.dc);
}

/*
 * While no engine is known to have pieces of the prompt in its cache, assumes that the engine
 * chosen by rendezvous hashing of the first piece has some.
 */
static void home_cache_estimate(struct fleet *f, const struct fleet_query *q,
				struct route_candidate *out, int n)
{
	struct route_candidate *home = NULL;
	uint64_t best = 0;

	if (!q->prefix || !q->prefix->count)
		return;
	for (int i = 0; i < n; i++) {
		const char *name = f->endpoints[out[i].index].info.name;
		uint64_t score = prefix_home_score(q->prefix, str_from(name));

		if (out[i].cached_tokens)
			return;
		if (out[i].usable && out[i].role != ROLE_DECODE && (!home || score > best)) {
			home = &out[i];
			best = score;
		}
	}
	if (home)
		home->cached_tokens =
			(int64_t)q->prefix->count * PREFIX_PIECE_TOKENS / HOME_CACHE_DIVISOR;
}

int fleet_candidates(struct fleet *f, const struct fleet_query *q, struct route_candidate *out)
{
	struct own_work_total own[ROLE_COUNT] = { 0 };
	int64_t now_ms = clock_boot_ms();
	int n = 0;

	pthread_mutex_lock(&f->lock);
	own_work_sum(f, q, now_ms, own);
	for (int i = 0; i < f->count; i++) {
		const struct endpoint *ep = &f->endpoints[i];

		if (!endpoint_matches_query(ep, q))
			continue;
		candidate_fill(f, i, q, own, &out[n]);
		out[n].usable = endpoint_is_usable(ep, now_ms) &&
				!endpoint_is_withheld(f, q, i, now_ms) && !is_avoided(q, i);
		n++;
	}
	home_cache_estimate(f, q, out, n);
	pthread_mutex_unlock(&f->lock);
	return n;
}

void fleet_slot_assign(struct fleet *f, int id, int64_t prefill_tokens, int seqs,
		       struct fleet_slot *out)
{
	struct endpoint *ep = &f->endpoints[id];
	int64_t now_ms = clock_boot_ms();

	*out = (struct fleet_slot){
		.held = true,
		.id = id,
		.prefill_tokens = prefill_tokens,
		.seqs = seqs,
	};
	memcpy(out->name, ep->info.name, sizeof(out->name));
	memcpy(out->url, ep->info.url, sizeof(out->url));
	memcpy(out->boot_id, ep->load.boot_id, sizeof(out->boot_id));
	ep->in_flight++;
	ep->own_prefill += prefill_tokens;
	ep->own_seqs += seqs;
	circuit_request_sent(&ep->circuit, now_ms);
	endpoint_record_work(ep, now_ms);
}

bool fleet_slot_acquire(struct fleet *f, int id, int64_t prefill_tokens, int seqs,
			struct fleet_slot *out)
{
	int64_t now_ms = clock_boot_ms();
	bool ok;

	pthread_mutex_lock(&f->lock);
	ok = id >= 0 && id < f->count && endpoint_is_usable(&f->endpoints[id], now_ms);
	if (ok) {
		const struct endpoint_info *info = &f->endpoints[id].info;
		const struct fleet_query q = { .model = info->model, .engine = info->is_engine };

		ok = !endpoint_is_withheld(f, &q, id, now_ms);
	}
	if (ok)
		fleet_slot_assign(f, id, prefill_tokens, seqs, out);
	pthread_mutex_unlock(&f->lock);
	return ok;
}

void fleet_slot_prefill_done(struct fleet *f, struct fleet_slot *slot)
{
	struct endpoint *ep;

	if (!slot->held || !slot->prefill_tokens)
		return;
	pthread_mutex_lock(&f->lock);
	ep = &f->endpoints[slot->id];
	ep->own_prefill -= slot->prefill_tokens;
	slot->prefill_tokens = 0;
	endpoint_record_work(ep, clock_boot_ms());
	pthread_mutex_unlock(&f->lock);
}

void fleet_slot_release(struct fleet *f, struct fleet_slot *slot)
{
	struct endpoint *ep;

	if (!slot->held)
		return;
	pthread_mutex_lock(&f->lock);
	ep = &f->endpoints[slot->id];
	ep->in_flight--;
	ep->own_prefill -= slot->prefill_tokens;
	ep->own_seqs -= slot->seqs;
	if (slot->is_exclusive)
		ep->reserved = false;
	/* If a probe ended without a result, e.g. was cancelled, the next request is a probe. */
	if (!ep->in_flight)
		ep->circuit.is_probing = false;
	endpoint_record_work(ep, clock_boot_ms());
	pthread_mutex_unlock(&f->lock);
	slot->held = false;
}

void fleet_result_record(struct fleet *f, const char *name, enum fleet_outcome outcome)
{
	struct endpoint *ep;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	if (ep && outcome == FLEET_SUCCESS)
		circuit_success(&ep->circuit);
	else if (ep)
		circuit_failure(&ep->circuit, outcome == FLEET_HARD_FAILURE, clock_boot_ms());
	/* Load polls detect when a crashed engine is back, so no request has to probe it. */
	if (ep && outcome == FLEET_HARD_FAILURE && ep->info.is_engine) {
		ep->down = true;
		ep->down_ms = clock_boot_ms();
	}
	pthread_mutex_unlock(&f->lock);
}

void fleet_cache_add(struct fleet *f, const struct fleet_slot *slot, const struct prefix *p)
{
	pthread_mutex_lock(&f->lock);
	for (int i = 0; i < p->count; i++)
		prefix_index_insert(f->index, p->hashes[i], slot->id);
	pthread_mutex_unlock(&f->lock);
}

void fleet_cache_event(struct fleet *f, const char *name, uint64_t piece, bool stored)
{
	struct endpoint *ep;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	if (ep && stored)
		prefix_index_insert(f->index, piece, (int)(ep - f->endpoints));
	else if (ep)
		prefix_index_remove(f->index, piece, (int)(ep - f->endpoints));
	pthread_mutex_unlock(&f->lock);
}

void fleet_cache_clear(struct fleet *f, const char *name)
{
	struct endpoint *ep;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	if (ep)
		prefix_index_remove_endpoint(f->index, (int)(ep - f->endpoints));
	pthread_mutex_unlock(&f->lock);
}

void fleet_set_load_lag(struct fleet *f, int64_t lag_ms)
{
	pthread_mutex_lock(&f->lock);
	f->load_lag_ms = lag_ms;
	pthread_mutex_unlock(&f->lock);
}

void fleet_first_attempt_record(struct fleet *f, const char *name, const struct retry_limits *l)
{
	struct endpoint *ep;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	if (ep)
		retry_budget_add_first_attempt(&ep->budget, l, clock_boot_ms());
	pthread_mutex_unlock(&f->lock);
}

enum retry_verdict fleet_retry_decide(struct fleet *f, const char *name,
				      const struct retry_query *q,
				      struct retry_budget *organisation,
				      const struct retry_limits *l, int64_t *delay_ms)
{
	struct retry_budget gone = { 0 };
	enum retry_verdict v;
	struct endpoint *ep;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	v = retry_decide(q, organisation, ep ? &ep->budget : &gone, l, delay_ms);
	pthread_mutex_unlock(&f->lock);
	return v;
}
