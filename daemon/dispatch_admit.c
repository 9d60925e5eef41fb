#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/metrics.h"

#define PLACE_RETRY_MS 10
/*
 * Part of the first token limit that admission plans for, in percent. Work that other instances
 * have sent is known late; at 100 a full queue admits what then misses the limit by little.
 */
#define PLAN_PERCENT 80
/*
 * Part of the first token limit that may be spent in the queue of an engine. What waits there is
 * served in order of arrival; what waits here is served by shares.
 */
#define ENGINE_QUEUE_PERCENT 25
#define ROUND_ROBIN_STARTS 1000003

/**
 * struct waiter - one queued request; lives on its thread's stack
 * @none: no usable set of roles existed at the last look
 */
struct waiter {
	struct share_ticket ticket;
	struct work *work;
	pthread_cond_t cond;
	bool admitted;
	bool none;
};

enum place_result {
	PLACE_TAKEN,
	PLACE_FULL,
	PLACE_NONE,
};

struct fleet_query dispatch_query(const struct dispatch *d, const struct work *w)
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

static struct model_queue *model_get(struct dispatch *d, const char *name)
{
	struct model_queue *m;

	for (int i = 0; i < d->model_count; i++) {
		if (strcmp(d->models[i].name, name) == 0)
			return &d->models[i];
	}
	if (d->model_count == DISPATCH_MODELS_MAX)
		return NULL;
	m = &d->models[d->model_count++];
	str_copy(m->name, sizeof(m->name), str_from(name));
	m->shares = share_create();
	return m;
}

static struct route_request request_of(const struct work *w)
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

