#ifndef IBISGATE_POLICY_PLACE_H
#define IBISGATE_POLICY_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/policy/endpoint_memory.h"
#include "ibisgate/state/directory.h"

/**
 * struct place_speed - current speed estimates for the engines of one service
 * @prefill_per_ms: prompt tokens prefilled per millisecond by an engine that only prefills
 * @mixed_per_ms: the same for an engine that also decodes
 * @overhead_ms: time to first token of a fully cached prompt on an idle engine
 * @transfer_per_ms: tokens of KV cache moved per millisecond between two engines
 * @event_interval_ms: time between two events of a generation that no prefill slows down; 0 when
 *	unknown
 */
struct place_speed {
	double prefill_per_ms;
	double mixed_per_ms;
	double overhead_ms;
	double transfer_per_ms;
	double event_interval_ms;
};

/**
 * struct place_costs - costs of a placement besides its delay, expressed in milliseconds of delay
 * @remote_ms: sending the request to another data centre
 * @handoff_ms: second call and KV cache handoff from a prefill to a decode engine
 * @fetch_ms: setup of a copy of cached KV blocks from another engine
 * @move_token_ms: moving the KV cache of one token within a data centre; counted twice between two
 * @home_ms: bonus for the home engine of a prompt that no engine has cached
 * @work_weight: weight of the engine time that the prefill takes
 * @disturb_weight: weight of the delay that the prefill causes to each generation in progress
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
 * struct place_engine - state of one engine at the time of a placement
 * @stage: STAGE_PREFILL engines only prefill; STAGE_DECODE engines can run whole requests
 * @dc: index of its data centre
 * @usable: requests may be sent to it
 * @fetch_only: it is only a source of cached KV blocks; @usable is false
 * @cache_unknown: it may have a cache from before this instance started, and its list of cached
 *	parts has not been read since
 * @backlog_tokens: uncached prompt tokens sent to it and not yet prefilled
 * @active_requests: requests in progress
 * @request_slots: maximum number of concurrent requests
 * @cached_tokens: leading tokens of this prompt that are in its KV cache, or will be once its
 *	backlog has been prefilled
 * @ready_tokens: part of @cached_tokens that is in its KV cache now and can be copied from it
 * @event_interval_ms: measured time between two events of its generations; 0 when unknown
 * @read_slowness: time that it takes to prefill, relative to &struct place_speed; 0 for 1
 * @generate_slowness: time between two events, relative to the other engines; 0 for 1
 * @memory: its memory, and what is held of it
 * @penalty_ms: cost added after recent failures
 * @home_score: score that all instances compute alike; the engine with the highest score is the
 *	home of the shared prefix of the prompt
 */
struct place_engine {
	enum engine_stage stage;
	int dc;
	bool usable;
	bool fetch_only;
	bool cache_unknown;
	int64_t backlog_tokens;
	int active_requests;
	int request_slots;
	int64_t cached_tokens;
	int64_t ready_tokens;
	double event_interval_ms;
	double read_slowness;
	double generate_slowness;
	struct endpoint_memory memory;
	double penalty_ms;
	uint64_t home_score;
};

/**
 * struct place_request - generation to place
 * @prompt_tokens: length of the prompt
 * @output_tokens: tokens that may be generated
 * @shared_tokens: length of the prefix that other requests share
 * @dc: index of the data centre of this instance
 * @target_ms: target time to first token; 0 when not given
 * @gap_ms: longest time between two events that callers accept as in time; 0 when not given
 * @events: expected number of events of the answer; 0 when unknown
 * @report_ms: interval at which instances report their loads to each other; 0 for a single one
 * @spread_seed: value that differs between requests and decides between engines of nearly the same
 *	cost
 */
struct place_request {
	int64_t prompt_tokens;
	int64_t output_tokens;
	int64_t shared_tokens;
	int dc;
	double target_ms;
	double gap_ms;
	double events;
	double report_ms;
	uint64_t spread_seed;
};

