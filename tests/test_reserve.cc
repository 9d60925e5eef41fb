#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <random>
#include <vector>

extern "C" {
#include "ibisgate/state/reserve.h"
}

namespace
{

const uint64_t two_members[] = { 1, 2 };

/*
 * Guards against a suspect request that waits although there is no other instance, and against one
 * that runs next to other requests.
 */
TEST(Reserve, GrantedOnceAllMembersConfirmNothingInFlight)
{
	struct reserve r;

	reserve_begin(&r, false, nullptr, 0, 0);
	EXPECT_TRUE(reserve_is_held(&r, 0)) << "a single instance";
	reserve_begin(&r, false, two_members, 2, 0);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 1);
	reserve_confirm(&r, 2, 1, RESERVE_CONFIRMED, 3, 1);
	EXPECT_EQ(r.phase, RESERVE_REQUESTED);
	reserve_confirm(&r, 3, 1, RESERVE_CONFIRMED, 0, 1);
	EXPECT_EQ(r.phase, RESERVE_REQUESTED) << "not a member";
	reserve_confirm(&r, 2, 1, RESERVE_CONFIRMED, 0, 2);
	EXPECT_TRUE(reserve_is_held(&r, 2));
}

/*
 * Guards against an unreachable instance that blocks a suspect request, and against relying on its
 * old confirmation when it is back.
 */
TEST(Reserve, UnreachableMembersAreExcludedUntilTheyConfirmAgain)
{
	struct reserve r;

	reserve_begin(&r, false, two_members, 2, 0);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 1);
	reserve_set_members(&r, two_members, 1, 2000);
	EXPECT_TRUE(reserve_is_held(&r, 2000));
	reserve_set_members(&r, two_members, 2, 2500);
	EXPECT_FALSE(reserve_is_held(&r, 2500)) << "it may have sent requests meanwhile";
	reserve_confirm(&r, 2, 1, RESERVE_CONFIRMED, 0, 2600);
	EXPECT_TRUE(reserve_is_held(&r, 2600));
}

/* Guards against a paused holder that assumes it held its reservation without interruption. */
TEST(Reserve, ExpiredReservationNeverBecomesValidAgain)
{
	struct reserve r;

	reserve_begin(&r, false, two_members, 1, 0);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 5);
	EXPECT_TRUE(reserve_is_held(&r, RESERVE_TERM_MS - 1));
	EXPECT_FALSE(reserve_is_held(&r, RESERVE_TERM_MS))
		<< "the term starts before the request is sent";
	EXPECT_FALSE(reserve_tick(&r, RESERVE_TERM_MS));
	EXPECT_EQ(r.phase, RESERVE_EXPIRED);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, RESERVE_TERM_MS + 1);
	EXPECT_FALSE(reserve_is_held(&r, RESERVE_TERM_MS + 1));
}

/* Guards against a lost message that is never resent, and a reservation that is not renewed. */
TEST(Reserve, ResendsAndRenewsRequests)
{
	struct reserve r;

	reserve_begin(&r, false, two_members, 1, 0);
	EXPECT_FALSE(reserve_tick(&r, RESERVE_RESEND_MS - 1));
	EXPECT_TRUE(reserve_tick(&r, RESERVE_RESEND_MS));
	EXPECT_EQ(r.round, 1u);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 300);
	EXPECT_FALSE(reserve_tick(&r, RESERVE_RENEW_MS - 1)) << "answered";
	EXPECT_TRUE(reserve_tick(&r, RESERVE_RENEW_MS));
	EXPECT_EQ(r.round, 2u);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 2001);
	EXPECT_FALSE(reserve_is_held(&r, RESERVE_TERM_MS)) << "a response to an old round";
	reserve_begin(&r, false, two_members, 1, 0);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 1);
	reserve_tick(&r, RESERVE_RENEW_MS);
	reserve_confirm(&r, 1, 2, RESERVE_CONFIRMED, 0, 2001);
	EXPECT_TRUE(reserve_is_held(&r, RESERVE_TERM_MS));
}

/*
 * Guards against a suspect request that can't run because only the last engine of its role is left,
 * and against treating an engine that is shared as reserved for it alone.
 */
TEST(Reserve, LastEngineOfARoleIsShared)
{
	struct reserve r;

	for (auto answer : { RESERVE_SHARED, RESERVE_DOWN, RESERVE_REFUSED }) {
		reserve_begin(&r, false, two_members, 1, 0);
		reserve_confirm(&r, 1, 1, answer, 0, 1);
		EXPECT_EQ(r.phase, RESERVE_LOST);
		reserve_begin(&r, true, two_members, 1, 0);
		reserve_confirm(&r, 1, 1, answer, 4, 1);
		EXPECT_EQ(r.phase, answer == RESERVE_REFUSED ? RESERVE_LOST : RESERVE_GRANTED);
	}
}

