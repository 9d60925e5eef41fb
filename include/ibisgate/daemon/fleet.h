#ifndef IBISGATE_DAEMON_FLEET_H
#define IBISGATE_DAEMON_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/policy/retry.h"
#include "ibisgate/policy/role.h"
#include "ibisgate/policy/route.h"

#define ENDPOINT_NAME_MAX 48

/**
 * struct endpoint_info - entry of the platform's endpoint list
 * @dc: data centre
 * @is_engine: the endpoint is an engine; otherwise a plain service
 * @model: model that an engine serves, or name of the plain service
 * @checks_fencing: the endpoint rejects orders with a stale fencing token
 * @leaving: the endpoint is about to shut down and gets no new work
 */
struct endpoint_info {
	char name[ENDPOINT_NAME_MAX];
	char dc[32];
	char url[128];
	bool is_engine;
	char model[48];
	enum endpoint_role role;
	bool checks_fencing;
	bool leaving;
};

/**
 * struct endpoint_load - load report of an engine; shows the engine as it was seconds ago
 * @received_ms: boot time at which the report was received; for a relayed report, boot time at
 *which the polling instance requested it
 * @poll_sent_ms: boot time at which the engine was polled; 0 when unknown. Evidence about crashes
 *	counts from this time.
 * @prefill_backlog: prompt tokens that wait for prefill
 * @decode_seqs: sequences in decode
 * @decode_slots: maximum of @decode_seqs
 * @changing: a change of role or model is in progress
 * @boot_id: id of the engine's process, which changes with each start; "" when unknown
 * @model: model served; "" when the report names none
 * @is_mean: average over several engines, which proves nothing about the health of this one
 */
struct endpoint_load {
	int64_t received_ms;
	int64_t poll_sent_ms;
	int64_t prefill_backlog;
	int decode_seqs;
	int decode_slots;
	enum endpoint_role role;
	bool changing;
	struct engine_cost cost;
	char boot_id[24];
	char model[48];
	bool is_mean;
};

/**
 * struct endpoint_status - snapshot of an endpoint's state
 * @id: endpoint id, see fleet_candidates()
 * @listed: present in the platform's list
 * @stopped: this instance sends no new work (operator drain, order or missing from the list)
 * @stop_order: id of the latest order that stopped the endpoint; "" for none
 * @down: the engine died or refused a connection and has not reported since
 * @in_flight: requests of this instance in flight on the endpoint
 * @in_flight_prefill: prompt tokens of these requests that are not prefilled yet
 */
struct endpoint_status {
	struct endpoint_info info;
	struct endpoint_load load;
	int id;
	bool listed;
	bool stopped;
	char stop_order[48];
	bool down;
	int in_flight;
	int64_t in_flight_prefill;
	enum circuit_state circuit;
};

/**
 * struct fleet - all endpoints known to this instance
 *
 * Thread-safe. The control thread updates the endpoints; front threads choose endpoints and count
 * their requests.
 */
struct fleet;

struct fleet *fleet_create(void);
void fleet_destroy(struct fleet *f);

/** fleet_update - apply the platform's list; endpoints missing from it get no new work */
void fleet_update(struct fleet *f, const struct endpoint_info *infos, int count);

/**
 * fleet_endpoint_stop - send no new work to endpoint @name until fleet_endpoint_resume() with the
 * same order id
 *
 * Return: false when the fleet or the endpoint's list of stop orders is full, or @order is too
 * long.
 */
bool fleet_endpoint_stop(struct fleet *f, const char *name, const char *order);

/**
 * fleet_endpoint_resume - lift the stop of @order and set the endpoint's role to @role
 *
 * Work is sent again once no stop order is left.
 *
 * Return: false when @order has not stopped the endpoint.
 */
bool fleet_endpoint_resume(struct fleet *f, const char *name, const char *order,
			   enum endpoint_role role);

/** fleet_endpoint_in_flight - requests of this instance in flight on @name; 0 for an unknown
 * endpoint */
int fleet_endpoint_in_flight(struct fleet *f, const char *name);

/** fleet_load_update - apply a load report; one that is older than the last is ignored */
void fleet_load_update(struct fleet *f, const char *name, const struct endpoint_load *load);

/**
 * fleet_load_find_by_tag - get the last report of the engine whose peer_tag(name, 0) is @tag
 *
 * Return: false unless exactly one listed engine has the tag.
 */
bool fleet_load_find_by_tag(struct fleet *f, uint32_t tag, char name[ENDPOINT_NAME_MAX],
			    struct endpoint_load *out);

/** fleet_statuses_copy - snapshot of all endpoints; the caller frees the array */
struct endpoint_status *fleet_statuses_copy(struct fleet *f, int *count);

/**
 * struct fleet_demand - work for one model that has arrived at this instance since its start
 * @prefill_us: total engine time of prefill, in microseconds
 * @decode_us: total engine time of decode, in microseconds
 */
struct fleet_demand {
	char model[48];
	int64_t prefill_us;
	int64_t decode_us;
};

#define FLEET_MODELS_MAX 16

/** fleet_demand_add - count arrived work; ignored beyond FLEET_MODELS_MAX models */
void fleet_demand_add(struct fleet *f, const char *model, int64_t prefill_us, int64_t decode_us);

/** fleet_demands_copy - copy the totals of all models; returns their number */
int fleet_demands_copy(struct fleet *f, struct fleet_demand out[FLEET_MODELS_MAX]);

#endif
