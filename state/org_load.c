#include <stdlib.h>
#include <uthash.h>

#include "ibisgate/policy/share.h"
#include "ibisgate/state/org_load.h"

/*
 * Time constant of the usage in milliseconds: bursts last a few seconds, and an organisation that
 * has stopped is soon served like the others.
 */
#define WINDOW_MS 5000

/* More engine time than an organisation can use between two reports, in microseconds. */
#define REPORT_MAX_US (INT64_C(3600) * 1000000)

/** struct placed_work - work of one organisation since the last report, in microseconds */
struct placed_work {
	uint64_t tag;
	int64_t us;
	UT_hash_handle hh;
};

struct org_load {
	struct share_usage *usage;
	struct placed_work *placed;
};

struct org_load *org_load_create(void)
{
	struct org_load *l = mem_zalloc(sizeof(*l));

	l->usage = share_usage_create(WINDOW_MS);
	return l;
}

static void placed_clear(struct org_load *l)
{
	struct placed_work *w = l->placed;
	struct placed_work *next;

	HASH_CLEAR(hh, l->placed);
	for (; w; w = next) {
		next = w->hh.next;
		free(w);
	}
}

void org_load_destroy(struct org_load *l)
{
	if (!l)
		return;
	placed_clear(l);
	share_usage_destroy(l->usage);
	free(l);
}

void org_load_add(struct org_load *l, const struct organisation *o, int64_t work_us, int64_t now_ms)
{
	struct placed_work *w;

	share_usage_add(l->usage, str_from(o->name), o->weight, work_us, now_ms);
	HASH_FIND(hh, l->placed, &o->tag, sizeof(o->tag), w);
	if (!w) {
		w = mem_zalloc(sizeof(*w));
		w->tag = o->tag;
		HASH_ADD(hh, l->placed, tag, sizeof(w->tag), w);
	}
	w->us += work_us;
}

double org_load_ratio(struct org_load *l, const struct organisation *o, int64_t now_ms)
{
	return share_usage_ratio(l->usage, str_from(o->name), now_ms);
}

int org_load_report(struct org_load *l, uint64_t *values, int max)
{
	const struct placed_work *w;
	int n = 0;

	for (w = l->placed; w && n < max; w = w->hh.next) {
		values[n++] = w->tag;
		values[n++] = (uint64_t)w->us;
	}
	placed_clear(l);
	return n;
}

void org_load_apply(struct org_load *l, const struct organisations *t, const uint64_t *values,
		    int count, int64_t now_ms)
{
	for (int i = 0; i + 1 < count; i += 2) {
		const struct organisation *o = organisations_by_tag(t, values[i]);

		if (o && values[i + 1] <= REPORT_MAX_US)
			share_usage_add(l->usage, str_from(o->name), o->weight,
					(int64_t)values[i + 1], now_ms);
	}
}
