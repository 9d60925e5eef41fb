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
/* A row of a doubtful write may appear after the first look. */
#define RESCAN_MS 10000
/* A decision older than this rests on a demand that has passed. */
#define INTENT_LIMIT_MS 10000
/* Above the total deadline of a request: what runs longer does not end by itself. */
#define GIVE_UP_MS 180000

/*
 * Only the drain child steps and frees jobs. The roles child adds some, and confirmations come from
 * the bus thread, both under the lock.
 */

enum drain_action control_job_feed(struct control *c, struct drain_job *j,
				   enum drain_event_kind kind)
{
	struct drain_event ev = { .kind = kind };
	enum drain_action a;

	pthread_mutex_lock(&c->lock);
	a = drain_step(&j->drain, &ev, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	return a;
}

void control_on_ack(struct control *c, const struct peer_message *m)
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
		drain_step(&j->drain, &ev, clock_boot_ms());
		j->next_ms = 0;
	}
	pthread_mutex_unlock(&c->lock);
}

static bool must_confirm(const struct control *c, const struct member *m)
{
	if (m->incarnation && m->state != MEMBER_GONE)
		return true;
	return control_listed_live(c, m->id);
}

/* Members change while a drain runs; every one that may send to the endpoint is asked. */
static void update_members(struct control *c, struct drain_job *j)
{
	int64_t now = clock_boot_ms();

	for (int i = 0; i < member_count(c->members); i++) {
		const struct member *m = member_at(c->members, i);
		struct drain_event ev = {
			.kind = DRAIN_EV_MEMBER_GONE,
			.member = m->id,
			.incarnation = m->incarnation,
		};

		if (must_confirm(c, m))
			drain_add_member(&j->drain, m->id, m->incarnation);
		else
			drain_step(&j->drain, &ev, now);
	}
}

struct drain_job *control_job_for(struct control *c, const char *endpoint, bool *known)
{
	struct drain_job *spare = NULL;

	*known = false;
	for (int i = 0; i < CONTROL_JOBS_MAX; i++) {
		struct drain_job *j = &c->jobs[i];

		if (!j->used)
			spare = j;
		else if (strcmp(j->drain.order.endpoint, endpoint) == 0)
			*known = true;
	}
	return *known ? NULL : spare;
}

