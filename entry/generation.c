#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/histogram.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/policy/engine_speed.h"

/*
 * Time after the first event from which on a prompt that crashes engines would have crashed this
 * one, in milliseconds.
 */
#define ANSWER_GOES_ON_MS 300

/*
 * Maximum number of bytes from one new event to the next; an engine may send an event that never
 * ends, or comments without end.
 */
#define EVENT_MAX_BYTES (256 << 10)

/* Number of engines that a filled KV cache is offered to before the prompt is read again. */
#define CACHE_OFFERS_MAX 3

/*
 * Penalty of an engine for a failure score of 1, in milliseconds: all recent attempts on it failed,
 * or nothing in its data centre was reachable lately.
 */
#define FAILURE_PENALTY_MS 800

/*
 * Callers abandon a generation when its time to first token, or the time between two tokens,
 * exceeds the largest of these: a time in milliseconds, and multiples of the rule's two targets
 * (the platform's protocol).
 */
#define PATIENCE_MIN_MS 2000.0
#define PATIENCE_TARGET_FACTOR 4
#define PATIENCE_GAP_FACTOR 8

/*
 * Prompts with fewer tokens to prefill say little of an engine's speed; and part of the time to the
 * first token that may at least be prefill, as a divisor.
 */
#define READ_SAMPLE_MIN_TOKENS 1000
#define OVERHEAD_SHARE_MAX 4

/* Shortest Retry-After for callers while no engine has memory left, in milliseconds. */
#define MEMORY_RETRY_MIN_MS 300

/* With fewer events, a generation gives no good estimate of the time between them. */
#define GENERATE_SAMPLE_MIN_EVENTS 4

/* Records, for this and the other instances, what an engine has of a prompt. */
static void note_prompt_parts(const struct exchange *x, struct endpoint *ep,
			      enum shared_prompt_part_state state)
{
	if (!ep->cache)
		return;
	for (int i = x->in.part_count - 1; i >= 0; i--) {
		const struct prompt_part *p = &x->in.parts[i];
		bool is_shared = i + 1 < x->in.part_count;

		if (state == PROMPT_PART_DROPPED)
			cache_view_cancel_sent(ep->cache, p->id);
		else
			cache_view_record(ep->cache, p->id, p->tokens,
					  state == PROMPT_PART_PREFILLED);
		peers_queue_part(x->entry->peers, ep, p->id, p->tokens,
				 is_shared && state == PROMPT_PART_PREFILLED
					 ? PROMPT_PART_PREFILLED_SHARED
					 : state);
	}
}

/* Adds the speed at which the engine has prefilled the prompt. */
static void add_read_sample(struct exchange *x, int64_t now_ms)
{
	struct attempt *a = &x->attempt;
	const struct settings *s = &x->entry->settings;
	double elapsed_ms = (double)(now_ms - a->sent_ms);
	double ms =
		fmax(elapsed_ms - x->service->speed.overhead_ms, elapsed_ms / OVERHEAD_SHARE_MAX);

	engine_speed_add_sample(&x->service->speed,
				&(struct engine_speed_sample){
					.is_prefill_engine = a->work == WIRE_WORK_PREFILL,
					.prefilled_tokens = a->read_tokens,
					.queue_ahead_tokens = a->queue_ahead_tokens,
					.elapsed_ms = (int64_t)elapsed_ms,
				});
	if (a->read_tokens < READ_SAMPLE_MIN_TOKENS || a->queue_ahead_tokens > 0 || ms <= 0)
		return;
	if (a->work != WIRE_WORK_PREFILL)
		ms *= s->engines.mixed_tokens_per_ms / s->engines.prefill_tokens_per_ms;
	endpoint_speed_add(&a->endpoint->speed, SPEED_READ, ms / (double)a->read_tokens, now_ms);
}

