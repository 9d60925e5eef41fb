#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/entry/explain.h"
#include "ibisgate/net/codec_explain.h"

/*
 * Explains decisions by asking the functions that make them about a request that is in no list and
 * has no caller. Nothing here may send, log, count or record anything.
 */

_Static_assert(EXPLAIN_PARTS_MAX <= WIRE_PARTS_MAX, "parts of a described prompt");
_Static_assert(EXPLAIN_ID_MAX <= WIRE_ID_MAX, "ids of a described request");

/* Endpoints listed in each list of an explanation, so that its size doesn't grow with the fleet. */
#define EXPLAIN_LIST_MAX 12

/** struct refusal - why the request would be refused now; @status is 0 when it would not be */
struct refusal {
	int status;
	const char *decision;
	const char *cause;
	int64_t retry_after_ms;
};

/**
 * struct explanation - what is being found out
 * @x: stands for the request
 * @rule: its rule, with the described priority
 * @organisation: its organisation, with the described priority
 * @out: JSON object that is filled
 */
struct explanation {
	struct exchange x;
	struct routing_rule rule;
	struct organisation organisation;
	struct refusal refusal;
	struct generation_plan plan;
	struct place_figures figures[GENERATION_ENGINES_MAX];
	int64_t now_ms;
	json_t *out;
};

static const char *const kind_names[] = {
	[CALL_GENERATION] = "generation",
	[CALL_IDEMPOTENT] = "idempotent",
	[CALL_NON_IDEMPOTENT] = "non-idempotent",
};

static const char *const stage_names[] = {
	[STAGE_NONE] = "none",
	[STAGE_PREFILL] = "prefill",
	[STAGE_DECODE] = "decode",
};

/* A number with one digit after the point. */
static json_t *tenths(double value)
{
	return json_real(round(value * 10) / 10);
}

static json_t *age(int64_t then_ms, int64_t now_ms)
{
	return json_integer(then_ms ? now_ms - then_ms : -1);
}

static void refuse(struct explanation *w, int status, const char *decision, const char *cause,
		   int64_t retry_after_ms)
{
	w->refusal = (struct refusal){ .status = status,
				       .decision = decision,
				       .cause = cause,
				       .retry_after_ms = retry_after_ms };
}

/* A service that no endpoint was ever listed for has no runtime state yet. */
static void refuse_without_endpoints(struct explanation *w)
{
	struct service none = { 0 };

	CDS_INIT_LIST_HEAD(&none.endpoints);
	refuse(w, 503, "endpoints", "no-endpoint", service_retry_after_ms(&none, w->now_ms));
}

static int organisation_find(struct explanation *w, const char *name, struct error *err)
{
	const struct organisations *all = w->x.table ? w->x.table->organisations : NULL;

	for (int i = 0; all && i < organisations_count(all); i++) {
		const struct organisation *o = organisations_at(all, i);

		if (strcmp(o->name, name) != 0)
			continue;
		w->x.organisation = o;
		return 0;
	}
	return error_set(err, ERROR_FRONT, 1, "organisation: %s in the configuration in force",
			 all ? "not found" : "there are none");
}

static int describe(struct explanation *w, struct entry *e, const struct explain_request *r,
		    struct error *err)
{
	struct exchange *x = &w->x;
	struct inbound_request *in = &x->in;

	if (r->prompt.len)
		return error_set(err, ERROR_FRONT, 1,
				 "prompt: expected parts instead, the text is not looked at here");
	x->entry = e;
	x->table = e->table;
	x->begun_ms = w->now_ms;
	x->deadline_ms = w->now_ms;
	*in = (struct inbound_request){
		.wait_ms = r->deadline_ms,
		.prompt_tokens = r->prompt_tokens,
		.output_tokens = r->output_tokens,
		.resume_from = -1,
		.part_count = r->part_count,
		.api_key = str_from(r->key),
	};
	str_copy(in->id, sizeof(in->id), str_from(r->id));
	str_copy(in->model, sizeof(in->model), str_from(r->model));
	for (int i = 0; i < r->part_count; i++)
		in->parts[i] = (struct prompt_part){ .id = wire_part_id(str_from(r->parts[i].id)),
						     .tokens = r->parts[i].tokens };
	return r->organisation[0] ? organisation_find(w, r->organisation, err) : 0;
}

