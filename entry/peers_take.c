#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "peers.h"

/* How long an engine that is said to carry out an order is left alone; the holder says it again. */
#define CHANGING_TOLD_MS 700

/* An instance without a configuration gets it from another one after this time, in ms. */
#define HANDOVER_AFTER_MS 500

/* Greatest text of a handover in bytes; one message of the bus holds 1 MiB. */
#define HANDOVER_MAX_BYTES 900000

static struct peer_view *view_of(struct peers *p, const char *id)
{
	for (int i = 0; i < p->view_count; i++) {
		if (strcmp(p->views[i].id, id) == 0)
			return &p->views[i];
	}
	p->views = mem_resize(p->views, sizeof(*p->views) * (size_t)(p->view_count + 1));
	p->views[p->view_count] = (struct peer_view){ 0 };
	str_copy(p->views[p->view_count].id, MEMBER_ID_MAX, str_from(id));
	return &p->views[p->view_count++];
}

static void load_add(struct endpoint *ep, const struct shared_load *load, bool far, int sign)
{
	ep->others_backlog += sign * (int64_t)load->backlog_tokens;
	ep->others_active += sign * (int)load->active;
	if (!far)
		return;
	ep->far_backlog += sign * (int64_t)load->backlog_tokens;
	ep->far_active += sign * (int)load->active;
}

/* Adds what one instance has told to the sums of the endpoints, or takes it away. */
static void loads_add(struct entry *e, const struct peer_view *v, int sign)
{
	for (int k = 0; k < v->count; k++) {
		struct endpoint *ep = endpoint_by_tag(e, v->loads[k].tag);

		if (ep)
			load_add(ep, &v->loads[k], v->far, sign);
	}
}

void peers_sum_endpoint(const struct peers *p, struct endpoint *ep)
{
	for (int i = 0; p && i < p->view_count; i++) {
		const struct peer_view *v = &p->views[i];

		for (int k = 0; v->summed && k < v->count; k++) {
			if (v->loads[k].tag == ep->tag)
				load_add(ep, &v->loads[k], v->far, 1);
		}
	}
}

static bool view_fresh(const struct peer_view *v, int64_t now)
{
	return now - v->heard_ms <= MEMBER_SUSPECT_MS;
}

/* Between two sums each message changes only what its sender had told before. */
void peers_sum_loads(struct peers *p, int64_t now)
{
	struct entry *e = p->entry;
	struct endpoint *ep;

	cds_list_for_each_entry(ep, &e->endpoints, link) {
		ep->others_backlog = 0;
		ep->others_active = 0;
		ep->far_backlog = 0;
		ep->far_active = 0;
	}
	for (int i = 0; i < p->view_count; i++) {
		struct peer_view *v = &p->views[i];

		v->summed = view_fresh(v, now);
		if (v->summed)
			loads_add(e, v, 1);
	}
	p->summed_ms = now;
}

static void take_parts(struct entry *e, const struct peer_sharing *s)
{
	for (int i = 0; i < s->part_count; i++) {
		struct endpoint *ep = endpoint_by_tag(e, s->parts[i].tag);

		if (!ep || !ep->cache)
			continue;
		if (s->parts[i].state == PART_DROPPED)
			cache_view_forget_sent(ep->cache, s->parts[i].part);
		else
			cache_view_use(ep->cache, s->parts[i].part, s->parts[i].tokens,
				       s->parts[i].state == PART_READY);
	}
}

/*
 * Whether this instance is the first by name among those with a configuration that hear @to: in a
 * large deployment other data centres don't hear an instance of this one.
 */
static bool first_with_config(const struct peers *p, const struct member *to)
{
	const struct member_table *t = mesh_members(p->mesh);
	bool apart = mesh_is_large(p->mesh) && !mesh_is_far(p->mesh, to);

	for (int i = 1; i < member_count(t); i++) {
		const struct member *m = member_at(t, i);

		if (m->incarnation && m->state == MEMBER_LIVE && m->config_version > 0 &&
		    !(apart && mesh_is_far(p->mesh, m)) &&
		    strcmp(m->id, p->entry->settings.instance.id) < 0)
			return false;
	}
	return true;
}

