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

#define ENGINES_MAX 512

/* Engines that a filled cache is offered to before the prompt is read again. */
#define CACHE_OFFERS_MAX 3

/*
 * Disadvantage of an engine whose attempts all failed lately, or in whose data centre nothing was
 * reached lately, in milliseconds.
 */
#define FAILING_MS 800

/*
 * Callers leave a generation whose first token, or next one, takes longer than the greatest of
 * these: a time in milliseconds, and multiples of the rule's targets (the platform's protocol).
 */
#define PATIENCE_MIN_MS 2000.0
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS 8

/* Notes for this and the other instances what an engine has of a prompt. */
static void note_parts(const struct exchange *x, struct endpoint *ep, enum shared_part_state state)
{
	if (!ep->cache)
		return;
	for (int i = x->in.part_count - 1; i >= 0; i--) {
		const struct prompt_part *p = &x->in.parts[i];

		if (state == PART_DROPPED)
			cache_view_forget_sent(ep->cache, p->id);
		else
			cache_view_use(ep->cache, p->id, p->tokens, state == PART_READY);
		peers_note_part(x->entry->peers, ep, p->id, p->tokens, state);
	}
}

void generation_read(struct exchange *x)
{
	struct attempt *a = &x->attempt;

	if (!a->reading)
		return;
	a->reading = false;
	if (a->read_tokens)
		engine_speed_learn(&x->service->speed,
				   &(struct speed_sample){
					   .prefill = a->work == WIRE_WORK_PREFILL,
					   .read_tokens = a->read_tokens,
					   .waited_tokens = a->waited_tokens,
					   .elapsed_ms = clock_boot_ms() - a->sent_ms,
				   });
	attempt_read(x);
	note_parts(x, a->endpoint, PART_READY);
}

void generation_unread(struct exchange *x)
{
	struct attempt *a = &x->attempt;

	if (!a->reading)
		return;
	a->reading = false;
	note_parts(x, a->endpoint, PART_DROPPED);
}

struct finish_estimate *generation_finish(const struct exchange *x)
{
	return &x->service->finish[exchange_urgency(x)];
}

static void write_events(struct exchange *x, struct str bytes)
{
	struct buf out = { 0 };

	if (!x->answer_begun) {
		wire_response_encode(&out, x->attempt.head, -1, x->entry->stopping);
		x->answer_begun = true;
		x->first_ms = clock_boot_ms();
		if (!x->runs && !x->refused)
			finish_learn_first(generation_finish(x), x->choice.first_ms,
					   (double)(x->first_ms - x->begun_ms));
		histogram_add(HISTOGRAM_FIRST_TOKEN, x->first_ms - x->begun_ms);
	}
	buf_printf(&out, "%zx\r\n", bytes.len);
	buf_append_str(&out, bytes);
	buf_append(&out, "\r\n", 2);
	caller_write(x->caller, buf_str(&out));
	buf_free(&out);
}

/*
 * Whole events with ids that follow one another are passed on; the bytes of an unfinished event
 * are not, so that a generation can go on elsewhere after the last whole one.
 */
static bool take_events(struct exchange *x)
{
	struct stream_event ev;
	struct buf out = { 0 };
	bool in_order = true;

	while (in_order && event_stream_next(&x->events, &ev)) {
		if (ev.has_id) {
			if (ev.id <= x->last_event)
				continue;
			in_order = x->last_event < 0 || ev.id == x->last_event + 1;
			if (!in_order)
				break;
			x->last_event = ev.id;
		}
		x->events_given++;
		buf_append_str(&out, ev.raw);
	}
	if (out.len)
		write_events(x, buf_str(&out));
	buf_free(&out);
	return in_order;
}

void generation_body(struct exchange *x, struct str bytes)
{
	struct endpoint *ep = x->attempt.endpoint;

	generation_read(x);
	event_stream_feed(&x->events, bytes);
	if (take_events(x))
		return;
	log_warn("stream-out-of-order", "request=%s endpoint=%s last_event=%" PRId64, x->in.id,
		 ep->entry.id, x->last_event);
	endpoint_result(ep, false);
	exchange_note(x, ep, "out-of-order");
	attempt_end(x);
	event_stream_reset(&x->events);
	x->runs++;
	attempt_again(x, "stream-out-of-order");
}

void generation_end(struct exchange *x)
{
	struct endpoint *ep = x->attempt.endpoint;

	x->runs++;
	if (event_stream_partial(&x->events) || !x->events_given) {
		endpoint_result(ep, false);
		exchange_note(x, ep, "truncated");
		attempt_end(x);
		event_stream_reset(&x->events);
		attempt_again(x, "stream-truncated");
		return;
	}
	endpoint_result(ep, true);
	exchange_note(x, ep, "streamed");
	caller_write(x->caller, STR_LIT("0\r\n\r\n"));
	finish_learn(generation_finish(x), (double)(clock_boot_ms() - x->first_ms));
	stage_demand_learn(&x->service->demand, x->in.output_tokens, x->events_given,
			   (double)(clock_boot_ms() - x->first_ms));
	exchange_served(x);
}

