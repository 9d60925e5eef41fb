#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/policy/scaling.h"
#include "ibisgate/policy/stage_demand.h"

/* Number of samples that a smoothed rate covers: reports of other instances come once a second. */
#define SMOOTH_SAMPLES 4

/* How long demand must have been seen before endpoints are ordered, in milliseconds. */
#define START_WINDOW_MS 3000

/*
 * Additional part of the demand while no whole window of samples has been seen, at its start: the
 * first seconds may show the trough of a wave.
 */
#define START_MARGIN 0.3

/* Time in addition to the boot time until ordered endpoints serve: order, list and reports. */
#define ORDER_MS 1500

/*
 * A rate that exceeds all earlier ones by the first factor is expected to go on rising, up to the
 * second.
 */
#define FORECAST_MIN 1.05
#define FORECAST_MAX 1.3

/*
 * Number of samples for which a need is kept: endpoints that were ordered for it must have come
 * before it is judged again.
 */
#define HOLD_SAMPLES 24

/* Fewer engines have a less even load; the share of its square root that is kept in addition. */
#define VARIATION 0.5

/* Endpoints of a data centre that has callers: one for each stage. */
#define DC_ENGINES_MIN 2

/*
 * Part of the needed engines that must be left when a data centre loses all reclaimable ones. The
 * engines are sized for a utilisation of 0.7, so this leaves them below 0.9 until others are there.
 */
#define RECLAIM_LEFT 0.8

/*
 * Least part of the needed engines that can't be taken back: data centres may lose theirs one after
 * the other.
 */
#define REGULAR_SHARE_MIN 0.25

/*
 * Reclaimable endpoints that are kept beyond the need, for demand that rises faster than endpoints
 * boot: as many as cost this part of the price of regular ones for the need, and at most as many as
 * are needed. Requests that shift from short to long prompts double the demand within seconds.
 */
#define SPARE_PRICE 0.15
#define SPARE_MAX 1.0

/*
 * Regular endpoints beyond those that are needed are given up at this rate, in parts a second:
 * those that leave take their caches along, and prompts are read again.
 */
#define GIVE_UP_PER_S 0.03

/*
 * Part of the need of a data centre that is kept there, also where endpoints beyond the need of
 * others could serve its callers. Longer first tokens and bytes between data centres are for
 * exceptions only.
 */
#define LOCAL_SHARE 0.5

/*
 * From this price relative to the cheapest data centre, engines are ordered there instead. Below
 * it, longer first tokens and the bytes between data centres outweigh the price.
 */
#define REMOTE_PRICE_RATIO 3.0

/*
 * Another number of endpoints is ordered when it differs by one of these parts, and by at least
 * CHANGE_MIN, or by less for a time in milliseconds. Every change of the list costs each instance a
 * call to the store.
 */
#define GROW_SHARE 0.1
#define SHRINK_SHARE 0.25
#define CHANGE_MIN 2
#define CHANGE_LASTING_MS 8000

/*
 * Fewer endpoints are ordered in all data centres together, within the first time, and then not for
 * the second, in milliseconds.
 */
#define SHRINK_TOGETHER_MS 1000
#define SHRINK_INTERVAL_MS 8000

/* A smaller change of the reclaimable endpoints isn't ordered. */
#define STEADY_SHARE 0.2

/*
 * Time between two orders of one kind in one data centre, and until one without an answer is
 * repeated, doubled each time, in milliseconds.
 */
#define GROW_INTERVAL_MS 500
#define REPEAT_MS 1000
#define REPEAT_DOUBLINGS 3

/* Orders whose endpoints don't come are repeated after the boot time, later each time. */
#define UNMET_MAX 4

/* After a refusal or a reclaim nothing is ordered there for this time, doubled each time. */
#define REFUSED_MS 4000
#define REFUSED_DOUBLINGS 3
#define RECLAIMED_MS 8000

static int ring(int64_t i)
{
	return (int)(i % SCALING_SAMPLES);
}

