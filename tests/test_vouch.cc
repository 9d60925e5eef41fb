#include <gtest/gtest.h>

#include <memory>
#include <random>

extern "C" {
#include "ibisgate/state/vouch.h"
}

static struct vouch_set make(int count, uint32_t age_ms = 100)
{
	struct vouch_set s = {};

	for (int i = 0; i < count; i++)
		s.entries[s.count++] = { 1000u + (uint32_t)i, MEMBER_LIVE, age_ms };
	return s;
}

static const struct vouch *find(const struct vouch_set &s, uint32_t tag)
{
	for (int i = 0; i < s.count; i++) {
		if (s.entries[i].tag == tag)
			return &s.entries[i];
	}
	return nullptr;
}

/* Guards against partial lists that repeat what has not changed, or keep back what has. */
TEST(Vouch, PartialListNamesChangesOnly)
{
	struct vouch_set base = make(35);
	struct vouch_set now = base;
	struct vouch_list l = {};
	struct vouch_set out = {};
	struct vouch_set received = {};

	vouch_list_make(&base, &now, true, 1000, &l);
	vouch_list_read(&received, &l, &out);
	EXPECT_EQ(out.count, 35);
	vouch_list_make(&base, &now, false, 1000, &l);
	EXPECT_EQ(l.count, 0);
	EXPECT_EQ(l.age_ms, 100u);
	now.entries[3].state = MEMBER_DRAINING;
	now.entries[4].age_ms = 1500;
	now.entries[5] = { 7, MEMBER_LIVE, 0 };
	vouch_list_make(&base, &now, false, 1000, &l);
	EXPECT_EQ(l.count, 4) << "changed, late, new, no longer vouched for";
	vouch_list_read(&received, &l, &out);
	EXPECT_EQ(out.count, 35);
	EXPECT_EQ(find(out, 1003)->state, MEMBER_DRAINING);
	EXPECT_EQ(find(out, 1004)->age_ms, 1500u) << "one late member makes no other look old";
	EXPECT_EQ(find(out, 1006)->age_ms, 100u);
	EXPECT_FALSE(find(out, 1005));
	EXPECT_TRUE(find(out, 7));
}

/* Guards against members of a changed list that nobody vouches for any more. */
TEST(Vouch, LostFullListVouchesForNoneButTheNamed)
{
	struct vouch_set before = make(10);
	struct vouch_set after = make(9);
	struct vouch_set received = before;
	struct vouch_list l = {};
	struct vouch_set out = {};

	vouch_list_make(&after, &after, false, 1000, &l);
	vouch_list_read(&received, &l, &out);
	EXPECT_EQ(out.count, 0);
	vouch_list_make(&after, &after, true, 1000, &l);
	vouch_list_read(&received, &l, &out);
	EXPECT_EQ(out.count, 9);
}

/*
 * A member of another data centre as seen through two delegates. Guards against a lost heartbeat
 * that makes a live member look suspect, and against a dead one that is vouched for on and on.
 */
TEST(Vouch, LostHeartbeatsKeepMembersAndDeadOnesGo)
{
	uint64_t seed = std::random_device{}();
	std::mt19937_64 rng(seed);
	const int64_t died_ms = 600000;
	struct member self = {};

	std::cout << "seed " << seed << "\n";
	self.incarnation = 1;
	snprintf(self.id, sizeof(self.id), "self");
	struct member_table *t = member_table_create(&self);
	struct member far_one = {};
	snprintf(far_one.id, sizeof(far_one.id), "q");
	far_one.incarnation = 1;
	far_one.state = MEMBER_LIVE;
	struct vouch_set told[2] = {};
	struct vouch_set known[2] = {};
	int64_t heard_far = 0;
	int64_t heard_own = 0;
	int64_t suspected = 0;
	int lost_in_a_row = 0;

	for (int64_t now = 500; now < died_ms + 20000; now += 500) {
		auto l = std::make_unique<struct vouch_list>();
		auto out = std::make_unique<struct vouch_set>();
		/* Single losses only: two in a row are as long as the time of suspicion. */
		bool lost = !lost_in_a_row && rng() % 4 == 0;
		bool full = now % VOUCH_FULL_MS == 0;
		int64_t heard[2] = { heard_far, heard_own };

		lost_in_a_row = lost ? 2 : lost_in_a_row - (lost_in_a_row > 0);
		if (now < died_ms)
			heard[0] = heard_far = now - (int64_t)(rng() % 500);
		for (int hop = 0; hop < 2; hop++) {
			struct vouch_set all = {};

			if (hop == 0 && now % MEMBER_SUMMARY_MS != 0)
				continue;
			heard[1] = heard_own;
			if (heard[hop] && now - heard[hop] < MEMBER_SUSPECT_MS + 1500 * hop)
				all.entries[all.count++] = { 5, MEMBER_LIVE,
							     (uint32_t)(now - heard[hop]) };
			vouch_list_make(&told[hop], &all, full, hop ? 2500 : 1000, l.get());
			if (full)
				told[hop] = all;
			if (lost && hop == 1)
				continue;
			vouch_list_read(&known[hop], l.get(), out.get());
			if (!out->count)
				continue;
			if (hop == 0)
				heard_own = now - out->entries[0].age_ms;
			far_one.heard_ms = now - out->entries[0].age_ms;
			if (hop == 1)
				member_heard(t, &far_one, false, now);
		}
		member_tick(t, now);
		const struct member *m = member_find(t, "q");
		if (now > 5000 && now < died_ms) {
			ASSERT_EQ(m->state, MEMBER_LIVE) << "seed " << seed << " at " << now;
		}
		if (now >= died_ms && m->state != MEMBER_LIVE && !suspected)
			suspected = now;
	}
	EXPECT_EQ(member_find(t, "q")->state, MEMBER_GONE);
	EXPECT_LE(suspected - died_ms, MEMBER_SUSPECT_MS + 2500);
	member_table_destroy(t);
}
