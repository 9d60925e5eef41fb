#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

extern "C" {
#include "ibisgate/policy/place.h"
}

namespace
{

const struct place_speed speed = {
	.prefill_per_ms = 48, .mixed_per_ms = 24, .overhead_ms = 30, .transfer_per_ms = 1500
};
const struct place_costs costs = {
	.remote_ms = 12,
	.handoff_ms = 15,
	.fetch_ms = 8,
	.move_token_ms = 0.002,
	.home_ms = 60,
	.work_weight = 0.5,
	.disturb_weight = 0.15,
};
const struct place_request prompt = { .prompt_tokens = 17000, .shared_tokens = 13300, .dc = 0 };

struct place_engine engine(enum engine_stage stage, int dc = 0)
{
	struct place_engine e = {};

	e.stage = stage;
	e.dc = dc;
	e.usable = true;
	e.slots = 64;
	return e;
}

struct place_choice pick(const std::vector<struct place_engine> &e,
			 const struct place_request &r = prompt)
{
	struct place_choice c = { -1, -1, -1, -1, -1 };

	EXPECT_TRUE(place_pick(e.data(), (int)e.size(), &r, &speed, &costs, &c));
	return c;
}

/* Engines of two stages and some data centres; loads and kept parts repeat, so that there are ties.
 */
std::vector<struct place_engine> many_engines(std::mt19937 &rng, int count, int dcs)
{
	std::vector<struct place_engine> out;

	for (int i = 0; i < count; i++) {
		struct place_engine e = engine(rng() % 3 ? STAGE_PREFILL : STAGE_DECODE,
					       (int)(rng() % (unsigned)dcs));

		e.usable = rng() % 8 != 0;
		e.backlog_tokens = (int64_t)(rng() % 4) * 9000;
		e.active = (int)(rng() % 5) * 13;
		e.cached_tokens = rng() % 3 ? 0 : 13300;
		e.ready_tokens = rng() % 2 ? e.cached_tokens : 0;
		e.home_score = rng();
		out.push_back(e);
	}
	return out;
}

/* Time of the fastest of many decisions: other processes only add to it. */
double decision_ns(int count)
{
	/* Alike, so that the processor's branch predictor does as well with few as with many. */
	std::vector<struct place_engine> e((size_t)count, engine(STAGE_PREFILL));
	double best = 1e18;

	e.back().stage = STAGE_DECODE;

	for (int i = 0; i < 100; i++) {
		auto from = std::chrono::steady_clock::now();
		pick(e);
		double ns = std::chrono::duration<double, std::nano>(
				    std::chrono::steady_clock::now() - from)
				    .count();
		best = std::min(best, ns);
	}
	return best;
}

} // namespace

/* Load: prompts that share a long part. Guards against reading it again beside its engine. */
TEST(Place, GoesWhereThePromptIsKeptAlsoInAnotherDataCentre)
{
	std::vector<struct place_engine> e = { engine(STAGE_DECODE), engine(STAGE_DECODE, 1),
					       engine(STAGE_DECODE) };

	e[1].cached_tokens = e[1].ready_tokens = 13300;
	struct place_choice c = pick(e);
	EXPECT_EQ(c.decode, 1);
	EXPECT_EQ(c.prefill, -1);
	EXPECT_EQ(c.read_tokens, 3700);
}

/* Load: one part is asked for more than its engine can read. Guards against a queue there. */
TEST(Place, CopiesKeptPartsToAnIdleEngineWhenTheirEngineIsBusy)
{
	std::vector<struct place_engine> e = { engine(STAGE_DECODE), engine(STAGE_DECODE) };

	e[0].cached_tokens = e[0].ready_tokens = 13300;
	e[0].backlog_tokens = 20000;
	struct place_choice c = pick(e);
	EXPECT_EQ(c.decode, 1);
	EXPECT_EQ(c.fetch, 0);
	EXPECT_EQ(c.read_tokens, 3700);
}

/*
 * Load: a cold start, many requests for one part within its reading time. Guards against copies
 * from an engine that has not read it (darnau-gw, where this doubled the tokens read).
 */
TEST(Place, PartsThatAreStillBeingReadAreWaitedForNotCopied)
{
	std::vector<struct place_engine> e = { engine(STAGE_DECODE), engine(STAGE_DECODE) };

	e[0].cached_tokens = 13300;
	e[0].backlog_tokens = 8000;
	struct place_choice c = pick(e);
	EXPECT_EQ(c.decode, 0);
	EXPECT_EQ(c.fetch, -1);
	e[0].backlog_tokens = 100000;
	c = pick(e);
	EXPECT_EQ(c.decode, 1);
	EXPECT_EQ(c.fetch, -1);
	EXPECT_EQ(c.read_tokens, 17000);
}

