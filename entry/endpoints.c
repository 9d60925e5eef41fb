#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/net/codec.h"
#include "internal.h"

/*
 * Weight of the newest attempt in an endpoint's failure ratio: about the last ten attempts count.
 */
#define FAILURE_WEIGHT 0.1

/* Cache size assumed for an engine until the configuration gives it, in tokens. */
#define CACHE_TOKENS_DEFAULT 400000

/* Shortest Retry-After for callers while no endpoint is usable, in milliseconds. */
#define RETRY_AFTER_NO_ENDPOINT_MS 300

/* Interval between two comparisons of the endpoints' speeds, in milliseconds. */
#define SPEED_UPDATE_MS 500

/* Maximum number of endpoints compared in a service, and of numbers in a report of speeds. */
#define SPEED_ENDPOINTS_MAX 1024
#define SPEED_VALUES_MAX 256

static const char *const speed_kind_names[] = {
	[SPEED_READ] = "read",
	[SPEED_GENERATE] = "generate",
	[SPEED_CALL] = "call",
};

static const char *const change_names[] = {
	[DIRECTORY_ADDED] = "added",	  [DIRECTORY_UPDATED] = "updated",
	[DIRECTORY_RESTARTED] = "reborn", [DIRECTORY_LEAVING] = "leaving",
	[DIRECTORY_REMOVED] = "removed",
};

void endpoint_put(struct endpoint *ep)
{
	if (--ep->refs)
		return;
	cache_view_destroy(ep->cache);
	free(ep);
}

struct endpoint *endpoint_by_tag(const struct entry *e, uint32_t tag)
{
	struct endpoint *ep;

	HASH_FIND(by_tag, e->by_tag, &tag, sizeof(tag), ep);
	return ep;
}

static struct endpoint *endpoint_find(struct entry *e, const char *id)
{
	struct endpoint *ep = endpoint_by_tag(e, peer_tag(id, 0));

	if (!ep || strcmp(ep->entry.id, id) == 0)
		return ep;
	/* Two ids have the same tag, and the index holds the other endpoint. */
	cds_list_for_each_entry(ep, &e->endpoints, link) {
		if (strcmp(ep->entry.id, id) == 0)
			return ep;
	}
	return NULL;
}

struct endpoint *endpoint_by_process(const struct entry *e, uint32_t process_tag)
{
	struct endpoint *ep;

	HASH_FIND(by_process, e->by_process, &process_tag, sizeof(process_tag), ep);
	return ep;
}

void endpoint_process_leaves(struct entry *e, uint32_t process_tag, const char *source)
{
	struct endpoint *ep = endpoint_by_process(e, process_tag);

	leaving_set_add(&e->leaving, process_tag);
	if (!ep || ep->is_leaving)
		return;
	ep->is_leaving = true;
	e->locality_stale = true;
	http_client_close_idle(e->endpoint_client, &ep->address);
	peers_mark_changed(e->peers);
	log_info("endpoint", "endpoint=%s change=leaving source=%s", ep->entry.id, source);
}

/* Memory of an engine of the service in tokens; 0 when the configuration doesn't give it. */
static int64_t engine_memory(const struct entry *e, struct str service)
{
	int i = e->table ? routing_table_service(e->table, service) : -1;
	int64_t tokens = i < 0 ? 0 : e->table->services[i].engine.kv_capacity;

	return tokens > 0 ? tokens : 0;
}

static int64_t cache_capacity(const struct entry *e, const char *service)
{
	int64_t tokens = engine_memory(e, str_from(service));

	return tokens ? tokens : CACHE_TOKENS_DEFAULT;
}

void services_update_memory(struct entry *e)
{
	struct service *s;

	cds_list_for_each_entry(s, &e->services, link)
		s->memory_tokens = engine_memory(e, buf_str(&s->name));
}

