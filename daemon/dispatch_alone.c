#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"

/**
 * struct hold - engine that is reserved for a suspect until it is free of other requests
 * @choice: id -1 for none
 * @handle: of its region-wide reservation
 */
struct hold {
	struct fleet_choice choice;
	uint64_t handle;
};

static void hold_drop(struct dispatch *d, struct hold *h, bool lost)
{
	if (lost)
		fleet_reserve_lost(d->gate->fleet, h->choice.id);
	else
		fleet_unreserve(d->gate->fleet, h->choice.id);
	control_reserve_end(d->gate->control, h->handle);
	*h = (struct hold){ .choice.id = -1 };
}

/* False when no engine can be reserved now. */
static bool hold_begin(struct dispatch *d, const struct fleet_query *q, enum endpoint_role role,
		       struct hold *h)
{
	if (!fleet_reserve(d->gate->fleet, q, role, &h->choice))
		return false;
	h->handle = control_reserve_begin(d->gate->control, h->choice.name, h->choice.last);
	if (!h->handle)
		hold_drop(d, h, true);
	return h->handle != 0;
}

/* Takes the slot once the region has confirmed; the slot then owns the reservation. */
static bool hold_take(struct dispatch *d, const struct fleet_query *q, enum endpoint_role role,
		      int64_t prefill_tokens, struct hold *h, struct fleet_slot *slot)
{
	enum reserve_phase phase;

	if (h->choice.id < 0 && !hold_begin(d, q, role, h))
		return false;
	phase = control_reserve_wait(d->gate->control, h->handle, PLACE_RETRY_MS);
	if (phase == RESERVE_REQUESTED)
		return false;
	if (phase != RESERVE_GRANTED) {
		hold_drop(d, h, true);
		return false;
	}
	switch (fleet_acquire_alone(d->gate->fleet, h->choice.id, prefill_tokens,
				    role == ROLE_PREFILL ? 0 : 1, slot)) {
	case FLEET_ALONE_TAKEN:
		slot->reservation = h->handle;
		*h = (struct hold){ .choice.id = -1 };
		return true;
	case FLEET_ALONE_BUSY:
		return false;
	case FLEET_ALONE_GONE:
		break;
	}
	hold_drop(d, h, false);
	return false;
}

static bool model_has_mixed(struct dispatch *d, const struct fleet_query *q)
{
	bool found = false;
	int n;

	pthread_mutex_lock(&d->lock);
	n = fleet_candidates(d->gate->fleet, q, d->cands);
	for (int i = 0; i < n; i++)
		found |= d->cands[i].role == ROLE_MIXED && d->cands[i].usable;
	pthread_mutex_unlock(&d->lock);
	return found;
}

/* One mixed engine, or one engine of each other role, without any other attempt. */
static bool place_alone(struct dispatch *d, struct work *w, struct hold holds[2])
{
	struct fleet_query q = dispatch_query(d, w);
	struct placement *p = &w->place;

	q.rank = control_rank(d->gate->control, &q.instances);
	if (!p->prefill.held && holds[1].choice.id < 0 && model_has_mixed(d, &q))
		return hold_take(d, &q, ROLE_MIXED, w->prompt_tokens, &holds[0], &p->run);
	p->split = true;
	if (!p->prefill.held)
		hold_take(d, &q, ROLE_PREFILL, w->prompt_tokens, &holds[1], &p->prefill);
	/* In this order only, or two suspects hold one role each and wait for the other for ever.
	 */
	if (p->prefill.held && !p->run.held)
		hold_take(d, &q, ROLE_DECODE, 0, &holds[0], &p->run);
	return p->prefill.held && p->run.held;
}

static void holds_drop(struct dispatch *d, struct hold holds[2])
{
	for (int i = 0; i < 2; i++) {
		if (holds[i].choice.id >= 0)
			hold_drop(d, &holds[i], false);
	}
}

/* Evidence may clear a suspect request while it waits; ordinary places are easier to get. */
static void suspect_cleared(struct dispatch *d, struct work *w, struct hold holds[2])
{
	if (!w->alone ||
	    control_quarantine_check(d->gate->control, w->fingerprint) != QUARANTINE_CLEAR)
		return;
	holds_drop(d, holds);
	slot_release(d, &w->place.prefill);
	slot_release(d, &w->place.run);
	w->place = (struct placement){ 0 };
	w->alone = false;
}

bool place_again(struct dispatch *d, struct work *w)
{
	struct hold holds[2] = { { .choice.id = -1 }, { .choice.id = -1 } };
	bool ok = false;

	w->place = (struct placement){ 0 };
	while (clock_boot_ms() < w->g->call.deadline_ms) {
		suspect_cleared(d, w, holds);
		ok = w->alone ? place_alone(d, w, holds) : place_now(d, w);
		if (ok)
			break;
		/* Nothing else is left: endpoints that failed before may have recovered. */
		w->avoid_count = 0;
		clock_sleep_ms(PLACE_RETRY_MS);
	}
	holds_drop(d, holds);
	if (!ok)
		place_release(d, w);
	return ok;
}

void slot_release(struct dispatch *d, struct fleet_slot *slot)
{
	uint64_t reservation = slot->held ? slot->reservation : 0;

	fleet_release(d->gate->fleet, slot);
	slot->reservation = 0;
	control_reserve_end(d->gate->control, reservation);
}

void slot_share(struct dispatch *d, struct fleet_slot *slot)
{
	uint64_t reservation = slot->held ? slot->reservation : 0;

	fleet_share(d->gate->fleet, slot);
	slot->reservation = 0;
	control_reserve_end(d->gate->control, reservation);
}

void place_release(struct dispatch *d, struct work *w)
{
	slot_release(d, &w->place.prefill);
	slot_release(d, &w->place.run);
	dispatch_pump(d, w->g->model);
}
