#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "ibisgate/state/event_order.h"
}

namespace
{

/* Ids of the events that reach a caller who has those up to @forwarded; -1 at the end is an error.
 */
std::vector<int64_t> play(int64_t forwarded, const std::vector<std::vector<int64_t>> &engines)
{
	struct event_order o = { forwarded, -1 };
	std::vector<int64_t> out;

	for (const auto &ids : engines) {
		event_order_begin(&o);
		for (int64_t id : ids) {
			enum event_verdict v = event_order_check(&o, id);

			if (v == EVENT_OUT_OF_ORDER) {
				out.push_back(-1);
				break;
			}
			if (v == EVENT_FORWARD)
				out.push_back(id);
		}
		if (!event_order_may_end(&o))
			out.push_back(-1);
	}
	return out;
}

using Ids = std::vector<int64_t>;

} // namespace

/* Guards against events that are dropped, or sent twice, in a stream that looks complete. */
TEST(EventOrder, RepeatedAndMissingIdsOfOneEngineAreErrors)
{
	EXPECT_EQ(play(-1, { { 1, 2, 3 } }), (Ids{ 1, 2, 3 }));
	EXPECT_EQ(play(-1, { { 0, 1 } }), (Ids{ 0, 1 }));
	EXPECT_EQ(play(-1, { { 1, 2, 3, 3, 3 } }), (Ids{ 1, 2, 3, -1 }));
	EXPECT_EQ(play(-1, { { 1, 2, 3, 2 } }), (Ids{ 1, 2, 3, -1 }));
	EXPECT_EQ(play(-1, { { 1, 2, 4 } }), (Ids{ 1, 2, -1 }));
	EXPECT_EQ(play(-1, { { 1, 2, -1, 4 } }), (Ids{ 1, 2, -1 }));
	EXPECT_EQ(play(-1, { { INT64_MAX, 0 } }), (Ids{ INT64_MAX, -1 }));
	EXPECT_EQ(play(INT64_MAX, { { 0, 1 } }), (Ids{ -1 }));
}

/* Guards against the same where another engine continues the stream. */
TEST(EventOrder, ContinuedStreamsMayRepeatOnlyTheirStart)
{
	EXPECT_EQ(play(-1, { { 1, 2 }, { 3, 4 } }), (Ids{ 1, 2, 3, 4 }));
	EXPECT_EQ(play(-1, { { 1, 2 }, { 1, 2, 3, 4 } }), (Ids{ 1, 2, 3, 4 }));
	EXPECT_EQ(play(-1, { { 1, 2 }, { 2, 3 } }), (Ids{ 1, 2, 3 }));
	EXPECT_EQ(play(-1, { { 1, 2 }, { 4 } }), (Ids{ 1, 2, -1 }));
	EXPECT_EQ(play(-1, { { 1, 2 }, { 1, 1, 2, 3 } }), (Ids{ 1, 2, -1, -1 }));
	EXPECT_EQ(play(5, { { 6, 7 } }), (Ids{ 6, 7 }));
	/* The engine before had sent all events, but not the end. */
	EXPECT_EQ(play(5, { {} }), (Ids{}));
	EXPECT_EQ(play(5, { { 1, 2, 3 } }), (Ids{ -1 }));
}
