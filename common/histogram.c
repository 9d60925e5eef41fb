#include <inttypes.h>
#include <stdatomic.h>

#include "ibisgate/common/histogram.h"

/* Upper bounds in milliseconds: each latency target of a deployment lies between two of them. */
static const int64_t bounds[] = { 1,   2,   5,	 10,  20,  40,	 60,   80,   100,  150,
				  200, 300, 400, 600, 800, 1200, 1600, 2400, 5000, 10000 };

#define BOUNDS (sizeof(bounds) / sizeof(bounds[0]))

static _Atomic int64_t counts[HISTOGRAM_COUNT][BOUNDS + 1];
static _Atomic int64_t sums[HISTOGRAM_COUNT];

static const char *const names[] = {
#define X(id, name, help) name,
	HISTOGRAMS(X)
#undef X
};

static const char *const helps[] = {
#define X(id, name, help) help,
	HISTOGRAMS(X)
#undef X
};

void histogram_add(enum histogram h, int64_t ms)
{
	size_t i = 0;

	while (i < BOUNDS && ms > bounds[i])
		i++;
	atomic_fetch_add_explicit(&counts[h][i], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&sums[h], ms, memory_order_relaxed);
}

void histograms_format(struct buf *out, const char *instance)
{
	for (int h = 0; h < HISTOGRAM_COUNT; h++) {
		int64_t total = 0;

		buf_printf(out, "# HELP ibisgate_%s %s\n# TYPE ibisgate_%s histogram\n", names[h],
			   helps[h], names[h]);
		for (size_t i = 0; i <= BOUNDS; i++) {
			total += atomic_load_explicit(&counts[h][i], memory_order_relaxed);
			buf_printf(out, "ibisgate_%s_bucket{instance=\"%s\",le=\"", names[h],
				   instance);
			if (i < BOUNDS)
				buf_printf(out, "%" PRId64 "\"} %" PRId64 "\n", bounds[i], total);
			else
				buf_printf(out, "+Inf\"} %" PRId64 "\n", total);
		}
		buf_printf(out,
			   "ibisgate_%s_sum{instance=\"%s\"} %" PRId64
			   "\nibisgate_%s_count{instance=\"%s\"} %" PRId64 "\n",
			   names[h], instance, atomic_load_explicit(&sums[h], memory_order_relaxed),
			   names[h], instance, total);
	}
}
