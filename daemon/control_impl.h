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

#define CONTROL_LISTED_INSTANCES_MAX 1024
#define CONTROL_STOPS_MAX PEER_LEAVING_MAX
#define CONTROL_LEASES_MAX 32
#define CONTROL_UNSETTLED_MAX 16
#define CONTROL_JOBS_MAX 32
#define CONTROL_SOURCES_MAX 64
#define CONTROL_DC_DEMANDS_MAX 64
#define CONTROL_RECENT_CHANGES_MAX 256
#define CONTROL_INBOX_MAX 1024
#define CONTROL_CLAIMS_MAX 8192
#define CONTROL_CLAIM_ANSWERS_MAX 256
#define CONTROL_WITHDRAWN_MAX 512
#define CONTROL_MODEL_MISMATCHES_MAX 64
/*
 * Load reports lag, so an endpoint that has just returned to service may still report its earlier
 * model. Every instance receives the stops, so that the next lease holder counts this time from the
 * same return.
 */
#define CONTROL_MODEL_SETTLE_MS 10000
#define CONTROL_RESERVES_MAX 64
#define CONTROL_RESERVE_MARKS_MAX 256
/* Senders whose last full list is kept: the delegates of the other data centres or the own one. */
#define CONTROL_LIVENESS_BASES_MAX 32
#define CONTROL_OPERATOR_ORDER "operator"

/**
 * struct liveness_base - lists of live members received from @sender
 * @at_ms: when @sender last sent a list, full or partial, boot clock
 */
struct liveness_base {
	char sender[MEMBER_ID_MAX];
	int64_t at_ms;
	struct liveness_received received;
};

/** struct listed_instance - entry of the platform's list of instances */
struct listed_instance {
	char id[MEMBER_ID_MAX];
	bool live;
};

/**
 * struct stop - endpoint that this instance sends no new work to because of an order
 * @holder: lease holder that requested the stop and receives the confirmations; "" when unknown
 * @at_ms: when the stop came into force, boot clock
 * @confirmed: this instance has confirmed to the holder that nothing is in flight
 */
struct stop {
	struct peer_endpoint_order order;
	char holder[MEMBER_ID_MAX];
	int64_t at_ms;
	bool confirmed;
};

/** struct unsettled_holder - earlier holder of a lease that may still send orders under it */
struct unsettled_holder {
	char id[MEMBER_ID_MAX];
	uint64_t incarnation;
};

/**
 * struct lease_slot - lease of one data centre
 * @next_ms: when the row is read next, boot clock
 * @fencing: fencing token at the last lease event that was recorded, 0 after a loss
 * @unsettled: holders that did not release the lease; read from the row, and kept in it by each
 *	write
 * @overflow: there were more of them than fit, so the lease never counts as settled
 * @intents_pending: the drain child has yet to read the intents of the data centre
 * @models_settled_ms: until then load reports may still show the model before the last model load
 */
struct lease_slot {
	char dc[MEMBER_DC_MAX];
	struct lease lease;
	int64_t next_ms;
	int64_t fencing;
	int unsettled_count;
	struct unsettled_holder unsettled[CONTROL_UNSETTLED_MAX];
	bool overflow;
	bool intents_pending;
	int64_t models_settled_ms;
};

/**
 * struct drain_job - drain that this instance runs as a lease holder
 * @version: version of the intent row, 0 before it is written
 * @resumed: the drain was begun by an earlier holder
 * @sent: the order may have reached the endpoint
 * @given_up: the endpoint returns to service without the order
 * @role_before: role that the endpoint returns with when the drain is given up
 * @next_ms: when the job is stepped next, boot clock
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

/**
 * struct model_mismatch - endpoint in service whose model differs from the configured one
 * @since_ms: when the mismatch was first seen, boot clock
 * @seen: the mismatch was found again in the current check
 */
struct model_mismatch {
	char endpoint[MEMBER_ID_MAX];
	int64_t since_ms;
	bool seen;
};

