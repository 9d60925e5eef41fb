#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/duty/duty.h"
#include "ibisgate/policy/stage_plan.h"
#include "internal.h"

/* Row of the lease that an instance must hold to order engines to change stage. */
#define LEASE_KEY "stages"

/*
 * The endpoint list must be unchanged for this long before the first plan is made, in milliseconds.
 */
#define DIRECTORY_SETTLE_MS 700

/*
 * An instance that isn't the first by name waits this long for the first to act, in milliseconds.
 */
#define STANDBY_DELAY_MS 4000

/* Maximum number of pending orders until callers are served. */
#define STARTUP_ORDERS_MAX 64

/*
 * Interval between orders once callers are served, in milliseconds, and share of the engines that
 * may have one at the same time: a stage change makes an engine unavailable for seconds, which is
 * longer than most swings of the request mix.
 */
#define ORDER_INTERVAL_MS 4000
#define ORDER_ENGINE_SHARE 0.05

/*
 * How long an order counts as pending while the endpoint list doesn't show its effect, in
 * milliseconds.
 */
#define ORDER_PENDING_MS 15000

/* Maximum time that an engine is avoided after accepting an order, in milliseconds. */
#define STAGE_CHANGE_MAX_MS 8000

/* Connect and silence timeouts of the request that carries an order, in milliseconds. */
#define ORDER_CONNECT_MS 300
#define ORDER_SILENCE_MS 1000

#define ENGINES_MAX 1024

/**
 * struct stages - scheduler for stage changes of engines
 * @plan_unmet_since_ms: since when the number of prefill engines should change; 0 when the plan
 *   is met
 * @served: callers have been served, so stage changes affect them
 */
struct stages {
	struct entry *entry;
	struct duty_host host;
	struct duty *duty;
	int64_t plan_unmet_since_ms;
	int64_t ordered_ms;
	bool served;
};

/**
 * struct order - an order in progress: the engine's report is read first, then the order is sent
 * @address: where the engine was listed when the order began
 * @awaiting_report: the request in flight is for the report, not the order itself
 */
struct order {
	struct stages *stages;
	struct endpoint *engine;
	char address[32];
	struct http_address to;
	enum engine_stage stage;
	int64_t fencing;
	bool awaiting_report;
};

static void on_order_done(void *ctx, const struct http_result *r);

static void order_destroy(struct order *o)
{
	endpoint_put(o->engine);
	free(o);
}

static void order_call(struct order *o, const struct buf *request)
{
	http_collect_start(o->stages->entry->endpoint_client,
			   &(struct http_exchange_spec){
				   .to = o->to,
				   .request = buf_str(request),
				   .needs_new_connection = true,
				   .connect_ms = ORDER_CONNECT_MS,
				   .read_timeout_ms = ORDER_SILENCE_MS,
				   .body_max_bytes = CONTROL_ANSWER_MAX_BYTES,
			   },
			   on_order_done, o);
}

/*
 * Sends the order once the engine has reported how many orders it has accepted; the engine accepts
 * only the next one in sequence.
 */
static void order_send(struct order *o, const struct http_result *r)
{
	struct stages *s = o->stages;
	struct engine_report report;
	struct buf request = { 0 };
	int64_t now = clock_boot_ms();

	if (r->status != 200 || !wire_report_decode(r->body, &report)) {
		log_warn("order-dropped", "endpoint=%s cause=no-report status=%d",
			 o->engine->entry.id, r->status);
		order_destroy(o);
		return;
	}
	/* The lease is checked last and must outlast the connection set-up of the order. */
	if (report.busy || o->engine->is_leaving || report.stage == o->stage ||
	    !duty_is_held_with(s->duty, o->fencing, ORDER_CONNECT_MS, now)) {
		log_info("order-dropped", "endpoint=%s busy=%d leaving=%d stage=%d lease=%d",
			 o->engine->entry.id, report.busy, o->engine->is_leaving, (int)report.stage,
			 duty_is_held(s->duty, 0, now, NULL));
		order_destroy(o);
		return;
	}
	log_info("order",
		 "endpoint=%s stage=%d former=%d fencing=%" PRId64 " order_seq=%" PRId64
		 " lease_left_ms=%" PRId64,
		 o->engine->entry.id, (int)o->stage, (int)report.stage, o->fencing,
		 report.order_seq, duty_left_ms(s->duty, now));
	wire_order_encode(&request, &(struct stage_order){ .address = o->address,
							   .expected_id = o->engine->entry.id,
							   .stage = o->stage,
							   .holder = s->host.self,
							   .fencing = o->fencing,
							   .order_seq = report.order_seq });
	metric_add(METRIC_ROLE_CHANGES, 1);
	o->awaiting_report = false;
	order_call(o, &request);
	buf_free(&request);
}

