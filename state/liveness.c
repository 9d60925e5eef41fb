#include "ibisgate/state/liveness.h"

#include "ibisgate/common/hash.h"

static uint32_t entry_digest(uint32_t tag, enum member_state state)
{
	return (uint32_t)hash_mix(tag, (uint64_t)state + 1);
}

uint32_t liveness_digest_tags(const uint32_t *tags, int count)
{
	uint32_t sum = 0;

	for (int i = 0; i < count; i++)
		sum += entry_digest(tags[i], MEMBER_LIVE);
	return sum;
}

static uint32_t set_digest(const struct liveness_set *s)
{
	uint32_t sum = 0;

	for (int i = 0; i < s->count; i++)
		sum += entry_digest(s->entries[i].tag, s->entries[i].state);
	return sum;
}

static int set_find(const struct liveness_set *s, uint32_t tag)
{
	for (int i = 0; i < s->count; i++) {
		if (s->entries[i].tag == tag)
			return i;
	}
	return -1;
}

static void list_add(struct liveness_list *l, struct liveness_entry v)
{
	if (l->count < LIVENESS_MAX)
		l->entries[l->count++] = v;
}

void liveness_sent_rebase(struct liveness_sent *sent, const struct liveness_set *all)
{
	sent->previous = sent->last;
	sent->last = *all;
}

static bool set_contains(const struct liveness_set *s, const struct liveness_entry *v)
{
	int at = set_find(s, v->tag);

	return at >= 0 && s->entries[at].state == v->state;
}

/* Adds the members of @base that neither @all nor @listed has. */
static void list_add_removed(struct liveness_list *l, const struct liveness_set *base,
			     const struct liveness_set *all, const struct liveness_set *listed)
{
	for (int i = 0; i < base->count; i++) {
		uint32_t tag = base->entries[i].tag;

		if (set_find(all, tag) < 0 && (!listed || set_find(listed, tag) < 0))
			list_add(l, (struct liveness_entry){ .tag = tag, .state = MEMBER_GONE });
	}
}

void liveness_list_build(const struct liveness_sent *sent, const struct liveness_set *all,
			 bool full, uint32_t late_ms, struct liveness_list *out)
{
	out->full = full;
	out->digest = set_digest(all);
	out->age_ms = 0;
	out->count = 0;
	for (int i = 0; i < all->count; i++) {
		const struct liveness_entry *v = &all->entries[i];

		if (full || v->age_ms > late_ms || !set_contains(&sent->last, v) ||
		    !set_contains(&sent->previous, v))
			list_add(out, *v);
		if (v->age_ms <= late_ms && v->age_ms > out->age_ms)
			out->age_ms = v->age_ms;
	}
	if (full)
		return;
	list_add_removed(out, &sent->last, all, NULL);
	list_add_removed(out, &sent->previous, all, &sent->last);
}

static void set_apply(struct liveness_set *s, const struct liveness_entry *v)
{
	int at = set_find(s, v->tag);

	if (v->state == MEMBER_GONE) {
		if (at >= 0)
			s->entries[at] = s->entries[--s->count];
		return;
	}
	if (at < 0 && s->count == LIVENESS_MAX)
		return;
	s->entries[at >= 0 ? at : s->count++] = *v;
}

/* Applies @l to a copy of @base. Returns whether the result is what the sender reports. */
static bool list_apply_to(const struct liveness_set *base, const struct liveness_list *l,
			  struct liveness_set *out)
{
	*out = *base;
	for (int i = 0; i < out->count; i++)
		out->entries[i].age_ms = l->age_ms;
	for (int i = 0; i < l->count; i++)
		set_apply(out, &l->entries[i]);
	return set_digest(out) == l->digest;
}

void liveness_list_apply(struct liveness_received *received, const struct liveness_list *l,
			 struct liveness_set *out)
{
	const struct liveness_set none = { .count = 0 };

	if (l->full) {
		list_apply_to(&none, l, out);
		received->full = *out;
		received->confirmed = *out;
		return;
	}
	if (list_apply_to(&received->full, l, out) || list_apply_to(&received->confirmed, l, out)) {
		received->confirmed = *out;
		return;
	}
	list_apply_to(&none, l, out);
}
