#include <stdlib.h>
#include <string.h>

#include "control_impl.h"

/*
 * A member of the own data centre is heard from every 500 ms. One of another data centre is heard
 * from every second, and then forwarded by the delegate of the own data centre. Above these ages a
 * heartbeat was missed.
 */
#define LATE_DIRECT_MS 1000
#define LATE_INDIRECT_MS 2500

/*
 * A delegate sends the state of its own members to other data centres, and the state of their
 * members to its own data centre, so that gossip about a member never returns to its origin.
 */
bool control_liveness_includes(const struct control *c, const struct member *m, bool to_own_dc)
{
	bool own = strcmp(m->dc, c->settings->instance.dc) == 0;

	return control_member_is_alive(m) && own != to_own_dc && (!own || m->heard_directly);
}

static struct liveness_set liveness_set_collect(const struct control *c, bool to_own_dc,
						int64_t now)
{
	struct liveness_set all = { 0 };

	for (int i = 0; i < member_count(c->members) && all.count < LIVENESS_MAX; i++) {
		const struct member *m = member_at(c->members, i);
		struct liveness_entry *v = &all.entries[all.count];

		if (!control_liveness_includes(c, m, to_own_dc))
			continue;
		*v = (struct liveness_entry){ .tag = peer_tag(m->id, m->incarnation),
					      .state = m->state };
		if (i && m->last_heard_ms && m->last_heard_ms < now)
			v->age_ms = (uint32_t)(now - m->last_heard_ms);
		all.count++;
	}
	return all;
}

void control_liveness_fill(struct control *c, bool to_own_dc, bool full, int64_t now,
			   struct liveness_list *out)
{
	struct liveness_set all = liveness_set_collect(c, to_own_dc, now);

	liveness_list_build(&c->sent_liveness[to_own_dc], &all, full,
			    to_own_dc ? LATE_INDIRECT_MS : LATE_DIRECT_MS, out);
}

void control_liveness_rebase(struct control *c, int64_t now)
{
	for (int own = 0; own < 2; own++) {
		struct liveness_set all = liveness_set_collect(c, own, now);

		liveness_sent_rebase(&c->sent_liveness[own], &all);
	}
}

/* Base of a sender. When all slots are in use, it replaces that of the least recent sender. */
static struct liveness_base *gossip_base_get(struct control *c, const char *id, int64_t now)
{
	struct liveness_base *b = NULL;

	for (int i = 0; i < CONTROL_LIVENESS_BASES_MAX; i++) {
		if (c->liveness_bases[i] && strcmp(c->liveness_bases[i]->sender, id) == 0)
			b = c->liveness_bases[i];
	}
	for (int i = 0, oldest = 0; i < CONTROL_LIVENESS_BASES_MAX && !b; i++) {
		if (c->liveness_bases[i] &&
		    c->liveness_bases[i]->at_ms < c->liveness_bases[oldest]->at_ms)
			oldest = i;
		if (!c->liveness_bases[i])
			b = c->liveness_bases[i] = mem_zalloc(sizeof(*b));
		else if (i == CONTROL_LIVENESS_BASES_MAX - 1)
			b = c->liveness_bases[oldest];
	}
	if (strcmp(b->sender, id) != 0) {
		str_copy(b->sender, sizeof(b->sender), str_from(id));
		b->received.full.count = 0;
		b->received.confirmed.count = 0;
	}
	b->at_ms = now;
	return b;
}

static void liveness_set_merge(struct control *c, const struct liveness_set *set, int64_t now)
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
			m.last_heard_ms = now - (int64_t)set->entries[k].age_ms;
			member_update(c->members, &m, false, now);
			break;
		}
	}
}

void control_liveness_apply(struct control *c, const char *sender, const struct liveness_list *l,
			    int64_t now)
{
	struct liveness_set set;

	/* Only delegates send these lists. */
	if (!l->count && !l->digest)
		return;
	liveness_list_apply(&gossip_base_get(c, sender, now)->received, l, &set);
	liveness_set_merge(c, &set, now);
}

void control_liveness_clear(struct control *c)
{
	for (int i = 0; i < CONTROL_LIVENESS_BASES_MAX; i++)
		free(c->liveness_bases[i]);
}
