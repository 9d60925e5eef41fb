#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "dispatch_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/metrics.h"

#define BYTES_PER_TOKEN 4
/* Default of the engines for a request without a limit. */
#define DEFAULT_MAX_TOKENS 16
/* Time for which a retry that the retry budget denies is requested again. */
#define RETRY_BUDGET_WAIT_MS 5000
#define RETRY_BUDGET_POLL_MS 100
#define EVIDENCE_POLL_MS 50
#define CRASH_UNCONFIRMED_RETRY_S 5

/*
 * All instances must derive the same hashes, so these keys are fixed and only separate the two
 * uses. Callers can't choose a salt, because theirs is replaced before the request is sent.
 */
#define SALT_KEY STR_LIT("ibisgate cache salt")
#define FINGERPRINT_KEY STR_LIT("ibisgate request fingerprint")

static uint64_t hash_keyed_u64(struct str key, struct str s)
{
	char hex[HASH_HEX_SIZE];

	hash_keyed_hex(key, s, hex);
	hex[16] = '\0';
	return strtoull(hex, NULL, 16);
}

static uint64_t generation_fingerprint(const struct generation *g)
{
	char *body = json_dumps(g->body, JSON_COMPACT | JSON_SORT_KEYS);
	struct buf text = { 0 };
	uint64_t fingerprint;

	buf_printf(&text, "%s\n%s\n%s", g->call.organisation, g->model, body ? body : "");
	fingerprint = hash_keyed_u64(FINGERPRINT_KEY, buf_str(&text));
	buf_free(&text);
	free(body);
	return fingerprint;
}

bool model_service_find(struct dispatch *d, struct generation *g, char *name, size_t size)
{
	struct config_service cs;
	const struct config *c;
	bool found;

	str_copy(name, size, str_from(g->model));
	rcu_read_lock();
	c = rcu_dereference(d->gate->config);
	found = c && config_service_by_model(c, g->model, &cs);
	if (found) {
		str_copy(name, size, str_from(cs.name));
		if (!g->call.has_class)
			g->call.class = cs.class;
	}
	rcu_read_unlock();
	return found || fleet_has_model(d->gate->fleet, g->model);
}

