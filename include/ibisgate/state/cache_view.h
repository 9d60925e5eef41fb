#ifndef IBISGATE_STATE_CACHE_VIEW_H
#define IBISGATE_STATE_CACHE_VIEW_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct cache_view - what this instance believes to be in one engine's KV cache
 *
 * Parts of prompts with their sizes, least recently used first out, as the engines do it.
 */
struct cache_view;

/** cache_view_create - @capacity: tokens that fit the engine */
struct cache_view *cache_view_create(int64_t capacity);
void cache_view_destroy(struct cache_view *v);

/**
 * cache_view_use - a part is sent there, or has been read
 * @tokens: its size
 * @ready: it has been read; a part that is ready stays so
 *
 * A part that is only sent will be kept for requests that wait behind the one that brings it, but
 * can't be copied from there yet.
 */
void cache_view_use(struct cache_view *v, uint64_t part, int64_t tokens, bool ready);

/** cache_view_forget_sent - a part that was sent there will not be read after all */
void cache_view_forget_sent(struct cache_view *v, uint64_t part);

/** cache_view_drop - the engine has given a part up */
void cache_view_drop(struct cache_view *v, uint64_t part);

/** cache_view_clear - the engine has started again or its contents are unknown */
void cache_view_clear(struct cache_view *v);

/** cache_view_has - tokens of a part that are kept, or will be; 0 when it is not */
int64_t cache_view_has(const struct cache_view *v, uint64_t part, bool *ready);

#endif
