#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/daemon/fleet_use.h"
#include "ibisgate/state/relay.h"

/*
 * A fact is the part of an engine's load report that rarely changes: role, model, boot id, slots
 * and costs. It is sent for this time after a change, so that the loss of one message has no
 * effect.
 */
#define FACT_RESEND_MS 3000
/*
 * A receiver that missed a changed fact polls the engine itself and gets it. Only the role or model
 * of an engine in another data centre can then still be outdated, so the delegate repeats one fact
 * in its summary every this many rounds.
 */
#define FACT_REPEAT_ROUNDS 4
#define TARGETS_MAX 1024

/**
 * struct load_relay - what was last sent to peers about each endpoint
 * @facts: digest of the last fact and when it changed, by fleet id
 * @members: digest of the receivers in the own data centre
 * @engines: number of engines in the last summary, plus one
 * @round: calls of control_load_publish()
 */
struct load_relay {
	struct {
		uint32_t sent_digest;
		int64_t changed_ms;
	} facts[FLEET_ENDPOINTS_MAX];
	uint32_t members;
	int engines;
	int round;
};

/** struct load_group - sums over the engines of one model and role */
struct load_group {
	char model[48];
	enum endpoint_role role;
	double n, age_ms, prefill, seqs, slots;
	struct engine_cost cost;
};

static uint32_t to_u32(double v)
{
	if (!(v > 0))
		return 0;
	return v < (double)UINT32_MAX ? (uint32_t)lround(v) : UINT32_MAX;
}

/*
 * Counts from the request rather than the answer: an engine that died while a late answer was in
 * transit must not count as alive since the answer arrived.
 */
static uint32_t load_age_ms(const struct endpoint_load *load, int64_t now)
{
	return to_u32(
		(double)(now - (load->poll_sent_ms ? load->poll_sent_ms : load->received_ms)));
}

static struct peer_engine_cost cost_to_peer(const struct engine_cost *c)
{
	return (struct peer_engine_cost){
		.prefill_tokens_per_s = to_u32(c->prefill_tokens_per_s),
		.step_base_ns = to_u32(c->step_base_us * 1e3),
		.step_per_seq_ns = to_u32(c->step_per_seq_us * 1e3),
		.kv_token_ns = to_u32(c->kv_token_us * 1e3),
	};
}

static struct engine_cost cost_from_peer(const struct peer_engine_cost *c)
{
	return (struct engine_cost){
		.prefill_tokens_per_s = c->prefill_tokens_per_s,
		.step_base_us = c->step_base_ns / 1e3,
		.step_per_seq_us = c->step_per_seq_ns / 1e3,
		.kv_token_us = c->kv_token_ns / 1e3,
	};
}

static struct peer_engine_info fact_from_load(uint32_t tag, const struct endpoint_load *load,
					      int64_t now)
{
	struct peer_engine_info f = {
		.tag = tag,
		.age_ms = load_age_ms(load, now),
		.role = load->role,
		.decode_slots = to_u32(load->decode_slots),
		.cost = cost_to_peer(&load->cost),
	};

	str_copy(f.model, sizeof(f.model), str_from(load->model));
	str_copy(f.boot_id, sizeof(f.boot_id), str_from(load->boot_id));
	return f;
}

static void fact_to_load(const struct peer_engine_info *f, struct endpoint_load *load)
{
	load->role = f->role;
	load->decode_slots = (int)(f->decode_slots & INT32_MAX);
	load->cost = cost_from_peer(&f->cost);
	memcpy(load->model, f->model, sizeof(load->model));
	memcpy(load->boot_id, f->boot_id, sizeof(load->boot_id));
}

int control_dc_live_ids(struct control *c, char (*ids)[MEMBER_ID_MAX], int max, int *self)
{
	int n = 0;

	*self = -1;
	pthread_mutex_lock(&c->lock);
	for (int i = 0; i < member_count(c->members) && n < max; i++) {
		const struct member *m = member_at(c->members, i);

		if (m->state != MEMBER_LIVE || strcmp(m->dc, c->settings->instance.dc) != 0)
			continue;
		if (i == 0)
			*self = n;
		memcpy(ids[n++], m->id, MEMBER_ID_MAX);
	}
	pthread_mutex_unlock(&c->lock);
	return n;
}

