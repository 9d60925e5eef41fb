#include <stdlib.h>
#include <string.h>

#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"

/* Connect timeout for endpoints, in milliseconds; connecting takes 1 ms plus network latency. */
#define CONNECT_MS 300

/* How long an endpoint that reports being full is avoided, in milliseconds. */
#define FULL_BACKOFF_MS 150

/*
 * An address that now belongs to another endpoint is avoided until the endpoint list is updated, at
 * most for this long, in milliseconds.
 */
#define MOVED_BACKOFF_MS 2000

/*
 * Silence after which an idempotent call is retried on another endpoint, as a multiple of its
 * latency target.
 */
#define CALL_SILENCE_TARGET_FACTOR 2

/*
 * Silence after which a repeatable generation is retried elsewhere: a multiple of the latency
 * target, or the target plus a multiple of the expected time to first token, whichever is longer.
 * The ENGINE pair applies when the engine sends nothing for any request. The REQUEST pair applies
 * when it answers others: the request may then only be queued, and a retry would discard the part
 * of the prompt that has already been read.
 */
#define ENGINE_SILENCE_TARGET_FACTOR 2
#define ENGINE_SILENCE_EXPECTED_FACTOR 2
#define REQUEST_SILENCE_TARGET_FACTOR 4
#define REQUEST_SILENCE_EXPECTED_FACTOR 4

/*
 * The same limit between two tokens, as a multiple of the time-between-tokens target; and what
 * another engine needs to continue before the caller gives up, as a multiple of the expected time
 * to first token and in milliseconds, for the check's own period and the network.
 */
#define TOKEN_SILENCE_GAP_FACTOR 3
#define RESUME_EXPECTED_FACTOR 2
#define RESUME_MARGIN_MS 200

/* Maximum size of a response that is buffered until it is complete, in bytes. */
#define RESPONSE_MAX_BYTES (4 << 20)

/*
 * Maximum size of all responses that this instance buffers, in bytes; many endpoints may send
 * without end at the same time. A small machine has less, see memory_ledger_answers_max().
 */
#define RESPONSES_MAX_BYTES (32 << 20)

/* The same as RESPONSE_MAX_BYTES for the answer to a prefill, which names a KV cache. */
#define PREFILL_RESPONSE_MAX_BYTES (16 << 10)

/*
 * Longest time that a retry waits to learn whether the endpoint before has crashed, in
 * milliseconds. Where a round trip takes longer, it goes on without knowing.
 */
#define CRASH_EVIDENCE_WAIT_MS 100

static int64_t max_i64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* The engine may have taken the KV cache whose handle it was sent. */
static void attempt_drop_taken_cache(struct exchange *x)
{
	if (x->attempt.has_handle)
		generation_forget_cache(x);
	x->attempt.has_handle = false;
}

static bool is_streaming(const struct exchange *x)
{
	const struct attempt *a = &x->attempt;

	return x->rule->kind == CALL_GENERATION && a->work == WIRE_WORK_RUN &&
	       !exchange_is_head(x) && a->response.status == 200 && a->response.has_request_id &&
	       a->response.has_signature && !a->response.has_content_encoding;
}

static void on_head(void *ctx, const struct http_head *head)
{
	struct exchange *x = ctx;
	struct attempt *a = &x->attempt;

	a->responded = true;
	a->last_receive_ms = clock_boot_ms();
	a->progress_ms = a->last_receive_ms;
	a->endpoint->last_receive_ms = a->last_receive_ms;
	dc_health_record(entry_dc_health(x->entry, a->endpoint->dc), true, a->last_receive_ms);
	a->head = head;
	wire_response_decode(head, &a->response);
	if (a->work == WIRE_WORK_RUN && !a->response.not_run)
		attempt_return_reserved(x);
	if (!(a->response.not_run && a->response.has_request_id))
		attempt_drop_taken_cache(x);
	/* A stream is forwarded as it arrives. */
	if (is_streaming(x))
		http_exchange_set_body_max(a->call, 0);
	endpoint_apply_response(x->entry, a->endpoint, &a->response);
	if (x->rule->kind != CALL_GENERATION && !a->response.not_run)
		exchange_count_begun(x, a->sent_ms);
}

