#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"
#include "ibisgate/daemon/fleet_use.h"

/* Confirmations that an engine has run empty leave within this time. */
#define LOOP_MS 20

/*
 * Every instance, the holder included, notes who has reserved an engine in c->marks. The holder
 * also keeps the confirmations of the others in c->reserves. Messages are built under the lock and
 * sent after it.
 */

static uint64_t key_of(const char *id, uint64_t incarnation)
{
	return hash_mix(hash_str(str_from(id), 0), incarnation);
}

/* Instances that may send to the engine now; one that is silent for long sends nothing new. */
static int members_of(const struct control *c, uint64_t out[RESERVE_MEMBERS_MAX + 1])
{
	int n = 0;

	for (int i = 1; i < member_count(c->members) && n <= RESERVE_MEMBERS_MAX; i++) {
		const struct member *m = member_at(c->members, i);

		if (m->incarnation && m->state != MEMBER_SUSPECT && m->state != MEMBER_GONE)
			out[n++] = key_of(m->id, m->incarnation);
	}
	return n;
}

static struct own_reserve *own_find(struct control *c, uint64_t handle)
{
	for (int i = 0; i < CONTROL_RESERVES_MAX; i++) {
		if (c->reserves[i].handle == handle)
			return &c->reserves[i];
	}
	return NULL;
}

static struct own_reserve *own_by_token(struct control *c, const char *endpoint, const char *token)
{
	for (int i = 0; i < CONTROL_RESERVES_MAX; i++) {
		struct own_reserve *o = &c->reserves[i];

		if (o->handle && strcmp(o->token, token) == 0 && strcmp(o->endpoint, endpoint) == 0)
			return o;
	}
	return NULL;
}

/* Entry of @endpoint, or a free one with @add; NULL if there is none. */
static struct noted_mark *mark_find(struct control *c, const char *endpoint, bool add)
{
	struct noted_mark *spare = NULL;

	for (int i = 0; i < CONTROL_MARKS_MAX; i++) {
		struct noted_mark *n = &c->marks[i];

		if (!n->mark.holder[0])
			spare = n;
		else if (strcmp(n->mark.endpoint, endpoint) == 0)
			return n;
	}
	return add ? spare : NULL;
}

static bool mark_is(const struct noted_mark *n, const char *holder, const char *token)
{
	return n && strcmp(n->mark.holder, holder) == 0 && strcmp(n->mark.token, token) == 0;
}

static bool mark_is_own(const struct control *c, const struct noted_mark *n)
{
	return strcmp(n->mark.holder, c->settings->instance.id) == 0;
}

static void mark_clear(struct control *c, struct noted_mark *n)
{
	if (!mark_is_own(c, n)) {
		fleet_unmark(c->fleet, n->mark.endpoint);
		metric_set(METRIC_RESERVED_BY_PEERS, atomic_fetch_sub(&c->mark_count, 1) - 1);
	}
	*n = (struct noted_mark){ 0 };
}

/* A mark that has run out and was not cleared yet must not lend its state to the next one. */
static struct noted_mark *mark_get(struct control *c, const char *endpoint)
{
	struct noted_mark *n = mark_find(c, endpoint, true);

	if (n && n->mark.holder[0] && !reserve_mark_live(&n->mark, clock_boot_ms()))
		mark_clear(c, n);
	return n;
}

/* Called after each step of a reservation: the mark yields to none once it is granted. */
static void own_settle(struct control *c, struct own_reserve *o, enum reserve_phase before)
{
	struct noted_mark *n = mark_find(c, o->endpoint, false);

	if (mark_is(n, c->settings->instance.id, o->token))
		n->mark.granted = o->reserve.phase == RESERVE_GRANTED;
	if (o->reserve.phase == before)
		return;
	pthread_cond_broadcast(&c->reserve_cond);
	if (o->reserve.phase == RESERVE_GRANTED) {
		metric_add(METRIC_RESERVATIONS, 1);
		event_record("reserve-granted", NULL, o->endpoint, NULL, "token=%s wait_ms=%d",
			     o->token, (int)(clock_boot_ms() - o->begun_ms));
	} else if (o->reserve.phase != RESERVE_RELEASED) {
		metric_add(METRIC_RESERVATIONS_LOST, 1);
		event_record("reserve-lost", NULL, o->endpoint, NULL, "token=%s phase=%d", o->token,
			     o->reserve.phase);
	}
}

