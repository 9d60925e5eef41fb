#ifndef IBISGATE_ENTRY_INTERNAL_H
#define IBISGATE_ENTRY_INTERNAL_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <urcu/list.h>
#include <uthash.h>

#include "ibisgate/daemon/settings.h"
#include "ibisgate/duty/duties.h"
#include "ibisgate/duty/workers.h"
#include "ibisgate/entry/entry.h"
#include "ibisgate/net/codec_report.h"
#include "ibisgate/net/codec_sharing.h"
#include "ibisgate/net/event_stream.h"
#include "ibisgate/net/http_client.h"
#include "ibisgate/net/http_collect.h"
#include "ibisgate/platform/wire.h"
#include "ibisgate/policy/cache_turn.h"
#include "ibisgate/policy/endpoint_speed.h"
#include "ibisgate/policy/engine_pace.h"
#include "ibisgate/policy/extra_budget.h"
#include "ibisgate/policy/finish.h"
#include "ibisgate/policy/memory_ledger.h"
#include "ibisgate/policy/place.h"
#include "ibisgate/policy/planned_stop.h"
#include "ibisgate/policy/retry.h"
#include "ibisgate/policy/stage_demand.h"
#include "ibisgate/state/cache_view.h"
#include "ibisgate/state/config_spread.h"
#include "ibisgate/state/dc_health.h"
#include "ibisgate/state/directory.h"
#include "ibisgate/state/event_order.h"
#include "ibisgate/state/leaving_set.h"
#include "ibisgate/state/org_load.h"
#include "ibisgate/state/routing_table.h"
#include "ibisgate/state/store_era.h"
#include "ibisgate/state/suspect_parts.h"

/*
 * All code in these files runs on one event loop, so nothing here takes a lock. A request passes
 * through caller.c -> exchange.c -> attempt.c -> endpoints.c and net/http_client.c.
 */

/*
 * Maximum size of an endpoint's answer to a request of this instance itself, in bytes. Cache events
 * come some hundred at a time; the other answers are a single object.
 */
#define CACHE_ANSWER_MAX_BYTES (256 << 10)
#define CONTROL_ANSWER_MAX_BYTES (16 << 10)

struct report_source;
struct service;

/**
 * struct endpoint - local state for one endpoint
 * @service: service that the endpoint belongs to; its lists contain the endpoint while @listed
 * @local_link: link in struct service.local_endpoints
 * @refs: one reference for the lists while @listed, and one for each attempt
 * @dc: index of its data centre, see entry_dc_index()
 * @backlog_tokens: uncached prompt tokens that this instance has sent and that the engine has not
 *   read yet
 * @active: requests of this instance in progress
 * @held_tokens: memory that requests of this instance need there, see struct memory_hold
 * @reported_tokens: what the last message to the other instances told of it;
 *   @reported_before_tokens is the same of the message before, as the last one may not have arrived
 * @peer_backlog_tokens: sum of the @backlog_tokens that the other instances reported last;
 *   @peer_active is the same sum of their @active, @peer_held_tokens of their @held_tokens, which
 *   is estimated where they don't report it
 * @remote_backlog_tokens: portion of @peer_backlog_tokens reported by other data centres;
 *   @remote_active is the same portion of @peer_active, @remote_held_tokens of @peer_held_tokens
 * @tag: hash of the id that identifies the endpoint in messages between instances
 * @by_tag: handle in the index of listed endpoints, struct entry.by_tag
 * @process_tag: like @tag, for the process that has registered under the id
 * @by_process: handle in the index by @process_tag, struct entry.by_process
 * @is_leaving: the process has said that it leaves, in its entry, in an answer or to another
 *   instance; it does not take that back
 * @failure_ratio: moving average of failed attempts, 0 to 1
 * @cache_synced: the engine has sent the cache contents that it had before this instance
 *   discovered it
 * @cache_origin: where the contents come from that this instance does not know yet
 * @cache_untold: the other instances of the data centre were not told these contents yet
 * @cache_unknown_since_ms: since when this instance has known the endpoint without its cache
 *   contents
 * @cache_unreadable: the last request of its cache contents has failed
 * @cache_turn_ms: when it is this instance's turn to request them
 * @cache_sync_due_ms: time of the next cache request; 0 for immediately
 * @cache_next_event: number of the next cache event to request, valid within @cache_epoch
 * @cache_epoch: hash of the engine's epoch
 * @avoid_until_ms: the endpoint reported that it is full or not the expected instance; nothing is
 *   sent to it until then
 * @last_receive_ms: when bytes of any response last arrived from it
 * @order_pending_until_ms: an order to it is pending until its list entry shows the new stage, or
 *   until then
 * @ordered_stage: stage that the pending order assigns
 * @stage_change_until_ms: it carries out an order of some instance and rejects requests until
 *   then
 * @stage_change_remote: the stage change was reported by an instance of another data centre
 * @part_watch: requests that lost their connection to it, and parts of their prompts
 * @crashed_ms: when it became known that the process has ended, or with @crash_is_certain unset
 *   may have ended; 0 if it has not
 * @crash_probed: a request that shows whether the process has ended is in flight
 * @probe_waits: what waits for its result
 * @pace: time between two events of its generations, as seen by this instance
 * @speed: its speed as all instances have seen it
 */
