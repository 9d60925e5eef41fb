#include <gtest/gtest.h>

#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "ibisgate/state/lease.h"
#include "ibisgate/state/store_era.h"
}

static const int HOLDER_COUNT = 4;

/* The table: one row, delayed writes, and a version counter that never decreases. */
struct table {
	struct late {
		int64_t at;
		lease_action action;
	};
	int64_t version = 0;
	lease_row row = {};
	std::vector<late> delayed;

	bool write(const lease_action &a)
	{
		if (a.if_version != row.version)
			return false;
		row = a.row;
		row.version = ++version;
		return true;
	}
};

struct holder {
	lease l;
	int64_t frozen_until = 0;
	int64_t busy_until = 0;
	lease_action pending = {};
	lease_result result = LEASE_READ_FAILED;
	lease_row reply = {};
	bool has_reply = false;
	int64_t last_fencing = 0;
};

/* What a holder has told another one about the row, on its way. */
struct told {
	int64_t at;
	size_t to;
	std::string holder;
	int64_t version;
};

static void start_call(std::mt19937_64 &rng, table &t, holder &h, const lease_action &a,
		       int64_t now)
{
	int roll = (int)(rng() % 100);

	h.busy_until = now + 1 + (int64_t)(rng() % 400);
	h.has_reply = false;
	if (a.kind == LEASE_DO_READ) {
		h.result = t.row.version ? LEASE_READ_OK : LEASE_READ_NONE;
		h.reply = t.row;
		h.has_reply = t.row.version != 0;
		if (roll < 10)
			h.result = LEASE_READ_FAILED;
		return;
	}
	h.pending = a;
	if (roll < 8) {
		h.result = LEASE_WRITE_NOT_SENT;
	} else if (roll < 18) { /* no reply; the write takes effect now, later or never */
		h.result = LEASE_WRITE_UNCERTAIN;
		if (roll < 12)
			t.write(a);
		else if (roll < 16)
			t.delayed.push_back({ now + (int64_t)(rng() % 9000), a });
	} else if (t.write(a)) {
		h.result = LEASE_WRITE_OK;
		h.reply = t.row;
		h.has_reply = true;
	} else {
		h.result = LEASE_WRITE_CONFLICT;
		h.reply = t.row;
		h.has_reply = true;
	}
}

static void hear_versions(lease &l, size_t index, std::vector<told> &news, int64_t now)
{
	for (size_t k = 0; k < news.size(); k++) {
		if (news[k].to != index || news[k].at > now)
			continue;
		lease_note_version(&l, news[k].holder.c_str(), news[k].version, now);
		news.erase(news.begin() + (long)k--);
	}
}

static void simulate_holders(uint64_t seed, int *acquired)
{
	std::mt19937_64 rng(seed);
	std::vector<holder> hs(HOLDER_COUNT);
	std::set<int64_t> fencings;
	std::vector<told> news;
	int64_t highest = 0;
	table t;

	for (int i = 0; i < HOLDER_COUNT; i++)
		lease_init(&hs[i].l, ("i" + std::to_string(i)).c_str(), 7);
	for (int64_t now = 1; now < 120000; now += 1 + (int64_t)(rng() % 60)) {
		int held = 0;

		for (size_t k = 0; k < t.delayed.size(); k++) {
			if (t.delayed[k].at <= now) {
				t.write(t.delayed[k].action);
				t.delayed.erase(t.delayed.begin() + (long)k--);
			}
		}
		for (auto &h : hs) {
			if (lease_is_held(&h.l, now)) {
				held++;
				if (h.l.fencing != h.last_fencing) {
					ASSERT_GT(h.l.fencing, highest) << "seed " << seed;
					highest = h.l.fencing;
					(*acquired)++;
				}
				h.last_fencing = h.l.fencing;
			}
			if (now < h.frozen_until)
				continue;
			hear_versions(h.l, (size_t)(&h - hs.data()), news, now);
			for (size_t k = 0; k < hs.size() && rng() % 10 == 0; k++) {
				if (&h != &hs[k] && lease_is_held(&h.l, now))
					news.push_back({ now + (int64_t)(rng() % 3000), k, h.l.self,
							 h.l.last_row.version });
			}
			if (rng() % 300 == 0)
				h.frozen_until = now + (int64_t)(rng() % 12000);
			if (h.busy_until) {
				if (now < h.busy_until)
					continue;
				h.busy_until = 0;
				lease_handle_result(&h.l, h.result,
						    h.has_reply ? &h.reply : nullptr, now);
				continue;
			}
			std::string token = std::to_string(rng() % 1000000000);
			lease_action a = {};
			if (rng() % 400 == 0) {
				if (!lease_release(&h.l, token.c_str(), now, &a))
					continue;
			} else {
				a = lease_next_action(&h.l, rng() % 10 != 0, token.c_str(), now);
			}
			if (a.kind != LEASE_DO_NOTHING)
				start_call(rng, t, h, a, now);
		}
		ASSERT_LE(held, 1) << "seed " << seed << " at " << now;
	}
}

