#include <dirent.h>
#include <fcntl.h>
#include <inttypes.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netdb.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"

#define LOOP_MS 100

/* With TLS, connections occupy threads for their handshake, which CivetWeb does not report. */
#define TLS_LOOK_PERIOD_MS 1000

/** struct peer - address of the other side of a connection, as CivetWeb reports it */
struct peer {
	char ip[48];
	int port;
};

/**
 * struct front_slot - the connection that a thread of CivetWeb reads or serves
 * @lock: guards all but @port; only the watcher contends for it
 * @port: that of @peer, which is known once a head was read; 0 before
 * @since_ms: when the stage began
 * @received_bytes: of the body that is being read
 * @verdict: why that body was given up
 */
struct front_slot {
	pthread_mutex_t lock;
	_Atomic int port;
	struct peer peer;
	enum connection_stage stage;
	int64_t since_ms;
	int64_t received_bytes;
	enum crowd_verdict verdict;
};

/**
 * struct sighting - a descriptor that was seen to be an accepted connection
 * @stage_ms: when the slot's stage began; 0 without a slot
 * @waiting_ms: time from which it is known to wait for the rest of a head, or to be idle
 * @received: bytes that it had received when this stage was first seen
 * @look: the last look that found it
 * @has_grown: more bytes have arrived in this stage
 * @is_closed: it was closed for others, and no further request of it is run
 */
struct sighting {
	struct peer peer;
	int64_t stage_ms;
	int64_t waiting_ms;
	uint64_t received;
	uint64_t look;
	bool has_grown;
	bool is_closed;
};

/**
 * struct front_crowd - connections that occupy threads of the listener
 * @slots: one for each thread
 * @slot_count: slots that threads have taken
 * @sightings: by descriptor
 * @closed_count: sightings that are closed and whose descriptor is still open; counted before the
 *                slots are looked at, so that a request that begins then is seen, or sees it
 * @list: scratch space of the watcher
 * @looks: how often the descriptors were looked at
 * @looked_ms: when the descriptors were last looked at
 * @lock: guards @sightings; taken before that of a slot
 */
struct front_crowd {
	struct front *front;
	struct crowd_limits limits;
	struct front_slot *slots;
	_Atomic int slot_count;
	struct sighting *sightings;
	int sighting_count;
	_Atomic int closed_count;
	struct crowd_connection *list;
	int list_size;
	uint64_t looks;
	int64_t looked_ms;
	pthread_mutex_t lock;
};

static bool peer_equals(const struct peer *a, const struct peer *b)
{
	return a->port == b->port && strcmp(a->ip, b->ip) == 0;
}

static int address_port(const struct sockaddr_storage *a)
{
	switch (a->ss_family) {
	case AF_INET:
		return ntohs(((const struct sockaddr_in *)a)->sin_port);
	case AF_INET6:
		return ntohs(((const struct sockaddr_in6 *)a)->sin6_port);
	default:
		return -1;
	}
}

/* Whether @fd is a connection that the listener has accepted, and its other side. */
static bool descriptor_peer(const struct front_crowd *c, int fd, struct peer *peer)
{
	struct sockaddr_storage local = { 0 };
	struct sockaddr_storage remote = { 0 };
	socklen_t local_len = sizeof(local);
	socklen_t remote_len = sizeof(remote);

	if (getsockname(fd, (struct sockaddr *)&local, &local_len) < 0 ||
	    address_port(&local) != c->front->port ||
	    getpeername(fd, (struct sockaddr *)&remote, &remote_len) < 0)
		return false;
	peer->port = address_port(&remote);
	return getnameinfo((struct sockaddr *)&remote, remote_len, peer->ip, sizeof(peer->ip), NULL,
			   0, NI_NUMERICHOST) == 0;
}

/*
 * The connection's slot, locked; NULL while the connection waits for a thread, or for its first
 * head.
 */
static struct front_slot *slot_lock(struct front_crowd *c, const struct peer *peer)
{
	struct front_slot *found = NULL;

	/* At several local addresses, a client may use the same port twice. */
	for (int i = 0; i < c->limits.threads; i++) {
		struct front_slot *slot = &c->slots[i];

		if (atomic_load(&slot->port) != peer->port)
			continue;
		pthread_mutex_lock(&slot->lock);
		if (!peer_equals(&slot->peer, peer) ||
		    (found && slot->stage != CONNECTION_SERVED)) {
			pthread_mutex_unlock(&slot->lock);
			continue;
		}
		if (found)
			pthread_mutex_unlock(&found->lock);
		found = slot;
	}
	return found;
}