struct endpoint {
	struct cds_list_head link;
	struct service *service;
	struct cds_list_head service_link;
	struct cds_list_head local_link;
	struct endpoint_entry entry;
	struct http_address address;
	int refs;
	bool listed;
	int dc;
	uint64_t hash;
	uint32_t tag;
	UT_hash_handle by_tag;
	uint32_t process_tag;
	UT_hash_handle by_process;
	bool is_leaving;
	struct circuit circuit;
	struct cache_view *cache;
	int64_t backlog_tokens;
	int active;
	int64_t held_tokens;
	int64_t reported_tokens;
	int64_t reported_before_tokens;
	int64_t peer_backlog_tokens;
	int peer_active;
	int64_t peer_held_tokens;
	int64_t remote_backlog_tokens;
	int remote_active;
	int64_t remote_held_tokens;
	double failure_ratio;
	bool cache_synced;
	struct cache_origin cache_origin;
	int64_t cache_next_event;
	uint64_t cache_epoch;
	bool cache_untold;
	bool cache_unreadable;
	int64_t cache_unknown_since_ms;
	int64_t cache_turn_ms;
	int64_t cache_sync_due_ms;
	int64_t avoid_until_ms;
	int64_t last_receive_ms;
	int64_t order_pending_until_ms;
	enum engine_stage ordered_stage;
	int64_t stage_change_until_ms;
	bool stage_change_remote;
	struct part_watch part_watch;
	int64_t crashed_ms;
	bool crash_is_certain;
	bool crash_probed;
	struct cds_list_head probe_waits;
	struct engine_pace pace;
	struct endpoint_speed speed;
};

/* Number of distinct rule priorities; the platform's priorities are 0 to 9. */
#define SERVICE_PRIORITIES 10

/**
 * struct service - runtime state of a service, in addition to its configuration
 * @endpoints: listed endpoints of the service
 * @local_endpoints: those of @endpoints that are in this data centre
 * @speeds: differences in speed between the endpoints
 * @finish: time from first to last token, by the priority of the rule
 * @demand: prefill and decode work that callers request
 * @memory_tokens: memory of one engine in tokens; 0 when the configuration doesn't give it
 * @held_tokens_mean: memory that a request of this instance needs on an engine; 0 before the first
 * @held_ms_mean: time for which it does, on an engine by its stage
 * @memory_flow: memory that the requests of this instance ask for
 * @prefers_local: this data centre has enough engines to serve its callers, see
 * place_is_local_only()
 * @may_prefer_local: @prefers_local would hold if the deployment had enough instances
 * @prefill_share: target share of engines in the prefill stage; negative while there is no target
 */
