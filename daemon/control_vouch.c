#include <stdlib.h>
#include <string.h>

#include "control_impl.h"

/*
 * A member of the own data centre is heard each 500 ms, one of another each second and then passed
 * on by the own delegate; above these ages it has missed a heartbeat.
 */
#define LATE_DIRECT_MS 1000
#define LATE_INDIRECT_MS 2500

/*
 * A delegate tells other data centres about its own, and its own about the others, so that news of
 * a member never comes back to where it started.
 */
bool control_passes_on(const struct control *c, const struct member *m, bool to_own_dc)
{
	bool own = strcmp(m->dc, c->settings->instance.dc) == 0;

	return control_member_alive(m) && own != to_own_dc && (!own || m->direct);
}

static struct vouch_set vouched_now(const struct control *c, bool to_own_dc, int64_t now)
{
	struct vouch_set all = { 0 };

	for (int i = 0; i < member_count(c->members) && all.count < VOUCH_MAX; i++) {
		const struct member *m = member_at(c->members, i);
		struct vouch *v = &all.entries[all.count];

		if (!control_passes_on(c, m, to_own_dc))
			continue;
		*v = (struct vouch){ .tag = peer_tag(m->id, m->incarnation), .state = m->state };
		if (i && m->heard_ms && m->heard_ms < now)
			v->age_ms = (uint32_t)(now - m->heard_ms);
		all.count++;
	}
	return all;
}

void control_vouch_fill(struct control *c, bool to_own_dc, bool full, int64_t now,
			struct vouch_list *out)
{
	struct vouch_set *base = &c->vouched[to_own_dc];
	struct vouch_set all = vouched_now(c, to_own_dc, now);

	vouch_list_make(base, &all, full, to_own_dc ? LATE_INDIRECT_MS : LATE_DIRECT_MS, out);
}

void control_vouch_rebase(struct control *c, int64_t now)
{
	for (int own = 0; own < 2; own++)
		c->vouched[own] = vouched_now(c, own, now);
}

/* The base of a sender; that of the sender silent for longest is given up. */
static struct vouch_base *base_of(struct control *c, const char *id, int64_t now)
{
	struct vouch_base *b = NULL;

	for (int i = 0; i < CONTROL_VOUCH_BASES; i++) {
		if (c->bases[i] && strcmp(c->bases[i]->sender, id) == 0)
			b = c->bases[i];
	}
	for (int i = 0, oldest = 0; i < CONTROL_VOUCH_BASES && !b; i++) {
		if (c->bases[i] && c->bases[i]->at_ms < c->bases[oldest]->at_ms)
			oldest = i;
		if (!c->bases[i])
			b = c->bases[i] = mem_zalloc(sizeof(*b));
		else if (i == CONTROL_VOUCH_BASES - 1)
			b = c->bases[oldest];
	}
	if (strcmp(b->sender, id) != 0) {
		str_copy(b->sender, sizeof(b->sender), str_from(id));
		b->set.count = 0;
	}
	b->at_ms = now;
	return b;
}

static void learn(struct control *c, const struct vouch_set *set, int64_t now)
{
	for (int i = 1; set->count && i < member_count(c->members); i++) {
		const struct member *known = member_at(c->members, i);
		uint32_t tag = peer_tag(known->id, known->incarnation);
		struct member m = *known;

		if (strcmp(known->dc, c->settings->instance.dc) == 0)
			continue;
		for (int k = 0; k < set->count; k++) {
			if (set->entries[k].tag != tag)
				continue;
			m.state = set->entries[k].state;
			m.heard_ms = now - (int64_t)set->entries[k].age_ms;
			member_heard(c->members, &m, false, now);
			break;
		}
	}
}

void control_vouch_heard(struct control *c, const char *sender, const struct vouch_list *l,
			 int64_t now)
{
	struct vouch_set set;

	/* Only delegates vouch for anyone. */
	if (!l->count && !l->digest)
		return;
	vouch_list_read(&base_of(c, sender, now)->set, l, &set);
	learn(c, &set, now);
}

void control_vouch_clear(struct control *c)
{
	for (int i = 0; i < CONTROL_VOUCH_BASES; i++)
		free(c->bases[i]);
}
