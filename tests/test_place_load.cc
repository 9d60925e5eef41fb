#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <vector>

#include "place_costs.h"

extern "C" {
#include "ibisgate/policy/engine_pace.h"
#include "ibisgate/policy/place.h"
}

/*
 * Plays arrivals in virtual time through place_pick() against a model of engines: a prefill engine
 * reads one prompt after the other, a decode engine runs steps that each generate one token for
 * every generation and read one chunk of a waiting prompt. Several instances place requests. Each
 * knows its own at once and those of the others as of the last exchange.
 */
namespace
{

const struct place_speed SPEED = { .prefill_per_ms = 48,
				   .mixed_per_ms = 24,
				   .overhead_ms = 16,
				   .transfer_per_ms = 1000,
				   .event_interval_ms = 42 };
constexpr int SLOTS = 48;
constexpr int TOKENS_PER_EVENT = 7;
constexpr int64_t MIXED_CHUNK_TOKENS = 1024;
constexpr double PHASE_MS = 2800;
constexpr int INSTANCES_MAX = 8;
constexpr double EXCHANGE_MS = 100;
constexpr double STEP_MS = 5.2;
constexpr double STEP_SLOT_MS = 0.04;

/**
 * struct kind - kind of request with its limits, in tokens and milliseconds
 * @per_s: arrivals per second in the two phases of the load
 */
struct kind {
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int output_tokens;
	double per_s[2];
	double target_ms;
	double gap_ms;
};

struct generation {
	int kind;
	int instance;
	double arrived_ms;
	int64_t unread_tokens;
	int made_tokens;
	double last_event_ms;
	double first_ms;
	double longest_gap_ms;
};

/* Requests of one instance on one engine. */
struct usage {
	int64_t backlog_tokens;
	int active;
};

struct engine {
	enum engine_stage stage;
	double free_ms;
	std::deque<struct generation> reading;
	std::vector<struct generation> running;
	struct engine_pace pace;
	struct usage now[INSTANCES_MAX];
	struct usage exchanged[INSTANCES_MAX];
};

struct outcome {
	int asked;
	int in_time;
};

class fleet
{
      public:
	fleet(int prefill, int decode, const std::vector<struct kind> &kinds, bool gap_known,
	      int instances = 1)
	    : kinds(kinds), gap_known(gap_known), instances(instances), outcomes(kinds.size())
	{
		for (int i = 0; i < prefill + decode; i++) {
			struct engine e = {};

			e.stage = i < prefill ? STAGE_PREFILL : STAGE_DECODE;
			engines.push_back(e);
		}
	}

	/* Plays @seconds of arrivals and lets all generations finish. */
	void play(double seconds, unsigned seed)
	{
		std::mt19937 rng(seed);

		for (double now = 0; now < seconds * 1000 + 10000; now += 1) {
			if (fmod(now, EXCHANGE_MS) == 0)
				exchange();
			for (size_t k = 0; now < seconds * 1000 && k < kinds.size(); k++) {
				std::poisson_distribution<int> count(
					kinds[k].per_s[(int)(now / PHASE_MS) % 2] / 1000);

				for (int n = count(rng); n > 0; n--)
					arrive((int)k, (int)(rng() % (unsigned)instances), now);
			}
			hand_over(now);
			for (struct engine &e : engines)
				advance(e, now);
		}
	}

	double share_in_time(int kind) const
	{
		return (double)outcomes[(size_t)kind].in_time / outcomes[(size_t)kind].asked;
	}

      private:
	void exchange()
	{
		for (struct engine &e : engines)
			std::copy(std::begin(e.now), std::end(e.now), std::begin(e.exchanged));
	}

	struct place_engine view(const struct engine &e, const struct kind &k, int instance,
				 double now) const
	{
		struct place_engine v = {};

		v.stage = e.stage;
		v.usable = true;
		v.request_slots = SLOTS;
		v.event_interval_ms = engine_pace_interval_ms(&e.pace, (int64_t)now);
		v.cached_tokens = v.ready_tokens = k.cached_tokens;
		for (int i = 0; i < instances; i++) {
			const struct usage &u = i == instance ? e.now[i] : e.exchanged[i];

			v.backlog_tokens += u.backlog_tokens;
			v.active_requests += u.active;
		}
		return v;
	}

