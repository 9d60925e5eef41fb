#include <gtest/gtest.h>

#include <algorithm>
#include <random>

extern "C" {
#include "ibisgate/policy/retry.h"
}

static const retry_limits LIMITS = { 0.1, 2, 10 };

static retry_query query(call_kind kind, sent_state sent, int attempt, int64_t now)
{
	return { kind, sent, attempt, 4, now, now + 5000, 100, 0 };
}

/*
 * Guards against retries beyond the budget of the organisation or the endpoint in random sequences
 * of events, and against a refused retry that takes a token from one of the budgets.
 */
TEST(Retry, BudgetIsNeverExceeded)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		std::mt19937_64 rng(seed);
		retry_budget org[3] = {}, ep[3] = {};
		double org_used[3] = {}, ep_used[3] = {}, org_firsts[3] = {}, ep_firsts[3] = {};
		int64_t start = 1 + (int64_t)(rng() % 100000);
		int64_t now = start;

		printf("seed %llu\n", (unsigned long long)seed);
		for (int i = 0; i < 20000; i++) {
			size_t o = rng() % 3;
			size_t e = rng() % 3;
			int64_t delay;

			now += (int64_t)(rng() % 8);
			if (rng() % 3 == 0) {
				retry_budget_add_first_attempt(&org[o], &LIMITS, now);
				retry_budget_add_first_attempt(&ep[e], &LIMITS, now);
				org_firsts[o]++;
				ep_firsts[e]++;
				continue;
			}
			retry_query q =
				query(CALL_GENERATION, SENT_MAYBE, 1 + (int)(rng() % 4), now);
			retry_budget org_before = org[o], ep_before = ep[e];

			q.random = rng();
			if (retry_decide(&q, &org[o], &ep[e], &LIMITS, &delay) == RETRY_ALLOWED) {
				org_used[o]++;
				ep_used[e]++;
				ASSERT_LE(now + delay + q.min_work_ms, q.deadline_ms);
			} else {
				ASSERT_GE(org[o].tokens, std::min(org_before.tokens, 1.0));
				ASSERT_GE(ep[e].tokens, std::min(ep_before.tokens, 1.0));
			}
			double base = LIMITS.burst_tokens +
				      LIMITS.min_per_s * (double)(now - start) / 1000;
			ASSERT_LE(org_used[o], base + LIMITS.ratio * org_firsts[o] + 1e-6);
			ASSERT_LE(ep_used[e], base + LIMITS.ratio * ep_firsts[e] + 1e-6);
		}
		/* The minimum rate must be available, or a budget without tokens would pass. */
		ASSERT_GT(org_used[0] + org_used[1] + org_used[2],
			  0.9 * 3 * LIMITS.min_per_s * (double)(now - start) / 1000);
	}
}

/*
 * Guards against the repeated execution of a call that is not idempotent, and against retries that
 * can't succeed.
 */
TEST(Retry, VerdictDependsOnCallKindAttemptsDeadlineAndBudget)
{
	retry_budget full = {}, other = {}, empty = { 0, 1000 };
	int64_t delay;
	auto decide = [&](retry_query q, retry_budget *ep) {
		return retry_decide(&q, &full, ep, &LIMITS, &delay);
	};
	EXPECT_EQ(decide(query(CALL_NON_IDEMPOTENT, SENT_MAYBE, 1, 1000), &other),
		  RETRY_NOT_ALLOWED);
	EXPECT_EQ(full.updated_ms, 0);
	EXPECT_EQ(decide(query(CALL_NON_IDEMPOTENT, SENT_NO, 1, 1000), &other), RETRY_ALLOWED);
	EXPECT_EQ(decide(query(CALL_IDEMPOTENT, SENT_MAYBE, 1, 1000), &other), RETRY_ALLOWED);
	EXPECT_EQ(decide(query(CALL_IDEMPOTENT, SENT_MAYBE, 4, 1000), &other),
		  RETRY_ATTEMPTS_EXHAUSTED);
	double before = full.tokens;
	EXPECT_EQ(decide(query(CALL_GENERATION, SENT_MAYBE, 1, 1000), &empty),
		  RETRY_BUDGET_EXHAUSTED);
	EXPECT_EQ(full.tokens, before);
	retry_query near_deadline = query(CALL_GENERATION, SENT_MAYBE, 1, 1000);
	near_deadline.deadline_ms = 1099;
	EXPECT_EQ(decide(near_deadline, &other), RETRY_DEADLINE_TOO_CLOSE);
	near_deadline.deadline_ms = 1101;
	near_deadline.random = UINT64_MAX;
	EXPECT_EQ(decide(near_deadline, &other), RETRY_ALLOWED);
	EXPECT_LE(delay, 1);
}

/* Guards against simultaneous retries of many calls and a backoff that does not grow. */
TEST(Retry, BackoffGrowsWithJitter)
{
	std::mt19937_64 rng(3);
	int64_t last_max = 0;

	printf("seed 3\n");
	for (int attempt = 1; attempt <= 12; attempt++) {
		int64_t lo = INT64_MAX, hi = 0;

		for (int i = 0; i < 1000; i++) {
			retry_budget a = {}, b = {};
			retry_query q = query(CALL_GENERATION, SENT_NO, attempt, 1000);
			int64_t delay;

			q.max_attempts = 100;
			q.random = rng();
			ASSERT_EQ(retry_decide(&q, &a, &b, &LIMITS, &delay), RETRY_ALLOWED);
			lo = std::min(lo, delay);
			hi = std::max(hi, delay);
		}
		EXPECT_LE(lo, hi / 2 + hi / 50 + 1);
		EXPECT_GE(hi, last_max);
		EXPECT_LE(hi, 1000);
		last_max = hi;
	}
	EXPECT_EQ(last_max, 1000);
}

/*
 * Guards against more than one probe at a time to a failed endpoint, against an open time that does
 * not double up to its limit, and against a lost probe that blocks the endpoint forever.
 */
TEST(Retry, CircuitOpensProbesAndCloses)
{
	circuit c = {};
	int64_t now = 5000;
	int64_t open = CIRCUIT_OPEN_MS;

	for (int i = 0; i < CIRCUIT_FAILURES - 1; i++)
		circuit_failure(&c, false, now);
	circuit_success(&c);
	for (int i = 0; i < CIRCUIT_FAILURES; i++) {
		EXPECT_TRUE(circuit_allows_request(&c, now));
		circuit_failure(&c, false, now);
	}
	for (int i = 0; i < 7; i++) {
		circuit_success(&c);
		EXPECT_EQ(c.state, CIRCUIT_OPEN);
		circuit_failure(&c, true, now + open / 2);
		EXPECT_FALSE(circuit_allows_request(&c, now + open - 1));
		now += open;
		ASSERT_TRUE(circuit_allows_request(&c, now));
		circuit_request_sent(&c, now);
		EXPECT_FALSE(circuit_allows_request(&c, now + 1));
		circuit_failure(&c, false, now);
		open = std::min<int64_t>(2 * open, CIRCUIT_OPEN_MAX_MS);
	}
	now += open;
	circuit_request_sent(&c, now);
	EXPECT_TRUE(circuit_allows_request(&c, now + CIRCUIT_OPEN_MAX_MS));
	circuit_success(&c);
	EXPECT_TRUE(circuit_allows_request(&c, now));
	circuit_failure(&c, true, now);
	EXPECT_FALSE(circuit_allows_request(&c, now + CIRCUIT_OPEN_MS - 1));
	EXPECT_TRUE(circuit_allows_request(&c, now + CIRCUIT_OPEN_MS));
}
