#include <math.h>
#include <string.h>

#include "ibisgate/policy/role.h"

/* A change that takes this many times the usual duration no longer blocks other changes. */
#define STUCK_CHANGE_FACTOR 10
#define HOUR_MS 3600000

/* Engine counts of the region, with the meaning of struct role_dc. */
struct role_counts {
	int prefill;
	int decode;
	int changing;
	int to_prefill;
	int to_decode;
};

static struct role_counts counts_of(const struct role_region_view *v)
{
	struct role_counts n = { 0 };

	for (int i = 0; i < v->dc_count; i++) {
		n.prefill += v->dcs[i].prefill;
		n.decode += v->dcs[i].decode;
		n.changing += v->dcs[i].changing;
		n.to_prefill += v->dcs[i].to_prefill;
		n.to_decode += v->dcs[i].to_decode;
	}
	return n;
}

/* Capacity as a multiple of the demand; values above 1 are spare capacity. */
static double headroom(double prefill_demand, double decode_demand, int prefill, int decode)
{
	double p = prefill_demand > 0 ? prefill / prefill_demand : INFINITY;
	double d = decode_demand > 0 ? decode / decode_demand : INFINITY;

	return fmin(p, d);
}

double role_goodput(double prefill_demand, double decode_demand, int prefill, int decode)
{
	return fmin(1.0, headroom(prefill_demand, decode_demand, prefill, decode));
}

int role_best_split(double prefill_demand, double decode_demand, int total)
{
	double sum = prefill_demand + decode_demand;
	int prefill_count;

	if (total < 2)
		return total == 1 && prefill_demand > decode_demand;
	if (sum <= 0)
		return total / 2;
	/* The headroom increases up to the proportional split and decreases beyond it. */
	prefill_count = (int)floor(total * prefill_demand / sum);
	if (prefill_count < 1)
		return 1;
	if (prefill_count >= total - 1)
		return total - 1;
	if (headroom(prefill_demand, decode_demand, prefill_count + 1, total - prefill_count - 1) >
	    headroom(prefill_demand, decode_demand, prefill_count, total - prefill_count))
		return prefill_count + 1;
	return prefill_count;
}

static enum endpoint_role other_role(enum endpoint_role role)
{
	return role == ROLE_PREFILL ? ROLE_DECODE : ROLE_PREFILL;
}

/* Relative load difference between the roles; 0 without demand or without engines of a role. */
static double imbalance(const struct role_demand *q, const struct role_counts *n)
{
	double p;
	double d;

	if (!n->prefill || !n->decode)
		return 0;
	p = q->prefill / n->prefill;
	d = q->decode / n->decode;
	return fmax(p, d) > 0 ? fabs(p - d) / fmax(p, d) : 0;
}

/* Role that needs engines because the imbalance exceeds @threshold; ROLE_SERVICE for none. */
static enum endpoint_role role_needed(const struct role_demand *q, double threshold,
				      const struct role_counts *n)
{
	if (imbalance(q, n) <= threshold)
		return ROLE_SERVICE;
	return q->prefill * n->decode > q->decode * n->prefill ? ROLE_PREFILL : ROLE_DECODE;
}

static double urgent_threshold(const struct role_policy *m)
{
	return fmax(m->u.horizon.hysteresis, m->u.horizon.urgent);
}

/*
 * Factor by which the loss and the required duration of the imbalance are raised for a change that
 * reverses the last one within the horizon, since the gain of the last change was then not
 * realised. It is close to the margin for an immediate reversal and falls to 1 at the end of the
 * horizon. A margin of 1 treats both directions alike.
 */
static double reversal_factor(const struct role_state *st, const struct role_policy *m,
			      enum endpoint_role to, int64_t now_ms)
{
	int64_t since_change_ms = now_ms - st->last_change_ms;

	if (m->kind != ROLE_HORIZON || !st->last_change_ms || st->last_to != other_role(to) ||
	    since_change_ms >= m->u.horizon.horizon_ms || m->u.horizon.margin <= 1)
		return 1;
	return 1 + (m->u.horizon.margin - 1) *
			   (1 - (double)since_change_ms / (double)m->u.horizon.horizon_ms);
}

/*
 * Effect of one change: fraction of the demand that is served without and after it, engine seconds
 * gained per second and engine seconds lost by the change.
 */