static struct peer_message *message_create(enum peer_message_kind kind, const char *endpoint,
					   const char *token)
{
	struct peer_message *m = peer_message_create(kind);
	struct peer_reserve *r = &m->u.reserve;

	str_copy(r->endpoint, sizeof(r->endpoint), str_from(endpoint));
	str_copy(r->token, sizeof(r->token), str_from(token));
	return m;
}

static struct peer_message *request_create(const struct own_reserve *o)
{
	struct peer_message *m = message_create(PEER_RESERVE, o->endpoint, o->token);

	m->u.reserve.stamp = o->stamp;
	m->u.reserve.round = o->reserve.round;
	m->u.reserve.left_ms = RESERVE_TERM_MS;
	return m;
}

static struct peer_message *ack_create(const struct reserve_mark *mark, enum reserve_answer answer,
				       int in_flight)
{
	struct peer_message *m = message_create(PEER_RESERVE_ACK, mark->endpoint, mark->token);

	m->u.reserve.round = mark->round;
	m->u.reserve.answer = answer;
	m->u.reserve.in_flight = in_flight;
	return m;
}

/* The own mark goes through the same order as those of others. False when another one stands. */
static bool own_mark(struct control *c, const struct own_reserve *o)
{
	struct reserve_mark displaced;
	struct reserve_mark offer = { .stamp = o->stamp, .until_ms = INT64_MAX };
	struct noted_mark *n = mark_get(c, o->endpoint);

	str_copy(offer.endpoint, sizeof(offer.endpoint), str_from(o->endpoint));
	str_copy(offer.holder, sizeof(offer.holder), str_from(c->settings->instance.id));
	str_copy(offer.token, sizeof(offer.token), str_from(o->token));
	return n && reserve_mark_offer(&n->mark, &offer, &displaced, clock_boot_ms());
}

uint64_t control_reserve_begin(struct control *c, const char *endpoint, bool last)
{
	uint64_t members[RESERVE_MEMBERS_MAX + 1];
	struct peer_message *m = NULL;
	struct own_reserve *o;
	uint64_t handle = 0;

	pthread_mutex_lock(&c->lock);
	o = own_find(c, 0);
	if (!o)
		goto out;
	str_copy(o->endpoint, sizeof(o->endpoint), str_from(endpoint));
	control_token(o->token);
	o->begun_ms = clock_boot_ms();
	/* Under the lock: what was received before has been noted, and has a lower stamp. */
	o->stamp = hlc_now();
	if (!own_mark(c, o))
		goto out;
	handle = ++c->reserve_next;
	o->handle = handle;
	c->reserve_count++;
	reserve_begin(&o->reserve, last, members, members_of(c, members), o->begun_ms);
	own_settle(c, o, RESERVE_REQUESTED);
	if (o->reserve.phase == RESERVE_REQUESTED)
		m = request_create(o);
out:
	pthread_mutex_unlock(&c->lock);
	if (m)
		control_send_all(c, m);
	peer_message_destroy(m);
	return handle;
}

enum reserve_phase control_reserve_wait(struct control *c, uint64_t handle, int wait_ms)
{
	struct timespec until = clock_mono_after(wait_ms);
	enum reserve_phase phase = RESERVE_LOST;
	struct own_reserve *o;

	pthread_mutex_lock(&c->lock);
	while ((o = own_find(c, handle))) {
		phase = o->reserve.phase;
		if (phase != RESERVE_REQUESTED ||
		    pthread_cond_timedwait(&c->reserve_cond, &c->lock, &until))
			break;
	}
	pthread_mutex_unlock(&c->lock);
	return phase;
}