static int max_int(int a, int b)
{
	return a > b ? a : b;
}

static int min_int(int a, int b)
{
	return a < b ? a : b;
}

void scaling_init(struct scaling *s)
{
	*s = (struct scaling){ 0 };
	scaling_forget_orders(s);
}

void scaling_forget_orders(struct scaling *s)
{
	for (int i = 0; i < ROUTING_DCS_MAX; i++) {
		for (int k = 0; k < ENDPOINT_KINDS; k++) {
			struct scaling_orders *o = &s->dcs[i].orders[k];

			o->ordered = -1;
			o->unanswered = -1;
			o->in_flight = false;
			o->unmet = 0;
		}
	}
}

double scaling_price(const struct scaling_spec *spec, const char *dc, enum endpoint_kind kind)
{
	double price = 1;

	for (int i = 0; i < spec->price_count; i++) {
		if (strcmp(spec->prices[i].dc, dc) == 0)
			price = spec->prices[i].price;
	}
	return kind == ENDPOINT_RECLAIMABLE ? price * spec->reclaimable_price : price;
}

static struct scaling_rate smooth(const struct scaling_dc_state *d, int64_t last)
{
	struct scaling_rate sum = { 0 };
	int n = 0;

	for (int64_t i = last; i >= 0 && n < SMOOTH_SAMPLES; i--, n++) {
		sum.prefill += d->rates[ring(i)].prefill;
		sum.decode += d->rates[ring(i)].decode;
	}
	return (struct scaling_rate){ .prefill = sum.prefill / n, .decode = sum.decode / n };
}

static void sample(struct scaling *s, const struct scaling_view *v, double ms, int64_t now_ms)
{
	int at = ring(s->samples);

	for (int i = 0; i < v->dc_count; i++) {
		struct scaling_dc_state *d = &s->dcs[i];
		const struct scaling_dc *dc = &v->dcs[i];

		d->rates[at] = (struct scaling_rate){
			.prefill = fmax(dc->prefill_ms - d->last.prefill, 0) / ms,
			.decode = fmax(dc->decode_ms - d->last.decode, 0) / ms,
		};
		d->last =
			(struct scaling_rate){ .prefill = dc->prefill_ms, .decode = dc->decode_ms };
		d->now = d->smooth[at] = smooth(d, s->samples);
		if (!s->demand_since_ms && d->rates[at].prefill + d->rates[at].decode > 0)
			s->demand_since_ms = now_ms;
	}
	s->samples++;
}

/*
 * Rate to be ready for, of the values of one stage: the highest of the window, and more while a
 * rate is rising above all that were seen before.
 */
static double coming_rate(const double *rates, int count, double lead_samples)
{
	double newest = rates[count - 1];
	double before = 0;
	double slope;

	for (int i = 0; i < count - SMOOTH_SAMPLES; i++)
		before = fmax(before, rates[i]);
	for (int i = max_int(count - SMOOTH_SAMPLES, 0); i < count - 1; i++)
		newest = fmax(newest, rates[i]);
	if (newest <= before * FORECAST_MIN || count <= SMOOTH_SAMPLES)
		return fmax(newest, before);
	slope = (rates[count - 1] - rates[count - 1 - SMOOTH_SAMPLES]) / SMOOTH_SAMPLES;
	return fmin(fmax(newest, rates[count - 1] + slope * lead_samples), newest * FORECAST_MAX);
}

/* Rates to be ready for, of all data centres together. */
static struct scaling_rate coming_rates(const struct scaling *s, const struct scaling_view *v)
{
	double lead = (double)(v->spec->boot_ms + ORDER_MS) / SCALING_SAMPLE_MS;
	int count = s->samples < SCALING_SAMPLES ? (int)s->samples : SCALING_SAMPLES;
	double prefill[SCALING_SAMPLES] = { 0 };
	double decode[SCALING_SAMPLES] = { 0 };

