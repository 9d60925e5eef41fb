#ifndef IBISGATE_STATE_CONFIG_SPREAD_H
#define IBISGATE_STATE_CONFIG_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * When an instance passes its configuration on to another one that has an older version.
 *
 * Load: the store is down, silent or busy for some instances only, while the operator withdraws
 * keys or moves routes. Without this, those instances act on the older version until the store is
 * back, though they hear others that have the newer one.
 */

#define CONFIG_HISTORY_MAX 16

/**
 * struct config_history - the newest versions that this instance has had, in order
 * @at_ms: when each came into force, or earlier for one that is passed on at once
 */
struct config_history {
	struct {
		int64_t version;
		int64_t at_ms;
	} items[CONFIG_HISTORY_MAX];
	int count;
};

/** config_history_add - record that @version, which is newer than all before, is in force */
void config_history_add(struct config_history *h, int64_t version, int64_t at_ms);

/**
 * config_history_behind_since - since when an instance with @version lacks a newer one, in
 * milliseconds; -1 when it lacks none
 *
 * Versions may follow each other faster than they are passed on, so the oldest one that it lacks
 * counts.
 */
int64_t config_history_behind_since(const struct config_history *h, int64_t version);

/**
 * struct config_spread_view - an instance that has an older version, as seen now
 * @behind_since_ms: see config_history_behind_since()
 * @seen_ms: since when this instance hears from it without a break, and finds it behind
 * @sent_ms: when this instance last sent it a configuration; 0 if never
 * @free_ms: when this instance may send the next configuration to any instance
 * @feed_interval_ms: longest time between two requests for changes to the store
 * @change_ms: time in which a change must be in force on all instances
 * @rank: number of instances that come before this one in sending it
 */
struct config_spread_view {
	int64_t behind_since_ms;
	int64_t seen_ms;
	int64_t sent_ms;
	int64_t free_ms;
	int64_t feed_interval_ms;
	int64_t change_ms;
	int rank;
};

/**
 * config_spread_delay_ms - time that the store has to bring a version to all instances before any
 * is sent one, in milliseconds
 */
int64_t config_spread_delay_ms(int64_t feed_interval_ms, int64_t change_ms);

/** config_spread_is_due - whether to send the configuration now */
bool config_spread_is_due(const struct config_spread_view *v, int64_t now_ms);

/** config_spread_free_ms - when the next configuration may be sent after one of @bytes */
int64_t config_spread_free_ms(size_t bytes, int64_t now_ms);

#endif
