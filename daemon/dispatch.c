#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"

#define PUMP_INTERVAL_MS 10

static int64_t setting_i64(const struct config *c, const char *name,
			   const struct config_scope *scope, int64_t builtin)
{
	return c && config_setting(c, name, scope) ? config_i64(c, name, scope) : builtin;
}

static double setting_double(const struct config *c, const char *name,
			     const struct config_scope *scope, double builtin)
{
	return c && config_setting(c, name, scope) ? config_double(c, name, scope) : builtin;
}

static void service_limits(const struct config *c, const char *service, struct call_limits *out)
{
	struct config_service s;

	if (!c || !config_service(c, service, &s))
		return;
	if (s.deadline_ms)
		out->total_ms = s.deadline_ms;
	if (s.first_token_ms)
		out->first_token_ms = s.first_token_ms;
	if (s.gap_ms)
		out->gap_ms = s.gap_ms;
}

void call_limits_load(struct dispatch *d, const char *organisation, const char *service,
		      struct call_limits *out)
{
	struct config_scope scope = {
		.organisation = organisation,
		.service = service,
		.dc = d->gate->settings.instance.dc,
		.wall_ms = clock_wall_ms(),
	};
	const struct config *c;
	const char *method = NULL;

	rcu_read_lock();
	c = rcu_dereference(d->gate->config);
	if (c && config_setting(c, SETTING_ROUTE_METHOD, &scope))
		method = config_cstr(c, SETTING_ROUTE_METHOD, &scope);
	if (!method || !route_method_parse(method, &out->method))
		out->method = (struct route_method){ .kind = ROUTE_EXPECTED_FINISH };
	out->first_token_ms = setting_i64(c, SETTING_FIRST_TOKEN_MS, &scope, 640);
	out->gap_ms = setting_i64(c, SETTING_GAP_MS, &scope, 59);
	out->total_ms = setting_i64(c, SETTING_TOTAL_MS, &scope, 120000);
	out->retry.ratio = setting_double(c, SETTING_RETRY_RATIO, &scope, 0.1);
	out->retry.min_per_s = setting_double(c, SETTING_RETRY_MIN_PER_S, &scope, 3);
	out->retry.burst_tokens = RETRY_BURST;
	out->hedge_ratio = setting_double(c, SETTING_HEDGE_RATIO, &scope, 0.05);
	out->max_attempts = (int)setting_i64(c, SETTING_RETRY_MAX_ATTEMPTS, &scope, 4);
	out->admission = setting_i64(c, SETTING_ADMISSION_ENABLED, &scope, 1) != 0;
	out->queue_max = (int)setting_i64(c, SETTING_ADMISSION_QUEUE_MAX, &scope, 1000);
	out->output_tokens = setting_i64(c, SETTING_OUTPUT_TOKENS, &scope, 256);
	service_limits(c, service, out);
	rcu_read_unlock();
}

struct organisation *organisation_get(struct dispatch *d, const char *name)
{
	struct organisation **slot;
	struct organisation *org;

	slot = &d->organisations[hash_str(str_from(name), 0) % DISPATCH_ORGANISATION_BUCKETS];
	for (org = *slot; org; org = org->next) {
		if (strcmp(org->name, name) == 0)
			return org;
	}
	org = mem_zalloc(sizeof(*org));
	str_copy(org->name, sizeof(org->name), str_from(name));
	org->next = *slot;
	*slot = org;
	return org;
}

void outcome_set(struct outcome *out, int status, const char *type, const char *code,
		 const char *fmt, ...)
{
	va_list ap;

	*out = (struct outcome){ .status = status, .type = type, .code = code };
	va_start(ap, fmt);
	vsnprintf(out->message, sizeof(out->message), fmt, ap);
	va_end(ap);
}

