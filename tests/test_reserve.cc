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

const uint64_t two[] = { 1, 2 };

/* Guards against a suspect that waits for nobody, and one that is sent beside other work. */
TEST(Reserve, GrantedOnceAllHaveConfirmedZero)
{
	struct reserve r;

	reserve_begin(&r, false, nullptr, 0, 0);
	EXPECT_TRUE(reserve_held(&r, 0)) << "a single instance";
	reserve_begin(&r, false, two, 2, 0);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 1);
	reserve_confirm(&r, 2, 1, RESERVE_CONFIRMED, 3, 1);
	EXPECT_EQ(r.phase, RESERVE_REQUESTED);
	reserve_confirm(&r, 3, 1, RESERVE_CONFIRMED, 0, 1);
	EXPECT_EQ(r.phase, RESERVE_REQUESTED) << "not a member";
	reserve_confirm(&r, 2, 1, RESERVE_CONFIRMED, 0, 2);
	EXPECT_TRUE(reserve_held(&r, 2));
}

/* Guards against a silent instance that blocks a suspect, and one that is trusted once it is back.
 */
TEST(Reserve, SuspectedMembersAreLeftOut)
{
	struct reserve r;

	reserve_begin(&r, false, two, 2, 0);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 1);
	reserve_members(&r, two, 1, 2000);
	EXPECT_TRUE(reserve_held(&r, 2000));
	reserve_members(&r, two, 2, 2500);
	EXPECT_FALSE(reserve_held(&r, 2500)) << "it may have sent work";
	reserve_confirm(&r, 2, 1, RESERVE_CONFIRMED, 0, 2600);
	EXPECT_TRUE(reserve_held(&r, 2600));
}

/* Guards against a holder that was paused and takes its reservation as held all the time. */
TEST(Reserve, ExpiresForGood)
{
	struct reserve r;

	reserve_begin(&r, false, two, 1, 0);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 5);
	EXPECT_TRUE(reserve_held(&r, RESERVE_TERM_MS - 1));
	EXPECT_FALSE(reserve_held(&r, RESERVE_TERM_MS)) << "from before it was sent";
	EXPECT_FALSE(reserve_tick(&r, RESERVE_TERM_MS));
	EXPECT_EQ(r.phase, RESERVE_EXPIRED);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, RESERVE_TERM_MS + 1);
	EXPECT_FALSE(reserve_held(&r, RESERVE_TERM_MS + 1));
}

/* Guards against a lost message that is never repeated and a reservation that is not renewed. */
TEST(Reserve, RepeatsAndRenews)
{
	struct reserve r;

	reserve_begin(&r, false, two, 1, 0);
	EXPECT_FALSE(reserve_tick(&r, RESERVE_RESEND_MS - 1));
	EXPECT_TRUE(reserve_tick(&r, RESERVE_RESEND_MS));
	EXPECT_EQ(r.round, 1u);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 300);
	EXPECT_FALSE(reserve_tick(&r, RESERVE_RENEW_MS - 1)) << "answered";
	EXPECT_TRUE(reserve_tick(&r, RESERVE_RENEW_MS));
	EXPECT_EQ(r.round, 2u);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 2001);
	EXPECT_FALSE(reserve_held(&r, RESERVE_TERM_MS)) << "an answer to an old round";
	reserve_begin(&r, false, two, 1, 0);
	reserve_confirm(&r, 1, 1, RESERVE_CONFIRMED, 0, 1);
	reserve_tick(&r, RESERVE_RENEW_MS);
	reserve_confirm(&r, 1, 2, RESERVE_CONFIRMED, 0, 2001);
	EXPECT_TRUE(reserve_held(&r, RESERVE_TERM_MS));
}

/* Guards against a last engine that no suspect may use, and a shared one that counts as empty. */
TEST(Reserve, LastEngineOfARole)
{
	struct reserve r;

	for (auto answer : { RESERVE_SHARED, RESERVE_DOWN, RESERVE_REFUSED }) {
		reserve_begin(&r, false, two, 1, 0);
		reserve_confirm(&r, 1, 1, answer, 0, 1);
		EXPECT_EQ(r.phase, RESERVE_LOST);
		reserve_begin(&r, true, two, 1, 0);
		reserve_confirm(&r, 1, 1, answer, 4, 1);
		EXPECT_EQ(r.phase, answer == RESERVE_REFUSED ? RESERVE_LOST : RESERVE_GRANTED);
	}
}

