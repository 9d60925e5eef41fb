#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/supervisor.h"

#define LOOP_MS 100

/* An instance that starts waits this long for a peer, which may be gone or cut off. */
#define CRASH_REPORTS_WAIT_MS 2000
/* Entries of a heartbeat; members take turns, to keep heartbeats small. */
#define DELEGATE_ENTRIES_MAX 3
#define MEMBER_ENTRIES_MAX 1
/*
 * Every how many heartbeats a full one is sent, with addresses, demand and entries. A peer that has
 * not confirmed yet that it hears this instance always gets full ones.
 */
#define FULL_HEARTBEAT_INTERVAL 4
/* Up to this many members a delegate can afford entries in each heartbeat. */
#define SMALL_REGION_MEMBERS 24

static enum member_state own_state(const struct control *c)
{
	int state = atomic_load(&c->gate->state);

	if (atomic_load(&c->has_left) || state == GATE_DRAINING)
		return MEMBER_DRAINING;
	if (state == GATE_STOPPED)
		return MEMBER_GONE;
	return state == GATE_READY ? MEMBER_LIVE : MEMBER_JOINING;
}

static struct member own_member(const struct control *c)
{
	const struct settings *s = c->settings;
	struct member m = { .incarnation = c->gate->incarnation, .hears_us = true };

	str_copy(m.id, sizeof(m.id), str_from(s->instance.id));
	str_copy(m.dc, sizeof(m.dc), str_from(s->instance.dc));
	str_copy(m.peer, sizeof(m.peer), str_from(s->peer.advertise));
	str_copy(m.http, sizeof(m.http), str_from(s->http.advertise));
	str_copy(m.admin, sizeof(m.admin), str_from(s->admin.advertise));
	m.state = own_state(c);
	return m;
}

void control_members_init(struct control *c)
{
	const struct settings *s = c->settings;
	struct member self = own_member(c);

	c->members = member_table_create(&self);
	/* The data centre of a seed is learned from its first heartbeat. */
	for (int i = 0; i < s->seed_count; i++)
		member_add_address(c->members, s->seeds[i].key, "", s->seeds[i].value,
				   clock_boot_ms());
}

static struct peer_member member_entry(const struct member *m, int64_t now)
{
	struct peer_member e = {
		.incarnation = m->incarnation,
		.state = m->state,
		.config_version = m->config_version,
		.age_ms = m->last_heard_ms && m->last_heard_ms < now
				  ? (uint32_t)(now - m->last_heard_ms)
				  : 0,
	};

	str_copy(e.id, sizeof(e.id), str_from(m->id));
	str_copy(e.dc, sizeof(e.dc), str_from(m->dc));
	str_copy(e.peer, sizeof(e.peer), str_from(m->peer));
	str_copy(e.http, sizeof(e.http), str_from(m->http));
	str_copy(e.admin, sizeof(e.admin), str_from(m->admin));
	return e;
}

bool control_member_is_alive(const struct member *m)
{
	return m->incarnation && m->state != MEMBER_SUSPECT && m->state != MEMBER_GONE;
}

static int heartbeat_entries_max(const struct control *c, bool delegate, bool full)
{
	bool small = member_count(c->members) <= SMALL_REGION_MEMBERS;

	if (!full && !(delegate && small))
		return 0;
	/* Among many members every second full heartbeat is enough to spread the addresses. */
	if (!delegate && !small &&
	    c->heartbeat_count % (2 * FULL_HEARTBEAT_INTERVAL) == FULL_HEARTBEAT_INTERVAL)
		return 0;
	return delegate ? DELEGATE_ENTRIES_MAX : MEMBER_ENTRIES_MAX;
}

/* Tags of the members heard directly are left out while they are as in the last full heartbeat. */
static void heartbeat_fill_heard(const struct control *c, struct peer_heartbeat *h, bool full)
{
	for (int i = 1; i < member_count(c->members) && h->direct_tag_count < PEER_DIRECT_TAGS_MAX;
	     i++) {
		const struct member *m = member_at(c->members, i);

		if (m->heard_directly && control_member_is_alive(m))
			h->direct_tags[h->direct_tag_count++] = peer_tag(m->id, m->incarnation);
	}
	h->direct_tags_digest = liveness_digest_tags(h->direct_tags, h->direct_tag_count);
	if (!full && h->direct_tags_digest == c->heard_digest)
		h->direct_tag_count = 0;
}

