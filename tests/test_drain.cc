#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>

extern "C" {
#include "ibisgate/state/drain.h"
}

/* Guards against sending an order to an engine that may still run a request of some member. */
TEST(Drain, NoOrderUntilEveryMemberConfirmsNothingInFlight)
{
	uint64_t base = std::random_device{}();
	int ordered = 0;

	std::cout << "seed " << base << "\n";
	for (uint64_t seed = base; seed < base + 3000; seed++) {
		std::mt19937_64 rng(seed);
		std::map<std::string, std::pair<uint64_t, int>> expected_acks;
		struct order o = {};
		struct drain d;

		o.kind = ORDER_ROLE;
		drain_begin(&d, &o, nullptr, 0, 0);
		auto join = [&](const std::string &id, uint64_t inc) {
			auto it = expected_acks.find(id);

			if (it == expected_acks.end() || it->second.first < inc)
				expected_acks[id] = { inc, -1 };
			drain_add_member(&d, id.c_str(), inc);
		};
		for (int i = 0; i < 4; i++)
			join("m" + std::to_string(i), 1);
		for (int64_t now = 0; now < 60; now++) {
			std::string id = "m" + std::to_string(rng() % 6);
			drain_event ev = { DRAIN_EV_TICK, nullptr, 0, 0 };
			drain_phase before = d.phase;

			switch (rng() % 8) {
			case 0:
				ev.kind = DRAIN_EV_INTENT_WRITTEN;
				break;
			case 1:
			case 2:
			case 3:
				ev.kind = DRAIN_EV_ACK;
				ev.member = id.c_str();
				ev.incarnation = 1 + rng() % 2;
				ev.in_flight = (int)(rng() % 2);
				if (!expected_acks.count(id) ||
				    expected_acks[id].first <= ev.incarnation)
					expected_acks[id] = { ev.incarnation, ev.in_flight };
				break;
			case 4:
				if (rng() % 8 == 0)
					join(id, 1 + rng() % 2);
				break;
			case 5:
				ev.kind = DRAIN_EV_MEMBER_GONE;
				ev.member = id.c_str();
				ev.incarnation = 1;
				if (expected_acks.count(id) && expected_acks[id].first <= 1)
					expected_acks.erase(id);
				break;
			default:
				break;
			}
			drain_action a = drain_handle_event(&d, &ev, now);
			if (a != DRAIN_DO_SEND_ORDER)
				continue;
			ordered++;
			ASSERT_NE(before, DRAIN_INTENT) << "seed " << seed;
			ASSERT_FALSE(expected_acks.empty()) << "seed " << seed;
			for (auto &t : expected_acks)
				ASSERT_EQ(t.second.second, 0) << "seed " << seed << " " << t.first;
		}
	}
	EXPECT_GT(ordered, 100);
}

static drain_action feed(struct drain *d, drain_event_kind kind)
{
	drain_event ev = { kind, "a", 1, 0 };

	return drain_handle_event(d, &ev, 1);
}

/* Guards against skipping a phase, and against sending requests before the intent is cleared. */
TEST(Drain, PassesThroughAllPhases)
{
	struct member a = {};
	const struct member *members[] = { &a };
	struct order o = {};
	struct drain d;

	snprintf(a.id, sizeof(a.id), "a");
	a.incarnation = 1;
	o.kind = ORDER_ROLE;
	drain_begin(&d, &o, members, 1, 0);
	EXPECT_EQ(feed(&d, DRAIN_EV_TICK), DRAIN_DO_WRITE_INTENT);
	EXPECT_EQ(feed(&d, DRAIN_EV_INTENT_WRITTEN), DRAIN_DO_SEND_LEAVE);
	EXPECT_EQ(feed(&d, DRAIN_EV_TICK), DRAIN_DO_SEND_LEAVE);
	feed(&d, DRAIN_EV_ACK);
	EXPECT_EQ(feed(&d, DRAIN_EV_TICK), DRAIN_DO_SEND_ORDER);
	feed(&d, DRAIN_EV_ORDER_REFUSED);
	EXPECT_EQ(feed(&d, DRAIN_EV_TICK), DRAIN_DO_SEND_ORDER) << "a refused order is sent again";
	feed(&d, DRAIN_EV_ORDER_ACCEPTED);
	EXPECT_EQ(feed(&d, DRAIN_EV_TICK), DRAIN_DO_POLL_ENDPOINT);
	EXPECT_EQ(feed(&d, DRAIN_EV_ORDER_FINISHED), DRAIN_DO_CLEAR_INTENT);
	EXPECT_EQ(feed(&d, DRAIN_EV_INTENT_CLEARED), DRAIN_DO_SEND_RETURN);
	EXPECT_EQ(feed(&d, DRAIN_EV_TICK), DRAIN_DO_NOTHING);
}

/* Guards against a former lease holder that continues with an order. */
TEST(Drain, AbortsWhenTheLeaseIsLost)
{
	struct order o = {};
	struct drain d;

	drain_begin(&d, &o, nullptr, 0, 0);
	drain_add_member(&d, "a", 1);
	feed(&d, DRAIN_EV_INTENT_WRITTEN);
	feed(&d, DRAIN_EV_ACK);
	feed(&d, DRAIN_EV_LEASE_LOST);
	EXPECT_EQ(feed(&d, DRAIN_EV_TICK), DRAIN_DO_NOTHING);
	EXPECT_EQ(d.phase, DRAIN_ABORTED);
}
