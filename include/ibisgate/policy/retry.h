#ifndef IBISGATE_POLICY_RETRY_H
#define IBISGATE_POLICY_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct retry_budget - token bucket that limits retries to a fraction of the first attempts
 * @tokens: retries that may be sent now
 * @updated_ms: time of the last refill; 0 before the first use
 *
 * A zero-initialised bucket is filled on its first use.
 */
struct retry_budget {
	double tokens;
	int64_t updated_ms;
};

/**
 * struct retry_limits - parameters of a retry budget
 * @ratio: tokens added per first attempt, e.g. 0.1
 * @min_per_s: tokens added per second
 * @burst_tokens: capacity of the bucket in tokens
 */
struct retry_limits {
	double ratio;
	double min_per_s;
	double burst_tokens;
};

/** retry_budget_add_first_attempt - add the tokens for the first attempt of a call */
void retry_budget_add_first_attempt(struct retry_budget *b, const struct retry_limits *l,
				    int64_t now_ms);
/** retry_budget_try_take - remove a token for a retry; false when there is none */
bool retry_budget_try_take(struct retry_budget *b, const struct retry_limits *l, int64_t now_ms);

enum call_kind {
	CALL_GENERATION,
	CALL_IDEMPOTENT,
	CALL_NON_IDEMPOTENT,
};

/**
 * enum sent_state - whether a failed attempt may have reached the endpoint
 * @SENT_NO: it is certain that no byte reached the endpoint
 * @SENT_MAYBE: some bytes may have reached the endpoint
 */
enum sent_state {
	SENT_NO,
	SENT_MAYBE,
};

/**
 * struct retry_query - failed attempt for which a retry is considered
 * @sent: whether the failed attempt may have reached the endpoint
 * @attempt: attempts made so far, >= 1
 * @max_attempts: configured limit on attempts
 * @deadline_ms: deadline of the request
 * @min_work_ms: least time that another attempt needs to succeed
 * @random: random value for the jitter of the backoff
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

/**
 * enum retry_verdict - result of retry_decide()
 * @RETRY_ALLOWED: the call is retried
 * @RETRY_NOT_ALLOWED: the call is not idempotent and may have been sent
 * @RETRY_ATTEMPTS_EXHAUSTED: the maximum number of attempts is reached
 * @RETRY_DEADLINE_TOO_CLOSE: too little time is left before the deadline
 * @RETRY_BUDGET_EXHAUSTED: one of the retry budgets is exhausted
 */
enum retry_verdict {
	RETRY_ALLOWED,
	RETRY_NOT_ALLOWED,
	RETRY_ATTEMPTS_EXHAUSTED,
	RETRY_DEADLINE_TOO_CLOSE,
	RETRY_BUDGET_EXHAUSTED,
};

/**
 * retry_decide - decide whether a failed attempt is retried, and after which delay
 * @organisation: budget of the calling organisation
 * @endpoint: budget of the endpoint
 * @delay_ms: set to the exponential backoff with jitter, which leaves @min_work_ms of the query
 *	before the deadline; 0 unless RETRY_ALLOWED is returned
 *
 * A non-idempotent call that may have been sent is never retried. Both budgets are charged a token
 * when RETRY_ALLOWED is returned, and neither is charged otherwise.
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
 * struct circuit - circuit breaker of one endpoint; closed when zero-initialised
 * @failures: consecutive failures while closed
 * @opened_ms: time at which the circuit opened or the last probe was sent
 * @open_for_ms: time for which the circuit stays open before a probe is sent
 * @is_probing: the result of a probe is outstanding
 */
struct circuit {
	enum circuit_state state;
	int failures;
	int64_t opened_ms;
	int64_t open_for_ms;
	bool is_probing;
};

#define CIRCUIT_FAILURES 3
#define CIRCUIT_OPEN_MS 1000
#define CIRCUIT_OPEN_MAX_MS 15000

/** circuit_allows_request - whether a request may be sent; the first one after the open time is a
 * probe */
bool circuit_allows_request(const struct circuit *c, int64_t now_ms);

/** circuit_request_sent - record that a request was sent; it is the probe when the open time is
 * over */
void circuit_request_sent(struct circuit *c, int64_t now_ms);

/** circuit_success - record a successful request, which closes a half-open circuit */
void circuit_success(struct circuit *c);

/**
 * circuit_failure - record a failed request
 * @hard: the endpoint refused the connection or died, which opens the circuit at once
 */
void circuit_failure(struct circuit *c, bool hard, int64_t now_ms);

#endif
