#include "codec_impl.h"
#include "ibisgate/common/hash.h"

static uint32_t get_u32(struct reader *r)
{
	return (uint32_t)codec_get_uint(r, UINT32_MAX);
}

static void put_cost(struct buf *b, const struct peer_engine_cost *c)
{
	codec_put_uint(b, c->prefill_tokens_per_s);
	codec_put_uint(b, c->step_base_ns);
	codec_put_uint(b, c->step_per_seq_ns);
	codec_put_uint(b, c->kv_token_ns);
}

static void get_cost(struct reader *r, struct peer_engine_cost *c)
{
	c->prefill_tokens_per_s = get_u32(r);
	c->step_base_ns = get_u32(r);
	c->step_per_seq_ns = get_u32(r);
	c->kv_token_ns = get_u32(r);
}

static void put_load(struct buf *b, const struct peer_load *l)
{
	codec_put_array(b, 6);
	codec_put_uint(b, l->tag);
	codec_put_uint(b, l->fact);
	codec_put_uint(b, l->age_ms);
	codec_put_uint(b, (uint64_t)l->role << 1 | l->changing);
	codec_put_uint(b, l->prefill_backlog);
	codec_put_uint(b, l->decode_seqs);
}

static void get_load(struct reader *r, struct peer_load *l)
{
	uint64_t role;

	codec_get_fixed_array(r, 6);
	l->tag = get_u32(r);
	l->fact = get_u32(r);
	l->age_ms = get_u32(r);
	role = codec_get_uint(r, (uint64_t)ROLE_DECODE << 1 | 1);
	l->role = (enum endpoint_role)(role >> 1);
	l->changing = role & 1;
	l->prefill_backlog = get_u32(r);
	l->decode_seqs = get_u32(r);
}

static void put_fact(struct buf *b, const struct peer_engine_info *f)
{
	codec_put_array(b, 10);
	codec_put_uint(b, f->tag);
	codec_put_uint(b, f->age_ms);
	codec_put_uint(b, f->role);
	codec_put_text(b, f->model);
	codec_put_text(b, f->boot_id);
	codec_put_uint(b, f->decode_slots);
	put_cost(b, &f->cost);
}

static void get_fact(struct reader *r, struct peer_engine_info *f)
{
	codec_get_fixed_array(r, 10);
	f->tag = get_u32(r);
	f->age_ms = get_u32(r);
	f->role = (enum endpoint_role)codec_get_uint(r, ROLE_DECODE);
	codec_get_text(r, f->model, sizeof(f->model));
	codec_get_text(r, f->boot_id, sizeof(f->boot_id));
	f->decode_slots = get_u32(r);
	get_cost(r, &f->cost);
}

static void put_mean(struct buf *b, const struct peer_mean_load *m)
{
	codec_put_array(b, 11);
	codec_put_text(b, m->model);
	codec_put_uint(b, m->role);
	codec_put_uint(b, m->count);
	codec_put_uint(b, m->age_ms);
	codec_put_uint(b, m->prefill_backlog);
	codec_put_uint(b, m->decode_seqs);
	codec_put_uint(b, m->decode_slots);
	put_cost(b, &m->cost);
}

static void get_mean(struct reader *r, struct peer_mean_load *m)
{
	codec_get_fixed_array(r, 11);
	codec_get_text(r, m->model, sizeof(m->model));
	m->role = (enum endpoint_role)codec_get_uint(r, ROLE_DECODE);
	m->count = get_u32(r);
	m->age_ms = get_u32(r);
	m->prefill_backlog = get_u32(r);
	m->decode_seqs = get_u32(r);
	m->decode_slots = get_u32(r);
	get_cost(r, &m->cost);
}

void codec_put_loads(struct buf *b, const struct peer_loads *l)
{
	codec_put_array(b, 4);
	codec_put_text(b, l->dc);
	codec_put_array(b, l->load_count);
	for (int i = 0; i < l->load_count; i++)
		put_load(b, &l->loads[i]);
	codec_put_array(b, l->fact_count);
	for (int i = 0; i < l->fact_count; i++)
		put_fact(b, &l->facts[i]);
	codec_put_array(b, l->mean_count);
	for (int i = 0; i < l->mean_count; i++)
		put_mean(b, &l->means[i]);
}

void codec_get_loads(struct reader *r, struct peer_loads *l)
{
	codec_get_fixed_array(r, 4);
	codec_get_text(r, l->dc, sizeof(l->dc));
	l->load_count = codec_get_count(r, PEER_LOADS_MAX);
	for (int i = 0; i < l->load_count && !r->failed; i++)
		get_load(r, &l->loads[i]);
	l->fact_count = codec_get_count(r, PEER_ENGINE_INFOS_MAX);
	for (int i = 0; i < l->fact_count && !r->failed; i++)
		get_fact(r, &l->facts[i]);
	l->mean_count = codec_get_count(r, PEER_MEAN_LOADS_MAX);
	for (int i = 0; i < l->mean_count && !r->failed; i++)
		get_mean(r, &l->means[i]);
}

uint32_t peer_engine_info_digest(const struct peer_engine_info *f)
{
	uint64_t h = hash_mix(hash_str(str_from(f->model), 0), hash_str(str_from(f->boot_id), 0));

	h = hash_mix(h, f->decode_slots);
	h = hash_mix(h, (uint64_t)f->cost.prefill_tokens_per_s << 32 | f->cost.step_base_ns);
	h = hash_mix(h, (uint64_t)f->cost.step_per_seq_ns << 32 | f->cost.kv_token_ns);
	return (uint32_t)h;
}