/* Guards against ignoring a response or a time limit. Compares with a simple implementation. */
TEST(Reserve, MatchesReferenceModel)
{
	uint64_t seed = std::random_device{}();
	std::mt19937_64 rng(seed);

	std::cout << "seed " << seed << "\n";
	for (int run = 0; run < 300; run++) {
		struct member_model {
			int in_flight = -1;
			int64_t until = 0;
		};
		std::map<uint64_t, member_model> all;
		std::vector<uint64_t> live;
		struct reserve r;
		int64_t now = 0;
		int64_t sent = 0;
		uint32_t round = 1;
		int phase = 0; /* 0 requested, 1 granted, 2 ended */

		auto choose_members = [&] {
			live.clear();
			for (uint64_t k = 1; k <= 5; k++) {
				if (rng() % 4)
					live.push_back(k);
			}
			for (uint64_t k = 1; k <= 5; k++) {
				bool in = std::find(live.begin(), live.end(), k) != live.end();

				if (in)
					all[k];
				else
					all.erase(k);
			}
		};
		auto all_confirmed_idle = [&] {
			for (auto &m : all) {
				if (m.second.in_flight != 0 || now >= m.second.until)
					return false;
			}
			return true;
		};
		auto expire_model = [&] {
			for (auto &m : all) {
				if (phase == 1 && m.second.in_flight >= 0 && now >= m.second.until)
					phase = 2;
			}
		};
		choose_members();
		reserve_begin(&r, false, live.data(), (int)live.size(), now);
		phase = all_confirmed_idle();
		for (int i = 0; i < 60; i++) {
			now += (int64_t)(rng() % 900);
			switch (rng() % 8) {
			case 0:
				expire_model();
				choose_members();
				reserve_set_members(&r, live.data(), (int)live.size(), now);
				break;
			case 1:
				expire_model();
				if (phase == 0 && all_confirmed_idle())
					phase = 1;
				if (phase < 2 && now - sent >= RESERVE_RENEW_MS) {
					round++;
					sent = now;
				}
				reserve_tick(&r, now);
				break;
			default: {
				uint64_t k = rng() % 6 + 1;
				uint32_t of = round - (rng() % 8 == 0);
				int n = rng() % 3 == 0;
				bool refused = rng() % 100 == 0;

				expire_model();
				if (phase < 2 && all.count(k)) {
					if (refused)
						phase = 2;
					else if (of == round)
						all[k] = { n, sent + RESERVE_TERM_MS };
				}
				reserve_confirm(&r, k, of,
						refused ? RESERVE_REFUSED : RESERVE_CONFIRMED, n,
						now);
			}
			}
			if (phase == 0 && all_confirmed_idle())
				phase = 1;
			ASSERT_EQ(reserve_is_held(&r, now), phase == 1 && all_confirmed_idle())
				<< "seed " << seed << " run " << run << " step " << i;
		}
	}
}

static reserve_entry make_offer(const char *holder, const char *token, uint64_t stamp)
{
	reserve_entry m = { .stamp = stamp, .until_ms = 100 };

	snprintf(m.holder, sizeof(m.holder), "%s", holder);
	snprintf(m.token, sizeof(m.token), "%s", token);
	return m;
}

/*
 * Guards against instances that resolve a conflict differently, and against displacing a
 * reservation that is already granted.
 */
TEST(Reserve, EarlierReservationTakesPrecedence)
{
	reserve_entry a = make_offer("a", "t1", 10);
	reserve_entry b = make_offer("b", "t2", 10);
	reserve_entry early = make_offer("c", "t3", 9);
	reserve_entry m = {};
	reserve_entry out;

	EXPECT_TRUE(reserve_entry_offer(&m, &b, &out, 0));
	EXPECT_STREQ(out.holder, "");
	EXPECT_TRUE(reserve_entry_offer(&m, &a, &out, 0)) << "same clock, lower id";
	EXPECT_STREQ(out.token, "t2");
	EXPECT_FALSE(reserve_entry_offer(&m, &b, &out, 0));
	EXPECT_STREQ(m.holder, "a");
	m.granted = true;
	EXPECT_FALSE(reserve_entry_offer(&m, &early, &out, 0)) << "already granted";
	EXPECT_TRUE(reserve_entry_offer(&m, &a, &out, 0)) << "a renewal";
	EXPECT_TRUE(reserve_entry_offer(&m, &early, &out, 0));
	EXPECT_TRUE(reserve_entry_offer(&m, &b, &out, 100)) << "the reservation has expired";
}

/* One instance of the simulation below. */
struct sim_instance {
	char id[8];
	uint64_t clock = 0;
	struct reserve own = {};
	struct reserve_entry own_entry = {};
	struct reserve_entry mark = {};
};

