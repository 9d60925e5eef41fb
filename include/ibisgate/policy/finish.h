#ifndef IBISGATE_POLICY_FINISH_H
#define IBISGATE_POLICY_FINISH_H

#include <stdbool.h>

/**
 * struct finish_estimate - time from the first to the last token of a kind of generation
 * @mean_ms: moving mean in milliseconds; 0 before anything was seen
 */
struct finish_estimate {
	double mean_ms;
};

/** finish_learn - a generation has ended @ms milliseconds after its first token */
void finish_learn(struct finish_estimate *f, double ms);

/** finish_learn_unfinished - one has ended early, after @ms: it would have taken at least that */
void finish_learn_unfinished(struct finish_estimate *f, double ms);

/**
 * finish_fits - whether a generation can be complete in time
 * @first_ms: expected time to the first token
 * @left_ms: time left
 *
 * Load: engines that are behind for long. Without it requests are accepted up to the point where
 * their first token still comes in time, most of them run into their deadline, and what was read
 * for them is lost.
 */
bool finish_fits(const struct finish_estimate *f, double first_ms, double left_ms);

#endif
