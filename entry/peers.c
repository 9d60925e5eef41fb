#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/supervisor.h"
#include "ibisgate/net/peer.h"
#include "ibisgate/state/member.h"
#include "internal.h"

/*
 * Pause between two messages to the others, in milliseconds. What is sent to an engine meanwhile
 * is unknown to them; at 5 requests a second and engine, 60 ms leave one request in three unseen.
 */
#define SHARE_MS 60

/* Greater pause with more instances: each adds one message a pause and instance, in ms. */
#define SHARE_PER_PEER_MS 6

/* A message is sent at least this often, in milliseconds; also the heartbeat. */
#define SHARE_IDLE_MS 500

/*
 * Instances of other data centres get messages without parts while each data centre uses its own
 * engines: at this pause for each of them, and within these bounds, in milliseconds. The upper one
 * leaves room for a lost message before a member counts as suspect.
 */
#define SHARE_PER_FAR_MS 10
#define SHARE_FAR_MAX_MS 900

/* How long an engine that is said to carry out an order is left alone; the holder says it again. */
#define CHANGING_TOLD_MS 700

/* An instance without a configuration gets it from another one after this time, in ms. */
#define HANDOVER_AFTER_MS 500

/* Greatest text of a handover in bytes; one message of the bus holds 1 MiB. */
#define HANDOVER_MAX_BYTES 900000

/* Messages that wait for the event loop; more are dropped, as each is soon followed by another. */
#define INBOX_MAX 512

/* Restarts of the bus thread within a window in milliseconds before the instance gives up. */
#define BUS_RESTARTS 5
#define BUS_WINDOW_MS 10000

/** struct inbox_entry - message for the loop; @text of a handover, else @sharing */
struct inbox_entry {
	struct inbox_entry *next;
	char sender[MEMBER_ID_MAX];
	uint64_t incarnation;
	bool is_handover;
	struct buf text;
	struct peer_sharing sharing;
};

/**
 * struct peer_view - what one instance has told
 * @loads: its latest loads
 * @summed: they are part of the sums of the endpoints
 * @without_since_ms: it has no configuration since then; 0 when it has one
 */
struct peer_view {
	char id[MEMBER_ID_MAX];
	int64_t heard_ms;
	int64_t without_since_ms;
	bool summed;
	int count;
	struct shared_load *loads;
};

/**
 * struct peers - exchange with the other instances
 * @lock: guards @first, @last and @waiting, which the bus thread fills
 * @wake: event descriptor that tells the loop of new messages
 * @suspects: counted since the last message
 * @parts: sent to engines since the last message
 * @summed_ms: when the loads of all were summed last
 * @far_ms: when the instances of other data centres were told last
 * @far_suspects: counted since then
 * @most: greatest number of instances heard at the same time, this one included
 */
struct peers {
	struct entry *entry;
	struct peer_bus *bus;
	struct supervisor *supervisor;
	struct member_table *members;
	uint64_t incarnation;
	pthread_mutex_t lock;
	struct inbox_entry *first;
	struct inbox_entry **last;
	int waiting;
	int wake;
	struct event *wake_event;
	struct event *timer;
	int64_t sent_ms;
	bool changed;
	int suspect_count;
	struct shared_suspect suspects[SHARING_SUSPECTS_MAX];
	int part_count;
	struct shared_part parts[SHARING_PARTS_MAX];
	int64_t summed_ms;
	int64_t far_ms;
	int far_suspect_count;
	struct shared_suspect far_suspects[SHARING_SUSPECTS_MAX];
	struct peer_view *views;
	int view_count;
	int most;
};

static void inbox_free(struct inbox_entry *in)
{
	if (!in)
		return;
	buf_free(&in->text);
	free(in);
}

