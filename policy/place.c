#include <float.h>

#include "ibisgate/policy/place.h"

/*
 * Share of the slots in use from which an engine's delay grows, and the delay of an engine that
 * is full, in milliseconds: a full engine makes a request wait for a whole generation.
 */
#define SLOTS_EASY 0.5
#define SLOTS_FULL_MS 400.0

/* A fetch that saves fewer tokens than this costs more calls than it saves work. */
#define FETCH_MIN_TOKENS 512

/* Data centres whose choices are remembered during a decision; others are looked at each time. */
#define PLACE_DCS_MAX 40

/** struct reading - how one engine would get a prompt into its cache */
struct reading {
	int fetch;
	int64_t read_tokens;
	double ms;
	double cost;
};

/**
 * struct handoff - engine that goes on with a prompt that another one has read
 * @ms: until it has taken the cache over
 */
struct handoff {
	int decode;
	double ms;
	double cost;
};

/**
 * struct dc_choice - what is the same for all engines of a data centre that could read a prompt
 * @source: engine to copy kept parts from; -1 for none
 */
struct dc_choice {
	bool known;
	int dc;
	int source;
	struct handoff handoff;
};

bool place_near(const struct place_scope *s, int near, int total, int instances)
{
	return instances >= s->instances_min && near >= s->engines_min && near < total;
}

static int find_home(const struct place_engine *e, int count)
{
	int home = -1;

	for (int i = 0; i < count; i++) {
		if (e[i].usable && (home < 0 || e[i].home_score > e[home].home_score))
			home = i;
	}
	return home;
}

/*
 * The engine that keeps most of the prompt; of equals one in data centre @dc. Of several of those
 * the first one.
 */
static int find_source(const struct place_engine *e, int count, int dc)
{
	int best = -1;

	for (int i = 0; i < count; i++) {
		if (!e[i].usable || !e[i].ready_tokens)
			continue;
		if (best < 0 || e[i].ready_tokens > e[best].ready_tokens ||
		    (e[i].ready_tokens == e[best].ready_tokens && e[i].dc == dc &&
		     e[best].dc != dc))
			best = i;
	}
	return best;
}

static double crowd_ms(const struct place_engine *e)
{
	double used = e->slots > 0 ? (double)e->active / e->slots : 1;

	if (used <= SLOTS_EASY)
		return 0;
	return SLOTS_FULL_MS * (used - SLOTS_EASY) / (1 - SLOTS_EASY);
}

static struct reading read_at(const struct place_engine *e, int count, int at, int source,
			      const struct place_request *r, const struct place_speed *s,
			      const struct place_costs *c)
{
	double rate = e[at].stage == STAGE_PREFILL ? s->prefill_per_ms : s->mixed_per_ms;
	int64_t missing = r->prompt_tokens - e[at].cached_tokens;
	struct reading out = { .fetch = -1, .read_tokens = missing > 0 ? missing : 0 };
	int64_t gain = source >= 0 ? e[source].ready_tokens - e[at].cached_tokens : 0;
	double hops = source >= 0 && e[source].dc != e[at].dc ? 2 : 1;
	double move_ms = c->fetch_ms + (double)gain * hops / s->transfer_per_ms;
	double move_cost = (double)gain * hops * c->move_token_ms;
	double work;

	if (gain >= FETCH_MIN_TOKENS && move_ms + move_cost < (double)gain / rate) {
		out.fetch = source;
		out.read_tokens -= gain;
		out.ms += move_ms;
		out.cost += move_cost;
	}
	work = (double)out.read_tokens / rate;
	out.ms += (double)e[at].backlog_tokens / rate + work + crowd_ms(&e[at]);
	out.cost += out.ms + work * c->work_weight + e[at].penalty_ms;
	/* Each token of the generations in progress waits for a piece of the prompt. */
	if (e[at].stage == STAGE_DECODE)
		out.cost += work * c->disturb_weight * e[at].active;
	return out;
}