struct service {
	struct cds_list_head link;
	struct buf name;
	struct cds_list_head endpoints;
	struct cds_list_head local_endpoints;
	struct extra_budget budget;
	struct place_speed speed;
	struct service_speed speeds;
	struct finish_estimate finish[SERVICE_PRIORITIES];
	struct stage_demand demand;
	int64_t memory_tokens;
	double held_tokens_mean;
	double held_ms_mean[STAGE_DECODE + 1];
	struct token_flow memory_flow;
	bool prefers_local;
	bool may_prefer_local;
	double prefill_share;
};

/**
 * service_endpoint - endpoint of a list link
 * @local: the link is in @local_endpoints of a service, else in @endpoints
 */
static inline struct endpoint *service_endpoint(struct cds_list_head *link, bool local)
{
	return local ? cds_list_entry(link, struct endpoint, local_link)
		     : cds_list_entry(link, struct endpoint, service_link);
}

/** service_list - the list that these links are in */
static inline const struct cds_list_head *service_list(const struct service *s, bool local)
{
	return local ? &s->local_endpoints : &s->endpoints;
}

#define ENTRY_DCS_MAX 32

/**
 * struct entry - see entry.h
 * @self_hash: hash of the instance's id
 * @started_ms: when it was created; @started_wall_ms is the same in Unix time
 * @ledger: memory held for others
 * @memory_event: gives up what holds memory, or lets bodies be read on, outside other callbacks
 * @callers: in the order in which they entered their phase, except those that are closing
 * @callers_unused: callers without a complete request so far
 * @listeners_paused: accept() has failed on at least one listener since the last tick
 * @descriptors: descriptors of the machine
 * @callers_waiting: callers whose body waits for memory to be read on
 * @response_bytes: size of the responses that are buffered until they are complete
 * @responses_held: the same in the ledger
 * @cache_calls: requests of cache_sync.c in flight
 * @cache_calls_left: requests of cache_sync.c that may still start before the next tick
 * @caches_to_read: an engine that can be read has not told its cache contents yet, as of the last
 *   tick
 * @era: newest era of the store that an answer or another instance has named
 * @era_rejected_ms: when a rejected answer was last logged; 0 if none was
 * @leaving: processes of endpoints that have said that they leave
 * @locality_stale: endpoints have changed since the last services_update_locality()
 * @explain: explains decisions on the metrics listener; NULL when that is switched off
 * @org_load: engine time of organisations; NULL while requests don't give way to each other
 * @org_load_reported_ms: when it was last reported to the other instances
 * @room_short_ms: when a request last had to wait long enough for others to matter
 * @ticked_ms: time of the last tick; a late one shows that the process was paused
 * @tick_was_late: the last tick was late
 * @duties: work for all instances; NULL where the platform asks for none
 * @speeds_updated_ms: time of the last endpoint_speeds_step() that compared the endpoints
 * @speeds_sent_ms: time of the last report of speeds
 * @dc_failing: dc_health_unreachable_share() of each data centre at @dc_failing_ms
 */