/* Bus thread. */
static void on_message(void *ctx, const struct peer_message *m)
{
	struct peers *p = ctx;
	struct inbox_entry *in;
	uint64_t one = 1;

	if (m->kind != PEER_SHARING && m->kind != PEER_CONFIG_PART)
		return;
	in = mem_zalloc(sizeof(*in));
	str_copy(in->sender, sizeof(in->sender), str_from(m->sender));
	in->incarnation = m->incarnation;
	in->is_handover = m->kind == PEER_CONFIG_PART;
	if (in->is_handover)
		buf_append_str(&in->text, str_from(m->u.part.text));
	else
		in->sharing = *m->u.sharing;
	pthread_mutex_lock(&p->lock);
	if (p->waiting < INBOX_MAX) {
		*p->last = in;
		p->last = &in->next;
		p->waiting++;
		in = NULL;
	}
	pthread_mutex_unlock(&p->lock);
	inbox_free(in);
	if (write(p->wake, &one, sizeof(one)) < 0 && errno != EAGAIN)
		log_warn("peer-wake-failed", "error=\"%s\"", strerror(errno));
}

static struct peer_view *view_of(struct peers *p, const char *id)
{
	for (int i = 0; i < p->view_count; i++) {
		if (strcmp(p->views[i].id, id) == 0)
			return &p->views[i];
	}
	p->views = mem_resize(p->views, sizeof(*p->views) * (size_t)(p->view_count + 1));
	p->views[p->view_count] = (struct peer_view){ 0 };
	str_copy(p->views[p->view_count].id, MEMBER_ID_MAX, str_from(id));
	return &p->views[p->view_count++];
}

/* Adds what one instance has told to the sums of the endpoints, or takes it away. */
static void loads_add(struct entry *e, const struct peer_view *v, int sign)
{
	for (int k = 0; k < v->count; k++) {
		struct endpoint *ep = endpoint_by_tag(e, v->loads[k].tag);

		if (!ep)
			continue;
		ep->others_backlog += sign * (int64_t)v->loads[k].backlog_tokens;
		ep->others_active += sign * (int)v->loads[k].active;
	}
}

static bool view_fresh(const struct peer_view *v, int64_t now)
{
	return now - v->heard_ms <= MEMBER_SUSPECT_MS;
}

/* Between two sums each message changes only what its sender had told before. */
void peers_sum_loads(struct peers *p, int64_t now)
{
	struct entry *e;
	struct endpoint *ep;

	if (!p)
		return;
	e = p->entry;
	cds_list_for_each_entry(ep, &e->endpoints, link) {
		ep->others_backlog = 0;
		ep->others_active = 0;
	}
	for (int i = 0; i < p->view_count; i++) {
		struct peer_view *v = &p->views[i];

		v->summed = view_fresh(v, now);
		if (v->summed)
			loads_add(e, v, 1);
	}
	p->summed_ms = now;
}

static void take_parts(struct entry *e, const struct peer_sharing *s)
{
	for (int i = 0; i < s->part_count; i++) {
		struct endpoint *ep = endpoint_by_tag(e, s->parts[i].tag);

		if (!ep || !ep->cache)
			continue;
		if (s->parts[i].state == PART_DROPPED)
			cache_view_forget_sent(ep->cache, s->parts[i].part);
		else
			cache_view_use(ep->cache, s->parts[i].part, s->parts[i].tokens,
				       s->parts[i].state == PART_READY);
	}
}

/* Whether this instance is the first by name among those that have a configuration. */
static bool first_with_config(const struct peers *p)
{
	for (int i = 1; i < member_count(p->members); i++) {
		const struct member *m = member_at(p->members, i);

		if (m->incarnation && m->state == MEMBER_LIVE && m->config_version > 0 &&
		    strcmp(m->id, p->entry->settings.instance.id) < 0)
			return false;
	}
	return true;
}

