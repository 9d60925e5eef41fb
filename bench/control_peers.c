#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "control.h"
#include "control_sim.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/state/relay.h"

#define DCS SIM_DCS
#define LOAD_POLLERS_MAX 128
#define MODEL_COUNT 7
#define LOOP_INTERVAL_MS 5
#define FULL_HEARTBEAT_INTERVAL 4
#define SMALL_REGION_MEMBERS 24
#define DELEGATE_MEMBERS_MAX 3
#define INCARNATION 1000

struct sim_peer {
	char id[MEMBER_ID_MAX];
	int dc;
	void *dealer;
	int64_t next_ms;
	int64_t loads_ms;
	int heartbeat_count;
	int turn;
};

struct sim_peers {
	struct sim_peer *peers;
	int count;
	bool target_delegate;
	int workers;
	char pollers[LOAD_POLLERS_MAX][MEMBER_ID_MAX];
	int poller_count;
	char target[MEMBER_ID_MAX];
	uint64_t target_incarnation;
	char address[MEMBER_ADDR_MAX];
	void *context;
	void *router;
	pthread_t thread;
	_Atomic bool stop;
};

static bool is_delegate(const struct sim_peers *s, const struct sim_peer *p)
{
	return p - s->peers < DCS && (p->dc != 0 || !s->target_delegate);
}

static void member_add(const struct sim_peers *s, const struct sim_peer *p,
		       struct peer_heartbeat *h)
{
	struct peer_member *e = &h->members[h->member_count++];

	*e = (struct peer_member){ .incarnation = INCARNATION, .state = MEMBER_LIVE };
	str_copy(e->id, sizeof(e->id), str_from(p->id));
	snprintf(e->dc, sizeof(e->dc), "d%d", p->dc);
	str_copy(e->peer, sizeof(e->peer), str_from(s->address));
	str_copy(e->http, sizeof(e->http), str_from(s->address));
	str_copy(e->admin, sizeof(e->admin), str_from(s->address));
}

static void heard_fill(const struct sim_peers *s, const struct sim_peer *from,
		       struct peer_heartbeat *h, bool full_lists)
{
	bool delegate = is_delegate(s, from);

	h->direct_tags[h->direct_tag_count++] = peer_tag(s->target, s->target_incarnation);
	for (int i = 0; i < s->count && h->direct_tag_count < PEER_DIRECT_TAGS_MAX; i++) {
		const struct sim_peer *p = &s->peers[i];

		if (p->dc == from->dc || (delegate && is_delegate(s, p)))
			h->direct_tags[h->direct_tag_count++] = peer_tag(p->id, INCARNATION);
	}
	h->direct_tags_digest = liveness_digest_tags(h->direct_tags, h->direct_tag_count);
	if (!full_lists)
		h->direct_tag_count = 0;
}

static void liveness_fill(const struct sim_peers *s, const struct sim_peer *from,
			  struct peer_heartbeat *h, bool full_lists)
{
	struct liveness_set live = { 0 };
	struct liveness_sent sent;

	for (int i = 0; i < s->count && live.count < LIVENESS_MAX; i++) {
		const struct sim_peer *p = &s->peers[i];
		bool is_reported = from->dc != 0 ? p->dc == from->dc : p->dc != 0;

		if (is_reported)
			live.entries[live.count++] =
				(struct liveness_entry){ .tag = peer_tag(p->id, INCARNATION),
							 .state = MEMBER_LIVE };
	}
	sent = (struct liveness_sent){ .last = live, .previous = live };
	liveness_list_build(&sent, &live, full_lists, MEMBER_SUSPECT_MS, &h->liveness);
}

static void members_fill(const struct sim_peers *s, const struct sim_peer *from,
			 struct peer_heartbeat *h)
{
	bool delegate = is_delegate(s, from);

	if (!delegate && s->count > SMALL_REGION_MEMBERS &&
	    from->heartbeat_count % (2 * FULL_HEARTBEAT_INTERVAL) != 0)
		return;
	for (int i = 0; i < s->count; i++) {
		const struct sim_peer *p = &s->peers[(from->heartbeat_count + i) % s->count];
		bool is_reported = from->dc != 0 ? p->dc == from->dc : delegate == (p->dc != 0);

		if (is_reported && h->member_count < (delegate ? DELEGATE_MEMBERS_MAX : 1))
			member_add(s, p, h);
	}
}