struct change_value {
	double served;
	double served_after;
	double gain_rate;
	double loss;
};

/*
 * The loss is the time of the engine for the duration of the change, plus the demand that the
 * remaining engines can't serve meanwhile, given the changes already in progress.
 */
static struct change_value change_value(const struct role_demand *q,
					const struct role_region_view *v,
					const struct role_counts *n, enum endpoint_role to)
{
	int prefill_delta = to == ROLE_PREFILL ? 1 : -1;
	int prefill_leaving = to == ROLE_PREFILL ? 0 : 1;
	double demand = q->prefill + q->decode;
	double change_s = (double)v->change_ms / 1000.0;
	double goodput_before = role_goodput(q->prefill, q->decode, n->prefill, n->decode);
	double goodput_after = role_goodput(q->prefill, q->decode, n->prefill + prefill_delta,
					    n->decode - prefill_delta);
	int prefill_in_service = n->prefill - n->to_prefill;
	int decode_in_service = n->decode - n->to_decode;
	double goodput_now =
		role_goodput(q->prefill, q->decode, prefill_in_service, decode_in_service);
	double goodput_meanwhile =
		role_goodput(q->prefill, q->decode, prefill_in_service - prefill_leaving,
			     decode_in_service - !prefill_leaving);

	return (struct change_value){
		.served = goodput_before,
		.served_after = goodput_after,
		.gain_rate = (goodput_after - goodput_before) * demand,
		.loss = change_s + (goodput_now - goodput_meanwhile) * demand * change_s,
	};
}

/* @factor: result of reversal_factor() */
static bool change_pays(const struct change_value *c, const struct role_policy *m,
			const struct role_region_view *v, double margin, double factor)
{
	double gain_s = (double)(m->u.horizon.horizon_ms - v->change_ms) / 1000.0;
	double gain = c->gain_rate * gain_s;

	return gain_s > 0 && gain > 0 && gain > c->loss * margin * factor;
}

/* Whether the region keeps an engine of the donor role in service after one more change. */
static bool donor_available(const struct role_counts *n, enum endpoint_role from)
{
	return (from == ROLE_PREFILL ? n->prefill - n->to_prefill : n->decode - n->to_decode) >= 2;
}

/* Role to which a change pays off at demand @q; ROLE_SERVICE for none. */
static enum endpoint_role role_wanted(const struct role_state *st, const struct role_policy *m,
				      const struct role_region_view *v, const struct role_demand *q,
				      double threshold, int64_t now_ms)
{
	struct role_counts n = counts_of(v);
	enum endpoint_role to = role_needed(q, threshold, &n);
	struct change_value c;

	if (to == ROLE_SERVICE || !donor_available(&n, other_role(to)))
		return ROLE_SERVICE;
	c = change_value(q, v, &n, to);
	return change_pays(&c, m, v, m->u.horizon.margin, reversal_factor(st, m, to, now_ms))
		       ? to
		       : ROLE_SERVICE;
}

static enum endpoint_role urgent_wanted(const struct role_state *st, const struct role_policy *m,
					const struct role_region_view *v, int64_t now_ms)
{
	return role_wanted(st, m, v, &st->short_term_demand, urgent_threshold(m), now_ms);
}

static double weight_of(int64_t span_ms, int64_t constant_ms)
{
	return constant_ms > 0 ? -expm1(-fmax(0, (double)span_ms) / (double)constant_ms) : 1;
}

/*
 * Weight in the long-term average. It starts as an arithmetic mean; with exponential smoothing from
 * the start, the first second would still have a weight of a third after a whole horizon.
 */
static double long_term_weight(int64_t span_ms, int64_t observed_for_ms, int64_t horizon_ms)
{
	double mean = span_ms > 0 ? (double)span_ms / (double)(observed_for_ms + span_ms) : 0;

	return fmax(mean, weight_of(span_ms, horizon_ms));
}

static void average(struct role_demand *avg, const struct role_region_view *v, double weight)
{
	avg->prefill += (v->prefill_demand - avg->prefill) * weight;
	avg->decode += (v->decode_demand - avg->decode) * weight;
}

