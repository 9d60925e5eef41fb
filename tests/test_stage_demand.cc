#include <gtest/gtest.h>

extern "C" {
#include "ibisgate/policy/stage_demand.h"
}

namespace
{

constexpr int SLOTS = 64;
constexpr int ENGINES = 18;

/* Requests a second, time to read one, its events and their pace, tokens allowed (0: not told). */
struct mix {
	double per_s;
	double read_ms;
	int events;
	double pace_ms;
	int64_t tokens;
};

int64_t play(struct stage_demand *d, const mix &m, double seconds, int64_t now)
{
	int64_t until = now + (int64_t)(seconds * 1000);

	for (double t = (double)now; t < (double)until; t += 1000 / m.per_s) {
		stage_demand_arrival(d, m.read_ms, m.tokens, SLOTS, (int64_t)t);
		stage_demand_learn(d, m.tokens, m.events, (m.events - 1) * m.pace_ms);
	}
	return until;
}

} // namespace

/* Guards against a plan made from the first few requests. */
TEST(StageDemand, FewRequestsTellNothing)
{
	struct stage_demand d = {};

	play(&d, { 16, 60, 9, 37 }, 2, 0);
	EXPECT_FALSE(stage_demand_known(&d));
	play(&d, { 16, 60, 9, 37 }, 4, 2000);
	EXPECT_TRUE(stage_demand_known(&d));
}

/*
 * Guards against engines that generate standing idle beside queues of prompts, and the reverse:
 * with eight times the answer, generating needs more engines than reading.
 */
TEST(StageDemand, ShareFollowsTheMix)
{
	struct stage_demand prompts = {};
	struct stage_demand answers = {};

	play(&prompts, { 16, 60, 9, 37 }, 20, 0);
	play(&answers, { 16, 60, 72, 37 }, 20, 0);
	EXPECT_GT(stage_demand_share(&prompts), 0.7);
	EXPECT_LT(stage_demand_share(&answers), 0.45);
	EXPECT_GE(stage_demand_share(&answers), 0.2);
}

/* Guards against a share that moves with each swing of the mix: changes cost engines seconds. */
TEST(StageDemand, SwingsOfSecondsChangeNothing)
{
	struct stage_demand d = {};
	int64_t now = play(&d, { 16, 30, 40, 37 }, 40, 0);
	double aimed = stage_demand_share(&d);
	int changes = 0;

	for (int i = 0; i < 20; i++) {
		now = play(&d, { 16, i % 2 ? 36.0 : 24.0, i % 2 ? 36 : 44, 37 }, 2.8, now);
		double next = stage_demand_settle(stage_demand_share(&d), aimed, ENGINES);
		changes += next != aimed;
		aimed = next;
	}
	EXPECT_EQ(changes, 0);
}

/* Guards against a mix that stays and is never followed. */
TEST(StageDemand, LastingChangeIsFollowed)
{
	struct stage_demand d = {};
	int64_t now = play(&d, { 16, 60, 9, 37 }, 40, 0);
	double aimed = stage_demand_share(&d);

	play(&d, { 16, 60, 72, 37 }, 30, now);
	EXPECT_LT(stage_demand_settle(stage_demand_share(&d), aimed, ENGINES), aimed - 0.2);
}

/*
 * Guards against a spiral: engines that read prompts beside their generations slow them, which
 * must not count as a need for more engines that generate.
 */
TEST(StageDemand, SlowGenerationsAreNoDemand)
{
	struct stage_demand d = {};
	int64_t now = play(&d, { 16, 30, 9, 37 }, 20, 0);
	double before = stage_demand_share(&d);

	ASSERT_LT(before, 0.74);
	play(&d, { 16, 30, 9, 150 }, 10, now);
	EXPECT_NEAR(stage_demand_share(&d), before, 0.05);
}

/*
 * Guards against long answers that are never whole in time, and so never seen: those that are
 * whole are short, but callers ask for long ones.
 */
TEST(StageDemand, TokensAskedForCount)
{
	struct stage_demand d = {};

	play(&d, { 16, 60, 9, 37, 120 }, 20, 0);
	for (int t = 0; t < 30000; t += 60)
		stage_demand_arrival(&d, 60, 8 * 120, SLOTS, 20000 + t);
	EXPECT_LT(stage_demand_share(&d), 0.45);
}
