#ifndef IBISGATE_DUTY_DUTY_H
#define IBISGATE_DUTY_DUTY_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/duty/host.h"
#include "ibisgate/platform/api.h"

/*
 * Work that one instance does for all others. The instance that holds the duty holds a lease in a
 * row of the platform's store; its fencing token is the row version of the write that acquired it.
 */

/**
 * enum duty_wish - what this instance wants of a duty
 * @DUTY_IGNORE: no call to the store
 * @DUTY_WATCH: the row is read now and then, so that a dead holder's term is known to have begun
 * @DUTY_HOLD: acquired, and renewed while held
 */
enum duty_wish {
	DUTY_IGNORE,
	DUTY_WATCH,
	DUTY_HOLD,
};

struct duty;

/**
 * duty_create - take part in a duty
 * @host: valid as long as the duty
 * @subject: key of the lease's row; all work with the same subject has the same holder
 */
struct duty *duty_create(const struct duty_host *host, const char *subject);
void duty_destroy(struct duty *d);

/** duty_step - call some times a second; makes at most one call to the store at a time */
void duty_step(struct duty *d, enum duty_wish wish, int64_t now_ms);

/**
 * duty_is_held - whether this instance may act; checked right before each act
 * @margin_ms: time until the act takes effect, in milliseconds
 * @fencing: out: fencing token of the tenure, or NULL
 */
bool duty_is_held(const struct duty *d, int64_t margin_ms, int64_t now_ms, int64_t *fencing);

/** duty_is_held_with - duty_is_held() in the tenure with fencing token @fencing */
bool duty_is_held_with(const struct duty *d, int64_t fencing, int64_t margin_ms, int64_t now_ms);

/** duty_left_ms - time left of the term, in milliseconds; for the log */
int64_t duty_left_ms(const struct duty *d, int64_t now_ms);

/** duty_fencing - fencing token of the tenure, 0 when not held */
int64_t duty_fencing(const struct duty *d);

/** duty_row_version - version of the row, as last read or written */
int64_t duty_row_version(const struct duty *d);

/** duty_note_row - holder @id has told the version that its last write gave the row */
void duty_note_row(struct duty *d, const char *id, int64_t version, int64_t now_ms);

/** duty_held_elsewhere - whether the row names another instance, as last read */
bool duty_held_elsewhere(const struct duty *d);

/** duty_release - give up the duty because this instance stops; acquired no more afterwards */
void duty_release(struct duty *d, int64_t now_ms);

#endif
