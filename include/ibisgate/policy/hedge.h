#ifndef IBISGATE_POLICY_HEDGE_H
#define IBISGATE_POLICY_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/policy/retry.h"

#define HEDGE_SAMPLES 64
/* Fewer samples give no estimate of the 95th percentile. */
#define HEDGE_SAMPLES_MIN 20

/**
 * struct hedge - decides when a slow call is hedged with a second request; zero-initialised
 * @latency_ms: ring buffer with the latencies of the last answered calls
 * @count: number of valid entries in @latency_ms
 * @next: entry of @latency_ms that is overwritten next
 * @budget: hedged requests that may be sent now
 *
 * A hedged request is sent once the 95th percentile latency has passed, so that few calls are sent
 * twice. See Dean, Barroso, "The Tail at Scale", 2013.
 */
struct hedge {
	int64_t latency_ms[HEDGE_SAMPLES];
	int count;
	int next;
	struct retry_budget budget;
};

/** hedge_add_latency - add the latency of an answered call */
void hedge_add_latency(struct hedge *h, int64_t latency_ms);

/**
 * hedge_delay_ms - delay between the first send of a call and its hedged request
 *
 * Return: 95th percentile latency of the last calls in milliseconds, at least 1; -1 while there are
 * fewer than HEDGE_SAMPLES_MIN samples.
 */
int64_t hedge_delay_ms(const struct hedge *h);

/** hedge_budget_limits - budget limits that allow hedging @ratio of the calls, without a minimum
 * rate */
struct retry_limits hedge_budget_limits(double ratio);

#endif
