#ifndef IBISGATE_DAEMON_CONTROL_IMPL_H
#define IBISGATE_DAEMON_CONTROL_IMPL_H

#include <pthread.h>
#include <stdatomic.h>

#include "ibisgate/daemon/control.h"
#include "ibisgate/net/http_call.h"
#include "ibisgate/net/peer.h"
#include "ibisgate/state/drain.h"
#include "ibisgate/state/lease.h"
#include "ibisgate/state/reserve.h"
#include "ibisgate/state/snapshot.h"

#define CONTROL_LISTED_MAX 1024
#define CONTROL_STOPS_MAX PEER_LEAVING_MAX
#define CONTROL_LEASES_MAX 32
#define CONTROL_UNSETTLED_MAX 16
#define CONTROL_JOBS_MAX 32
#define CONTROL_SOURCES_MAX 64
#define CONTROL_DC_DEMANDS_MAX 64
#define CONTROL_CHANGES_KEPT 256
#define CONTROL_INBOX_MAX 1024
#define CONTROL_CLAIMS_MAX 8192
#define CONTROL_ANSWERS_MAX 256
#define CONTROL_WITHDRAWN_MAX 512
#define CONTROL_WISHES_MAX 64
/*
 * Load reports lag, so an endpoint that has just returned may still show its earlier model. Every
 * instance sees the stops, so that a successor counts from the same return.
 */
#define CONTROL_MODEL_SETTLE_MS 10000
#define CONTROL_RESERVES_MAX 64
#define CONTROL_MARKS_MAX 256
/* Senders whose full lists are kept: the delegates of the other data centres or the own one. */
#define CONTROL_VOUCH_BASES 32
#define CONTROL_OPERATOR_ORDER "operator"

/** struct vouch_base - last full list of members that @sender vouches for */
struct vouch_base {
	char sender[MEMBER_ID_MAX];
	int64_t at_ms;
	struct vouch_set set;
};

/** struct listed - instance in the platform's list */
struct listed {
	char id[MEMBER_ID_MAX];
	bool live;
};

/**
 * struct stop - endpoint that this instance sends no new work to because of an order
 * @holder: lease holder that asked, gets the confirmations
 * @at_ms: when the stop came into force
 * @confirmed: the holder has been told that nothing is in flight
 */
struct stop {
	struct peer_order order;
	char holder[MEMBER_ID_MAX];
	int64_t at_ms;
	bool confirmed;
};

/** struct unsettled - earlier holder of a lease that may still act on it */
struct unsettled {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation;
};

/**
 * struct lease_slot - lease of one data centre
 * @fencing: last fencing number that was noted in the event timeline, 0 after a loss
 * @unsettled: holders that did not release; from the row, kept in it by each write
 * @overflow: more of them than fit, so that none may ever be forgotten
 * @load_intents: the drain child has yet to read the intents of the data centre
 * @models_settled_ms: until then the load reports may show the model before the last load
 */
struct lease_slot {
	char dc[MEMBER_DC_MAX];
	struct lease lease;
	int64_t next_ms;
	int64_t fencing;
	int unsettled_count;
	struct unsettled unsettled[CONTROL_UNSETTLED_MAX];
	bool overflow;
	bool load_intents;
	int64_t models_settled_ms;
};

/**
 * struct drain_job - one drain run by this lease holder
 * @version: version of the intent row, 0 before it is written
 * @resumed: begun by an earlier holder
 * @sent: the order may have reached the endpoint
 * @role_before: role to return to when the drain is given up
 */
struct drain_job {
	bool used;
	struct drain drain;
	char dc[MEMBER_DC_MAX];
	int64_t version;
	bool resumed;
	bool sent;
	bool given_up;
	enum endpoint_role role_before;
	int64_t begun_ms;
	int64_t next_ms;
};

/** struct model_wish - endpoint in service that has had another model than wanted since @since_ms
 */
struct model_wish {
	char endpoint[MEMBER_ID_MAX];
	int64_t since_ms;
	bool seen;
};

/** struct demand_source - running totals of one instance and the rates made of them */
struct demand_source {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation;
	int64_t at_ms;
	int count;
	struct {
		struct fleet_demand total;
		double prefill_rate;
		double decode_rate;
	} models[FLEET_MODELS_MAX];
};

