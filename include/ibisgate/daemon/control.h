#ifndef IBISGATE_DAEMON_CONTROL_H
#define IBISGATE_DAEMON_CONTROL_H

#include <jansson.h>

#include "ibisgate/daemon/fleet.h"
#include "ibisgate/daemon/gate.h"
#include "ibisgate/state/claim.h"
#include "ibisgate/state/member.h"
#include "ibisgate/state/reserve.h"

/**
 * control_create - create the control plane of @gate and start its children
 *
 * The children run under gate->supervisor, which must end them before control_destroy().
 *
 * Return: NULL with @err set when the peer listener can't be opened.
 */
struct control *control_create(struct gate *gate, struct error *err);

/**
 * control_leave - announce to the peers that this instance is draining and release its leases
 *
 * Blocks for less than 2 s.
 */
void control_leave(struct control *c);
void control_destroy(struct control *c);

/** control_peer_port - TCP port of the listener for peer messages */
int control_peer_port(const struct control *c);

/**
 * control_is_ready - whether the instance has a configuration, an endpoint list and the stops in
 * force
 *
 * Each of them comes from the platform or from a peer.
 */
bool control_is_ready(struct control *c);

/** control_missing_state - what control_is_ready() still lacks, a static string; NULL when ready */
const char *control_missing_state(struct control *c);

/** control_live_instance_count - number of live instances in the region, this one included; >= 1 */
int control_live_instance_count(struct control *c);

/**
 * control_instance_rank - index of this instance among the live instances of the region, sorted by
 * id
 * @count: out: number of these instances
 */
int control_instance_rank(struct control *c, int *count);

/* Engine load, for regions where not every instance polls every engine. */

/**
 * control_dc_live_ids - list the live instances of the own data centre
 * @ids: out: ids of the instances, room for @max
 * @self: out: index of this instance; -1 while it is not live
 *
 * Return: number of ids.
 */
int control_dc_live_ids(struct control *c, char (*ids)[MEMBER_ID_MAX], int max, int *self);

/**
 * control_load_publish - send peers the load of the engines that this instance polls
 * @mine: for each of the @count entries of @st, whether this instance is its poller
 *
 * Called every RELAY_INTERVAL_MS, always from the same thread. The delegate of a data centre also
 * sends a summary of the data centre's load to the other data centres.
 */
void control_load_publish(struct control *c, const struct endpoint_status *st, const bool *mine,
			  int count);

/* Quarantine of requests that crash engines, identified by their fingerprint. */
enum quarantine_verdict control_quarantine_check(struct control *c, uint64_t fingerprint);

/**
 * control_quarantine_add_crash - record a confirmed engine crash against a request
 * @ran_alone: no other request was in flight on the engine
 */
enum quarantine_verdict control_quarantine_add_crash(struct control *c, uint64_t fingerprint,
						     bool ran_alone);

/**
 * control_quarantine_add_suspicion - record that @endpoint refuses connections since the request
 * ran
 * @boot_id: boot id of the endpoint when the request was sent; "" when unknown
 * @ran_alone: no other request was in flight on the engine
 */
enum quarantine_verdict control_quarantine_add_suspicion(struct control *c, uint64_t fingerprint,
							 const char *endpoint, const char *boot_id,
							 bool ran_alone);

/**
 * control_quarantine_handle_boot_id - process the boot id that @endpoint reported in answer to a
 * poll
 * @asked_ms: when the poll was sent, boot clock
 *
 * A changed boot id confirms a suspected crash.
 */
void control_quarantine_handle_boot_id(struct control *c, const char *endpoint, const char *boot_id,
				       int64_t asked_ms);

/** control_quarantine_has_suspicion - whether evidence about a suspected crash of @endpoint is
 * missing */
bool control_quarantine_has_suspicion(struct control *c, const char *endpoint);
void control_quarantine_clear(struct control *c, uint64_t fingerprint);

