#include <errno.h>
#include <pthread.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/supervisor.h"
#include "peers.h"

/*
 * Interval between two messages to the other instances, in milliseconds. Requests sent to an engine
 * within it are not yet visible to the others: at 5 requests a second and engine, 60 ms leave one
 * request in three unreported.
 */
#define SHARE_INTERVAL_MS 60

/*
 * With more instances the interval grows by this for each, in milliseconds: each instance adds one
 * message per interval and instance.
 */
#define SHARE_INTERVAL_PER_PEER_MS 6

/*
 * Maximum number of messages queued for the event loop. Further ones are dropped, since each is
 * soon followed by another.
 */
#define INBOX_MAX 512

/*
 * Share of the ledger's limit that queued messages may take besides, and share that one message may
 * have. A machine of 400 MB has room for INBOX_MAX of the usual ones.
 */
#define INBOX_SHARE 8
#define MESSAGE_SHARE 64
#define MESSAGE_MAX_BYTES ((int64_t)1 << 20)

/* Messages of one connection that wait to be read by the bus thread. */
#define RECEIVE_QUEUE 64

/*
 * Number of bus thread restarts within a window in milliseconds before the instance gives up on it.
 */
#define BUS_RESTARTS 5
#define BUS_WINDOW_MS 10000

static void inbox_free(struct inbox_entry *in)
{
	if (!in)
		return;
	switch (in->kind) {
	case PEER_CONFIG_PART:
		buf_free(&in->u.text);
		break;
	case PEER_SHARING:
		free(in->u.sharing);
		break;
	case PEER_REPORT:
		free(in->u.report);
		break;
	default:
		break;
	}
	free(in);
}

/* Memory of a queued message. */
static int64_t inbox_entry_bytes(const struct inbox_entry *in)
{
	switch (in->kind) {
	case PEER_CONFIG_PART:
		return (int64_t)(sizeof(*in) + in->u.text.cap);
	case PEER_SHARING:
		return (int64_t)(sizeof(*in) + sizeof(*in->u.sharing));
	case PEER_REPORT:
		return (int64_t)(sizeof(*in) + sizeof(*in->u.report));
	default:
		return (int64_t)sizeof(*in);
	}
}

/* Copies what is used of a message; false when nothing is. */
static bool inbox_fill(struct inbox_entry *in, const struct peer_message *m)
{
	switch (m->kind) {
	case PEER_CONFIG_PART:
		buf_append_str(&in->u.text, str_from(m->u.part.text));
		return true;
	case PEER_SHARING:
		in->u.sharing = mem_alloc(sizeof(*in->u.sharing));
		*in->u.sharing = *m->u.sharing;
		return true;
	case PEER_REPORT: {
		size_t size = offsetof(struct peer_report, values) +
			      sizeof(m->u.report->values[0]) * (size_t)m->u.report->count;

		in->u.report = mem_alloc(size);
		memcpy(in->u.report, m->u.report, size);
		return true;
	}
	default:
		return false;
	}
}