struct entry {
	struct settings settings;
	uint64_t self_hash;
	int64_t started_ms;
	int64_t started_wall_ms;
	char settings_path[SETTINGS_TEXT_MAX];
	int64_t settings_mtime_ms;
	struct event_base *base;
	struct evconnlistener *http_listener;
	struct evconnlistener *ready_listener;
	struct evconnlistener *metrics_listener;
	struct event *signals[3];
	struct event *tick;
	struct event *accept_delay_timer;
	int64_t accept_delay_begun_ms;
	bool accept_is_delayed;
	struct http_client *endpoint_client;
	struct http_client *store_client;
	struct routing_table *table;
	struct buf config_text;
	struct config_history config_history;
	struct store_era era;
	int64_t era_rejected_ms;
	struct directory directory;
	bool endpoints_loaded;
	bool locality_stale;
	int locality_instances;
	int64_t directory_changed_ms;
	bool logged_ready;
	struct cds_list_head endpoints;
	struct endpoint *by_tag;
	struct endpoint *by_process;
	struct leaving_set leaving;
	struct cds_list_head services;
	struct cds_list_head callers;
	int caller_count;
	int callers_unused;
	bool listeners_paused;
	int64_t descriptors;
	int callers_waiting;
	struct memory_ledger ledger;
	struct event *memory_event;
	struct cds_list_head probes;
	int probe_count;
	entry_explain_fn explain;
	struct store_watch *watches[SHARING_STORE_TABLES];
	struct suspect_parts *suspect_parts;
	struct peers *peers;
	struct stages *stages;
	struct org_load *org_load;
	int64_t org_load_reported_ms;
	int64_t room_short_ms;
	struct duties *duties;
	struct workers *workers;
	char dcs[ENTRY_DCS_MAX][DIRECTORY_NAME_MAX];
	int dc_count;
	struct dc_health dc_health[ENTRY_DCS_MAX + 1];
	double dc_failing[ENTRY_DCS_MAX + 1];
	int64_t dc_failing_ms;
	struct cds_list_head exchange_list;
	int exchange_count;
	size_t response_bytes;
	int64_t responses_held;
	int cache_calls;
	int cache_calls_left;
	bool caches_to_read;
	bool stopping;
	struct planned_stop stop;
	struct event *stop_timer;
	int64_t settings_checked_ms;
	int64_t ticked_ms;
	bool tick_was_late;
	int64_t speeds_updated_ms;
	int64_t speeds_sent_ms;
};

/** entry_dc_index - index of a data centre; this instance's own data centre has index 0 */
int entry_dc_index(struct entry *e, const char *name);

/** entry_dc_health - health of a data centre by its index; all beyond the last index share one */
struct dc_health *entry_dc_health(struct entry *e, int dc);
bool entry_is_ready(const struct entry *e);

/**
 * entry_config_set - apply the configuration in @text if it is newer
 * @peer: instance that has sent it; NULL when it comes from the store
 *
 * Return: -1 when it can't be decoded.
 */
int entry_config_set(struct entry *e, struct str text, const char *peer, struct error *err);
struct extra_budget_limits entry_extra_limits(const struct entry *e);

/** entry_count_usage - a request of @organisation, or of none if NULL, began to run at @at_ms */
void entry_count_usage(struct entry *e, const struct organisation *organisation, int64_t at_ms);

/* endpoints.c */
void endpoint_changed(void *ctx, enum directory_change change, const struct endpoint_entry *entry);
void endpoint_put(struct endpoint *ep);

/** endpoint_by_tag - listed endpoint with the given tag; NULL when there is none */
struct endpoint *endpoint_by_tag(const struct entry *e, uint32_t tag);

/** endpoint_by_process - listed endpoint whose process has the given tag; NULL when there is none
 */
struct endpoint *endpoint_by_process(const struct entry *e, uint32_t process_tag);

/**
 * endpoint_process_leaves - the process with the given tag has said that it leaves
 * @source: where it said so, for the log
 */
void endpoint_process_leaves(struct entry *e, uint32_t process_tag, const char *source);
/** services_update_memory - take the memory of the engines from the configuration */
void services_update_memory(struct entry *e);

/** endpoint_memory_of - memory of an engine and what all instances hold of it */
struct endpoint_memory endpoint_memory_of(const struct endpoint *ep);

bool endpoint_is_available(const struct endpoint *ep, int64_t now_ms);

/** endpoint_unavailable_cause - why no request is sent to the endpoint now; NULL if it may be */
const char *endpoint_unavailable_cause(const struct endpoint *ep, int64_t now_ms);

/** endpoint_avoid - send nothing to the endpoint before @until_ms */
void endpoint_avoid(struct endpoint *ep, int64_t until_ms);

/**
 * endpoint_apply_response - apply what any response of the endpoint says of the endpoint itself:
 * that it leaves, or that it wants nothing for some time
 */
void endpoint_apply_response(struct entry *e, struct endpoint *ep,
			     const struct endpoint_response *r);

