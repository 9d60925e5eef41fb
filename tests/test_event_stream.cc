#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "ibisgate/net/event_stream.h"
}

/* Guards against events that are cut, joined or changed on their way to the caller. */
TEST(EventStream, WholeEventsComeOutAsTheyWereForEverySplit)
{
	std::string a = "id: 1\ndata: x\n\n";
	std::string b = "x-weights: 4\nid:2\r\ndata: y\r\n\r\n";
	std::string c = "data: no id\n\n";
	std::string rest = "id: 4\ndata: unfinished";
	std::string text = a + b + c + rest;

	for (size_t step = 1; step <= text.size(); step++) {
		struct event_stream s = {};
		struct stream_event ev;
		std::string got[3];
		int64_t ids[3] = { -1, -1, -1 };
		int count = 0;

		for (size_t at = 0; at < text.size(); at += step) {
			std::string piece = text.substr(at, step);

			event_stream_feed(&s, str{ piece.data(), piece.size() });
			while (event_stream_next(&s, &ev)) {
				ASSERT_LT(count, 3);
				got[count].assign(ev.raw.data, ev.raw.len);
				ids[count++] = ev.has_id ? ev.id : -1;
			}
		}
		ASSERT_EQ(count, 3);
		EXPECT_EQ(got[0], a);
		EXPECT_EQ(got[1], b);
		EXPECT_EQ(got[2], c);
		EXPECT_EQ(ids[0], 1);
		EXPECT_EQ(ids[1], 2);
		EXPECT_EQ(ids[2], -1);
		EXPECT_TRUE(event_stream_partial(&s));
		event_stream_reset(&s);
		EXPECT_FALSE(event_stream_partial(&s));
		event_stream_free(&s);
	}
}