void generation_on_prompt_read(struct exchange *x)
{
	struct attempt *a = &x->attempt;

	if (!a->prompt_pending)
		return;
	a->prompt_pending = false;
	if (a->work == WIRE_WORK_RUN)
		memory_hold_release(x, HOLD_PREFILL);
	if (a->read_tokens)
		add_read_sample(x, clock_boot_ms());
	attempt_release_backlog(x);
	note_prompt_parts(x, a->endpoint, PROMPT_PART_PREFILLED);
}

void generation_on_prompt_unread(struct exchange *x)
{
	struct attempt *a = &x->attempt;

	if (!a->prompt_pending)
		return;
	a->prompt_pending = false;
	note_prompt_parts(x, a->endpoint, PROMPT_PART_DROPPED);
}

struct finish_estimate *generation_finish_estimate(const struct exchange *x)
{
	return &x->service->finish[exchange_priority(x)];
}

static void write_events(struct exchange *x, struct str bytes)
{
	struct buf out = { 0 };

	if (!x->response_started) {
		wire_response_encode(&out, x->attempt.head, WIRE_LENGTH_CHUNKED,
				     exchange_decide_close(x));
		x->response_started = true;
		x->first_byte_ms = clock_boot_ms();
		exchange_count_begun(x, x->first_byte_ms);
		if (!x->runs && !x->refused)
			finish_add_first_token(generation_finish_estimate(x),
					       x->choice.expected_first_token_ms,
					       (double)(x->first_byte_ms - x->begun_ms));
		histogram_add(HISTOGRAM_FIRST_TOKEN, x->first_byte_ms - x->begun_ms);
	}
	buf_printf(&out, "%zx\r\n", bytes.len);
	buf_append_str(&out, bytes);
	buf_append(&out, "\r\n", 2);
	caller_write(x->caller, buf_str(&out));
	buf_free(&out);
}

/* Records @count new events that have just arrived together. */
static void record_events(struct exchange *x, int count)
{
	struct attempt *a = &x->attempt;
	int64_t now = clock_boot_ms();

	if (!a->first_event_ms)
		a->first_event_ms = now;
	else if (now - a->first_event_ms >= ANSWER_GOES_ON_MS)
		suspect_answer_goes_on(x);

	if (a->event_ms)
		engine_pace_add(&a->endpoint->pace, (double)(now - a->event_ms) / count, now);
	a->event_ms = now;
	a->progress_ms = now;
	a->bytes_since_event = 0;
}

/*
 * Forwards complete events with consecutive ids, and comments between them. The bytes of a partial
 * event are held back, so that the generation can resume on another engine after the last complete
 * event.
 */
static bool relay_events(struct exchange *x)
{
	enum event_verdict verdict = EVENT_FORWARD;
	struct stream_event ev;
	struct buf out = { 0 };
	int count = 0;

	while (verdict != EVENT_OUT_OF_ORDER && event_stream_next(&x->events, &ev)) {
		if (!ev.has_fields) {
			buf_append_str(&out, ev.raw);
			continue;
		}
		verdict = event_order_check(&x->order, ev.id);
		if (verdict != EVENT_FORWARD)
			continue;
		buf_append_str(&out, ev.raw);
		count++;
	}
	x->events_sent += count;
	if (count)
		record_events(x, count);
	if (out.len)
		write_events(x, buf_str(&out));
	buf_free(&out);
	return verdict != EVENT_OUT_OF_ORDER;
}

/* Ends an attempt whose bytes are not the expected events, and continues on another engine. */
static void stream_abandon(struct exchange *x, const char *cause)
{
	struct endpoint *ep = x->attempt.endpoint;

	log_warn(cause, "request=%s endpoint=%s last_event=%" PRId64, x->in.id, ep->entry.id,
		 x->order.forwarded);
	endpoint_record_result(ep, false);
	exchange_trail_add(x, ep, cause);
	attempt_end(x);
	event_stream_reset(&x->events);
	x->runs++;
	attempt_retry(x, cause);
}