/* Tells an instance that starts without the store what this one knows. */
static void hand_over(struct peers *p, const struct member *to, int64_t now)
{
	struct peer_view *v = view_of(p, to->id);
	struct peer_message *m;
	struct buf text = { 0 };

	if (!v->without_since_ms)
		v->without_since_ms = now;
	if (!entry_ready(p->entry) || now - v->without_since_ms < HANDOVER_AFTER_MS ||
	    !first_with_config(p, to))
		return;
	v->without_since_ms = now;
	handover_encode(p->entry, &text);
	if (text.len > HANDOVER_MAX_BYTES) {
		log_warn("handover-too-large", "peer=%s bytes=%zu", to->id, text.len);
		buf_free(&text);
		return;
	}
	m = peer_message_create(PEER_CONFIG_PART);
	m->u.part.version = p->entry->table->version;
	m->u.part.total = text.len;
	/* The message owns its text. */
	m->u.part.text = text.data;
	log_info("handover-sent", "peer=%s config=%lld bytes=%zu", to->id,
		 (long long)p->entry->table->version, text.len);
	peer_bus_send(p->bus, to->peer, to->peer, m);
	peer_message_destroy(m);
}

static void take_news(struct peers *p, const struct inbox_entry *in, int64_t now)
{
	const struct mesh_news *n = &in->sharing.news;
	bool fresh = mesh_hear(p->mesh, in->sender, in->incarnation, n, now);
	const struct member *m = member_find(mesh_members(p->mesh), in->sender);

	/* The table is full. */
	if (!m)
		return;
	if (m->hears_us)
		peer_bus_confirm(p->bus, m->peer);
	if (m->state == MEMBER_LIVE && m->config_version == 0)
		hand_over(p, m, now);
	else
		view_of(p, m->id)->without_since_ms = 0;
	if (fresh)
		log_info("peer", "peer=%s change=heard dc=%s address=%s config=%lld", m->id, m->dc,
			 m->peer, (long long)m->config_version);
}

/* What one side tells of requests that crash endpoints, a delegate tells the other side. */
static void take_suspects(struct peers *p, const struct peer_sharing *s, bool far)
{
	for (int i = 0; i < s->suspect_count; i++) {
		const struct shared_suspect *one = &s->suspects[i];

		suspect_learn(p->entry, one->fingerprint, (int)one->crashes);
		if (!mesh_delegate(p->mesh))
			continue;
		if (far && p->suspect_count < SHARING_SUSPECTS_MAX)
			p->suspects[p->suspect_count++] = *one;
		if (!far && p->far_suspect_count < SHARING_SUSPECTS_MAX)
			p->far_suspects[p->far_suspect_count++] = *one;
	}
}

void peers_take(struct peers *p, const struct inbox_entry *in, int64_t now)
{
	const struct peer_sharing *s = &in->sharing;
	bool far = strcmp(s->news.dc, p->entry->settings.instance.dc) != 0;
	struct peer_view *v;

	take_news(p, in, now);
	for (int i = 0; i < SHARING_TABLES; i++)
		store_watch_told(p->entry->watches[i], s->row_versions[i]);
	take_parts(p->entry, s);
	take_suspects(p, s, far);
	for (int i = 0; i < s->leaving_count; i++) {
		struct endpoint *ep = endpoint_by_tag(p->entry, s->leaving[i]);

		if (ep && !ep->entry.leaving) {
			log_info("endpoint", "endpoint=%s change=leaving source=%s", ep->entry.id,
				 in->sender);
			ep->entry.leaving = true;
		}
	}
	for (int i = 0; i < s->changing_count; i++) {
		struct endpoint *ep = endpoint_by_tag(p->entry, s->changing[i]);

		if (!ep || ep->changing_until_ms >= now + CHANGING_TOLD_MS)
			continue;
		ep->changing_until_ms = now + CHANGING_TOLD_MS;
		ep->changing_far = far;
	}
	v = view_of(p, in->sender);
	if (v->summed)
		loads_add(p->entry, v, -1);
	v->heard_ms = now;
	v->far = far;
	v->count = s->load_count;
	/* Two that speak for one data centre would count its loads twice. */
	if (far && mesh_is_large(p->mesh) && !mesh_speaks_for_dc(p->mesh, in->sender))
		v->count = 0;
	v->loads = mem_resize(v->loads, sizeof(*v->loads) * (size_t)(v->count + 1));
	memcpy(v->loads, s->loads, sizeof(*v->loads) * (size_t)v->count);
	v->summed = true;
	loads_add(p->entry, v, 1);
}
