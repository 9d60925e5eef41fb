#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"
#include "ibisgate/daemon/control.h"
#include "ibisgate/state/relay.h"

#define EVENTS_POLL_INTERVAL_MS 1000
#define POLL_TIMEOUT_MS 2000
#define HOMES_INTERVAL_MS 500
#define POLL_LOOP_INTERVAL_MS 50
#define POLLERS_MAX 128

/**
 * struct polled_endpoint - polling state of one endpoint
 * @boot_id: boot id of the engine that the cache events are from
 * @next_event: argument of the next GET /cache_events
 * @load_due_ms: boot time of the next load poll
 * @load_sent_ms: boot time of the last load poll
 * @load_transfer: load poll in progress; 0 for none
 * @events_transfer: poll for cache events in progress; 0 for none
 * @is_assigned: in a large region, this instance polls the endpoint on behalf of the others
 * @seen: the endpoint is still to be polled
 */
struct polled_endpoint {
	char name[ENDPOINT_NAME_MAX];
	char boot_id[24];
	int64_t next_event;
	int64_t load_due_ms;
	int64_t load_sent_ms;
	int64_t events_due_ms;
	struct link_queue *load_queue;
	struct link_queue *events_queue;
	uint64_t load_transfer;
	uint64_t events_transfer;
	bool is_assigned;
	struct buf load_body;
	struct buf events_body;
	bool seen;
};

/**
 * struct poller - state of the poll thread
 * @engines: number of engines in the region
 * @ids: ids of the live instances of the own data centre, which share the polling of its engines
 * @self: index of this instance in @ids; -1 when it is not live
 * @by_id: entry that an endpoint id had last, so that names are rarely compared
 */
struct poller {
	struct dispatch *d;
	int64_t homes_due_ms;
	int64_t relay_due_ms;
	struct relay_budget budget;
	int engines;
	char ids[POLLERS_MAX][MEMBER_ID_MAX];
	int id_count;
	int self;
	struct polled_endpoint *by_id[FLEET_ENDPOINTS_MAX];
	struct polled_endpoint *entries[FLEET_ENDPOINTS_MAX];
	int count;
};

static enum endpoint_role role_parse(struct str s)
{
	if (str_eq_cstr(s, "prefill"))
		return ROLE_PREFILL;
	if (str_eq_cstr(s, "decode"))
		return ROLE_DECODE;
	if (str_eq_cstr(s, "mixed"))
		return ROLE_MIXED;
	return ROLE_SERVICE;
}

static void load_apply(struct dispatch *d, struct polled_endpoint *p, const json_t *o)
{
	struct endpoint_load load = {
		.received_ms = clock_boot_ms(),
		.poll_sent_ms = p->load_sent_ms,
		.prefill_backlog = json_get_i64(o, "prefill_backlog", 0),
		.decode_seqs = (int)json_get_i64(o, "decode_seqs", 0),
		.decode_slots = (int)json_get_i64(o, "decode_slots", 32),
		.role = role_parse(json_get_str(o, "role")),
		.changing = json_get_bool(o, "changing", false),
		.cost = {
			.prefill_tokens_per_s = json_get_double(o, "prefill_tokens_per_s", 10000),
			.step_base_us = json_get_double(o, "step_base_us", 10000),
			.step_per_seq_us = json_get_double(o, "step_per_seq_us", 200),
			.kv_token_us = json_get_double(o, "kv_token_us", 2),
		},
	};

	if (!json_is_object(o))
		return;
	str_copy(load.model, sizeof(load.model), json_get_str(o, "model"));
	str_copy(load.boot_id, sizeof(load.boot_id), json_get_str(o, "boot_id"));
	fleet_load_update(d->gate->fleet, p->name, &load);
	control_quarantine_handle_boot_id(d->gate->control, p->name, load.boot_id, p->load_sent_ms);
}

