#include <float.h>
#include <math.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/policy/place.h"

/*
 * The expected delay of an engine grows with the cube of the used slots, from 0 at this fraction to
 * SLOTS_FULL_MS at full use, where a request waits until a whole generation ends.
 */
#define SLOTS_FREE_FRACTION 0.5
#define SLOTS_FULL_MS 400.0

/*
 * Fraction of the longest pause that callers accept which a placement may use. The rest is left to
 * prompts that arrive at the engine during the same pause.
 */
#define PAUSE_USABLE_FRACTION 0.75

/*
 * Costs that differ by less than this part of the time between two reports of load are treated as
 * nearly equal: all instances share the same delayed view, and would choose the same engine.
 */
#define SPREAD_FRACTION 0.17

/*
 * Cost of a decode engine whose slots are all used, growing evenly with their use, in milliseconds:
 * each generation in progress makes the steps of the others longer.
 */
#define SLOTS_USED_MS 10.0

/*
 * Weight of the time that a slower engine adds to a whole answer: callers judge each pause more
 * than the sum of them.
 */
#define GENERATE_WEIGHT 0.5

/* For fewer tokens, the calls of a fetch cost more than the prefill that it saves. */
#define FETCH_MIN_TOKENS 512

/* Data centres whose results are cached during a placement; others are computed for each engine. */
#define PLACE_DCS_MAX 40

/**
 * struct prefill_plan - how one engine would get a prompt into its KV cache
 * @fetch: engine to copy cached KV blocks from; -1 for none
 * @read_tokens: tokens that it has to prefill
 * @ms: expected time until the prompt is in the cache: the sum of @queue_ms, @slots_ms, @work_ms
 *and
 *	@move_ms
 * @cost: weighted cost in milliseconds
 */
struct prefill_plan {
	int fetch;
	int64_t read_tokens;
	double queue_ms;
	double slots_ms;
	double work_ms;
	double move_ms;
	double ms;
	double cost;
};

/**
 * struct handoff - decode engine for a prompt that another engine has prefilled
 * @decode: index of the engine; -1 for none
 * @ms: expected time until it has received the KV cache
 * @cost: weighted cost in milliseconds
 */
struct handoff {
	int decode;
	double ms;
	double cost;
};

/**
 * struct dc_plan - results that are the same for all prefilling engines of one data centre
 * @computed: the other fields are valid
 * @source: engine to copy cached KV blocks from; -1 for none
 */
struct dc_plan {
	bool computed;
	int dc;
	int source;
	struct handoff handoff;
};

bool place_is_local_only(const struct place_local_limits *s, int near, int total, int instances)
{
	return instances >= s->instances_min && near >= s->engines_min && near < total;
}

/* Prefill engines come first: on a decode engine, reading a new prefix would take twice as long. */
static bool is_better_home(const struct place_engine *e, const struct place_engine *home)
{
	if (e->stage != home->stage)
		return e->stage == STAGE_PREFILL;
	return e->home_score > home->home_score;
}

static int find_home(const struct place_engine *e, int count)
{
	int home = -1;

	for (int i = 0; i < count; i++) {
		if (e[i].usable && (home < 0 || is_better_home(&e[i], &e[home])))
			home = i;
	}
	return home;
}

/*
 * Finds the engine that has the longest prefix of the prompt cached. Ties go to an engine in data
 * centre @dc, then to the lowest index.
 */
static int find_source(const struct place_engine *e, int count, int dc)
{
	int best = -1;

	for (int i = 0; i < count; i++) {
		if (!(e[i].usable || e[i].fetch_only) || !e[i].ready_tokens)
			continue;
		if (best < 0 || e[i].ready_tokens > e[best].ready_tokens ||
		    (e[i].ready_tokens == e[best].ready_tokens && e[i].dc == dc &&
		     e[best].dc != dc))
			best = i;
	}
	return best;
}

static double used_fraction(const struct place_engine *e)
{
	return e->request_slots > 0 ? (double)e->active_requests / e->request_slots : 1;
}

/* Expected delay due to the slots in use. */
static double slots_delay_ms(const struct place_engine *e)
{
	double scarcity = (used_fraction(e) - SLOTS_FREE_FRACTION) / (1 - SLOTS_FREE_FRACTION);

	if (scarcity <= 0)
		return 0;
	return SLOTS_FULL_MS * scarcity * scarcity * scarcity;
}

/*
 * Cost that decides between engines which are nearly equal.
 *
 * Load: more instances than engines place requests between two reports of each other's load. With
 * the first engine as their common choice, one decode engine of 28 got a third of all generations.
 */
static double spread_cost(const struct place_engine *e, const struct place_request *r)
{
	if (r->report_ms <= 0)
		return 0;
	return SPREAD_FRACTION * r->report_ms *
	       (double)(hash_mix(r->spread_seed, e->home_score) >> 32) / UINT32_MAX;
}

