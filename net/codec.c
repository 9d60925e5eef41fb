#include <cbor.h>
#include <stdlib.h>
#include <string.h>

#include "codec_impl.h"

struct peer_message *peer_message_create(enum peer_message_kind kind)
{
	struct peer_message *m = mem_zalloc(sizeof(*m));

	m->kind = kind;
	if (kind == PEER_FLEET_BATCH)
		m->u.fleet = mem_zalloc(sizeof(*m->u.fleet));
	if (kind == PEER_LOAD_REPORT || kind == PEER_LOAD_SUMMARY)
		m->u.loads = mem_zalloc(sizeof(*m->u.loads));
	if (kind == PEER_SHARING)
		m->u.sharing = mem_zalloc(sizeof(*m->u.sharing));
	if (kind == PEER_REPORT)
		m->u.report = mem_zalloc(sizeof(*m->u.report));
	return m;
}

void peer_message_destroy(struct peer_message *m)
{
	if (!m)
		return;
	if (m->kind == PEER_CONFIG_CHANGE)
		free(m->u.change.value);
	if (m->kind == PEER_CONFIG_BATCH) {
		for (int i = 0; i < m->u.batch.change_count; i++)
			free(m->u.batch.changes[i].value);
	}
	if (m->kind == PEER_CONFIG_PART)
		free(m->u.part.text);
	if (m->kind == PEER_FLEET_BATCH)
		free(m->u.fleet);
	if (m->kind == PEER_LOAD_REPORT || m->kind == PEER_LOAD_SUMMARY)
		free(m->u.loads);
	if (m->kind == PEER_SHARING)
		free(m->u.sharing);
	if (m->kind == PEER_REPORT)
		free(m->u.report);
	free(m);
}

static void put_uint(struct buf *b, uint64_t v)
{
	unsigned char tmp[9];

	buf_append(b, tmp, cbor_encode_uint(v, tmp, sizeof(tmp)));
}

static void put_array(struct buf *b, int count)
{
	unsigned char tmp[9];

	buf_append(b, tmp, cbor_encode_array_start((size_t)count, tmp, sizeof(tmp)));
}

static void put_text(struct buf *b, const char *s)
{
	size_t len = strlen(s);
	unsigned char tmp[9];

	buf_append(b, tmp, cbor_encode_string_start(len, tmp, sizeof(tmp)));
	buf_append(b, s, len);
}

static void put_optional_text(struct buf *b, const char *s)
{
	unsigned char tmp[1];

	if (s)
		put_text(b, s);
	else
		buf_append(b, tmp, cbor_encode_null(tmp, sizeof(tmp)));
}

static void put_member(struct buf *b, const struct peer_member *m)
{
	put_array(b, 9);
	put_text(b, m->id);
	put_uint(b, m->incarnation);
	put_text(b, m->dc);
	put_text(b, m->peer);
	put_text(b, m->http);
	put_text(b, m->admin);
	put_uint(b, m->state);
	put_uint(b, m->age_ms);
	put_uint(b, (uint64_t)m->config_version);
}

static void put_order(struct buf *b, const struct peer_endpoint_order *o)
{
	put_array(b, 5);
	put_text(b, o->endpoint);
	put_text(b, o->order);
	put_uint(b, o->kind);
	put_uint(b, o->role);
	put_uint(b, (uint64_t)o->fencing);
}

static void put_demand(struct buf *b, const struct peer_demand *d)
{
	put_array(b, 4);
	put_text(b, d->dc);
	put_text(b, d->model);
	put_uint(b, (uint64_t)d->prefill_us);
	put_uint(b, (uint64_t)d->decode_us);
}

/*
 * An entry is one integer, which takes at most nine bytes: 29 bits of age, 3 bits of state and 32
 * bits of tag. The entry of a live member that is not older than the list, the most frequent case,
 * is only the tag and takes at most five bytes.
 */
static void put_liveness_entry(struct buf *b, const struct liveness_entry *v, uint32_t list_age_ms)
{
	uint64_t age = v->age_ms < 1u << 29 ? v->age_ms : (1u << 29) - 1;

	if (v->state == MEMBER_LIVE && v->age_ms <= list_age_ms) {
		put_uint(b, v->tag);
		return;
	}
	/* With age 0 the entry of a joining member would be equal to a tag alone. */
	if (v->state == MEMBER_JOINING && !age)
		age = 1;
	put_uint(b, (age << 3 | v->state) << 32 | v->tag);
}

static void put_heartbeat(struct buf *b, const struct peer_heartbeat *h)
{
	put_array(b, 11);
	put_text(b, h->dc);
	put_text(b, h->peer);
	put_text(b, h->http);
	put_text(b, h->admin);
	put_uint(b, h->state);
	put_uint(b, (uint64_t)h->config_version);
	put_array(b, h->direct_tag_count + 1);
	put_uint(b, h->direct_tags_digest);
	for (int i = 0; i < h->direct_tag_count; i++)
		put_uint(b, h->direct_tags[i]);
	put_array(b, h->liveness.count + 3);
	put_uint(b, h->liveness.full);
	put_uint(b, h->liveness.digest);
	put_uint(b, h->liveness.age_ms);
	for (int i = 0; i < h->liveness.count; i++)
		put_liveness_entry(b, &h->liveness.entries[i], h->liveness.age_ms);
	put_array(b, h->member_count);
	for (int i = 0; i < h->member_count; i++)
		put_member(b, &h->members[i]);
	put_array(b, h->leaving_count);
	for (int i = 0; i < h->leaving_count; i++)
		put_order(b, &h->leaving[i]);
	put_array(b, h->demand_count);
	for (int i = 0; i < h->demand_count; i++)
		put_demand(b, &h->demands[i]);
}

