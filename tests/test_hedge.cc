#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

extern "C" {
#include "ibisgate/policy/hedge.h"
}

/* Guards against hedged requests without enough samples or with a wrong delay. */
TEST(Hedge, DelayIsThe95thPercentileOfLatency)
{
	const unsigned seed = std::random_device{}();
	std::mt19937 random(seed);
	std::vector<int64_t> all;
	hedge h = {};

	for (int i = 0; i < 500; i++) {
		int64_t latency_ms = random() % 1000;

		all.push_back(latency_ms);
		hedge_add_latency(&h, latency_ms);
		if (i + 1 < HEDGE_SAMPLES_MIN) {
			ASSERT_EQ(hedge_delay_ms(&h), -1);
			continue;
		}
		std::vector<int64_t> last(all.end() - std::min<size_t>(all.size(), HEDGE_SAMPLES),
					  all.end());
		int64_t delay_ms = hedge_delay_ms(&h);
		auto not_slower = std::count_if(last.begin(), last.end(),
						[&](int64_t t) { return t <= delay_ms; });
		auto faster = std::count_if(last.begin(), last.end(),
					    [&](int64_t t) { return t < delay_ms; });

		ASSERT_GE(not_slower * 100, (long)last.size() * 95) << "seed " << seed;
		ASSERT_LT(faster * 100, (long)last.size() * 95) << "seed " << seed;
	}
}

/* Guards against hedged requests that double the load while all calls are slow. */
TEST(Hedge, BudgetLimitsHedgedRequestsToAFractionOfCalls)
{
	retry_limits l = hedge_budget_limits(0.05);
	retry_limits none = hedge_budget_limits(0);
	hedge h = {};
	int sent = 0;

	for (int i = 0; i < 1000; i++) {
		retry_budget_add_first_attempt(&h.budget, &l, 1 + i);
		sent += retry_budget_try_take(&h.budget, &l, 1 + i);
	}
	EXPECT_LE(sent, 50 + 5) << "5% and the burst";
	EXPECT_GE(sent, 50);
	h = {};
	retry_budget_add_first_attempt(&h.budget, &none, 1);
	EXPECT_FALSE(retry_budget_try_take(&h.budget, &none, 2));
}
