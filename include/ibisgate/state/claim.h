#ifndef IBISGATE_STATE_CLAIM_H
#define IBISGATE_STATE_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

#define CLAIM_FINGERPRINT_MAX 65
#define CLAIM_RESULT_MAX 65536

enum claim_phase {
	CLAIM_RUNNING,
	CLAIM_DONE,
	CLAIM_UNKNOWN,
};

/**
 * struct claim_row - contents of row "claim/<organisation>/<service>/<hash of key>"
 * @phase: RUNNING from before dispatch; DONE with a result; UNKNOWN when the owner can't tell
 * @status: HTTP status of the result
 * @result: body of the result
 */
struct claim_row {
	enum claim_phase phase;
	char owner[48];
	uint64_t incarnation;
	char fingerprint[CLAIM_FINGERPRINT_MAX];
	char token[24];
	int64_t version;
	int status;
	struct str result;
};

/** enum claim_owner - what is known about the owner of a RUNNING claim that is not ours */
enum claim_owner {
	OWNER_LIVE,
	OWNER_SILENT,
	OWNER_GONE,
	OWNER_NEVER_DISPATCHED,
};

enum claim_verdict {
	CLAIM_DISPATCH,
	CLAIM_REPLAY,
	CLAIM_OTHER_BODY,
	CLAIM_WAIT,
	CLAIM_SAY_UNKNOWN,
	CLAIM_SAY_NOT_RUN,
	CLAIM_READ_AGAIN,
};

/** enum claim_write - outcome of the create-only write of the claim row */
enum claim_write {
	CLAIM_WRITE_OK,
	CLAIM_WRITE_EXISTS,
	CLAIM_WRITE_DOUBTFUL,
	CLAIM_WRITE_FAILED,
};

/** claim_after_write - what follows the write; a doubtful one is settled by claim_after_read() */
enum claim_verdict claim_after_write(enum claim_write w);

/**
 * claim_after_read - what a row that was found means for a call
 * @row: row found, NULL when there is none
 * @sent_token: token of our own doubtful write, NULL when we sent none
 * @fingerprint: of the body of this call
 * @self: id of this instance, @incarnation its incarnation
 *
 * A row with our token means that our write took effect: CLAIM_DISPATCH.
 */
enum claim_verdict claim_after_read(const struct claim_row *row, const char *sent_token,
				    const char *fingerprint, const char *self, uint64_t incarnation,
				    enum claim_owner owner, int64_t now_ms, int64_t deadline_ms);

#endif
