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

void liveness_list_build(const struct liveness_set *base, const struct liveness_set *all, bool full,
			 uint32_t late_ms, struct liveness_list *out)
{
	out->full = full;
	out->digest = set_digest(all);
	out->age_ms = 0;
	out->count = 0;
	for (int i = 0; i < all->count; i++) {
		const struct liveness_entry *v = &all->entries[i];
		int at = set_find(base, v->tag);

		if (full || at < 0 || base->entries[at].state != v->state || v->age_ms > late_ms)
			list_add(out, *v);
		if (v->age_ms <= late_ms && v->age_ms > out->age_ms)
			out->age_ms = v->age_ms;
	}
	for (int i = 0; !full && i < base->count; i++) {
		if (set_find(all, base->entries[i].tag) < 0)
			list_add(out,
				 (struct liveness_entry){ base->entries[i].tag, MEMBER_GONE, 0 });
	}
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

void liveness_list_apply(struct liveness_set *base, const struct liveness_list *l,
			 struct liveness_set *out)
{
	if (l->full)
		base->count = 0;
	*out = *base;
	for (int i = 0; i < out->count; i++)
		out->entries[i].age_ms = l->age_ms;
	for (int i = 0; i < l->count; i++)
		set_apply(out, &l->entries[i]);
	if (l->full)
		*base = *out;
	if (l->full || set_digest(out) == l->digest)
		return;
	out->count = 0;
	for (int i = 0; i < l->count; i++)
		set_apply(out, &l->entries[i]);
}
