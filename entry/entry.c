#include <errno.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/platform/store.h"
#include "internal.h"

/* Period of the checks that no event triggers, in milliseconds. */
#define TICK_MS 100

/* A tick that is later than this means that the process was paused, in milliseconds. */
#define TICK_LATE_MS 100

/* How often the settings file is checked for changes, in milliseconds. */
#define SETTINGS_CHECK_MS 1000

/*
 * Delay before a freshly started instance accepts connections, in milliseconds; it ends early once
 * the configuration and the endpoint list are loaded. Both arrive within about 100 ms (logs of
 * nieve-alta scale-2), while a refused caller would retry only later than that.
 */
#define START_ACCEPT_DELAY_MS 300
#define START_POLL_MS 10

/*
 * Where the store may have come back from an older copy, an instance that starts waits this long
 * for a newer configuration that another one has, in milliseconds. Others send it once this one's
 * heartbeat has told them its own.
 */
#define START_CONFIG_WAIT_MS 1000

/*
 * Once a stopping instance accepts no connections, one without a request is closed after this time,
 * in milliseconds; the first request of one that was just accepted may be on its way.
 */
#define STOP_IDLE_MS 300

/* Idle timeout of pooled connections to endpoints and to the store, in milliseconds. */
#define ENDPOINT_IDLE_MS 8000
#define STORE_IDLE_MS 20000

/*
 * Idle connections kept to one endpoint: this maximum for each instance, and for all instances
 * together this share of the connections that the endpoint accepts. Each call that may run only
 * once leaves an idle connection behind.
 */
#define ENDPOINT_IDLE_CONNS_MAX 6
#define ENDPOINT_IDLE_CONNS_SHARE 0.3

/* TCP user timeout of connections to the store, in milliseconds. */
#define USER_TIMEOUT_MS 2000

#define BACKLOG 512

/* Instances with the lowest names, which may order endpoints, that demand is told to. */
#define DEMAND_READERS 3

/*
 * Interval between two reports of the engine time of organisations, time after the last wait for
 * room until which they are sent, in milliseconds, and maximum number of their values.
 */
#define ORG_LOAD_INTERVAL_MS 500
#define ROOM_SHORT_MS 3000
#define ORG_LOAD_VALUES_MAX 1024

int entry_dc_index(struct entry *e, const char *name)
{
	for (int i = 0; i < e->dc_count; i++) {
		if (strcmp(e->dcs[i], name) == 0)
			return i;
	}
	if (e->dc_count == ENTRY_DCS_MAX)
		return ENTRY_DCS_MAX;
	str_copy(e->dcs[e->dc_count], sizeof(e->dcs[0]), str_from(name));
	return e->dc_count++;
}

struct dc_health *entry_dc_health(struct entry *e, int dc)
{
	return &e->dc_health[dc < ENTRY_DCS_MAX ? dc : ENTRY_DCS_MAX];
}

/*
 * Whether this instance starts with a configuration of the store's copy that others have left
 * behind, or hasn't heard yet whether they have.
 */
static bool starts_behind(const struct entry *e)
{
	int64_t waited_ms = clock_boot_ms() - e->accept_delay_begun_ms;
	int64_t newest;

	if (!e->accept_is_delayed || !e->era.number || !e->table)
		return false;
	newest = peers_newest_config(e->peers);
	if (newest < 0)
		return waited_ms < START_ACCEPT_DELAY_MS;
	return e->table->version < newest && waited_ms < START_CONFIG_WAIT_MS;
}

bool entry_is_ready(const struct entry *e)
{
	return e->table && e->endpoints_loaded && !e->stopping && !starts_behind(e);
}

static void ready_log_change(struct entry *e)
{
	bool ready = entry_is_ready(e);

	if (ready == e->logged_ready)
		return;
	e->logged_ready = ready;
	log_info("ready", "ready=%d config=%lld endpoints=%d stopping=%d", ready,
		 e->table ? (long long)e->table->version : 0LL, e->directory.count, e->stopping);
}