/*
 * The same table in a store that comes back from an older copy. Versions are given out again, and a
 * write on its way is judged by the row that it finds.
 */
class DrilledTable
{
      public:
	struct Written {
		int64_t at;
		lease_row row;
		int64_t version;
	};

	bool write(const lease_action &a, int64_t now)
	{
		if (store_version_number(a.if_version) != row.version)
			return false;
		row = a.row;
		row.version = ++version;
		log.push_back({ now, row, version });
		return true;
	}
	/* Other rows are written, too. */
	void write_others(int64_t count)
	{
		version += count;
	}
	void drill(int64_t copy_at)
	{
		while (!log.empty() && log.back().at > copy_at)
			log.pop_back();
		row = log.empty() ? lease_row{} : log.back().row;
		version = log.empty() ? 0 : log.back().version;
		era++;
	}
	lease_row answer() const
	{
		lease_row r = row;

		r.version = store_version_make(era, row.version);
		return r;
	}

	int64_t era = 1;
	int64_t version = 0;
	lease_row row = {};

      private:
	std::vector<Written> log;
};

/* An instance as duty/duty.c drives its lease. */
struct DrilledHolder {
	lease l = {};
	uint64_t incarnation = 0;
	store_era era = {};
	int64_t frozen_until = 0;
	int64_t busy_until = 0;
	int64_t answer_era = 0;
	bool is_write = false;
	lease_result result = LEASE_READ_FAILED;
	lease_row reply = {};
	bool has_reply = false;
	int64_t fencing = 0;
};

class Drills
{
      public:
	explicit Drills(uint64_t seed) : rng(seed)
	{
		for (int i = 0; i < HOLDER_COUNT; i++)
			start(i);
	}
	void run(int64_t until)
	{
		for (now = 1; now < until && !::testing::Test::HasFatalFailure();
		     now += 1 + pick(60))
			step();
	}

	int acquired = 0;
	int drills = 0;

