#ifndef IBISGATE_POLICY_HEDGE_H
#define IBISGATE_POLICY_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/policy/retry.h"

#define HEDGE_SAMPLES 64
/* Fewer answers say nothing about the slowest in twenty. */
#define HEDGE_SAMPLES_MIN 20

/**
 * struct hedge - when a second try of a slow call is worth it; zeroed to begin with
 * @took_ms: duration of the last answered calls
 * @budget: second tries that may be sent now
 *
 * Source: Dean, Barroso, "The Tail at Scale", 2013: a second try is sent after the time in which 95
 * of 100 calls are answered, so that few calls are sent twice.
 */
struct hedge {
	int64_t took_ms[HEDGE_SAMPLES];
	int count;
	int next;
	struct retry_budget budget;
};

/** hedge_answered - a call got its answer after @took_ms */
void hedge_answered(struct hedge *h, int64_t took_ms);

/**
 * hedge_after_ms - when to send the second try, after the first
 *
 * Return: the 95th percentile of the last calls, at least 1; -1 while too few are known.
 */
int64_t hedge_after_ms(const struct hedge *h);

/** hedge_limits - budget for second tries: @ratio of the calls, none for free */
struct retry_limits hedge_limits(double ratio);

#endif
