#include <gtest/gtest.h>

#include <algorithm>
#include <queue>

extern "C" {
#include "ibisgate/policy/finish.h"
}

static bool fits(const struct finish_estimate &f, double expected_ms, double left_ms,
		 double first_token_wait_ms = 1e9)
{
	struct finish_limits limits = { .deadline_left_ms = left_ms,
					.first_token_wait_ms = first_token_wait_ms };

	return finish_is_in_time(&f, expected_ms, &limits);
}

/*
 * Simulates an engine with twice the load that it can prefill, for a minute. Prefill takes 100 ms
 * and generation 1 s per prompt, and callers wait 3 s. Returns the fraction of the engine's prefill
 * time spent on requests that complete in time.
 */
static double useful_fraction(bool check_finish)
{
	struct finish_estimate f = { 0 };
	double free_at = 0, useful = 0, busy = 0;

	for (int i = 0; i < 1200; i++) {
		double now = i * 50.0;
		double first = std::max(0.0, free_at - now) + 100;
		bool is_accepted = check_finish ? fits(f, first, 3000) : first <= 3000;

		if (!is_accepted)
			continue;
		free_at = std::max(free_at, now) + 100;
		busy += 100;
		if (first + 1000 <= 3000)
			useful += 100;
		finish_add_completed(&f, 1000);
	}
	return useful / busy;
}

/* Guards against accepting requests whose deadline expires before their last token. */
TEST(Finish, OverloadedEngineRefusesRequestsThatWouldExpire)
{
	EXPECT_LT(useful_fraction(false), 0.5);
	EXPECT_GT(useful_fraction(true), 0.95);
}

/* Guards against refusing requests that complete in time, without samples and with them. */
TEST(Finish, AcceptsRequestsThatFitTheDeadline)
{
	struct finish_estimate f = { 0 };

	EXPECT_TRUE(fits(f, 100, 200));
	finish_add_completed(&f, 1000);
	EXPECT_FALSE(fits(f, 100, 200));
	EXPECT_TRUE(fits(f, 100, 1200));
	for (int i = 0; i < 200; i++)
		finish_add_completed(&f, 50);
	EXPECT_TRUE(fits(f, 100, 200));
	/* An aborted generation counts only when it took longer than the estimate. */
	for (int i = 0; i < 200; i++)
		finish_add_aborted(&f, 10);
	EXPECT_TRUE(fits(f, 100, 200));
	for (int i = 0; i < 200; i++)
		finish_add_aborted(&f, 1000);
	EXPECT_FALSE(fits(f, 100, 200));
}

/*
 * Simulates an engine with 1.5 times the load that it can prefill. Half of the requests are urgent
 * and served first. Prefill takes 100 ms per prompt; callers of normal requests disconnect when
 * they have no first token after 2 s. The expected time is that of the current queue, although
 * later urgent requests overtake it. Returns the fraction of normal prefills whose callers were
 * still connected.
 */
static double connected_fraction(bool learn)
{
	struct waiting {
		double since, expected;
	};
	struct finish_estimate f = { 0 };
	std::queue<waiting> normal;
	int urgent = 0;
	int connected = 0, prefilled = 0;

	for (int now = 0; now < 120000; now += 100) {
		/* 3 urgent and 3 normal requests arrive in 4 steps; each step serves one. */
		bool arrives = now % 400 != 0;
		double expected = 100.0 * (double)(normal.size() + (size_t)urgent + 1);

		urgent += arrives;
		if (arrives && fits(f, expected, 1e9, 2000))
			normal.push({ (double)now, expected });
		if (urgent) {
			urgent--;
			continue;
		}
		if (normal.empty())
			continue;
		double first_ms = now + 100 - normal.front().since;
		if (learn)
			finish_add_first_token(&f, normal.front().expected, first_ms);
		prefilled++;
		connected += first_ms <= 2000;
		normal.pop();
	}
	return (double)connected / prefilled;
}

/* Guards against prefill for callers that disconnected while urgent requests overtook them. */
TEST(Finish, EstimateIncludesOvertakingUrgentRequests)
{
	EXPECT_LT(connected_fraction(false), 0.5);
	EXPECT_GT(connected_fraction(true), 0.8);
}

/* Guards against refusals that continue after an overload has ended. */
TEST(Finish, RecoversAfterAnOverload)
{
	struct finish_estimate f = { 0 };

	for (int i = 0; i < 100; i++)
		finish_add_first_token(&f, 500, 3000);
	EXPECT_FALSE(fits(f, 500, 5000, 2000));
	/* First tokens faster than the lower bound of the samples lower the ratio as well. */
	for (int i = 0; i < 100; i++)
		finish_add_first_token(&f, 40, 60);
	EXPECT_TRUE(fits(f, 500, 5000, 2000));
	/* A request that ended without a first token can only raise the estimate. */
	for (int i = 0; i < 100; i++)
		finish_add_missing_first_token(&f, 500, 100);
	EXPECT_TRUE(fits(f, 500, 5000, 2000));
	for (int i = 0; i < 100; i++)
		finish_add_missing_first_token(&f, 500, 3000);
	EXPECT_FALSE(fits(f, 500, 5000, 2000));
}
