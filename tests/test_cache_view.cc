#include <gtest/gtest.h>

extern "C" {
#include "ibisgate/state/cache_view.h"
}

/* Guards against routing to an engine that has already evicted the cached part. */
TEST(CacheView, EvictsLeastRecentlyUsedPartsFirst)
{
	struct cache_view *v = cache_view_create(100);
	bool ready;

	cache_view_record(v, 1, 40, true);
	cache_view_record(v, 2, 40, true);
	cache_view_record(v, 1, 40, true);
	cache_view_record(v, 3, 40, true);
	EXPECT_EQ(cache_view_cached_tokens(v, 1, &ready), 40);
	EXPECT_EQ(cache_view_cached_tokens(v, 2, &ready), 0);
	EXPECT_EQ(cache_view_cached_tokens(v, 3, &ready), 40);
	/* A part larger than the capacity evicts all others. */
	cache_view_record(v, 4, 500, true);
	EXPECT_EQ(cache_view_cached_tokens(v, 1, &ready), 0);
	EXPECT_EQ(cache_view_cached_tokens(v, 4, &ready), 500);
	cache_view_clear(v);
	EXPECT_EQ(cache_view_cached_tokens(v, 4, &ready), 0);
	cache_view_destroy(v);
}

/*
 * Guards against copying a part from an engine that has not processed it yet, so that the part has
 * to be processed again.
 */
TEST(CacheView, SentPartsAreCachedButNotReady)
{
	struct cache_view *v = cache_view_create(1000);
	bool ready = true;

	cache_view_record(v, 1, 40, false);
	EXPECT_EQ(cache_view_cached_tokens(v, 1, &ready), 40);
	EXPECT_FALSE(ready);
	cache_view_cancel_sent(v, 1);
	EXPECT_EQ(cache_view_cached_tokens(v, 1, &ready), 0);
	cache_view_record(v, 1, 40, true);
	cache_view_record(v, 1, 40, false);
	cache_view_cancel_sent(v, 1);
	EXPECT_EQ(cache_view_cached_tokens(v, 1, &ready), 40);
	EXPECT_TRUE(ready);
	cache_view_destroy(v);
}
