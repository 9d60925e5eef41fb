#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"

/**
 * struct engine_reservation - engine reserved for a suspect request until other requests have ended
 * @engine: id is -1 for none
 * @handle: handle of its region-wide reservation
 */
struct engine_reservation {
	struct fleet_reservation engine;
	uint64_t handle;
};

static void reservation_drop(struct dispatch *d, struct engine_reservation *r, bool lost)
{
	if (lost)
		fleet_engine_unreserve_backoff(d->gate->fleet, r->engine.id);
	else
		fleet_engine_unreserve(d->gate->fleet, r->engine.id);
	control_reserve_end(d->gate->control, r->handle);
	*r = (struct engine_reservation){ .engine.id = -1 };
}

/* Returns false when no engine can be reserved now. */
static bool reservation_begin(struct dispatch *d, const struct fleet_query *q,
			      enum endpoint_role role, struct engine_reservation *r)
{
	if (!fleet_engine_reserve(d->gate->fleet, q, role, &r->engine))
		return false;
	r->handle = control_reserve_begin(d->gate->control, r->engine.name, r->engine.is_last);
	if (!r->handle)
		reservation_drop(d, r, true);
	return r->handle != 0;
}

/* Acquires the slot once all instances have confirmed; the slot then owns the reservation. */
static bool reservation_acquire_slot(struct dispatch *d, const struct fleet_query *q,
				     enum endpoint_role role, int64_t prefill_tokens,
				     struct engine_reservation *r, struct fleet_slot *slot)
{
	enum reserve_phase phase;

	if (r->engine.id < 0 && !reservation_begin(d, q, role, r))
		return false;
	phase = control_reserve_wait(d->gate->control, r->handle, PLACE_RETRY_MS);
	if (phase == RESERVE_REQUESTED)
		return false;
	if (phase != RESERVE_GRANTED) {
		reservation_drop(d, r, true);
		return false;
	}
	switch (fleet_slot_acquire_exclusive(d->gate->fleet, r->engine.id, prefill_tokens,
					     role == ROLE_PREFILL ? 0 : 1, slot)) {
	case FLEET_EXCLUSIVE_ACQUIRED:
		slot->reservation = r->handle;
		*r = (struct engine_reservation){ .engine.id = -1 };
		return true;
	case FLEET_EXCLUSIVE_BUSY:
		return false;
	case FLEET_EXCLUSIVE_UNUSABLE:
		break;
	}
	reservation_drop(d, r, false);
	return false;
}

static bool model_has_mixed_engine(struct dispatch *d, const struct fleet_query *q)
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

/* Acquires a mixed engine, or a prefill and a decode engine, exclusively. */
static bool placement_acquire_exclusive(struct dispatch *d, struct generation_work *w,
					struct engine_reservation reservations[2])
{
	struct fleet_query q = work_fleet_query(d, w);
	struct placement *p = &w->place;

	q.rank = control_instance_rank(d->gate->control, &q.instances);
	if (!p->prefill.held && reservations[1].engine.id < 0 && model_has_mixed_engine(d, &q))
		return reservation_acquire_slot(d, &q, ROLE_MIXED, w->prompt_tokens,
						&reservations[0], &p->run);
	p->split = true;
	if (!p->prefill.held)
		reservation_acquire_slot(d, &q, ROLE_PREFILL, w->prompt_tokens, &reservations[1],
					 &p->prefill);
	/*
	 * The engines are acquired in this order only; otherwise two suspect requests could each
	 * hold an engine of one role and wait for the other in a deadlock.
	 */
	if (p->prefill.held && !p->run.held)
		reservation_acquire_slot(d, &q, ROLE_DECODE, 0, &reservations[0], &p->run);
	return p->prefill.held && p->run.held;
}

static void reservations_drop(struct dispatch *d, struct engine_reservation reservations[2])
{
	for (int i = 0; i < 2; i++) {
		if (reservations[i].engine.id >= 0)
			reservation_drop(d, &reservations[i], false);
	}
}

/* Evidence may clear a suspect request while it waits; it then doesn't need an exclusive engine. */
static void suspect_recheck(struct dispatch *d, struct generation_work *w,
			    struct engine_reservation reservations[2])
{
	if (!w->is_suspect ||
	    control_quarantine_check(d->gate->control, w->fingerprint) != QUARANTINE_CLEAR)
		return;
	reservations_drop(d, reservations);
	slot_release(d, &w->place.prefill);
	slot_release(d, &w->place.run);
	w->place = (struct placement){ 0 };
	w->is_suspect = false;
}

bool placement_wait(struct dispatch *d, struct generation_work *w)
{
	struct engine_reservation reservations[2] = { { .engine.id = -1 }, { .engine.id = -1 } };
	bool ok = false;

	w->place = (struct placement){ 0 };
	while (clock_boot_ms() < w->g->call.deadline_ms) {
		suspect_recheck(d, w, reservations);
		ok = w->is_suspect ? placement_acquire_exclusive(d, w, reservations)
				   : placement_acquire_best(d, w);
		if (ok)
			break;
		/* No other endpoint is left; those that failed before may have recovered. */
		w->avoid_count = 0;
		clock_sleep_ms(PLACE_RETRY_MS);
	}
	reservations_drop(d, reservations);
	if (!ok)
		placement_release(d, w);
	return ok;
}

void slot_release(struct dispatch *d, struct fleet_slot *slot)
{
	uint64_t reservation = slot->held ? slot->reservation : 0;

	fleet_slot_release(d->gate->fleet, slot);
	slot->reservation = 0;
	control_reserve_end(d->gate->control, reservation);
}

void slot_end_exclusive(struct dispatch *d, struct fleet_slot *slot)
{
	uint64_t reservation = slot->held ? slot->reservation : 0;

	fleet_slot_end_exclusive(d->gate->fleet, slot);
	slot->reservation = 0;
	control_reserve_end(d->gate->control, reservation);
}

void placement_release(struct dispatch *d, struct generation_work *w)
{
	slot_release(d, &w->place.prefill);
	slot_release(d, &w->place.run);
	dispatch_pump(d, w->g->model);
}