/**
 * struct demand_source - demand totals reported by one instance, and the rates derived from them
 * @at_ms: when the totals were received, boot clock
 */
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

/** struct dc_demand - demand of another data centre for one model, received at @at_ms */
struct dc_demand {
	struct peer_demand rate;
	int64_t at_ms;
};

enum own_claim_phase {
	OWN_CLAIMED,
	OWN_DISPATCHED,
	OWN_STORING,
};

/** struct own_claim - claim of this process whose outcome is not in the table yet */
struct own_claim {
	struct own_claim *next;
	char token[24];
	enum own_claim_phase phase;
};

/**
 * struct claim_task - pending write of a claim's outcome to the table
 * @value: row to write; NULL to delete the row
 * @next_ms: when the write is tried next, boot clock
 */
struct claim_task {
	struct claim_task *next;
	char key[PEER_KEY_MAX];
	char token[24];
	int64_t version;
	json_t *value;
	int64_t next_ms;
};

/**
 * struct own_reserve - engine that this instance reserves for a request suspected of crashing it
 * @handle: 0 when the slot is free
 * @stamp: hybrid logical time of the request; the lowest stamp wins between two reservations
 */
struct own_reserve {
	uint64_t handle;
	char endpoint[MEMBER_ID_MAX];
	char token[RESERVE_TOKEN_MAX];
	uint64_t stamp;
	int64_t begun_ms;
	struct reserve reserve;
};

/**
 * struct reserve_mark_slot - reservation of an engine by this or another instance
 * @mark: the reservation; the slot is free when it has no holder
 * @counted: the holder is another instance, and the slot is part of peer_mark_count
 * @confirmed: this instance has confirmed to the holder that none of its work is in flight there
 */
struct reserve_mark_slot {
	struct reserve_entry mark;
	bool counted;
	bool confirmed;
};

/** struct claim_answer_entry - answer of a claim's owner to this instance's query */
struct claim_answer_entry {
	char token[24];
	enum claim_answer answer;
};

/**
 * struct control - control plane of one instance
 * @has_left: control_leave() was called
 * @has_fleet: the endpoint list was received from the platform or a peer
 * @has_listed_fleet: the endpoint list came from the platform, which takes precedence over a peer
 * @has_intents: the stops in force were received from the platform or a peer
 * @has_crash_reports: a peer has sent which requests crash engines, or no peer responds
 * @started_ms: boot time of the start of this process
 * @has_read_intents: the stops came from the platform, which takes precedence over a peer
 * @role_changes: role changes that this instance has completed as a lease holder
 * @lock: guards all members after it unless noted; never held during a call that blocks
 * @entry_cursor: index of the first member for the entries of the next heartbeat
 * @fleet_fetch_cursor: index of the member that was last asked for its endpoint list
 * @heartbeat_count: heartbeats sent
 * @sent_liveness: members in the last two full lists, to [0] other data centres and [1] the own one
 * @heard_digest: digest of the directly heard members in the last full heartbeat
 * @listed_ms: when the platform's list was last applied, boot clock; 0 before the first list
 * @recent_changes: last changes to the configuration, indexed by version modulo the size
 * @newest_version: highest configuration version that a peer has announced
 * @newest_version_sender: the peer that announced @newest_version
 * @snapshot: configuration snapshot that is being received; used by the config child alone
 * @reserve_cond: signalled when a reservation of this instance is granted or lost
 * @peer_mark_count: reservations by other instances in @reserve_marks
 * @relay: load last sent to peers; used by the thread that polls engines alone
 * @config_lock: serialises publishing of configurations; taken without @lock held
 */
struct control {
	struct gate *gate;
	struct peer_bus *bus;
	struct http_pool *http;
	struct fleet *fleet;
	const struct settings *settings;
	_Atomic bool has_left;
	_Atomic bool has_fleet;
	_Atomic bool has_listed_fleet;
	_Atomic bool has_intents;
	_Atomic bool has_crash_reports;
	int64_t started_ms;
	_Atomic bool has_read_intents;
	_Atomic bool has_config;
	_Atomic int64_t role_changes;

