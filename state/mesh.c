#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/mesh.h"

/*
 * How long a member that another delegate has listed is passed on. Long enough to receive all
 * members, which are listed in rotation; short enough to drop an instance that no instance hears
 * from any more.
 */
#define LISTED_FRESH_MS 10000

/* Interval between two attempts to reach a member that is gone. */
#define PROBE_INTERVAL_MS 1000

/* Instances to try at the same time in a data centre from which no instance is heard. */
#define REMOTE_PROBES_MAX 2

/**
 * struct mesh - see mesh.h
 * @large_from: number of instances from which the deployment counts as large
 * @large: there are, or once were, @large_from instances
 * @flat: keep a full mesh even if @large
 * @list_turn: position in the member table from which the next message lists members
 * @probe_turn: position in the member table from which the next member to probe is searched; one
 *              for this data centre and one for the others
 * @probed_ms: time of the last probe, likewise
 * @dcs: the other data centres, as last reported by delegates
 */
struct mesh {
	struct member_table *members;
	int large_from;
	bool large;
	bool flat;
	unsigned int list_turn;
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

const struct member_table *mesh_member_table(const struct mesh *m)
{
	return m->members;
}

static const struct member *mesh_self(const struct mesh *m)
{
	return member_at(m->members, 0);
}

void mesh_set_flat(struct mesh *m, bool flat)
{
	m->flat = flat;
}

bool mesh_uses_delegates(const struct mesh *m)
{
	return m->large && !m->flat;
}

bool mesh_is_remote(const struct mesh *m, const struct member *other)
{
	return other->dc[0] && strcmp(other->dc, mesh_self(m)->dc) != 0;
}

bool mesh_is_delegate(const struct mesh *m)
{
	return mesh_uses_delegates(m) &&
	       member_find_delegate(m->members, mesh_self(m)->dc) == mesh_self(m);
}

bool mesh_is_dc_delegate(const struct mesh *m, const char *id)
{
	const struct member *other = member_find(m->members, id);

	return other && member_find_delegate(m->members, other->dc) == other;
}

static bool is_live(const struct member *other)
{
	return other->incarnation && other->state == MEMBER_LIVE;
}

int mesh_count_local(const struct mesh *m)
{
	int n = 1;

	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		n += is_live(other) && !mesh_is_remote(m, other);
	}
	return n;
}

int mesh_count_all(const struct mesh *m)
{
	int reported = mesh_count_local(m);
	int known = member_count_live(m->members, NULL);

	for (int i = 0; i < m->dc_count; i++)
		reported += (int)m->dcs[i].instances;
	return mesh_uses_delegates(m) && reported > known ? reported : known;
}

int mesh_rank(const struct mesh *m)
{
	int rank = 0;

	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		rank += is_live(other) && strcmp(other->id, mesh_self(m)->id) < 0;
	}
	return rank;
}

bool mesh_is_first(const struct mesh *m)
{
	return mesh_rank(m) == 0;
}

/* Whether only the address is known, but neither the data centre nor the incarnation. */
static bool is_seed(const struct member *other)
{
	return !other->incarnation && !other->dc[0];
}

/* Whether an instance at the address of @seed is heard from under its own name. */
static bool is_address_heard(const struct mesh *m, const struct member *seed)
{
	for (int i = 0; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		if (other != seed && other->incarnation && other->state != MEMBER_GONE &&
		    strcmp(other->peer, seed->peer) == 0)
			return true;
	}
	return false;
}

static int known_count(const struct mesh *m)
{
	int n = 1;

	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		n += other->dc[0] && other->state != MEMBER_GONE;
	}
	return n;
}

void mesh_add_seed(struct mesh *m, const char *name, const char *peer, int64_t now_ms)
{
	if (strcmp(peer, mesh_self(m)->peer) != 0)
		member_add_address(m->members, name, "", peer, now_ms);
}

