#include <cbor.h>
#include <stdlib.h>
#include <string.h>

#include "codec_impl.h"

enum item_type {
	ITEM_OTHER,
	ITEM_UINT,
	ITEM_TEXT,
	ITEM_ARRAY,
	ITEM_NULL,
};

struct item {
	enum item_type type;
	uint64_t number;
	struct str text;
};

static void on_uint8(void *ctx, uint8_t v)
{
	*(struct item *)ctx = (struct item){ .type = ITEM_UINT, .number = v };
}

static void on_uint16(void *ctx, uint16_t v)
{
	*(struct item *)ctx = (struct item){ .type = ITEM_UINT, .number = v };
}

static void on_uint32(void *ctx, uint32_t v)
{
	*(struct item *)ctx = (struct item){ .type = ITEM_UINT, .number = v };
}

static void on_uint64(void *ctx, uint64_t v)
{
	*(struct item *)ctx = (struct item){ .type = ITEM_UINT, .number = v };
}

static void on_text(void *ctx, cbor_data data, size_t len)
{
	*(struct item *)ctx = (struct item){
		.type = ITEM_TEXT,
		.text = { .data = (const char *)data, .len = len },
	};
}

static void on_array(void *ctx, size_t count)
{
	*(struct item *)ctx = (struct item){ .type = ITEM_ARRAY, .number = count };
}

static void on_null(void *ctx)
{
	*(struct item *)ctx = (struct item){ .type = ITEM_NULL };
}

static struct item read_item(struct reader *r)
{
	struct cbor_callbacks callbacks = cbor_empty_callbacks;
	struct cbor_decoder_result result;
	struct item item = { 0 };

	callbacks.uint8 = on_uint8;
	callbacks.uint16 = on_uint16;
	callbacks.uint32 = on_uint32;
	callbacks.uint64 = on_uint64;
	callbacks.string = on_text;
	callbacks.array_start = on_array;
	callbacks.null = on_null;
	if (r->failed || !r->rest.len) {
		r->failed = true;
		return item;
	}
	result = cbor_stream_decode((cbor_data)r->rest.data, r->rest.len, &callbacks, &item);
	if (result.status != CBOR_DECODER_FINISHED || !result.read || result.read > r->rest.len) {
		r->failed = true;
		return (struct item){ 0 };
	}
	r->rest.data += result.read;
	r->rest.len -= result.read;
	return item;
}

static uint64_t get_uint(struct reader *r, uint64_t max)
{
	struct item item = read_item(r);

	if (item.type != ITEM_UINT || item.number > max) {
		r->failed = true;
		return 0;
	}
	return item.number;
}

static int64_t get_i64(struct reader *r)
{
	return (int64_t)get_uint(r, INT64_MAX);
}

static int get_count(struct reader *r, int max)
{
	struct item item = read_item(r);

	if (item.type != ITEM_ARRAY || item.number > (uint64_t)max) {
		r->failed = true;
		return 0;
	}
	return (int)item.number;
}

static void get_tuple(struct reader *r, int size)
{
	if (get_count(r, size) != size)
		r->failed = true;
}

static bool text_is_valid(struct str s)
{
	return !memchr(s.data ? s.data : "", '\0', s.len) && str_is_utf8(s);
}

static void get_text(struct reader *r, char *dst, size_t size)
{
	struct item item = read_item(r);

	if (item.type != ITEM_TEXT || item.text.len >= size || !text_is_valid(item.text)) {
		r->failed = true;
		return;
	}
	str_copy(dst, size, item.text);
}

static char *get_optional_text(struct reader *r)
{
	struct item item = read_item(r);

	if (item.type == ITEM_TEXT && text_is_valid(item.text))
		return str_dup(item.text);
	if (item.type != ITEM_NULL)
		r->failed = true;
	return NULL;
}

