#ifndef IBISGATE_STATE_LIVENESS_H
#define IBISGATE_STATE_LIVENESS_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/state/member.h"

#define LIVENESS_MAX 256
/* Interval between two full lists. */
#define LIVENESS_FULL_INTERVAL_MS 2000

/**
 * struct liveness_entry - liveness of one member, as known to the sender of a heartbeat
 * @tag: peer_tag() of the member
 * @age_ms: time since the member's last sign of life
 */
struct liveness_entry {
	uint32_t tag;
	enum member_state state;
	uint32_t age_ms;
};

/** struct liveness_set - all members that one sender reports as alive */
struct liveness_set {
	int count;
	struct liveness_entry entries[LIVENESS_MAX];
};

/**
 * struct liveness_list - member liveness in one heartbeat, in full or as a delta
 * @full: @entries has all members that the sender reports as alive; otherwise only those that
 *	differ from the last full list (with state MEMBER_GONE for one that is no longer reported)
 *	and those heard from late
 * @digest: order-independent digest of all reported members and their states
 * @age_ms: maximum age of the reported members except the late ones; receivers assume it for
 *	members that are not in @entries
 */
struct liveness_list {
	bool full;
	uint32_t digest;
	uint32_t age_ms;
	int count;
	struct liveness_entry entries[LIVENESS_MAX];
};

/**
 * struct liveness_sent - what a sender's deltas are relative to
 * @last: members in the last full list
 * @previous: members in the full list before it
 */
struct liveness_sent {
	struct liveness_set last;
	struct liveness_set previous;
};

/**
 * struct liveness_received - what a receiver applies the deltas of one sender to
 * @full: members in the last full list that arrived
 * @confirmed: members after the last list whose digest matched
 */
struct liveness_received {
	struct liveness_set full;
	struct liveness_set confirmed;
};

/** liveness_sent_rebase - record that a full list with @all was sent */
void liveness_sent_rebase(struct liveness_sent *sent, const struct liveness_set *all);

/**
 * liveness_list_build - build the list for a heartbeat
 * @sent: the last full lists
 * @all: all members to report as alive
 * @full: build a full list, otherwise a delta to both lists in @sent
 * @late_ms: members with a higher age are listed individually, so that one of them does not make
 *	all others look old
 */
void liveness_list_build(const struct liveness_sent *sent, const struct liveness_set *all,
			 bool full, uint32_t late_ms, struct liveness_list *out);

/**
 * liveness_list_apply - get the members that a received list reports as alive
 * @received: what was received from the same sender before; updated
 * @out: out: all reported members. If the digest shows that both sets in @received are incomplete
 *	or outdated, only the members in the list, until the next full list arrives
 *
 * A delta contains all changes since the last two full lists. The loss of a delta therefore has no
 * effect. The loss of any number of full lists has none while one delta after each of them arrives.
 */
void liveness_list_apply(struct liveness_received *received, const struct liveness_list *l,
			 struct liveness_set *out);

/** liveness_digest_tags - order-independent digest of @tags; 0 if there are none */
uint32_t liveness_digest_tags(const uint32_t *tags, int count);

#endif
