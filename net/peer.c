#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"
#include "ibisgate/net/peer.h"

#define PEERS_MAX 1024
#define QUEUE_MAX 4096
#define SEND_HWM 256
#define RECEIVE_HWM 4096
#define POLL_MS 100
/* Keep-alive of incoming connections: seconds until the first probe, between probes, and probes. */
#define ROUTER_IDLE_S 10
#define ROUTER_PROBE_S 5
#define ROUTER_PROBES 3
#define KEY_TEXT_SIZE 41
#define KEY_SIZE 32
#define ZAP_ADDRESS "inproc://zeromq.zap.01"

/**
 * struct peer_conn - connection to one peer; @confirmed_ms: when the peer last confirmed to hear us
 */
struct peer_conn {
	char id[MEMBER_ID_MAX];
	char address[MEMBER_ADDR_MAX];
	void *dealer;
	int64_t opened_ms;
	int64_t used_ms;
	_Atomic int64_t confirmed_ms;
};

struct outgoing {
	struct outgoing *next;
	char id[MEMBER_ID_MAX];
	char address[MEMBER_ADDR_MAX];
	struct buf data;
};

struct admitted {
	char id[MEMBER_ID_MAX];
	char text[KEY_TEXT_SIZE];
	uint8_t key[KEY_SIZE];
};

struct peer_bus {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation;
	int64_t suspect_ms;
	void (*receive)(void *ctx, const struct peer_message *m);
	void *ctx;
	char curve_public[KEY_TEXT_SIZE];
	char curve_secret[KEY_TEXT_SIZE];
	struct admitted *admitted;
	int admitted_count;
	void *context;
	void *router;
	void *zap;
	void *wake_out;
	void *wake_in;
	int port;
	pthread_mutex_t lock;
	struct outgoing *first;
	struct outgoing **last;
	int queued;
	struct peer_conn *conns[PEERS_MAX];
	int conn_count;
};

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static int load_keys(struct peer_bus *bus, const struct peer_options *o, struct error *err)
{
	if (!o->curve_public || !o->curve_public[0])
		return 0;
	str_copy(bus->curve_public, sizeof(bus->curve_public), str_from(o->curve_public));
	str_copy(bus->curve_secret, sizeof(bus->curve_secret), str_from(o->curve_secret));
	bus->admitted = mem_zalloc((size_t)(o->key_count + 1) * sizeof(*bus->admitted));
	for (int i = 0; i < o->key_count; i++) {
		struct admitted *a = &bus->admitted[bus->admitted_count++];

		str_copy(a->id, sizeof(a->id), str_from(o->keys[i].id));
		if (!str_copy(a->text, sizeof(a->text), str_from(o->keys[i].key)) ||
		    !zmq_z85_decode(a->key, a->text))
			return error_set(err, ERROR_PEER, PEER_KEYS,
					 "[curve-peers] %s: not a Z85 key", a->id);
	}
	return 0;
}

