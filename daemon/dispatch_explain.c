#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"

/*
 * Explains decisions by asking the functions that make them, on a copy of the queue's state that
 * they may change. Nothing here acquires, counts or records anything.
 */

/* Endpoints listed in an explanation, so that its size doesn't grow with the fleet. */
#define EXPLAIN_LIST_MAX 12

/** struct placed - a placement and what it would take */
struct placed {
	int prefill;
	int decode;
	struct route_figures figures;
};

/**
 * struct explanation - what was found under the lock
 * @cands: copy of the candidates, @count of them
 * @req: what they were compared for
 * @refused: the request would be refused on arrival, for @reason
 * @waits: it would wait for admission, for @reason
 * @wait_us: time until it is expected to be admitted
 * @admit_by_ms: boot time until which it would wait
 * @depth: requests that wait
 * @share_ratio: see share_usage_ratio()
 */
struct explanation {
	struct route_candidate cands[FLEET_ENDPOINTS_MAX];
	int count;
	struct route_request req;
	struct route_choice choice;
	bool refused;
	bool waits;
	enum refusal reason;
	int64_t wait_us;
	int64_t admit_by_ms;
	int depth;
	double share_ratio;
};

static void refuse(struct explain_refusal *r, int status, const char *decision, const char *cause,
		   int64_t wait_ms)
{
	*r = (struct explain_refusal){
		.status = status, .decision = decision, .cause = cause, .wait_ms = wait_ms
	};
}

static json_t *tenths(double value)
{
	return json_real(round(value * 10) / 10);
}

static json_t *us_to_ms(double us)
{
	return tenths(us / 1000);
}

/* Caller holds the lock. @m is a copy. */
static void explain_admission(struct dispatch *d, struct model_queue *m, struct generation_work *w,
			      int instances, struct explanation *x)
{
	struct share_ticket ticket = { .deadline_ms = 0 };
	int64_t now_ms = clock_boot_ms();
	struct admission_estimate e;
	bool over_share =
		share_usage_exceeds_share(m->usage, str_from(w->g->call.organisation), now_ms);

	x->reason = REFUSAL_ENDPOINT;
	x->refused = !admission_estimate(d, m, w, instances, &e);
	if (x->refused)
		return;
	x->choice = e.best;
	if (w->limits.admission) {
		x->refused = !admission_arrive(d, m, w, &e, now_ms, &ticket, &x->wait_us);
		x->reason = REFUSAL_ARRIVAL;
		x->depth = share_depth(m->shares);
		x->admit_by_ms = ticket.deadline_ms;
		x->share_ratio =
			share_usage_ratio(m->usage, str_from(w->g->call.organisation), now_ms);
	}
	if (x->refused)
		return;
	x->waits =
		!placement_check(d, m, w, !w->limits.admission, over_share, &x->choice, &x->reason);
	if (!x->waits && x->depth) {
		x->waits = true;
		x->reason = REFUSAL_TURN;
	}
}

static void explain_locked(struct dispatch *d, struct generation_work *w, int instances,
			   struct explanation *x)
{
	struct share_queue *no_shares = share_create();
	struct share_usage *no_usage = share_usage_create(1);
	const struct model_queue *known;
	struct model_queue m = { .shares = no_shares, .usage = no_usage };

	pthread_mutex_lock(&d->lock);
	known = model_find(d, w->g->model);
	if (known)
		m = *known;
	explain_admission(d, &m, w, instances, x);
	x->req = work_route_request(w);
	x->count = d->cand_count;
	memcpy(x->cands, d->cands, sizeof(x->cands[0]) * (size_t)x->count);
	pthread_mutex_unlock(&d->lock);
	share_destroy(no_shares);
	share_usage_destroy(no_usage);
}

static int compare_placed(const void *a, const void *b)
{
	double x = ((const struct placed *)a)->figures.cost_us;
	double y = ((const struct placed *)b)->figures.cost_us;

	return x == y ? 0 : x < y ? -1 : 1;
}

static bool is_of(const struct route_candidate *c, enum endpoint_role role)
{
	return c->usable && c->role == role;
}

/* The decode engine that prefill engines are shown with: that of the choice, or the cheapest. */
static int partner_find(const struct explanation *x)
{
	struct route_figures f;
	int prefill = -1;
	int best = -1;
	double least = INFINITY;

	if (x->choice.prefill != x->choice.decode)
		return x->choice.decode;
	for (int i = 0; i < x->count && prefill < 0; i++) {
		if (is_of(&x->cands[i], ROLE_PREFILL))
			prefill = i;
	}
	for (int i = 0; i < x->count && prefill >= 0; i++) {
		if (!is_of(&x->cands[i], ROLE_DECODE))
			continue;
		route_figures_get(x->cands, prefill, i, &x->req, &f);
		if (f.cost_us >= least)
			continue;
		least = f.cost_us;
		best = i;
	}
	return best;
}

