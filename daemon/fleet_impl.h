#ifndef DAEMON_FLEET_IMPL_H
#define DAEMON_FLEET_IMPL_H

#include <pthread.h>

#include "ibisgate/daemon/fleet_use.h"

#define FLEET_STOPS_MAX 4
#define FLEET_HISTORY 128
/* Minimum time per history entry; makes the ring buffer span more than the load lag. */
#define FLEET_HISTORY_STEP_MS 50
#define FLEET_PREFIX_CAPACITY 65536

/** struct own_work - work of this instance on an endpoint from @at_ms (boot clock) on */
struct own_work {
	int64_t at_ms;
	int64_t prefill;
	int seqs;
};

/**
 * struct endpoint - state of one endpoint; the array index is the endpoint id
 * @used: the entry has been assigned to an endpoint
 * @listed: present in the platform's list
 * @unlisted_ms: boot time at which the endpoint was dropped from the list
 * @stops: ids of the orders that stop new work
 * @in_flight: requests of this instance in flight
 * @own_prefill: prompt tokens of these requests that are not prefilled yet
 * @own_seqs: sequences of these requests
 * @peer_prefill: smoothed prefill backlog of the load reports without the own work
 * @peer_seqs: likewise, decode sequences
 * @role_set_ms: boot time at which an order last set the role; 0 for never
 * @reserved: reserved for one suspect request of this instance
 * @peer_reserved: reserved by another instance
 * @reserve_retry_ms: boot time before which the engine is not reserved again
 * @is_peer_home: the engine is a home engine of another instance, see fleet_set_homes()
 * @has_no_home: this instance has no home engine of this role
 * @mean_prefill: mean prefill backlog that the engines of this role reported
 * @mean_seqs: likewise, decode sequences
 * @down: the engine died or refused a connection and has not answered a load poll since
 * @down_ms: boot time at which it went down; reports from before don't clear @down
 * @tag: hash of the name that stands for it in relayed reports
 * @history: ring buffer of own work, to subtract from late load reports
 * @history_next: number of entries written so far
 */
struct endpoint {
	struct endpoint_info info;
	struct endpoint_load load;
	bool used;
	bool listed;
	int64_t unlisted_ms;
	char stops[FLEET_STOPS_MAX][48];
	int stop_count;
	int in_flight;
	int64_t own_prefill;
	int own_seqs;
	double peer_prefill;
	double peer_seqs;
	int64_t role_set_ms;
	bool reserved;
	bool peer_reserved;
	int64_t reserve_retry_ms;
	bool is_peer_home;
	bool has_no_home;
	int64_t mean_prefill;
	int mean_seqs;
	bool down;
	int64_t down_ms;
	uint32_t tag;
	struct circuit circuit;
	struct retry_budget budget;
	struct own_work history[FLEET_HISTORY];
	uint64_t history_next;
};

/**
 * struct fleet - all endpoints known to this instance
 * @lock: protects all fields
 * @load_lag_ms: age of the state that a load report shows when it arrives
 * @instances: live instances
 * @index: pieces of prompts that are in the KV caches of the engines
 * @demands: arrived work for each model
 */
struct fleet {
	pthread_mutex_t lock;
	struct endpoint *endpoints;
	int count;
	int64_t load_lag_ms;
	int instances;
	struct prefix_index *index;
	struct fleet_demand demands[FLEET_MODELS_MAX];
	int demand_count;
};

/* For all functions below, the caller holds the lock. */

/** fleet_find - endpoint by name; NULL when unknown */
struct endpoint *fleet_find(struct fleet *f, const char *name);

/** fleet_find_or_add - endpoint by name, added when unknown; NULL when the fleet is full */
struct endpoint *fleet_find_or_add(struct fleet *f, const char *name);

/** endpoint_record_work - add the current own work to the history */
void endpoint_record_work(struct endpoint *ep, int64_t now_ms);

/** endpoint_is_usable - whether new work may be sent, reservations aside */
bool endpoint_is_usable(const struct endpoint *ep, int64_t now_ms);

/** endpoint_matches_query - whether it is of the kind and serves the model that @q asks for */
bool endpoint_matches_query(const struct endpoint *ep, const struct fleet_query *q);

/** endpoint_is_reserved - whether it is reserved for a suspect request of any instance */
bool endpoint_is_reserved(const struct endpoint *ep);

/** endpoint_is_withheld - whether it is reserved and ordinary requests have another engine */
bool endpoint_is_withheld(const struct fleet *f, const struct fleet_query *q, int id,
			  int64_t now_ms);

/** fleet_slot_assign - count an attempt on endpoint @id and fill @out */
void fleet_slot_assign(struct fleet *f, int id, int64_t prefill_tokens, int seqs,
		       struct fleet_slot *out);

#endif
