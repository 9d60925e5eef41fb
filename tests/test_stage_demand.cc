#include <gtest/gtest.h>

#include <cmath>

extern "C" {
#include "ibisgate/policy/stage_demand.h"
}

namespace
{

constexpr int SLOTS = 64;
constexpr int ENGINES = 18;

/*
 * Request mix: requests per second, prefill time, events per generation, time between events and
 * allowed tokens (0 for no limit).
 */
struct mix {
	double per_s;
	double read_ms;
	int events;
	double pace_ms;
	int64_t tokens;
};

/* Feeds requests and completed generations for @seconds; returns the end time. */
int64_t simulate(struct stage_demand *d, const mix &m, double seconds, int64_t now)
{
	int64_t until = now + (int64_t)(seconds * 1000);

	for (double t = (double)now; t < (double)until; t += 1000 / m.per_s) {
		stage_demand_add_request(d, m.read_ms, m.tokens, SLOTS, (int64_t)t);
		struct stage_generation g = {};

		g.tokens = m.tokens;
		g.events = m.events;
		g.ms = (m.events - 1) * m.pace_ms;
		stage_demand_add_generation(d, &g);
	}
	return until;
}

} // namespace

/* Guards against a plan based on the first few requests. */
TEST(StageDemand, ShareIsUnknownAfterFewRequests)
{
	struct stage_demand d = {};

	simulate(&d, { 16, 60, 9, 37 }, 2, 0);
	EXPECT_FALSE(stage_demand_has_enough_samples(&d));
	simulate(&d, { 16, 60, 9, 37 }, 4, 2000);
	EXPECT_TRUE(stage_demand_has_enough_samples(&d));
}

/*
 * Guards against idle decode engines while prompts queue for prefill, and the reverse: with answers
 * eight times as long, decode needs more engines than prefill.
 */
TEST(StageDemand, ShareFollowsTheRequestMix)
{
	struct stage_demand prompts = {};
	struct stage_demand answers = {};

	simulate(&prompts, { 16, 60, 9, 37 }, 20, 0);
	simulate(&answers, { 16, 60, 72, 37 }, 20, 0);
	EXPECT_GT(stage_demand_share(&prompts), 0.7);
	EXPECT_LT(stage_demand_share(&answers), 0.45);
	EXPECT_GE(stage_demand_share(&answers), 0.2);
}

/* Guards against changes on short fluctuations; each change costs seconds of engine time. */
TEST(StageDemand, ShortFluctuationsCauseNoChange)
{
	struct stage_demand d = {};
	int64_t now = simulate(&d, { 16, 30, 40, 37 }, 40, 0);
	double target = stage_demand_share(&d);
	int changes = 0;

	for (int i = 0; i < 20; i++) {
		now = simulate(&d, { 16, i % 2 ? 36.0 : 24.0, i % 2 ? 36 : 44, 37 }, 2.8, now);
		double next =
			stage_demand_apply_hysteresis(stage_demand_share(&d), target, ENGINES);
		changes += next != target;
		target = next;
	}
	EXPECT_EQ(changes, 0);
}

/* Guards against a lasting change of the mix that is never acted upon. */
TEST(StageDemand, LastingChangeOfTheMixIsFollowed)
{
	struct stage_demand d = {};
	int64_t now = simulate(&d, { 16, 60, 9, 37 }, 40, 0);
	double target = stage_demand_share(&d);

	simulate(&d, { 16, 60, 72, 37 }, 30, now);
	EXPECT_LT(stage_demand_apply_hysteresis(stage_demand_share(&d), target, ENGINES),
		  target - 0.2);
}

/*
 * Guards against a feedback loop: prefill on decode engines slows their generations, which must not
 * count as demand for more decode engines.
 */
TEST(StageDemand, SlowGenerationsDoNotRaiseDecodeDemand)
{
	struct stage_demand d = {};
	int64_t now = simulate(&d, { 16, 30, 9, 37 }, 20, 0);
	double share_before = stage_demand_share(&d);

	ASSERT_LT(share_before, 0.74);
	simulate(&d, { 16, 30, 9, 150 }, 10, now);
	EXPECT_NEAR(stage_demand_share(&d), share_before, 0.05);
}

/*
 * Guards against ignoring long answers because they never complete in time: only short answers
 * complete, but callers request long ones.
 */
TEST(StageDemand, RequestedTokensDetermineDemand)
{
	struct stage_demand d = {};

	simulate(&d, { 16, 60, 9, 37, 120 }, 20, 0);
	for (int t = 0; t < 30000; t += 60)
		stage_demand_add_request(&d, 60, 8 * 120, SLOTS, 20000 + t);
	EXPECT_LT(stage_demand_share(&d), 0.45);
}

/*
 * Guards against decode engines that idle while prompts queue, in a fleet whose engines generate
 * almost as fast with a full batch as with a small one.
 */
TEST(StageDemand, MeasuredSlowdownSetsDecodeDemand)
{
	struct stage_demand assumed = {};
	struct stage_demand flat = {};
	struct stage_demand steep = {};

	for (int t = 0; t < 20000; t += 50) {
		struct stage_generation idle = { 0, 9, 8 * 40.0, 0.1 };
		struct stage_generation busy_flat = { 0, 9, 8 * 46.0, 0.6 };
		struct stage_generation busy_steep = { 0, 9, 8 * 140.0, 0.6 };

		for (struct stage_demand *d : { &assumed, &flat, &steep }) {
			stage_demand_add_request(d, 20, 0, 48, t);
			stage_demand_add_generation(d, &idle);
		}
		stage_demand_add_generation(&flat, &busy_flat);
		stage_demand_add_generation(&steep, &busy_steep);
	}
	EXPECT_GT(stage_demand_share(&flat), stage_demand_share(&assumed) + 0.1);
	/* Beyond the maximum, prefill on the same engines made the generations slow. */
	EXPECT_NEAR(stage_demand_share(&steep), stage_demand_share(&assumed), 0.01);
}

/*
 * Load: a start under load with engines of few slots. Guards against waiting for the slots of few
 * engines that generate, while engines that prefill are idle: changes of stage take tens of
 * seconds.
 */
TEST(StageDemand, PriorShareLeavesMoreEnginesToGenerateWhenTheyHaveFewSlots)
{
	EXPECT_DOUBLE_EQ(stage_demand_prior_share(0.7, 64), 0.7);
	EXPECT_NEAR(stage_demand_prior_share(0.7, 48), 0.67, 0.01);
	for (int slots : { 8, 12, 24 }) {
		struct stage_demand d = {};
		/* Short prompts beside long ones: 300 and 6,000 tokens to read, 45 to generate. */
		int64_t now = 0;

		for (int i = 0; i < 2000; i++) {
			struct stage_generation g = {};

			now += 2;
			g.tokens = 45;
			g.events = 6;
			g.ms = 5 * 42;
			stage_demand_add_request(&d, i % 8 ? 6 : 120, 45, slots, now);
			stage_demand_add_generation(&d, &g);
		}
		double first = stage_demand_prior_share(0.7, slots);
		EXPECT_LT(std::abs(first - stage_demand_share(&d)),
			  std::abs(0.7 - stage_demand_share(&d)))
			<< slots;
	}
	EXPECT_EQ(stage_demand_prior_share(-1, 12), -1);
	EXPECT_EQ(stage_demand_prior_share(1, 12), 1);
}
