#include <string.h>

#include "ibisgate/state/claim.h"

enum claim_verdict claim_verdict_after_write(enum claim_write w)
{
	switch (w) {
	case CLAIM_WRITE_OK:
		return CLAIM_DISPATCH;
	case CLAIM_WRITE_EXISTS:
	case CLAIM_WRITE_UNCERTAIN:
		return CLAIM_RETRY;
	case CLAIM_WRITE_FAILED:
		break;
	}
	return CLAIM_REPORT_NOT_RUN;
}

static enum claim_verdict running_verdict(const struct claim_row *row, const char *self,
					  uint64_t incarnation, enum claim_owner_status owner,
					  bool late)
{
	if (strcmp(row->owner, self) == 0 && row->incarnation != incarnation)
		return CLAIM_REPORT_UNKNOWN;
	switch (owner) {
	case CLAIM_OWNER_GONE:
		return CLAIM_REPORT_UNKNOWN;
	case CLAIM_OWNER_NEVER_DISPATCHED:
		return late ? CLAIM_REPORT_NOT_RUN : CLAIM_RETRY;
	case CLAIM_OWNER_LIVE:
	case CLAIM_OWNER_UNREACHABLE:
		break;
	}
	return late ? CLAIM_REPORT_UNKNOWN : CLAIM_WAIT;
}

enum claim_verdict claim_verdict_after_read(const struct claim_row *row, const char *sent_token,
					    const char *fingerprint, const char *self,
					    uint64_t incarnation, enum claim_owner_status owner,
					    int64_t now_ms, int64_t deadline_ms)
{
	bool late = now_ms >= deadline_ms;

	if (!row)
		return late ? CLAIM_REPORT_NOT_RUN : CLAIM_RETRY;
	if (sent_token && strcmp(row->token, sent_token) == 0 && row->phase == CLAIM_RUNNING)
		return CLAIM_DISPATCH;
	if (strcmp(row->fingerprint, fingerprint) != 0)
		return CLAIM_BODY_MISMATCH;
	switch (row->phase) {
	case CLAIM_DONE:
		return CLAIM_REPLAY;
	case CLAIM_UNKNOWN:
		return CLAIM_REPORT_UNKNOWN;
	case CLAIM_RUNNING:
		break;
	}
	return running_verdict(row, self, incarnation, owner, late);
}
