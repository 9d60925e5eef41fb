#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "ibisgate/state/claim.h"
}

struct row {
	claim_phase phase;
	int owner;
	std::string token;
	std::string fingerprint;
};

enum step { WRITE, READ, RUNNING, ENDED };

struct call {
	int owner;
	std::string token;
	step next = WRITE;
	bool sent = false;
	bool dispatched = false;
	claim_verdict verdict = CLAIM_REPORT_NOT_RUN;
};

/*
 * Simulates calls with the same key on several instances. Replies to writes are lost, writes take
 * effect late, and instances die. Owners that live report whether they have dispatched the call.
 */
static void simulate_calls(uint64_t seed, std::map<claim_verdict, int> &verdicts)
{
	std::mt19937_64 rng(seed);
	std::vector<call> calls(5);
	std::vector<row> delayed_writes;
	std::set<int> dead;
	std::vector<row> table;
	int dispatched = 0;

	for (size_t i = 0; i < calls.size(); i++) {
		calls[i].owner = (int)(rng() % 3);
		calls[i].token = std::to_string(i);
	}
	for (int64_t now = 0; now < 400; now++) {
		call &c = calls[rng() % calls.size()];
		std::string self = std::to_string(c.owner);
		int roll = (int)(rng() % 10);

		if (!delayed_writes.empty() && rng() % 4 == 0) {
			if (table.empty())
				table.push_back(delayed_writes.back());
			delayed_writes.pop_back();
		}
		if (rng() % 150 == 0)
			dead.insert((int)(rng() % 3));
		if (dead.count(c.owner))
			continue;
		if (c.next == WRITE) {
			row r = { CLAIM_RUNNING, c.owner, c.token, "f" };
			claim_write w = table.empty() ? CLAIM_WRITE_OK : CLAIM_WRITE_EXISTS;

			if (roll < 4) {
				w = CLAIM_WRITE_UNCERTAIN;
				if (roll == 0 && table.empty())
					table.push_back(r);
				else if (roll == 1)
					delayed_writes.push_back(r);
				c.sent = true;
			} else if (roll == 4) {
				w = CLAIM_WRITE_FAILED;
			} else if (w == CLAIM_WRITE_OK) {
				table.push_back(r);
			}
			claim_verdict v = claim_verdict_after_write(w);
			if (w == CLAIM_WRITE_FAILED && c.sent)
				v = CLAIM_RETRY;
			c.next = v == CLAIM_RETRY ? READ : v == CLAIM_DISPATCH ? RUNNING : ENDED;
			c.verdict = v;
		} else if (c.next == READ) {
			claim_row r = {};
			claim_owner_status owner = CLAIM_OWNER_LIVE;

			if (!table.empty()) {
				const row &t = table[0];
				bool known = false;

				r.phase = t.phase;
				snprintf(r.owner, sizeof(r.owner), "%d", t.owner);
				snprintf(r.token, sizeof(r.token), "%s", t.token.c_str());
				snprintf(r.fingerprint, sizeof(r.fingerprint), "f");
				for (auto &o : calls)
					known = known || (o.token == t.token && o.next != ENDED);
				if (dead.count(t.owner))
					owner = CLAIM_OWNER_GONE;
				else if (t.phase == CLAIM_RUNNING && !known)
					owner = CLAIM_OWNER_NEVER_DISPATCHED;
			}
			claim_verdict v = claim_verdict_after_read(
				table.empty() ? nullptr : &r, c.sent ? c.token.c_str() : nullptr,
				"f", self.c_str(), 0, owner, now, 350);
			if (v == CLAIM_RETRY && owner == CLAIM_OWNER_NEVER_DISPATCHED)
				table.clear();
			if (v == CLAIM_RETRY)
				c.next = WRITE;
			else if (v != CLAIM_WAIT)
				c.next = v == CLAIM_DISPATCH ? RUNNING : ENDED;
			c.verdict = v;
			if (c.next == ENDED && v == CLAIM_REPORT_NOT_RUN) {
				ASSERT_FALSE(c.dispatched) << "seed " << seed;
			}
		} else if (c.next == RUNNING) {
			if (!c.dispatched) {
				c.dispatched = true;
				dispatched++;
				ASSERT_LE(dispatched, 1) << "seed " << seed;
			} else {
				ASSERT_FALSE(table.empty()) << "seed " << seed;
				table[0].phase = roll < 5 ? CLAIM_DONE : CLAIM_UNKNOWN;
				c.next = ENDED;
			}
		}
	}
	for (auto &c : calls)
		verdicts[c.verdict]++;
}

/* Guards against running a non-idempotent call twice. */
TEST(Claim, RandomInterleavingsDispatchAtMostOnce)
{
	uint64_t base = std::random_device{}();
	std::map<claim_verdict, int> verdicts;

	std::cout << "seed " << base << "\n";
	for (uint64_t i = 0; i < 20000; i++)
		simulate_calls(base + i, verdicts);
	for (claim_verdict v :
	     { CLAIM_DISPATCH, CLAIM_REPLAY, CLAIM_REPORT_UNKNOWN, CLAIM_REPORT_NOT_RUN })
		EXPECT_GT(verdicts[v], 0) << v;
}

/*
 * Guards against replaying a result for a request with a different body, and against waiting for an
 * owner that is gone.
 */
TEST(Claim, VerdictDependsOnRowAndOwner)
{
	claim_row r = {};
	auto read = [&](const char *body, claim_owner_status o, int64_t now) {
		return claim_verdict_after_read(&r, nullptr, body, "me", 3, o, now, 100);
	};

	snprintf(r.owner, sizeof(r.owner), "other");
	snprintf(r.fingerprint, sizeof(r.fingerprint), "body");
	EXPECT_EQ(read("body", CLAIM_OWNER_LIVE, 1), CLAIM_WAIT);
	EXPECT_EQ(read("body", CLAIM_OWNER_LIVE, 100), CLAIM_REPORT_UNKNOWN);
	EXPECT_EQ(read("body", CLAIM_OWNER_GONE, 1), CLAIM_REPORT_UNKNOWN);
	EXPECT_EQ(read("body", CLAIM_OWNER_NEVER_DISPATCHED, 1), CLAIM_RETRY);
	EXPECT_EQ(read("else", CLAIM_OWNER_LIVE, 1), CLAIM_BODY_MISMATCH);
	r.phase = CLAIM_DONE;
	EXPECT_EQ(read("body", CLAIM_OWNER_GONE, 1), CLAIM_REPLAY);
	EXPECT_EQ(read("else", CLAIM_OWNER_GONE, 1), CLAIM_BODY_MISMATCH);
	r.phase = CLAIM_UNKNOWN;
	EXPECT_EQ(read("body", CLAIM_OWNER_LIVE, 1), CLAIM_REPORT_UNKNOWN);
	r.phase = CLAIM_RUNNING;
	snprintf(r.owner, sizeof(r.owner), "me");
	r.incarnation = 2;
	EXPECT_EQ(read("body", CLAIM_OWNER_LIVE, 1), CLAIM_REPORT_UNKNOWN)
		<< "claimed by a previous process of this instance";
}
