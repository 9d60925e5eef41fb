#ifndef IBISGATE_POLICY_ROLLOUT_H
#define IBISGATE_POLICY_ROLLOUT_H

#include <stdbool.h>

#include "ibisgate/policy/route.h"

/**
 * struct rollout_engine - an engine in service
 * @dc: its data centre
 * @model: model that it currently serves
 * @role: role that it currently has
 * @needs_reload: it has to load another model
 */
struct rollout_engine {
	const char *dc;
	const char *model;
	enum endpoint_role role;
	bool needs_reload;
};

/**
 * rollout_next - choose the next engine of data centre @dc that loads its new model
 * @in_progress: number of orders that already keep engines of @dc out of service
 * @limit: maximum number of such orders at a time
 *
 * An operator may configure a new model for all engines at once. If all of them loaded it at the
 * same time, no engine would serve requests, and all would compete for the rate-limited weight
 * store. The engine whose model and role are served by the most engines is chosen first.
 *
 * Return: index into @engines; -1 when no engine of @dc is due or @limit is reached.
 */
int rollout_next(const struct rollout_engine *engines, int count, const char *dc, int in_progress,
		 int limit);

#endif
