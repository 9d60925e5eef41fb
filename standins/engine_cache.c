#include <inttypes.h>
#include <stdio.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/standins/engine.h"

int engine_pieces_hash(struct str prompt, uint64_t salt, uint64_t out[ENGINE_PIECES_MAX])
{
	int n = 0;
	uint64_t h = salt;

	while (n < ENGINE_PIECES_MAX && prompt.len >= ENGINE_PIECE_BYTES) {
		h = hash_str((struct str){ prompt.data, ENGINE_PIECE_BYTES }, h);
		out[n++] = h;
		prompt.data += ENGINE_PIECE_BYTES;
		prompt.len -= ENGINE_PIECE_BYTES;
	}
	return n;
}

static int cache_find(const struct engine_cache *c, uint64_t hash)
{
	for (int i = 0; i < c->count; i++) {
		if (c->pieces[i].hash == hash)
			return i;
	}
	return -1;
}

static void cache_event(struct engine *e, uint64_t piece, bool stored)
{
	struct engine_cache *c = &e->cache;
	int64_t seq = ++c->next_seq;

	/* A lost event still consumes a sequence number, so that readers can detect the gap. */
	if (random_chance(e->opt.cache_event_loss))
		return;
	c->events[c->event_count++ % ENGINE_EVENTS_MAX] = (struct cache_event){
		.seq = seq,
		.at_us = mono_now_us(),
		.piece = piece,
		.stored = stored,
	};
}

int engine_cache_match(struct engine *e, const struct seq *s)
{
	int n = 0;

	while (n < s->piece_count) {
		int i = cache_find(&e->cache, s->pieces[n]);

		if (i < 0)
			break;
		e->cache.pieces[i].last_used = ++e->cache.use_counter;
		n++;
	}
	return n;
}

static int cache_evict(struct engine *e)
{
	struct engine_cache *c = &e->cache;
	int oldest = 0;

	for (int i = 1; i < c->count; i++) {
		if (c->pieces[i].last_used < c->pieces[oldest].last_used)
			oldest = i;
	}
	cache_event(e, c->pieces[oldest].hash, false);
	return oldest;
}

void engine_cache_store(struct engine *e, const struct seq *s)
{
	struct engine_cache *c = &e->cache;

	for (int i = 0; i < s->piece_count && c->capacity > 0; i++) {
		int slot = cache_find(c, s->pieces[i]);

		if (slot < 0) {
			slot = c->count < c->capacity ? c->count++ : cache_evict(e);
			c->pieces[slot].hash = s->pieces[i];
			cache_event(e, s->pieces[i], true);
		}
		c->pieces[slot].last_used = ++c->use_counter;
	}
}

void engine_cache_clear(struct engine *e)
{
	for (int i = 0; i < e->cache.count; i++)
		cache_event(e, e->cache.pieces[i].hash, false);
	e->cache.count = 0;
}

json_t *engine_cache_events(struct engine *e, int64_t after)
{
	const struct engine_cache *c = &e->cache;
	int64_t visible = mono_now_us() - e->opt.cache_event_lag_ms * 1000;
	int64_t first = c->event_count > ENGINE_EVENTS_MAX ? c->event_count - ENGINE_EVENTS_MAX : 0;
	json_t *list = json_array();
	int64_t next = after;

	for (int64_t i = first; i < c->event_count; i++) {
		const struct cache_event *ev = &c->events[i % ENGINE_EVENTS_MAX];
		char hex[17];

		if (ev->at_us > visible)
			break;
		if (ev->seq <= after)
			continue;
		snprintf(hex, sizeof(hex), "%016" PRIx64, ev->piece);
		json_array_append_new(list,
				      json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)ev->seq, "op",
						ev->stored ? "stored" : "evicted", "piece", hex));
		next = ev->seq;
	}
	return json_pack("{s:s,s:I,s:o}", "boot_id", e->boot_id, "next", (json_int_t)next, "events",
			 list);
}
