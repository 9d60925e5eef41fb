#ifndef IBISGATE_POLICY_RETRY_H
#define IBISGATE_POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct retry_budget - token bucket: retries as a share of first tries
 * @tokens: retries that may be sent now
 * @updated_ms: time of the last refill
 *
 * Zero-initialised state is a full bucket at its first use.
 */
struct retry_budget {
	double tokens;
	int64_t updated_ms;
};

/**
 * struct retry_limits - settings of a budget
 * @ratio: retries per first try, e.g. 0.1
 * @min_per_s: retries a second that are always allowed
 * @burst: largest number of tokens
 */
struct retry_limits {
	double ratio;
	double min_per_s;
	double burst;
};

void retry_budget_first_try(struct retry_budget *b, const struct retry_limits *l, int64_t now_ms);
bool retry_budget_take(struct retry_budget *b, const struct retry_limits *l, int64_t now_ms);

enum call_kind {
	CALL_GENERATION,
	CALL_IDEMPOTENT,
	CALL_NON_IDEMPOTENT,
};

/**
 * enum sent_state - what is known about an attempt that failed
 * @SENT_NO: provably no byte reached the endpoint
 * @SENT_MAYBE: bytes may have reached it
 */
enum sent_state {
	SENT_NO,
	SENT_MAYBE,
};

/**
 * struct retry_query - a failed attempt
 * @attempt: attempts made so far, >= 1
 * @max_attempts: limit from the configuration
 * @deadline_ms: deadline of the request
 * @min_work_ms: least time in which another attempt could succeed
 * @random: value for the jitter
 */
struct retry_query {
	enum call_kind kind;
	enum sent_state sent;
	int attempt;
	int max_attempts;
	int64_t now_ms;
	int64_t deadline_ms;
	int64_t min_work_ms;
	uint64_t random;
};

enum retry_verdict {
	RETRY_AGAIN,
	RETRY_NOT_ALLOWED,
	RETRY_LIMIT,
	RETRY_DEADLINE,
	RETRY_BUDGET,
};

/**
 * retry_decide - whether a failed attempt is repeated, and after which delay
 * @delay_ms: jittered exponential back-off, never past the deadline
 *
 * A non-idempotent call that may have been sent gives RETRY_NOT_ALLOWED. Tokens are taken from
 * both budgets only on RETRY_AGAIN.
 */
enum retry_verdict retry_decide(const struct retry_query *q, struct retry_budget *organisation,
				struct retry_budget *endpoint, const struct retry_limits *l,
				int64_t *delay_ms);

enum circuit_state {
	CIRCUIT_CLOSED,
	CIRCUIT_OPEN,
	CIRCUIT_HALF_OPEN,
};

/**
 * struct circuit - circuit breaker of one endpoint; zero-initialised state is closed
 */
struct circuit {
	enum circuit_state state;
	int failures;
	int64_t opened_ms;
	int64_t open_for_ms;
	bool probing;
};

#define CIRCUIT_FAILURES 3
#define CIRCUIT_OPEN_MS 1000
#define CIRCUIT_OPEN_MAX_MS 15000

/** circuit_allows - true if a request may be sent; the first one after the open time is a probe */
bool circuit_allows(const struct circuit *c, int64_t now_ms);

/** circuit_sent - a request was sent (marks the probe) */
void circuit_sent(struct circuit *c, int64_t now_ms);
void circuit_success(struct circuit *c);

/** circuit_failure - @hard: the endpoint refused a connection or died; opens at once */
void circuit_failure(struct circuit *c, bool hard, int64_t now_ms);

#endif
