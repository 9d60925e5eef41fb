#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/duty/workers.h"
#include "ibisgate/policy/scaling.h"

/* Time between two reports of the demand, in milliseconds. */
#define REPORT_INTERVAL_MS 1000

/* Time between two orders, in milliseconds. */
#define ORDER_INTERVAL_MS 200

/* HTTP status of the platform's interface when it has no endpoints of the kind. */
#define STATUS_NONE_AVAILABLE 409

/**
 * struct worker_service - orders for one service
 * @tag: hash of its name
 * @dcs: names of the data centres, in the order of @view
 * @dc_tags: their hashes
 */
struct worker_service {
	struct buf name;
	uint64_t tag;
	struct scaling scaling;
	struct scaling_spec spec;
	struct scaling_view view;
	char dcs[ROUTING_DCS_MAX][ROUTING_DC_NAME_MAX];
	uint64_t dc_tags[ROUTING_DCS_MAX];
};

/** struct worker_order - an order in flight; its service is found by @service */
struct worker_order {
	struct worker_order *next;
	struct workers *workers;
	struct api_call *call;
	uint64_t service;
	struct scaling_order order;
};

/**
 * struct workers - see workers.h
 * @self: this instance as a source of demand
 * @own: its demand, by service
 * @fencing: tenure of the duty in which the last order was sent
 */
struct workers {
	struct duty *duty;
	struct api_calls *calls;
	struct demand *demand;
	struct demand_source self;
	struct demand_entry own[DEMAND_SERVICES_MAX];
	int own_count;
	struct worker_service **services;
	int service_count;
	struct worker_order *orders;
	int64_t fencing;
	int64_t reported_ms;
	int64_t ordered_ms;
};

static const char *const kind_names[] = {
	[ENDPOINT_REGULAR] = "regular",
	[ENDPOINT_RECLAIMABLE] = "reclaimable",
};

static uint64_t tag_of(struct str name)
{
	return hash_str(name, 0);
}

static struct worker_service *service_by_tag(const struct workers *w, uint64_t tag)
{
	for (int i = 0; i < w->service_count; i++) {
		if (w->services[i]->tag == tag)
			return w->services[i];
	}
	return NULL;
}

static struct worker_service *service_get(struct workers *w, struct str name)
{
	struct worker_service *s = service_by_tag(w, tag_of(name));

	if (s || w->service_count == DEMAND_SERVICES_MAX)
		return s;
	s = mem_zalloc(sizeof(*s));
	buf_append_str(&s->name, name);
	s->tag = tag_of(name);
	s->view.spec = &s->spec;
	scaling_init(&s->scaling);
	w->services = mem_resize(w->services,
				 sizeof(struct worker_service *) * (size_t)(w->service_count + 1));
	w->services[w->service_count++] = s;
	return s;
}

/* Index of a data centre; -1 if there are too many. */
static int dc_index(struct worker_service *s, const char *name)
{
	int n = s->view.dc_count;

	for (int i = 0; i < n; i++) {
		if (strcmp(s->dcs[i], name) == 0)
			return i;
	}
	if (n == ROUTING_DCS_MAX)
		return -1;
	str_copy(s->dcs[n], sizeof(s->dcs[n]), str_from(name));
	s->dc_tags[n] = tag_of(str_from(name));
	s->view.dcs[n] = (struct scaling_dc){ 0 };
	return s->view.dc_count++;
}

static void endpoint_count(struct worker_service *s, const struct endpoint_entry *e, int *prefill,
			   int *staged)
{
	int dc = dc_index(s, e->dc);

	if (dc < 0)
		return;
	if (!e->leaving) {
		s->view.dcs[dc].there[e->reclaimable]++;
		*prefill += e->stage == STAGE_PREFILL;
		*staged += e->stage != STAGE_NONE;
	} else if (e->reclaimable) {
		s->view.dcs[dc].reclaimed++;
	}
}

static void service_view_fill(struct workers *w, struct worker_service *s,
			      const struct scaling_spec *spec, const struct directory *directory)
{
	int prefill = 0, staged = 0;

	s->spec = *spec;
	for (int i = 0; i < spec->price_count; i++)
		dc_index(s, spec->prices[i].dc);
	for (int i = 0; i < s->view.dc_count; i++) {
		struct demand_totals sum = demand_sum(w->demand, s->tag, s->dc_tags[i]);

		s->view.dcs[i] = (struct scaling_dc){
			.price = scaling_price(spec, s->dcs[i], ENDPOINT_REGULAR),
			.prefill_ms = sum.prefill_ms,
			.decode_ms = sum.decode_ms,
		};
	}
	for (int i = 0; i < directory->count; i++) {
		const struct endpoint_entry *e = directory_at(directory, i);

		if (str_eq_cstr(buf_str(&s->name), e->service))
			endpoint_count(s, e, &prefill, &staged);
	}
	s->view.prefill_share = staged ? (double)prefill / staged : -1;
}