static void slot_unlock(struct front_slot *slot)
{
	if (slot)
		pthread_mutex_unlock(&slot->lock);
}

static struct sighting *sighting_at(struct front_crowd *c, int fd)
{
	if (fd >= c->sighting_count) {
		int count = 2 * (fd + 1);

		c->sightings = mem_resize(c->sightings, (size_t)count * sizeof(*c->sightings));
		memset(&c->sightings[c->sighting_count], 0,
		       (size_t)(count - c->sighting_count) * sizeof(*c->sightings));
		c->sighting_count = count;
	}
	return &c->sightings[fd];
}

static struct crowd_connection *list_add(struct front_crowd *c, int count)
{
	if (count >= c->list_size) {
		c->list_size = 2 * (count + 1);
		c->list = mem_resize(c->list, (size_t)c->list_size * sizeof(*c->list));
	}
	return &c->list[count];
}

/*
 * The first bytes of a head that are seen begin the time for the rest of it, and so does a thread
 * that reads it. Otherwise a request could be closed between its arrival and its start.
 */
static void sighting_update(struct sighting *s, const struct front_slot *slot,
			    const struct tcp_info *info, bool has_unread, int64_t now_ms)
{
	int64_t stage_ms = slot ? slot->since_ms : 0;

	if (!s->waiting_ms || s->stage_ms != stage_ms) {
		s->stage_ms = stage_ms;
		s->waiting_ms = now_ms - info->tcpi_last_data_recv;
		s->received = info->tcpi_bytes_received;
		s->has_grown = false;
	} else if (!s->has_grown && info->tcpi_bytes_received > s->received) {
		s->has_grown = true;
		s->waiting_ms = now_ms;
	}
	if (!slot && has_unread)
		s->waiting_ms = now_ms;
}

static int64_t connection_since(const struct sighting *s, const struct front_slot *slot)
{
	if (!slot)
		return s->waiting_ms;
	if (slot->stage == CONNECTION_WAITING && s->waiting_ms > slot->since_ms)
		return s->waiting_ms;
	return slot->since_ms;
}

static void connection_look(struct front_crowd *c, int fd, struct sighting *s, int64_t now_ms,
			    struct crowd_connection *out)
{
	struct front_slot *slot = slot_lock(c, &s->peer);
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	int unread = 0;

	ioctl(fd, SIOCINQ, &unread);
	getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len);
	sighting_update(s, slot, &info, unread > 0, now_ms);
	*out = (struct crowd_connection){
		.descriptor = fd,
		.stage = slot ? slot->stage : CONNECTION_WAITING,
		.age_ms = now_ms - connection_since(s, slot),
		.silent_ms = info.tcpi_last_data_recv,
		.received_bytes = slot ? slot->received_bytes : 0,
		.has_unread = unread > 0,
	};
	slot_unlock(slot);
}

/* Looks at one descriptor; returns whether it is an open connection of the listener. */
static bool descriptor_look(struct front_crowd *c, int fd, int64_t now_ms,
			    struct crowd_connection *out)
{
	struct peer peer = { 0 };
	bool is_connection = descriptor_peer(c, fd, &peer);
	struct sighting *s;
	bool is_open;

	if (!is_connection)
		return false;
	pthread_mutex_lock(&c->lock);
	s = sighting_at(c, fd);
	if (!peer_equals(&s->peer, &peer))
		*s = (struct sighting){ .peer = peer };
	s->look = c->looks;
	is_open = !s->is_closed;
	if (is_open)
		connection_look(c, fd, s, now_ms, out);
	pthread_mutex_unlock(&c->lock);
	return is_open;
}

/* Forgets connections that the last look did not find. */
static void sightings_drop(struct front_crowd *c)
{
	int closed_count = 0;

	pthread_mutex_lock(&c->lock);
	for (int fd = 0; fd < c->sighting_count; fd++) {
		struct sighting *s = &c->sightings[fd];

		if (s->look != c->looks)
			*s = (struct sighting){ 0 };
		closed_count += s->is_closed;
	}
	atomic_store(&c->closed_count, closed_count);
	pthread_mutex_unlock(&c->lock);
}

