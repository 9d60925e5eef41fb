#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/supervisor.h"
#include "ibisgate/policy/memory_ledger.h"

#define QUARANTINE_CAPACITY 4096

void control_token_create(char out[24])
{
	snprintf(out, 24, "%016" PRIx64, random_u64());
}

bool control_member_address(struct control *c, const char *id, char out[MEMBER_ADDR_MAX])
{
	const struct member *m;
	const char *route = settings_route(c->settings, id);

	out[0] = '\0';
	pthread_mutex_lock(&c->lock);
	m = member_find(c->members, id);
	if (m && m->peer[0])
		str_copy(out, MEMBER_ADDR_MAX, str_from(route ? route : m->peer));
	pthread_mutex_unlock(&c->lock);
	return out[0] != '\0';
}

void control_send(struct control *c, const char *id, struct peer_message *m)
{
	char address[MEMBER_ADDR_MAX];

	if (control_member_address(c, id, address))
		peer_bus_send(c->bus, id, address, m);
}

void control_broadcast(struct control *c, struct peer_message *m)
{
	char(*ids)[MEMBER_ID_MAX];
	int n = 0;

	pthread_mutex_lock(&c->lock);
	ids = mem_alloc((size_t)member_count(c->members) * sizeof(*ids));
	for (int i = 1; i < member_count(c->members); i++) {
		const struct member *to = member_at(c->members, i);

		if (to->state != MEMBER_GONE && to->incarnation)
			str_copy(ids[n++], sizeof(*ids), str_from(to->id));
	}
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < n; i++)
		control_send(c, ids[i], m);
	free(ids);
}

static void on_message(void *ctx, const struct peer_message *m)
{
	struct control *c = ctx;

	switch (m->kind) {
	case PEER_HEARTBEAT:
		control_on_heartbeat(c, m);
		break;
	case PEER_CONFIG_CHANGE:
	case PEER_CONFIG_FETCH:
	case PEER_CONFIG_BATCH:
	case PEER_CONFIG_PART:
		control_on_config(c, m);
		break;
	case PEER_LEAVE:
		control_on_endpoint_leave(c, m);
		break;
	case PEER_LEAVE_ACK:
		control_on_leave_ack(c, m);
		break;
	case PEER_RETURN:
		control_on_endpoint_return(c, m);
		break;
	case PEER_QUARANTINE:
		control_on_quarantine(c, m);
		break;
	case PEER_CLAIM_QUERY:
	case PEER_CLAIM_STATE:
		control_on_claim(c, m);
		break;
	case PEER_FLEET_FETCH:
	case PEER_FLEET_BATCH:
		control_on_fleet(c, m);
		break;
	case PEER_RESERVE:
	case PEER_RESERVE_ACK:
	case PEER_RESERVE_RELEASE:
		control_on_reserve(c, m);
		break;
	case PEER_LOAD_REPORT:
	case PEER_LOAD_SUMMARY:
		control_on_load(c, m);
		break;
	case PEER_SHARING:
	case PEER_REPORT:
		/* Sent only between instances whose platform has a row store. */
		break;
	}
}

static int bus_run(void *ctx, struct error *err)
{
	struct control *c = ctx;

	return peer_bus_run(c->bus, err);
}

bool control_wait_for_work(struct control *c, bool (*has_work)(struct control *c), int64_t until_ms,
			   int tick_ms)
{
	int64_t wait_ms = until_ms - clock_boot_ms();
	struct timespec until = clock_monotonic_after(wait_ms > 0 ? (int)wait_ms : 0);

	pthread_mutex_lock(&c->lock);
	while (!child_is_stopping() && !has_work(c)) {
		if (pthread_cond_timedwait(&c->work_cond, &c->lock, &until))
			break;
	}
	pthread_mutex_unlock(&c->lock);
	return !child_sleep_ms(tick_ms);
}

static void work_wake(void *ctx)
{
	struct control *c = ctx;

	pthread_mutex_lock(&c->lock);
	pthread_cond_broadcast(&c->work_cond);
	pthread_mutex_unlock(&c->lock);
}

static void bus_wake(void *ctx)
{
	struct control *c = ctx;

	peer_bus_wake(c->bus);
}

static struct peer_bus *bus_create(struct control *c, struct error *err)
{
	const struct settings *s = c->settings;
	struct peer_key keys[SETTINGS_SEEDS_MAX];
	struct peer_options options = {
		.id = s->instance.id,
		.incarnation = c->gate->incarnation,
		.listen = s->peer.listen,
		.curve_public = s->peer.curve_public,
		.curve_secret = s->peer.curve_secret,
		.keys = keys,
		.key_count = s->curve_peer_count,
		.connections_max = peer_connections_max(settings_descriptors(s)),
		.suspect_ms = MEMBER_SUSPECT_MS,
		.receive = on_message,
		.ctx = c,
	};

