#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

extern "C" {
#include "ibisgate/state/directory.h"
}

namespace
{

struct rig {
	struct directory d;
	std::vector<std::string> changes;

	rig()
	{
		directory_init(&d, on_change, this);
	}

	~rig()
	{
		directory_free(&d);
	}

	static void on_change(void *ctx, enum directory_change c, const struct endpoint_entry *e)
	{
		static const char *const names[] = { "added", "updated", "reborn", "leaving",
						     "removed" };

		static_cast<struct rig *>(ctx)->changes.push_back(std::string(names[c]) + " " +
								  e->id);
	}

	void put(const char *id, int64_t version, int64_t born, bool leaving = false,
		 const char *address = "10.0.0.1:80")
	{
		struct endpoint_entry e = {};

		str_copy(e.id, sizeof(e.id), str_from(id));
		str_copy(e.address, sizeof(e.address), str_from(address));
		e.version = version;
		e.born = born;
		e.leaving = leaving;
		directory_put(&d, &e);
	}

	void remove(const char *id, int64_t version, int64_t now)
	{
		directory_remove(&d, str_from(id), version, now);
	}
};

using changes = std::vector<std::string>;

} // namespace

/* Guards against old news that undoes newer news. */
TEST(Directory, OlderVersionsChangeNothing)
{
	struct rig r;

	r.put("a", 5, 100);
	r.put("a", 4, 100, true);
	r.remove("a", 4, 0);
	EXPECT_EQ(r.changes, (changes{ "added a" }));
	r.put("a", 6, 100, true);
	r.remove("a", 7, 0);
	EXPECT_EQ(r.changes, (changes{ "added a", "leaving a", "removed a" }));
}

/* Guards against state of a former process that is kept for the one that follows it. */
TEST(Directory, AnotherStartUnderTheSameIdIsAnotherProcess)
{
	struct rig r;

	r.put("a", 5, 100);
	r.put("a", 6, 200);
	/* A late write of the former process. */
	r.put("a", 7, 100, true);
	r.put("a", 8, 200, false, "10.0.0.2:80");
	EXPECT_EQ(r.changes, (changes{ "added a", "reborn a", "reborn a" }));
	EXPECT_FALSE(directory_find(&r.d, str_from("a"))->leaving);
}

/* Guards against a fleet that is forgotten because its entries lapsed during an outage. */
TEST(Directory, RemovalsWaitAfterAnOutage)
{
	struct rig r;

	r.put("a", 1, 100);
	r.put("b", 2, 100);
	directory_hold(&r.d, 2300);
	r.remove("a", 3, 10);
	r.remove("b", 4, 10);
	directory_step(&r.d, 2299);
	EXPECT_EQ(r.changes.size(), 2u);
	r.put("a", 5, 100);
	directory_step(&r.d, 2300);
	EXPECT_EQ(r.changes.back(), "removed b");
	EXPECT_NE(directory_find(&r.d, str_from("a")), nullptr);
	EXPECT_EQ(directory_find(&r.d, str_from("b")), nullptr);
	r.remove("a", 9, 2400);
	EXPECT_EQ(r.changes.back(), "removed a");
}

/* Guards against endpoints that left while no changes could be read. */
TEST(Directory, AWholeListRemovesWhatItDoesNotName)
{
	struct rig r;

	r.put("a", 1, 100);
	r.put("b", 2, 100);
	r.put("c", 9, 100);
	directory_list_begin(&r.d);
	r.put("a", 1, 100);
	directory_list_end(&r.d, 8, 0);
	/* c is newer than the list. */
	EXPECT_EQ(r.changes, (changes{ "added a", "added b", "added c", "removed b" }));
}

namespace
{

/* Time in which a list of @count endpoints is read twice: the fastest of some tries. */
double list_ns(int count)
{
	double best = 1e18;

	for (int k = 0; k < 8; k++) {
		struct rig r;
		auto from = std::chrono::steady_clock::now();

		for (int twice = 0; twice < 2; twice++) {
			directory_list_begin(&r.d);
			for (int i = 0; i < count; i++)
				r.put(("endpoint-" + std::to_string(i)).c_str(), 1, 1);
			directory_list_end(&r.d, 2, 0);
		}
		best = std::min(best, std::chrono::duration<double, std::nano>(
					      std::chrono::steady_clock::now() - from)
					      .count());
		EXPECT_EQ(r.d.count, count);
	}
	return best;
}

} // namespace

/*
 * Load: an instance starts before thousands of endpoints. Guards against a list that is searched
 * from its start for each entry.
 */
TEST(Directory, ListIsReadInProportionToItsLength)
{
	/* 4 times the entries; 16 times the time when each is compared with all others. */
	EXPECT_LT(list_ns(6000) / list_ns(1500), 8.0);
}