static void heartbeat_fill_entries(const struct control *c, struct peer_heartbeat *h, bool delegate,
				   bool to_own_dc, bool full, int64_t now)
{
	int max = heartbeat_entries_max(c, delegate, full);
	int n = member_count(c->members);

	for (int i = 0; i < n && h->member_count < max; i++) {
		const struct member *m = member_at(c->members, (c->entry_cursor + i) % n);
		bool own = strcmp(m->dc, c->settings->instance.dc) == 0;

		if (!control_member_is_alive(m))
			continue;
		if ((delegate && control_liveness_includes(c, m, to_own_dc)) || (own && to_own_dc))
			h->members[h->member_count++] = member_entry(m, now);
	}
}

static void heartbeat_fill_addresses(const struct member *self, struct peer_heartbeat *h)
{
	str_copy(h->peer, sizeof(h->peer), str_from(self->peer));
	str_copy(h->http, sizeof(h->http), str_from(self->http));
	str_copy(h->admin, sizeof(h->admin), str_from(self->admin));
}

/* @full: include all lists in full, for new peers and every FULL_HEARTBEAT_INTERVAL heartbeats. */
static struct peer_message *heartbeat_create(struct control *c, bool delegate, bool to_own_dc,
					     bool full, int64_t now)
{
	bool addresses = full || !to_own_dc;
	const struct member *self = member_at(c->members, 0);
	struct peer_message *m = peer_message_create(PEER_HEARTBEAT);
	struct peer_heartbeat *h = &m->u.heartbeat;

	str_copy(h->dc, sizeof(h->dc), str_from(self->dc));
	h->state = self->state;
	h->config_version = self->config_version;
	heartbeat_fill_heard(c, h, full);
	if (delegate)
		control_liveness_fill(c, to_own_dc, full, now, &h->liveness);
	heartbeat_fill_entries(c, h, delegate, to_own_dc, addresses, now);
	if (!addresses)
		return m;
	heartbeat_fill_addresses(self, h);
	for (int i = 0; i < c->stop_count; i++)
		h->leaving[h->leaving_count++] = c->stops[i].order;
	h->demand_count =
		control_demand_fill(c, h->demands, PEER_DEMANDS_MAX, to_own_dc, delegate, now);
	return m;
}

struct heartbeat_target {
	char id[MEMBER_ID_MAX];
	char address[MEMBER_ADDR_MAX];
	bool own_dc;
	bool full;
};

static int heartbeat_targets_fill(struct control *c, struct heartbeat_target *out, bool others)
{
	int n = 0;

	for (int i = 1; i < member_count(c->members); i++) {
		const struct member *m = member_at(c->members, i);
		const char *route = settings_route(c->settings, m->id);
		bool own = strcmp(m->dc, c->settings->instance.dc) == 0;

		if (!member_is_heartbeat_target(c->members, m) || (!own && !others))
			continue;
		out[n].own_dc = own;
		out[n].full = !m->hears_us || c->heartbeat_count % FULL_HEARTBEAT_INTERVAL == 0;
		str_copy(out[n].id, sizeof(out[n].id), str_from(m->id));
		str_copy(out[n].address, sizeof(out[n].address), str_from(route ? route : m->peer));
		n++;
	}
	return n;
}

