#include "ibisgate/policy/engine_speed.h"

/* Prompts shorter than this are read in a time in which the overhead weighs too much, in tokens. */
#define SAMPLE_MIN_TOKENS 1500

/* Weight of one sample in the moving mean: about the last twenty count. */
#define SAMPLE_WEIGHT 0.05

/* A sample is taken as at most this much faster or slower than the mean: outliers are queues. */
#define SAMPLE_SPAN 2.0

void engine_speed_learn(struct place_speed *speed, const struct speed_sample *s)
{
	double *rate = s->prefill ? &speed->prefill_per_ms : &speed->mixed_per_ms;
	double reading_ms = (double)s->elapsed_ms - speed->overhead_ms;
	double seen;

	if (s->read_tokens < SAMPLE_MIN_TOKENS || s->waited_tokens > 0 || s->elapsed_ms <= 0)
		return;
	if (reading_ms < (double)s->elapsed_ms / 4)
		reading_ms = (double)s->elapsed_ms / 4;
	seen = (double)s->read_tokens / reading_ms;
	if (seen > *rate * SAMPLE_SPAN)
		seen = *rate * SAMPLE_SPAN;
	if (seen < *rate / SAMPLE_SPAN)
		seen = *rate / SAMPLE_SPAN;
	*rate += SAMPLE_WEIGHT * (seen - *rate);
}
