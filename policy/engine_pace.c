#include <math.h>

#include "ibisgate/policy/engine_pace.h"

/* Weight of one sample in the moving mean, which covers about the last 4 samples. */
#define SAMPLE_WEIGHT 0.25

/* Time constant of the decay without samples. */
#define DECAY_MS 500.0

/* After this time without samples, the next one replaces the mean. */
#define EXPIRY_MS 1000

void engine_pace_add(struct engine_pace *p, double interval_ms, int64_t now_ms)
{
	if (now_ms - p->updated_ms > EXPIRY_MS)
		p->interval_ms = interval_ms;
	else
		p->interval_ms += SAMPLE_WEIGHT * (interval_ms - p->interval_ms);
	p->updated_ms = now_ms;
}

double engine_pace_interval_ms(const struct engine_pace *p, int64_t now_ms)
{
	return p->interval_ms * exp(-(double)(now_ms - p->updated_ms) / DECAY_MS);
}
