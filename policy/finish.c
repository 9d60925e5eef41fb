#include <math.h>

#include "ibisgate/policy/finish.h"

/* Weight of one generation in the moving mean: about the last twenty count. */
#define FINISH_WEIGHT 0.05

/*
 * Expected first tokens are off by about a quarter either way while engines are behind (logs of
 * nieve-alta quiet-1, expected against measured).
 */
#define FIRST_MARGIN 1.25

/* Below this the overhead of a request hides how far the queue was misjudged, in milliseconds. */
#define FIRST_LEAST_MS 300.0

/* Bounds of the learned ratio: one outlier, such as a frozen engine, must not refuse everything. */
#define RATIO_MIN 0.7
#define RATIO_MAX 6.0

void finish_learn(struct finish_estimate *f, double ms)
{
	if (f->mean_ms <= 0)
		f->mean_ms = ms;
	else
		f->mean_ms += FINISH_WEIGHT * (ms - f->mean_ms);
}

void finish_learn_unfinished(struct finish_estimate *f, double ms)
{
	if (ms > f->mean_ms)
		finish_learn(f, ms);
}

static double ratio_of(const struct finish_estimate *f)
{
	return f->first_ratio > 0 ? f->first_ratio : 1;
}

static double ratio_seen(double expected_ms, double ms)
{
	double ratio = fmax(ms, FIRST_LEAST_MS) / fmax(expected_ms, FIRST_LEAST_MS);

	return fmin(fmax(ratio, RATIO_MIN), RATIO_MAX);
}

void finish_learn_first(struct finish_estimate *f, double expected_ms, double ms)
{
	double ratio = ratio_of(f);

	f->first_ratio = ratio + FINISH_WEIGHT * (ratio_seen(expected_ms, ms) - ratio);
}

void finish_learn_no_first(struct finish_estimate *f, double expected_ms, double ms)
{
	if (ratio_seen(expected_ms, ms) > ratio_of(f))
		finish_learn_first(f, expected_ms, ms);
}

double finish_first_ms(const struct finish_estimate *f, double expected_ms)
{
	return expected_ms * ratio_of(f);
}

bool finish_fits(const struct finish_estimate *f, double expected_ms,
		 const struct finish_limits *limits)
{
	double first_ms = finish_first_ms(f, expected_ms) * FIRST_MARGIN;

	return first_ms <= limits->patience_ms && first_ms + f->mean_ms <= limits->left_ms;
}