void generation_on_body(struct exchange *x, struct str bytes)
{
	generation_on_prompt_read(x);
	x->attempt.bytes_since_event += bytes.len;
	event_stream_feed(&x->events, bytes);
	if (!relay_events(x))
		stream_abandon(x, "stream-out-of-order");
	else if (x->attempt.bytes_since_event > EVENT_MAX_BYTES)
		stream_abandon(x, "event-too-large");
}

static double endpoint_used_fraction(const struct endpoint *ep)
{
	if (ep->entry.slots <= 0)
		return 0;
	return (double)(ep->active + ep->peer_active) / ep->entry.slots;
}

/* Adds what a complete answer says of its engine's speed and of the work of generations. */
static void add_generate_samples(struct exchange *x)
{
	struct endpoint *ep = x->attempt.endpoint;
	int64_t now = clock_boot_ms();
	double ms = (double)(now - x->first_byte_ms);

	if (x->runs == 1 && x->events_sent >= GENERATE_SAMPLE_MIN_EVENTS)
		endpoint_speed_add(&ep->speed, SPEED_GENERATE, ms / (double)(x->events_sent - 1),
				   now);
	finish_add_completed(generation_finish_estimate(x), ms);
	stage_demand_add_generation(&x->service->demand,
				    &(struct stage_generation){
					    .tokens = x->in.output_tokens,
					    .events = x->events_sent,
					    .ms = ms,
					    .used_fraction = endpoint_used_fraction(ep),
				    });
	x->service->speed.event_interval_ms = x->service->demand.event_interval_ms;
}

void generation_on_end(struct exchange *x)
{
	struct endpoint *ep = x->attempt.endpoint;

	x->runs++;
	if (event_stream_has_partial(&x->events) || !x->events_sent ||
	    !event_order_may_end(&x->order)) {
		endpoint_record_result(ep, false);
		exchange_trail_add(x, ep, "truncated");
		attempt_end(x);
		event_stream_reset(&x->events);
		attempt_retry(x, "stream-truncated");
		return;
	}
	endpoint_record_result(ep, true);
	suspect_answer_complete(x);
	exchange_trail_add(x, ep, "streamed");
	if (!x->was_held_back)
		add_generate_samples(x);
	caller_write(x->caller, STR_LIT("0\r\n\r\n"));
	exchange_stream_done(x);
}

static void on_cache_released(void *ctx, const struct http_result *r)
{
	/* The engine frees the cache by itself some seconds later. */
	if (r->status != 200)
		log_debug("cache-drop-failed", "status=%d", r->status);
}

/*
 * Share of the time for which an engine holds a KV cache in which its handle is used: that time
 * began before the handle arrived, and the request takes time to arrive.
 */
#define HANDLE_USED_SHARE 0.9

/* Connect and silence timeouts of the request that frees a KV cache, in milliseconds. */
#define RELEASE_CONNECT_MS 300
#define RELEASE_SILENCE_MS 1000

void generation_forget_cache(struct exchange *x)
{
	x->kv_source[0] = '\0';
}

void generation_forget_lapsed_cache(struct exchange *x, int64_t now_ms)
{
	double used_ms = x->spec ? HANDLE_USED_SHARE * (double)x->spec->engine.kv_hold_ms : 0;

	if (used_ms > 0 && (double)(now_ms - x->kv_filled_ms) >= used_ms)
		generation_forget_cache(x);
}

void generation_release_cache(struct exchange *x)
{
	struct buf request = { 0 };
	char address[32];

	memory_hold_release(x, HOLD_PREFILL);
	memory_hold_release(x, HOLD_DECODE);
	generation_forget_lapsed_cache(x, clock_boot_ms());
	if (!x->kv_source[0])
		return;
	generation_forget_cache(x);
	http_address_format(&x->kv_owner, address);
	wire_handle_delete_encode(&request, address, x->kv_handle);
	http_collect_start(x->entry->endpoint_client,
			   &(struct http_exchange_spec){
				   .to = x->kv_owner,
				   .request = buf_str(&request),
				   .connect_ms = RELEASE_CONNECT_MS,
				   .read_timeout_ms = RELEASE_SILENCE_MS,
				   .body_max_bytes = CONTROL_ANSWER_MAX_BYTES,
			   },
			   on_cache_released, NULL);
	buf_free(&request);
}

