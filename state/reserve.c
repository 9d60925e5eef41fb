#include <string.h>

#include "ibisgate/state/reserve.h"

static struct reserve_member *reserve_member_find(struct reserve *r, uint64_t key)
{
	for (int i = 0; i < r->member_count; i++) {
		if (r->members[i].key == key)
			return &r->members[i];
	}
	return NULL;
}

static bool is_confirmed(const struct reserve *r, const struct reserve_member *m, int64_t now_ms)
{
	return now_ms < m->until_ms && (m->in_flight == 0 || (r->shared && m->in_flight > 0));
}

static bool all_confirmed(const struct reserve *r, int64_t now_ms)
{
	for (int i = 0; i < r->member_count; i++) {
		if (!is_confirmed(r, &r->members[i], now_ms))
			return false;
	}
	return !r->overflow;
}

static void try_grant(struct reserve *r, int64_t now_ms)
{
	if (r->phase == RESERVE_REQUESTED && all_confirmed(r, now_ms))
		r->phase = RESERVE_GRANTED;
}

/*
 * The records at the other instances may have ended by now, and they may have used the engine. A
 * later renewal can't undo that, so an expired reservation never becomes valid again.
 */
static void expire(struct reserve *r, int64_t now_ms)
{
	for (int i = 0; r->phase == RESERVE_GRANTED && i < r->member_count; i++) {
		if (r->members[i].in_flight >= 0 && now_ms >= r->members[i].until_ms)
			r->phase = RESERVE_EXPIRED;
	}
}

void reserve_begin(struct reserve *r, bool shared, const uint64_t *members, int count,
		   int64_t now_ms)
{
	r->phase = RESERVE_REQUESTED;
	r->shared = shared;
	r->overflow = false;
	r->round = 1;
	r->sent_ms = now_ms;
	r->resend_ms = now_ms;
	r->member_count = 0;
	reserve_set_members(r, members, count, now_ms);
}

static bool contains_key(const uint64_t *members, int count, uint64_t key)
{
	for (int i = 0; i < count; i++) {
		if (members[i] == key)
			return true;
	}
	return false;
}

void reserve_set_members(struct reserve *r, const uint64_t *members, int count, int64_t now_ms)
{
	int n = 0;

	expire(r, now_ms);
	for (int i = 0; i < r->member_count; i++) {
		if (contains_key(members, count, r->members[i].key))
			r->members[n++] = r->members[i];
	}
	r->member_count = n;
	r->overflow = false;
	for (int i = 0; i < count; i++) {
		if (reserve_member_find(r, members[i]))
			continue;
		if (r->member_count == RESERVE_MEMBERS_MAX) {
			r->overflow = true;
			break;
		}
		r->members[r->member_count++] =
			(struct reserve_member){ .key = members[i], .in_flight = -1 };
	}
	try_grant(r, now_ms);
}

void reserve_confirm(struct reserve *r, uint64_t member, uint32_t round, enum reserve_answer answer,
		     int in_flight, int64_t now_ms)
{
	struct reserve_member *m = reserve_member_find(r, member);

	expire(r, now_ms);
	if (!m || (r->phase != RESERVE_REQUESTED && r->phase != RESERVE_GRANTED))
		return;
	/* The holder has to use another engine, unless this is the last one of its role. */
	if (answer == RESERVE_REFUSED || (answer != RESERVE_CONFIRMED && !r->shared)) {
		r->phase = RESERVE_LOST;
		return;
	}
	if (round != r->round)
		return;
	m->in_flight = in_flight;
	/* Counted from before the request was sent, so that it ends here before it ends there. */
	m->until_ms = r->sent_ms + RESERVE_TERM_MS;
	try_grant(r, now_ms);
}

void reserve_preempt(struct reserve *r)
{
	if (r->phase == RESERVE_REQUESTED || r->phase == RESERVE_GRANTED)
		r->phase = RESERVE_LOST;
}

void reserve_release(struct reserve *r)
{
	r->phase = RESERVE_RELEASED;
}

static bool is_round_complete(const struct reserve *r)
{
	for (int i = 0; i < r->member_count; i++) {
		const struct reserve_member *m = &r->members[i];

		if (m->in_flight < 0 || m->until_ms != r->sent_ms + RESERVE_TERM_MS)
			return false;
	}
	return true;
}

bool reserve_tick(struct reserve *r, int64_t now_ms)
{
	expire(r, now_ms);
	try_grant(r, now_ms);
	if (r->phase != RESERVE_REQUESTED && r->phase != RESERVE_GRANTED)
		return false;
	if (now_ms - r->sent_ms >= RESERVE_RENEW_MS) {
		r->round++;
		r->sent_ms = now_ms;
	} else if (now_ms - r->resend_ms < RESERVE_RESEND_MS || is_round_complete(r)) {
		return false;
	}
	r->resend_ms = now_ms;
	return true;
}

bool reserve_is_held(const struct reserve *r, int64_t now_ms)
{
	return r->phase == RESERVE_GRANTED && all_confirmed(r, now_ms);
}

bool reserve_entry_is_live(const struct reserve_entry *m, int64_t now_ms)
{
	return m->holder[0] && now_ms < m->until_ms;
}

bool reserve_entry_precedes(const struct reserve_entry *a, const struct reserve_entry *b)
{
	if (a->stamp != b->stamp)
		return a->stamp < b->stamp;
	return strcmp(a->holder, b->holder) < 0;
}

bool reserve_entry_offer(struct reserve_entry *m, const struct reserve_entry *offer,
			 struct reserve_entry *displaced, int64_t now_ms)
{
	bool same = strcmp(m->token, offer->token) == 0 && strcmp(m->holder, offer->holder) == 0;

	*displaced = (struct reserve_entry){ 0 };
	if (reserve_entry_is_live(m, now_ms) && !same) {
		if (m->granted || !reserve_entry_precedes(offer, m))
			return false;
		*displaced = *m;
	}
	*m = *offer;
	return true;
}
