#include <math.h>

#include "ibisgate/policy/finish.h"

/* Weight of one generation in the moving means, which cover about the last 20 generations. */
#define FINISH_WEIGHT 0.05

/*
 * Safety margin on the expected time to first token, which is off by about a quarter in either
 * direction while engines are overloaded.
 */
#define FIRST_TOKEN_MARGIN 1.25

/*
 * Shorter times to first token are raised to this, since the overhead of a request hides the error
 * in the estimated queue time.
 */
#define FIRST_TOKEN_MIN_MS 300.0

/* Bounds of a sampled ratio, so that one outlier (a frozen engine) can't refuse all requests. */
#define RATIO_MIN 0.7
#define RATIO_MAX 6.0

void finish_add_completed(struct finish_estimate *f, double ms)
{
	if (f->mean_ms <= 0)
		f->mean_ms = ms;
	else
		f->mean_ms += FINISH_WEIGHT * (ms - f->mean_ms);
}

void finish_add_aborted(struct finish_estimate *f, double ms)
{
	if (ms > f->mean_ms)
		finish_add_completed(f, ms);
}

static double first_ratio_or_one(const struct finish_estimate *f)
{
	return f->first_ratio > 0 ? f->first_ratio : 1;
}

static double ratio_sample(double expected_ms, double ms)
{
	double ratio = fmax(ms, FIRST_TOKEN_MIN_MS) / fmax(expected_ms, FIRST_TOKEN_MIN_MS);

	return fmin(fmax(ratio, RATIO_MIN), RATIO_MAX);
}

void finish_add_first_token(struct finish_estimate *f, double expected_ms, double ms)
{
	double ratio = first_ratio_or_one(f);

	f->first_ratio = ratio + FINISH_WEIGHT * (ratio_sample(expected_ms, ms) - ratio);
}

void finish_add_missing_first_token(struct finish_estimate *f, double expected_ms, double ms)
{
	if (ratio_sample(expected_ms, ms) > first_ratio_or_one(f))
		finish_add_first_token(f, expected_ms, ms);
}

double finish_first_token_ms(const struct finish_estimate *f, double expected_ms)
{
	return expected_ms * first_ratio_or_one(f);
}

bool finish_is_in_time(const struct finish_estimate *f, double expected_ms,
		       const struct finish_limits *limits)
{
	double first_ms = finish_first_token_ms(f, expected_ms) * FIRST_TOKEN_MARGIN;

	return first_ms <= limits->first_token_wait_ms &&
	       first_ms + f->mean_ms <= limits->deadline_left_ms;
}