/* Exclusive use of an engine in the region, for a request that is suspected of crashing engines. */

/**
 * control_reserve_begin - request all live instances to send no work to engine @endpoint
 * @is_last: this instance has no other engine of that role, and goes on using it
 *
 * Does not block.
 *
 * Return: handle for the calls below, which the caller ends with control_reserve_end(); 0 when
 * another instance has reserved the engine, or too many reservations are open.
 */
uint64_t control_reserve_begin(struct control *c, const char *endpoint, bool is_last);

/** control_reserve_wait - wait up to @wait_ms for the answers; returns the phase reached */
enum reserve_phase control_reserve_wait(struct control *c, uint64_t handle, int wait_ms);

/**
 * control_reserve_is_held - whether the reservation is granted and has excluded all others since
 *
 * Return: false as soon as any instance may have sent work to the engine since the grant.
 */
bool control_reserve_is_held(struct control *c, uint64_t handle);
void control_reserve_end(struct control *c, uint64_t handle);

/**
 * struct claim_ticket - one non-idempotent service call that carries an idempotency key
 * @verdict: CLAIM_DISPATCH, CLAIM_REPLAY, CLAIM_BODY_MISMATCH, CLAIM_REPORT_UNKNOWN or
 * CLAIM_REPORT_NOT_RUN
 * @status: HTTP status of the stored result, for CLAIM_REPLAY
 * @key: key of the claim's row in the table
 * @token: random id that tells this claim from others of the same key
 * @version: version of the row that was written
 * @fingerprint: hash of the request body
 * @result: body of the stored result, owned, for CLAIM_REPLAY; claim_ticket_clear() frees it
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
 * claim_begin - claim a call in the table before it is dispatched; blocks up to the deadline
 * @deadline_ms: boot clock
 * @out: the ticket; its verdict says whether the call may be dispatched
 *
 * While the table does not answer, the call is given up after a few platform timeouts, with
 * CLAIM_REPORT_NOT_RUN, or with CLAIM_REPORT_UNKNOWN once the row of another call has been seen.
 *
 * After CLAIM_DISPATCH the caller must end the claim with exactly one of claim_finish(),
 * claim_finish_unknown() or claim_release().
 */
void claim_begin(struct control *c, const char *organisation, const char *service,
		 struct str idempotency_key, struct str body, int64_t deadline_ms,
		 struct claim_ticket *out);

/**
 * claim_mark_dispatched - mark the call as about to be sent
 *
 * From then on this instance never reports the call as "not dispatched" to a peer.
 *
 * Return: false when this instance no longer holds the claim, and the call must not be sent.
 */
bool claim_mark_dispatched(struct control *c, struct claim_ticket *t);

/** claim_finish - store the result; the write is retried in the background while it fails */
void claim_finish(struct control *c, struct claim_ticket *t, int status, struct str body);

/** claim_finish_unknown - store that the outcome of the call is unknown; retried like
 * claim_finish() */
void claim_finish_unknown(struct control *c, struct claim_ticket *t);

/** claim_release - delete the row of a call that was provably not dispatched */
void claim_release(struct control *c, struct claim_ticket *t);
void claim_ticket_clear(struct claim_ticket *t);

/* Used by the admin listener. */

/** control_status - new object {"instance","state","config_version","members","leases",...} */
json_t *control_status(struct control *c);

/**
 * control_config_change - commit a change if the configuration is still at version @if_version
 * @if_version: version that the operator has read; -1 for the current one
 * @version: out: version of the accepted change, or the current version when another change won
 *
 * Return: 0, or -1 with the layer ERROR_STATE (invalid or stale change) or ERROR_PLATFORM (the
 * change was not written, or it is unknown whether it was because its token could not be read
 * back).
 */
int control_config_change(struct control *c, const char *key, json_t *value, const char *author,
			  int64_t if_version, int64_t *version, struct error *err);

#endif
