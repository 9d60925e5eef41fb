#include <gtest/gtest.h>

#include <deque>
#include <random>

extern "C" {
#include "ibisgate/policy/extra_budget.h"
}

static const struct extra_budget_limits limits = {
	.window_ms = 10000, .ratio = 0.2, .fixed = 58, .instances = 5
};

/*
 * Guards against instances that together exceed the limit of the service in some window. The
 * service rejects every request, so that each request is retried at once.
 */
TEST(ExtraBudget, SumOfInstancesStaysWithinLimitInEveryWindow)
{
	for (unsigned seed = 1; seed <= 20; seed++) {
		std::mt19937_64 rng(seed);
		struct extra_budget b[5] = {};
		std::deque<std::pair<int64_t, int>> sent;

		for (int64_t now = 1000; now < 60000; now += 20) {
			struct extra_budget *budget = &b[rng() % 5];

			extra_budget_count_first(budget, &limits, now);
			sent.push_back({ now, 0 });
			for (int retry = 0; retry < 3; retry++) {
				if (extra_budget_try_take(budget, &limits, now))
					sent.push_back({ now, 1 });
			}
			while (sent.front().first <= now - limits.window_ms)
				sent.pop_front();
			int first = 0, extra = 0;
			for (const auto &s : sent)
				s.second ? extra++ : first++;
			ASSERT_LE(extra, limits.ratio * first + limits.fixed) << seed;
		}
	}
}

/* Guards against a budget that is never replenished. */
TEST(ExtraBudget, IsAvailableAgainAfterTheWindow)
{
	struct extra_budget b = {};
	int taken = 0;

	while (extra_budget_try_take(&b, &limits, 1000))
		taken++;
	EXPECT_GT(taken, 5);
	EXPECT_LE(taken, 58 / 5);
	EXPECT_FALSE(extra_budget_try_take(&b, &limits, 10500));
	EXPECT_TRUE(extra_budget_try_take(&b, &limits, 12500));
}

/* Guards against a restarted instance that starts with the full allowance of the service. */
TEST(ExtraBudget, StartsOnlyWithItsPartOfTheFixedAllowance)
{
	struct extra_budget_limits l = limits;
	struct extra_budget b = {};

	l.fixed = 0;
	EXPECT_FALSE(extra_budget_try_take(&b, &l, 1000));
	for (int i = 0; i < 10; i++)
		extra_budget_count_first(&b, &l, 1000);
	EXPECT_TRUE(extra_budget_try_take(&b, &l, 1000));
	EXPECT_FALSE(extra_budget_try_take(&b, &l, 1000));
}

/*
 * Guards against a budget used up by sends that never reached an endpoint. This happens when a data
 * centre is unreachable and connections to its endpoints fail at once.
 */
TEST(ExtraBudget, UndeliveredSendsAreRefunded)
{
	struct extra_budget b = {};
	struct extra_budget_limits l = {
		.window_ms = 10000, .ratio = 0.2, .fixed = 58, .instances = 5
	};
	int64_t now = 100000;
	int taken = 0;

	for (int i = 0; i < 500; i++, now += 10) {
		ASSERT_TRUE(extra_budget_try_take(&b, &l, now)) << i;
		extra_budget_refund(&b);
	}
	while (extra_budget_try_take(&b, &l, now))
		taken++;
	EXPECT_LE(taken, 58 / 5);
	EXPECT_GT(taken, 0);
	/* A refund without a preceding charge has no effect. */
	struct extra_budget empty = {};
	extra_budget_refund(&empty);
	EXPECT_EQ(empty.extra[0], 0);
}

/* Guards against an attempt that is given up for a retry which the budget then denies. */
TEST(ExtraBudget, LookingDoesNotCount)
{
	struct extra_budget b = {};

	for (int i = 0; i < 100; i++) {
		bool has_left = extra_budget_has_left(&b, &limits, 1000);

		EXPECT_EQ(extra_budget_has_left(&b, &limits, 1000), has_left);
		EXPECT_EQ(extra_budget_try_take(&b, &limits, 1000), has_left);
	}
	EXPECT_FALSE(extra_budget_has_left(&b, &limits, 1000));
	EXPECT_TRUE(extra_budget_has_left(&b, &limits, 12000));
}