/* @replaces: this instance has known another process under the id */
static void endpoint_add(struct entry *e, const struct endpoint_entry *entry, bool replaces)
{
	struct endpoint *ep = mem_zalloc(sizeof(*ep));

	ep->refs = 1;
	ep->listed = true;
	CDS_INIT_LIST_HEAD(&ep->probe_waits);
	ep->entry = *entry;
	ep->hash = hash_str(str_from(entry->id), 0);
	ep->tag = peer_tag(entry->id, 0);
	ep->process_tag = peer_tag(entry->id, (uint64_t)entry->process_start_ms);
	ep->dc = entry_dc_index(e, entry->dc);
	if (!http_address_parse(str_from(entry->address), &ep->address)) {
		log_warn("endpoint-ignored", "endpoint=%s address=\"%s\" expected=IP:PORT",
			 entry->id, entry->address);
		free(ep);
		return;
	}
	if (entry->stage != STAGE_NONE)
		ep->cache = cache_view_create(cache_capacity(e, entry->service));
	ep->cache_unknown_since_ms = clock_boot_ms();
	ep->cache_origin = (struct cache_origin){
		.process_start_ms = entry->process_start_ms,
		.instance_start_ms = e->started_wall_ms,
		.in_first_list = !e->endpoints_loaded,
		.replaced = replaces,
	};
	ep->service = service_find(e, str_from(entry->service));
	cds_list_add_tail(&ep->link, &e->endpoints);
	cds_list_add_tail(&ep->service_link, &ep->service->endpoints);
	if (ep->dc)
		CDS_INIT_LIST_HEAD(&ep->local_link);
	else
		cds_list_add_tail(&ep->local_link, &ep->service->local_endpoints);
	if (!endpoint_by_tag(e, ep->tag))
		HASH_ADD(by_tag, e->by_tag, tag, sizeof(ep->tag), ep);
	if (!endpoint_by_process(e, ep->process_tag))
		HASH_ADD(by_process, e->by_process, process_tag, sizeof(ep->process_tag), ep);
	if (entry->leaving || leaving_set_has(&e->leaving, ep->process_tag))
		endpoint_process_leaves(e, ep->process_tag, "list");
	/*
	 * Loads reported for this endpoint, or for an earlier process with the same id, count at
	 * once.
	 */
	peers_restore_endpoint_load(e->peers, ep);
}

/* Removes @ep from the index; another endpoint with the same tag takes its place. */
static void endpoint_unindex(struct entry *e, struct endpoint *ep)
{
	struct endpoint *other;

	if (endpoint_by_process(e, ep->process_tag) == ep)
		HASH_DELETE(by_process, e->by_process, ep);
	if (endpoint_by_tag(e, ep->tag) != ep)
		return;
	HASH_DELETE(by_tag, e->by_tag, ep);
	cds_list_for_each_entry(other, &e->endpoints, link) {
		if (other->tag != ep->tag)
			continue;
		HASH_ADD(by_tag, e->by_tag, tag, sizeof(other->tag), other);
		return;
	}
}

static void endpoint_remove(struct entry *e, struct endpoint *ep)
{
	http_client_close_idle(e->endpoint_client, &ep->address);
	cds_list_del(&ep->link);
	cds_list_del(&ep->service_link);
	cds_list_del(&ep->local_link);
	endpoint_unindex(e, ep);
	ep->listed = false;
	endpoint_put(ep);
}

void endpoint_changed(void *ctx, enum directory_change change, const struct endpoint_entry *entry)
{
	struct entry *e = ctx;
	struct endpoint *ep = endpoint_find(e, entry->id);

	e->directory_changed_ms = clock_boot_ms();
	e->locality_stale = true;
	/*
	 * A listed endpoint stays in the lists of its first service and data centre, so a change of
	 * either replaces the endpoint.
	 */
	if (change == DIRECTORY_UPDATED && ep &&
	    (strcmp(ep->entry.service, entry->service) != 0 ||
	     strcmp(ep->entry.dc, entry->dc) != 0))
		change = DIRECTORY_RESTARTED;
	log_info("endpoint",
		 "endpoint=%s change=%s service=%s dc=%s address=%s stage=%d born=%lld "
		 "list_version=%lld",
		 entry->id, change_names[change], entry->service, entry->dc, entry->address,
		 (int)entry->stage, (long long)entry->process_start_ms,
		 (long long)store_version_number(entry->version));
	switch (change) {
	case DIRECTORY_ADDED:
	case DIRECTORY_RESTARTED:
		if (ep)
			suspect_endpoint_crashed(e, ep, true);
		if (ep)
			endpoint_remove(e, ep);
		endpoint_add(e, entry, ep);
		break;
	case DIRECTORY_UPDATED:
	case DIRECTORY_LEAVING:
		if (!ep)
			break;
		if (ep->entry.stage != entry->stage)
			ep->stage_change_until_ms = 0;
		ep->entry = *entry;
		if (entry->leaving)
			endpoint_process_leaves(e, ep->process_tag, "list");
		break;
	case DIRECTORY_REMOVED:
		if (ep && !ep->is_leaving)
			suspect_endpoint_crashed(e, ep, false);
		if (ep)
			endpoint_remove(e, ep);
		break;
	}
}