/* Fills the list with the open connections; returns their number, or -1 with errno. */
static int connections_list(struct front_crowd *c, int64_t now_ms)
{
	DIR *dir = opendir("/proc/self/fd");
	int count = 0;

	if (!dir)
		return -1;
	c->looks++;
	for (const struct dirent *e = readdir(dir); e; e = readdir(dir)) {
		int64_t fd;

		if (str_to_i64(str_from(e->d_name), &fd))
			count += descriptor_look(c, (int)fd, now_ms, list_add(c, count));
	}
	closedir(dir);
	sightings_drop(c);
	return count;
}

/* A body's thread can still answer, unless that would block behind earlier answers. */
static int shutdown_direction(int fd, enum connection_stage stage)
{
	int unsent = 0;

	if (stage != CONNECTION_BODY || ioctl(fd, SIOCOUTQ, &unsent) < 0 || unsent > 0)
		return SHUT_RDWR;
	return SHUT_RD;
}

/*
 * Closes a connection, unless its request has been completed since. CivetWeb closes descriptors at
 * any time, so this checks and uses a copy, which can't become that of another connection.
 */
static bool connection_close(struct front_crowd *c, const struct crowd_connection *chosen)
{
	int fd = fcntl(chosen->descriptor, F_DUPFD_CLOEXEC, 0);
	struct front_slot *slot;
	struct sighting *s;
	struct peer peer;
	bool closed;

	if (fd < 0)
		return false;
	pthread_mutex_lock(&c->lock);
	s = sighting_at(c, chosen->descriptor);
	if (!descriptor_peer(c, fd, &peer) || !peer_equals(&peer, &s->peer))
		goto out;
	s->is_closed = true;
	atomic_fetch_add(&c->closed_count, 1);
	slot = slot_lock(c, &peer);
	if (chosen->stage == (slot ? slot->stage : CONNECTION_WAITING)) {
		if (slot)
			slot->verdict = chosen->verdict;
		shutdown(fd, shutdown_direction(fd, chosen->stage));
	} else {
		s->is_closed = false;
		atomic_fetch_sub(&c->closed_count, 1);
	}
	slot_unlock(slot);
out:
	closed = s->is_closed;
	pthread_mutex_unlock(&c->lock);
	close(fd);
	return closed;
}

static void crowd_step(struct front_crowd *c, int64_t now_ms)
{
	int closed[CROWD_ENDING + 1] = { 0 };
	int open = connections_list(c, now_ms);
	int chosen;
	int all = 0;

	c->looked_ms = now_ms;
	if (open < 0) {
		log_warn("connections-unknown", "cause=\"/proc/self/fd can't be read\"");
		return;
	}
	chosen = crowd_decide(&c->limits, c->list, open);
	for (int i = 0; i < chosen; i++) {
		if (!connection_close(c, &c->list[i]))
			continue;
		closed[c->list[i].verdict]++;
		all++;
	}
	if (!all)
		return;
	metric_add(METRIC_CROWD_WAITING, closed[CROWD_WAITING]);
	metric_add(METRIC_CROWD_BODIES, closed[CROWD_SILENT_BODY] + closed[CROWD_SLOW_BODY]);
	metric_add(METRIC_CROWD_ENDING, closed[CROWD_ENDING]);
	log_info("connections-closed",
		 "cause=threads open=%d threads=%d waiting=%d silent_bodies=%d slow_bodies=%d "
		 "ending=%d",
		 open, c->limits.threads, closed[CROWD_WAITING], closed[CROWD_SILENT_BODY],
		 closed[CROWD_SLOW_BODY], closed[CROWD_ENDING]);
}

static bool must_look(const struct front_crowd *c, int64_t now_ms)
{
	if (crowd_is_short(&c->limits, atomic_load(&c->front->connections)) || c->closed_count)
		return true;
	return c->front->gate->settings.http.tls_certificate[0] &&
	       now_ms - c->looked_ms >= TLS_LOOK_PERIOD_MS;
}

static int crowd_run(void *ctx, struct error *err)
{
	struct front_crowd *c = ctx;

	while (!child_sleep_ms(LOOP_MS)) {
		int64_t now_ms = clock_boot_ms();

		if (must_look(c, now_ms))
			crowd_step(c, now_ms);
	}
	return 0;
}