void role_observe(struct role_state *st, const struct role_policy *m,
		  const struct role_region_view *v, int64_t now_ms)
{
	bool smooth = m->kind == ROLE_HORIZON && st->last_observed_ms;
	int64_t span = now_ms - st->last_observed_ms;
	enum endpoint_role to;

	average(&st->short_term_demand, v, smooth ? weight_of(span, m->u.horizon.smooth_ms) : 1);
	if (!st->last_observed_ms)
		st->first_observed_ms = now_ms;
	average(&st->long_term_demand, v,
		smooth ? long_term_weight(span, now_ms - st->first_observed_ms,
					  m->u.horizon.horizon_ms)
		       : 1);
	st->last_observed_ms = now_ms;
	if (m->kind != ROLE_HORIZON)
		return;
	to = urgent_wanted(st, m, v, now_ms);
	if (to != st->imbalance_to) {
		st->imbalance_to = to;
		st->imbalance_since_ms = now_ms;
	}
}

void role_change_started(struct role_state *st, enum endpoint_role to, int64_t now_ms)
{
	/* The imbalance keeps its age, so that a large shift is not confirmed again per engine. */
	st->last_change_ms = now_ms;
	st->last_to = to;
}

static int donor_count(const struct role_dc *dc, enum endpoint_role from)
{
	return from == ROLE_PREFILL ? dc->prefill - dc->to_prefill : dc->decode - dc->to_decode;
}

static bool donor_better(const struct role_dc *a, const struct role_dc *b, enum endpoint_role from)
{
	int na = donor_count(a, from);
	int nb = donor_count(b, from);

	return na != nb ? na > nb : strcmp(a->name, b->name) < 0;
}

/* Whether the overrides of the data centre allow a change with effect @c. */
static bool dc_allows(const struct role_dc *dc, const struct role_policy *m,
		      const struct role_region_view *v, const struct change_value *c, double factor)
{
	if (dc->is_fixed || (dc->max_per_hour > 0 && v->starts >= dc->max_per_hour))
		return false;
	return m->kind != ROLE_HORIZON || dc->margin <= m->u.horizon.margin ||
	       change_pays(c, m, v, dc->margin, factor);
}

static const struct role_dc *donor_dc(const struct role_policy *m, const struct role_region_view *v,
				      enum endpoint_role from, const struct change_value *c,
				      double factor)
{
	const struct role_dc *best = NULL;

	for (int i = 0; i < v->dc_count; i++) {
		const struct role_dc *dc = &v->dcs[i];

		if (dc->changing || donor_count(dc, from) < 1 || !dc_allows(dc, m, v, c, factor))
			continue;
		if (!best || donor_better(dc, best, from))
			best = dc;
	}
	return best;
}

static enum endpoint_role greedy_wanted(const struct role_region_view *v)
{
	struct role_counts n = counts_of(v);
	int best_prefill;

	if (v->prefill_demand + v->decode_demand <= 0)
		return ROLE_SERVICE;
	best_prefill = role_best_split(v->prefill_demand, v->decode_demand, n.prefill + n.decode);
	if (best_prefill > n.prefill && donor_available(&n, ROLE_DECODE))
		return ROLE_PREFILL;
	if (best_prefill < n.prefill && donor_available(&n, ROLE_PREFILL))
		return ROLE_DECODE;
	return ROLE_SERVICE;
}

/*
 * An imbalance has to last at least twice the smoothing time, and longer the closer it is to the
 * threshold, since it may otherwise be noise: with once the smoothing time, white noise of a third
 * of the prefill demand caused changes in 28 of 200 simulated runs, with twice the time in none. It
 * also has to last until not changing has cost as much as the change, so that a small gain has to
 * be confirmed for longer.
 */
static bool imbalance_persists(const struct role_state *st, const struct role_policy *m,
			       const struct role_region_view *v, const struct role_counts *n,
			       int64_t now_ms)
{
	double factor = reversal_factor(st, m, st->imbalance_to, now_ms);
	double age_ms = (double)(now_ms - st->imbalance_since_ms);
	double threshold = urgent_threshold(m);
	double excess = imbalance(&st->short_term_demand, n) - threshold;
	struct change_value c = change_value(&st->short_term_demand, v, n, st->imbalance_to);

	if (age_ms * excess < 2.0 * (double)m->u.horizon.smooth_ms * (excess + threshold) * factor)
		return false;
	return c.gain_rate * age_ms / 1000.0 >= c.loss * m->u.horizon.margin * factor;
}