static void cache_events_apply(struct dispatch *d, struct polled_endpoint *p, const json_t *o)
{
	const json_t *events = json_object_get(o, "events");
	struct str boot = json_get_str(o, "boot_id");
	int64_t expected = p->next_event;
	size_t i;
	json_t *ev;

	if (!json_is_object(o))
		return;
	if (!str_eq_cstr(boot, p->boot_id)) {
		fleet_cache_clear(d->gate->fleet, p->name);
		str_copy(p->boot_id, sizeof(p->boot_id), boot);
		p->next_event = 0;
		return;
	}
	json_array_foreach(events, i, ev) {
		int64_t seq = json_get_i64(ev, "seq", 0);
		struct str op = json_get_str(ev, "op");
		uint64_t piece = strtoull(json_get_cstr(ev, "piece", "0"), NULL, 16);

		/*
		 * A lost eviction would leave a wrong entry for good. Rebuilding the index only
		 * costs some cache hits.
		 */
		if (expected && seq > expected + 1)
			fleet_cache_clear(d->gate->fleet, p->name);
		expected = seq;
		fleet_cache_event(d->gate->fleet, p->name, piece, str_eq_cstr(op, "stored"));
	}
	p->next_event = json_get_i64(o, "next", expected);
}

static uint64_t poll_send(struct dispatch *d, struct link_queue *q, const char *name,
			  const char *url, const char *path)
{
	char full_url[192];
	struct link_request req = {
		.url = full_url,
		.address = settings_route(&d->gate->settings, name),
		.silence_ms = POLL_TIMEOUT_MS,
	};

	snprintf(full_url, sizeof(full_url), "%s%s", url, path);
	return link_start(d->link, q, &req);
}

/* Receives a response. Returns true when @transfer is over; @o is NULL when it failed. */
static bool poll_collect(struct link_queue *q, uint64_t *transfer, struct buf *body, json_t **o)
{
	struct link_event ev;
	bool is_over = false;
	int status = 0;

	*o = NULL;
	while (!is_over && link_wait(q, &ev, 0)) {
		if (ev.kind == LINK_DATA)
			buf_append_str(body, buf_str(&ev.data));
		if (ev.kind == LINK_END || ev.kind == LINK_FAILED)
			is_over = true;
		status = ev.kind == LINK_END ? ev.status : 0;
		link_event_clear(&ev);
	}
	if (!is_over)
		return false;
	if (status == 200)
		*o = json_parse(buf_str(body));
	buf_reset(body);
	*transfer = 0;
	return true;
}

static bool relay_is_enabled(const struct poller *po)
{
	return po->engines > RELAY_ENGINES_MIN;
}

static enum relay_poll poll_reason(struct poller *po, const struct polled_endpoint *p,
				   const struct endpoint_status *st, int64_t now_ms)
{
	struct relay_view v = {
		.engines = po->engines,
		.is_poller = p->is_assigned,
		.report_unusable = !st->load.boot_id[0] || st->down,
		.report_ms = st->load.received_ms,
		.last_poll_ms = p->load_sent_ms,
	};

	if (relay_is_enabled(po) && !p->is_assigned)
		v.crash_unconfirmed =
			control_quarantine_has_suspicion(po->d->gate->control, p->name);
	return relay_poll_decide(&v, &po->budget, now_ms);
}

static void load_poll_step(struct poller *po, struct polled_endpoint *p,
			   const struct endpoint_status *st, int64_t now_ms)
{
	struct dispatch *d = po->d;
	enum relay_poll reason;
	json_t *o;

	if (p->load_transfer && poll_collect(p->load_queue, &p->load_transfer, &p->load_body, &o)) {
		if (o)
			load_apply(d, p, o);
		json_decref(o);
	}
	if (p->load_transfer || now_ms < p->load_due_ms)
		return;
	reason = poll_reason(po, p, st, now_ms);
	p->load_due_ms = now_ms + d->gate->settings.links.load_poll_ms;
	if (reason == RELAY_POLL_NONE)
		return;
	/* Polling more often than reports are relayed is of little use. */
	if (relay_is_enabled(po) && p->is_assigned && p->load_due_ms < now_ms + RELAY_INTERVAL_MS)
		p->load_due_ms = now_ms + RELAY_INTERVAL_MS;
	metric_add(METRIC_LOAD_POLLS, 1);
	metric_add(METRIC_LOAD_POLLS_STALE, reason == RELAY_POLL_STALE);
	p->load_sent_ms = now_ms;
	p->load_transfer = poll_send(d, p->load_queue, p->name, st->info.url, "/load");
}