	for (int i = 0; i < s->curve_peer_count; i++)
		keys[i] = (struct peer_key){ s->curve_peers[i].key, s->curve_peers[i].value };
	return peer_bus_create(&options, err);
}

static void set_default_advertise(struct control *c)
{
	struct str listen = str_from(c->settings->peer.listen);
	struct str host = str_split(&listen, ':');

	if (c->gate->settings.peer.advertise[0])
		return;
	snprintf(c->gate->settings.peer.advertise, sizeof(c->gate->settings.peer.advertise),
		 STR_FMT ":%d", STR_ARG(host), peer_bus_port(c->bus));
}

static void start_children(struct control *c)
{
	const struct child_spec children[] = {
		{ "peer", bus_run, c, true, bus_wake },
		{ "members", control_members_run, c, true },
		{ "config", control_config_run, c, true, work_wake },
		{ "list", control_list_run, c, true },
		{ "lease", control_lease_run, c, true },
		{ "drain", control_drain_run, c, true },
		{ "roles", control_roles_run, c, true },
		{ "claims", control_claims_run, c, true, work_wake },
		{ "reserve", control_reserve_run, c, true, work_wake },
		{ "expiry", control_expiry_run, c, true },
	};

	for (size_t i = 0; i < sizeof(children) / sizeof(children[0]); i++)
		supervisor_start(c->gate->supervisor, &children[i]);
}

struct control *control_create(struct gate *gate, struct error *err)
{
	struct control *c = mem_zalloc(sizeof(*c));
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&c->reserve_cond, &attr);
	pthread_cond_init(&c->work_cond, &attr);
	pthread_condattr_destroy(&attr);
	c->gate = gate;
	c->started_ms = clock_boot_ms();
	c->settings = &gate->settings;
	c->fleet = gate->fleet;
	pthread_mutex_init(&c->lock, NULL);
	pthread_mutex_init(&c->config_lock, NULL);
	if (!gate->config)
		rcu_assign_pointer(gate->config, config_create());
	c->http = http_pool_create();
	c->quarantine = quarantine_create(QUARANTINE_CAPACITY);
	c->bus = bus_create(c, err);
	if (!c->bus)
		goto fail;
	set_default_advertise(c);
	control_members_init(c);
	gate->control = c;
	start_children(c);
	return c;
fail:
	control_destroy(c);
	return NULL;
}

void control_leave(struct control *c)
{
	atomic_store(&c->has_left, true);
	/* Announce the new state at once rather than with the next periodic heartbeat. */
	control_heartbeat_send(c, clock_boot_ms());
	control_lease_release_all(c);
}

/* The supervisor has already ended the children. */
void control_destroy(struct control *c)
{
	if (!c)
		return;
	control_liveness_clear(c);
	free(c->relay);
	control_config_clear(c);
	control_claims_clear(c);
	peer_bus_destroy(c->bus);
	http_pool_destroy(c->http);
	quarantine_destroy(c->quarantine);
	member_table_destroy(c->members);
	pthread_cond_destroy(&c->reserve_cond);
	pthread_cond_destroy(&c->work_cond);
	pthread_mutex_destroy(&c->lock);
	pthread_mutex_destroy(&c->config_lock);
	free(c);
}

const char *control_missing_state(struct control *c)
{
	if (!atomic_load(&c->has_config))
		return "configuration";
	if (!atomic_load(&c->has_fleet))
		return "endpoint list";
	if (!atomic_load(&c->has_intents))
		return "stops in force";
	return atomic_load(&c->has_crash_reports) ? NULL : "crash reports";
}

bool control_is_ready(struct control *c)
{
	return !control_missing_state(c);
}

int control_live_instance_count(struct control *c)
{
	int n;

	pthread_mutex_lock(&c->lock);
	n = member_count_live(c->members, NULL);
	pthread_mutex_unlock(&c->lock);
	return n > 0 ? n : 1;
}

int control_instance_rank(struct control *c, int *count)
{
	int rank = 0;
	int n = 1;

	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < member_count(c->members); i++) {
		const struct member *m = member_at(c->members, i);
		int order = strcmp(m->id, c->settings->instance.id);

		if (!order || (m->state != MEMBER_LIVE && m->state != MEMBER_SUSPECT))
			continue;
		n++;
		rank += order < 0;
	}
	pthread_mutex_unlock(&c->lock);
	*count = n;
	return rank;
}

int control_peer_port(const struct control *c)
{
	return peer_bus_port(c->bus);
}
