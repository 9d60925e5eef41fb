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
#include "peer_accept.h"

#define PEERS_MAX 1024
#define SEND_QUEUE_MAX 4096
#define SEND_HWM 256
#define RECEIVE_HWM 4096

/* Messages received before connections are counted again. */
#define RECEIVE_BATCH 256

/*
 * An incoming connection that has not introduced itself within this time is closed, in
 * milliseconds. Instances do so within one round trip.
 */
#define HANDSHAKE_MS 3000
#define POLL_MS 100

/*
 * Time in which a connection to a peer is set up before it is tried again, in milliseconds: at
 * first, and after it was opened anew without success. A machine that is switched off leaves
 * attempts unanswered, and TCP itself repeats them after a second only; machines that start
 * together would not hear each other until then. Far peers need more than the least, and keep what
 * was enough for them, but not what an outage has made of it.
 */
#define CONNECT_MIN_MS 250
#define CONNECT_MAX_MS 2000
#define CONNECT_KNOWN_MAX_MS 500

/* TCP keep-alive of incoming connections: idle time, probe interval and number of probes. */
#define ROUTER_KEEPALIVE_IDLE_S 10
#define ROUTER_KEEPALIVE_INTERVAL_S 5
#define ROUTER_KEEPALIVE_PROBES 3
#define CURVE_KEY_TEXT_SIZE 41
#define CURVE_KEY_SIZE 32
#define ZAP_ADDRESS "inproc://zeromq.zap.01"

/**
 * struct peer_conn - outgoing connection to one peer; times are on the boot clock
 * @connect_ms: time in which the DEALER socket sets up a connection before it tries again
 * @opened_ms: time when the DEALER socket was last opened
 * @used_ms: time of the last send attempt
 * @confirmed_ms: time when the peer last reported receiving messages of this instance
 */
