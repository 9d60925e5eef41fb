#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C" {
#include "ibisgate/policy/stage_plan.h"
}

namespace
{

using engines = std::vector<struct stage_engine>;

/* Applies changes until none is left; returns their number. */
int apply_plan(engines &e, double share)
{
	enum engine_stage to = STAGE_NONE;
	int changes = 0;

	for (;;) {
		int next = stage_plan_next(e.data(), (int)e.size(), share, &to);

		if (next < 0 || changes > 1000)
			return changes;
		EXPECT_NE(e[(size_t)next].stage, to);
		e[(size_t)next].stage = to;
		changes++;
	}
}

int count(const engines &e, enum engine_stage s, int dc = -1)
{
	int n = 0;

	for (const auto &x : e)
		n += x.stage == s && (dc < 0 || x.dc == dc);
	return n;
}

} // namespace

/*
 * Guards against a plan that never ends, misses the target share or leaves a data centre without a
 * decode engine. About a third of the engines start in prefill.
 */
TEST(StagePlan, ReachesShareAndKeepsADecodeEngineInEachDataCentre)
{
	std::mt19937_64 rng(7);

	for (int round = 0; round < 300; round++) {
		engines e;
		int dcs = 1 + (int)(rng() % 5);
		double share = (double)(rng() % 101) / 100;

		for (int dc = 0; dc < dcs; dc++) {
			int n = 1 + (int)(rng() % 8);

			for (int i = 0; i < n; i++)
				e.push_back({ i == 0 || rng() % 3 ? STAGE_DECODE : STAGE_PREFILL,
					      dc, false });
		}
		int target = (int)lround(share * (double)e.size());
		int max_prefill = (int)e.size() - dcs;
		int before = count(e, STAGE_PREFILL);
		int changes = apply_plan(e, share);

		EXPECT_EQ(count(e, STAGE_PREFILL), std::min(target, max_prefill));
		EXPECT_EQ(changes, abs(std::min(target, max_prefill) - before));
		for (int dc = 0; dc < dcs; dc++)
			EXPECT_GE(count(e, STAGE_DECODE, dc), 1);
	}
}

/* Guards against a second order to an engine that still executes the first. */
TEST(StagePlan, BusyEnginesAreNotChanged)
{
	engines e = { { STAGE_DECODE, 0, true }, { STAGE_DECODE, 0, true } };
	enum engine_stage to;

	EXPECT_EQ(stage_plan_next(e.data(), 2, 0.5, &to), -1);
	e[1].change_blocked = false;
	EXPECT_EQ(stage_plan_next(e.data(), 2, 0.5, &to), 1);
	EXPECT_EQ(to, STAGE_PREFILL);
}

/*
 * Guards against a data centre that has engines but none that can decode (inc-e179 at darnau-gw):
 * its decode engines crash, and seconds later a network partition isolates it.
 */
TEST(StagePlan, DataCentreWithoutDecodeEngineGetsOneFirst)
{
	engines e = { { STAGE_PREFILL, 0, false }, { STAGE_DECODE, 0, false },
		      { STAGE_PREFILL, 1, false }, { STAGE_PREFILL, 1, false },
		      { STAGE_DECODE, 2, false },  { STAGE_DECODE, 2, false } };
	enum engine_stage to = STAGE_NONE;
	/* The target share is already met. */
	int next = stage_plan_next(e.data(), (int)e.size(), 0.5, &to);

	ASSERT_TRUE(next == 2 || next == 3) << next;
	EXPECT_EQ(to, STAGE_DECODE);
	e[(size_t)next].stage = to;
	apply_plan(e, 0.5);
	for (int dc = 0; dc < 3; dc++)
		EXPECT_GE(count(e, STAGE_DECODE, dc), 1) << dc;
	EXPECT_EQ(count(e, STAGE_PREFILL), 3);
	/* An engine that can't be changed now does not block changes to the others. */
	engines busy = { { STAGE_PREFILL, 0, true },
			 { STAGE_DECODE, 1, false },
			 { STAGE_DECODE, 1, false } };
	next = stage_plan_next(busy.data(), 3, 0.67, &to);
	EXPECT_TRUE(next == 1 || next == 2) << next;
}
