#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "dispatch_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/metrics.h"

/* Calls that need a claim are refused at once when the platform has been down for this long. */
#define PLATFORM_DOWN_MS 2000

/**
 * enum call_result - result of a call after all attempts
 * @CALL_ANSWERED: the service responded
 * @CALL_NOT_RUN: provably no attempt has run
 * @CALL_OUTCOME_UNKNOWN: an attempt may have taken effect
 */
enum call_result {
	CALL_ANSWERED,
	CALL_NOT_RUN,
	CALL_OUTCOME_UNKNOWN,
};

/* Runs attempts until there is a response or no further attempt is allowed. */
static enum call_result service_attempts_run(struct dispatch *d, struct service_call_work *w)
{
	struct call *call = &w->s->call;
	bool may_have_run = false;

	while (clock_boot_ms() < call->deadline_ms) {
		struct fleet_slot slot = { 0 };
		enum sent_state sent = SENT_NO;
		int64_t delay_ms = 0;
		bool answered;

		if (!service_slot_acquire(d, w, &slot)) {
			if (!w->avoid_count)
				break;
			w->avoid_count = 0;
			continue;
		}
		if (call->attempts == 0)
			fleet_first_attempt_record(d->gate->fleet, slot.name, &w->limits.retry);
		answered = service_attempt_run(d, w, &slot, &sent);
		fleet_slot_release(d->gate->fleet, &slot);
		if (answered)
			return CALL_ANSWERED;
		may_have_run |= sent == SENT_MAYBE;
		if (call_retry_decide(d, call, w->org, &w->limits, slot.name, w->kind, sent,
				      &delay_ms) != RETRY_ALLOWED)
			break;
		clock_sleep_ms(delay_ms);
	}
	return may_have_run && !mechanism_is_disabled(MECHANISM_NOT_RUN) ? CALL_OUTCOME_UNKNOWN
									 : CALL_NOT_RUN;
}

static void outcome_set_result(enum call_result r, struct outcome *out)
{
	switch (r) {
	case CALL_ANSWERED:
		*out = (struct outcome){ .status = 200 };
		return;
	case CALL_NOT_RUN:
		outcome_set(out, 503, "not_run", "no_endpoint",
			    "no endpoint was available for the call");
		out->retry_after_s = 1;
		return;
	case CALL_OUTCOME_UNKNOWN:
		outcome_set(out, 504, "outcome_unknown", "no_answer",
			    "the call may have taken effect, but no response arrived");
		return;
	}
}

static void outcome_set_claim_unknown(struct outcome *out)
{
	outcome_set(out, 504, "outcome_unknown", "claim",
		    "an earlier call with this idempotency key may have taken effect");
}

static void outcome_set_not_claimed(struct outcome *out)
{
	outcome_set(out, 503, "not_run", "claim", "the idempotency key could not be claimed");
	out->retry_after_s = 1;
}

static void claimed_call_run(struct dispatch *d, struct service_call_work *w,
			     struct claim_ticket *t, struct outcome *out)
{
	struct control *c = d->gate->control;
	enum call_result r;

	if (!claim_mark_dispatched(c, t)) {
		claim_release(c, t);
		outcome_set_not_claimed(out);
		return;
	}
	r = service_attempts_run(d, w);
	outcome_set_result(r, out);
	switch (r) {
	case CALL_ANSWERED:
		claim_finish(c, t, w->s->response_status, buf_str(&w->s->response));
		break;
	case CALL_NOT_RUN:
		claim_release(c, t);
		break;
	case CALL_OUTCOME_UNKNOWN:
		claim_finish_unknown(c, t);
		break;
	}
}

static bool platform_is_down(const struct dispatch *d)
{
	int64_t since_ms;

	if (!d->gate->platform)
		return false;
	since_ms = platform_down_since_ms(d->gate->platform);
	return since_ms && clock_boot_ms() - since_ms >= PLATFORM_DOWN_MS;
}

static void claimed_call_handle(struct dispatch *d, struct service_call_work *w,
				struct outcome *out)
{
	struct service_call *s = w->s;
	struct claim_ticket t = { 0 };

	if (platform_is_down(d)) {
		outcome_set_not_claimed(out);
		return;
	}
	claim_begin(d->gate->control, s->call.organisation, s->service, s->key, s->body,
		    s->call.deadline_ms, &t);
	switch (t.verdict) {
	case CLAIM_DISPATCH:
		claimed_call_run(d, w, &t, out);
		break;
	case CLAIM_REPLAY:
		s->response_status = t.status;
		buf_append_str(&s->response, buf_str(&t.result));
		s->is_replayed = true;
		metric_add(METRIC_CLAIM_REPLAYS, 1);
		*out = (struct outcome){ .status = 200 };
		break;
	case CLAIM_BODY_MISMATCH:
		outcome_set(out, 422, "not_run", "key_reused",
			    "the idempotency key was used with another request body");
		break;
	case CLAIM_REPORT_UNKNOWN:
	case CLAIM_WAIT:
	case CLAIM_RETRY:
		outcome_set_claim_unknown(out);
		break;
	case CLAIM_REPORT_NOT_RUN:
		outcome_set_not_claimed(out);
		break;
	}
	claim_ticket_clear(&t);
}

bool service_call_lookup(struct dispatch *d, struct service_call_work *w)
{
	struct config_service cs;
	const struct config *c;
	bool ok;

	rcu_read_lock();
	c = rcu_dereference(d->gate->config);
	ok = c && config_service(c, w->s->service, &cs) && cs.kind == SERVICE_PLAIN;
	if (ok)
		w->kind = cs.idempotent ? CALL_IDEMPOTENT : CALL_NON_IDEMPOTENT;
	rcu_read_unlock();
	return ok;
}

void service_call_describe(struct dispatch *d, struct service_call_work *w)
{
	struct call *call = &w->s->call;
	int64_t timeout_ms;

	call_limits_load(d, call->organisation, w->s->service, &w->limits);
	timeout_ms = w->limits.total_ms;
	if (call->requested_timeout_ms > 0 && call->requested_timeout_ms < timeout_ms)
		timeout_ms = call->requested_timeout_ms;
	call->deadline_ms = call->arrived_ms + timeout_ms;
}

void dispatch_service(struct dispatch *d, struct service_call *s, struct outcome *out)
{
	struct service_call_work w = { .s = s };
	struct call *call = &s->call;

	if (!service_call_lookup(d, &w)) {
		outcome_set(out, 404, "invalid_request", "unknown_service", "unknown service %s",
			    s->service);
		return;
	}
	service_call_describe(d, &w);
	pthread_mutex_lock(&d->lock);
	w.org = organisation_get(d, call->organisation);
	retry_budget_add_first_attempt(&w.org->budget, &w.limits.retry, clock_boot_ms());
	pthread_mutex_unlock(&d->lock);
	s->is_single_attempt = w.kind == CALL_NON_IDEMPOTENT && !s->key.len;
	if (w.kind == CALL_NON_IDEMPOTENT && s->key.len && !mechanism_is_disabled(MECHANISM_CLAIM))
		claimed_call_handle(d, &w, out);
	else
		outcome_set_result(service_attempts_run(d, &w), out);
}
