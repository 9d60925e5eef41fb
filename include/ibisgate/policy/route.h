#ifndef IBISGATE_POLICY_ROUTE_H
#define IBISGATE_POLICY_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum endpoint_role - work that an endpoint takes
 * @ROLE_SERVICE: plain service, no tokens
 * @ROLE_MIXED: engine that runs prefill and decode of the same request
 * @ROLE_PREFILL: engine that fills the KV cache and hands it on
 * @ROLE_DECODE: engine that imports a KV cache and generates
 */
enum endpoint_role {
	ROLE_SERVICE,
	ROLE_MIXED,
	ROLE_PREFILL,
	ROLE_DECODE,
};

/**
 * struct engine_cost - speed of one engine as used for estimates
 * @prefill_tokens_per_s: prompt tokens a second
 * @step_base_us: duration of a decode step with no sequence
 * @step_per_seq_us: addition to the step for each sequence
 * @kv_token_us: transfer time of KV cache for one token between two engines
 */
struct engine_cost {
	double prefill_tokens_per_s;
	double step_base_us;
	double step_per_seq_us;
	double kv_token_us;
};

/**
 * struct route_candidate - one endpoint as seen at the moment of a decision
 * @index: caller's index of the endpoint
 * @role: current role
 * @usable: right model, circuit lets a request through, not leaving
 * @away: other instances prefer it, so their work there may have grown since its report
 * @prefill_backlog: prompt tokens that wait or run there, in tokens
 * @decode_seqs: sequences that generate there
 * @decode_slots: sequences that fit
 * @cached_tokens: tokens of this prompt believed to be in its prefix cache
 * @distance_us: one-way network latency in microseconds
 * @cost: speed
 */
struct route_candidate {
	int index;
	enum endpoint_role role;
	bool usable;
	bool away;
	int64_t prefill_backlog;
	int decode_seqs;
	int decode_slots;
	int64_t cached_tokens;
	int64_t distance_us;
	struct engine_cost cost;
};

/**
 * struct route_request - request to place
 * @prompt_tokens: tokens to prefill (prompt and, after a failure, the part already delivered)
 * @output_tokens: tokens expected still to be generated
 * @first_token_us: time left for the first token; INT64_MAX when there is no limit
 * @gap_us: largest acceptable mean gap between tokens; INT64_MAX when there is no limit
 * @spread: value that differs between requests, breaks ties
 */
struct route_request {
	int64_t prompt_tokens;
	int64_t output_tokens;
	int64_t first_token_us;
	int64_t gap_us;
	uint64_t spread;
};

enum route_kind {
	ROUTE_EXPECTED_FINISH,
	ROUTE_ROUND_ROBIN,
	ROUTE_LEAST_INFLIGHT,
};

/**
 * struct route_method - how endpoints are chosen; @u holds what each kind remembers
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
 * struct route_choice - result
 * @prefill: position in the candidate array of the engine for prefill
 * @decode: position of the engine for decode; equal to @prefill for a mixed engine
 * @first_token_us: expected time to the first token
 * @gap_us: expected gap between tokens
 * @finish_us: expected time to the last token
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
 * route_pick - choose endpoints for a generation
 *
 * Baseline kinds look only at usable candidates and their counts.
 *
 * Return: true with @out filled; false when no usable set of roles exists.
 */
bool route_pick(struct route_method *method, const struct route_candidate *cands, int count,
		const struct route_request *req, struct route_choice *out);

/** route_method_parse - "expected-finish", "round-robin" or "least-inflight"; false otherwise */
/**
 * route_unqueued_us - time to the first token when nothing waits in front of the request
 * @p: prefill engine
 * @d: decode engine; the same as @p for a mixed engine
 *
 * For a request that waits until an engine has room, the present queues don't count.
 */
int64_t route_unqueued_us(const struct route_candidate *p, const struct route_candidate *d,
			  const struct route_request *req);

bool route_method_parse(const char *name, struct route_method *out);

#endif
