#ifndef IBISGATE_DAEMON_FLEET_USE_H
#define IBISGATE_DAEMON_FLEET_USE_H

#include "ibisgate/daemon/fleet.h"
#include "ibisgate/daemon/settings.h"
#include "ibisgate/policy/prefix.h"

/* Functions of the fleet that the data plane uses. */

#define FLEET_ENDPOINTS_MAX 512

/**
 * struct fleet_query - requirements of a request
 * @model: model of an engine or name of a plain service
 * @engine: look for engines; otherwise for plain services
 * @prefix: hashes of the prompt's pieces; NULL for plain services
 * @prompt_tokens: upper limit of the cached tokens that are credited
 * @avoid: ids of endpoints that failed the request; callers clear the list when no other is left
 * @settings: source of the distances between data centres; NULL for none
 * @rank: index of this instance among the @instances live ones, by which the engines for suspect
 *	requests are divided
 * @instances: live instances; 0 or 1 for no division
 */
struct fleet_query {
	const char *model;
	bool engine;
	const struct prefix *prefix;
	int64_t prompt_tokens;
	const int *avoid;
	int avoid_count;
	const struct settings *settings;
	int rank;
	int instances;
};

/**
 * fleet_candidates - list the endpoints that serve @q as input of route_pick()
 * @out: at least FLEET_ENDPOINTS_MAX entries; the field index is the endpoint id
 *
 * Return: number of entries written to @out.
 */
int fleet_candidates(struct fleet *f, const struct fleet_query *q, struct route_candidate *out);

/** fleet_has_model - whether an engine of @model is listed, in any state */
bool fleet_has_model(struct fleet *f, const char *model);

/**
 * struct fleet_slot - one attempt that is counted on an endpoint
 * @held: the attempt is counted; the other fields are valid
 * @id: endpoint id
 * @prefill_tokens: prompt tokens counted until fleet_slot_prefill_done()
 * @seqs: sequences counted until fleet_slot_release()
 * @is_exclusive: no other attempt may run on the engine; on the last engine of a role, no other
 *	suspect request
 * @reservation: handle of control_reserve_begin(); 0 for none
 * @boot_id: boot id of the endpoint when the slot was acquired; "" when unknown
 */
struct fleet_slot {
	bool held;
	int id;
	int64_t prefill_tokens;
	int seqs;
	bool is_exclusive;
	uint64_t reservation;
	char name[ENDPOINT_NAME_MAX];
	char url[128];
	char boot_id[24];
};

/**
 * fleet_slot_acquire - count an attempt on endpoint @id before it is sent
 *
 * A slot that was acquired before fleet_endpoint_stop() is part of fleet_endpoint_in_flight() until
 * fleet_slot_release().
 *
 * Return: false when the endpoint is stopped, unusable or reserved.
 */
bool fleet_slot_acquire(struct fleet *f, int id, int64_t prefill_tokens, int seqs,
			struct fleet_slot *out);

/**
 * struct fleet_reservation - engine that is reserved for one suspect request
 * @id: endpoint id; -1 for none
 * @is_last: ordinary requests have no other engine of the role and continue beside the suspect one
 */
struct fleet_reservation {
	int id;
	bool is_last;
	char name[ENDPOINT_NAME_MAX];
};

/** fleet_engine_reserve - choose and reserve an engine of @role; false when none is available */
bool fleet_engine_reserve(struct fleet *f, const struct fleet_query *q, enum endpoint_role role,
			  struct fleet_reservation *out);
void fleet_engine_unreserve(struct fleet *f, int reserved);

/** fleet_engine_unreserve_backoff - unreserve, and don't reserve the engine again for some time */
void fleet_engine_unreserve_backoff(struct fleet *f, int reserved);

enum fleet_exclusive {
	FLEET_EXCLUSIVE_ACQUIRED,
	FLEET_EXCLUSIVE_BUSY,
	FLEET_EXCLUSIVE_UNUSABLE,
};