      private:
	int64_t pick(int64_t n)
	{
		return (int64_t)(rng() % (uint64_t)n);
	}
	void start(int i)
	{
		DrilledHolder &h = hs[i];

		h = DrilledHolder();
		h.incarnation = ++starts;
		lease_init(&h.l, ("i" + std::to_string(i)).c_str(), h.incarnation);
	}
	void step()
	{
		for (size_t k = 0; k < delayed.size(); k++) {
			if (delayed[k].first > now)
				continue;
			t.write(delayed[k].second, now);
			delayed.erase(delayed.begin() + (long)k--);
		}
		if (pick(4) == 0)
			t.write_others(1);
		if (pick(400) == 0)
			drill();
		if (now >= second_drill_at && second_drill_at) {
			second_drill_at = 0;
			t.drill(now - pick(8000));
		}
		if (now >= restart_at && restart_at) {
			restart_at = 0;
			for (int i = 0; i < HOLDER_COUNT; i++)
				start(i);
		}
		if (pick(1500) == 0)
			start((int)pick(HOLDER_COUNT));
		for (int i = 0; i < HOLDER_COUNT; i++)
			step_holder(hs[i]);
		check();
	}
	void drill()
	{
		drills++;
		t.drill(now - pick(8000));
		if (pick(3) == 0)
			second_drill_at = now + 5000 + pick(10000);
		if (pick(3) == 0)
			restart_at = now + pick(1000);
		for (int i = 0; i < HOLDER_COUNT; i++) {
			if (pick(4) == 0)
				hs[i].frozen_until = now + pick(12000);
		}
	}
	void see_era(DrilledHolder &h, int64_t era)
	{
		if (store_era_observe(&h.era, era, now) == STORE_ERA_NEW)
			lease_era_began(&h.l, era, now, now);
	}
	void step_holder(DrilledHolder &h)
	{
		if (now < h.frozen_until)
			return;
		if (pick(300) == 0)
			h.frozen_until = now + pick(12000);
		hear_versions(h.l, (size_t)(&h - hs), news, now);
		/* Instances tell each other the era, and the holder what version its row has. */
		if (pick(40) == 0)
			see_era(h, hs[pick(HOLDER_COUNT)].era.number);
		for (size_t k = 0; k < HOLDER_COUNT && pick(10) == 0; k++) {
			if (&h != &hs[k] && lease_is_held(&h.l, now))
				news.push_back(
					{ now + pick(3000), k, h.l.self, h.l.last_row.version });
		}
		if (h.busy_until) {
			if (now < h.busy_until)
				return;
			h.busy_until = 0;
			finish_call(h);
			return;
		}
		std::string token = std::to_string(rng());
		lease_action a = {};
		if (pick(400) == 0) {
			if (!lease_release(&h.l, token.c_str(), now, &a))
				return;
		} else {
			a = lease_next_action(&h.l, pick(10) != 0, token.c_str(), now);
		}
		if (a.kind != LEASE_DO_NOTHING)
			start_call(h, a);
	}
	void start_call(DrilledHolder &h, const lease_action &a)
	{
		int64_t roll = pick(100);

		h.busy_until = now + 1 + pick(400);
		h.has_reply = false;
		h.answer_era = t.era;
		h.is_write = a.kind == LEASE_DO_WRITE;
		if (!h.is_write) {
			h.result = t.row.version ? LEASE_READ_OK : LEASE_READ_NONE;
			h.reply = t.answer();
			h.has_reply = t.row.version != 0;
			if (roll < 10)
				lose_answer(h, LEASE_READ_FAILED);
			return;
		}
		if (roll < 8) {
			lose_answer(h, LEASE_WRITE_NOT_SENT);
		} else if (roll < 18) {
			lose_answer(h, LEASE_WRITE_UNCERTAIN);
			if (roll < 12)
				t.write(a, now);
			else if (roll < 16)
				delayed.emplace_back(now + pick(9000), a);
		} else if (t.write(a, now)) {
			h.result = LEASE_WRITE_OK;
			h.reply = t.answer();
			h.has_reply = true;
		} else {
			h.result = LEASE_WRITE_CONFLICT;
		}
	}
	static void lose_answer(DrilledHolder &h, lease_result result)
	{
		h.result = result;
		h.answer_era = 0;
	}
	void finish_call(DrilledHolder &h)
	{
		lease_result result = h.result;

		if (h.answer_era && h.answer_era < h.era.number) {
			result = h.is_write ? LEASE_WRITE_UNCERTAIN : LEASE_READ_FAILED;
			h.has_reply = false;
		} else if (h.answer_era) {
			see_era(h, h.answer_era);
		}
		lease_handle_result(&h.l, result, h.has_reply ? &h.reply : nullptr, now);
	}
	void check()
	{
		int held = 0;

		for (DrilledHolder &h : hs) {
			if (!lease_is_held(&h.l, now))
				continue;
			held++;
			if (h.l.fencing != h.fencing) {
				ASSERT_GT(h.l.fencing, highest) << "at " << now;
				highest = h.l.fencing;
				acquired++;
			}
			h.fencing = h.l.fencing;
		}
		ASSERT_LE(held, 1) << "at " << now;
	}

