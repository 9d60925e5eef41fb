#include <stdlib.h>
#include <string.h>

#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"

/* Limit of a connection set-up to an endpoint; it takes 1 ms and the way there. In ms. */
#define CONNECT_MS 300

/* An endpoint that says it is full is left alone for this long, in milliseconds. */
#define FULL_AVOID_MS 150

/* An address that belongs to another endpoint now is left alone until the list says so, in ms. */
#define MOVED_AVOID_MS 2000

/* Silence after which an idempotent call goes to another endpoint, as a multiple of its target. */
#define CALL_SILENCE_TARGETS 2

/*
 * Silence after which a generation that may be repeated goes elsewhere: a multiple of the target,
 * or the target and a multiple of the expected first token, whichever is longer. The first pair
 * holds where the engine says nothing to anybody. Where it answers others the request may only
 * wait in its queue, and what has been read of it would be lost.
 */
#define DARK_SILENCE_TARGETS 2
#define DARK_SILENCE_EXPECTED 2
#define HUNG_SILENCE_TARGETS 4
#define HUNG_SILENCE_EXPECTED 4

/* The same between two tokens, as a multiple of the gap target. */
#define GAP_SILENCE_GAPS 3

/* Greatest response that is kept in memory until it is complete, in bytes. */
#define RESPONSE_MAX_BYTES (4 << 20)

static void on_head(void *ctx, const struct http_head *head)
{
	struct exchange *x = ctx;
	struct attempt *a = &x->attempt;

	a->responded = true;
	a->heard_ms = clock_boot_ms();
	a->endpoint->heard_ms = a->heard_ms;
	dc_health_note(entry_dc_health(x->entry, a->endpoint->dc), true, a->heard_ms);
	a->head = head;
	wire_response_decode(head, &a->response);
}

static bool streams(const struct exchange *x)
{
	const struct attempt *a = &x->attempt;

	return x->rule->kind == CALL_GENERATION && a->work == WIRE_WORK_RUN &&
	       a->response.status == 200 && a->response.identified &&
	       a->response.signed_by_endpoint && !a->response.encoded;
}

static void on_body(void *ctx, struct str bytes)
{
	struct exchange *x = ctx;
	struct attempt *a = &x->attempt;

	a->heard_ms = clock_boot_ms();
	a->endpoint->heard_ms = a->heard_ms;
	if (streams(x)) {
		generation_body(x, bytes);
		return;
	}
	if (a->body.len + bytes.len <= RESPONSE_MAX_BYTES)
		buf_append(&a->body, bytes.data, bytes.len);
}

/* The endpoint has stated that it did not run the request. */
static void attempt_refused(struct exchange *x)
{
	struct endpoint *ep = x->attempt.endpoint;
	struct extra_limits limits = entry_extra_limits(x->entry);
	int64_t now = clock_boot_ms();
	bool moved = x->attempt.response.other_instance;

	log_info("attempt-refused", "request=%s endpoint=%s status=%d moved=%d", x->in.id,
		 ep->entry.id, x->attempt.response.status, moved);
	exchange_note(x, ep, moved ? "moved" : "full");
	ep->avoid_until_ms = now + (moved ? MOVED_AVOID_MS : FULL_AVOID_MS);
	x->refused++;
	if (x->attempt.free_send)
		extra_budget_charge(&x->service->budget, &limits, now);
	attempt_end(x);
	if (!moved && generation_other_decode(x))
		return;
	generation_drop_cache(x);
	attempt_again(x, moved ? "endpoint-moved" : "endpoint-full");
}

static bool answer_sound(const struct exchange *x)
{
	const struct endpoint_response *r = &x->attempt.response;

	if (r->encoded || x->attempt.body.len > RESPONSE_MAX_BYTES)
		return false;
	return (r->identified && r->signed_by_endpoint) || r->status >= 400;
}

