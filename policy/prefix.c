#include <stdbool.h>
#include <stdlib.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/policy/prefix.h"

#define ENDPOINTS_MAX 4096
/* A piece cached by more endpoints needs no affinity, since any of these is a good choice. */
#define HOLDERS_MAX 16

/*
 * Endpoint that caches a piece. Valid only while @epoch equals the current epoch of the endpoint,
 * so that removing all pieces of an endpoint needs no scan of the index. Epoch 0 marks a free
 * entry.
 */
struct holder {
	uint16_t endpoint;
	uint16_t epoch;
};

struct piece_entry {
	uint64_t piece;
	int next;
	uint8_t next_victim;
	bool referenced;
	struct holder holders[HOLDERS_MAX];
};

struct prefix_index {
	int capacity;
	int used;
	int clock_hand;
	uint64_t mask;
	int *buckets;
	struct piece_entry *entries;
	uint16_t epochs[ENDPOINTS_MAX];
};

struct prefix prefix_hash_prompt(struct str prompt, uint64_t salt, int64_t piece_bytes)
{
	struct prefix p = { 0 };
	uint64_t hash = salt;
	size_t size;

	if (piece_bytes <= 0)
		return p;
	size = (size_t)piece_bytes;
	while (p.count < PREFIX_PIECES_MAX && prompt.len >= size) {
		hash = hash_str((struct str){ prompt.data, size }, hash);
		p.hashes[p.count++] = hash;
		prompt.data += size;
		prompt.len -= size;
	}
	return p;
}

uint64_t prefix_home_score(const struct prefix *p, struct str name)
{
	if (!p->count)
		return 0;
	return hash_mix(p->hashes[0], hash_str(name, 0));
}

struct prefix_index *prefix_index_create(int capacity)
{
	struct prefix_index *idx = mem_zalloc(sizeof(*idx));
	uint64_t buckets = 1;

	idx->capacity = capacity > 0 ? capacity : 1;
	while (buckets < (uint64_t)idx->capacity)
		buckets *= 2;
	idx->mask = buckets - 1;
	idx->buckets = mem_alloc(buckets * sizeof(*idx->buckets));
	for (uint64_t i = 0; i < buckets; i++)
		idx->buckets[i] = -1;
	idx->entries = mem_zalloc((size_t)idx->capacity * sizeof(*idx->entries));
	for (int i = 0; i < ENDPOINTS_MAX; i++)
		idx->epochs[i] = 1;
	return idx;
}

void prefix_index_destroy(struct prefix_index *idx)
{
	if (!idx)
		return;
	free(idx->buckets);
	free(idx->entries);
	free(idx);
}

static struct piece_entry *entry_find(const struct prefix_index *idx, uint64_t piece)
{
	int i = idx->buckets[piece & idx->mask];

	while (i >= 0 && idx->entries[i].piece != piece)
		i = idx->entries[i].next;
	return i < 0 ? NULL : &idx->entries[i];
}

static void entry_unlink(struct prefix_index *idx, int pos)
{
	int *link = &idx->buckets[idx->entries[pos].piece & idx->mask];

	while (*link != pos)
		link = &idx->entries[*link].next;
	*link = idx->entries[pos].next;
}

/* Evicts by the CLOCK algorithm, which spares pieces inserted again since the last pass. */
static int entry_alloc(struct prefix_index *idx)
{
	int pos;

	if (idx->used < idx->capacity)
		return idx->used++;
	while (idx->entries[idx->clock_hand].referenced) {
		idx->entries[idx->clock_hand].referenced = false;
		idx->clock_hand = (idx->clock_hand + 1) % idx->capacity;
	}
	pos = idx->clock_hand;
	idx->clock_hand = (idx->clock_hand + 1) % idx->capacity;
	entry_unlink(idx, pos);
	return pos;
}

static struct piece_entry *entry_add(struct prefix_index *idx, uint64_t piece)
{
	int pos = entry_alloc(idx);
	int *bucket = &idx->buckets[piece & idx->mask];

	idx->entries[pos] = (struct piece_entry){ .piece = piece, .next = *bucket };
	*bucket = pos;
	return &idx->entries[pos];
}

static bool holder_is_valid(const struct prefix_index *idx, const struct holder *h)
{
	return h->epoch && h->epoch == idx->epochs[h->endpoint];
}

static struct holder *holder_find(const struct prefix_index *idx, struct piece_entry *e,
				  int endpoint_id)
{
	for (int i = 0; i < HOLDERS_MAX; i++) {
		if (e->holders[i].endpoint == endpoint_id && holder_is_valid(idx, &e->holders[i]))
			return &e->holders[i];
	}
	return NULL;
}

/* Returns a free holder, or else overwrites one in round-robin order. */
static struct holder *holder_alloc(const struct prefix_index *idx, struct piece_entry *e)
{
	for (int i = 0; i < HOLDERS_MAX; i++) {
		if (!holder_is_valid(idx, &e->holders[i]))
			return &e->holders[i];
	}
	return &e->holders[e->next_victim++ % HOLDERS_MAX];
}

static bool endpoint_id_is_valid(int endpoint_id)
{
	return endpoint_id >= 0 && endpoint_id < ENDPOINTS_MAX;
}

void prefix_index_insert(struct prefix_index *idx, uint64_t piece, int endpoint_id)
{
	struct piece_entry *e;
	struct holder *h;

	if (!endpoint_id_is_valid(endpoint_id))
		return;
	e = entry_find(idx, piece);
	if (e)
		e->referenced = true;
	else
		e = entry_add(idx, piece);
	if (holder_find(idx, e, endpoint_id))
		return;
	h = holder_alloc(idx, e);
	h->endpoint = (uint16_t)endpoint_id;
	h->epoch = idx->epochs[endpoint_id];
}

void prefix_index_remove(struct prefix_index *idx, uint64_t piece, int endpoint_id)
{
	struct piece_entry *e = entry_find(idx, piece);
	struct holder *h;

	if (!e || !endpoint_id_is_valid(endpoint_id))
		return;
	h = holder_find(idx, e, endpoint_id);
	if (h)
		h->epoch = 0;
}

/* Clears all holders of the endpoint, so that old ones do not become valid when epochs repeat. */
static void epoch_wrap(struct prefix_index *idx, int endpoint_id)
{
	for (int i = 0; i < idx->used; i++) {
		for (int j = 0; j < HOLDERS_MAX; j++) {
			if (idx->entries[i].holders[j].endpoint == endpoint_id)
				idx->entries[i].holders[j].epoch = 0;
		}
	}
	idx->epochs[endpoint_id] = 1;
}

void prefix_index_remove_endpoint(struct prefix_index *idx, int endpoint_id)
{
	if (!endpoint_id_is_valid(endpoint_id))
		return;
	idx->epochs[endpoint_id]++;
	if (!idx->epochs[endpoint_id])
		epoch_wrap(idx, endpoint_id);
}

int prefix_index_match_count(const struct prefix_index *idx, const struct prefix *p,
			     int endpoint_id)
{
	int n = 0;

	if (!endpoint_id_is_valid(endpoint_id))
		return 0;
	while (n < p->count) {
		struct piece_entry *e = entry_find(idx, p->hashes[n]);

		if (!e || !holder_find(idx, e, endpoint_id))
			break;
		n++;
	}
	return n;
}
