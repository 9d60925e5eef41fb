#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/log.h"
#include "ibisgate/daemon/fleet_use.h"

/*
 * An instance that starts while the platform is down fetches the endpoint list and the stops in
 * force from a peer.
 */

_Static_assert(PEER_ENDPOINTS_MAX == FLEET_ENDPOINTS_MAX, "a fleet batch must hold all endpoints");
_Static_assert(PEER_LEAVING_MAX == CONTROL_STOPS_MAX, "a fleet batch must hold all stops");

/* Requests go to the live members in turn, so one that can't answer does not block the fetch. */
static bool fleet_fetch_peer(struct control *c, char id[MEMBER_ID_MAX])
{
	int n;
	bool found = false;

	pthread_mutex_lock(&c->lock);
	n = member_count(c->members);
	for (int i = 0; i < n && !found; i++) {
		const struct member *m = member_at(c->members, ++c->fleet_fetch_cursor % n);

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

	if (!fleet_fetch_peer(c, id))
		return;
	m = peer_message_create(PEER_FLEET_FETCH);
	control_send(c, id, m);
	peer_message_destroy(m);
}

static void endpoint_to_peer(struct peer_endpoint *out, const struct endpoint_info *in)
{
	out->engine = in->is_engine;
	out->checks_fencing = in->checks_fencing;
	out->leaving = in->leaving;
	out->role = in->role;
	str_copy(out->name, sizeof(out->name), str_from(in->name));
	str_copy(out->dc, sizeof(out->dc), str_from(in->dc));
	str_copy(out->url, sizeof(out->url), str_from(in->url));
	str_copy(out->model, sizeof(out->model), str_from(in->model));
}

static void endpoint_from_peer(struct endpoint_info *out, const struct peer_endpoint *in)
{
	*out = (struct endpoint_info){
		.is_engine = in->engine,
		.checks_fencing = in->checks_fencing,
		.leaving = in->leaving,
		.role = in->role,
	};
	str_copy(out->name, sizeof(out->name), str_from(in->name));
	str_copy(out->dc, sizeof(out->dc), str_from(in->dc));
	str_copy(out->url, sizeof(out->url), str_from(in->url));
	str_copy(out->model, sizeof(out->model), str_from(in->model));
}

static void fleet_endpoints_fill(struct control *c, struct peer_endpoint_list *f)
{
	int n;
	struct endpoint_status *all = fleet_statuses_copy(c->fleet, &n);

	for (int i = 0; i < n && f->endpoint_count < PEER_ENDPOINTS_MAX; i++) {
		if (all[i].listed)
			endpoint_to_peer(&f->endpoints[f->endpoint_count++], &all[i].info);
	}
	free(all);
}

/* Only a ready instance replies, because one that is starting may have a partial list. */
static void fleet_reply_send(struct control *c, const char *to)
{
	struct peer_message *m;

	if (atomic_load(&c->gate->state) != GATE_READY || !control_is_ready(c))
		return;
	m = peer_message_create(PEER_FLEET_BATCH);
	fleet_endpoints_fill(c, m->u.fleet);
	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < c->stop_count; i++)
		m->u.fleet->stops[m->u.fleet->stop_count++] = c->stops[i].order;
	pthread_mutex_unlock(&c->lock);
	control_send(c, to, m);
	peer_message_destroy(m);
}

static void fleet_endpoints_apply(struct control *c, const struct peer_endpoint_list *f)
{
	struct endpoint_info *infos = mem_zalloc(sizeof(*infos) * PEER_ENDPOINTS_MAX);

	for (int i = 0; i < f->endpoint_count; i++)
		endpoint_from_peer(&infos[i], &f->endpoints[i]);
	fleet_update(c->fleet, infos, f->endpoint_count);
	free(infos);
}

/* Stops are applied first, so that no endpoint is used without them. */
static void fleet_reply_apply(struct control *c, const struct peer_message *m)
{
	const struct peer_endpoint_list *f = m->u.fleet;

	if (control_is_ready(c) || atomic_load(&c->gate->state) > GATE_STARTING)
		return;
	if (!atomic_load(&c->has_read_intents)) {
		for (int i = 0; i < f->stop_count; i++)
			control_stop_apply(c, &f->stops[i], "");
		atomic_store(&c->has_intents, true);
	}
	if (!atomic_load(&c->has_listed_fleet)) {
		fleet_endpoints_apply(c, f);
		atomic_store(&c->has_fleet, true);
	}
	log_info("fleet-from-peer", "peer=%s endpoints=%d stops=%d", m->sender, f->endpoint_count,
		 f->stop_count);
	event_record("fleet-from-peer", NULL, NULL, NULL, "peer=%s endpoints=%d stops=%d",
		     m->sender, f->endpoint_count, f->stop_count);
}

void control_on_fleet(struct control *c, const struct peer_message *m)
{
	if (m->kind == PEER_FLEET_FETCH)
		fleet_reply_send(c, m->sender);
	else
		fleet_reply_apply(c, m);
}