/*
 * Counts the leading tokens of the prompt that an engine has cached or is about to cache, and those
 * that are cached already.
 */
static void count_cached_tokens(const struct exchange *x, const struct endpoint *ep,
				struct place_engine *out)
{
	bool all_ready = true;

	out->cached_tokens = 0;
	out->ready_tokens = 0;
	for (int i = 0; ep->cache && i < x->in.part_count; i++) {
		bool ready;
		int64_t tokens = cache_view_cached_tokens(ep->cache, x->in.parts[i].id, &ready);

		if (!tokens)
			break;
		all_ready = all_ready && ready;
		out->cached_tokens += tokens;
		if (all_ready)
			out->ready_tokens += tokens;
	}
	if (out->cached_tokens > x->in.prompt_tokens)
		out->cached_tokens = x->in.prompt_tokens;
	if (out->ready_tokens > x->in.prompt_tokens)
		out->ready_tokens = x->in.prompt_tokens;
}

/*
 * Key of the shared prefix: the last part belongs to the request itself, the one before it is
 * shared with other requests.
 */
static uint64_t prefix_key(const struct exchange *x)
{
	int n = x->in.part_count;

	return n > 1 ? x->in.parts[n - 2].id : n ? x->in.parts[0].id : 0;
}

static int64_t count_shared_tokens(const struct exchange *x)
{
	int64_t sum = 0;

	for (int i = 0; i + 1 < x->in.part_count; i++)
		sum += x->in.parts[i].tokens;
	return sum;
}

/**
 * struct memory_views - what the views of all engines of a service have in common
 * @reports: of the other instances, without the figures of an engine
 * @others_tokens: what they hold on all engines, by stage
 */
struct memory_views {
	struct memory_reports reports;
	int64_t others_tokens[STAGE_DECODE + 1];
};

static struct memory_views memory_views_prepare(const struct exchange *x, bool local,
						int64_t now_ms)
{
	const struct cds_list_head *list = service_list(x->service, local);
	const struct peers *p = x->entry->peers;
	struct memory_views out = {
		.reports = {
			.report_ms = (double)peers_share_interval_ms(p),
			.own_per_ms = token_flow_per_ms(&x->service->memory_flow, now_ms),
			.others = (local ? peers_local_instances(p) : peers_max_instances(p)) - 1,
		},
	};
	struct cds_list_head *link;

	cds_list_for_each(link, list) {
		const struct endpoint *ep = service_endpoint(link, local);

		out.others_tokens[ep->entry.stage] += ep->peer_held_tokens;
	}
	return out;
}

static struct endpoint_memory memory_view(const struct exchange *x, const struct endpoint *ep,
					  const struct memory_views *views)
{
	struct endpoint_memory m = endpoint_memory_of(ep);
	struct memory_reports r = views->reports;

	r.engine_tokens = ep->peer_held_tokens;
	r.service_tokens = views->others_tokens[ep->entry.stage];
	r.hold_ms = x->service->held_ms_mean[ep->entry.stage];
	m.late_tokens = endpoint_memory_late_tokens(&r);
	if (endpoint_memory_is_scarce(
		    &m, endpoint_memory_tokens(x->in.prompt_tokens, x->in.output_tokens)))
		m.rank = peers_rank_for(x->entry->peers, ep->hash, x->service->prefers_local);
	return m;
}

