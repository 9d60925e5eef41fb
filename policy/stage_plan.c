#include <math.h>

#include "ibisgate/policy/stage_plan.h"

#define DCS_MAX 64

/* Engines of one data centre by stage. */
struct dc_count {
	int prefill;
	int decode;
};

static enum engine_stage other(enum engine_stage s)
{
	return s == STAGE_PREFILL ? STAGE_DECODE : STAGE_PREFILL;
}

/* An engine of a data centre where none generates; -1 when there is no such data centre. */
static int find_lone(const struct stage_engine *engines, int count, const struct dc_count *dcs)
{
	for (int i = 0; i < count; i++) {
		const struct stage_engine *e = &engines[i];

		if (e->stage == STAGE_PREFILL && !e->busy && e->dc >= 0 && e->dc < DCS_MAX &&
		    !dcs[e->dc].decode)
			return i;
	}
	return -1;
}

int stage_plan_next(const struct stage_engine *engines, int count, double share,
		    enum engine_stage *to)
{
	struct dc_count dcs[DCS_MAX] = { { 0 } };
	enum engine_stage donor;
	int prefill = 0, total = 0, want;
	int best = -1;
	double most = 0;

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
	best = find_lone(engines, count, dcs);
	if (best >= 0) {
		*to = STAGE_DECODE;
		return best;
	}
	want = (int)lround(share * total);
	if (prefill == want)
		return -1;
	donor = prefill < want ? STAGE_DECODE : STAGE_PREFILL;
	for (int i = 0; i < count; i++) {
		const struct stage_engine *e = &engines[i];
		const struct dc_count *d;
		int have;
		double surplus;

		if (e->stage != donor || e->busy || e->dc < 0 || e->dc >= DCS_MAX)
			continue;
		d = &dcs[e->dc];
		have = donor == STAGE_DECODE ? d->decode : d->prefill;
		if (donor == STAGE_DECODE && have <= 1)
			continue;
		surplus = have -
			  (donor == STAGE_DECODE ? 1 - share : share) * (d->prefill + d->decode);
		if (best >= 0 && surplus <= most)
			continue;
		best = i;
		most = surplus;
	}
	if (best >= 0)
		*to = other(donor);
	return best;
}
