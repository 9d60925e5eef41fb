#include <stdio.h>
#include <string.h>

#include "ibisgate/state/drain.h"

static void set_phase(struct drain *d, enum drain_phase phase, int64_t now_ms)
{
	d->phase = phase;
	d->started_ms = now_ms;
}

static int ack_find(const struct drain *d, const char *id)
{
	for (int i = 0; i < d->ack_count; i++) {
		if (strcmp(d->acks[i].id, id) == 0)
			return i;
	}
	return -1;
}

void drain_begin(struct drain *d, const struct order *order, const struct member *const *members,
		 int count, int64_t now_ms)
{
	*d = (struct drain){ .order = *order };
	set_phase(d, DRAIN_INTENT, now_ms);
	for (int i = 0; i < count; i++)
		drain_add_member(d, members[i]->id, members[i]->incarnation);
}

void drain_add_member(struct drain *d, const char *id, uint64_t incarnation)
{
	int i = ack_find(d, id);

	if (i >= 0 && d->acks[i].incarnation >= incarnation)
		return;
	if (i < 0 && d->ack_count == DRAIN_MEMBERS_MAX) {
		/* The order must not be sent if a member's confirmation can't be recorded. */
		if (d->phase < DRAIN_WAITING)
			d->phase = DRAIN_ABORTED;
		return;
	}
	if (i < 0)
		i = d->ack_count++;
	snprintf(d->acks[i].id, sizeof(d->acks[i].id), "%s", id);
	d->acks[i].incarnation = incarnation;
	d->acks[i].in_flight = -1;
}

bool drain_is_idle(const struct drain *d)
{
	for (int i = 0; i < d->ack_count; i++) {
		if (d->acks[i].in_flight != 0)
			return false;
	}
	return d->ack_count > 0;
}

static void on_ack(struct drain *d, const struct drain_event *ev)
{
	int i = ack_find(d, ev->member);

	if (i < 0 || d->acks[i].incarnation < ev->incarnation) {
		drain_add_member(d, ev->member, ev->incarnation);
		i = ack_find(d, ev->member);
	}
	if (i >= 0 && d->acks[i].incarnation == ev->incarnation)
		d->acks[i].in_flight = ev->in_flight < 0 ? -1 : ev->in_flight;
}

static void on_member_gone(struct drain *d, const struct drain_event *ev)
{
	int i = ack_find(d, ev->member);

	if (i >= 0 && d->acks[i].incarnation <= ev->incarnation)
		d->acks[i] = d->acks[--d->ack_count];
}

/*
 * The order is sent only while no member has requests in flight at the endpoint. A member that
 * joins late has to confirm first, which puts the drain back to the stopping phase.
 */
static enum drain_action order_when_idle(struct drain *d, int64_t now_ms)
{
	if (!drain_is_idle(d)) {
		if (d->phase != DRAIN_STOPPING)
			set_phase(d, DRAIN_STOPPING, now_ms);
		return DRAIN_DO_SEND_LEAVE;
	}
	if (d->order.kind == ORDER_WITHDRAW) {
		set_phase(d, DRAIN_CLEARING, now_ms);
		return DRAIN_DO_CLEAR_INTENT;
	}
	if (d->phase != DRAIN_ORDERING)
		set_phase(d, DRAIN_ORDERING, now_ms);
	return DRAIN_DO_SEND_ORDER;
}

static enum drain_action next_action(struct drain *d, int64_t now_ms)
{
	switch (d->phase) {
	case DRAIN_INTENT:
		return DRAIN_DO_WRITE_INTENT;
	case DRAIN_STOPPING:
	case DRAIN_ORDERING:
		return order_when_idle(d, now_ms);
	case DRAIN_WAITING:
		return DRAIN_DO_POLL_ENDPOINT;
	case DRAIN_CLEARING:
		return DRAIN_DO_CLEAR_INTENT;
	case DRAIN_DONE:
	case DRAIN_ABORTED:
		break;
	}
	return DRAIN_DO_NOTHING;
}

enum drain_action drain_handle_event(struct drain *d, const struct drain_event *ev, int64_t now_ms)
{
	switch (ev->kind) {
	case DRAIN_EV_TICK:
		return next_action(d, now_ms);
	case DRAIN_EV_INTENT_WRITTEN:
		if (d->phase != DRAIN_INTENT)
			break;
		set_phase(d, DRAIN_STOPPING, now_ms);
		return DRAIN_DO_SEND_LEAVE;
	case DRAIN_EV_INTENT_REFUSED:
		if (d->phase == DRAIN_INTENT)
			set_phase(d, DRAIN_ABORTED, now_ms);
		break;
	case DRAIN_EV_ACK:
		on_ack(d, ev);
		break;
	case DRAIN_EV_MEMBER_GONE:
		on_member_gone(d, ev);
		break;
	case DRAIN_EV_ORDER_ACCEPTED:
		if (d->phase == DRAIN_ORDERING)
			set_phase(d, DRAIN_WAITING, now_ms);
		break;
	case DRAIN_EV_ORDER_REFUSED:
		break;
	case DRAIN_EV_ORDER_FINISHED:
		if (d->phase != DRAIN_ORDERING && d->phase != DRAIN_WAITING)
			break;
		set_phase(d, DRAIN_CLEARING, now_ms);
		return DRAIN_DO_CLEAR_INTENT;
	case DRAIN_EV_INTENT_CLEARED:
		if (d->phase != DRAIN_CLEARING)
			break;
		set_phase(d, DRAIN_DONE, now_ms);
		return d->order.kind == ORDER_WITHDRAW ? DRAIN_DO_NOTHING : DRAIN_DO_SEND_RETURN;
	case DRAIN_EV_LEASE_LOST:
		if (d->phase != DRAIN_DONE)
			set_phase(d, DRAIN_ABORTED, now_ms);
		break;
	}
	return DRAIN_DO_NOTHING;
}