/* Chooses endpoints without taking them; the candidates stay in d->cands. Caller holds the lock. */
static bool place_look(struct dispatch *d, struct model_queue *m, struct work *w,
		       const struct route_request *req, struct route_choice *out)
{
	struct fleet_query q = dispatch_query(d, w);
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

static bool choice_idle(const struct dispatch *d, const struct route_choice *c)
{
	return !d->cands[c->prefill].prefill_backlog && !d->cands[c->decode].decode_seqs;
}

/* The engine has enough work in front to stay busy until the next look. */
static bool engine_queue_full(const struct dispatch *d, const struct work *w,
			      const struct route_choice *choice)
{
	const struct route_candidate *p = &d->cands[choice->prefill];
	double queue_us;

	if (w->limits.first_token_ms <= 0 || p->cost.prefill_tokens_per_s <= 0)
		return false;
	queue_us = (double)p->prefill_backlog / p->cost.prefill_tokens_per_s * 1e6;
	return queue_us > (double)(w->limits.first_token_ms * 10 * ENGINE_QUEUE_PERCENT);
}

/* Caller holds the lock. @force: take the best endpoints even when the limits are not met. */
static enum place_result place_try(struct dispatch *d, struct model_queue *m, struct work *w,
				   bool force)
{
	struct route_request req = request_of(w);
	struct route_choice choice;

	if (!place_look(d, m, w, &req, &choice))
		return PLACE_NONE;
	if (!force && !choice_idle(d, &choice) &&
	    (!choice.fits || engine_queue_full(d, w, &choice)))
		return PLACE_FULL;
	return place_take(d, w, &choice) ? PLACE_TAKEN : PLACE_FULL;
}

static struct waiter *waiter_of(struct share_ticket *t)
{
	return (struct waiter *)((char *)t - offsetof(struct waiter, ticket));
}

static void pump_model(struct dispatch *d, struct model_queue *m)
{
	struct share_ticket *t;
	int64_t now = clock_boot_ms();

	while ((t = share_peek(m->shares))) {
		struct waiter *wt = waiter_of(t);
		enum place_result r = place_try(d, m, wt->work, false);

		wt->none = r == PLACE_NONE;
		if (r != PLACE_TAKEN)
			return;
		share_admit(m->shares, t, now);
		m->admitted++;
		wt->work->org->admitted++;
		wt->admitted = true;
		metric_add(METRIC_QUEUED, -1);
		pthread_cond_signal(&wt->cond);
	}
}

void dispatch_pump(struct dispatch *d, const char *model)
{
	pthread_mutex_lock(&d->lock);
	for (int i = 0; i < d->model_count; i++) {
		if (strcmp(d->models[i].name, model) == 0)
			pump_model(d, &d->models[i]);
	}
	pthread_mutex_unlock(&d->lock);
}

void dispatch_pump_all(struct dispatch *d)
{
	pthread_mutex_lock(&d->lock);
	for (int i = 0; i < d->model_count; i++)
		pump_model(d, &d->models[i]);
	pthread_mutex_unlock(&d->lock);
}

/* Engine time of a request: a decode step is shared by the sequences that run in it. */
static void cost_of(const struct route_candidate *c, int64_t prefill_tokens, int64_t output_tokens,
		    int64_t *prefill_us, int64_t *decode_us)
{
	double slots = c->decode_slots > 0 ? c->decode_slots : 1;
	double rate = c->cost.prefill_tokens_per_s > 0 ? c->cost.prefill_tokens_per_s : 1;

	*prefill_us = (int64_t)((double)prefill_tokens / rate * 1e6);
	*decode_us = (int64_t)((double)output_tokens *
			       (c->cost.step_base_us / slots + c->cost.step_per_seq_us));
}

static double floor_rate(struct dispatch *d, const char *model)
{
	struct fleet_query q = { .model = model, .engine = true };
	int n = fleet_candidates(d->gate->fleet, &q, d->cands);
	int usable = 0;

	for (int i = 0; i < n; i++)
		usable += d->cands[i].usable;
	return usable;
}

/*
 * Prices the request and sets the time by which the first token is due. A prompt whose prefill
 * alone takes longer than the limit gets twice that time; it could never be admitted otherwise.
 */
static void work_price(struct dispatch *d, struct work *w, const struct route_choice *best)
{
	const struct route_candidate *p = &d->cands[best->prefill];
	const struct route_candidate *r = &d->cands[best->decode];
	int64_t limit_ms = w->limits.first_token_ms * PLAN_PERCENT / 100;
	int64_t unused;

	cost_of(p, w->prompt_tokens - p->cached_tokens, 0, &w->prefill_us, &unused);
	cost_of(r, 0, w->output_tokens, &unused, &w->decode_us);
	if (2 * w->prefill_us / 1000 > limit_ms)
		limit_ms = 2 * w->prefill_us / 1000;
	w->first_token_by_ms = w->g->call.arrived_ms + limit_ms;
	if (w->first_token_by_ms > w->g->call.deadline_ms)
		w->first_token_by_ms = w->g->call.deadline_ms;
}

/* Caller holds the lock. Waits until the pump admits @wt or its deadline passes. */
static void waiter_wait(struct dispatch *d, struct waiter *wt)
{
	while (!wt->admitted) {
		int64_t left = wt->ticket.deadline_ms - clock_boot_ms();
		struct timespec until;

		if (left <= 0)
			return;
		until = clock_mono_after(left);
		pthread_cond_timedwait(&wt->cond, &d->lock, &until);
	}
}

static bool refuse(struct dispatch *d, struct work *w, struct outcome *out, bool none,
		   int64_t wait_us)
{
	w->org->refused++;
	if (none)
		outcome_set(out, 503, "not_run", "no_endpoint", "no endpoint for model %s",
			    w->g->model);
	else
		outcome_set(out, 429, "not_run", "overloaded",
			    "the first token can not be delivered in time");
	out->retry_after_s = wait_us > 1000000 ? (int)(wait_us / 1000000) : 1;
	return false;
}

static double call_weight(const struct call *call)
{
	return call->weight > 0 ? call->weight : 1;
}

/* Caller holds the lock. */
static bool admit_queued(struct dispatch *d, struct model_queue *m, struct work *w,
			 const struct route_choice *best, double rate, struct outcome *out)
{
	struct waiter wt = { .work = w };
	const struct call *call = &w->g->call;
	pthread_condattr_t attr;
	int64_t now = clock_boot_ms();
	int64_t wait_us = 0;

	wt.ticket = (struct share_ticket){
		.organisation = str_from(w->org->name),
		.weight = call_weight(call),
		.class = call->class,
		.cost_us = w->prefill_us + w->decode_us,
		.deadline_ms = w->first_token_by_ms - best->first_token_us / 1000,
	};
	if (share_depth(m->shares) && rate > 0)
		wait_us = share_wait_us(m->shares, &wt.ticket, rate);
	if (share_depth(m->shares) >= w->limits.queue_max)
		return refuse(d, w, out, false, wait_us);
	if (!choice_idle(d, best) && now + wait_us / 1000 > wt.ticket.deadline_ms)
		return refuse(d, w, out, false, wait_us);
	/* An idle engine is taken at once even when the limit is already lost. */
	if (wt.ticket.deadline_ms <= now)
		wt.ticket.deadline_ms = now + PLACE_RETRY_MS;
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&wt.cond, &attr);
	pthread_condattr_destroy(&attr);
	metric_add(METRIC_QUEUED, 1);
	share_enqueue(m->shares, &wt.ticket, now);
	pump_model(d, m);
	waiter_wait(d, &wt);
	if (!wt.admitted) {
		metric_add(METRIC_QUEUED, -1);
		share_cancel(m->shares, &wt.ticket);
		refuse(d, w, out, wt.none, wait_us);
		pump_model(d, m);
	}
	pthread_cond_destroy(&wt.cond);
	w->queued = wt.admitted;
	return wt.admitted;
}

