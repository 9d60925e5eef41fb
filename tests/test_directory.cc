#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <string>
#include <vector>

extern "C" {
#include "ibisgate/state/directory.h"
#include "ibisgate/state/store_era.h"
}

namespace
{

struct directory_rig {
	struct directory d;
	std::vector<std::string> changes;

	directory_rig()
	{
		directory_init(&d, on_change, this);
	}

	~directory_rig()
	{
		directory_free(&d);
	}

	static void on_change(void *ctx, enum directory_change c, const struct endpoint_entry *e)
	{
		static const char *const names[] = { "added", "updated", "reborn", "leaving",
						     "removed" };

		static_cast<struct directory_rig *>(ctx)->changes.push_back(std::string(names[c]) +
									    " " + e->id);
	}

	void put(const char *id, int64_t version, int64_t born, bool leaving = false,
		 const char *address = "10.0.0.1:80")
	{
		struct endpoint_entry e = {};

		str_copy(e.id, sizeof(e.id), str_from(id));
		str_copy(e.address, sizeof(e.address), str_from(address));
		e.version = version;
		e.process_start_ms = born;
		e.leaving = leaving;
		directory_put(&d, &e);
	}

	void remove(const char *id, int64_t version, int64_t now)
	{
		directory_remove(&d, str_from(id), version, now);
	}
};

using changes = std::vector<std::string>;

/* Version @number of era 1 or 2. */
int64_t first_era(int64_t number)
{
	return store_version_make(1, number);
}

int64_t second_era(int64_t number)
{
	return store_version_make(2, number);
}

} // namespace

/* Guards against an outdated update that overwrites a newer one. */
TEST(Directory, IgnoresOlderVersions)
{
	struct directory_rig r;

	r.put("a", 5, 100);
	r.put("a", 4, 100, true);
	r.remove("a", 4, 0);
	EXPECT_EQ(r.changes, (changes{ "added a" }));
	r.put("a", 6, 100, true);
	r.remove("a", 7, 0);
	EXPECT_EQ(r.changes, (changes{ "added a", "leaving a", "removed a" }));
}

/* Guards against keeping the state of a previous process for its successor under the same id. */
TEST(Directory, NewStartTimeOrAddressMeansANewProcess)
{
	struct directory_rig r;

	r.put("a", 5, 100);
	r.put("a", 6, 200);
	/* A late write by the previous process. */
	r.put("a", 7, 100, true);
	r.put("a", 8, 200, false, "10.0.0.2:80");
	EXPECT_EQ(r.changes, (changes{ "added a", "reborn a", "reborn a" }));
	EXPECT_FALSE(directory_find(&r.d, str_from("a"))->leaving);
}

/* Guards against removing all endpoints because their entries expired during an outage. */
TEST(Directory, RemovalsAreDeferredAfterAnOutage)
{
	struct directory_rig r;

	r.put("a", 1, 100);
	r.put("b", 2, 100);
	struct directory_outage outage = { -100, 0, 3000 };

	directory_outage_ended(&r.d, &outage, 0);
	r.remove("a", 3, 10);
	r.remove("b", 4, 10);
	directory_apply_deferred(&r.d, 2299);
	EXPECT_EQ(r.changes.size(), 2u);
	r.put("a", 5, 100);
	directory_apply_deferred(&r.d, 2300);
	EXPECT_EQ(r.changes.back(), "removed b");
	EXPECT_NE(directory_find(&r.d, str_from("a")), nullptr);
	EXPECT_EQ(directory_find(&r.d, str_from("b")), nullptr);
	r.remove("a", 9, 2400);
	EXPECT_EQ(r.changes.back(), "removed a");
}