static void on_dropped(void *ctx, const struct http_result *r)
{
	/* The engine frees the cache by itself some seconds later. */
	if (r->status != 200)
		log_debug("cache-drop-failed", "status=%d", r->status);
}

/* Limits of the call that frees a cache, in milliseconds. */
#define DROP_CONNECT_MS 300
#define DROP_SILENCE_MS 1000

void generation_drop_cache(struct exchange *x)
{
	struct buf request = { 0 };
	char address[32];

	/* Events, or an answer, show that the cache has been taken. */
	if (!x->cache_source[0] || x->answer_begun) {
		x->cache_source[0] = '\0';
		return;
	}
	x->cache_source[0] = '\0';
	http_address_format(&x->cache_owner, address);
	wire_handle_drop(&request, address, x->cache_handle);
	http_collect_start(x->entry->endpoint_client,
			   &(struct http_exchange_spec){
				   .to = x->cache_owner,
				   .request = buf_str(&request),
				   .connect_ms = DROP_CONNECT_MS,
				   .silence_ms = DROP_SILENCE_MS,
			   },
			   on_dropped, NULL);
	buf_free(&request);
}

/* Leading tokens of the prompt at an engine: kept or on their way, and kept now. */
static void cached_tokens(const struct exchange *x, const struct endpoint *ep,
			  struct place_engine *out)
{
	bool all_ready = true;

	out->cached_tokens = 0;
	out->ready_tokens = 0;
	for (int i = 0; ep->cache && i < x->in.part_count; i++) {
		bool ready;
		int64_t kept = cache_view_has(ep->cache, x->in.parts[i].id, &ready);

		if (!kept)
			break;
		all_ready = all_ready && ready;
		out->cached_tokens += kept;
		if (all_ready)
			out->ready_tokens += kept;
	}
	if (out->cached_tokens > x->in.prompt_tokens)
		out->cached_tokens = x->in.prompt_tokens;
	if (out->ready_tokens > x->in.prompt_tokens)
		out->ready_tokens = x->in.prompt_tokens;
}

/* The last part belongs to the request itself; the one before it is what others share. */
static uint64_t home_key(const struct exchange *x)
{
	int n = x->in.part_count;

	return n > 1 ? x->in.parts[n - 2].id : n ? x->in.parts[0].id : 0;
}

static int64_t shared_tokens(const struct exchange *x)
{
	int64_t sum = 0;

	for (int i = 0; i + 1 < x->in.part_count; i++)
		sum += x->in.parts[i].tokens;
	return sum;
}

static struct place_engine view(const struct exchange *x, const struct endpoint *ep, int64_t now_ms)
{
	struct place_engine v = {
		.stage = ep->entry.stage,
		.dc = ep->dc,
		.usable = endpoint_open(ep, now_ms) && !exchange_tried(x, ep),
		.backlog_tokens = ep->backlog_tokens + ep->others_backlog,
		.active = ep->active + ep->others_active,
		.slots = ep->entry.slots,
		.penalty_ms = FAILING_MS * endpoint_failing(x->entry, ep, now_ms),
		.home_score = hash_mix(home_key(x), ep->hash),
	};

	cached_tokens(x, ep, &v);
	return v;
}

static void charge(struct exchange *x, struct endpoint *ep, int64_t tokens)
{
	/* attempt_start() has just made the attempt that carries the charge. */
	x->attempt.charged_tokens = tokens;
	x->attempt.read_tokens = tokens;
	x->attempt.waited_tokens = ep->backlog_tokens + ep->others_backlog;
	ep->backlog_tokens += tokens;
	x->attempt.reading = true;
	note_parts(x, ep, PART_SENT);
}

/*
 * Engines of the request's service as they look to it, with @near only those of this data centre;
 * @eps gets the endpoints in order.
 */
static int view_all(const struct exchange *x, bool near, int64_t now_ms,
		    struct place_engine *engines, struct endpoint **eps)
{
	struct cds_list_head *list = near ? &x->service->here : &x->service->endpoints;
	struct cds_list_head *link;
	int count = 0;

	cds_list_for_each(link, list) {
		struct endpoint *ep = service_endpoint(link, near);

		if (count == ENGINES_MAX)
			break;
		eps[count] = ep;
		engines[count++] = view(x, ep, now_ms);
	}
	return count;
}

static struct place_request request_of(const struct exchange *x)
{
	return (struct place_request){ .prompt_tokens = x->in.prompt_tokens,
				       .shared_tokens = shared_tokens(x) };
}

static bool start_decode(struct exchange *x, struct endpoint *ep)
{
	if (!attempt_start(x, ep, WIRE_WORK_RUN, NULL))
		return false;
	x->cache_offers++;
	x->attempt.reading = true;
	note_parts(x, ep, PART_SENT);
	return true;
}