	pthread_mutex_t lock;
	struct member_table *members;
	int entry_cursor;
	int fleet_fetch_cursor;
	int64_t heartbeat_ms;
	uint32_t heartbeat_count;
	struct liveness_sent sent_liveness[2];
	uint32_t heard_digest;
	struct liveness_base *liveness_bases[CONTROL_LIVENESS_BASES_MAX];

	struct listed_instance listed[CONTROL_LISTED_INSTANCES_MAX];
	int listed_instance_count;
	int64_t listed_ms;

	struct stop stops[CONTROL_STOPS_MAX];
	int stop_count;

	struct lease_slot leases[CONTROL_LEASES_MAX];
	int lease_count;
	struct drain_job jobs[CONTROL_JOBS_MAX];
	struct model_mismatch model_mismatches[CONTROL_MODEL_MISMATCHES_MAX];
	char withdrawn[CONTROL_WITHDRAWN_MAX][MEMBER_ID_MAX];
	int withdrawn_count;

	struct demand_source sources[CONTROL_SOURCES_MAX];
	int source_count;
	struct dc_demand dc_demands[CONTROL_DC_DEMANDS_MAX];
	int dc_demand_count;

	struct peer_message *inbox[CONTROL_INBOX_MAX];
	int inbox_count;
	struct peer_config_change recent_changes[CONTROL_RECENT_CHANGES_MAX];
	int64_t newest_version;
	char newest_version_sender[MEMBER_ID_MAX];

	struct snapshot_assembly snapshot;

	struct quarantine *quarantine;

	pthread_cond_t reserve_cond;
	uint64_t reserve_last_handle;
	_Atomic int own_reserve_count;
	_Atomic int peer_mark_count;
	struct own_reserve own_reserves[CONTROL_RESERVES_MAX];
	struct reserve_mark_slot reserve_marks[CONTROL_RESERVE_MARKS_MAX];

	struct own_claim *own_claims;
	int own_claim_count;
	struct claim_task *tasks;
	struct claim_answer_entry claim_answers[CONTROL_CLAIM_ANSWERS_MAX];
	int claim_answer_next;

	struct load_relay *relay;

	pthread_cond_t work_cond;

	pthread_mutex_t config_lock;
};

/* control.c */

/**
 * control_wait_for_work - wait until the calling child has work, then for one tick
 * @has_work: called with the lock held; what makes it true broadcasts @work_cond
 * @until_ms: time of clock_boot_ms() at which the child runs without work
 * @tick_ms: pause before work is done, so that work of one moment is done together
 *
 * Returns false once the child has been asked to stop.
 */
bool control_wait_for_work(struct control *c, bool (*has_work)(struct control *c), int64_t until_ms,
			   int tick_ms);

/** control_token_create - write a random token of 16 hexadecimal digits to @out */
void control_token_create(char out[24]);

/** control_member_address - peer address of member @id; false when it is not known */
bool control_member_address(struct control *c, const char *id, char out[MEMBER_ADDR_MAX]);

/** control_send - send @m to member @id; dropped when the member's address is not known */
void control_send(struct control *c, const char *id, struct peer_message *m);

/** control_broadcast - send @m to all other members that are not removed */
void control_broadcast(struct control *c, struct peer_message *m);

/* control_members.c */
void control_members_init(struct control *c);
int control_members_run(void *ctx, struct error *err);
void control_heartbeat_send(struct control *c, int64_t now);
void control_on_heartbeat(struct control *c, const struct peer_message *m);

/** control_member_is_alive - heard from recently, directly or through another member */
bool control_member_is_alive(const struct member *m);

/* control_liveness.c: liveness lists in heartbeats; the caller holds the lock. */
bool control_liveness_includes(const struct control *c, const struct member *m, bool to_own_dc);
void control_liveness_fill(struct control *c, bool to_own_dc, bool full, int64_t now,
			   struct liveness_list *out);

/** control_liveness_rebase - record the full lists sent with this heartbeat as base of later ones
 */
