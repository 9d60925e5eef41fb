#include <gtest/gtest.h>

#include <algorithm>
#include <queue>

extern "C" {
#include "ibisgate/policy/finish.h"
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
		bool taken = check_finish ? finish_fits(&f, first, 3000) : first <= 3000;

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

	EXPECT_TRUE(finish_fits(&f, 100, 200));
	finish_learn(&f, 1000);
	EXPECT_FALSE(finish_fits(&f, 100, 200));
	EXPECT_TRUE(finish_fits(&f, 100, 1200));
	for (int i = 0; i < 200; i++)
		finish_learn(&f, 50);
	EXPECT_TRUE(finish_fits(&f, 100, 200));
	/* One that ended early says something only if it took longer than is thought. */
	for (int i = 0; i < 200; i++)
		finish_learn_unfinished(&f, 10);
	EXPECT_TRUE(finish_fits(&f, 100, 200));
	for (int i = 0; i < 200; i++)
		finish_learn_unfinished(&f, 1000);
	EXPECT_FALSE(finish_fits(&f, 100, 200));
}