	std::mt19937_64 rng;
	DrilledTable t;
	DrilledHolder hs[HOLDER_COUNT];
	std::vector<std::pair<int64_t, lease_action>> delayed;
	std::vector<told> news;
	int64_t now = 0;
	int64_t highest = 0;
	int64_t second_drill_at = 0;
	int64_t restart_at = 0;
	uint64_t starts = 0;
};

/*
 * Guards against two holders, and against fencing tokens that fall or repeat, when the store comes
 * back from an older copy: with holders frozen across it, writes on their way, all instances
 * started again just after it, and a second time ten seconds later.
 */
TEST(Lease, DrillsNeverLeaveTwoHoldersOrLowerTokens)
{
	uint64_t base = std::random_device{}();
	int acquired = 0, drills = 0;

	std::cout << "seed " << base << "\n";
	for (uint64_t i = 0; i < 400 && !HasFatalFailure(); i++) {
		SCOPED_TRACE("seed " + std::to_string(base + i));
		Drills d(base + i);

		d.run(120000);
		acquired += d.acquired;
		drills += d.drills;
	}
	EXPECT_GT(drills, 400);
	EXPECT_GT(acquired, 400);
}

/* Guards against a holder that stops working because the copy lacks its row. */
TEST(Lease, HolderWritesItsRowAgainInANewEra)
{
	lease_row first = { "b", 1, "t1", store_version_make(1, 40), 1 };
	lease_row older = { "a", 1, "t0", store_version_make(2, 12), 1 };

	for (bool has_row : { true, false }) {
		int64_t now = 1000;
		lease_action a;
		lease l;

		lease_init(&l, "b", 1);
		lease_era_began(&l, 1, now, now);
		lease_handle_result(&l, LEASE_READ_NONE, nullptr, now);
		now += LEASE_TERM_MS;
		ASSERT_EQ(lease_next_action(&l, true, "t1", now).kind, LEASE_DO_WRITE);
		lease_handle_result(&l, LEASE_WRITE_OK, &first, now);
		++now;
		lease_era_began(&l, 2, now, now);
		EXPECT_TRUE(lease_is_held_with(&l, first.version, now));
		ASSERT_EQ(lease_next_action(&l, true, "t2", now).kind, LEASE_DO_READ);
		lease_handle_result(&l, has_row ? LEASE_READ_OK : LEASE_READ_NONE,
				    has_row ? &older : nullptr, now);
		a = lease_next_action(&l, true, "t3", now);
		ASSERT_EQ(a.kind, LEASE_DO_WRITE);
		EXPECT_EQ(a.if_version, has_row ? older.version : 0);
		lease_row again = { "b", 1, "t3", store_version_make(2, 13), 2 };
		lease_handle_result(&l, LEASE_WRITE_OK, &again, now);
		EXPECT_TRUE(lease_is_held_with(&l, first.version, now + LEASE_TERM_MS - 1));
	}
}

/* Guards against a holder whose row in the copy is free, while the one of the lost row still acts.
 */
TEST(Lease, NobodyAcquiresWithinATermOfANewEra)
{
	lease_row freed = { "", 1, "t1", store_version_make(2, 40), 2 };
	lease_row ours = { "b", 1, "t1", store_version_make(2, 40), 2 };

	for (const lease_row *row : { &freed, &ours }) {
		lease l;

		lease_init(&l, "b", 1);
		lease_era_began(&l, 2, 1000, 1005);
		lease_handle_result(&l, LEASE_READ_OK, row, 1010);
		EXPECT_EQ(lease_next_action(&l, true, "x", 1000 + LEASE_TERM_MS - 1).kind,
			  LEASE_DO_READ);
		EXPECT_EQ(lease_next_action(&l, true, "x", 1000 + LEASE_TERM_MS).kind,
			  LEASE_DO_WRITE);
	}
}

