#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/supervisor.h"

#define LOOP_MS 1000
#define ROLE_STARTS_READ_MS 5000
/*
 * Utilisation of an engine up to which its queue stays short. At 98% the capacity of a role still
 * covers the demand, but a quarter of its requests wait too long.
 */
#define TARGET_LOAD 0.9

/**
 * struct model_roles - role planning for one model
 * @to_prefill: changes to prefill in progress at the last check, likewise @to_decode
 * @changing: engines that were changing at the last check
 * @withheld: the limit on changes holds back a change
 */
struct model_roles {
	char model[48];
	struct role_state state;
	int to_prefill;
	int to_decode;
	int changing;
	bool withheld;
};

/**
 * struct roles - state of the roles child
 * @starts: changes started in the region; kept current while a data centre has a limit
 * @starts_ms: when @starts was read, boot clock; 0 when it must be read again
 */
struct roles {
	struct role_starts starts;
	int64_t starts_ms;
	int count;
	struct model_roles models[FLEET_MODELS_MAX];
};

static struct role_policy role_method_read(struct control *c, int64_t *change_ms)
{
	struct config_scope scope = { .dc = c->settings->instance.dc, .wall_ms = clock_wall_ms() };
	struct role_policy m = { .kind = ROLE_HORIZON };
	const struct config *config;
	const char *policy;

	rcu_read_lock();
	config = rcu_dereference(c->gate->config);
	policy = config_cstr(config, "role.policy", &scope);
	if (strcmp(policy, "fixed") == 0)
		m.kind = ROLE_FIXED;
	else if (strcmp(policy, "greedy") == 0)
		m.kind = ROLE_GREEDY;
	m.u.horizon.horizon_ms = config_i64(config, "role.horizon-ms", &scope);
	m.u.horizon.margin = config_double(config, "role.margin", &scope);
	m.u.horizon.min_dwell_ms = config_i64(config, "role.min-dwell-ms", &scope);
	m.u.horizon.hysteresis = config_double(config, "role.hysteresis", &scope);
	m.u.horizon.smooth_ms = config_i64(config, "role.smooth-ms", &scope);
	m.u.horizon.urgent = config_double(config, "role.urgent-imbalance", &scope);
	*change_ms = config_i64(config, "role.change-ms", &scope);
	rcu_read_unlock();
	return m;
}

static struct model_roles *model_find(struct roles *r, const char *model)
{
	for (int i = 0; i < r->count; i++) {
		if (strcmp(r->models[i].model, model) == 0)
			return &r->models[i];
	}
	if (r->count == FLEET_MODELS_MAX)
		return NULL;
	str_copy(r->models[r->count].model, sizeof(r->models[0].model), str_from(model));
	return &r->models[r->count++];
}

static struct role_dc *dc_find(struct role_region_view *v, const char *dc)
{
	for (int i = 0; i < v->dc_count; i++) {
		if (strcmp(v->dcs[i].name, dc) == 0)
			return &v->dcs[i];
	}
	if (v->dc_count == ROLE_DCS_MAX)
		return NULL;
	str_copy(v->dcs[v->dc_count].name, sizeof(v->dcs[0].name), str_from(dc));
	return &v->dcs[v->dc_count++];
}

static bool is_changing(const struct endpoint_status *s)
{
	return s->load.changing || (s->stopped && s->stop_order[0] &&
				    strcmp(s->stop_order, CONTROL_OPERATOR_ORDER) != 0);
}

static bool is_role_candidate(const struct endpoint_status *s, const char *model)
{
	return s->info.is_engine && !s->info.leaving && strcmp(s->info.model, model) == 0 &&
	       (!s->stopped || is_changing(s));
}

/* A role change between prefill and decode is in progress; its order id starts with "o-". */
static bool is_role_changing(const struct endpoint_status *s)
{
	return is_changing(s) && s->stopped && strncmp(s->stop_order, "o-", 2) == 0;
}

/* An engine that is changing its role is counted under its new role. */
static void role_dc_add(struct role_dc *dc, const struct endpoint_status *s)
{
	bool is_moving = is_role_changing(s);
	bool to_prefill = is_moving && s->info.role == ROLE_DECODE;
	bool to_decode = is_moving && s->info.role == ROLE_PREFILL;

	dc->changing += is_changing(s);
	dc->to_prefill += to_prefill;
	dc->to_decode += to_decode;
	dc->prefill += to_prefill || (!is_moving && s->info.role == ROLE_PREFILL);
	dc->decode += to_decode || (!is_moving && s->info.role == ROLE_DECODE);
}

