#ifndef IBISGATE_STATE_MEMBER_H
#define IBISGATE_STATE_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#define MEMBER_ID_MAX 48
#define MEMBER_DC_MAX 32
#define MEMBER_ADDR_MAX 64
#define MEMBER_HEARTBEAT_MS 500
#define MEMBER_SUMMARY_MS 1000
#define MEMBER_SUSPECT_MS 2000
#define MEMBER_GONE_MS 6000

enum member_state {
	MEMBER_JOINING,
	MEMBER_LIVE,
	MEMBER_DRAINING,
	MEMBER_SUSPECT,
	MEMBER_GONE,
};

/**
 * struct member - one instance of the system
 * @incarnation: wall time in milliseconds at the start of its process, 0 if it was never heard
 * from; a higher incarnation replaces a lower one
 * @peer: ZeroMQ address "ip:port"
 * @http: address for callers "ip:port"
 * @admin: address for operators "ip:port"
 * @last_heard_ms: local time of the last heartbeat, or of the last sign of life that a summary
 * reports
 * @heard_directly: the last update came in a heartbeat of its own, not in a summary
 * @hears_us: its last heartbeat listed this instance as heard; false if only one direction works
 * @heard_digest: digest of the list in its heartbeat that @hears_us was read from
 * @config_version: configuration version in force at the member
 */
struct member {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation;
	char dc[MEMBER_DC_MAX];
	char peer[MEMBER_ADDR_MAX];
	char http[MEMBER_ADDR_MAX];
	char admin[MEMBER_ADDR_MAX];
	enum member_state state;
	int64_t last_heard_ms;
	bool heard_directly;
	bool hears_us;
	uint32_t heard_digest;
	int64_t config_version;
};

/** peer_tag - 32-bit hash that identifies one incarnation of an instance in messages */
uint32_t peer_tag(const char *id, uint64_t incarnation);

/**
 * struct member_table - members known to one instance; entry 0 is the instance itself
 *
 * Not thread-safe.
 */
struct member_table;

struct member_table *member_table_create(const struct member *self);
void member_table_destroy(struct member_table *t);

/**
 * member_update - apply a heartbeat or an entry of a summary
 * @direct: @m comes from a heartbeat of the member itself
 *
 * Entries with a lower incarnation than the known one are ignored.
 *
 * Return: true if the state, data centre, an address or the incarnation has changed.
 */
bool member_update(struct member_table *t, const struct member *m, bool direct, int64_t now_ms);

/**
 * member_add_address - add or refresh an address that does not come from the member itself
 *
 * The address comes from the seeds, the platform's list or another member. A new entry has state
 * MEMBER_JOINING.
 */
void member_add_address(struct member_table *t, const char *id, const char *dc, const char *peer,
			int64_t now_ms);

/** member_table_tick - update states by age; returns the number of members whose state changed */
int member_table_tick(struct member_table *t, int64_t now_ms);

/** member_count - number of entries, including this instance */
int member_count(const struct member_table *t);
const struct member *member_at(const struct member_table *t, int i);
const struct member *member_find(const struct member_table *t, const char *id);

/** member_count_live - number of members of @dc that are LIVE or DRAINING; NULL counts all */
int member_count_live(const struct member_table *t, const char *dc);

/** member_find_delegate - the member of @dc with the lowest id that is LIVE or DRAINING; NULL if
 * none */
const struct member *member_find_delegate(const struct member_table *t, const char *dc);

/**
 * member_is_heartbeat_target - whether this instance sends heartbeats to @m
 *
 * It sends them to all members of its own data centre. Between data centres only delegates do, and
 * they also try members that are suspect or gone, so that the end of a partition is noticed. Every
 * instance sends to members that it has never heard from, so that joins are noticed.
 */
bool member_is_heartbeat_target(const struct member_table *t, const struct member *m);

#endif
