#include <string.h>

#include "peers.h"

/*
 * Instances of other data centres get messages without parts while each data centre uses its own
 * engines: at this pause for each of them, and within these bounds, in milliseconds. The upper one
 * leaves room for a lost message before a member counts as suspect.
 */
#define SHARE_PER_FAR_MS 10
#define SHARE_FAR_MAX_MS 900

/* Most instances that one message goes to. */
#define TARGETS_MAX 1024

/* An instance tells its own loads; a delegate adds, to either side, what the other side tells. */
static struct shared_load load_of(const struct endpoint *ep, bool delegate, bool far)
{
	int64_t backlog = ep->backlog_tokens;
	int active = ep->active;

	if (delegate) {
		backlog += far ? ep->others_backlog - ep->far_backlog : ep->far_backlog;
		active += far ? ep->others_active - ep->far_active : ep->far_active;
	}
	return (struct shared_load){
		.tag = ep->tag,
		.backlog_tokens = backlog > 0 ? (uint32_t)backlog : 0,
		.active = active > 0 ? (uint32_t)active : 0,
	};
}

static bool tells_changing(const struct endpoint *ep, bool delegate, bool far, int64_t now)
{
	if (endpoint_changing(ep, now))
		return true;
	return delegate && now < ep->changing_until_ms && ep->changing_far != far;
}

static void fill_endpoints(const struct peers *p, struct peer_sharing *s, bool far, int64_t now)
{
	bool delegate = mesh_delegate(p->mesh);
	const struct endpoint *ep;

	s->leaving_count = 0;
	s->changing_count = 0;
	s->load_count = 0;
	cds_list_for_each_entry(ep, &p->entry->endpoints, link) {
		struct shared_load load = load_of(ep, delegate, far);

		if (ep->entry.leaving && s->leaving_count < SHARING_LEAVING_MAX)
			s->leaving[s->leaving_count++] = ep->tag;
		if (tells_changing(ep, delegate, far, now) &&
		    s->changing_count < SHARING_LEAVING_MAX)
			s->changing[s->changing_count++] = ep->tag;
		if ((load.active || load.backlog_tokens) && s->load_count < SHARING_LOADS_MAX)
			s->loads[s->load_count++] = load;
	}
}

static void fill_suspects(struct peer_sharing *s, const struct shared_suspect *list, int count)
{
	s->suspect_count = count;
	memcpy(s->suspects, list, sizeof(*list) * (size_t)count);
}

static int64_t far_pause(const struct peers *p)
{
	const struct member_table *t = mesh_members(p->mesh);
	int64_t pause = 0;

	/* Delegates tell each other alone. */
	if (mesh_is_large(p->mesh))
		return SHARE_IDLE_MS;
	for (int i = 1; i < member_count(t); i++)
		pause += mesh_is_far(p->mesh, member_at(t, i)) ? SHARE_PER_FAR_MS : 0;
	if (pause < SHARE_IDLE_MS)
		return SHARE_IDLE_MS;
	return pause < SHARE_FAR_MAX_MS ? pause : SHARE_FAR_MAX_MS;
}

/* Tells one side, of the own data centre and of others, unless there is nobody to tell. */
static void share_side(struct peers *p, struct peer_message *m, bool far, int64_t now)
{
	const struct member *members[TARGETS_MAX];
	struct peer_target to[TARGETS_MAX];
	int count = mesh_targets(p->mesh, far, members, TARGETS_MAX, now);

	if (!count)
		return;
	mesh_tell(p->mesh, far, &m->u.sharing->news, now);
	fill_endpoints(p, m->u.sharing, far, now);
	/* Connections are kept by address: seeds have no other name. */
	for (int i = 0; i < count; i++)
		to[i] = (struct peer_target){ .id = members[i]->peer, .address = members[i]->peer };
	peer_bus_send_all(p->bus, to, count, m);
}

void peers_share(struct peers *p, int64_t now)
{
	struct entry *e = p->entry;
	struct peer_message *m = peer_message_create(PEER_SHARING);
	struct peer_sharing *s = m->u.sharing;
	struct mesh_news *n = &s->news;
	bool apart = mesh_is_large(p->mesh) || service_any_near(e);

	str_copy(n->dc, sizeof(n->dc), str_from(e->settings.instance.dc));
	str_copy(n->peer, sizeof(n->peer), str_from(e->settings.peer.listen));
	n->state = e->stopping ? MEMBER_DRAINING : MEMBER_LIVE;
	n->config_version = e->table ? e->table->version : 0;
	for (int i = 0; i < SHARING_TABLES; i++)
		s->row_versions[i] = e->watches[i] ? store_watch_newest(e->watches[i]) : 0;
	s->part_count = p->part_count;
	memcpy(s->parts, p->parts, sizeof(*p->parts) * (size_t)p->part_count);
	fill_suspects(s, p->suspects, p->suspect_count);
	share_side(p, m, false, now);
	if (!apart || now - p->far_ms >= far_pause(p)) {
		if (apart)
			s->part_count = 0;
		fill_suspects(s, p->far_suspects, p->far_suspect_count);
		share_side(p, m, true, now);
		p->far_ms = now;
		p->far_suspect_count = 0;
	}
	peer_message_destroy(m);
	p->part_count = 0;
	p->suspect_count = 0;
	p->changed = false;
	p->sent_ms = now;
}