/* Gives the request the described priority, as its rule and its organisation would. */
static void override_priority(struct explanation *w, int priority)
{
	w->rule = *w->x.rule;
	w->rule.priority = priority;
	w->x.rule = &w->rule;
	if (!w->x.organisation)
		return;
	w->organisation = *w->x.organisation;
	w->organisation.priority = priority;
	w->x.organisation = &w->organisation;
}

static void add_rule(struct explanation *w)
{
	const struct exchange *x = &w->x;
	const struct routing_rule *r = x->rule;
	bool is_engine = r->kind == CALL_GENERATION && x->spec && x->spec->engine.present;

	json_object_set_new(w->out, "rule",
			    json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:i,s:b}", "name", r->name.data,
				      "host", r->host.data, "prefix", r->prefix.data, "kind",
				      kind_names[r->kind], "timeout_ms", (json_int_t)r->timeout_ms,
				      "target_ms", (json_int_t)r->target_ms, "gap_ms",
				      (json_int_t)r->gap_ms, "max_attempts", r->max_attempts,
				      "public", r->is_public));
	if (x->spec)
		json_object_set_new(
			w->out, "service",
			json_pack("{s:s,s:b}", "name", x->spec->name.data, "engines", is_engine));
	json_object_set_new(w->out, "priority", json_integer(exchange_priority(x)));
	json_object_set_new(w->out, "organisation",
			    x->organisation ? json_string(x->organisation->name) : json_null());
}

static const char *match_decision(int status)
{
	switch (status) {
	case 404:
		return "route";
	case 401:
		return "key";
	default:
		return "configuration";
	}
}

/* Whether the request gets as far as the choice of an endpoint. */
static bool check_arrival(struct explanation *w, const struct explain_request *r)
{
	struct exchange *x = &w->x;
	const char *cause = "-";
	int status = exchange_match(x, true, str_from(r->host), str_from(r->path), &cause);
	uint64_t part;

	if (x->rule && r->priority >= 0)
		override_priority(w, (int)r->priority);
	if (x->rule)
		add_rule(w);
	if (status) {
		refuse(w, status, match_decision(status), cause, -1);
		return false;
	}
	x->deadline_ms = x->begun_ms + exchange_limit_ms(x);
	json_object_set_new(w->out, "limit_ms", json_integer(exchange_limit_ms(x)));
	x->service = service_lookup(x->entry, buf_str(&x->spec->name));
	if (suspect_part_is_refused(x, &part))
		refuse(w, 503, "quarantine", "crashes-endpoints", -1);
	else if (!planned_stop_admits(&x->entry->stop, x->deadline_ms, w->now_ms))
		refuse(w, 503, "stop", "stopping", 0);
	else if (!exchange_has_time(x, w->now_ms))
		refuse(w, 503, "deadline", "deadline", 0);
	else if (!x->service)
		refuse_without_endpoints(w);
	return !w->refusal.status;
}

static void add_memory(struct explanation *w, int64_t body_bytes)
{
	const struct exchange *x = &w->x;
	const struct memory_ledger *l = &x->entry->ledger;
	int64_t most = x->table ? x->table->limits.body_max_bytes : 0;
	int64_t bytes = memory_ledger_body_bytes(0, body_bytes);
	bool has_room = memory_ledger_has_room(l, 0, bytes, most);

	json_object_set_new(w->out, "memory",
			    json_pack("{s:I,s:I,s:I,s:b}", "held_bytes", (json_int_t)l->total,
				      "limit_bytes", (json_int_t)l->limit, "body_takes_bytes",
				      (json_int_t)bytes, "has_room", has_room));
	if (w->refusal.status || !x->table)
		return;
	if (most > 0 && body_bytes > most)
		refuse(w, 413, "body-size", "body too large", -1);
	else if (!has_room)
		refuse(w, 503, "memory", "no memory", -1);
}

