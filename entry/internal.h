#ifndef IBISGATE_ENTRY_INTERNAL_H
#define IBISGATE_ENTRY_INTERNAL_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <urcu/list.h>
#include <uthash.h>

#include "ibisgate/daemon/settings.h"
#include "ibisgate/entry/entry.h"
#include "ibisgate/net/codec_sharing.h"
#include "ibisgate/net/event_stream.h"
#include "ibisgate/net/http_client.h"
#include "ibisgate/net/http_collect.h"
#include "ibisgate/platform/wire.h"
#include "ibisgate/policy/extra_budget.h"
#include "ibisgate/policy/finish.h"
#include "ibisgate/policy/place.h"
#include "ibisgate/policy/retry.h"
#include "ibisgate/policy/stage_demand.h"
#include "ibisgate/state/cache_view.h"
#include "ibisgate/state/crash_watch.h"
#include "ibisgate/state/dc_health.h"
#include "ibisgate/state/directory.h"
#include "ibisgate/state/quarantine.h"
#include "ibisgate/state/routing_table.h"

/*
 * One event loop carries everything in these files; nothing here takes a lock. A request reads
 * downward: caller.c -> exchange.c -> attempt.c -> endpoints.c and net/http_client.c.
 */

struct service;

/**
 * struct endpoint - an endpoint as this instance uses it
 * @service: the service that it is of, which lists it while it is listed
 * @here: link among those of its service in this data centre
 * @refs: the list's reference while it is listed, and one for each attempt
 * @dc: number of its data centre, see entry_dc()
 * @backlog_tokens: uncached prompt tokens that this instance has sent and that are not yet read
 * @active: requests of this instance in progress
 * @others_backlog: @backlog_tokens of the other instances as they told last, like @others_active
 * @far_backlog: part of @others_backlog that other data centres told of, like @far_active
 * @tag: short name in messages between instances
 * @by_tag: index of the listed endpoints, struct entry.by_tag
 * @failure_share: moving share of failed attempts, 0 to 1
 * @cache_known: the engine has told what it kept before this instance knew it
 * @cache_due_ms: when it is asked next; 0 for at once
 * @cache_next: number of the first change that it has not told yet, in @cache_epoch
 * @avoid_until_ms: it has said that it is full or not the expected instance
 * @heard_ms: when bytes of any response came from it last
 * @order_until_ms: an order to it is under way until its list entry shows it, or until then
 * @ordered_stage: the stage that the order gives it
 * @changing_until_ms: it carries out an order of some instance and rejects requests until then
 * @changing_far: an instance of another data centre told so
 */
struct endpoint {
	struct cds_list_head link;
	struct service *service;
	struct cds_list_head of_service;
	struct cds_list_head here;
	struct endpoint_entry entry;
	struct http_address address;
	int refs;
	bool listed;
	int dc;
	uint64_t hash;
	uint32_t tag;
	UT_hash_handle by_tag;
	struct circuit circuit;
	struct crash_watch crash_watch;
	struct cache_view *cache;
	int64_t backlog_tokens;
	int active;
	int64_t others_backlog;
	int others_active;
	int64_t far_backlog;
	int far_active;
	double failure_share;
	bool cache_known;
	int64_t cache_next;
	char cache_epoch[WIRE_ID_MAX];
	int64_t cache_due_ms;
	int64_t avoid_until_ms;
	int64_t heard_ms;
	int64_t order_until_ms;
	enum engine_stage ordered_stage;
	int64_t changing_until_ms;
	bool changing_far;
};

/* Urgencies of rules that are told apart; the platform's priorities are 0 to 9. */
#define SERVICE_URGENCIES 10

/**
 * struct service - what this instance knows of a service beside its configuration
 * @endpoints: those that are listed
 * @here: those of them in this data centre
 * @finish: time from first to last token, by the urgency of the rule
 * @demand: work of the two stages that callers ask for
 * @near: this data centre has engines enough to serve its callers, see place_near()
 * @may_be_near: @near, if the deployment has instances enough
 * @prefill_share: share of the engines that is to prefill; negative while none is aimed at
 */
