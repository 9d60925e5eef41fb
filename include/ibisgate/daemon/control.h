#ifndef IBISGATE_DAEMON_CONTROL_H
#define IBISGATE_DAEMON_CONTROL_H

#include <jansson.h>

#include "ibisgate/daemon/fleet.h"
#include "ibisgate/daemon/gate.h"
#include "ibisgate/state/claim.h"
#include "ibisgate/state/member.h"
#include "ibisgate/state/reserve.h"

/** control_create - control plane of @gate; starts its children under gate->supervisor */
struct control *control_create(struct gate *gate, struct error *err);

/** control_leave - announce that this instance is draining and release its leases; blocks < 2 s */
void control_leave(struct control *c);
void control_destroy(struct control *c);

/** control_peer_port - TCP port of the peer listener */
int control_peer_port(const struct control *c);

/** control_ready - configuration, endpoint list and stops learned, from the platform or a peer */
bool control_ready(struct control *c);

/** control_awaits - what is still to be learned, static string; NULL when ready */
const char *control_awaits(struct control *c);

/** control_live_instances - live instances of the region, this one included; >= 1 */
int control_live_instances(struct control *c);

/** control_rank - place of this instance among @count live ones in order of their ids */
int control_rank(struct control *c, int *count);

/* Load of engines in a large region. */

/**
 * control_dc_live - ids of the live instances of the own data centre
 * @self: out: index of this instance; -1 while it is not live
 */
int control_dc_live(struct control *c, char (*ids)[MEMBER_ID_MAX], int max, int *self);

/**
 * control_load_relay - tell others about the engines that this instance polls; each RELAY_MS
 * @mine: for each of the @count entries of @st, whether this instance is its poller
 *
 * A delegate also sends the summary of its data centre to the others. One thread only.
 */
void control_load_relay(struct control *c, const struct endpoint_status *st, const bool *mine,
			int count);

/* Crashing requests. */
enum quarantine_verdict control_quarantine_check(struct control *c, uint64_t fingerprint);
enum quarantine_verdict control_quarantine_charge(struct control *c, uint64_t fingerprint,
						  bool alone);

/**
 * control_quarantine_suspect - @endpoint refuses connections since the request ran there
 * @boot_id: of the endpoint when the request was sent; "" when unknown
 */
enum quarantine_verdict control_quarantine_suspect(struct control *c, uint64_t fingerprint,
						   const char *endpoint, const char *boot_id,
						   bool alone);

/** control_quarantine_seen - @endpoint, asked at @asked_ms (boot clock), runs as @boot_id */
void control_quarantine_seen(struct control *c, const char *endpoint, const char *boot_id,
			     int64_t asked_ms);

/** control_quarantine_awaits - evidence about a crash of @endpoint is awaited here */
bool control_quarantine_awaits(struct control *c, const char *endpoint);
void control_quarantine_clear(struct control *c, uint64_t fingerprint);

/**
 * control_reserve_begin - ask all live instances to keep off engine @endpoint; does not block
 * @last: this instance has no other engine of that role, and goes on using it
 *
 * Return: handle for the calls below, ended with control_reserve_end(); 0 when another instance has
 * reserved the engine, or too many reservations are open.
 */
uint64_t control_reserve_begin(struct control *c, const char *endpoint, bool last);

/** control_reserve_wait - wait up to @wait_ms for the answers; phase by then */
enum reserve_phase control_reserve_wait(struct control *c, uint64_t handle, int wait_ms);

/** control_reserve_held - granted, and no instance may have used the engine since */
bool control_reserve_held(struct control *c, uint64_t handle);
void control_reserve_end(struct control *c, uint64_t handle);

/**
 * struct claim_ticket - one non-idempotent call with a key
 * @verdict: CLAIM_DISPATCH, CLAIM_REPLAY, CLAIM_OTHER_BODY, CLAIM_SAY_UNKNOWN or CLAIM_SAY_NOT_RUN
 * @status: HTTP status of the stored result, for CLAIM_REPLAY
 * @result: body of the stored result, owned, for CLAIM_REPLAY
 */
struct claim_ticket {
	enum claim_verdict verdict;
	char key[256];
	char token[24];
	int64_t version;
	char fingerprint[CLAIM_FINGERPRINT_MAX];
	int status;
	struct buf result;
};

/**
 * claim_begin - claim a call before dispatch; blocks up to the deadline
 * @deadline_ms: boot clock
 *
 * While the table does not answer it gives up after a few time limits of the platform, with
 * CLAIM_SAY_NOT_RUN, or CLAIM_SAY_UNKNOWN once the row of another call has been seen.
 *
 * On CLAIM_DISPATCH the caller must end with exactly one of claim_finish(), claim_unknown() or
 * claim_release().
 */
void claim_begin(struct control *c, const char *organisation, const char *service,
		 struct str idempotency_key, struct str body, int64_t deadline_ms,
		 struct claim_ticket *out);

/**
 * claim_dispatching - mark the call as about to be sent; from here on it is never "not dispatched"
 *
 * Return: false when the claim is no longer ours and the call must not be sent.
 */
bool claim_dispatching(struct control *c, struct claim_ticket *t);

/** claim_finish - store the result; retried in the background while the table is down */
void claim_finish(struct control *c, struct claim_ticket *t, int status, struct str body);
void claim_unknown(struct control *c, struct claim_ticket *t);

/** claim_release - provably not dispatched: delete the row */
void claim_release(struct control *c, struct claim_ticket *t);
void claim_ticket_clear(struct claim_ticket *t);

/* Operator's side, used by the admin listener. */

/** control_status - {"instance","state","config_version","members","endpoints","leases",...} */
json_t *control_status(struct control *c);

/**
 * control_config_change - commit a change if the configuration is still at @if_version
 * @if_version: version that the operator saw; -1 to take the current one
 * @version: out: version of the accepted change, or the one that won the race
 *
 * Return: 0, or -1 with the layer ERROR_STATE (invalid, stale) or ERROR_PLATFORM (not run, or
 * doubtful after the token could not be read back).
 */
int control_config_change(struct control *c, const char *key, json_t *value, const char *author,
			  int64_t if_version, int64_t *version, struct error *err);

#endif