void control_heartbeat_send(struct control *c, int64_t now)
{
	const struct member *delegate;
	struct peer_message *own_dc_msg;
	struct peer_message *own_dc_full_msg;
	struct peer_message *other_dc_msg;
	struct peer_message *other_dc_full_msg;
	struct heartbeat_target *targets;
	struct member self;
	bool is_delegate;
	int n;

	self = own_member(c);
	self.config_version = control_config_version(c);
	pthread_mutex_lock(&c->lock);
	member_update(c->members, &self, true, now);
	delegate = member_find_delegate(c->members, self.dc);
	is_delegate = delegate && strcmp(delegate->id, self.id) == 0;
	control_demand_sample_own(c, now);
	targets = mem_alloc((size_t)member_count(c->members) * sizeof(*targets));
	n = heartbeat_targets_fill(c, targets,
				   c->heartbeat_count % (MEMBER_SUMMARY_MS / MEMBER_HEARTBEAT_MS) ==
						   0 ||
					   self.state == MEMBER_DRAINING);
	own_dc_msg = heartbeat_create(c, is_delegate, true, false, now);
	own_dc_full_msg = heartbeat_create(c, is_delegate, true, true, now);
	other_dc_msg = heartbeat_create(c, is_delegate, false, false, now);
	other_dc_full_msg = heartbeat_create(c, is_delegate, false, true, now);
	if (c->heartbeat_count % FULL_HEARTBEAT_INTERVAL == 0) {
		control_liveness_rebase(c, now);
		c->heard_digest = own_dc_full_msg->u.heartbeat.direct_tags_digest;
	}
	c->heartbeat_count++;
	c->entry_cursor =
		(c->entry_cursor + (is_delegate ? DELEGATE_ENTRIES_MAX : MEMBER_ENTRIES_MAX)) %
		member_count(c->members);
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < n; i++)
		peer_bus_send(c->bus, targets[i].id, targets[i].address,
			      targets[i].own_dc
				      ? (targets[i].full ? own_dc_full_msg : own_dc_msg)
				      : (targets[i].full ? other_dc_full_msg : other_dc_msg));
	peer_message_destroy(own_dc_msg);
	peer_message_destroy(own_dc_full_msg);
	peer_message_destroy(other_dc_msg);
	peer_message_destroy(other_dc_full_msg);
	free(targets);
}

static void member_log(const struct member *m)
{
	static const char *const names[] = { "joining", "live", "draining", "suspect", "gone" };

	log_info("member", "id=%s dc=%s state=%s", m->id, m->dc, names[m->state]);
	event_record("member-state", NULL, NULL, NULL, "id=%s state=%s", m->id, names[m->state]);
}

static bool is_listed_alone(const struct control *c)
{
	if (!c->listed_ms)
		return false;
	for (int i = 0; i < c->listed_instance_count; i++) {
		if (c->listed[i].live && strcmp(c->listed[i].id, c->settings->instance.id) != 0)
			return false;
	}
	return true;
}

/*
 * A peer sends its crash reports when it first hears this process. They precede the heartbeat that
 * confirms it, on the same connection.
 */
static void check_crash_reports(struct control *c, int64_t now)
{
	bool complete;

	if (atomic_load(&c->has_crash_reports))
		return;
	pthread_mutex_lock(&c->lock);
	complete = is_listed_alone(c) || now - c->started_ms >= CRASH_REPORTS_WAIT_MS;
	for (int i = 1; i < member_count(c->members) && !complete; i++)
		complete = member_at(c->members, i)->hears_us;
	pthread_mutex_unlock(&c->lock);
	atomic_store(&c->has_crash_reports, complete);
}

int control_members_run(void *ctx, struct error *err)
{
	struct control *c = ctx;
	int64_t next = 0;

	while (!child_sleep_ms(LOOP_MS)) {
		int64_t now = clock_boot_ms();

		pthread_mutex_lock(&c->lock);
		if (member_table_tick(c->members, now)) {
			for (int i = 1; i < member_count(c->members); i++) {
				const struct member *m = member_at(c->members, i);

				if (m->state == MEMBER_SUSPECT || m->state == MEMBER_GONE)
					log_debug("member", "id=%s state=%d", m->id, m->state);
			}
		}
		pthread_mutex_unlock(&c->lock);
		check_crash_reports(c, now);
		control_stops_confirm(c);
		if (now >= next) {
			control_heartbeat_send(c, now);
			next = now + MEMBER_HEARTBEAT_MS;
		}
		child_account_cpu();
	}
	return 0;
}

