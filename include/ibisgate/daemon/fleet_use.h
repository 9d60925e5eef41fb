#ifndef IBISGATE_DAEMON_FLEET_USE_H
#define IBISGATE_DAEMON_FLEET_USE_H

#include "ibisgate/daemon/fleet.h"
#include "ibisgate/daemon/settings.h"
#include "ibisgate/policy/prefix.h"

/* Calls of the data plane on the fleet. */

#define FLEET_ENDPOINTS_MAX 512

/**
 * struct fleet_query - what a request needs from an endpoint
 * @model: model of an engine or name of a plain service
 * @engine: engines, otherwise plain services
 * @prefix: pieces of the prompt; NULL for plain services
 * @prompt_tokens: upper limit of the cached tokens
 * @avoid: endpoint ids that failed this request; used again when nothing else is left
 * @settings: source of the distances; NULL for none
 * @rank: of this instance among @instances live ones, which divide the engines for suspects
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
 * fleet_candidates - endpoints for @q as input of route_pick(); @index is the endpoint id
 *
 * Return: number of entries written to @out, at most FLEET_ENDPOINTS_MAX.
 */
int fleet_candidates(struct fleet *f, const struct fleet_query *q, struct route_candidate *out);

/** fleet_has_model - an engine of @model is listed, in whatever state */
bool fleet_has_model(struct fleet *f, const char *model);

/**
 * struct fleet_slot - one attempt counted on an endpoint
 * @id: endpoint id; valid while @held
 * @prefill_tokens: prompt tokens counted until fleet_slot_prefill_done()
 * @seqs: sequences counted until the release
 * @alone: no other attempt may run there, on the last engine of a role no other suspect
 * @reservation: handle of control_reserve_begin(); 0 for none
 * @boot_id: of the endpoint when the slot was taken; "" when unknown
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
 * fleet_acquire - count an attempt on endpoint @id before it is sent
 *
 * Return: false when the endpoint is stopped, unusable or reserved. A slot that was taken before
 * fleet_stop() is part of fleet_in_flight() until fleet_release().
 */
bool fleet_acquire(struct fleet *f, int id, int64_t prefill_tokens, int seqs,
		   struct fleet_slot *out);

/**
 * struct fleet_reservation - engine reserved for one suspect request
 * @id: endpoint id, -1 for none
 * @last: ordinary work has no other engine of that role and goes on beside the suspect
 */
struct fleet_reservation {
	int id;
	bool is_last;
	char name[ENDPOINT_NAME_MAX];
};

/** fleet_engine_reserve - choose and reserve an engine of @role; false when there is none by now */
bool fleet_engine_reserve(struct fleet *f, const struct fleet_query *q, enum endpoint_role role,
			  struct fleet_reservation *out);
void fleet_engine_unreserve(struct fleet *f, int reserved);

/** fleet_engine_unreserve_backoff - fleet_engine_unreserve(), and other engines first for some time
 */
void fleet_engine_unreserve_backoff(struct fleet *f, int reserved);

enum fleet_exclusive {
	FLEET_EXCLUSIVE_ACQUIRED,
	FLEET_EXCLUSIVE_BUSY,
	FLEET_EXCLUSIVE_UNUSABLE,
};

/**
 * fleet_slot_acquire_exclusive - count the suspect on the engine that is reserved for it
 *
 * Return: BUSY while other attempts of this instance run there, GONE when it is no longer usable.
 * After TAKEN fleet_release() ends the reservation in the fleet.
 */
enum fleet_exclusive fleet_slot_acquire_exclusive(struct fleet *f, int reserved,
						  int64_t prefill_tokens, int seqs,
						  struct fleet_slot *out);

enum fleet_mark {
	FLEET_MARK_KEPT,
	FLEET_MARK_LAST,
	FLEET_MARK_FULL,
	FLEET_MARK_DOWN,
};

/**
 * fleet_mark - another instance asks to reserve engine @name; also for names not listed yet
 * @in_flight: out: requests of this instance that run there
 *
 * Return: KEPT when no new work goes there from now on, LAST when ordinary work goes on for want of
 * another engine; FULL or DOWN, without a mark, when it would leave none to ordinary work or has
 * just gone down.
 */
enum fleet_mark fleet_mark(struct fleet *f, const char *name, int *in_flight);
void fleet_unmark(struct fleet *f, const char *name);

/** fleet_slot_end_exclusive - other attempts may run beside @slot from now on */
void fleet_slot_end_exclusive(struct fleet *f, struct fleet_slot *slot);

/** fleet_slot_prefill_done - the prompt of the attempt has been processed */
void fleet_slot_prefill_done(struct fleet *f, struct fleet_slot *slot);
void fleet_release(struct fleet *f, struct fleet_slot *slot);

enum fleet_outcome {
	FLEET_SUCCESS,
	FLEET_FAILURE,
	FLEET_HARD_FAILURE,
};

/** fleet_result_record - feed the circuit breaker of endpoint @name */
void fleet_result_record(struct fleet *f, const char *name, enum fleet_outcome outcome);

/** fleet_cache_add - the engine of @slot now holds the pieces of @p */
void fleet_cache_add(struct fleet *f, const struct fleet_slot *slot, const struct prefix *p);

/** fleet_cache_event - piece reported by an engine; @stored false: evicted */
void fleet_cache_event(struct fleet *f, const char *name, uint64_t piece, bool stored);

/** fleet_cache_clear - the cache events of @name have a gap */
void fleet_cache_clear(struct fleet *f, const char *name);

/**
 * fleet_set_homes - divide the engines of each role among the instances
 * @rank: place of this instance among the @count live ones, in order of their ids
 *
 * An instance knows its own work at once and that of others only from reports that lag by seconds.
 * Instances that all choose by the same old report pile work on the engine that was idle then, so
 * each prefers engines that the others avoid.
 */
void fleet_set_homes(struct fleet *f, int rank, int count);

/** fleet_set_load_lag - age of the state that a load report shows when it arrives */
void fleet_set_load_lag(struct fleet *f, int64_t lag_ms);

/** fleet_first_attempt_record - feed the endpoint's retry budget */
void fleet_first_attempt_record(struct fleet *f, const char *name, const struct retry_limits *l);

/** fleet_retry_decide - retry_decide() with the budget of endpoint @name */
enum retry_verdict fleet_retry_decide(struct fleet *f, const char *name,
				      const struct retry_query *q,
				      struct retry_budget *organisation,
				      const struct retry_limits *l, int64_t *delay_ms);

#endif
