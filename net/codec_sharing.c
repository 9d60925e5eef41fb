#include "codec_impl.h"

static uint32_t get_u32(struct reader *r)
{
	return (uint32_t)codec_get_uint(r, UINT32_MAX);
}

static void put_tags(struct buf *b, const uint32_t *tags, int count)
{
	codec_put_array(b, count);
	for (int i = 0; i < count; i++)
		codec_put_uint(b, tags[i]);
}

static int get_tags(struct reader *r, uint32_t *tags, int max)
{
	int count = codec_get_count(r, max);

	for (int i = 0; i < count && !r->failed; i++)
		tags[i] = get_u32(r);
	return count;
}

static void put_news(struct buf *b, const struct mesh_gossip *n)
{
	codec_put_array(b, 7);
	codec_put_text(b, n->dc);
	codec_put_text(b, n->peer);
	codec_put_uint(b, n->state);
	codec_put_uint(b, (uint64_t)n->config_version);
	put_tags(b, n->heard, n->heard_count);
	codec_put_array(b, n->member_count);
	for (int i = 0; i < n->member_count; i++) {
		codec_put_array(b, 3);
		codec_put_text(b, n->members[i].id);
		codec_put_text(b, n->members[i].dc);
		codec_put_text(b, n->members[i].peer);
	}
	codec_put_array(b, n->dc_count);
	for (int i = 0; i < n->dc_count; i++) {
		codec_put_array(b, 2);
		codec_put_text(b, n->dcs[i].dc);
		codec_put_uint(b, n->dcs[i].instances);
	}
}

static void get_news(struct reader *r, struct mesh_gossip *n)
{
	codec_get_fixed_array(r, 7);
	codec_get_text(r, n->dc, sizeof(n->dc));
	codec_get_text(r, n->peer, sizeof(n->peer));
	n->state = (enum member_state)codec_get_uint(r, MEMBER_GONE);
	n->config_version = (int64_t)codec_get_uint(r, INT64_MAX);
	n->heard_count = get_tags(r, n->heard, MESH_HEARD_MAX);
	n->member_count = codec_get_count(r, MESH_MEMBERS_MAX);
	for (int i = 0; i < n->member_count && !r->failed; i++) {
		struct mesh_member *m = &n->members[i];

		codec_get_fixed_array(r, 3);
		codec_get_text(r, m->id, sizeof(m->id));
		codec_get_text(r, m->dc, sizeof(m->dc));
		codec_get_text(r, m->peer, sizeof(m->peer));
	}
	n->dc_count = codec_get_count(r, MESH_DCS_MAX);
	for (int i = 0; i < n->dc_count && !r->failed; i++) {
		codec_get_fixed_array(r, 2);
		codec_get_text(r, n->dcs[i].dc, sizeof(n->dcs[i].dc));
		n->dcs[i].instances = get_u32(r);
	}
}

/* Without and with the memory that is held. */
#define LOAD_FIELDS_MIN 3
#define LOAD_FIELDS 4

static void put_loads(struct buf *b, const struct peer_sharing *s)
{
	codec_put_array(b, s->load_count);
	for (int i = 0; i < s->load_count; i++) {
		const struct shared_engine_load *l = &s->loads[i];

		codec_put_array(b, l->held_blocks ? LOAD_FIELDS : LOAD_FIELDS_MIN);
		codec_put_uint(b, l->tag);
		codec_put_uint(b, l->backlog_tokens);
		codec_put_uint(b, l->active);
		if (l->held_blocks)
			codec_put_uint(b, l->held_blocks);
	}
}

static void get_loads(struct reader *r, struct peer_sharing *s)
{
	s->load_count = codec_get_count(r, SHARING_ENGINE_LOADS_MAX);
	for (int i = 0; i < s->load_count && !r->failed; i++) {
		struct shared_engine_load *l = &s->loads[i];
		int fields = codec_get_count(r, LOAD_FIELDS);

		if (fields < LOAD_FIELDS_MIN) {
			r->failed = true;
			return;
		}
		l->tag = get_u32(r);
		l->backlog_tokens = get_u32(r);
		l->active = get_u32(r);
		l->held_blocks = fields == LOAD_FIELDS ? get_u32(r) : 0;
	}
}

static void put_parts(struct buf *b, const struct peer_sharing *s)
{
	codec_put_array(b, s->part_count);
	for (int i = 0; i < s->part_count; i++) {
		codec_put_array(b, 4);
		codec_put_uint(b, s->parts[i].tag);
		codec_put_uint(b, s->parts[i].part);
		codec_put_uint(b, s->parts[i].tokens);
		codec_put_uint(b, s->parts[i].state);
	}
}