/* Whether the rule allows another attempt after @runs attempts that may have run. */
static bool may_try_again(const struct exchange *x, int runs)
{
	if (runs && !exchange_is_repeatable(x))
		return false;
	return (!runs || runs < x->rule->max_attempts) && x->attempted_count < ATTEMPTS_MAX;
}

static void on_crash_evidence(void *ctx)
{
	struct exchange *x = ctx;

	attempt_retry(x, x->evidence.cause);
}

void attempt_check_evidence_wait(struct exchange *x, int64_t now_ms)
{
	if (!x->evidence.wait.is_waiting || now_ms < x->evidence.until_ms)
		return;
	crash_probe_wait_cancel(&x->evidence.wait);
	attempt_retry(x, x->evidence.cause);
}

/*
 * Retries once it is known whether @ep has crashed, as the request may be what crashes it. The
 * probe in progress keeps @ep.
 */
static void attempt_retry_after_evidence(struct exchange *x, struct endpoint *ep, const char *cause)
{
	x->evidence.cause = cause;
	x->evidence.until_ms = clock_boot_ms() + CRASH_EVIDENCE_WAIT_MS;
	x->evidence.wait.done = on_crash_evidence;
	x->evidence.wait.ctx = x;
	crash_probe_wait(ep, &x->evidence.wait);
}

static void attempt_fail(struct exchange *x, enum http_failure why)
{
	struct attempt *a = &x->attempt;
	struct endpoint *ep = a->endpoint;
	bool sent = !http_failure_is_unsent(why);
	bool lost = why == HTTP_FAILURE_CLOSED || why == HTTP_FAILURE_STALE;
	enum wire_work work = a->work;
	bool is_probed;

	a->call = NULL;
	log_info("attempt-failed", "request=%s endpoint=%s work=%d cause=%s sent=%d age_ms=%lld",
		 x->in.id, ep->entry.id, (int)work, http_failure_name(why), sent,
		 (long long)(clock_boot_ms() - a->sent_ms));
	exchange_trail_add(x, ep, http_failure_name(why));
	if (why != HTTP_FAILURE_STALE) {
		endpoint_record_result(ep, false);
		circuit_failure(&ep->circuit, !sent, clock_boot_ms());
	}
	if (!sent) {
		dc_health_record(entry_dc_health(x->entry, ep->dc), false, clock_boot_ms());
		if (a->budget_charged) {
			struct extra_budget_limits limits = entry_extra_limits(x->entry);

			extra_budget_refund(&x->service->budget, &limits, a->sent_ms,
					    clock_boot_ms());
		}
	}
	if (lost) {
		suspect_connection_lost(x, ep);
		crash_probe_start(x->entry, ep);
		x->losses++;
	}
	if (!sent)
		suspect_endpoint_crashed(x->entry, ep, why == HTTP_FAILURE_REFUSED);
	if (why == HTTP_FAILURE_CLOSED || !sent)
		http_client_close_idle(x->entry->endpoint_client, &ep->address);
	/* The process is gone, and its cache with it; one that can't be reached may keep it. */
	if (why == HTTP_FAILURE_REFUSED && ep->cache) {
		cache_view_clear(ep->cache);
		ep->cache_untold = false;
	}
	is_probed = ep->crash_probed;
	if (sent && x->rule->kind != CALL_GENERATION)
		exchange_count_begun(x, a->sent_ms);
	if (sent)
		attempt_drop_taken_cache(x);
	attempt_end(x);
	if (sent && work == WIRE_WORK_RUN)
		x->runs++;
	if (lost && is_probed && may_try_again(x, x->runs))
		attempt_retry_after_evidence(x, ep, http_failure_name(why));
	else
		attempt_retry(x, http_failure_name(why));
}

static void on_fail(void *ctx, enum http_failure why)
{
	attempt_fail(ctx, why);
}