	for (int i = 0; i < v->dc_count * count; i++) {
		const struct scaling_rate *r =
			&s->dcs[i / count].smooth[ring(s->samples - count + i % count)];

		prefill[i % count] += r->prefill;
		decode[i % count] += r->decode;
	}
	return (struct scaling_rate){ .prefill = coming_rate(prefill, count, lead),
				      .decode = coming_rate(decode, count, lead) };
}

/* Mean rate of a data centre over the window, of both stages. */
static double mean_rate(const struct scaling *s, int dc)
{
	int count = s->samples < SCALING_SAMPLES ? (int)s->samples : SCALING_SAMPLES;
	double sum = 0;

	for (int i = 0; i < count; i++)
		sum += s->dcs[dc].rates[i].prefill + s->dcs[dc].rates[i].decode;
	return count ? sum / count : 0;
}

/*
 * Number of engines, not rounded. Any engine can serve any caller, so they are sized for all
 * together, whose load is more even, and divided by where the callers are.
 */
static void engines_needed(struct scaling *s, const struct scaling_view *v, int64_t now_ms)
{
	double seen_ms = (double)(now_ms - s->demand_since_ms);
	double unseen = fmax(1 - seen_ms / (SCALING_SAMPLES * SCALING_SAMPLE_MS), 0);
	struct scaling_rate all = coming_rates(s, v);
	double x = stage_demand_engines(all.prefill, all.decode, v->prefill_share) *
		   (1 + START_MARGIN * unseen);
	double sum = 0;

	x += VARIATION * sqrt(x);
	s->needed[ring(s->samples - 1)] = x;
	for (int i = 0; i < HOLD_SAMPLES && i < s->samples; i++)
		x = fmax(x, s->needed[ring(s->samples - 1 - i)]);
	s->engines = x;
	for (int i = 0; i < v->dc_count; i++) {
		s->dcs[i].engines = mean_rate(s, i);
		sum += s->dcs[i].engines;
	}
	for (int i = 0; i < v->dc_count && sum > 0; i++) {
		if (s->dcs[i].engines > 0)
			s->dcs[i].engines = fmax(x * s->dcs[i].engines / sum, DC_ENGINES_MIN);
	}
}

static bool may_grow(const struct scaling_dc_state *d, enum endpoint_kind kind, int64_t now_ms)
{
	return now_ms >= d->orders[kind].refused_until_ms;
}

/* Cheapest data centre where the platform has regular endpoints; -1 without one. */
static int cheapest_dc(const struct scaling *s, const struct scaling_view *v, int64_t now_ms)
{
	int best = -1;

	for (int i = 0; i < v->dc_count; i++) {
		if (may_grow(&s->dcs[i], ENDPOINT_REGULAR, now_ms) &&
		    (best < 0 || v->dcs[i].price < v->dcs[best].price))
			best = i;
	}
	return best;
}

/* Engines that a data centre can't or shouldn't run are added to the cheapest one. */
static void distribute(struct scaling *s, const struct scaling_view *v, double *engines,
		       int64_t now_ms)
{
	int cheapest = cheapest_dc(s, v, now_ms);

	for (int i = 0; i < v->dc_count; i++) {
		struct scaling_dc_state *d = &s->dcs[i];
		int there = v->dcs[i].there[0] + v->dcs[i].there[1];
		double moved = 0;

		engines[i] += d->engines;
		if (cheapest < 0 || cheapest == i)
			continue;
		if (v->dcs[i].price > REMOTE_PRICE_RATIO * v->dcs[cheapest].price)
			moved = d->engines;
		else if (!may_grow(d, ENDPOINT_REGULAR, now_ms))
			moved = fmax(d->engines - there, 0);
		engines[i] -= moved;
		engines[cheapest] += moved;
	}
}

/** struct kind_mix - endpoints of each kind, as a fraction of those that are needed */
struct kind_mix {
	double regular;
	double reclaimable;
};

/*
 * The cheapest mix in which enough is left when one of @dcs data centres loses its reclaimable
 * endpoints: either these only replace others, or there are more of them than needed.
 */