bool control_reserve_held(struct control *c, uint64_t handle)
{
	uint64_t members[RESERVE_MEMBERS_MAX + 1];
	int64_t now = clock_boot_ms();
	struct own_reserve *o;
	bool held = false;

	pthread_mutex_lock(&c->lock);
	o = handle ? own_find(c, handle) : NULL;
	if (o) {
		enum reserve_phase before = o->reserve.phase;

		reserve_members(&o->reserve, members, members_of(c, members), now);
		own_settle(c, o, before);
		held = reserve_held(&o->reserve, now);
	}
	pthread_mutex_unlock(&c->lock);
	return held;
}

void control_reserve_end(struct control *c, uint64_t handle)
{
	struct peer_message *m = NULL;
	struct own_reserve *o;
	struct noted_mark *n;

	if (!handle)
		return;
	pthread_mutex_lock(&c->lock);
	o = own_find(c, handle);
	if (o) {
		n = mark_find(c, o->endpoint, false);
		if (mark_is(n, c->settings->instance.id, o->token))
			mark_clear(c, n);
		m = message_create(PEER_RESERVE_RELEASE, o->endpoint, o->token);
		reserve_release(&o->reserve);
		o->handle = 0;
		c->reserve_count--;
	}
	pthread_mutex_unlock(&c->lock);
	if (m)
		control_send_all(c, m);
	peer_message_destroy(m);
}

/* Keeps new work away as long as the mark is in force. */
static enum reserve_answer mark_apply(struct control *c, const struct noted_mark *n, int *in_flight)
{
	switch (fleet_mark(c->fleet, n->mark.endpoint, in_flight)) {
	case FLEET_MARK_KEPT:
		return RESERVE_CONFIRMED;
	case FLEET_MARK_LAST:
		return RESERVE_SHARED;
	case FLEET_MARK_FULL:
		return RESERVE_REFUSED;
	case FLEET_MARK_DOWN:
		return RESERVE_DOWN;
	}
	return RESERVE_REFUSED;
}

/* Confirms with the count in flight, or gives the mark up when the engine can't be reserved here.
 */
static struct peer_message *mark_answer(struct control *c, struct noted_mark *n)
{
	enum reserve_answer answer = RESERVE_CONFIRMED;
	struct peer_message *m;
	int in_flight = 0;

	if (!n->confirmed)
		answer = mark_apply(c, n, &in_flight);
	m = ack_create(&n->mark, answer, in_flight);
	n->confirmed = answer == RESERVE_SHARED || (answer == RESERVE_CONFIRMED && !in_flight);
	if (answer == RESERVE_REFUSED || answer == RESERVE_DOWN)
		mark_clear(c, n);
	return m;
}

/* An earlier reservation has taken the place of @old; tells its holder. */
static void displace(struct control *c, const struct reserve_mark *old, struct peer_message **m)
{
	struct own_reserve *o;

	if (strcmp(old->holder, c->settings->instance.id) != 0) {
		*m = ack_create(old, RESERVE_REFUSED, 0);
		return;
	}
	o = own_by_token(c, old->endpoint, old->token);
	if (o) {
		enum reserve_phase before = o->reserve.phase;

		reserve_lose(&o->reserve);
		own_settle(c, o, before);
	}
}

static void on_request(struct control *c, const struct peer_message *m)
{
	const struct peer_reserve *r = &m->u.reserve;
	int64_t now = clock_boot_ms();
	int64_t left = r->left_ms < RESERVE_TERM_MS ? r->left_ms : RESERVE_TERM_MS;
	struct reserve_mark offer = { .stamp = r->stamp,
				      .round = r->round,
				      .until_ms = now + left };
	struct reserve_mark displaced = { 0 };
	struct peer_message *lost = NULL;
	struct peer_message *ack;
	struct noted_mark *n;

	str_copy(offer.endpoint, sizeof(offer.endpoint), str_from(r->endpoint));
	str_copy(offer.holder, sizeof(offer.holder), str_from(m->sender));
	str_copy(offer.token, sizeof(offer.token), str_from(r->token));
	pthread_mutex_lock(&c->lock);
	n = mark_get(c, r->endpoint);
	if (n && reserve_mark_offer(&n->mark, &offer, &displaced, now)) {
		if (!n->counted)
			metric_set(METRIC_RESERVED_BY_PEERS,
				   atomic_fetch_add(&c->mark_count, 1) + 1);
		n->counted = true;
		if (displaced.holder[0]) {
			n->confirmed = false;
			displace(c, &displaced, &lost);
		}
		ack = mark_answer(c, n);
	} else {
		ack = ack_create(&offer, RESERVE_REFUSED, 0);
	}
	pthread_mutex_unlock(&c->lock);
	control_send(c, m->sender, ack);
	if (lost)
		control_send(c, displaced.holder, lost);
	peer_message_destroy(lost);
	peer_message_destroy(ack);
}