/* Guards against an answer or a bound that is forgotten: the rule written down plainly. */
TEST(Reserve, AgreesWithANaiveRule)
{
	uint64_t seed = std::random_device{}();
	std::mt19937_64 rng(seed);

	std::cout << "seed " << seed << "\n";
	for (int run = 0; run < 300; run++) {
		struct naive {
			int in_flight = -1;
			int64_t until = 0;
		};
		std::map<uint64_t, naive> all;
		std::vector<uint64_t> live;
		struct reserve r;
		int64_t now = 0;
		int64_t sent = 0;
		uint32_t round = 1;
		int phase = 0; /* 0 asked, 1 granted, 2 over */

		auto choose = [&] {
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
		auto quiet = [&] {
			for (auto &m : all) {
				if (m.second.in_flight != 0 || now >= m.second.until)
					return false;
			}
			return true;
		};
		auto age = [&] {
			for (auto &m : all) {
				if (phase == 1 && m.second.in_flight >= 0 && now >= m.second.until)
					phase = 2;
			}
		};
		choose();
		reserve_begin(&r, false, live.data(), (int)live.size(), now);
		phase = quiet();
		for (int i = 0; i < 60; i++) {
			now += (int64_t)(rng() % 900);
			switch (rng() % 8) {
			case 0:
				age();
				choose();
				reserve_members(&r, live.data(), (int)live.size(), now);
				break;
			case 1:
				age();
				if (phase == 0 && quiet())
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

				age();
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
			if (phase == 0 && quiet())
				phase = 1;
			ASSERT_EQ(reserve_held(&r, now), phase == 1 && quiet())
				<< "seed " << seed << " run " << run << " step " << i;
		}
	}
}

static reserve_mark offer_of(const char *holder, const char *token, uint64_t stamp)
{
	reserve_mark m = { .stamp = stamp, .until_ms = 100 };

	snprintf(m.holder, sizeof(m.holder), "%s", holder);
	snprintf(m.token, sizeof(m.token), "%s", token);
	return m;
}

/* Guards against conflicts that instances decide differently, or against one that holds already. */
TEST(Reserve, EarlierMarkWins)
{
	reserve_mark a = offer_of("a", "t1", 10);
	reserve_mark b = offer_of("b", "t2", 10);
	reserve_mark early = offer_of("c", "t3", 9);
	reserve_mark m = {};
	reserve_mark out;

	EXPECT_TRUE(reserve_mark_offer(&m, &b, &out, 0));
	EXPECT_STREQ(out.holder, "");
	EXPECT_TRUE(reserve_mark_offer(&m, &a, &out, 0)) << "same time, lower id";
	EXPECT_STREQ(out.token, "t2");
	EXPECT_FALSE(reserve_mark_offer(&m, &b, &out, 0));
	EXPECT_STREQ(m.holder, "a");
	m.granted = true;
	EXPECT_FALSE(reserve_mark_offer(&m, &early, &out, 0)) << "granted to its holder";
	EXPECT_TRUE(reserve_mark_offer(&m, &a, &out, 0)) << "a renewal";
	EXPECT_TRUE(reserve_mark_offer(&m, &early, &out, 0));
	EXPECT_TRUE(reserve_mark_offer(&m, &b, &out, 100)) << "the mark has run out";
}

/* One instance of the simulation below. */
struct node {
	char id[8];
	uint64_t clock = 0;
	struct reserve own = {};
	struct reserve_mark own_mark = {};
	struct reserve_mark mark = {};
};

struct letter {
	int64_t at;
	int from;
	int to;
	enum { REQUEST, ANSWER, RELEASE } kind;
	uint64_t clock;
	struct reserve_mark mark;
	enum reserve_answer answer;
};

/*
 * Guards against two holders of one engine, whatever the order and loss of messages: instances that
 * ask again and again over a network that delays and loses.
 */
TEST(Reserve, NeverTwoHolders)
{
	uint64_t seed = std::random_device{}();
	std::mt19937_64 rng(seed);
	const int nodes = 4;
	int granted = 0;

	std::cout << "seed " << seed << "\n";
	for (int run = 0; run < 60; run++) {
		std::vector<node> n(nodes);
		std::vector<letter> wire;
		/* Connections deliver in order. */
		std::map<std::pair<int, int>, int64_t> last;
		int64_t now = 1000;

		auto send = [&](int from, int to, letter l) {
			int64_t &prev = last[{ from, to }];

			l.from = from;
			l.to = to;
			l.clock = ++n[from].clock;
			l.at = prev = std::max(prev + 1, now + (int64_t)(rng() % 60));
			if (rng() % 20)
				wire.push_back(l);
		};
		auto ask = [&](int i) {
			n[i].own_mark.round = n[i].own.round;
			for (int k = 0; k < nodes; k++) {
				if (k != i)
					send(i, k,
					     { .kind = letter::REQUEST, .mark = n[i].own_mark });
			}
		};
		auto settle = [&](int i) {
			if (strcmp(n[i].mark.token, n[i].own_mark.token) == 0)
				n[i].mark.granted = n[i].own.phase == RESERVE_GRANTED;
		};
		for (int i = 0; i < nodes; i++)
			snprintf(n[i].id, sizeof(n[i].id), "n%d", i);
		for (; now < 20000; now += 10) {
			for (size_t w = 0; w < wire.size(); w++) {
				letter l = wire[w];
				node &to = n[l.to];
				struct reserve_mark out;

				if (l.at > now)
					continue;
				wire.erase(wire.begin() + (long)w--);
				to.clock = std::max(to.clock, l.clock);
				if (l.kind == letter::REQUEST) {
					l.mark.until_ms = now + RESERVE_TERM_MS;
					bool ok = reserve_mark_offer(&to.mark, &l.mark, &out, now);

					send(l.to, l.from,
					     { .kind = letter::ANSWER,
					       .mark = l.mark,
					       .answer =
						       ok ? RESERVE_CONFIRMED : RESERVE_REFUSED });
					if (strcmp(out.holder, to.id) == 0)
						reserve_lose(&to.own);
				} else if (l.kind == letter::RELEASE) {
					if (strcmp(to.mark.token, l.mark.token) == 0)
						to.mark = {};
				} else if (strcmp(to.own_mark.token, l.mark.token) == 0) {
					reserve_confirm(&to.own, (uint64_t)l.from, l.mark.round,
							l.answer, 0, now);
				}
				settle(l.to);
			}
			int holders = 0;
			for (int i = 0; i < nodes; i++) {
				node &me = n[i];
				struct reserve_mark none;
				uint64_t others[nodes];
				int count = 0;

				for (int k = 0; k < nodes; k++) {
					if (k != i)
						others[count++] = (uint64_t)k;
				}
				holders += reserve_held(&me.own, now);
				if (me.own.phase == RESERVE_RELEASED && rng() % 20 == 0) {
					me.own_mark = { .stamp = ++me.clock,
							.until_ms = INT64_MAX };
					snprintf(me.own_mark.holder, sizeof(me.own_mark.holder),
						 "%s", me.id);
					snprintf(me.own_mark.token, sizeof(me.own_mark.token),
						 "%d-%d", i, (int)now);
					if (reserve_mark_offer(&me.mark, &me.own_mark, &none,
							       now)) {
						reserve_begin(&me.own, false, others, count, now);
						ask(i);
					}
				} else if (me.own.phase != RESERVE_RELEASED &&
					   (me.own.phase > RESERVE_GRANTED || rng() % 100 == 0)) {
					granted += me.own.phase == RESERVE_GRANTED;
					reserve_release(&me.own);
					if (strcmp(me.mark.token, me.own_mark.token) == 0)
						me.mark = {};
					for (int k = 0; k < nodes; k++) {
						if (k != i)
							send(i, k,
							     { .kind = letter::RELEASE,
							       .mark = me.own_mark });
					}
				} else if (reserve_tick(&me.own, now)) {
					ask(i);
				}
				settle(i);
			}
			ASSERT_LE(holders, 1) << "seed " << seed << " run " << run << " at " << now;
		}
	}
	EXPECT_GT(granted, 60) << "seed " << seed;
}

} // namespace