	void arrive(int kind, int instance, double now)
	{
		const struct kind &k = kinds[(size_t)kind];
		struct place_request r = {};
		struct place_choice c = {};
		std::vector<struct place_engine> views;

		r.prompt_tokens = k.prompt_tokens;
		r.shared_tokens = k.cached_tokens;
		r.target_ms = k.target_ms;
		r.gap_ms = gap_known ? k.gap_ms : 0;
		for (const struct engine &e : engines)
			views.push_back(view(e, k, instance, now));
		outcomes[(size_t)kind].asked++;
		ASSERT_TRUE(
			place_pick(views.data(), (int)views.size(), &r, &SPEED, &PLACE_COSTS, &c));
		struct engine &e = engines[(size_t)(c.prefill >= 0 ? c.prefill : c.decode)];
		e.reading.push_back({ kind, instance, now, c.read_tokens, 0, 0, 0, 0 });
		e.now[instance].backlog_tokens += c.read_tokens;
		e.now[instance].active++;
		e.free_ms = std::max(e.free_ms, now);
	}

	void advance(struct engine &e, double now)
	{
		while (e.free_ms <= now && !(e.reading.empty() && e.running.empty())) {
			if (e.stage == STAGE_PREFILL)
				read_prompt(e);
			else
				step(e);
		}
	}

	void read_prompt(struct engine &e)
	{
		struct generation g = e.reading.front();

		e.reading.pop_front();
		e.free_ms += (double)g.unread_tokens / SPEED.prefill_per_ms;
		e.now[g.instance].backlog_tokens -= g.unread_tokens;
		e.now[g.instance].active--;
		g.unread_tokens = 0;
		handoffs.emplace(e.free_ms, g);
	}

	/* Gives prompts that prefill engines have read to the decode engine with the fewest. */
	void hand_over(double now)
	{
		while (!handoffs.empty() && handoffs.begin()->first <= now) {
			auto least = std::min_element(
				engines.begin(), engines.end(),
				[](const struct engine &a, const struct engine &b) {
					return load(a) < load(b);
				});

			least->free_ms = std::max(least->free_ms, handoffs.begin()->first);
			least->reading.push_front(handoffs.begin()->second);
			least->now[handoffs.begin()->second.instance].active++;
			handoffs.erase(handoffs.begin());
		}
	}

	static size_t load(const struct engine &e)
	{
		return e.stage == STAGE_DECODE ? e.running.size() + e.reading.size() : SIZE_MAX;
	}

	void step(struct engine &e)
	{
		e.free_ms += STEP_MS + STEP_SLOT_MS * (double)e.running.size();
		if (!e.reading.empty()) {
			struct generation &g = e.reading.front();
			int64_t chunk = std::min(g.unread_tokens, MIXED_CHUNK_TOKENS);

			g.unread_tokens -= chunk;
			e.now[g.instance].backlog_tokens -= chunk;
			e.free_ms += (double)chunk / SPEED.mixed_per_ms;
		}
		for (struct generation &g : e.running)
			make_token(e, g);
		e.running.erase(
			std::remove_if(e.running.begin(), e.running.end(),
				       [&](const struct generation &g) { return finish(e, g); }),
			e.running.end());
		while (!e.reading.empty() && !e.reading.front().unread_tokens &&
		       e.running.size() < SLOTS) {
			struct generation g = e.reading.front();

			e.reading.pop_front();
			g.first_ms = e.free_ms + SPEED.overhead_ms - g.arrived_ms;
			g.last_event_ms = e.free_ms;
			e.running.push_back(g);
		}
	}