static struct kind_mix kind_mix(double price, int dcs)
{
	struct kind_mix only = { .regular = 1 };
	struct kind_mix replaced;
	struct kind_mix more;

	if (price <= 0 || price >= 1)
		return only;
	replaced.reclaimable = fmin(dcs * (1 - RECLAIM_LEFT), 1 - REGULAR_SHARE_MIN);
	replaced.regular = 1 - replaced.reclaimable;
	replaced.reclaimable += fmin(SPARE_PRICE / price, SPARE_MAX);
	if (dcs < 2)
		return replaced;
	more.regular = REGULAR_SHARE_MIN;
	more.reclaimable = fmax((RECLAIM_LEFT - more.regular) * dcs / (dcs - 1), 1 - more.regular) +
			   fmin(SPARE_PRICE / price, SPARE_MAX);
	return more.regular + price * more.reclaimable <
			       replaced.regular + price * replaced.reclaimable
		       ? more
		       : replaced;
}

/** struct dc_need - need of one data centre; @kept regular endpoints don't depend on others */
struct dc_need {
	int engines;
	int kept;
};

/* Reclaimable endpoints that are wanted in a data centre, as the mix says. */
static int want_reclaimable(const struct scaling_dc_state *d, const struct scaling_spec *spec,
			    double engines, const struct kind_mix *mix, int kept, int there,
			    int64_t now_ms)
{
	int former = d->wanted[ENDPOINT_RECLAIMABLE];
	int n = (int)ceil(mix->reclaimable * engines);

	if (spec->max > 0)
		n = min_int(n, spec->max - kept);
	if (n && abs(n - former) < fmax(CHANGE_MIN, STEADY_SHARE * former))
		n = former;
	return may_grow(d, ENDPOINT_RECLAIMABLE, now_ms) ? n : min_int(n, there);
}

/*
 * Regular endpoints make up for reclaimable ones that aren't there, as far as those beyond the need
 * of other data centres don't. Those are given up no faster than the rest.
 */
static void want_regular(struct scaling *s, const struct scaling_view *v,
			 const struct dc_need *needs)
{
	int spare = 0;

	for (int i = 0; i < v->dc_count; i++)
		spare += max_int(v->dcs[i].there[ENDPOINT_RECLAIMABLE] + needs[i].kept -
					 needs[i].engines,
				 0);
	for (int i = 0; i < v->dc_count; i++) {
		int there = v->dcs[i].there[ENDPOINT_RECLAIMABLE];
		int lacking = max_int(needs[i].engines - there - needs[i].kept, 0);
		int local = (int)ceil(LOCAL_SHARE * needs[i].engines) - there - needs[i].kept;
		int borrowed = min_int(spare, lacking - max_int(local, 0));

		spare -= borrowed;
		s->dcs[i].kept += lacking - borrowed;
		s->dcs[i].wanted[ENDPOINT_REGULAR] = needs[i].kept + lacking - borrowed;
	}
}

/* Regular endpoints of a data centre that don't depend on what else is there. */
static int keep_regular(struct scaling_dc_state *d, const struct scaling_view *v, double engines,
			double part, int there)
{
	int min = max_int(DC_ENGINES_MIN, v->spec->min);
	int kept;

	if (d->kept <= 0)
		d->kept = there;
	d->kept -= GIVE_UP_PER_S * fmax(engines, d->kept) * SCALING_SAMPLE_MS / 1000;
	d->kept = fmax(part * engines, d->kept);
	kept = max_int((int)ceil(d->kept), min);
	return v->spec->max > 0 ? min_int(kept, v->spec->max) : kept;
}

