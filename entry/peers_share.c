#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "peers.h"

/*
 * While each data centre uses its own engines, instances of other data centres get messages without
 * prompt parts. The interval grows by the first value for each instance there, up to the second, in
 * milliseconds. The maximum leaves room for one lost message before a member counts as suspect.
 */
#define SHARE_REMOTE_PER_PEER_MS 10
#define SHARE_REMOTE_MAX_MS 900

/* Interval between two reports of the same part to other data centres, in milliseconds. */
#define PART_REPORT_INTERVAL_MS 4000

/* Maximum number of instances that one message goes to. */
#define TARGETS_MAX 1024

/*
 * An instance reports its own loads. A delegate adds for either side the loads reported by the
 * other side.
 */
static struct shared_engine_load shared_load_of(const struct endpoint *ep, bool delegate,
						bool remote)
{
	struct endpoint_memory memory = endpoint_memory_of(ep);
	int64_t backlog = ep->backlog_tokens;
	int64_t held = ep->held_tokens;
	int active = ep->active;

	if (delegate) {
		backlog += remote ? ep->peer_backlog_tokens - ep->remote_backlog_tokens
				  : ep->remote_backlog_tokens;
		held += remote ? ep->peer_held_tokens - ep->remote_held_tokens
			       : ep->remote_held_tokens;
		active += remote ? ep->peer_active - ep->remote_active : ep->remote_active;
	}
	return (struct shared_engine_load){
		.tag = ep->tag,
		.backlog_tokens = backlog > 0 ? (uint32_t)backlog : 0,
		.active = active > 0 ? (uint32_t)active : 0,
		.held_blocks = held > 0 && endpoint_memory_is_reported(&memory)
				       ? (uint32_t)(held / MEMORY_BLOCK_TOKENS)
				       : 0,
	};
}

static bool reports_stage_change(const struct endpoint *ep, bool delegate, bool remote, int64_t now)
{
	if (endpoint_is_changing_stage(ep, now))
		return true;
	return delegate && now < ep->stage_change_until_ms && ep->stage_change_remote != remote;
}

static void fill_endpoints(const struct peers *p, struct peer_sharing *s, bool remote, int64_t now)
{
	bool delegate = mesh_is_delegate(p->mesh);
	struct endpoint *ep;

	s->leaving_count = 0;
	s->changing_count = 0;
	s->load_count = 0;
	cds_list_for_each_entry(ep, &p->entry->endpoints, link) {
		struct shared_engine_load load = shared_load_of(ep, delegate, remote);

		if (!remote) {
			ep->reported_before_tokens = ep->reported_tokens;
			ep->reported_tokens = load.held_blocks ? ep->held_tokens : 0;
		}
		if (ep->is_leaving && s->leaving_count < SHARING_LEAVING_MAX)
			s->leaving[s->leaving_count++] = ep->process_tag;
		if (reports_stage_change(ep, delegate, remote, now) &&
		    s->changing_count < SHARING_LEAVING_MAX)
			s->changing[s->changing_count++] = ep->tag;
		if ((load.active || load.backlog_tokens || load.held_blocks) &&
		    s->load_count < SHARING_ENGINE_LOADS_MAX)
			s->loads[s->load_count++] = load;
	}
}

static void crash_add(struct peer_sharing *s, uint32_t crash, int64_t lost_ms, int64_t now)
{
	if (!lost_ms || s->crash_count == SHARING_CRASHES_MAX)
		return;
	for (int i = 0; i < s->crash_count; i++) {
		if (s->crashes[i].crash == crash)
			return;
	}
	s->crashes[s->crash_count++] =
		(struct shared_crash){ .crash = crash, .age_ms = (uint32_t)(now - lost_ms) };
}

static void fill_suspect_parts(struct peer_sharing *s, struct suspect_part_list *list, int64_t now)
{
	s->suspect_part_count = list->count;
	memcpy(s->suspect_parts, list->items, sizeof(*list->items) * (size_t)list->count);
	s->crash_count = 0;
	for (int i = 0; i < list->count; i++)
		crash_add(s, list->items[i].crash, list->lost_ms[i], now);
	list->count = 0;
	list->urgent = false;
}

static int64_t remote_interval_ms(const struct peers *p)
{
	const struct member_table *t = mesh_member_table(p->mesh);
	int64_t interval_ms = 0;

	/* Only delegates exchange messages between data centres. */
	if (mesh_uses_delegates(p->mesh))
		return SHARE_HEARTBEAT_MS;
	for (int i = 1; i < member_count(t); i++)
		interval_ms +=
			mesh_is_remote(p->mesh, member_at(t, i)) ? SHARE_REMOTE_PER_PEER_MS : 0;
	if (interval_ms < SHARE_HEARTBEAT_MS)
		return SHARE_HEARTBEAT_MS;
	return interval_ms < SHARE_REMOTE_MAX_MS ? interval_ms : SHARE_REMOTE_MAX_MS;
}

/* Sends the message to one side, the local data centre or the remote ones, if anyone is there. */
static void share_with_side(struct peers *p, struct peer_message *m, bool remote, int64_t now)
{
	const struct member *members[TARGETS_MAX];
	struct peer_target to[TARGETS_MAX];
	int count = mesh_select_targets(p->mesh, remote, members, TARGETS_MAX, now);

	if (!count)
		return;
	mesh_fill_gossip(p->mesh, remote, &m->u.sharing->news, now);
	fill_endpoints(p, m->u.sharing, remote, now);
	/* Connections are identified by address, because seeds have no other name. */
	for (int i = 0; i < count; i++)
		to[i] = (struct peer_target){ .id = members[i]->peer, .address = members[i]->peer };
	peer_bus_send_all(p->bus, to, count, m);
}

