#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/histogram.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"

/* Retry-After while this instance has no configuration yet, in milliseconds. */
#define RETRY_AFTER_STARTING_MS 500

/* A request with less time left than this is not sent any more, in milliseconds. */
#define SEND_MIN_MS 5

int64_t exchange_remaining_ms(const struct exchange *x)
{
	return x->deadline_ms - clock_boot_ms();
}

bool exchange_has_time(const struct exchange *x, int64_t now_ms)
{
	return x->deadline_ms - now_ms >= SEND_MIN_MS;
}

bool exchange_is_repeatable(const struct exchange *x)
{
	switch (x->rule->kind) {
	case CALL_IDEMPOTENT:
		return true;
	case CALL_GENERATION:
		return x->rule->resumable;
	case CALL_NON_IDEMPOTENT:
		break;
	}
	return false;
}

int exchange_priority(const struct exchange *x)
{
	int p = x->organisation && x->organisation->priority >= 0 ? x->organisation->priority
								  : x->rule->priority;

	return p < 0 ? 0 : p >= SERVICE_PRIORITIES ? SERVICE_PRIORITIES - 1 : p;
}

bool exchange_is_allowed(const struct exchange *x, const struct organisation **organisation)
{
	const struct routing_table *t = x->entry->table;

	*organisation = x->organisation;
	if (t == x->table)
		return true;
	*organisation =
		t->organisations ? organisations_by_key(t->organisations, x->in.api_key) : NULL;
	return *organisation || !t->organisations || x->rule->is_public;
}

void exchange_trail_add(struct exchange *x, const struct endpoint *ep, const char *what)
{
	size_t len = strlen(x->trail);

	snprintf(x->trail + len, sizeof(x->trail) - len, "%s%s:%s", len ? "," : "", ep->entry.id,
		 what);
}

static void log_outcome(const struct exchange *x, const char *outcome, int status,
			const char *cause)
{
	int64_t now = clock_boot_ms();

	log_info("request",
		 "request=%s rule=%.128s service=%.128s config=%" PRId64
		 " outcome=%s status=%d cause=%s runs=%d refused=%d sends=%d events=%d "
		 "first_ms=%" PRId64 " total_ms=%" PRId64 " left_ms=%" PRId64
		 " expected_ms=%.0f prompt=%" PRId64 " read=%" PRId64 " endpoints=%s",
		 x->in.id, x->rule ? x->rule->name.data : "-", x->spec ? x->spec->name.data : "-",
		 x->table ? x->table->version : 0, outcome, status, cause, x->runs, x->refused,
		 x->sends, x->events_sent, x->first_byte_ms ? x->first_byte_ms - x->begun_ms : -1,
		 now - x->begun_ms, x->deadline_ms - now, x->choice.expected_first_token_ms,
		 x->in.prompt_tokens, x->choice.read_tokens, x->trail[0] ? x->trail : "-");
}

static void exchange_destroy(struct exchange *x)
{
	attempt_end(x);
	attempt_return_reserved(x);
	crash_probe_wait_cancel(&x->evidence.wait);
	generation_release_cache(x);
	if (x->decode)
		endpoint_put(x->decode);
	if (x->timer)
		event_free(x->timer);
	event_stream_free(&x->events);
	buf_free(&x->fallback);
	cds_list_del(&x->link);
	x->entry->exchange_count--;
	metric_add(METRIC_STREAMS, -1);
	routing_table_put(x->table);
	free(x);
}

/* Ends the exchange and frees it; the caller must not use @x afterwards. */
static void exchange_close(struct exchange *x, bool keep)
{
	struct caller *c = x->caller;
	bool closes = x->closes;

	exchange_destroy(x);
	caller_request_done(c, keep && !closes);
}

bool exchange_decide_close(struct exchange *x)
{
	x->closes = x->entry->stopping;
	return x->closes;
}

bool exchange_is_head(const struct exchange *x)
{
	return x->head->method == HTTP_HEAD;
}

/* Length of the attempt's response for wire_response_encode(). */
static int64_t response_length(const struct exchange *x)
{
	return exchange_is_head(x) || !http_status_has_body(x->attempt.response.status)
		       ? WIRE_LENGTH_NO_BODY
		       : (int64_t)x->attempt.body.len;
}

static void answer_locally(struct exchange *x, int status, const char *cause,
			   int64_t retry_after_ms)
{
	struct buf out = { 0 };

	wire_local_response_encode(&out, &(struct local_response){
						 .status = status,
						 .request_id = x->in.id,
						 .reason = cause,
						 .retry_after_ms = retry_after_ms,
						 .close = exchange_decide_close(x),
						 .no_body = exchange_is_head(x),
					 });
	caller_write(x->caller, buf_str(&out));
	buf_free(&out);
	exchange_close(x, true);
}

