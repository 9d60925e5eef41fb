#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"

/*
 * Part of the first token limit that may be spent in the queue of an engine. What waits there is
 * served in order of arrival; what waits here is served by shares.
 */
#define ENGINE_QUEUE_PERCENT 25
/*
 * The same for an organisation that has used more than its share lately. It is enough to keep the
 * engine busy until the next look; the rest is left to organisations within their share.
 */
#define ENGINE_QUEUE_ABOVE_PERCENT 10
#define ROUND_ROBIN_STARTS 1000003

static struct fleet_query query_of(const struct dispatch *d, const struct work *w)
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

struct route_request request_of(const struct work *w)
{
	int64_t left_us = (w->first_token_by_ms - clock_boot_ms()) * 1000;
	int64_t rest = w->output_tokens - w->g->tokens;

	return (struct route_request){
		.prompt_tokens = w->prompt_tokens + w->g->tokens,
		.output_tokens = rest > 1 ? rest : 1,
		.first_token_us = w->g->tokens ? INT64_MAX : (left_us > 0 ? left_us : 0),
		.gap_us = w->limits.gap_ms * 1000,
		.spread = random_u64(),
	};
}

bool place_look(struct dispatch *d, struct model_queue *m, struct work *w,
		const struct route_request *req, struct route_choice *out)
{
	struct fleet_query q = query_of(d, w);
	int n = fleet_candidates(d->gate->fleet, &q, d->cands);

	if (m->method.kind != w->limits.method.kind) {
		m->method = w->limits.method;
		/* Instances that start together must not take their turns in step. */
		if (m->method.kind == ROUTE_ROUND_ROBIN)
			m->method.u.round_robin.next = random_u64() % ROUND_ROBIN_STARTS;
	}
	return route_pick(&m->method, d->cands, n, req, out);
}

static bool place_take(struct dispatch *d, struct work *w, const struct route_choice *choice)
{
	const struct route_candidate *p = &d->cands[choice->prefill];
	const struct route_candidate *r = &d->cands[choice->decode];
	struct placement *place = &w->place;
	int64_t prefill = w->prompt_tokens + w->g->tokens - p->cached_tokens;

	*place = (struct placement){ .choice = *choice };
	if (choice->prefill == choice->decode)
		return fleet_acquire(d->gate->fleet, r->index, prefill, 1, &place->run);
	if (!fleet_acquire(d->gate->fleet, p->index, prefill, 0, &place->prefill))
		return false;
	if (!fleet_acquire(d->gate->fleet, r->index, 0, 1, &place->run)) {
		fleet_release(d->gate->fleet, &place->prefill);
		return false;
	}
	place->split = true;
	return true;
}

bool choice_idle(const struct dispatch *d, const struct route_choice *c)
{
	return !d->cands[c->prefill].prefill_backlog && !d->cands[c->decode].decode_seqs;
}

/* @above: the request's organisation has used more than its share lately */
static bool engine_queue_full(const struct dispatch *d, const struct work *w,
			      const struct route_choice *choice, bool above)
{
	const struct route_candidate *p = &d->cands[choice->prefill];
	int64_t percent = above ? ENGINE_QUEUE_ABOVE_PERCENT : ENGINE_QUEUE_PERCENT;
	double queue_us;

	if (w->limits.first_token_ms <= 0 || p->cost.prefill_tokens_per_s <= 0)
		return false;
	queue_us = (double)p->prefill_backlog / p->cost.prefill_tokens_per_s * 1e6;
	return queue_us > (double)(w->limits.first_token_ms * 10 * percent);
}

/* Why @choice may not be taken; REFUSAL_COUNT when it may. */
static enum refusal choice_block(const struct dispatch *d, const struct work *w,
				 const struct route_choice *choice, bool above)
{
	const struct route_candidate *r = &d->cands[choice->decode];

	if (choice_idle(d, choice))
		return REFUSAL_COUNT;
	if (r->decode_seqs >= r->decode_slots)
		return REFUSAL_SLOTS;
	if (engine_queue_full(d, w, choice, above))
		return REFUSAL_QUEUE;
	return choice->fits ? REFUSAL_COUNT : REFUSAL_LIMITS;
}

