#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "peers.h"

/*
 * How long an engine reported to be carrying out an order is avoided, in milliseconds; the holder
 * of the lease repeats the report.
 */
#define STAGE_CHANGE_REPORT_MS 700

/*
 * Age above which an engine of another data centre is no longer expected to have a part, and time
 * without reports after which its data centre may be unreachable, in milliseconds.
 */
#define SOURCE_MAX_AGE_MS 15000
#define DC_SILENCE_MS 2000

/* Delay before an instance without a configuration gets it from another one, in milliseconds. */
#define HANDOVER_DELAY_MS 500

static struct peer_view *peer_view_get(struct peers *p, const char *id)
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

static void endpoint_load_add(struct endpoint *ep, const struct shared_engine_load *load,
			      bool remote, int sign)
{
	ep->peer_backlog_tokens += sign * (int64_t)load->backlog_tokens;
	ep->peer_active += sign * (int)load->active;
	ep->peer_held_tokens += sign * (int64_t)load->held_blocks * MEMORY_BLOCK_TOKENS;
	if (!remote)
		return;
	ep->remote_backlog_tokens += sign * (int64_t)load->backlog_tokens;
	ep->remote_active += sign * (int)load->active;
	ep->remote_held_tokens += sign * (int64_t)load->held_blocks * MEMORY_BLOCK_TOKENS;
}

/* Estimates what is held where it is not reported, as on engines with much room. */
static void loads_estimate_held(const struct entry *e, struct peer_view *v)
{
	for (int k = 0; k < v->count; k++) {
		struct shared_engine_load *l = &v->loads[k];
		const struct endpoint *ep = l->held_blocks ? NULL : endpoint_by_tag(e, l->tag);

		if (ep)
			l->held_blocks = (uint32_t)(l->active * ep->service->held_tokens_mean /
						    MEMORY_BLOCK_TOKENS);
	}
}

/* Adds the loads reported by one instance to the sums of the endpoints, or subtracts them. */
static void loads_apply(struct entry *e, const struct peer_view *v, int sign)
{
	for (int k = 0; k < v->count; k++) {
		struct endpoint *ep = endpoint_by_tag(e, v->loads[k].tag);

		if (ep)
			endpoint_load_add(ep, &v->loads[k], v->is_remote, sign);
	}
}

void peers_restore_endpoint_load(const struct peers *p, struct endpoint *ep)
{
	for (int i = 0; p && i < p->view_count; i++) {
		const struct peer_view *v = &p->views[i];

		for (int k = 0; v->summed && k < v->count; k++) {
			if (v->loads[k].tag == ep->tag)
				endpoint_load_add(ep, &v->loads[k], v->is_remote, 1);
		}
	}
}

static bool peer_view_is_fresh(const struct peer_view *v, int64_t now)
{
	return now - v->last_receive_ms <= MEMBER_SUSPECT_MS;
}

/* Between two full sums, each message adjusts them only by the change in its sender's loads. */
void peers_sum_loads(struct peers *p, int64_t now)
{
	struct entry *e = p->entry;
	struct endpoint *ep;

	cds_list_for_each_entry(ep, &e->endpoints, link) {
		ep->peer_backlog_tokens = 0;
		ep->peer_active = 0;
		ep->peer_held_tokens = 0;
		ep->remote_backlog_tokens = 0;
		ep->remote_active = 0;
		ep->remote_held_tokens = 0;
	}
	for (int i = 0; i < p->view_count; i++) {
		struct peer_view *v = &p->views[i];

		v->summed = peer_view_is_fresh(v, now);
		if (v->summed)
			loads_apply(e, v, 1);
	}
	p->loads_summed_ms = now;
}

struct endpoint *peers_find_remote_source(const struct peers *p, uint64_t part, int64_t now_ms)
{
	const struct part_source *found = p ? part_sources_find(&p->remote_sources, part) : NULL;
	struct endpoint *ep;
	int64_t heard_ms;

