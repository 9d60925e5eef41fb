#include "ibisgate/state/store_era.h"

int64_t store_era_rows_known_ms(const struct store_era *e, int64_t fencing, int64_t tenure_ms)
{
	return store_version_era(fencing) < e->number ? tenure_ms : e->since_ms;
}

enum store_era_change store_era_observe(struct store_era *e, int64_t era, int64_t now_ms)
{
	if (era < e->number || era > STORE_ERA_MAX)
		return STORE_ERA_REJECTED;
	if (era == e->number)
		return STORE_ERA_SAME;
	e->number = era;
	e->since_ms = now_ms;
	return STORE_ERA_NEW;
}
