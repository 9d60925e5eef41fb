#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "ibisgate/common/clock.h"
#include "ibisgate/net/event_stream.h"
}

/* Guards against events that are truncated, merged or altered while they are relayed. */
TEST(EventStream, EventsKeepTheirBytesForEveryChunkSize)
{
	std::string a = "id: 1\ndata: x\n\n";
	std::string b = "x-weights: 4\nid:2\r\ndata: y\r\n\r\n";
	std::string c = "data: no id\n\n";
	std::string rest = "id: 4\ndata: unfinished";
	std::string text = a + b + c + rest;

	for (size_t chunk_size = 1; chunk_size <= text.size(); chunk_size++) {
		struct event_stream s = {};
		struct stream_event ev;
		std::string events[3];
		int64_t ids[3] = { -1, -1, -1 };
		int count = 0;

		for (size_t offset = 0; offset < text.size(); offset += chunk_size) {
			std::string chunk = text.substr(offset, chunk_size);

			event_stream_feed(&s, str{ chunk.data(), chunk.size() });
			while (event_stream_next(&s, &ev)) {
				ASSERT_LT(count, 3);
				events[count].assign(ev.raw.data, ev.raw.len);
				ids[count++] = ev.id;
			}
		}
		ASSERT_EQ(count, 3);
		EXPECT_EQ(events[0], a);
		EXPECT_EQ(events[1], b);
		EXPECT_EQ(events[2], c);
		EXPECT_EQ(ids[0], 1);
		EXPECT_EQ(ids[1], 2);
		EXPECT_EQ(ids[2], -1);
		EXPECT_TRUE(event_stream_has_partial(&s));
		event_stream_reset(&s);
		EXPECT_FALSE(event_stream_has_partial(&s));
		event_stream_free(&s);
	}
}

/*
 * Guards against work that grows with the square of an unfinished event's lines: bytes that never
 * end an event would hold up the only thread.
 */
TEST(EventStream, EachByteOfAnUnfinishedEventIsReadOnce)
{
	std::string text;
	struct event_stream s = {};
	struct stream_event ev;
	int64_t from = clock_boot_ms();

	for (int i = 0; i < 300000; i++)
		text += "ab\n";
	event_stream_feed(&s, str{ text.data(), text.size() });
	EXPECT_FALSE(event_stream_next(&s, &ev));
	for (int i = 0; i < 5000; i++) {
		event_stream_feed(&s, str{ "ab\n", 3 });
		ASSERT_FALSE(event_stream_next(&s, &ev));
	}
	/* Also in a line that does not end. */
	for (int i = 0; i < 5000; i++) {
		event_stream_feed(&s, str{ "a", 1 });
		ASSERT_FALSE(event_stream_next(&s, &ev));
	}
	EXPECT_LT(clock_boot_ms() - from, 2000);
	event_stream_feed(&s, str{ "\n\n", 2 });
	EXPECT_TRUE(event_stream_next(&s, &ev));
	EXPECT_EQ(ev.raw.len, text.size() + 5000 * 3 + 5000 + 2);
	event_stream_free(&s);
}
