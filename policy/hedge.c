#include <stdlib.h>
#include <string.h>

#include "ibisgate/policy/hedge.h"

#define HEDGE_PERCENTILE 95
/* Bounds consecutive hedged requests when a common stall makes all calls slow at once. */
#define HEDGE_BURST 4

void hedge_add_latency(struct hedge *h, int64_t latency_ms)
{
	h->latency_ms[h->next] = latency_ms;
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

int64_t hedge_delay_ms(const struct hedge *h)
{
	int64_t sorted_ms[HEDGE_SAMPLES];
	int64_t delay_ms;

	if (h->count < HEDGE_SAMPLES_MIN)
		return -1;
	memcpy(sorted_ms, h->latency_ms, (size_t)h->count * sizeof(*sorted_ms));
	qsort(sorted_ms, (size_t)h->count, sizeof(*sorted_ms), ms_cmp);
	delay_ms = sorted_ms[(h->count * HEDGE_PERCENTILE + 99) / 100 - 1];
	return delay_ms > 1 ? delay_ms : 1;
}

struct retry_limits hedge_budget_limits(double ratio)
{
	return (struct retry_limits){ .ratio = ratio, .burst_tokens = ratio > 0 ? HEDGE_BURST : 0 };
}
