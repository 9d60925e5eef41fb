#include <inttypes.h>
#include <stdatomic.h>

#include "ibisgate/common/metrics.h"

static _Atomic int64_t values[METRIC_COUNT];

static const struct {
	const char *name;
	const char *type;
	const char *help;
} infos[METRIC_COUNT] = {
#define X(id, name, type, help) { name, type, help },
	METRICS(X)
#undef X
};

void metric_add(enum metric m, int64_t n)
{
	atomic_fetch_add_explicit(&values[m], n, memory_order_relaxed);
}

void metric_set(enum metric m, int64_t value)
{
	atomic_store_explicit(&values[m], value, memory_order_relaxed);
}

int64_t metric_get(enum metric m)
{
	return atomic_load_explicit(&values[m], memory_order_relaxed);
}

void metrics_format(struct buf *out, const char *instance)
{
	for (int i = 0; i < METRIC_COUNT; i++) {
		buf_printf(out, "# HELP ibisgate_%s %s\n", infos[i].name, infos[i].help);
		buf_printf(out, "# TYPE ibisgate_%s %s\n", infos[i].name, infos[i].type);
		buf_printf(out, "ibisgate_%s{instance=\"%s\"} %" PRId64 "\n", infos[i].name,
			   instance, metric_get((enum metric)i));
	}
}