static void add_retries(struct explanation *w)
{
	const struct exchange *x = &w->x;
	struct extra_budget_limits limits = entry_extra_limits(x->entry);

	json_object_set_new(
		w->out, "retries",
		json_pack("{s:o,s:i,s:b}", "allowance_left",
			  tenths(extra_budget_left(&x->service->budget, &limits, w->now_ms)),
			  "max_attempts", x->rule->max_attempts, "may_run_again",
			  exchange_is_repeatable(x)));
}

static json_t *endpoint_json(const struct explanation *w, const struct endpoint *ep)
{
	return json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:o,s:o,s:I}", "endpoint", ep->entry.id, "dc",
			 ep->entry.dc, "stage", stage_names[ep->entry.stage], "active", ep->active,
			 "others_active", ep->peer_active, "slots", ep->entry.slots,
			 "failure_score", tenths(endpoint_failure_score(w->x.entry, ep, w->now_ms)),
			 "heard_age_ms", age(ep->last_receive_ms, w->now_ms), "list_version",
			 (json_int_t)ep->entry.version);
}

static void add_unavailable(struct explanation *w)
{
	json_t *list = json_array();
	const struct endpoint *ep;
	int total = 0;
	int usable = 0;

	cds_list_for_each_entry(ep, &w->x.service->endpoints, service_link) {
		const char *cause = endpoint_unavailable_cause(ep, w->now_ms);

		total++;
		if (!cause) {
			usable++;
			continue;
		}
		if (json_array_size(list) < EXPLAIN_LIST_MAX)
			json_array_append_new(list, json_pack("{s:s,s:s}", "endpoint", ep->entry.id,
							      "cause", cause));
	}
	json_object_set_new(w->out, "endpoints", json_integer(total));
	json_object_set_new(w->out, "endpoints_usable", json_integer(usable));
	json_object_set_new(w->out, "unavailable", list);
}

/** struct ranked - an endpoint of a list, by its cost */
struct ranked {
	int index;
	double cost;
};

static int compare_ranked(const void *a, const void *b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->index - y->index;
}

/** struct ranking - endpoints that are compared */
struct ranking {
	struct ranked items[GENERATION_ENGINES_MAX];
	int count;
};

static void ranking_add(struct ranking *r, int index, double cost)
{
	if (r->count < GENERATION_ENGINES_MAX)
		r->items[r->count++] = (struct ranked){ .index = index, .cost = cost };
}

/* Sorts by cost; the chosen one goes first, also among equal ones. Returns the number to list. */
static int ranking_sort(struct ranking *r, int chosen)
{
	for (int i = 0; i < r->count; i++) {
		if (r->items[i].index == chosen)
			r->items[i].cost = -INFINITY;
	}
	if (r->count)
		qsort(r->items, (size_t)r->count, sizeof(r->items[0]), compare_ranked);
	return r->count < EXPLAIN_LIST_MAX ? r->count : EXPLAIN_LIST_MAX;
}

static const char *engine_id(const struct explanation *w, int i)
{
	return i >= 0 ? w->plan.eps[i]->entry.id : NULL;
}

/* Where the request would begin: with a pair of engines at the one that reads the prompt. */
static int first_engine(const struct place_choice *c)
{
	return c->prefill >= 0 ? c->prefill : c->decode;
}

/* Part of the expected time that is spent on the transfer to the engine that generates. */
static double transfer_ms(const struct explanation *w, const struct place_figures *f)
{
	return f->choice.expected_first_token_ms - w->x.service->speed.overhead_ms - f->queue_ms -
	       f->slots_ms - f->work_ms - f->fetch_ms;
}

/* Part of the cost that is no delay of the request itself: see struct place_costs. */
static double preferences(const struct explanation *w, const struct place_figures *f)
{
	return f->cost - (f->choice.expected_first_token_ms - w->x.service->speed.overhead_ms);
}

