#include <math.h>
#include <stdlib.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/policy/share.h"

#define BUCKETS 256
/* After this many time constants, only 2% of the usage is left and the record is removed. */
#define REMOVE_WINDOWS 4
/*
 * Organisations with equal offered load mostly differ by less than this factor on one instance: at
 * 4 requests per second and a window of 5 s, the standard deviation of the recent usage is a sixth.
 */
#define EXCESS_RATIO 1.3

/**
 * struct org_usage - recent engine time of one organisation
 * @used_us: decayed engine time at @at_ms, in microseconds
 * @at_ms: time of the last update
 * @next: next record in the hash bucket
 * @older: record that was updated before this one
 * @newer: record that was updated after this one
 */
struct org_usage {
	struct str name;
	uint64_t hash;
	double weight;
	double used_us;
	int64_t at_ms;
	struct org_usage *next;
	struct org_usage *older;
	struct org_usage *newer;
};

struct share_usage {
	double window_ms;
	double used_us;
	double weight;
	int64_t at_ms;
	struct org_usage *oldest;
	struct org_usage *newest;
	struct org_usage *buckets[BUCKETS];
};

struct share_usage *share_usage_create(int64_t window_ms)
{
	struct share_usage *u = mem_zalloc(sizeof(*u));

	u->window_ms = (double)window_ms;
	return u;
}

static struct org_usage **org_usage_link(struct share_usage *u, struct str name, uint64_t hash)
{
	struct org_usage **link = &u->buckets[hash % BUCKETS];

	while (*link && ((*link)->hash != hash || !str_eq((*link)->name, name)))
		link = &(*link)->next;
	return link;
}

static double decayed(double used_us, int64_t from_ms, int64_t to_ms, double window_ms)
{
	return to_ms > from_ms ? used_us * exp((double)(from_ms - to_ms) / window_ms) : used_us;
}

static void order_remove(struct share_usage *u, struct org_usage *o)
{
	if (o->older)
		o->older->newer = o->newer;
	else
		u->oldest = o->newer;
	if (o->newer)
		o->newer->older = o->older;
	else
		u->newest = o->older;
}

static void order_append(struct share_usage *u, struct org_usage *o)
{
	o->older = u->newest;
	o->newer = NULL;
	if (u->newest)
		u->newest->newer = o;
	else
		u->oldest = o;
	u->newest = o;
}

static void oldest_remove(struct share_usage *u)
{
	struct org_usage *o = u->oldest;

	u->oldest = o->newer;
	if (u->oldest)
		u->oldest->older = NULL;
	else
		u->newest = NULL;
	*org_usage_link(u, o->name, o->hash) = o->next;
	u->weight -= o->weight;
	u->used_us = fmax(u->used_us - decayed(o->used_us, o->at_ms, u->at_ms, u->window_ms), 0);
	free((char *)o->name.data);
	free(o);
	/* Subtraction leaves rounding errors in the sums, which are cleared here. */
	if (!u->oldest) {
		u->used_us = 0;
		u->weight = 0;
	}
}

void share_usage_destroy(struct share_usage *u)
{
	if (!u)
		return;
	while (u->oldest)
		oldest_remove(u);
	free(u);
}

/* Finds or creates the record of an organisation and makes it the newest. */
static struct org_usage *org_usage_touch(struct share_usage *u, struct str name, int64_t now_ms)
{
	uint64_t hash = hash_str(name, 0);
	struct org_usage **link = org_usage_link(u, name, hash);
	struct org_usage *o = *link;

	if (o) {
		order_remove(u, o);
	} else {
		o = mem_zalloc(sizeof(*o));
		o->name = (struct str){ str_dup(name), name.len };
		o->hash = hash;
		o->at_ms = now_ms;
		*link = o;
	}
	order_append(u, o);
	return o;
}

static void usage_advance(struct share_usage *u, int64_t now_ms)
{
	u->used_us = decayed(u->used_us, u->at_ms, now_ms, u->window_ms);
	if (now_ms > u->at_ms)
		u->at_ms = now_ms;
	while (u->oldest && (double)(u->at_ms - u->oldest->at_ms) > REMOVE_WINDOWS * u->window_ms)
		oldest_remove(u);
}

void share_usage_add(struct share_usage *u, struct str organisation, double weight, int64_t used_us,
		     int64_t now_ms)
{
	struct org_usage *o;

	usage_advance(u, now_ms);
	o = org_usage_touch(u, organisation, u->at_ms);
	u->weight += weight - o->weight;
	o->weight = weight;
	o->used_us = decayed(o->used_us, o->at_ms, u->at_ms, u->window_ms) + (double)used_us;
	o->at_ms = u->at_ms;
	u->used_us += (double)used_us;
}

double share_usage_ratio(struct share_usage *u, struct str organisation, int64_t now_ms)
{
	const struct org_usage *o;
	double used;

	usage_advance(u, now_ms);
	o = *org_usage_link(u, organisation, hash_str(organisation, 0));
	if (!o || u->used_us <= 0 || o->weight <= 0)
		return 0;
	used = decayed(o->used_us, o->at_ms, u->at_ms, u->window_ms);
	return used / u->used_us * (u->weight / o->weight);
}

bool share_usage_exceeds_share(struct share_usage *u, struct str organisation, int64_t now_ms)
{
	return share_usage_ratio(u, organisation, now_ms) > EXCESS_RATIO;
}