/*
 * Guards against a release from before the drill that takes effect after it, because the row of the
 * next holder has the version that it asks for.
 */
TEST(Lease, WritesOfAFormerEraDontFreeTheRow)
{
	lease_row freed = { "", 1, "t1", store_version_make(2, 40), 1 };
	int64_t seen = 1000 + 2 * LEASE_TERM_MS;
	lease l;

	lease_init(&l, "b", 1);
	lease_era_began(&l, 2, 1000, 1005);
	lease_handle_result(&l, LEASE_READ_OK, &freed, seen);
	EXPECT_EQ(lease_next_action(&l, true, "x", seen + LEASE_TERM_MS - 1).kind, LEASE_DO_READ);
	EXPECT_EQ(lease_next_action(&l, true, "x", seen + LEASE_TERM_MS).kind, LEASE_DO_WRITE);
}

/* Guards against two holders at the same time, and fencing tokens that decrease or repeat. */
TEST(Lease, RandomInterleavingsNeverHaveTwoHolders)
{
	uint64_t base = std::random_device{}();
	int acquired = 0;

	std::cout << "seed " << base << "\n";
	for (uint64_t i = 0; i < 400; i++)
		simulate_holders(base + i, &acquired);
	EXPECT_GT(acquired, 400);
}

/* Guards against a successor that acquires the lease too early, or never. */
TEST(Lease, SuccessorWaitsAWholeTermAfterTheLastChange)
{
	lease_row row = { "a", 1, "t", 5 };
	lease l;

	lease_init(&l, "b", 1);
	EXPECT_EQ(lease_next_action(&l, true, "x", 0).kind, LEASE_DO_READ);
	lease_handle_result(&l, LEASE_READ_OK, &row, 100);
	EXPECT_EQ(lease_next_action(&l, true, "x", 100 + LEASE_TERM_MS - 1).kind, LEASE_DO_READ);
	lease_action a = lease_next_action(&l, true, "x", 100 + LEASE_TERM_MS);
	ASSERT_EQ(a.kind, LEASE_DO_WRITE);
	EXPECT_EQ(a.if_version, 5);
}

/* Guards against a successor that waits a term longer than needed, or less than one. */
TEST(Lease, WhatTheHolderTellsCountsAsSeen)
{
	lease_row row = { "a", 1, "t", 5 };
	lease l;

	lease_init(&l, "b", 1);
	lease_handle_result(&l, LEASE_READ_OK, &row, 100);
	lease_note_version(&l, "a", 7, 5000);
	/* Late news of former versions. */
	lease_note_version(&l, "a", 6, 6000);
	lease_note_version(&l, "a", 7, 6000);
	EXPECT_EQ(lease_next_action(&l, true, "x", 5000 + LEASE_TERM_MS - 1).kind, LEASE_DO_READ);
	row.version = 7;
	lease_handle_result(&l, LEASE_READ_OK, &row, 5000 + LEASE_TERM_MS - 1);
	lease_action a = lease_next_action(&l, true, "x", 5000 + LEASE_TERM_MS);
	ASSERT_EQ(a.kind, LEASE_DO_WRITE);
	EXPECT_EQ(a.if_version, 7);
	/* A renewal that was not told of. */
	lease_handle_result(&l, LEASE_WRITE_CONFLICT, nullptr, 20000);
	row.version = 8;
	lease_handle_result(&l, LEASE_READ_OK, &row, 20000);
	EXPECT_EQ(lease_next_action(&l, true, "x", 20000 + LEASE_TERM_MS - 1).kind, LEASE_DO_READ);
}