/* The part of the cost that is most above that of the chosen engine. */
static const char *main_reason(const struct explanation *w, const struct place_figures *f,
			       const struct place_figures *chosen)
{
	const struct {
		const char *name;
		double more;
	} parts[] = {
		{ "preferences", preferences(w, f) - preferences(w, chosen) },
		{ "queue", f->queue_ms - chosen->queue_ms },
		{ "slots", f->slots_ms - chosen->slots_ms },
		{ "reading", f->work_ms - chosen->work_ms },
		{ "copy", f->fetch_ms - chosen->fetch_ms },
		{ "transfer", transfer_ms(w, f) - transfer_ms(w, chosen) },
	};
	size_t most = 0;

	for (size_t i = 1; i < sizeof(parts) / sizeof(parts[0]); i++) {
		if (parts[i].more > parts[most].more)
			most = i;
	}
	return parts[most].name;
}

static json_t *reader_json(const struct explanation *w, int i)
{
	const struct place_figures *f = &w->figures[i];
	const struct place_figures *chosen = &w->figures[first_engine(&w->x.choice)];
	const struct place_engine *v = &w->plan.engines[i];
	const struct endpoint *ep = w->plan.eps[i];
	json_t *out = endpoint_json(w, ep);
	bool is_chosen = f == chosen;

	json_object_set_new(out, "generates", json_string(engine_id(w, f->choice.decode)));
	json_object_set_new(out, "copies_from",
			    f->choice.fetch_source >= 0
				    ? json_string(engine_id(w, f->choice.fetch_source))
				    : json_null());
	json_object_set_new(out, "cached_tokens", json_integer(v->cached_tokens));
	json_object_set_new(out, "ready_tokens", json_integer(v->ready_tokens));
	json_object_set_new(out, "read_tokens", json_integer(f->choice.read_tokens));
	json_object_set_new(out, "backlog_tokens", json_integer(v->backlog_tokens));
	json_object_set_new(out, "expected_ms", tenths(f->choice.expected_first_token_ms));
	json_object_set_new(out, "queue_ms", tenths(f->queue_ms));
	json_object_set_new(out, "slots_ms", tenths(f->slots_ms));
	json_object_set_new(out, "reading_ms", tenths(f->work_ms));
	json_object_set_new(out, "copy_ms", tenths(f->fetch_ms));
	json_object_set_new(out, "transfer_ms", tenths(transfer_ms(w, f)));
	json_object_set_new(out, "preferences", tenths(preferences(w, f)));
	json_object_set_new(out, "generate_slowness", tenths(v->generate_slowness));
	json_object_set_new(out, "event_interval_ms", tenths(v->event_interval_ms));
	json_object_set_new(out, "pace_age_ms", age(ep->pace.updated_ms, w->now_ms));
	json_object_set_new(out, "cost", tenths(f->cost));
	json_object_set_new(out, "dearer_by", tenths(f->cost - chosen->cost));
	json_object_set_new(out, "chosen", json_boolean(is_chosen));
	if (!is_chosen)
		json_object_set_new(out, "mainly", json_string(main_reason(w, f, chosen)));
	return out;
}

static void add_readers(struct explanation *w)
{
	struct ranking r = { .count = 0 };
	json_t *list = json_array();
	int n;

	for (int i = 0; i < w->plan.count; i++) {
		if (w->figures[i].can_read)
			ranking_add(&r, i, w->figures[i].cost);
	}
	n = ranking_sort(&r, first_engine(&w->x.choice));
	for (int i = 0; i < n; i++)
		json_array_append_new(list, reader_json(w, r.items[i].index));
	json_object_set_new(w->out, "candidates", list);
	json_object_set_new(w->out, "candidates_total", json_integer(r.count));
}

