#ifndef IBISGATE_POLICY_ROLLOUT_H
#define IBISGATE_POLICY_ROLLOUT_H

#include <stdbool.h>

#include "ibisgate/policy/route.h"

/**
 * struct rollout_engine - an engine in service
 * @model: what it serves now; likewise @role
 * @due: it is to load another model
 */
struct rollout_engine {
	const char *dc;
	const char *model;
	enum endpoint_role role;
	bool due;
};

/**
 * rollout_next - the engine of data centre @dc that loads its model next
 * @under_way: orders that already keep engines of @dc out of service
 * @limit: how many may do so at a time
 *
 * An operator may name a new model for all engines at once. Taken together, they would leave
 * nobody to serve and compete for the weight store, which is rate-limited. The engine whose model
 * and role are served by the most others goes first.
 *
 * Return: index into @engines; -1 when none is due or @limit is reached.
 */
int rollout_next(const struct rollout_engine *engines, int count, const char *dc, int under_way,
		 int limit);

#endif
