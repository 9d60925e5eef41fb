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
 * struct endpoint_info - what the platform's list says about an endpoint
 * @kind_engine: engine, otherwise plain service
 * @model: model that an engine serves, or name of the plain service
 * @checks_fencing: refuses orders with an old fencing number
 */
struct endpoint_info {
	char name[ENDPOINT_NAME_MAX];
	char dc[32];
	char url[128];
	bool engine;
	char model[48];
	enum endpoint_role role;
	bool checks_fencing;
	bool leaving;
};

/**
 * struct endpoint_load - an engine's own report, late by some seconds
 * @at_ms: boot time at which it was received, or at which a poller asked for a relayed one
 * @asked_ms: boot time at which the engine was asked, which evidence counts from; 0 when unknown
 * @mean: of several engines; says nothing about the health of this one
 * @model: model served; "" when the report names none
 */
struct endpoint_load {
	int64_t at_ms;
	int64_t asked_ms;
	int64_t prefill_backlog;
	int decode_seqs;
	int decode_slots;
	enum endpoint_role role;
	bool changing;
	struct engine_cost cost;
	char boot_id[24];
	char model[48];
	bool mean;
};

/**
 * struct endpoint_status - copy of an endpoint's state for control and status
 * @listed: named by the platform's list
 * @stopped: this instance sends no new work (operator drain, order or platform list)
 * @in_flight: requests of this instance that run there
 * @down: died or refused a connection and has not reported since
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
 * Thread-safe. The control child changes it; front threads read and count on it.
 */
struct fleet;

struct fleet *fleet_create(void);
void fleet_destroy(struct fleet *f);

/** fleet_update - apply the platform's list; endpoints that it no longer names get no new work */
void fleet_update(struct fleet *f, const struct endpoint_info *infos, int count);

/** fleet_stop - no new work to @name until fleet_return() with the same order id */
bool fleet_stop(struct fleet *f, const char *name, const char *order);

/** fleet_return - new work allowed again; @role is the role from now on */
bool fleet_return(struct fleet *f, const char *name, const char *order, enum endpoint_role role);

/** fleet_in_flight - requests of this instance that run on @name; 0 when unknown */
int fleet_in_flight(struct fleet *f, const char *name);

/** fleet_load - apply a report; one older than the last is ignored */
void fleet_load(struct fleet *f, const char *name, const struct endpoint_load *load);

/**
 * fleet_load_by_tag - last report of the engine with peer_tag(name, 0) == @tag
 *
 * Return: false when no listed engine has the tag, or two have.
 */
bool fleet_load_by_tag(struct fleet *f, uint32_t tag, char name[ENDPOINT_NAME_MAX],
		       struct endpoint_load *out);

/** fleet_statuses - copy of all endpoints; caller frees */
struct endpoint_status *fleet_statuses(struct fleet *f, int *count);

/**
 * struct fleet_demand - work that arrived at this instance for one model since its start
 * @prefill_us: engine time of prefill that arrived, in microseconds, a running total
 * @decode_us: engine time of decode that arrived
 */
struct fleet_demand {
	char model[48];
	int64_t prefill_us;
	int64_t decode_us;
};

#define FLEET_MODELS_MAX 16

void fleet_demand_add(struct fleet *f, const char *model, int64_t prefill_us, int64_t decode_us);
int fleet_demands(struct fleet *f, struct fleet_demand out[FLEET_MODELS_MAX]);

#endif
