#ifndef IBISGATE_POLICY_ROUTE_H
#define IBISGATE_POLICY_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum endpoint_role - kind of work that an endpoint does
 * @ROLE_SERVICE: ordinary service that generates no tokens
 * @ROLE_MIXED: engine that runs both prefill and decode of a request
 * @ROLE_PREFILL: engine that fills the KV cache and hands it off to a decode engine
 * @ROLE_DECODE: engine that imports a KV cache and generates tokens
 */
enum endpoint_role {
	ROLE_SERVICE,
	ROLE_MIXED,
	ROLE_PREFILL,
	ROLE_DECODE,
};

/**
 * struct engine_cost - speed of one engine, used for estimates
 * @prefill_tokens_per_s: prompt tokens prefilled per second
 * @step_base_us: duration of a decode step without sequences, in microseconds
 * @step_per_seq_us: additional duration of a decode step per sequence, in microseconds
 * @kv_token_us: transfer time of the KV cache of one token between two engines, in microseconds
 */
struct engine_cost {
	double prefill_tokens_per_s;
	double step_base_us;
	double step_per_seq_us;
	double kv_token_us;
};

/**
 * struct route_candidate - state of one endpoint at the time of a routing decision
 * @index: caller's index of the endpoint
 * @role: current role
 * @usable: serves the right model, its circuit breaker allows a request, and it is not leaving
 * @preferred_by_others: other instances prefer this endpoint, so their load on it may have grown
 *since its last report
 * @prefill_backlog: prompt tokens that are queued or being prefilled
 * @decode_seqs: number of sequences being generated
 * @decode_slots: maximum number of concurrent sequences
 * @cached_tokens: tokens of this prompt expected to be in its prefix cache
 * @distance_us: one-way network latency in microseconds
 * @cost: speed of the engine
 */
struct route_candidate {
	int index;
	enum endpoint_role role;
	bool usable;
	bool preferred_by_others;
	int64_t prefill_backlog;
	int decode_seqs;
	int decode_slots;
	int64_t cached_tokens;
	int64_t distance_us;
	struct engine_cost cost;
};

/**
 * struct route_request - request to route
 * @prompt_tokens: tokens to prefill: the prompt and, after a failure, the output already delivered
 * @output_tokens: expected number of tokens still to be generated
 * @first_token_us: time left for the first token; INT64_MAX for no limit
 * @gap_us: limit on the mean time between tokens; INT64_MAX for no limit
 * @tie_seed: value that differs between requests and breaks ties
 */
struct route_request {
	int64_t prompt_tokens;
	int64_t output_tokens;
	int64_t first_token_us;
	int64_t gap_us;
	uint64_t tie_seed;
};

/**
 * enum route_kind - routing algorithm
 * @ROUTE_EXPECTED_FINISH: earliest expected finish time, with penalties for missed limits
 * @ROUTE_ROUND_ROBIN: baseline that uses the endpoints in turn
 * @ROUTE_LEAST_INFLIGHT: baseline that uses the endpoint with the least work in flight
 */
enum route_kind {
	ROUTE_EXPECTED_FINISH,
	ROUTE_ROUND_ROBIN,
	ROUTE_LEAST_INFLIGHT,
};

/**
 * struct route_method - routing algorithm with its state
 * @kind: algorithm
 * @u: state of the algorithm
 */
struct route_method {
	enum route_kind kind;
	union {
		struct {
			uint64_t next;
		} round_robin;
	} u;
};

/**
 * struct route_choice - result of a routing decision
 * @prefill: position of the prefill engine in the candidate array
 * @decode: position of the decode engine; equal to @prefill for a mixed engine
 * @first_token_us: expected time to first token in microseconds
 * @gap_us: expected time between tokens in microseconds
 * @finish_us: expected time to the last token in microseconds
 * @fits: a decode slot is free and both limits are expected to be met
 */
struct route_choice {
	int prefill;
	int decode;
	int64_t first_token_us;
	int64_t gap_us;
	int64_t finish_us;
	bool fits;
};

/**
 * route_pick - choose the endpoints for a generation
 *
 * The baseline algorithms only use the number of usable candidates and their work in flight.
 *
 * Return: true with @out set; false when the usable candidates can't run a whole generation.
 */
bool route_pick(struct route_method *method, const struct route_candidate *cands, int count,
		const struct route_request *req, struct route_choice *out);

/**
 * struct route_figures - what one placement would take, in microseconds
 * @queue_us: until the prompts ahead have been prefilled
 * @read_us: prefill of what is not cached
 * @slot_wait_us: until a decode slot is free
 * @first_token_us: expected time to first token; what the times above leave of it is distance,
 *	transfer and one decode step
 * @gap_us: expected time between tokens
 * @finish_us: expected time to the last token
 * @cost_us: what placements are compared by: @finish_us and penalties for missed limits
 * @tie_us: placements whose costs are this near to the lowest count as equal to it
 * @fits: see struct route_choice
 */
struct route_figures {
	double queue_us;
	double read_us;
	double slot_wait_us;
	double first_token_us;
	double gap_us;
	double finish_us;
	double cost_us;
	double tie_us;
	bool fits;
};

/**
 * route_figures_get - the estimates by which route_pick() compares the placement on the candidates
 * at @prefill and @decode
 */
void route_figures_get(const struct route_candidate *cands, int prefill, int decode,
		       const struct route_request *req, struct route_figures *out);

/**
 * route_unqueued_first_token_us - expected time to first token without queueing, in microseconds
 * @p: prefill engine
 * @d: decode engine; the same as @p for a mixed engine
 *
 * Used for a request that waits for admission until an engine has capacity, for which the current
 * queues of the engines do not matter.
 */
int64_t route_unqueued_first_token_us(const struct route_candidate *p,
				      const struct route_candidate *d,
				      const struct route_request *req);

/**
 * route_method_parse - parse "expected-finish", "round-robin" or "least-inflight"
 *
 * Return: true with @out set; false for any other name.
 */
bool route_method_parse(const char *name, struct route_method *out);

#endif
