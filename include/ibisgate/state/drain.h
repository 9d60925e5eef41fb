#ifndef IBISGATE_STATE_DRAIN_H
#define IBISGATE_STATE_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/policy/route.h"
#include "ibisgate/state/member.h"

#define DRAIN_MEMBERS_MAX 64
#define DRAIN_ORDER_MAX 48

enum order_kind {
	ORDER_ROLE,
	ORDER_MODEL,
	ORDER_WITHDRAW,
};

/**
 * struct order - what an endpoint is told
 * @id: unique id; the same intent keeps its id through a change of holder
 * @fencing: fencing number of the holder that sends it
 */
struct order {
	char id[DRAIN_ORDER_MAX];
	char endpoint[MEMBER_ID_MAX];
	enum order_kind kind;
	int64_t fencing;
	union {
		enum endpoint_role role;
		char model[48];
	} u;
};

enum drain_phase {
	DRAIN_INTENT,
	DRAIN_STOPPING,
	DRAIN_ORDERING,
	DRAIN_WAITING,
	DRAIN_CLEARING,
	DRAIN_DONE,
	DRAIN_ABORTED,
};

/**
 * struct drain - one endpoint that leaves for an order; run by the lease holder; not thread-safe
 * @started_ms: start of the phase
 * @acks: members that have to confirm, with their count in flight (-1 before the first answer)
 */
struct drain {
	enum drain_phase phase;
	struct order order;
	int64_t started_ms;
	int ack_count;
	struct {
		char id[MEMBER_ID_MAX];
		uint64_t incarnation;
		int in_flight;
	} acks[DRAIN_MEMBERS_MAX];
};

enum drain_event_kind {
	DRAIN_EV_TICK,
	DRAIN_EV_INTENT_WRITTEN,
	DRAIN_EV_INTENT_REFUSED,
	DRAIN_EV_ACK,
	DRAIN_EV_MEMBER_GONE,
	DRAIN_EV_ORDER_ACCEPTED,
	DRAIN_EV_ORDER_REFUSED,
	DRAIN_EV_ORDER_FINISHED,
	DRAIN_EV_INTENT_CLEARED,
	DRAIN_EV_LEASE_LOST,
};

/**
 * struct drain_event - @member, @incarnation, @in_flight are set for ACK and MEMBER_GONE
 */
struct drain_event {
	enum drain_event_kind kind;
	const char *member;
	uint64_t incarnation;
	int in_flight;
};

enum drain_action {
	DRAIN_DO_NOTHING,
	DRAIN_DO_WRITE_INTENT,
	DRAIN_DO_SEND_LEAVE,
	DRAIN_DO_SEND_ORDER,
	DRAIN_DO_POLL_ENDPOINT,
	DRAIN_DO_CLEAR_INTENT,
	DRAIN_DO_SEND_RETURN,
};

/**
 * drain_begin - start for an order
 * @members: every instance that may send to the endpoint and is not known to be gone
 */
void drain_begin(struct drain *d, const struct order *order, const struct member *const *members,
		 int count, int64_t now_ms);

/** drain_add_member - an instance that joined after the begin must confirm too */
void drain_add_member(struct drain *d, const char *id, uint64_t incarnation);

/** drain_step - apply an event; the caller makes the returned call and reports with an event */
enum drain_action drain_step(struct drain *d, const struct drain_event *ev, int64_t now_ms);

/** drain_quiet - all members have confirmed that nothing is in flight */
bool drain_quiet(const struct drain *d);

#endif
