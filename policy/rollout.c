#include <string.h>

#include "ibisgate/policy/rollout.h"

static int served_like(const struct rollout_engine *engines, int count,
		       const struct rollout_engine *of)
{
	int n = 0;

	for (int i = 0; i < count; i++)
		n += engines[i].role == of->role && strcmp(engines[i].model, of->model) == 0;
	return n;
}

int rollout_next(const struct rollout_engine *engines, int count, const char *dc, int under_way,
		 int limit)
{
	int best = -1;
	int most = 0;

	if (under_way >= limit)
		return -1;
	for (int i = 0; i < count; i++) {
		int served;

		if (!engines[i].due || strcmp(engines[i].dc, dc) != 0)
			continue;
		served = served_like(engines, count, &engines[i]);
		if (served > most) {
			best = i;
			most = served;
		}
	}
	return best;
}
