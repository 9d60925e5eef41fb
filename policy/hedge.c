#include <stdlib.h>
#include <string.h>

#include "ibisgate/policy/hedge.h"

#define HEDGE_PERCENTILE 95
/* A shared stall makes all calls slow at once; second tries in a row must end soon then. */
#define HEDGE_BURST 4

void hedge_answered(struct hedge *h, int64_t took_ms)
{
	h->took_ms[h->next] = took_ms;
	h->next = (h->next + 1) % HEDGE_SAMPLES;
	if (h->count < HEDGE_SAMPLES)
		h->count++;
}

static int ms_cmp(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int64_t hedge_after_ms(const struct hedge *h)
{
	int64_t sorted[HEDGE_SAMPLES];
	int64_t after;

	if (h->count < HEDGE_SAMPLES_MIN)
		return -1;
	memcpy(sorted, h->took_ms, (size_t)h->count * sizeof(*sorted));
	qsort(sorted, (size_t)h->count, sizeof(*sorted), ms_cmp);
	after = sorted[(h->count * HEDGE_PERCENTILE + 99) / 100 - 1];
	return after > 1 ? after : 1;
}

struct retry_limits hedge_limits(double ratio)
{
	return (struct retry_limits){ .ratio = ratio, .burst = ratio > 0 ? HEDGE_BURST : 0 };
}
