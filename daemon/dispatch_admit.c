#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/metrics.h"

/*
 * Percentage of the time to first token limit that admission plans for. Work sent by other
 * instances becomes known late; with 100 a full queue admits requests that narrowly miss the limit.
 */
#define ADMISSION_PLAN_PERCENT 80
/* Window of recent use: long compared with the time between requests, short against a flood. */
#define USAGE_WINDOW_MS 5000
/* Maximum number of tickets skipped in a pass over the queue; limits how long the lock is held. */
#define HELD_BACK_MAX 16

/**
 * struct waiter - one queued request, on the stack of the thread that serves it
 * @reason: why the last pass over the queue did not admit it
 */
struct waiter {
	struct share_ticket ticket;
	struct generation_work *work;
	pthread_cond_t cond;
	bool admitted;
	enum refusal reason;
};

const char *refusal_name(enum refusal r)
{
	static const char *const names[] = {
		[REFUSAL_ENDPOINT] = "endpoint", [REFUSAL_ARRIVAL] = "arrival",
		[REFUSAL_TURN] = "turn",	 [REFUSAL_QUEUE] = "queue",
		[REFUSAL_SLOTS] = "slots",	 [REFUSAL_LIMITS] = "limits",
	};

	return names[r];
}

struct model_queue *model_find(struct dispatch *d, const char *name)
{
	for (int i = 0; i < d->model_count; i++) {
		if (strcmp(d->models[i].name, name) == 0)
			return &d->models[i];
	}
	return NULL;
}

struct model_queue *model_get(struct dispatch *d, const char *name)
{
	struct model_queue *m = model_find(d, name);

	if (m)
		return m;
	if (d->model_count == DISPATCH_MODELS_MAX)
		return NULL;
	m = &d->models[d->model_count++];
	str_copy(m->name, sizeof(m->name), str_from(name));
	m->shares = share_create();
	m->usage = share_usage_create(USAGE_WINDOW_MS);
	return m;
}

static struct waiter *waiter_from_ticket(struct share_ticket *t)
{
	return (struct waiter *)((char *)t - offsetof(struct waiter, ticket));
}

static void waiter_admit(struct model_queue *m, struct waiter *wt, int64_t now_ms)
{
	share_admit(m->shares, &wt->ticket, now_ms);
	share_usage_add(m->usage, wt->ticket.organisation, wt->ticket.weight, wt->ticket.cost_us,
			now_ms);
	m->admitted++;
	wt->work->org->admitted++;
	wt->admitted = true;
	metric_add(METRIC_QUEUED, -1);
	pthread_cond_signal(&wt->cond);
}

/*
 * Admits requests in the order of the fair queue. Two kinds of tickets don't block those of other
 * organisations: tickets of an organisation above its share, which wait for more free capacity than
 * others need, and tickets whose remaining time is too short for the present engine queues.
 */
static void model_pump(struct dispatch *d, struct model_queue *m)
{
	struct share_ticket *t;
	int64_t now_ms = clock_boot_ms();
	int held_back = 0;

	while ((t = share_peek(m->shares))) {
		struct waiter *wt = waiter_from_ticket(t);
		bool over_share = share_usage_exceeds_share(m->usage, t->organisation, now_ms);

		if (placement_try_acquire(d, m, wt->work, false, over_share, &wt->reason))
			waiter_admit(m, wt, now_ms);
		else if ((over_share || wt->reason == REFUSAL_LIMITS) &&
			 held_back++ < HELD_BACK_MAX)
			share_skip_organisation(m->shares);
		else
			break;
	}
	share_restore_skipped(m->shares);
}

void dispatch_pump(struct dispatch *d, const char *model)
{
	pthread_mutex_lock(&d->lock);
	for (int i = 0; i < d->model_count; i++) {
		if (strcmp(d->models[i].name, model) == 0)
			model_pump(d, &d->models[i]);
	}
	pthread_mutex_unlock(&d->lock);
}

void dispatch_pump_all(struct dispatch *d)
{
	pthread_mutex_lock(&d->lock);
	for (int i = 0; i < d->model_count; i++)
		model_pump(d, &d->models[i]);
	pthread_mutex_unlock(&d->lock);
}

/* Estimates engine time: the cost of a decode step is shared by the sequences that run in it. */
static void engine_time_estimate(const struct route_candidate *c, int64_t prefill_tokens,
				 int64_t output_tokens, int64_t *prefill_us, int64_t *decode_us)
{
	double slots = c->decode_slots > 0 ? c->decode_slots : 1;
	double rate = c->cost.prefill_tokens_per_s > 0 ? c->cost.prefill_tokens_per_s : 1;

	*prefill_us = (int64_t)((double)prefill_tokens / rate * 1e6);
	*decode_us = (int64_t)((double)output_tokens *
			       (c->cost.step_base_us / slots + c->cost.step_per_seq_us));
}

