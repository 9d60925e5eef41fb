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
 * struct order - a command from the lease holder to an endpoint
 * @id: unique id; a new lease holder that resumes the same intent keeps the id
 * @fencing: fencing token of the lease holder that sends the order
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

/**
 * enum drain_phase - progress of a drain
 * @DRAIN_INTENT: the intent is being written
 * @DRAIN_STOPPING: members stop sending requests to the endpoint and confirm when they are idle
 * @DRAIN_ORDERING: the order is being sent to the endpoint
 * @DRAIN_WAITING: the endpoint has accepted the order and is carrying it out
 * @DRAIN_CLEARING: the intent is being deleted
 */
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
 * struct drain - state machine of the lease holder that drains one endpoint and sends it an order
 * @started_ms: start of the current phase
 * @acks: members that have to confirm, with the number of their requests in flight at the endpoint
 *        (-1 before the first confirmation)
 *
 * Not thread-safe.
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
 * struct drain_event - input of drain_handle_event()
 * @member: set for DRAIN_EV_ACK and DRAIN_EV_MEMBER_GONE, as is @incarnation
 * @in_flight: requests of @member in flight at the endpoint, for DRAIN_EV_ACK
 */
struct drain_event {
	enum drain_event_kind kind;
	const char *member;
	uint64_t incarnation;
	int in_flight;
};

/**
 * enum drain_action - what the caller has to do
 * @DRAIN_DO_SEND_LEAVE: have all members stop sending requests to the endpoint
 * @DRAIN_DO_SEND_RETURN: allow all members to send requests to the endpoint again
 */
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
 * drain_begin - start a drain for @order
 * @members: all instances that may send requests to the endpoint, except those in state
 *           MEMBER_GONE
 */
void drain_begin(struct drain *d, const struct order *order, const struct member *const *members,
		 int count, int64_t now_ms);

/** drain_add_member - require confirmation from an instance that joined after drain_begin() */
void drain_add_member(struct drain *d, const char *id, uint64_t incarnation);

/**
 * drain_handle_event - apply an event
 *
 * Return: the action that the caller has to take; its result is reported with another event.
 */
enum drain_action drain_handle_event(struct drain *d, const struct drain_event *ev, int64_t now_ms);

/** drain_is_idle - all members have confirmed that they have no requests in flight */
bool drain_is_idle(const struct drain *d);

#endif
