#include <gtest/gtest.h>
#include <random>
#include <string>

extern "C" {
#include "ibisgate/state/snapshot.h"
}

static bool add_part(snapshot_assembly &a, const std::string &whole, size_t at, size_t len,
		     int64_t now, const char *from = "a", int64_t version = 7)
{
	snapshot_part part = { version, whole.size(), at, { whole.data() + at, len } };

	return snapshot_part_add(&a, from, &part, now);
}

/* Guards against assembling a text when parts are lost, repeated, reordered or mixed. */
TEST(Snapshot, AcceptsOnlyACompleteText)
{
	const unsigned seed = std::random_device{}();
	std::mt19937 random(seed);
	int whole = 0;

	for (int round = 0; round < 3000; round++) {
		snapshot_assembly a = {};
		const std::string text[2] = { "0123456789abcdef", "ABCDEFGHIJKLMNOP" };

		for (int i = 0; i < 12; i++) {
			int of = random() % 8 == 0;
			size_t at = random() % 4 ? a.text.len % 16 : random() % 16;
			size_t len = std::min<size_t>(16 - at, 1 + random() % 8);

			if (!add_part(a, text[of], at, len, i, of ? "b" : "a"))
				continue;
			std::string got(a.text.data, a.text.len);
			ASSERT_TRUE(got == text[0] || got == text[1]) << got << " seed " << seed;
			whole++;
			snapshot_reset(&a);
		}
		snapshot_reset(&a);
	}
	EXPECT_GT(whole, 100) << "seed " << seed;
}

/*
 * Guards against a peer that dies during a snapshot and blocks all others, and against one whose
 * snapshot is interrupted by another peer.
 */
TEST(Snapshot, AnotherPeerIsIgnoredUntilThePause)
{
	snapshot_assembly a = {};
	const std::string text = "0123456789";

	EXPECT_FALSE(add_part(a, text, 0, 5, 0));
	EXPECT_TRUE(snapshot_busy(&a, SNAPSHOT_PAUSE_MS - 1));
	EXPECT_FALSE(add_part(a, text, 0, 10, 100, "b")) << "the snapshot of a is incomplete";
	EXPECT_FALSE(snapshot_busy(&a, SNAPSHOT_PAUSE_MS));
	EXPECT_TRUE(add_part(a, text, 0, 10, SNAPSHOT_PAUSE_MS, "b"));
	snapshot_reset(&a);
}

/* Guards against allocating memory for sizes that a faulty peer declares. */
TEST(Snapshot, RefusesInvalidSizesAndOffsets)
{
	const std::string text = "0123456789";

	for (uint64_t total :
	     { (uint64_t)0, (uint64_t)5, (uint64_t)SNAPSHOT_MAX + 1, UINT64_MAX }) {
		snapshot_assembly a = {};
		snapshot_part part = { 7, total, 0, { text.data(), text.size() } };

		EXPECT_FALSE(snapshot_part_add(&a, "a", &part, 0)) << total;
		EXPECT_EQ(a.text.len, 0u);
		snapshot_reset(&a);
	}
	for (uint64_t offset : { UINT64_MAX, (uint64_t)9 }) {
		snapshot_assembly a = {};
		snapshot_part part = { 7, 10, offset, { text.data(), text.size() } };

		EXPECT_FALSE(snapshot_part_add(&a, "a", &part, 0)) << offset;
		snapshot_reset(&a);
	}
}