struct dc_demand {
	struct peer_demand rate;
	int64_t at_ms;
};

enum own_phase {
	OWN_CLAIMED,
	OWN_DISPATCHED,
	OWN_STORING,
};

/** struct own_claim - claim of this process that is not settled in the table yet */
struct own_claim {
	struct own_claim *next;
	char token[24];
	enum own_phase phase;
};

/** struct claim_task - write of a result, or deletion, that is due in the table */
struct claim_task {
	struct claim_task *next;
	char key[PEER_KEY_MAX];
	char token[24];
	int64_t version;
	json_t *value;
	int64_t next_ms;
};

/** struct own_reserve - engine that this instance reserves for a suspect; free when @handle is 0 */
struct own_reserve {
	uint64_t handle;
	char endpoint[MEMBER_ID_MAX];
	char token[RESERVE_TOKEN_MAX];
	uint64_t stamp;
	int64_t begun_ms;
	struct reserve reserve;
};

/**
 * struct noted_mark - reservation of an engine by this or another instance; free without a holder
 * @counted: of another instance, and part of mark_count
 * @confirmed: the holder has been told that nothing of this instance runs there
 */
struct noted_mark {
	struct reserve_mark mark;
	bool counted;
	bool confirmed;
};

struct claim_note {
	char token[24];
	enum claim_answer answer;
};

/**
 * struct control - control plane of one instance
 * @fleet_known: endpoint list learned from the platform or a peer; likewise @intents_known
 * @fleet_listed: learned from the platform, whose word replaces that of a peer; likewise
 *	@intents_read
 * @lock: guards all that follows it; never held during a call that blocks
 */
struct control {
	struct gate *gate;
	struct peer_bus *bus;
	struct http_pool *http;
	struct fleet *fleet;
	const struct settings *settings;
	_Atomic bool left;
	_Atomic bool fleet_known;
	_Atomic bool fleet_listed;
	_Atomic bool intents_known;
	_Atomic bool intents_read;
	_Atomic bool config_known;
	_Atomic int64_t role_changes;

	pthread_mutex_t lock;
	struct member_table *members;
	int rotate;
	int fetch_next;
	int64_t beat_ms;
	uint32_t beats;
	/* Members in the last full lists: to other data centres, to the own one. */
	struct vouch_set vouched[2];
	uint32_t heard_digest;
	struct vouch_base *bases[CONTROL_VOUCH_BASES];

	struct listed listed[CONTROL_LISTED_MAX];
	int listed_count;
	int64_t listed_ms;

	struct stop stops[CONTROL_STOPS_MAX];
	int stop_count;

	struct lease_slot leases[CONTROL_LEASES_MAX];
	int lease_count;
	struct drain_job jobs[CONTROL_JOBS_MAX];
	struct model_wish wishes[CONTROL_WISHES_MAX];
	char withdrawn[CONTROL_WITHDRAWN_MAX][MEMBER_ID_MAX];
	int withdrawn_count;

	struct demand_source sources[CONTROL_SOURCES_MAX];
	int source_count;
	struct dc_demand dc_demands[CONTROL_DC_DEMANDS_MAX];
	int dc_demand_count;

	struct peer_message *inbox[CONTROL_INBOX_MAX];
	int inbox_count;
	struct peer_change kept[CONTROL_CHANGES_KEPT];
	int64_t version_heard;
	char version_from[MEMBER_ID_MAX];

	/* Belongs to the config child alone. */
	struct snapshot_assembly snapshot;

	struct quarantine *quarantine;

	/* @reserve_cond: a reservation of this instance was granted or lost */
	pthread_cond_t reserve_cond;
	uint64_t reserve_next;
	_Atomic int reserve_count;
	_Atomic int mark_count;
	struct own_reserve reserves[CONTROL_RESERVES_MAX];
	struct noted_mark marks[CONTROL_MARKS_MAX];

	struct own_claim *own_claims;
	int own_claim_count;
	struct claim_task *tasks;
	struct claim_note answers[CONTROL_ANSWERS_MAX];
	int answer_next;

	/* Of the thread that polls engines. */
	struct load_relay *relay;