static struct place_engine engine_view(const struct exchange *x, const struct endpoint *ep,
				       const struct memory_views *memory, int64_t now_ms)
{
	struct place_engine v = {
		.stage = ep->entry.stage,
		.dc = ep->dc,
		.usable = endpoint_is_available(ep, now_ms) && !exchange_has_tried(x, ep),
		.cache_unknown =
			ep->cache && !ep->cache_synced && !ep->cache_unreadable &&
			cache_turn_expects_cache(&ep->cache_origin, now_ms - x->entry->started_ms),
		.backlog_tokens = ep->backlog_tokens + ep->peer_backlog_tokens,
		.active_requests = ep->active + ep->peer_active,
		.request_slots = ep->entry.slots,
		.event_interval_ms = engine_pace_interval_ms(&ep->pace, now_ms),
		.generate_slowness = endpoint_slowness(ep, SPEED_GENERATE, now_ms),
		.memory = memory_view(x, ep, memory),
		.penalty_ms = FAILURE_PENALTY_MS * endpoint_failure_score(x->entry, ep, now_ms),
		.home_score = hash_mix(prefix_key(x), ep->hash),
	};

	count_cached_tokens(x, ep, &v);
	return v;
}

static void backlog_charge(struct exchange *x, struct endpoint *ep, int64_t tokens)
{
	/* attempt_start() has just created the attempt that carries the charge. */
	x->attempt.charged_tokens = tokens;
	x->attempt.read_tokens = tokens;
	x->attempt.queue_ahead_tokens = ep->backlog_tokens + ep->peer_backlog_tokens;
	ep->backlog_tokens += tokens;
	x->attempt.prompt_pending = true;
	note_prompt_parts(x, ep, PROMPT_PART_SENT);
}

/*
 * Collects the engines of the request's service, with @local only those of this data centre. @eps
 * receives the endpoints in the same order.
 */
static int engine_views_collect(const struct exchange *x, bool local, int64_t now_ms,
				struct place_engine *engines, struct endpoint **eps)
{
	const struct cds_list_head *list = service_list(x->service, local);
	struct cds_list_head *link;
	struct memory_views memory = memory_views_prepare(x, local, now_ms);
	int count = 0;

	cds_list_for_each(link, list) {
		struct endpoint *ep = service_endpoint(link, local);

		if (count == GENERATION_ENGINES_MAX)
			break;
		eps[count] = ep;
		engines[count++] = engine_view(x, ep, &memory, now_ms);
	}
	return count;
}

/*
 * Adds the engine of another data centre that last prefilled the shared part of the prompt, to copy
 * it from. An engine that has a part also has those before it.
 */
static int remote_source_add(const struct exchange *x, int64_t now_ms, struct place_engine *engines,
			     struct endpoint **eps, int count)
{
	int64_t tokens = count_shared_tokens(x);

	if (count == GENERATION_ENGINES_MAX)
		return count;
	for (int i = x->in.part_count - 2; i >= 0; i--) {
		struct endpoint *ep =
			peers_find_remote_source(x->entry->peers, x->in.parts[i].id, now_ms);

		if (ep && ep->service == x->service && endpoint_is_available(ep, now_ms)) {
			eps[count] = ep;
			engines[count] = (struct place_engine){ .dc = ep->dc,
								.fetch_only = true,
								.ready_tokens = tokens };
			return count + 1;
		}
		tokens -= x->in.parts[i].tokens;
	}
	return count;
}

static struct place_request place_request_of(const struct exchange *x)
{
	return (struct place_request){
		.prompt_tokens = x->in.prompt_tokens,
		.output_tokens = x->in.output_tokens,
		.shared_tokens = count_shared_tokens(x),
		.target_ms = (double)x->rule->target_ms,
		.gap_ms = (double)x->rule->gap_ms,
		.events = stage_demand_events(&x->service->demand, x->in.output_tokens),
		.spread_seed = hash_str(str_from(x->in.id), x->entry->self_hash),
		.report_ms = (double)peers_share_interval_ms(x->entry->peers),
	};
}

static struct place_speed place_speed_of(const struct exchange *x)
{
	struct place_speed s = x->service->speed;

	s.transfer_per_ms = engine_transfer_per_ms(
		x->spec->engine.link_mbps, x->spec->engine.kv_token_bytes, s.transfer_per_ms);
	return s;
}