bool place_try(struct dispatch *d, struct model_queue *m, struct work *w, bool force, bool above,
	       enum refusal *block)
{
	struct route_request req = request_of(w);
	struct route_choice choice;

	*block = REFUSAL_ENDPOINT;
	if (!place_look(d, m, w, &req, &choice))
		return false;
	if (!force)
		*block = choice_block(d, w, &choice, above);
	if (!force && *block != REFUSAL_COUNT)
		return false;
	*block = REFUSAL_LIMITS;
	return place_take(d, w, &choice);
}

static bool model_has_mixed(struct dispatch *d, const struct fleet_query *q)
{
	bool found = false;
	int n;

	pthread_mutex_lock(&d->lock);
	n = fleet_candidates(d->gate->fleet, q, d->cands);
	for (int i = 0; i < n; i++)
		found |= d->cands[i].role == ROLE_MIXED && d->cands[i].usable;
	pthread_mutex_unlock(&d->lock);
	return found;
}

/* One mixed engine, or one engine of each other role, without any other attempt. */
static bool place_alone(struct dispatch *d, struct work *w, int reserved[2])
{
	struct fleet_query q = query_of(d, w);
	struct fleet *f = d->gate->fleet;
	struct placement *p = &w->place;

	q.rank = control_rank(d->gate->control, &q.instances);
	if (!p->prefill.held && reserved[1] < 0 && model_has_mixed(d, &q))
		return fleet_acquire_alone(f, &q, ROLE_MIXED, w->prompt_tokens, &reserved[0],
					   &p->run);
	p->split = true;
	if (!p->prefill.held)
		fleet_acquire_alone(f, &q, ROLE_PREFILL, w->prompt_tokens, &reserved[1],
				    &p->prefill);
	/* In this order only, or two suspects hold one role each and wait for the other for ever.
	 */
	if (p->prefill.held && !p->run.held)
		fleet_acquire_alone(f, &q, ROLE_DECODE, 0, &reserved[0], &p->run);
	return p->prefill.held && p->run.held;
}

/* Evidence may clear a suspect request while it waits; ordinary places are easier to get. */
static void suspect_cleared(struct dispatch *d, struct work *w, int reserved[2])
{
	if (!w->alone ||
	    control_quarantine_check(d->gate->control, w->fingerprint) != QUARANTINE_CLEAR)
		return;
	for (int i = 0; i < 2; i++) {
		fleet_unreserve(d->gate->fleet, reserved[i]);
		reserved[i] = -1;
	}
	fleet_release(d->gate->fleet, &w->place.prefill);
	fleet_release(d->gate->fleet, &w->place.run);
	w->place = (struct placement){ 0 };
	w->alone = false;
}

bool place_again(struct dispatch *d, struct work *w)
{
	int reserved[2] = { -1, -1 };
	bool ok = false;

	w->place = (struct placement){ 0 };
	while (clock_boot_ms() < w->g->call.deadline_ms) {
		struct model_queue *m;
		enum refusal block;

		suspect_cleared(d, w, reserved);
		if (w->alone) {
			ok = place_alone(d, w, reserved);
		} else {
			pthread_mutex_lock(&d->lock);
			m = model_get(d, w->g->model);
			ok = m && place_try(d, m, w, true, false, &block);
			pthread_mutex_unlock(&d->lock);
		}
		if (ok)
			break;
		/* Nothing else is left: endpoints that failed before may have recovered. */
		w->avoid_count = 0;
		clock_sleep_ms(PLACE_RETRY_MS);
	}
	fleet_unreserve(d->gate->fleet, reserved[0]);
	fleet_unreserve(d->gate->fleet, reserved[1]);
	if (!ok)
		place_release(d, w);
	return ok;
}

void place_release(struct dispatch *d, struct work *w)
{
	fleet_release(d->gate->fleet, &w->place.prefill);
	fleet_release(d->gate->fleet, &w->place.run);
	dispatch_pump(d, w->g->model);
}
