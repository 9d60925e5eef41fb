#include "ibisgate/policy/finish.h"

/* Weight of one generation in the moving mean: about the last twenty count. */
#define FINISH_WEIGHT 0.05

/*
 * Expected first tokens are off by about a quarter either way while engines are behind (logs of
 * nieve-alta quiet-1, expected against measured).
 */
#define FIRST_MARGIN 1.25

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

bool finish_fits(const struct finish_estimate *f, double first_ms, double left_ms)
{
	return first_ms * FIRST_MARGIN + f->mean_ms <= left_ms;
}
