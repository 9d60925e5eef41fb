#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/str.h"
#include "ibisgate/state/member.h"

#define MEMBERS_MAX 1024
/*
 * Members that are gone are removed after this time. Instances are replaced under new ids, so
 * without a limit heartbeats would go to all former ones.
 */
#define GONE_RETENTION_MS 600000
/* Extra age for members in summaries, which pass two hops with a period each. */
#define INDIRECT_SLACK_MS (MEMBER_SUMMARY_MS + MEMBER_HEARTBEAT_MS)

/** struct slot - entry of the table and of its hash index by id */
struct slot {
	struct member member;
	UT_hash_handle hh;
};

/* Entry 0 is this instance. */
struct member_table {
	int count;
	struct slot *slots[MEMBERS_MAX];
	struct slot *by_id;
};

uint32_t peer_tag(const char *id, uint64_t incarnation)
{
	return (uint32_t)hash_mix(hash_str(str_from(id), 0), incarnation);
}

/* The check for NULL is for the static analyser: an index that contains @s is never empty. */
static void slot_unindex(struct member_table *t, struct slot *s)
{
	if (t->by_id)
		HASH_DEL(t->by_id, s);
}

/* Takes the slot of a member that is gone out of the index for reuse; NULL when there is none. */
static struct slot *slot_reuse(struct member_table *t)
{
	for (int i = 1; i < t->count; i++) {
		if (t->slots[i]->member.state != MEMBER_GONE)
			continue;
		slot_unindex(t, t->slots[i]);
		return t->slots[i];
	}
	return NULL;
}

static struct member *table_add(struct member_table *t, const struct member *m)
{
	struct slot *s;

	if (t->count == MEMBERS_MAX) {
		s = slot_reuse(t);
		if (!s)
			return NULL;
	} else {
		s = mem_zalloc(sizeof(*s));
		t->slots[t->count++] = s;
	}
	s->member = *m;
	HASH_ADD_STR(t->by_id, member.id, s);
	return &s->member;
}

struct member_table *member_table_create(const struct member *self)
{
	struct member_table *t = mem_zalloc(sizeof(*t));
	struct member *m = table_add(t, self);

	m->heard_directly = true;
	m->hears_us = true;
	return t;
}

void member_table_destroy(struct member_table *t)
{
	if (!t)
		return;
	HASH_CLEAR(hh, t->by_id);
	for (int i = 0; i < t->count; i++)
		free(t->slots[i]);
	free(t);
}

static struct member *table_find(const struct member_table *t, const char *id)
{
	struct slot *s;

	HASH_FIND_STR(t->by_id, id, s);
	return s ? &s->member : NULL;
}

const struct member *member_find(const struct member_table *t, const char *id)
{
	return table_find(t, id);
}

static bool is_alive_state(enum member_state s)
{
	return s == MEMBER_JOINING || s == MEMBER_LIVE || s == MEMBER_DRAINING;
}

static bool differs(const struct member *a, const struct member *b)
{
	return a->incarnation != b->incarnation || a->state != b->state ||
	       strcmp(a->dc, b->dc) != 0 || strcmp(a->peer, b->peer) != 0 ||
	       strcmp(a->http, b->http) != 0 || strcmp(a->admin, b->admin) != 0;
}

static int64_t effective_heard_ms(const struct member *m, bool direct, int64_t now_ms)
{
	if (direct || m->last_heard_ms <= 0 || m->last_heard_ms > now_ms)
		return now_ms;
	return m->last_heard_ms;
}

bool member_update(struct member_table *t, const struct member *m, bool direct, int64_t now_ms)
{
	int64_t heard_at_ms = effective_heard_ms(m, direct, now_ms);
	struct member *known = table_find(t, m->id);
	struct member next = *m;
	bool changed;

	next.heard_directly = direct;
	next.last_heard_ms = heard_at_ms;
	if (!known) {
		if (!is_alive_state(m->state))
			return false;
		return table_add(t, &next) != NULL;
	}
	if (known == &t->slots[0]->member && !direct)
		return false;
	if (m->incarnation < known->incarnation)
		return false;
	if (m->incarnation == known->incarnation && !direct) {
		/* A recent direct heartbeat takes precedence over summaries. */
		if (known->heard_directly && now_ms - known->last_heard_ms < MEMBER_SUSPECT_MS)
			return false;
		if (heard_at_ms <= known->last_heard_ms && is_alive_state(known->state))
			return false;
		if (!is_alive_state(m->state) && heard_at_ms <= known->last_heard_ms)
			return false;
	}
	if (!direct)
		next.hears_us = m->incarnation == known->incarnation && known->hears_us;
	if (!direct)
		next.heard_digest = known->heard_digest;
	changed = differs(known, &next);
	*known = next;
	return changed;
}