static double service_rate_floor(struct dispatch *d, const char *model)
{
	struct fleet_query q = { .model = model, .engine = true };
	int n = fleet_candidates(d->gate->fleet, &q, d->cands);
	int usable = 0;

	for (int i = 0; i < n; i++)
		usable += d->cands[i].usable;
	return usable;
}

/*
 * Estimates the engine time of the request and sets the time by which its first token is due. A
 * prompt whose prefill takes more than half of the limit gets twice its prefill time instead;
 * otherwise a prompt whose prefill alone exceeds the limit could never be admitted.
 */
static void work_estimate_cost(struct dispatch *d, struct generation_work *w,
			       const struct route_choice *best)
{
	const struct route_candidate *p = &d->cands[best->prefill];
	const struct route_candidate *r = &d->cands[best->decode];
	int64_t limit_ms = w->limits.first_token_ms * ADMISSION_PLAN_PERCENT / 100;
	int64_t unused;

	engine_time_estimate(p, w->prompt_tokens - p->cached_tokens, 0, &w->prefill_us, &unused);
	engine_time_estimate(r, 0, w->output_tokens, &unused, &w->decode_us);
	if (2 * w->prefill_us / 1000 > limit_ms)
		limit_ms = 2 * w->prefill_us / 1000;
	w->first_token_by_ms = w->g->call.arrived_ms + limit_ms;
	if (w->first_token_by_ms > w->g->call.deadline_ms)
		w->first_token_by_ms = w->g->call.deadline_ms;
}

/* Waits until the pump admits @wt or its deadline passes. Caller holds the lock. */
static void waiter_wait(struct dispatch *d, struct waiter *wt)
{
	while (!wt->admitted) {
		int64_t left_ms = wt->ticket.deadline_ms - clock_boot_ms();
		struct timespec deadline;

		if (left_ms <= 0)
			return;
		deadline = clock_monotonic_after(left_ms);
		pthread_cond_timedwait(&wt->cond, &d->lock, &deadline);
	}
}

static bool request_refuse(struct generation_work *w, struct outcome *out, enum refusal why,
			   int64_t wait_us)
{
	w->org->refused++;
	w->org->refused_by[why]++;
	w->refusal = why;
	if (why == REFUSAL_ENDPOINT)
		outcome_set(out, 503, "not_run", "no_endpoint",
			    "no endpoint is available for model %s", w->g->model);
	else
		outcome_set(out, 429, "not_run", "overloaded",
			    "the first token can't be delivered within its time limit");
	out->retry_after_s = wait_us > 1000000 ? (int)(wait_us / 1000000) : 1;
	return false;
}

static double call_weight(const struct call *call)
{
	return call->weight > 0 ? call->weight : 1;
}

bool admission_arrive(struct dispatch *d, const struct model_queue *m, struct generation_work *w,
		      const struct admission_estimate *e, int64_t now_ms,
		      struct share_ticket *ticket, int64_t *wait_us)
{
	const struct route_choice *best = &e->best;
	const struct call *call = &w->g->call;
	const struct route_request req = work_route_request(w);
	int64_t unqueued_us = route_unqueued_first_token_us(&d->cands[best->prefill],
							    &d->cands[best->decode], &req);

	*ticket = (struct share_ticket){
		.organisation = str_from(call->organisation),
		.weight = call_weight(call),
		.class = call->class,
		.cost_us = w->prefill_us + w->decode_us,
		.deadline_ms = w->first_token_by_ms - unqueued_us / 1000,
	};
	*wait_us = 0;
	if (share_depth(m->shares) && e->rate > 0)
		*wait_us = share_expected_wait_us(m->shares, ticket, e->rate);
	if (share_depth(m->shares) >= w->limits.queue_max)
		return false;
	return choice_is_idle(d, best) || now_ms + *wait_us / 1000 <= ticket->deadline_ms;
}

/* Caller holds the lock. */
static bool admission_wait_queued(struct dispatch *d, struct model_queue *m,
				  struct generation_work *w, const struct admission_estimate *e,
				  struct outcome *out)
{
	struct waiter wt = { .work = w, .reason = REFUSAL_TURN };
	pthread_condattr_t attr;
	int64_t now_ms = clock_boot_ms();
	int64_t wait_us;