/* Runs on the bus thread. */
static void on_message(void *ctx, const struct peer_message *m)
{
	struct peers *p = ctx;
	struct inbox_entry *in;
	uint64_t one = 1;
	int64_t bytes;
	bool was_empty;

	in = mem_zalloc(sizeof(*in));
	in->kind = m->kind;
	if (!inbox_fill(in, m)) {
		free(in);
		return;
	}
	str_copy(in->sender, sizeof(in->sender), str_from(m->sender));
	in->incarnation = m->incarnation;
	pthread_mutex_lock(&p->lock);
	was_empty = !p->inbox_count;
	bytes = inbox_entry_bytes(in);
	if (p->inbox_count < INBOX_MAX && p->inbox_bytes + bytes <= p->inbox_max_bytes) {
		p->inbox_bytes += bytes;
		*p->inbox_tail = in;
		p->inbox_tail = &in->next;
		p->inbox_count++;
		in = NULL;
	}
	pthread_mutex_unlock(&p->lock);
	inbox_free(in);
	if (was_empty && write(p->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		log_warn("peer-wake-failed", "error=\"%s\"", strerror(errno));
}

static void report_apply(struct peers *p, const struct inbox_entry *in, int64_t now)
{
	const struct report_reader *r = &p->readers[in->u.report->topic];
	const struct member *m = member_find(mesh_member_table(p->mesh), in->sender);

	/* Its data centre is known from its first message about membership. */
	if (!r->apply || !m)
		return;
	r->apply(r->ctx,
		 &(struct report_source){ .id = in->sender,
					  .incarnation = in->incarnation,
					  .is_remote = mesh_is_remote(p->mesh, m) },
		 in->u.report->values, in->u.report->count, now);
}

static void inbox_apply(struct peers *p, const struct inbox_entry *in, int64_t now)
{
	switch (in->kind) {
	case PEER_CONFIG_PART:
		handover_apply(p->entry, buf_str(&in->u.text), in->sender);
		break;
	case PEER_SHARING:
		peers_apply(p, in, now);
		break;
	case PEER_REPORT:
		report_apply(p, in, now);
		break;
	default:
		break;
	}
}

static void on_wake(evutil_socket_t fd, short what, void *ctx)
{
	struct peers *p = ctx;
	struct inbox_entry *in;
	int64_t now = clock_boot_ms();
	uint64_t count;

	if (read(p->wake_fd, &count, sizeof(count)) < 0 && errno != EAGAIN)
		log_warn("peer-wake-failed", "error=\"%s\"", strerror(errno));
	pthread_mutex_lock(&p->lock);
	in = p->inbox_head;
	p->inbox_head = NULL;
	p->inbox_tail = &p->inbox_head;
	p->inbox_count = 0;
	p->inbox_bytes = 0;
	pthread_mutex_unlock(&p->lock);
	while (in) {
		struct inbox_entry *next = in->next;

		inbox_apply(p, in, now);
		inbox_free(in);
		in = next;
	}
}

/* Seeds give the control address of an instance; its peer port is the same as ours. */
static void mesh_add_seeds(struct peers *p, int64_t now)
{
	const struct settings *s = &p->entry->settings;
	const char *port = strchr(s->peer.listen, ':');

	for (int i = 0; i < s->seed_count && port; i++) {
		struct str rest = str_from(s->seeds[i].value);
		struct str host = str_split(&rest, ':');
		char address[MEMBER_ADDR_MAX];

		snprintf(address, sizeof(address), "%.*s%s", (int)host.len, host.data, port);
		mesh_add_seed(p->mesh, s->seeds[i].key, address, now);
	}
}

int64_t peers_share_interval_ms(const struct peers *p)
{
	int64_t count = mesh_uses_delegates(p->mesh) ? mesh_count_local(p->mesh)
						     : member_count(mesh_member_table(p->mesh));
	int64_t interval_ms = count * SHARE_INTERVAL_PER_PEER_MS;

	return interval_ms > SHARE_INTERVAL_MS ? interval_ms : SHARE_INTERVAL_MS;
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct peers *p = ctx;
	int64_t now = clock_boot_ms();
	int64_t interval_ms;
	struct timeval tv;

	mesh_set_flat(p->mesh, services_share_engines(p->entry));
	mesh_tick(p->mesh, now);
	if (mesh_count_all(p->mesh) > p->max_instances)
		p->max_instances = mesh_count_all(p->mesh);
	if (now - p->loads_summed_ms >= SHARE_HEARTBEAT_MS)
		peers_sum_loads(p, now);
	if (now - p->sent_ms >= SHARE_HEARTBEAT_MS) {
		mesh_add_seeds(p, now);
		peers_share(p, now);
	} else if (p->share_pending) {
		peers_share(p, now);
	}
	interval_ms = peers_share_interval_ms(p);
	tv = (struct timeval){ .tv_usec = interval_ms * 1000 };
	if (interval_ms >= 1000)
		tv = (struct timeval){ .tv_sec = interval_ms / 1000,
				       .tv_usec = interval_ms % 1000 * 1000 };
	event_add(p->timer, &tv);
}

static int bus_run(void *ctx, struct error *err)
{
	struct peers *p = ctx;

	return peer_bus_run(p->bus, err);
}

static void bus_wake(void *ctx)
{
	struct peers *p = ctx;

	peer_bus_wake(p->bus);
}

static void on_bus_failed(void *ctx)
{
	struct peers *p = ctx;

	/* The instance still serves without its peers; only its placement has less information. */
	log_error("peer-bus-gave-up", "instance=%s", p->entry->settings.instance.id);
}

void peers_queue_part(struct peers *p, const struct endpoint *ep, uint64_t part, int64_t tokens,
		      enum shared_prompt_part_state state)
{
	struct shared_prompt_part added = {
		.tag = ep->tag,
		.part = part,
		.tokens = (uint32_t)tokens,
		.state = state,
	};

	if (!p || p->part_count == SHARING_PROMPT_PARTS_MAX)
		return;
	p->parts[p->part_count++] = added;
	p->share_pending = true;
	peers_relay_part(p, &added, clock_boot_ms());
}

void peers_suspect_part_add(struct suspect_part_list *list, const struct shared_suspect_part *r,
			    int64_t lost_ms)
{
	for (int i = 0; i < list->count; i++) {
		const struct shared_suspect_part *known = &list->items[i];

		if (known->part == r->part && known->verdict == r->verdict &&
		    known->crash == r->crash)
			return;
	}
	if (list->count == SHARING_SUSPECT_PARTS_MAX)
		return;
	list->urgent = list->urgent || r->verdict == PART_RESTATED;
	list->items[list->count] = *r;
	list->lost_ms[list->count++] = lost_ms;
}

void peers_queue_suspect_part(struct peers *p, const struct shared_suspect_part *r, int64_t lost_ms)
{
	peers_suspect_part_add(&p->suspect_parts, r, lost_ms);
	peers_suspect_part_add(&p->remote_suspect_parts, r, lost_ms);
	p->share_pending = true;
}

void peers_mark_changed(struct peers *p)
{
	if (p)
		p->share_pending = true;
}

void peers_set_report_reader(struct peers *p, enum report_topic topic, report_apply_fn apply,
			     void *ctx)
{
	p->readers[topic] = (struct report_reader){ .apply = apply, .ctx = ctx };
}

bool peers_is_delegate(const struct peers *p)
{
	return mesh_is_delegate(p->mesh);
}

int peers_max_instances(const struct peers *p)
{
	return p->max_instances;
}

int64_t peers_newest_config(const struct peers *p)
{
	const struct member_table *t = mesh_member_table(p->mesh);
	int64_t newest = -1;

	for (int i = 1; i < member_count(t); i++) {
		const struct member *m = member_at(t, i);

		if (m->incarnation && m->state == MEMBER_LIVE && m->config_version > newest)
			newest = m->config_version;
	}
	return newest;
}

int peers_local_instances(const struct peers *p)
{
	return mesh_count_local(p->mesh);
}

bool peers_self_is_first(const struct peers *p)
{
	return mesh_is_first(p->mesh);
}

int64_t peers_loads_age_ms(const struct peers *p, int64_t now_ms)
{
	int64_t oldest_ms = -1;

	for (int i = 0; i < p->view_count; i++) {
		int64_t age_ms = now_ms - p->views[i].last_receive_ms;

		if (p->views[i].summed && age_ms > oldest_ms)
			oldest_ms = age_ms;
	}
	return oldest_ms;
}

int peers_connections(const struct peers *p)
{
	return peer_bus_connections(p->bus);
}

int peers_rank(const struct peers *p)
{
	return mesh_rank(p->mesh);
}

int peers_rank_for(const struct peers *p, uint64_t key, bool local)
{
	const struct member_table *t = mesh_member_table(p->mesh);
	int rank = 0;

	for (int i = 1; i < member_count(t); i++) {
		const struct member *m = member_at(t, i);
		uint64_t hash = hash_str(str_from(m->id), 0);

		if (m->state == MEMBER_LIVE && !(local && mesh_is_remote(p->mesh, m)))
			rank += hash_rank(key, p->entry->self_hash, &hash, 1);
	}
	return rank;
}

struct peers *peers_create(struct entry *e, struct error *err)
{
	struct peers *p = mem_zalloc(sizeof(*p));
	struct member self = { .state = MEMBER_LIVE };
	struct timeval now = { 0 };
	int64_t message_max;

	p->entry = e;
	p->max_instances = 1;
	p->inbox_tail = &p->inbox_head;
	p->wake_fd = -1;
	p->incarnation = (uint64_t)clock_wall_ms();
	pthread_mutex_init(&p->lock, NULL);
	str_copy(self.id, sizeof(self.id), str_from(e->settings.instance.id));
	str_copy(self.dc, sizeof(self.dc), str_from(e->settings.instance.dc));
	str_copy(self.peer, sizeof(self.peer), str_from(e->settings.peer.listen));
	self.incarnation = p->incarnation;
	p->mesh = mesh_create(&self, e->settings.scope.instances_min);
	p->inbox_max_bytes = e->ledger.limit / INBOX_SHARE;
	message_max = e->ledger.limit / MESSAGE_SHARE;
	p->bus = peer_bus_create(
		&(struct peer_options){ .id = e->settings.instance.id,
					.incarnation = p->incarnation,
					.listen = e->settings.peer.listen,
					.message_max_bytes = message_max < MESSAGE_MAX_BYTES
								     ? message_max
								     : MESSAGE_MAX_BYTES,
					.receive_queue = RECEIVE_QUEUE,
					.connections_max = peer_connections_max(e->descriptors),
					.suspect_ms = MEMBER_SUSPECT_MS,
					.receive = on_message,
					.ctx = p },
		err);
	if (!p->bus) {
		error_wrap(err, ERROR_FRONT, ENTRY_LISTEN, "peer bus");
		peers_destroy(p);
		return NULL;
	}
	p->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	p->wake_event = event_new(e->base, p->wake_fd, EV_READ | EV_PERSIST, on_wake, p);
	event_add(p->wake_event, NULL);
	p->timer = evtimer_new(e->base, on_timer, p);
	event_add(p->timer, &now);
	p->supervisor = supervisor_create(BUS_RESTARTS, BUS_WINDOW_MS, on_bus_failed, p);
	supervisor_start(p->supervisor, &(struct child_spec){
						.name = "peer",
						.run = bus_run,
						.ctx = p,
						.is_control = true,
						.wake = bus_wake,
					});
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
	if (p->wake_fd >= 0)
		close(p->wake_fd);
	peer_bus_destroy(p->bus);
	mesh_destroy(p->mesh);
	while (p->inbox_head) {
		struct inbox_entry *in = p->inbox_head;

		p->inbox_head = in->next;
		inbox_free(in);
	}
	for (int i = 0; i < p->view_count; i++)
		free(p->views[i].loads);
	free(p->views);
	pthread_mutex_destroy(&p->lock);
	free(p);
}