static void call_end(struct exchange *x)
{
	struct endpoint *ep = x->attempt.endpoint;
	const struct endpoint_response *r = &x->attempt.response;

	if (!answer_sound(x)) {
		endpoint_result(ep, false);
		exchange_note(x, ep, "unsound");
		attempt_end(x);
		x->runs++;
		attempt_again(x, "unsound-answer");
		return;
	}
	endpoint_result(ep, r->status < 500);
	if (r->status >= 500 && exchange_repeatable(x) && x->runs + 1 < x->rule->max_attempts &&
	    x->tried_count < TRIED_MAX) {
		exchange_note(x, ep, "error");
		exchange_keep_failure(x);
		attempt_end(x);
		x->runs++;
		attempt_again(x, "endpoint-error");
		return;
	}
	x->runs++;
	exchange_note(x, ep, "answered");
	exchange_relay(x);
}

static void on_end(void *ctx)
{
	struct exchange *x = ctx;
	struct attempt *a = &x->attempt;

	a->call = NULL;
	circuit_success(&a->endpoint->circuit);
	if (a->response.not_run) {
		attempt_refused(x);
		return;
	}
	if (a->work == WIRE_WORK_PREFILL)
		generation_prefilled(x);
	else if (streams(x))
		generation_end(x);
	else
		call_end(x);
}

static void on_fail(void *ctx, enum http_failure why)
{
	struct exchange *x = ctx;
	struct attempt *a = &x->attempt;
	struct endpoint *ep = a->endpoint;
	bool sent = why != HTTP_FAILURE_CONNECT;
	enum wire_work work = a->work;

	a->call = NULL;
	log_info("attempt-failed", "request=%s endpoint=%s work=%d cause=%s sent=%d age_ms=%lld",
		 x->in.id, ep->entry.id, (int)work, http_failure_name(why), sent,
		 (long long)(clock_boot_ms() - a->sent_ms));
	exchange_note(x, ep, http_failure_name(why));
	if (why != HTTP_FAILURE_STALE) {
		endpoint_result(ep, false);
		circuit_failure(&ep->circuit, why == HTTP_FAILURE_CONNECT, clock_boot_ms());
	}
	if (why == HTTP_FAILURE_CONNECT) {
		dc_health_note(entry_dc_health(x->entry, ep->dc), false, clock_boot_ms());
		if (a->extra)
			extra_budget_return(&x->service->budget);
	}
	if (why == HTTP_FAILURE_CLOSED && work == WIRE_WORK_RUN)
		suspect_cut(x, ep);
	if (why == HTTP_FAILURE_CONNECT)
		suspect_endpoint_down(x->entry, ep);
	if (why == HTTP_FAILURE_CLOSED || why == HTTP_FAILURE_CONNECT)
		http_client_forget(x->entry->endpoint_client, &ep->address);
	if (why == HTTP_FAILURE_CONNECT && ep->cache)
		cache_view_clear(ep->cache);
	attempt_end(x);
	if (sent && work == WIRE_WORK_RUN)
		x->runs++;
	attempt_again(x, http_failure_name(why));
}

static int64_t larger(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Whether the endpoint has been silent too long for this request; false for what runs once. */
static bool silent(const struct exchange *x, int64_t now)
{
	const struct attempt *a = &x->attempt;
	const struct routing_rule *r = x->rule;
	int64_t quiet = now - a->heard_ms;
	int64_t dark = now - larger(a->heard_ms, a->endpoint->heard_ms);
	int64_t expected = (int64_t)x->choice.first_ms;

	if (r->kind == CALL_IDEMPOTENT)
		return quiet >= CALL_SILENCE_TARGETS * r->target_ms;
	if (!exchange_repeatable(x) && a->work == WIRE_WORK_RUN)
		return false;
	if (a->responded && a->work == WIRE_WORK_RUN)
		return dark >= larger(r->target_ms, GAP_SILENCE_GAPS * r->gap_ms);
	return dark >= larger(DARK_SILENCE_TARGETS * r->target_ms,
			      r->target_ms + DARK_SILENCE_EXPECTED * expected) ||
	       quiet >= larger(HUNG_SILENCE_TARGETS * r->target_ms,
			       r->target_ms + HUNG_SILENCE_EXPECTED * expected);
}

void attempt_check_silence(struct exchange *x, int64_t now_ms)
{
	struct http_exchange *call = x->attempt.call;

	if (!call || !silent(x, now_ms))
		return;
	http_exchange_cancel(call);
	on_fail(x, HTTP_FAILURE_TIMEOUT);
}

static const struct http_exchange_ops attempt_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
	.on_fail = on_fail,
};