static bool admit_locked(struct dispatch *d, struct work *w, int instances, struct outcome *out)
{
	struct model_queue *m = model_get(d, w->g->model);
	struct route_request any;
	struct route_choice best;
	struct route_method turn;
	double rate;

	if (!m)
		return refuse(d, w, out, true, 0);
	rate = floor_rate(d, w->g->model) / instances;
	w->first_token_by_ms = w->g->call.arrived_ms + w->limits.first_token_ms;
	any = request_of(w);
	any.first_token_us = INT64_MAX;
	any.gap_us = INT64_MAX;
	/* The look that prices the request must not take a turn of round-robin. */
	turn = m->method;
	if (!place_look(d, m, w, &any, &best))
		return refuse(d, w, out, true, 0);
	if (turn.kind == m->method.kind)
		m->method = turn;
	work_price(d, w, &best);
	fleet_demand_add(d->gate->fleet, w->g->model, w->prefill_us, w->decode_us);
	if (w->limits.admission)
		return admit_queued(d, m, w, &best, rate, out);
	if (place_try(d, m, w, true) != PLACE_TAKEN)
		return refuse(d, w, out, true, 0);
	m->admitted++;
	w->org->admitted++;
	return true;
}

bool admit(struct dispatch *d, struct work *w, struct outcome *out)
{
	int instances = control_live_instances(d->gate->control);
	bool ok;

	if (w->alone) {
		w->first_token_by_ms = w->g->call.deadline_ms;
		ok = place_again(d, w);
		if (!ok)
			outcome_set(out, 503, "not_run", "no_endpoint",
				    "no endpoint became free for a suspect request");
	} else {
		pthread_mutex_lock(&d->lock);
		ok = admit_locked(d, w, instances > 0 ? instances : 1, out);
		pthread_mutex_unlock(&d->lock);
	}
	if (ok)
		event_record("admitted", w->g->call.id, w->place.run.name, w->g->call.organisation,
			     "wait_ms=%d", (int)(clock_boot_ms() - w->g->call.arrived_ms));
	else
		event_record("refused", w->g->call.id, NULL, w->g->call.organisation,
			     "status=%d code=%s", out->status, out->code);
	return ok;
}

bool place_now(struct dispatch *d, struct work *w)
{
	struct model_queue *m;
	bool ok;

	pthread_mutex_lock(&d->lock);
	m = model_get(d, w->g->model);
	ok = m && place_try(d, m, w, true) == PLACE_TAKEN;
	pthread_mutex_unlock(&d->lock);
	return ok;
}

void work_settle(struct dispatch *d, struct work *w)
{
	int64_t charged = w->prefill_us + w->decode_us;
	int64_t expected = w->output_tokens > 0 ? w->output_tokens : 1;
	int64_t actual = w->prefill_us + w->decode_us * w->g->tokens / expected;
	struct model_queue *m;

	pthread_mutex_lock(&d->lock);
	w->org->tokens += w->g->tokens;
	m = model_get(d, w->g->model);
	if (m && w->queued)
		share_settle(m->shares, str_from(w->org->name), call_weight(&w->g->call), charged,
			     actual);
	pthread_mutex_unlock(&d->lock);
}
