#ifndef IBISGATE_STATE_CACHE_VIEW_H
#define IBISGATE_STATE_CACHE_VIEW_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct cache_view - this instance's model of the contents of one engine's KV cache
 *
 * Holds parts of prompts with their sizes in tokens. Evicts the least recently used part first, as
 * the engines do.
 */
struct cache_view;

/** cache_view_create - @capacity_tokens: tokens that fit the engine's KV cache */
struct cache_view *cache_view_create(int64_t capacity_tokens);
void cache_view_destroy(struct cache_view *v);

/**
 * cache_view_record - record that a part was sent to the engine, or that the engine has processed
 * it
 * @part: id of the part
 * @tokens: size of the part
 * @ready: the engine has processed the part; a part that is ready stays ready
 *
 * Requests queued behind the one that carries a part can reuse the part, so it counts as cached
 * from the time it is sent. It can't be copied to another engine until it is ready.
 */
void cache_view_record(struct cache_view *v, uint64_t part, int64_t tokens, bool ready);

/** cache_view_cancel_sent - remove a part that was sent but will not be processed */
void cache_view_cancel_sent(struct cache_view *v, uint64_t part);

/** cache_view_remove - remove a part that the engine has evicted */
void cache_view_remove(struct cache_view *v, uint64_t part);

/** cache_view_clear - remove all parts: the engine restarted or its contents are unknown */
void cache_view_clear(struct cache_view *v);

/**
 * cache_view_cached_tokens - look up a part
 * @ready: out: the engine has processed the part
 *
 * Return: size of the part in tokens if it is cached or on its way there, else 0.
 */
int64_t cache_view_cached_tokens(const struct cache_view *v, uint64_t part, bool *ready);

/** struct cached_part - part of a prompt and its size in tokens */
struct cached_part {
	uint64_t part;
	int64_t tokens;
};

/**
 * cache_view_list - list the parts that the engine has processed, without those whose number of
 * tokens cached_parts_decode() refuses
 * @max: number of parts that @out holds; the least recently used ones are left out
 *
 * Return: number of parts in @out, least recently used first.
 */
int cache_view_list(const struct cache_view *v, struct cached_part *out, int max);

/**
 * cache_view_take_list - take over a list of the parts that the engine has processed
 * @parts: least recently used first
 * @partly_read: parts of an earlier list are there, of which the engine may have dropped some, so
 *   that only those stay that were sent and not processed yet
 *
 * What is there is newer than the list, so the parts that don't fit beside it are left out.
 */
void cache_view_take_list(struct cache_view *v, const struct cached_part *parts, int count,
			  bool partly_read);

/**
 * cached_parts_decode - read pairs of a part and its tokens, as instances report them
 * @count: number of values
 * @max: number of parts that @out holds
 *
 * Return: number of parts in @out; -1 when one has no tokens or more than any part has, or when
 * there are more than @max.
 */
int cached_parts_decode(const uint64_t *values, int count, struct cached_part *out, int max);

#endif
