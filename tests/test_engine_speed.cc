#include <gtest/gtest.h>

#include <random>

extern "C" {
#include "ibisgate/policy/engine_speed.h"
}

/*
 * Load: engines four times as fast or slow as the settings say, with some prompts held up by work
 * that nobody knew of. Guards against placement by speeds that hold for one deployment only.
 */
TEST(EngineSpeed, FindsSpeedsFarFromTheAssumedOnes)
{
	for (double factor : { 0.25, 0.5, 1.0, 2.0, 4.0 }) {
		std::mt19937_64 rng(5);
		struct place_speed s = { .prefill_per_ms = 45,
					 .mixed_per_ms = 22,
					 .overhead_ms = 30,
					 .transfer_per_ms = 1500 };

		for (int i = 0; i < 600; i++) {
			int64_t tokens = 2000 + (int64_t)(rng() % 15000);
			bool prefill = rng() % 2;
			double rate = (prefill ? 45 : 22) * factor;
			int64_t ms = 30 + (int64_t)((double)tokens / rate);

			if (rng() % 20 == 0)
				ms += 400;
			struct speed_sample x = { prefill, tokens, 0, ms };
			engine_speed_learn(&s, &x);
		}
		EXPECT_NEAR(s.prefill_per_ms, 45 * factor, 45 * factor * 0.15);
		EXPECT_NEAR(s.mixed_per_ms, 22 * factor, 22 * factor * 0.15);
	}
}

/* Guards against queues that are taken for slow engines. */
TEST(EngineSpeed, QueuesAndShortPromptsSayNothing)
{
	struct place_speed s = { .prefill_per_ms = 45, .mixed_per_ms = 22, .overhead_ms = 30 };
	struct speed_sample queued = { true, 10000, 5000, 4000 };
	struct speed_sample small = { true, 200, 0, 4000 };

	for (int i = 0; i < 100; i++) {
		engine_speed_learn(&s, &queued);
		engine_speed_learn(&s, &small);
	}
	EXPECT_EQ(s.prefill_per_ms, 45);
}
