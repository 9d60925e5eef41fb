#include "share_impl.h"

#define HEAP_MIN 64

/* Binary heap of organisations, ordered by tag and then by the order of becoming backlogged. */

static bool org_before(const struct org *a, const struct org *b)
{
	return a->tag != b->tag ? a->tag < b->tag : a->seq < b->seq;
}

static void org_heap_set(struct org_heap *h, int pos, struct org *o)
{
	h->items[pos] = o;
	o->pos = pos;
}

static void org_heap_up(struct org_heap *h, int pos)
{
	struct org *o = h->items[pos];

	while (pos > 0 && org_before(o, h->items[(pos - 1) / 2])) {
		org_heap_set(h, pos, h->items[(pos - 1) / 2]);
		pos = (pos - 1) / 2;
	}
	org_heap_set(h, pos, o);
}

static void org_heap_down(struct org_heap *h, int pos)
{
	struct org *o = h->items[pos];

	for (;;) {
		int child = 2 * pos + 1;

		if (child >= h->count)
			break;
		if (child + 1 < h->count && org_before(h->items[child + 1], h->items[child]))
			child++;
		if (!org_before(h->items[child], o))
			break;
		org_heap_set(h, pos, h->items[child]);
		pos = child;
	}
	org_heap_set(h, pos, o);
}

void org_heap_fix(struct org_heap *h, int pos)
{
	struct org *o = h->items[pos];

	org_heap_up(h, pos);
	org_heap_down(h, o->pos);
}

void org_heap_add(struct org_heap *h, struct org *o)
{
	if (h->count == h->cap) {
		h->cap = h->cap ? 2 * h->cap : HEAP_MIN;
		h->items = mem_resize(h->items, (size_t)h->cap * sizeof(struct org *));
	}
	h->items[h->count] = o;
	org_heap_up(h, h->count++);
}

void org_heap_remove(struct org_heap *h, struct org *o)
{
	int pos = o->pos;

	h->count--;
	if (pos == h->count)
		return;
	org_heap_set(h, pos, h->items[h->count]);
	org_heap_fix(h, pos);
}

struct org *org_heap_pop(struct org_heap *h)
{
	struct org *o = h->items[0];

	h->count--;
	if (h->count) {
		org_heap_set(h, 0, h->items[h->count]);
		org_heap_down(h, 0);
	}
	return o;
}

/* Binary heap of tickets, ordered by deadline. */

static void deadline_set(struct ticket_heap *h, int pos, struct share_ticket *t)
{
	h->items[pos] = t;
	t->priv.deadline_pos = pos;
}

static void deadline_up(struct ticket_heap *h, int pos)
{
	struct share_ticket *t = h->items[pos];

	while (pos > 0 && t->deadline_ms < h->items[(pos - 1) / 2]->deadline_ms) {
		deadline_set(h, pos, h->items[(pos - 1) / 2]);
		pos = (pos - 1) / 2;
	}
	deadline_set(h, pos, t);
}

static void deadline_down(struct ticket_heap *h, int pos)
{
	struct share_ticket *t = h->items[pos];

	for (;;) {
		int child = 2 * pos + 1;

		if (child >= h->count)
			break;
		if (child + 1 < h->count &&
		    h->items[child + 1]->deadline_ms < h->items[child]->deadline_ms)
			child++;
		if (h->items[child]->deadline_ms >= t->deadline_ms)
			break;
		deadline_set(h, pos, h->items[child]);
		pos = child;
	}
	deadline_set(h, pos, t);
}

void deadline_add(struct ticket_heap *h, struct share_ticket *t)
{
	if (h->count == h->cap) {
		h->cap = h->cap ? 2 * h->cap : HEAP_MIN;
		h->items = mem_resize(h->items, (size_t)h->cap * sizeof(struct share_ticket *));
	}
	h->items[h->count] = t;
	deadline_up(h, h->count++);
}

void deadline_remove(struct ticket_heap *h, struct share_ticket *t)
{
	struct share_ticket *last = h->items[--h->count];

	if (last == t)
		return;
	deadline_set(h, t->priv.deadline_pos, last);
	deadline_up(h, last->priv.deadline_pos);
	deadline_down(h, last->priv.deadline_pos);
}