void peers_relay_part(struct peers *p, const struct shared_prompt_part *part, int64_t now)
{
	const struct endpoint *ep = endpoint_by_tag(p->entry, part->tag);
	const struct part_source *last = part_sources_find(&p->part_reports, part->part);

	if (part->state != PROMPT_PART_PREFILLED_SHARED || !mesh_is_delegate(p->mesh) || !ep ||
	    ep->dc || p->remote_part_count == SHARING_PROMPT_PARTS_MAX)
		return;
	if (last && now - last->at_ms < PART_REPORT_INTERVAL_MS)
		return;
	part_sources_record(&p->part_reports, part->part, part->tag, now);
	p->remote_parts[p->remote_part_count] = *part;
	p->remote_parts[p->remote_part_count++].state = PROMPT_PART_PREFILLED;
}

void peers_share(struct peers *p, int64_t now)
{
	struct entry *e = p->entry;
	struct peer_message *m = peer_message_create(PEER_SHARING);
	struct peer_sharing *s = m->u.sharing;
	struct mesh_gossip *n = &s->news;
	bool split_by_dc = mesh_uses_delegates(p->mesh) || service_any_prefers_local(e);

	str_copy(n->dc, sizeof(n->dc), str_from(e->settings.instance.dc));
	str_copy(n->peer, sizeof(n->peer), str_from(e->settings.peer.listen));
	n->state = e->stopping ? MEMBER_DRAINING : MEMBER_LIVE;
	n->config_version = e->table ? e->table->version : 0;
	for (int i = 0; i < SHARING_STORE_TABLES; i++)
		s->store_table_versions[i] =
			e->watches[i] ? store_watch_newest_version(e->watches[i]) : 0;
	s->part_count = p->part_count;
	memcpy(s->parts, p->parts, sizeof(*p->parts) * (size_t)p->part_count);
	fill_suspect_parts(s, &p->suspect_parts, now);
	share_with_side(p, m, false, now);
	if (!split_by_dc || p->remote_suspect_parts.urgent ||
	    now - p->remote_sent_ms >= remote_interval_ms(p)) {
		if (split_by_dc) {
			s->part_count = p->remote_part_count;
			memcpy(s->parts, p->remote_parts,
			       sizeof(*p->remote_parts) * (size_t)p->remote_part_count);
			p->remote_part_count = 0;
		}
		fill_suspect_parts(s, &p->remote_suspect_parts, now);
		share_with_side(p, m, true, now);
		p->remote_sent_ms = now;
	}
	peer_message_destroy(m);
	p->part_count = 0;
	p->share_pending = false;
	p->sent_ms = now;
}

static int name_compare(const void *a, const void *b)
{
	const struct member *const *x = a;
	const struct member *const *y = b;

	return strcmp((*x)->id, (*y)->id);
}

/* Keeps the @first live instances with the lowest names, and @also. */
static int targets_limit(const struct member **members, int count, int first, const char *also)
{
	int kept = 0, live = 0;

	qsort(members, (size_t)count, sizeof(void *), name_compare);
	for (int i = 0; i < count; i++) {
		bool is_first = members[i]->state == MEMBER_LIVE && live < first;

		live += members[i]->state == MEMBER_LIVE;
		if (is_first || strcmp(members[i]->id, also) == 0)
			members[kept++] = members[i];
	}
	return kept;
}

void peers_send_text(struct peers *p, struct str text)
{
	const struct member *members[TARGETS_MAX];
	struct peer_target to[TARGETS_MAX];
	int n = mesh_list_targets(p->mesh, false, members, TARGETS_MAX, clock_boot_ms());
	struct peer_message *m;

	if (!n)
		return;
	if (text.len > PEER_TEXT_MAX_BYTES) {
		log_warn("text-too-large", "bytes=%zu", text.len);
		return;
	}
	m = peer_message_create(PEER_CONFIG_PART);
	m->u.part.total = text.len;
	m->u.part.text = str_dup(text);
	for (int i = 0; i < n; i++)
		to[i] = (struct peer_target){ .id = members[i]->peer, .address = members[i]->peer };
	peer_bus_send_all(p->bus, to, n, m);
	peer_message_destroy(m);
}

void peers_send_report_first(struct peers *p, enum report_topic topic, enum report_scope scope,
			     int first, const char *also, const uint64_t *values, int count)
{
	struct peer_message *m;
	const struct member *members[TARGETS_MAX];
	struct peer_target to[TARGETS_MAX];
	int64_t now = clock_boot_ms();
	int n = 0;

	if (scope != REPORT_TO_REMOTE)
		n = mesh_list_targets(p->mesh, false, members, TARGETS_MAX, now);
	if (scope != REPORT_TO_DC)
		n += mesh_list_targets(p->mesh, true, members + n, TARGETS_MAX - n, now);
	if (first)
		n = targets_limit(members, n, first, also);
	if (!n)
		return;
	m = peer_message_create(PEER_REPORT);
	m->u.report->topic = topic;
	m->u.report->count = count < PEER_REPORT_VALUES_MAX ? count : PEER_REPORT_VALUES_MAX;
	memcpy(m->u.report->values, values, sizeof(*values) * (size_t)m->u.report->count);
	for (int i = 0; i < n; i++)
		to[i] = (struct peer_target){ .id = members[i]->peer, .address = members[i]->peer };
	peer_bus_send_all(p->bus, to, n, m);
	peer_message_destroy(m);
}

void peers_send_report(struct peers *p, enum report_topic topic, enum report_scope scope,
		       const uint64_t *values, int count)
{
	peers_send_report_first(p, topic, scope, 0, "", values, count);
}