/*
 * Every data centre takes the exceptions of all others into account, so that the decision skips a
 * data centre that may not change roles.
 */
static void role_exceptions_read(struct control *c, struct role_region_view *v)
{
	struct config_scope scope = { .wall_ms = clock_wall_ms() };
	const struct config *config;

	rcu_read_lock();
	config = rcu_dereference(c->gate->config);
	for (int i = 0; i < v->dc_count; i++) {
		scope.dc = v->dcs[i].name;
		v->dcs[i].is_fixed =
			strcmp(config_cstr(config, "role.policy", &scope), "fixed") == 0;
		v->dcs[i].margin = config_double(config, "role.margin", &scope);
		v->dcs[i].max_per_hour =
			(int)config_i64(config, "role.max-changes-per-hour", &scope);
	}
	rcu_read_unlock();
}

static struct role_region_view role_view_build(struct control *c, const struct endpoint_status *all,
					       int n, const char *model, int64_t change_ms)
{
	struct role_region_view v = { .change_ms = change_ms };

	for (int i = 0; i < n; i++) {
		struct role_dc *dc;

		if (!is_role_candidate(&all[i], model))
			continue;
		dc = dc_find(&v, all[i].info.dc);
		if (!dc)
			continue;
		role_dc_add(dc, &all[i]);
	}
	role_exceptions_read(c, &v);
	pthread_mutex_lock(&c->lock);
	control_demand_rate(c, model, &v.prefill_demand, &v.decode_demand);
	pthread_mutex_unlock(&c->lock);
	v.prefill_demand /= TARGET_LOAD;
	v.decode_demand /= TARGET_LOAD;
	return v;
}

/* Picks the engine with the least work from this instance, which drains soonest. */
static const struct endpoint_status *engine_select(struct control *c,
						   const struct endpoint_status *all, int n,
						   const char *model, enum endpoint_role from)
{
	bool settled = control_lease_is_settled(c, c->settings->instance.dc);
	const struct endpoint_status *best = NULL;

	for (int i = 0; i < n; i++) {
		const struct endpoint_status *s = &all[i];

		if (!is_role_candidate(s, model) || s->stopped || s->load.changing ||
		    s->info.role != from || strcmp(s->info.dc, c->settings->instance.dc) != 0)
			continue;
		/* Without fencing the engine may still accept an order of an earlier holder. */
		if (!s->info.checks_fencing && !settled)
			continue;
		if (!best || s->in_flight < best->in_flight)
			best = s;
	}
	return best;
}

/* Records role changes that any instance of the region has started since the last check. */
static void role_changes_observe(struct model_roles *mr, const struct role_region_view *v,
				 int64_t now)
{
	int to_prefill = 0;
	int to_decode = 0;
	int changing = 0;

	for (int i = 0; i < v->dc_count; i++) {
		to_prefill += v->dcs[i].to_prefill;
		to_decode += v->dcs[i].to_decode;
		changing += v->dcs[i].changing;
	}
	if (to_prefill > mr->to_prefill)
		role_change_started(&mr->state, ROLE_PREFILL, now);
	else if (to_decode > mr->to_decode)
		role_change_started(&mr->state, ROLE_DECODE, now);
	else if (changing > mr->changing)
		role_change_started(&mr->state, ROLE_SERVICE, now);
	mr->to_prefill = to_prefill;
	mr->to_decode = to_decode;
	mr->changing = changing;
}

static void decision_record(const struct model_roles *mr, const char *endpoint,
			    const struct role_decision *d, const struct role_region_view *v)
{
	const struct role_demand *avg =
		d->based_on_long_term ? &mr->state.long_term_demand : &mr->state.short_term_demand;
	int prefill = 0;
	int decode = 0;
	char detail[EVENT_DETAIL_MAX];

	for (int i = 0; i < v->dc_count; i++) {
		prefill += v->dcs[i].prefill;
		decode += v->dcs[i].decode;
	}
	snprintf(detail, sizeof(detail),
		 "to=%s at=%d/%d demand=%.1f/%.1f avg=%.1f/%.1f served=%.2f>%.2f gain=%.2f "
		 "loss=%.1f %s=%" PRId64,
		 d->to == ROLE_PREFILL ? "prefill" : "decode", prefill, decode, v->prefill_demand,
		 v->decode_demand, avg->prefill, avg->decode, d->served, d->served_after,
		 d->gain_rate, d->loss, d->based_on_long_term ? "standing" : "age", d->age_ms);
	log_info("role-decision", "model=%s endpoint=%s %s", mr->model, endpoint, detail);
	event_record("role-decision", NULL, endpoint, NULL, "%s", detail);
}

