#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/usage.h"

/*
 * Maximum number of sums held: 16 instances with 21,000 organisations each, or some hundred
 * instances with some hundred. Each takes 24 bytes.
 */
#define ENTRIES_MAX 340000

/**
 * enum telling - whether a sum has still to be told
 * @TOLD_ONCE: it is told again in the next round, as a message may be lost
 */
enum telling {
	TOLD,
	TOLD_ONCE,
	UNTOLD,
	UNTOLD_AGAIN,
};

struct entry_sum {
	uint64_t tag;
	uint64_t requests;
	enum telling telling;
};

/**
 * struct boot_sums - what one process has counted in one window
 * @entries: in ascending order of tag
 * @untold: number of entries that are to be told in this round
 * @told_once: number of entries that are TOLD_ONCE
 * @heard_ms: when it was last heard from
 */
struct boot_sums {
	struct cds_list_head link;
	uint64_t boot;
	int64_t window;
	struct entry_sum *entries;
	int count;
	int capacity;
	int untold;
	int told_once;
	int64_t heard_ms;
};

/** struct usage - see usage.h; @sums has a few windows of each process */
struct usage {
	struct cds_list_head sums;
	int entries;
};

struct usage *usage_create(void)
{
	struct usage *u = mem_zalloc(sizeof(*u));

	CDS_INIT_LIST_HEAD(&u->sums);
	return u;
}

static void sums_remove(struct usage *u, struct boot_sums *s)
{
	cds_list_del(&s->link);
	u->entries -= s->count;
	free(s->entries);
	free(s);
}

void usage_destroy(struct usage *u)
{
	struct boot_sums *s, *next;

	if (!u)
		return;
	cds_list_for_each_entry_safe(s, next, &u->sums, link)
		sums_remove(u, s);
	free(u);
}

static struct boot_sums *sums_find(const struct usage *u, uint64_t boot, int64_t window)
{
	struct boot_sums *s;

	cds_list_for_each_entry(s, &u->sums, link) {
		if (s->boot == boot && s->window == window)
			return s;
	}
	return NULL;
}

static struct boot_sums *sums_get(struct usage *u, uint64_t boot, int64_t window)
{
	struct boot_sums *s = sums_find(u, boot, window);

	if (s)
		return s;
	s = mem_zalloc(sizeof(*s));
	s->boot = boot;
	s->window = window;
	/* The newest windows are asked for most. */
	cds_list_add(&s->link, &u->sums);
	return s;
}

