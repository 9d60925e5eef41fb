#ifndef IBISGATE_STATE_LEASE_H
#define IBISGATE_STATE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define LEASE_TERM_MS 6000
#define LEASE_RENEW_MS 2000
#define LEASE_ID_MAX 48
#define LEASE_TOKEN_MAX 24

/**
 * struct lease_row - contents of row "lease/<dc>"
 * @holder: instance id; "" when released
 * @incarnation: incarnation of the holder
 * @token: unique to each write, settles a doubtful reply
 * @version: row version of the table; the fencing number while @holder holds it
 */
struct lease_row {
	char holder[LEASE_ID_MAX];
	uint64_t incarnation;
	char token[LEASE_TOKEN_MAX];
	int64_t version;
};

enum lease_phase {
	LEASE_FOLLOWING,
	LEASE_WRITING,
	LEASE_DOUBTFUL,
	LEASE_HELD,
};

/**
 * struct lease - view of one instance on the lease of one data centre
 * @seen: last row known
 * @seen_ms: when @seen last changed, on the local clock
 * @sent_ms: when the pending write was sent
 * @valid_until_ms: end of the term counted from before the write was sent
 * @fencing: fencing number of the current holding; stays the same through renewals
 *
 * The fencing number is the row version of the acquisition; renewals keep it in the row's value.
 */
struct lease {
	enum lease_phase phase;
	char self[LEASE_ID_MAX];
	uint64_t incarnation;
	struct lease_row seen;
	bool seen_any;
	int64_t seen_ms;
	int64_t sent_ms;
	char sent_token[LEASE_TOKEN_MAX];
	int64_t valid_until_ms;
	int64_t fencing;
};

enum lease_action_kind {
	LEASE_DO_NOTHING,
	LEASE_DO_READ,
	LEASE_DO_WRITE,
};

/**
 * struct lease_action - call that the caller is to make on the table
 * @if_version: expected version of the row; 0 means that it must not exist
 * @row: value to write
 */
struct lease_action {
	enum lease_action_kind kind;
	int64_t if_version;
	struct lease_row row;
};

enum lease_result {
	LEASE_WRITE_OK,
	LEASE_WRITE_CONFLICT,
	LEASE_WRITE_DOUBTFUL,
	LEASE_WRITE_NOT_SENT,
	LEASE_READ_OK,
	LEASE_READ_NONE,
	LEASE_READ_FAILED,
};

void lease_init(struct lease *l, const char *self, uint64_t incarnation);

/**
 * lease_next - next call to make
 * @eligible: false keeps the instance from acquiring (it is draining, or the lease is of another
 *            data centre that has live instances)
 * @token: fresh unique token for a write
 */
struct lease_action lease_next(struct lease *l, bool eligible, const char *token, int64_t now_ms);

/** lease_report - report the outcome of the call; @row is the row read or written, or NULL */
void lease_report(struct lease *l, enum lease_result result, const struct lease_row *row,
		  int64_t now_ms);

/** lease_held - true while orders may be given; checked again right before each order is sent */
bool lease_held(const struct lease *l, int64_t now_ms);

/**
 * lease_held_as - true while the holding that began with @fencing goes on
 *
 * A lease that was lost and acquired again is another holding: someone else may have acted in
 * between, so what was begun under the first must not go on under the second.
 */
bool lease_held_as(const struct lease *l, int64_t fencing, int64_t now_ms);

/** lease_release - row that gives the lease up; false when it is not held */
bool lease_release(struct lease *l, const char *token, int64_t now_ms, struct lease_action *out);

#endif