static void get_member(struct reader *r, struct peer_member *m)
{
	get_tuple(r, 9);
	get_text(r, m->id, sizeof(m->id));
	m->incarnation = get_uint(r, UINT64_MAX);
	get_text(r, m->dc, sizeof(m->dc));
	get_text(r, m->peer, sizeof(m->peer));
	get_text(r, m->http, sizeof(m->http));
	get_text(r, m->admin, sizeof(m->admin));
	m->state = (enum member_state)get_uint(r, MEMBER_GONE);
	m->age_ms = (uint32_t)get_uint(r, UINT32_MAX);
	m->config_version = get_i64(r);
}

static void get_order(struct reader *r, struct peer_endpoint_order *o)
{
	get_tuple(r, 5);
	get_text(r, o->endpoint, sizeof(o->endpoint));
	get_text(r, o->order, sizeof(o->order));
	o->kind = (enum order_kind)get_uint(r, ORDER_WITHDRAW);
	o->role = (enum endpoint_role)get_uint(r, ROLE_DECODE);
	o->fencing = get_i64(r);
}

static void get_demand(struct reader *r, struct peer_demand *d)
{
	get_tuple(r, 4);
	get_text(r, d->dc, sizeof(d->dc));
	get_text(r, d->model, sizeof(d->model));
	d->prefill_us = get_i64(r);
	d->decode_us = get_i64(r);
}

/* Reads the header of an array of @fixed items and up to @max entries; returns the entry count. */
static int get_entry_count(struct reader *r, int fixed, int max)
{
	int count = get_count(r, fixed + max) - fixed;

	if (count < 0)
		r->failed = true;
	return r->failed ? 0 : count;
}

static void get_heard_tags(struct reader *r, struct peer_heartbeat *h)
{
	h->direct_tag_count = get_entry_count(r, 1, PEER_DIRECT_TAGS_MAX);
	h->direct_tags_digest = (uint32_t)get_uint(r, UINT32_MAX);
	for (int i = 0; i < h->direct_tag_count && !r->failed; i++)
		h->direct_tags[i] = (uint32_t)get_uint(r, UINT32_MAX);
}

static void get_liveness_list(struct reader *r, struct liveness_list *l)
{
	l->count = get_entry_count(r, 3, LIVENESS_MAX);
	l->full = get_uint(r, 1);
	l->digest = (uint32_t)get_uint(r, UINT32_MAX);
	l->age_ms = (uint32_t)get_uint(r, UINT32_MAX);
	for (int i = 0; i < l->count && !r->failed; i++) {
		uint64_t v = get_uint(r, UINT64_MAX);

		l->entries[i].tag = (uint32_t)v;
		l->entries[i].state = v >> 32 ? (enum member_state)(v >> 32 & 7) : MEMBER_LIVE;
		l->entries[i].age_ms = v >> 32 ? (uint32_t)(v >> 35) : l->age_ms;
		if (l->entries[i].state > MEMBER_GONE)
			r->failed = true;
	}
}

static void get_heartbeat_lists(struct reader *r, struct peer_heartbeat *h)
{
	get_heard_tags(r, h);
	get_liveness_list(r, &h->liveness);
	h->member_count = get_count(r, PEER_MEMBERS_MAX);
	for (int i = 0; i < h->member_count && !r->failed; i++)
		get_member(r, &h->members[i]);
	h->leaving_count = get_count(r, PEER_LEAVING_MAX);
	for (int i = 0; i < h->leaving_count && !r->failed; i++)
		get_order(r, &h->leaving[i]);
	h->demand_count = get_count(r, PEER_DEMANDS_MAX);
	for (int i = 0; i < h->demand_count && !r->failed; i++)
		get_demand(r, &h->demands[i]);
}

static void get_heartbeat(struct reader *r, struct peer_heartbeat *h)
{
	get_tuple(r, 11);
	get_text(r, h->dc, sizeof(h->dc));
	get_text(r, h->peer, sizeof(h->peer));
	get_text(r, h->http, sizeof(h->http));
	get_text(r, h->admin, sizeof(h->admin));
	h->state = (enum member_state)get_uint(r, MEMBER_GONE);
	h->config_version = get_i64(r);
	get_heartbeat_lists(r, h);
}

