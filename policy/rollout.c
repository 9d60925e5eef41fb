#include <string.h>

#include "ibisgate/policy/rollout.h"

/* Counts the engines with the model and role of @ref, including itself. */
static int same_model_and_role_count(const struct rollout_engine *engines, int count,
				     const struct rollout_engine *ref)
{
	int n = 0;

	for (int i = 0; i < count; i++)
		n += engines[i].role == ref->role && strcmp(engines[i].model, ref->model) == 0;
	return n;
}

int rollout_next(const struct rollout_engine *engines, int count, const char *dc, int in_progress,
		 int limit)
{
	int best = -1;
	int most = 0;

	if (in_progress >= limit)
		return -1;
	for (int i = 0; i < count; i++) {
		int alike;

		if (!engines[i].needs_reload || strcmp(engines[i].dc, dc) != 0)
			continue;
		alike = same_model_and_role_count(engines, count, &engines[i]);
		if (alike > most) {
			best = i;
			most = alike;
		}
	}
	return best;
}
