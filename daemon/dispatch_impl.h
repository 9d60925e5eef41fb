#ifndef DAEMON_DISPATCH_IMPL_H
#define DAEMON_DISPATCH_IMPL_H

#include <pthread.h>

#include "ibisgate/daemon/control.h"
#include "ibisgate/daemon/dispatch_use.h"
#include "ibisgate/daemon/fleet_use.h"
#include "ibisgate/net/link.h"
#include "ibisgate/policy/hedge.h"

#define DISPATCH_MODELS_MAX FLEET_MODELS_MAX
#define DISPATCH_ORGANISATION_BUCKETS 1024
/* Lets all requests of an engine that dies be retried at once; a smaller burst delays them. */
#define RETRY_BURST 64
#define AVOID_MAX 8
/* Maximum number of plain services with hedged calls; calls of further services aren't hedged. */
#define DISPATCH_HEDGES_MAX 64

/**
 * struct call_limits - settings that apply to one call
 * @first_token_ms: limit of the time to first token
 * @gap_ms: limit of the time between tokens
 * @total_ms: limit of the whole request
 * @hedge_ratio: maximum share of hedged calls
 * @admission: use the admission queue
 * @queue_max: maximum length of the admission queue
 * @output_tokens: output length assumed for requests without max_tokens
 */
struct call_limits {
	struct route_method method;
	int64_t first_token_ms;
	int64_t gap_ms;
	int64_t total_ms;
	struct retry_limits retry;
	double hedge_ratio;
	int max_attempts;
	bool admission;
	int queue_max;
	int64_t output_tokens;
};

/**
 * enum refusal - why a request was refused
 * @REFUSAL_ENDPOINT: no usable combination of engine roles
 * @REFUSAL_ARRIVAL: the admission queue was too long on arrival
 * @REFUSAL_TURN: other tickets were ahead in the admission queue until the deadline
 * @REFUSAL_QUEUE: at the head of the queue, but the engine queues were at their limit
 * @REFUSAL_SLOTS: at the head of the queue, but no decode slot was free
 * @REFUSAL_LIMITS: at the head of the queue, but no engine could meet the request's limits
 */
enum refusal {
	REFUSAL_ENDPOINT,
	REFUSAL_ARRIVAL,
	REFUSAL_TURN,
	REFUSAL_QUEUE,
	REFUSAL_SLOTS,
	REFUSAL_LIMITS,
	REFUSAL_COUNT,
};

/** refusal_name - name of @r in events and in the status */
const char *refusal_name(enum refusal r);

/**
 * struct organisation - counters and retry budget of one organisation
 * @refused_by: refused requests for each reason
 * @tokens: generated tokens
 */
struct organisation {
	struct organisation *next;
	char name[ORGANISATION_NAME_MAX];
	struct retry_budget budget;
	int64_t admitted;
	int64_t refused;
	int64_t refused_by[REFUSAL_COUNT];
	int64_t tokens;
};

/**
 * struct model_queue - admission queue of one model
 * @shares: fair queue of the waiting requests
 * @usage: recent use by each organisation
 * @method: routing method with its state
 */
struct model_queue {
	char name[48];
	struct share_queue *shares;
	struct share_usage *usage;
	struct route_method method;
	int64_t admitted;
};

/**
 * struct placement - endpoints acquired for one attempt of a generation
 * @split: prefill and decode run on different engines
 * @prefill: slot on the prefill engine; held only when @split
 * @run: slot on the engine that generates
 */
struct placement {
	bool split;
	struct fleet_slot prefill;
	struct fleet_slot run;
	struct route_choice choice;
};

/**
 * struct generation_work - data plane state of a generation
 * @salt: KV cache salt of the organisation
 * @fingerprint: identifies equal requests when crashes are charged
 * @is_suspect: the request may have crashed an engine, and runs on an engine reserved for it
 * @output_tokens: expected output length
 * @first_token_by_ms: boot time by which the first token is due
 * @avoid: ids of endpoints that failed the request
 * @prefill_us: estimated engine time of the prompt
 * @decode_us: estimated engine time of the expected output
 * @queued: was admitted, and charged, by the share queue
 * @refusal: why the request was refused
 */
struct generation_work {
	struct generation *g;
	struct call_limits limits;
	struct organisation *org;
	struct prefix prefix;
	uint64_t salt;
	uint64_t fingerprint;
	bool is_suspect;
	int64_t prompt_tokens;
	int64_t output_tokens;
	int64_t first_token_by_ms;
	int avoid[AVOID_MAX];
	int avoid_count;
	struct placement place;
	int64_t prefill_us;
	int64_t decode_us;
	bool queued;
	enum refusal refusal;
};

struct service_hedge {
	char service[64];
	struct hedge hedge;
};

