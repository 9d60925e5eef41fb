#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/net/codec.h"

/* A load report within this time after a role change may still show the old role. */
#define ROLE_SETTLE_MS 5000
/* Keeps an id chosen by route_pick() from denoting another endpoint when it is acquired. */
#define ENTRY_REUSE_MS 60000

struct fleet *fleet_create(void)
{
	struct fleet *f = mem_zalloc(sizeof(*f));

	pthread_mutex_init(&f->lock, NULL);
	f->endpoints = mem_zalloc(FLEET_ENDPOINTS_MAX * sizeof(*f->endpoints));
	f->index = prefix_index_create(FLEET_PREFIX_CAPACITY);
	f->load_lag_ms = 2000;
	return f;
}

void fleet_destroy(struct fleet *f)
{
	if (!f)
		return;
	prefix_index_destroy(f->index);
	pthread_mutex_destroy(&f->lock);
	free(f->endpoints);
	free(f);
}

struct endpoint *fleet_find(struct fleet *f, const char *name)
{
	for (int i = 0; i < f->count; i++) {
		if (f->endpoints[i].used && strcmp(f->endpoints[i].info.name, name) == 0)
			return &f->endpoints[i];
	}
	return NULL;
}

static bool endpoint_is_unused(const struct endpoint *ep)
{
	return !ep->listed && !ep->in_flight && !ep->stop_count && !ep->reserved &&
	       !ep->peer_reserved;
}

/* Adds an entry, or reuses that of a removed endpoint. Returns NULL when the fleet is full. */
static struct endpoint *endpoint_add(struct fleet *f, const char *name)
{
	struct endpoint *ep = NULL;
	int64_t now_ms = clock_boot_ms();

	for (int i = 0; i < f->count && !ep; i++) {
		if (endpoint_is_unused(&f->endpoints[i]) &&
		    now_ms - f->endpoints[i].unlisted_ms > ENTRY_REUSE_MS)
			ep = &f->endpoints[i];
	}
	if (!ep && f->count < FLEET_ENDPOINTS_MAX)
		ep = &f->endpoints[f->count++];
	if (!ep)
		return NULL;
	prefix_index_remove_endpoint(f->index, (int)(ep - f->endpoints));
	memset(ep, 0, sizeof(*ep));
	ep->used = true;
	ep->unlisted_ms = now_ms;
	str_copy(ep->info.name, sizeof(ep->info.name), str_from(name));
	ep->tag = peer_tag(name, 0);
	return ep;
}

struct endpoint *fleet_find_or_add(struct fleet *f, const char *name)
{
	struct endpoint *ep = fleet_find(f, name);

	return ep ? ep : endpoint_add(f, name);
}

static void endpoint_apply(struct endpoint *ep, const struct endpoint_info *info)
{
	enum endpoint_role role = ep->info.role;
	bool was_listed = ep->listed;

	ep->info = *info;
	ep->listed = true;
	/* An order may have changed the model since the endpoint was listed. */
	if (ep->load.model[0])
		memcpy(ep->info.model, ep->load.model, sizeof(ep->info.model));
	/* The list lags, so a known role is only updated by orders and load reports. */
	if (was_listed || ep->role_set_ms)
		ep->info.role = role;
}

void fleet_update(struct fleet *f, const struct endpoint_info *infos, int count)
{
	bool seen[FLEET_ENDPOINTS_MAX] = { false };

	pthread_mutex_lock(&f->lock);
	for (int i = 0; i < count; i++) {
		struct endpoint *ep = fleet_find(f, infos[i].name);

		if (ep)
			seen[ep - f->endpoints] = true;
	}
	for (int i = 0; i < f->count; i++) {
		if (seen[i] || !f->endpoints[i].listed)
			continue;
		f->endpoints[i].listed = false;
		f->endpoints[i].unlisted_ms = clock_boot_ms();
	}
	for (int i = 0; i < count; i++) {
		struct endpoint *ep = fleet_find_or_add(f, infos[i].name);

		if (ep)
			endpoint_apply(ep, &infos[i]);
	}
	pthread_mutex_unlock(&f->lock);
}