/* Load: generations in progress everywhere. Guards against prompts that hold up their tokens. */
TEST(Place, LongPromptsAreReadApartWhereEnginesGenerate)
{
	std::vector<struct place_engine> e = { engine(STAGE_DECODE), engine(STAGE_PREFILL) };

	e[0].active = 20;
	struct place_choice c = pick(e);
	EXPECT_EQ(c.prefill, 1);
	EXPECT_EQ(c.decode, 0);
	/* A prompt that is nearly all kept is not worth a second call. */
	e[0].cached_tokens = e[0].ready_tokens = 16900;
	EXPECT_EQ(pick(e).prefill, -1);
}

/* Guards against instances that read one new part on several engines at the same time. */
TEST(Place, InstancesAgreeOnTheHomeOfANewPart)
{
	for (int self = 0; self < 3; self++) {
		std::vector<struct place_engine> e;
		struct place_request r = prompt;

		r.dc = self;
		for (int i = 0; i < 9; i++) {
			e.push_back(engine(STAGE_DECODE, i % 3));
			e.back().home_score = (uint64_t)(i * 7919 % 97);
		}
		/* 7919 * 8 mod 97 is the highest of them. */
		int home = 0;
		for (int i = 0; i < 9; i++)
			home = e[(size_t)i].home_score > e[(size_t)home].home_score ? i : home;
		EXPECT_EQ(pick(e, r).decode, home);
	}
}

/* Guards against work for engines that are leaving, failing or full. */
TEST(Place, AvoidsUnusableFailingAndFullEngines)
{
	std::vector<struct place_engine> e = { engine(STAGE_DECODE), engine(STAGE_DECODE),
					       engine(STAGE_DECODE), engine(STAGE_DECODE) };
	struct place_choice c;

	e[0].usable = false;
	e[1].penalty_ms = 800;
	e[2].active = 64;
	EXPECT_EQ(pick(e).decode, 3);
	for (auto &x : e)
		x.usable = false;
	EXPECT_FALSE(place_pick(e.data(), 4, &prompt, &speed, &costs, &c));
	/* Engines that only prefill can't answer alone. */
	std::vector<struct place_engine> p = { engine(STAGE_PREFILL) };
	EXPECT_FALSE(place_pick(p.data(), 1, &prompt, &speed, &costs, &c));
}

/* Guards against a cut-off data centre that waits for engines it can't reach. */
TEST(Place, NearEnginesAreTakenWhenAllElseIsEqual)
{
	std::vector<struct place_engine> e = { engine(STAGE_DECODE, 1), engine(STAGE_DECODE, 0) };
	struct place_request small = { .prompt_tokens = 300, .shared_tokens = 0, .dc = 0 };

	e[0].home_score = 0;
	e[1].home_score = 1;
	EXPECT_EQ(pick(e, small).decode, 1);
}

/* Guards against a small deployment that can't use what other data centres keep, and the reverse.
 */
TEST(Place, LargeDeploymentsKeepToTheEnginesOfTheirDataCentre)
{
	const struct place_scope scope = { .engines_min = 24, .instances_min = 64 };

	EXPECT_FALSE(place_near(&scope, 5, 18, 5));
	EXPECT_FALSE(place_near(&scope, 35, 140, 29));
	EXPECT_TRUE(place_near(&scope, 75, 300, 100));
	EXPECT_FALSE(place_near(&scope, 5, 300, 100));
	/* A single data centre has no others to keep away from. */
	EXPECT_FALSE(place_near(&scope, 140, 140, 100));
}

/*
 * Load: thousands of engines. Guards against a decision that looks at all engines again for each
 * of them: at 750 engines in a data centre it took milliseconds.
 */
TEST(Place, DecisionTakesTimeInProportionToTheEngines)
{
	/* 4 times the engines; 16 times the time and more when each looks at all others. */
	EXPECT_LT(decision_ns(2000) / decision_ns(500), 8.0);
}

/*
 * Guards against a choice that depends on how its parts are remembered: with data centres beyond
 * those that are remembered the choice is the same as with the same ones renumbered.
 */
TEST(Place, NumbersOfDataCentresDoNotChangeTheChoice)
{
	for (unsigned seed = 1; seed <= 300; seed++) {
		std::mt19937 rng(seed);
		std::vector<struct place_engine> e = many_engines(rng, 60, 5);
		struct place_choice a = pick(e);

		for (struct place_engine &one : e)
			one.dc = one.dc ? one.dc + 100 : 0;
		struct place_choice b = pick(e);
		EXPECT_EQ(a.prefill, b.prefill) << "seed " << seed;
		EXPECT_EQ(a.decode, b.decode) << "seed " << seed;
		EXPECT_EQ(a.fetch, b.fetch) << "seed " << seed;
		EXPECT_DOUBLE_EQ(a.first_ms, b.first_ms) << "seed " << seed;
	}
}
