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
 * @token: unique to each write; shows whether a write without a reply has taken effect
 * @version: version of the row in the table
 * @era: era of the store that the writer knew, 0 for a store without eras
 */
struct lease_row {
	char holder[LEASE_ID_MAX];
	uint64_t incarnation;
	char token[LEASE_TOKEN_MAX];
	int64_t version;
	int64_t era;
};

/**
 * enum lease_phase - state of this instance's view of a lease
 * @LEASE_FOLLOWING: not held; the row is read from time to time
 * @LEASE_WRITING: a write is in progress
 * @LEASE_UNCERTAIN: a write got no reply and may have taken effect; the row has to be read
 * @LEASE_HELD: held, subject to lease_is_held()
 */
enum lease_phase {
	LEASE_FOLLOWING,
	LEASE_WRITING,
	LEASE_UNCERTAIN,
	LEASE_HELD,
};

/**
 * struct lease - one instance's view of the lease of one data centre
 * @last_row: last known row
 * @row_known: the row has been read, or is known not to exist
 * @row_changed_ms: local time of the last change of @last_row
 * @sent_ms: when the last write was sent
 * @sent_token: token of the last write
 * @valid_until_ms: end of the term, which starts just before the last successful write was sent
 * @fencing: fencing token of the current tenure, 0 when not held; stays the same through renewals
 * @term_ms: length of a term, the same for all instances, in milliseconds
 * @turn_ms: see lease_set_turn()
 * @acts_from_ms: the current tenure allows acts from then on
 * @era: the store's era, 0 for a store without eras; @sent_era is the same at @sent_ms
 * @acquire_from_ms: the lease may be acquired from then on, see lease_era_began()
 * @rewrites: held since before the store's era, in which the row was not written yet
 *
 * The fencing token is the row version of the write that acquired the lease.
 */
struct lease {
	enum lease_phase phase;
	char self[LEASE_ID_MAX];
	uint64_t incarnation;
	struct lease_row last_row;
	bool row_known;
	int64_t row_changed_ms;
	int64_t sent_ms;
	char sent_token[LEASE_TOKEN_MAX];
	int64_t valid_until_ms;
	int64_t fencing;
	int64_t term_ms;
	int64_t turn_ms;
	int64_t acts_from_ms;
	int64_t era;
	int64_t sent_era;
	int64_t acquire_from_ms;
	bool rewrites;
};

enum lease_action_kind {
	LEASE_DO_NOTHING,
	LEASE_DO_READ,
	LEASE_DO_WRITE,
};

/**
 * struct lease_action - table operation that the caller has to perform
 * @if_version: expected version of the row; 0 means that the row must not exist
 * @row: value to write
 */
struct lease_action {
	enum lease_action_kind kind;
	int64_t if_version;
	struct lease_row row;
};

/**
 * enum lease_result - outcome of a table operation
 * @LEASE_WRITE_CONFLICT: the row did not have the expected version
 * @LEASE_WRITE_UNCERTAIN: no reply; the write may have taken effect, or may do so later
 * @LEASE_WRITE_NOT_SENT: the write has certainly not taken effect
 * @LEASE_READ_NONE: there is no row
 */
enum lease_result {
	LEASE_WRITE_OK,
	LEASE_WRITE_CONFLICT,
	LEASE_WRITE_UNCERTAIN,
	LEASE_WRITE_NOT_SENT,
	LEASE_READ_OK,
	LEASE_READ_NONE,
	LEASE_READ_FAILED,
};

void lease_init(struct lease *l, const char *self, uint64_t incarnation);

/**
 * lease_set_turn - holders mustn't act in turns within @turn_ms
 * @term_ms: length of a term, longer than @turn_ms and at least twice LEASE_RENEW_MS
 *
 * A lease that expired was watched for a term, so its next holder acts at once. One that was
 * released may have changed hands several times just before, so its next holder waits first.
 */
void lease_set_turn(struct lease *l, int64_t turn_ms, int64_t term_ms);

/** lease_may_act - whether an act may take effect from now until @margin_ms later */
bool lease_may_act(const struct lease *l, int64_t margin_ms, int64_t now_ms);

/**
 * lease_next_action - determine the next table operation
 * @eligible: false if this instance must not acquire or renew the lease: it is draining, or the
 *            lease belongs to another data centre that has live instances
 * @token: new unique token for a write
 */
struct lease_action lease_next_action(struct lease *l, bool eligible, const char *token,
				      int64_t now_ms);

/** lease_handle_result - process the outcome of the operation; @row is the row read or written, or
 * NULL */
void lease_handle_result(struct lease *l, enum lease_result result, const struct lease_row *row,
			 int64_t now_ms);

/**
 * lease_era_began - the store runs in @era, which was not known so far
 * @since_ms: when this instance first knew of it
 *
 * The row may be older than what was written last: another instance may have acquired the lease in
 * the seconds that were lost. So nobody acquires it within a term, and who holds it writes the row
 * again, whatever it says. An instance that has just started can't tell whether the era is new.
 */
void lease_era_began(struct lease *l, int64_t era, int64_t since_ms, int64_t now_ms);

/**
 * lease_note_version - the holder has told that a write of its own gave the row @version
 * @holder: not this instance
 *
 * Counts as having seen the row, so that a successor waits only for the rest of the term. Ignored
 * unless the version is newer than the one seen last.
 */
void lease_note_version(struct lease *l, const char *holder, int64_t version, int64_t now_ms);

/** lease_is_held - whether the lease is held; checked again right before each order is sent */
bool lease_is_held(const struct lease *l, int64_t now_ms);

/**
 * lease_is_held_with - whether the lease is held with fencing token @fencing
 *
 * A lease that was lost and acquired again has a different fencing token. Another instance may
 * have held it in between, so work that was started in one tenure must not continue in the next.
 */
bool lease_is_held_with(const struct lease *l, int64_t fencing, int64_t now_ms);

/**
 * lease_release - give up the lease
 * @out: out: the write that releases the lease in the table
 *
 * Return: false when the lease is not held, so that there is nothing to write.
 */
bool lease_release(struct lease *l, const char *token, int64_t now_ms, struct lease_action *out);

#endif