static void get_change(struct reader *r, struct peer_config_change *c)
{
	get_tuple(r, 4);
	c->version = get_i64(r);
	get_text(r, c->key, sizeof(c->key));
	get_text(r, c->author, sizeof(c->author));
	c->value = get_optional_text(r);
}

static void get_batch(struct reader *r, struct peer_config_batch *b)
{
	int count;

	count = get_count(r, PEER_CONFIG_CHANGES_MAX);
	for (int i = 0; i < count && !r->failed; i++) {
		get_change(r, &b->changes[i]);
		b->change_count = i + 1;
	}
}

static void get_part(struct reader *r, struct peer_config_part *part)
{
	get_tuple(r, 4);
	part->version = get_i64(r);
	part->total = get_uint(r, UINT64_MAX);
	part->offset = get_uint(r, UINT64_MAX);
	part->text = get_optional_text(r);
	if (!part->text)
		r->failed = true;
}

static void get_endpoint(struct reader *r, struct peer_endpoint *e)
{
	get_tuple(r, 8);
	get_text(r, e->name, sizeof(e->name));
	get_text(r, e->dc, sizeof(e->dc));
	get_text(r, e->url, sizeof(e->url));
	get_text(r, e->model, sizeof(e->model));
	e->engine = get_uint(r, 1);
	e->checks_fencing = get_uint(r, 1);
	e->leaving = get_uint(r, 1);
	e->role = (enum endpoint_role)get_uint(r, ROLE_DECODE);
	if (!e->name[0])
		r->failed = true;
}

static void get_fleet(struct reader *r, struct peer_endpoint_list *f)
{
	get_tuple(r, 2);
	f->endpoint_count = get_count(r, PEER_ENDPOINTS_MAX);
	for (int i = 0; i < f->endpoint_count && !r->failed; i++)
		get_endpoint(r, &f->endpoints[i]);
	f->stop_count = get_count(r, PEER_LEAVING_MAX);
	for (int i = 0; i < f->stop_count && !r->failed; i++)
		get_order(r, &f->stops[i]);
}

static void get_reserve_ids(struct reader *r, struct peer_reservation *v)
{
	get_text(r, v->endpoint, sizeof(v->endpoint));
	get_text(r, v->token, sizeof(v->token));
	if (!v->endpoint[0] || !v->token[0])
		r->failed = true;
}

static void get_reserve(struct reader *r, struct peer_reservation *v)
{
	get_tuple(r, 5);
	get_reserve_ids(r, v);
	v->request_hlc = get_uint(r, UINT64_MAX);
	v->round = (uint32_t)get_uint(r, UINT32_MAX);
	v->expires_in_ms = get_i64(r);
}

static void get_reserve_ack(struct reader *r, struct peer_reservation *v)
{
	get_tuple(r, 5);
	get_reserve_ids(r, v);
	v->round = (uint32_t)get_uint(r, UINT32_MAX);
	v->answer = (enum reserve_answer)get_uint(r, RESERVE_DOWN);
	v->in_flight = (int)get_uint(r, INT32_MAX);
}

static void get_reserve_release(struct reader *r, struct peer_reservation *v)
{
	get_tuple(r, 2);
	get_reserve_ids(r, v);
}

