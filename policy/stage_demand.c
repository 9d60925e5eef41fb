#include <math.h>

#include "ibisgate/policy/stage_demand.h"

/* Time in which older requests lose most of their weight; several swings of a mix, in ms. */
#define WINDOW_MS 10000.0

/* Requests that have to be seen: with these the share is known to about a tenth. */
#define SAMPLES_MIN 50.0

/* Part of their time that engines of each stage are to be busy; prompts come in bursts. */
#define PREFILL_FILL 0.7
#define DECODE_FILL 0.5

/* A batch filled that far generates about twice as slowly as a few requests do. */
#define DECODE_SLOWDOWN 2.0

/*
 * Bounds of the share. Engines that generate also take over prompts while others fail, and each
 * data centre needs one; engines that prefill are the only ones that read at full speed.
 */
#define SHARE_MIN 0.2
#define SHARE_MAX 0.75

/* Weight of a generation in the mean of events: about the last fifty count. */
#define EVENTS_WEIGHT 0.02

/* The least pace seen is followed at once, a greater one by this part of the difference. */
#define PACE_RISE 0.0002

/* Generations with fewer events tell little of the pace. */
#define PACE_EVENTS_MIN 4

/* A share is changed for at least this many engines, or this part of them. */
#define SLACK_ENGINES 2
#define SLACK_PART 0.1

static void decay(struct stage_demand *d, int64_t now_ms)
{
	double keep = exp(-(double)(now_ms - d->at_ms) / WINDOW_MS);

	if (now_ms <= d->at_ms)
		return;
	d->prefill *= keep;
	d->decode *= keep;
	d->samples *= keep;
	d->at_ms = now_ms;
}

void stage_demand_arrival(struct stage_demand *d, double read_ms, int64_t tokens, int slots,
			  int64_t now_ms)
{
	double events = tokens > 0 ? (double)tokens * d->events_per_token : d->events;

	decay(d, now_ms);
	d->samples += 1;
	d->prefill += read_ms / PREFILL_FILL;
	if (slots > 0)
		d->decode += events * d->pace_ms * DECODE_SLOWDOWN / (slots * DECODE_FILL);
}

void stage_demand_learn(struct stage_demand *d, int64_t tokens, int events, double ms)
{
	double per_token = tokens > 0 ? (double)events / (double)tokens : d->events_per_token;
	double pace;

	if (d->events <= 0)
		d->events = events;
	if (d->events_per_token <= 0)
		d->events_per_token = per_token;
	d->events += EVENTS_WEIGHT * (events - d->events);
	d->events_per_token += EVENTS_WEIGHT * (per_token - d->events_per_token);
	if (events < PACE_EVENTS_MIN)
		return;
	pace = ms / (events - 1);
	if (d->pace_ms <= 0 || pace < d->pace_ms)
		d->pace_ms = pace;
	else
		d->pace_ms += PACE_RISE * (pace - d->pace_ms);
}

bool stage_demand_known(const struct stage_demand *d)
{
	return d->samples >= SAMPLES_MIN && d->pace_ms > 0;
}

double stage_demand_share(const struct stage_demand *d)
{
	double all = d->prefill + d->decode;
	double share = all > 0 ? d->prefill / all : SHARE_MAX;

	return share < SHARE_MIN ? SHARE_MIN : share > SHARE_MAX ? SHARE_MAX : share;
}

double stage_demand_settle(double asked, double aimed, int total)
{
	double slack = fmax(SLACK_PART * total, SLACK_ENGINES);

	return fabs(asked - aimed) * total >= slack ? asked : aimed;
}
