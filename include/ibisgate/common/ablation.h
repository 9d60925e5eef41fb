#ifndef IBISGATE_COMMON_ABLATION_H
#define IBISGATE_COMMON_ABLATION_H

#include <stdbool.h>

/*
 * Mechanisms that a test build can switch off, to show that the fault runs notice. Built with the
 * meson option "ablation"; normal builds contain none of it.
 */

/**
 * enum mechanism - what can be switched off
 * @MECHANISM_LEASE_CHECK: the lease is looked at before an order is sent
 * @MECHANISM_FENCING: orders carry the number of the lease
 * @MECHANISM_INTENT: the intent is in the table before the order is sent
 * @MECHANISM_DRAIN_ACK: an order waits for the confirmations of all instances
 * @MECHANISM_CLAIM: a call is claimed before it is dispatched
 * @MECHANISM_CLAIM_DOUBT: a claim whose write is in doubt is read back
 * @MECHANISM_NOT_RUN: "not run" is said only when nothing was sent
 * @MECHANISM_RESUME: a generation continues from the delivered tokens
 * @MECHANISM_ATTEMPT_ID: events of other attempts are dropped
 * @MECHANISM_CONFIG_CAS: a change is written only over the version that was seen
 * @MECHANISM_CONFIG_MONOTONIC: lower versions are not taken over
 * @MECHANISM_GRACEFUL: a stop waits for the requests that run
 * @MECHANISM_QUARANTINE: requests that crash engines are refused
 * @MECHANISM_SILENCE: silent connections are closed
 * @MECHANISM_SALT: the prefix cache is separated by organisation
 */
enum mechanism {
	MECHANISM_LEASE_CHECK,
	MECHANISM_FENCING,
	MECHANISM_INTENT,
	MECHANISM_DRAIN_ACK,
	MECHANISM_CLAIM,
	MECHANISM_CLAIM_DOUBT,
	MECHANISM_NOT_RUN,
	MECHANISM_RESUME,
	MECHANISM_ATTEMPT_ID,
	MECHANISM_CONFIG_CAS,
	MECHANISM_CONFIG_MONOTONIC,
	MECHANISM_GRACEFUL,
	MECHANISM_QUARANTINE,
	MECHANISM_SILENCE,
	MECHANISM_SALT,
};

/** ablated - whether IBISGATE_ABLATE names the mechanism, e.g. "lease_check,salt" */
#ifdef IBISGATE_ABLATION
bool ablated(enum mechanism m);
#else
static inline bool ablated(enum mechanism m)
{
	(void)m;
	return false;
}
#endif

#endif