static bool has_change_limit(const struct role_region_view *v)
{
	for (int i = 0; i < v->dc_count; i++) {
		if (v->dcs[i].max_per_hour > 0)
			return true;
	}
	return false;
}

/* Return: false when there is a limit and the changes that count towards it are not known. */
static bool role_starts_refresh(struct control *c, struct roles *r, struct role_region_view *v,
				int64_t now)
{
	if (!has_change_limit(v))
		return true;
	if (!r->starts_ms || now - r->starts_ms >= ROLE_STARTS_READ_MS) {
		if (!control_role_starts_read(c, &r->starts))
			return false;
		r->starts_ms = now;
	}
	v->starts = r->starts.count;
	return true;
}

/* Logs once whenever the limit begins to hold back a change that would otherwise start. */
static void withheld_update(struct model_roles *mr, const struct role_policy *m,
			    const struct role_region_view *v, const char *dc, bool starts,
			    int64_t now)
{
	struct role_region_view unlimited = *v;
	bool withheld;

	unlimited.starts = 0;
	withheld =
		!starts && v->starts > 0 && role_decide(&mr->state, m, &unlimited, dc, now).change;
	if (withheld && !mr->withheld) {
		log_warn("role-change-withheld", "model=%s starts=%d", mr->model, v->starts);
		event_record("role-change-withheld", NULL, NULL, NULL, "starts=%d", v->starts);
	}
	mr->withheld = withheld;
}

static const struct endpoint_status *
role_change_decide(struct control *c, struct roles *r, struct model_roles *mr,
		   const struct role_policy *m, struct role_region_view *v,
		   const struct endpoint_status *all, int n, struct role_decision *d)
{
	const char *own_dc = c->settings->instance.dc;
	const struct endpoint_status *target;
	int64_t now = clock_boot_ms();

	if (!role_starts_refresh(c, r, v, now))
		return NULL;
	*d = role_decide(&mr->state, m, v, own_dc, now);
	withheld_update(mr, m, v, own_dc, d->change, now);
	target = d->change ? engine_select(c, all, n, mr->model, d->from) : NULL;
	if (!target || !has_change_limit(v))
		return target;
	if (control_role_starts_add(c, dc_find(v, own_dc)->max_per_hour, &r->starts))
		return target;
	r->starts_ms = 0;
	return NULL;
}

static void model_roles_step(struct control *c, struct roles *r, struct model_roles *mr,
			     const struct endpoint_status *all, int n)
{
	const char *own_dc = c->settings->instance.dc;
	const struct endpoint_status *target;
	int64_t now = clock_boot_ms();
	struct role_decision d;
	struct role_policy m;
	struct role_region_view v;
	int64_t change_ms;

	m = role_method_read(c, &change_ms);
	v = role_view_build(c, all, n, mr->model, change_ms);
	role_changes_observe(mr, &v, now);
	role_observe(&mr->state, &m, &v, now);
	if (!control_lease_is_held(c, own_dc, NULL) || platform_down_since_ms(c->gate->platform))
		return;
	target = role_change_decide(c, r, mr, &m, &v, all, n, &d);
	if (!target || !control_drain_start(c, own_dc, target->info.name, d.from, d.to))
		return;
	role_change_started(&mr->state, d.to, now);
	decision_record(mr, target->info.name, &d, &v);
}

int control_roles_run(void *ctx, struct error *err)
{
	struct control *c = ctx;
	struct roles *r = mem_zalloc(sizeof(*r));

	while (!child_sleep_ms(LOOP_MS)) {
		int n;
		struct endpoint_status *all = fleet_statuses_copy(c->fleet, &n);

		for (int i = 0; i < n; i++) {
			if (all[i].info.is_engine && all[i].info.model[0])
				model_find(r, all[i].info.model);
		}
		for (int i = 0; i < r->count; i++)
			model_roles_step(c, r, &r->models[i], all, n);
		free(all);
		child_account_cpu();
	}
	free(r);
	return 0;
}