static int placed_collect(const struct explanation *x, struct placed *out)
{
	int partner = partner_find(x);
	int n = 0;

	for (int i = 0; i < x->count; i++) {
		if (is_of(&x->cands[i], ROLE_MIXED))
			out[n] = (struct placed){ .prefill = i, .decode = i };
		else if (is_of(&x->cands[i], ROLE_PREFILL) && partner >= 0)
			out[n] = (struct placed){ .prefill = i, .decode = partner };
		else
			continue;
		route_figures_get(x->cands, out[n].prefill, out[n].decode, &x->req,
				  &out[n].figures);
		n++;
	}
	if (n)
		qsort(out, (size_t)n, sizeof(*out), compare_placed);
	return n;
}

static const struct endpoint_status *status_of(const struct endpoint_status *all, int count, int id)
{
	for (int i = 0; i < count; i++) {
		if (all[i].id == id)
			return &all[i];
	}
	return NULL;
}

/** struct fleet_names - snapshot of the fleet, to name candidates */
struct fleet_names {
	struct endpoint_status *all;
	int count;
};

static const char *name_of(const struct fleet_names *f, const struct route_candidate *c)
{
	const struct endpoint_status *st = status_of(f->all, f->count, c->index);

	return st ? st->info.name : "-";
}

static json_t *candidate_json(const struct fleet_names *f, const struct route_candidate *c)
{
	static const char *const roles[] = { [ROLE_SERVICE] = "service",
					     [ROLE_MIXED] = "mixed",
					     [ROLE_PREFILL] = "prefill",
					     [ROLE_DECODE] = "decode" };
	const struct endpoint_status *st = status_of(f->all, f->count, c->index);
	int own = st ? st->in_flight : 0;
	int64_t age_ms = st && st->load.received_ms ? clock_boot_ms() - st->load.received_ms : -1;

	return json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:I}", "endpoint", name_of(f, c), "dc",
			 st ? st->info.dc : "-", "stage", roles[c->role], "active", own,
			 "others_active", c->decode_seqs > own ? c->decode_seqs - own : 0, "slots",
			 c->decode_slots, "heard_age_ms", (json_int_t)age_ms, "backlog_tokens",
			 (json_int_t)c->prefill_backlog);
}

/* What is left of the time to the first token: distance, transfer and the first step. */
static double transfer_us(const struct route_figures *f)
{
	return f->first_token_us - f->queue_us - f->read_us - f->slot_wait_us;
}

/* The part of the cost that is most above that of the chosen placement. */
static const char *main_reason(const struct route_figures *f, const struct route_figures *chosen)
{
	const struct {
		const char *name;
		double more;
	} parts[] = {
		{ "generating",
		  f->finish_us - f->first_token_us - (chosen->finish_us - chosen->first_token_us) },
		{ "queue", f->queue_us - chosen->queue_us },
		{ "slots", f->slot_wait_us - chosen->slot_wait_us },
		{ "reading", f->read_us - chosen->read_us },
		{ "transfer", transfer_us(f) - transfer_us(chosen) },
		{ "limits", f->cost_us - f->finish_us - (chosen->cost_us - chosen->finish_us) },
	};
	size_t most = 0;

	if (f->cost_us <= chosen->cost_us)
		return "tie";
	for (size_t i = 1; i < sizeof(parts) / sizeof(parts[0]); i++) {
		if (parts[i].more > parts[most].more)
			most = i;
	}
	return parts[most].name;
}

static json_t *placed_json(const struct explanation *x, const struct fleet_names *names,
			   const struct placed *p, const struct route_figures *chosen)
{
	const struct route_candidate *c = &x->cands[p->prefill];
	const struct route_figures *f = &p->figures;
	bool is_chosen = p->prefill == x->choice.prefill;
	json_t *o = candidate_json(names, c);

	json_object_set_new(o, "generates", json_string(name_of(names, &x->cands[p->decode])));
	json_object_set_new(o, "cached_tokens", json_integer(c->cached_tokens));
	json_object_set_new(o, "read_tokens",
			    json_integer(x->req.prompt_tokens - c->cached_tokens));
	json_object_set_new(o, "expected_ms", us_to_ms(f->first_token_us));
	json_object_set_new(o, "queue_ms", us_to_ms(f->queue_us));
	json_object_set_new(o, "slots_ms", us_to_ms(f->slot_wait_us));
	json_object_set_new(o, "reading_ms", us_to_ms(f->read_us));
	json_object_set_new(o, "transfer_ms", us_to_ms(transfer_us(f)));
	json_object_set_new(o, "gap_ms", us_to_ms(f->gap_us));
	json_object_set_new(o, "finish_ms", us_to_ms(f->finish_us));
	json_object_set_new(o, "fits", json_boolean(f->fits));
	json_object_set_new(o, "cost", us_to_ms(f->cost_us));
	json_object_set_new(o, "dearer_by", us_to_ms(f->cost_us - chosen->cost_us));
	json_object_set_new(o, "chosen", json_boolean(is_chosen));
	if (!is_chosen)
		json_object_set_new(o, "mainly", json_string(main_reason(f, chosen)));
	return o;
}

