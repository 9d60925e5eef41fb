#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"
#include "ibisgate/daemon/fleet_use.h"

/* Bounds the delay until an instance confirms that it has nothing in flight on an engine. */
#define LOOP_MS 20
#define IDLE_MS 1000

/*
 * Every instance, the holder included, records in c->reserve_marks which instance has reserved an
 * engine. The holder also keeps the confirmations of the others, in c->own_reserves. Messages are
 * built under the lock and sent after it is released.
 */

static uint64_t member_key(const char *id, uint64_t incarnation)
{
	return hash_mix(hash_str(str_from(id), 0), incarnation);
}

/* Lists the instances that may send work to the engine. A suspect or removed one sends no more. */
static int reserve_members_fill(const struct control *c, uint64_t out[RESERVE_MEMBERS_MAX + 1])
{
	int n = 0;

	for (int i = 1; i < member_count(c->members) && n <= RESERVE_MEMBERS_MAX; i++) {
		const struct member *m = member_at(c->members, i);

		if (m->incarnation && m->state != MEMBER_SUSPECT && m->state != MEMBER_GONE)
			out[n++] = member_key(m->id, m->incarnation);
	}
	return n;
}

static struct own_reserve *own_reserve_find(struct control *c, uint64_t handle)
{
	for (int i = 0; i < CONTROL_RESERVES_MAX; i++) {
		if (c->own_reserves[i].handle == handle)
			return &c->own_reserves[i];
	}
	return NULL;
}

static struct own_reserve *own_reserve_find_token(struct control *c, const char *endpoint,
						  const char *token)
{
	for (int i = 0; i < CONTROL_RESERVES_MAX; i++) {
		struct own_reserve *o = &c->own_reserves[i];

		if (o->handle && strcmp(o->token, token) == 0 && strcmp(o->endpoint, endpoint) == 0)
			return o;
	}
	return NULL;
}

/* Slot of @endpoint, or with @add a free one; NULL if there is none. */
static struct reserve_mark_slot *mark_find(struct control *c, const char *endpoint, bool add)
{
	struct reserve_mark_slot *free_slot = NULL;

	for (int i = 0; i < CONTROL_RESERVE_MARKS_MAX; i++) {
		struct reserve_mark_slot *n = &c->reserve_marks[i];

		if (!n->mark.holder[0])
			free_slot = n;
		else if (strcmp(n->mark.endpoint, endpoint) == 0)
			return n;
	}
	return add ? free_slot : NULL;
}

static bool mark_matches(const struct reserve_mark_slot *n, const char *holder, const char *token)
{
	return n && strcmp(n->mark.holder, holder) == 0 && strcmp(n->mark.token, token) == 0;
}

static bool mark_is_own(const struct control *c, const struct reserve_mark_slot *n)
{
	return strcmp(n->mark.holder, c->settings->instance.id) == 0;
}

static void mark_clear(struct control *c, struct reserve_mark_slot *n)
{
	if (!mark_is_own(c, n)) {
		fleet_peer_unreserve(c->fleet, n->mark.endpoint);
		metric_set(METRIC_RESERVED_BY_PEERS, atomic_fetch_sub(&c->peer_mark_count, 1) - 1);
	}
	*n = (struct reserve_mark_slot){ 0 };
}

/* Clears an expired mark first, because the next one must not inherit its state. */
static struct reserve_mark_slot *mark_find_or_alloc(struct control *c, const char *endpoint)
{
	struct reserve_mark_slot *n = mark_find(c, endpoint, true);

	if (n && n->mark.holder[0] && !reserve_entry_is_live(&n->mark, clock_boot_ms()))
		mark_clear(c, n);
	return n;
}