/**
 * struct place_choice - placement of a generation; engines are indexes into the given array
 * @prefill: engine that prefills the prompt; -1 when @decode runs the whole request
 * @decode: engine that generates the tokens
 * @fetch_source: engine from which the prefilling engine copies cached KV blocks; -1 for none
 * @read_tokens: prompt tokens that have to be prefilled
 * @expected_first_token_ms: expected time to first token in milliseconds
 * @full_engines: usable engines that were left out because their memory has no room
 */
struct place_choice {
	int prefill;
	int decode;
	int fetch_source;
	int64_t read_tokens;
	double expected_first_token_ms;
	int full_engines;
};

/**
 * struct place_figures - what a placement found for one engine; times and costs in milliseconds
 * @can_read: it can prefill the prompt; @queue_ms to @choice are valid
 * @queue_ms: until the backlog ahead of the prompt has been prefilled
 * @slots_ms: expected delay due to the slots in use
 * @work_ms: prefill of what is neither cached there nor copied from another engine
 * @fetch_ms: copy of cached KV blocks from another engine
 * @cost: weighted cost, by which engines are compared
 * @choice: placement that would begin at this engine
 * @can_receive: it can generate what the chosen engine has prefilled; @receive_ms and @receive_cost
 *	are valid
 * @receive_ms: until it has received the KV cache and has a slot
 * @receive_cost: weighted cost, by which these are compared
 */
struct place_figures {
	bool can_read;
	double queue_ms;
	double slots_ms;
	double work_ms;
	double fetch_ms;
	double cost;
	struct place_choice choice;
	bool can_receive;
	double receive_ms;
	double receive_cost;
};

/**
 * struct place_local_limits - size from which on a data centre uses only its own engines
 * @engines_min: least number of engines of the service in the data centre
 * @instances_min: least number of instances in the whole deployment
 */
struct place_local_limits {
	int engines_min;
	int instances_min;
};

/**
 * place_is_local_only - whether requests are placed only on engines of the local data centre
 * @near: number of engines of the service in the local data centre
 * @total: number of engines of the service
 * @instances: number of instances in the whole deployment
 *
 * Bounds the state exchange in deployments with hundreds of instances and thousands of engines. An
 * instance that uses all engines needs their load and cache contents from every other instance,
 * which grows quadratically. Delegates still report which engines have a shared prefix cached, so
 * that it can be copied from another data centre.
 */
bool place_is_local_only(const struct place_local_limits *s, int near, int total, int instances);

/**
 * place_pick - choose engines by expected time to first token, engine time and KV cache moved
 *
 * Intended for prompts with long shared prefixes and engines of both stages with uneven backlogs.
 * Prefers engines that have the prefix cached; when they are busy, the cached KV blocks are copied
 * to another engine instead of being prefilled again. Long prompts are kept away from engines whose
 * running generations they would stall for longer than callers accept. No engine is given a request
 * for which its memory has no room, see endpoint_memory_has_room().
 *
 * After all instances were restarted, requests arrive before the engines' lists of cached parts
 * have been read. The home of a prefix is then expected to have it cached from before.
 *
 * Return: true with @out set; false, with only @out->full_engines set, when no usable engine can
 * decode.
 */
bool place_pick(const struct place_engine *engines, int count, const struct place_request *r,
		const struct place_speed *speed, const struct place_costs *costs,
		struct place_choice *out);

/**
 * place_pick_with_figures - place_pick(), and what it found for each engine
 * @figures: @count of them
 */
bool place_pick_with_figures(const struct place_engine *engines, int count,
			     const struct place_request *r, const struct place_speed *speed,
			     const struct place_costs *costs, struct place_choice *out,
			     struct place_figures *figures);

/**
 * place_choose_decode - choose the engine that decodes after a prefill on another engine
 * @prefill: index of the engine that has prefilled the prompt
 *
 * Return: index of the engine, or -1 when no usable engine can decode.
 */
int place_choose_decode(const struct place_engine *engines, int count,
			const struct place_request *r, const struct place_speed *speed,
			const struct place_costs *costs, int prefill);

#endif
