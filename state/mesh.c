#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/mesh.h"

/*
 * Members that another delegate has told of are told on for this time, in milliseconds: long
 * enough to hear of all in turn, short enough to forget an instance that nobody hears any more.
 */
#define LISTED_FRESH_MS 10000

/* Pause between two attempts to reach a member that is gone, in milliseconds. */
#define PROBE_MS 1000

/* Instances of a data centre from which nobody is heard that are tried at the same time. */
#define PROBES_FAR 2

/**
 * struct mesh - see mesh.h
 * @large: there are or were @large_from instances
 * @flat: all tell each other all the same
 * @tell_turn: where in the table the next message goes on with the members that it tells of
 * @probe_turn: the same for members to probe, near ones and far ones
 * @probed_ms: when one of either was probed last
 * @dcs: the other data centres, as delegates told last
 */
struct mesh {
	struct member_table *members;
	int large_from;
	bool large;
	bool flat;
	unsigned int tell_turn;
	unsigned int probe_turn[2];
	int64_t probed_ms[2];
	int dc_count;
	struct mesh_dc dcs[MESH_DCS_MAX];
};

struct mesh *mesh_create(const struct member *self, int large_from)
{
	struct mesh *m = mem_zalloc(sizeof(*m));

	m->members = member_table_create(self);
	m->large_from = large_from;
	return m;
}

void mesh_destroy(struct mesh *m)
{
	if (!m)
		return;
	member_table_destroy(m->members);
	free(m);
}

const struct member_table *mesh_members(const struct mesh *m)
{
	return m->members;
}

static const struct member *self_of(const struct mesh *m)
{
	return member_at(m->members, 0);
}

void mesh_keep_flat(struct mesh *m, bool flat)
{
	m->flat = flat;
}

bool mesh_is_large(const struct mesh *m)
{
	return m->large && !m->flat;
}

bool mesh_is_far(const struct mesh *m, const struct member *other)
{
	return other->dc[0] && strcmp(other->dc, self_of(m)->dc) != 0;
}

bool mesh_delegate(const struct mesh *m)
{
	return mesh_is_large(m) && member_delegate(m->members, self_of(m)->dc) == self_of(m);
}

bool mesh_speaks_for_dc(const struct mesh *m, const char *id)
{
	const struct member *other = member_find(m->members, id);

	return other && member_delegate(m->members, other->dc) == other;
}

static bool is_live(const struct member *other)
{
	return other->incarnation && other->state == MEMBER_LIVE;
}

int mesh_near(const struct mesh *m)
{
	int n = 1;

	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		n += is_live(other) && !mesh_is_far(m, other);
	}
	return n;
}

int mesh_total(const struct mesh *m)
{
	int told = mesh_near(m);
	int heard = member_live(m->members, NULL);

	for (int i = 0; i < m->dc_count; i++)
		told += (int)m->dcs[i].instances;
	return mesh_is_large(m) && told > heard ? told : heard;
}

bool mesh_first(const struct mesh *m)
{
	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		if (is_live(other) && strcmp(other->id, self_of(m)->id) < 0)
			return false;
	}
	return true;
}

/* Known by an address alone. */
static bool is_seed(const struct member *other)
{
	return !other->incarnation && !other->dc[0];
}

/* Known by address under some name, and heard under its own one. */
static bool address_heard(const struct mesh *m, const struct member *seed)
{
	for (int i = 0; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		if (other != seed && other->incarnation && other->state != MEMBER_GONE &&
		    strcmp(other->peer, seed->peer) == 0)
			return true;
	}
	return false;
}

static int count_known(const struct mesh *m)
{
	int n = 1;

	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		n += other->dc[0] && other->state != MEMBER_GONE;
	}
	return n;
}

void mesh_seed(struct mesh *m, const char *name, const char *peer, int64_t now_ms)
{
	if (strcmp(peer, self_of(m)->peer) != 0)
		member_listed(m->members, name, "", peer, now_ms);
}

void mesh_tick(struct mesh *m, int64_t now_ms)
{
	member_tick(m->members, now_ms);
	/* Instances that are only known count: all start together, and each would connect to all.
	 */
	if (!m->large && (count_known(m) >= m->large_from || mesh_total(m) >= m->large_from))
		m->large = true;
}

static void dc_set(struct mesh *m, const struct mesh_dc *d)
{
	int i = 0;

	while (i < m->dc_count && strcmp(m->dcs[i].dc, d->dc) != 0)
		i++;
	if (i == MESH_DCS_MAX)
		return;
	m->dcs[i] = *d;
	if (i == m->dc_count)
		m->dc_count++;
}

static void dcs_set(struct mesh *m, const struct mesh_news *news)
{
	for (int i = 0; i < news->dc_count; i++) {
		if (strcmp(news->dcs[i].dc, self_of(m)->dc) != 0)
			dc_set(m, &news->dcs[i]);
	}
}

bool mesh_hear(struct mesh *m, const char *id, uint64_t incarnation, const struct mesh_news *news,
	       int64_t now_ms)
{
	const struct member *self = self_of(m);
	uint32_t tag = peer_tag(self->id, self->incarnation);
	struct member sender = { .incarnation = incarnation,
				 .state = news->state,
				 .config_version = news->config_version };
	const struct member *known = member_find(m->members, id);
	bool fresh = !known || known->incarnation != incarnation;

	str_copy(sender.id, sizeof(sender.id), str_from(id));
	str_copy(sender.dc, sizeof(sender.dc), str_from(news->dc));
	str_copy(sender.peer, sizeof(sender.peer), str_from(news->peer));
	for (int i = 0; i < news->heard_count; i++)
		sender.hears_us = sender.hears_us || news->heard[i] == tag;
	member_heard(m->members, &sender, true, now_ms);
	for (int i = 0; i < news->member_count; i++)
		member_listed(m->members, news->members[i].id, news->members[i].dc,
			      news->members[i].peer, now_ms);
	/* Only delegates of a large deployment tell of data centres. */
	m->large = m->large || news->dc_count > 0;
	if (news->dc_count && mesh_speaks_for_dc(m, id))
		dcs_set(m, news);
	return fresh;
}

