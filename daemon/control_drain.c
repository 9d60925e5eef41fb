#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"

#define LOOP_MS 50
#define TICK_MS 200
#define WITHDRAW_MS 500
/* A row whose write had an unknown outcome may appear after the first scan. */
#define RESCAN_MS 10000
/* A role change decided longer ago no longer matches the demand. */
#define INTENT_WRITE_LIMIT_MS 10000
/* Above the total deadline of a request, so work still running by then will not end by itself. */
#define DRAIN_GIVE_UP_MS 180000

/*
 * Only the drain child steps and frees jobs. The roles child adds jobs, and the bus thread records
 * confirmations in them, both under the lock.
 */

enum drain_action control_job_step(struct control *c, struct drain_job *j,
				   enum drain_event_kind kind)
{
	struct drain_event ev = { .kind = kind };
	enum drain_action a;

	pthread_mutex_lock(&c->lock);
	a = drain_handle_event(&j->drain, &ev, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	return a;
}

void control_on_leave_ack(struct control *c, const struct peer_message *m)
{
	struct drain_event ev = {
		.kind = DRAIN_EV_ACK,
		.member = m->sender,
		.incarnation = m->incarnation,
		.in_flight = m->u.ack.in_flight,
	};

	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < CONTROL_JOBS_MAX; i++) {
		struct drain_job *j = &c->jobs[i];

		if (!j->used || strcmp(j->drain.order.id, m->u.ack.order) != 0)
			continue;
		drain_handle_event(&j->drain, &ev, clock_boot_ms());
		j->next_ms = 0;
	}
	pthread_mutex_unlock(&c->lock);
}

static bool member_must_confirm(const struct control *c, const struct member *m)
{
	if (m->incarnation && m->state != MEMBER_GONE)
		return true;
	return control_instance_is_listed_live(c, m->id);
}

/* Members change while a drain runs; each that may send to the endpoint must confirm the stop. */
static void job_members_update(struct control *c, struct drain_job *j)
{
	int64_t now = clock_boot_ms();

	for (int i = 0; i < member_count(c->members); i++) {
		const struct member *m = member_at(c->members, i);
		struct drain_event ev = {
			.kind = DRAIN_EV_MEMBER_GONE,
			.member = m->id,
			.incarnation = m->incarnation,
		};

		if (member_must_confirm(c, m))
			drain_add_member(&j->drain, m->id, m->incarnation);
		else
			drain_handle_event(&j->drain, &ev, now);
	}
}

struct drain_job *control_job_find_free(struct control *c, const char *endpoint, bool *known)
{
	struct drain_job *free_slot = NULL;

	*known = false;
	for (int i = 0; i < CONTROL_JOBS_MAX; i++) {
		struct drain_job *j = &c->jobs[i];

		if (!j->used)
			free_slot = j;
		else if (strcmp(j->drain.order.endpoint, endpoint) == 0)
			*known = true;
	}
	return *known ? NULL : free_slot;
}

void control_job_init(struct control *c, struct drain_job *j, const struct order *order,
		      const char *dc)
{
	int64_t now = clock_boot_ms();

	*j = (struct drain_job){ .used = true, .begun_ms = now };
	str_copy(j->dc, sizeof(j->dc), str_from(dc));
	drain_begin(&j->drain, order, NULL, 0, now);
	job_members_update(c, j);
	log_info("drain-begin", "endpoint=%s order=%s fencing=%" PRId64, order->endpoint, order->id,
		 order->fencing);
	event_record("drain-begin", NULL, order->endpoint, NULL, "order=%s", order->id);
}

bool control_job_start(struct control *c, const struct order *order, const char *dc,
		       enum endpoint_role role_before)
{
	struct drain_job *j;
	bool known;

	pthread_mutex_lock(&c->lock);
	j = control_job_find_free(c, order->endpoint, &known);
	if (j) {
		control_job_init(c, j, order, dc);
		j->role_before = role_before;
	}
	pthread_mutex_unlock(&c->lock);
	return j != NULL;
}

bool control_drain_start(struct control *c, const char *dc, const char *endpoint,
			 enum endpoint_role from, enum endpoint_role to)
{
	struct order order = { .kind = ORDER_ROLE, .u.role = to };
	struct endpoint_info ep;

	if (!control_endpoint_find(c, endpoint, &ep) || !control_order_init(c, &ep, dc, &order))
		return false;
	return control_job_start(c, &order, dc, from);
}

static struct peer_endpoint_order job_peer_order(const struct drain_job *j)
{
	const struct order *o = &j->drain.order;
	struct peer_endpoint_order p = { .kind = o->kind, .fencing = o->fencing };

	p.role = o->kind == ORDER_ROLE ? o->u.role : j->role_before;
	if (j->given_up)
		p.role = j->role_before;
	str_copy(p.endpoint, sizeof(p.endpoint), str_from(o->endpoint));
	str_copy(p.order, sizeof(p.order), str_from(o->id));
	return p;
}