/* Answers 401: the request has not run and will not with its key. */
static void exchange_reject(struct exchange *x, const char *cause, enum metric reason)
{
	metric_add(reason, 1);
	histogram_add(HISTOGRAM_REFUSAL, clock_boot_ms() - x->begun_ms);
	log_outcome(x, "refused", 401, cause);
	answer_locally(x, 401, cause, -1);
}

void exchange_refuse(struct exchange *x, const char *cause, int64_t retry_after_ms)
{
	const struct organisation *organisation;

	if (x->rule && !exchange_is_allowed(x, &organisation)) {
		exchange_reject(x, "key-withdrawn", METRIC_KEYS_WITHDRAWN);
		return;
	}
	metric_add(METRIC_REFUSED_NOT_RUN, 1);
	histogram_add(HISTOGRAM_REFUSAL, clock_boot_ms() - x->begun_ms);
	log_outcome(x, "refused", 503, cause);
	answer_locally(x, 503, cause, retry_after_ms);
}

void exchange_save_fallback(struct exchange *x)
{
	x->fallback.len = 0;
	wire_response_encode(&x->fallback, x->attempt.head, response_length(x),
			     exchange_decide_close(x));
	buf_append_str(&x->fallback, buf_str(&x->attempt.body));
}

void exchange_fail(struct exchange *x, int status, const char *cause)
{
	if (x->fallback.len && !x->response_started) {
		log_outcome(x, "failed", status, cause);
		caller_write(x->caller, buf_str(&x->fallback));
		exchange_close(x, true);
		return;
	}
	metric_add(METRIC_OUTCOME_UNKNOWN, 1);
	log_outcome(x, x->response_started ? "cut" : "failed", status, cause);
	if (x->response_started) {
		exchange_close(x, false);
		return;
	}
	answer_locally(x, status, cause, -1);
}

void exchange_give_up(struct exchange *x, const char *cause, int64_t retry_after_ms)
{
	if (x->runs || x->response_started)
		exchange_fail(x, 502, cause);
	else
		exchange_refuse(x, cause, retry_after_ms);
}

void exchange_relay_response(struct exchange *x)
{
	struct buf out = { 0 };
	bool close = exchange_decide_close(x);

	wire_response_encode(&out, x->attempt.head, response_length(x), close);
	caller_write(x->caller, buf_str(&out));
	caller_write(x->caller, buf_str(&x->attempt.body));
	buf_free(&out);
	metric_add(METRIC_REQUESTS_OK, 1);
	x->first_byte_ms = clock_boot_ms();
	histogram_add(HISTOGRAM_CALL, x->first_byte_ms - x->begun_ms);
	log_outcome(x, "served", x->attempt.response.status, "-");
	exchange_close(x, true);
}

void exchange_stream_done(struct exchange *x)
{
	metric_add(METRIC_REQUESTS_OK, 1);
	log_outcome(x, "served", 200, "-");
	exchange_close(x, true);
}

/*
 * Records the duration of an unfinished generation: one that ran out of time shows how long
 * generations take as well as a complete one does.
 */
static void finish_record_unfinished(struct exchange *x)
{
	int64_t now = clock_boot_ms();

	if (!x->service || x->rule->kind != CALL_GENERATION || x->was_held_back)
		return;
	if (x->response_started)
		finish_add_aborted(generation_finish_estimate(x), (double)(now - x->first_byte_ms));
	else if (x->sends && !x->runs && !x->refused)
		finish_add_missing_first_token(generation_finish_estimate(x),
					       x->choice.expected_first_token_ms,
					       (double)(now - x->begun_ms));
}

void exchange_count_begun(struct exchange *x, int64_t at_ms)
{
	if (!x->begun_counted)
		entry_count_usage(x->entry, x->organisation, at_ms);
	x->begun_counted = true;
}

void exchange_cancel(struct exchange *x)
{
	finish_record_unfinished(x);
	log_outcome(x, "cancelled", 0, "caller-left");
	exchange_destroy(x);
}

/* Answers a request that can't be waited for any longer. */
static void exchange_expire(struct exchange *x, const char *cause)
{
	finish_record_unfinished(x);
	/* The endpoint may have run the attempt in progress, whatever the earlier ones did. */
	if (x->attempt.call && x->attempt.work == WIRE_WORK_RUN)
		x->runs++;
	if (x->runs || x->response_started)
		exchange_fail(x, 504, cause);
	else
		exchange_refuse(x, cause, 0);
}

