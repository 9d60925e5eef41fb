#include <gtest/gtest.h>

#include <memory>
#include <random>

extern "C" {
#include "ibisgate/state/liveness.h"
}

static struct liveness_set make_set(int count, uint32_t age_ms = 100)
{
	struct liveness_set s = {};

	for (int i = 0; i < count; i++)
		s.entries[s.count++] = { 1000u + (uint32_t)i, MEMBER_LIVE, age_ms };
	return s;
}

static const struct liveness_entry *find_entry(const struct liveness_set &s, uint32_t tag)
{
	for (int i = 0; i < s.count; i++) {
		if (s.entries[i].tag == tag)
			return &s.entries[i];
	}
	return nullptr;
}

/* Guards against deltas that repeat unchanged members or omit changed ones. */
TEST(Liveness, DeltaContainsOnlyChanges)
{
	struct liveness_set now = make_set(35);
	struct liveness_sent base = { now, now };
	struct liveness_list l = {};
	struct liveness_set out = {};
	struct liveness_received received = {};

	liveness_list_build(&base, &now, true, 1000, &l);
	liveness_list_apply(&received, &l, &out);
	EXPECT_EQ(out.count, 35);
	liveness_list_build(&base, &now, false, 1000, &l);
	EXPECT_EQ(l.count, 0);
	EXPECT_EQ(l.age_ms, 100u);
	now.entries[3].state = MEMBER_DRAINING;
	now.entries[4].age_ms = 1500;
	now.entries[5] = { 7, MEMBER_LIVE, 0 };
	liveness_list_build(&base, &now, false, 1000, &l);
	EXPECT_EQ(l.count, 4) << "changed, late, new, no longer reported";
	liveness_list_apply(&received, &l, &out);
	EXPECT_EQ(out.count, 35);
	EXPECT_EQ(find_entry(out, 1003)->state, MEMBER_DRAINING);
	EXPECT_EQ(find_entry(out, 1004)->age_ms, 1500u) << "a late member has its own age";
	EXPECT_EQ(find_entry(out, 1006)->age_ms, 100u);
	EXPECT_FALSE(find_entry(out, 1005));
	EXPECT_TRUE(find_entry(out, 7));
}

/* Guards against reporting members that were removed by a full list that got lost. */
TEST(Liveness, AfterALostFullListOnlyListedMembersCount)
{
	struct liveness_set before = make_set(10);
	struct liveness_set after = make_set(9);
	struct liveness_sent sent = { after, after };
	struct liveness_received received = { before, before };
	struct liveness_list l = {};
	struct liveness_set out = {};

	liveness_list_build(&sent, &after, false, 1000, &l);
	liveness_list_apply(&received, &l, &out);
	EXPECT_EQ(out.count, 0);
	liveness_list_build(&sent, &after, true, 1000, &l);
	liveness_list_apply(&received, &l, &out);
	EXPECT_EQ(out.count, 9);
}

/*
 * Guards against a change that first appears in a full list that gets lost: the deltas after it
 * must still contain the change, or no member of the data centre is reported until the next full
 * list.
 */
TEST(Liveness, AChangeInALostFullListIsInLaterDeltas)
{
	struct liveness_set before = make_set(10);
	struct liveness_set after = make_set(11);
	struct liveness_sent sent = { before, before };
	struct liveness_received received = { before, before };
	struct liveness_list l = {};
	struct liveness_set out = {};

	after.entries[0].state = MEMBER_DRAINING;
	after.entries[1] = after.entries[10];
	after.count = 10;
	liveness_sent_rebase(&sent, &after);
	liveness_list_build(&sent, &after, false, 1000, &l);
	liveness_list_apply(&received, &l, &out);
	EXPECT_EQ(out.count, 10);
	EXPECT_EQ(find_entry(out, 1000)->state, MEMBER_DRAINING);
	EXPECT_FALSE(find_entry(out, 1001));
	/* The next full list is lost as well. */
	liveness_sent_rebase(&sent, &after);
	liveness_list_build(&sent, &after, false, 1000, &l);
	EXPECT_EQ(l.count, 0);
	liveness_list_apply(&received, &l, &out);
	EXPECT_EQ(out.count, 10);
}

