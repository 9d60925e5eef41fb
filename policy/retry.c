#include <stddef.h>

#include "ibisgate/policy/retry.h"

/* Longest first delay; kept short, so that failover to another endpoint is fast. */
#define BACKOFF_BASE_MS 10
#define BACKOFF_MAX_MS 1000

static double min_double(double a, double b)
{
	return a < b ? a : b;
}

static int64_t min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static void budget_refill(struct retry_budget *b, const struct retry_limits *l, int64_t now_ms)
{
	if (!b->updated_ms) {
		b->tokens = l->burst_tokens;
		/* A time of 0 means that the bucket was never used. */
		b->updated_ms = now_ms ? now_ms : 1;
		return;
	}
	if (now_ms <= b->updated_ms)
		return;
	b->tokens += l->min_per_s * (double)(now_ms - b->updated_ms) / 1000.0;
	b->tokens = min_double(b->tokens, l->burst_tokens);
	b->updated_ms = now_ms;
}

void retry_budget_add_first_attempt(struct retry_budget *b, const struct retry_limits *l,
				    int64_t now_ms)
{
	budget_refill(b, l, now_ms);
	b->tokens = min_double(b->tokens + l->ratio, l->burst_tokens);
}

bool retry_budget_try_take(struct retry_budget *b, const struct retry_limits *l, int64_t now_ms)
{
	budget_refill(b, l, now_ms);
	if (b->tokens < 1.0)
		return false;
	b->tokens -= 1.0;
	return true;
}

/* Takes a token from both budgets, or from neither. */
static bool budgets_take(struct retry_budget *a, struct retry_budget *b,
			 const struct retry_limits *l, int64_t now_ms)
{
	budget_refill(b, l, now_ms);
	if (b->tokens < 1.0)
		return false;
	if (!retry_budget_try_take(a, l, now_ms))
		return false;
	b->tokens -= 1.0;
	return true;
}

/* Half of the delay is jitter, so that calls that failed together are not retried together. */
static int64_t backoff_ms(int attempt, uint64_t random)
{
	int64_t max_delay_ms = BACKOFF_MAX_MS;

	if (attempt < 1)
		attempt = 1;
	if (attempt < 16)
		max_delay_ms = min_i64(max_delay_ms, (int64_t)BACKOFF_BASE_MS << (attempt - 1));
	return max_delay_ms / 2 + (int64_t)(random % (uint64_t)(max_delay_ms / 2 + 1));
}

enum retry_verdict retry_decide(const struct retry_query *q, struct retry_budget *organisation,
				struct retry_budget *endpoint, const struct retry_limits *l,
				int64_t *delay_ms)
{
	int64_t slack_ms;

	*delay_ms = 0;
	if (q->kind == CALL_NON_IDEMPOTENT && q->sent != SENT_NO)
		return RETRY_NOT_ALLOWED;
	if (q->attempt >= q->max_attempts)
		return RETRY_ATTEMPTS_EXHAUSTED;
	if (q->deadline_ms <= q->now_ms || q->deadline_ms - q->now_ms < q->min_work_ms)
		return RETRY_DEADLINE_TOO_CLOSE;
	if (!budgets_take(organisation, endpoint, l, q->now_ms))
		return RETRY_BUDGET_EXHAUSTED;
	slack_ms = q->deadline_ms - q->now_ms - q->min_work_ms;
	*delay_ms = min_i64(backoff_ms(q->attempt, q->random), slack_ms);
	return RETRY_ALLOWED;
}

bool circuit_allows_request(const struct circuit *c, int64_t now_ms)
{
	switch (c->state) {
	case CIRCUIT_CLOSED:
		return true;
	case CIRCUIT_OPEN:
		return now_ms - c->opened_ms >= c->open_for_ms;
	case CIRCUIT_HALF_OPEN:
		/* A probe whose result never arrives must not block the endpoint forever. */
		return !c->is_probing || now_ms - c->opened_ms >= CIRCUIT_OPEN_MAX_MS;
	}
	return false;
}

void circuit_request_sent(struct circuit *c, int64_t now_ms)
{
	if (c->state == CIRCUIT_CLOSED || !circuit_allows_request(c, now_ms))
		return;
	c->state = CIRCUIT_HALF_OPEN;
	c->is_probing = true;
	c->opened_ms = now_ms;
}

void circuit_success(struct circuit *c)
{
	/* In the open state, this is a late response to a request sent before the failures. */
	if (c->state == CIRCUIT_OPEN)
		return;
	*c = (struct circuit){ .state = CIRCUIT_CLOSED };
}

static void circuit_open(struct circuit *c, int64_t now_ms)
{
	int64_t open_ms = c->open_for_ms ? 2 * c->open_for_ms : CIRCUIT_OPEN_MS;

	c->open_for_ms = min_i64(open_ms, CIRCUIT_OPEN_MAX_MS);
	c->state = CIRCUIT_OPEN;
	c->opened_ms = now_ms;
	c->is_probing = false;
	c->failures = 0;
}

void circuit_failure(struct circuit *c, bool hard, int64_t now_ms)
{
	switch (c->state) {
	case CIRCUIT_CLOSED:
		c->failures++;
		if (hard || c->failures >= CIRCUIT_FAILURES)
			circuit_open(c, now_ms);
		return;
	case CIRCUIT_OPEN:
		/* Requests sent before the circuit opened do not extend the open time. */
		return;
	case CIRCUIT_HALF_OPEN:
		circuit_open(c, now_ms);
		return;
	}
}
