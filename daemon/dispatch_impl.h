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
/* All requests of an engine that dies have to continue at once; a smaller burst delays them. */
#define RETRY_BURST 64
#define AVOID_MAX 8
/* Plain services whose slow calls are sent twice; calls of others are not. */
#define DISPATCH_HEDGES_MAX 64

/**
 * struct call_limits - settings that apply to one call
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
 * enum refusal - what kept a refused request from its first token in time
 * @REFUSAL_ENDPOINT: no usable set of roles
 * @REFUSAL_ARRIVAL: the backlog in front of it on arrival
 * @REFUSAL_TURN: the tickets in front of it, until its time was up
 * @REFUSAL_QUEUE: it was next, and the queues in the engines were as long as allowed
 * @REFUSAL_SLOTS: it was next, and no decode slot was free
 * @REFUSAL_LIMITS: it was next, and no engine met its limits
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

/** refusal_name - as in events and in the status */
const char *refusal_name(enum refusal r);

struct organisation {
	struct organisation *next;
	char name[ORGANISATION_NAME_MAX];
	struct retry_budget budget;
	int64_t admitted;
	int64_t refused;
	int64_t refused_by[REFUSAL_COUNT];
	int64_t tokens;
};

struct model_queue {
	char name[48];
	struct share_queue *shares;
	struct share_usage *usage;
	struct route_method method;
	int64_t admitted;
};

/**
 * struct placement - endpoints taken for one try of a generation
 * @split: prefill and decode run on two engines
 * @prefill: held only when @split
 * @run: engine that generates
 */
struct placement {
	bool split;
	struct fleet_slot prefill;
	struct fleet_slot run;
	struct route_choice choice;
};

/**
 * struct generation_work - a generation with what the data plane keeps about it
 * @fingerprint: for crash charges
 * @alone: suspect request; runs alone on an engine
 * @prefill_us: price of the prompt in engine time, likewise @decode_us of the expected output
 * @queued: was admitted, and charged, by the share queue
 * @refusal: why it was refused
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
 * @cands: scratch for route_pick(); front threads have small stacks
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
};

/**
 * struct service_call_work - a call to a plain service with what the data plane keeps about it
 * @avoid: endpoints that failed it
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

/** service_slot_acquire - take the usable endpoint with the fewest attempts; false when there is
 * none */
bool service_slot_acquire(struct dispatch *d, struct service_call_work *w, struct fleet_slot *slot);
void service_avoid_add(struct service_call_work *w, int id);

/**
 * service_attempt_run - one try of a call on the endpoint of @slot
 *
 * An idempotent call that takes longer than 95 of 100 gets a second sending on another endpoint
 * beside the first, within a budget; the first answer counts.
 *
 * Return: true with the answer in w->s; otherwise @sent tells whether it may have had an effect.
 */
bool service_attempt_run(struct dispatch *d, struct service_call_work *w,
			 const struct fleet_slot *slot, enum sent_state *sent);

/* dispatch.c */
void call_limits_load(struct dispatch *d, const char *organisation, const char *service,
		      struct call_limits *out);
struct organisation *organisation_get(struct dispatch *d, const char *name);
void outcome_set(struct outcome *out, int status, const char *type, const char *code,
		 const char *fmt, ...) __attribute__((format(printf, 5, 6)));

/** call_retry_decide - retry_decide() with the budgets of organisation and endpoint */
enum retry_verdict call_retry_decide(struct dispatch *d, const struct call *call,
				     struct organisation *org, const struct call_limits *limits,
				     const char *endpoint, enum call_kind kind,
				     enum sent_state sent, int64_t *delay_ms);

/* dispatch_admit.c */

/** admit - wait for admission; true with w->place taken, false with @out filled */
bool admission_wait(struct dispatch *d, struct generation_work *w, struct outcome *out);

/** model_get - queue of a model; NULL when there are too many models. Caller holds the lock. */
struct model_queue *model_get(struct dispatch *d, const char *name);

/** dispatch_pump - admit what fits now; called when capacity may have become free */
void dispatch_pump(struct dispatch *d, const char *model);
void dispatch_pump_all(struct dispatch *d);

/** work_settle_charge - correct the charge of the share once the request has ended */
void work_settle_charge(struct dispatch *d, struct generation_work *w);

/* dispatch_place.c */
/* A place that was not free is asked for again after this time. */
#define PLACE_RETRY_MS 10

/** work_fleet_query - what @w needs from an endpoint */
struct fleet_query work_fleet_query(const struct dispatch *d, const struct generation_work *w);

/** work_route_request - what route_pick() has to know about @w now */
struct route_request work_route_request(const struct generation_work *w);

/**
 * placement_choose - choose endpoints without taking them; the candidates stay in d->cands
 *
 * Caller holds the lock.
 */
bool placement_choose(struct dispatch *d, struct model_queue *m, struct generation_work *w,
		      const struct route_request *req, struct route_choice *out);

/** choice_is_idle - nothing waits or runs on the chosen endpoints */
bool choice_is_idle(const struct dispatch *d, const struct route_choice *c);

/**
 * placement_try_acquire - choose endpoints and take them
 * @force: take the best endpoints even when the limits are not met
 * @above: the organisation of @w has used more than its share lately
 *
 * Caller holds the lock.
 *
 * Return: true with w->place taken; false with @block set.
 */
bool placement_try_acquire(struct dispatch *d, struct model_queue *m, struct generation_work *w,
			   bool ignore_limits, bool over_share, enum refusal *reason);

/** placement_acquire_best - the best endpoints by now, whether the limits are met or not; does not
 * wait */
bool placement_acquire_best(struct dispatch *d, struct generation_work *w);

/* dispatch_alone.c */

/** placement_wait - endpoints for another attempt of an admitted request; blocks up to its deadline
 */
bool placement_wait(struct dispatch *d, struct generation_work *w);
void placement_release(struct dispatch *d, struct generation_work *w);

/** slot_release - fleet_release(), and the end of the slot's reservation */
void slot_release(struct dispatch *d, struct fleet_slot *slot);

/** slot_end_exclusive - fleet_slot_end_exclusive(), and the end of the slot's reservation */
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
 * struct attempt - result of one try
 * @sent: for ATTEMPT_FAILED
 * @crash: the engine died
 * @suspect: the engine refuses connections, which may be the network
 * @boot_id: of the engine when the attempt began; "" when unknown
 * @is_refused: the engine said that it did not run the request
 * @status: HTTP status for ATTEMPT_REJECTED
 * @endpoint: which one it was
 * @alone: no other request ran there in the whole region
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

/** body_is_not_run_error - error body of an endpoint with the type not_run */
bool body_is_not_run_error(struct str body);

/* dispatch_poll.c */
int poll_run(void *ctx, struct error *err);

#endif
