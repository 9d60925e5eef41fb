#include <string.h>

#include "control_impl.h"

/* Over a shorter span too few requests arrive for a meaningful rate. */
#define RATE_SPAN_MIN_MS 900
#define DC_DEMAND_EXPIRY_MS 10000

static bool source_is_current(const struct control *c, const struct demand_source *s)
{
	const struct member *m = member_find(c->members, s->id);

	return m && m->state != MEMBER_GONE && m->incarnation == s->incarnation;
}

static struct demand_source *source_find(struct control *c, const char *id)
{
	for (int i = 0; i < c->source_count; i++) {
		if (strcmp(c->sources[i].id, id) == 0)
			return &c->sources[i];
	}
	return NULL;
}

/* Slot for a new source: an unused one, or one whose instance was removed or restarted. */
static struct demand_source *source_alloc(struct control *c)
{
	if (c->source_count < CONTROL_SOURCES_MAX)
		return &c->sources[c->source_count++];
	for (int i = 0; i < c->source_count; i++) {
		if (!source_is_current(c, &c->sources[i]))
			return &c->sources[i];
	}
	return NULL;
}

static struct demand_source *source_get(struct control *c, const char *id, uint64_t incarnation)
{
	struct demand_source *s = source_find(c, id);

	if (!s) {
		s = source_alloc(c);
		if (!s)
			return NULL;
		*s = (struct demand_source){ .incarnation = incarnation };
		str_copy(s->id, sizeof(s->id), str_from(id));
	}
	if (s->incarnation != incarnation) {
		s->incarnation = incarnation;
		s->count = 0;
		s->at_ms = 0;
	}
	return s;
}

static int source_model_index(struct demand_source *s, const char *model)
{
	for (int i = 0; i < s->count; i++) {
		if (strcmp(s->models[i].total.model, model) == 0)
			return i;
	}
	if (s->count == FLEET_MODELS_MAX)
		return -1;
	memset(&s->models[s->count], 0, sizeof(s->models[0]));
	str_copy(s->models[s->count].total.model, sizeof(s->models[0].total.model),
		 str_from(model));
	return s->count++;
}

static void source_update(struct demand_source *s, const struct fleet_demand *totals, int count,
			  int64_t now)
{
	int64_t span = now - s->at_ms;

	if (s->at_ms && span < RATE_SPAN_MIN_MS)
		return;
	for (int i = 0; i < count; i++) {
		int k = source_model_index(s, totals[i].model);
		const struct fleet_demand *t = &totals[i];

		if (k < 0)
			continue;
		if (s->at_ms) {
			const struct fleet_demand *last = &s->models[k].total;

			s->models[k].prefill_rate =
				(double)(t->prefill_us - last->prefill_us) * 1e3 / (double)span;
			s->models[k].decode_rate =
				(double)(t->decode_us - last->decode_us) * 1e3 / (double)span;
		}
		s->models[k].total = *t;
	}
	s->at_ms = now;
}

void control_demand_sample_own(struct control *c, int64_t now)
{
	struct demand_source *s = source_get(c, c->settings->instance.id, c->gate->incarnation);
	struct fleet_demand totals[FLEET_MODELS_MAX];
	int n = fleet_demands_copy(c->fleet, totals);

	if (s)
		source_update(s, totals, n, now);
}

static void dc_demand_store(struct control *c, const struct peer_demand *d, int64_t now)
{
	struct dc_demand *slot = NULL;

	for (int i = 0; i < c->dc_demand_count && !slot; i++) {
		struct dc_demand *known = &c->dc_demands[i];

		if ((strcmp(known->rate.dc, d->dc) == 0 &&
		     strcmp(known->rate.model, d->model) == 0) ||
		    now - known->at_ms > DC_DEMAND_EXPIRY_MS)
			slot = known;
	}
	if (!slot && c->dc_demand_count < CONTROL_DC_DEMANDS_MAX)
		slot = &c->dc_demands[c->dc_demand_count++];
	if (slot)
		*slot = (struct dc_demand){ .rate = *d, .at_ms = now };
}

