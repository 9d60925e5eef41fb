#include <string.h>

#include "ibisgate/state/config_spread.h"

/*
 * Time beyond the feed's interval for the store's answer, in milliseconds. All instances that the
 * store serves have a version within both, so nothing is sent while it does.
 */
#define SPREAD_MARGIN_MS 500

/*
 * Upper limit of that delay as a share of the time in which a change must be in force. The rest is
 * for the sender's own feed (at most 0.35 of it) and the reports by which it learns who is behind.
 */
#define SPREAD_DELAY_MAX_SHARE 0.45

/* What each further instance waits for the one before it to have sent, in milliseconds. */
#define SPREAD_RANK_MS 500

/* Time until the configuration is sent to the same instance again, in milliseconds. */
#define SPREAD_REPEAT_MS 1000

/* Bytes a second that one instance sends: 1 MiB is a third of the slowest link in use. */
#define SPREAD_BYTES_PER_S (1 << 20)

void config_history_add(struct config_history *h, int64_t version, int64_t at_ms)
{
	if (h->count == CONFIG_HISTORY_MAX)
		memmove(&h->items[0], &h->items[1], sizeof(h->items[0]) * --h->count);
	h->items[h->count].version = version;
	h->items[h->count++].at_ms = at_ms;
}

int64_t config_history_behind_since(const struct config_history *h, int64_t version)
{
	for (int i = 0; i < h->count; i++) {
		if (h->items[i].version > version)
			return h->items[i].at_ms;
	}
	return -1;
}

int64_t config_spread_delay_ms(int64_t feed_interval_ms, int64_t change_ms)
{
	int64_t delay_ms = feed_interval_ms + SPREAD_MARGIN_MS;
	int64_t max_ms = (int64_t)(SPREAD_DELAY_MAX_SHARE * (double)change_ms);

	return delay_ms < max_ms ? delay_ms : max_ms;
}

bool config_spread_is_due(const struct config_spread_view *v, int64_t now_ms)
{
	int64_t due_ms =
		v->behind_since_ms + config_spread_delay_ms(v->feed_interval_ms, v->change_ms);

	/* All senders have waited for one that is heard again after a cut; they still take turns.
	 */
	if (due_ms < v->seen_ms)
		due_ms = v->seen_ms;
	if (v->behind_since_ms < 0 || now_ms < due_ms + (int64_t)v->rank * SPREAD_RANK_MS)
		return false;
	return now_ms >= v->free_ms && (!v->sent_ms || now_ms - v->sent_ms >= SPREAD_REPEAT_MS);
}

int64_t config_spread_free_ms(size_t bytes, int64_t now_ms)
{
	return now_ms + (int64_t)bytes * 1000 / SPREAD_BYTES_PER_S;
}