static bool is_heard(const struct member *other, int64_t now_ms)
{
	return other->direct && now_ms - other->heard_ms <= MEMBER_SUSPECT_MS;
}

/*
 * What is heard is told of. A delegate tells its own data centre also of those in others that
 * their delegates have told of lately, so that each one could go on in its place.
 */
static bool is_told(const struct mesh *m, const struct member *other, bool listed, int64_t now_ms)
{
	if (is_heard(other, now_ms))
		return true;
	return listed && !other->incarnation && mesh_is_far(m, other) &&
	       now_ms - other->heard_ms <= LISTED_FRESH_MS;
}

static void tell_members(struct mesh *m, bool far, struct mesh_news *out, int64_t now_ms)
{
	int count = member_count(m->members);
	bool listed = !far && mesh_delegate(m);

	for (int k = 0; k < count && out->member_count < MESH_MEMBERS_MAX; k++) {
		const struct member *other =
			member_at(m->members, (int)(m->tell_turn++ % (unsigned int)count));
		struct mesh_member *told;

		if (other == self_of(m) || !is_told(m, other, listed, now_ms))
			continue;
		told = &out->members[out->member_count++];
		str_copy(told->id, sizeof(told->id), str_from(other->id));
		str_copy(told->dc, sizeof(told->dc), str_from(other->dc));
		str_copy(told->peer, sizeof(told->peer), str_from(other->peer));
	}
}

void mesh_tell(struct mesh *m, bool far, struct mesh_news *out, int64_t now_ms)
{
	out->heard_count = 0;
	out->member_count = 0;
	out->dc_count = 0;
	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		if (is_heard(other, now_ms) && out->heard_count < MESH_HEARD_MAX)
			out->heard[out->heard_count++] = peer_tag(other->id, other->incarnation);
	}
	tell_members(m, far, out, now_ms);
	if (!mesh_delegate(m))
		return;
	if (far) {
		str_copy(out->dcs[0].dc, sizeof(out->dcs[0].dc), str_from(self_of(m)->dc));
		out->dcs[0].instances = (uint32_t)mesh_near(m);
		out->dc_count = 1;
		return;
	}
	out->dc_count = m->dc_count;
	memcpy(out->dcs, m->dcs, sizeof(m->dcs[0]) * (size_t)m->dc_count);
}

/* Whether delegates tell @other: the first by name that is heard there, and lower ones to come. */
static bool wants_far(const struct mesh *m, const struct member *other, int64_t now_ms)
{
	const struct member *first = member_delegate(m->members, other->dc);
	int lower = 0;

	if (first == other)
		return true;
	if (first)
		return !other->incarnation && now_ms - other->heard_ms <= LISTED_FRESH_MS &&
		       strcmp(other->id, first->id) < 0;
	/* Nobody is heard there: the first few that are known. */
	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *o = member_at(m->members, i);

		lower += strcmp(o->dc, other->dc) == 0 && strcmp(o->id, other->id) < 0;
	}
	return lower < PROBES_FAR;
}

static bool wants(const struct mesh *m, const struct member *other, bool far, int64_t now_ms)
{
	bool apart = mesh_is_large(m) && far;

	if (!other->peer[0] || other->state == MEMBER_GONE || (mesh_is_large(m) && is_seed(other)))
		return false;
	/* One that has heard of nobody else yet is answered. */
	if (apart && !(is_heard(other, now_ms) && !other->hears_us) &&
	    !(mesh_delegate(m) && wants_far(m, other, now_ms)))
		return false;
	return other->incarnation || !address_heard(m, other);
}

/* Not told otherwise, but tried now and then: members that are gone, and seeds by delegates. */
static bool is_probed(const struct mesh *m, const struct member *other, bool far)
{
	if (other == self_of(m) || !other->peer[0] || mesh_is_far(m, other) != far)
		return false;
	/* Of a data centre from which somebody is heard, its delegate is enough. */
	if (far && mesh_is_large(m) &&
	    (!mesh_delegate(m) || member_delegate(m->members, other->dc)))
		return false;
	if (is_seed(other))
		return mesh_delegate(m) && !address_heard(m, other);
	return other->state == MEMBER_GONE;
}

/* The next one of them in turn; NULL when there is none, or one was tried a moment ago. */
static const struct member *next_probe(struct mesh *m, bool far, int64_t now_ms)
{
	int count = member_count(m->members);

	if (now_ms - m->probed_ms[far] < PROBE_MS)
		return NULL;
	for (int k = 0; k < count; k++) {
		const struct member *other =
			member_at(m->members, (int)(m->probe_turn[far]++ % (unsigned int)count));

		if (!is_probed(m, other, far))
			continue;
		m->probed_ms[far] = now_ms;
		return other;
	}
	return NULL;
}

int mesh_targets(struct mesh *m, bool far, const struct member **out, int max, int64_t now_ms)
{
	const struct member *probe;
	int n = 0;

	for (int i = 1; i < member_count(m->members) && n < max; i++) {
		const struct member *other = member_at(m->members, i);

		if (mesh_is_far(m, other) == far && wants(m, other, far, now_ms))
			out[n++] = other;
	}
	probe = next_probe(m, far, now_ms);
	if (probe && n < max)
		out[n++] = probe;
	return n;
}
