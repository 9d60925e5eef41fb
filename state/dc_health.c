#include <math.h>

#include "ibisgate/state/dc_health.h"

/*
 * Weight of the newest attempt. About the last four attempts count, so that an outage shows within
 * a few requests.
 */
#define ATTEMPT_WEIGHT 0.25

/* Time constant of the decay: network outages last seconds. */
#define DECAY_MS 2000.0

/* Share that one failed attempt among otherwise good ones leaves after about 3 s. */
#define DOUBT_SHARE 0.05

double dc_health_unreachable_share(const struct dc_health *h, int64_t now_ms)
{
	if (now_ms <= h->at_ms)
		return h->unreachable_share;
	return h->unreachable_share * exp(-(double)(now_ms - h->at_ms) / DECAY_MS);
}

void dc_health_record(struct dc_health *h, bool reached, int64_t now_ms)
{
	double share = dc_health_unreachable_share(h, now_ms);

	h->unreachable_share = share + ATTEMPT_WEIGHT * ((reached ? 0 : 1) - share);
	h->at_ms = now_ms;
}

bool dc_health_may_be_cut_off(const struct dc_health *h, int64_t now_ms)
{
	return dc_health_unreachable_share(h, now_ms) > DOUBT_SHARE;
}