/* Ids of the other instances of the own data centre, or of the delegates of the others. */
static int load_targets_fill(struct control *c, bool own_dc, char (*ids)[MEMBER_ID_MAX])
{
	int n = 0;

	pthread_mutex_lock(&c->lock);
	for (int i = 1; i < member_count(c->members) && n < TARGETS_MAX; i++) {
		const struct member *m = member_at(c->members, i);
		bool own = strcmp(m->dc, c->settings->instance.dc) == 0;

		if (own == own_dc && m->incarnation && m->state != MEMBER_GONE &&
		    member_is_heartbeat_target(c->members, m))
			memcpy(ids[n++], m->id, MEMBER_ID_MAX);
	}
	pthread_mutex_unlock(&c->lock);
	return n;
}

static bool is_delegate(struct control *c)
{
	const struct member *d;
	bool is;

	pthread_mutex_lock(&c->lock);
	d = member_find_delegate(c->members, c->settings->instance.dc);
	is = d && strcmp(d->id, c->settings->instance.id) == 0;
	pthread_mutex_unlock(&c->lock);
	return is;
}

static uint32_t load_message_send(struct control *c, bool own_dc, struct peer_message *m)
{
	char(*ids)[MEMBER_ID_MAX] = mem_alloc(TARGETS_MAX * sizeof(*ids));
	int n = load_targets_fill(c, own_dc, ids);
	uint32_t seen = 0;

	for (int i = 0; i < n; i++) {
		seen += (uint32_t)hash_str(str_from(ids[i]), 0);
		control_send(c, ids[i], m);
	}
	free(ids);
	return seen;
}

static void fact_add(struct load_relay *r, struct peer_loads *l, const struct endpoint_status *st,
		     bool repeat, int64_t now)
{
	struct peer_engine_info f = fact_from_load(peer_tag(st->info.name, 0), &st->load, now);
	uint32_t digest = peer_engine_info_digest(&f) + (uint32_t)f.role;

	if (r->facts[st->id].sent_digest != digest) {
		r->facts[st->id].sent_digest = digest;
		r->facts[st->id].changed_ms = now;
	}
	if ((repeat || now - r->facts[st->id].changed_ms < FACT_RESEND_MS) &&
	    l->fact_count < PEER_ENGINE_INFOS_MAX)
		l->facts[l->fact_count++] = f;
}

static bool has_fresh_report(const struct endpoint_status *st, int64_t now)
{
	return st->info.is_engine && st->listed && st->load.boot_id[0] && !st->load.is_mean &&
	       now - st->load.received_ms < RELAY_REPORT_MAX_AGE_MS;
}

static void load_add(struct peer_loads *l, const struct endpoint_status *st, int64_t now)
{
	struct peer_engine_info f = fact_from_load(0, &st->load, now);

	if (l->load_count == PEER_LOADS_MAX)
		return;
	l->loads[l->load_count++] = (struct peer_load){
		.tag = peer_tag(st->info.name, 0),
		.fact = peer_engine_info_digest(&f),
		.age_ms = f.age_ms,
		.role = st->load.role,
		.changing = st->load.changing,
		.prefill_backlog = to_u32((double)st->load.prefill_backlog),
		.decode_seqs = to_u32(st->load.decode_seqs),
	};
}

static void load_report_send(struct control *c, const struct endpoint_status *st, const bool *mine,
			     int count, int64_t now)
{
	struct peer_message *m = peer_message_create(PEER_LOAD_REPORT);
	struct load_relay *r = c->relay;
	uint32_t members;

	for (int i = 0; i < count; i++) {
		if (!mine[i] || !has_fresh_report(&st[i], now))
			continue;
		fact_add(r, m->u.loads, &st[i], false, now);
		load_add(m->u.loads, &st[i], now);
	}
	members = load_message_send(c, true, m);
	/* A new member has no facts, so send all of them again. */
	for (int i = 0; members != r->members && i < FLEET_ENDPOINTS_MAX; i++)
		r->facts[i].changed_ms = now;
	r->members = members;
	peer_message_destroy(m);
}