/* Engines that could generate what the chosen one reads. */
static void add_generators(struct explanation *w)
{
	int chosen = w->x.choice.decode;
	struct ranking r = { .count = 0 };
	json_t *list;
	int n;

	if (w->x.choice.prefill < 0)
		return;
	list = json_array();
	for (int i = 0; i < w->plan.count; i++) {
		if (w->figures[i].can_receive)
			ranking_add(&r, i, w->figures[i].receive_cost);
	}
	n = ranking_sort(&r, chosen);
	for (int i = 0; i < n; i++) {
		int at = r.items[i].index;
		const struct place_figures *f = &w->figures[at];
		json_t *o = endpoint_json(w, w->plan.eps[at]);

		json_object_set_new(o, "receive_ms", tenths(f->receive_ms));
		json_object_set_new(o, "generate_slowness",
				    tenths(w->plan.engines[at].generate_slowness));
		json_object_set_new(o, "backlog_tokens",
				    json_integer(w->plan.engines[at].backlog_tokens));
		json_object_set_new(o, "cost", tenths(f->receive_cost));
		json_object_set_new(o, "dearer_by",
				    tenths(f->receive_cost - w->figures[chosen].receive_cost));
		json_object_set_new(o, "chosen", json_boolean(at == chosen));
		json_array_append_new(list, o);
	}
	json_object_set_new(w->out, "generators", list);
	json_object_set_new(w->out, "generators_total", json_integer(r.count));
}

static void add_room(struct explanation *w)
{
	const struct exchange *x = &w->x;
	const struct finish_estimate *f = generation_finish_estimate(x);
	const struct yield_request *y = &w->plan.yield;

	json_object_set_new(
		w->out, "room",
		json_pack("{s:b,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o}", "gives_way_is_on",
			  x->entry->settings.admission.yield, "queue_ms", tenths(y->queue_ms),
			  "queue_limit_ms", tenths(yield_queue_limit_ms(y)), "share_ratio",
			  tenths(y->share_ratio), "work_ms", tenths(y->work_ms), "first_token_ms",
			  tenths(finish_first_token_ms(f, x->choice.expected_first_token_ms)),
			  "first_token_wait_ms", tenths(w->plan.limits.first_token_wait_ms),
			  "rest_ms", tenths(f->mean_ms), "deadline_left_ms",
			  tenths(w->plan.limits.deadline_left_ms)));
}

static void explain_generation(struct explanation *w)
{
	struct exchange *x = &w->x;
	const struct place_choice *c = &x->choice;
	const char *cause;

	w->plan.figures = w->figures;
	if (!generation_choose(x, w->now_ms, &w->plan)) {
		if (x->choice.full_engines) {
			refuse(w, 503, "engine-memory", "engines-full",
			       generation_memory_retry_ms(x));
			return;
		}
		refuse(w, 503, "endpoints", "no-endpoint",
		       service_retry_after_ms(x->service, w->now_ms));
		return;
	}
	add_room(w);
	cause = generation_refusal(&w->plan);
	if (cause)
		refuse(w, 503, w->plan.verdict == ROOM_GIVES_WAY ? "giving-way" : "in-time", cause,
		       generation_retry_after_ms(x, &w->plan));
	json_object_set_new(w->out, "only_own_dc", json_boolean(w->plan.is_local));
	json_object_set_new(w->out, "choice",
			    json_pack("{s:s?,s:s,s:s?,s:I,s:o}", "reads", engine_id(w, c->prefill),
				      "generates", engine_id(w, c->decode), "copies_from",
				      engine_id(w, c->fetch_source), "read_tokens",
				      (json_int_t)c->read_tokens, "expected_ms",
				      tenths(c->expected_first_token_ms)));
	add_readers(w);
	add_generators(w);
}

static int collect_calls(struct explanation *w, struct endpoint **eps, struct ranking *r)
{
	struct endpoint *ep;
	int count = 0;

	cds_list_for_each_entry(ep, &w->x.service->endpoints, service_link) {
		if (count == GENERATION_ENGINES_MAX)
			break;
		if (endpoint_unavailable_cause(ep, w->now_ms))
			continue;
		ranking_add(r, count, exchange_call_score(&w->x, ep, w->now_ms));
		eps[count++] = ep;
	}
	return count;
}