/*
 * Instances that the store does not serve may get a version from each other only: one that came
 * from a peer is passed on at once.
 */
static void config_history_record(struct entry *e, int64_t version, bool from_peer)
{
	int64_t at_ms = clock_boot_ms();

	if (from_peer)
		at_ms -= config_spread_delay_ms(store_watch_interval_ms(e->watches[0]),
						e->settings.bounds.change_ms);
	config_history_add(&e->config_history, version, at_ms);
}

int entry_config_set(struct entry *e, struct str text, const char *peer, struct error *err)
{
	struct routing_table *t = store_config_decode(text, err);

	if (!t)
		return -1;
	if (e->table && t->version <= e->table->version) {
		routing_table_put(t);
		return 0;
	}
	e->config_text.len = 0;
	buf_append_str(&e->config_text, text);
	log_info("config", "version=%lld former=%lld rules=%d services=%d organisations=%d peer=%s",
		 (long long)t->version, e->table ? (long long)e->table->version : 0LL,
		 t->rule_count, t->service_count,
		 t->organisations ? organisations_count(t->organisations) : 0, peer ? peer : "-");
	routing_table_put(e->table);
	e->table = t;
	services_update_memory(e);
	config_history_record(e, t->version, peer);
	metric_set(METRIC_CONFIG_VERSION, t->version);
	return 0;
}

/*
 * Budgets shared by all instances are divided by the largest number of instances ever seen:
 * instances that are unreachable at the moment keep sending.
 */
struct extra_budget_limits entry_extra_limits(const struct entry *e)
{
	int max_instances = peers_max_instances(e->peers);

	return (struct extra_budget_limits){
		.window_ms = e->settings.bounds.retry_window_ms,
		.ratio = e->settings.bounds.retry_ratio,
		.fixed = e->settings.bounds.retry_fixed,
		.instances = max_instances > e->settings.bounds.instances_min
				     ? max_instances
				     : e->settings.bounds.instances_min,
	};
}

static int64_t settings_mtime(const char *path)
{
	struct stat st;

	if (!path[0] || stat(path, &st) < 0)
		return 0;
	return (int64_t)st.st_mtim.tv_sec * 1000 + st.st_mtim.tv_nsec / 1000000;
}

/*
 * Applies the settings that can change without affecting connections. An invalid file changes
 * nothing.
 */
static void settings_reload(struct entry *e)
{
	struct settings *fresh;
	struct error err = { 0 };
	int64_t changed = settings_mtime(e->settings_path);

	if (!changed || changed == e->settings_mtime_ms)
		return;
	e->settings_mtime_ms = changed;
	fresh = mem_zalloc(sizeof(*fresh));
	if (settings_load(fresh, e->settings_path, stderr, &err) < 0) {
		log_warn("settings-kept", "file=%s error=\"%s\"", e->settings_path, err.text);
	} else {
		e->settings.bounds = fresh->bounds;
		e->settings.engines = fresh->engines;
		e->settings.place = fresh->place;
		e->settings.instance.log_level = fresh->instance.log_level;
		log_info("settings-reloaded", "file=%s", e->settings_path);
	}
	free(fresh);
}

