#include <string.h>

#include "peers.h"

/*
 * Instances of other data centres get messages without parts while each data centre uses its own
 * engines: at this pause for each of them, and within these bounds, in milliseconds. The upper one
 * leaves room for a lost message before a member counts as suspect.
 */
#define SHARE_PER_FAR_MS 10
#define SHARE_FAR_MAX_MS 900

static void fill_members(struct peers *p, struct peer_sharing *s, int64_t now)
{
	for (int i = 1; i < member_count(p->members); i++) {
		const struct member *m = member_at(p->members, i);
		struct shared_member *out;

		if (!m->direct || now - m->heard_ms > MEMBER_SUSPECT_MS)
			continue;
		if (s->heard_count < SHARING_HEARD_MAX)
			s->heard[s->heard_count++] = peer_tag(m->id, m->incarnation);
		/* Every instance is among those that some member tells of. */
		if (s->member_count == SHARING_MEMBERS_MAX)
			continue;
		out = &s->members[s->member_count++];
		str_copy(out->id, sizeof(out->id), str_from(m->id));
		str_copy(out->dc, sizeof(out->dc), str_from(m->dc));
		str_copy(out->peer, sizeof(out->peer), str_from(m->peer));
	}
}

static void fill_loads(const struct entry *e, struct peer_sharing *s, int64_t now)
{
	const struct endpoint *ep;

	cds_list_for_each_entry(ep, &e->endpoints, link) {
		if (ep->entry.leaving && s->leaving_count < SHARING_LEAVING_MAX)
			s->leaving[s->leaving_count++] = ep->tag;
		if (endpoint_changing(ep, now) && s->changing_count < SHARING_LEAVING_MAX)
			s->changing[s->changing_count++] = ep->tag;
		if ((!ep->active && !ep->backlog_tokens) || s->load_count == SHARING_LOADS_MAX)
			continue;
		s->loads[s->load_count++] = (struct shared_load){
			.tag = ep->tag,
			.backlog_tokens = ep->backlog_tokens > 0 ? (uint32_t)ep->backlog_tokens : 0,
			.active = (uint32_t)ep->active,
		};
	}
}

static bool address_heard(const struct peers *p, const struct member *m)
{
	for (int i = 0; i < member_count(p->members); i++) {
		const struct member *other = member_at(p->members, i);

		if (other != m && other->incarnation && strcmp(other->peer, m->peer) == 0)
			return true;
	}
	return false;
}

/* @far: to the instances of other data centres, else to those of this one and unknown ones. */
static void send_to(struct peers *p, struct peer_message *m, bool far)
{
	for (int i = 1; i < member_count(p->members); i++) {
		const struct member *to = member_at(p->members, i);

		if (peers_is_far(p, to) != far || to->state == MEMBER_GONE ||
		    (!to->incarnation && address_heard(p, to)))
			continue;
		peer_bus_send(p->bus, to->peer, to->peer, m);
	}
}

static int far_count(const struct peers *p)
{
	int n = 0;

	for (int i = 1; i < member_count(p->members); i++)
		n += peers_is_far(p, member_at(p->members, i));
	return n;
}

static int64_t far_pause(const struct peers *p)
{
	int64_t pause = (int64_t)far_count(p) * SHARE_PER_FAR_MS;

	if (pause < SHARE_IDLE_MS)
		return SHARE_IDLE_MS;
	return pause < SHARE_FAR_MAX_MS ? pause : SHARE_FAR_MAX_MS;
}

void peers_share(struct peers *p, int64_t now)
{
	struct entry *e = p->entry;
	struct peer_message *m = peer_message_create(PEER_SHARING);
	struct peer_sharing *s = m->u.sharing;
	bool near = service_any_near(e);

	str_copy(s->dc, sizeof(s->dc), str_from(e->settings.instance.dc));
	str_copy(s->peer, sizeof(s->peer), str_from(e->settings.peer.listen));
	s->state = e->stopping ? MEMBER_DRAINING : MEMBER_LIVE;
	s->config_version = e->table ? e->table->version : 0;
	fill_members(p, s, now);
	fill_loads(e, s, now);
	s->part_count = p->part_count;
	memcpy(s->parts, p->parts, sizeof(*p->parts) * (size_t)p->part_count);
	s->suspect_count = p->suspect_count;
	memcpy(s->suspects, p->suspects, sizeof(*p->suspects) * (size_t)p->suspect_count);
	send_to(p, m, false);
	if (!near || now - p->far_ms >= far_pause(p)) {
		if (near)
			s->part_count = 0;
		s->suspect_count = p->far_suspect_count;
		memcpy(s->suspects, p->far_suspects,
		       sizeof(*p->far_suspects) * (size_t)p->far_suspect_count);
		send_to(p, m, true);
		p->far_ms = now;
		p->far_suspect_count = 0;
	}
	peer_message_destroy(m);
	p->part_count = 0;
	p->suspect_count = 0;
	p->changed = false;
	p->sent_ms = now;
}