static void cache_events_poll_step(struct poller *po, struct polled_endpoint *p,
				   const struct endpoint_status *st, int64_t now_ms)
{
	struct dispatch *d = po->d;
	char path[64];
	json_t *o;

	if (p->events_transfer &&
	    poll_collect(p->events_queue, &p->events_transfer, &p->events_body, &o)) {
		if (o)
			cache_events_apply(d, p, o);
		json_decref(o);
	}
	if (p->events_transfer || now_ms < p->events_due_ms)
		return;
	if (relay_is_enabled(po) && !p->is_assigned) {
		/* Evictions aren't received from now on, so the index can't be kept. */
		if (p->next_event)
			fleet_cache_clear(d->gate->fleet, p->name);
		p->next_event = 0;
		return;
	}
	p->events_due_ms = now_ms + EVENTS_POLL_INTERVAL_MS;
	snprintf(path, sizeof(path), "/cache_events?after=%" PRId64, p->next_event);
	p->events_transfer = poll_send(d, p->events_queue, p->name, st->info.url, path);
}

static struct polled_endpoint *polled_endpoint_get(struct poller *po, int id, const char *name)
{
	struct polled_endpoint *p = po->by_id[id];

	if (p && strcmp(p->name, name) == 0)
		return p;
	for (int i = 0; i < po->count; i++) {
		if (strcmp(po->entries[i]->name, name) == 0)
			return po->by_id[id] = po->entries[i];
	}
	if (po->count == FLEET_ENDPOINTS_MAX)
		return NULL;
	p = mem_zalloc(sizeof(*p));
	str_copy(p->name, sizeof(p->name), str_from(name));
	p->load_queue = link_queue_create();
	p->events_queue = link_queue_create();
	po->entries[po->count++] = p;
	po->by_id[id] = p;
	return p;
}

static void polled_endpoint_destroy(struct poller *po, struct polled_endpoint *p)
{
	if (p->load_transfer)
		link_cancel(po->d->link, p->load_queue, p->load_transfer);
	if (p->events_transfer)
		link_cancel(po->d->link, p->events_queue, p->events_transfer);
	for (int i = 0; i < FLEET_ENDPOINTS_MAX; i++) {
		if (po->by_id[i] == p)
			po->by_id[i] = NULL;
	}
	link_queue_destroy(p->load_queue);
	link_queue_destroy(p->events_queue);
	buf_free(&p->load_body);
	buf_free(&p->events_body);
	free(p);
}

static void polled_endpoints_drop_unseen(struct poller *po, bool all)
{
	int kept = 0;

	for (int i = 0; i < po->count; i++) {
		if (po->entries[i]->seen && !all)
			po->entries[kept++] = po->entries[i];
		else
			polled_endpoint_destroy(po, po->entries[i]);
	}
	po->count = kept;
}

static bool endpoint_is_polled(const struct endpoint_status *st)
{
	return st->info.is_engine && st->info.url[0];
}

static bool endpoint_is_assigned(const struct poller *po, const struct endpoint_status *st)
{
	if (strcmp(st->info.dc, po->d->gate->settings.instance.dc) != 0)
		return false;
	return po->self >= 0 && relay_poller(st->info.name, (const char(*)[MEMBER_ID_MAX])po->ids,
					     po->id_count) == po->self;
}