/**
 * struct dispatch - data plane
 * @lock: protects everything below it; taken before the fleet's lock
 * @cands: candidates for route_pick(); not on the stack, which is small in front threads
 * @cand_count: number of those that placement_choose() looked at last
 */
struct dispatch {
	struct gate *gate;
	struct link *link;
	pthread_mutex_t lock;
	struct model_queue models[DISPATCH_MODELS_MAX];
	int model_count;
	struct organisation *organisations[DISPATCH_ORGANISATION_BUCKETS];
	struct service_hedge hedges[DISPATCH_HEDGES_MAX];
	int hedge_count;
	struct route_candidate cands[FLEET_ENDPOINTS_MAX];
	int cand_count;
};

/**
 * struct service_call_work - data plane state of a call to a plain service
 * @avoid: ids of endpoints that failed the call
 */
struct service_call_work {
	struct service_call *s;
	struct call_limits limits;
	struct organisation *org;
	enum call_kind kind;
	int avoid[AVOID_MAX];
	int avoid_count;
};

/* dispatch_call.c */

/**
 * service_choose - usable endpoint with the fewest attempts; NULL when there is none
 * @count: set to the number of candidates in d->cands, which the result points into
 *
 * Caller holds the lock.
 */
const struct route_candidate *service_choose(struct dispatch *d, const struct service_call_work *w,
					     int *count);

/* dispatch_service.c */

/** service_call_lookup - set w->kind; false when the configuration has no plain service of that
 * name */
bool service_call_lookup(struct dispatch *d, struct service_call_work *w);

/** service_call_describe - set the limits and the deadline of a call */
void service_call_describe(struct dispatch *d, struct service_call_work *w);

/* dispatch_call.c */

/** service_slot_acquire - acquire a slot on the usable endpoint with the fewest attempts, if any */
bool service_slot_acquire(struct dispatch *d, struct service_call_work *w, struct fleet_slot *slot);

/** service_avoid_add - record that endpoint @id failed the call; ignored beyond AVOID_MAX */
void service_avoid_add(struct service_call_work *w, int id);

/**
 * service_attempt_run - run one attempt of a call on the endpoint of @slot
 * @sent: out: whether the call may have taken effect
 *
 * An idempotent call that is slower than 95 % of the calls is hedged within a budget: a second
 * request goes to another endpoint, and the first response is used.
 *
 * Return: true with the response in w->s; false when there was none.
 */
bool service_attempt_run(struct dispatch *d, struct service_call_work *w,
			 const struct fleet_slot *slot, enum sent_state *sent);

/* dispatch.c */
void call_limits_load(struct dispatch *d, const char *organisation, const char *service,
		      struct call_limits *out);

