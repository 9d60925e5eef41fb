#ifndef IBISGATE_POLICY_EXTRA_BUDGET_H
#define IBISGATE_POLICY_EXTRA_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define EXTRA_BUDGET_SLOTS 20

/**
 * struct extra_limits - how many sends beyond the first of each request a service may get
 * @window_ms: length of the sliding window in milliseconds
 * @ratio: extra sends as a share of the first sends in the window
 * @fixed: extra sends in the window that are allowed besides, summed over all instances
 * @instances: instances that share @fixed
 */
struct extra_limits {
	int64_t window_ms;
	double ratio;
	double fixed;
	int instances;
};

/**
 * struct extra_budget - sends of one instance to one service, counted in a sliding window
 *
 * Load: a failing service, at which every request could turn into several. Zero-initialised
 * state has sent nothing and so has only its part of the fixed allowance.
 */
struct extra_budget {
	int64_t slot_start_ms;
	int slot;
	int first[EXTRA_BUDGET_SLOTS];
	int extra[EXTRA_BUDGET_SLOTS];
};

/** extra_budget_first - the first send of a request */
void extra_budget_first(struct extra_budget *b, const struct extra_limits *l, int64_t now_ms);

/** extra_budget_take - count one more send; false when the window has no room for it */
bool extra_budget_take(struct extra_budget *b, const struct extra_limits *l, int64_t now_ms);

/** extra_budget_return - a send that was taken never reached its endpoint */
void extra_budget_return(struct extra_budget *b);

/** extra_budget_charge - count a send that turned out to be one more; it has already left */
void extra_budget_charge(struct extra_budget *b, const struct extra_limits *l, int64_t now_ms);

#endif