/* Engine in reach of data centre @dc that takes over a filled cache, with few requests. */
static struct handoff find_decode(const struct place_engine *e, int count,
				  const struct place_request *r, const struct place_speed *s,
				  const struct place_costs *c, int dc)
{
	struct handoff out = { .decode = -1, .cost = DBL_MAX };

	for (int i = 0; i < count; i++) {
		double hops = e[i].dc != dc ? 2 : 1;
		double wait, sum;

		if (!e[i].usable || e[i].stage != STAGE_DECODE)
			continue;
		wait = (double)r->prompt_tokens * hops / s->transfer_per_ms + crowd_ms(&e[i]);
		sum = wait + (double)r->prompt_tokens * hops * c->move_token_ms +
		      (e[i].dc != r->dc ? c->remote_ms : 0) + e[i].penalty_ms +
		      /* Prefill between the tokens of others slows the generation. */
		      (double)e[i].backlog_tokens / s->mixed_per_ms / 4;
		if (sum < out.cost)
			out = (struct handoff){ .decode = i, .ms = wait, .cost = sum };
	}
	return out;
}

/* Looks for a data centre once, so that a decision takes time in proportion to the engines. */
static const struct dc_choice *choice_of(struct dc_choice *known, const struct place_engine *e,
					 int count, const struct place_request *r,
					 const struct place_speed *s, const struct place_costs *c,
					 int dc)
{
	struct dc_choice *out = &known[dc >= 0 && dc < PLACE_DCS_MAX ? dc : PLACE_DCS_MAX];

	if (out->known && out->dc == dc)
		return out;
	*out = (struct dc_choice){
		.known = true,
		.dc = dc,
		.source = find_source(e, count, dc),
		.handoff = find_decode(e, count, r, s, c, dc),
	};
	return out;
}

bool place_pick(const struct place_engine *engines, int count, const struct place_request *r,
		const struct place_speed *speed, const struct place_costs *costs,
		struct place_choice *out)
{
	struct dc_choice choices[PLACE_DCS_MAX + 1] = { 0 };
	int home = find_home(engines, count);
	double best = DBL_MAX;

	for (int i = 0; i < count; i++) {
		const struct place_engine *e = &engines[i];
		const struct dc_choice *here;
		struct reading reading;
		double cost;
		int source;
		bool kept;

		if (!e->usable || e->stage == STAGE_NONE)
			continue;
		here = choice_of(choices, engines, count, r, speed, costs, e->dc);
		source = here->source;
		kept = source >= 0 && engines[source].ready_tokens * 2 >= r->shared_tokens;
		reading = read_at(engines, count, i, source, r, speed, costs);
		cost = reading.cost + (e->dc != r->dc ? costs->remote_ms : 0);
		if (i == home && !kept)
			cost -= costs->home_ms;
		if (e->stage == STAGE_DECODE) {
			if (cost >= best)
				continue;
			best = cost;
			*out = (struct place_choice){
				.prefill = -1,
				.decode = i,
				.fetch = reading.fetch,
				.read_tokens = reading.read_tokens,
				.first_ms = reading.ms + speed->overhead_ms,
			};
		} else {
			const struct handoff *next = &here->handoff;

			if (next->decode < 0)
				continue;
			cost += next->cost + costs->handoff_ms;
			if (cost >= best)
				continue;
			best = cost;
			*out = (struct place_choice){
				.prefill = i,
				.decode = next->decode,
				.fetch = reading.fetch,
				.read_tokens = reading.read_tokens,
				.first_ms = reading.ms + next->ms + speed->overhead_ms,
			};
		}
	}
	return best < DBL_MAX;
}

int place_decode(const struct place_engine *engines, int count, const struct place_request *r,
		 const struct place_speed *speed, const struct place_costs *costs, int prefill)
{
	return find_decode(engines, count, r, speed, costs, engines[prefill].dc).decode;
}