static void on_ack(struct control *c, const struct peer_message *m)
{
	const struct peer_reserve *r = &m->u.reserve;
	struct own_reserve *o;

	pthread_mutex_lock(&c->lock);
	o = own_by_token(c, r->endpoint, r->token);
	if (o) {
		enum reserve_phase before = o->reserve.phase;

		reserve_confirm(&o->reserve, key_of(m->sender, m->incarnation), r->round, r->answer,
				r->in_flight, clock_boot_ms());
		own_settle(c, o, before);
	}
	pthread_mutex_unlock(&c->lock);
}

void control_on_reserve(struct control *c, const struct peer_message *m)
{
	struct noted_mark *n;

	if (m->kind == PEER_RESERVE) {
		on_request(c, m);
		return;
	}
	if (m->kind == PEER_RESERVE_ACK) {
		on_ack(c, m);
		return;
	}
	pthread_mutex_lock(&c->lock);
	n = mark_find(c, m->u.reserve.endpoint, false);
	if (mark_is(n, m->sender, m->u.reserve.token))
		mark_clear(c, n);
	pthread_mutex_unlock(&c->lock);
}

/* Renewals and repeats of one own reservation. */
static void own_step(struct control *c, struct own_reserve *o)
{
	uint64_t members[RESERVE_MEMBERS_MAX + 1];
	int64_t now = clock_boot_ms();
	struct peer_message *m = NULL;

	pthread_mutex_lock(&c->lock);
	if (o->handle) {
		enum reserve_phase before = o->reserve.phase;

		reserve_members(&o->reserve, members, members_of(c, members), now);
		if (reserve_tick(&o->reserve, now))
			m = request_create(o);
		own_settle(c, o, before);
	}
	pthread_mutex_unlock(&c->lock);
	if (m)
		control_send_all(c, m);
	peer_message_destroy(m);
}

/* Ends a mark whose holder renews it no more, and tells a holder when its engine has run empty. */
static void mark_step(struct control *c, struct noted_mark *n)
{
	int64_t now = clock_boot_ms();
	char holder[MEMBER_ID_MAX] = "";
	struct peer_message *m = NULL;

	pthread_mutex_lock(&c->lock);
	if (n->mark.holder[0] && !mark_is_own(c, n)) {
		memcpy(holder, n->mark.holder, sizeof(holder));
		if (!reserve_mark_live(&n->mark, now))
			mark_clear(c, n);
		else if (!n->confirmed && fleet_in_flight(c->fleet, n->mark.endpoint) == 0)
			m = mark_answer(c, n);
	}
	pthread_mutex_unlock(&c->lock);
	if (m)
		control_send(c, holder, m);
	peer_message_destroy(m);
}

int control_reserve_run(void *ctx, struct error *err)
{
	struct control *c = ctx;

	while (!child_sleep_ms(LOOP_MS)) {
		for (int i = 0; atomic_load(&c->reserve_count) && i < CONTROL_RESERVES_MAX; i++)
			own_step(c, &c->reserves[i]);
		for (int i = 0; atomic_load(&c->mark_count) && i < CONTROL_MARKS_MAX; i++)
			mark_step(c, &c->marks[i]);
		child_account_cpu();
	}
	return 0;
}
