#ifndef IBISGATE_POLICY_EXTRA_BUDGET_H
#define IBISGATE_POLICY_EXTRA_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define EXTRA_BUDGET_SLOTS 20

/**
 * struct extra_budget_limits - limits on extra sends, those after the first send of a request
 * @window_ms: length of the sliding window in milliseconds
 * @ratio: allowed extra sends as a fraction of the first sends in the window
 * @fixed: additional extra sends allowed in the window, summed over all instances
 * @instances: number of instances that divide @fixed among themselves
 */
struct extra_budget_limits {
	int64_t window_ms;
	double ratio;
	double fixed;
	int instances;
};

/**
 * struct extra_budget - sends of one instance to one service, counted in a sliding window
 * @slot_start_ms: start time of the current slot
 * @slot: index of the current slot
 * @first: first sends of requests, per slot
 * @extra: extra sends, per slot
 *
 * Limits the extra load on a failing service, where every request could otherwise be sent several
 * times. A zero-initialised budget has counted no sends, so that only this instance's part of the
 * fixed allowance is available.
 */
struct extra_budget {
	int64_t slot_start_ms;
	int slot;
	int first[EXTRA_BUDGET_SLOTS];
	int extra[EXTRA_BUDGET_SLOTS];
};

/** extra_budget_count_first - count the first send of a request */
void extra_budget_count_first(struct extra_budget *b, const struct extra_budget_limits *l,
			      int64_t now_ms);

/** extra_budget_try_take - count one extra send; false, without counting it, when none is left */
bool extra_budget_try_take(struct extra_budget *b, const struct extra_budget_limits *l,
			   int64_t now_ms);

/**
 * extra_budget_reserve - count @count extra sends that will follow, unless they are given back
 *
 * Return: false, without counting any, when fewer are left.
 */
bool extra_budget_reserve(struct extra_budget *b, const struct extra_budget_limits *l, int count,
			  int64_t now_ms);

/** extra_budget_left - extra sends that may still be counted; negative when some were forced */
double extra_budget_left(const struct extra_budget *b, const struct extra_budget_limits *l,
			 int64_t now_ms);

/** extra_budget_use_reserved - a send reserved at @reserved_ms takes place now */
void extra_budget_use_reserved(struct extra_budget *b, const struct extra_budget_limits *l,
			       int64_t reserved_ms, int64_t now_ms);

/** extra_budget_return_reserved - give back @count sends reserved at @reserved_ms */
void extra_budget_return_reserved(struct extra_budget *b, const struct extra_budget_limits *l,
				  int count, int64_t reserved_ms, int64_t now_ms);

/** extra_budget_refund - undo an extra send counted at @sent_ms that never reached its endpoint */
void extra_budget_refund(struct extra_budget *b, const struct extra_budget_limits *l,
			 int64_t sent_ms, int64_t now_ms);

/** extra_budget_force_charge - count an extra send that was already made, even beyond the limit */
void extra_budget_force_charge(struct extra_budget *b, const struct extra_budget_limits *l,
			       int64_t now_ms);

#endif
