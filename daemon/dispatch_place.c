#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"

/*
 * Percentage of the time to first token limit that a request may spend in an engine's queue. The
 * engine serves its queue in order of arrival; the admission queue here is served by fair shares.
 */
#define ENGINE_QUEUE_PERCENT 25
/*
 * The same for an organisation that has recently used more than its share. It is enough to keep the
 * engine busy until the next pass over the queue; the rest is left to organisations within their
 * share.
 */
#define ENGINE_QUEUE_ABOVE_PERCENT 10
#define ROUND_ROBIN_START_RANGE 1000003

struct fleet_query work_fleet_query(const struct dispatch *d, const struct generation_work *w)
{
	return (struct fleet_query){
		.model = w->g->model,
		.engine = true,
		.prefix = &w->prefix,
		.prompt_tokens = w->prompt_tokens + w->g->tokens,
		.avoid = w->avoid,
		.avoid_count = w->avoid_count,
		.settings = &d->gate->settings,
	};
}

struct route_request work_route_request(const struct generation_work *w)
{
	int64_t left_us = (w->first_token_by_ms - clock_boot_ms()) * 1000;
	int64_t rest = w->output_tokens - w->g->tokens;

	return (struct route_request){
		.prompt_tokens = w->prompt_tokens + w->g->tokens,
		.output_tokens = rest > 1 ? rest : 1,
		.first_token_us = w->g->tokens ? INT64_MAX : (left_us > 0 ? left_us : 0),
		.gap_us = w->limits.gap_ms * 1000,
		.tie_seed = random_u64(),
	};
}

bool placement_choose(struct dispatch *d, struct model_queue *m, struct generation_work *w,
		      const struct route_request *req, struct route_choice *out)
{
	struct fleet_query q = work_fleet_query(d, w);

	d->cand_count = fleet_candidates(d->gate->fleet, &q, d->cands);
	if (m->method.kind != w->limits.method.kind) {
		m->method = w->limits.method;
		/* Instances that start together must not choose the same engines in step. */
		if (m->method.kind == ROUTE_ROUND_ROBIN)
			m->method.u.round_robin.next = random_u64() % ROUND_ROBIN_START_RANGE;
	}
	return route_pick(&m->method, d->cands, d->cand_count, req, out);
}

static bool placement_acquire(struct dispatch *d, struct generation_work *w,
			      const struct route_choice *choice)
{
	const struct route_candidate *p = &d->cands[choice->prefill];
	const struct route_candidate *r = &d->cands[choice->decode];
	struct placement *place = &w->place;
	int64_t prefill = w->prompt_tokens + w->g->tokens - p->cached_tokens;

	*place = (struct placement){ .choice = *choice };
	if (choice->prefill == choice->decode)
		return fleet_slot_acquire(d->gate->fleet, r->index, prefill, 1, &place->run);
	if (!fleet_slot_acquire(d->gate->fleet, p->index, prefill, 0, &place->prefill))
		return false;
	if (!fleet_slot_acquire(d->gate->fleet, r->index, 0, 1, &place->run)) {
		fleet_slot_release(d->gate->fleet, &place->prefill);
		return false;
	}
	place->split = true;
	return true;
}

bool choice_is_idle(const struct dispatch *d, const struct route_choice *c)
{
	return !d->cands[c->prefill].prefill_backlog && !d->cands[c->decode].decode_seqs;
}

/* @over_share: the request's organisation has recently used more than its share */
static bool engine_queue_is_full(const struct dispatch *d, const struct generation_work *w,
				 const struct route_choice *choice, bool over_share)
{
	const struct route_candidate *p = &d->cands[choice->prefill];
	int64_t percent = over_share ? ENGINE_QUEUE_ABOVE_PERCENT : ENGINE_QUEUE_PERCENT;
	double queue_us;

	if (w->limits.first_token_ms <= 0 || p->cost.prefill_tokens_per_s <= 0)
		return false;
	queue_us = (double)p->prefill_backlog / p->cost.prefill_tokens_per_s * 1e6;
	return queue_us > (double)(w->limits.first_token_ms * 10 * percent);
}

/* Returns why @choice may not be used; REFUSAL_COUNT if it may. */
static enum refusal choice_refusal(const struct dispatch *d, const struct generation_work *w,
				   const struct route_choice *choice, bool over_share)
{
	const struct route_candidate *r = &d->cands[choice->decode];

	if (choice_is_idle(d, choice))
		return REFUSAL_COUNT;
	if (r->decode_seqs >= r->decode_slots)
		return REFUSAL_SLOTS;
	if (engine_queue_is_full(d, w, choice, over_share))
		return REFUSAL_QUEUE;
	return choice->fits ? REFUSAL_COUNT : REFUSAL_LIMITS;
}

bool placement_check(struct dispatch *d, struct model_queue *m, struct generation_work *w,
		     bool ignore_limits, bool over_share, struct route_choice *choice,
		     enum refusal *reason)
{
	struct route_request req = work_route_request(w);

	*reason = REFUSAL_ENDPOINT;
	if (!placement_choose(d, m, w, &req, choice))
		return false;
	*reason = ignore_limits ? REFUSAL_COUNT : choice_refusal(d, w, choice, over_share);
	return *reason == REFUSAL_COUNT;
}

bool placement_try_acquire(struct dispatch *d, struct model_queue *m, struct generation_work *w,
			   bool ignore_limits, bool over_share, enum refusal *reason)
{
	struct route_choice choice;

	if (!placement_check(d, m, w, ignore_limits, over_share, &choice, reason))
		return false;
	*reason = REFUSAL_LIMITS;
	return placement_acquire(d, w, &choice);
}

bool placement_acquire_best(struct dispatch *d, struct generation_work *w)
{
	struct model_queue *m;
	enum refusal reason;
	bool ok;

	pthread_mutex_lock(&d->lock);
	m = model_get(d, w->g->model);
	ok = m && placement_try_acquire(d, m, w, true, false, &reason);
	pthread_mutex_unlock(&d->lock);
	return ok;
}