/* Guards against a holder that renews with an outdated version until its term ends. */
TEST(Lease, HolderReadsTheRowAfterAConflictWithoutOne)
{
	lease_row first = { "b", 1, "t1", 6 };
	lease_row changed = { "b", 1, "t0", 8 };
	int64_t now = 1000;
	lease_action a;
	lease l;

	lease_init(&l, "b", 1);
	lease_handle_result(&l, LEASE_READ_NONE, nullptr, now);
	ASSERT_EQ(lease_next_action(&l, true, "t1", now).kind, LEASE_DO_WRITE);
	lease_handle_result(&l, LEASE_WRITE_OK, &first, now);
	now += LEASE_RENEW_MS;
	ASSERT_EQ(lease_next_action(&l, true, "t2", now).kind, LEASE_DO_WRITE);
	lease_handle_result(&l, LEASE_WRITE_CONFLICT, nullptr, now);
	EXPECT_TRUE(lease_is_held(&l, now)) << "nobody else may hold it before the term ends";
	ASSERT_EQ(lease_next_action(&l, true, "t3", now).kind, LEASE_DO_READ);
	lease_handle_result(&l, LEASE_READ_OK, &changed, now);
	a = lease_next_action(&l, true, "t4", now);
	ASSERT_EQ(a.kind, LEASE_DO_WRITE);
	EXPECT_EQ(a.if_version, 8);
}

/* Guards against treating an acquisition without a reply as a failure, or as a success. */
TEST(Lease, TokenShowsWhetherAWriteWithoutReplyTookEffect)
{
	lease_row ours = { "b", 1, "mine", 6 };
	lease_row theirs = { "c", 1, "other", 6 };

	for (bool applied : { true, false }) {
		lease l;

		lease_init(&l, "b", 1);
		lease_handle_result(&l, LEASE_READ_NONE, nullptr, 0);
		ASSERT_EQ(lease_next_action(&l, true, "mine", 10).kind, LEASE_DO_WRITE);
		lease_handle_result(&l, LEASE_WRITE_UNCERTAIN, nullptr, 20);
		EXPECT_FALSE(lease_is_held(&l, 20));
		ASSERT_EQ(lease_next_action(&l, true, "x", 30).kind, LEASE_DO_READ);
		lease_handle_result(&l, LEASE_READ_OK, applied ? &ours : &theirs, 40);
		EXPECT_EQ(lease_is_held(&l, 40), applied);
		EXPECT_FALSE(lease_is_held(&l, 10 + LEASE_TERM_MS))
			<< "the term starts before the write is sent";
	}
}

/* Guards against a drain that continues after the lease was lost and acquired again in a pause. */
TEST(Lease, ReacquiredLeaseHasANewFencingToken)
{
	lease_row first = { "b", 1, "t1", 6 };
	lease_row freed = { "", 2, "t2", 8 };
	lease_row second = { "b", 1, "t3", 9 };
	int64_t late = 10 + LEASE_TERM_MS;
	lease l;

	lease_init(&l, "b", 1);
	lease_handle_result(&l, LEASE_READ_NONE, nullptr, 0);
	ASSERT_EQ(lease_next_action(&l, true, "t1", 10).kind, LEASE_DO_WRITE);
	lease_handle_result(&l, LEASE_WRITE_OK, &first, 20);
	EXPECT_TRUE(lease_is_held_with(&l, 6, late - 1));
	EXPECT_FALSE(lease_is_held_with(&l, 6, late));
	ASSERT_EQ(lease_next_action(&l, true, "x", late).kind, LEASE_DO_WRITE);
	lease_handle_result(&l, LEASE_WRITE_CONFLICT, &freed, late + 1);
	ASSERT_EQ(lease_next_action(&l, true, "t3", late + 2).kind, LEASE_DO_WRITE);
	lease_handle_result(&l, LEASE_WRITE_OK, &second, late + 3);
	EXPECT_TRUE(lease_is_held(&l, late + 3));
	EXPECT_TRUE(lease_is_held_with(&l, 9, late + 3));
	EXPECT_FALSE(lease_is_held_with(&l, 6, late + 3));
}
