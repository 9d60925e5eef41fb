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

enum gate_state {
	GATE_STARTING,
	GATE_READY,
	GATE_DRAINING,
	GATE_STOPPED,
};

/**
 * struct gate - one instance of the system; owns all parts of the daemon
 * @incarnation: wall time in milliseconds at the start
 * @requests: requests in progress
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
	struct config *config;
	struct platform *platform;
	struct fleet *fleet;
	struct control *control;
	struct dispatch *dispatch;
	struct front *front;
	struct admin *admin;
	struct supervisor *supervisor;
};

#endif
