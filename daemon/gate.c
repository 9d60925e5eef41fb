#include <curl/curl.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/supervisor.h"
#include "ibisgate/daemon/admin.h"
#include "ibisgate/daemon/control.h"
#include "ibisgate/daemon/dispatch.h"

#define MAX_RESTARTS 5
#define RESTART_WINDOW_MS 60000

/*
 * Minimum time between "not ready" and the exit of an idle instance. The load balancer needs time
 * to notice; until then the requests that it still sends are served.
 */
#define DRAIN_SETTLE_MS 1500

static void on_restart_limit(void *ctx)
{
	struct gate *gate = ctx;

	gate->failed = true;
	gate_drain_start(gate, "supervisor gave up");
}

/* Sets the advertised address to "ip:<bound port>" when the settings have none. */
static void advertise_set_default(char *advertise, size_t size, const char *listen, int port)
{
	struct str rest = str_from(listen);
	struct str host = str_split(&rest, ':');

	if (!advertise[0])
		snprintf(advertise, size, STR_FMT ":%d", STR_ARG(host), port);
}

static struct platform *gate_create_platform(struct gate *gate)
{
	const struct settings *s = &gate->settings;
	const char *route = settings_route(s, "platform");
	char url[128];

	if (!route)
		return platform_create(s->platform.url, s->platform.timeout_ms);
	snprintf(url, sizeof(url), "http://%s", route);
	return platform_create(url, s->platform.timeout_ms);
}

static int gate_create_components(struct gate *gate, struct error *err)
{
	struct settings *s = &gate->settings;

	gate->supervisor =
		supervisor_create(MAX_RESTARTS, RESTART_WINDOW_MS, on_restart_limit, gate);
	gate->platform = gate_create_platform(gate);
	gate->fleet = fleet_create();
	gate->front = front_create(gate, err);
	if (!gate->front)
		return -1;
	gate->admin = admin_create(gate, err);
	if (!gate->admin)
		return -1;
	advertise_set_default(s->http.advertise, sizeof(s->http.advertise), s->http.listen,
			      front_port(gate->front));
	advertise_set_default(s->admin.advertise, sizeof(s->admin.advertise), s->admin.listen,
			      admin_port(gate->admin));
	gate->dispatch = dispatch_create(gate, err);
	if (!gate->dispatch)
		return -1;
	gate->control = control_create(gate, err);
	if (!gate->control)
		return -1;
	advertise_set_default(s->peer.advertise, sizeof(s->peer.advertise), s->peer.listen,
			      control_peer_port(gate->control));
	dispatch_start(gate->dispatch);
	return 0;
}

struct gate *gate_create(const struct settings *settings, struct error *err)
{
	struct gate *gate = mem_zalloc(sizeof(*gate));

	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != 0) {
		error_set(err, ERROR_FRONT, GATE_COMPONENT, "libraries could not be initialised");
		free(gate);
		return NULL;
	}
	gate->settings = *settings;
	gate->incarnation = (uint64_t)clock_wall_ms();
	gate->config = config_create();
	if (gate_create_components(gate, err) < 0) {
		gate_destroy(gate);
		return NULL;
	}
	gate->state = GATE_STARTING;
	return gate;
}

void gate_check_ready(struct gate *gate)
{
	int starting = GATE_STARTING;

	if (gate->state != GATE_STARTING || !control_is_ready(gate->control))
		return;
	if (!atomic_compare_exchange_strong(&gate->state, &starting, GATE_READY))
		return;
	log_info("ready", "config_version=%" PRId64, config_version(gate->config));
	event_record("ready", NULL, NULL, NULL, "incarnation=%" PRIu64, gate->incarnation);
}

void gate_drain_start(struct gate *gate, const char *reason)
{
	int old = gate->state;

	do {
		if (old >= GATE_DRAINING)
			return;
	} while (!atomic_compare_exchange_weak(&gate->state, &old, GATE_DRAINING));
	gate->drain_since_ms = clock_boot_ms();
	log_info("draining", "reason=\"%s\" requests=%d", reason, gate->requests);
	event_record("draining", NULL, NULL, NULL, "reason=%s", reason);
}

bool gate_is_drained(const struct gate *gate)
{
	if (gate->state == GATE_DRAINING && mechanism_is_disabled(MECHANISM_GRACEFUL_SHUTDOWN))
		return true;
	return gate->state == GATE_DRAINING && gate->requests == 0 &&
	       clock_boot_ms() - gate->drain_since_ms >= DRAIN_SETTLE_MS;
}

/*
 * The listeners stop first, so that no request uses a component that is destroyed. CivetWeb aborts
 * writes when it stops, so this waits for requests that arrived after the last check of the counter
 * and before GATE_STOPPED.
 */
void gate_destroy(struct gate *gate)
{
	if (!gate)
		return;
	gate->state = GATE_STOPPED;
	while (gate->requests > 0)
		clock_sleep_ms(1);
	front_stop(gate->front);
	admin_destroy(gate->admin);
	if (gate->supervisor)
		supervisor_stop(gate->supervisor);
	front_destroy(gate->front);
	control_destroy(gate->control);
	dispatch_destroy(gate->dispatch);
	fleet_destroy(gate->fleet);
	platform_destroy(gate->platform);
	supervisor_destroy(gate->supervisor);
	config_destroy(gate->config);
	free(gate);
}