static void on_deadline(evutil_socket_t fd, short what, void *ctx)
{
	exchange_expire(ctx, "deadline");
}

void exchanges_expire(struct entry *e, const char *cause)
{
	struct exchange *x, *next;

	cds_list_for_each_entry_safe(x, next, &e->exchange_list, link)
		exchange_expire(x, cause);
}

int64_t exchange_limit_ms(const struct exchange *x)
{
	int64_t limit = x->rule->timeout_ms;

	return x->in.wait_ms > 0 && x->in.wait_ms < limit ? x->in.wait_ms : limit;
}

static void exchange_set_deadline(struct exchange *x)
{
	int64_t left;
	struct timeval tv;

	x->deadline_ms = x->begun_ms + exchange_limit_ms(x);
	left = exchange_remaining_ms(x);
	if (left < 0)
		left = 0;
	tv = (struct timeval){ .tv_sec = left / 1000, .tv_usec = (left % 1000) * 1000 };
	x->timer = evtimer_new(x->entry->base, on_deadline, x);
	event_add(x->timer, &tv);
}

bool exchange_has_tried(const struct exchange *x, const struct endpoint *ep)
{
	for (int i = 0; i < x->attempted_count; i++) {
		if (x->attempted[i] == ep->hash)
			return true;
	}
	return false;
}

/*
 * Score penalties, in requests in progress, for an endpoint in another data centre and for one with
 * a failure score of 1.
 */
#define CALL_REMOTE_PENALTY 0.7
#define CALL_FAILURE_PENALTY 6.0

double exchange_call_score(const struct exchange *x, const struct endpoint *ep, int64_t now_ms)
{
	return (ep->active + 1) * endpoint_slowness(ep, SPEED_CALL, now_ms) +
	       (ep->dc ? CALL_REMOTE_PENALTY : 0) +
	       CALL_FAILURE_PENALTY * endpoint_failure_score(x->entry, ep, now_ms);
}

struct endpoint *exchange_pick_endpoint(const struct exchange *x, int64_t now_ms)
{
	struct endpoint *best = NULL;
	struct endpoint *ep;
	double least = 0;

	cds_list_for_each_entry(ep, &x->service->endpoints, service_link) {
		double score;

		if (!endpoint_is_available(ep, now_ms) || exchange_has_tried(x, ep))
			continue;
		score = exchange_call_score(x, ep, now_ms) +
			(double)(hash_mix(ep->hash, (uint64_t)x->begun_ms) & 1023) *
				(CALL_TIE_MAX / 1024);
		if (best && score >= least)
			continue;
		best = ep;
		least = score;
	}
	return best;
}

/*
 * Whether an endpoint that was not tried can serve the request, with @later perhaps only after its
 * circuit or its time of avoidance.
 */
static bool has_other_endpoint(const struct exchange *x, bool later, int64_t now_ms)
{
	const struct endpoint *ep;

	if (!exchange_has_time(x, now_ms) || suspect_is_refused(x))
		return false;
	cds_list_for_each_entry(ep, &x->service->endpoints, service_link) {
		bool usable = later ? !ep->is_leaving : endpoint_is_available(ep, now_ms);

		/* Engines that only prefill can't serve a request alone. */
		if (usable && ep->entry.stage != STAGE_PREFILL && !exchange_has_tried(x, ep))
			return true;
	}
	return false;
}

bool exchange_can_place(const struct exchange *x, int64_t now_ms)
{
	return has_other_endpoint(x, false, now_ms);
}

void exchange_postpone(struct exchange *x, const char *cause, int64_t retry_after_ms)
{
	bool may_have_run = x->runs || x->response_started;
	const struct organisation *organisation;

	/* The send that failed may have been stopped by a key that is withdrawn. */
	if (!exchange_is_allowed(x, &organisation)) {
		exchange_give_up(x, "key-withdrawn", -1);
		return;
	}
	/* An endpoint's error that is at hand is delivered at once. */
	if (!may_have_run || x->fallback.len || !has_other_endpoint(x, true, clock_boot_ms())) {
		exchange_give_up(x, cause, retry_after_ms);
		return;
	}
	if (!x->awaits_endpoint)
		log_info("request-waits", "request=%s cause=%s runs=%d left_ms=%" PRId64, x->in.id,
			 cause, x->runs, exchange_remaining_ms(x));
	x->awaits_endpoint = true;
}

