#ifndef IBISGATE_POLICY_STAGE_PLAN_H
#define IBISGATE_POLICY_STAGE_PLAN_H

#include <stdbool.h>

#include "ibisgate/state/directory.h"

/** struct stage_engine - engine whose stage may be changed; @busy: an order is under way there */
struct stage_engine {
	enum engine_stage stage;
	int dc;
	bool busy;
};

/**
 * stage_plan_next - next engine to change, so that a share of all engines prefills
 * @share: of the engines that should prefill, 0 to 1
 *
 * Load: prompts long against answers, or the reverse, on engines that start with a fixed share.
 * Every data centre keeps an engine that generates, since it may be cut off and has to answer
 * alone; one that has lost its last gets one first of all, whatever the share. The data centre with
 * the largest surplus of the donor stage gives first.
 *
 * Return: index of the engine, with the stage it should get in @to; -1 when nothing is to change.
 */
int stage_plan_next(const struct stage_engine *engines, int count, double share,
		    enum engine_stage *to);

#endif