static size_t responses_max(const struct entry *e)
{
	size_t most = (size_t)memory_ledger_answers_max(&e->ledger);

	return most < RESPONSES_MAX_BYTES ? most : RESPONSES_MAX_BYTES;
}

static void responses_account(struct entry *e)
{
	memory_ledger_set(&e->ledger, LEDGER_ANSWERS, &e->responses_held,
			  (int64_t)e->response_bytes);
	callers_check_memory(e);
}

/* Fails the attempt with the largest response until all of them together keep to the limit. */
static void responses_limit(struct entry *e)
{
	while (e->response_bytes > responses_max(e)) {
		struct exchange *largest = NULL;
		struct exchange *x;

		cds_list_for_each_entry(x, &e->exchange_list, link) {
			if (!largest || x->attempt.body.len > largest->attempt.body.len)
				largest = x;
		}
		if (!largest || !largest->attempt.call)
			return;
		log_warn("responses-too-large", "request=%s endpoint=%s bytes=%zu all_bytes=%zu",
			 largest->in.id, largest->attempt.endpoint->entry.id,
			 largest->attempt.body.len, e->response_bytes);
		http_exchange_cancel(largest->attempt.call);
		attempt_fail(largest, HTTP_FAILURE_MALFORMED);
	}
}

static void on_body(void *ctx, struct str bytes)
{
	struct exchange *x = ctx;
	struct attempt *a = &x->attempt;

	a->last_receive_ms = clock_boot_ms();
	a->endpoint->last_receive_ms = a->last_receive_ms;
	if (is_streaming(x)) {
		generation_on_body(x, bytes);
		return;
	}
	buf_append(&a->body, bytes.data, bytes.len);
	x->entry->response_bytes += bytes.len;
	responses_account(x->entry);
	responses_limit(x->entry);
}

/* Handles a response which states that the endpoint did not run the request. */
static void attempt_on_refused(struct exchange *x)
{
	struct endpoint *ep = x->attempt.endpoint;
	struct extra_budget_limits limits = entry_extra_limits(x->entry);
	int64_t now = clock_boot_ms();
	bool moved = x->attempt.response.wrong_instance;

	log_info("attempt-refused", "request=%s endpoint=%s status=%d moved=%d retry_after_ms=%lld",
		 x->in.id, ep->entry.id, x->attempt.response.status, moved,
		 (long long)x->attempt.response.retry_after_ms);
	exchange_trail_add(x, ep, moved ? "moved" : "full");
	endpoint_avoid(ep, now + (moved ? MOVED_BACKOFF_MS : FULL_BACKOFF_MS));
	x->refused++;
	if (x->attempt.budget_exempt)
		extra_budget_force_charge(&x->service->budget, &limits, now);
	attempt_end(x);
	if (!moved && generation_offer_cache(x))
		return;
	generation_release_cache(x);
	attempt_retry(x, moved ? "endpoint-moved" : "endpoint-full");
}

static bool response_is_valid(const struct exchange *x)
{
	const struct endpoint_response *r = &x->attempt.response;

	if (r->has_content_encoding)
		return false;
	return r->has_request_id && (r->has_signature || r->status >= 400);
}

static void call_on_end(struct exchange *x)
{
	struct endpoint *ep = x->attempt.endpoint;
	const struct endpoint_response *r = &x->attempt.response;

	/* Once a stream has begun, only its events may follow, also from another engine. */
	if (!response_is_valid(x) || x->response_started) {
		endpoint_record_result(ep, false);
		exchange_trail_add(x, ep, "unsound");
		attempt_end(x);
		x->runs++;
		attempt_retry(x, "unsound-answer");
		return;
	}
	endpoint_record_result(ep, r->status < 500);
	/* Errors are often fast. */
	if (r->status < 400 && x->rule->kind != CALL_GENERATION)
		endpoint_speed_add(&ep->speed, SPEED_CALL,
				   (double)max_i64(clock_boot_ms() - x->attempt.sent_ms, 1),
				   clock_boot_ms());
	suspect_answer_complete(x);
	if (r->status >= 500 && exchange_is_repeatable(x) && x->runs + 1 < x->rule->max_attempts &&
	    x->attempted_count < ATTEMPTS_MAX) {
		exchange_trail_add(x, ep, "error");
		exchange_save_fallback(x);
		attempt_end(x);
		x->runs++;
		attempt_retry(x, "endpoint-error");
		return;
	}
	x->runs++;
	exchange_trail_add(x, ep, "answered");
	exchange_relay_response(x);
}

