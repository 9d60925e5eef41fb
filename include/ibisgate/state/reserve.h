#ifndef IBISGATE_STATE_RESERVE_H
#define IBISGATE_STATE_RESERVE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/state/member.h"

/* A reservation that its holder no longer renews ends after this time at the other instances. */
#define RESERVE_TERM_MS 10000
#define RESERVE_RENEW_MS 2000
/* A lost message costs this much; a round trip between data centres takes a few milliseconds. */
#define RESERVE_RESEND_MS 250
#define RESERVE_MEMBERS_MAX 256
#define RESERVE_TOKEN_MAX 24

/**
 * enum reserve_phase - one reservation at the instance that asks for it
 * @RESERVE_LOST: an earlier reservation or a refusal of one instance has ended it
 * @RESERVE_EXPIRED: held for longer than it was confirmed for; others may have used the engine
 */
enum reserve_phase {
	RESERVE_RELEASED,
	RESERVE_REQUESTED,
	RESERVE_GRANTED,
	RESERVE_LOST,
	RESERVE_EXPIRED,
};

/**
 * enum reserve_answer - what an instance says to a reservation
 * @RESERVE_CONFIRMED: it sends no new work there
 * @RESERVE_SHARED: no other suspect, but ordinary work, since it has no other engine of that role
 * @RESERVE_REFUSED: an earlier reservation stands, or too many engines are reserved
 * @RESERVE_DOWN: the engine has just gone down there, which the holder may not have noticed
 */
enum reserve_answer {
	RESERVE_CONFIRMED,
	RESERVE_SHARED,
	RESERVE_REFUSED,
	RESERVE_DOWN,
};

/**
 * struct reserve_member - instance that has to confirm
 * @key: names one incarnation of an instance
 * @in_flight: its requests on the engine; -1 before its first confirmation
 * @until_ms: its last confirmation holds until then
 */
struct reserve_member {
	uint64_t key;
	int in_flight;
	int64_t until_ms;
};

/**
 * struct reserve - reservation of one engine, at its holder
 * @shared: last engine of its role; ordinary work goes on beside the suspect
 * @round: number of the request that members confirm now; renewals count on
 * @sent_ms: when that round was first sent, @resend_ms when it was last sent
 * @overflow: more live members than fit, so that it is never granted
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

/** reserve_begin - ask for an engine; granted at once when @count is 0 */
void reserve_begin(struct reserve *r, bool shared, const uint64_t *members, int count,
		   int64_t now_ms);

/**
 * reserve_members - the instances that have to confirm from now on
 *
 * One that is new has not confirmed. One that is left out, because membership suspects it, does not
 * count any more, and has to confirm again when it is back.
 */
void reserve_members(struct reserve *r, const uint64_t *members, int count, int64_t now_ms);

/** reserve_confirm - answer of @member to round @round; older rounds are ignored */
void reserve_confirm(struct reserve *r, uint64_t member, uint32_t round, enum reserve_answer answer,
		     int in_flight, int64_t now_ms);

/** reserve_lose - another reservation of the engine comes first */
void reserve_lose(struct reserve *r);
void reserve_release(struct reserve *r);

/** reserve_tick - whether to send the request, with the round by now, to all other instances */
bool reserve_tick(struct reserve *r, int64_t now_ms);

/** reserve_held - granted, and every member that has to confirm does so still */
bool reserve_held(const struct reserve *r, int64_t now_ms);

/**
 * struct reserve_mark - reservation of one engine as every instance notes it, the holder included
 * @stamp: hybrid logical clock of the holder when it asked
 * @granted: at the holder only; yields to none
 */
struct reserve_mark {
	char endpoint[MEMBER_ID_MAX];
	char holder[MEMBER_ID_MAX];
	char token[RESERVE_TOKEN_MAX];
	uint64_t stamp;
	uint32_t round;
	int64_t until_ms;
	bool granted;
};

/** reserve_mark_live - in force at @now_ms */
bool reserve_mark_live(const struct reserve_mark *m, int64_t now_ms);

/** reserve_mark_earlier - @a comes before @b, by clock, then by holder */
bool reserve_mark_earlier(const struct reserve_mark *a, const struct reserve_mark *b);

/**
 * reserve_mark_offer - a reservation of the engine has been received
 * @displaced: out: the mark that it takes the place of; holder "" for none
 *
 * Return: false when the mark in force comes first.
 */
bool reserve_mark_offer(struct reserve_mark *m, const struct reserve_mark *offer,
			struct reserve_mark *displaced, int64_t now_ms);

#endif