/* A decode engine holds the tokens that it generates as well as the prompt. */
static bool has_room(const struct place_engine *e, const struct place_request *r)
{
	int64_t output_tokens = e->stage == STAGE_DECODE ? r->output_tokens : 0;

	return endpoint_memory_has_room(&e->memory,
					endpoint_memory_tokens(r->prompt_tokens, output_tokens));
}

static double slowness(double value)
{
	return value > 0 ? value : 1;
}

/* Prompt tokens that the engine prefills per millisecond. */
static double read_rate(const struct place_engine *e, const struct place_speed *s)
{
	return (e->stage == STAGE_PREFILL ? s->prefill_per_ms : s->mixed_per_ms) /
	       slowness(e->read_slowness);
}

/*
 * Cost of the time that the engine's generations take longer than those of others, negative where
 * they take less.
 */
static double generate_cost(const struct place_engine *e, const struct place_request *r,
			    const struct place_speed *s)
{
	return GENERATE_WEIGHT * r->events * s->event_interval_ms *
	       (slowness(e->generate_slowness) - 1);
}

/*
 * Number of generations on a decode engine that would pause for too long if it prefilled
 * @read_tokens. An event waits for all prefill work that comes before its last token.
 */
static int stalled_generations(const struct place_engine *e, int64_t read_tokens,
			       const struct place_request *r, const struct place_speed *s)
{
	double prefill_ms = (double)(e->backlog_tokens + read_tokens) / read_rate(e, s);
	double interval_ms =
		fmax(e->event_interval_ms, s->event_interval_ms * slowness(e->generate_slowness));

	if (r->gap_ms <= 0 || interval_ms + prefill_ms <= PAUSE_USABLE_FRACTION * r->gap_ms)
		return 0;
	return e->active_requests;
}

/* Leading tokens of the prompt that the engine has cached, or is expected to have. */
static int64_t cached_tokens(const struct place_engine *e, bool is_home,
			     const struct place_request *r)
{
	if (is_home && e->cache_unknown && r->shared_tokens > e->cached_tokens)
		return r->shared_tokens;
	return e->cached_tokens;
}

static struct prefill_plan prefill_plan_for(const struct place_engine *e, int home, int engine,
					    int source, const struct place_request *r,
					    const struct place_speed *s,
					    const struct place_costs *c)
{
	double rate = read_rate(&e[engine], s);
	int64_t cached = cached_tokens(&e[engine], engine == home, r);
	int64_t uncached_tokens = r->prompt_tokens - cached;
	struct prefill_plan out = { .fetch = -1,
				    .read_tokens = uncached_tokens > 0 ? uncached_tokens : 0 };
	int64_t fetchable_tokens = source >= 0 ? e[source].ready_tokens - cached : 0;
	double hops = source >= 0 && e[source].dc != e[engine].dc ? 2 : 1;
	double move_ms = c->fetch_ms + (double)fetchable_tokens * hops / s->transfer_per_ms;
	double move_cost = (double)fetchable_tokens * hops * c->move_token_ms;

	if (fetchable_tokens >= FETCH_MIN_TOKENS &&
	    move_ms + move_cost < (double)fetchable_tokens / rate) {
		out.fetch = source;
		out.read_tokens -= fetchable_tokens;
		out.move_ms = move_ms;
		out.cost += move_cost;
	}
	out.work_ms = (double)out.read_tokens / rate;
	out.queue_ms = (double)e[engine].backlog_tokens / rate;
	out.slots_ms = slots_delay_ms(&e[engine]);
	out.ms = out.move_ms + (out.queue_ms + out.work_ms + out.slots_ms);
	out.cost += out.ms + out.work_ms * c->work_weight + e[engine].penalty_ms;
	/* The prefill delays each token of the generations in progress. */
	if (e[engine].stage == STAGE_DECODE)
		out.cost += out.work_ms * c->disturb_weight * e[engine].active_requests +
			    r->target_ms * stalled_generations(&e[engine], out.read_tokens, r, s);
	return out;
}

/*
 * Finds the decode engine with the lowest cost for a prompt prefilled in data centre @dc. @figures,
 * one for each engine, receive what each would cost; NULL when nobody asks.
 */
static struct handoff find_decode(const struct place_engine *e, int count,
				  const struct place_request *r, const struct place_speed *s,
				  const struct place_costs *c, int dc,
				  struct place_figures *figures)
{
	struct handoff out = { .decode = -1, .cost = DBL_MAX };

	for (int i = 0; i < count; i++) {
		double hops = e[i].dc != dc ? 2 : 1;
		double delay_ms, total;

		if (!e[i].usable || e[i].stage != STAGE_DECODE || !has_room(&e[i], r))
			continue;
		delay_ms = (double)r->prompt_tokens * hops / s->transfer_per_ms +
			   slots_delay_ms(&e[i]);
		total = delay_ms + (double)r->prompt_tokens * hops * c->move_token_ms +
			(e[i].dc != r->dc ? c->remote_ms : 0) + e[i].penalty_ms +
			SLOTS_USED_MS * used_fraction(&e[i]) + spread_cost(&e[i], r) +
			generate_cost(&e[i], r, s) +
			/* Prefill work interleaved with decode steps slows the generation. */
			(double)e[i].backlog_tokens / read_rate(&e[i], s) / 4;
		if (figures) {
			figures[i].can_receive = true;
			figures[i].receive_ms = delay_ms;
			figures[i].receive_cost = total;
		}
		if (total < out.cost)
			out = (struct handoff){ .decode = i, .ms = delay_ms, .cost = total };
	}
	return out;
}

