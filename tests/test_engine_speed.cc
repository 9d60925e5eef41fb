#include <gtest/gtest.h>

#include <random>

extern "C" {
#include "ibisgate/policy/engine_speed.h"
}

/*
 * Guards against placement with speeds that are right for one deployment only. The engines are up
 * to four times faster or slower than the settings say, and 1 in 20 prompts is delayed by unrelated
 * work.
 */
TEST(EngineSpeed, ConvergesToSpeedsFarFromTheSettings)
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
			struct engine_speed_sample sample = { prefill, tokens, 0, ms };
			engine_speed_add_sample(&s, &sample);
		}
		EXPECT_NEAR(s.prefill_per_ms, 45 * factor, 45 * factor * 0.15);
		EXPECT_NEAR(s.mixed_per_ms, 22 * factor, 22 * factor * 0.15);
	}
}

/* Guards against treating an engine with a queue as a slow engine. */
TEST(EngineSpeed, IgnoresQueuedAndShortPrompts)
{
	struct place_speed s = { .prefill_per_ms = 45, .mixed_per_ms = 22, .overhead_ms = 30 };
	struct engine_speed_sample queued = { true, 10000, 5000, 4000 };
	struct engine_speed_sample small = { true, 200, 0, 4000 };

	for (int i = 0; i < 100; i++) {
		engine_speed_add_sample(&s, &queued);
		engine_speed_add_sample(&s, &small);
	}
	EXPECT_EQ(s.prefill_per_ms, 45);
}

/* Guards against one assumed speed for models whose tokens differ ninefold in size. */
TEST(EngineSpeed, TransferSpeedFollowsFromTheConfiguration)
{
	EXPECT_NEAR(engine_transfer_per_ms(370000, 18432, 1500), 2509, 1);
	EXPECT_NEAR(engine_transfer_per_ms(740000, 163840, 1500), 564.6, 1);
	EXPECT_EQ(engine_transfer_per_ms(0, 18432, 1500), 1500);
	EXPECT_EQ(engine_transfer_per_ms(370000, 0, 1500), 1500);
}
