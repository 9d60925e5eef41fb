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