	/* Serialises publishing of configurations; taken without @lock. */
	pthread_mutex_t config_lock;
};

/* control.c */
void control_token(char out[24]);
bool control_address_of(struct control *c, const char *id, char out[MEMBER_ADDR_MAX]);
void control_send(struct control *c, const char *id, struct peer_message *m);
void control_send_all(struct control *c, struct peer_message *m);

/* control_members.c */
void control_members_init(struct control *c);
int control_members_run(void *ctx, struct error *err);
void control_beat(struct control *c, int64_t now);
void control_on_heartbeat(struct control *c, const struct peer_message *m);

/** control_member_alive - heard lately, directly or not */
bool control_member_alive(const struct member *m);

/* control_vouch.c; the caller holds the lock */
bool control_passes_on(const struct control *c, const struct member *m, bool to_own_dc);
void control_vouch_fill(struct control *c, bool to_own_dc, bool full, int64_t now,
			struct vouch_list *out);

/** control_vouch_rebase - full lists go out with this heartbeat; later ones refer to them */
void control_vouch_rebase(struct control *c, int64_t now);
void control_vouch_heard(struct control *c, const char *sender, const struct vouch_list *l,
			 int64_t now);
void control_vouch_clear(struct control *c);

/* control_demand.c */
void control_demand_own(struct control *c, int64_t now);
void control_demand_heard(struct control *c, const struct peer_message *m, int64_t now);
int control_demand_fill(struct control *c, struct peer_demand *out, int max, bool own_totals,
			bool dcs, int64_t now);
void control_demand_of(struct control *c, const char *model, double *prefill, double *decode);

/* control_load.c */
void control_on_load(struct control *c, const struct peer_message *m);

/* control_stops.c */
void control_on_leave(struct control *c, const struct peer_message *m);
void control_on_return(struct control *c, const struct peer_message *m);
void control_stop_apply(struct control *c, const struct peer_order *order, const char *holder);
void control_stop_return(struct control *c, const struct peer_order *order);
void control_stops_confirm(struct control *c);
void control_stops_reconcile(struct control *c);
bool control_intent_parse(const struct table_row *row, struct peer_order *out, char *dc,
			  size_t dc_size);
/* @role: role after the order, for orders that do not change it */
json_t *control_intent_json(const struct order *order, const char *dc, const char *holder,
			    enum endpoint_role role);

/* control_config.c */
int control_config_run(void *ctx, struct error *err);
void control_on_config(struct control *c, const struct peer_message *m);
void control_config_clear(struct control *c);
int64_t control_config_version(struct control *c);

/* control_log.c */
int control_log_read(struct control *c, struct error *err);
int control_log_start(struct control *c, struct error *err);
json_t *control_change_json(const struct config_change *change, const char *token);
void control_change_key(char *out, size_t size, int64_t version);
int control_config_apply(struct control *c, const struct config_change *change, struct error *err);
void control_config_publish(struct control *c, struct config *next);

/* control_snapshot.c */
void control_snapshot_send(struct control *c, const char *to);
void control_snapshot_part(struct control *c, const struct peer_message *m);

/* control_lease.c */
int control_lease_run(void *ctx, struct error *err);
bool control_lease_held(struct control *c, const char *dc, int64_t *fencing);
bool control_lease_held_as(struct control *c, const char *dc, int64_t fencing);
bool control_lease_settled(struct control *c, const char *dc);
void control_lease_release_all(struct control *c);

/* control_drain.c */
int control_drain_run(void *ctx, struct error *err);
void control_on_ack(struct control *c, const struct peer_message *m);
bool control_drain_start(struct control *c, const char *dc, const char *endpoint,
			 enum endpoint_role from, enum endpoint_role to);

bool control_job_start(struct control *c, const struct order *order, const char *dc,
		       enum endpoint_role role_before);

/* @known: out: a job for @endpoint runs; otherwise a spare one is returned, NULL when none is left
 */
struct drain_job *control_job_for(struct control *c, const char *endpoint, bool *known);
void control_job_begin(struct control *c, struct drain_job *j, const struct order *order,
		       const char *dc);
enum drain_action control_job_feed(struct control *c, struct drain_job *j,
				   enum drain_event_kind kind);