/** endpoint_apply_result - the same for a call of this instance; @r may hold no response */
void endpoint_apply_result(struct entry *e, struct endpoint *ep, const struct http_result *r);

/**
 * service_retry_after_ms - when a caller should retry while no endpoint of the service is usable,
 * in milliseconds from now: when the first one wants requests again
 */
int64_t service_retry_after_ms(const struct service *s, int64_t now_ms);

/** endpoint_is_changing_stage - whether the endpoint is carrying out an order of this instance */
bool endpoint_is_changing_stage(const struct endpoint *ep, int64_t now_ms);
void endpoint_record_result(struct endpoint *ep, bool ok);

/**
 * endpoint_speeds_step - compare the speeds of the endpoints of each service, and report to the
 * other instances of this data centre what they don't know of them; no decision uses the speeds of
 * prefill, which are not reported
 */
void endpoint_speeds_step(struct entry *e, int64_t now_ms);

/** endpoint_speeds_apply - take over a report of another instance; see report_apply_fn */
void endpoint_speeds_apply(void *ctx, const struct report_source *from, const uint64_t *values,
			   int count, int64_t now_ms);

/** endpoint_slowness - see endpoint_speed_slowness() */
double endpoint_slowness(const struct endpoint *ep, enum speed_kind k, int64_t now_ms);
void endpoints_destroy(struct entry *e);

/** service_find - runtime state of a service, created when it has none yet */
struct service *service_find(struct entry *e, struct str name);

/** service_lookup - the same, NULL when it has none yet */
struct service *service_lookup(const struct entry *e, struct str name);

/** service_any_prefers_local - whether any service is served by the engines of this data centre */
bool service_any_prefers_local(const struct entry *e);

/**
 * services_share_engines - whether no data centre has enough engines of its own for any service,
 * however many instances there are
 */
bool services_share_engines(const struct entry *e);

/**
 * services_update_locality - after changes, recompute which services have enough engines in this
 * data centre
 */
void services_update_locality(struct entry *e);

/**
 * endpoint_failure_score - sum of the recent failure shares of the endpoint and of its data centre,
 * 0 to 2
 */
double endpoint_failure_score(struct entry *e, const struct endpoint *ep, int64_t now_ms);

/**
 * connection_close_now - close the socket of @bev, which is freed next
 *
 * bufferevent_free() closes it only in the next round of the event loop, after further accepts.
 */
static inline void connection_close_now(struct bufferevent *bev)
{
	evutil_socket_t fd = bufferevent_getfd(bev);

	bufferevent_disable(bev, EV_READ | EV_WRITE);
	bufferevent_setfd(bev, -1);
	evutil_closesocket(fd);
}

/* store_call.c */
struct store_call;

/**
 * store_call_start - send a complete request to the store
 * @wait_ms: long-poll time that the request asks the store to wait
 * @done: called once and never from within this function, unless the call is cancelled
 */
struct store_call *store_call_start(struct entry *e, struct str request, int wait_ms,
				    void (*done)(void *ctx, const struct http_result *r),
				    void *ctx);
void store_call_cancel(struct store_call *c);
void store_address(const struct entry *e, char out[32]);

/** entry_duty_host - what the modules of duty/ use of this instance */
void entry_duty_host(struct entry *e, struct duty_host *out);

/** entry_answer_era - see struct duty_host; @ctx is the entry */
int64_t entry_answer_era(void *ctx, const struct http_result *r);

/** entry_hear_era - @peer knows an era of the store; ignored unless it is newer */
void entry_hear_era(struct entry *e, int64_t era, const char *peer);

/* suspects.c */

/**
 * suspect_endpoint_crashed - accuse the requests that were running there, and parts of their
 *prompts
 * @certain: the process has ended; otherwise the endpoint may only be unreachable, and parts, which
 *	many requests share, are not accused
 */
void suspect_endpoint_crashed(struct entry *e, struct endpoint *ep, bool certain);