void control_liveness_rebase(struct control *c, int64_t now);
void control_liveness_apply(struct control *c, const char *sender, const struct liveness_list *l,
			    int64_t now);
void control_liveness_clear(struct control *c);

/* control_demand.c */
void control_demand_sample_own(struct control *c, int64_t now);
void control_demand_receive(struct control *c, const struct peer_message *m, int64_t now);
int control_demand_fill(struct control *c, struct peer_demand *out, int max, bool own_totals,
			bool dcs, int64_t now);
void control_demand_rate(struct control *c, const char *model, double *prefill, double *decode);

/* control_load.c */
void control_on_load(struct control *c, const struct peer_message *m);

/* control_stops.c */
void control_on_endpoint_leave(struct control *c, const struct peer_message *m);
void control_on_endpoint_return(struct control *c, const struct peer_message *m);
void control_stop_apply(struct control *c, const struct peer_endpoint_order *order,
			const char *holder);
void control_stop_end(struct control *c, const struct peer_endpoint_order *order);
void control_stops_confirm(struct control *c);
void control_stops_reconcile(struct control *c);
/* Reads all rows of intents. Return: 0, or -1 without any row. */
int control_intents_read(struct control *c, struct table_row **rows, int *count);
bool control_intent_parse(const struct table_row *row, struct peer_endpoint_order *out, char *dc,
			  size_t dc_size);
/* @role: role of the endpoint after the order, for orders that do not change it */
json_t *control_intent_json(const struct order *order, const char *dc, const char *holder,
			    enum endpoint_role role);

/* control_config.c */
int control_config_run(void *ctx, struct error *err);
void control_on_config(struct control *c, const struct peer_message *m);
void control_config_clear(struct control *c);
int64_t control_config_version(struct control *c);

/* control_log.c */
int control_log_read(struct control *c, struct error *err);
int control_log_load_snapshot(struct control *c, struct error *err);
json_t *control_change_json(const struct config_change *change, const char *token);
void control_change_key(char *out, size_t size, int64_t version);
int control_config_apply(struct control *c, const struct config_change *change, struct error *err);
void control_config_publish(struct control *c, struct config *next);

/* control_snapshot.c */
void control_snapshot_send(struct control *c, const char *to);
void control_snapshot_receive(struct control *c, const struct peer_message *m);

/* control_lease.c */
int control_lease_run(void *ctx, struct error *err);
bool control_lease_is_held(struct control *c, const char *dc, int64_t *fencing);
bool control_lease_is_held_with(struct control *c, const char *dc, int64_t fencing);
bool control_lease_is_settled(struct control *c, const char *dc);
void control_lease_release_all(struct control *c);

/* control_drain.c */
int control_drain_run(void *ctx, struct error *err);
void control_on_leave_ack(struct control *c, const struct peer_message *m);
bool control_drain_start(struct control *c, const char *dc, const char *endpoint,
			 enum endpoint_role from, enum endpoint_role to);

bool control_job_start(struct control *c, const struct order *order, const char *dc,
		       enum endpoint_role role_before);

/**
 * control_job_find_free - free job for a drain of @endpoint; the caller holds the lock
 * @known: out: a job for @endpoint runs already
 *
 * Return: NULL when a job runs already or none is free.
 */
struct drain_job *control_job_find_free(struct control *c, const char *endpoint, bool *known);
void control_job_init(struct control *c, struct drain_job *j, const struct order *order,
		      const char *dc);
enum drain_action control_job_step(struct control *c, struct drain_job *j,
				   enum drain_event_kind kind);

/* control_intent.c */
/* Resumes the drains of newly acquired leases; with @rescan those of all held leases. */
void control_intents_resume(struct control *c, bool rescan);
enum drain_action control_intent_write(struct control *c, struct drain_job *j);
enum drain_action control_intent_delete(struct control *c, struct drain_job *j);

/* control_withdraw.c */
void control_withdrawals_start(struct control *c);
void control_withdrawal_record(struct control *c, const char *endpoint);

