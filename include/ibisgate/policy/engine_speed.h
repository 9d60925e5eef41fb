#ifndef IBISGATE_POLICY_ENGINE_SPEED_H
#define IBISGATE_POLICY_ENGINE_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/policy/place.h"

/**
 * struct speed_sample - a prompt that an engine has read
 * @prefill: by an engine that only prefills
 * @read_tokens: tokens that it had to read
 * @waited_tokens: backlog that was in front of it when it was sent
 * @elapsed_ms: from sending it to the handle or the first token, in milliseconds
 */
struct speed_sample {
	bool prefill;
	int64_t read_tokens;
	int64_t waited_tokens;
	int64_t elapsed_ms;
};

/**
 * engine_speed_learn - correct the speeds assumed from the settings by what engines do
 *
 * Load: engines faster or slower than the settings say. Only long prompts that found an idle engine
 * count: with a backlog, the time says as much about the queue as about the speed.
 */
void engine_speed_learn(struct place_speed *speed, const struct speed_sample *s);

#endif