struct message {
	int64_t at;
	int from;
	int to;
	enum { REQUEST, ANSWER, RELEASE } kind;
	uint64_t clock;
	struct reserve_entry mark;
	enum reserve_answer answer;
};

/*
 * Guards against two holders of one engine. Instances request it repeatedly over a simulated
 * network that delays and loses messages.
 */
TEST(Reserve, NeverHasTwoHolders)
{
	uint64_t seed = std::random_device{}();
	std::mt19937_64 rng(seed);
	const int instance_count = 4;
	int granted = 0;

	std::cout << "seed " << seed << "\n";
	for (int run = 0; run < 60; run++) {
		std::vector<sim_instance> n(instance_count);
		std::vector<message> messages;
		/* Time of the last message per connection; connections deliver in order. */
		std::map<std::pair<int, int>, int64_t> last;
		int64_t now = 1000;

		auto send = [&](int from, int to, message l) {
			int64_t &prev = last[{ from, to }];

			l.from = from;
			l.to = to;
			l.clock = ++n[from].clock;
			l.at = prev = std::max(prev + 1, now + (int64_t)(rng() % 60));
			if (rng() % 20)
				messages.push_back(l);
		};
		auto send_request = [&](int i) {
			n[i].own_entry.round = n[i].own.round;
			for (int k = 0; k < instance_count; k++) {
				if (k != i)
					send(i, k,
					     { .kind = message::REQUEST, .mark = n[i].own_entry });
			}
		};
		auto sync_granted = [&](int i) {
			if (strcmp(n[i].mark.token, n[i].own_entry.token) == 0)
				n[i].mark.granted = n[i].own.phase == RESERVE_GRANTED;
		};
		for (int i = 0; i < instance_count; i++)
			snprintf(n[i].id, sizeof(n[i].id), "n%d", i);
		for (; now < 20000; now += 10) {
			for (size_t w = 0; w < messages.size(); w++) {
				message l = messages[w];
				sim_instance &to = n[l.to];
				struct reserve_entry out;

				if (l.at > now)
					continue;
				messages.erase(messages.begin() + (long)w--);
				to.clock = std::max(to.clock, l.clock);
				if (l.kind == message::REQUEST) {
					l.mark.until_ms = now + RESERVE_TERM_MS;
					bool ok = reserve_entry_offer(&to.mark, &l.mark, &out, now);

					send(l.to, l.from,
					     { .kind = message::ANSWER,
					       .mark = l.mark,
					       .answer =
						       ok ? RESERVE_CONFIRMED : RESERVE_REFUSED });
					if (strcmp(out.holder, to.id) == 0)
						reserve_preempt(&to.own);
				} else if (l.kind == message::RELEASE) {
					if (strcmp(to.mark.token, l.mark.token) == 0)
						to.mark = {};
				} else if (strcmp(to.own_entry.token, l.mark.token) == 0) {
					reserve_confirm(&to.own, (uint64_t)l.from, l.mark.round,
							l.answer, 0, now);
				}
				sync_granted(l.to);
			}
			int holders = 0;
			for (int i = 0; i < instance_count; i++) {
				sim_instance &me = n[i];
				struct reserve_entry none;
				uint64_t others[instance_count];
				int count = 0;

				for (int k = 0; k < instance_count; k++) {
					if (k != i)
						others[count++] = (uint64_t)k;
				}
				holders += reserve_is_held(&me.own, now);
				if (me.own.phase == RESERVE_RELEASED && rng() % 20 == 0) {
					me.own_entry = { .stamp = ++me.clock,
							 .until_ms = INT64_MAX };
					snprintf(me.own_entry.holder, sizeof(me.own_entry.holder),
						 "%s", me.id);
					snprintf(me.own_entry.token, sizeof(me.own_entry.token),
						 "%d-%d", i, (int)now);
					if (reserve_entry_offer(&me.mark, &me.own_entry, &none,
								now)) {
						reserve_begin(&me.own, false, others, count, now);
						send_request(i);
					}
				} else if (me.own.phase != RESERVE_RELEASED &&
					   (me.own.phase > RESERVE_GRANTED || rng() % 100 == 0)) {
					granted += me.own.phase == RESERVE_GRANTED;
					reserve_release(&me.own);
					if (strcmp(me.mark.token, me.own_entry.token) == 0)
						me.mark = {};
					for (int k = 0; k < instance_count; k++) {
						if (k != i)
							send(i, k,
							     { .kind = message::RELEASE,
							       .mark = me.own_entry });
					}
				} else if (reserve_tick(&me.own, now)) {
					send_request(i);
				}
				sync_granted(i);
			}
			ASSERT_LE(holders, 1) << "seed " << seed << " run " << run << " at " << now;
		}
	}
	EXPECT_GT(granted, 60) << "seed " << seed;
}

} // namespace