/*
 * Guards against a lost heartbeat that makes a live member suspect, and against reporting a dead
 * member as alive for ever. The member is in another data centre and seen through two delegates.
 */
static void play_lost_heartbeats(uint64_t seed, int64_t died_ms)
{
	std::mt19937_64 rng(seed);
	struct member self = {};

	self.incarnation = 1;
	snprintf(self.id, sizeof(self.id), "self");
	struct member_table *t = member_table_create(&self);
	struct member remote_member = {};
	snprintf(remote_member.id, sizeof(remote_member.id), "q");
	remote_member.incarnation = 1;
	remote_member.state = MEMBER_LIVE;
	struct liveness_sent sent[2] = {};
	struct liveness_received received[2] = {};
	int64_t remote_heard_ms = 0;
	int64_t own_heard_ms = 0;
	int64_t suspected_ms = 0;
	int loss_cooldown = 0;

	for (int64_t now = 500; now < died_ms + 20000; now += 500) {
		auto l = std::make_unique<struct liveness_list>();
		auto out = std::make_unique<struct liveness_set>();
		/* Single losses only: two in a row last as long as the suspicion timeout. */
		bool lost = !loss_cooldown && rng() % 4 == 0;
		bool full = now % LIVENESS_FULL_INTERVAL_MS == 0;
		int64_t heard[2] = { remote_heard_ms, own_heard_ms };

		loss_cooldown = lost ? 2 : loss_cooldown - (loss_cooldown > 0);
		if (now < died_ms)
			heard[0] = remote_heard_ms = now - (int64_t)(rng() % 500);
		for (int hop = 0; hop < 2; hop++) {
			struct liveness_set all = {};

			if (hop == 0 && now % MEMBER_SUMMARY_MS != 0)
				continue;
			heard[1] = own_heard_ms;
			if (heard[hop] && now - heard[hop] < MEMBER_SUSPECT_MS + 1500 * hop)
				all.entries[all.count++] = { 5, MEMBER_LIVE,
							     (uint32_t)(now - heard[hop]) };
			liveness_list_build(&sent[hop], &all, full, hop ? 2500 : 1000, l.get());
			if (full)
				liveness_sent_rebase(&sent[hop], &all);
			if (lost && hop == 1)
				continue;
			liveness_list_apply(&received[hop], l.get(), out.get());
			if (!out->count)
				continue;
			if (hop == 0)
				own_heard_ms = now - out->entries[0].age_ms;
			remote_member.last_heard_ms = now - out->entries[0].age_ms;
			if (hop == 1)
				member_update(t, &remote_member, false, now);
		}
		member_table_tick(t, now);
		const struct member *m = member_find(t, "q");
		if (now > 5000 && now < died_ms) {
			ASSERT_EQ(m->state, MEMBER_LIVE) << "seed " << seed << " at " << now;
		}
		if (now >= died_ms && m->state != MEMBER_LIVE && !suspected_ms)
			suspected_ms = now;
	}
	EXPECT_EQ(member_find(t, "q")->state, MEMBER_GONE);
	EXPECT_LE(suspected_ms - died_ms, MEMBER_SUSPECT_MS + 2500);
	member_table_destroy(t);
}

TEST(Liveness, LostHeartbeatsDoNotSuspectLiveMembersOrKeepDeadOnes)
{
	uint64_t seed = std::random_device{}();

	std::cout << "seed " << seed << "\n";
	play_lost_heartbeats(seed, 600000);
	/* This seed and 54 of 1 to 1500 failed at 5500 ms: two full lists in a row were lost. */
	play_lost_heartbeats(2701753272, 600000);
	for (seed = 1; seed <= 1500 && !HasFatalFailure(); seed++)
		play_lost_heartbeats(seed, 20000);
}