/* Tells an instance that starts without the store what this one knows. */
static void hand_over(struct peers *p, const struct member *to, int64_t now)
{
	struct peer_view *v = view_of(p, to->id);
	struct peer_message *m;
	struct buf text = { 0 };

	if (!v->without_since_ms)
		v->without_since_ms = now;
	if (!entry_ready(p->entry) || now - v->without_since_ms < HANDOVER_AFTER_MS ||
	    !first_with_config(p))
		return;
	v->without_since_ms = now;
	handover_encode(p->entry, &text);
	if (text.len > HANDOVER_MAX_BYTES) {
		log_warn("handover-too-large", "peer=%s bytes=%zu", to->id, text.len);
		buf_free(&text);
		return;
	}
	m = peer_message_create(PEER_CONFIG_PART);
	m->u.part.version = p->entry->table->version;
	m->u.part.total = text.len;
	/* The message owns its text. */
	m->u.part.text = text.data;
	log_info("handover-sent", "peer=%s config=%lld bytes=%zu", to->id,
		 (long long)p->entry->table->version, text.len);
	peer_bus_send(p->bus, to->peer, to->peer, m);
	peer_message_destroy(m);
}

static void take_members(struct peers *p, const struct inbox_entry *in, int64_t now)
{
	const struct peer_sharing *s = &in->sharing;
	uint32_t self = peer_tag(p->entry->settings.instance.id, p->incarnation);
	struct member m = { .incarnation = in->incarnation,
			    .state = s->state,
			    .config_version = s->config_version };
	const struct member *known = member_find(p->members, in->sender);
	bool news = !known || known->incarnation != in->incarnation;

	str_copy(m.id, sizeof(m.id), str_from(in->sender));
	str_copy(m.dc, sizeof(m.dc), str_from(s->dc));
	str_copy(m.peer, sizeof(m.peer), str_from(s->peer));
	for (int i = 0; i < s->heard_count; i++) {
		if (s->heard[i] == self)
			m.hears_us = true;
	}
	if (m.hears_us)
		peer_bus_confirm(p->bus, m.peer);
	member_heard(p->members, &m, true, now);
	if (m.state == MEMBER_LIVE && m.config_version == 0)
		hand_over(p, &m, now);
	else
		view_of(p, m.id)->without_since_ms = 0;
	for (int i = 0; i < s->member_count; i++)
		member_listed(p->members, s->members[i].id, s->members[i].dc, s->members[i].peer,
			      now);
	if (news)
		log_info("peer", "peer=%s change=heard dc=%s address=%s config=%lld", m.id, m.dc,
			 m.peer, (long long)m.config_version);
}

static void take_one(struct peers *p, const struct inbox_entry *in, int64_t now)
{
	const struct peer_sharing *s = &in->sharing;
	struct peer_view *v;

	take_members(p, in, now);
	take_parts(p->entry, s);
	for (int i = 0; i < s->suspect_count; i++)
		suspect_learn(p->entry, s->suspects[i].fingerprint, (int)s->suspects[i].crashes);
	for (int i = 0; i < s->leaving_count; i++) {
		struct endpoint *ep = endpoint_by_tag(p->entry, s->leaving[i]);

		if (ep && !ep->entry.leaving) {
			log_info("endpoint", "endpoint=%s change=leaving source=%s", ep->entry.id,
				 in->sender);
			ep->entry.leaving = true;
		}
	}
	for (int i = 0; i < s->changing_count; i++) {
		struct endpoint *ep = endpoint_by_tag(p->entry, s->changing[i]);

		if (ep && ep->changing_until_ms < now + CHANGING_TOLD_MS)
			ep->changing_until_ms = now + CHANGING_TOLD_MS;
	}
	v = view_of(p, in->sender);
	if (v->summed)
		loads_add(p->entry, v, -1);
	v->heard_ms = now;
	v->count = s->load_count;
	v->loads = mem_resize(v->loads, sizeof(*v->loads) * (size_t)(s->load_count + 1));
	memcpy(v->loads, s->loads, sizeof(*v->loads) * (size_t)s->load_count);
	v->summed = true;
	loads_add(p->entry, v, 1);
}