	if (!found || now_ms - found->at_ms > SOURCE_MAX_AGE_MS)
		return NULL;
	ep = endpoint_by_tag(p->entry, found->engine);
	if (!ep)
		return NULL;
	heard_ms = p->dc_parts_ms[ep->dc < ENTRY_DCS_MAX ? ep->dc : ENTRY_DCS_MAX];
	return now_ms - heard_ms < DC_SILENCE_MS ? ep : NULL;
}

static void apply_part(struct peers *p, const struct shared_prompt_part *part, int64_t now)
{
	struct endpoint *ep = endpoint_by_tag(p->entry, part->tag);

	if (!ep || !ep->cache)
		return;
	if (ep->dc && part->state == PROMPT_PART_PREFILLED) {
		part_sources_record(&p->remote_sources, part->part, part->tag, now);
		p->dc_parts_ms[ep->dc < ENTRY_DCS_MAX ? ep->dc : ENTRY_DCS_MAX] = now;
	}
	switch (part->state) {
	case PROMPT_PART_DROPPED:
		cache_view_cancel_sent(ep->cache, part->part);
		break;
	case PROMPT_PART_SENT:
		cache_view_record(ep->cache, part->part, part->tokens, false);
		break;
	case PROMPT_PART_PREFILLED:
	case PROMPT_PART_PREFILLED_SHARED:
		cache_view_record(ep->cache, part->part, part->tokens, true);
		break;
	}
}

/*
 * Applies reports of what engines have cached. A delegate forwards those of one side to the other
 * side.
 */
static void apply_parts(struct peers *p, const struct peer_sharing *s, bool remote, int64_t now)
{
	bool forward = remote && mesh_is_delegate(p->mesh);

	for (int i = 0; i < s->part_count; i++) {
		apply_part(p, &s->parts[i], now);
		if (!remote)
			peers_relay_part(p, &s->parts[i], now);
		if (forward && p->part_count < SHARING_PROMPT_PARTS_MAX)
			p->parts[p->part_count++] = s->parts[i];
		p->share_pending = p->share_pending || forward;
	}
}

/*
 * Whether this instance has the lowest name among those that have a configuration and receive
 * messages of @to. In a large deployment, an instance's messages don't reach other data centres.
 */
static bool is_first_with_config(const struct peers *p, const struct member *to)
{
	const struct member_table *t = mesh_member_table(p->mesh);
	bool split_by_dc = mesh_uses_delegates(p->mesh) && !mesh_is_remote(p->mesh, to);

	for (int i = 1; i < member_count(t); i++) {
		const struct member *m = member_at(t, i);

		if (m->incarnation && m->state == MEMBER_LIVE && m->config_version > 0 &&
		    !(split_by_dc && mesh_is_remote(p->mesh, m)) &&
		    strcmp(m->id, p->entry->settings.instance.id) < 0)
			return false;
	}
	return true;
}

/* Sends @text, which is freed, as a configuration, unless it is too large. */
static void config_part_send(struct peers *p, const struct member *to, const char *event,
			     struct buf *text)
{
	int64_t version = p->entry->table->version;
	struct peer_message *m;

	if (text->len > PEER_TEXT_MAX_BYTES) {
		log_warn("handover-too-large", "peer=%s config=%lld bytes=%zu", to->id,
			 (long long)version, text->len);
		buf_free(text);
		return;
	}
	m = peer_message_create(PEER_CONFIG_PART);
	m->u.part.version = version;
	m->u.part.total = text->len;
	/* The message takes ownership of the text. */
	m->u.part.text = text->data;
	log_info(event, "peer=%s config=%lld former=%lld bytes=%zu", to->id, (long long)version,
		 (long long)to->config_version, text->len);
	peer_bus_send(p->bus, to->peer, to->peer, m);
	peer_message_destroy(m);
}

