#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "ibisgate/state/directory.h"

/*
 * Endpoints rewrite their entries within about 2 s after the list is back; missing entries are
 * honoured only after this time, in milliseconds.
 */
#define REWRITE_MS 2300

/* Time for carrying out the removals, within the time for recovery, in milliseconds. */
#define RECOVERY_MARGIN_MS 200

struct directory_slot {
	struct endpoint_entry entry;
	int index;
	bool listed;
	bool removal_pending;
	UT_hash_handle hh;
};

/* Entry that is held back, because it may be older than what is known. */
struct directory_held {
	struct endpoint_entry entry;
	UT_hash_handle hh;
};

void directory_init(struct directory *d,
		    void (*changed)(void *ctx, enum directory_change change,
				    const struct endpoint_entry *e),
		    void *ctx)
{
	*d = (struct directory){ .changed = changed, .ctx = ctx };
}

/* The check for NULL is for the static analyser: an index that contains @h is never empty. */
static void held_drop(struct directory *d, struct directory_held *h)
{
	if (d->held)
		HASH_DEL(d->held, h);
	free(h);
}

/* Empties the index; the entries stay linked, and belong to the caller. */
static struct directory_held *held_take_all(struct directory *d)
{
	struct directory_held *first = d->held;

	HASH_CLEAR(hh, d->held);
	return first;
}

static void held_clear(struct directory *d)
{
	struct directory_held *h, *next;

	for (h = held_take_all(d); h; h = next) {
		next = h->hh.next;
		free(h);
	}
}

static struct directory_held *held_find(const struct directory *d, struct str id)
{
	struct directory_held *h;

	HASH_FIND(hh, d->held, id.data, id.len, h);
	return h;
}

static void held_put(struct directory *d, const struct endpoint_entry *e)
{
	struct directory_held *h = held_find(d, str_from(e->id));

	if (!h) {
		h = mem_zalloc(sizeof(*h));
		h->entry = *e;
		HASH_ADD_STR(d->held, entry.id, h);
	} else if (e->version > h->entry.version) {
		h->entry = *e;
	}
}

void directory_free(struct directory *d)
{
	held_clear(d);
	HASH_CLEAR(hh, d->by_id);
	for (int i = 0; i < d->count; i++)
		free(d->slots[i]);
	free(d->slots);
	d->slots = NULL;
	d->count = 0;
	d->cap = 0;
}

static struct directory_slot *slot_find(const struct directory *d, struct str id)
{
	struct directory_slot *s;

	HASH_FIND(hh, d->by_id, id.data, id.len, s);
	return s;
}

const struct endpoint_entry *directory_find(const struct directory *d, struct str id)
{
	struct directory_slot *s = slot_find(d, id);

	return s ? &s->entry : NULL;
}

const struct endpoint_entry *directory_at(const struct directory *d, int i)
{
	return &d->slots[i]->entry;
}

bool directory_is_missing(const struct directory *d, struct str id)
{
	const struct directory_slot *s = slot_find(d, id);

	return s && s->removal_pending;
}

int directory_count_missing(const struct directory *d)
{
	int n = 0;

	for (int i = 0; i < d->count; i++)
		n += d->slots[i]->removal_pending;
	return n;
}

static struct directory_slot *slot_add(struct directory *d, const struct endpoint_entry *e)
{
	struct directory_slot *s = mem_zalloc(sizeof(*s));

	if (d->count == d->cap) {
		d->cap = d->cap ? d->cap * 2 : 32;
		d->slots = mem_resize(d->slots, sizeof(struct directory_slot *) * (size_t)d->cap);
	}
	s->entry = *e;
	s->index = d->count;
	d->slots[d->count++] = s;
	HASH_ADD_STR(d->by_id, entry.id, s);
	return s;
}

static enum directory_change classify_change(const struct endpoint_entry *old,
					     const struct endpoint_entry *e)
{
	if (e->process_start_ms != old->process_start_ms || strcmp(e->address, old->address) != 0)
		return DIRECTORY_RESTARTED;
	if (e->leaving && !old->leaving)
		return DIRECTORY_LEAVING;
	return DIRECTORY_UPDATED;
}

/*
 * Whether an entry of the store's older copy has to wait: its endpoint may not have written it
 * again yet. What takes work away from the endpoint counts at once.
 */
static bool must_hold(const struct directory *d, const struct directory_slot *s,
		      const struct endpoint_entry *e)
{
	if (!d->hold_until_ms || e->version > d->copy_version)
		return false;
	if (!s)
		return true;
	switch (classify_change(&s->entry, e)) {
	case DIRECTORY_LEAVING:
	case DIRECTORY_RESTARTED:
		return false;
	default:
		return true;
	}
}

