#include "ibisgate/state/feed_turn.h"

/* Instances of a data centre from which on some are told. */
#define INSTANCES_MIN 8

/* Instances that tell the others; one of them may be about to end. */
#define TELLERS 2

/* How long one goes on telling after others come before it, in milliseconds. */
#define LAST_TURN_MS 3000

/*
 * How long all follow the changes after one that does has lost the store, in milliseconds. It
 * repeats this after each failure, 2.5 s later at most.
 */
#define LOST_MS 3000

/* Time after which an instance that is told asks the store, in milliseconds. */
#define CHECK_MS 20000

bool feed_turn_applies(const struct feed_turn *t)
{
	return t->instances >= INSTANCES_MIN;
}

bool feed_turn_is_first(const struct feed_turn *t)
{
	return feed_turn_applies(t) && t->rank < TELLERS;
}

bool feed_turn_tells(const struct feed_turn *t, int64_t now_ms)
{
	return feed_turn_is_first(t) ||
	       (feed_turn_applies(t) && t->first_ms && now_ms - t->first_ms < LAST_TURN_MS);
}

bool feed_turn_store_is_lost(const struct feed_turn *t, int64_t now_ms)
{
	return t->lost_ms && now_ms - t->lost_ms < LOST_MS;
}

bool feed_turn_follows(const struct feed_turn *t, int64_t now_ms)
{
	return t->busy || !feed_turn_applies(t) || feed_turn_tells(t, now_ms) ||
	       feed_turn_store_is_lost(t, now_ms);
}

int64_t feed_turn_due_ms(int64_t asked_ms, int64_t behind_since_ms, int64_t behind_max_ms)
{
	int64_t check_ms = asked_ms + CHECK_MS;
	int64_t behind_ms = behind_since_ms + behind_max_ms;

	return behind_since_ms && behind_ms < check_ms ? behind_ms : check_ms;
}