	static void make_token(struct engine &e, struct generation &g)
	{
		double gap_ms = e.free_ms - g.last_event_ms;

		if (++g.made_tokens % TOKENS_PER_EVENT)
			return;
		if (g.made_tokens > TOKENS_PER_EVENT)
			engine_pace_add(&e.pace, gap_ms, (int64_t)e.free_ms);
		g.longest_gap_ms = std::max(g.longest_gap_ms, gap_ms);
		g.last_event_ms = e.free_ms;
	}

	bool finish(struct engine &e, const struct generation &g)
	{
		const struct kind &k = kinds[(size_t)g.kind];

		if (g.made_tokens < k.output_tokens)
			return false;
		e.now[g.instance].active--;
		outcomes[(size_t)g.kind].in_time +=
			g.first_ms <= k.target_ms && g.longest_gap_ms <= k.gap_ms;
		return true;
	}

	std::vector<struct kind> kinds;
	bool gap_known;
	int instances;
	std::vector<struct engine> engines;
	std::vector<struct outcome> outcomes;
	std::multimap<double, struct generation> handoffs;
};

/*
 * Long prompts with a cached handbook and short prompts, which come in turns.
 * @long_per_s: arrivals of long prompts in their phase; 6 prefill engines read about 70 a second
 */
std::vector<struct kind> alternating_load(double long_per_s)
{
	return { { 17000, 13300, 120, { long_per_s, 15 }, 600, 150 },
		 { 24000, 13300, 120, { long_per_s / 10, 2 }, 600, 150 },
		 { 380, 80, 45, { 100, 280 }, 250, 150 } };
}

} // namespace

/*
 * Guards against long prompts on decode engines, where one of them makes all running generations
 * late by a single pause although prefill engines could take it within its target.
 */
TEST(PlaceLoad, LongPromptsDoNotMakeRunningGenerationsLate)
{
	for (unsigned seed = 1; seed <= 5; seed++) {
		fleet f(6, 6, alternating_load(55), true);

		f.play(20, seed);
		for (int kind = 0; kind < 3; kind++)
			EXPECT_GE(f.share_in_time(kind), 0.85)
				<< "seed " << seed << " kind " << kind;
	}
}

/* Guards against the same while prefill engines are overloaded for seconds: all kinds gain. */
TEST(PlaceLoad, PauseLimitHelpsAllKindsUnderOverload)
{
	double in_time[2][3] = {};

	for (unsigned seed = 1; seed <= 5; seed++) {
		for (int known = 0; known < 2; known++) {
			fleet f(6, 6, alternating_load(70), known);

			f.play(20, seed);
			for (int kind = 0; kind < 3; kind++)
				in_time[known][kind] += f.share_in_time(kind) / 5;
		}
	}
	for (int kind = 0; kind < 3; kind++) {
		printf("kind %d: in time %.3f, without the limit %.3f\n", kind, in_time[1][kind],
		       in_time[0][kind]);
		EXPECT_GT(in_time[1][kind], in_time[0][kind]) << "kind " << kind;
	}
}

/*
 * Load: prompts of all sizes at five instances that know each other's requests 100 ms late, and
 * prefill engines that are busy for most of the time. Guards against prompts of medium length that
 * each fit in a pause of a decode engine's generations, while several in one pause don't.
 */
TEST(PlaceLoad, PromptsOfAllSizesShareThePausesOfDecodeEngines)
{
	const std::vector<struct kind> kinds = { { 17000, 13300, 120, { 30, 10 }, 600, 150 },
						 { 15000, 13300, 120, { 20, 7 }, 600, 150 },
						 { 1500, 100, 45, { 15, 7.5 }, 250, 150 },
						 { 250, 80, 45, { 150, 75 }, 250, 150 } };
	double in_time[4] = {};

	for (unsigned seed = 1; seed <= 5; seed++) {
		fleet f(3, 9, kinds, true, 5);

		f.play(10, seed);
		for (int kind = 0; kind < 4; kind++)
			in_time[kind] += f.share_in_time(kind) / 5;
	}
	for (int kind = 0; kind < 4; kind++) {
		printf("kind %d: in time %.3f\n", kind, in_time[kind]);
		EXPECT_GE(in_time[kind], 0.85) << "kind " << kind;
	}
}
