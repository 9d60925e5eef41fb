#include <gtest/gtest.h>

extern "C" {
#include "ibisgate/state/crash_watch.h"
}

/*
 * Guards against attributing a crash to requests whose connection broke long before it, and against
 * missing those whose connection broke shortly before it.
 */
TEST(CrashWatch, ReportsOnlyRequestsCutOffShortlyBeforeTheCrash)
{
	struct crash_watch w = {};
	uint64_t out[CRASH_WATCH_SLOTS];

	crash_watch_add(&w, 7, 1000);
	crash_watch_add(&w, 8, 5000);
	ASSERT_EQ(crash_watch_on_crash(&w, 5500, out), 1);
	EXPECT_EQ(out[0], 8u);
	EXPECT_EQ(crash_watch_on_crash(&w, 5500, out), 0);
	for (uint64_t f = 1; f <= 20; f++)
		crash_watch_add(&w, f, 6000);
	EXPECT_EQ(crash_watch_on_crash(&w, 6000, out), CRASH_WATCH_SLOTS);
}
