#ifndef IBISGATE_STATE_FEED_TURN_H
#define IBISGATE_STATE_FEED_TURN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Which instances of a data centre follow the store's changes of endpoints, and which are told.
 *
 * Load: many instances while endpoints come and go all the time. Each of them asking the store
 * again after each change takes most of the calls to it.
 */

/**
 * struct feed_turn - an instance of a data centre, as seen now
 * @rank: number of live instances of the data centre that come before it, in an order that all of
 *	  them agree on
 * @instances: live instances of the data centre that it hears, including itself
 * @lost_ms: when one that follows the changes last said that it doesn't reach the store; 0 if none
 *	     has
 * @first_ms: when it was last one of those that come first; 0 if never
 * @busy: it has not read the whole table yet, or its own last request failed
 */
struct feed_turn {
	int rank;
	int instances;
	int64_t lost_ms;
	int64_t first_ms;
	bool busy;
};

/** feed_turn_applies - whether there are enough instances for some to be told */
bool feed_turn_applies(const struct feed_turn *t);

/** feed_turn_is_first - whether the instance is one of those that are to tell the others */
bool feed_turn_is_first(const struct feed_turn *t);

/**
 * feed_turn_tells - whether the instance tells the others
 *
 * It goes on for a while after others come before it: they may still be starting.
 */
bool feed_turn_tells(const struct feed_turn *t, int64_t now_ms);

/** feed_turn_store_is_lost - whether another instance has said so lately */
bool feed_turn_store_is_lost(const struct feed_turn *t, int64_t now_ms);

/** feed_turn_follows - whether the instance waits for changes at the store itself */
bool feed_turn_follows(const struct feed_turn *t, int64_t now_ms);

/**
 * feed_turn_due_ms - when an instance that is told asks the store all the same, in milliseconds
 * @asked_ms: when the store last answered it
 * @behind_since_ms: since when it lacks changes that others have; 0 when it lacks none
 * @behind_max_ms: how long it waits to be told those
 */
int64_t feed_turn_due_ms(int64_t asked_ms, int64_t behind_since_ms, int64_t behind_max_ms);

#endif