const char *endpoint_unavailable_cause(const struct endpoint *ep, int64_t now_ms)
{
	if (!ep->listed)
		return "not-listed";
	if (ep->is_leaving)
		return "leaving";
	if (now_ms < ep->avoid_until_ms)
		return "avoided";
	if (now_ms < ep->stage_change_until_ms)
		return "changing-stage";
	return circuit_allows_request(&ep->circuit, now_ms) ? NULL : "circuit-open";
}

struct endpoint_memory endpoint_memory_of(const struct endpoint *ep)
{
	int64_t known = ep->reported_tokens < ep->reported_before_tokens
				? ep->reported_tokens
				: ep->reported_before_tokens;

	return (struct endpoint_memory){
		.total_tokens = ep->service->memory_tokens,
		.held_tokens = ep->held_tokens + ep->peer_held_tokens,
		.unreported_tokens = ep->held_tokens > known ? ep->held_tokens - known : 0,
	};
}

bool endpoint_is_available(const struct endpoint *ep, int64_t now_ms)
{
	return !endpoint_unavailable_cause(ep, now_ms);
}

void endpoint_avoid(struct endpoint *ep, int64_t until_ms)
{
	if (until_ms > ep->avoid_until_ms)
		ep->avoid_until_ms = until_ms;
}

void endpoint_apply_response(struct entry *e, struct endpoint *ep,
			     const struct endpoint_response *r)
{
	if (r->leaving)
		endpoint_process_leaves(e, ep->process_tag, "answer");
	if (r->retry_after_ms >= 0)
		endpoint_avoid(ep, clock_boot_ms() + r->retry_after_ms);
}

void endpoint_apply_result(struct entry *e, struct endpoint *ep, const struct http_result *r)
{
	struct endpoint_response response;

	if (!r->head)
		return;
	wire_response_decode(r->head, &response);
	endpoint_apply_response(e, ep, &response);
}

int64_t service_retry_after_ms(const struct service *s, int64_t now_ms)
{
	int64_t first_ms = INT64_MAX;
	const struct endpoint *ep;

	cds_list_for_each_entry(ep, &s->endpoints, service_link) {
		if (!ep->is_leaving && ep->avoid_until_ms < first_ms)
			first_ms = ep->avoid_until_ms;
	}
	if (first_ms == INT64_MAX || first_ms - now_ms < RETRY_AFTER_NO_ENDPOINT_MS)
		return RETRY_AFTER_NO_ENDPOINT_MS;
	return first_ms - now_ms;
}

bool endpoint_is_changing_stage(const struct endpoint *ep, int64_t now_ms)
{
	return now_ms < ep->stage_change_until_ms && now_ms < ep->order_pending_until_ms;
}

void endpoint_record_result(struct endpoint *ep, bool ok)
{
	ep->failure_ratio += FAILURE_WEIGHT * ((ok ? 0 : 1) - ep->failure_ratio);
}

double endpoint_slowness(const struct endpoint *ep, enum speed_kind k, int64_t now_ms)
{
	return endpoint_speed_slowness(&ep->speed, &ep->service->speeds, k, now_ms);
}

static void service_speeds_update(struct service *s, int64_t now_ms)
{
	const struct endpoint_speed *speeds[SPEED_ENDPOINTS_MAX];
	struct service_speed before = s->speeds;
	const struct endpoint *ep;
	int count = 0;

	cds_list_for_each_entry(ep, &s->endpoints, service_link) {
		if (count < SPEED_ENDPOINTS_MAX)
			speeds[count++] = &ep->speed;
	}
	service_speed_update(&s->speeds, speeds, count, now_ms);
	for (int k = 0; k < SPEED_KINDS; k++) {
		if (s->speeds.kinds[k].is_uneven != before.kinds[k].is_uneven)
			log_info("endpoints-uneven", "service=%s kind=%s uneven=%d", s->name.data,
				 speed_kind_names[k], s->speeds.kinds[k].is_uneven);
	}
}

void endpoint_speeds_step(struct entry *e, int64_t now_ms)
{
	uint64_t values[SPEED_VALUES_MAX];
	struct endpoint *ep;
	struct service *s;
	int count = 0;

	if (now_ms - e->speeds_updated_ms < SPEED_UPDATE_MS)
		return;
	e->speeds_updated_ms = now_ms;
	cds_list_for_each_entry(s, &e->services, link)
		service_speeds_update(s, now_ms);
	if (now_ms < e->speeds_sent_ms)
		return;
	cds_list_for_each_entry(ep, &e->endpoints, link) {
		for (int k = 0; k < SPEED_KINDS && count < SPEED_VALUES_MAX; k++)
			count += endpoint_speed_report(&ep->speed, &ep->service->speeds,
						       (enum speed_kind)k, ep->tag, &values[count]);
	}
	if (!count)
		return;
	peers_send_report(e->peers, REPORT_SPEED, REPORT_TO_DC, values, count);
	e->speeds_sent_ms =
		now_ms + endpoint_speed_report_interval_ms(
				 e->settings.machine.cpu_share, e->settings.machine.link_mbps,
				 peers_local_instances(e->peers) - 1, count);
}