static void demand_add(struct peer_heartbeat *h, int dc)
{
	for (int i = 0; i < MODEL_COUNT; i++) {
		struct peer_demand *d = &h->demands[h->demand_count++];

		*d = (struct peer_demand){ .prefill_us = 123456789, .decode_us = 987654321 };
		snprintf(d->model, sizeof(d->model), "model-%d", i);
		if (dc >= 0)
			snprintf(d->dc, sizeof(d->dc), "d%d", dc);
	}
}

static void message_send(struct sim_peer *p, struct peer_message *m)
{
	struct buf data = { 0 };
	struct error err;

	str_copy(m->sender, sizeof(m->sender), str_from(p->id));
	m->incarnation = INCARNATION;
	m->hlc = hlc_now();
	if (peer_message_encode(m, &data, &err) == 0)
		zmq_send(p->dealer, data.data, data.len, ZMQ_DONTWAIT);
	buf_free(&data);
	peer_message_destroy(m);
}

static void heartbeat_send(struct sim_peers *s, struct sim_peer *p)
{
	struct peer_message *m = peer_message_create(PEER_HEARTBEAT);
	struct peer_heartbeat *h = &m->u.heartbeat;
	/*
	 * Heartbeats between data centres have half the rate of those within one. Both carry full
	 * lists every 2 s.
	 */
	bool full_lists = p->heartbeat_count %
				  (p->dc ? FULL_HEARTBEAT_INTERVAL / 2 : FULL_HEARTBEAT_INTERVAL) ==
			  0;
	bool with_details = p->dc != 0 || full_lists;

	snprintf(h->dc, sizeof(h->dc), "d%d", p->dc);
	h->state = MEMBER_LIVE;
	heard_fill(s, p, h, full_lists);
	if (is_delegate(s, p))
		liveness_fill(s, p, h, full_lists);
	if (with_details) {
		members_fill(s, p, h);
		str_copy(h->peer, sizeof(h->peer), str_from(s->address));
		str_copy(h->http, sizeof(h->http), str_from(s->address));
		str_copy(h->admin, sizeof(h->admin), str_from(s->address));
		demand_add(h, p->dc ? p->dc : -1);
		for (int dc = 1; p->dc == 0 && is_delegate(s, p) && dc < DCS; dc++)
			demand_add(h, dc);
	}
	p->heartbeat_count++;
	message_send(p, m);
}

static void summary_send(struct sim_peers *s, struct sim_peer *p, int dc)
{
	struct peer_message *m = peer_message_create(PEER_LOAD_SUMMARY);

	sim_loads_summary(m->u.loads, dc, s->workers, p->turn);
	message_send(p, m);
}

static void loads_send(struct sim_peers *s, struct sim_peer *p)
{
	struct peer_message *m;

	if (s->workers <= RELAY_ENGINES_MIN || !s->target_incarnation)
		return;
	if (p->dc != 0) {
		summary_send(s, p, p->dc);
	} else {
		m = peer_message_create(PEER_LOAD_REPORT);
		for (int i = 0; i < s->poller_count; i++) {
			if (strcmp(s->pollers[i], p->id) == 0)
				sim_loads_report(m->u.loads,
						 (const char(*)[MEMBER_ID_MAX])s->pollers,
						 s->poller_count, i, s->workers, p->turn);
		}
		message_send(p, m);
		/* The delegate forwards the load summaries of the other data centres. */
		for (int dc = 1; is_delegate(s, p) && dc < DCS; dc++)
			summary_send(s, p, dc);
	}
	p->turn++;
}

static void receive_all(struct sim_peers *s)
{
	zmq_msg_t msg;

	for (;;) {
		struct error err;
		struct peer_message *m = NULL;

		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, s->router, ZMQ_DONTWAIT) < 0)
			break;
		/* The heartbeats acknowledge the incarnation of the instance. */
		if (!s->target_incarnation)
			m = peer_message_decode(
				(struct str){ zmq_msg_data(&msg), zmq_msg_size(&msg) }, &err);
		if (m)
			s->target_incarnation = m->incarnation;
		peer_message_destroy(m);
		zmq_msg_close(&msg);
	}
	zmq_msg_close(&msg);
}