/* Sends configuration and endpoints to an instance that is starting without the store. */
static void handover_send(struct peers *p, const struct member *to, int64_t now)
{
	struct peer_view *v = peer_view_get(p, to->id);
	struct buf text = { 0 };

	if (!v->unconfigured_since_ms)
		v->unconfigured_since_ms = now;
	if (!entry_is_ready(p->entry) || now - v->unconfigured_since_ms < HANDOVER_DELAY_MS ||
	    !is_first_with_config(p, to))
		return;
	v->unconfigured_since_ms = now;
	handover_encode(p->entry, &text);
	config_part_send(p, to, "handover-sent", &text);
}

static bool gossip_has_heard(const struct mesh_gossip *n, const struct member *m)
{
	uint32_t tag = peer_tag(m->id, m->incarnation);

	for (int i = 0; i < n->heard_count; i++) {
		if (n->heard[i] == tag)
			return true;
	}
	return false;
}

/*
 * Number of instances that come before this one in sending its configuration to @to: of those that
 * have it and that @to hears, in an order that differs with @to, so that the work is spread.
 */
static int config_spread_rank(const struct peers *p, const struct member *to,
			      const struct mesh_gossip *n)
{
	const struct member_table *t = mesh_member_table(p->mesh);
	uint64_t seed = hash_str(str_from(to->id), 0);
	uint64_t own = hash_mix(p->entry->self_hash, seed);
	int rank = 0;

	for (int i = 1; i < member_count(t); i++) {
		const struct member *m = member_at(t, i);

		if (m->incarnation && m->state == MEMBER_LIVE &&
		    m->config_version >= p->entry->table->version &&
		    hash_mix(hash_str(str_from(m->id), 0), seed) < own && gossip_has_heard(n, m))
			rank++;
	}
	return rank;
}

/* Sends the configuration to an instance that the store has left with an older one. */
static void config_spread(struct peers *p, const struct member *to, const struct mesh_gossip *n,
			  int64_t now)
{
	struct entry *e = p->entry;
	struct peer_view *v = peer_view_get(p, to->id);
	struct config_spread_view view = {
		.behind_since_ms =
			config_history_behind_since(&e->config_history, to->config_version),
		.seen_ms = v->behind_seen_ms,
		.sent_ms = v->config_sent_ms,
		.free_ms = p->config_free_ms,
		.feed_interval_ms = store_watch_interval_ms(e->watches[0]),
		.change_ms = e->settings.bounds.change_ms,
	};
	struct buf text = { 0 };

	/* Only what it hears arrives, and all that it lists agree on their order. */
	if (!to->hears_us)
		return;
	/* The rank is only needed for one that is due, which is rare. */
	if (!config_spread_is_due(&view, now))
		return;
	view.rank = config_spread_rank(p, to, n);
	if (!config_spread_is_due(&view, now))
		return;
	handover_encode_config(e, &text);
	v->config_sent_ms = now;
	p->config_free_ms = config_spread_free_ms(text.len, now);
	config_part_send(p, to, "config-sent", &text);
}

static void config_spread_check(struct peers *p, const struct member *m,
				const struct mesh_gossip *n, int64_t now)
{
	const struct routing_table *t = p->entry->table;
	struct peer_view *v = peer_view_get(p, m->id);

	if (m->state != MEMBER_LIVE || m->config_version == 0 || !t ||
	    m->config_version >= t->version) {
		v->behind_seen_ms = 0;
		return;
	}
	if (!v->behind_seen_ms || !peer_view_is_fresh(v, now))
		v->behind_seen_ms = now;
	config_spread(p, m, n, now);
}

