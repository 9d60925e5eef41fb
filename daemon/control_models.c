#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"

/* Orders to load a model, for the rows model/<endpoint> of the configuration. */

/*
 * Load reports lag, so an endpoint that has just returned may still show its earlier model. Every
 * instance sees the stops, so that a successor counts from the same return.
 */
#define MODEL_SETTLE_MS 10000

static bool wanted_model(struct control *c, const char *endpoint, char out[CONFIG_MODEL_MAX])
{
	const char *model;

	rcu_read_lock();
	model = config_model(rcu_dereference(c->gate->config), endpoint);
	out[0] = '\0';
	if (model)
		str_copy(out, CONFIG_MODEL_MAX, str_from(model));
	rcu_read_unlock();
	return out[0] != '\0';
}

static bool differs(const struct endpoint_status *s, const char *model)
{
	return s->info.engine && s->listed && !s->stopped && !s->info.leaving && s->load.model[0] &&
	       !s->load.changing && strcmp(s->load.model, model) != 0;
}

/* Wishes belong to the drain child alone. NULL when there is no room. */
static struct model_wish *wish_get(struct control *c, const char *endpoint, int64_t now)
{
	struct model_wish *spare = NULL;

	for (int i = 0; i < CONTROL_WISHES_MAX; i++) {
		struct model_wish *w = &c->wishes[i];

		if (strcmp(w->endpoint, endpoint) == 0)
			return w;
		if (!w->endpoint[0])
			spare = w;
	}
	if (!spare)
		return NULL;
	str_copy(spare->endpoint, sizeof(spare->endpoint), str_from(endpoint));
	spare->since_ms = now;
	return spare;
}

static void start(struct control *c, const struct endpoint_info *ep, const char *model)
{
	struct order order = { .kind = ORDER_MODEL };

	if (!control_order_init(c, ep, ep->dc, &order))
		return;
	str_copy(order.u.model, sizeof(order.u.model), str_from(model));
	control_job_start(c, &order, ep->dc, ep->role);
}

static void check(struct control *c, const struct endpoint_status *s, int64_t now)
{
	char model[CONFIG_MODEL_MAX];
	struct model_wish *w;

	if (!wanted_model(c, s->info.name, model) || !differs(s, model))
		return;
	w = wish_get(c, s->info.name, now);
	if (!w)
		return;
	w->seen = true;
	if (now - w->since_ms >= MODEL_SETTLE_MS)
		start(c, &s->info, model);
}

void control_models_check(struct control *c)
{
	int64_t now = clock_boot_ms();
	int n;
	struct endpoint_status *all = fleet_statuses(c->fleet, &n);

	for (int i = 0; i < CONTROL_WISHES_MAX; i++)
		c->wishes[i].seen = false;
	for (int i = 0; i < n; i++)
		check(c, &all[i], now);
	for (int i = 0; i < CONTROL_WISHES_MAX; i++) {
		if (!c->wishes[i].seen)
			c->wishes[i].endpoint[0] = '\0';
	}
	free(all);
}