static void explain_call(struct explanation *w)
{
	const struct endpoint *best = exchange_pick_endpoint(&w->x, w->now_ms);
	struct endpoint **eps = w->plan.eps;
	struct ranking r = { .count = 0 };
	json_t *list;
	double least;
	int chosen = -1;
	int ties = 0;
	int count;
	int n;

	if (!best) {
		refuse(w, 503, "endpoints", "no-endpoint",
		       service_retry_after_ms(w->x.service, w->now_ms));
		return;
	}
	count = collect_calls(w, eps, &r);
	least = exchange_call_score(&w->x, best, w->now_ms);
	for (int i = 0; i < count; i++) {
		if (eps[i] == best)
			chosen = i;
		ties += fabs(r.items[i].cost - least) < CALL_TIE_MAX;
	}
	n = ranking_sort(&r, chosen);
	list = json_array();
	for (int i = 0; i < n; i++) {
		const struct endpoint *ep = eps[r.items[i].index];
		double score = exchange_call_score(&w->x, ep, w->now_ms);
		json_t *o = endpoint_json(w, ep);

		json_object_set_new(o, "slowness",
				    tenths(endpoint_slowness(ep, SPEED_CALL, w->now_ms)));
		json_object_set_new(o, "speed_age_ms",
				    age(ep->speed.kinds[SPEED_CALL].at_ms, w->now_ms));
		json_object_set_new(o, "cost", tenths(score));
		json_object_set_new(o, "dearer_by", tenths(score - least));
		json_object_set_new(o, "chosen", json_boolean(ep == best));
		json_array_append_new(list, o);
	}
	json_object_set_new(w->out, "choice", json_pack("{s:s}", "runs", best->entry.id));
	/* The time of arrival decides between these, so the next one may go to another. */
	json_object_set_new(w->out, "nearly_equal", json_integer(ties));
	json_object_set_new(w->out, "candidates", list);
	json_object_set_new(w->out, "candidates_total", json_integer(count));
}

static void add_verdict(struct explanation *w)
{
	const struct refusal *r = &w->refusal;
	json_t *v = json_pack("{s:b}", "admitted", !r->status);

	if (r->status) {
		json_object_set_new(v, "status", json_integer(r->status));
		json_object_set_new(v, "decision", json_string(r->decision));
		json_object_set_new(v, "cause", json_string(r->cause));
		if (r->retry_after_ms >= 0)
			json_object_set_new(v, "retry_after_ms", json_integer(r->retry_after_ms));
	}
	json_object_set_new(w->out, "verdict", v);
}

static void add_sources(struct explanation *w)
{
	const struct entry *e = w->x.entry;

	json_object_set_new(w->out, "instance", json_string(e->settings.instance.id));
	json_object_set_new(w->out, "dc", json_string(e->settings.instance.dc));
	json_object_set_new(w->out, "config_version",
			    json_integer(e->table ? e->table->version : 0));
	json_object_set_new(w->out, "list_age_ms", age(e->directory_changed_ms, w->now_ms));
	json_object_set_new(w->out, "others_load_age_ms",
			    json_integer(peers_loads_age_ms(e->peers, w->now_ms)));
}

static void explain(struct explanation *w, const struct explain_request *r)
{
	add_sources(w);
	if (check_arrival(w, r)) {
		add_retries(w);
		add_unavailable(w);
		if (w->x.rule->kind == CALL_GENERATION && w->x.spec->engine.present)
			explain_generation(w);
		else
			explain_call(w);
	}
	add_memory(w, r->body_bytes);
	add_verdict(w);
}

int entry_explain(struct entry *e, struct str body, struct buf *out)
{
	struct explanation *w = mem_zalloc(sizeof(*w));
	struct explain_request r = { .prompt = { 0 } };
	struct error err = { 0 };
	int status = 400;

	w->now_ms = clock_boot_ms();
	w->out = json_object();
	if (explain_request_decode(body, &r, &err) < 0 || describe(w, e, &r, &err) < 0) {
		json_object_set_new(w->out, "error", json_pack("{s:s}", "message", err.text));
		goto out;
	}
	explain(w, &r);
	status = 200;
out:
	json_append(out, w->out);
	json_decref(w->out);
	explain_request_clear(&r);
	free(w);
	return status;
}
