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
 * @incarnation: wall time in milliseconds at the start of its process; higher replaces lower
 * @peer: ZeroMQ address "ip:port"
 * @http: caller address "ip:port"
 * @admin: operator address "ip:port"
 * @heard_ms: local time of the last heartbeat or of the last summary that vouches for it
 * @direct: heard directly, not through a summary
 * @hears_us: its last heartbeat named this instance; false on a one-way loss
 * @heard_digest: of the list of members in its heartbeat that @hears_us was read from
 * @config_version: configuration version in force there
 */
struct member {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation;
	char dc[MEMBER_DC_MAX];
	char peer[MEMBER_ADDR_MAX];
	char http[MEMBER_ADDR_MAX];
	char admin[MEMBER_ADDR_MAX];
	enum member_state state;
	int64_t heard_ms;
	bool direct;
	bool hears_us;
	uint32_t heard_digest;
	int64_t config_version;
};

/** peer_tag - short name of one incarnation of an instance in messages */
uint32_t peer_tag(const char *id, uint64_t incarnation);

/**
 * struct member_table - members known to one instance; not thread-safe
 */
struct member_table;

struct member_table *member_table_create(const struct member *self);
void member_table_destroy(struct member_table *t);

/**
 * member_heard - apply a heartbeat (@direct) or an entry of a summary
 *
 * Entries with an incarnation below the known one are ignored.
 *
 * Return: true if the entry changed state, address or incarnation.
 */
bool member_heard(struct member_table *t, const struct member *m, bool direct, int64_t now_ms);

/** member_listed - learn an address from the seeds or the platform's list; state JOINING */
void member_listed(struct member_table *t, const char *id, const char *dc, const char *peer,
		   int64_t now_ms);

/** member_tick - age the entries; returns the number of members whose state changed */
int member_tick(struct member_table *t, int64_t now_ms);

/** member_count - entries, this instance included */
int member_count(const struct member_table *t);
const struct member *member_at(const struct member_table *t, int i);
const struct member *member_find(const struct member_table *t, const char *id);

/** member_live - members in state LIVE or DRAINING of data centre @dc; NULL counts all */
int member_live(const struct member_table *t, const char *dc);

/** member_delegate - lowest live id of data centre @dc; NULL if it has none */
const struct member *member_delegate(const struct member_table *t, const char *dc);

/**
 * member_sends_to - whether this instance sends a heartbeat to @m now
 *
 * All of its own data centre; others only between delegates, and to members never heard, so that a
 * join or a healed partition is noticed.
 */
bool member_sends_to(const struct member_table *t, const struct member *m);

#endif