static void want(struct scaling *s, const struct scaling_view *v, int64_t now_ms)
{
	const struct scaling_spec *spec = v->spec;
	double engines[ROUTING_DCS_MAX] = { 0 };
	struct dc_need needs[ROUTING_DCS_MAX];
	struct kind_mix mix;
	int dcs = 0;

	engines_needed(s, v, now_ms);
	distribute(s, v, engines, now_ms);
	for (int i = 0; i < v->dc_count; i++)
		dcs += engines[i] > 0;
	mix = kind_mix(spec->reclaimable_price, dcs);
	for (int i = 0; i < v->dc_count; i++) {
		struct scaling_dc_state *d = &s->dcs[i];
		int need = max_int((int)ceil(engines[i]), spec->min);

		if (spec->max > 0)
			need = min_int(need, spec->max);
		needs[i] = (struct dc_need){
			.engines = need,
			.kept = keep_regular(d, v, engines[i], mix.regular,
					     v->dcs[i].there[ENDPOINT_REGULAR]),
		};
		d->wanted[ENDPOINT_RECLAIMABLE] =
			want_reclaimable(d, spec, engines[i], &mix, needs[i].kept,
					 v->dcs[i].there[ENDPOINT_RECLAIMABLE], now_ms);
	}
	want_regular(s, v, needs);
}

/* The platform is taking endpoints back; more of that kind wouldn't stay. */
static void note_reclaims(struct scaling *s, const struct scaling_view *v, int64_t now_ms)
{
	for (int i = 0; i < v->dc_count; i++) {
		struct scaling_orders *o = &s->dcs[i].orders[ENDPOINT_RECLAIMABLE];
		/* Those that leave on an order of this instance are no more than it gave up. */
		int lost = o->ordered - v->dcs[i].there[ENDPOINT_RECLAIMABLE];

		if (!v->dcs[i].reclaimed || o->ordered <= 0 ||
		    lost < max_int(v->dcs[i].reclaimed, 1) || now_ms < o->refused_until_ms)
			continue;
		o->refused_until_ms = now_ms + RECLAIMED_MS;
		o->ordered = v->dcs[i].there[ENDPOINT_RECLAIMABLE];
	}
}

void scaling_observe(struct scaling *s, const struct scaling_view *v, int64_t now_ms)
{
	bool first = !s->sampled_ms;
	int64_t ms = now_ms - s->sampled_ms;

	if (!first && ms < SCALING_SAMPLE_MS)
		return;
	s->sampled_ms = now_ms;
	if (first) {
		for (int i = 0; i < v->dc_count; i++)
			s->dcs[i].last = (struct scaling_rate){
				.prefill = v->dcs[i].prefill_ms,
				.decode = v->dcs[i].decode_ms,
			};
		return;
	}
	sample(s, v, (double)ms, now_ms);
	note_reclaims(s, v, now_ms);
	if (s->demand_since_ms)
		want(s, v, now_ms);
}

/* Count of the order that is due for one kind in one data centre; -1 when none is. */
static int order_due(struct scaling_orders *o, bool may_shrink, const struct scaling_spec *spec,
		     int wanted, int there, int room, int64_t now_ms)
{
	int former = o->ordered >= 0 ? o->ordered : there;
	int64_t since_ms = o->sent_ms ? now_ms - o->sent_ms : INT64_MAX;
	double large;

	wanted = min_int(wanted, room);
	large = fmax((wanted > former ? GROW_SHARE : SHRINK_SHARE) * former, CHANGE_MIN);
	if (wanted == former)
		o->differs_since_ms = 0;
	else if (!o->differs_since_ms)
		o->differs_since_ms = now_ms;
	if (o->in_flight)
		return -1;
	if (o->unanswered >= 0)
		return since_ms < REPEAT_MS << min_int(o->repeats, REPEAT_DOUBLINGS)
			       ? -1
			       : min_int(max_int(wanted, o->unanswered), room);
	if (wanted != former && abs(wanted - former) < large &&
	    now_ms - o->differs_since_ms < CHANGE_LASTING_MS)
		return -1;
	if (wanted > former)
		return since_ms >= GROW_INTERVAL_MS && now_ms >= o->refused_until_ms ? wanted : -1;
	if (wanted < former)
		return may_shrink ? wanted : -1;
	if (there >= former) {
		o->unmet = 0;
		return -1;
	}
	/* Endpoints were lost, or didn't come. */
	if (now_ms < o->refused_until_ms ||
	    since_ms < (spec->boot_ms + ORDER_MS) * (1 + min_int(o->unmet, UNMET_MAX)))
		return -1;
	return former;
}