static void on_wake(evutil_socket_t fd, short what, void *ctx)
{
	struct peers *p = ctx;
	struct inbox_entry *in;
	int64_t now = clock_boot_ms();
	uint64_t count;

	if (read(p->wake, &count, sizeof(count)) < 0 && errno != EAGAIN)
		log_warn("peer-wake-failed", "error=\"%s\"", strerror(errno));
	pthread_mutex_lock(&p->lock);
	in = p->first;
	p->first = NULL;
	p->last = &p->first;
	p->waiting = 0;
	pthread_mutex_unlock(&p->lock);
	while (in) {
		struct inbox_entry *next = in->next;

		if (in->is_handover)
			handover_apply(p->entry, buf_str(&in->text), in->sender);
		else
			take_one(p, in, now);
		inbox_free(in);
		in = next;
	}
}

static void fill_members(struct peers *p, struct peer_sharing *s, int64_t now)
{
	for (int i = 1; i < member_count(p->members); i++) {
		const struct member *m = member_at(p->members, i);
		struct shared_member *out;

		if (!m->direct || now - m->heard_ms > MEMBER_SUSPECT_MS)
			continue;
		if (s->heard_count < SHARING_HEARD_MAX)
			s->heard[s->heard_count++] = peer_tag(m->id, m->incarnation);
		/* Every instance is among those that some member tells of. */
		if (s->member_count == SHARING_MEMBERS_MAX)
			continue;
		out = &s->members[s->member_count++];
		str_copy(out->id, sizeof(out->id), str_from(m->id));
		str_copy(out->dc, sizeof(out->dc), str_from(m->dc));
		str_copy(out->peer, sizeof(out->peer), str_from(m->peer));
	}
}

static void fill_loads(const struct entry *e, struct peer_sharing *s, int64_t now)
{
	const struct endpoint *ep;

	cds_list_for_each_entry(ep, &e->endpoints, link) {
		if (ep->entry.leaving && s->leaving_count < SHARING_LEAVING_MAX)
			s->leaving[s->leaving_count++] = ep->tag;
		if (endpoint_changing(ep, now) && s->changing_count < SHARING_LEAVING_MAX)
			s->changing[s->changing_count++] = ep->tag;
		if ((!ep->active && !ep->backlog_tokens) || s->load_count == SHARING_LOADS_MAX)
			continue;
		s->loads[s->load_count++] = (struct shared_load){
			.tag = ep->tag,
			.backlog_tokens = ep->backlog_tokens > 0 ? (uint32_t)ep->backlog_tokens : 0,
			.active = (uint32_t)ep->active,
		};
	}
}

static bool address_heard(const struct peers *p, const struct member *m)
{
	for (int i = 0; i < member_count(p->members); i++) {
		const struct member *other = member_at(p->members, i);

		if (other != m && other->incarnation && strcmp(other->peer, m->peer) == 0)
			return true;
	}
	return false;
}

static bool member_is_far(const struct peers *p, const struct member *m)
{
	return m->dc[0] && strcmp(m->dc, p->entry->settings.instance.dc) != 0;
}

/* @far: to the instances of other data centres, else to those of this one and unknown ones. */
static void send_to(struct peers *p, struct peer_message *m, bool far)
{
	for (int i = 1; i < member_count(p->members); i++) {
		const struct member *to = member_at(p->members, i);

		if (member_is_far(p, to) != far || to->state == MEMBER_GONE ||
		    (!to->incarnation && address_heard(p, to)))
			continue;
		peer_bus_send(p->bus, to->peer, to->peer, m);
	}
}

static int far_count(const struct peers *p)
{
	int n = 0;

	for (int i = 1; i < member_count(p->members); i++)
		n += member_is_far(p, member_at(p->members, i));
	return n;
}

static int64_t far_pause(const struct peers *p)
{
	int64_t pause = (int64_t)far_count(p) * SHARE_PER_FAR_MS;

	if (pause < SHARE_IDLE_MS)
		return SHARE_IDLE_MS;
	return pause < SHARE_FAR_MAX_MS ? pause : SHARE_FAR_MAX_MS;
}