static void member_entry_apply(struct control *c, const struct peer_member *e, int64_t now)
{
	struct member m = {
		.incarnation = e->incarnation,
		.state = e->state,
		.config_version = e->config_version,
		.last_heard_ms = now - (int64_t)e->age_ms,
	};

	if (!e->id[0] || strcmp(e->id, c->settings->instance.id) == 0)
		return;
	/* Members of the own data centre are heard directly, so only their address is used. */
	if (strcmp(e->dc, c->settings->instance.dc) == 0) {
		member_add_address(c->members, e->id, e->dc, e->peer, now);
		return;
	}
	str_copy(m.id, sizeof(m.id), str_from(e->id));
	str_copy(m.dc, sizeof(m.dc), str_from(e->dc));
	str_copy(m.peer, sizeof(m.peer), str_from(e->peer));
	str_copy(m.http, sizeof(m.http), str_from(e->http));
	str_copy(m.admin, sizeof(m.admin), str_from(e->admin));
	member_update(c->members, &m, false, now);
}

/*
 * Sets m->hears_us when the sender receives the heartbeats of this instance. A digest without a
 * list refers to the last list with that digest. After the loss of a changed list the previous
 * result stays until the next full heartbeat.
 *
 * Return: the sender has confirmed with this heartbeat that it hears this instance.
 */
static bool heartbeat_hears_us(const struct control *c, const struct peer_heartbeat *h,
			       const struct member *known, struct member *m)
{
	uint32_t tag = peer_tag(c->settings->instance.id, c->gate->incarnation);

	if (!h->direct_tag_count && h->direct_tags_digest) {
		bool same = known && known->incarnation == m->incarnation;

		m->hears_us = same && known->hears_us;
		m->heard_digest = same ? known->heard_digest : 0;
		return m->hears_us && m->heard_digest == h->direct_tags_digest;
	}
	m->heard_digest = h->direct_tags_digest;
	for (int i = 0; i < h->direct_tag_count && !m->hears_us; i++)
		m->hears_us = h->direct_tags[i] == tag;
	return m->hears_us;
}

static struct member heartbeat_sender(const struct peer_message *msg)
{
	const struct peer_heartbeat *h = &msg->u.heartbeat;
	struct member m = {
		.incarnation = msg->incarnation,
		.state = h->state,
		.config_version = h->config_version,
	};

	str_copy(m.id, sizeof(m.id), str_from(msg->sender));
	str_copy(m.dc, sizeof(m.dc), str_from(h->dc));
	str_copy(m.peer, sizeof(m.peer), str_from(h->peer));
	str_copy(m.http, sizeof(m.http), str_from(h->http));
	str_copy(m.admin, sizeof(m.admin), str_from(h->admin));
	return m;
}

void control_on_heartbeat(struct control *c, const struct peer_message *msg)
{
	const struct peer_heartbeat *h = &msg->u.heartbeat;
	struct member m = heartbeat_sender(msg);
	int64_t now = clock_boot_ms();
	const struct member *known;
	bool confirmed;
	bool has_started;

	pthread_mutex_lock(&c->lock);
	known = member_find(c->members, m.id);
	if (known && known->incarnation > m.incarnation) {
		pthread_mutex_unlock(&c->lock);
		return;
	}
	has_started = !known || known->incarnation < m.incarnation;
	confirmed = heartbeat_hears_us(c, h, known, &m);
	/* After a restart of this instance, the first heartbeats don't carry the address yet. */
	if (!h->peer[0] && known && (known->incarnation == m.incarnation || !known->incarnation)) {
		memcpy(m.peer, known->peer, sizeof(m.peer));
		memcpy(m.http, known->http, sizeof(m.http));
		memcpy(m.admin, known->admin, sizeof(m.admin));
	}
	if (member_update(c->members, &m, true, now))
		member_log(&m);
	control_liveness_apply(c, msg->sender, &h->liveness, now);
	for (int i = 0; i < h->member_count; i++)
		member_entry_apply(c, &h->members[i], now);
	if (h->demand_count)
		control_demand_receive(c, msg, now);
	if (h->config_version > c->newest_version) {
		c->newest_version = h->config_version;
		str_copy(c->newest_version_sender, sizeof(c->newest_version_sender),
			 str_from(m.id));
	}
	pthread_mutex_unlock(&c->lock);
	if (confirmed)
		peer_bus_confirm_peer(c->bus, m.id);
	if (has_started)
		control_quarantine_send_all(c, m.id);
	/* Once the instance has started, only leave messages and the intents in the table count. */
	for (int i = 0; i < h->leaving_count && atomic_load(&c->gate->state) == GATE_STARTING; i++)
		control_stop_apply(c, &h->leaving[i], "");
}
