#include <stdlib.h>
#include <urcu/list.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/cache_view.h"

#define BUCKET_COUNT 256

/* More tokens than any part of a prompt has. */
#define PART_TOKENS_MAX (1 << 24)

struct part_entry {
	struct cds_list_head lru;
	struct cds_list_head bucket;
	uint64_t part;
	int64_t tokens;
	bool ready;
};

struct cache_view {
	struct cds_list_head lru;
	struct cds_list_head buckets[BUCKET_COUNT];
	int64_t capacity_tokens;
	int64_t used_tokens;
};

struct cache_view *cache_view_create(int64_t capacity_tokens)
{
	struct cache_view *v = mem_zalloc(sizeof(*v));

	v->capacity_tokens = capacity_tokens;
	CDS_INIT_LIST_HEAD(&v->lru);
	for (int i = 0; i < BUCKET_COUNT; i++)
		CDS_INIT_LIST_HEAD(&v->buckets[i]);
	return v;
}

static void entry_free(struct cache_view *v, struct part_entry *e)
{
	v->used_tokens -= e->tokens;
	cds_list_del(&e->lru);
	cds_list_del(&e->bucket);
	free(e);
}

void cache_view_clear(struct cache_view *v)
{
	struct part_entry *e, *next;

	cds_list_for_each_entry_safe(e, next, &v->lru, lru)
		entry_free(v, e);
}

void cache_view_destroy(struct cache_view *v)
{
	if (!v)
		return;
	cache_view_clear(v);
	free(v);
}

static struct part_entry *entry_find(const struct cache_view *v, uint64_t part)
{
	struct part_entry *e;

	cds_list_for_each_entry(e, &v->buckets[part % BUCKET_COUNT], bucket) {
		if (e->part == part)
			return e;
	}
	return NULL;
}

/* Removes parts from the head of the list, least recently used first, until the rest fits. */
static void evict(struct cache_view *v, const struct part_entry *keep)
{
	struct part_entry *e, *next;

	cds_list_for_each_entry_safe(e, next, &v->lru, lru) {
		if (v->used_tokens <= v->capacity_tokens || e == keep)
			break;
		entry_free(v, e);
	}
}

void cache_view_record(struct cache_view *v, uint64_t part, int64_t tokens, bool ready)
{
	struct part_entry *e = entry_find(v, part);

	if (e) {
		v->used_tokens += tokens - e->tokens;
		e->tokens = tokens;
		cds_list_del(&e->lru);
	} else {
		e = mem_zalloc(sizeof(*e));
		e->part = part;
		e->tokens = tokens;
		v->used_tokens += tokens;
		cds_list_add(&e->bucket, &v->buckets[part % BUCKET_COUNT]);
	}
	e->ready = e->ready || ready;
	cds_list_add_tail(&e->lru, &v->lru);
	evict(v, e);
}

void cache_view_cancel_sent(struct cache_view *v, uint64_t part)
{
	struct part_entry *e = entry_find(v, part);

	if (e && !e->ready)
		entry_free(v, e);
}

void cache_view_remove(struct cache_view *v, uint64_t part)
{
	struct part_entry *e = entry_find(v, part);

	if (e)
		entry_free(v, e);
}

int64_t cache_view_cached_tokens(const struct cache_view *v, uint64_t part, bool *ready)
{
	struct part_entry *e = entry_find(v, part);

	*ready = e && e->ready;
	return e ? e->tokens : 0;
}

/* Callers and engines may give numbers of tokens that no part has. */
static bool is_listed(const struct part_entry *e)
{
	return e->ready && e->tokens > 0 && e->tokens <= PART_TOKENS_MAX;
}

int cache_view_list(const struct cache_view *v, struct cached_part *out, int max)
{
	const struct part_entry *e;
	int ready = 0, skipped = 0, count = 0;

	cds_list_for_each_entry(e, &v->lru, lru)
		ready += is_listed(e);
	cds_list_for_each_entry(e, &v->lru, lru) {
		if (!is_listed(e) || skipped++ < ready - max)
			continue;
		out[count++] = (struct cached_part){ .part = e->part, .tokens = e->tokens };
	}
	return count;
}

/* Adds a part before all others, unless it doesn't fit beside them. */
static bool insert_oldest(struct cache_view *v, const struct cached_part *p)
{
	struct part_entry *e;

	if (v->used_tokens + p->tokens > v->capacity_tokens)
		return false;
	e = mem_zalloc(sizeof(*e));
	e->part = p->part;
	e->tokens = p->tokens;
	e->ready = true;
	v->used_tokens += p->tokens;
	cds_list_add(&e->bucket, &v->buckets[p->part % BUCKET_COUNT]);
	cds_list_add(&e->lru, &v->lru);
	return true;
}

void cache_view_take_list(struct cache_view *v, const struct cached_part *parts, int count,
			  bool partly_read)
{
	struct cached_part old[64];
	struct part_entry *e;
	bool fits = true;
	int n;

	while (partly_read && (n = cache_view_list(v, old, 64)) > 0) {
		for (int i = 0; i < n; i++)
			cache_view_remove(v, old[i].part);
	}
	for (int i = count - 1; i >= 0; i--) {
		e = entry_find(v, parts[i].part);
		if (e)
			e->ready = true;
		else if (fits)
			fits = insert_oldest(v, &parts[i]);
	}
}

int cached_parts_decode(const uint64_t *values, int count, struct cached_part *out, int max)
{
	if (count % 2 || count / 2 > max)
		return -1;
	for (int i = 0; i < count / 2; i++) {
		uint64_t tokens = values[2 * i + 1];

		if (!tokens || tokens > PART_TOKENS_MAX)
			return -1;
		out[i] = (struct cached_part){ .part = values[2 * i], .tokens = (int64_t)tokens };
	}
	return count / 2;
}