static void get_body(struct reader *r, struct peer_message *m)
{
	switch (m->kind) {
	case PEER_HEARTBEAT:
		get_heartbeat(r, &m->u.heartbeat);
		break;
	case PEER_CONFIG_CHANGE:
		get_change(r, &m->u.change);
		break;
	case PEER_CONFIG_FETCH:
		m->u.fetch_after = get_i64(r);
		break;
	case PEER_CONFIG_BATCH:
		get_batch(r, &m->u.batch);
		break;
	case PEER_CONFIG_PART:
		get_part(r, &m->u.part);
		break;
	case PEER_LEAVE:
	case PEER_RETURN:
		get_order(r, &m->u.order);
		break;
	case PEER_LEAVE_ACK:
		get_tuple(r, 3);
		get_text(r, m->u.ack.endpoint, sizeof(m->u.ack.endpoint));
		get_text(r, m->u.ack.order, sizeof(m->u.ack.order));
		m->u.ack.in_flight = (int)get_uint(r, INT32_MAX);
		break;
	case PEER_QUARANTINE:
		get_tuple(r, 5);
		m->u.quarantine.fingerprint = get_uint(r, UINT64_MAX);
		m->u.quarantine.crashes = (int)get_uint(r, INT32_MAX);
		m->u.quarantine.unconfirmed = (int)get_uint(r, INT32_MAX);
		m->u.quarantine.refuse = get_uint(r, 1);
		m->u.quarantine.left_ms = get_i64(r);
		break;
	case PEER_CLAIM_QUERY:
	case PEER_CLAIM_STATE:
		get_tuple(r, 3);
		get_text(r, m->u.claim.key, sizeof(m->u.claim.key));
		get_text(r, m->u.claim.token, sizeof(m->u.claim.token));
		m->u.claim.answer = (enum claim_answer)get_uint(r, CLAIM_ANSWER_UNKNOWN);
		break;
	case PEER_FLEET_FETCH:
		get_tuple(r, 0);
		break;
	case PEER_FLEET_BATCH:
		get_fleet(r, m->u.fleet);
		break;
	case PEER_RESERVE:
		get_reserve(r, &m->u.reserve);
		break;
	case PEER_RESERVE_ACK:
		get_reserve_ack(r, &m->u.reserve);
		break;
	case PEER_RESERVE_RELEASE:
		get_reserve_release(r, &m->u.reserve);
		break;
	case PEER_LOAD_REPORT:
	case PEER_LOAD_SUMMARY:
		codec_get_loads(r, m->u.loads);
		break;
	case PEER_SHARING:
		codec_get_sharing(r, m->u.sharing);
		break;
	case PEER_REPORT:
		codec_get_report(r, m->u.report);
		break;
	}
}

static bool kind_is_known(uint64_t kind)
{
	return (kind >= PEER_HEARTBEAT && kind <= PEER_SHARING) || kind == PEER_CONFIG_PART ||
	       kind == PEER_REPORT;
}

struct peer_message *peer_message_decode(struct str data, struct error *err)
{
	struct reader r = { .rest = data };
	struct peer_message *m;
	uint64_t kind;

	if (data.len > PEER_MESSAGE_MAX) {
		error_set(err, ERROR_CODEC, CODEC_TOO_LARGE, "message is larger than %d bytes",
			  PEER_MESSAGE_MAX);
		return NULL;
	}
	get_tuple(&r, 5);
	kind = get_uint(&r, UINT64_MAX);
	if (!r.failed && !kind_is_known(kind)) {
		error_set(err, ERROR_CODEC, CODEC_UNKNOWN_TYPE, "unknown message type");
		return NULL;
	}
	if (r.failed) {
		error_set(err, ERROR_CODEC, CODEC_MALFORMED, "malformed message");
		return NULL;
	}
	m = peer_message_create((enum peer_message_kind)kind);
	get_text(&r, m->sender, sizeof(m->sender));
	m->incarnation = get_uint(&r, UINT64_MAX);
	m->hlc = get_uint(&r, UINT64_MAX);
	get_body(&r, m);
	if (!r.failed && !r.rest.len && m->sender[0])
		return m;
	peer_message_destroy(m);
	error_set(err, ERROR_CODEC, CODEC_MALFORMED, "malformed message");
	return NULL;
}

uint64_t codec_get_uint(struct reader *r, uint64_t max)
{
	return get_uint(r, max);
}

int codec_get_count(struct reader *r, int max)
{
	return get_count(r, max);
}

void codec_get_fixed_array(struct reader *r, int size)
{
	get_tuple(r, size);
}

void codec_get_text(struct reader *r, char *dst, size_t size)
{
	get_text(r, dst, size);
}
