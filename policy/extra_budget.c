#include <string.h>

#include "ibisgate/policy/extra_budget.h"

/*
 * Fraction of the allowance that is used. The window over which a service checks the limit may be
 * offset from this one by up to a slot, and the service may count a request slightly after it was
 * sent.
 */
#define ALLOWANCE_FACTOR 0.8

/* One spare slot ensures that the slots always cover at least the whole window. */
static int64_t slot_length_ms(const struct extra_budget_limits *l)
{
	int64_t slot_ms = l->window_ms / (EXTRA_BUDGET_SLOTS - 1);

	return slot_ms < 1 ? 1 : slot_ms;
}

static void window_advance(struct extra_budget *b, const struct extra_budget_limits *l,
			   int64_t now_ms)
{
	int64_t slot_ms = slot_length_ms(l);

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

void extra_budget_count_first(struct extra_budget *b, const struct extra_budget_limits *l,
			      int64_t now_ms)
{
	window_advance(b, l, now_ms);
	b->first[b->slot]++;
}

static double window_left(const struct extra_budget *b, const struct extra_budget_limits *l)
{
	int first_count = 0;
	int extra_count = 0;
	double allowed;

	for (int i = 0; i < EXTRA_BUDGET_SLOTS; i++) {
		first_count += b->first[i];
		extra_count += b->extra[i];
	}
	allowed = ALLOWANCE_FACTOR *
		  (l->ratio * first_count + l->fixed / (l->instances > 0 ? l->instances : 1));
	return allowed - extra_count;
}

double extra_budget_left(const struct extra_budget *b, const struct extra_budget_limits *l,
			 int64_t now_ms)
{
	struct extra_budget now = *b;

	window_advance(&now, l, now_ms);
	return window_left(&now, l);
}

static bool has_left(struct extra_budget *b, const struct extra_budget_limits *l, int count,
		     int64_t now_ms)
{
	window_advance(b, l, now_ms);
	return count <= window_left(b, l);
}

bool extra_budget_try_take(struct extra_budget *b, const struct extra_budget_limits *l,
			   int64_t now_ms)
{
	return extra_budget_reserve(b, l, 1, now_ms);
}

bool extra_budget_reserve(struct extra_budget *b, const struct extra_budget_limits *l, int count,
			  int64_t now_ms)
{
	if (!has_left(b, l, count, now_ms))
		return false;
	b->extra[b->slot] += count;
	return true;
}

void extra_budget_return_reserved(struct extra_budget *b, const struct extra_budget_limits *l,
				  int count, int64_t reserved_ms, int64_t now_ms)
{
	int64_t slot_ms = slot_length_ms(l);
	int64_t age_ms, back;
	int pos;

	window_advance(b, l, now_ms);
	age_ms = b->slot_start_ms - reserved_ms;
	back = age_ms > 0 ? (age_ms + slot_ms - 1) / slot_ms : 0;
	if (back >= EXTRA_BUDGET_SLOTS)
		return;
	pos = (b->slot + EXTRA_BUDGET_SLOTS - (int)back) % EXTRA_BUDGET_SLOTS;
	b->extra[pos] -= count < b->extra[pos] ? count : b->extra[pos];
}

void extra_budget_use_reserved(struct extra_budget *b, const struct extra_budget_limits *l,
			       int64_t reserved_ms, int64_t now_ms)
{
	extra_budget_return_reserved(b, l, 1, reserved_ms, now_ms);
	extra_budget_force_charge(b, l, now_ms);
}

void extra_budget_refund(struct extra_budget *b, const struct extra_budget_limits *l,
			 int64_t sent_ms, int64_t now_ms)
{
	extra_budget_return_reserved(b, l, 1, sent_ms, now_ms);
}

void extra_budget_force_charge(struct extra_budget *b, const struct extra_budget_limits *l,
			       int64_t now_ms)
{
	window_advance(b, l, now_ms);
	b->extra[b->slot]++;
}
