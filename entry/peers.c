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
#include "peers.h"

/*
 * Pause between two messages to the others, in milliseconds. What is sent to an engine meanwhile
 * is unknown to them; at 5 requests a second and engine, 60 ms leave one request in three unseen.
 */
#define SHARE_MS 60

/* Greater pause with more instances: each adds one message a pause and instance, in ms. */
#define SHARE_PER_PEER_MS 6

/* Messages that wait for the event loop; more are dropped, as each is soon followed by another. */
#define INBOX_MAX 512

/* Restarts of the bus thread within a window in milliseconds before the instance gives up. */
#define BUS_RESTARTS 5
#define BUS_WINDOW_MS 10000

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
	bool first;

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
	first = !p->waiting;
	if (p->waiting < INBOX_MAX) {
		*p->last = in;
		p->last = &in->next;
		p->waiting++;
		in = NULL;
	}
	pthread_mutex_unlock(&p->lock);
	inbox_free(in);
	if (first && write(p->wake, &one, sizeof(one)) < 0 && errno != EAGAIN)
		log_warn("peer-wake-failed", "error=\"%s\"", strerror(errno));
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
			peers_take(p, in, now);
		inbox_free(in);
		in = next;
	}
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
		mesh_seed(p->mesh, s->seeds[i].key, address, now);
	}
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct peers *p = ctx;
	int64_t now = clock_boot_ms();
	int64_t pause = SHARE_MS;
	int heard =
		mesh_is_large(p->mesh) ? mesh_near(p->mesh) : member_count(mesh_members(p->mesh));
	struct timeval tv;

	mesh_keep_flat(p->mesh, services_share_engines(p->entry));
	mesh_tick(p->mesh, now);
	if (mesh_total(p->mesh) > p->most)
		p->most = mesh_total(p->mesh);
	if (now - p->summed_ms >= SHARE_IDLE_MS)
		peers_sum_loads(p, now);
	if (now - p->sent_ms >= SHARE_IDLE_MS) {
		list_seeds(p, now);
		peers_share(p, now);
	} else if (p->changed) {
		peers_share(p, now);
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
	return mesh_near(p->mesh);
}

bool peers_first(const struct peers *p)
{
	return mesh_first(p->mesh);
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
	p->mesh = mesh_create(&self, e->settings.scope.instances_min);
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
	mesh_destroy(p->mesh);
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