static void engine_poll_step(struct poller *po, const struct endpoint_status *st, int64_t now_ms)
{
	struct polled_endpoint *p = polled_endpoint_get(po, st->id, st->info.name);

	if (!p)
		return;
	p->seen = true;
	load_poll_step(po, p, st, now_ms);
	cache_events_poll_step(po, p, st, now_ms);
}

static void poll_all(struct poller *po)
{
	int64_t now_ms = clock_boot_ms();
	struct endpoint_status *st;
	int count;

	st = fleet_statuses_copy(po->d->gate->fleet, &count);
	po->engines = 0;
	for (int i = 0; i < count; i++)
		po->engines += endpoint_is_polled(&st[i]);
	for (int i = 0; i < po->count; i++)
		po->entries[i]->seen = false;
	/* When the budget of direct polls runs out, engines of the own data centre come first. */
	for (int is_remote = 0; is_remote < 2; is_remote++) {
		for (int i = 0; i < count; i++) {
			bool own = strcmp(st[i].info.dc, po->d->gate->settings.instance.dc) == 0;

			if (endpoint_is_polled(&st[i]) && own != is_remote)
				engine_poll_step(po, &st[i], now_ms);
		}
	}
	free(st);
	polled_endpoints_drop_unseen(po, false);
}

/* Updates which engines this instance polls, and relays their load reports. */
static void relay_step(struct poller *po)
{
	struct control *control = po->d->gate->control;
	int64_t now_ms = clock_boot_ms();
	struct endpoint_status *st;
	bool *mine;
	int count;

	if (!relay_is_enabled(po) || now_ms < po->relay_due_ms)
		return;
	po->relay_due_ms = now_ms + RELAY_INTERVAL_MS;
	po->id_count = control_dc_live_ids(control, po->ids, POLLERS_MAX, &po->self);
	st = fleet_statuses_copy(po->d->gate->fleet, &count);
	mine = mem_zalloc((size_t)(count + 1) * sizeof(*mine));
	for (int i = 0; i < count; i++) {
		struct polled_endpoint *p = endpoint_is_polled(&st[i]) ? po->by_id[st[i].id] : NULL;

		mine[i] = p && strcmp(p->name, st[i].info.name) == 0 &&
			  endpoint_is_assigned(po, &st[i]);
		if (p)
			p->is_assigned = mine[i];
	}
	control_load_publish(control, st, mine, count);
	free(mine);
	free(st);
}

static void load_lag_apply(struct dispatch *d)
{
	struct config_scope scope = { .dc = d->gate->settings.instance.dc,
				      .wall_ms = clock_wall_ms() };
	const struct config *c;
	int64_t lag_ms = 2000;

	rcu_read_lock();
	c = rcu_dereference(d->gate->config);
	if (c && config_setting(c, SETTING_LOAD_LAG_MS, &scope))
		lag_ms = config_i64(c, SETTING_LOAD_LAG_MS, &scope);
	rcu_read_unlock();
	fleet_set_load_lag(d->gate->fleet, lag_ms);
}

static void homes_apply(struct poller *po)
{
	struct dispatch *d = po->d;
	int64_t now_ms = clock_boot_ms();
	int count;
	int rank;

	if (now_ms < po->homes_due_ms)
		return;
	po->homes_due_ms = now_ms + HOMES_INTERVAL_MS;
	rank = control_instance_rank(d->gate->control, &count);
	fleet_set_homes(d->gate->fleet, rank, count);
}

int poll_run(void *ctx, struct error *err)
{
	struct poller po = { .d = ctx, .self = -1 };

	while (!child_sleep_ms(POLL_LOOP_INTERVAL_MS)) {
		load_lag_apply(po.d);
		homes_apply(&po);
		poll_all(&po);
		relay_step(&po);
		child_account_cpu();
	}
	polled_endpoints_drop_unseen(&po, true);
	return 0;
}