static void share(struct peers *p, int64_t now)
{
	struct entry *e = p->entry;
	struct peer_message *m = peer_message_create(PEER_SHARING);
	struct peer_sharing *s = m->u.sharing;
	bool near = service_any_near(e);

	str_copy(s->dc, sizeof(s->dc), str_from(e->settings.instance.dc));
	str_copy(s->peer, sizeof(s->peer), str_from(e->settings.peer.listen));
	s->state = e->stopping ? MEMBER_DRAINING : MEMBER_LIVE;
	s->config_version = e->table ? e->table->version : 0;
	fill_members(p, s, now);
	fill_loads(e, s, now);
	s->part_count = p->part_count;
	memcpy(s->parts, p->parts, sizeof(*p->parts) * (size_t)p->part_count);
	s->suspect_count = p->suspect_count;
	memcpy(s->suspects, p->suspects, sizeof(*p->suspects) * (size_t)p->suspect_count);
	send_to(p, m, false);
	if (!near || now - p->far_ms >= far_pause(p)) {
		if (near)
			s->part_count = 0;
		s->suspect_count = p->far_suspect_count;
		memcpy(s->suspects, p->far_suspects,
		       sizeof(*p->far_suspects) * (size_t)p->far_suspect_count);
		send_to(p, m, true);
		p->far_ms = now;
		p->far_suspect_count = 0;
	}
	peer_message_destroy(m);
	p->part_count = 0;
	p->suspect_count = 0;
	p->changed = false;
	p->sent_ms = now;
}

/* Seeds name the control address of an instance; its peer port is the same as the own one. */
static void list_seeds(struct peers *p, int64_t now)
{
	const struct settings *s = &p->entry->settings;
	const char *port = strchr(s->peer.listen, ':');

	for (int i = 0; i < s->seed_count && port; i++) {
		struct str rest = str_from(s->seeds[i].value);
		struct str host = str_split(&rest, ':');
		char address[MEMBER_ADDR_MAX];

		snprintf(address, sizeof(address), "%.*s%s", (int)host.len, host.data, port);
		if (strcmp(address, s->peer.listen) != 0)
			member_listed(p->members, s->seeds[i].key, "", address, now);
	}
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct peers *p = ctx;
	int64_t now = clock_boot_ms();
	int64_t pause = SHARE_MS;
	int heard = service_any_near(p->entry) ? peers_near(p) : member_count(p->members);
	struct timeval tv;

	member_tick(p->members, now);
	if (member_live(p->members, NULL) > p->most)
		p->most = member_live(p->members, NULL);
	if (now - p->summed_ms >= SHARE_IDLE_MS)
		peers_sum_loads(p, now);
	if (now - p->sent_ms >= SHARE_IDLE_MS) {
		list_seeds(p, now);
		share(p, now);
	} else if (p->changed) {
		share(p, now);
	}
	if (pause < (int64_t)heard * SHARE_PER_PEER_MS)
		pause = (int64_t)heard * SHARE_PER_PEER_MS;
	tv = (struct timeval){ .tv_usec = pause * 1000 };
	if (pause >= 1000)
		tv = (struct timeval){ .tv_sec = pause / 1000, .tv_usec = pause % 1000 * 1000 };
	event_add(p->timer, &tv);
}

static int bus_body(void *ctx, struct error *err)
{
	struct peers *p = ctx;

	return peer_bus_run(p->bus, err);
}

static void bus_gave_up(void *ctx)
{
	struct peers *p = ctx;

	/* Without the others an instance still serves; its placements are only less informed. */
	log_error("peer-bus-gave-up", "instance=%s", p->entry->settings.instance.id);
}

void peers_note_part(struct peers *p, const struct endpoint *ep, uint64_t part, int64_t tokens,
		     enum shared_part_state state)
{
	if (!p || p->part_count == SHARING_PARTS_MAX)
		return;
	p->parts[p->part_count++] = (struct shared_part){
		.tag = ep->tag,
		.part = part,
		.tokens = (uint32_t)tokens,
		.state = state,
	};
	p->changed = true;
}

