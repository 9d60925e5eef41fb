#ifndef IBISGATE_POLICY_FINISH_H
#define IBISGATE_POLICY_FINISH_H

#include <stdbool.h>

/**
 * struct finish_estimate - how long a kind of generation takes
 * @mean_ms: moving mean from the first to the last token in ms; 0 before anything was seen
 * @first_ratio: first tokens came by this factor later than expected; 0 before anything was seen
 */
struct finish_estimate {
	double mean_ms;
	double first_ratio;
};

/**
 * struct finish_limits - how long a caller waits
 * @left_ms: until the last token
 * @patience_ms: for the first token, before it leaves
 */
struct finish_limits {
	double left_ms;
	double patience_ms;
};

/** finish_learn - a generation has ended @ms milliseconds after its first token */
void finish_learn(struct finish_estimate *f, double ms);

/** finish_learn_unfinished - one has ended early, after @ms: it would have taken at least that */
void finish_learn_unfinished(struct finish_estimate *f, double ms);

/** finish_learn_first - a first token was expected after @expected_ms and came after @ms */
void finish_learn_first(struct finish_estimate *f, double expected_ms, double ms);

/** finish_learn_no_first - none had come after @ms, when the request ended */
void finish_learn_no_first(struct finish_estimate *f, double expected_ms, double ms);

/** finish_first_ms - time to the first token, from what placement expects and what was seen */
double finish_first_ms(const struct finish_estimate *f, double expected_ms);

/**
 * finish_fits - whether a generation can be complete in time
 * @expected_ms: time to the first token as placement expects it
 *
 * Load: engines that are behind for long. Without it requests are accepted up to the point where
 * their first token still comes in time, most of them run into their deadline or lose their
 * callers, and what was read for them is lost. What is less urgent waits longer than the queue in
 * front of it tells, since more urgent requests pass it; that is learned by urgency.
 */
bool finish_fits(const struct finish_estimate *f, double expected_ms,
		 const struct finish_limits *limits);

#endif