static int stop_find(const struct endpoint *ep, const char *order)
{
	for (int i = 0; i < ep->stop_count; i++) {
		if (strcmp(ep->stops[i], order) == 0)
			return i;
	}
	return -1;
}

bool fleet_endpoint_stop(struct fleet *f, const char *name, const char *order)
{
	struct endpoint *ep;
	bool ok = true;

	pthread_mutex_lock(&f->lock);
	/* The stop must also apply to an endpoint that the list names only later. */
	ep = fleet_find_or_add(f, name);
	if (!ep)
		ok = false;
	else if (stop_find(ep, order) < 0) {
		ok = ep->stop_count < FLEET_STOPS_MAX &&
		     str_copy(ep->stops[ep->stop_count], sizeof(ep->stops[0]), str_from(order));
		if (ok)
			ep->stop_count++;
	}
	pthread_mutex_unlock(&f->lock);
	return ok;
}

bool fleet_endpoint_resume(struct fleet *f, const char *name, const char *order,
			   enum endpoint_role role)
{
	struct endpoint *ep;
	int i = -1;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	if (ep)
		i = stop_find(ep, order);
	if (i >= 0) {
		ep->stop_count--;
		memmove(ep->stops[i], ep->stops[i + 1],
			(size_t)(ep->stop_count - i) * sizeof(ep->stops[0]));
		ep->info.role = role;
		ep->role_set_ms = clock_boot_ms();
		ep->load.changing = false;
	}
	pthread_mutex_unlock(&f->lock);
	return i >= 0;
}

int fleet_endpoint_in_flight(struct fleet *f, const char *name)
{
	struct endpoint *ep;
	int n;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	n = ep ? ep->in_flight : 0;
	pthread_mutex_unlock(&f->lock);
	return n;
}

/* Returns the own work at @at_ms, from the newest history entry that is not later. */
static struct own_work own_work_at(const struct endpoint *ep, int64_t at_ms)
{
	struct own_work none = { 0 };
	uint64_t oldest = ep->history_next > FLEET_HISTORY ? ep->history_next - FLEET_HISTORY : 0;

	for (uint64_t i = ep->history_next; i > oldest; i--) {
		const struct own_work *w = &ep->history[(i - 1) % FLEET_HISTORY];

		if (w->at_ms <= at_ms)
			return *w;
	}
	return none;
}

void endpoint_record_work(struct endpoint *ep, int64_t now_ms)
{
	struct own_work *last = &ep->history[(ep->history_next - 1) % FLEET_HISTORY];

	if (!ep->history_next || now_ms - last->at_ms >= FLEET_HISTORY_STEP_MS)
		last = &ep->history[ep->history_next++ % FLEET_HISTORY], last->at_ms = now_ms;
	last->prefill = ep->own_prefill;
	last->seqs = ep->own_seqs;
}

/*
 * Most of the work of other instances in a report has ended when the report arrives, and new work
 * has replaced it. A mean over twice the lag is a better estimate of the present load than the last
 * report: when each report was used as it was, all instances left and joined the same engines
 * together every few seconds.
 */
static void peer_work_update(struct endpoint *ep, double prefill, double seqs, int64_t lag_ms,
			     int64_t at_ms)
{
	double span = (double)(at_ms - ep->load.received_ms);
	double weight = 1;

	if (ep->load.received_ms && lag_ms > 0)
		weight = -expm1(-fmax(0, span) / (2.0 * (double)lag_ms));
	ep->peer_prefill += (prefill - ep->peer_prefill) * weight;
	ep->peer_seqs += (seqs - ep->peer_seqs) * weight;
}