/* Connections that the kernel has already accepted would be reset with the listener. */
static void listener_close(struct entry *e)
{
	evutil_socket_t fd;

	if (!e->http_listener)
		return;
	while ((fd = accept4(evconnlistener_get_fd(e->http_listener), NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		caller_accept(e->http_listener, fd, NULL, 0, e);
	evconnlistener_free(e->http_listener);
	e->http_listener = NULL;
}

static void shutdown_step(struct entry *e, int64_t now)
{
	bool accepts = planned_stop_accepts(&e->stop, now);

	if (!accepts) {
		listener_close(e);
		callers_close_idle(e, STOP_IDLE_MS, now);
	}
	if (planned_stop_answers_all(&e->stop, now))
		exchanges_expire(e, "stopping");
	if (planned_stop_is_over(&e->stop, now) ||
	    (!accepts && e->exchange_count == 0 && !callers_are_active(e)))
		event_base_loopbreak(e->base);
}

static void stop_timer_start(struct entry *e)
{
	int64_t now = clock_boot_ms();
	int64_t next = planned_stop_next_ms(&e->stop, now);
	struct timeval tv;

	if (next < 0)
		return;
	tv = (struct timeval){ .tv_sec = (next - now) / 1000,
			       .tv_usec = (next - now) % 1000 * 1000 };
	event_add(e->stop_timer, &tv);
}

/* The last steps come shortly before the process is killed, too soon to wait for a tick. */
static void on_stop_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct entry *e = ctx;

	shutdown_step(e, clock_boot_ms());
	stop_timer_start(e);
}

void entry_stop(struct entry *e, const char *why)
{
	if (e->stopping)
		return;
	e->stopping = true;
	e->stop = (struct planned_stop){ .begun_ms = clock_boot_ms(),
					 .grace_ms = e->settings.bounds.stop_grace_ms };
	stop_timer_start(e);
	log_info("stopping", "cause=%s requests=%d", why, e->exchange_count);
	ready_log_change(e);
}

static void on_signal(evutil_socket_t number, short what, void *ctx)
{
	struct entry *e = ctx;

	if (number == SIGHUP) {
		e->settings_mtime_ms = 0;
		settings_reload(e);
		return;
	}
	entry_stop(e, strsignal((int)number));
}

static void on_org_load_report(void *ctx, const struct report_source *from, const uint64_t *values,
			       int count, int64_t now_ms)
{
	struct entry *e = ctx;

	if (!from->is_remote && e->table && e->table->organisations)
		org_load_apply(e->org_load, e->table->organisations, values, count, now_ms);
}

/* Tells the instances of this data centre which organisations use the engines, if room is short. */
static void org_load_share(struct entry *e, int64_t now)
{
	uint64_t values[ORG_LOAD_VALUES_MAX];
	int count;

	if (!e->org_load || now - e->room_short_ms > ROOM_SHORT_MS ||
	    now - e->org_load_reported_ms < ORG_LOAD_INTERVAL_MS)
		return;
	e->org_load_reported_ms = now;
	count = org_load_report(e->org_load, values, ORG_LOAD_VALUES_MAX);
	if (count)
		peers_send_report(e->peers, REPORT_SHARES, REPORT_TO_DC, values, count);
}

/* The smallest connection limit of any service decides; at least one idle connection is kept. */
static void endpoint_pool_resize(struct entry *e)
{
	int max_idle = ENDPOINT_IDLE_CONNS_MAX;

	for (int i = 0; e->table && i < e->table->service_count; i++) {
		int conn_limit = e->table->services[i].max_connections;
		int share = (int)(ENDPOINT_IDLE_CONNS_SHARE * conn_limit /
				  peers_max_instances(e->peers));

		if (conn_limit > 0 && share < max_idle)
			max_idle = share > 1 ? share : 1;
	}
	http_client_set_max_idle(e->endpoint_client, max_idle);
}

/*
 * Time for which the process didn't run before this tick. What arrived meanwhile is still in the
 * sockets, so that time is no silence of an endpoint. Only the first of several late ticks counts,
 * so that a machine that stays slow still finds silent endpoints.
 */
static int64_t tick_pause_ms(struct entry *e, int64_t now)
{
	int64_t late_ms = e->ticked_ms ? now - e->ticked_ms - TICK_MS : 0;
	bool was_late = e->tick_was_late;

	e->ticked_ms = now;
	e->tick_was_late = late_ms > TICK_LATE_MS;
	return e->tick_was_late && !was_late ? late_ms : 0;
}

static struct demand_totals service_demand(void *ctx, struct str name)
{
	const struct stage_demand *d = &service_find(ctx, name)->demand;

	return (struct demand_totals){ .prefill_ms = d->prefill_total,
				       .decode_ms = d->decode_total,
				       .requests = d->requests_total };
}

static void on_demand_report(void *ctx, const struct report_source *from, const uint64_t *values,
			     int count, int64_t now)
{
	struct entry *e = ctx;

	workers_add_report(e->workers, from->id, values, count, now);
	/* In a large deployment, only the delegates reach the other data centres. */
	if (peers_is_delegate(e->peers))
		peers_send_report_first(e->peers, REPORT_DEMAND,
					from->is_remote ? REPORT_TO_DC : REPORT_TO_REMOTE,
					DEMAND_READERS, "", values, count);
}

static void duties_on_send(void *ctx, const struct duty_message *m)
{
	static const enum report_scope scopes[] = {
		[DUTY_TO_DC] = REPORT_TO_DC,
		[DUTY_TO_REMOTE] = REPORT_TO_REMOTE,
		[DUTY_TO_ALL] = REPORT_TO_ALL,
	};
	struct entry *e = ctx;

	peers_send_report_first(e->peers, m->topic, scopes[m->scope], m->first, m->also, m->values,
				m->count);
}

static bool duties_on_ask_delegate(void *ctx)
{
	const struct entry *e = ctx;

	return peers_is_delegate(e->peers);
}

static struct str duties_on_ask_name(void *ctx, uint64_t tag)
{
	const struct entry *e = ctx;
	const struct organisation *o = NULL;

	if (e->table && e->table->organisations)
		o = organisations_by_tag(e->table->organisations, tag);
	return o ? str_from(o->name) : (struct str){ 0 };
}

static void duties_on_report(struct entry *e, enum report_topic topic,
			     const struct report_source *from, const uint64_t *values, int count,
			     int64_t now)
{
	duties_hear(e->duties, topic,
		    &(struct duty_sender){ .id = from->id,
					   .incarnation = from->incarnation,
					   .is_remote = from->is_remote },
		    values, count, now);
}

static void on_duties_report(void *ctx, const struct report_source *from, const uint64_t *values,
			     int count, int64_t now)
{
	duties_on_report(ctx, REPORT_DUTIES, from, values, count, now);
}

static void on_usage_report(void *ctx, const struct report_source *from, const uint64_t *values,
			    int count, int64_t now)
{
	duties_on_report(ctx, REPORT_USAGE, from, values, count, now);
}

/* Takes part in the duties that the platform asks for, if any. */
static void duties_start(struct entry *e)
{
	const struct settings *s = &e->settings;
	bool reports_usage =
		api_has_duty(s->duties.kinds, API_DUTY_USAGE) && s->duties.usage_window_s > 0;
	bool orders_workers =
		s->duties.order_endpoints && api_has_duty(s->duties.kinds, API_DUTY_WORKERS);
	struct duties_options o = {
		.usage_window_ms = reports_usage ? (int64_t)(1000 * s->duties.usage_window_s) : 0,
		.usage_late_ms = (int64_t)(1000 * s->duties.usage_late_s),
	};

	if (!s->duties.api[0] || !(reports_usage || orders_workers))
		return;
	entry_duty_host(e, &o.host);
	o.host.send = duties_on_send;
	o.host.is_delegate = duties_on_ask_delegate;
	o.host.organisation_name = duties_on_ask_name;
	e->duties = duties_create(&o);
	peers_set_report_reader(e->peers, REPORT_DUTIES, on_duties_report, e);
	peers_set_report_reader(e->peers, REPORT_USAGE, on_usage_report, e);
	if (!orders_workers)
		return;
	e->workers = workers_create(&(struct workers_options){
		.self = s->instance.id,
		.dc = s->instance.dc,
		.duty = duties_lease(e->duties),
		.calls = duties_calls(e->duties),
	});
	peers_set_report_reader(e->peers, REPORT_DEMAND, on_demand_report, e);
}

static void workers_tick(struct entry *e, int64_t now)
{
	uint64_t values[DEMAND_VALUES_MAX];
	int count;

	workers_step(e->workers,
		     &(struct workers_view){ .table = e->table,
					     .directory = &e->directory,
					     .demand = service_demand,
					     .ctx = e },
		     now);
	count = workers_report(e->workers, values, now);
	if (count)
		peers_send_report_first(e->peers, REPORT_DEMAND, REPORT_TO_ALL, DEMAND_READERS, "",
					values, count);
}

static void duties_tick(struct entry *e, int64_t now)
{
	if (!e->duties || !e->table)
		return;
	if (e->workers)
		workers_tick(e, now);
	duties_step(e->duties,
		    &(struct duties_view){ .rank = peers_rank(e->peers),
					   .counts_usage = e->table->organisations != NULL,
					   .orders_workers =
						   e->workers && workers_are_wanted(e->workers),
					   .stopping = e->stopping },
		    now);
}

void entry_count_usage(struct entry *e, const struct organisation *organisation, int64_t at_ms)
{
	if (e->duties && organisation)
		duties_count(e->duties, organisation->tag, at_ms);
}

/* Tries again to accept; a listener that still can't is paused again. */
static void listeners_resume(struct entry *e)
{
	e->listeners_paused = false;
	if (e->http_listener && !e->accept_is_delayed)
		evconnlistener_enable(e->http_listener);
	evconnlistener_enable(e->ready_listener);
	if (e->metrics_listener)
		evconnlistener_enable(e->metrics_listener);
}

static void on_tick(evutil_socket_t fd, short what, void *ctx)
{
	struct entry *e = ctx;
	int64_t now = clock_boot_ms();
	int64_t pause_ms = tick_pause_ms(e, now);

	directory_apply_deferred(&e->directory, now);
	metric_set(METRIC_PARTS_REFUSED, suspect_parts_count_refused(e->suspect_parts, now));
	metric_set(METRIC_ENDPOINTS_MISSING, directory_count_missing(&e->directory));
	for (int i = 0; i < SHARING_STORE_TABLES; i++)
		store_watch_step(e->watches[i], now);
	if (pause_ms)
		exchanges_extend_silence(e, pause_ms);
	else
		exchanges_check_timeouts(e, now);
	if (e->listeners_paused)
		listeners_resume(e);
	callers_check_timeouts(e, now);
	callers_check_descriptors(e);
	callers_check_memory(e);
	ready_log_change(e);
	services_update_locality(e);
	org_load_share(e, now);
	cache_sync_step(e);
	endpoint_speeds_step(e, now);
	stages_step(e->stages, now);
	duties_tick(e, now);
	if (now - e->settings_checked_ms >= SETTINGS_CHECK_MS) {
		e->settings_checked_ms = now;
		endpoint_pool_resize(e);
		settings_reload(e);
	}
	if (e->stopping)
		shutdown_step(e, now);
}

static bool listen_address_parse_any_port(const char *address, struct http_address *a)
{
	char text[64];
	size_t len = strlen(address);

	if (len < 3 || strcmp(address + len - 2, ":0") != 0 || len >= sizeof(text))
		return false;
	str_copy(text, sizeof(text), (struct str){ .data = address, .len = len - 1 });
	text[len - 1] = '1';
	text[len] = '\0';
	if (!http_address_parse(str_from(text), a))
		return false;
	a->port = 0;
	return true;
}

static int listener_port(const struct evconnlistener *l)
{
	struct sockaddr_in sin = { 0 };
	socklen_t len = sizeof(sin);

	if (!l || getsockname(evconnlistener_get_fd((struct evconnlistener *)l),
			      (struct sockaddr *)&sin, &len) < 0)
		return 0;
	return ntohs(sin.sin_port);
}

static struct evconnlistener *listener_create(struct entry *e, const char *address,
					      evconnlistener_cb cb, struct error *err)
{
	struct http_address a;
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct evconnlistener *l;

	/* With port 0 the kernel chooses a port, which is printed at startup. */
	if (!http_address_parse(str_from(address), &a) &&
	    !listen_address_parse_any_port(address, &a)) {
		error_set(err, ERROR_FRONT, ENTRY_LISTEN, "%s: expected IP:PORT", address);
		return NULL;
	}
	sin.sin_port = htons(a.port);
	sin.sin_addr.s_addr = htonl(a.ip);
	l = evconnlistener_new_bind(
		e->base, cb, e, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
		BACKLOG, (struct sockaddr *)&sin, sizeof(sin));
	if (!l)
		error_set(err, ERROR_FRONT, ENTRY_LISTEN, "cannot listen on %s: %s", address,
			  strerror(errno));
	else
		evconnlistener_set_error_cb(l, listener_failed);
	return l;
}

static int listeners_create(struct entry *e, struct error *err)
{
	e->http_listener = listener_create(e, e->settings.http.listen, caller_accept, err);
	if (!e->http_listener)
		return -1;
	e->ready_listener = listener_create(e, e->settings.ready.listen, ready_accept, err);
	if (!e->ready_listener)
		return -1;
	if (!e->settings.metrics.listen[0])
		return 0;
	e->metrics_listener = listener_create(e, e->settings.metrics.listen, metrics_accept, err);
	return e->metrics_listener ? 0 : -1;
}

/* Accepts callers once requests can be placed, or after START_ACCEPT_DELAY_MS. */
static void on_start_check(evutil_socket_t fd, short what, void *ctx)
{
	struct entry *e = ctx;

	if (starts_behind(e) ||
	    (!(e->table && e->endpoints_loaded) &&
	     clock_boot_ms() - e->accept_delay_begun_ms < START_ACCEPT_DELAY_MS))
		return;
	event_del(e->accept_delay_timer);
	e->accept_is_delayed = false;
	if (e->http_listener)
		evconnlistener_enable(e->http_listener);
}

static void start_delay_accept(struct entry *e)
{
	struct timeval period = { .tv_usec = START_POLL_MS * 1000 };

	/* Until then, connections wait in the kernel's listen backlog. */
	evconnlistener_disable(e->http_listener);
	e->accept_is_delayed = true;
	e->accept_delay_begun_ms = clock_boot_ms();
	e->accept_delay_timer = event_new(e->base, -1, EV_PERSIST, on_start_check, e);
	event_add(e->accept_delay_timer, &period);
}

static void start_signals(struct entry *e)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

	for (int i = 0; i < 3; i++) {
		e->signals[i] = evsignal_new(e->base, numbers[i], on_signal, e);
		event_add(e->signals[i], NULL);
	}
}

struct entry *entry_create(const struct settings *settings, const char *path, struct error *err)
{
	struct entry *e = mem_zalloc(sizeof(*e));
	struct timeval tick = { .tv_usec = TICK_MS * 1000 };

	e->settings = *settings;
	e->self_hash = hash_str(str_from(settings->instance.id), 0);
	e->started_ms = clock_boot_ms();
	e->started_wall_ms = clock_wall_ms();
	if (path)
		str_copy(e->settings_path, sizeof(e->settings_path), str_from(path));
	e->settings_mtime_ms = settings_mtime(e->settings_path);
	CDS_INIT_LIST_HEAD(&e->endpoints);
	CDS_INIT_LIST_HEAD(&e->services);
	CDS_INIT_LIST_HEAD(&e->callers);
	CDS_INIT_LIST_HEAD(&e->probes);
	memory_ledger_init(&e->ledger, settings->machine.memory_mb);
	e->descriptors = settings_descriptors(settings);
	CDS_INIT_LIST_HEAD(&e->exchange_list);
	e->suspect_parts = suspect_parts_create();
	directory_init(&e->directory, endpoint_changed, e);
	entry_dc_index(e, settings->instance.dc);
	e->base = event_base_new();
	if (!e->base) {
		error_set(err, ERROR_FRONT, ENTRY_LOOP, "cannot create the event loop");
		goto fail;
	}
	e->memory_event = event_new(e->base, -1, 0, callers_on_memory, e);
	e->endpoint_client = http_client_create(
		e->base,
		&(struct http_client_options){ .idle_ms = ENDPOINT_IDLE_MS,
					       .max_idle_per_address = ENDPOINT_IDLE_CONNS_MAX });
	e->store_client = http_client_create(
		e->base,
		&(struct http_client_options){ .idle_ms = STORE_IDLE_MS,
					       .max_idle_per_address = ENDPOINT_IDLE_CONNS_MAX,
					       .user_timeout_ms = USER_TIMEOUT_MS });
	if (listeners_create(e, err) < 0)
		goto fail;
	e->peers = peers_create(e, err);
	if (!e->peers)
		goto fail;
	if (settings->admission.yield) {
		e->org_load = org_load_create();
		peers_set_report_reader(e->peers, REPORT_SHARES, on_org_load_report, e);
	}
	peers_set_report_reader(e->peers, REPORT_SPEED, endpoint_speeds_apply, e);
	peers_set_report_reader(e->peers, REPORT_CACHE, cache_report_apply, e);
	e->stop_timer = evtimer_new(e->base, on_stop_timer, e);
	start_signals(e);
	start_delay_accept(e);
	e->tick = event_new(e->base, -1, EV_PERSIST, on_tick, e);
	event_add(e->tick, &tick);
	e->stages = stages_create(e);
	duties_start(e);
	e->watches[0] = store_watch_create(e, STORE_TABLE_OPERATOR);
	e->watches[1] = store_watch_create(e, STORE_TABLE_ENDPOINTS);
	return e;
fail:
	entry_destroy(e);
	return NULL;
}

void entry_set_explainer(struct entry *e, entry_explain_fn explain)
{
	e->explain = explain;
}

void entry_run(struct entry *e)
{
	printf("listening http=%d ready=%d metrics=%d peer=%s\n", listener_port(e->http_listener),
	       listener_port(e->ready_listener), listener_port(e->metrics_listener),
	       strchr(e->settings.peer.listen, ':') + 1);
	fflush(stdout);
	log_info("started", "id=%s dc=%s region=%s front=%s ready=%s store=%s",
		 e->settings.instance.id, e->settings.instance.dc, e->settings.instance.region,
		 e->settings.http.listen, e->settings.ready.listen, e->settings.platform.url);
	event_base_dispatch(e->base);
	log_info("stopped", "requests=%d", e->exchange_count);
}

static void services_destroy(struct entry *e)
{
	struct service *s, *next;

	cds_list_for_each_entry_safe(s, next, &e->services, link) {
		buf_free(&s->name);
		free(s);
	}
}

void entry_destroy(struct entry *e)
{
	if (!e)
		return;
	/* Calls that fail during the teardown below must not start new ones. */
	e->stopping = true;
	callers_destroy(e);
	probes_destroy(e);
	stages_destroy(e->stages);
	workers_destroy(e->workers);
	duties_destroy(e->duties);
	peers_destroy(e->peers);
	store_watch_destroy(e->watches[0]);
	store_watch_destroy(e->watches[1]);
	if (e->endpoint_client)
		endpoints_destroy(e);
	services_destroy(e);
	directory_free(&e->directory);
	suspect_parts_destroy(e->suspect_parts);
	org_load_destroy(e->org_load);
	http_client_destroy(e->endpoint_client);
	http_client_destroy(e->store_client);
	if (e->http_listener)
		evconnlistener_free(e->http_listener);
	if (e->ready_listener)
		evconnlistener_free(e->ready_listener);
	if (e->metrics_listener)
		evconnlistener_free(e->metrics_listener);
	for (int i = 0; i < 3; i++) {
		if (e->signals[i])
			event_free(e->signals[i]);
	}
	if (e->accept_delay_timer)
		event_free(e->accept_delay_timer);
	if (e->tick)
		event_free(e->tick);
	if (e->stop_timer)
		event_free(e->stop_timer);
	if (e->memory_event)
		event_free(e->memory_event);
	routing_table_put(e->table);
	buf_free(&e->config_text);
	if (e->base)
		event_base_free(e->base);
	free(e);
}
