#include <string.h>

#include "ibisgate/policy/extra_budget.h"

/*
 * Part of the allowance that is used. The window of whoever checks may lie up to one slot apart
 * from the window here, and callers may be counted a little later than they are sent.
 */
#define ALLOWANCE_USED 0.8

static void advance(struct extra_budget *b, const struct extra_limits *l, int64_t now_ms)
{
	/* One slot is left over, so that the slots together cover at least the whole window. */
	int64_t slot_ms = l->window_ms / (EXTRA_BUDGET_SLOTS - 1);

	if (slot_ms < 1)
		slot_ms = 1;
	if (now_ms - b->slot_start_ms >= slot_ms * EXTRA_BUDGET_SLOTS) {
		memset(b, 0, sizeof(*b));
		b->slot_start_ms = now_ms;
		return;
	}
	while (now_ms - b->slot_start_ms >= slot_ms) {
		b->slot = (b->slot + 1) % EXTRA_BUDGET_SLOTS;
		b->first[b->slot] = 0;
		b->extra[b->slot] = 0;
		b->slot_start_ms += slot_ms;
	}
}

void extra_budget_first(struct extra_budget *b, const struct extra_limits *l, int64_t now_ms)
{
	advance(b, l, now_ms);
	b->first[b->slot]++;
}

bool extra_budget_take(struct extra_budget *b, const struct extra_limits *l, int64_t now_ms)
{
	int first = 0;
	int extra = 0;
	double allowed;

	advance(b, l, now_ms);
	for (int i = 0; i < EXTRA_BUDGET_SLOTS; i++) {
		first += b->first[i];
		extra += b->extra[i];
	}
	allowed = ALLOWANCE_USED *
		  (l->ratio * first + l->fixed / (l->instances > 0 ? l->instances : 1));
	if (extra + 1 > allowed)
		return false;
	b->extra[b->slot]++;
	return true;
}

void extra_budget_return(struct extra_budget *b)
{
	for (int i = 0; i < EXTRA_BUDGET_SLOTS; i++) {
		int at = (b->slot + EXTRA_BUDGET_SLOTS - i) % EXTRA_BUDGET_SLOTS;

		if (!b->extra[at])
			continue;
		b->extra[at]--;
		return;
	}
}

void extra_budget_charge(struct extra_budget *b, const struct extra_limits *l, int64_t now_ms)
{
	advance(b, l, now_ms);
	b->extra[b->slot]++;
}