bool generation_other_decode(struct exchange *x)
{
	struct place_engine engines[ENGINES_MAX];
	struct endpoint *eps[ENGINES_MAX];
	struct place_request r = request_of(x);
	int count, prefill = -1, at;

	if (!x->cache_source[0] || x->cache_offers >= CACHE_OFFERS_MAX || x->runs)
		return false;
	count = view_all(x, x->service->near && x->decode && !x->decode->dc, clock_boot_ms(),
			 engines, eps);
	for (int i = 0; i < count; i++) {
		if (eps[i]->address.ip == x->cache_owner.ip &&
		    eps[i]->address.port == x->cache_owner.port)
			prefill = i;
	}
	if (prefill < 0)
		return false;
	at = place_decode(engines, count, &r, &x->service->speed, &x->entry->settings.place,
			  prefill);
	return at >= 0 && start_decode(x, eps[at]);
}

static bool in_time(const struct exchange *x, int64_t now_ms)
{
	const struct routing_rule *r = x->rule;
	struct finish_limits limits = { .left_ms = (double)(x->deadline_ms - now_ms) };

	limits.patience_ms = fmax(PATIENCE_MIN_MS, (double)(PATIENCE_TARGETS * r->target_ms));
	limits.patience_ms = fmax(limits.patience_ms, (double)(PATIENCE_GAPS * r->gap_ms));
	return finish_fits(generation_finish(x), x->choice.first_ms, &limits);
}

bool generation_place(struct exchange *x, int64_t now_ms)
{
	struct place_engine engines[ENGINES_MAX];
	struct endpoint *eps[ENGINES_MAX];
	const struct settings *s = &x->entry->settings;
	struct place_request r = request_of(x);
	struct endpoint *first;
	bool near = x->service->near;
	int count = view_all(x, near, now_ms, engines, eps);
	bool placed = place_pick(engines, count, &r, &x->service->speed, &s->place, &x->choice);

	/* The other data centres help out when the engines here are behind or gone. */
	if (near && (!placed || !in_time(x, now_ms))) {
		count = view_all(x, false, now_ms, engines, eps);
		placed = place_pick(engines, count, &r, &x->service->speed, &s->place, &x->choice);
	}
	if (!placed)
		return false;
	if (!x->sends)
		stage_demand_arrival(&x->service->demand,
				     (double)x->choice.read_tokens /
					     x->service->speed.prefill_per_ms,
				     x->in.output_tokens, x->spec->engine.slots, now_ms);
	if (!x->sends && !in_time(x, now_ms)) {
		exchange_refuse(x, "too-late", (int64_t)x->choice.first_ms / 2);
		return true;
	}
	if (x->decode)
		endpoint_put(x->decode);
	x->decode = eps[x->choice.decode];
	x->decode->refs++;
	first = x->choice.prefill >= 0 ? eps[x->choice.prefill] : x->decode;
	if (!attempt_start(x, first, x->choice.prefill >= 0 ? WIRE_WORK_PREFILL : WIRE_WORK_RUN,
			   x->choice.fetch >= 0 ? eps[x->choice.fetch] : NULL)) {
		exchange_give_up(x, "retry-budget", 0);
		return true;
	}
	log_info("placed",
		 "request=%s endpoint=%s decode=%s fetch=%s prompt=%" PRId64 " read=%" PRId64
		 " backlog=%" PRId64 " others_backlog=%" PRId64 " active=%d expected_ms=%.0f "
		 "left_ms=%" PRId64 " list_version=%" PRId64,
		 x->in.id, first->entry.id, x->decode->entry.id,
		 x->choice.fetch >= 0 ? eps[x->choice.fetch]->entry.id : "-", x->in.prompt_tokens,
		 x->choice.read_tokens, first->backlog_tokens, first->others_backlog,
		 first->active + first->others_active, x->choice.first_ms, x->deadline_ms - now_ms,
		 first->entry.version);
	charge(x, first, x->choice.read_tokens);
	return true;
}

void generation_prefilled(struct exchange *x)
{
	struct endpoint *ep = x->attempt.endpoint;
	char handle[96];

	if (x->attempt.response.status == 200)
		generation_read(x);
	if (x->attempt.response.status != 200 ||
	    !wire_handle_decode(buf_str(&x->attempt.body), handle, sizeof(handle))) {
		endpoint_result(ep, false);
		exchange_note(x, ep, "no-handle");
		attempt_end(x);
		attempt_again(x, "prefill-failed");
		return;
	}
	endpoint_result(ep, true);
	exchange_note(x, ep, "prefilled");
	snprintf(x->cache_source, sizeof(x->cache_source), "%s/%s", ep->entry.address, handle);
	snprintf(x->cache_handle, sizeof(x->cache_handle), "%s", handle);
	x->cache_owner = ep->address;
	attempt_end(x);
	if (!x->decode || !endpoint_open(x->decode, clock_boot_ms())) {
		generation_drop_cache(x);
		attempt_again(x, "decode-engine-gone");
		return;
	}
	x->cache_offers = 0;
	if (!start_decode(x, x->decode))
		exchange_give_up(x, "retry-budget", 0);
}