static void get_parts(struct reader *r, struct peer_sharing *s)
{
	s->part_count = codec_get_count(r, SHARING_PROMPT_PARTS_MAX);
	for (int i = 0; i < s->part_count && !r->failed; i++) {
		codec_get_fixed_array(r, 4);
		s->parts[i].tag = get_u32(r);
		s->parts[i].part = codec_get_uint(r, UINT64_MAX);
		s->parts[i].tokens = get_u32(r);
		s->parts[i].state = (enum shared_prompt_part_state)codec_get_uint(
			r, PROMPT_PART_PREFILLED_SHARED);
	}
}

/* Without the reports of parts, as instances of former builds send it, and with them. */
#define SHARING_FIELDS_MIN 7
#define SHARING_FIELDS 8

static void put_suspect_parts(struct buf *b, const struct peer_sharing *s)
{
	codec_put_array(b, s->suspect_part_count);
	for (int i = 0; i < s->suspect_part_count; i++) {
		codec_put_array(b, 4);
		codec_put_uint(b, s->suspect_parts[i].part);
		codec_put_uint(b, s->suspect_parts[i].verdict);
		codec_put_uint(b, s->suspect_parts[i].depth);
		codec_put_uint(b, s->suspect_parts[i].crash);
	}
}

static void get_suspect_parts(struct reader *r, struct peer_sharing *s)
{
	s->suspect_part_count = codec_get_count(r, SHARING_SUSPECT_PARTS_MAX);
	for (int i = 0; i < s->suspect_part_count && !r->failed; i++) {
		codec_get_fixed_array(r, 4);
		s->suspect_parts[i].part = codec_get_uint(r, UINT64_MAX);
		s->suspect_parts[i].verdict =
			(enum shared_part_verdict)codec_get_uint(r, PART_RESTATED);
		s->suspect_parts[i].depth = get_u32(r);
		s->suspect_parts[i].crash = get_u32(r);
	}
}

static void put_crashes(struct buf *b, const struct peer_sharing *s)
{
	codec_put_array(b, s->crash_count);
	for (int i = 0; i < s->crash_count; i++) {
		codec_put_array(b, 2);
		codec_put_uint(b, s->crashes[i].crash);
		codec_put_uint(b, s->crashes[i].age_ms);
	}
}

/*
 * Instances of former builds skip this, or send numbers of crashes by request here, which don't
 * name a crash.
 */
static void get_crashes(struct reader *r, struct peer_sharing *s)
{
	int count = codec_get_count(r, SHARING_CRASHES_MAX);

	s->crash_count = 0;
	for (int i = 0; i < count && !r->failed; i++) {
		uint64_t crash;
		uint32_t age_ms;

		codec_get_fixed_array(r, 2);
		crash = codec_get_uint(r, UINT64_MAX);
		age_ms = get_u32(r);
		if (crash <= UINT32_MAX)
			s->crashes[s->crash_count++] =
				(struct shared_crash){ .crash = (uint32_t)crash, .age_ms = age_ms };
	}
}

void codec_put_sharing(struct buf *b, const struct peer_sharing *s)
{
	codec_put_array(b, SHARING_FIELDS);
	put_news(b, &s->news);
	codec_put_array(b, SHARING_STORE_TABLES);
	for (int i = 0; i < SHARING_STORE_TABLES; i++)
		codec_put_uint(b, (uint64_t)s->store_table_versions[i]);
	put_loads(b, s);
	put_parts(b, s);
	put_crashes(b, s);
	put_tags(b, s->leaving, s->leaving_count);
	put_tags(b, s->changing, s->changing_count);
	put_suspect_parts(b, s);
}

void codec_get_sharing(struct reader *r, struct peer_sharing *s)
{
	int fields = codec_get_count(r, SHARING_FIELDS);

	if (fields < SHARING_FIELDS_MIN) {
		r->failed = true;
		return;
	}
	get_news(r, &s->news);
	codec_get_fixed_array(r, SHARING_STORE_TABLES);
	for (int i = 0; i < SHARING_STORE_TABLES; i++)
		s->store_table_versions[i] = (int64_t)codec_get_uint(r, INT64_MAX);
	get_loads(r, s);
	get_parts(r, s);
	get_crashes(r, s);
	s->leaving_count = get_tags(r, s->leaving, SHARING_LEAVING_MAX);
	s->changing_count = get_tags(r, s->changing, SHARING_LEAVING_MAX);
	if (fields == SHARING_FIELDS)
		get_suspect_parts(r, s);
}
