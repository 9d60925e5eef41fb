#ifndef IBISGATE_POLICY_ENGINE_SPEED_H
#define IBISGATE_POLICY_ENGINE_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/policy/place.h"

/**
 * struct engine_speed_sample - one completed prompt prefill
 * @is_prefill_engine: the engine only prefills
 * @prefilled_tokens: prompt tokens that were not cached and had to be prefilled
 * @queue_ahead_tokens: backlog of the engine in tokens when the prompt was sent
 * @elapsed_ms: time from sending the prompt to its KV cache handle or first token, in milliseconds
 */
struct engine_speed_sample {
	bool is_prefill_engine;
	int64_t prefilled_tokens;
	int64_t queue_ahead_tokens;
	int64_t elapsed_ms;
};

/**
 * engine_speed_add_sample - adjust the engine speeds from the settings towards a measured sample
 *
 * Engines may be faster or slower than the settings say. Only long prompts sent to an engine
 * without a backlog are used: with a backlog, the elapsed time depends on the queue as much as on
 * the speed.
 */
void engine_speed_add_sample(struct place_speed *speed, const struct engine_speed_sample *s);

/**
 * engine_transfer_per_ms - tokens of KV cache that two engines can move per millisecond
 * @link_mbps: bandwidth between engines in Mbit/s; 0 when not configured
 * @token_bytes: KV cache size of one token in bytes; 0 when not configured
 * @assumed: result without both
 */
double engine_transfer_per_ms(double link_mbps, int64_t token_bytes, double assumed);

#endif
