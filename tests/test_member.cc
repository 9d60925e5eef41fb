#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>

extern "C" {
#include "ibisgate/state/member.h"
}

static struct member make_member(const std::string &id, const char *dc, uint64_t inc,
				 member_state state = MEMBER_LIVE)
{
	struct member m = {};

	snprintf(m.id, sizeof(m.id), "%s", id.c_str());
	snprintf(m.dc, sizeof(m.dc), "%s", dc);
	snprintf(m.peer, sizeof(m.peer), "10.0.0.1:1");
	m.incarnation = inc;
	m.state = state;
	m.hears_us = true;
	return m;
}

/*
 * Guards against keeping a dead member, dropping a live one, and replacing a member by an earlier
 * incarnation. Compares with a simple table.
 */
TEST(Member, StatesMatchReferenceModel)
{
	uint64_t seed = std::random_device{}();
	std::mt19937_64 rng(seed);
	struct member self = make_member("self", "a", 1);
	struct member_table *t = member_table_create(&self);
	std::map<std::string, std::pair<uint64_t, int64_t>> model;
	int64_t now = 10000;

	std::cout << "seed " << seed << "\n";
	for (int i = 0; i < 50000; i++) {
		std::string id = "m" + std::to_string(rng() % 8);
		uint64_t inc = 1 + (uint64_t)i / 5000 + rng() % 2;
		struct member m = make_member(id, "a", inc);

		now += (int64_t)(rng() % 400);
		if (rng() % 3) {
			member_update(t, &m, true, now);
			if (!model.count(id) || model[id].first <= inc)
				model[id] = { inc, now };
		}
		member_table_tick(t, now);
		int live = 1;
		for (auto &n : model) {
			const struct member *k = member_find(t, n.first.c_str());
			int64_t age = now - n.second.second;
			member_state want = age >= MEMBER_GONE_MS      ? MEMBER_GONE
					    : age >= MEMBER_SUSPECT_MS ? MEMBER_SUSPECT
								       : MEMBER_LIVE;

			ASSERT_TRUE(k);
			ASSERT_EQ(k->state, want) << "seed " << seed << " step " << i;
			ASSERT_EQ(k->incarnation, n.second.first) << "seed " << seed;
			live += want == MEMBER_LIVE;
		}
		ASSERT_EQ(member_count_live(t, "a"), live);
	}
	member_table_destroy(t);
}

/*
 * Guards against full mesh traffic between data centres, and against not noticing the end of a
 * partition.
 */
TEST(Member, OnlyDelegatesSendBetweenDataCentres)
{
	struct member self = make_member("b", "x", 1);
	struct member_table *t = member_table_create(&self);
	struct member remote1 = make_member("p", "y", 1);
	struct member remote2 = make_member("q", "y", 1);

	member_update(t, &remote1, true, 10);
	member_update(t, &remote2, false, 10);
	EXPECT_TRUE(member_is_heartbeat_target(t, member_find(t, "p")));
	EXPECT_FALSE(member_is_heartbeat_target(t, member_find(t, "q")));
	EXPECT_FALSE(member_is_heartbeat_target(t, member_find(t, "b")));
	member_add_address(t, "new", "y", "10.0.0.9:1", 10);
	EXPECT_TRUE(member_is_heartbeat_target(t, member_find(t, "new"))) << "never heard from";
	member_table_tick(t, 60000);
	EXPECT_EQ(member_find(t, "p")->state, MEMBER_GONE);
	EXPECT_TRUE(member_is_heartbeat_target(t, member_find(t, "p")))
		<< "probed to notice the end of a partition";
	struct member lower = make_member("a", "x", 1);
	member_update(t, &lower, true, 60000);
	EXPECT_FALSE(member_is_heartbeat_target(t, member_find(t, "p")))
		<< "no longer the delegate";
	member_table_destroy(t);
}

/* Guards against sending heartbeats to all former instances. */
TEST(Member, RemovesMembersThatAreGoneForLong)
{
	struct member self = make_member("b", "x", 1);
	struct member_table *t = member_table_create(&self);
	struct member old = make_member("a", "x", 1);

	member_update(t, &old, true, 0);
	member_add_address(t, "never", "x", "10.0.0.1:1", 0);
	member_add_address(t, "still", "x", "10.0.0.1:1", 500000);
	member_table_tick(t, 600001);
	EXPECT_FALSE(member_find(t, "a"));
	EXPECT_FALSE(member_find(t, "never"));
	EXPECT_TRUE(member_find(t, "still"));
	EXPECT_TRUE(member_find(t, "b"));
	member_table_destroy(t);
}

/* Guards against members that keep a dead one alive by repeating each other's reports of it. */
TEST(Member, OldReportsDoNotKeepAMemberAlive)
{
	struct member self = make_member("b", "x", 1);
	struct member_table *t = member_table_create(&self);
	struct member remote_member = make_member("q", "y", 1);

	remote_member.last_heard_ms = 1000;
	for (int64_t now = 1000; now < 20000; now += 500) {
		member_update(t, &remote_member, false, now);
		member_table_tick(t, now);
	}
	EXPECT_EQ(member_find(t, "q")->state, MEMBER_GONE);
	member_table_destroy(t);
}
