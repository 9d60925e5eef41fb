#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/json.h"

#define ORDER_TIMEOUT_MS 1000

bool control_endpoint_find(struct control *c, const char *name, struct endpoint_info *out)
{
	int n;
	struct endpoint_status *all = fleet_statuses_copy(c->fleet, &n);
	bool found = false;

	for (int i = 0; i < n && !found; i++) {
		/* An endpoint that is only known from a stop has no address yet. */
		found = strcmp(all[i].info.name, name) == 0 && all[i].info.url[0];
		if (found)
			*out = all[i].info;
	}
	free(all);
	return found;
}

bool control_order_init(struct control *c, const struct endpoint_info *ep, const char *dc,
			struct order *order)
{
	static const char kinds[] = {
		[ORDER_ROLE] = 'o',
		[ORDER_MODEL] = 'm',
		[ORDER_WITHDRAW] = 'w',
	};
	char token[24];

	if (!control_lease_is_held(c, dc, &order->fencing))
		return false;
	/*
	 * An engine that does not check fencing tokens may still accept an order from an earlier
	 * lease holder. A withdrawal sends nothing to the engine.
	 */
	if (order->kind != ORDER_WITHDRAW && !ep->checks_fencing &&
	    !control_lease_is_settled(c, dc))
		return false;
	control_token_create(token);
	snprintf(order->id, sizeof(order->id), "%c-%s", kinds[order->kind], token);
	str_copy(order->endpoint, sizeof(order->endpoint), str_from(ep->name));
	return true;
}

static json_t *order_json(const struct control *c, const struct order *order)
{
	static const char *const roles[] = { "service", "mixed", "prefill", "decode" };
	bool role = order->kind == ORDER_ROLE;

	return json_pack(
		"{s:s,s:I,s:s,s:s,s:s}", "order_id", order->id, "fencing",
		(json_int_t)(mechanism_is_disabled(MECHANISM_FENCING) ? 1 : order->fencing),
		"holder", c->settings->instance.id, "kind", role ? "role" : "model", "value",
		role ? roles[order->u.role] : order->u.model);
}

static enum order_reply order_reply_parse(const struct http_call *call)
{
	json_t *o;
	const json_t *e;
	bool stale;

	if (call->status == 200)
		return ORDER_REPLY_ACCEPTED;
	if (call->status != 409)
		return ORDER_REPLY_NONE;
	o = json_parse(buf_str(&call->reply));
	e = json_object_get(o, "error");
	stale = strcmp(json_get_cstr(e ? e : o, "code", ""), "stale_fencing") == 0;
	json_decref(o);
	return stale ? ORDER_REPLY_STALE : ORDER_REPLY_BUSY;
}

static void order_call_init(struct control *c, struct http_call *call, char *url, size_t size,
			    const struct endpoint_info *ep)
{
	snprintf(url, size, "%s/orders", ep->url);
	call->url = url;
	call->connect_to = settings_route(c->settings, ep->name);
	call->timeout_ms = ORDER_TIMEOUT_MS;
}

/** struct lease_guard - lease that must be held when an order is sent; @lost when it was not */
struct lease_guard {
	struct control *control;
	const char *dc;
	int64_t fencing;
	bool lost;
};

static bool lease_guard_check(void *ctx)
{
	struct lease_guard *g = ctx;

	g->lost = !control_lease_is_held_with(g->control, g->dc, g->fencing) &&
		  !mechanism_is_disabled(MECHANISM_LEASE_CHECK);
	return !g->lost;
}

/*
 * The lease is checked after the connection is open. A holder that is paused after the check can
 * therefore only reach the engine process that ran while it held the lease. A restarted engine,
 * which has lost the orders that it accepted, is not at the other end of that connection.
 */
enum order_reply control_order_send(struct control *c, const struct endpoint_info *ep,
				    const struct order *order)
{
	struct lease_guard guard = { .control = c, .dc = ep->dc, .fencing = order->fencing };
	struct http_call call = { .method = "POST", .may_send = lease_guard_check, .ctx = &guard };
	enum order_reply reply = ORDER_REPLY_NONE;
	json_t *o = order_json(c, order);
	struct buf body = { 0 };
	char url[160];

	json_append(&body, o);
	json_decref(o);
	call.body = buf_str(&body);
	order_call_init(c, &call, url, sizeof(url), ep);
	event_record("order-sent", NULL, ep->name, NULL, "order=%s fencing=%" PRId64, order->id,
		     order->fencing);
	if (http_call(c->http, &call) == HTTP_REPLIED)
		reply = order_reply_parse(&call);
	else if (guard.lost)
		reply = ORDER_REPLY_STALE;
	buf_free(&body);
	buf_free(&call.reply);
	return reply;
}

enum order_reply control_order_poll(struct control *c, const struct endpoint_info *ep,
				    const char *order_id)
{
	struct http_call call = { .method = "GET" };
	enum order_reply reply = ORDER_REPLY_NONE;
	json_t *o = NULL;
	char url[160];

	order_call_init(c, &call, url, sizeof(url), ep);
	if (http_call(c->http, &call) == HTTP_REPLIED && call.status == 200)
		o = json_parse(buf_str(&call.reply));
	if (o) {
		if (strcmp(json_get_cstr(o, "last_done", ""), order_id) == 0)
			reply = ORDER_REPLY_DONE;
		else if (strcmp(json_get_cstr(o, "current", ""), order_id) == 0)
			reply = ORDER_REPLY_RUNNING;
		else
			reply = ORDER_REPLY_NOT_FOUND;
	}
	json_decref(o);
	buf_free(&call.reply);
	return reply;
}
