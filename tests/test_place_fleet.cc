#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "place_costs.h"

extern "C" {
#include "ibisgate/policy/place.h"
#include "ibisgate/state/cache_view.h"
#include "ibisgate/state/part_sources.h"
}

/*
 * Plays requests with shared prefixes in virtual time at data centres that place only on their own
 * engines. One data centre's engines do not have room for all prefixes in use; those of all data
 * centres have room for several copies.
 */
namespace
{

constexpr int DCS = 6;
constexpr int ENGINES_PER_DC = 8;
constexpr int PREFIXES = 350;
constexpr int64_t PREFIX_TOKENS = 13300;
constexpr int64_t OWN_TOKENS = 3700;
constexpr int64_t CAPACITY_TOKENS = 436000;
/* Two messages within data centres and one between delegates. */
constexpr double REPORT_DELAY_MS = 800;
constexpr double REPORT_INTERVAL_MS = 4000;

const struct place_speed SPEED = {
	.prefill_per_ms = 48, .mixed_per_ms = 24, .overhead_ms = 30, .transfer_per_ms = 1000
};

using cache = std::unique_ptr<struct cache_view, decltype(&cache_view_destroy)>;

struct engine {
	cache contents{ cache_view_create(CAPACITY_TOKENS), cache_view_destroy };
	double busy_until_ms = 0;
};

struct report {
	double at_ms;
	int engine;
	uint64_t prefix;
};

class fleet
{
      public:
	explicit fleet(bool remote_sources)
	    : remote_sources(remote_sources), engines(DCS * ENGINES_PER_DC), sent(DCS), known(DCS)
	{
	}

	/* Returns the part of all prefilled tokens that are prefixes which some engine has read. */
	double play(double seconds, double per_s, unsigned seed)
	{
		std::mt19937 rng(seed);
		std::exponential_distribution<double> gap(per_s / 1000);

		for (double now = gap(rng); now < seconds * 1000; now += gap(rng)) {
			for (; !reports.empty() && reports.front().at_ms <= now; reports.pop())
				learn(reports.front());
			request((int)(rng() % DCS), 1 + rng() % PREFIXES, 1000 + own_parts++, now);
		}
		return (double)again_tokens / (double)read_tokens;
	}

      private:
	static void record(struct cache_view &v, uint64_t part)
	{
		cache_view_record(&v, part, PREFIX_TOKENS, true);
	}

	static bool has(const struct cache_view &v, uint64_t part)
	{
		bool ready;

		return cache_view_cached_tokens(&v, part, &ready) > 0;
	}

	/* Every data centre but the engine's own learns of the report. */
	void learn(const struct report &r)
	{
		for (int dc = 0; dc < DCS; dc++) {
			if (dc != r.engine / ENGINES_PER_DC)
				part_sources_record(&known[(size_t)dc], r.prefix,
						    (uint32_t)r.engine, (int64_t)r.at_ms);
		}
	}

	std::vector<struct place_engine> views(int dc, uint64_t prefix, double now,
					       std::vector<int> &at)
	{
		const struct part_source *source = part_sources_find(&known[(size_t)dc], prefix);
		std::vector<struct place_engine> out;

		for (int i = dc * ENGINES_PER_DC; i < (dc + 1) * ENGINES_PER_DC; i++) {
			struct engine &e = engines[(size_t)i];
			struct place_engine v = {};

			v.stage = STAGE_DECODE;
			v.usable = true;
			v.request_slots = 64;
			v.backlog_tokens = (int64_t)(std::max(0.0, e.busy_until_ms - now) *
						     SPEED.mixed_per_ms);
			v.home_score = (prefix * 2654435761u + (uint64_t)i * 40503u) % 100003u;
			if (has(*e.contents, prefix))
				v.cached_tokens = v.ready_tokens = PREFIX_TOKENS;
			at.push_back(i);
			out.push_back(v);
		}
		if (source && remote_sources) {
			struct place_engine v = {};

			v.dc = 1 + (int)source->engine / ENGINES_PER_DC;
			v.fetch_only = true;
			v.ready_tokens = PREFIX_TOKENS;
			at.push_back((int)source->engine);
			out.push_back(v);
		}
		return out;
	}