static void job_confirm_self(struct control *c, struct drain_job *j)
{
	struct drain_event ev = {
		.kind = DRAIN_EV_ACK,
		.member = c->settings->instance.id,
		.incarnation = c->gate->incarnation,
		.in_flight = fleet_endpoint_in_flight(c->fleet, j->drain.order.endpoint),
	};

	pthread_mutex_lock(&c->lock);
	drain_handle_event(&j->drain, &ev, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
}

static void leave_message_send(struct control *c, struct drain_job *j)
{
	struct peer_message *m = peer_message_create(PEER_LEAVE);
	char ids[DRAIN_MEMBERS_MAX][MEMBER_ID_MAX];
	int n = 0;

	m->u.order = job_peer_order(j);
	control_stop_apply(c, &m->u.order, "");
	job_confirm_self(c, j);
	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < j->drain.ack_count; i++) {
		if (j->drain.acks[i].in_flight != 0)
			memcpy(ids[n++], j->drain.acks[i].id, MEMBER_ID_MAX);
	}
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < n; i++)
		control_send(c, ids[i], m);
	peer_message_destroy(m);
}

/*
 * Checks the platform's list rather than the fleet, because a stop keeps an endpoint in the fleet
 * after the list has dropped it.
 */
static bool endpoint_is_removed(struct control *c, const char *name)
{
	bool is_removed = true;
	int n;
	struct endpoint_status *all;

	if (!atomic_load(&c->has_listed_fleet) || platform_down_since_ms(c->gate->platform))
		return false;
	all = fleet_statuses_copy(c->fleet, &n);
	for (int i = 0; i < n; i++) {
		if (strcmp(all[i].info.name, name) == 0 && all[i].listed && !all[i].info.leaving)
			is_removed = false;
	}
	free(all);
	return is_removed;
}

/* Ends the drain of a removed endpoint, which accepts no orders, without the change. */
static enum drain_action job_abandon(struct control *c, struct drain_job *j)
{
	j->given_up = true;
	log_warn("drain-endpoint-gone", "endpoint=%s order=%s", j->drain.order.endpoint,
		 j->drain.order.id);
	return control_job_step(c, j, DRAIN_EV_ORDER_FINISHED);
}

static enum drain_action order_send(struct control *c, struct drain_job *j)
{
	struct endpoint_info ep;

	if (endpoint_is_removed(c, j->drain.order.endpoint))
		return job_abandon(c, j);
	if (!control_endpoint_find(c, j->drain.order.endpoint, &ep))
		return DRAIN_DO_NOTHING;
	j->sent = true;
	switch (control_order_send(c, &ep, &j->drain.order)) {
	case ORDER_REPLY_ACCEPTED:
		return control_job_step(c, j, DRAIN_EV_ORDER_ACCEPTED);
	case ORDER_REPLY_STALE:
		return control_job_step(c, j, DRAIN_EV_LEASE_LOST);
	default:
		return control_job_step(c, j, DRAIN_EV_ORDER_REFUSED);
	}
}

static enum drain_action order_poll(struct control *c, struct drain_job *j)
{
	struct endpoint_info ep;

	if (endpoint_is_removed(c, j->drain.order.endpoint))
		return job_abandon(c, j);
	if (!control_endpoint_find(c, j->drain.order.endpoint, &ep))
		return DRAIN_DO_NOTHING;
	switch (control_order_poll(c, &ep, j->drain.order.id)) {
	case ORDER_REPLY_DONE:
		return control_job_step(c, j, DRAIN_EV_ORDER_FINISHED);
	case ORDER_REPLY_NOT_FOUND:
		/* The engine has restarted and lost the order, so send the order again. */
		pthread_mutex_lock(&c->lock);
		j->drain.phase = DRAIN_ORDERING;
		pthread_mutex_unlock(&c->lock);
		return DRAIN_DO_NOTHING;
	default:
		return DRAIN_DO_NOTHING;
	}
}

static void return_message_send(struct control *c, struct drain_job *j)
{
	struct peer_message *m = peer_message_create(PEER_RETURN);

	m->u.order = job_peer_order(j);
	control_stop_end(c, &m->u.order);
	control_broadcast(c, m);
	peer_message_destroy(m);
	if (j->given_up)
		return;
	if (j->drain.order.kind == ORDER_MODEL) {
		log_info("model-changed", "endpoint=%s order=%s model=%s", j->drain.order.endpoint,
			 j->drain.order.id, j->drain.order.u.model);
		event_record("model-changed", NULL, j->drain.order.endpoint, NULL, "order=%s",
			     j->drain.order.id);
		control_models_settle(c, j->dc);
		return;
	}
	atomic_fetch_add(&c->role_changes, 1);
	metric_add(METRIC_ROLE_CHANGES, 1);
	log_info("role-changed", "endpoint=%s order=%s ms=%" PRId64, j->drain.order.endpoint,
		 j->drain.order.id, clock_boot_ms() - j->begun_ms);
	event_record("role-changed", NULL, j->drain.order.endpoint, NULL, "order=%s",
		     j->drain.order.id);
}