/** organisation_get - find or add an organisation. Caller holds the lock. */
struct organisation *organisation_get(struct dispatch *d, const char *name);
void outcome_set(struct outcome *out, int status, const char *type, const char *code,
		 const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/** call_retry_decide - call retry_decide() with the budgets of the organisation and @endpoint */
enum retry_verdict call_retry_decide(struct dispatch *d, const struct call *call,
				     struct organisation *org, const struct call_limits *limits,
				     const char *endpoint, enum call_kind kind,
				     enum sent_state sent, int64_t *delay_ms);

/* dispatch_generate.c */

/**
 * model_service_find - find the name of the service that offers the model of @g; it is the model's
 * name when no service is configured
 *
 * Sets the class of a call that names none. Return: false when neither the configuration nor the
 * fleet has the model.
 */
bool model_service_find(struct dispatch *d, struct generation *g, char *name, size_t size);

/** work_describe - initialise @w but for what counts it: its organisation and its fingerprint */
void work_describe(struct dispatch *d, struct generation_work *w, struct generation *g,
		   const char *service);

/* dispatch_admit.c */

/**
 * struct admission_estimate - what a request would take if nothing limited it
 * @best: endpoints that it was estimated for, in d->cands
 * @rate: engine microseconds that this instance can admit per microsecond
 */
struct admission_estimate {
	struct route_choice best;
	double rate;
};

/**
 * admission_estimate - estimate the engine time of @w and the time by which its first token is due
 * @m: only its routing method may change
 * @instances: live instances
 *
 * Caller holds the lock.
 *
 * Return: false when no endpoint is usable.
 */
bool admission_estimate(struct dispatch *d, struct model_queue *m, struct generation_work *w,
			int instances, struct admission_estimate *out);

/**
 * admission_arrive - whether a request may wait for admission, or be admitted
 * @e: estimate for it; the candidates are still in d->cands
 * @ticket: set to its ticket, which is in no queue yet
 * @wait_us: set to the time until it is expected to be admitted
 *
 * Caller holds the lock.
 */
bool admission_arrive(struct dispatch *d, const struct model_queue *m, struct generation_work *w,
		      const struct admission_estimate *e, int64_t now_ms,
		      struct share_ticket *ticket, int64_t *wait_us);

/** model_find - a model's queue; NULL when it has none yet. Caller holds the lock. */
struct model_queue *model_find(struct dispatch *d, const char *name);

/** admission_wait - wait for admission; true with w->place acquired, false with @out filled */
bool admission_wait(struct dispatch *d, struct generation_work *w, struct outcome *out);

/** model_get - find or add a model's queue; NULL if there are too many. Caller holds the lock. */
struct model_queue *model_get(struct dispatch *d, const char *name);

/** dispatch_pump - admit waiting requests of @model; called when capacity may have become free */
void dispatch_pump(struct dispatch *d, const char *model);
void dispatch_pump_all(struct dispatch *d);

/** work_settle_charge - correct the organisation's charge after the request to the actual output */
void work_settle_charge(struct dispatch *d, struct generation_work *w);

/* dispatch_place.c */
/* Interval between attempts to acquire a placement. */
#define PLACE_RETRY_MS 10

/** work_fleet_query - requirements of @w as a query to the fleet */
struct fleet_query work_fleet_query(const struct dispatch *d, const struct generation_work *w);

/** work_route_request - remaining prompt, output and limits of @w as input of route_pick() */
struct route_request work_route_request(const struct generation_work *w);

/**
 * placement_choose - choose endpoints without acquiring them; the candidates stay in d->cands
 *
 * Caller holds the lock.
 */
bool placement_choose(struct dispatch *d, struct model_queue *m, struct generation_work *w,
		      const struct route_request *req, struct route_choice *out);

/** choice_is_idle - whether no request waits for prefill or is in decode on the chosen endpoints */
bool choice_is_idle(const struct dispatch *d, const struct route_choice *c);

/**
 * placement_check - choose endpoints and decide whether they may be used, without acquiring them
 *
 * For the arguments see placement_try_acquire(). Return: true with @choice set.
 */
bool placement_check(struct dispatch *d, struct model_queue *m, struct generation_work *w,
		     bool ignore_limits, bool over_share, struct route_choice *choice,
		     enum refusal *reason);

/**
 * placement_try_acquire - choose endpoints and acquire slots on them
 * @ignore_limits: acquire the best endpoints even when they don't meet the limits
 * @over_share: the organisation of @w has recently used more than its share
 * @reason: out: why nothing was acquired
 *
 * Caller holds the lock.
 *
 * Return: true with w->place acquired; false with @reason set.
 */
bool placement_try_acquire(struct dispatch *d, struct model_queue *m, struct generation_work *w,
			   bool ignore_limits, bool over_share, enum refusal *reason);

/** placement_acquire_best - acquire the best endpoints now, whether they meet the limits or not */
bool placement_acquire_best(struct dispatch *d, struct generation_work *w);

/* dispatch_exclusive.c */

/** placement_wait - acquire endpoints for the next attempt; blocks until the request's deadline */
bool placement_wait(struct dispatch *d, struct generation_work *w);
void placement_release(struct dispatch *d, struct generation_work *w);

/** slot_release - call fleet_slot_release() and end the slot's region-wide reservation */
void slot_release(struct dispatch *d, struct fleet_slot *slot);

/** slot_end_exclusive - call fleet_slot_end_exclusive() and end the region-wide reservation */
void slot_end_exclusive(struct dispatch *d, struct fleet_slot *slot);

/* dispatch_attempt.c */
enum attempt_result {
	ATTEMPT_DONE,
	ATTEMPT_FAILED,
	ATTEMPT_CALLER_GONE,
	ATTEMPT_DEADLINE,
	ATTEMPT_REJECTED,
};

/**
 * struct attempt - result of one attempt
 * @sent: whether the engine may have run the request, for ATTEMPT_FAILED
 * @has_crashed: the engine's process has ended
 * @may_have_crashed: the engine refuses or resets connections; a network fault can't be excluded
 * @boot_id: boot id of the engine when the attempt began; "" when unknown
 * @is_refused: the engine reported that it did not run the request
 * @status: HTTP status for ATTEMPT_REJECTED
 * @reason: machine-readable reason of the failure, static string
 * @endpoint: name of the engine
 * @was_exclusive: no other request of the region ran on the engine
 */
struct attempt {
	enum attempt_result result;
	enum sent_state sent;
	bool has_crashed;
	bool may_have_crashed;
	char boot_id[24];
	bool is_refused;
	int status;
	const char *reason;
	char endpoint[ENDPOINT_NAME_MAX];
	int endpoint_id;
	bool was_exclusive;
};

void attempt_run(struct dispatch *d, struct generation_work *w, struct attempt *a);

/** body_is_not_run_error - whether @body is an error of the type not_run */
bool body_is_not_run_error(struct str body);

/* dispatch_poll.c */
/** poll_run - thread that polls engines for load reports and cache events */
int poll_run(void *ctx, struct error *err);

#endif