struct front_crowd *front_crowd_create(struct front *f)
{
	const struct settings *s = &f->gate->settings;
	struct front_crowd *c = mem_zalloc(sizeof(*c));

	c->front = f;
	c->limits = (struct crowd_limits){ .threads = s->http.threads,
					   .body_max_bytes = s->http.body_max_bytes,
					   .request_timeout_ms = s->http.request_timeout_ms };
	c->slots = mem_zalloc((size_t)s->http.threads * sizeof(*c->slots));
	for (int i = 0; i < s->http.threads; i++)
		pthread_mutex_init(&c->slots[i].lock, NULL);
	pthread_mutex_init(&c->lock, NULL);
	return c;
}

void front_crowd_destroy(struct front_crowd *c)
{
	for (int i = 0; i < c->limits.threads; i++)
		pthread_mutex_destroy(&c->slots[i].lock);
	pthread_mutex_destroy(&c->lock);
	free(c->list);
	free(c->sightings);
	free(c->slots);
	free(c);
}

void front_crowd_watch(struct front_crowd *c)
{
	supervisor_start(c->front->gate->supervisor,
			 &(struct child_spec){ .name = "crowd", .run = crowd_run, .ctx = c });
}

struct front_slot *front_crowd_slot(struct front_crowd *c)
{
	int i = atomic_fetch_add(&c->slot_count, 1);

	return i < c->limits.threads ? &c->slots[i] : NULL;
}

bool front_slot_reset(struct front_slot *slot)
{
	bool had_connection;

	pthread_mutex_lock(&slot->lock);
	had_connection = slot->stage == CONNECTION_ENDING;
	atomic_store(&slot->port, 0);
	slot->peer = (struct peer){ 0 };
	slot->stage = CONNECTION_WAITING;
	slot->since_ms = clock_boot_ms();
	slot->verdict = CROWD_KEEP;
	pthread_mutex_unlock(&slot->lock);
	return had_connection;
}

static void slot_set_peer(struct front_slot *slot, const struct mg_request_info *info)
{
	if (slot->peer.port)
		return;
	slot->peer.port = info->remote_port;
	str_copy(slot->peer.ip, sizeof(slot->peer.ip), str_from(info->remote_addr));
	atomic_store(&slot->port, info->remote_port);
}

static bool peer_is_closed(struct front_crowd *c, const struct peer *peer)
{
	bool is_closed = false;

	if (!atomic_load(&c->closed_count))
		return false;
	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < c->sighting_count && !is_closed; i++)
		is_closed = c->sightings[i].is_closed && peer_equals(&c->sightings[i].peer, peer);
	pthread_mutex_unlock(&c->lock);
	return is_closed;
}

bool front_crowd_begin(struct front_crowd *c, struct front_slot *slot,
		       const struct mg_request_info *info)
{
	struct peer peer;

	pthread_mutex_lock(&slot->lock);
	slot_set_peer(slot, info);
	slot->stage = CONNECTION_SERVED;
	peer = slot->peer;
	pthread_mutex_unlock(&slot->lock);
	return !peer_is_closed(c, &peer);
}

enum crowd_verdict front_slot_enter(struct front_slot *slot, enum connection_stage stage)
{
	enum crowd_verdict verdict;

	pthread_mutex_lock(&slot->lock);
	slot->stage = stage;
	slot->since_ms = clock_boot_ms();
	slot->received_bytes = 0;
	verdict = slot->verdict;
	pthread_mutex_unlock(&slot->lock);
	return verdict;
}

enum crowd_verdict front_slot_received(struct front_slot *slot, size_t bytes)
{
	enum crowd_verdict verdict;

	pthread_mutex_lock(&slot->lock);
	slot->received_bytes = (int64_t)bytes;
	verdict = slot->verdict;
	pthread_mutex_unlock(&slot->lock);
	return verdict;
}

void front_slot_end(struct front_slot *slot, const struct mg_request_info *info)
{
	pthread_mutex_lock(&slot->lock);
	if (info)
		slot_set_peer(slot, info);
	slot->stage = CONNECTION_ENDING;
	slot->since_ms = clock_boot_ms();
	pthread_mutex_unlock(&slot->lock);
}