/*
 * Marks the engine as changing stage: it rejects requests until its list entry shows the new stage.
 */
static void mark_stage_changing(const struct order *o)
{
	struct endpoint *ep;

	cds_list_for_each_entry(ep, &o->stages->entry->endpoints, link) {
		if (strcmp(ep->entry.id, o->engine->entry.id) != 0 || ep->entry.stage == o->stage)
			continue;
		ep->stage_change_until_ms = clock_boot_ms() + STAGE_CHANGE_MAX_MS;
		peers_mark_changed(o->stages->entry->peers);
	}
}

static void on_order_done(void *ctx, const struct http_result *r)
{
	struct order *o = ctx;

	if (!r->status) {
		/* The engine may still carry out the order; its list entry will show that. */
		log_warn("order-unanswered", "endpoint=%s told=%d cause=%s", o->engine->entry.id,
			 !o->awaiting_report, http_failure_name(r->failure));
		order_destroy(o);
		return;
	}
	endpoint_apply_result(o->stages->entry, o->engine, r);
	if (o->awaiting_report) {
		order_send(o, r);
		return;
	}
	log_info("order-answered", "endpoint=%s status=%d", o->engine->entry.id, r->status);
	if (r->status == 202)
		mark_stage_changing(o);
	order_destroy(o);
}

static void order_begin(struct stages *s, struct endpoint *ep, enum engine_stage to, int64_t now)
{
	struct order *o = mem_zalloc(sizeof(*o));
	struct buf request = { 0 };

	o->stages = s;
	o->engine = ep;
	ep->refs++;
	str_copy(o->address, sizeof(o->address), str_from(ep->entry.address));
	o->to = ep->address;
	o->stage = to;
	o->fencing = duty_fencing(s->duty);
	o->awaiting_report = true;
	ep->order_pending_until_ms = now + ORDER_PENDING_MS;
	ep->ordered_stage = to;
	s->ordered_ms = now;
	wire_report_request_encode(&request, o->address);
	order_call(o, &request);
	buf_free(&request);
}

static bool order_is_pending(const struct endpoint *ep, int64_t now)
{
	return now < ep->order_pending_until_ms && ep->entry.stage != ep->ordered_stage;
}

/** struct service_engines - engines of one service as input for the planner */
struct service_engines {
	struct endpoint *eps[ENGINES_MAX];
	struct stage_engine engines[ENGINES_MAX];
	int count;
	int pending;
};

static void service_engines_collect(const struct stages *s, struct str service, int64_t now,
				    struct service_engines *v)
{
	struct endpoint *ep;

	v->count = 0;
	v->pending = 0;
	cds_list_for_each_entry(ep, &s->entry->endpoints, link) {
		bool pending = order_is_pending(ep, now);

		if (v->count == ENGINES_MAX || !str_eq_cstr(service, ep->entry.service) ||
		    ep->is_leaving || ep->entry.stage == STAGE_NONE)
			continue;
		v->eps[v->count] = ep;
		v->engines[v->count++] = (struct stage_engine){
			.stage = pending ? ep->ordered_stage : ep->entry.stage,
			.dc = ep->dc,
			.change_blocked = pending || !endpoint_is_available(ep, now),
		};
		v->pending += pending;
	}
}

static int engines_prefill_count(const struct service_engines *v)
{
	int n = 0;

	for (int i = 0; i < v->count; i++)
		n += v->engines[i].stage == STAGE_PREFILL;
	return n;
}

static double prefill_share_current(const struct service_engines *v)
{
	return v->count ? (double)engines_prefill_count(v) / v->count : 0;
}

/*
 * Target share of engines in the prefill stage: until callers arrive the share from the settings,
 * afterwards the share that fits their demand. An instance that starts later has to see requests
 * first; until then it keeps the current share, which may well be right.
 */
