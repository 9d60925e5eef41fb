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

#define EVENTS_POLL_MS 1000
#define POLL_TIMEOUT_MS 2000
#define HOMES_MS 500
#define POLL_STEP_MS 50
#define POLLERS_MAX 128

/**
 * struct polled - polling state of one endpoint
 * @next_event: argument of the next GET /cache_events
 * @load: transfer in progress, 0 for none; likewise @events
 * @load_sent_ms: when it was sent
 * @mine: in a large region, this instance is its poller
 */
struct polled {
	char name[ENDPOINT_NAME_MAX];
	char boot_id[24];
	int64_t next_event;
	int64_t load_due_ms;
	int64_t load_sent_ms;
	int64_t events_due_ms;
	struct link_queue *load_queue;
	struct link_queue *events_queue;
	uint64_t load;
	uint64_t events;
	bool mine;
	struct buf load_body;
	struct buf events_body;
	bool seen;
};

/**
 * struct poller - state of the poll thread
 * @by_id: entry that an endpoint id had last, so that names are rarely compared
 * @engines: in the region's list
 * @ids: live instances of the own data centre, which share its engines; @self is the own index
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
	struct polled *by_id[FLEET_ENDPOINTS_MAX];
	struct polled *entries[FLEET_ENDPOINTS_MAX];
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

static void load_apply(struct dispatch *d, struct polled *p, const json_t *o)
{
	struct endpoint_load load = {
		.at_ms = clock_boot_ms(),
		.asked_ms = p->load_sent_ms,
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
	fleet_load(d->gate->fleet, p->name, &load);
	control_quarantine_seen(d->gate->control, p->name, load.boot_id, p->load_sent_ms);
}

static void events_apply(struct dispatch *d, struct polled *p, const json_t *o)
{
	const json_t *events = json_object_get(o, "events");
	struct str boot = json_get_str(o, "boot_id");
	int64_t expected = p->next_event;
	size_t i;
	json_t *ev;

	if (!json_is_object(o))
		return;
	if (!str_eq_cstr(boot, p->boot_id)) {
		fleet_cache_forget(d->gate->fleet, p->name);
		str_copy(p->boot_id, sizeof(p->boot_id), boot);
		p->next_event = 0;
		return;
	}
	json_array_foreach(events, i, ev) {
		int64_t seq = json_get_i64(ev, "seq", 0);
		struct str op = json_get_str(ev, "op");
		uint64_t piece = strtoull(json_get_cstr(ev, "piece", "0"), NULL, 16);

		/* A lost eviction would leave a wrong entry for good; a rebuilt index is only
		 * colder. */
		if (expected && seq > expected + 1)
			fleet_cache_forget(d->gate->fleet, p->name);
		expected = seq;
		fleet_cache_event(d->gate->fleet, p->name, piece, str_eq_cstr(op, "stored"));
	}
	p->next_event = json_get_i64(o, "next", expected);
}

static uint64_t poll_send(struct dispatch *d, struct link_queue *q, const char *name,
			  const char *url, const char *path)
{
	char full[192];
	struct link_request req = {
		.url = full,
		.address = settings_route(&d->gate->settings, name),
		.silence_ms = POLL_TIMEOUT_MS,
	};

	snprintf(full, sizeof(full), "%s%s", url, path);
	return link_start(d->link, q, &req);
}

/* Collects a finished answer. True when @transfer is over; @o is NULL when it failed. */
static bool poll_collect(struct link_queue *q, uint64_t *transfer, struct buf *body, json_t **o)
{
	struct link_event ev;
	bool over = false;
	int status = 0;

	*o = NULL;
	while (!over && link_wait(q, &ev, 0)) {
		if (ev.kind == LINK_DATA)
			buf_append_str(body, buf_str(&ev.data));
		if (ev.kind == LINK_END || ev.kind == LINK_FAILED)
			over = true;
		status = ev.kind == LINK_END ? ev.status : 0;
		link_event_clear(&ev);
	}
	if (!over)
		return false;
	if (status == 200)
		*o = json_parse(buf_str(body));
	buf_reset(body);
	*transfer = 0;
	return true;
}

static bool relays(const struct poller *po)
{
	return po->engines > RELAY_ENGINES_MIN;
}

static enum relay_poll poll_reason(struct poller *po, const struct polled *p,
				   const struct endpoint_status *st, int64_t now)
{
	struct relay_view v = {
		.engines = po->engines,
		.mine = p->mine,
		.unknown = !st->load.boot_id[0] || st->down,
		.report_ms = st->load.at_ms,
		.asked_ms = p->load_sent_ms,
	};

	if (relays(po) && !p->mine)
		v.awaited = control_quarantine_awaits(po->d->gate->control, p->name);
	return relay_decide(&v, &po->budget, now);
}

static void load_step(struct poller *po, struct polled *p, const struct endpoint_status *st,
		      int64_t now)
{
	struct dispatch *d = po->d;
	enum relay_poll reason;
	json_t *o;

	if (p->load && poll_collect(p->load_queue, &p->load, &p->load_body, &o)) {
		if (o)
			load_apply(d, p, o);
		json_decref(o);
	}
	if (p->load || now < p->load_due_ms)
		return;
	reason = poll_reason(po, p, st, now);
	p->load_due_ms = now + d->gate->settings.links.load_poll_ms;
	if (reason == RELAY_POLL_NONE)
		return;
	/* A report that is not relayed is of little use. */
	if (relays(po) && p->mine && p->load_due_ms < now + RELAY_MS)
		p->load_due_ms = now + RELAY_MS;
	metric_add(METRIC_LOAD_POLLS, 1);
	metric_add(METRIC_LOAD_POLLS_STALE, reason == RELAY_POLL_STALE);
	p->load_sent_ms = now;
	p->load = poll_send(d, p->load_queue, p->name, st->info.url, "/load");
}

