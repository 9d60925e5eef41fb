#ifndef IBISGATE_POLICY_PLACE_H
#define IBISGATE_POLICY_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/state/directory.h"

/**
 * struct place_speed - speed of the engines of one service, as measured so far
 * @prefill_per_ms: prompt tokens read per millisecond by an engine that only prefills
 * @mixed_per_ms: the same for an engine that generates at the same time
 * @overhead_ms: time to the first token of a prompt that is wholly cached, on an idle engine
 * @transfer_per_ms: tokens of KV cache moved per millisecond between two engines
 */
struct place_speed {
	double prefill_per_ms;
	double mixed_per_ms;
	double overhead_ms;
	double transfer_per_ms;
};

/**
 * struct place_costs - what a choice costs besides time, in milliseconds of delay
 * @remote_ms: the request's bytes cross to another data centre
 * @handoff_ms: a second call and the transfer of the whole prompt's cache
 * @fetch_ms: set-up of a copy of cached parts
 * @move_token_ms: one token of KV cache moved inside a data centre; twice that between two
 * @home_ms: advantage of the engine that all instances agree on for a prompt cached nowhere
 * @work_weight: weight of the engine time spent, beside the delay of this request
 * @disturb_weight: weight of the engine time that each generation in progress loses to it
 */
struct place_costs {
	double remote_ms;
	double handoff_ms;
	double fetch_ms;
	double move_token_ms;
	double home_ms;
	double work_weight;
	double disturb_weight;
};

/**
 * struct place_engine - one engine at the moment of a decision
 * @stage: STAGE_PREFILL engines only fill caches; STAGE_DECODE engines run whole requests
 * @dc: number of its data centre
 * @backlog_tokens: uncached prompt tokens sent there and not yet read
 * @active: requests in progress
 * @slots: requests that it runs at once
 * @cached_tokens: leading tokens of this prompt that it keeps, or will once what waits there is
 * read
 * @ready_tokens: those of them that it keeps now, and that can be copied from there
 * @penalty_ms: disadvantage after recent failures
 * @home_score: the same on all instances; the highest is the home of the prompt's shared parts
 */
struct place_engine {
	enum engine_stage stage;
	int dc;
	bool usable;
	int64_t backlog_tokens;
	int active;
	int slots;
	int64_t cached_tokens;
	int64_t ready_tokens;
	double penalty_ms;
	uint64_t home_score;
};

/**
 * struct place_request - generation to place
 * @prompt_tokens: length of the prompt
 * @shared_tokens: leading part of it that other requests share
 * @dc: data centre of this instance
 */
struct place_request {
	int64_t prompt_tokens;
	int64_t shared_tokens;
	int dc;
};

/**
 * struct place_choice - where a generation goes
 * @prefill: engine that fills the cache first; -1 when @decode does all
 * @decode: engine that generates
 * @fetch: engine to copy cached parts from, into the engine that reads the prompt; -1 for none
 * @read_tokens: prompt tokens that have to be read
 * @first_ms: expected time to the first token in milliseconds
 */
struct place_choice {
	int prefill;
	int decode;
	int fetch;
	int64_t read_tokens;
	double first_ms;
};

/**
 * struct place_scope - from when on a data centre uses its own engines first
 * @engines_min: engines of a service in the data centre
 * @instances_min: instances of the whole deployment
 */
struct place_scope {
	int engines_min;
	int instances_min;
};

/**
 * place_near - whether the engines of one data centre serve its callers without the others
 * @near: engines of the service in the own data centre
 * @total: engines of the service
 * @instances: instances of the whole deployment
 *
 * Load: hundreds of instances before thousands of engines. An instance that uses all engines needs
 * the loads and parts of all of them from every other instance, which grows with the square. The
 * price is that each data centre reads each shared part once by itself.
 */
bool place_near(const struct place_scope *s, int near, int total, int instances);

/**
 * place_pick - choose by expected first token, engine time and bytes moved
 *
 * Load: prompts that share long parts, on engines of both stages, with a backlog that differs
 * between engines. Engines are taken from wherever the parts are kept; where those are busy, the
 * parts are copied rather than read again.
 *
 * Return: true with @out; false when no usable engine generates.
 */
bool place_pick(const struct place_engine *engines, int count, const struct place_request *r,
		const struct place_speed *speed, const struct place_costs *costs,
		struct place_choice *out);

/**
 * place_decode - engine that takes over a prompt's filled cache
 * @prefill: engine that has filled it
 *
 * Return: its index, or -1 when no usable engine generates.
 */
int place_decode(const struct place_engine *engines, int count, const struct place_request *r,
		 const struct place_speed *speed, const struct place_costs *costs, int prefill);

#endif
