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
 * struct claim_row - row "claim/<organisation>/<service>/<hash of key>" for one idempotency key
 * @phase: RUNNING from before dispatch; DONE with a result; UNKNOWN when the owner can't determine
 *         whether the call ran
 * @owner: id of the instance that wrote the claim
 * @incarnation: incarnation of the owner
 * @fingerprint: fingerprint of the request body
 * @token: unique to the write that created the claim
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

/**
 * enum claim_owner_status - state of the owner of a RUNNING claim, as far as this instance knows
 * @CLAIM_OWNER_LIVE: the owner is running
 * @CLAIM_OWNER_UNREACHABLE: the owner can't be reached, but is not known to have ended
 * @CLAIM_OWNER_GONE: the process that wrote the claim has ended
 * @CLAIM_OWNER_NEVER_DISPATCHED: the owner has no such call in progress and never dispatched it
 */
enum claim_owner_status {
	CLAIM_OWNER_LIVE,
	CLAIM_OWNER_UNREACHABLE,
	CLAIM_OWNER_GONE,
	CLAIM_OWNER_NEVER_DISPATCHED,
};

/**
 * enum claim_verdict - how to proceed with a call
 * @CLAIM_DISPATCH: the claim is ours; send the call to an endpoint
 * @CLAIM_REPLAY: answer with the stored result
 * @CLAIM_BODY_MISMATCH: refuse: the key was used with a different request body
 * @CLAIM_WAIT: the call is running elsewhere; read the row again later
 * @CLAIM_REPORT_UNKNOWN: answer that the outcome is unknown
 * @CLAIM_REPORT_NOT_RUN: answer that the call was not executed
 * @CLAIM_RETRY: read the row and write the claim if there is none
 */
enum claim_verdict {
	CLAIM_DISPATCH,
	CLAIM_REPLAY,
	CLAIM_BODY_MISMATCH,
	CLAIM_WAIT,
	CLAIM_REPORT_UNKNOWN,
	CLAIM_REPORT_NOT_RUN,
	CLAIM_RETRY,
};

/**
 * enum claim_write - outcome of the create-only write of the claim row
 * @CLAIM_WRITE_UNCERTAIN: no reply; the write may have taken effect, or may do so later
 */
enum claim_write {
	CLAIM_WRITE_OK,
	CLAIM_WRITE_EXISTS,
	CLAIM_WRITE_UNCERTAIN,
	CLAIM_WRITE_FAILED,
};

/**
 * claim_verdict_after_write - how to proceed after the write
 *
 * A write without a reply has to be resolved by reading the row; see claim_verdict_after_read().
 */
enum claim_verdict claim_verdict_after_write(enum claim_write w);

/**
 * claim_verdict_after_read - how to proceed after reading the row
 * @row: row found, NULL when there is none
 * @sent_token: token of our own write that got no reply, NULL when there was no such write
 * @fingerprint: fingerprint of the body of this call
 * @self: id of this instance
 * @incarnation: incarnation of this instance
 * @owner: state of the owner of @row
 * @deadline_ms: deadline of the call, on the same clock as @now_ms
 *
 * A row with our token means that our write took effect: CLAIM_DISPATCH.
 */
enum claim_verdict claim_verdict_after_read(const struct claim_row *row, const char *sent_token,
					    const char *fingerprint, const char *self,
					    uint64_t incarnation, enum claim_owner_status owner,
					    int64_t now_ms, int64_t deadline_ms);

#endif