/**
 * suspect_part_merge - take over what another instance reports of a part
 * @lost_ms: when the connection broke, on this instance's clock; 0 if that is not known
 */
void suspect_part_merge(struct entry *e, const struct shared_suspect_part *r, int64_t lost_ms);

/** suspects_share_all - queue all known suspects for the other instances, one of which has started
 */
void suspects_share_all(struct entry *e);

/* crash_probe.c */

/**
 * struct crash_probe_wait - waits for the result of the probe in progress
 * @done: called once the result has been applied, unless the wait is cancelled
 */
struct crash_probe_wait {
	struct cds_list_head link;
	bool is_waiting;
	void (*done)(void *ctx);
	void *ctx;
};

/**
 * crash_probe_start - find out whether the process of @ep has ended, unless a probe is in progress
 *
 * Without it, a crash shows only when the next request is sent there or the endpoint is back.
 */
void crash_probe_start(struct entry *e, struct endpoint *ep);

/** crash_probe_wait - wait for the probe in progress; the caller has filled in @w->done */
void crash_probe_wait(struct endpoint *ep, struct crash_probe_wait *w);
void crash_probe_wait_cancel(struct crash_probe_wait *w);

/* cache_sync.c */

/**
 * cache_sync_step - each tick: fetch the cache contents that engines had before this instance
 * discovered them
 *
 * Load: all instances restart while engines keep their caches. Without the fetch every prompt looks
 * uncached, is scheduled to be read again, and is refused as too late.
 */
void cache_sync_step(struct entry *e);

/** cache_report_apply - read from another instance what an engine has cached; @ctx: the entry */
void cache_report_apply(void *ctx, const struct report_source *from, const uint64_t *values,
			int count, int64_t now_ms);

/* stages.c */
struct stages;
struct stages *stages_create(struct entry *e);
void stages_destroy(struct stages *s);

/**
 * stages_step - change the stages of engines where a different prefill/decode split serves better
 */
void stages_step(struct stages *s, int64_t now_ms);

/* store_watch.c */
struct store_watch;
struct store_watch *store_watch_create(struct entry *e, const char *table);
void store_watch_destroy(struct store_watch *w);

/** store_watch_interval_ms - time between two requests for changes, in milliseconds */
int64_t store_watch_interval_ms(const struct store_watch *w);

/** store_watch_newest_version - version of the newest change to the table received so far */
int64_t store_watch_newest_version(const struct store_watch *w);

/**
 * store_watch_note_peer_version - record that another instance has received a change of @version
 */
void store_watch_note_peer_version(struct store_watch *w, int64_t version);

/**
 * store_watch_step - abort a long poll that has missed changes which other instances have received,
 * and ask the store where this instance is told its changes, but wasn't
 */
void store_watch_step(struct store_watch *w, int64_t now_ms);

/** store_watch_takes - whether changes from after version @after up to @version can be applied */
bool store_watch_takes(const struct store_watch *w, int64_t after, int64_t version);

/**
 * store_watch_told - record that another instance has told all changes up to @version
 * @newest: version of the newest among them
 */
void store_watch_told(struct store_watch *w, int64_t version, int64_t newest);

/** store_watch_missed_outage - whether the store hasn't answered since it was away at @away_ms */
bool store_watch_missed_outage(const struct store_watch *w, int64_t away_ms);

/** store_watch_version - version up to which all changes are known */
int64_t store_watch_version(const struct store_watch *w);

/**
 * store_watch_peer_lost - record that an instance which tells changes doesn't reach the store
 */
void store_watch_peer_lost(struct store_watch *w, int64_t now_ms);

/** store_watch_remove - handle the removal of endpoint @id from the platform's list */
void store_watch_remove(struct entry *e, const char *id, int64_t version);

/* handover.c */
struct store_rows;

/** handover_encode_config - append the configuration only */
void handover_encode_config(const struct entry *e, struct buf *out);

/** handover_encode - append the configuration and the endpoints that this instance has loaded */
void handover_encode(const struct entry *e, struct buf *out);

