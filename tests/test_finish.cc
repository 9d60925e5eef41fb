#include <gtest/gtest.h>

#include <algorithm>
#include <queue>

extern "C" {
#include "ibisgate/policy/finish.h"
}

static bool fits(const struct finish_estimate &f, double expected_ms, double left_ms,
		 double patience_ms = 1e9)
{
	struct finish_limits limits = { .left_ms = left_ms, .patience_ms = patience_ms };

	return finish_fits(&f, expected_ms, &limits);
}

/*
 * Load: an engine that gets twice what it can read, for a minute; each prompt takes 100 ms to read
 * and 1 s to generate, callers wait 3 s. Returns the share of the engine's time that served
 * someone.
 */
static double useful_share(bool check_finish)
{
	struct finish_estimate f = { 0 };
	double free_at = 0, useful = 0, busy = 0;

	for (int i = 0; i < 1200; i++) {
		double now = i * 50.0;
		double first = std::max(0.0, free_at - now) + 100;
		bool taken = check_finish ? fits(f, first, 3000) : first <= 3000;

		if (!taken)
			continue;
		free_at = std::max(free_at, now) + 100;
		busy += 100;
		if (first + 1000 <= 3000)
			useful += 100;
		finish_learn(&f, 1000);
	}
	return useful / busy;
}

/* Guards against work for callers whose deadline passes before their last token. */
TEST(Finish, OverloadDoesNotFillTheEngineWithRequestsThatExpire)
{
	EXPECT_LT(useful_share(false), 0.5);
	EXPECT_GT(useful_share(true), 0.95);
}

/* Guards against refusals of what fits, before and after anything was learned. */
TEST(Finish, TakesWhatFits)
{
	struct finish_estimate f = { 0 };

	EXPECT_TRUE(fits(f, 100, 200));
	finish_learn(&f, 1000);
	EXPECT_FALSE(fits(f, 100, 200));
	EXPECT_TRUE(fits(f, 100, 1200));
	for (int i = 0; i < 200; i++)
		finish_learn(&f, 50);
	EXPECT_TRUE(fits(f, 100, 200));
	/* One that ended early says something only if it took longer than is thought. */
	for (int i = 0; i < 200; i++)
		finish_learn_unfinished(&f, 10);
	EXPECT_TRUE(fits(f, 100, 200));
	for (int i = 0; i < 200; i++)
		finish_learn_unfinished(&f, 1000);
	EXPECT_FALSE(fits(f, 100, 200));
}

/*
 * Load: an engine that gets one and a half times what it can read, half of it urgent and read
 * first. Each prompt takes 100 ms; callers of the rest leave after 2 s without a first token.
 * Expected is the queue as it stands, which more urgent requests pass. Returns the share of the
 * engine's time spent on the rest whose callers were still there.
 */
static double kept_callers(bool learn)
{
	struct waiting {
		double since, expected;
	};
	struct finish_estimate f = { 0 };
	std::queue<waiting> rest;
	int urgent = 0;
	int kept = 0, read = 0;

	for (int now = 0; now < 120000; now += 100) {
		/* Three urgent ones and three others in four steps; each step reads one. */
		bool come = now % 400 != 0;
		double expected = 100.0 * (double)(rest.size() + (size_t)urgent + 1);

		urgent += come;
		if (come && fits(f, expected, 1e9, 2000))
			rest.push({ (double)now, expected });
		if (urgent) {
			urgent--;
			continue;
		}
		if (rest.empty())
			continue;
		double took = now + 100 - rest.front().since;
		if (learn)
			finish_learn_first(&f, rest.front().expected, took);
		read++;
		kept += took <= 2000;
		rest.pop();
	}
	return (double)kept / read;
}

/* Guards against prompts read for callers that have left, because others passed them. */
TEST(Finish, LearnsThatUrgentRequestsPassOthers)
{
	EXPECT_LT(kept_callers(false), 0.5);
	EXPECT_GT(kept_callers(true), 0.8);
}

/* Guards against refusals that go on after the engines have caught up. */
TEST(Finish, ForgetsAnOverloadThatIsOver)
{
	struct finish_estimate f = { 0 };

	for (int i = 0; i < 100; i++)
		finish_learn_first(&f, 500, 3000);
	EXPECT_FALSE(fits(f, 500, 5000, 2000));
	/* First tokens that come too soon to tell of a queue end it as well. */
	for (int i = 0; i < 100; i++)
		finish_learn_first(&f, 40, 60);
	EXPECT_TRUE(fits(f, 500, 5000, 2000));
	/* A request that ended without its first token tells only of a longer wait. */
	for (int i = 0; i < 100; i++)
		finish_learn_no_first(&f, 500, 100);
	EXPECT_TRUE(fits(f, 500, 5000, 2000));
	for (int i = 0; i < 100; i++)
		finish_learn_no_first(&f, 500, 3000);
	EXPECT_FALSE(fits(f, 500, 5000, 2000));
}
