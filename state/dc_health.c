#include <math.h>

#include "ibisgate/state/dc_health.h"

/* Weight of the newest attempt: about the last four count, a cut shows within a few requests. */
#define ATTEMPT_WEIGHT 0.25

/* Time in which a failure loses most of its weight, in ms; cuts last seconds. */
#define FORGET_MS 2000.0

double dc_health_share(const struct dc_health *h, int64_t now_ms)
{
	if (now_ms <= h->at_ms)
		return h->share;
	return h->share * exp(-(double)(now_ms - h->at_ms) / FORGET_MS);
}

void dc_health_note(struct dc_health *h, bool reached, int64_t now_ms)
{
	double share = dc_health_share(h, now_ms);

	h->share = share + ATTEMPT_WEIGHT * ((reached ? 0 : 1) - share);
	h->at_ms = now_ms;
}