static void apply_news(struct peers *p, const struct inbox_entry *in, int64_t now)
{
	const struct mesh_gossip *n = &in->u.sharing->news;
	bool fresh = mesh_receive(p->mesh, in->sender, in->incarnation, n, now);
	const struct member *m = member_find(mesh_member_table(p->mesh), in->sender);

	/* The member table is full. */
	if (!m)
		return;
	if (m->hears_us)
		peer_bus_confirm_peer(p->bus, m->peer);
	if (m->state == MEMBER_LIVE && m->config_version == 0)
		handover_send(p, m, now);
	else
		peer_view_get(p, m->id)->unconfigured_since_ms = 0;
	config_spread_check(p, m, n, now);
	if (!fresh)
		return;
	/* It may have started with a configuration of the store's older copy. */
	if (p->entry->era.number)
		peers_mark_changed(p);
	log_info("peer", "peer=%s change=heard dc=%s address=%s config=%lld", m->id, m->dc, m->peer,
		 (long long)m->config_version);
	suspects_share_all(p->entry);
}

/* When a crash was noticed, by the clock of this instance; 0 if the message doesn't say so. */
static int64_t crash_moment_ms(const struct peer_sharing *s, uint32_t crash, int64_t now)
{
	for (int i = 0; i < s->crash_count; i++) {
		if (s->crashes[i].crash == crash)
			return now - s->crashes[i].age_ms;
	}
	return 0;
}

/*
 * Applies reports of what crashes endpoints. A delegate forwards the reports of one side to the
 * other side.
 */
static void apply_suspect_parts(struct peers *p, const struct peer_sharing *s, bool remote,
				int64_t now)
{
	bool forward = mesh_is_delegate(p->mesh);

	for (int i = 0; i < s->suspect_part_count; i++) {
		const struct shared_suspect_part *r = &s->suspect_parts[i];
		int64_t lost_ms = crash_moment_ms(s, r->crash, now);

		suspect_part_merge(p->entry, r, lost_ms);
		if (forward)
			peers_suspect_part_add(
				remote ? &p->suspect_parts : &p->remote_suspect_parts, r, lost_ms);
		p->share_pending =
			p->share_pending || (forward && (remote || r->verdict == PART_RESTATED));
	}
}

void peers_apply(struct peers *p, const struct inbox_entry *in, int64_t now)
{
	const struct peer_sharing *s = in->u.sharing;
	bool remote = strcmp(s->news.dc, p->entry->settings.instance.dc) != 0;
	struct peer_view *v;

	apply_news(p, in, now);
	for (int i = 0; i < SHARING_STORE_TABLES; i++) {
		entry_hear_era(p->entry, store_version_era(s->store_table_versions[i]), in->sender);
		store_watch_note_peer_version(p->entry->watches[i], s->store_table_versions[i]);
	}
	apply_parts(p, s, remote, now);
	apply_suspect_parts(p, s, remote, now);
	for (int i = 0; i < s->leaving_count; i++)
		endpoint_process_leaves(p->entry, s->leaving[i], in->sender);
	for (int i = 0; i < s->changing_count; i++) {
		struct endpoint *ep = endpoint_by_tag(p->entry, s->changing[i]);

		if (!ep || ep->stage_change_until_ms >= now + STAGE_CHANGE_REPORT_MS)
			continue;
		ep->stage_change_until_ms = now + STAGE_CHANGE_REPORT_MS;
		ep->stage_change_remote = remote;
	}
	v = peer_view_get(p, in->sender);
	if (v->summed)
		loads_apply(p->entry, v, -1);
	v->last_receive_ms = now;
	v->is_remote = remote;
	v->count = s->load_count;
	/* Two delegates for one data centre would count its loads twice. */
	if (remote && mesh_uses_delegates(p->mesh) && !mesh_is_dc_delegate(p->mesh, in->sender))
		v->count = 0;
	v->loads = mem_resize(v->loads, sizeof(*v->loads) * (size_t)(v->count + 1));
	memcpy(v->loads, s->loads, sizeof(*v->loads) * (size_t)v->count);
	loads_estimate_held(p->entry, v);
	v->summed = true;
	loads_apply(p->entry, v, 1);
}