struct peer_conn {
	char id[MEMBER_ID_MAX];
	char address[MEMBER_ADDR_MAX];
	void *dealer;
	int connect_ms;
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

struct admitted_key {
	char id[MEMBER_ID_MAX];
	char text[CURVE_KEY_TEXT_SIZE];
	uint8_t key[CURVE_KEY_SIZE];
};

struct peer_bus {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation;
	int64_t suspect_ms;
	void (*receive)(void *ctx, const struct peer_message *m);
	void *ctx;
	char curve_public[CURVE_KEY_TEXT_SIZE];
	char curve_secret[CURVE_KEY_TEXT_SIZE];
	struct admitted_key *admitted_keys;
	int admitted_key_count;
	void *context;
	void *router;
	struct peer_accept accept;
	void *zap;
	void *wake_sender;
	void *wake_receiver;
	int port;
	pthread_mutex_t lock;
	struct outgoing *queue_head;
	struct outgoing **queue_tail;
	int queued;
	struct peer_conn *conns[PEERS_MAX];
	int conn_count;
};

static void socket_set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static int keys_load(struct peer_bus *bus, const struct peer_options *o, struct error *err)
{
	if (!o->curve_public || !o->curve_public[0])
		return 0;
	str_copy(bus->curve_public, sizeof(bus->curve_public), str_from(o->curve_public));
	str_copy(bus->curve_secret, sizeof(bus->curve_secret), str_from(o->curve_secret));
	bus->admitted_keys = mem_zalloc((size_t)(o->key_count + 1) * sizeof(*bus->admitted_keys));
	for (int i = 0; i < o->key_count; i++) {
		struct admitted_key *a = &bus->admitted_keys[bus->admitted_key_count++];

		str_copy(a->id, sizeof(a->id), str_from(o->keys[i].id));
		if (!str_copy(a->text, sizeof(a->text), str_from(o->keys[i].key)) ||
		    !zmq_z85_decode(a->key, a->text))
			return error_set(err, ERROR_PEER, PEER_KEY_INVALID,
					 "[curve-peers] %s: not a Z85 key", a->id);
	}
	return 0;
}

static int router_open(struct peer_bus *bus, const struct peer_options *o, struct error *err)
{
	char endpoint[128];
	size_t size = sizeof(endpoint);
	int64_t max = o->message_max_bytes ? o->message_max_bytes : PEER_MESSAGE_MAX;

	bus->router = zmq_socket(bus->context, ZMQ_ROUTER);
	socket_set_int(bus->router, ZMQ_LINGER, 0);
	socket_set_int(bus->router, ZMQ_RCVHWM, o->receive_queue ? o->receive_queue : RECEIVE_HWM);
	socket_set_int(bus->router, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
	/*
	 * Keep-alive closes incoming connections of peers that no longer exist. Silent outgoing
	 * connections are detected sooner, by check_conns().
	 */
	socket_set_int(bus->router, ZMQ_TCP_KEEPALIVE, 1);
	socket_set_int(bus->router, ZMQ_TCP_KEEPALIVE_IDLE, ROUTER_KEEPALIVE_IDLE_S);
	socket_set_int(bus->router, ZMQ_TCP_KEEPALIVE_INTVL, ROUTER_KEEPALIVE_INTERVAL_S);
	socket_set_int(bus->router, ZMQ_TCP_KEEPALIVE_CNT, ROUTER_KEEPALIVE_PROBES);
	zmq_setsockopt(bus->router, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	if (bus->curve_secret[0]) {
		socket_set_int(bus->router, ZMQ_CURVE_SERVER, 1);
		zmq_setsockopt(bus->router, ZMQ_ZAP_DOMAIN, "ibisgate", 8);
		if (zmq_setsockopt(bus->router, ZMQ_CURVE_SECRETKEY, bus->curve_secret,
				   CURVE_KEY_TEXT_SIZE))
			return error_set(err, ERROR_PEER, PEER_KEY_INVALID,
					 "[peer] curve-secret-key: not a CURVE key");
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", o->listen);
	/* ZeroMQ uses "*" as the port number that lets the kernel choose. */
	if (strlen(endpoint) > 2 && strcmp(endpoint + strlen(endpoint) - 2, ":0") == 0)
		endpoint[strlen(endpoint) - 1] = '*';
	if (peer_accept_monitor(&bus->accept, bus->context, bus->router, o->connections_max))
		return error_set(err, ERROR_PEER, PEER_BIND_FAILED,
				 "cannot monitor the peer socket: %s", zmq_strerror(zmq_errno()));
	if (zmq_bind(bus->router, endpoint))
		return error_set(err, ERROR_PEER, PEER_BIND_FAILED, "can't listen on %s: %s",
				 o->listen, zmq_strerror(zmq_errno()));
	zmq_getsockopt(bus->router, ZMQ_LAST_ENDPOINT, endpoint, &size);
	bus->port = atoi(strrchr(endpoint, ':') + 1);
	return 0;
}

static int sockets_open(struct peer_bus *bus, const struct peer_options *o, struct error *err)
{
	bus->context = zmq_ctx_new();
	if (bus->curve_secret[0]) {
		bus->zap = zmq_socket(bus->context, ZMQ_REP);
		socket_set_int(bus->zap, ZMQ_LINGER, 0);
		if (zmq_bind(bus->zap, ZAP_ADDRESS))
			return error_set(err, ERROR_PEER, PEER_BIND_FAILED,
					 "cannot bind the ZAP handler");
	}
	bus->wake_receiver = zmq_socket(bus->context, ZMQ_PULL);
	bus->wake_sender = zmq_socket(bus->context, ZMQ_PUSH);
	socket_set_int(bus->wake_sender, ZMQ_LINGER, 0);
	if (zmq_bind(bus->wake_receiver, "inproc://wake") ||
	    zmq_connect(bus->wake_sender, "inproc://wake"))
		return error_set(err, ERROR_PEER, PEER_BIND_FAILED,
				 "cannot bind the wake-up socket");
	return router_open(bus, o, err);
}

struct peer_bus *peer_bus_create(const struct peer_options *o, struct error *err)
{
	struct peer_bus *bus = mem_zalloc(sizeof(*bus));

	str_copy(bus->id, sizeof(bus->id), str_from(o->id));
	bus->incarnation = o->incarnation;
	bus->suspect_ms = o->suspect_ms;
	bus->receive = o->receive;
	bus->ctx = o->ctx;
	bus->queue_tail = &bus->queue_head;
	pthread_mutex_init(&bus->lock, NULL);
	if (keys_load(bus, o, err) || sockets_open(bus, o, err)) {
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
	while (bus->queue_head) {
		struct outgoing *out = bus->queue_head;

		bus->queue_head = out->next;
		outgoing_destroy(out);
	}
	peer_accept_stop(&bus->accept, bus->router);
	close_socket(bus->router);
	close_socket(bus->zap);
	close_socket(bus->wake_sender);
	close_socket(bus->wake_receiver);
	if (bus->context)
		zmq_ctx_term(bus->context);
	pthread_mutex_destroy(&bus->lock);
	free(bus->admitted_keys);
	free(bus);
}

int peer_bus_port(const struct peer_bus *bus)
{
	return bus->port;
}

int peer_bus_connections(const struct peer_bus *bus)
{
	return bus->accept.connections;
}

static struct outgoing *outgoing_create(const struct peer_target *to, struct str data)
{
	struct outgoing *out = mem_zalloc(sizeof(*out));

	str_copy(out->id, sizeof(out->id), str_from(to->id));
	str_copy(out->address, sizeof(out->address), str_from(to->address));
	buf_append_str(&out->data, data);
	return out;
}

static void outgoing_drop(struct outgoing *out)
{
	metric_add(METRIC_PEER_DROPPED, 1);
	outgoing_destroy(out);
}

void peer_bus_wake(struct peer_bus *bus)
{
	pthread_mutex_lock(&bus->lock);
	zmq_send(bus->wake_sender, "", 0, ZMQ_DONTWAIT);
	pthread_mutex_unlock(&bus->lock);
}

static void enqueue(struct peer_bus *bus, struct outgoing *out)
{
	pthread_mutex_lock(&bus->lock);
	if (bus->queued < SEND_QUEUE_MAX) {
		*bus->queue_tail = out;
		bus->queue_tail = &out->next;
		if (!bus->queued++)
			zmq_send(bus->wake_sender, "", 0, ZMQ_DONTWAIT);
		out = NULL;
	}
	pthread_mutex_unlock(&bus->lock);
	if (out)
		outgoing_drop(out);
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

void peer_bus_confirm_peer(struct peer_bus *bus, const char *id)
{
	struct peer_conn *c;

	pthread_mutex_lock(&bus->lock);
	c = conn_find(bus, id);
	if (c)
		atomic_store(&c->confirmed_ms, clock_boot_ms());
	pthread_mutex_unlock(&bus->lock);
}

static const char *key_find_by_id(const struct peer_bus *bus, const char *id)
{
	for (int i = 0; i < bus->admitted_key_count; i++) {
		if (strcmp(bus->admitted_keys[i].id, id) == 0)
			return bus->admitted_keys[i].text;
	}
	return NULL;
}

int peer_connect_ms(int last_ms, bool was_heard)
{
	if (!last_ms)
		return CONNECT_MIN_MS;
	if (was_heard)
		return last_ms < CONNECT_KNOWN_MAX_MS ? last_ms : CONNECT_KNOWN_MAX_MS;
	return last_ms >= CONNECT_MAX_MS ? last_ms : 2 * last_ms;
}

static void conn_open(struct peer_bus *bus, struct peer_conn *c, int64_t now_ms)
{
	const char *key = key_find_by_id(bus, c->id);
	char endpoint[96];

	close_socket(c->dealer);
	c->dealer = NULL;
	c->connect_ms =
		peer_connect_ms(c->connect_ms, atomic_load(&c->confirmed_ms) > c->opened_ms);
	c->opened_ms = now_ms;
	if (bus->curve_secret[0] && !key)
		return;
	c->dealer = zmq_socket(bus->context, ZMQ_DEALER);
	if (!c->dealer)
		return;
	socket_set_int(c->dealer, ZMQ_LINGER, 0);
	socket_set_int(c->dealer, ZMQ_SNDHWM, SEND_HWM);
	socket_set_int(c->dealer, ZMQ_RECONNECT_IVL, 100);
	socket_set_int(c->dealer, ZMQ_RECONNECT_IVL_MAX, 1000);
	socket_set_int(c->dealer, ZMQ_CONNECT_TIMEOUT, c->connect_ms);
	if (key) {
		zmq_setsockopt(c->dealer, ZMQ_CURVE_SERVERKEY, key, CURVE_KEY_TEXT_SIZE);
		zmq_setsockopt(c->dealer, ZMQ_CURVE_PUBLICKEY, bus->curve_public,
			       CURVE_KEY_TEXT_SIZE);
		zmq_setsockopt(c->dealer, ZMQ_CURVE_SECRETKEY, bus->curve_secret,
			       CURVE_KEY_TEXT_SIZE);
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", c->address);
	if (zmq_connect(c->dealer, endpoint))
		log_warn("peer-connect-failed", "peer=%s address=%s error=\"%s\"", c->id,
			 c->address, zmq_strerror(zmq_errno()));
}

static void conn_remove(struct peer_bus *bus, int i)
{
	struct peer_conn *c = bus->conns[i];

	pthread_mutex_lock(&bus->lock);
	bus->conns[i] = bus->conns[--bus->conn_count];
	pthread_mutex_unlock(&bus->lock);
	close_socket(c->dealer);
	free(c);
}

static struct peer_conn *conn_get_or_open(struct peer_bus *bus, const struct outgoing *out,
					  int64_t now_ms)
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
	conn_open(bus, c, now_ms);
	return c;
}

/* Return: false when the message is dropped. */
static bool outgoing_send(struct peer_bus *bus, struct outgoing *out, int64_t now_ms)
{
	struct peer_conn *c = conn_get_or_open(bus, out, now_ms);

	if (!c)
		return false;
	c->used_ms = now_ms;
	if (!c->dealer || zmq_send(c->dealer, out->data.data, out->data.len, ZMQ_DONTWAIT) < 0)
		return false;
	metric_add(METRIC_PEER_MESSAGES_OUT, 1);
	metric_add(METRIC_PEER_BYTES_OUT, (int64_t)out->data.len);
	return true;
}

static void send_queued(struct peer_bus *bus)
{
	int64_t now_ms = clock_boot_ms();
	struct outgoing *list;

	pthread_mutex_lock(&bus->lock);
	list = bus->queue_head;
	bus->queue_head = NULL;
	bus->queue_tail = &bus->queue_head;
	bus->queued = 0;
	pthread_mutex_unlock(&bus->lock);
	while (list) {
		struct outgoing *out = list;

		list = out->next;
		if (outgoing_send(bus, out, now_ms))
			outgoing_destroy(out);
		else
			outgoing_drop(out);
	}
}

/*
 * A TCP connection can go silent permanently while new connections to the same peer work. A
 * connection is replaced if the peer has not confirmed it for suspect_ms, and closed if it has not
 * been used for ten times as long.
 */
static void check_conns(struct peer_bus *bus)
{
	int64_t now_ms = clock_boot_ms();

	for (int i = bus->conn_count - 1; i >= 0; i--) {
		struct peer_conn *c = bus->conns[i];
		int64_t last_confirmed_ms = atomic_load(&c->confirmed_ms);
		int64_t since_ms =
			last_confirmed_ms > c->opened_ms ? last_confirmed_ms : c->opened_ms;

		if (now_ms - c->used_ms > 10 * bus->suspect_ms)
			conn_remove(bus, i);
		else if (now_ms - since_ms > bus->suspect_ms && c->used_ms > since_ms)
			conn_open(bus, c, now_ms);
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
	/* The key must belong to the sender: a peer must not impersonate another instance. */
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

static bool receive_frames(struct peer_bus *bus)
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
		/* Frame 0 is the routing id of the connection. */
		if (part == 1 && !more)
			receive_message(bus, &msg);
		else if (part >= 1)
			metric_add(METRIC_PEER_MALFORMED, 1);
		part++;
		zmq_msg_close(&msg);
	}
	return true;
}

static const char *zap_find_instance(const struct peer_bus *bus, const void *key, size_t len)
{
	for (int i = 0; i < bus->admitted_key_count; i++) {
		if (len == CURVE_KEY_SIZE &&
		    memcmp(bus->admitted_keys[i].key, key, CURVE_KEY_SIZE) == 0)
			return bus->admitted_keys[i].id;
	}
	return NULL;
}

/*
 * Answers one ZAP 1.0 request. Its frames are version, request id, domain, address, identity,
 * mechanism and credentials.
 */
static void zap_reply(struct peer_bus *bus)
{
	char frames[7][256];
	int sizes[7] = { 0 };
	const char *user;
	int more = 1;
	size_t size = sizeof(more);

	for (int i = 0; more; i++) {
		char ignored[256];
		int n = zmq_recv(bus->zap, i < 7 ? frames[i] : ignored, 256, 0);

		if (n < 0)
			return;
		if (i < 7)
			sizes[i] = n < 256 ? n : 256;
		zmq_getsockopt(bus->zap, ZMQ_RCVMORE, &more, &size);
	}
	user = sizes[5] == 5 && memcmp(frames[5], "CURVE", 5) == 0
		       ? zap_find_instance(bus, frames[6], (size_t)sizes[6])
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

	while (zmq_recv(bus->wake_receiver, &c, 1, ZMQ_DONTWAIT) >= 0)
		;
}

int peer_bus_run(struct peer_bus *bus, struct error *err)
{
	zmq_pollitem_t items[] = {
		{ .socket = bus->router, .events = ZMQ_POLLIN },
		{ .socket = bus->wake_receiver, .events = ZMQ_POLLIN },
		{ .socket = bus->accept.events, .events = ZMQ_POLLIN },
		{ .socket = bus->zap, .events = ZMQ_POLLIN },
	};

	while (!child_is_stopping()) {
		zmq_poll(items, bus->zap ? 4 : 3, POLL_MS);
		peer_accept_step(&bus->accept);
		drain_wakeups(bus);
		send_queued(bus);
		for (int i = 0; i < RECEIVE_BATCH && receive_frames(bus); i++)
			;
		if (bus->zap && items[3].revents & ZMQ_POLLIN)
			zap_reply(bus);
		check_conns(bus);
		child_account_cpu();
	}
	return 0;
}