static void order_unlink(struct worker_order *o)
{
	struct worker_order **at = &o->workers->orders;

	while (*at != o)
		at = &(*at)->next;
	*at = o->next;
}

static enum scaling_answer answer_of(const struct api_result *r)
{
	switch (r->outcome) {
	case API_ACCEPTED:
		return SCALING_ACCEPTED;
	case API_REFUSED:
		return SCALING_UNAVAILABLE;
	case API_BUSY:
		return SCALING_NOT_SENT;
	case API_UNANSWERED:
		break;
	}
	return SCALING_UNANSWERED;
}

static void on_order_done(void *ctx, const struct api_result *r)
{
	struct worker_order *o = ctx;
	struct worker_service *s = service_by_tag(o->workers, o->service);

	if (r->outcome != API_ACCEPTED) {
		metric_add(METRIC_WORKER_ORDERS_FAILED, 1);
		log_warn("workers-not-ordered",
			 "service=%s dc=%s kind=%s wanted=%d status=%d none_available=%d",
			 s ? s->name.data : "-", s ? s->dcs[o->order.dc] : "-",
			 kind_names[o->order.kind], o->order.wanted, r->status,
			 r->status == STATUS_NONE_AVAILABLE);
	}
	if (s && r->fencing == o->workers->fencing)
		scaling_order_done(&s->scaling, &o->order, answer_of(r), clock_boot_ms());
	order_unlink(o);
	free(o);
}

static void order_send(struct workers *w, struct worker_service *s, const struct scaling_order *d,
		       const struct api_lease *lease, int64_t now_ms)
{
	struct worker_order *o = mem_zalloc(sizeof(*o));
	const struct scaling_dc_state *st = &s->scaling.dcs[d->dc];
	const struct scaling_dc *dc = &s->view.dcs[d->dc];
	struct buf request = { 0 };

	o->workers = w;
	o->service = s->tag;
	o->order = *d;
	o->next = w->orders;
	w->orders = o;
	api_workers_encode(&request, lease,
			   &(struct api_workers){ .service = s->name.data,
						  .dc = s->dcs[d->dc],
						  .wanted = d->wanted,
						  .reclaimable = d->kind == ENDPOINT_RECLAIMABLE });
	log_info("workers-order",
		 "service=%s dc=%s kind=%s wanted=%d former=%d engines_needed=%.1f prefill=%.2f "
		 "decode=%.2f there=%d there_reclaimable=%d leaving=%d price=%.3f fencing=%" PRId64,
		 s->name.data, s->dcs[d->dc], kind_names[d->kind], d->wanted, d->former,
		 st->engines, st->now.prefill, st->now.decode, dc->there[ENDPOINT_REGULAR],
		 dc->there[ENDPOINT_RECLAIMABLE], dc->reclaimed,
		 scaling_price(&s->spec, s->dcs[d->dc], d->kind), lease->fencing);
	metric_add(METRIC_WORKER_ORDERS, 1);
	scaling_order_sent(&s->scaling, d, now_ms);
	w->ordered_ms = now_ms;
	o->call = api_call_start(w->calls, lease, buf_str(&request), on_order_done, o, now_ms);
	buf_free(&request);
}

/* Another instance may have sent orders before this tenure. */
static void tenure_begin(struct workers *w, int64_t fencing)
{
	w->fencing = fencing;
	for (int i = 0; i < w->service_count; i++)
		scaling_forget_orders(&w->services[i]->scaling);
}

static void service_order(struct workers *w, struct worker_service *s, int64_t now_ms)
{
	struct api_lease lease;
	struct scaling_order o;

	if (duty_is_held(w->duty, 0, now_ms, &lease.fencing) && lease.fencing != w->fencing)
		tenure_begin(w, lease.fencing);
	if (!scaling_next_order(&s->scaling, &s->view, now_ms, &o))
		return;
	if (now_ms - w->ordered_ms >= ORDER_INTERVAL_MS &&
	    api_call_prepare(w->calls, w->duty, now_ms, &lease))
		order_send(w, s, &o, &lease, now_ms);
}

