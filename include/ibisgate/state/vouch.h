#ifndef IBISGATE_STATE_VOUCH_H
#define IBISGATE_STATE_VOUCH_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/state/member.h"

#define VOUCH_MAX 256
/* Time between two full lists. */
#define VOUCH_FULL_MS 2000

/** struct vouch - a member that the sender believes alive; @tag is peer_tag() of it */
struct vouch {
	uint32_t tag;
	enum member_state state;
	uint32_t age_ms;
};

/** struct vouch_set - vouchers of one sender at one time */
struct vouch_set {
	int count;
	struct vouch entries[VOUCH_MAX];
};

/**
 * struct vouch_list - what one heartbeat says about the members that its sender vouches for
 * @full: @entries are all of them; otherwise those that differ from the last full list, with state
 *	MEMBER_GONE for one that is no longer vouched for, and those heard late
 * @digest: of all members vouched for and their states, in any order
 * @age_ms: no member that is left out of @entries, and none but the late ones, was heard longer ago
 */
struct vouch_list {
	bool full;
	uint32_t digest;
	uint32_t age_ms;
	int count;
	struct vouch entries[VOUCH_MAX];
};

/**
 * vouch_list_make - the list that stands for @all
 * @base: the last full list
 * @late_ms: members heard longer ago are named with their age, so that one of them does not make
 *	all others look old
 */
void vouch_list_make(const struct vouch_set *base, const struct vouch_set *all, bool full,
		     uint32_t late_ms, struct vouch_list *out);

/**
 * vouch_list_read - members that a received list vouches for
 * @base: last full list received from that sender; replaced by a full list
 * @out: all members when the digest shows that none is missing or outdated, otherwise the named
 *	ones, until the next full list
 *
 * A partial list holds all changes since the last full one, so that a lost partial list has no
 * effect and a lost full one has none unless something changed.
 */
void vouch_list_read(struct vouch_set *base, const struct vouch_list *l, struct vouch_set *out);

/** vouch_digest_tags - order-independent digest of @tags; 0 for none */
uint32_t vouch_digest_tags(const uint32_t *tags, int count);

#endif
