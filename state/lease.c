#include <stdio.h>
#include <string.h>

#include "ibisgate/state/lease.h"
#include "ibisgate/state/store_era.h"

void lease_init(struct lease *l, const char *self, uint64_t incarnation)
{
	*l = (struct lease){ .phase = LEASE_FOLLOWING,
			     .incarnation = incarnation,
			     .term_ms = LEASE_TERM_MS };
	snprintf(l->self, sizeof(l->self), "%s", self);
}

void lease_set_turn(struct lease *l, int64_t turn_ms, int64_t term_ms)
{
	l->turn_ms = turn_ms;
	l->term_ms = term_ms;
}

static bool row_is_ours(const struct lease *l, const struct lease_row *row)
{
	return strcmp(row->holder, l->self) == 0 && row->incarnation == l->incarnation;
}

static void reset_to_following(struct lease *l)
{
	l->phase = LEASE_FOLLOWING;
	l->fencing = 0;
	l->valid_until_ms = 0;
	l->rewrites = false;
}

static struct lease_action begin_write(struct lease *l, const char *holder, const char *token,
				       int64_t now_ms)
{
	struct lease_action a = {
		.kind = LEASE_DO_WRITE,
		.if_version = l->last_row.version,
		.row.incarnation = l->incarnation,
		.row.era = l->era,
	};

	snprintf(a.row.holder, sizeof(a.row.holder), "%s", holder);
	snprintf(a.row.token, sizeof(a.row.token), "%s", token);
	snprintf(l->sent_token, sizeof(l->sent_token), "%s", token);
	l->sent_ms = now_ms;
	l->sent_era = l->era;
	if (!l->fencing)
		l->acts_from_ms = l->last_row.version && !l->last_row.holder[0]
					  ? now_ms + l->turn_ms
					  : now_ms;
	l->phase = LEASE_WRITING;
	return a;
}

/*
 * A released lease or one that this same process holds can be acquired at once. Otherwise the row
 * must not have changed for a whole term. So must one that was written in a former era: that write
 * may have come late, over the row of a holder of this era.
 */
static bool may_acquire(const struct lease *l, int64_t now_ms)
{
	const struct lease_row *row = &l->last_row;

	if (now_ms < l->acquire_from_ms)
		return false;
	if (now_ms - l->row_changed_ms >= l->term_ms)
		return true;
	return (!row->version || row->era == l->era) && (!row->holder[0] || row_is_ours(l, row));
}

struct lease_action lease_next_action(struct lease *l, bool eligible, const char *token,
				      int64_t now_ms)
{
	if (l->phase == LEASE_HELD && now_ms >= l->valid_until_ms)
		reset_to_following(l);
	switch (l->phase) {
	case LEASE_WRITING:
		break;
	case LEASE_UNCERTAIN:
		return (struct lease_action){ .kind = LEASE_DO_READ };
	case LEASE_HELD:
		if (eligible &&
		    (l->rewrites || now_ms >= l->valid_until_ms - l->term_ms + LEASE_RENEW_MS))
			return begin_write(l, l->self, token, now_ms);
		break;
	case LEASE_FOLLOWING:
		if (eligible && l->row_known && may_acquire(l, now_ms))
			return begin_write(l, l->self, token, now_ms);
		return (struct lease_action){ .kind = LEASE_DO_READ };
	}
	return (struct lease_action){ .kind = LEASE_DO_NOTHING };
}

static void row_observe(struct lease *l, const struct lease_row *row, int64_t now_ms)
{
	if (!l->row_known || l->last_row.version != row->version)
		l->row_changed_ms = now_ms;
	l->last_row = *row;
	l->row_known = true;
}

static void row_observe_absent(struct lease *l, int64_t now_ms)
{
	if (!l->row_known || l->last_row.version != 0)
		l->row_changed_ms = now_ms;
	/* The last holder is kept: its term has to end even if the row was deleted. */
	l->last_row.version = 0;
	l->row_known = true;
}

static void write_confirmed(struct lease *l, const struct lease_row *row, int64_t now_ms)
{
	row_observe(l, row, now_ms);
	if (!row_is_ours(l, row)) {
		reset_to_following(l);
		return;
	}
	if (!l->fencing)
		l->fencing = row->version;
	l->valid_until_ms = l->sent_ms + l->term_ms;
	l->phase = LEASE_HELD;
	l->rewrites = false;
}