/**
 * struct endpoint_changes - changes of endpoints that an instance has received from the store
 * @after, @version: they are all changes after the first, up to the second
 * @away_age_ms: for the first ones after an outage, time since the store was known to be away; -1
 *   otherwise
 */
struct endpoint_changes {
	const struct store_rows *rows;
	int64_t after;
	int64_t version;
	int64_t away_age_ms;
};

/** handover_encode_changes - append changes for instances that don't ask the store themselves */
void handover_encode_changes(const struct endpoint_changes *c, struct buf *out);

/** handover_encode_lost - append that the store doesn't answer this instance */
void handover_encode_lost(struct buf *out);

/**
 * handover_apply - load from the text sent by @from a configuration that is newer than the own one,
 * and endpoints unless the store has already supplied them; or changes of endpoints
 */
void handover_apply(struct entry *e, struct str text, const char *from);

/* peers.c */
struct peers;
struct peers *peers_create(struct entry *e, struct error *err);
void peers_destroy(struct peers *p);

/**
 * peers_queue_part - queue for the other instances what an engine caches, or will cache, of a
 * prompt
 */
void peers_queue_part(struct peers *p, const struct endpoint *ep, uint64_t part, int64_t tokens,
		      enum shared_prompt_part_state state);

/**
 * peers_find_remote_source - engine of another data centre that has prefilled a shared part lately
 *
 * Return: NULL when none is known or its data centre is not heard from.
 */
struct endpoint *peers_find_remote_source(const struct peers *p, uint64_t part, int64_t now_ms);

/**
 * peers_restore_endpoint_load - set the sums of a newly listed endpoint from the loads that the
 * other instances have reported
 */
void peers_restore_endpoint_load(const struct peers *p, struct endpoint *ep);

/**
 * struct report_source - instance that has sent a report
 * @is_remote: it is in another data centre
 */
struct report_source {
	const char *id;
	uint64_t incarnation;
	bool is_remote;
};

/** typedef report_apply_fn - read the numbers of a report, which are valid during the call */
typedef void (*report_apply_fn)(void *ctx, const struct report_source *from, const uint64_t *values,
				int count, int64_t now_ms);

/**
 * enum report_scope - instances that a report is sent to
 * @REPORT_TO_DC: those of this data centre
 * @REPORT_TO_ALL: also those of other data centres that this instance exchanges messages with; in
 *	a large deployment only a delegate has any
 */
enum report_scope {
	REPORT_TO_DC,
	REPORT_TO_ALL,
	REPORT_TO_REMOTE,
};

/** peers_send_text - send @text to the other instances of this data centre, unless it is too large
 */
void peers_send_text(struct peers *p, struct str text);

/** peers_set_report_reader - pass reports on @topic to @apply, on the event loop */
void peers_set_report_reader(struct peers *p, enum report_topic topic, report_apply_fn apply,
			     void *ctx);

/**
 * peers_send_report - send numbers to other instances, at once
 * @count: at most PEER_REPORT_VALUES_MAX
 *
 * A report may be lost, so the next one repeats what matters.
 */
void peers_send_report(struct peers *p, enum report_topic topic, enum report_scope scope,
		       const uint64_t *values, int count);

/**
 * peers_send_report_first - peers_send_report() to few instances
 * @first: number of live instances with the lowest names that get it; 0 for all
 * @also: id of an instance that gets it besides, or ""
 */
void peers_send_report_first(struct peers *p, enum report_topic topic, enum report_scope scope,
			     int first, const char *also, const uint64_t *values, int count);

/**
 * peers_loads_age_ms - age of the oldest report among those that the loads of the endpoints are
 * summed from, in milliseconds; -1 without any
 */
int64_t peers_loads_age_ms(const struct peers *p, int64_t now_ms);

/** peers_connections - connections that other instances have opened */
int peers_connections(const struct peers *p);

/** peers_rank - number of live instances with a lower name */
int peers_rank(const struct peers *p);