/* In other data centres only the delegate sends, and only to another delegate. */
static bool is_sender(const struct sim_peers *s, const struct sim_peer *p)
{
	return p->dc == 0 || (s->target_delegate && is_delegate(s, p));
}

static void *peers_run(void *arg)
{
	struct sim_peers *s = arg;

	while (!s->stop) {
		int64_t now = clock_boot_ms();

		receive_all(s);
		for (int i = 0; i < s->count; i++) {
			struct sim_peer *p = &s->peers[i];

			if (!is_sender(s, p))
				continue;
			if (now >= p->loads_ms) {
				p->loads_ms = now + RELAY_INTERVAL_MS;
				loads_send(s, p);
			}
			if (now < p->next_ms)
				continue;
			p->next_ms = now + (p->dc ? MEMBER_SUMMARY_MS : MEMBER_HEARTBEAT_MS);
			heartbeat_send(s, p);
		}
		clock_sleep_ms(LOOP_INTERVAL_MS);
	}
	return NULL;
}

static void *socket_open(struct sim_peers *s, int type)
{
	void *socket = zmq_socket(s->context, type);
	int zero = 0;

	zmq_setsockopt(socket, ZMQ_LINGER, &zero, sizeof(zero));
	return socket;
}

static void peer_init(struct sim_peers *s, int i, const char *endpoint)
{
	struct sim_peer *p = &s->peers[i];

	/* The harness names the instance "i1": "a" sorts before it and "m" after it. */
	snprintf(p->id, sizeof(p->id), "%c%04d", s->target_delegate ? 'm' : 'a', i);
	p->dc = i % DCS;
	p->next_ms = clock_boot_ms() + i * 37 % MEMBER_HEARTBEAT_MS;
	p->heartbeat_count = i;
	p->loads_ms = p->next_ms;
	if (p->dc == 0 && s->poller_count < LOAD_POLLERS_MAX)
		memcpy(s->pollers[s->poller_count++], p->id, sizeof(p->id));
	if (!is_sender(s, p))
		return;
	p->dealer = socket_open(s, ZMQ_DEALER);
	zmq_connect(p->dealer, endpoint);
}

struct sim_peers *sim_peers_create(int count, const char *address, const char *target,
				   bool delegate, int workers)
{
	struct sim_peers *s = mem_zalloc(sizeof(*s));
	char endpoint[96];
	size_t size = sizeof(endpoint);

	s->peers = mem_zalloc((size_t)(count + 1) * sizeof(*s->peers));
	s->count = count;
	s->target_delegate = delegate;
	s->workers = workers;
	str_copy(s->pollers[s->poller_count++], MEMBER_ID_MAX, str_from(target));
	str_copy(s->target, sizeof(s->target), str_from(target));
	s->context = zmq_ctx_new();
	s->router = socket_open(s, ZMQ_ROUTER);
	if (zmq_bind(s->router, "tcp://127.0.0.1:*")) {
		zmq_close(s->router);
		zmq_ctx_term(s->context);
		free(s->peers);
		free(s);
		return NULL;
	}
	zmq_getsockopt(s->router, ZMQ_LAST_ENDPOINT, endpoint, &size);
	str_copy(s->address, sizeof(s->address), str_from(endpoint + strlen("tcp://")));
	snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	for (int i = 0; i < count; i++)
		peer_init(s, i, endpoint);
	pthread_create(&s->thread, NULL, peers_run, s);
	return s;
}

void sim_peers_destroy(struct sim_peers *s)
{
	if (!s)
		return;
	s->stop = true;
	pthread_join(s->thread, NULL);
	for (int i = 0; i < s->count; i++) {
		if (s->peers[i].dealer)
			zmq_close(s->peers[i].dealer);
	}
	zmq_close(s->router);
	zmq_ctx_term(s->context);
	free(s->peers);
	free(s);
}
