#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/log.h"
#include "ibisgate/daemon/fleet_use.h"

/* Endpoint list and stops from a peer, for an instance that starts while the platform is down. */

_Static_assert(PEER_ENDPOINTS_MAX == FLEET_ENDPOINTS_MAX, "an answer holds a whole fleet");
_Static_assert(PEER_LEAVING_MAX == CONTROL_STOPS_MAX, "an answer holds all stops");

/* Live members are asked in turn, so that one that can't answer does not stand in the way. */
static bool next_peer(struct control *c, char id[MEMBER_ID_MAX])
{
	int n;
	bool found = false;

	pthread_mutex_lock(&c->lock);
	n = member_count(c->members);
	for (int i = 0; i < n && !found; i++) {
		const struct member *m = member_at(c->members, ++c->fetch_next % n);

		found = m->state == MEMBER_LIVE && strcmp(m->id, c->settings->instance.id) != 0;
		if (found)
			str_copy(id, MEMBER_ID_MAX, str_from(m->id));
	}
	pthread_mutex_unlock(&c->lock);
	return found;
}

void control_fleet_fetch(struct control *c)
{
	char id[MEMBER_ID_MAX];
	struct peer_message *m;

	if (!next_peer(c, id))
		return;
	m = peer_message_create(PEER_FLEET_FETCH);
	control_send(c, id, m);
	peer_message_destroy(m);
}

static void endpoint_to(struct peer_endpoint *out, const struct endpoint_info *in)
{
	out->engine = in->engine;
	out->checks_fencing = in->checks_fencing;
	out->leaving = in->leaving;
	out->role = in->role;
	str_copy(out->name, sizeof(out->name), str_from(in->name));
	str_copy(out->dc, sizeof(out->dc), str_from(in->dc));
	str_copy(out->url, sizeof(out->url), str_from(in->url));
	str_copy(out->model, sizeof(out->model), str_from(in->model));
}

static void endpoint_from(struct endpoint_info *out, const struct peer_endpoint *in)
{
	*out = (struct endpoint_info){
		.engine = in->engine,
		.checks_fencing = in->checks_fencing,
		.leaving = in->leaving,
		.role = in->role,
	};
	str_copy(out->name, sizeof(out->name), str_from(in->name));
	str_copy(out->dc, sizeof(out->dc), str_from(in->dc));
	str_copy(out->url, sizeof(out->url), str_from(in->url));
	str_copy(out->model, sizeof(out->model), str_from(in->model));
}

static void fill_endpoints(struct control *c, struct peer_fleet *f)
{
	int n;
	struct endpoint_status *all = fleet_statuses(c->fleet, &n);

	for (int i = 0; i < n && f->endpoint_count < PEER_ENDPOINTS_MAX; i++) {
		if (all[i].listed)
			endpoint_to(&f->endpoints[f->endpoint_count++], &all[i].info);
	}
	free(all);
}

/* Only a ready instance answers: one that is starting may know a part. */
static void answer(struct control *c, const char *to)
{
	struct peer_message *m;

	if (atomic_load(&c->gate->state) != GATE_READY || !control_ready(c))
		return;
	m = peer_message_create(PEER_FLEET_BATCH);
	fill_endpoints(c, m->u.fleet);
	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < c->stop_count; i++)
		m->u.fleet->stops[m->u.fleet->stop_count++] = c->stops[i].order;
	pthread_mutex_unlock(&c->lock);
	control_send(c, to, m);
	peer_message_destroy(m);
}

static void learn_endpoints(struct control *c, const struct peer_fleet *f)
{
	struct endpoint_info *infos = mem_zalloc(sizeof(*infos) * PEER_ENDPOINTS_MAX);

	for (int i = 0; i < f->endpoint_count; i++)
		endpoint_from(&infos[i], &f->endpoints[i]);
	fleet_update(c->fleet, infos, f->endpoint_count);
	free(infos);
}

/* Stops come first, so that no endpoint is known without them. */
static void learn(struct control *c, const struct peer_message *m)
{
	const struct peer_fleet *f = m->u.fleet;

	if (control_ready(c) || atomic_load(&c->gate->state) > GATE_STARTING)
		return;
	if (!atomic_load(&c->intents_read)) {
		for (int i = 0; i < f->stop_count; i++)
			control_stop_apply(c, &f->stops[i], "");
		atomic_store(&c->intents_known, true);
	}
	if (!atomic_load(&c->fleet_listed)) {
		learn_endpoints(c, f);
		atomic_store(&c->fleet_known, true);
	}
	log_info("fleet-from-peer", "peer=%s endpoints=%d stops=%d", m->sender, f->endpoint_count,
		 f->stop_count);
	event_record("fleet-from-peer", NULL, NULL, NULL, "peer=%s endpoints=%d stops=%d",
		     m->sender, f->endpoint_count, f->stop_count);
}

void control_on_fleet(struct control *c, const struct peer_message *m)
{
	if (m->kind == PEER_FLEET_FETCH)
		answer(c, m->sender);
	else
		learn(c, m);
}
