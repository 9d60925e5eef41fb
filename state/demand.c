#include <math.h>
#include <stdlib.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/demand.h"

/* An instance that reported nothing for the first time is silent; for the second it is gone. */
#define SILENT_MS 2500
#define GONE_MS 12000

/* Longer intervals between two reports tell nothing of the rate, in milliseconds. */
#define RATE_INTERVAL_MAX_MS 5000

/* Largest total that a report may hold. */
#define TOTAL_MAX 1e15

/**
 * struct demand_track - totals of one service by one instance
 * @last: as last reported
 * @rate: per millisecond, between the last two reports
 * @ahead: added to the sum while the instance was silent, before it reported it
 */
struct demand_track {
	uint64_t service;
	struct demand_totals last;
	struct demand_totals rate;
	struct demand_totals ahead;
};

struct demand_reporter {
	struct demand_source source;
	int64_t at_ms;
	int64_t counted_ms;
	int count;
	struct demand_track tracks[DEMAND_SERVICES_MAX];
};

struct demand_cell {
	uint64_t service;
	uint64_t dc;
	struct demand_totals sum;
};

/**
 * struct demand - see demand.h
 * @reporters: instances heard of lately
 * @cells: sums
 */
struct demand {
	struct demand_reporter **reporters;
	int reporter_count;
	struct demand_cell *cells;
	int cell_count;
};

struct demand *demand_create(void)
{
	return mem_zalloc(sizeof(struct demand));
}

void demand_destroy(struct demand *d)
{
	if (!d)
		return;
	for (int i = 0; i < d->reporter_count; i++)
		free(d->reporters[i]);
	free(d->reporters);
	free(d->cells);
	free(d);
}

static struct demand_cell *cell_find(const struct demand *d, uint64_t service, uint64_t dc)
{
	for (int i = 0; i < d->cell_count; i++) {
		if (d->cells[i].service == service && d->cells[i].dc == dc)
			return &d->cells[i];
	}
	return NULL;
}

static struct demand_totals *cell_sum(struct demand *d, uint64_t service, uint64_t dc)
{
	struct demand_cell *c = cell_find(d, service, dc);

	if (c)
		return &c->sum;
	d->cells = mem_resize(d->cells, sizeof(*d->cells) * (size_t)(d->cell_count + 1));
	c = &d->cells[d->cell_count++];
	*c = (struct demand_cell){ .service = service, .dc = dc };
	return &c->sum;
}

static struct demand_reporter *reporter_find(const struct demand *d, uint64_t id)
{
	for (int i = 0; i < d->reporter_count; i++) {
		if (d->reporters[i]->source.id == id)
			return d->reporters[i];
	}
	return NULL;
}

static struct demand_reporter *reporter_add(struct demand *d, const struct demand_source *from)
{
	struct demand_reporter *r = mem_zalloc(sizeof(*r));

	r->source = *from;
	d->reporters = mem_resize(d->reporters, sizeof(struct demand_reporter *) *
							(size_t)(d->reporter_count + 1));
	d->reporters[d->reporter_count++] = r;
	return r;
}

/* Adds what was counted since the last report, less what the sum already holds of it. */
static void advance(double *sum, double *last, double *rate, double *ahead, double total,
		    int64_t ms)
{
	double grown = fmax(total - *last, 0);
	double known = fmin(grown, *ahead);

	*sum += grown - known;
	*ahead = 0;
	*rate = ms > 0 && ms <= RATE_INTERVAL_MAX_MS ? grown / (double)ms : 0;
	*last = total;
}

static void track_update(struct demand *d, struct demand_reporter *r, const struct demand_entry *e,
			 int64_t now_ms)
{
	struct demand_totals *sum = cell_sum(d, e->service, r->source.dc);
	int64_t ms = now_ms - r->at_ms;
	struct demand_track *t = NULL;

	for (int i = 0; i < r->count; i++) {
		if (r->tracks[i].service == e->service)
			t = &r->tracks[i];
	}
	if (!t) {
		if (r->count < DEMAND_SERVICES_MAX)
			r->tracks[r->count++] =
				(struct demand_track){ .service = e->service, .last = e->totals };
		return;
	}
	advance(&sum->prefill_ms, &t->last.prefill_ms, &t->rate.prefill_ms, &t->ahead.prefill_ms,
		e->totals.prefill_ms, ms);
	advance(&sum->decode_ms, &t->last.decode_ms, &t->rate.decode_ms, &t->ahead.decode_ms,
		e->totals.decode_ms, ms);
	advance(&sum->requests, &t->last.requests, &t->rate.requests, &t->ahead.requests,
		e->totals.requests, ms);
}

