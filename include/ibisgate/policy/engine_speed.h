#ifndef IBISGATE_POLICY_ENGINE_SPEED_H
#define IBISGATE_POLICY_ENGINE_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/policy/place.h"

/**
 * struct speed_sample - one completed prompt prefill
 * @prefill: the engine only prefills
 * @read_tokens: prompt tokens that were not cached and had to be prefilled
 * @waited_tokens: backlog of the engine in tokens when the prompt was sent
 * @elapsed_ms: time from sending the prompt to its KV cache handle or first token, in milliseconds
 */
struct speed_sample {
	bool prefill;
	int64_t read_tokens;
	int64_t waited_tokens;
	int64_t elapsed_ms;
};

/**
 * engine_speed_learn - adjust the engine speeds from the settings towards a measured sample
 *
 * Engines may be faster or slower than the settings say. Only long prompts sent to an engine
 * without a backlog are used: with a backlog, the elapsed time depends on the queue as much as on
 * the speed.
 */
void engine_speed_learn(struct place_speed *speed, const struct speed_sample *s);

#endif