static int open_router(struct peer_bus *bus, const char *listen, struct error *err)
{
	char endpoint[128];
	size_t size = sizeof(endpoint);
	int64_t max = PEER_MESSAGE_MAX;

	bus->router = zmq_socket(bus->context, ZMQ_ROUTER);
	set_int(bus->router, ZMQ_LINGER, 0);
	set_int(bus->router, ZMQ_RCVHWM, RECEIVE_HWM);
	/* Frees what peers have left behind; check_conns() finds silent connections sooner. */
	set_int(bus->router, ZMQ_TCP_KEEPALIVE, 1);
	set_int(bus->router, ZMQ_TCP_KEEPALIVE_IDLE, ROUTER_IDLE_S);
	set_int(bus->router, ZMQ_TCP_KEEPALIVE_INTVL, ROUTER_PROBE_S);
	set_int(bus->router, ZMQ_TCP_KEEPALIVE_CNT, ROUTER_PROBES);
	zmq_setsockopt(bus->router, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	if (bus->curve_secret[0]) {
		set_int(bus->router, ZMQ_CURVE_SERVER, 1);
		zmq_setsockopt(bus->router, ZMQ_ZAP_DOMAIN, "ibisgate", 8);
		if (zmq_setsockopt(bus->router, ZMQ_CURVE_SECRETKEY, bus->curve_secret,
				   KEY_TEXT_SIZE))
			return error_set(err, ERROR_PEER, PEER_KEYS,
					 "[peer] curve-secret-key: not a CURVE key");
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", listen);
	/* ZeroMQ spells a port that the kernel chooses "*". */
	if (strlen(endpoint) > 2 && strcmp(endpoint + strlen(endpoint) - 2, ":0") == 0)
		endpoint[strlen(endpoint) - 1] = '*';
	if (zmq_bind(bus->router, endpoint))
		return error_set(err, ERROR_PEER, PEER_BIND, "can't listen on %s: %s", listen,
				 zmq_strerror(zmq_errno()));
	zmq_getsockopt(bus->router, ZMQ_LAST_ENDPOINT, endpoint, &size);
	bus->port = atoi(strrchr(endpoint, ':') + 1);
	return 0;
}

static int open_sockets(struct peer_bus *bus, const char *listen, struct error *err)
{
	bus->context = zmq_ctx_new();
	if (bus->curve_secret[0]) {
		bus->zap = zmq_socket(bus->context, ZMQ_REP);
		set_int(bus->zap, ZMQ_LINGER, 0);
		if (zmq_bind(bus->zap, ZAP_ADDRESS))
			return error_set(err, ERROR_PEER, PEER_BIND, "can't start the ZAP handler");
	}
	bus->wake_in = zmq_socket(bus->context, ZMQ_PULL);
	bus->wake_out = zmq_socket(bus->context, ZMQ_PUSH);
	set_int(bus->wake_out, ZMQ_LINGER, 0);
	if (zmq_bind(bus->wake_in, "inproc://wake") || zmq_connect(bus->wake_out, "inproc://wake"))
		return error_set(err, ERROR_PEER, PEER_BIND, "can't start the wake-up socket");
	return open_router(bus, listen, err);
}

struct peer_bus *peer_bus_create(const struct peer_options *o, struct error *err)
{
	struct peer_bus *bus = mem_zalloc(sizeof(*bus));

	str_copy(bus->id, sizeof(bus->id), str_from(o->id));
	bus->incarnation = o->incarnation;
	bus->suspect_ms = o->suspect_ms;
	bus->receive = o->receive;
	bus->ctx = o->ctx;
	bus->last = &bus->first;
	pthread_mutex_init(&bus->lock, NULL);
	if (load_keys(bus, o, err) || open_sockets(bus, o->listen, err)) {
		peer_bus_destroy(bus);
		return NULL;
	}
	return bus;
}

static void outgoing_destroy(struct outgoing *out)
{
	buf_free(&out->data);
	free(out);
}

static void close_socket(void *socket)
{
	if (socket)
		zmq_close(socket);
}

void peer_bus_destroy(struct peer_bus *bus)
{
	if (!bus)
		return;
	for (int i = 0; i < bus->conn_count; i++) {
		close_socket(bus->conns[i]->dealer);
		free(bus->conns[i]);
	}
	while (bus->first) {
		struct outgoing *out = bus->first;

		bus->first = out->next;
		outgoing_destroy(out);
	}
	close_socket(bus->router);
	close_socket(bus->zap);
	close_socket(bus->wake_out);
	close_socket(bus->wake_in);
	if (bus->context)
		zmq_ctx_term(bus->context);
	pthread_mutex_destroy(&bus->lock);
	free(bus->admitted);
	free(bus);
}

int peer_bus_port(const struct peer_bus *bus)
{
	return bus->port;
}

static struct outgoing *outgoing_create(const struct peer_target *to, struct str data)
{
	struct outgoing *out = mem_zalloc(sizeof(*out));

	str_copy(out->id, sizeof(out->id), str_from(to->id));
	str_copy(out->address, sizeof(out->address), str_from(to->address));
	buf_append_str(&out->data, data);
	return out;
}

static void enqueue(struct peer_bus *bus, struct outgoing *out)
{
	pthread_mutex_lock(&bus->lock);
	if (bus->queued < QUEUE_MAX) {
		*bus->last = out;
		bus->last = &out->next;
		if (!bus->queued++)
			zmq_send(bus->wake_out, "", 0, ZMQ_DONTWAIT);
		out = NULL;
	}
	pthread_mutex_unlock(&bus->lock);
	if (out)
		outgoing_destroy(out);
}

void peer_bus_send_all(struct peer_bus *bus, const struct peer_target *to, int count,
		       struct peer_message *m)
{
	struct buf data = { 0 };
	struct error err = { 0 };

	str_copy(m->sender, sizeof(m->sender), str_from(bus->id));
	m->incarnation = bus->incarnation;
	m->hlc = hlc_now();
	if (peer_message_encode(m, &data, &err) == 0) {
		for (int i = 0; i < count; i++) {
			if (to[i].address[0])
				enqueue(bus, outgoing_create(&to[i], buf_str(&data)));
		}
	}
	buf_free(&data);
}

void peer_bus_send(struct peer_bus *bus, const char *id, const char *address,
		   struct peer_message *m)
{
	peer_bus_send_all(bus, &(struct peer_target){ .id = id, .address = address }, 1, m);
}

static struct peer_conn *conn_find(struct peer_bus *bus, const char *id)
{
	for (int i = 0; i < bus->conn_count; i++) {
		if (strcmp(bus->conns[i]->id, id) == 0)
			return bus->conns[i];
	}
	return NULL;
}

void peer_bus_confirm(struct peer_bus *bus, const char *id)
{
	struct peer_conn *c;

	pthread_mutex_lock(&bus->lock);
	c = conn_find(bus, id);
	if (c)
		atomic_store(&c->confirmed_ms, clock_boot_ms());
	pthread_mutex_unlock(&bus->lock);
}

static const char *key_of(const struct peer_bus *bus, const char *id)
{
	for (int i = 0; i < bus->admitted_count; i++) {
		if (strcmp(bus->admitted[i].id, id) == 0)
			return bus->admitted[i].text;
	}
	return NULL;
}

static void conn_open(struct peer_bus *bus, struct peer_conn *c, int64_t now)
{
	const char *key = key_of(bus, c->id);
	char endpoint[96];

	close_socket(c->dealer);
	c->dealer = NULL;
	c->opened_ms = now;
	if (bus->curve_secret[0] && !key)
		return;
	c->dealer = zmq_socket(bus->context, ZMQ_DEALER);
	if (!c->dealer)
		return;
	set_int(c->dealer, ZMQ_LINGER, 0);
	set_int(c->dealer, ZMQ_SNDHWM, SEND_HWM);
	set_int(c->dealer, ZMQ_RECONNECT_IVL, 100);
	set_int(c->dealer, ZMQ_RECONNECT_IVL_MAX, 1000);
	if (key) {
		zmq_setsockopt(c->dealer, ZMQ_CURVE_SERVERKEY, key, KEY_TEXT_SIZE);
		zmq_setsockopt(c->dealer, ZMQ_CURVE_PUBLICKEY, bus->curve_public, KEY_TEXT_SIZE);
		zmq_setsockopt(c->dealer, ZMQ_CURVE_SECRETKEY, bus->curve_secret, KEY_TEXT_SIZE);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", c->address);
	zmq_connect(c->dealer, endpoint);
}

static void conn_drop(struct peer_bus *bus, int i)
{
	struct peer_conn *c = bus->conns[i];

	pthread_mutex_lock(&bus->lock);
	bus->conns[i] = bus->conns[--bus->conn_count];
	pthread_mutex_unlock(&bus->lock);
	close_socket(c->dealer);
	free(c);
}

static struct peer_conn *conn_for(struct peer_bus *bus, const struct outgoing *out, int64_t now)
{
	struct peer_conn *c = conn_find(bus, out->id);

	if (c && strcmp(c->address, out->address) == 0)
		return c;
	if (!c) {
		if (bus->conn_count == PEERS_MAX)
			return NULL;
		c = mem_zalloc(sizeof(*c));
		str_copy(c->id, sizeof(c->id), str_from(out->id));
		pthread_mutex_lock(&bus->lock);
		bus->conns[bus->conn_count++] = c;
		pthread_mutex_unlock(&bus->lock);
	}
	str_copy(c->address, sizeof(c->address), str_from(out->address));
	conn_open(bus, c, now);
	return c;
}

static void send_one(struct peer_bus *bus, struct outgoing *out, int64_t now)
{
	struct peer_conn *c = conn_for(bus, out, now);

	if (!c)
		return;
	c->used_ms = now;
	if (!c->dealer || zmq_send(c->dealer, out->data.data, out->data.len, ZMQ_DONTWAIT) < 0)
		return;
	metric_add(METRIC_PEER_MESSAGES_OUT, 1);
	metric_add(METRIC_PEER_BYTES_OUT, (int64_t)out->data.len);
}

static void send_queued(struct peer_bus *bus)
{
	int64_t now = clock_boot_ms();
	struct outgoing *list;

	pthread_mutex_lock(&bus->lock);
	list = bus->first;
	bus->first = NULL;
	bus->last = &bus->first;
	bus->queued = 0;
	pthread_mutex_unlock(&bus->lock);
	while (list) {
		struct outgoing *out = list;

		list = out->next;
		send_one(bus, out, now);
		outgoing_destroy(out);
	}
}

/*
 * A TCP connection can go silent for good while new ones work. It is replaced when the peer has
 * not confirmed for the suspect time; one that nobody sends on any more is closed.
 */
static void check_conns(struct peer_bus *bus)
{
	int64_t now = clock_boot_ms();

	for (int i = bus->conn_count - 1; i >= 0; i--) {
		struct peer_conn *c = bus->conns[i];
		int64_t confirmed = atomic_load(&c->confirmed_ms);
		int64_t since = confirmed > c->opened_ms ? confirmed : c->opened_ms;

		if (now - c->used_ms > 10 * bus->suspect_ms)
			conn_drop(bus, i);
		else if (now - since > bus->suspect_ms && c->used_ms > since)
			conn_open(bus, c, now);
	}
}

static void receive_message(struct peer_bus *bus, zmq_msg_t *msg)
{
	struct str data = { .data = zmq_msg_data(msg), .len = zmq_msg_size(msg) };
	const char *user = bus->curve_secret[0] ? zmq_msg_gets(msg, "User-Id") : NULL;
	struct error err = { 0 };
	struct peer_message *m;

	metric_add(METRIC_PEER_MESSAGES_IN, 1);
	metric_add(METRIC_PEER_BYTES_IN, (int64_t)data.len);
	m = peer_message_decode(data, &err);
	/* An admitted key must not speak for another instance. */
	if (!m || (bus->curve_secret[0] && (!user || strcmp(user, m->sender) != 0))) {
		metric_add(METRIC_PEER_MALFORMED, 1);
		peer_message_destroy(m);
		return;
	}
	hlc_observe(m->hlc);
	if (strcmp(m->sender, bus->id) != 0)
		bus->receive(bus->ctx, m);
	peer_message_destroy(m);
}

static bool receive_one(struct peer_bus *bus)
{
	int part = 0;
	zmq_msg_t msg;
	int more = 1;

	while (more) {
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, bus->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			return false;
		}
		more = zmq_msg_more(&msg);
		/* Part 0 is the connection's identity. */
		if (part == 1 && !more)
			receive_message(bus, &msg);
		else if (part >= 1)
			metric_add(METRIC_PEER_MALFORMED, 1);
		part++;
		zmq_msg_close(&msg);
	}
	return true;
}

static const char *zap_user(const struct peer_bus *bus, const void *key, size_t len)
{
	for (int i = 0; i < bus->admitted_count; i++) {
		if (len == KEY_SIZE && memcmp(bus->admitted[i].key, key, KEY_SIZE) == 0)
			return bus->admitted[i].id;
	}
	return NULL;
}

/* ZAP 1.0: version, request id, domain, address, identity, mechanism, credentials. */
static void zap_reply(struct peer_bus *bus)
{
	char frames[7][256];
	int sizes[7] = { 0 };
	const char *user;
	int more = 1;
	size_t size = sizeof(more);

	for (int i = 0; more; i++) {
		char spare[256];
		int n = zmq_recv(bus->zap, i < 7 ? frames[i] : spare, 256, 0);

		if (n < 0)
			return;
		if (i < 7)
			sizes[i] = n < 256 ? n : 256;
		zmq_getsockopt(bus->zap, ZMQ_RCVMORE, &more, &size);
	}
	user = sizes[5] == 5 && memcmp(frames[5], "CURVE", 5) == 0
		       ? zap_user(bus, frames[6], (size_t)sizes[6])
		       : NULL;
	zmq_send(bus->zap, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(bus->zap, frames[1], (size_t)sizes[1], ZMQ_SNDMORE);
	zmq_send(bus->zap, user ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(bus->zap, "", 0, ZMQ_SNDMORE);
	zmq_send(bus->zap, user ? user : "", user ? strlen(user) : 0, ZMQ_SNDMORE);
	zmq_send(bus->zap, "", 0, 0);
}

static void drain_wakeups(struct peer_bus *bus)
{
	char c;

	while (zmq_recv(bus->wake_in, &c, 1, ZMQ_DONTWAIT) >= 0)
		;
}

int peer_bus_run(struct peer_bus *bus, struct error *err)
{
	zmq_pollitem_t items[] = {
		{ .socket = bus->router, .events = ZMQ_POLLIN },
		{ .socket = bus->wake_in, .events = ZMQ_POLLIN },
		{ .socket = bus->zap, .events = ZMQ_POLLIN },
	};

	while (!child_stopping()) {
		zmq_poll(items, bus->zap ? 3 : 2, POLL_MS);
		drain_wakeups(bus);
		send_queued(bus);
		for (int i = 0; i < RECEIVE_HWM && receive_one(bus); i++)
			;
		if (bus->zap && items[2].revents & ZMQ_POLLIN)
			zap_reply(bus);
		check_conns(bus);
		child_account_cpu();
	}
	return 0;
}
