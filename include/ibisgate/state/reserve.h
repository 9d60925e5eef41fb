#ifndef IBISGATE_STATE_RESERVE_H
#define IBISGATE_STATE_RESERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/state/member.h"

/* The other instances drop a reservation that its holder has not renewed for this time. */
#define RESERVE_TERM_MS 10000
#define RESERVE_RENEW_MS 2000
/*
 * Interval at which an unanswered request is resent, and so the delay caused by a lost message. A
 * round trip between data centres takes a few milliseconds.
 */
#define RESERVE_RESEND_MS 250
#define RESERVE_MEMBERS_MAX 256
#define RESERVE_TOKEN_MAX 24

/**
 * enum reserve_phase - state of a reservation at the instance that requests it
 * @RESERVE_LOST: ended by an earlier reservation or by the refusal of an instance
 * @RESERVE_EXPIRED: a confirmation ran out while it was granted; other instances may have used the
 *                   engine
 */
enum reserve_phase {
	RESERVE_RELEASED,
	RESERVE_REQUESTED,
	RESERVE_GRANTED,
	RESERVE_LOST,
	RESERVE_EXPIRED,
};

/**
 * enum reserve_answer - response of an instance to a reservation request
 * @RESERVE_CONFIRMED: the instance sends no new requests to the engine
 * @RESERVE_SHARED: the instance sends no other suspect requests to the engine, but ordinary ones,
 *                  because it has no other engine of that role
 * @RESERVE_REFUSED: an earlier reservation is in force, or too many engines are reserved
 * @RESERVE_DOWN: the instance has just found the engine down, which the holder may not have noticed
 */
enum reserve_answer {
	RESERVE_CONFIRMED,
	RESERVE_SHARED,
	RESERVE_REFUSED,
	RESERVE_DOWN,
};

/**
 * struct reserve_member - an instance that has to confirm a reservation
 * @key: identifies one incarnation of an instance
 * @in_flight: number of its requests on the engine; -1 before its first confirmation
 * @until_ms: end of its last confirmation
 */
struct reserve_member {
	uint64_t key;
	int in_flight;
	int64_t until_ms;
};

/**
 * struct reserve - reservation of one engine, at its holder
 * @shared: the engine is the last one of its role; ordinary requests run next to the suspect one
 * @overflow: there are more live members than fit into @members, so it is never granted
 * @round: number of the current request to the members; each renewal increments it
 * @sent_ms: when the current round was first sent
 * @resend_ms: when the current round was last sent
 */
struct reserve {
	enum reserve_phase phase;
	bool shared;
	bool overflow;
	uint32_t round;
	int64_t sent_ms;
	int64_t resend_ms;
	int member_count;
	struct reserve_member members[RESERVE_MEMBERS_MAX];
};

/**
 * reserve_begin - start to reserve an engine
 * @members: keys of the instances that have to confirm; granted at once if there are none
 */
void reserve_begin(struct reserve *r, bool shared, const uint64_t *members, int count,
		   int64_t now_ms);

/**
 * reserve_set_members - replace the set of instances that have to confirm
 *
 * A new member has not confirmed yet. A member that is missing, because it is suspected to be down,
 * no longer has to confirm; if it comes back, it has to confirm again.
 */
void reserve_set_members(struct reserve *r, const uint64_t *members, int count, int64_t now_ms);

/**
 * reserve_confirm - process the response of @member to round @round
 * @in_flight: number of the member's requests on the engine
 *
 * A confirmation of an older round is ignored; a refusal is not.
 */
void reserve_confirm(struct reserve *r, uint64_t member, uint32_t round, enum reserve_answer answer,
		     int in_flight, int64_t now_ms);

/** reserve_preempt - an earlier reservation of the engine takes precedence */
void reserve_preempt(struct reserve *r);
void reserve_release(struct reserve *r);

/** reserve_tick - whether to send the current round's request to all other instances now */
bool reserve_tick(struct reserve *r, int64_t now_ms);

/** reserve_is_held - the reservation is granted and the confirmations of all members are valid */
bool reserve_is_held(const struct reserve *r, int64_t now_ms);

/**
 * struct reserve_entry - record of an engine's reservation, kept by every instance including the
 * holder
 * @token: unique to the reservation
 * @stamp: hybrid logical clock of the holder at the time of the request
 * @until_ms: end of the reservation unless it is renewed
 * @granted: set only at the holder; no other reservation can displace a granted one
 */
struct reserve_entry {
	char endpoint[MEMBER_ID_MAX];
	char holder[MEMBER_ID_MAX];
	char token[RESERVE_TOKEN_MAX];
	uint64_t stamp;
	uint32_t round;
	int64_t until_ms;
	bool granted;
};

/** reserve_entry_is_live - the reservation is in force at @now_ms */
bool reserve_entry_is_live(const struct reserve_entry *m, int64_t now_ms);

/** reserve_entry_precedes - @a takes precedence over @b: lower clock, then lower holder id */
bool reserve_entry_precedes(const struct reserve_entry *a, const struct reserve_entry *b);

/**
 * reserve_entry_offer - replace the reservation in @m by @offer unless @m takes precedence
 * @displaced: out: the reservation in force that @offer has displaced; holder "" for none
 *
 * Return: false when the reservation in @m stays in force.
 */
bool reserve_entry_offer(struct reserve_entry *m, const struct reserve_entry *offer,
			 struct reserve_entry *displaced, int64_t now_ms);

#endif