static void events_step(struct poller *po, struct polled *p, const struct endpoint_status *st,
			int64_t now)
{
	struct dispatch *d = po->d;
	char path[64];
	json_t *o;

	if (p->events && poll_collect(p->events_queue, &p->events, &p->events_body, &o)) {
		if (o)
			events_apply(d, p, o);
		json_decref(o);
	}
	if (p->events || now < p->events_due_ms)
		return;
	if (relays(po) && !p->mine) {
		/* Evictions are not seen from now on. */
		if (p->next_event)
			fleet_cache_forget(d->gate->fleet, p->name);
		p->next_event = 0;
		return;
	}
	p->events_due_ms = now + EVENTS_POLL_MS;
	snprintf(path, sizeof(path), "/cache_events?after=%" PRId64, p->next_event);
	p->events = poll_send(d, p->events_queue, p->name, st->info.url, path);
}

static struct polled *polled_get(struct poller *po, int id, const char *name)
{
	struct polled *p = po->by_id[id];

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

static void polled_destroy(struct poller *po, struct polled *p)
{
	if (p->load)
		link_cancel(po->d->link, p->load_queue, p->load);
	if (p->events)
		link_cancel(po->d->link, p->events_queue, p->events);
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

static void polled_drop_unseen(struct poller *po, bool all)
{
	int kept = 0;

	for (int i = 0; i < po->count; i++) {
		if (po->entries[i]->seen && !all)
			po->entries[kept++] = po->entries[i];
		else
			polled_destroy(po, po->entries[i]);
	}
	po->count = kept;
}

static bool is_polled(const struct endpoint_status *st)
{
	return st->info.engine && st->info.url[0];
}

static bool is_mine(const struct poller *po, const struct endpoint_status *st)
{
	if (strcmp(st->info.dc, po->d->gate->settings.instance.dc) != 0)
		return false;
	return po->self >= 0 && relay_poller(st->info.name, (const char(*)[MEMBER_ID_MAX])po->ids,
					     po->id_count) == po->self;
}

static void engine_step(struct poller *po, const struct endpoint_status *st, int64_t now)
{
	struct polled *p = polled_get(po, st->id, st->info.name);

	if (!p)
		return;
	p->seen = true;
	load_step(po, p, st, now);
	events_step(po, p, st, now);
}

static void poll_all(struct poller *po)
{
	int64_t now = clock_boot_ms();
	struct endpoint_status *st;
	int count;

	st = fleet_statuses(po->d->gate->fleet, &count);
	po->engines = 0;
	for (int i = 0; i < count; i++)
		po->engines += is_polled(&st[i]);
	for (int i = 0; i < po->count; i++)
		po->entries[i]->seen = false;
	/* Engines of the own data centre come first where the budget of direct polls ends. */
	for (int far = 0; far < 2; far++) {
		for (int i = 0; i < count; i++) {
			bool own = strcmp(st[i].info.dc, po->d->gate->settings.instance.dc) == 0;

			if (is_polled(&st[i]) && own != far)
				engine_step(po, &st[i], now);
		}
	}
	free(st);
	polled_drop_unseen(po, false);
}

/* Chooses the pollers anew and relays the reports of the own engines. */
static void relay_step(struct poller *po)
{
	struct control *control = po->d->gate->control;
	int64_t now = clock_boot_ms();
	struct endpoint_status *st;
	bool *mine;
	int count;

	if (!relays(po) || now < po->relay_due_ms)
		return;
	po->relay_due_ms = now + RELAY_MS;
	po->id_count = control_dc_live(control, po->ids, POLLERS_MAX, &po->self);
	st = fleet_statuses(po->d->gate->fleet, &count);
	mine = mem_zalloc((size_t)(count + 1) * sizeof(*mine));
	for (int i = 0; i < count; i++) {
		struct polled *p = is_polled(&st[i]) ? po->by_id[st[i].id] : NULL;

		mine[i] = p && strcmp(p->name, st[i].info.name) == 0 && is_mine(po, &st[i]);
		if (p)
			p->mine = mine[i];
	}
	control_load_relay(control, st, mine, count);
	free(mine);
	free(st);
}

static void load_lag_apply(struct dispatch *d)
{
	struct config_scope scope = { .dc = d->gate->settings.instance.dc,
				      .wall_ms = clock_wall_ms() };
	const struct config *c;
	int64_t lag = 2000;

	rcu_read_lock();
	c = rcu_dereference(d->gate->config);
	if (c && config_setting(c, SETTING_LOAD_LAG_MS, &scope))
		lag = config_i64(c, SETTING_LOAD_LAG_MS, &scope);
	rcu_read_unlock();
	fleet_set_load_lag(d->gate->fleet, lag);
}

static void homes_apply(struct poller *po)
{
	struct dispatch *d = po->d;
	int64_t now = clock_boot_ms();
	int count;
	int rank;

	if (now < po->homes_due_ms)
		return;
	po->homes_due_ms = now + HOMES_MS;
	rank = control_rank(d->gate->control, &count);
	fleet_set_homes(d->gate->fleet, rank, count);
}

int poll_run(void *ctx, struct error *err)
{
	struct poller po = { .d = ctx, .self = -1 };

	while (!child_sleep_ms(POLL_STEP_MS)) {
		load_lag_apply(po.d);
		homes_apply(&po);
		poll_all(&po);
		relay_step(&po);
		child_account_cpu();
	}
	polled_drop_unseen(&po, true);
	return 0;
}