static enum drain_action job_action_run(struct control *c, struct drain_job *j, enum drain_action a)
{
	switch (a) {
	case DRAIN_DO_NOTHING:
		break;
	case DRAIN_DO_WRITE_INTENT:
		return control_intent_write(c, j);
	case DRAIN_DO_SEND_LEAVE:
		leave_message_send(c, j);
		break;
	case DRAIN_DO_SEND_ORDER:
		return order_send(c, j);
	case DRAIN_DO_POLL_ENDPOINT:
		return order_poll(c, j);
	case DRAIN_DO_CLEAR_INTENT:
		return control_intent_delete(c, j);
	case DRAIN_DO_SEND_RETURN:
		return_message_send(c, j);
		break;
	}
	return DRAIN_DO_NOTHING;
}

/*
 * Gives up a drain whose order was never sent, or whose endpoint was removed. Requests in flight
 * there continue undisturbed.
 */
static void job_check_give_up(struct control *c, struct drain_job *j, int64_t now)
{
	bool is_removed = endpoint_is_removed(c, j->drain.order.endpoint);

	pthread_mutex_lock(&c->lock);
	/* If the write took effect after all, a later scan finds the row and resumes the drain. */
	if (j->drain.phase == DRAIN_INTENT && now - j->begun_ms > INTENT_WRITE_LIMIT_MS)
		j->drain.phase = DRAIN_ABORTED;
	if (j->drain.order.kind != ORDER_WITHDRAW && j->drain.phase == DRAIN_STOPPING &&
	    (is_removed || !j->sent) && (is_removed || now - j->begun_ms > DRAIN_GIVE_UP_MS)) {
		j->given_up = true;
		j->drain.phase = DRAIN_CLEARING;
		log_warn("drain-given-up", "endpoint=%s order=%s", j->drain.order.endpoint,
			 j->drain.order.id);
	}
	pthread_mutex_unlock(&c->lock);
}

static void job_advance(struct control *c, struct drain_job *j, int64_t now)
{
	enum drain_action a;
	bool is_finished;

	if (!control_lease_is_held_with(c, j->dc, j->drain.order.fencing) &&
	    !mechanism_is_disabled(MECHANISM_LEASE_CHECK))
		control_job_step(c, j, DRAIN_EV_LEASE_LOST);
	pthread_mutex_lock(&c->lock);
	job_members_update(c, j);
	pthread_mutex_unlock(&c->lock);
	job_check_give_up(c, j, now);
	a = control_job_step(c, j, DRAIN_EV_TICK);
	if (mechanism_is_disabled(MECHANISM_DRAIN_ACK) && a == DRAIN_DO_SEND_LEAVE) {
		pthread_mutex_lock(&c->lock);
		j->drain.phase = DRAIN_ORDERING;
		pthread_mutex_unlock(&c->lock);
		job_action_run(c, j, a);
		a = DRAIN_DO_SEND_ORDER;
	}
	while (a != DRAIN_DO_NOTHING)
		a = job_action_run(c, j, a);
	pthread_mutex_lock(&c->lock);
	is_finished = j->drain.phase == DRAIN_DONE || j->drain.phase == DRAIN_ABORTED;
	if (is_finished) {
		event_record(j->drain.phase == DRAIN_DONE ? "drain-done" : "drain-aborted", NULL,
			     j->drain.order.endpoint, NULL, "order=%s", j->drain.order.id);
		if (j->drain.phase == DRAIN_DONE && j->drain.order.kind == ORDER_WITHDRAW)
			control_withdrawal_record(c, j->drain.order.endpoint);
		j->used = false;
	}
	pthread_mutex_unlock(&c->lock);
}

static bool job_is_due(struct control *c, struct drain_job *j, int64_t now)
{
	bool due;

	pthread_mutex_lock(&c->lock);
	due = j->used && now >= j->next_ms;
	if (due)
		j->next_ms = now + TICK_MS;
	pthread_mutex_unlock(&c->lock);
	return due;
}

int control_drain_run(void *ctx, struct error *err)
{
	struct control *c = ctx;
	int64_t withdraw_ms = 0;
	int64_t rescan_ms = 0;

	while (!child_sleep_ms(LOOP_MS)) {
		int64_t now = clock_boot_ms();

		if (now >= withdraw_ms) {
			control_withdrawals_start(c);
			control_models_rollout(c);
			withdraw_ms = now + WITHDRAW_MS;
		}

		control_intents_resume(c, now >= rescan_ms);
		if (now >= rescan_ms)
			rescan_ms = now + RESCAN_MS;
		for (int i = 0; i < CONTROL_JOBS_MAX && !child_is_stopping(); i++) {
			struct drain_job *j = &c->jobs[i];

			if (job_is_due(c, j, now))
				job_advance(c, j, now);
		}
		child_account_cpu();
	}
	return 0;
}