/**
 * fleet_slot_acquire_exclusive - count a suspect request on the engine that is reserved for it
 *
 * Return: FLEET_EXCLUSIVE_ACQUIRED with @out filled, in which case fleet_slot_release() also ends
 * the reservation; FLEET_EXCLUSIVE_BUSY while other attempts of this instance run on the engine;
 * FLEET_EXCLUSIVE_UNUSABLE when the engine is no longer usable.
 */
enum fleet_exclusive fleet_slot_acquire_exclusive(struct fleet *f, int reserved,
						  int64_t prefill_tokens, int seqs,
						  struct fleet_slot *out);

enum fleet_peer_reserve {
	FLEET_PEER_RESERVED,
	FLEET_PEER_RESERVED_LAST,
	FLEET_PEER_REFUSED_FULL,
	FLEET_PEER_REFUSED_DOWN,
};

/**
 * fleet_peer_reserve - reserve engine @name for another instance; the engine need not be listed yet
 * @in_flight: out: requests of this instance in flight on the engine
 *
 * Return: FLEET_PEER_RESERVED when this instance sends no new work to the engine;
 * FLEET_PEER_RESERVED_LAST when it is reserved but ordinary requests continue, for lack of another
 * engine; FLEET_PEER_REFUSED_FULL or FLEET_PEER_REFUSED_DOWN, without a reservation, when ordinary
 * requests would be left without an engine or the engine has just gone down.
 */
enum fleet_peer_reserve fleet_peer_reserve(struct fleet *f, const char *name, int *in_flight);
void fleet_peer_unreserve(struct fleet *f, const char *name);

/** fleet_slot_end_exclusive - end the reservation; other attempts may run beside @slot */
void fleet_slot_end_exclusive(struct fleet *f, struct fleet_slot *slot);

/** fleet_slot_prefill_done - stop counting the attempt's prompt tokens as prefill backlog */
void fleet_slot_prefill_done(struct fleet *f, struct fleet_slot *slot);
void fleet_slot_release(struct fleet *f, struct fleet_slot *slot);

enum fleet_outcome {
	FLEET_SUCCESS,
	FLEET_FAILURE,
	FLEET_HARD_FAILURE,
};

/** fleet_result_record - report the result of an attempt to the circuit breaker of @name */
void fleet_result_record(struct fleet *f, const char *name, enum fleet_outcome outcome);

/** fleet_cache_add - record that the KV cache of the slot's engine holds the pieces of @p */
void fleet_cache_add(struct fleet *f, const struct fleet_slot *slot, const struct prefix *p);

/** fleet_cache_event - record that an engine has stored a piece, or has evicted it if !@stored */
void fleet_cache_event(struct fleet *f, const char *name, uint64_t piece, bool stored);

/** fleet_cache_clear - drop the cache index of @name, after a gap in its cache events */
void fleet_cache_clear(struct fleet *f, const char *name);

/**
 * fleet_set_homes - divide the engines of each role among the instances as their home engines
 * @rank: index of this instance among the @count live ones, in order of their ids
 *
 * An instance learns about the work of others only from reports that lag by seconds. Instances that
 * all choose by the same stale report overload the engine that was idle in it, so each instance
 * prefers its home engines.
 */
void fleet_set_homes(struct fleet *f, int rank, int count);

/** fleet_set_load_lag - set the age of the state that a load report shows when it arrives */
void fleet_set_load_lag(struct fleet *f, int64_t lag_ms);

/** fleet_first_attempt_record - count a first attempt, which adds to the endpoint's retry budget */
void fleet_first_attempt_record(struct fleet *f, const char *name, const struct retry_limits *l);

/** fleet_retry_decide - call retry_decide() with the retry budget of endpoint @name */
enum retry_verdict fleet_retry_decide(struct fleet *f, const char *name,
				      const struct retry_query *q,
				      struct retry_budget *organisation,
				      const struct retry_limits *l, int64_t *delay_ms);

#endif
