#include <gtest/gtest.h>

extern "C" {
#include "ibisgate/state/dc_health.h"
}

/* Guards against repeated attempts at a data centre that is cut off. */
TEST(DcHealth, OutageShowsWithinAFewAttempts)
{
	struct dc_health h = {};

	for (int i = 0; i < 6; i++)
		dc_health_record(&h, false, i * 10);
	EXPECT_GT(dc_health_unreachable_share(&h, 60), 0.75);
}

/* Guards against avoiding a whole data centre because one of its engines has crashed. */
TEST(DcHealth, OneDeadEngineIsNotAnOutage)
{
	struct dc_health h = {};

	for (int i = 0; i < 100; i++)
		dc_health_record(&h, i % 10 != 0, i * 10);
	EXPECT_LT(dc_health_unreachable_share(&h, 1000), 0.3);
}

/* Guards against a data centre that is never tried again after an outage. */
TEST(DcHealth, FailureShareDecaysWithoutAttempts)
{
	struct dc_health h = {};

	for (int i = 0; i < 20; i++)
		dc_health_record(&h, false, i * 10);
	EXPECT_LT(dc_health_unreachable_share(&h, 200 + 4000), 0.2);
}

/* Guards against using connections from before a cut, and against never using them again. */
TEST(DcHealth, OneFailureMakesThePathDoubtfulForSeconds)
{
	struct dc_health h = {};

	for (int i = 0; i < 100; i++)
		dc_health_record(&h, true, i * 10);
	EXPECT_FALSE(dc_health_may_be_cut_off(&h, 1000));
	dc_health_record(&h, false, 1000);
	EXPECT_TRUE(dc_health_may_be_cut_off(&h, 3000));
	EXPECT_FALSE(dc_health_may_be_cut_off(&h, 5000));
	/* Answers show that the path is there. */
	for (int i = 0; i < 6; i++)
		dc_health_record(&h, true, 1000 + i * 10);
	EXPECT_FALSE(dc_health_may_be_cut_off(&h, 1060));
}