static bool generation_start_decode(struct exchange *x, struct endpoint *ep)
{
	if (!attempt_start(x, ep, WIRE_WORK_RUN, NULL))
		return false;
	x->cache_offers++;
	memory_hold_set(x, HOLD_DECODE, ep);
	x->attempt.prompt_pending = true;
	note_prompt_parts(x, ep, PROMPT_PART_SENT);
	return true;
}

bool generation_offer_cache(struct exchange *x)
{
	struct place_engine engines[GENERATION_ENGINES_MAX];
	struct endpoint *eps[GENERATION_ENGINES_MAX];
	struct place_request r = place_request_of(x);
	struct place_speed speed = place_speed_of(x);
	int count, prefill = -1, at;

	generation_forget_lapsed_cache(x, clock_boot_ms());
	if (!x->kv_source[0] || x->cache_offers >= CACHE_OFFERS_MAX || x->runs ||
	    suspect_is_refused(x))
		return false;
	count = engine_views_collect(x, x->service->prefers_local && x->decode && !x->decode->dc,
				     clock_boot_ms(), engines, eps);
	for (int i = 0; i < count; i++) {
		if (eps[i]->address.ip == x->kv_owner.ip &&
		    eps[i]->address.port == x->kv_owner.port)
			prefill = i;
	}
	if (prefill < 0)
		return false;
	at = place_choose_decode(engines, count, &r, &speed, &x->entry->settings.place, prefill);
	return at >= 0 && generation_start_decode(x, eps[at]);
}

int64_t generation_patience_ms(const struct exchange *x)
{
	const struct routing_rule *r = x->rule;

	return (int64_t)fmax(PATIENCE_MIN_MS, fmax((double)(PATIENCE_TARGET_FACTOR * r->target_ms),
						   (double)(PATIENCE_GAP_FACTOR * r->gap_ms)));
}

/* Share of the queue limit from which on instances tell each other who uses the engines. */
#define ROOM_SHORT_FACTOR 0.5

static struct yield_request yield_request_of(const struct exchange *x, int64_t now_ms)
{
	const struct place_speed *s = &x->service->speed;
	double rate = x->choice.prefill >= 0 ? s->prefill_per_ms : s->mixed_per_ms;
	double work_ms = (double)x->choice.read_tokens / rate;
	double first_ms = finish_first_token_ms(generation_finish_estimate(x),
						x->choice.expected_first_token_ms);

	return (struct yield_request){
		.priority = exchange_priority(x),
		.queue_ms = first_ms - work_ms - s->overhead_ms,
		.work_ms = work_ms,
		.target_ms = (double)x->rule->target_ms,
		.share_ratio = x->organisation && x->entry->org_load
				       ? org_load_ratio(x->entry->org_load, x->organisation, now_ms)
				       : 0,
	};
}

/* Whether the engines that were chosen have room for a request that was not sent before. */
static enum room_verdict generation_check_room(const struct exchange *x, int64_t now_ms,
					       struct generation_plan *p)
{
	const struct yield_request *r = &p->yield;

	p->yield = yield_request_of(x, now_ms);
	p->limits = (struct finish_limits){
		.deadline_left_ms = (double)(x->deadline_ms - now_ms),
		.first_token_wait_ms = (double)generation_patience_ms(x),
	};
	if (r->target_ms > 0 && r->queue_ms > ROOM_SHORT_FACTOR * yield_queue_limit_ms(r))
		p->room_is_short = true;
	if (!finish_is_in_time(generation_finish_estimate(x), x->choice.expected_first_token_ms,
			       &p->limits))
		return ROOM_TOO_LATE;
	return x->entry->settings.admission.yield && yield_gives_way(r) ? ROOM_GIVES_WAY
									: ROOM_FREE;
}

const char *generation_refusal(const struct generation_plan *p)
{
	switch (p->verdict) {
	case ROOM_FREE:
		break;
	case ROOM_TOO_LATE:
		return "too-late";
	case ROOM_GIVES_WAY:
		return "gives-way";
	}
	return NULL;
}

