#ifndef IBISGATE_DAEMON_GATE_H
#define IBISGATE_DAEMON_GATE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/daemon/fleet.h"
#include "ibisgate/daemon/settings.h"
#include "ibisgate/net/platform.h"
#include "ibisgate/state/config.h"
#include "ibisgate/state/quarantine.h"

struct control;
struct dispatch;
struct front;
struct admin;
struct supervisor;

/**
 * enum gate_state - lifecycle of an instance
 * @GATE_CREATING: listeners are being bound and components created
 * @GATE_STARTING: waits for the configuration
 * @GATE_READY: serves requests
 * @GATE_DRAINING: graceful shutdown; requests in flight continue
 * @GATE_STOPPED: being destroyed
 */
enum gate_state {
	GATE_CREATING,
	GATE_STARTING,
	GATE_READY,
	GATE_DRAINING,
	GATE_STOPPED,
};

/**
 * struct gate - one instance of the gateway; owns all components of the daemon
 * @incarnation: wall-clock start time in milliseconds
 * @requests: number of requests in progress
 * @failed: the supervisor exceeded its restart limit; the process drains and exits non-zero
 * @drain_since_ms: boot time at which draining began
 * @config: current configuration; read under rcu_read_lock() with rcu_dereference()
 * @control: control plane (peers, membership, leases, claims, configuration)
 * @dispatch: data plane (admission, routing, links)
 */
struct gate {
	struct settings settings;
	uint64_t incarnation;
	_Atomic int state;
	_Atomic int requests;
	_Atomic bool failed;
	int64_t drain_since_ms;
	struct config *config;
	struct platform *platform;
	struct fleet *fleet;
	struct control *control;
	struct dispatch *dispatch;
	struct front *front;
	struct admin *admin;
	struct supervisor *supervisor;
};

/** enum gate_error - codes of layer ERROR_FRONT that gate_create() reports */
enum gate_error {
	GATE_OK,
	GATE_LISTEN,
	GATE_COMPONENT,
};

/**
 * gate_create - create all components of an instance and bind its listeners
 * @settings: copied
 *
 * On return the advertised addresses in gate->settings are complete. The instance answers API
 * requests with 503 until gate_check_ready() has made it ready.
 *
 * Return: the instance; NULL with @err.
 */
struct gate *gate_create(const struct settings *settings, struct error *err);

/** gate_check_ready - change the state to GATE_READY once the control plane is ready; call
 * repeatedly */
void gate_check_ready(struct gate *gate);

/** gate_drain_start - begin the graceful shutdown; requests in flight continue */
void gate_drain_start(struct gate *gate, const char *reason);

/** gate_is_drained - whether the graceful shutdown is complete and no request is in progress */
bool gate_is_drained(const struct gate *gate);
void gate_destroy(struct gate *gate);

#endif