static void add_candidates(const struct explanation *x, const struct fleet_names *names,
			   json_t *out)
{
	struct placed *all = mem_zalloc(sizeof(*all) * FLEET_ENDPOINTS_MAX);
	int n = placed_collect(x, all);
	json_t *list = json_array();
	struct route_figures chosen;
	int ties = 0;

	route_figures_get(x->cands, x->choice.prefill, x->choice.decode, &x->req, &chosen);
	for (int i = 0; i < n; i++)
		ties += all[i].figures.cost_us <= all[0].figures.cost_us + all[0].figures.tie_us;
	/* The chosen one goes first, also among ties. */
	for (int i = 0; i < n; i++) {
		if (all[i].prefill == x->choice.prefill)
			json_array_append_new(list, placed_json(x, names, &all[i], &chosen));
	}
	for (int i = 0; i < n && json_array_size(list) < EXPLAIN_LIST_MAX; i++) {
		if (all[i].prefill != x->choice.prefill)
			json_array_append_new(list, placed_json(x, names, &all[i], &chosen));
	}
	json_object_set_new(out, "nearly_equal", json_integer(ties));
	json_object_set_new(out, "candidates", list);
	json_object_set_new(out, "candidates_total", json_integer(n));
	free(all);
}

static const char *unusable_cause(const struct endpoint_status *st)
{
	if (!st || !st->listed)
		return "not-listed";
	if (st->info.leaving)
		return "leaving";
	if (st->stopped)
		return "stopped";
	if (st->down)
		return "down";
	if (st->load.changing)
		return "changing-stage";
	return st->circuit == CIRCUIT_CLOSED ? "reserved" : "circuit-open";
}

static void add_unusable(const struct route_candidate *cands, int count,
			 const struct fleet_names *names, json_t *out)
{
	json_t *list = json_array();
	int usable = 0;

	for (int i = 0; i < count; i++) {
		const struct route_candidate *c = &cands[i];

		if (c->usable) {
			usable++;
			continue;
		}
		if (json_array_size(list) < EXPLAIN_LIST_MAX)
			json_array_append_new(
				list, json_pack("{s:s,s:s}", "endpoint", name_of(names, c), "cause",
						unusable_cause(status_of(names->all, names->count,
									 c->index))));
	}
	json_object_set_new(out, "endpoints", json_integer(count));
	json_object_set_new(out, "endpoints_usable", json_integer(usable));
	json_object_set_new(out, "unavailable", list);
}

static void add_route(json_t *out, const char *service, const char *kind, const struct call *call,
		      const struct call_limits *limits)
{
	json_object_set_new(out, "rule",
			    json_pack("{s:s,s:s,s:I,s:I,s:I,s:i}", "name", service, "kind", kind,
				      "target_ms", (json_int_t)limits->first_token_ms, "gap_ms",
				      (json_int_t)limits->gap_ms, "timeout_ms",
				      (json_int_t)limits->total_ms, "max_attempts",
				      limits->max_attempts));
	json_object_set_new(out, "service", json_pack("{s:s}", "name", service));
	json_object_set_new(out, "priority", json_integer(call->class));
	json_object_set_new(out, "limit_ms", json_integer(call->deadline_ms - call->arrived_ms));
}

static void add_room(const struct explanation *x, const struct generation_work *w, json_t *out)
{
	int64_t within_ms = x->admit_by_ms - w->g->call.arrived_ms;

	json_object_set_new(out, "queue",
			    json_pack("{s:b,s:i,s:o,s:o,s:o,s:b,s:s}", "admission",
				      w->limits.admission, "waiting", x->depth, "expected_wait_ms",
				      us_to_ms((double)x->wait_us), "admitted_within_ms",
				      json_integer(within_ms > 0 ? within_ms : 0), "share_ratio",
				      tenths(x->share_ratio), "waits", x->waits, "waits_for",
				      x->waits ? refusal_name(x->reason) : ""));
}