int64_t generation_retry_after_ms(const struct exchange *x, const struct generation_plan *p)
{
	return p->verdict == ROOM_GIVES_WAY ? yield_retry_after_ms(&p->yield, x->fingerprint)
					    : (int64_t)x->choice.expected_first_token_ms / 2;
}

static void generation_refuse(struct exchange *x, const struct generation_plan *p)
{
	const struct yield_request *r = &p->yield;

	if (p->verdict == ROOM_GIVES_WAY) {
		metric_add(METRIC_REFUSED_YIELD, 1);
		log_info("gives-way",
			 "request=%s priority=%d queue_ms=%.0f limit_ms=%.0f work_ms=%.0f "
			 "target_ms=%.0f share=%.2f",
			 x->in.id, r->priority, r->queue_ms, yield_queue_limit_ms(r), r->work_ms,
			 r->target_ms, r->share_ratio);
	}
	exchange_refuse(x, generation_refusal(p), generation_retry_after_ms(x, p));
}

int64_t generation_memory_retry_ms(const struct exchange *x)
{
	return (int64_t)fmax(x->service->held_ms_mean[STAGE_DECODE] / 2, MEMORY_RETRY_MIN_MS);
}

/* No usable engine has memory for the request until others end. */
static void generation_no_memory(struct exchange *x)
{
	int64_t retry_after_ms = generation_memory_retry_ms(x);

	log_info("engines-full",
		 "request=%s prompt=%" PRId64 " output=%" PRId64 " engines=%d memory=%" PRId64
		 " retry_after_ms=%" PRId64,
		 x->in.id, x->in.prompt_tokens, x->in.output_tokens, x->choice.full_engines,
		 x->service->memory_tokens, retry_after_ms);
	exchange_postpone(x, "engines-full", retry_after_ms);
}

/* Engine time of the prompt and of the tokens to generate, in microseconds. */
static int64_t generation_work_us(const struct exchange *x)
{
	const struct place_speed *s = &x->service->speed;
	double slots = x->spec->engine.slots > 0 ? x->spec->engine.slots : 1;
	double ms = (double)x->choice.read_tokens / s->prefill_per_ms +
		    (double)x->in.output_tokens * s->event_interval_ms / slots;

	return (int64_t)(ms * 1000);
}

static bool pick_engines(struct exchange *x, const struct place_request *r,
			 const struct place_speed *speed, const struct generation_plan *p)
{
	const struct place_costs *costs = &x->entry->settings.place;

	if (p->figures)
		return place_pick_with_figures(p->engines, p->count, r, speed, costs, &x->choice,
					       p->figures);
	return place_pick(p->engines, p->count, r, speed, costs, &x->choice);
}

bool generation_choose(struct exchange *x, int64_t now_ms, struct generation_plan *p)
{
	struct place_request r = place_request_of(x);
	struct place_speed speed = place_speed_of(x);
	bool placed;

	p->room_is_short = false;
	p->verdict = ROOM_FREE;
	p->is_local = x->service->prefers_local;
	p->count = engine_views_collect(x, p->is_local, now_ms, p->engines, p->eps);
	if (p->is_local)
		p->count = remote_source_add(x, now_ms, p->engines, p->eps, p->count);
	placed = pick_engines(x, &r, &speed, p);
	/*
	 * Engines of other data centres are used when the local ones are overloaded or unavailable.
	 */
	if (p->is_local && (!placed || generation_check_room(x, now_ms, p) != ROOM_FREE)) {
		p->is_local = false;
		p->count = engine_views_collect(x, false, now_ms, p->engines, p->eps);
		placed = pick_engines(x, &r, &speed, p);
	}
	if (placed && !x->sends)
		p->verdict = generation_check_room(x, now_ms, p);
	return placed;
}