void member_add_address(struct member_table *t, const char *id, const char *dc, const char *peer,
			int64_t now_ms)
{
	struct member *known = table_find(t, id);
	struct member m = { .state = MEMBER_JOINING, .last_heard_ms = now_ms };

	if (known) {
		if (!known->incarnation)
			known->last_heard_ms = now_ms;
		if (known != &t->slots[0]->member && !known->incarnation && peer[0])
			str_copy(known->peer, sizeof(known->peer), str_from(peer));
		if (!known->dc[0])
			str_copy(known->dc, sizeof(known->dc), str_from(dc));
		return;
	}
	str_copy(m.id, sizeof(m.id), str_from(id));
	str_copy(m.dc, sizeof(m.dc), str_from(dc));
	str_copy(m.peer, sizeof(m.peer), str_from(peer));
	table_add(t, &m);
}

static bool is_expired(const struct member *m, int64_t now_ms)
{
	return (!m->incarnation || m->state == MEMBER_GONE) &&
	       now_ms - m->last_heard_ms > GONE_RETENTION_MS;
}

int member_table_tick(struct member_table *t, int64_t now_ms)
{
	int changed = 0;

	for (int i = 1; i < t->count; i++) {
		struct member *m = &t->slots[i]->member;
		int64_t age =
			now_ms - m->last_heard_ms - (m->heard_directly ? 0 : INDIRECT_SLACK_MS);
		enum member_state state = m->state;

		if (!m->incarnation)
			continue;
		if (age >= MEMBER_GONE_MS)
			state = MEMBER_GONE;
		else if (age >= MEMBER_SUSPECT_MS && is_alive_state(state))
			state = MEMBER_SUSPECT;
		changed += state != m->state;
		m->state = state;
		if (state == MEMBER_GONE)
			m->hears_us = false;
	}
	for (int i = t->count - 1; i > 0; i--) {
		if (!is_expired(&t->slots[i]->member, now_ms))
			continue;
		slot_unindex(t, t->slots[i]);
		free(t->slots[i]);
		t->slots[i] = t->slots[--t->count];
	}
	return changed;
}

int member_count(const struct member_table *t)
{
	return t->count;
}

const struct member *member_at(const struct member_table *t, int i)
{
	return i >= 0 && i < t->count ? &t->slots[i]->member : NULL;
}

static bool is_serving(const struct member *m)
{
	return m->state == MEMBER_LIVE || m->state == MEMBER_DRAINING;
}

int member_count_live(const struct member_table *t, const char *dc)
{
	int n = 0;

	for (int i = 0; i < t->count; i++)
		n += is_serving(&t->slots[i]->member) &&
		     (!dc || strcmp(t->slots[i]->member.dc, dc) == 0);
	return n;
}

const struct member *member_find_delegate(const struct member_table *t, const char *dc)
{
	const struct member *best = NULL;

	for (int i = 0; i < t->count; i++) {
		const struct member *m = &t->slots[i]->member;

		if (is_serving(m) && strcmp(m->dc, dc) == 0 &&
		    (!best || strcmp(m->id, best->id) < 0))
			best = m;
	}
	return best;
}

bool member_is_heartbeat_target(const struct member_table *t, const struct member *m)
{
	const struct member *self = &t->slots[0]->member;

	if (strcmp(m->id, self->id) == 0 || !m->peer[0])
		return false;
	if (strcmp(m->dc, self->dc) == 0 || !m->incarnation)
		return true;
	if (member_find_delegate(t, self->dc) != self)
		return false;
	return m->state == MEMBER_GONE || m->state == MEMBER_SUSPECT ||
	       member_find_delegate(t, m->dc) == m;
}