void peers_note_suspect(struct peers *p, uint64_t fingerprint, int crashes)
{
	struct shared_suspect s = { .fingerprint = fingerprint, .crashes = (uint32_t)crashes };

	if (p->suspect_count < SHARING_SUSPECTS_MAX)
		p->suspects[p->suspect_count++] = s;
	if (p->far_suspect_count < SHARING_SUSPECTS_MAX)
		p->far_suspects[p->far_suspect_count++] = s;
	p->changed = true;
}

void peers_note_load(struct peers *p)
{
	if (p)
		p->changed = true;
}

int peers_most(const struct peers *p)
{
	return p->most;
}

int peers_near(const struct peers *p)
{
	int n = 1;

	for (int i = 1; i < member_count(p->members); i++) {
		const struct member *m = member_at(p->members, i);

		n += m->incarnation && m->state == MEMBER_LIVE && !member_is_far(p, m);
	}
	return n;
}

bool peers_first(const struct peers *p)
{
	const char *self = p->entry->settings.instance.id;

	for (int i = 1; i < member_count(p->members); i++) {
		const struct member *m = member_at(p->members, i);

		if (m->incarnation && m->state == MEMBER_LIVE && strcmp(m->id, self) < 0)
			return false;
	}
	return true;
}

struct peers *peers_create(struct entry *e, struct error *err)
{
	struct peers *p = mem_zalloc(sizeof(*p));
	struct member self = { .state = MEMBER_LIVE };
	struct timeval now = { 0 };

	p->entry = e;
	p->most = 1;
	p->last = &p->first;
	p->wake = -1;
	p->incarnation = (uint64_t)clock_wall_ms();
	pthread_mutex_init(&p->lock, NULL);
	str_copy(self.id, sizeof(self.id), str_from(e->settings.instance.id));
	str_copy(self.dc, sizeof(self.dc), str_from(e->settings.instance.dc));
	str_copy(self.peer, sizeof(self.peer), str_from(e->settings.peer.listen));
	self.incarnation = p->incarnation;
	p->members = member_table_create(&self);
	p->bus = peer_bus_create(&(struct peer_options){ .id = e->settings.instance.id,
							 .incarnation = p->incarnation,
							 .listen = e->settings.peer.listen,
							 .suspect_ms = MEMBER_SUSPECT_MS,
							 .receive = on_message,
							 .ctx = p },
				 err);
	if (!p->bus) {
		error_wrap(err, ERROR_FRONT, ENTRY_LISTEN, "peer bus");
		peers_destroy(p);
		return NULL;
	}
	p->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	p->wake_event = event_new(e->base, p->wake, EV_READ | EV_PERSIST, on_wake, p);
	event_add(p->wake_event, NULL);
	p->timer = evtimer_new(e->base, on_timer, p);
	event_add(p->timer, &now);
	p->supervisor = supervisor_create(BUS_RESTARTS, BUS_WINDOW_MS, bus_gave_up, p);
	supervisor_start(
		p->supervisor,
		&(struct child_spec){ .name = "peer", .run = bus_body, .ctx = p, .control = true });
	return p;
}

void peers_destroy(struct peers *p)
{
	if (!p)
		return;
	if (p->supervisor) {
		supervisor_stop(p->supervisor);
		supervisor_destroy(p->supervisor);
	}
	if (p->wake_event)
		event_free(p->wake_event);
	if (p->timer)
		event_free(p->timer);
	if (p->wake >= 0)
		close(p->wake);
	peer_bus_destroy(p->bus);
	member_table_destroy(p->members);
	while (p->first) {
		struct inbox_entry *in = p->first;

		p->first = in->next;
		inbox_free(in);
	}
	for (int i = 0; i < p->view_count; i++)
		free(p->views[i].loads);
	free(p->views);
	pthread_mutex_destroy(&p->lock);
	free(p);
}