void fleet_load_update(struct fleet *f, const char *name, const struct endpoint_load *load)
{
	struct endpoint *ep;
	struct own_work own;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	/* Relayed reports may arrive out of order. */
	if (!ep || load->received_ms < ep->load.received_ms)
		goto out;
	if (ep->load.boot_id[0] && strcmp(ep->load.boot_id, load->boot_id) != 0)
		prefix_index_remove_endpoint(f->index, (int)(ep - f->endpoints));
	if (!load->is_mean && load->received_ms >= ep->down_ms)
		ep->down = false;
	own = own_work_at(ep, load->received_ms - f->load_lag_ms);
	peer_work_update(ep, fmax(0, (double)(load->prefill_backlog - own.prefill)),
			 fmax(0, load->decode_seqs - own.seqs), f->load_lag_ms, load->received_ms);
	ep->load = *load;
	/* The report may still show a change that has ended since. */
	if (ep->role_set_ms && load->received_ms - f->load_lag_ms < ep->role_set_ms)
		ep->load.changing = false;
	if (ep->info.is_engine && !load->changing && load->model[0])
		memcpy(ep->info.model, load->model, sizeof(ep->info.model));
	if (ep->info.is_engine && !load->changing && load->role != ROLE_SERVICE &&
	    load->received_ms - ep->role_set_ms > ROLE_SETTLE_MS + f->load_lag_ms)
		ep->info.role = load->role;
out:
	pthread_mutex_unlock(&f->lock);
}

bool fleet_load_find_by_tag(struct fleet *f, uint32_t tag, char name[ENDPOINT_NAME_MAX],
			    struct endpoint_load *out)
{
	int found = 0;

	pthread_mutex_lock(&f->lock);
	for (int i = 0; i < f->count; i++) {
		const struct endpoint *ep = &f->endpoints[i];

		if (ep->tag != tag || !ep->listed || !ep->info.is_engine)
			continue;
		str_copy(name, ENDPOINT_NAME_MAX, str_from(ep->info.name));
		*out = ep->load;
		found++;
	}
	pthread_mutex_unlock(&f->lock);
	return found == 1;
}

struct endpoint_status *fleet_statuses_copy(struct fleet *f, int *count)
{
	struct endpoint_status *out;
	int n = 0;

	pthread_mutex_lock(&f->lock);
	out = mem_zalloc((size_t)(f->count + 1) * sizeof(*out));
	for (int i = 0; i < f->count; i++) {
		const struct endpoint *ep = &f->endpoints[i];
		struct endpoint_status *st = &out[n];

		if (endpoint_is_unused(ep))
			continue;
		n++;
		st->info = ep->info;
		st->load = ep->load;
		st->id = i;
		st->listed = ep->listed;
		st->stopped = ep->stop_count > 0 || !ep->listed;
		if (ep->stop_count)
			str_copy(st->stop_order, sizeof(st->stop_order),
				 str_from(ep->stops[ep->stop_count - 1]));
		st->down = ep->down;
		st->in_flight = ep->in_flight;
		st->in_flight_prefill = ep->own_prefill;
		st->circuit = ep->circuit.state;
	}
	pthread_mutex_unlock(&f->lock);
	*count = n;
	return out;
}

void fleet_demand_add(struct fleet *f, const char *model, int64_t prefill_us, int64_t decode_us)
{
	struct fleet_demand *d = NULL;

	pthread_mutex_lock(&f->lock);
	for (int i = 0; i < f->demand_count && !d; i++) {
		if (strcmp(f->demands[i].model, model) == 0)
			d = &f->demands[i];
	}
	if (!d && f->demand_count < FLEET_MODELS_MAX) {
		d = &f->demands[f->demand_count++];
		str_copy(d->model, sizeof(d->model), str_from(model));
	}
	if (d) {
		d->prefill_us += prefill_us;
		d->decode_us += decode_us;
	}
	pthread_mutex_unlock(&f->lock);
}

int fleet_demands_copy(struct fleet *f, struct fleet_demand out[FLEET_MODELS_MAX])
{
	int n;

	pthread_mutex_lock(&f->lock);
	n = f->demand_count;
	memcpy(out, f->demands, (size_t)n * sizeof(*out));
	pthread_mutex_unlock(&f->lock);
	return n;
}