static void put_change(struct buf *b, const struct peer_config_change *c)
{
	put_array(b, 4);
	put_uint(b, (uint64_t)c->version);
	put_text(b, c->key);
	put_text(b, c->author);
	put_optional_text(b, c->value);
}

static void put_batch(struct buf *b, const struct peer_config_batch *batch)
{
	put_array(b, batch->change_count);
	for (int i = 0; i < batch->change_count; i++)
		put_change(b, &batch->changes[i]);
}

static void put_part(struct buf *b, const struct peer_config_part *part)
{
	put_array(b, 4);
	put_uint(b, (uint64_t)part->version);
	put_uint(b, part->total);
	put_uint(b, part->offset);
	put_text(b, part->text);
}

static void put_endpoint(struct buf *b, const struct peer_endpoint *e)
{
	put_array(b, 8);
	put_text(b, e->name);
	put_text(b, e->dc);
	put_text(b, e->url);
	put_text(b, e->model);
	put_uint(b, e->engine);
	put_uint(b, e->checks_fencing);
	put_uint(b, e->leaving);
	put_uint(b, e->role);
}

static void put_fleet(struct buf *b, const struct peer_endpoint_list *f)
{
	put_array(b, 2);
	put_array(b, f->endpoint_count);
	for (int i = 0; i < f->endpoint_count; i++)
		put_endpoint(b, &f->endpoints[i]);
	put_array(b, f->stop_count);
	for (int i = 0; i < f->stop_count; i++)
		put_order(b, &f->stops[i]);
}

static void put_reserve(struct buf *b, const struct peer_reservation *r)
{
	put_array(b, 5);
	put_text(b, r->endpoint);
	put_text(b, r->token);
	put_uint(b, r->request_hlc);
	put_uint(b, r->round);
	put_uint(b, (uint64_t)r->expires_in_ms);
}

static void put_reserve_ack(struct buf *b, const struct peer_reservation *r)
{
	put_array(b, 5);
	put_text(b, r->endpoint);
	put_text(b, r->token);
	put_uint(b, r->round);
	put_uint(b, r->answer);
	put_uint(b, (uint64_t)r->in_flight);
}

static void put_reserve_release(struct buf *b, const struct peer_reservation *r)
{
	put_array(b, 2);
	put_text(b, r->endpoint);
	put_text(b, r->token);
}

static void put_body(struct buf *b, const struct peer_message *m)
{
	switch (m->kind) {
	case PEER_HEARTBEAT:
		put_heartbeat(b, &m->u.heartbeat);
		break;
	case PEER_CONFIG_CHANGE:
		put_change(b, &m->u.change);
		break;
	case PEER_CONFIG_FETCH:
		put_uint(b, (uint64_t)m->u.fetch_after);
		break;
	case PEER_CONFIG_BATCH:
		put_batch(b, &m->u.batch);
		break;
	case PEER_CONFIG_PART:
		put_part(b, &m->u.part);
		break;
	case PEER_LEAVE:
	case PEER_RETURN:
		put_order(b, &m->u.order);
		break;
	case PEER_LEAVE_ACK:
		put_array(b, 3);
		put_text(b, m->u.ack.endpoint);
		put_text(b, m->u.ack.order);
		put_uint(b, (uint64_t)m->u.ack.in_flight);
		break;
	case PEER_QUARANTINE:
		put_array(b, 5);
		put_uint(b, m->u.quarantine.fingerprint);
		put_uint(b, (uint64_t)m->u.quarantine.crashes);
		put_uint(b, (uint64_t)m->u.quarantine.unconfirmed);
		put_uint(b, m->u.quarantine.refuse);
		put_uint(b, (uint64_t)m->u.quarantine.left_ms);
		break;
	case PEER_CLAIM_QUERY:
	case PEER_CLAIM_STATE:
		put_array(b, 3);
		put_text(b, m->u.claim.key);
		put_text(b, m->u.claim.token);
		put_uint(b, m->u.claim.answer);
		break;
	case PEER_FLEET_FETCH:
		put_array(b, 0);
		break;
	case PEER_FLEET_BATCH:
		put_fleet(b, m->u.fleet);
		break;
	case PEER_RESERVE:
		put_reserve(b, &m->u.reserve);
		break;
	case PEER_RESERVE_ACK:
		put_reserve_ack(b, &m->u.reserve);
		break;
	case PEER_RESERVE_RELEASE:
		put_reserve_release(b, &m->u.reserve);
		break;
	case PEER_SHARING:
		codec_put_sharing(b, m->u.sharing);
		break;
	case PEER_REPORT:
		codec_put_report(b, m->u.report);
		break;
	case PEER_LOAD_REPORT:
	case PEER_LOAD_SUMMARY:
		codec_put_loads(b, m->u.loads);
		break;
	}
}

int peer_message_encode(const struct peer_message *m, struct buf *out, struct error *err)
{
	size_t before = out->len;

	put_array(out, 5);
	put_uint(out, m->kind);
	put_text(out, m->sender);
	put_uint(out, m->incarnation);
	put_uint(out, m->hlc);
	put_body(out, m);
	if (out->len - before <= PEER_MESSAGE_MAX)
		return 0;
	out->len = before;
	return error_set(err, ERROR_CODEC, CODEC_TOO_LARGE, "message is larger than %d bytes",
			 PEER_MESSAGE_MAX);
}

void codec_put_uint(struct buf *b, uint64_t v)
{
	put_uint(b, v);
}

void codec_put_array(struct buf *b, int count)
{
	put_array(b, count);
}

void codec_put_text(struct buf *b, const char *s)
{
	put_text(b, s);
}