/**
 * peers_rank_for - number of live instances that come before this one for an endpoint
 * @key: hash of the endpoint; each has another order of the instances
 * @local: count only instances of this data centre
 */
int peers_rank_for(const struct peers *p, uint64_t key, bool local);

/** peers_is_delegate - this instance speaks for its data centre in a large deployment */
bool peers_is_delegate(const struct peers *p);

/** peers_mark_changed - schedule a message because the loads of this instance have changed */
void peers_mark_changed(struct peers *p);

/**
 * peers_queue_suspect_part - queue for the other instances what is known of a suspected part
 * @lost_ms: when the connection broke, 0 if that is not known
 */
void peers_queue_suspect_part(struct peers *p, const struct shared_suspect_part *r,
			      int64_t lost_ms);

/**
 * peers_max_instances - largest number of instances seen alive at the same time, including this one
 */
int peers_max_instances(const struct peers *p);

/** peers_share_interval_ms - least time between two messages of loads, in milliseconds */
int64_t peers_share_interval_ms(const struct peers *p);

/**
 * peers_newest_config - newest configuration that a live instance has told; 0 if they have none, -1
 * if none was heard
 */
int64_t peers_newest_config(const struct peers *p);

/** peers_local_instances - number of live instances in this data centre, including this one */
int peers_local_instances(const struct peers *p);

/** peers_self_is_first - whether no live instance has a lower name */
bool peers_self_is_first(const struct peers *p);

/* caller.c */
struct caller;
void caller_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		   void *ctx);
void caller_destroy(struct caller *c);
void callers_check_timeouts(struct entry *e, int64_t now_ms);

/** callers_check_descriptors - close idle connections while peers hold their descriptors */
void callers_check_descriptors(struct entry *e);

/**
 * callers_check_memory - give up what is held for callers, or let bodies be read on, soon and
 * outside the current callback, if need be
 */
void callers_check_memory(struct entry *e);

/** callers_on_memory - the callback of struct entry.memory_event */
void callers_on_memory(evutil_socket_t fd, short what, void *ctx);

/** callers_close_idle - close the connections that have had no request for @idle_ms */
void callers_close_idle(struct entry *e, int64_t idle_ms, int64_t now_ms);

/** callers_are_active - whether a connection may bring a request or has an answer left to send */
bool callers_are_active(const struct entry *e);
void callers_destroy(struct entry *e);
void caller_write(struct caller *c, struct str bytes);

/**
 * caller_request_done - the exchange has ended
 * @keep: its answer was complete and has not announced the end of the connection
 */
void caller_request_done(struct caller *c, bool keep);

/**
 * listener_failed - called back when a connection can't be accepted
 *
 * A caller's connection without a request makes room for it. If there is none, the listener pauses
 * until the next tick.
 */
void listener_failed(struct evconnlistener *l, void *ctx);

/* exchange.c */
struct exchange;

/**
 * exchange_begin - start handling a complete request
 * @head: must stay valid until caller_request_done() or exchange_cancel(), like @body
 * @out: set to the exchange; caller_request_done() may be called before this function returns,
 *   and clears it then
 */
void exchange_begin(struct entry *e, struct caller *c, const struct http_head *head,
		    struct str body, int64_t begun_ms, struct exchange **out);

/** exchange_cancel - abort the request because the caller has disconnected */
void exchange_cancel(struct exchange *x);

/** exchanges_extend_silence - don't count the last @pause_ms as silence of any endpoint */
void exchanges_extend_silence(struct entry *e, int64_t pause_ms);

/** exchanges_check_timeouts - expire deadlines and detect endpoints that have stopped sending */
void exchanges_check_timeouts(struct entry *e, int64_t now_ms);

/** exchanges_expire - answer all requests now, since the process ends */
void exchanges_expire(struct entry *e, const char *cause);

/* probe.c */
void probes_destroy(struct entry *e);
void ready_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		  void *ctx);
void metrics_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		    void *ctx);

#endif