static void on_end(void *ctx)
{
	struct exchange *x = ctx;
	struct attempt *a = &x->attempt;

	a->call = NULL;
	circuit_success(&a->endpoint->circuit);
	/* A refusal without the request's id may be that of an earlier request. */
	if (a->response.not_run && a->response.has_request_id) {
		attempt_on_refused(x);
		return;
	}
	if (a->work == WIRE_WORK_PREFILL)
		generation_on_prefilled(x);
	else if (is_streaming(x))
		generation_on_end(x);
	else
		call_on_end(x);
}

/*
 * Silence after which a stream that has begun continues on another engine. A silent engine is
 * mostly sound, and goes on sooner than another one could read the prompt again and continue, if it
 * is not full. So it is left as late as the caller's patience allows.
 */
static int64_t token_silence_ms(const struct exchange *x)
{
	const struct routing_rule *r = x->rule;
	int64_t least = max_i64(r->target_ms, TOKEN_SILENCE_GAP_FACTOR * r->gap_ms);
	int64_t resume = (int64_t)(RESUME_EXPECTED_FACTOR * x->choice.expected_first_token_ms) +
			 RESUME_MARGIN_MS;

	return max_i64(least, generation_patience_ms(x) - resume);
}

/*
 * Whether the endpoint has been silent too long for this request; always false for a request that
 * may run only once.
 */
static bool is_silent(const struct exchange *x, int64_t now)
{
	const struct attempt *a = &x->attempt;
	const struct routing_rule *r = x->rule;
	int64_t request_silent_ms = now - a->last_receive_ms;
	int64_t engine_silent_ms = now - max_i64(a->last_receive_ms, a->endpoint->last_receive_ms);
	int64_t expected_ms = (int64_t)x->choice.expected_first_token_ms;

	if (r->kind == CALL_IDEMPOTENT)
		return request_silent_ms >= CALL_SILENCE_TARGET_FACTOR * r->target_ms;
	if (!exchange_is_repeatable(x) && a->work == WIRE_WORK_RUN)
		return false;
	if (a->responded && a->work == WIRE_WORK_RUN)
		return engine_silent_ms >= token_silence_ms(x) ||
		       now - a->progress_ms >= generation_patience_ms(x);
	return engine_silent_ms >=
		       max_i64(ENGINE_SILENCE_TARGET_FACTOR * r->target_ms,
			       r->target_ms + ENGINE_SILENCE_EXPECTED_FACTOR * expected_ms) ||
	       request_silent_ms >=
		       max_i64(REQUEST_SILENCE_TARGET_FACTOR * r->target_ms,
			       r->target_ms + REQUEST_SILENCE_EXPECTED_FACTOR * expected_ms);
}

void attempt_set_paused(struct exchange *x, bool paused)
{
	struct attempt *a = &x->attempt;

	if (!a->call || a->is_paused == paused)
		return;
	a->is_paused = paused;
	a->paused_ms = clock_boot_ms();
	http_exchange_set_paused(a->call, paused);
	x->was_held_back = true;
	if (paused)
		return;
	/* The pause was no silence of the endpoint. */
	a->last_receive_ms = clock_boot_ms();
	a->progress_ms = a->last_receive_ms;
	a->event_ms = 0;
}

int64_t attempt_paused_ms(const struct exchange *x, int64_t now_ms)
{
	return x->attempt.call && x->attempt.is_paused ? now_ms - x->attempt.paused_ms : 0;
}

