#ifndef IBISGATE_POLICY_FINISH_H
#define IBISGATE_POLICY_FINISH_H

#include <stdbool.h>

/**
 * struct finish_estimate - latency estimate for one kind of generation
 * @mean_ms: moving mean of the time from the first to the last token in milliseconds; 0 without
 *	samples
 * @first_ratio: moving mean of the actual over the expected time to first token; 0 without samples
 */
struct finish_estimate {
	double mean_ms;
	double first_ratio;
};

/**
 * struct finish_limits - how long a caller waits, in milliseconds
 * @deadline_left_ms: time left until the last token is due
 * @first_token_wait_ms: time that the caller waits for the first token before it disconnects
 */
struct finish_limits {
	double deadline_left_ms;
	double first_token_wait_ms;
};

/** finish_add_completed - add a generation that completed @ms milliseconds after its first token */
void finish_add_completed(struct finish_estimate *f, double ms);

/**
 * finish_add_aborted - add a generation that was aborted @ms milliseconds after its first
 * token
 *
 * A complete generation would have taken at least @ms, so it only raises the mean.
 */
void finish_add_aborted(struct finish_estimate *f, double ms);

/** finish_add_first_token - add a first token that came after @ms instead of @expected_ms */
void finish_add_first_token(struct finish_estimate *f, double expected_ms, double ms);

/**
 * finish_add_missing_first_token - add a request that ended after @ms without a first token
 * @expected_ms: expected time to first token
 *
 * The first token would have taken at least @ms, so it only raises the ratio.
 */
void finish_add_missing_first_token(struct finish_estimate *f, double expected_ms, double ms);

/**
 * finish_first_token_ms - time to first token, corrected by the ratio observed so far
 * @expected_ms: time to first token that placement expects
 */
double finish_first_token_ms(const struct finish_estimate *f, double expected_ms);

/**
 * finish_is_in_time - whether a generation is expected to complete within the limits
 * @expected_ms: time to first token that placement expects
 *
 * Used for load shedding when engines are overloaded for long. Without this check, requests are
 * accepted as long as their first token is expected in time; most of them then exceed their
 * deadline or their callers disconnect, and their prefill is wasted. Less urgent requests wait
 * longer than the queue ahead of them suggests, because more urgent ones overtake them, so the
 * caller keeps a separate estimate for each priority class.
 */
bool finish_is_in_time(const struct finish_estimate *f, double expected_ms,
		       const struct finish_limits *limits);

#endif