/*
 * Whether a data centre lacks endpoints that the platform doesn't have there. Those that others got
 * in their place stay until then.
 */
static bool is_lacking(const struct scaling *s, const struct scaling_view *v)
{
	for (int i = 0; i < v->dc_count; i++) {
		const struct scaling_dc_state *d = &s->dcs[i];

		if (d->orders[ENDPOINT_REGULAR].refusals &&
		    (d->wanted[ENDPOINT_REGULAR] > v->dcs[i].there[ENDPOINT_REGULAR] ||
		     !may_grow(d, ENDPOINT_REGULAR, s->sampled_ms)))
			return true;
	}
	return false;
}

bool scaling_next_order(struct scaling *s, const struct scaling_view *v, int64_t now_ms,
			struct scaling_order *out)
{
	int64_t since_ms = now_ms - s->shrunk_ms;
	bool may_shrink = (since_ms < SHRINK_TOGETHER_MS || since_ms >= SHRINK_INTERVAL_MS) &&
			  !is_lacking(s, v);
	bool found = false;

	if (!s->demand_since_ms || now_ms - s->demand_since_ms < START_WINDOW_MS)
		return false;
	for (int i = 0; i < v->dc_count; i++) {
		struct scaling_dc_state *d = &s->dcs[i];

		for (int k = 0; k < ENDPOINT_KINDS; k++) {
			const struct scaling_orders *other = &d->orders[!k];
			int there = v->dcs[i].there[k];
			int used = max_int(other->ordered, v->dcs[i].there[!k]);
			int room = v->spec->max > 0 ? max_int(v->spec->max - used, 0) : INT32_MAX;
			int wanted = order_due(&d->orders[k], may_shrink, v->spec, d->wanted[k],
					       there, room, now_ms);
			struct scaling_order o = {
				.dc = i,
				.kind = (enum endpoint_kind)k,
				.wanted = wanted,
				.former = d->orders[k].ordered >= 0 ? d->orders[k].ordered : there,
			};

			if (wanted < 0 ||
			    (found && o.wanted - o.former <= out->wanted - out->former))
				continue;
			found = true;
			*out = o;
		}
	}
	return found;
}

void scaling_order_sent(struct scaling *s, const struct scaling_order *o, int64_t now_ms)
{
	struct scaling_orders *k = &s->dcs[o->dc].orders[o->kind];

	if (o->wanted < o->former && now_ms - s->shrunk_ms >= SHRINK_INTERVAL_MS)
		s->shrunk_ms = now_ms;
	k->in_flight = true;
	k->sent_ms = now_ms;
	k->unmet = o->wanted == o->former ? k->unmet + 1 : 0;
}

void scaling_order_done(struct scaling *s, const struct scaling_order *o,
			enum scaling_answer answer, int64_t now_ms)
{
	struct scaling_orders *k = &s->dcs[o->dc].orders[o->kind];

	k->in_flight = false;
	switch (answer) {
	case SCALING_ACCEPTED:
		k->ordered = o->wanted;
		k->unanswered = -1;
		k->repeats = 0;
		k->refusals = 0;
		break;
	case SCALING_UNAVAILABLE:
		/* Those that were ordered before may not be coming either. */
		k->ordered = -1;
		k->unanswered = -1;
		k->refused_until_ms =
			now_ms + ((int64_t)REFUSED_MS << min_int(k->refusals, REFUSED_DOUBLINGS));
		k->refusals++;
		break;
	case SCALING_NOT_SENT:
		break;
	case SCALING_UNANSWERED:
		k->repeats = k->unanswered >= 0 ? k->repeats + 1 : 0;
		k->unanswered = o->wanted;
		break;
	}
}