void exchange_place(struct exchange *x)
{
	const struct organisation *organisation;
	int64_t now = clock_boot_ms();
	struct endpoint *ep;

	if (!exchange_is_allowed(x, &organisation)) {
		exchange_give_up(x, "key-withdrawn", -1);
		return;
	}

	if (!exchange_has_time(x, now)) {
		exchange_give_up(x, "deadline", 0);
		return;
	}
	if (x->sends && suspect_is_refused(x)) {
		exchange_give_up(x, "crashes-endpoints", -1);
		return;
	}
	if (x->rule->kind == CALL_GENERATION && x->spec->engine.present) {
		if (!generation_place(x, now))
			exchange_postpone(x, "no-endpoint",
					  service_retry_after_ms(x->service, now));
		return;
	}
	ep = exchange_pick_endpoint(x, now);
	if (!ep) {
		exchange_postpone(x, "no-endpoint", service_retry_after_ms(x->service, now));
		return;
	}
	if (!attempt_start(x, ep, WIRE_WORK_RUN, NULL))
		exchange_postpone(x, "retry-budget", service_retry_after_ms(x->service, now));
}

int exchange_match(struct exchange *x, bool has_id, struct str host, struct str target,
		   const char **cause)
{
	int service;

	if (!x->table) {
		*cause = "no-configuration";
		return 503;
	}
	if (!has_id) {
		*cause = "request-id-missing";
		return 400;
	}
	x->rule = routing_table_match(x->table, host, target);
	if (!x->rule) {
		*cause = "no-rule";
		return 404;
	}
	if (x->table->organisations && !x->organisation)
		x->organisation = organisations_by_key(x->table->organisations, x->in.api_key);
	if (x->table->organisations && !x->organisation && !x->rule->is_public) {
		*cause = x->in.api_key.len ? "key-unknown" : "key-missing";
		return 401;
	}
	service = routing_rule_target(x->rule, hash_str(str_from(x->in.id), 0));
	if (service < 0) {
		*cause = "no-service";
		return 503;
	}
	x->spec = &x->table->services[service];
	return 0;
}

void exchange_begin(struct entry *e, struct caller *c, const struct http_head *head,
		    struct str body, int64_t begun_ms, struct exchange **out)
{
	struct exchange *x = mem_zalloc(sizeof(*x));
	const char *cause = "-";
	bool has_id = wire_request_decode(head, &x->in);
	struct str host = { 0 };
	int status;

	*out = x;
	http_head_find(head, "host", &host);
	x->entry = e;
	x->caller = c;
	x->head = head;
	x->body = body;
	x->begun_ms = begun_ms;
	x->deadline_ms = begun_ms;
	x->order.forwarded = x->in.resume_from;
	x->table = routing_table_get(e->table);
	cds_list_add_tail(&x->link, &e->exchange_list);
	e->exchange_count++;
	metric_add(METRIC_STREAMS, 1);
	status = exchange_match(x, has_id, host, buf_str(&head->target), &cause);
	if (status == 401) {
		exchange_reject(x, cause,
				x->in.api_key.len ? METRIC_KEYS_UNKNOWN : METRIC_KEYS_MISSING);
		return;
	}
	if (status) {
		metric_add(status == 503 ? METRIC_REFUSED_NOT_RUN : METRIC_BAD_REQUESTS, 1);
		log_outcome(x, "refused", status, cause);
		answer_locally(x, status, cause, status == 503 ? RETRY_AFTER_STARTING_MS : -1);
		return;
	}
	x->service = service_find(e, buf_str(&x->spec->name));
	exchange_set_deadline(x);
	suspect_set_fingerprint(x);
	if (suspect_is_refused(x))
		exchange_refuse(x, "crashes-endpoints", -1);
	else if (!planned_stop_admits(&e->stop, x->deadline_ms, clock_boot_ms()))
		exchange_refuse(x, "stopping", 0);
	else
		exchange_place(x);
}

void exchanges_extend_silence(struct entry *e, int64_t pause_ms)
{
	struct exchange *x;

	cds_list_for_each_entry(x, &e->exchange_list, link)
		attempt_extend_silence(x, pause_ms);
	log_info("paused", "instance=%s pause_ms=%" PRId64, e->settings.instance.id, pause_ms);
}

void exchanges_check_timeouts(struct entry *e, int64_t now_ms)
{
	struct exchange *x, *next;

	cds_list_for_each_entry_safe(x, next, &e->exchange_list, link) {
		/* Timers stop while the machine is suspended, but the deadline doesn't. */
		if (now_ms >= x->deadline_ms)
			exchange_expire(x, "deadline");
		else if (x->evidence.wait.is_waiting)
			attempt_check_evidence_wait(x, now_ms);
		else if (x->awaits_endpoint)
			exchange_place(x);
		else
			attempt_check_silence(x, now_ms);
	}
}