static void slot_put(struct directory *d, struct directory_slot *s, const struct endpoint_entry *e)
{
	enum directory_change change = DIRECTORY_ADDED;

	if (s) {
		s->removal_pending = false;
		if (e->version == s->entry.version)
			return;
		change = classify_change(&s->entry, e);
	} else {
		s = slot_add(d, e);
		s->listed = true;
	}
	s->entry = *e;
	d->changed(d->ctx, change, &s->entry);
}

void directory_put(struct directory *d, const struct endpoint_entry *e)
{
	struct directory_slot *s = slot_find(d, str_from(e->id));
	struct directory_held *h = held_find(d, str_from(e->id));

	if (s) {
		s->listed = true;
		/* A late write by a previous process under this id does not apply to this one. */
		if (e->version < s->entry.version ||
		    e->process_start_ms < s->entry.process_start_ms)
			return;
	}
	if (must_hold(d, s, e)) {
		held_put(d, e);
		return;
	}
	if (h)
		held_drop(d, h);
	slot_put(d, s, e);
}

/* The check for NULL is for the static analyser: an index that contains @s is never empty. */
static void slot_unindex(struct directory *d, struct directory_slot *s)
{
	if (d->by_id)
		HASH_DEL(d->by_id, s);
}

static void slot_delete(struct directory *d, struct directory_slot *s)
{
	d->slots[s->index] = d->slots[--d->count];
	d->slots[s->index]->index = s->index;
	slot_unindex(d, s);
	d->changed(d->ctx, DIRECTORY_REMOVED, &s->entry);
	free(s);
}

static void slot_remove(struct directory *d, struct directory_slot *s, int64_t now_ms)
{
	if (now_ms < d->defer_removals_until_ms) {
		s->removal_pending = true;
		return;
	}
	slot_delete(d, s);
}

void directory_remove(struct directory *d, struct str id, int64_t version, int64_t now_ms)
{
	struct directory_slot *s = slot_find(d, id);
	struct directory_held *h = held_find(d, id);

	if (h && version >= h->entry.version)
		held_drop(d, h);
	if (s && version >= s->entry.version)
		slot_remove(d, s, now_ms);
}

void directory_list_begin(struct directory *d, int64_t version)
{
	if (d->hold_until_ms && !d->copy_version)
		d->copy_version = version;
	held_clear(d);
	for (int i = 0; i < d->count; i++)
		d->slots[i]->listed = false;
}

void directory_list_end(struct directory *d, int64_t version, int64_t now_ms)
{
	for (int i = d->count - 1; i >= 0; i--) {
		struct directory_slot *s = d->slots[i];

		if (!s->listed && !s->removal_pending && version >= s->entry.version)
			slot_remove(d, s, now_ms);
	}
}

static int64_t min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

void directory_outage_ended(struct directory *d, const struct directory_outage *o, int64_t now_ms)
{
	int64_t back_ms = o->served_ms ? min_i64(o->served_ms, now_ms) : now_ms;
	int64_t until_ms =
		min_i64(back_ms + REWRITE_MS, o->away_ms + o->recovery_ms - RECOVERY_MARGIN_MS);

	if (until_ms > d->defer_removals_until_ms)
		d->defer_removals_until_ms = until_ms;
}

void directory_era_began(struct directory *d, int64_t now_ms)
{
	held_clear(d);
	/* Without anything known, the copy is the best there is. */
	d->hold_until_ms = d->count ? now_ms + REWRITE_MS : 0;
	d->copy_version = 0;
	if (d->hold_until_ms > d->defer_removals_until_ms)
		d->defer_removals_until_ms = d->hold_until_ms;
}

static void held_release(struct directory *d)
{
	struct directory_held *h, *next;

	d->hold_until_ms = 0;
	for (h = held_take_all(d); h; h = next) {
		next = h->hh.next;
		directory_put(d, &h->entry);
		free(h);
	}
}

void directory_apply_deferred(struct directory *d, int64_t now_ms)
{
	if (d->hold_until_ms && now_ms >= d->hold_until_ms)
		held_release(d);
	if (now_ms < d->defer_removals_until_ms)
		return;
	for (int i = d->count - 1; i >= 0; i--) {
		if (d->slots[i]->removal_pending)
			slot_delete(d, d->slots[i]);
	}
}

int directory_count_held(const struct directory *d)
{
	return (int)HASH_COUNT(d->held);
}