static void metrics_update(const struct workers *w)
{
	int wanted[ENDPOINT_KINDS] = { 0 };
	int there[ENDPOINT_KINDS] = { 0 };
	int ordered[ENDPOINT_KINDS] = { 0 };

	for (int i = 0; i < w->service_count; i++) {
		const struct worker_service *s = w->services[i];

		for (int j = 0; j < s->view.dc_count * ENDPOINT_KINDS; j++) {
			const struct scaling_dc_state *d = &s->scaling.dcs[j / ENDPOINT_KINDS];
			int k = j % ENDPOINT_KINDS;

			wanted[k] += d->wanted[k];
			there[k] += s->view.dcs[j / ENDPOINT_KINDS].there[k];
			ordered[k] += d->orders[k].ordered > 0 ? d->orders[k].ordered : 0;
		}
	}
	metric_set(METRIC_WORKERS_WANTED, wanted[ENDPOINT_REGULAR]);
	metric_set(METRIC_WORKERS_THERE, there[ENDPOINT_REGULAR]);
	metric_set(METRIC_WORKERS_ORDERED, ordered[ENDPOINT_REGULAR]);
	metric_set(METRIC_RECLAIMABLE_WANTED, wanted[ENDPOINT_RECLAIMABLE]);
	metric_set(METRIC_RECLAIMABLE_THERE, there[ENDPOINT_RECLAIMABLE]);
	metric_set(METRIC_RECLAIMABLE_ORDERED, ordered[ENDPOINT_RECLAIMABLE]);
}

static void own_demand_update(struct workers *w, const struct workers_view *v, int64_t now_ms)
{
	w->own_count = 0;
	for (int i = 0; i < v->table->service_count; i++) {
		const struct service_spec *spec = &v->table->services[i];

		if (spec->scaling.present && spec->engine.present &&
		    w->own_count < DEMAND_SERVICES_MAX)
			w->own[w->own_count++] = (struct demand_entry){
				.service = tag_of(buf_str(&spec->name)),
				.totals = v->demand(v->ctx, buf_str(&spec->name)),
			};
	}
	demand_add(w->demand, &w->self, w->own, w->own_count, now_ms);
	demand_step(w->demand, now_ms);
}

void workers_step(struct workers *w, const struct workers_view *v, int64_t now_ms)
{
	own_demand_update(w, v, now_ms);
	for (int i = 0; i < v->table->service_count; i++) {
		const struct service_spec *spec = &v->table->services[i];
		struct worker_service *s = spec->scaling.present && spec->engine.present
						   ? service_get(w, buf_str(&spec->name))
						   : NULL;

		if (!s)
			continue;
		service_view_fill(w, s, &spec->scaling, v->directory);
		scaling_observe(&s->scaling, &s->view, now_ms);
		service_order(w, s, now_ms);
	}
	if (w->own_count)
		metrics_update(w);
}

bool workers_are_wanted(const struct workers *w)
{
	for (int i = 0; i < w->service_count && w->own_count; i++) {
		if (w->services[i]->scaling.demand_since_ms)
			return true;
	}
	return false;
}

int workers_report(struct workers *w, uint64_t *values, int64_t now_ms)
{
	if (!w->own_count || now_ms - w->reported_ms < REPORT_INTERVAL_MS)
		return 0;
	w->reported_ms = now_ms;
	return demand_encode(&w->self, w->own, w->own_count, values);
}

void workers_add_report(struct workers *w, const char *id, const uint64_t *values, int count,
			int64_t now_ms)
{
	struct demand_entry entries[DEMAND_SERVICES_MAX];
	struct demand_source from;
	int n = demand_decode(values, count, &from, entries);

	if (n < 0) {
		log_warn("demand-report-dropped", "instance=%s values=%d", id, count);
		return;
	}
	if (from.id != w->self.id)
		demand_add(w->demand, &from, entries, n, now_ms);
}

struct workers *workers_create(const struct workers_options *o)
{
	struct workers *w = mem_zalloc(sizeof(*w));

	w->duty = o->duty;
	w->calls = o->calls;
	w->demand = demand_create();
	w->self = (struct demand_source){ .id = tag_of(str_from(o->self)),
					  .incarnation = (uint64_t)clock_wall_ms(),
					  .dc = tag_of(str_from(o->dc)) };
	return w;
}

void workers_destroy(struct workers *w)
{
	if (!w)
		return;
	while (w->orders) {
		struct worker_order *o = w->orders;

		w->orders = o->next;
		api_call_cancel(o->call);
		free(o);
	}
	for (int i = 0; i < w->service_count; i++) {
		buf_free(&w->services[i]->name);
		free(w->services[i]);
	}
	free(w->services);
	demand_destroy(w->demand);
	free(w);
}