/* Guards against inc1: an instance that was cut off alone keeps endpoints that have left. */
TEST(Directory, RemovalsAreCarriedOutWithinTheTimeForRecovery)
{
	struct {
		struct directory_outage outage;
		int64_t back_ms;
		int64_t removed_ms;
	} cases[] = {
		/* Within 3 s after the list can have been back. */
		{ { 10000, 0, 3000 }, 11000, 12800 },
		{ { 10000, 0, 5000 }, 11000, 13300 },
		/* Another instance had the list at 10.4 s, or all the while. */
		{ { 10900, 10400, 3000 }, 11000, 12700 },
		{ { 10900, 5000, 3000 }, 11000, 11000 },
		/* It has it later than this one. */
		{ { 10900, 11500, 3000 }, 11000, 13300 },
	};

	for (const auto &c : cases) {
		struct directory_rig r;

		r.put("a", 1, 100);
		directory_outage_ended(&r.d, &c.outage, c.back_ms);
		r.remove("a", 3, c.back_ms);
		directory_apply_deferred(&r.d, c.removed_ms - 1);
		if (c.removed_ms > c.back_ms) {
			EXPECT_NE(directory_find(&r.d, str_from("a")), nullptr) << c.removed_ms;
		}
		directory_apply_deferred(&r.d, c.removed_ms);
		EXPECT_EQ(directory_find(&r.d, str_from("a")), nullptr) << c.removed_ms;
	}
}

/* Guards against keeping endpoints that were removed while no changes could be read. */
TEST(Directory, CompleteListRemovesMissingEntries)
{
	struct directory_rig r;

	r.put("a", 1, 100);
	r.put("b", 2, 100);
	r.put("c", 9, 100);
	directory_list_begin(&r.d, 8);
	r.put("a", 1, 100);
	directory_list_end(&r.d, 8, 0);
	/* c is newer than the list. */
	EXPECT_EQ(r.changes, (changes{ "added a", "added b", "added c", "removed b" }));
}

namespace
{

/* Processor time of this thread, which other processes on the machine do not lengthen. */
double cpu_ns()
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

/* Processor time to read a list of @count endpoints twice; the fastest of several runs. */
double list_ns(int count)
{
	double best = 1e18;

	for (int k = 0; k < 8; k++) {
		struct directory_rig r;
		double from = cpu_ns();

		for (int twice = 0; twice < 2; twice++) {
			directory_list_begin(&r.d, 2);
			for (int i = 0; i < count; i++)
				r.put(("endpoint-" + std::to_string(i)).c_str(), 1, 1);
			directory_list_end(&r.d, 2, 0);
		}
		best = std::min(best, cpu_ns() - from);
		EXPECT_EQ(r.d.count, count);
	}
	return best;
}

} // namespace

/*
 * Guards against a linear search of the directory for each entry of the list, which is slow when an
 * instance starts with thousands of endpoints.
 */
TEST(Directory, ReadingAListTakesLinearTime)
{
	/* 4 times the entries would take 16 times as long if each were compared with all others. */
	EXPECT_LT(list_ns(6000) / list_ns(1500), 8.0);
}

/* Guards against an endpoint that leaves after a drill and is missed, as its version is low. */
TEST(Directory, LowerNumbersOfALaterEraAreNewer)
{
	struct directory_rig r;

	r.put("a", first_era(14), 100);
	r.put("b", first_era(15), 100);
	r.put("a", second_era(8), 100, true);
	r.remove("b", second_era(9), 0);
	EXPECT_EQ(r.changes, (changes{ "added a", "added b", "leaving a", "removed b" }));
	/* A neighbour that hasn't noticed the drill. */
	r.put("b", first_era(16), 100);
	r.remove("a", first_era(17), 0);
	EXPECT_EQ(r.d.count, 2);
	EXPECT_EQ(r.changes.back(), "added b");
}

/* Guards against a copy that brings back endpoints which left or went in the lost seconds. */
TEST(Directory, TheCopyBringsNothingBack)
{
	struct directory_rig r;

	r.put("leaves", first_era(5), 100);
	r.put("stays", first_era(6), 100);
	r.put("leaves", first_era(11), 100, true);
	r.changes.clear();
	directory_era_began(&r.d, 1000);
	directory_list_begin(&r.d, second_era(9));
	r.put("leaves", second_era(5), 100);
	r.put("went", second_era(7), 100);
	directory_list_end(&r.d, second_era(9), 1000);
	EXPECT_EQ(r.changes, changes{}) << "also nothing removed that the copy lacks";
	EXPECT_TRUE(directory_is_missing(&r.d, str_from("stays")));
	EXPECT_EQ(directory_count_held(&r.d), 2);
	directory_apply_deferred(&r.d, 3299);
	EXPECT_EQ(r.changes, changes{});
	/* All is written again. */
	r.put("stays", second_era(10), 100);
	r.remove("went", second_era(11), 3299);
	r.put("leaves", second_era(12), 100, true);
	directory_apply_deferred(&r.d, 3300);
	EXPECT_EQ(r.changes, (changes{ "updated stays", "updated leaves" }));
	EXPECT_TRUE(directory_find(&r.d, str_from("leaves"))->leaving);
	EXPECT_EQ(directory_count_held(&r.d), 0);
}

