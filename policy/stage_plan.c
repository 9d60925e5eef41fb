#include <math.h>

#include "ibisgate/policy/stage_plan.h"

#define DCS_MAX 64

/* Number of engines of one data centre by stage. */
struct dc_count {
	int prefill;
	int decode;
};

static enum engine_stage other_stage(enum engine_stage s)
{
	return s == STAGE_PREFILL ? STAGE_DECODE : STAGE_PREFILL;
}

/* Finds a prefill engine in a data centre that has no decode engine; -1 when there is none. */
static int find_without_decode(const struct stage_engine *engines, int count,
			       const struct dc_count *dcs)
{
	for (int i = 0; i < count; i++) {
		const struct stage_engine *e = &engines[i];

		if (e->stage == STAGE_PREFILL && !e->change_blocked && e->dc >= 0 &&
		    e->dc < DCS_MAX && !dcs[e->dc].decode)
			return i;
	}
	return -1;
}

int stage_plan_next(const struct stage_engine *engines, int count, double share,
		    enum engine_stage *to)
{
	struct dc_count dcs[DCS_MAX] = { { 0 } };
	enum engine_stage donor;
	int prefill = 0, total = 0, prefill_target;
	int best = -1;
	double best_surplus = 0;

	for (int i = 0; i < count; i++) {
		if (engines[i].stage == STAGE_NONE || engines[i].dc < 0 || engines[i].dc >= DCS_MAX)
			continue;
		total++;
		if (engines[i].stage == STAGE_PREFILL) {
			prefill++;
			dcs[engines[i].dc].prefill++;
		} else {
			dcs[engines[i].dc].decode++;
		}
	}
	best = find_without_decode(engines, count, dcs);
	if (best >= 0) {
		*to = STAGE_DECODE;
		return best;
	}
	prefill_target = (int)lround(share * total);
	if (prefill == prefill_target)
		return -1;
	donor = prefill < prefill_target ? STAGE_DECODE : STAGE_PREFILL;
	for (int i = 0; i < count; i++) {
		const struct stage_engine *e = &engines[i];
		const struct dc_count *d;
		int donors;
		double surplus;

		if (e->stage != donor || e->change_blocked || e->dc < 0 || e->dc >= DCS_MAX)
			continue;
		d = &dcs[e->dc];
		donors = donor == STAGE_DECODE ? d->decode : d->prefill;
		if (donor == STAGE_DECODE && donors <= 1)
			continue;
		surplus = donors -
			  (donor == STAGE_DECODE ? 1 - share : share) * (d->prefill + d->decode);
		if (best >= 0 && surplus <= best_surplus)
			continue;
		best = i;
		best_surplus = surplus;
	}
	if (best >= 0)
		*to = other_stage(donor);
	return best;
}
