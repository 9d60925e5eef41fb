#ifndef IBISGATE_POLICY_CACHE_TURN_H
#define IBISGATE_POLICY_CACHE_TURN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Which instance of a data centre reads what an engine has cached, and tells the others.
 *
 * Load: all instances are restarted while callers wait and the engines keep their caches. Each
 * instance reading every engine takes seconds of a small machine's link, which callers need.
 */

/**
 * cache_turn_due_ms - when an instance reads an engine unless it was told by then
 * @rank: number of instances that come before it for the engine, see hash_rank()
 * @unknown_since_ms: since when it doesn't know what the engine has cached
 *
 * Return: time in milliseconds.
 */
int64_t cache_turn_due_ms(int rank, int64_t unknown_since_ms);

/**
 * cache_turn_calls_max - number of engines that an instance reads at the same time
 * @link_mbps: bandwidth of the machine's link in Mbit/s; 0 when not limited
 * @any_unknown: engines are to be read for the first time; later answers are short
 */
int cache_turn_calls_max(double link_mbps, bool any_unknown);

/**
 * struct cache_origin - where the cache of an engine comes from
 * @process_start_ms: when the engine's process started, Unix time in milliseconds; 0 if not known
 * @instance_start_ms: when this instance started, Unix time in milliseconds
 * @in_first_list: the engine was in the first list of endpoints that this instance read
 * @replaced: its process, or its epoch, came after one that this instance has known
 */
struct cache_origin {
	int64_t process_start_ms;
	int64_t instance_start_ms;
	bool in_first_list;
	bool replaced;
};

/**
 * cache_turn_expects_cache - whether an engine whose cache isn't known may have one from before
 * this instance started
 * @uptime_ms: time since this instance started
 *
 * An engine that doesn't tell what it has cached is soon taken as empty.
 */
bool cache_turn_expects_cache(const struct cache_origin *o, int64_t uptime_ms);

#endif
