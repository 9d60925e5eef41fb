#include "ibisgate/policy/cache_turn.h"

/*
 * Time in which an instance reads an engine and tells the others, in milliseconds, and number of
 * instances that get it. Further ones follow each other sooner: an instance that was restarted
 * alone is told nothing, as the others know the engines.
 */
#define TURN_MS 300
#define TURNS_MAX 3
#define LATE_TURN_MS 20

/* Maximum number of engines read at the same time; each response may carry thousands of events. */
#define CALLS_MAX 6

/*
 * Bandwidth in Mbit/s for each engine that is read for the first time; a response of 100 KB takes a
 * tenth of a second.
 */
#define CALL_MBPS 10.0

/* Time from a start within which the caches of engines are read, in milliseconds. */
#define START_MS 8000

int64_t cache_turn_due_ms(int rank, int64_t unknown_since_ms)
{
	int turns = rank < TURNS_MAX ? rank : TURNS_MAX;

	return unknown_since_ms + (int64_t)turns * TURN_MS + (int64_t)(rank - turns) * LATE_TURN_MS;
}

int cache_turn_calls_max(double link_mbps, bool any_unknown)
{
	if (!any_unknown || link_mbps <= 0 || link_mbps >= CALLS_MAX * CALL_MBPS)
		return CALLS_MAX;
	return link_mbps < CALL_MBPS ? 1 : (int)(link_mbps / CALL_MBPS);
}

bool cache_turn_expects_cache(const struct cache_origin *o, int64_t uptime_ms)
{
	if (o->replaced || uptime_ms >= START_MS)
		return false;
	return o->process_start_ms > 0 ? o->process_start_ms < o->instance_start_ms
				       : o->in_first_list;
}
