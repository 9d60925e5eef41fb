#include <stdlib.h>

#include "control_rig.h"
#include "daemon/control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/supervisor.h"
#include "ibisgate/daemon/dispatch.h"

#define RIG_TICKETS_MAX 16

struct rig {
	struct gate gate;
	struct claim_ticket tickets[RIG_TICKETS_MAX];
};

static void on_give_up(void *ctx)
{
	abort();
}

struct rig *rig_create(const char *settings_text)
{
	struct rig *r = mem_zalloc(sizeof(*r));
	struct gate *g = &r->gate;
	const char *route;
	struct error err = { 0 };
	char url[160];

	if (settings_parse(&g->settings, settings_text, "rig", stderr, &err))
		abort();
	g->incarnation = (uint64_t)clock_wall_ms();
	route = settings_route(&g->settings, "platform");
	snprintf(url, sizeof(url), "%s%s", route ? "http://" : "",
		 route ? route : g->settings.platform.url);
	g->platform = platform_create(url, g->settings.platform.timeout_ms);
	g->fleet = fleet_create();
	g->supervisor = supervisor_create(5, 60000, on_give_up, NULL);
	if (!control_create(g, &err))
		abort();
	atomic_store(&g->state, GATE_STARTING);
	return r;
}

void rig_start_polling(struct rig *r)
{
	struct error err = { 0 };

	if (!dispatch_create(&r->gate, &err))
		abort();
	dispatch_start(r->gate.dispatch);
}

void rig_kill(struct rig *r)
{
	if (!r)
		return;
	supervisor_destroy(r->gate.supervisor);
	dispatch_destroy(r->gate.dispatch);
	control_destroy(r->gate.control);
	fleet_destroy(r->gate.fleet);
	platform_destroy(r->gate.platform);
	config_destroy(r->gate.config);
	for (int i = 0; i < RIG_TICKETS_MAX; i++)
		claim_ticket_clear(&r->tickets[i]);
	free(r);
}

void rig_shutdown(struct rig *r)
{
	control_leave(r->gate.control);
	rig_kill(r);
}

int rig_peer_port(struct rig *r)
{
	return control_peer_port(r->gate.control);
}

bool rig_try_ready(struct rig *r)
{
	if (!control_is_ready(r->gate.control))
		return false;
	atomic_store(&r->gate.state, GATE_READY);
	return true;
}

struct fleet *rig_fleet(struct rig *r)
{
	return r->gate.fleet;
}

json_t *rig_status(struct rig *r)
{
	return control_status(r->gate.control);
}

bool rig_drain_start(struct rig *r, const char *dc, const char *endpoint, enum endpoint_role from,
		     enum endpoint_role to)
{
	return control_drain_start(r->gate.control, dc, endpoint, from, to);
}

int rig_config_change(struct rig *r, const char *key, const char *value, int64_t if_version,
		      int64_t *version, struct error *err)
{
	json_t *v = value ? json_loads(value, JSON_DECODE_ANY, NULL) : NULL;
	int rc = control_config_change(r->gate.control, key, v, "op", if_version, version, err);

	json_decref(v);
	return rc;
}

enum claim_verdict rig_claim_begin(struct rig *r, int i, const char *key, const char *body,
				   int64_t timeout_ms)
{
	claim_ticket_clear(&r->tickets[i]);
	claim_begin(r->gate.control, "org", "order", str_from(key), str_from(body),
		    clock_boot_ms() + timeout_ms, &r->tickets[i]);
	return r->tickets[i].verdict;
}

bool rig_claim_dispatch(struct rig *r, int i)
{
	return claim_mark_dispatched(r->gate.control, &r->tickets[i]);
}

void rig_claim_finish(struct rig *r, int i, const char *body)
{
	claim_finish(r->gate.control, &r->tickets[i], 200, str_from(body));
}

void rig_claim_release(struct rig *r, int i)
{
	claim_release(r->gate.control, &r->tickets[i]);
}

const char *rig_claim_result(struct rig *r, int i)
{
	return r->tickets[i].result.data ? r->tickets[i].result.data : "";
}

int rig_quarantine_verdict(struct rig *r, uint64_t fingerprint, bool charge)
{
	return charge ? control_quarantine_add_crash(r->gate.control, fingerprint, true)
		      : control_quarantine_check(r->gate.control, fingerprint);
}

uint64_t rig_reserve_begin(struct rig *r, const char *endpoint, bool is_last)
{
	return control_reserve_begin(r->gate.control, endpoint, is_last);
}

enum reserve_phase rig_reserve_wait(struct rig *r, uint64_t handle, int wait_ms)
{
	return control_reserve_wait(r->gate.control, handle, wait_ms);
}

bool rig_reserve_is_held(struct rig *r, uint64_t handle)
{
	return control_reserve_is_held(r->gate.control, handle);
}

void rig_reserve_end(struct rig *r, uint64_t handle)
{
	control_reserve_end(r->gate.control, handle);
}

int rig_quarantine_suspect(struct rig *r, uint64_t fingerprint, const char *endpoint)
{
	return control_quarantine_add_suspicion(r->gate.control, fingerprint, endpoint, "boot",
						true);
}
