#include <math.h>

#include "ibisgate/policy/stage_demand.h"

/* Time constant of the decay; spans several fluctuations of the request mix. */
#define DECAY_MS 10000.0

/* Decayed number of requests for which the share is accurate to about a tenth. */
#define SAMPLES_MIN 50.0

/* Target utilisation of the engines of each stage; it leaves room for bursts of prompts. */
#define PREFILL_UTILISATION 0.7
#define DECODE_UTILISATION 0.5

/*
 * Time per event at this utilisation relative to that with a small batch: assumed while no
 * generation has ended on such an engine, and the maximum, because longer times come from prefill.
 */
#define DECODE_SLOWDOWN_MAX 2.0

/*
 * Bounds of the share. The upper bound keeps decode engines, which also take over prefill when
 * prefill engines fail, and of which each data centre needs one. The lower bound keeps prefill
 * engines, the only ones that prefill at full speed.
 */
#define SHARE_MIN 0.2
#define SHARE_MAX 0.75

/* Prefill speed of a decode engine relative to a prefill engine. */
#define MIXED_SPEED 0.5

/* Slots of an engine for which the share in the settings is meant. */
#define PRIOR_SLOTS 64.0

/* Weight of one generation in the moving means of events, which cover about the last 50. */
#define EVENTS_WEIGHT 0.02

/* The event interval is lowered at once, but raised only by this fraction of the difference. */
#define EVENT_INTERVAL_RISE 0.0002

/* With fewer events, a generation gives no good estimate of the event interval. */
#define EVENT_INTERVAL_MIN_EVENTS 4

/*
 * The target share changes only when it moves at least this many engines and at least this fraction
 * of all engines.
 */
#define CHANGE_MIN_ENGINES 2
#define CHANGE_MIN_FRACTION 0.1

static void decay(struct stage_demand *d, int64_t now_ms)
{
	double factor = exp(-(double)(now_ms - d->at_ms) / DECAY_MS);

	if (now_ms <= d->at_ms)
		return;
	d->prefill *= factor;
	d->decode *= factor;
	d->samples *= factor;
	d->at_ms = now_ms;
}

static double decode_slowdown(const struct stage_demand *d)
{
	double slowdown = d->busy_interval_ms / d->event_interval_ms;

	if (d->busy_interval_ms <= 0 || slowdown > DECODE_SLOWDOWN_MAX)
		return DECODE_SLOWDOWN_MAX;
	return slowdown < 1 ? 1 : slowdown;
}

double stage_demand_events(const struct stage_demand *d, int64_t tokens)
{
	return tokens > 0 ? (double)tokens * d->events_per_token : d->events;
}

void stage_demand_add_request(struct stage_demand *d, double prefill_ms, int64_t tokens, int slots,
			      int64_t now_ms)
{
	double events = stage_demand_events(d, tokens);
	double prefill = prefill_ms / PREFILL_UTILISATION;
	double decode = 0;

	if (slots > 0 && d->event_interval_ms > 0)
		decode = events * d->event_interval_ms * decode_slowdown(d) /
			 (slots * DECODE_UTILISATION);
	decay(d, now_ms);
	d->samples += 1;
	d->prefill += prefill;
	d->decode += decode;
	d->requests_total += 1;
	d->prefill_total += prefill;
	d->decode_total += decode;
}

/* Follows the lowest samples, since prefill work on the same engine only makes them longer. */
static void interval_add(double *interval_ms, double sample_ms)
{
	if (*interval_ms <= 0 || sample_ms < *interval_ms)
		*interval_ms = sample_ms;
	else
		*interval_ms += EVENT_INTERVAL_RISE * (sample_ms - *interval_ms);
}

void stage_demand_add_generation(struct stage_demand *d, const struct stage_generation *g)
{
	double per_token =
		g->tokens > 0 ? (double)g->events / (double)g->tokens : d->events_per_token;

	if (d->events <= 0)
		d->events = g->events;
	if (d->events_per_token <= 0)
		d->events_per_token = per_token;
	d->events += EVENTS_WEIGHT * (g->events - d->events);
	d->events_per_token += EVENTS_WEIGHT * (per_token - d->events_per_token);
	if (g->events < EVENT_INTERVAL_MIN_EVENTS)
		return;
	interval_add(&d->event_interval_ms, g->ms / (g->events - 1));
	if (g->used_fraction >= DECODE_UTILISATION)
		interval_add(&d->busy_interval_ms, g->ms / (g->events - 1));
}

bool stage_demand_has_enough_samples(const struct stage_demand *d)
{
	return d->samples >= SAMPLES_MIN && d->event_interval_ms > 0;
}

static double share_clamp(double share)
{
	return fmin(fmax(share, SHARE_MIN), SHARE_MAX);
}

double stage_demand_share(const struct stage_demand *d)
{
	double all = d->prefill + d->decode;

	return share_clamp(all > 0 ? d->prefill / all : SHARE_MAX);
}

double stage_demand_engines(double prefill, double decode, double share)
{
	double speed;

	if (share < 0)
		return prefill + decode;
	share = share_clamp(share);
	speed = share + MIXED_SPEED * (1 - share);
	return fmax(fmax(prefill + MIXED_SPEED * decode, 0) / speed, decode / (1 - share));
}

double stage_demand_prior_share(double share, int slots)
{
	double ratio;

	if (share <= 0 || share >= 1 || slots <= 0)
		return share;
	ratio = share / (1 - share) * sqrt(slots / PRIOR_SLOTS);
	return share_clamp(ratio / (1 + ratio));
}

double stage_demand_apply_hysteresis(double demanded, double current, int total)
{
	double min_engines = fmax(CHANGE_MIN_FRACTION * total, CHANGE_MIN_ENGINES);

	return fabs(demanded - current) * total >= min_engines ? demanded : current;
}
