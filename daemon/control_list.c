#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/supervisor.h"

#define LOOP_MS 200
#define RECONCILE_MS 3000
#define FETCH_RETRY_MS 500

bool control_instance_is_listed(const struct control *c, const char *id)
{
	for (int i = 0; i < c->listed_instance_count; i++) {
		if (strcmp(c->listed[i].id, id) == 0)
			return true;
	}
	return false;
}

bool control_instance_is_listed_live(const struct control *c, const char *id)
{
	for (int i = 0; i < c->listed_instance_count; i++) {
		if (c->listed[i].live && strcmp(c->listed[i].id, id) == 0)
			return true;
	}
	return false;
}

static enum endpoint_role endpoint_role_parse(const json_t *o, bool engine)
{
	const char *name = json_get_cstr(o, "role", "");

	if (!engine)
		return ROLE_SERVICE;
	if (strcmp(name, "prefill") == 0)
		return ROLE_PREFILL;
	return strcmp(name, "decode") == 0 ? ROLE_DECODE : ROLE_MIXED;
}

static bool endpoint_parse(const json_t *o, struct endpoint_info *out)
{
	*out = (struct endpoint_info){
		.is_engine = strcmp(json_get_cstr(o, "kind", "engine"), "service") != 0,
		.checks_fencing = json_get_bool(o, "checks_fencing", false),
		.leaving = strcmp(json_get_cstr(o, "state", "live"), "leaving") == 0,
	};
	out->role = endpoint_role_parse(o, out->is_engine);
	return str_copy(out->name, sizeof(out->name), json_get_str(o, "name")) &&
	       str_copy(out->dc, sizeof(out->dc), json_get_str(o, "dc")) &&
	       str_copy(out->url, sizeof(out->url), json_get_str(o, "url")) &&
	       str_copy(out->model, sizeof(out->model), json_get_str(o, "model")) && out->name[0];
}

static void list_endpoints_apply(struct control *c, const json_t *list, int64_t asked_ms)
{
	size_t n = json_array_size(list);
	struct endpoint_info *infos = mem_zalloc(n * sizeof(*infos));
	int count = 0;

	for (size_t i = 0; i < n; i++) {
		if (endpoint_parse(json_array_get(list, i), &infos[count]))
			count++;
	}
	fleet_update(c->fleet, infos, count);
	control_quarantine_on_list(c, infos, count, asked_ms);
	free(infos);
}

static void list_instances_apply(struct control *c, const json_t *list)
{
	int64_t now = clock_boot_ms();
	const json_t *o;
	size_t i;

	pthread_mutex_lock(&c->lock);
	c->listed_instance_count = 0;
	json_array_foreach(list, i, o) {
		bool live = strcmp(json_get_cstr(o, "state", "live"), "live") == 0;
		const char *id = json_get_cstr(o, "id", "");
		struct listed_instance *l;

		if (!id[0] || strlen(id) >= MEMBER_ID_MAX ||
		    c->listed_instance_count == CONTROL_LISTED_INSTANCES_MAX)
			continue;
		l = &c->listed[c->listed_instance_count++];
		str_copy(l->id, sizeof(l->id), str_from(id));
		l->live = live;
		if (live)
			member_add_address(c->members, id, json_get_cstr(o, "dc", ""),
					   json_get_cstr(o, "peer", ""), now);
	}
	c->listed_ms = now;
	pthread_mutex_unlock(&c->lock);
}

/** struct cached_list - last usable list of the platform and its entity tag */
struct cached_list {
	json_t *list;
	char etag[PLATFORM_ETAG_MAX];
};

static void cached_list_clear(struct cached_list *cache)
{
	json_decref(cache->list);
	*cache = (struct cached_list){ 0 };
}

/*
 * A reply of "unchanged" is as recent as a new list, so the cached list is applied again with the
 * time of the request.
 */
static void list_poll(struct control *c, struct cached_list *cache)
{
	int64_t asked_ms = clock_boot_ms();
	struct error err = { 0 };
	json_t *list;

	if (platform_list(c->gate->platform, cache->etag, &list, &err)) {
		log_debug("list-failed", "error=\"%s\"", err.text);
		return;
	}
	if (list) {
		json_decref(cache->list);
		cache->list = list;
	}
	if (!json_is_array(json_object_get(cache->list, "endpoints")) ||
	    !json_is_array(json_object_get(cache->list, "instances"))) {
		cached_list_clear(cache);
		return;
	}
	list_instances_apply(c, json_object_get(cache->list, "instances"));
	/* Set first, so that an answer of a peer can't replace the list. */
	atomic_store(&c->has_listed_fleet, true);
	list_endpoints_apply(c, json_object_get(cache->list, "endpoints"), asked_ms);
	atomic_store(&c->has_fleet, true);
}

static bool endpoint_is_drained(struct control *c, const char *endpoint)
{
	bool drained;

	rcu_read_lock();
	drained = config_endpoint_drain(rcu_dereference(c->gate->config), endpoint) != NULL;
	rcu_read_unlock();
	return drained;
}

/* Stopping an endpoint and returning it to service are both idempotent for one order. */
static void apply_operator_drains(struct control *c)
{
	int n;
	struct endpoint_status *all = fleet_statuses_copy(c->fleet, &n);

	for (int i = 0; i < n; i++) {
		const char *name = all[i].info.name;

		if (endpoint_is_drained(c, name))
			fleet_endpoint_stop(c->fleet, name, CONTROL_OPERATOR_ORDER);
		else if (all[i].stopped)
			fleet_endpoint_resume(c->fleet, name, CONTROL_OPERATOR_ORDER,
					      all[i].info.role);
	}
	free(all);
}

/*
 * A drained instance shuts down. While the drain is configured, a new process with the same id
 * shuts down as well.
 */
static void apply_instance_drain(struct control *c)
{
	bool drain;

	rcu_read_lock();
	drain = config_instance_drain(rcu_dereference(c->gate->config), c->settings->instance.id) !=
		NULL;
	rcu_read_unlock();
	if (drain && atomic_load(&c->gate->state) == GATE_READY)
		gate_drain_start(c->gate, "drained by the configuration");
}

static bool has_stops(struct control *c)
{
	bool any;

	pthread_mutex_lock(&c->lock);
	any = c->stop_count > 0;
	pthread_mutex_unlock(&c->lock);
	return any;
}

int control_list_run(void *ctx, struct error *err)
{
	struct cached_list cache = { 0 };
	struct control *c = ctx;
	int64_t reconcile_ms = 0;
	int64_t poll_ms = 0;
	int64_t fetch_ms = 0;

	while (!child_sleep_ms(LOOP_MS)) {
		int64_t now = clock_boot_ms();

		if (now >= poll_ms) {
			list_poll(c, &cache);
			poll_ms = clock_boot_ms() + c->settings->platform.list_poll_ms;
		}
		apply_operator_drains(c);
		apply_instance_drain(c);
		if (now >= reconcile_ms && (!atomic_load(&c->has_read_intents) || has_stops(c))) {
			control_stops_reconcile(c);
			reconcile_ms =
				now + (atomic_load(&c->has_read_intents) ? RECONCILE_MS : LOOP_MS);
		}
		if (now >= fetch_ms &&
		    !(atomic_load(&c->has_fleet) && atomic_load(&c->has_intents))) {
			control_fleet_fetch(c);
			fetch_ms = clock_boot_ms() + FETCH_RETRY_MS;
		}
		child_account_cpu();
	}
	cached_list_clear(&cache);
	return 0;
}
