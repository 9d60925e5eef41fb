#include "codec_impl.h"

static uint32_t get_u32(struct reader *r)
{
	return (uint32_t)codec_get_uint(r, UINT32_MAX);
}

static void put_members(struct buf *b, const struct peer_sharing *s)
{
	codec_put_array(b, s->member_count);
	for (int i = 0; i < s->member_count; i++) {
		codec_put_array(b, 3);
		codec_put_text(b, s->members[i].id);
		codec_put_text(b, s->members[i].dc);
		codec_put_text(b, s->members[i].peer);
	}
}

static void get_members(struct reader *r, struct peer_sharing *s)
{
	s->member_count = codec_get_count(r, SHARING_MEMBERS_MAX);
	for (int i = 0; i < s->member_count && !r->failed; i++) {
		struct shared_member *m = &s->members[i];

		codec_get_tuple(r, 3);
		codec_get_text(r, m->id, sizeof(m->id));
		codec_get_text(r, m->dc, sizeof(m->dc));
		codec_get_text(r, m->peer, sizeof(m->peer));
	}
}

static void put_loads(struct buf *b, const struct peer_sharing *s)
{
	codec_put_array(b, s->load_count);
	for (int i = 0; i < s->load_count; i++) {
		codec_put_array(b, 3);
		codec_put_uint(b, s->loads[i].tag);
		codec_put_uint(b, s->loads[i].backlog_tokens);
		codec_put_uint(b, s->loads[i].active);
	}
}

static void get_loads(struct reader *r, struct peer_sharing *s)
{
	s->load_count = codec_get_count(r, SHARING_LOADS_MAX);
	for (int i = 0; i < s->load_count && !r->failed; i++) {
		codec_get_tuple(r, 3);
		s->loads[i].tag = get_u32(r);
		s->loads[i].backlog_tokens = get_u32(r);
		s->loads[i].active = get_u32(r);
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
	s->part_count = codec_get_count(r, SHARING_PARTS_MAX);
	for (int i = 0; i < s->part_count && !r->failed; i++) {
		codec_get_tuple(r, 4);
		s->parts[i].tag = get_u32(r);
		s->parts[i].part = codec_get_uint(r, UINT64_MAX);
		s->parts[i].tokens = get_u32(r);
		s->parts[i].state = (enum shared_part_state)codec_get_uint(r, PART_DROPPED);
	}
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

void codec_put_sharing(struct buf *b, const struct peer_sharing *s)
{
	codec_put_array(b, 11);
	codec_put_text(b, s->dc);
	codec_put_text(b, s->peer);
	codec_put_uint(b, s->state);
	codec_put_uint(b, (uint64_t)s->config_version);
	put_tags(b, s->heard, s->heard_count);
	put_members(b, s);
	put_loads(b, s);
	put_parts(b, s);
	codec_put_array(b, s->suspect_count);
	for (int i = 0; i < s->suspect_count; i++) {
		codec_put_array(b, 2);
		codec_put_uint(b, s->suspects[i].fingerprint);
		codec_put_uint(b, s->suspects[i].crashes);
	}
	put_tags(b, s->leaving, s->leaving_count);
	put_tags(b, s->changing, s->changing_count);
}

void codec_get_sharing(struct reader *r, struct peer_sharing *s)
{
	codec_get_tuple(r, 11);
	codec_get_text(r, s->dc, sizeof(s->dc));
	codec_get_text(r, s->peer, sizeof(s->peer));
	s->state = (enum member_state)codec_get_uint(r, MEMBER_GONE);
	s->config_version = (int64_t)codec_get_uint(r, INT64_MAX);
	s->heard_count = get_tags(r, s->heard, SHARING_HEARD_MAX);
	get_members(r, s);
	get_loads(r, s);
	get_parts(r, s);
	s->suspect_count = codec_get_count(r, SHARING_SUSPECTS_MAX);
	for (int i = 0; i < s->suspect_count && !r->failed; i++) {
		codec_get_tuple(r, 2);
		s->suspects[i].fingerprint = codec_get_uint(r, UINT64_MAX);
		s->suspects[i].crashes = get_u32(r);
	}
	s->leaving_count = get_tags(r, s->leaving, SHARING_LEAVING_MAX);
	s->changing_count = get_tags(r, s->changing, SHARING_LEAVING_MAX);
}