	if (!admission_arrive(d, m, w, e, now_ms, &wt.ticket, &wait_us))
		return request_refuse(w, out, REFUSAL_ARRIVAL, wait_us);
	/* An idle engine is used at once even when the limit can't be met any more. */
	if (wt.ticket.deadline_ms <= now_ms)
		wt.ticket.deadline_ms = now_ms + PLACE_RETRY_MS;
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&wt.cond, &attr);
	pthread_condattr_destroy(&attr);
	metric_add(METRIC_QUEUED, 1);
	share_enqueue(m->shares, &wt.ticket, now_ms);
	model_pump(d, m);
	waiter_wait(d, &wt);
	if (!wt.admitted) {
		metric_add(METRIC_QUEUED, -1);
		share_cancel(m->shares, &wt.ticket);
		request_refuse(w, out, wt.reason, wait_us);
		model_pump(d, m);
	}
	pthread_cond_destroy(&wt.cond);
	w->queued = wt.admitted;
	return wt.admitted;
}

bool admission_estimate(struct dispatch *d, struct model_queue *m, struct generation_work *w,
			int instances, struct admission_estimate *out)
{
	struct route_request unlimited;
	struct route_method saved_method;

	out->rate = service_rate_floor(d, w->g->model) / (instances > 0 ? instances : 1);
	w->first_token_by_ms = w->g->call.arrived_ms + w->limits.first_token_ms;
	unlimited = work_route_request(w);
	unlimited.first_token_us = INT64_MAX;
	unlimited.gap_us = INT64_MAX;
	/* Choosing endpoints only for the cost estimate must not advance the round-robin. */
	saved_method = m->method;
	if (!placement_choose(d, m, w, &unlimited, &out->best))
		return false;
	if (saved_method.kind == m->method.kind)
		m->method = saved_method;
	work_estimate_cost(d, w, &out->best);
	return true;
}

static bool admission_wait_locked(struct dispatch *d, struct generation_work *w, int instances,
				  struct outcome *out)
{
	struct model_queue *m = model_get(d, w->g->model);
	struct admission_estimate e;
	enum refusal reason;

	if (!m || !admission_estimate(d, m, w, instances, &e))
		return request_refuse(w, out, REFUSAL_ENDPOINT, 0);
	fleet_demand_add(d->gate->fleet, w->g->model, w->prefill_us, w->decode_us);
	if (w->limits.admission)
		return admission_wait_queued(d, m, w, &e, out);
	if (!placement_try_acquire(d, m, w, true, false, &reason))
		return request_refuse(w, out, REFUSAL_ENDPOINT, 0);
	m->admitted++;
	w->org->admitted++;
	return true;
}

bool admission_wait(struct dispatch *d, struct generation_work *w, struct outcome *out)
{
	int instances = control_live_instance_count(d->gate->control);
	bool ok;

	if (w->is_suspect) {
		w->first_token_by_ms = w->g->call.deadline_ms;
		ok = placement_wait(d, w);
		if (!ok)
			outcome_set(out, 503, "not_run", "no_endpoint",
				    "no engine could be reserved for a suspect request");
	} else {
		pthread_mutex_lock(&d->lock);
		ok = admission_wait_locked(d, w, instances, out);
		pthread_mutex_unlock(&d->lock);
	}
	if (ok)
		event_record("admitted", w->g->call.id, w->place.run.name, w->g->call.organisation,
			     "wait_ms=%d", (int)(clock_boot_ms() - w->g->call.arrived_ms));
	else
		event_record("refused", w->g->call.id, NULL, w->g->call.organisation,
			     "status=%d code=%s reason=%s wait_ms=%d", out->status, out->code,
			     w->is_suspect ? "alone" : refusal_name(w->refusal),
			     (int)(clock_boot_ms() - w->g->call.arrived_ms));
	return ok;
}

void work_settle_charge(struct dispatch *d, struct generation_work *w)
{
	int64_t charged = w->prefill_us + w->decode_us;
	int64_t expected = w->output_tokens > 0 ? w->output_tokens : 1;
	int64_t actual = w->prefill_us + w->decode_us * w->g->tokens / expected;
	struct model_queue *m;

	pthread_mutex_lock(&d->lock);
	w->org->tokens += w->g->tokens;
	m = model_get(d, w->g->model);
	if (m && w->queued)
		share_correct_charge(m->shares, str_from(w->org->name), call_weight(&w->g->call),
				     charged, actual);
	pthread_mutex_unlock(&d->lock);
}