static void group_add(struct load_group *groups, int *n, const struct endpoint_status *st,
		      int64_t now)
{
	const struct endpoint_load *l = &st->load;
	struct load_group *g = NULL;

	for (int i = 0; i < *n && !g; i++) {
		if (groups[i].role == st->info.role && strcmp(groups[i].model, l->model) == 0)
			g = &groups[i];
	}
	if (!g && *n == PEER_MEAN_LOADS_MAX)
		return;
	if (!g) {
		g = &groups[(*n)++];
		g->role = st->info.role;
		memcpy(g->model, l->model, sizeof(g->model));
	}
	g->n++;
	g->age_ms += (double)(now - l->received_ms);
	g->prefill += (double)l->prefill_backlog;
	g->seqs += l->decode_seqs;
	g->slots += l->decode_slots;
	g->cost.prefill_tokens_per_s += l->cost.prefill_tokens_per_s;
	g->cost.step_base_us += l->cost.step_base_us;
	g->cost.step_per_seq_us += l->cost.step_per_seq_us;
	g->cost.kv_token_us += l->cost.kv_token_us;
}

static struct peer_mean_load group_mean(const struct load_group *g)
{
	struct engine_cost cost = {
		.prefill_tokens_per_s = g->cost.prefill_tokens_per_s / g->n,
		.step_base_us = g->cost.step_base_us / g->n,
		.step_per_seq_us = g->cost.step_per_seq_us / g->n,
		.kv_token_us = g->cost.kv_token_us / g->n,
	};
	struct peer_mean_load m = {
		.role = g->role,
		.count = to_u32(g->n),
		.age_ms = to_u32(g->age_ms / g->n),
		.prefill_backlog = to_u32(g->prefill / g->n),
		.decode_seqs = to_u32(g->seqs / g->n),
		.decode_slots = to_u32(g->slots / g->n),
		.cost = cost_to_peer(&cost),
	};

	memcpy(m.model, g->model, sizeof(m.model));
	return m;
}

static void load_summary_send(struct control *c, const struct endpoint_status *st, int count,
			      int64_t now)
{
	struct peer_message *m = peer_message_create(PEER_LOAD_SUMMARY);
	struct load_group *groups = mem_zalloc(PEER_MEAN_LOADS_MAX * sizeof(*groups));
	struct load_relay *r = c->relay;
	int own = 0;
	int n = 0;

	str_copy(m->u.loads->dc, sizeof(m->u.loads->dc), str_from(c->settings->instance.dc));
	for (int i = 0; i < count; i++) {
		if (strcmp(st[i].info.dc, c->settings->instance.dc) != 0 ||
		    !has_fresh_report(&st[i], now))
			continue;
		group_add(groups, &n, &st[i], now);
		fact_add(r, m->u.loads, &st[i],
			 r->round % FACT_REPEAT_ROUNDS == 0 &&
				 own == r->round / FACT_REPEAT_ROUNDS % r->engines,
			 now);
		own++;
	}
	r->engines = own + 1;
	for (int i = 0; i < n; i++)
		m->u.loads->means[m->u.loads->mean_count++] = group_mean(&groups[i]);
	if (n)
		load_message_send(c, false, m);
	free(groups);
	peer_message_destroy(m);
}

void control_load_publish(struct control *c, const struct endpoint_status *st, const bool *mine,
			  int count)
{
	int64_t now = clock_boot_ms();

	if (!c->relay) {
		c->relay = mem_zalloc(sizeof(*c->relay));
		c->relay->engines = 1;
	}
	load_report_send(c, st, mine, count, now);
	if (is_delegate(c))
		load_summary_send(c, st, count, now);
	c->relay->round++;
}