static double prefill_share_target(const struct stages *s, struct service *service, int slots,
				   const struct service_engines *v)
{
	const struct stage_demand *d = &service->demand;
	double target = service->prefill_share;
	double next;

	if (target < 0 && !s->served && s->entry->settings.stages.order_at_start)
		target = service->prefill_share =
			stage_demand_prior_share(s->entry->settings.stages.prefill_share, slots);
	if (target < 0)
		target = prefill_share_current(v);
	if (!v->count || !stage_demand_has_enough_samples(d))
		return target;
	next = stage_demand_apply_hysteresis(stage_demand_share(d), target, v->count);
	if (next != service->prefill_share)
		log_info("stage-share",
			 "service=%s share=%.2f former=%.2f engines=%d prefill=%d "
			 "asked_prefill_ms=%.0f "
			 "asked_decode_ms=%.0f requests=%.0f pace_ms=%.1f events=%.1f",
			 service->name.data, next, service->prefill_share, v->count,
			 engines_prefill_count(v), d->prefill, d->decode, d->samples,
			 d->event_interval_ms, d->events);
	service->prefill_share = next;
	return next;
}

/* Maximum number of orders pending at the same time. */
static int orders_max(const struct stages *s, int engines)
{
	int part = (int)(ORDER_ENGINE_SHARE * engines);

	if (!s->served)
		return STARTUP_ORDERS_MAX;
	/* A late answer to one order must not hold up the others. */
	return part > 2 ? part : 2;
}

/*
 * Returns whether the engines of a service differ from the plan. Sends orders if the lease is held.
 */
static bool plan_service(struct stages *s, struct service *service, int slots, int64_t now,
			 bool held)
{
	static struct service_engines v;
	enum engine_stage to;
	bool due = !s->served || now - s->ordered_ms >= ORDER_INTERVAL_MS;
	double share;
	int at;

	service_engines_collect(s, buf_str(&service->name), now, &v);
	share = prefill_share_target(s, service, slots, &v);
	/*
	 * Only the first instance plans: instances compute slightly different shares and would
	 * revert each other's changes.
	 */
	if (s->served && !peers_self_is_first(s->entry->peers))
		return false;
	at = stage_plan_next(v.engines, v.count, share, &to);
	if (at < 0)
		return false;
	while (held && due && at >= 0 && v.pending < orders_max(s, v.count)) {
		order_begin(s, v.eps[at], to, now);
		service_engines_collect(s, buf_str(&service->name), now, &v);
		at = stage_plan_next(v.engines, v.count, share, &to);
	}
	return true;
}

static bool plan_step(struct stages *s, int64_t now, bool held)
{
	const struct routing_table *t = s->entry->table;
	bool wanted = false;

	for (int i = 0; i < t->service_count; i++) {
		const struct service_spec *spec = &t->services[i];

		if (spec->engine.present)
			wanted |= plan_service(s, service_find(s->entry, buf_str(&spec->name)),
					       spec->engine.slots, now, held);
	}
	return wanted;
}

void stages_step(struct stages *s, int64_t now)
{
	bool held = duty_is_held(s->duty, 0, now, NULL);

	if (!entry_is_ready(s->entry) || s->entry->settings.stages.prefill_share < 0)
		return;
	if (metric_get(METRIC_ATTEMPTS) > 0)
		s->served = true;
	if (now - s->entry->directory_changed_ms < DIRECTORY_SETTLE_MS)
		return;
	if (!plan_step(s, now, held)) {
		s->plan_unmet_since_ms = 0;
		duty_step(s->duty,
			  s->served && peers_self_is_first(s->entry->peers) ? DUTY_WATCH
									    : DUTY_IGNORE,
			  now);
		return;
	}
	if (!s->plan_unmet_since_ms)
		s->plan_unmet_since_ms = now;
	/* Changes in the endpoint list show that the first instance is acting. */
	if (!peers_self_is_first(s->entry->peers) &&
	    (now - s->plan_unmet_since_ms < STANDBY_DELAY_MS ||
	     now - s->entry->directory_changed_ms < STANDBY_DELAY_MS))
		return;
	duty_step(s->duty, DUTY_HOLD, now);
}

struct stages *stages_create(struct entry *e)
{
	struct stages *s = mem_zalloc(sizeof(*s));

	s->entry = e;
	entry_duty_host(e, &s->host);
	s->host.lease_ms = 0;
	s->duty = duty_create(&s->host, LEASE_KEY);
	return s;
}

void stages_destroy(struct stages *s)
{
	if (!s)
		return;
	duty_destroy(s->duty);
	free(s);
}