bool generation_place(struct exchange *x, int64_t now_ms)
{
	struct generation_plan plan;
	struct endpoint **eps = plan.eps;
	struct endpoint *first;
	bool placed;

	plan.figures = NULL;
	if (!x->sends)
		token_flow_add(&x->service->memory_flow,
			       endpoint_memory_tokens(x->in.prompt_tokens, x->in.output_tokens),
			       now_ms);
	placed = generation_choose(x, now_ms, &plan);
	if (plan.room_is_short)
		x->entry->room_short_ms = now_ms;
	if (!placed && x->choice.full_engines) {
		generation_no_memory(x);
		return true;
	}
	if (!placed)
		return false;
	if (!x->sends)
		stage_demand_add_request(&x->service->demand,
					 (double)x->choice.read_tokens /
						 x->service->speed.prefill_per_ms,
					 x->in.output_tokens, x->spec->engine.slots, now_ms);
	if (plan.verdict != ROOM_FREE) {
		generation_refuse(x, &plan);
		return true;
	}
	if (x->decode)
		endpoint_put(x->decode);
	x->decode = eps[x->choice.decode];
	x->decode->refs++;
	first = x->choice.prefill >= 0 ? eps[x->choice.prefill] : x->decode;
	if (!attempt_start(x, first, x->choice.prefill >= 0 ? WIRE_WORK_PREFILL : WIRE_WORK_RUN,
			   x->choice.fetch_source >= 0 ? eps[x->choice.fetch_source] : NULL)) {
		exchange_postpone(x, "retry-budget", 0);
		return true;
	}
	log_info("placed",
		 "request=%s endpoint=%s decode=%s fetch=%s prompt=%" PRId64 " read=%" PRId64
		 " backlog=%" PRId64 " others_backlog=%" PRId64 " active=%d expected_ms=%.0f "
		 "left_ms=%" PRId64 " list_version=%" PRId64,
		 x->in.id, first->entry.id, x->decode->entry.id,
		 x->choice.fetch_source >= 0 ? eps[x->choice.fetch_source]->entry.id : "-",
		 x->in.prompt_tokens, x->choice.read_tokens, first->backlog_tokens,
		 first->peer_backlog_tokens, first->active + first->peer_active,
		 x->choice.expected_first_token_ms, x->deadline_ms - now_ms, first->entry.version);
	backlog_charge(x, first, x->choice.read_tokens);
	if (first != x->decode)
		memory_hold_set(x, HOLD_PREFILL, first);
	memory_hold_set(x, HOLD_DECODE, x->decode);
	if (x->organisation && x->entry->org_load)
		org_load_add(x->entry->org_load, x->organisation, generation_work_us(x), now_ms);
	return true;
}

void generation_on_prefilled(struct exchange *x)
{
	struct endpoint *ep = x->attempt.endpoint;
	char handle[96];

	if (x->attempt.response.status == 200)
		generation_on_prompt_read(x);
	if (x->attempt.response.status != 200 ||
	    !wire_handle_decode(buf_str(&x->attempt.body), handle, sizeof(handle))) {
		endpoint_record_result(ep, false);
		exchange_trail_add(x, ep, "no-handle");
		attempt_end(x);
		attempt_retry(x, "prefill-failed");
		return;
	}
	endpoint_record_result(ep, true);
	exchange_trail_add(x, ep, "prefilled");
	snprintf(x->kv_source, sizeof(x->kv_source), "%s/%s", ep->entry.address, handle);
	snprintf(x->kv_handle, sizeof(x->kv_handle), "%s", handle);
	x->kv_owner = ep->address;
	x->kv_filled_ms = clock_boot_ms();
	attempt_end(x);
	if (!x->decode || !endpoint_is_available(x->decode, clock_boot_ms())) {
		generation_release_cache(x);
		attempt_retry(x, "decode-engine-gone");
		return;
	}
	if (suspect_is_refused(x)) {
		generation_release_cache(x);
		exchange_give_up(x, "crashes-endpoints", -1);
		return;
	}
	x->cache_offers = 0;
	if (!generation_start_decode(x, x->decode)) {
		generation_release_cache(x);
		exchange_postpone(x, "retry-budget", 0);
	}
}
