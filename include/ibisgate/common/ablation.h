#ifndef IBISGATE_COMMON_ABLATION_H
#define IBISGATE_COMMON_ABLATION_H

#include <stdbool.h>

/*
 * Mechanisms that a test build can disable, to verify that the fault-injection runs detect their
 * absence. Compiled in only with the meson option "ablation"; normal builds contain none of it.
 */

/**
 * enum mechanism - protection that can be disabled
 * @MECHANISM_LEASE_CHECK: the lease is checked before an order is sent
 * @MECHANISM_FENCING: orders carry the fencing token of the lease
 * @MECHANISM_INTENT: the intent is written to the table before the order is sent
 * @MECHANISM_DRAIN_ACK: an order is sent only after all instances have acknowledged the drain
 * @MECHANISM_CLAIM: a call is claimed before it is dispatched
 * @MECHANISM_CLAIM_READ_BACK: a claim whose write had an unknown outcome is read back
 * @MECHANISM_NOT_RUN: a request is reported as "not run" only when nothing was sent
 * @MECHANISM_RESUME: an interrupted generation continues after the tokens already delivered
 * @MECHANISM_ATTEMPT_ID: events that belong to another attempt are dropped
 * @MECHANISM_CONFIG_CAS: a configuration change is written only over the version that was read
 * @MECHANISM_CONFIG_MONOTONIC: a configuration of a lower version is not applied
 * @MECHANISM_GRACEFUL_SHUTDOWN: a shutdown waits for the requests in flight
 * @MECHANISM_QUARANTINE: requests that crash engines are refused
 * @MECHANISM_SILENCE_TIMEOUT: connections on which nothing arrives are closed
 * @MECHANISM_CACHE_SALT: the prefix cache is separated by organisation with a salt
 */
enum mechanism {
	MECHANISM_LEASE_CHECK,
	MECHANISM_FENCING,
	MECHANISM_INTENT,
	MECHANISM_DRAIN_ACK,
	MECHANISM_CLAIM,
	MECHANISM_CLAIM_READ_BACK,
	MECHANISM_NOT_RUN,
	MECHANISM_RESUME,
	MECHANISM_ATTEMPT_ID,
	MECHANISM_CONFIG_CAS,
	MECHANISM_CONFIG_MONOTONIC,
	MECHANISM_GRACEFUL_SHUTDOWN,
	MECHANISM_QUARANTINE,
	MECHANISM_SILENCE_TIMEOUT,
	MECHANISM_CACHE_SALT,
};

/**
 * mechanism_is_disabled - true if the environment variable IBISGATE_ABLATE lists the mechanism
 *
 * The variable holds names separated by commas, e.g. "lease_check,salt".
 */
#ifdef IBISGATE_ABLATION
bool mechanism_is_disabled(enum mechanism m);
#else
static inline bool mechanism_is_disabled(enum mechanism m)
{
	(void)m;
	return false;
}
#endif

#endif
