#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "control_impl.h"

/*
 * An endpoint that leaves by an operator's drain or the platform's list is withdrawn: a drain that
 * sends it no order makes sure that every instance has stopped using it and has nothing in flight
 * there, and the status then reports the drain as done.
 */

static bool must_withdraw(struct control *c, const struct endpoint_status *s)
{
	bool drained;

	rcu_read_lock();
	drained = config_endpoint_drain(rcu_dereference(c->gate->config), s->info.name) != NULL;
	rcu_read_unlock();
	return drained || s->info.leaving;
}

static int withdrawn_find(const struct control *c, const char *name)
{
	for (int i = 0; i < c->withdrawn_count; i++) {
		if (strcmp(c->withdrawn[i], name) == 0)
			return i;
	}
	return -1;
}

void control_withdrawal_record(struct control *c, const char *endpoint)
{
	if (withdrawn_find(c, endpoint) < 0 && c->withdrawn_count < CONTROL_WITHDRAWN_MAX)
		str_copy(c->withdrawn[c->withdrawn_count++], MEMBER_ID_MAX, str_from(endpoint));
}

static bool is_withdrawn(struct control *c, const char *name, bool forget)
{
	int i;

	pthread_mutex_lock(&c->lock);
	i = withdrawn_find(c, name);
	if (i >= 0 && forget)
		memmove(c->withdrawn[i], c->withdrawn[--c->withdrawn_count], MEMBER_ID_MAX);
	pthread_mutex_unlock(&c->lock);
	return i >= 0;
}

static void withdrawal_start(struct control *c, const struct endpoint_info *ep)
{
	struct order order = { .kind = ORDER_WITHDRAW };

	if (control_order_init(c, ep, ep->dc, &order))
		control_job_start(c, &order, ep->dc, ep->role);
}

void control_withdrawals_start(struct control *c)
{
	int n;
	struct endpoint_status *all = fleet_statuses_copy(c->fleet, &n);

	for (int i = 0; i < n; i++) {
		bool due = must_withdraw(c, &all[i]);

		if (!is_withdrawn(c, all[i].info.name, !due) && due)
			withdrawal_start(c, &all[i].info);
	}
	free(all);
}