void mesh_tick(struct mesh *m, int64_t now_ms)
{
	member_table_tick(m->members, now_ms);
	/*
	 * Instances that are known but not yet heard from count as well. Otherwise each instance
	 * would connect to all others when all start together.
	 */
	if (!m->large && (known_count(m) >= m->large_from || mesh_count_all(m) >= m->large_from))
		m->large = true;
}

static void dc_update(struct mesh *m, const struct mesh_dc *d)
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

static void dcs_update(struct mesh *m, const struct mesh_gossip *news)
{
	for (int i = 0; i < news->dc_count; i++) {
		if (strcmp(news->dcs[i].dc, mesh_self(m)->dc) != 0)
			dc_update(m, &news->dcs[i]);
	}
}

bool mesh_receive(struct mesh *m, const char *id, uint64_t incarnation,
		  const struct mesh_gossip *news, int64_t now_ms)
{
	const struct member *self = mesh_self(m);
	uint32_t tag = peer_tag(self->id, self->incarnation);
	struct member sender = { .incarnation = incarnation,
				 .state = news->state,
				 .config_version = news->config_version };
	const struct member *known = member_find(m->members, id);
	bool is_new = !known || known->incarnation != incarnation;

	str_copy(sender.id, sizeof(sender.id), str_from(id));
	str_copy(sender.dc, sizeof(sender.dc), str_from(news->dc));
	str_copy(sender.peer, sizeof(sender.peer), str_from(news->peer));
	for (int i = 0; i < news->heard_count; i++)
		sender.hears_us = sender.hears_us || news->heard[i] == tag;
	member_update(m->members, &sender, true, now_ms);
	for (int i = 0; i < news->member_count; i++)
		member_add_address(m->members, news->members[i].id, news->members[i].dc,
				   news->members[i].peer, now_ms);
	/* Only delegates of a large deployment report data centres. */
	m->large = m->large || news->dc_count > 0;
	if (news->dc_count && mesh_is_dc_delegate(m, id))
		dcs_update(m, news);
	return is_new;
}

static bool is_heard_from(const struct member *other, int64_t now_ms)
{
	return other->heard_directly && now_ms - other->last_heard_ms <= MEMBER_SUSPECT_MS;
}

/*
 * Whether to list @other in a message. Members that are heard from are listed. To its own data
 * centre a delegate also lists (@listed) members of other data centres that their delegates have
 * listed recently, so that any instance can take over as delegate.
 */
static bool is_listable(const struct mesh *m, const struct member *other, bool listed,
			int64_t now_ms)
{
	if (is_heard_from(other, now_ms))
		return true;
	return listed && !other->incarnation && mesh_is_remote(m, other) &&
	       now_ms - other->last_heard_ms <= LISTED_FRESH_MS;
}

static void list_members(struct mesh *m, bool remote, struct mesh_gossip *out, int64_t now_ms)
{
	int count = member_count(m->members);
	bool listed = !remote && mesh_is_delegate(m);

	for (int k = 0; k < count && out->member_count < MESH_MEMBERS_MAX; k++) {
		const struct member *other =
			member_at(m->members, (int)(m->list_turn++ % (unsigned int)count));
		struct mesh_member *entry;

		if (other == mesh_self(m) || !is_listable(m, other, listed, now_ms))
			continue;
		entry = &out->members[out->member_count++];
		str_copy(entry->id, sizeof(entry->id), str_from(other->id));
		str_copy(entry->dc, sizeof(entry->dc), str_from(other->dc));
		str_copy(entry->peer, sizeof(entry->peer), str_from(other->peer));
	}
}

void mesh_fill_gossip(struct mesh *m, bool remote, struct mesh_gossip *out, int64_t now_ms)
{
	out->heard_count = 0;
	out->member_count = 0;
	out->dc_count = 0;
	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *other = member_at(m->members, i);

		if (is_heard_from(other, now_ms) && out->heard_count < MESH_HEARD_MAX)
			out->heard[out->heard_count++] = peer_tag(other->id, other->incarnation);
	}
	list_members(m, remote, out, now_ms);
	if (!mesh_is_delegate(m))
		return;
	if (remote) {
		str_copy(out->dcs[0].dc, sizeof(out->dcs[0].dc), str_from(mesh_self(m)->dc));
		out->dcs[0].instances = (uint32_t)mesh_count_local(m);
		out->dc_count = 1;
		return;
	}
	out->dc_count = m->dc_count;
	memcpy(out->dcs, m->dcs, sizeof(m->dcs[0]) * (size_t)m->dc_count);
}