	/* A delegate reports a part that any engine of its data centre has prefilled. */
	void relay(int dc, int engine, uint64_t prefix, double now)
	{
		const struct part_source *last = part_sources_find(&sent[(size_t)dc], prefix);

		if (last && now - (double)last->at_ms < REPORT_INTERVAL_MS)
			return;
		part_sources_record(&sent[(size_t)dc], prefix, (uint32_t)engine, (int64_t)now + 1);
		reports.push({ now + REPORT_DELAY_MS, engine, prefix });
	}

	void request(int dc, uint64_t prefix, uint64_t own, double now)
	{
		struct place_request r = {};
		struct place_choice c = {};
		std::vector<int> at;
		std::vector<struct place_engine> v = views(dc, prefix, now, at);

		r.prompt_tokens = PREFIX_TOKENS + OWN_TOKENS;
		r.shared_tokens = PREFIX_TOKENS;
		ASSERT_TRUE(place_pick(v.data(), (int)v.size(), &r, &SPEED, &PLACE_COSTS, &c));
		int chosen = at[(size_t)c.decode];
		struct engine &e = engines[(size_t)chosen];
		bool cached = has(*e.contents, prefix);

		ASSERT_EQ(chosen / ENGINES_PER_DC, dc);
		if (c.fetch_source >= 0)
			cached |=
				has(*engines[(size_t)at[(size_t)c.fetch_source]].contents, prefix);
		int64_t tokens = OWN_TOKENS + (cached ? 0 : PREFIX_TOKENS);

		read_tokens += tokens;
		if (!cached && read_before[prefix]++)
			again_tokens += PREFIX_TOKENS;
		e.busy_until_ms =
			std::max(e.busy_until_ms, now) + (double)tokens / SPEED.mixed_per_ms;
		record(*e.contents, prefix);
		cache_view_record(e.contents.get(), own, OWN_TOKENS, true);
		relay(dc, chosen, prefix, now);
	}

	bool remote_sources;
	std::vector<struct engine> engines;
	std::vector<struct part_sources> sent;
	std::vector<struct part_sources> known;
	std::queue<struct report> reports;
	std::map<uint64_t, int> read_before;
	uint64_t own_parts = 0;
	int64_t read_tokens = 0;
	int64_t again_tokens = 0;
};

} // namespace

/*
 * Guards against data centres that each prefill prefixes again which the others have: with hundreds
 * of engines, two fifths of all prefilled tokens were such prefixes.
 */
TEST(PlaceFleet, PrefixesAreCopiedFromOtherDataCentres)
{
	for (unsigned seed = 1; seed <= 5; seed++) {
		double separate = fleet(false).play(60, 60, seed);
		double shared = fleet(true).play(60, 60, seed);

		printf("seed %u: prefilled again %.3f, without copies between data centres %.3f\n",
		       seed, shared, separate);
		EXPECT_LE(shared, 0.10) << "seed " << seed;
		EXPECT_LT(shared, separate) << "seed " << seed;
	}
}

/* Guards against an old source after a newer report, and against unbounded memory. */
TEST(PartSources, TheNewestReportsAreKept)
{
	auto s = std::make_unique<struct part_sources>();

	part_sources_record(s.get(), 7, 1, 1000);
	part_sources_record(s.get(), 7, 2, 1500);
	ASSERT_NE(part_sources_find(s.get(), 7), nullptr);
	EXPECT_EQ(part_sources_find(s.get(), 7)->engine, 2u);
	EXPECT_EQ(part_sources_find(s.get(), 8), nullptr);
	EXPECT_EQ(part_sources_find(s.get(), 0), nullptr);
	for (uint64_t part = 100; part < 100000; part++)
		part_sources_record(s.get(), part, 3, (int64_t)part * 10);
	int kept = 0;
	for (uint64_t part = 99000; part < 100000; part++)
		kept += part_sources_find(s.get(), part) != nullptr;
	EXPECT_EQ(kept, 1000);
	EXPECT_EQ(part_sources_find(s.get(), 7), nullptr);
}
