#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/daemon/dispatch.h"

static const char *const state_names[] = { "joining", "live", "draining", "suspect", "gone" };
static const char *const gate_names[] = {
	[GATE_CREATING] = "creating", [GATE_STARTING] = "starting", [GATE_READY] = "ready",
	[GATE_DRAINING] = "draining", [GATE_STOPPED] = "stopped",
};
static const char *const role_names[] = { "service", "mixed", "prefill", "decode" };
static const char *const circuit_names[] = { "closed", "open", "half-open" };
static const char *const phase_names[] = { "intent",   "stopping", "ordering", "waiting",
					   "clearing", "done",	   "aborted" };

static json_t *members_json(const struct control *c)
{
	json_t *list = json_array();

	for (int i = 0; i < member_count(c->members); i++) {
		const struct member *m = member_at(c->members, i);

		json_array_append_new(list,
				      json_pack("{s:s,s:s,s:s,s:I,s:b,s:b,s:I,s:s,s:s}", "id",
						m->id, "dc", m->dc, "state", state_names[m->state],
						"incarnation", (json_int_t)m->incarnation, "direct",
						m->heard_directly, "hears_us", m->hears_us,
						"config_version", (json_int_t)m->config_version,
						"http", m->http, "admin", m->admin));
	}
	return list;
}

static json_t *leases_json(const struct control *c, int64_t now)
{
	json_t *list = json_array();

	for (int i = 0; i < c->lease_count; i++) {
		const struct lease *l = &c->leases[i].lease;

		json_array_append_new(list, json_pack("{s:s,s:s,s:b,s:I}", "dc", c->leases[i].dc,
						      "holder", l->last_row.holder, "held",
						      lease_is_held(l, now), "fencing",
						      (json_int_t)l->fencing));
	}
	return list;
}

static json_t *drains_json(const struct control *c)
{
	json_t *list = json_array();

	for (int i = 0; i < CONTROL_JOBS_MAX; i++) {
		const struct drain_job *j = &c->jobs[i];

		if (j->used)
			json_array_append_new(list, json_pack("{s:s,s:s,s:s}", "endpoint",
							      j->drain.order.endpoint, "order",
							      j->drain.order.id, "phase",
							      phase_names[j->drain.phase]));
	}
	for (int i = 0; i < c->withdrawn_count; i++)
		json_array_append_new(list, json_pack("{s:s,s:s,s:s}", "endpoint", c->withdrawn[i],
						      "order", CONTROL_OPERATOR_ORDER, "phase",
						      phase_names[DRAIN_DONE]));
	return list;
}

static json_t *endpoint_json(const struct endpoint_status *s)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:s,s:i,s:s,s:b}", "name", s->info.name,
			 "dc", s->info.dc, "url", s->info.url, "kind",
			 s->info.is_engine ? "engine" : "service", "model", s->info.model, "role",
			 role_names[s->info.role], "stopped", s->stopped, "stop_order",
			 s->stop_order, "in_flight", s->in_flight, "circuit",
			 circuit_names[s->circuit], "leaving", s->info.leaving);
}

static json_t *endpoints_json(struct control *c)
{
	json_t *list = json_array();
	int n;
	struct endpoint_status *all = fleet_statuses_copy(c->fleet, &n);

	for (int i = 0; i < n; i++)
		json_array_append_new(list, endpoint_json(&all[i]));
	free(all);
	return list;
}

json_t *control_status(struct control *c)
{
	const struct settings *s = c->settings;
	int state = atomic_load(&c->gate->state);
	json_t *o = json_object();

	json_object_set_new(o, "instance", json_string(s->instance.id));
	json_object_set_new(o, "incarnation", json_integer((json_int_t)c->gate->incarnation));
	json_object_set_new(o, "dc", json_string(s->instance.dc));
	json_object_set_new(o, "region", json_string(s->instance.region));
	json_object_set_new(o, "state", json_string(gate_names[state]));
	json_object_set_new(o, "ready", json_boolean(state == GATE_READY && control_is_ready(c)));
	json_object_set_new(o, "config_version", json_integer(control_config_version(c)));
	json_object_set_new(o, "platform_down_since_ms",
			    json_integer(platform_down_since_ms(c->gate->platform)));
	json_object_set_new(o, "role_changes", json_integer(atomic_load(&c->role_changes)));
	json_object_set_new(o, "endpoints", endpoints_json(c));
	pthread_mutex_lock(&c->lock);
	json_object_set_new(o, "members", members_json(c));
	json_object_set_new(o, "leases", leases_json(c, clock_boot_ms()));
	json_object_set_new(o, "drains", drains_json(c));
	pthread_mutex_unlock(&c->lock);
	if (c->gate->dispatch)
		json_object_set_new(o, "dispatch", dispatch_status(c->gate->dispatch));
	return o;
}