struct service {
	struct cds_list_head link;
	char name[DIRECTORY_NAME_MAX];
	struct cds_list_head endpoints;
	struct cds_list_head here;
	struct extra_budget budget;
	struct place_speed speed;
	struct finish_estimate finish[SERVICE_URGENCIES];
	struct stage_demand demand;
	bool near;
	bool may_be_near;
	double prefill_share;
};

/** service_endpoint - endpoint of a link in a service's list @here, else in its list of all */
static inline struct endpoint *service_endpoint(struct cds_list_head *link, bool here)
{
	return here ? cds_list_entry(link, struct endpoint, here)
		    : cds_list_entry(link, struct endpoint, of_service);
}

#define ENTRY_DCS_MAX 32

/**
 * struct entry - see entry.h
 * @self_hash: of the instance's id
 * @cache_asks: calls of cache_sync.c under way; @cache_asks_left may begin before the next tick
 * @near_stale: endpoints have changed since services_near() looked
 * @dc_failing: dc_health_share() of each data centre at @dc_failing_ms
 */
struct entry {
	struct settings settings;
	uint64_t self_hash;
	char settings_path[SETTINGS_TEXT_MAX];
	int64_t settings_changed;
	struct event_base *base;
	struct evconnlistener *front;
	struct evconnlistener *ready;
	struct evconnlistener *metrics;
	struct event *signals[3];
	struct event *tick;
	struct event *start_check;
	int64_t start_ms;
	struct http_client *endpoint_client;
	struct http_client *store_client;
	struct routing_table *table;
	struct buf config_text;
	struct directory directory;
	bool endpoints_known;
	bool near_stale;
	int near_instances;
	int64_t listed_ms;
	bool was_ready;
	struct cds_list_head endpoints;
	struct endpoint *by_tag;
	struct cds_list_head services;
	struct cds_list_head callers;
	struct store_watch *watches[SHARING_TABLES];
	struct quarantine *suspects;
	struct peers *peers;
	struct stages *stages;
	char dcs[ENTRY_DCS_MAX][DIRECTORY_NAME_MAX];
	int dc_count;
	struct dc_health dc_health[ENTRY_DCS_MAX + 1];
	double dc_failing[ENTRY_DCS_MAX + 1];
	int64_t dc_failing_ms;
	struct cds_list_head exchange_list;
	int exchanges;
	int cache_asks;
	int cache_asks_left;
	bool stopping;
	int64_t stop_ms;
	int64_t ticked_ms;
};

/** entry_dc - number of a data centre; its own one is 0 */
int entry_dc(struct entry *e, const char *name);

/** entry_dc_health - health of a data centre by its number; those beyond the last share one */
struct dc_health *entry_dc_health(struct entry *e, int dc);
bool entry_ready(const struct entry *e);

/** entry_config_set - take over a newer configuration; -1 when @text can't be read */
int entry_config_set(struct entry *e, struct str text, struct error *err);
struct extra_limits entry_extra_limits(const struct entry *e);

/* endpoints.c */
void endpoint_changed(void *ctx, enum directory_change change, const struct endpoint_entry *entry);
void endpoint_put(struct endpoint *ep);

/** endpoint_by_tag - listed endpoint with that short name; NULL when there is none */
struct endpoint *endpoint_by_tag(const struct entry *e, uint32_t tag);
bool endpoint_open(const struct endpoint *ep, int64_t now_ms);

/** endpoint_changing - an order of this instance is being carried out there */
bool endpoint_changing(const struct endpoint *ep, int64_t now_ms);
void endpoint_result(struct endpoint *ep, bool ok);
void endpoints_destroy(struct entry *e);
struct service *service_find(struct entry *e, const char *name);

/** service_any_near - some service is served by the engines of this data centre */
bool service_any_near(const struct entry *e);

/** services_share_engines - no data centre has engines enough, however many instances there are */
bool services_share_engines(const struct entry *e);

/** services_near - look which services have engines enough in this data centre, after changes */
void services_near(struct entry *e);

/**
 * endpoint_failing - share of attempts that failed lately, of those to the endpoint and of those
 * to its data centre: 0 to 2
 */
double endpoint_failing(struct entry *e, const struct endpoint *ep, int64_t now_ms);

/* store_call.c */
struct store_call;

/**
 * store_call_start - send a whole request to the store
 * @wait_ms: time for which the store was asked to wait
 * @done: called once, later, unless the call is cancelled
 */
