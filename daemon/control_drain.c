#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"

#define LOOP_MS 50
#define TICK_MS 200
#define SCAN_LIMIT 200
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

static enum drain_action feed(struct control *c, struct drain_job *j, enum drain_event_kind kind)
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

static struct drain_job *job_for(struct control *c, const char *endpoint, bool *known)
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

static void job_begin(struct control *c, struct drain_job *j, const struct order *order,
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
	j = job_for(c, order->endpoint, &known);
	if (j) {
		job_begin(c, j, order, dc);
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
	char token[24];

	if (!control_lease_held(c, dc, &order.fencing) || !control_endpoint(c, endpoint, &ep))
		return false;
	/* An earlier holder may still send its order to an engine that can't refuse it. */
	if (!ep.checks_fencing && !control_lease_settled(c, dc))
		return false;
	control_token(token);
	snprintf(order.id, sizeof(order.id), "o-%s", token);
	str_copy(order.endpoint, sizeof(order.endpoint), str_from(endpoint));
	return control_job_start(c, &order, dc, from);
}

static bool job_known(struct control *c, const char *endpoint)
{
	bool known;

	pthread_mutex_lock(&c->lock);
	job_for(c, endpoint, &known);
	pthread_mutex_unlock(&c->lock);
	return known;
}

/*
 * The row is written anew under the own fencing number, so that an earlier holder that resumes can
 * neither clear it nor tell the members to return.
 */
static int take_over(struct control *c, const struct table_row *row, const struct order *order,
		     const char *dc, int64_t *version)
{
	json_t *value = control_intent_json(order, dc, c->settings->instance.id);
	struct error err = { 0 };
	int rc =
		platform_put(c->gate->platform, row->key, value, row->version, version, NULL, &err);

	json_decref(value);
	return rc;
}

/* Return: false when the row has to be read again. */
static bool resume(struct control *c, const struct table_row *row, const char *dc, int64_t fencing)
{
	struct drain_event ev = { .kind = DRAIN_EV_INTENT_WRITTEN };
	struct order order = { .fencing = fencing };
	char row_dc[MEMBER_DC_MAX];
	struct peer_order p;
	struct drain_job *j;
	int64_t version;
	bool known;

	if (!control_intent_parse(row, &p, row_dc, sizeof(row_dc)) || strcmp(row_dc, dc) != 0 ||
	    job_known(c, p.endpoint))
		return true;
	order.kind = p.kind;
	if (p.kind == ORDER_ROLE)
		order.u.role = p.role;
	str_copy(order.id, sizeof(order.id), str_from(p.order));
	str_copy(order.endpoint, sizeof(order.endpoint), str_from(p.endpoint));
	if (take_over(c, row, &order, dc, &version))
		return false;
	pthread_mutex_lock(&c->lock);
	j = job_for(c, p.endpoint, &known);
	if (j) {
		job_begin(c, j, &order, dc);
		j->version = version;
		j->resumed = true;
		j->sent = true;
		j->role_before = p.role;
		drain_step(&j->drain, &ev, clock_boot_ms());
	}
	pthread_mutex_unlock(&c->lock);
	return j != NULL;
}

static bool load_intents(struct control *c, const char *dc, int64_t fencing)
{
	struct table_row *rows;
	struct error err = { 0 };
	bool more;
	int count;
	int rc = platform_scan(c->gate->platform, "intent/", "", SCAN_LIMIT, &rows, &count, &more,
			       &err);

	for (int i = 0; i < count; i++) {
		if (!resume(c, &rows[i], dc, fencing))
			rc = -1;
		table_row_clear(&rows[i]);
	}
	free(rows);
	return rc == 0;
}

static bool to_load(struct control *c, int i, bool rescan, char dc[MEMBER_DC_MAX])
{
	bool due = false;

	pthread_mutex_lock(&c->lock);
	if (i < c->lease_count) {
		due = rescan || c->leases[i].load_intents;
		memcpy(dc, c->leases[i].dc, MEMBER_DC_MAX);
	}
	pthread_mutex_unlock(&c->lock);
	return due;
}

static void check_leases(struct control *c, bool rescan)
{
	char dc[MEMBER_DC_MAX];

	for (int i = 0; i < CONTROL_LEASES_MAX; i++) {
		int64_t fencing;

		if (!to_load(c, i, rescan, dc) || !control_lease_held(c, dc, &fencing) ||
		    !load_intents(c, dc, fencing))
			continue;
		pthread_mutex_lock(&c->lock);
		c->leases[i].load_intents = false;
		pthread_mutex_unlock(&c->lock);
	}
}

static void intent_key(char *out, size_t size, const struct drain_job *j)
{
	snprintf(out, size, "intent/%s", j->drain.order.endpoint);
}

static enum drain_action write_intent(struct control *c, struct drain_job *j)
{
	json_t *value = control_intent_json(&j->drain.order, j->dc, c->settings->instance.id);
	struct table_row current = { 0 };
	struct error err = { 0 };
	enum drain_action a = DRAIN_DO_NOTHING;
	char key[96];
	int rc;

	if (ablated(MECHANISM_INTENT)) {
		json_decref(value);
		return feed(c, j, DRAIN_EV_INTENT_WRITTEN);
	}
	intent_key(key, sizeof(key), j);
	rc = platform_put(c->gate->platform, key, value, TABLE_MUST_NOT_EXIST, &j->version,
			  &current, &err);
	if (rc && err.code == PLATFORM_CONFLICT &&
	    strcmp(json_get_cstr(current.value, "order", ""), j->drain.order.id) == 0) {
		j->version = current.version;
		rc = 0;
	}
	if (!rc)
		a = feed(c, j, DRAIN_EV_INTENT_WRITTEN);
	else if (err.code == PLATFORM_CONFLICT)
		a = feed(c, j, DRAIN_EV_INTENT_REFUSED);
	json_decref(value);
	table_row_clear(&current);
	return a;
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

static enum drain_action send_order(struct control *c, struct drain_job *j)
{
	struct endpoint_info ep;

	if (!control_endpoint(c, j->drain.order.endpoint, &ep))
		return DRAIN_DO_NOTHING;
	j->sent = true;
	switch (control_order_send(c, &ep, &j->drain.order)) {
	case ORDER_REPLY_ACCEPTED:
		return feed(c, j, DRAIN_EV_ORDER_ACCEPTED);
	case ORDER_REPLY_STALE:
		return feed(c, j, DRAIN_EV_LEASE_LOST);
	default:
		return feed(c, j, DRAIN_EV_ORDER_REFUSED);
	}
}

static bool endpoint_gone(struct control *c, const char *name)
{
	struct endpoint_info ep;

	return atomic_load(&c->fleet_known) && !platform_down_since_ms(c->gate->platform) &&
	       (!control_endpoint(c, name, &ep) || ep.leaving);
}

static enum drain_action poll_endpoint(struct control *c, struct drain_job *j)
{
	struct endpoint_info ep;

	if (endpoint_gone(c, j->drain.order.endpoint))
		return feed(c, j, DRAIN_EV_ORDER_FINISHED);
	if (!control_endpoint(c, j->drain.order.endpoint, &ep))
		return DRAIN_DO_NOTHING;
	switch (control_order_poll(c, &ep, j->drain.order.id)) {
	case ORDER_REPLY_DONE:
		return feed(c, j, DRAIN_EV_ORDER_FINISHED);
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

static enum drain_action clear_intent(struct control *c, struct drain_job *j)
{
	struct error err = { 0 };
	char key[96];

	intent_key(key, sizeof(key), j);
	if (platform_delete(c->gate->platform, key, j->version, &err) == 0 ||
	    err.code == PLATFORM_NOT_FOUND)
		return feed(c, j, DRAIN_EV_INTENT_CLEARED);
	if (err.code == PLATFORM_CONFLICT)
		return feed(c, j, DRAIN_EV_LEASE_LOST);
	return DRAIN_DO_NOTHING;
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
		return write_intent(c, j);
	case DRAIN_DO_SEND_LEAVE:
		send_leave(c, j);
		break;
	case DRAIN_DO_SEND_ORDER:
		return send_order(c, j);
	case DRAIN_DO_POLL_ENDPOINT:
		return poll_endpoint(c, j);
	case DRAIN_DO_CLEAR_INTENT:
		return clear_intent(c, j);
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

	if (!control_lease_held(c, j->dc, NULL) && !ablated(MECHANISM_LEASE_CHECK))
		feed(c, j, DRAIN_EV_LEASE_LOST);
	pthread_mutex_lock(&c->lock);
	update_members(c, j);
	pthread_mutex_unlock(&c->lock);
	check_give_up(c, j, now);
	a = feed(c, j, DRAIN_EV_TICK);
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
			withdraw_ms = now + WITHDRAW_MS;
		}

		check_leases(c, now >= rescan_ms);
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
