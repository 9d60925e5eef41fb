#ifndef IBISGATE_POLICY_STAGE_PLAN_H
#define IBISGATE_POLICY_STAGE_PLAN_H

#include <stdbool.h>

#include "ibisgate/state/directory.h"

/**
 * struct stage_engine - engine whose stage may be changed
 * @stage: current stage
 * @dc: index of its data centre
 * @change_blocked: it can't be changed now, for example because another change is in progress
 */
struct stage_engine {
	enum engine_stage stage;
	int dc;
	bool change_blocked;
};

/**
 * stage_plan_next - choose the next engine whose stage changes, to reach the target share
 * @share: fraction of all engines that should prefill, 0 to 1
 * @to: set to the new stage of the engine
 *
 * Adapts engines that start with a fixed share to prompts that are long or short compared with the
 * answers. Every data centre keeps a decode engine, since it has to serve requests alone during a
 * network partition; a data centre without any gets one first, whatever the share. Otherwise the
 * engine is taken from the data centre with the largest surplus of the stage that has too many.
 *
 * Return: index of the engine; -1 when no change is needed or possible.
 */
int stage_plan_next(const struct stage_engine *engines, int count, double share,
		    enum engine_stage *to);

#endif