void attempt_again(struct exchange *x, const char *cause)
{
	bool may_run_again = !x->runs || exchange_repeatable(x);

	if (!may_run_again || (x->runs && x->runs >= x->rule->max_attempts) ||
	    x->tried_count >= TRIED_MAX) {
		exchange_give_up(x, cause, FULL_AVOID_MS);
		return;
	}
	metric_add(METRIC_RETRIES, 1);
	exchange_place(x);
}

bool attempt_start(struct exchange *x, struct endpoint *ep, enum wire_work work,
		   struct endpoint *fetch_from)
{
	struct attempt *a = &x->attempt;
	struct extra_limits limits = entry_extra_limits(x->entry);
	int64_t now = clock_boot_ms();
	struct buf request = { 0 };
	/* The first prefill of a request is not counted, unless the engine rejects it. */
	bool free_send = work == WIRE_WORK_PREFILL && x->sends == 0;
	bool extra = !free_send && (x->first_counted || work == WIRE_WORK_PREFILL);

	if (!extra && !free_send) {
		extra_budget_first(&x->service->budget, &limits, now);
		x->first_counted = true;
	}
	if (extra && !extra_budget_take(&x->service->budget, &limits, now)) {
		metric_add(METRIC_RETRIES_DENIED, 1);
		return false;
	}
	*a = (struct attempt){ .body = a->body };
	a->body.len = 0;
	/* The unfinished event of an earlier attempt is no beginning of this one's first. */
	event_stream_reset(&x->events);
	a->endpoint = ep;
	ep->refs++;
	ep->active++;
	peers_note_load(x->entry->peers);
	a->work = work;
	a->free_send = free_send;
	a->extra = extra;
	a->sent_ms = now;
	a->heard_ms = now;
	circuit_sent(&ep->circuit, now);
	if (x->tried_count < TRIED_MAX)
		x->tried[x->tried_count++] = ep->hash;
	x->sends++;
	metric_add(METRIC_ATTEMPTS, 1);
	wire_request_encode(&request, x->head, x->body,
			    &(struct outbound_request){
				    .work = work,
				    .remaining_ms = x->deadline_ms - now,
				    .expected_id = ep->entry.id,
				    .urgency = x->spec->engine.present ? exchange_urgency(x) : -1,
				    .resume_from = x->events_given ? x->last_event : -1,
				    .cache_source = work == WIRE_WORK_RUN && x->cache_source[0]
							    ? x->cache_source
							    : NULL,
				    .fetch_from = fetch_from ? fetch_from->entry.address : NULL,
			    });
	a->call =
		http_exchange_start(x->entry->endpoint_client,
				    &(struct http_exchange_spec){
					    .to = ep->address,
					    .request = buf_str(&request),
					    .fresh = x->rule->kind == CALL_NON_IDEMPOTENT || extra,
					    .match_name = wire_request_id_field,
					    .match_value = str_from(x->in.id),
					    .connect_ms = CONNECT_MS,
				    },
				    &attempt_ops, x);
	buf_free(&request);
	return true;
}

void attempt_read(struct exchange *x)
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
	generation_unread(x);
	attempt_read(x);
	if (a->call) {
		http_exchange_cancel(a->call);
		a->call = NULL;
	}
	a->endpoint->active--;
	peers_note_load(x->entry->peers);
	endpoint_put(a->endpoint);
	a->endpoint = NULL;
	a->responded = false;
}