enum retry_verdict call_retry_decide(struct dispatch *d, const struct call *call,
				     struct organisation *org, const struct call_limits *limits,
				     const char *endpoint, enum call_kind kind,
				     enum sent_state sent, int64_t *delay_ms)
{
	struct retry_query q = {
		.kind = kind,
		.sent = sent,
		.attempt = call->attempts,
		.max_attempts = limits->max_attempts,
		.now_ms = clock_boot_ms(),
		.deadline_ms = call->deadline_ms,
		.min_work_ms = 1,
		.random = random_u64(),
	};
	enum retry_verdict v;

	pthread_mutex_lock(&d->lock);
	v = fleet_retry_decide(d->gate->fleet, endpoint, &q, &org->budget, &limits->retry,
			       delay_ms);
	pthread_mutex_unlock(&d->lock);
	if (v == RETRY_ALLOWED)
		metric_add(METRIC_RETRIES, 1);
	else if (v == RETRY_BUDGET_EXHAUSTED)
		metric_add(METRIC_RETRIES_DENIED, 1);
	return v;
}

/* Admits waiting requests when capacity became free by an event outside of this instance. */
static int pump_run(void *ctx, struct error *err)
{
	struct dispatch *d = ctx;

	while (!child_is_stopping()) {
		dispatch_pump_all(d);
		clock_sleep_ms(PUMP_INTERVAL_MS);
	}
	return 0;
}

struct dispatch *dispatch_create(struct gate *gate, struct error *err)
{
	struct link_options options = {
		.loops = gate->settings.links.loops,
		.connect_timeout_ms = gate->settings.links.connect_timeout_ms,
	};
	struct dispatch *d = mem_zalloc(sizeof(*d));

	d->gate = gate;
	pthread_mutex_init(&d->lock, NULL);
	d->link = link_create(&options, err);
	if (!d->link) {
		dispatch_destroy(d);
		return NULL;
	}
	gate->dispatch = d;
	return d;
}

void dispatch_start(struct dispatch *d)
{
	struct child_spec pump = { .name = "pump", .run = pump_run, .ctx = d };
	struct child_spec poll = { .name = "poll", .run = poll_run, .ctx = d, .is_control = true };

	supervisor_start(d->gate->supervisor, &pump);
	supervisor_start(d->gate->supervisor, &poll);
}

void dispatch_destroy(struct dispatch *d)
{
	if (!d)
		return;
	link_destroy(d->link);
	for (int i = 0; i < d->model_count; i++) {
		share_usage_destroy(d->models[i].usage);
		share_destroy(d->models[i].shares);
	}
	for (int i = 0; i < DISPATCH_ORGANISATION_BUCKETS; i++) {
		while (d->organisations[i]) {
			struct organisation *org = d->organisations[i];

			d->organisations[i] = org->next;
			free(org);
		}
	}
	pthread_mutex_destroy(&d->lock);
	free(d);
}

static json_t *organisation_status(const struct organisation *o)
{
	json_t *reasons = json_object();

	for (int i = 0; i < REFUSAL_COUNT; i++)
		json_object_set_new(reasons, refusal_name((enum refusal)i),
				    json_integer(o->refused_by[i]));
	return json_pack("{s:s,s:I,s:I,s:o,s:I}", "name", o->name, "admitted",
			 (json_int_t)o->admitted, "refused", (json_int_t)o->refused, "refused_by",
			 reasons, "tokens", (json_int_t)o->tokens);
}

json_t *dispatch_status(struct dispatch *d)
{
	json_t *orgs = json_array();
	int64_t admitted = 0;
	int queued = 0;

	pthread_mutex_lock(&d->lock);
	for (int i = 0; i < d->model_count; i++) {
		queued += share_depth(d->models[i].shares);
		admitted += d->models[i].admitted;
	}
	for (int i = 0; i < DISPATCH_ORGANISATION_BUCKETS; i++) {
		for (struct organisation *o = d->organisations[i]; o; o = o->next)
			json_array_append_new(orgs, organisation_status(o));
	}
	pthread_mutex_unlock(&d->lock);
	return json_pack("{s:i,s:I,s:o}", "queued", queued, "admitted", (json_int_t)admitted,
			 "organisations", orgs);
}
