#include <stdio.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/standins/engine.h"

#define ORDER_BODY_MAX 65536

enum order_result {
	ORDER_ACCEPTED,
	ORDER_DUPLICATE,
	ORDER_STALE,
	ORDER_BUSY,
};

static bool order_was_accepted(const struct engine *e, const char *id)
{
	int first = e->order_count > ENGINE_ORDERS_MAX ? e->order_count - ENGINE_ORDERS_MAX : 0;

	for (int i = first; i < e->order_count; i++) {
		const struct engine_order *o = &e->orders[i % ENGINE_ORDERS_MAX];

		if (o->accepted && strcmp(o->id, id) == 0)
			return true;
	}
	return false;
}

static enum order_result order_check(struct engine *e, const struct engine_order *o)
{
	if (order_was_accepted(e, o->id))
		return ORDER_DUPLICATE;
	if (e->opt.check_fencing && o->fencing < e->fencing_seen) {
		e->refused_stale++;
		return ORDER_STALE;
	}
	if (o->fencing > e->fencing_seen)
		e->fencing_seen = o->fencing;
	if (e->current_order >= 0) {
		e->refused_busy++;
		return ORDER_BUSY;
	}
	return ORDER_ACCEPTED;
}

static void order_start(struct engine *e, const struct engine_order *o)
{
	if (o->fencing < e->fencing_accepted)
		e->conflicts++;
	else
		e->fencing_accepted = o->fencing;
	e->current_order = (e->order_count - 1) % ENGINE_ORDERS_MAX;
	e->order_done_us = mono_now_us() + e->opt.role_change_ms * 1000;
	e->stats.cut_requests += engine_seqs_abort(e, NULL);
	log_info("order", "id=%s kind=%s value=%s fencing=%lld", o->id, o->kind, o->value,
		 (long long)o->fencing);
}

static enum order_result order_apply(struct engine *e, struct engine_order *o)
{
	enum order_result result = order_check(e, o);

	if (result == ORDER_DUPLICATE)
		return result;
	o->accepted = result == ORDER_ACCEPTED;
	/* A burst of refused orders must not overwrite the running order in the bounded log. */
	if (!o->accepted && e->order_count % ENGINE_ORDERS_MAX == e->current_order)
		return result;
	e->orders[e->order_count++ % ENGINE_ORDERS_MAX] = *o;
	if (o->accepted)
		order_start(e, o);
	return result;
}

static bool order_parse(const json_t *req, struct engine_order *o)
{
	o->fencing = json_get_i64(req, "fencing", -1);
	o->at_ms = clock_wall_ms();
	if (o->fencing < 0 || !str_copy(o->id, sizeof(o->id), json_get_str(req, "order_id")) ||
	    !str_copy(o->kind, sizeof(o->kind), json_get_str(req, "kind")) ||
	    !str_copy(o->value, sizeof(o->value), json_get_str(req, "value")) ||
	    !str_copy(o->holder, sizeof(o->holder), json_get_str(req, "holder")))
		return false;
	if (!o->id[0] || !o->value[0])
		return false;
	if (strcmp(o->kind, "model") == 0)
		return true;
	return strcmp(o->kind, "role") == 0 &&
	       (strcmp(o->value, "prefill") == 0 || strcmp(o->value, "decode") == 0 ||
		strcmp(o->value, "mixed") == 0);
}

int engine_order_post(struct engine *e, struct mg_connection *conn)
{
	json_t *req = http_body_json(conn, ORDER_BODY_MAX);
	struct engine_order o = { 0 };
	enum order_result result;
	bool valid = req && order_parse(req, &o);

	json_decref(req);
	if (!valid)
		return http_reply_error(conn, 400, "invalid_request", "bad_order");
	pthread_mutex_lock(&e->lock);
	result = order_apply(e, &o);
	pthread_mutex_unlock(&e->lock);
	switch (result) {
	case ORDER_STALE:
		return http_reply_error(conn, 409, "not_run", "stale_fencing");
	case ORDER_BUSY:
		return http_reply_error(conn, 409, "not_run", "busy");
	case ORDER_ACCEPTED:
	case ORDER_DUPLICATE:
		break;
	}
	return http_reply(conn, 200, json_pack("{s:b}", "accepted", 1));
}

int engine_order_list(struct engine *e, struct mg_connection *conn)
{
	json_t *log = json_array();
	json_t *out;
	int first;

	pthread_mutex_lock(&e->lock);
	first = e->order_count > ENGINE_ORDERS_MAX ? e->order_count - ENGINE_ORDERS_MAX : 0;
	for (int i = first; i < e->order_count; i++) {
		const struct engine_order *o = &e->orders[i % ENGINE_ORDERS_MAX];

		json_array_append_new(log, json_pack("{s:s,s:I,s:s,s:s,s:s,s:b,s:I}", "order_id",
						     o->id, "fencing", (json_int_t)o->fencing,
						     "holder", o->holder, "kind", o->kind, "value",
						     o->value, "accepted", o->accepted, "at_ms",
						     (json_int_t)o->at_ms));
	}
	out = json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:o}", "role", e->role, "model", e->model,
			"current", e->current_order >= 0 ? e->orders[e->current_order].id : "",
			"last_done", e->last_done, "cut_requests",
			(json_int_t)e->stats.cut_requests, "conflicts", (json_int_t)e->conflicts,
			"refused_stale", (json_int_t)e->refused_stale, "refused_busy",
			(json_int_t)e->refused_busy, "log", log);
	pthread_mutex_unlock(&e->lock);
	return http_reply(conn, 200, out);
}

void engine_order_finish_due(struct engine *e)
{
	const struct engine_order *o;

	pthread_mutex_lock(&e->lock);
	if (e->current_order < 0)
		goto out;
	if (e->faults.crash_in_change)
		engine_crash("change");
	if (mono_now_us() < e->order_done_us)
		goto out;
	o = &e->orders[e->current_order];
	if (strcmp(o->kind, "role") == 0)
		str_copy(e->role, sizeof(e->role), str_from(o->value));
	else
		str_copy(e->model, sizeof(e->model), str_from(o->value));
	/* A change reloads the engine, which discards its cache and the exported KV handles. */
	engine_cache_clear(e);
	e->kv_count = 0;
	str_copy(e->last_done, sizeof(e->last_done), str_from(o->id));
	e->current_order = -1;
out:
	pthread_mutex_unlock(&e->lock);
}