/* Index of the entry with @tag, or of the first one after it. */
static int entry_index(const struct boot_sums *s, uint64_t tag)
{
	int low = 0, high = s->count;

	while (low < high) {
		int middle = low + (high - low) / 2;

		if (s->entries[middle].tag < tag)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct entry_sum *entry_get(struct usage *u, struct boot_sums *s, uint64_t tag)
{
	int at = entry_index(s, tag);

	if (at < s->count && s->entries[at].tag == tag)
		return &s->entries[at];
	if (u->entries >= ENTRIES_MAX)
		return NULL;
	if (s->count == s->capacity) {
		s->capacity = s->capacity ? 2 * s->capacity : 16;
		s->entries = mem_resize(s->entries, sizeof(*s->entries) * (size_t)s->capacity);
	}
	memmove(&s->entries[at + 1], &s->entries[at],
		sizeof(*s->entries) * (size_t)(s->count - at));
	s->entries[at] = (struct entry_sum){ .tag = tag };
	s->count++;
	u->entries++;
	return &s->entries[at];
}

static void entry_set_telling(struct boot_sums *s, struct entry_sum *e, enum telling next)
{
	s->untold += (next >= UNTOLD) - (e->telling >= UNTOLD);
	s->told_once += (next == TOLD_ONCE) - (e->telling == TOLD_ONCE);
	e->telling = next;
}

bool usage_add(struct usage *u, uint64_t boot, int64_t window, uint64_t tag)
{
	struct boot_sums *s = sums_get(u, boot, window);
	struct entry_sum *e = entry_get(u, s, tag);

	if (!e)
		return false;
	e->requests++;
	entry_set_telling(s, e, UNTOLD);
	return true;
}

bool usage_merge(struct usage *u, uint64_t boot, int64_t window, uint64_t tag, uint64_t requests,
		 int64_t now_ms)
{
	struct boot_sums *s = sums_get(u, boot, window);
	struct entry_sum *e = entry_get(u, s, tag);

	s->heard_ms = now_ms;
	if (!e)
		return false;
	if (requests > e->requests)
		e->requests = requests;
	return true;
}

static int total_compare(const void *a, const void *b)
{
	uint64_t x = ((const struct usage_total *)a)->tag;
	uint64_t y = ((const struct usage_total *)b)->tag;

	return (x > y) - (x < y);
}

int usage_totals(const struct usage *u, int64_t window, struct usage_total **out)
{
	struct boot_sums *s;
	struct usage_total *all;
	int count = 0, kept = 0;

	*out = NULL;
	cds_list_for_each_entry(s, &u->sums, link)
		count += s->window == window ? s->count : 0;
	if (!count)
		return 0;
	all = mem_alloc(sizeof(*all) * (size_t)count);
	count = 0;
	cds_list_for_each_entry(s, &u->sums, link) {
		for (int i = 0; s->window == window && i < s->count; i++)
			all[count++] =
				(struct usage_total){ .tag = s->entries[i].tag,
						      .requests = (int64_t)s->entries[i].requests };
	}
	qsort(all, (size_t)count, sizeof(*all), total_compare);
	for (int i = 0; i < count; i++) {
		if (kept && all[kept - 1].tag == all[i].tag)
			all[kept - 1].requests += all[i].requests;
		else
			all[kept++] = all[i];
	}
	*out = all;
	return kept;
}

int usage_take_untold(struct usage *u, uint64_t boot, int64_t window, uint64_t *values, int max)
{
	struct boot_sums *s = sums_find(u, boot, window);
	int n = 0;

	for (int i = 0; s && i < s->count && n + 2 <= max; i++) {
		struct entry_sum *e = &s->entries[i];

		if (e->telling < UNTOLD)
			continue;
		values[n++] = e->tag;
		values[n++] = e->requests;
		entry_set_telling(s, e, e->telling == UNTOLD ? TOLD_ONCE : TOLD);
	}
	return n;
}

static void sums_tell_again(struct boot_sums *s)
{
	for (int i = 0; i < s->count; i++)
		entry_set_telling(s, &s->entries[i], UNTOLD);
}

void usage_begin_round(struct usage *u)
{
	struct boot_sums *s;

	cds_list_for_each_entry(s, &u->sums, link) {
		for (int i = 0; s->told_once && i < s->count; i++) {
			if (s->entries[i].telling == TOLD_ONCE)
				entry_set_telling(s, &s->entries[i], UNTOLD_AGAIN);
		}
	}
}

void usage_tell_again(struct usage *u, uint64_t boot)
{
	struct boot_sums *s;

	cds_list_for_each_entry(s, &u->sums, link) {
		if (s->boot == boot)
			sums_tell_again(s);
	}
}

void usage_tell_silent(struct usage *u, uint64_t self, int64_t since_ms)
{
	struct boot_sums *s;

	cds_list_for_each_entry(s, &u->sums, link) {
		if (s->boot != self && s->heard_ms < since_ms)
			sums_tell_again(s);
	}
}

bool usage_next_untold(const struct usage *u, uint64_t *boot, int64_t *window)
{
	struct boot_sums *s;

	cds_list_for_each_entry(s, &u->sums, link) {
		if (s->untold) {
			*boot = s->boot;
			*window = s->window;
			return true;
		}
	}
	return false;
}

void usage_drop_before(struct usage *u, int64_t window)
{
	struct boot_sums *s, *next;

	cds_list_for_each_entry_safe(s, next, &u->sums, link) {
		if (s->window < window)
			sums_remove(u, s);
	}
}