/*
 * The write had no effect or was superseded. A lease that this instance still holds is kept; it
 * can't be renewed without the version of the row.
 */
static void write_abandoned(struct lease *l)
{
	if (l->fencing && (l->rewrites || row_is_ours(l, &l->last_row)))
		l->phase = l->row_known ? LEASE_HELD : LEASE_UNCERTAIN;
	else
		reset_to_following(l);
}

/*
 * Whether a write may have taken effect in a later era than the row was read in, where its
 * condition means nothing.
 */
static bool write_is_outdated(const struct lease *l, enum lease_result result)
{
	return l->phase == LEASE_WRITING && l->sent_era != l->era && result != LEASE_WRITE_NOT_SENT;
}

void lease_handle_result(struct lease *l, enum lease_result result, const struct lease_row *row,
			 int64_t now_ms)
{
	if (write_is_outdated(l, result)) {
		l->row_known = false;
		write_abandoned(l);
		return;
	}
	switch (result) {
	case LEASE_WRITE_OK:
		write_confirmed(l, row, now_ms);
		break;
	case LEASE_WRITE_CONFLICT:
		l->rewrites = false;
		if (row)
			row_observe(l, row, now_ms);
		else
			l->row_known = false;
		write_abandoned(l);
		break;
	case LEASE_WRITE_UNCERTAIN:
		l->phase = LEASE_UNCERTAIN;
		break;
	case LEASE_WRITE_NOT_SENT:
		write_abandoned(l);
		break;
	case LEASE_READ_OK:
		/* A write from before the era may have met its condition by chance. */
		if (l->phase == LEASE_UNCERTAIN && !l->rewrites &&
		    strcmp(row->token, l->sent_token) == 0) {
			write_confirmed(l, row, now_ms);
			break;
		}
		row_observe(l, row, now_ms);
		if (l->phase != LEASE_FOLLOWING)
			write_abandoned(l);
		break;
	case LEASE_READ_NONE:
		row_observe_absent(l, now_ms);
		if (l->phase != LEASE_FOLLOWING && l->rewrites)
			write_abandoned(l);
		else if (l->phase != LEASE_FOLLOWING)
			reset_to_following(l);
		break;
	case LEASE_READ_FAILED:
		break;
	}
}

void lease_era_began(struct lease *l, int64_t era, int64_t since_ms, int64_t now_ms)
{
	l->era = era;
	l->acquire_from_ms = since_ms + l->term_ms;
	l->row_known = false;
	if (l->fencing && now_ms < l->valid_until_ms) {
		l->rewrites = true;
		if (l->phase == LEASE_HELD)
			l->phase = LEASE_UNCERTAIN;
	} else if (l->phase != LEASE_WRITING) {
		reset_to_following(l);
	}
}

void lease_note_version(struct lease *l, const char *holder, int64_t version, int64_t now_ms)
{
	struct lease_row row = { .version = version };

	if (l->phase != LEASE_FOLLOWING || version <= l->last_row.version ||
	    store_version_era(version) < l->era)
		return;
	snprintf(row.holder, sizeof(row.holder), "%s", holder);
	row_observe(l, &row, now_ms);
}

bool lease_is_held(const struct lease *l, int64_t now_ms)
{
	return l->fencing && now_ms < l->valid_until_ms;
}

bool lease_may_act(const struct lease *l, int64_t margin_ms, int64_t now_ms)
{
	return now_ms >= l->acts_from_ms && lease_is_held(l, now_ms + margin_ms);
}

bool lease_is_held_with(const struct lease *l, int64_t fencing, int64_t now_ms)
{
	return lease_is_held(l, now_ms) && l->fencing == fencing;
}

bool lease_release(struct lease *l, const char *token, int64_t now_ms, struct lease_action *out)
{
	bool held = l->phase == LEASE_HELD && lease_is_held(l, now_ms);

	l->fencing = 0;
	l->valid_until_ms = 0;
	if (held)
		*out = begin_write(l, "", token, now_ms);
	return held;
}
