#include <inttypes.h>
#include <stdatomic.h>

#include "ibisgate/common/histogram.h"

/* Bucket bounds in milliseconds; each latency target of a deployment lies between two of them. */
static const int64_t bounds_ms[] = { 1,	  2,   5,   10,	 20,  40,   60,	  80,	100,  150,
				     200, 300, 400, 600, 800, 1200, 1600, 2400, 5000, 10000 };

#define BOUND_COUNT (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

static _Atomic int64_t counts[HISTOGRAM_COUNT][BOUND_COUNT + 1];
static _Atomic int64_t sums_ms[HISTOGRAM_COUNT];

static const char *const names[] = {
#define X(id, name, help) name,
	HISTOGRAMS(X)
#undef X
};

static const char *const help_texts[] = {
#define X(id, name, help) help,
	HISTOGRAMS(X)
#undef X
};

void histogram_add(enum histogram h, int64_t ms)
{
	size_t i = 0;

	while (i < BOUND_COUNT && ms > bounds_ms[i])
		i++;
	atomic_fetch_add_explicit(&counts[h][i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&sums_ms[h], ms, memory_order_relaxed);
}

void histograms_format(struct buf *out, const char *instance)
{
	for (int h = 0; h < HISTOGRAM_COUNT; h++) {
		int64_t total = 0;

		buf_printf(out, "# HELP ibisgate_%s %s\n# TYPE ibisgate_%s histogram\n", names[h],
			   help_texts[h], names[h]);
		for (size_t i = 0; i <= BOUND_COUNT; i++) {
			total += atomic_load_explicit(&counts[h][i], memory_order_relaxed);
			buf_printf(out, "ibisgate_%s_bucket{instance=\"%s\",le=\"", names[h],
				   instance);
			if (i < BOUND_COUNT)
				buf_printf(out, "%" PRId64 "\"} %" PRId64 "\n", bounds_ms[i],
					   total);
			else
				buf_printf(out, "+Inf\"} %" PRId64 "\n", total);
		}
		buf_printf(out,
			   "ibisgate_%s_sum{instance=\"%s\"} %" PRId64
			   "\nibisgate_%s_count{instance=\"%s\"} %" PRId64 "\n",
			   names[h], instance,
			   atomic_load_explicit(&sums_ms[h], memory_order_relaxed), names[h],
			   instance, total);
	}
}