void control_job_begin(struct control *c, struct drain_job *j, const struct order *order,
		       const char *dc)
{
	int64_t now = clock_boot_ms();

	*j = (struct drain_job){ .used = true, .begun_ms = now };
	str_copy(j->dc, sizeof(j->dc), str_from(dc));
	drain_begin(&j->drain, order, NULL, 0, now);
	update_members(c, j);
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
	j = control_job_for(c, order->endpoint, &known);
	if (j) {
		control_job_begin(c, j, order, dc);
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

	if (!control_endpoint(c, endpoint, &ep) || !control_order_init(c, &ep, dc, &order))
		return false;
	return control_job_start(c, &order, dc, from);
}

static struct peer_order peer_order_of(const struct drain_job *j)
{
	const struct order *o = &j->drain.order;
	struct peer_order p = { .kind = o->kind, .fencing = o->fencing };

	p.role = o->kind == ORDER_ROLE ? o->u.role : j->role_before;
	if (j->given_up)
		p.role = j->role_before;
	str_copy(p.endpoint, sizeof(p.endpoint), str_from(o->endpoint));
	str_copy(p.order, sizeof(p.order), str_from(o->id));
	return p;
}

static void confirm_self(struct control *c, struct drain_job *j)
{
	struct drain_event ev = {
		.kind = DRAIN_EV_ACK,
		.member = c->settings->instance.id,
		.incarnation = c->gate->incarnation,
		.in_flight = fleet_in_flight(c->fleet, j->drain.order.endpoint),
	};

	pthread_mutex_lock(&c->lock);
	drain_step(&j->drain, &ev, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
}

static void send_leave(struct control *c, struct drain_job *j)
{
	struct peer_message *m = peer_message_create(PEER_LEAVE);
	char ids[DRAIN_MEMBERS_MAX][MEMBER_ID_MAX];
	int n = 0;

	m->u.order = peer_order_of(j);
	control_stop_apply(c, &m->u.order, "");
	confirm_self(c, j);
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
 * A stop keeps an endpoint in the fleet after the platform's list has dropped it, so the list is
 * what counts.
 */
static bool endpoint_gone(struct control *c, const char *name)
{
	bool gone = true;
	int n;
	struct endpoint_status *all;

	if (!atomic_load(&c->fleet_listed) || platform_down_since_ms(c->gate->platform))
		return false;
	all = fleet_statuses(c->fleet, &n);
	for (int i = 0; i < n; i++) {
		if (strcmp(all[i].info.name, name) == 0 && all[i].listed && !all[i].info.leaving)
			gone = false;
	}
	free(all);
	return gone;
}

/* An endpoint that has left takes no order any more; its drain ends without a role change. */
static enum drain_action abandon(struct control *c, struct drain_job *j)
{
	j->given_up = true;
	log_warn("drain-endpoint-gone", "endpoint=%s order=%s", j->drain.order.endpoint,
		 j->drain.order.id);
	return control_job_feed(c, j, DRAIN_EV_ORDER_FINISHED);
}

static enum drain_action send_order(struct control *c, struct drain_job *j)
{
	struct endpoint_info ep;

	if (endpoint_gone(c, j->drain.order.endpoint))
		return abandon(c, j);
	if (!control_endpoint(c, j->drain.order.endpoint, &ep))
		return DRAIN_DO_NOTHING;
	j->sent = true;
	switch (control_order_send(c, &ep, &j->drain.order)) {
	case ORDER_REPLY_ACCEPTED:
		return control_job_feed(c, j, DRAIN_EV_ORDER_ACCEPTED);
	case ORDER_REPLY_STALE:
		return control_job_feed(c, j, DRAIN_EV_LEASE_LOST);
	default:
		return control_job_feed(c, j, DRAIN_EV_ORDER_REFUSED);
	}
}

static enum drain_action poll_endpoint(struct control *c, struct drain_job *j)
{
	struct endpoint_info ep;

	if (endpoint_gone(c, j->drain.order.endpoint))
		return abandon(c, j);
	if (!control_endpoint(c, j->drain.order.endpoint, &ep))
		return DRAIN_DO_NOTHING;
	switch (control_order_poll(c, &ep, j->drain.order.id)) {
	case ORDER_REPLY_DONE:
		return control_job_feed(c, j, DRAIN_EV_ORDER_FINISHED);
	case ORDER_REPLY_LOST:
		/* The engine was started again and forgot the order, which is sent once more. */
		pthread_mutex_lock(&c->lock);
		j->drain.phase = DRAIN_ORDERING;
		pthread_mutex_unlock(&c->lock);
		return DRAIN_DO_NOTHING;
	default:
		return DRAIN_DO_NOTHING;
	}
}

static void send_return(struct control *c, struct drain_job *j)
{
	struct peer_message *m = peer_message_create(PEER_RETURN);

	m->u.order = peer_order_of(j);
	control_stop_return(c, &m->u.order);
	control_send_all(c, m);
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

static enum drain_action act(struct control *c, struct drain_job *j, enum drain_action a)
{
	switch (a) {
	case DRAIN_DO_NOTHING:
		break;
	case DRAIN_DO_WRITE_INTENT:
		return control_intent_write(c, j);
	case DRAIN_DO_SEND_LEAVE:
		send_leave(c, j);
		break;
	case DRAIN_DO_SEND_ORDER:
		return send_order(c, j);
	case DRAIN_DO_POLL_ENDPOINT:
		return poll_endpoint(c, j);
	case DRAIN_DO_CLEAR_INTENT:
		return control_intent_clear(c, j);
	case DRAIN_DO_SEND_RETURN:
		send_return(c, j);
		break;
	}
	return DRAIN_DO_NOTHING;
}

/* A drain whose order was never sent may be taken back; what runs there goes on undisturbed. */
static void check_give_up(struct control *c, struct drain_job *j, int64_t now)
{
	bool gone = endpoint_gone(c, j->drain.order.endpoint);

	pthread_mutex_lock(&c->lock);
	/* A row of a doubtful write is found by a later scan and finished then. */
	if (j->drain.phase == DRAIN_INTENT && now - j->begun_ms > INTENT_LIMIT_MS)
		j->drain.phase = DRAIN_ABORTED;
	if (j->drain.order.kind != ORDER_WITHDRAW && j->drain.phase == DRAIN_STOPPING &&
	    (gone || !j->sent) && (gone || now - j->begun_ms > GIVE_UP_MS)) {
		j->given_up = true;
		j->drain.phase = DRAIN_CLEARING;
		log_warn("drain-given-up", "endpoint=%s order=%s", j->drain.order.endpoint,
			 j->drain.order.id);
	}
	pthread_mutex_unlock(&c->lock);
}

static void step(struct control *c, struct drain_job *j, int64_t now)
{
	enum drain_action a;
	bool over;

	if (!control_lease_held_as(c, j->dc, j->drain.order.fencing) &&
	    !ablated(MECHANISM_LEASE_CHECK))
		control_job_feed(c, j, DRAIN_EV_LEASE_LOST);
	pthread_mutex_lock(&c->lock);
	update_members(c, j);
	pthread_mutex_unlock(&c->lock);
	check_give_up(c, j, now);
	a = control_job_feed(c, j, DRAIN_EV_TICK);
	if (ablated(MECHANISM_DRAIN_ACK) && a == DRAIN_DO_SEND_LEAVE) {
		pthread_mutex_lock(&c->lock);
		j->drain.phase = DRAIN_ORDERING;
		pthread_mutex_unlock(&c->lock);
		act(c, j, a);
		a = DRAIN_DO_SEND_ORDER;
	}
	while (a != DRAIN_DO_NOTHING)
		a = act(c, j, a);
	pthread_mutex_lock(&c->lock);
	over = j->drain.phase == DRAIN_DONE || j->drain.phase == DRAIN_ABORTED;
	if (over) {
		event_record(j->drain.phase == DRAIN_DONE ? "drain-done" : "drain-aborted", NULL,
			     j->drain.order.endpoint, NULL, "order=%s", j->drain.order.id);
		if (j->drain.phase == DRAIN_DONE && j->drain.order.kind == ORDER_WITHDRAW)
			control_withdraw_done(c, j->drain.order.endpoint);
		j->used = false;
	}
	pthread_mutex_unlock(&c->lock);
}

static bool job_due(struct control *c, struct drain_job *j, int64_t now)
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
			control_withdraw_check(c);
			control_models_check(c);
			withdraw_ms = now + WITHDRAW_MS;
		}

		control_intents_load(c, now >= rescan_ms);
		if (now >= rescan_ms)
			rescan_ms = now + RESCAN_MS;
		for (int i = 0; i < CONTROL_JOBS_MAX && !child_stopping(); i++) {
			struct drain_job *j = &c->jobs[i];

			if (job_due(c, j, now))
				step(c, j, now);
		}
		child_account_cpu();
	}
	return 0;
}