void work_describe(struct dispatch *d, struct generation_work *w, struct generation *g,
		   const char *service)
{
	struct call *call = &g->call;
	int64_t timeout_ms;

	*w = (struct generation_work){ .g = g };
	call_limits_load(d, call->organisation, service, &w->limits);
	timeout_ms = w->limits.total_ms;
	if (call->requested_timeout_ms > 0 && call->requested_timeout_ms < timeout_ms)
		timeout_ms = call->requested_timeout_ms;
	call->deadline_ms = call->arrived_ms + timeout_ms;
	w->salt = mechanism_is_disabled(MECHANISM_CACHE_SALT)
			  ? 0
			  : hash_keyed_u64(SALT_KEY, str_from(call->organisation));
	w->prefix = prefix_hash_prompt(g->prompt, w->salt, PREFIX_PIECE_TOKENS * BYTES_PER_TOKEN);
	w->prompt_tokens = (int64_t)(g->prompt.len + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
	w->output_tokens = g->max_tokens ? g->max_tokens : w->limits.output_tokens;
}

static void work_init(struct dispatch *d, struct generation_work *w, struct generation *g,
		      const char *service)
{
	work_describe(d, w, g, service);
	w->fingerprint = generation_fingerprint(g);
	pthread_mutex_lock(&d->lock);
	w->org = organisation_get(d, g->call.organisation);
	retry_budget_add_first_attempt(&w->org->budget, &w->limits.retry, clock_boot_ms());
	pthread_mutex_unlock(&d->lock);
}

static void avoid_add(struct generation_work *w, int id)
{
	if (id >= 0 && w->avoid_count < AVOID_MAX)
		w->avoid[w->avoid_count++] = id;
}

/* @ran: an attempt of this request may have run on an engine */
static bool outcome_set_quarantined(struct outcome *out, bool ran)
{
	outcome_set(out, 422, ran ? "outcome_unknown" : "not_run", "quarantined",
		    "identical requests have crashed engines and are refused for some minutes");
	return true;
}

static enum quarantine_verdict crash_report(struct dispatch *d, struct generation_work *w,
					    const struct attempt *a)
{
	struct control *c = d->gate->control;

	if (a->has_crashed)
		return control_quarantine_add_crash(c, w->fingerprint, a->was_exclusive);
	return control_quarantine_add_suspicion(c, w->fingerprint, a->endpoint, a->boot_id,
						a->was_exclusive);
}

/* Waits until load reports or the platform's list show whether the engines have crashed. */
static enum quarantine_verdict crash_evidence_wait(struct dispatch *d, struct generation_work *w)
{
	enum quarantine_verdict v = QUARANTINE_HOLD;

	while (v == QUARANTINE_HOLD && clock_boot_ms() < w->g->call.deadline_ms) {
		clock_sleep_ms(EVIDENCE_POLL_MS);
		v = control_quarantine_check(d->gate->control, w->fingerprint);
	}
	return v;
}

/* Charges a confirmed or possible crash to the request. Returns true if it must not run again. */
static bool crash_charge(struct dispatch *d, struct generation_work *w, const struct attempt *a,
			 struct outcome *out)
{
	enum quarantine_verdict v;

	if (!a->has_crashed && !a->may_have_crashed)
		return false;
	v = crash_report(d, w, a);
	if (v == QUARANTINE_HOLD)
		v = crash_evidence_wait(d, w);
	w->is_suspect = v != QUARANTINE_CLEAR;
	switch (v) {
	case QUARANTINE_REFUSE:
		return outcome_set_quarantined(out, true);
	case QUARANTINE_HOLD:
		outcome_set(out, 504, "outcome_unknown", "crash_unconfirmed",
			    "two engines became unreachable while they ran the request");
		return true;
	case QUARANTINE_SUSPECT:
	case QUARANTINE_CLEAR:
		break;
	}
	return false;
}

/* Waits for the backoff delay before the next attempt. Returns false when no retry is allowed. */
static bool retry_wait(struct dispatch *d, struct generation_work *w, const struct attempt *a)
{
	int64_t give_up_ms = clock_boot_ms() + RETRY_BUDGET_WAIT_MS;
	int64_t delay_ms = 0;
	enum retry_verdict v;

	for (;;) {
		v = call_retry_decide(d, &w->g->call, w->org, &w->limits, a->endpoint,
				      CALL_GENERATION, a->sent, &delay_ms);
		if (v != RETRY_BUDGET_EXHAUSTED || clock_boot_ms() >= give_up_ms)
			break;
		clock_sleep_ms(RETRY_BUDGET_POLL_MS);
	}
	if (v != RETRY_ALLOWED)
		return false;
	clock_sleep_ms(delay_ms);
	return true;
}

static void outcome_set_failed(const struct generation_work *w, const struct attempt *a,
			       bool may_have_run, struct outcome *out)
{
	if (a->result == ATTEMPT_DEADLINE)
		outcome_set(out, 504, "outcome_unknown", "deadline",
			    "the response was not complete by the deadline");
	else if (!may_have_run)
		outcome_set(out, 503, "not_run", "no_endpoint", "no endpoint ran the request");
	else
		outcome_set(out, 504, "outcome_unknown", a->reason,
			    "the generation failed after %d attempts", w->g->call.attempts);
}

static void attempt_failure_event(const struct generation_work *w, const struct attempt *a)
{
	event_record("attempt-failed", w->g->call.id, a->endpoint, w->g->call.organisation,
		     "n=%d reason=%s sent=%s crash=%d tokens=%" PRId64, w->g->call.attempts,
		     a->reason, a->sent == SENT_NO ? "no" : "maybe", a->has_crashed, w->g->tokens);
}

/*
 * While a suspect request waited for an exclusive engine, an equal request may have crashed another
 * engine or made a second one unreachable. Returns true when the request must not be sent any more.
 */
static bool suspect_refused_meanwhile(struct dispatch *d, struct generation_work *w,
				      struct outcome *out)
{
	bool ran = w->g->call.attempts > 0;
	enum quarantine_verdict v = QUARANTINE_CLEAR;

	if (w->is_suspect)
		v = control_quarantine_check(d->gate->control, w->fingerprint);
	if (v != QUARANTINE_REFUSE && v != QUARANTINE_HOLD)
		return false;
	placement_release(d, w);
	if (v == QUARANTINE_REFUSE)
		return outcome_set_quarantined(out, ran);
	outcome_set(out, ran ? 504 : 503, ran ? "outcome_unknown" : "not_run", "crash_unconfirmed",
		    "two engines became unreachable while they ran the request");
	return true;
}

/* Runs attempts until the generation is complete or can't be retried. */
static void attempts_run(struct dispatch *d, struct generation_work *w, struct outcome *out)
{
	struct generation *g = w->g;
	bool may_have_run = false;
	struct attempt a;

	for (;;) {
		if (suspect_refused_meanwhile(d, w, out))
			return;
		attempt_run(d, w, &a);
		switch (a.result) {
		case ATTEMPT_DONE:
			*out = (struct outcome){ .status = 200 };
			if (w->is_suspect)
				control_quarantine_clear(d->gate->control, w->fingerprint);
			return;
		case ATTEMPT_CALLER_GONE:
			*out = (struct outcome){ .status = 0, .code = "caller_gone" };
			return;
		case ATTEMPT_REJECTED:
			outcome_set(out, a.status, "invalid_request", "rejected",
				    "the engine rejected the request");
			return;
		case ATTEMPT_DEADLINE:
			outcome_set_failed(w, &a, true, out);
			return;
		case ATTEMPT_FAILED:
			break;
		}
		attempt_failure_event(w, &a);
		may_have_run |= a.sent == SENT_MAYBE;
		if (crash_charge(d, w, &a, out))
			return;
		avoid_add(w, a.endpoint_id);
		if (!retry_wait(d, w, &a) || !placement_wait(d, w)) {
			outcome_set_failed(w, &a, may_have_run, out);
			return;
		}
		fleet_first_attempt_record(d->gate->fleet, w->place.run.name, &w->limits.retry);
		if (g->tokens) {
			g->resume_count++;
			metric_add(METRIC_RESUMED, 1);
			event_record("resumed", g->call.id, w->place.run.name, g->call.organisation,
				     "from=%" PRId64, g->tokens);
		}
	}
}

void dispatch_generate(struct dispatch *d, struct generation *g, struct outcome *out)
{
	char service[64];
	struct generation_work w;

	if (!model_service_find(d, g, service, sizeof(service))) {
		outcome_set(out, 404, "invalid_request", "model_not_found", "unknown model %s",
			    g->model);
		return;
	}
	if (!g->max_tokens)
		json_object_set_new(g->body, "max_tokens", json_integer(DEFAULT_MAX_TOKENS));
	work_init(d, &w, g, service);
	switch (control_quarantine_check(d->gate->control, w.fingerprint)) {
	case QUARANTINE_REFUSE:
		outcome_set_quarantined(out, false);
		return;
	case QUARANTINE_SUSPECT:
		w.is_suspect = true;
		break;
	case QUARANTINE_HOLD:
		outcome_set(out, 503, "not_run", "crash_unconfirmed",
			    "two engines became unreachable while they ran an identical request");
		out->retry_after_s = CRASH_UNCONFIRMED_RETRY_S;
		return;
	case QUARANTINE_CLEAR:
		break;
	}
	if (!admission_wait(d, &w, out))
		return;
	fleet_first_attempt_record(d->gate->fleet, w.place.run.name, &w.limits.retry);
	attempts_run(d, &w, out);
	work_settle_charge(d, &w);
}