void endpoint_speeds_apply(void *ctx, const struct report_source *from, const uint64_t *values,
			   int count, int64_t now_ms)
{
	struct entry *e = ctx;
	int bad = 0;

	for (int i = 0; i < count; i++) {
		struct endpoint *ep = endpoint_by_tag(e, endpoint_speed_report_tag(values[i]));

		if (ep && endpoint_speed_merge(&ep->speed, values[i], now_ms) < 0)
			bad++;
	}
	if (bad)
		log_warn("speeds-malformed", "from=%s count=%d", from->id, bad);
}

void endpoints_destroy(struct entry *e)
{
	struct endpoint *ep, *next;

	cds_list_for_each_entry_safe(ep, next, &e->endpoints, link)
		endpoint_remove(e, ep);
}

bool service_any_prefers_local(const struct entry *e)
{
	const struct service *s;

	cds_list_for_each_entry(s, &e->services, link) {
		if (s->prefers_local)
			return true;
	}
	return false;
}

bool services_share_engines(const struct entry *e)
{
	const struct service *s;

	if (!e->endpoints_loaded || e->locality_stale)
		return false;
	cds_list_for_each_entry(s, &e->services, link) {
		if (s->may_prefer_local)
			return false;
	}
	return true;
}

static int engines_count(struct cds_list_head *list, bool local)
{
	struct cds_list_head *link;
	int n = 0;

	cds_list_for_each(link, list) {
		const struct endpoint *ep = service_endpoint(link, local);

		n += ep->cache && !ep->is_leaving;
	}
	return n;
}

void services_update_locality(struct entry *e)
{
	struct service *s;

	if (!e->locality_stale && e->locality_instances == peers_max_instances(e->peers))
		return;
	e->locality_stale = false;
	e->locality_instances = peers_max_instances(e->peers);
	cds_list_for_each_entry(s, &e->services, link) {
		int local_count = engines_count(&s->local_endpoints, true);
		int total = engines_count(&s->endpoints, false);
		bool was_preferred = s->prefers_local;

		s->prefers_local = place_is_local_only(&e->settings.scope, local_count, total,
						       peers_max_instances(e->peers));
		s->may_prefer_local =
			place_is_local_only(&e->settings.scope, local_count, total, INT_MAX);
		if (s->prefers_local != was_preferred)
			log_info("service-near", "service=%s near=%d engines_here=%d engines=%d",
				 s->name.data, s->prefers_local, local_count, total);
	}
}

double endpoint_failure_score(struct entry *e, const struct endpoint *ep, int64_t now_ms)
{
	if (now_ms != e->dc_failing_ms) {
		for (int i = 0; i <= ENTRY_DCS_MAX; i++)
			e->dc_failing[i] = dc_health_unreachable_share(&e->dc_health[i], now_ms);
		e->dc_failing_ms = now_ms;
	}
	return ep->failure_ratio + e->dc_failing[ep->dc < ENTRY_DCS_MAX ? ep->dc : ENTRY_DCS_MAX];
}

struct service *service_lookup(const struct entry *e, struct str name)
{
	struct service *s;

	cds_list_for_each_entry(s, &e->services, link) {
		if (str_eq(buf_str(&s->name), name))
			return s;
	}
	return NULL;
}

struct service *service_find(struct entry *e, struct str name)
{
	struct service *s = service_lookup(e, name);

	if (s)
		return s;
	s = mem_zalloc(sizeof(*s));
	buf_append_str(&s->name, name);
	CDS_INIT_LIST_HEAD(&s->endpoints);
	CDS_INIT_LIST_HEAD(&s->local_endpoints);
	s->speed = (struct place_speed){
		.prefill_per_ms = e->settings.engines.prefill_tokens_per_ms,
		.mixed_per_ms = e->settings.engines.mixed_tokens_per_ms,
		.overhead_ms = e->settings.engines.overhead_ms,
		.transfer_per_ms = e->settings.engines.transfer_tokens_per_ms,
	};
	s->prefill_share = -1;
	s->memory_tokens = engine_memory(e, name);
	cds_list_add_tail(&s->link, &e->services);
	return s;
}