void attempt_extend_silence(struct exchange *x, int64_t pause_ms)
{
	x->attempt.last_receive_ms += pause_ms;
	x->attempt.progress_ms += pause_ms;
	if (x->attempt.event_ms)
		x->attempt.event_ms += pause_ms;
}

/* Number of sends that a retry may take: a prefill on one engine and the rest on another. */
static int retry_send_count(const struct exchange *x)
{
	const struct endpoint *ep;

	cds_list_for_each_entry(ep, &x->service->endpoints, service_link) {
		if (ep->entry.stage == STAGE_PREFILL && !ep->is_leaving)
			return 2;
	}
	return 1;
}

void attempt_return_reserved(struct exchange *x)
{
	struct extra_budget_limits limits = entry_extra_limits(x->entry);

	if (x->reserved_sends)
		extra_budget_return_reserved(&x->service->budget, &limits, x->reserved_sends,
					     x->reserved_ms, clock_boot_ms());
	x->reserved_sends = 0;
}

static bool budget_take(struct exchange *x, const struct extra_budget_limits *limits, int64_t now)
{
	if (!x->reserved_sends)
		return extra_budget_try_take(&x->service->budget, limits, now);
	x->reserved_sends--;
	extra_budget_use_reserved(&x->service->budget, limits, x->reserved_ms, now);
	return true;
}

/*
 * Makes sure that another endpoint can take over the current attempt, up to its end. A silent
 * endpoint may be sound and go on after a second, so its answer is given up only for another one.
 */
static bool attempt_reserve_move(struct exchange *x, int64_t now)
{
	struct extra_budget_limits limits = entry_extra_limits(x->entry);
	int count = retry_send_count(x);

	if (!may_try_again(x, x->runs + (x->attempt.work == WIRE_WORK_RUN)) ||
	    !exchange_can_place(x, now))
		return false;
	attempt_return_reserved(x);
	if (!extra_budget_reserve(&x->service->budget, &limits, count, now))
		return false;
	x->reserved_sends = count;
	x->reserved_ms = now;
	return true;
}

void attempt_check_silence(struct exchange *x, int64_t now_ms)
{
	struct http_exchange *call = x->attempt.call;

	if (!call || x->attempt.is_paused || !is_silent(x, now_ms))
		return;
	if (!attempt_reserve_move(x, now_ms)) {
		if (!x->attempt.is_waiting)
			log_info("attempt-waits", "request=%s endpoint=%s silent_ms=%lld runs=%d",
				 x->in.id, x->attempt.endpoint->entry.id,
				 (long long)(now_ms - x->attempt.last_receive_ms), x->runs);
		x->attempt.is_waiting = true;
		return;
	}
	http_exchange_cancel(call);
	attempt_fail(x, HTTP_FAILURE_TIMEOUT);
}

static const struct http_exchange_ops attempt_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
	.on_fail = on_fail,
};

void attempt_retry(struct exchange *x, const char *cause)
{
	if (!may_try_again(x, x->runs)) {
		exchange_give_up(x, cause, FULL_BACKOFF_MS);
		return;
	}
	metric_add(METRIC_RETRIES, 1);
	exchange_place(x);
}

static bool needs_new_connection(const struct exchange *x, int64_t now)
{
	const struct attempt *a = &x->attempt;

	return x->rule->kind == CALL_NON_IDEMPOTENT || a->budget_charged ||
	       dc_health_may_be_cut_off(entry_dc_health(x->entry, a->endpoint->dc), now);
}

bool attempt_start(struct exchange *x, struct endpoint *ep, enum wire_work work,
		   struct endpoint *fetch_from)
{
	struct attempt *a = &x->attempt;
	struct extra_budget_limits limits = entry_extra_limits(x->entry);
	int64_t now = clock_boot_ms();
	struct buf request = { 0 };
	/* The first prefill of a request is charged only if the engine rejects it. */
	bool budget_exempt = work == WIRE_WORK_PREFILL && x->sends == 0;
	bool budget_charged = !budget_exempt && (x->first_counted || work == WIRE_WORK_PREFILL);
	const struct routing_table *table = x->entry->table;
	const struct organisation *organisation;