void dispatch_explain_generate(struct dispatch *d, struct generation *g, int64_t prompt_tokens,
			       json_t *out, struct explain_refusal *refusal)
{
	struct explanation *x = mem_zalloc(sizeof(*x));
	struct fleet_names names = { .all = NULL };
	struct generation_work *w = mem_zalloc(sizeof(*w));
	char service[64];

	*refusal = (struct explain_refusal){ .wait_ms = -1 };
	if (!model_service_find(d, g, service, sizeof(service))) {
		refuse(refusal, 404, "route", "model_not_found", -1);
		goto out;
	}
	work_describe(d, w, g, service);
	if (!g->prompt.len)
		w->prompt_tokens = prompt_tokens;
	add_route(out, service, "generation", &g->call, &w->limits);
	explain_locked(d, w, control_live_instance_count(d->gate->control), x);
	names.all = fleet_statuses_copy(d->gate->fleet, &names.count);
	add_unusable(x->cands, x->count, &names, out);
	if (x->refused && x->reason == REFUSAL_ENDPOINT)
		refuse(refusal, 503, "endpoints", "no_endpoint", 1000);
	else if (x->refused)
		refuse(refusal, 429, "admission", refusal_name(x->reason),
		       x->wait_us > 1000000 ? x->wait_us / 1000 : 1000);
	add_room(x, w, out);
	if (x->reason == REFUSAL_ENDPOINT)
		goto out;
	json_object_set_new(
		out, "choice",
		json_pack(
			"{s:s?,s:s,s:I,s:o}", "reads",
			x->choice.prefill == x->choice.decode
				? NULL
				: name_of(&names, &x->cands[x->choice.prefill]),
			"generates", name_of(&names, &x->cands[x->choice.decode]), "read_tokens",
			(json_int_t)(w->prompt_tokens - x->cands[x->choice.prefill].cached_tokens),
			"expected_ms", us_to_ms((double)x->choice.first_token_us)));
	add_candidates(x, &names, out);
out:
	free(names.all);
	free(w);
	free(x);
}

static json_t *service_candidate(const struct fleet_names *names, const struct route_candidate *c,
				 const struct route_candidate *chosen)
{
	json_t *o = candidate_json(names, c);
	int more = c->decode_seqs - chosen->decode_seqs;

	json_object_set_new(o, "cost", tenths(c->decode_seqs));
	json_object_set_new(o, "distance_ms", us_to_ms((double)c->distance_us));
	json_object_set_new(o, "dearer_by", tenths(more));
	json_object_set_new(o, "chosen", json_boolean(c == chosen));
	if (c != chosen)
		json_object_set_new(o, "mainly", json_string(more ? "queue" : "distance"));
	return o;
}

static void add_service_candidates(const struct route_candidate *cands, int count, int chosen,
				   const struct fleet_names *names, json_t *out)
{
	json_t *list = json_array();
	int usable = 0;

	json_array_append_new(list, service_candidate(names, &cands[chosen], &cands[chosen]));
	for (int i = 0; i < count; i++) {
		usable += cands[i].usable;
		if (cands[i].usable && i != chosen && json_array_size(list) < EXPLAIN_LIST_MAX)
			json_array_append_new(list,
					      service_candidate(names, &cands[i], &cands[chosen]));
	}
	json_object_set_new(out, "choice",
			    json_pack("{s:s}", "runs", name_of(names, &cands[chosen])));
	json_object_set_new(out, "candidates", list);
	json_object_set_new(out, "candidates_total", json_integer(usable));
}

void dispatch_explain_service(struct dispatch *d, struct service_call *s, json_t *out,
			      struct explain_refusal *refusal)
{
	struct service_call_work w = { .s = s };
	struct call *call = &s->call;
	struct fleet_names names = { .all = NULL };
	struct route_candidate *cands = NULL;
	const struct route_candidate *best;
	int chosen;
	int count;

	*refusal = (struct explain_refusal){ .wait_ms = -1 };
	if (!service_call_lookup(d, &w)) {
		refuse(refusal, 404, "route", "unknown_service", -1);
		goto out;
	}
	service_call_describe(d, &w);
	add_route(out, s->service, w.kind == CALL_IDEMPOTENT ? "idempotent" : "non-idempotent",
		  call, &w.limits);
	cands = mem_zalloc(sizeof(*cands) * FLEET_ENDPOINTS_MAX);
	pthread_mutex_lock(&d->lock);
	best = service_choose(d, &w, &count);
	chosen = best ? (int)(best - d->cands) : -1;
	memcpy(cands, d->cands, sizeof(*cands) * (size_t)count);
	pthread_mutex_unlock(&d->lock);
	names.all = fleet_statuses_copy(d->gate->fleet, &names.count);
	add_unusable(cands, count, &names, out);
	if (chosen < 0)
		refuse(refusal, 503, "endpoints", "no_endpoint", 1000);
	else
		add_service_candidates(cands, count, chosen, &names, out);
out:
	free(names.all);
	free(cands);
}
