#include <gtest/gtest.h>

extern "C" {
#include "ibisgate/state/leaving_set.h"
}

/* Guards against memory that grows with each endpoint that has ever left. */
TEST(LeavingSet, RemembersTheLatestProcesses)
{
	struct leaving_set s = {};

	EXPECT_TRUE(leaving_set_add(&s, 0));
	EXPECT_FALSE(leaving_set_add(&s, 0));
	for (uint32_t tag = 1; tag < LEAVING_SET_MAX; tag++)
		EXPECT_TRUE(leaving_set_add(&s, tag));
	EXPECT_TRUE(leaving_set_has(&s, 0));
	EXPECT_TRUE(leaving_set_add(&s, LEAVING_SET_MAX));
	EXPECT_FALSE(leaving_set_has(&s, 0));
	EXPECT_TRUE(leaving_set_has(&s, 1));
	EXPECT_TRUE(leaving_set_has(&s, LEAVING_SET_MAX));
}