static void load_report_apply(struct control *c, const struct peer_loads *l,
			      const struct peer_load *in, int64_t now)
{
	char name[ENDPOINT_NAME_MAX];
	struct endpoint_load load;
	struct peer_engine_info known;

	if (!fleet_load_find_by_tag(c->fleet, in->tag, name, &load))
		return;
	known = fact_from_load(in->tag, &load, now);
	for (int i = 0; i < l->fact_count; i++) {
		if (l->facts[i].tag == in->tag)
			known = l->facts[i];
	}
	/* A report can only be used together with the fact that it refers to. */
	if (peer_engine_info_digest(&known) != in->fact)
		return;
	fact_to_load(&known, &load);
	load.received_ms = load.poll_sent_ms = now - in->age_ms;
	load.role = in->role;
	load.changing = in->changing;
	load.prefill_backlog = in->prefill_backlog;
	load.decode_seqs = (int)(in->decode_seqs & INT32_MAX);
	load.is_mean = false;
	fleet_load_update(c->fleet, name, &load);
	control_quarantine_handle_boot_id(c, name, load.boot_id, load.received_ms);
}

static void fact_receive(struct control *c, const struct peer_engine_info *f, int64_t now)
{
	char name[ENDPOINT_NAME_MAX];
	struct endpoint_load load;

	if (!fleet_load_find_by_tag(c->fleet, f->tag, name, &load) || !f->boot_id[0])
		return;
	fact_to_load(f, &load);
	load.received_ms = load.poll_sent_ms = now - f->age_ms;
	load.changing = false;
	load.is_mean = false;
	fleet_load_update(c->fleet, name, &load);
	control_quarantine_handle_boot_id(c, name, load.boot_id, load.received_ms);
}

static void mean_apply(struct control *c, const struct endpoint_status *st,
		       const struct peer_mean_load *m, int64_t now)
{
	struct endpoint_load load = st->load;

	load.received_ms = now - m->age_ms;
	load.role = m->role;
	load.changing = false;
	load.prefill_backlog = m->prefill_backlog;
	load.decode_seqs = (int)(m->decode_seqs & INT32_MAX);
	load.decode_slots = (int)(m->decode_slots & INT32_MAX);
	load.cost = cost_from_peer(&m->cost);
	load.is_mean = true;
	fleet_load_update(c->fleet, st->info.name, &load);
}

static void means_receive(struct control *c, const struct peer_loads *l, int64_t now)
{
	struct endpoint_status *st;
	int n;

	st = fleet_statuses_copy(c->fleet, &n);
	for (int i = 0; i < n; i++) {
		if (!st[i].info.is_engine || strcmp(st[i].info.dc, l->dc) != 0)
			continue;
		for (int k = 0; k < l->mean_count; k++) {
			if (l->means[k].role == st[i].info.role &&
			    strcmp(l->means[k].model, st[i].info.model) == 0)
				mean_apply(c, &st[i], &l->means[k], now);
		}
	}
	free(st);
}

/* The delegate forwards the summary of another data centre within its own data centre. */
static void load_summary_forward(struct control *c, const struct peer_message *m)
{
	struct peer_message *copy;

	if (strcmp(m->u.loads->dc, c->settings->instance.dc) == 0 || !is_delegate(c))
		return;
	copy = peer_message_create(PEER_LOAD_SUMMARY);
	*copy->u.loads = *m->u.loads;
	load_message_send(c, true, copy);
	peer_message_destroy(copy);
}

static bool member_is_in_own_dc(struct control *c, const char *id)
{
	const struct member *m;
	bool own;

	pthread_mutex_lock(&c->lock);
	m = member_find(c->members, id);
	own = m && strcmp(m->dc, c->settings->instance.dc) == 0;
	pthread_mutex_unlock(&c->lock);
	return own;
}

void control_on_load(struct control *c, const struct peer_message *m)
{
	const struct peer_loads *l = m->u.loads;
	int64_t now = clock_boot_ms();

	if (m->kind == PEER_LOAD_REPORT) {
		for (int i = 0; i < l->load_count; i++)
			load_report_apply(c, l, &l->loads[i], now);
		return;
	}
	/* For the own data centre there are reports of each engine. */
	if (strcmp(l->dc, c->settings->instance.dc) == 0)
		return;
	for (int i = 0; i < l->fact_count; i++)
		fact_receive(c, &l->facts[i], now);
	means_receive(c, l, now);
	if (!member_is_in_own_dc(c, m->sender))
		load_summary_forward(c, m);
}