/*
 * An imbalance that is not urgent but reduces goodput is corrected when it has persisted for a
 * whole horizon, unless the short-term average shows no gain from the change.
 */
static enum endpoint_role long_term_wanted(const struct role_state *st, const struct role_policy *m,
					   const struct role_region_view *v, int64_t now_ms)
{
	int64_t horizon_ms = m->u.horizon.horizon_ms;
	struct role_counts n = counts_of(v);
	enum endpoint_role to;

	if (m->u.horizon.urgent <= m->u.horizon.hysteresis ||
	    now_ms - st->first_observed_ms < horizon_ms || now_ms - st->last_change_ms < horizon_ms)
		return ROLE_SERVICE;
	to = role_wanted(st, m, v, &st->long_term_demand, m->u.horizon.hysteresis, now_ms);
	if (to == ROLE_SERVICE || change_value(&st->short_term_demand, v, &n, to).gain_rate <= 0)
		return ROLE_SERVICE;
	return to;
}

static enum endpoint_role horizon_wanted(const struct role_state *st, const struct role_policy *m,
					 const struct role_region_view *v, int64_t now_ms,
					 bool *is_long_term)
{
	struct role_counts n = counts_of(v);
	int64_t since_change = now_ms - st->last_change_ms;
	enum endpoint_role to = urgent_wanted(st, m, v, now_ms);

	*is_long_term = to == ROLE_SERVICE;
	if (*is_long_term)
		to = long_term_wanted(st, m, v, now_ms);
	else if (to != st->imbalance_to || !imbalance_persists(st, m, v, &n, now_ms))
		return ROLE_SERVICE;
	if (st->last_change_ms && since_change < m->u.horizon.min_dwell_ms)
		return ROLE_SERVICE;
	/* The counts lack the effect of a change to an unknown role, so wait for its end. */
	if (n.changing > n.to_prefill + n.to_decode &&
	    since_change < STUCK_CHANGE_FACTOR * v->change_ms)
		return ROLE_SERVICE;
	return to;
}

struct role_decision role_decide(const struct role_state *st, const struct role_policy *m,
				 const struct role_region_view *v, const char *dc, int64_t now_ms)
{
	struct role_decision none = { 0 };
	enum endpoint_role to = ROLE_SERVICE;
	const struct role_dc *donor;
	struct change_value c;
	struct role_counts n;
	bool is_long_term = false;
	double factor;

	switch (m->kind) {
	case ROLE_FIXED:
		return none;
	case ROLE_GREEDY:
		to = greedy_wanted(v);
		break;
	case ROLE_HORIZON:
		to = horizon_wanted(st, m, v, now_ms, &is_long_term);
		break;
	}
	if (to == ROLE_SERVICE)
		return none;
	n = counts_of(v);
	c = change_value(is_long_term ? &st->long_term_demand : &st->short_term_demand, v, &n, to);
	factor = reversal_factor(st, m, to, now_ms);
	donor = donor_dc(m, v, other_role(to), &c, factor);
	if (!donor || strcmp(donor->name, dc) != 0)
		return none;
	return (struct role_decision){
		.change = true,
		.from = other_role(to),
		.to = to,
		.served = c.served,
		.served_after = c.served_after,
		.gain_rate = c.gain_rate,
		.loss = c.loss * factor,
		.age_ms = m->kind == ROLE_HORIZON && !is_long_term ? now_ms - st->imbalance_since_ms
								   : 0,
		.based_on_long_term = is_long_term,
	};
}

void role_starts_prune(struct role_starts *s, int64_t wall_ms)
{
	int kept = 0;

	for (int i = 0; i < s->count; i++) {
		if (s->at_ms[i] > wall_ms - HOUR_MS && s->at_ms[i] < wall_ms + HOUR_MS)
			s->at_ms[kept++] = s->at_ms[i];
	}
	s->count = kept;
}

bool role_starts_add(struct role_starts *s, int max_per_hour, int64_t wall_ms)
{
	role_starts_prune(s, wall_ms);
	if (s->count == ROLE_STARTS_MAX || (max_per_hour > 0 && s->count >= max_per_hour))
		return false;
	s->at_ms[s->count++] = wall_ms;
	return true;
}