void demand_add(struct demand *d, const struct demand_source *from,
		const struct demand_entry *entries, int count, int64_t now_ms)
{
	struct demand_reporter *r = reporter_find(d, from->id);

	if (!r)
		r = reporter_add(d, from);
	/* Reports of a former process that arrive late say nothing of this one. */
	if (from->incarnation < r->source.incarnation)
		return;
	if (from->incarnation > r->source.incarnation || from->dc != r->source.dc)
		r->count = 0;
	r->source = *from;
	for (int i = 0; i < count; i++)
		track_update(d, r, &entries[i], now_ms);
	r->at_ms = now_ms;
	r->counted_ms = now_ms;
}

static void extrapolate(double *sum, double *ahead, double rate, int64_t ms)
{
	*sum += rate * (double)ms;
	*ahead += rate * (double)ms;
}

static void reporter_extrapolate(struct demand *d, struct demand_reporter *r, int64_t now_ms)
{
	int64_t ms = now_ms - r->counted_ms;

	for (int i = 0; i < r->count; i++) {
		struct demand_track *t = &r->tracks[i];
		struct demand_totals *sum = cell_sum(d, t->service, r->source.dc);

		extrapolate(&sum->prefill_ms, &t->ahead.prefill_ms, t->rate.prefill_ms, ms);
		extrapolate(&sum->decode_ms, &t->ahead.decode_ms, t->rate.decode_ms, ms);
		extrapolate(&sum->requests, &t->ahead.requests, t->rate.requests, ms);
	}
	r->counted_ms = now_ms;
}

void demand_step(struct demand *d, int64_t now_ms)
{
	for (int i = d->reporter_count - 1; i >= 0; i--) {
		struct demand_reporter *r = d->reporters[i];

		if (now_ms - r->at_ms >= GONE_MS) {
			free(r);
			d->reporters[i] = d->reporters[--d->reporter_count];
		} else if (now_ms - r->at_ms >= SILENT_MS) {
			reporter_extrapolate(d, r, now_ms);
		}
	}
}

struct demand_totals demand_sum(const struct demand *d, uint64_t service, uint64_t dc)
{
	const struct demand_cell *c = cell_find(d, service, dc);

	return c ? c->sum : (struct demand_totals){ 0 };
}

int demand_encode(const struct demand_source *from, const struct demand_entry *entries, int count,
		  uint64_t *values)
{
	int n = 0;

	values[n++] = from->id;
	values[n++] = from->incarnation;
	values[n++] = from->dc;
	for (int i = 0; i < count && i < DEMAND_SERVICES_MAX; i++) {
		values[n++] = entries[i].service;
		values[n++] = (uint64_t)entries[i].totals.prefill_ms;
		values[n++] = (uint64_t)entries[i].totals.decode_ms;
		values[n++] = (uint64_t)entries[i].totals.requests;
	}
	return n;
}

int demand_decode(const uint64_t *values, int count, struct demand_source *from,
		  struct demand_entry *entries)
{
	int n = (count - DEMAND_HEAD_VALUES) / DEMAND_VALUES_PER_SERVICE;

	if (count < DEMAND_HEAD_VALUES || count > DEMAND_VALUES_MAX ||
	    (count - DEMAND_HEAD_VALUES) % DEMAND_VALUES_PER_SERVICE)
		return -1;
	*from = (struct demand_source){ .id = values[0],
					.incarnation = values[1],
					.dc = values[2] };
	for (int i = 0; i < n; i++) {
		const uint64_t *v = values + DEMAND_HEAD_VALUES + i * DEMAND_VALUES_PER_SERVICE;

		entries[i] = (struct demand_entry){
			.service = v[0],
			.totals = { .prefill_ms = (double)v[1],
				    .decode_ms = (double)v[2],
				    .requests = (double)v[3] },
		};
		if (v[1] > (uint64_t)TOTAL_MAX || v[2] > (uint64_t)TOTAL_MAX ||
		    v[3] > (uint64_t)TOTAL_MAX)
			return -1;
	}
	return n;
}