/*
 * Whether delegates send to @other, an instance of another data centre: either it is the delegate
 * there, or it was listed recently and would become the delegate because its name is lower.
 */
static bool is_remote_target(const struct mesh *m, const struct member *other, int64_t now_ms)
{
	const struct member *first = member_find_delegate(m->members, other->dc);
	int lower = 0;

	if (first == other)
		return true;
	if (first)
		return !other->incarnation && now_ms - other->last_heard_ms <= LISTED_FRESH_MS &&
		       strcmp(other->id, first->id) < 0;
	/* No instance is heard there: send to the known ones with the lowest names. */
	for (int i = 1; i < member_count(m->members); i++) {
		const struct member *o = member_at(m->members, i);

		lower += strcmp(o->dc, other->dc) == 0 && strcmp(o->id, other->id) < 0;
	}
	return lower < REMOTE_PROBES_MAX;
}

static bool is_target(const struct mesh *m, const struct member *other, bool remote, int64_t now_ms)
{
	bool across_dcs = mesh_uses_delegates(m) && remote;

	if (!other->peer[0] || other->state == MEMBER_GONE ||
	    (mesh_uses_delegates(m) && is_seed(other)))
		return false;
	/* An instance that does not hear this one yet gets a reply even from a non-delegate. */
	if (across_dcs && !(is_heard_from(other, now_ms) && !other->hears_us) &&
	    !(mesh_is_delegate(m) && is_remote_target(m, other, now_ms)))
		return false;
	return other->incarnation || !is_address_heard(m, other);
}

/*
 * Whether @other is probed from time to time, which applies to instances that get no regular
 * messages: members that are gone and, from delegates, seeds.
 */
static bool is_probed(const struct mesh *m, const struct member *other, bool remote)
{
	if (other == mesh_self(m) || !other->peer[0] || mesh_is_remote(m, other) != remote)
		return false;
	/* A data centre whose delegate is known needs no probes. */
	if (remote && mesh_uses_delegates(m) &&
	    (!mesh_is_delegate(m) || member_find_delegate(m->members, other->dc)))
		return false;
	if (is_seed(other))
		return mesh_is_delegate(m) && !is_address_heard(m, other);
	return other->state == MEMBER_GONE;
}

/* Next member to probe; NULL when there is none or the last probe was too recent. */
static const struct member *next_probe(struct mesh *m, bool remote, int64_t now_ms)
{
	int count = member_count(m->members);

	if (now_ms - m->probed_ms[remote] < PROBE_INTERVAL_MS)
		return NULL;
	for (int k = 0; k < count; k++) {
		const struct member *other =
			member_at(m->members, (int)(m->probe_turn[remote]++ % (unsigned int)count));

		if (!is_probed(m, other, remote))
			continue;
		m->probed_ms[remote] = now_ms;
		return other;
	}
	return NULL;
}

int mesh_list_targets(const struct mesh *m, bool remote, const struct member **out, int max,
		      int64_t now_ms)
{
	int n = 0;

	for (int i = 1; i < member_count(m->members) && n < max; i++) {
		const struct member *other = member_at(m->members, i);

		if (mesh_is_remote(m, other) == remote && is_target(m, other, remote, now_ms))
			out[n++] = other;
	}
	return n;
}

int mesh_select_targets(struct mesh *m, bool remote, const struct member **out, int max,
			int64_t now_ms)
{
	int n = mesh_list_targets(m, remote, out, max, now_ms);
	const struct member *probe = next_probe(m, remote, now_ms);

	if (probe && n < max)
		out[n++] = probe;
	return n;
}