/* Computes each data centre's plan once, so that a placement is linear in the number of engines. */
static const struct dc_plan *dc_plan_get(struct dc_plan *plans, const struct place_engine *e,
					 int count, const struct place_request *r,
					 const struct place_speed *s, const struct place_costs *c,
					 int dc)
{
	struct dc_plan *out = &plans[dc >= 0 && dc < PLACE_DCS_MAX ? dc : PLACE_DCS_MAX];

	if (out->computed && out->dc == dc)
		return out;
	*out = (struct dc_plan){
		.computed = true,
		.dc = dc,
		.source = find_source(e, count, dc),
		.handoff = find_decode(e, count, r, s, c, dc, NULL),
	};
	return out;
}

static struct place_figures figures_of(const struct prefill_plan *plan, double cost,
				       const struct place_choice *choice)
{
	return (struct place_figures){
		.can_read = true,
		.queue_ms = plan->queue_ms,
		.slots_ms = plan->slots_ms,
		.work_ms = plan->work_ms,
		.fetch_ms = plan->move_ms,
		.cost = cost,
		.choice = *choice,
	};
}

static bool pick(const struct place_engine *engines, int count, const struct place_request *r,
		 const struct place_speed *speed, const struct place_costs *costs,
		 struct place_choice *out, struct place_figures *figures)
{
	struct dc_plan dc_plans[PLACE_DCS_MAX + 1] = { 0 };
	int home = find_home(engines, count);
	double best_cost = DBL_MAX;
	int full_engines = 0;

	*out = (struct place_choice){ .prefill = -1, .decode = -1, .fetch_source = -1 };
	for (int i = 0; i < count; i++) {
		const struct place_engine *e = &engines[i];
		const struct dc_plan *shared;
		struct place_choice choice;
		struct prefill_plan plan;
		double cost;
		int source;
		bool is_cached;

		if (!e->usable || e->stage == STAGE_NONE)
			continue;
		if (!has_room(e, r)) {
			full_engines++;
			continue;
		}
		shared = dc_plan_get(dc_plans, engines, count, r, speed, costs, e->dc);
		source = shared->source;
		/* The home engine is where a prefix from elsewhere is found again. */
		is_cached = source >= 0 && !engines[source].fetch_only &&
			    engines[source].ready_tokens * 2 >= r->shared_tokens;
		plan = prefill_plan_for(engines, home, i, source, r, speed, costs);
		cost = plan.cost + (e->dc != r->dc ? costs->remote_ms : 0) + spread_cost(e, r);
		if (i == home && !is_cached)
			cost -= costs->home_ms;
		if (e->stage == STAGE_DECODE) {
			cost += SLOTS_USED_MS * used_fraction(e) + generate_cost(e, r, speed);
			choice = (struct place_choice){
				.prefill = -1,
				.decode = i,
				.fetch_source = plan.fetch,
				.read_tokens = plan.read_tokens,
				.expected_first_token_ms = plan.ms + speed->overhead_ms,
			};
		} else {
			const struct handoff *target = &shared->handoff;

			if (target->decode < 0)
				continue;
			cost += target->cost + costs->handoff_ms;
			choice = (struct place_choice){
				.prefill = i,
				.decode = target->decode,
				.fetch_source = plan.fetch,
				.read_tokens = plan.read_tokens,
				.expected_first_token_ms =
					plan.ms + target->ms + speed->overhead_ms,
			};
		}
		if (figures)
			figures[i] = figures_of(&plan, cost, &choice);
		if (cost >= best_cost)
			continue;
		best_cost = cost;
		*out = choice;
	}
	out->full_engines = full_engines;
	return best_cost < DBL_MAX;
}

bool place_pick(const struct place_engine *engines, int count, const struct place_request *r,
		const struct place_speed *speed, const struct place_costs *costs,
		struct place_choice *out)
{
	return pick(engines, count, r, speed, costs, out, NULL);
}

bool place_pick_with_figures(const struct place_engine *engines, int count,
			     const struct place_request *r, const struct place_speed *speed,
			     const struct place_costs *costs, struct place_choice *out,
			     struct place_figures *figures)
{
	for (int i = 0; i < count; i++)
		figures[i] = (struct place_figures){ 0 };
	if (!pick(engines, count, r, speed, costs, out, figures))
		return false;
	if (out->prefill >= 0)
		find_decode(engines, count, r, speed, costs, engines[out->prefill].dc, figures);
	return true;
}

int place_choose_decode(const struct place_engine *engines, int count,
			const struct place_request *r, const struct place_speed *speed,
			const struct place_costs *costs, int prefill)
{
	return find_decode(engines, count, r, speed, costs, engines[prefill].dc, NULL).decode;
}