/* control_models.c */
void control_models_rollout(struct control *c);
/* Delays the next model load in @dc until the load reports show the last one. */
void control_models_settle(struct control *c, const char *dc);

/* control_order.c */
enum order_reply {
	ORDER_REPLY_ACCEPTED,
	ORDER_REPLY_BUSY,
	ORDER_REPLY_STALE,
	ORDER_REPLY_NONE,
	ORDER_REPLY_DONE,
	ORDER_REPLY_RUNNING,
	ORDER_REPLY_NOT_FOUND,
};

/**
 * control_order_init - set the id, endpoint and fencing token of @order, whose kind is set
 *
 * Return: false when this instance may not send an order to @ep now.
 */
bool control_order_init(struct control *c, const struct endpoint_info *ep, const char *dc,
			struct order *order);
enum order_reply control_order_send(struct control *c, const struct endpoint_info *ep,
				    const struct order *order);
enum order_reply control_order_poll(struct control *c, const struct endpoint_info *ep,
				    const char *order_id);
bool control_endpoint_find(struct control *c, const char *name, struct endpoint_info *out);

/* control_role_starts.c */

/**
 * control_role_starts_read - read from the table which role changes the region has begun
 *
 * Return: false when the table could not be read.
 */
bool control_role_starts_read(struct control *c, struct role_starts *out);

/**
 * control_role_starts_add - record one more role change in the table before it starts
 *
 * After a write with unknown outcome the change does not start although it may be counted, so the
 * limit is never exceeded.
 *
 * Return: false when the limit is reached or the change could not be recorded.
 */
bool control_role_starts_add(struct control *c, int max_per_hour, struct role_starts *out);

/* control_roles.c */
int control_roles_run(void *ctx, struct error *err);

/* control_list.c */
int control_list_run(void *ctx, struct error *err);
bool control_instance_is_listed_live(const struct control *c, const char *id);
bool control_instance_is_listed(const struct control *c, const char *id);

/* control_fleet.c */
void control_fleet_fetch(struct control *c);
void control_on_fleet(struct control *c, const struct peer_message *m);

/* control_claim_store.c */

/** own_claim_add - register a claim of this process before its row is written; false when full */
bool own_claim_add(struct control *c, const char *token);

void own_claim_remove(struct control *c, const char *token);
bool own_claim_set_phase(struct control *c, const char *token, enum own_claim_phase from,
			 enum own_claim_phase to);
bool own_claim_exists(struct control *c, const char *token);
json_t *claim_row_json(const struct control *c, const struct claim_ticket *t,
		       enum claim_phase phase);
bool claim_row_parse(const struct table_row *in, struct claim_row *out);

/** claim_task_add - write @value (ownership taken) in the background; NULL deletes @token's row */
void claim_task_add(struct control *c, const char *key, const char *token, int64_t version,
		    json_t *value);

/**
 * claim_store - write the outcome @value (ownership taken) of a claim
 *
 * The first attempt is made at once while the platform answers, others in the background.
 */
void claim_store(struct control *c, struct claim_ticket *t, json_t *value);
int control_claims_run(void *ctx, struct error *err);
void control_claims_clear(struct control *c);

/* control_claims.c */
void control_on_claim(struct control *c, const struct peer_message *m);

/* control_expiry.c */

/** control_expiry_run - delete claim rows older than claim.keep-ms, on the lease holder only */
int control_expiry_run(void *ctx, struct error *err);

/* control_quarantine.c */
/* Processes the endpoints of the platform's list, requested at @asked_ms (boot clock). */
void control_quarantine_on_list(struct control *c, const struct endpoint_info *infos, int count,
				int64_t asked_ms);
void control_on_quarantine(struct control *c, const struct peer_message *m);

/* Sends all entries to the peer @id, which has just started and knows none. */
void control_quarantine_send_all(struct control *c, const char *id);

/* control_reserve.c */
void control_on_reserve(struct control *c, const struct peer_message *m);

/** control_reserve_run - renew own reservations and end those of others that are not renewed */
int control_reserve_run(void *ctx, struct error *err);

#endif