void control_demand_receive(struct control *c, const struct peer_message *m, int64_t now)
{
	const struct peer_heartbeat *h = &m->u.heartbeat;
	bool own_dc = strcmp(h->dc, c->settings->instance.dc) == 0;
	struct fleet_demand totals[FLEET_MODELS_MAX];
	struct demand_source *s;
	int n = 0;

	for (int i = 0; i < h->demand_count; i++) {
		const struct peer_demand *d = &h->demands[i];

		if (d->dc[0]) {
			if (strcmp(d->dc, c->settings->instance.dc) != 0)
				dc_demand_store(c, d, now);
			continue;
		}
		if (!own_dc || n == FLEET_MODELS_MAX)
			continue;
		totals[n].prefill_us = d->prefill_us;
		totals[n].decode_us = d->decode_us;
		str_copy(totals[n].model, sizeof(totals[n].model), str_from(d->model));
		n++;
	}
	s = own_dc ? source_get(c, m->sender, m->incarnation) : NULL;
	if (s)
		source_update(s, totals, n, now);
}

static void own_dc_demand_rate(const struct control *c, const char *model, double *prefill,
			       double *decode)
{
	for (int i = 0; i < c->source_count; i++) {
		const struct demand_source *s = &c->sources[i];

		for (int k = 0; k < s->count && source_is_current(c, s); k++) {
			if (strcmp(s->models[k].total.model, model) != 0)
				continue;
			*prefill += s->models[k].prefill_rate;
			*decode += s->models[k].decode_rate;
		}
	}
}

static struct peer_demand own_dc_demand(const struct control *c, const char *model)
{
	struct peer_demand d = { 0 };
	double prefill = 0;
	double decode = 0;

	own_dc_demand_rate(c, model, &prefill, &decode);
	str_copy(d.dc, sizeof(d.dc), str_from(c->settings->instance.dc));
	str_copy(d.model, sizeof(d.model), str_from(model));
	d.prefill_us = prefill > 0 ? (int64_t)prefill : 0;
	d.decode_us = decode > 0 ? (int64_t)decode : 0;
	return d;
}

static int own_dc_demands_fill(const struct control *c, struct peer_demand *out, int max)
{
	int n = 0;

	for (int i = 0; i < c->source_count; i++) {
		for (int k = 0; k < c->sources[i].count && n < max; k++) {
			const char *model = c->sources[i].models[k].total.model;
			bool known = false;

			for (int j = 0; j < n; j++)
				known = known || strcmp(out[j].model, model) == 0;
			if (!known)
				out[n++] = own_dc_demand(c, model);
		}
	}
	return n;
}

int control_demand_fill(struct control *c, struct peer_demand *out, int max, bool own_totals,
			bool dcs, int64_t now)
{
	struct demand_source *s = source_get(c, c->settings->instance.id, c->gate->incarnation);
	int n = 0;

	for (int k = 0; own_totals && s && k < s->count && n < max; k++) {
		const struct fleet_demand *t = &s->models[k].total;

		out[n] = (struct peer_demand){ .prefill_us = t->prefill_us,
					       .decode_us = t->decode_us };
		str_copy(out[n].model, sizeof(out[n].model), str_from(t->model));
		n++;
	}
	if (!dcs)
		return n;
	if (!own_totals)
		return own_dc_demands_fill(c, out, max);
	for (int i = 0; i < c->dc_demand_count && n < max; i++) {
		if (now - c->dc_demands[i].at_ms <= MEMBER_SUSPECT_MS)
			out[n++] = c->dc_demands[i].rate;
	}
	return n;
}

void control_demand_rate(struct control *c, const char *model, double *prefill, double *decode)
{
	*prefill = 0;
	*decode = 0;
	own_dc_demand_rate(c, model, prefill, decode);
	for (int i = 0; i < c->dc_demand_count; i++) {
		const struct dc_demand *d = &c->dc_demands[i];

		if (strcmp(d->rate.model, model) != 0)
			continue;
		*prefill += (double)d->rate.prefill_us;
		*decode += (double)d->rate.decode_us;
	}
	*prefill /= 1e6;
	*decode /= 1e6;
}