/* control_intent.c */
/* Resumes the drains of leases that were acquired; with @rescan of all that are held. */
void control_intents_load(struct control *c, bool rescan);
enum drain_action control_intent_write(struct control *c, struct drain_job *j);
enum drain_action control_intent_clear(struct control *c, struct drain_job *j);

/* control_withdraw.c */
void control_withdraw_check(struct control *c);
void control_withdraw_done(struct control *c, const char *endpoint);

/* control_models.c */
void control_models_check(struct control *c);
/* Lets the load reports catch up before another engine of @dc loads a model. */
void control_models_settle(struct control *c, const char *dc);

/* control_order.c */
enum order_reply {
	ORDER_REPLY_ACCEPTED,
	ORDER_REPLY_BUSY,
	ORDER_REPLY_STALE,
	ORDER_REPLY_NONE,
	ORDER_REPLY_DONE,
	ORDER_REPLY_RUNNING,
	ORDER_REPLY_LOST,
};

/**
 * control_order_init - give @order of a known kind its id, endpoint and the number of the lease
 *
 * Return: false when this instance may give @ep no order now.
 */
bool control_order_init(struct control *c, const struct endpoint_info *ep, const char *dc,
			struct order *order);
enum order_reply control_order_send(struct control *c, const struct endpoint_info *ep,
				    const struct order *order);
enum order_reply control_order_poll(struct control *c, const struct endpoint_info *ep,
				    const char *order_id);
bool control_endpoint(struct control *c, const char *name, struct endpoint_info *out);

/* control_role_starts.c */

/** control_role_starts_read - changes begun in the region, from the table; false when it is not
 * known */
bool control_role_starts_read(struct control *c, struct role_starts *out);

/**
 * control_role_starts_take - count one more change in the table before it starts
 *
 * A write in doubt counts without a start, so the limit is never exceeded.
 *
 * Return: false when the limit is reached or the count could not be written.
 */
bool control_role_starts_take(struct control *c, int max_per_hour, struct role_starts *out);

/* control_roles.c */
int control_roles_run(void *ctx, struct error *err);

/* control_list.c */
int control_list_run(void *ctx, struct error *err);
bool control_listed_live(const struct control *c, const char *id);
bool control_listed(const struct control *c, const char *id);

/* control_fleet.c */
void control_fleet_fetch(struct control *c);
void control_on_fleet(struct control *c, const struct peer_message *m);

/* control_claim_store.c */

/** own_claim_add - note a claim of this process before its row is written; false when full */
bool own_claim_add(struct control *c, const char *token);
void own_claim_drop(struct control *c, const char *token);
bool own_claim_move(struct control *c, const char *token, enum own_phase from, enum own_phase to);
bool own_claim_known(struct control *c, const char *token);
json_t *claim_row_json(const struct control *c, const struct claim_ticket *t,
		       enum claim_phase phase);
bool claim_row_parse(const struct table_row *in, struct claim_row *out);

/** claim_task_add - write @value (stolen) in the background; NULL deletes a row with @token */
void claim_task_add(struct control *c, const char *key, const char *token, int64_t version,
		    json_t *value);

/** claim_store - write the outcome @value (stolen) of a claim, at once if the platform answers */
void claim_store(struct control *c, struct claim_ticket *t, json_t *value);
int control_claims_run(void *ctx, struct error *err);
void control_claims_clear(struct control *c);

/* control_claims.c */
void control_on_claim(struct control *c, const struct peer_message *m);

/* control_expiry.c */

/** control_expiry_run - lease holders delete claim rows older than claim.keep-ms */
int control_expiry_run(void *ctx, struct error *err);

/* control_quarantine.c */
/* Endpoints of the platform's list that was asked for at @asked_ms. */
void control_quarantine_listed(struct control *c, const struct endpoint_info *infos, int count,
			       int64_t asked_ms);
void control_on_quarantine(struct control *c, const struct peer_message *m);

/* control_reserve.c */
void control_on_reserve(struct control *c, const struct peer_message *m);

/** control_reserve_run - renews own reservations, ends those of others that are not renewed */
int control_reserve_run(void *ctx, struct error *err);

#endif
