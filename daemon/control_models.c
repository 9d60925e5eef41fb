#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/policy/rollout.h"

/* Rolls out the models that the configuration sets by "model/<endpoint>". */

static bool configured_model(struct control *c, const char *endpoint, char out[CONFIG_MODEL_MAX])
{
	const char *model;

	rcu_read_lock();
	model = config_endpoint_model(rcu_dereference(c->gate->config), endpoint);
	out[0] = '\0';
	if (model)
		str_copy(out, CONFIG_MODEL_MAX, str_from(model));
	rcu_read_unlock();
	return out[0] != '\0';
}

static bool has_other_model(const struct endpoint_status *s, const char *model)
{
	return s->info.is_engine && s->listed && !s->stopped && !s->info.leaving &&
	       s->load.model[0] && !s->load.changing && strcmp(s->load.model, model) != 0;
}

/* Only the drain child uses the mismatches. Return: NULL when no slot is free. */
static struct model_mismatch *model_mismatch_get(struct control *c, const char *endpoint,
						 int64_t now)
{
	struct model_mismatch *free_slot = NULL;

	for (int i = 0; i < CONTROL_MODEL_MISMATCHES_MAX; i++) {
		struct model_mismatch *w = &c->model_mismatches[i];

		if (strcmp(w->endpoint, endpoint) == 0)
			return w;
		if (!w->endpoint[0])
			free_slot = w;
	}
	if (!free_slot)
		return NULL;
	str_copy(free_slot->endpoint, sizeof(free_slot->endpoint), str_from(endpoint));
	free_slot->since_ms = now;
	return free_slot;
}

static void model_order_start(struct control *c, const struct endpoint_info *ep, const char *model)
{
	struct order order = { .kind = ORDER_MODEL };

	if (!control_order_init(c, ep, ep->dc, &order))
		return;
	str_copy(order.u.model, sizeof(order.u.model), str_from(model));
	control_job_start(c, &order, ep->dc, ep->role);
}

/* The endpoint's model has differed from the configured one for CONTROL_MODEL_SETTLE_MS. */
static bool model_is_overdue(struct control *c, const struct endpoint_status *s, int64_t now)
{
	char model[CONFIG_MODEL_MAX];
	struct model_mismatch *w;

	if (!configured_model(c, s->info.name, model) || !has_other_model(s, model))
		return false;
	w = model_mismatch_get(c, s->info.name, now);
	if (!w)
		return false;
	w->seen = true;
	return now - w->since_ms >= CONTROL_MODEL_SETTLE_MS;
}

static int model_load_limit(struct control *c, const char *dc)
{
	struct config_scope scope = { .dc = dc, .wall_ms = clock_wall_ms() };
	int64_t limit;

	rcu_read_lock();
	limit = config_i64(rcu_dereference(c->gate->config), "model.parallel-loads", &scope);
	rcu_read_unlock();
	return (int)limit;
}

static int orders_in_progress(struct control *c, const char *dc)
{
	int n = 0;

	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < c->lease_count; i++)
		n += strcmp(c->leases[i].dc, dc) == 0 &&
		     clock_boot_ms() < c->leases[i].models_settled_ms;
	for (int i = 0; i < CONTROL_JOBS_MAX; i++) {
		const struct drain_job *j = &c->jobs[i];

		n += j->used && j->drain.order.kind != ORDER_WITHDRAW && strcmp(j->dc, dc) == 0;
	}
	pthread_mutex_unlock(&c->lock);
	return n;
}

void control_models_settle(struct control *c, const char *dc)
{
	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < c->lease_count; i++) {
		if (strcmp(c->leases[i].dc, dc) == 0)
			c->leases[i].models_settled_ms = clock_boot_ms() + CONTROL_MODEL_SETTLE_MS;
	}
	pthread_mutex_unlock(&c->lock);
}

/* Lists the engines in service; @at: out: index of each in @all. */
static int rollout_engines_fill(struct control *c, const struct endpoint_status *all, int n,
				struct rollout_engine *out, int *at, int64_t now)
{
	int count = 0;

	for (int i = 0; i < n; i++) {
		const struct endpoint_status *s = &all[i];

		if (!s->info.is_engine || !s->listed || s->stopped || s->info.leaving)
			continue;
		at[count] = i;
		out[count++] = (struct rollout_engine){
			.dc = s->info.dc,
			.model = s->load.model,
			.role = s->info.role,
			.needs_reload = model_is_overdue(c, s, now),
		};
	}
	return count;
}

static void rollout_step(struct control *c, const struct endpoint_status *all, int n, int64_t now)
{
	struct rollout_engine *engines = mem_zalloc((size_t)(n + 1) * sizeof(*engines));
	int *at = mem_zalloc((size_t)(n + 1) * sizeof(*at));
	int count = rollout_engines_fill(c, all, n, engines, at, now);

	for (int i = 0; i < count; i++) {
		const struct endpoint_info *ep = &all[at[i]].info;
		char model[CONFIG_MODEL_MAX];
		int next;

		if (!engines[i].needs_reload || !control_lease_is_held(c, ep->dc, NULL))
			continue;
		next = rollout_next(engines, count, ep->dc, orders_in_progress(c, ep->dc),
				    model_load_limit(c, ep->dc));
		if (next < 0 || !configured_model(c, all[at[next]].info.name, model))
			continue;
		model_order_start(c, &all[at[next]].info, model);
		engines[next].needs_reload = false;
	}
	free(at);
	free(engines);
}

void control_models_rollout(struct control *c)
{
	int64_t now = clock_boot_ms();
	int n;
	struct endpoint_status *all = fleet_statuses_copy(c->fleet, &n);

	for (int i = 0; i < CONTROL_MODEL_MISMATCHES_MAX; i++)
		c->model_mismatches[i].seen = false;
	rollout_step(c, all, n, now);
	for (int i = 0; i < CONTROL_MODEL_MISMATCHES_MAX; i++) {
		if (!c->model_mismatches[i].seen)
			c->model_mismatches[i].endpoint[0] = '\0';
	}
	free(all);
}