/* Called after each step of a reservation. A granted mark can't be displaced by another one. */
static void own_reserve_sync(struct control *c, struct own_reserve *o, enum reserve_phase before)
{
	struct reserve_mark_slot *n = mark_find(c, o->endpoint, false);

	if (mark_matches(n, c->settings->instance.id, o->token))
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

static struct peer_message *reserve_message_create(enum peer_message_kind kind,
						   const char *endpoint, const char *token)
{
	struct peer_message *m = peer_message_create(kind);
	struct peer_reservation *r = &m->u.reserve;

	str_copy(r->endpoint, sizeof(r->endpoint), str_from(endpoint));
	str_copy(r->token, sizeof(r->token), str_from(token));
	return m;
}

static struct peer_message *reserve_request_create(const struct own_reserve *o)
{
	struct peer_message *m = reserve_message_create(PEER_RESERVE, o->endpoint, o->token);

	m->u.reserve.request_hlc = o->stamp;
	m->u.reserve.round = o->reserve.round;
	m->u.reserve.expires_in_ms = RESERVE_TERM_MS;
	return m;
}

static struct peer_message *reserve_ack_create(const struct reserve_entry *mark,
					       enum reserve_answer answer, int in_flight)
{
	struct peer_message *m =
		reserve_message_create(PEER_RESERVE_ACK, mark->endpoint, mark->token);

	m->u.reserve.round = mark->round;
	m->u.reserve.answer = answer;
	m->u.reserve.in_flight = in_flight;
	return m;
}

/*
 * Own marks are ordered in the same way as those of others. Return: false when another reservation
 * of the engine takes precedence, or no slot is free.
 */
static bool own_mark_offer(struct control *c, const struct own_reserve *o)
{
	struct reserve_entry displaced;
	struct reserve_entry offer = { .stamp = o->stamp, .until_ms = INT64_MAX };
	struct reserve_mark_slot *n = mark_find_or_alloc(c, o->endpoint);

	str_copy(offer.endpoint, sizeof(offer.endpoint), str_from(o->endpoint));
	str_copy(offer.holder, sizeof(offer.holder), str_from(c->settings->instance.id));
	str_copy(offer.token, sizeof(offer.token), str_from(o->token));
	return n && reserve_entry_offer(&n->mark, &offer, &displaced, clock_boot_ms());
}

uint64_t control_reserve_begin(struct control *c, const char *endpoint, bool is_last)
{
	uint64_t members[RESERVE_MEMBERS_MAX + 1];
	struct peer_message *m = NULL;
	struct own_reserve *o;
	uint64_t handle = 0;

	pthread_mutex_lock(&c->lock);
	o = own_reserve_find(c, 0);
	if (!o)
		goto out;
	str_copy(o->endpoint, sizeof(o->endpoint), str_from(endpoint));
	control_token_create(o->token);
	o->begun_ms = clock_boot_ms();
	/* Taken under the lock: all requests received earlier are recorded and have lower stamps.
	 */
	o->stamp = hlc_now();
	if (!own_mark_offer(c, o))
		goto out;
	handle = ++c->reserve_last_handle;
	o->handle = handle;
	c->own_reserve_count++;
	pthread_cond_broadcast(&c->work_cond);
	reserve_begin(&o->reserve, is_last, members, reserve_members_fill(c, members), o->begun_ms);
	own_reserve_sync(c, o, RESERVE_REQUESTED);
	if (o->reserve.phase == RESERVE_REQUESTED)
		m = reserve_request_create(o);
out:
	pthread_mutex_unlock(&c->lock);
	if (m)
		control_broadcast(c, m);
	peer_message_destroy(m);
	return handle;
}

enum reserve_phase control_reserve_wait(struct control *c, uint64_t handle, int wait_ms)
{
	struct timespec until = clock_monotonic_after(wait_ms);
	enum reserve_phase phase = RESERVE_LOST;
	struct own_reserve *o;

	pthread_mutex_lock(&c->lock);
	while ((o = own_reserve_find(c, handle))) {
		phase = o->reserve.phase;
		if (phase != RESERVE_REQUESTED ||
		    pthread_cond_timedwait(&c->reserve_cond, &c->lock, &until))
			break;
	}
	pthread_mutex_unlock(&c->lock);
	return phase;
}

bool control_reserve_is_held(struct control *c, uint64_t handle)
{
	uint64_t members[RESERVE_MEMBERS_MAX + 1];
	int64_t now = clock_boot_ms();
	struct own_reserve *o;
	bool held = false;

	pthread_mutex_lock(&c->lock);
	o = handle ? own_reserve_find(c, handle) : NULL;
	if (o) {
		enum reserve_phase before = o->reserve.phase;

		reserve_set_members(&o->reserve, members, reserve_members_fill(c, members), now);
		own_reserve_sync(c, o, before);
		held = reserve_is_held(&o->reserve, now);
	}
	pthread_mutex_unlock(&c->lock);
	return held;
}

void control_reserve_end(struct control *c, uint64_t handle)
{
	struct peer_message *m = NULL;
	struct own_reserve *o;
	struct reserve_mark_slot *n;

	if (!handle)
		return;
	pthread_mutex_lock(&c->lock);
	o = own_reserve_find(c, handle);
	if (o) {
		n = mark_find(c, o->endpoint, false);
		if (mark_matches(n, c->settings->instance.id, o->token))
			mark_clear(c, n);
		m = reserve_message_create(PEER_RESERVE_RELEASE, o->endpoint, o->token);
		reserve_release(&o->reserve);
		o->handle = 0;
		c->own_reserve_count--;
	}
	pthread_mutex_unlock(&c->lock);
	if (m)
		control_broadcast(c, m);
	peer_message_destroy(m);
}

/* Makes the fleet send no new work to the engine while the mark is in force. */
static enum reserve_answer mark_apply(struct control *c, const struct reserve_mark_slot *n,
				      int *in_flight)
{
	switch (fleet_peer_reserve(c->fleet, n->mark.endpoint, in_flight)) {
	case FLEET_PEER_RESERVED:
		return RESERVE_CONFIRMED;
	case FLEET_PEER_RESERVED_LAST:
		return RESERVE_SHARED;
	case FLEET_PEER_REFUSED_FULL:
		return RESERVE_REFUSED;
	case FLEET_PEER_REFUSED_DOWN:
		return RESERVE_DOWN;
	}
	return RESERVE_REFUSED;
}

/*
 * Creates the reply to the holder, with the number of requests in flight. Clears the mark when the
 * engine can't be reserved here.
 */
static struct peer_message *mark_reply_create(struct control *c, struct reserve_mark_slot *n)
{
	enum reserve_answer answer = RESERVE_CONFIRMED;
	struct peer_message *m;
	int in_flight = 0;

	if (!n->confirmed)
		answer = mark_apply(c, n, &in_flight);
	m = reserve_ack_create(&n->mark, answer, in_flight);
	n->confirmed = answer == RESERVE_SHARED || (answer == RESERVE_CONFIRMED && !in_flight);
	if (answer == RESERVE_REFUSED || answer == RESERVE_DOWN)
		mark_clear(c, n);
	return m;
}

/* Called when an earlier reservation has displaced @old; @m: out: message for the old holder. */
static void mark_displace(struct control *c, const struct reserve_entry *old,
			  struct peer_message **m)
{
	struct own_reserve *o;

	if (strcmp(old->holder, c->settings->instance.id) != 0) {
		*m = reserve_ack_create(old, RESERVE_REFUSED, 0);
		return;
	}
	o = own_reserve_find_token(c, old->endpoint, old->token);
	if (o) {
		enum reserve_phase before = o->reserve.phase;

		reserve_preempt(&o->reserve);
		own_reserve_sync(c, o, before);
	}
}

static void on_reserve(struct control *c, const struct peer_message *m)
{
	const struct peer_reservation *r = &m->u.reserve;
	int64_t now = clock_boot_ms();
	int64_t remaining_ms =
		r->expires_in_ms < RESERVE_TERM_MS ? r->expires_in_ms : RESERVE_TERM_MS;
	struct reserve_entry offer = { .stamp = r->request_hlc,
				       .round = r->round,
				       .until_ms = now + remaining_ms };
	struct reserve_entry displaced = { 0 };
	struct peer_message *lost = NULL;
	struct peer_message *ack;
	struct reserve_mark_slot *n;

	str_copy(offer.endpoint, sizeof(offer.endpoint), str_from(r->endpoint));
	str_copy(offer.holder, sizeof(offer.holder), str_from(m->sender));
	str_copy(offer.token, sizeof(offer.token), str_from(r->token));
	pthread_mutex_lock(&c->lock);
	n = mark_find_or_alloc(c, r->endpoint);
	if (n && reserve_entry_offer(&n->mark, &offer, &displaced, now)) {
		if (!n->counted)
			metric_set(METRIC_RESERVED_BY_PEERS,
				   atomic_fetch_add(&c->peer_mark_count, 1) + 1);
		n->counted = true;
		pthread_cond_broadcast(&c->work_cond);
		if (displaced.holder[0]) {
			n->confirmed = false;
			mark_displace(c, &displaced, &lost);
		}
		ack = mark_reply_create(c, n);
	} else {
		ack = reserve_ack_create(&offer, RESERVE_REFUSED, 0);
	}
	pthread_mutex_unlock(&c->lock);
	control_send(c, m->sender, ack);
	if (lost)
		control_send(c, displaced.holder, lost);
	peer_message_destroy(lost);
	peer_message_destroy(ack);
}

static void on_reserve_ack(struct control *c, const struct peer_message *m)
{
	const struct peer_reservation *r = &m->u.reserve;
	struct own_reserve *o;

	pthread_mutex_lock(&c->lock);
	o = own_reserve_find_token(c, r->endpoint, r->token);
	if (o) {
		enum reserve_phase before = o->reserve.phase;

		reserve_confirm(&o->reserve, member_key(m->sender, m->incarnation), r->round,
				r->answer, r->in_flight, clock_boot_ms());
		own_reserve_sync(c, o, before);
	}
	pthread_mutex_unlock(&c->lock);
}

void control_on_reserve(struct control *c, const struct peer_message *m)
{
	struct reserve_mark_slot *n;

	if (m->kind == PEER_RESERVE) {
		on_reserve(c, m);
		return;
	}
	if (m->kind == PEER_RESERVE_ACK) {
		on_reserve_ack(c, m);
		return;
	}
	pthread_mutex_lock(&c->lock);
	n = mark_find(c, m->u.reserve.endpoint, false);
	if (mark_matches(n, m->sender, m->u.reserve.token))
		mark_clear(c, n);
	pthread_mutex_unlock(&c->lock);
}

/* Renews one own reservation, or sends its request again. */
static void own_reserve_step(struct control *c, struct own_reserve *o)
{
	uint64_t members[RESERVE_MEMBERS_MAX + 1];
	int64_t now = clock_boot_ms();
	struct peer_message *m = NULL;

	pthread_mutex_lock(&c->lock);
	if (o->handle) {
		enum reserve_phase before = o->reserve.phase;

		reserve_set_members(&o->reserve, members, reserve_members_fill(c, members), now);
		if (reserve_tick(&o->reserve, now))
			m = reserve_request_create(o);
		own_reserve_sync(c, o, before);
	}
	pthread_mutex_unlock(&c->lock);
	if (m)
		control_broadcast(c, m);
	peer_message_destroy(m);
}

/* Clears an expired mark, or confirms to its holder that nothing is in flight here any more. */
static void mark_step(struct control *c, struct reserve_mark_slot *n)
{
	int64_t now = clock_boot_ms();
	char holder[MEMBER_ID_MAX] = "";
	struct peer_message *m = NULL;

	pthread_mutex_lock(&c->lock);
	if (n->mark.holder[0] && !mark_is_own(c, n)) {
		memcpy(holder, n->mark.holder, sizeof(holder));
		if (!reserve_entry_is_live(&n->mark, now))
			mark_clear(c, n);
		else if (!n->confirmed && fleet_endpoint_in_flight(c->fleet, n->mark.endpoint) == 0)
			m = mark_reply_create(c, n);
	}
	pthread_mutex_unlock(&c->lock);
	if (m)
		control_send(c, holder, m);
	peer_message_destroy(m);
}

static bool has_reservations(struct control *c)
{
	return atomic_load(&c->own_reserve_count) || atomic_load(&c->peer_mark_count);
}

int control_reserve_run(void *ctx, struct error *err)
{
	struct control *c = ctx;

	while (control_wait_for_work(c, has_reservations, clock_boot_ms() + IDLE_MS, LOOP_MS)) {
		for (int i = 0; atomic_load(&c->own_reserve_count) && i < CONTROL_RESERVES_MAX; i++)
			own_reserve_step(c, &c->own_reserves[i]);
		for (int i = 0; atomic_load(&c->peer_mark_count) && i < CONTROL_RESERVE_MARKS_MAX;
		     i++)
			mark_step(c, &c->reserve_marks[i]);
		child_account_cpu();
	}
	return 0;
}