	if (!exchange_is_allowed(x, &organisation))
		return false;
	if (!budget_charged && !budget_exempt) {
		extra_budget_count_first(&x->service->budget, &limits, now);
		x->first_counted = true;
	}
	if (budget_charged && !budget_take(x, &limits, now)) {
		metric_add(METRIC_RETRIES_DENIED, 1);
		return false;
	}
	*a = (struct attempt){ 0 };
	/*
	 * A partial event of an earlier attempt must not become the start of the first event of
	 * this one.
	 */
	event_stream_reset(&x->events);
	event_order_begin(&x->order);
	a->endpoint = ep;
	ep->refs++;
	ep->active++;
	peers_mark_changed(x->entry->peers);
	a->work = work;
	a->budget_exempt = budget_exempt;
	a->budget_charged = budget_charged;
	a->sent_ms = now;
	a->last_receive_ms = now;
	circuit_request_sent(&ep->circuit, now);
	if (x->attempted_count < ATTEMPTS_MAX)
		x->attempted[x->attempted_count++] = ep->hash;
	generation_forget_lapsed_cache(x, now);
	a->has_handle = work == WIRE_WORK_RUN && x->kv_source[0];
	x->sends++;
	x->awaits_endpoint = false;
	metric_add(METRIC_ATTEMPTS, 1);
	wire_request_encode(&request, x->head, x->body,
			    &(struct outbound_request){
				    .work = work,
				    .remaining_ms = x->deadline_ms - now,
				    .expected_id = ep->entry.id,
				    .priority = x->spec->engine.present ? exchange_priority(x) : -1,
				    .resume_from = x->events_sent ? x->order.forwarded : -1,
				    .kv_source = a->has_handle ? x->kv_source : NULL,
				    .fetch_from = fetch_from ? fetch_from->entry.address : NULL,
				    .hides_caller = table->organisations || x->table->organisations,
				    .organisation = organisation ? organisation->name : NULL,
			    });
	a->call = http_exchange_start(x->entry->endpoint_client,
				      &(struct http_exchange_spec){
					      .to = ep->address,
					      .request = buf_str(&request),
					      .is_head = exchange_is_head(x),
					      .needs_new_connection = needs_new_connection(x, now),
					      .match_name = wire_request_id_field,
					      .match_value = str_from(x->in.id),
					      .connect_ms = CONNECT_MS,
					      .body_max_bytes = work == WIRE_WORK_PREFILL
									? PREFILL_RESPONSE_MAX_BYTES
									: RESPONSE_MAX_BYTES,
				      },
				      &attempt_ops, x);
	buf_free(&request);
	return true;
}

void attempt_release_backlog(struct exchange *x)
{
	struct attempt *a = &x->attempt;

	if (!a->endpoint)
		return;
	a->endpoint->backlog_tokens -= a->charged_tokens;
	a->charged_tokens = 0;
}

void attempt_end(struct exchange *x)
{
	struct attempt *a = &x->attempt;

	if (!a->endpoint)
		return;
	generation_on_prompt_unread(x);
	attempt_release_backlog(x);
	if (a->call) {
		if (http_exchange_may_have_sent(a->call))
			attempt_drop_taken_cache(x);
		http_exchange_cancel(a->call);
		a->call = NULL;
	}
	x->entry->response_bytes -= a->body.len;
	responses_account(x->entry);
	buf_free(&a->body);
	a->endpoint->active--;
	/* What a prefill has filled is held until another engine has fetched it. */
	if (!x->kv_source[0])
		memory_hold_release(x, HOLD_PREFILL);
	if (a->work == WIRE_WORK_RUN || !x->kv_source[0])
		memory_hold_release(x, HOLD_DECODE);
	peers_mark_changed(x->entry->peers);
	endpoint_put(a->endpoint);
	a->endpoint = NULL;
	a->responded = false;
}