/* Guards against requests for an endpoint that leaves or is replaced, until the copy is trusted. */
TEST(Directory, TheCopyTakesWorkAwayAtOnce)
{
	struct directory_rig r;

	r.put("a", first_era(5), 100);
	r.put("b", first_era(6), 100);
	r.put("c", first_era(12), 200);
	r.changes.clear();
	directory_era_began(&r.d, 1000);
	directory_list_begin(&r.d, second_era(9));
	r.put("a", second_era(7), 100, true);
	r.put("b", second_era(8), 150);
	/* The process before the one that is known. */
	r.put("c", second_era(4), 100);
	directory_list_end(&r.d, second_era(9), 1000);
	EXPECT_EQ(r.changes, (changes{ "leaving a", "reborn b" }));
	directory_apply_deferred(&r.d, 9000);
	EXPECT_EQ(r.changes, (changes{ "leaving a", "reborn b" }));
}

/* Guards against endpoints that stay unknown, or known ones that stay listed, after the time. */
TEST(Directory, WhatWasHeldBackIsTakenInTime)
{
	struct directory_rig r;

	r.put("a", first_era(5), 100);
	r.put("gone", first_era(6), 100);
	r.changes.clear();
	directory_era_began(&r.d, 1000);
	directory_list_begin(&r.d, second_era(9));
	r.put("a", second_era(8), 100);
	r.put("new", second_era(9), 100);
	directory_list_end(&r.d, second_era(9), 1200);
	/* Written in the era, and known at once. */
	r.put("late", second_era(10), 100);
	EXPECT_EQ(r.changes, changes{ "added late" });
	directory_apply_deferred(&r.d, 3299);
	EXPECT_EQ(r.d.count, 3);
	directory_apply_deferred(&r.d, 3300);
	std::sort(r.changes.begin(), r.changes.end());
	EXPECT_EQ(r.changes, (changes{ "added late", "added new", "removed gone", "updated a" }));
	r.changes.clear();
	r.put("next", second_era(3), 100);
	EXPECT_EQ(r.changes, changes{ "added next" }) << "nothing is held back any more";
}

/* Guards against a second drill that is judged by the first one's copy and time. */
TEST(Directory, ASecondDrillBeginsAgain)
{
	struct directory_rig r;

	r.put("a", first_era(5), 100);
	r.changes.clear();
	directory_era_began(&r.d, 1000);
	directory_list_begin(&r.d, second_era(9));
	r.put("a", second_era(4), 100);
	r.put("went", second_era(9), 100);
	directory_list_end(&r.d, second_era(9), 1000);
	directory_era_began(&r.d, 3000);
	directory_apply_deferred(&r.d, 4000);
	EXPECT_EQ(r.changes, changes{});
	directory_list_begin(&r.d, store_version_make(3, 20));
	r.put("went", store_version_make(3, 12), 100);
	directory_list_end(&r.d, store_version_make(3, 20), 4000);
	directory_apply_deferred(&r.d, 5299);
	EXPECT_EQ(r.changes, changes{});
	directory_apply_deferred(&r.d, 5300);
	EXPECT_EQ(r.changes, (changes{ "added went", "removed a" }));
}

/* Guards against a start that waits for endpoints to be written again, with none to serve by. */
TEST(Directory, AFirstListIsTakenAtOnce)
{
	struct directory_rig r;

	directory_era_began(&r.d, 1000);
	directory_list_begin(&r.d, second_era(9));
	r.put("a", second_era(4), 100);
	directory_list_end(&r.d, second_era(9), 1000);
	EXPECT_EQ(r.changes, changes{ "added a" });
}