struct store_call *store_call_start(struct entry *e, struct str request, int wait_ms,
				    void (*done)(void *ctx, const struct http_result *r),
				    void *ctx);
void store_call_cancel(struct store_call *c);
void store_address(const struct entry *e, char out[32]);

/* suspects.c */

/** suspect_endpoint_down - the endpoint has crashed: blame what was running there */
void suspect_endpoint_down(struct entry *e, struct endpoint *ep);

/** suspect_learn - another instance has counted crashes of a request */
void suspect_learn(struct entry *e, uint64_t fingerprint, int crashes);

/* cache_sync.c */

/**
 * cache_sync_step - each tick: learn what engines keep from before this instance knew them
 *
 * Load: all instances start again while engines keep their caches. Without it every prompt looks
 * uncached, is read again, and is refused as too late.
 */
void cache_sync_step(struct entry *e);

/* stages.c */
struct stages;
struct stages *stages_create(struct entry *e);
void stages_destroy(struct stages *s);

/** stages_step - change stages of engines where another number of each serves better */
void stages_step(struct stages *s, int64_t now_ms);

/* store_watch.c */
struct store_watch;
struct store_watch *store_watch_create(struct entry *e, const char *table);
void store_watch_destroy(struct store_watch *w);

/** store_watch_newest - version of the newest change of the table that has been seen */
int64_t store_watch_newest(const struct store_watch *w);

/** store_watch_told - another instance has seen a change of @version */
void store_watch_told(struct store_watch *w, int64_t version);

/** store_watch_step - give up a wait for changes that others have seen and this one has not */
void store_watch_step(struct store_watch *w, int64_t now_ms);

/* handover.c */

/** handover_encode - append what this instance knows of configuration and endpoints */
void handover_encode(const struct entry *e, struct buf *out);

/** handover_apply - take that over from @from, unless the store has told it already */
void handover_apply(struct entry *e, struct str text, const char *from);

/* peers.c */
struct peers;
struct peers *peers_create(struct entry *e, struct error *err);
void peers_destroy(struct peers *p);

/** peers_note_part - tell the others what an engine keeps, or will keep, of a prompt */
void peers_note_part(struct peers *p, const struct endpoint *ep, uint64_t part, int64_t tokens,
		     enum shared_part_state state);

/** peers_sum_endpoint - what the others have told of an endpoint that has just been listed */
void peers_sum_endpoint(const struct peers *p, struct endpoint *ep);

/** peers_note_load - the loads of this instance have changed */
void peers_note_load(struct peers *p);

/** peers_note_suspect - tell the others of a request that was running at crashes */
void peers_note_suspect(struct peers *p, uint64_t fingerprint, int crashes);

/** peers_most - greatest number of instances heard at the same time, this one included */
int peers_most(const struct peers *p);

/** peers_near - live instances of this data centre, this one included */
int peers_near(const struct peers *p);

/** peers_first - no live instance has a lower name */
bool peers_first(const struct peers *p);

/* caller.c */
struct caller;
void caller_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		   void *ctx);
void caller_destroy(struct caller *c);
void callers_sweep(struct entry *e, int64_t now_ms);

/** callers_close_idle - close connections on which no request has begun */
void callers_close_idle(struct entry *e);
void callers_destroy(struct entry *e);
void caller_write(struct caller *c, struct str bytes);

/** caller_done - the exchange has ended; @keep: its answer was complete */
void caller_done(struct caller *c, bool keep);

/* exchange.c */
struct exchange;

/**
 * exchange_begin - take a whole request over
 * @head: stays valid until caller_done() or exchange_cancel(), like @body
 *
 * @out: set to the exchange; caller_done() may be called from inside, and clears it then
 */
void exchange_begin(struct entry *e, struct caller *c, const struct http_head *head,
		    struct str body, int64_t begun_ms, struct exchange **out);

/** exchange_cancel - the caller has gone */
void exchange_cancel(struct exchange *x);

/** exchanges_sweep - notice endpoints that have fallen silent */
void exchanges_sweep(struct entry *e, int64_t now_ms);

/* probe.c */
void ready_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		  void *ctx);
void metrics_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa, int len,
		    void *ctx);

#endif
