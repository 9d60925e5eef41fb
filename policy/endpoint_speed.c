#include <math.h>

#include "ibisgate/policy/endpoint_speed.h"

/* Number of samples that a mean covers at most. */
#define SAMPLES_MAX 30.0

/* Half-life of the samples, in milliseconds. */
#define SAMPLES_HALF_LIFE_MS 30000.0

/* Weight of the service's mean in an endpoint's speed, in samples. */
#define PRIOR_SAMPLES 1.5

/* Samples further than this from the mean of an endpoint count only this far, as a logarithm. */
#define SAMPLE_CLAMP 1.4

/* A sample slower than the mean by this factor, as a logarithm, begins a slow spell. */
#define SPELL_MIN 0.45

/* Time constant in which a slow spell is forgotten, in milliseconds. */
#define SPELL_MS 350.0

/*
 * Ratio of the variances between and within endpoints from which on they count as different, and
 * below which they count as equal again; and the least differences in degrees of freedom.
 */
#define UNEVEN_RATIO 3.0
#define EVEN_RATIO 1.5
#define FREEDOM_MIN 20.0

/* Least standard deviation between endpoints that matters, as a logarithm. */
#define UNEVEN_DEVIATION 0.15

/* Least standard deviation assumed of the samples of one endpoint, as a logarithm. */
#define SAMPLE_DEVIATION_MIN 0.1

/* Samples that differ from what all know by less than this, as a logarithm, aren't reported. */
#define REPORT_DIFFERENCE 0.2

/* Until an endpoint has as many samples, each is reported. */
#define REPORT_SAMPLES 6.0

/* Least interval between two reports of an instance, in milliseconds. */
#define REPORT_INTERVAL_MS 500.0

/* Share of the machine's processor and link that reports of speeds may take. */
#define REPORT_MACHINE_SHARE 0.01

/* Processor time and bytes of one message besides its numbers, sent and received. */
#define REPORT_MESSAGE_US 40.0
#define REPORT_MESSAGE_BYTES 120.0

/* Layout of a reported number: tag of the endpoint, kind, samples and mean logarithm. */
#define REPORT_COUNT_MAX 255
#define REPORT_MEAN_BITS 22
#define REPORT_MEAN_ONE 65536.0
#define REPORT_MEAN_OFFSET 32.0

static double samples_at(const struct speed_track *t, int64_t now_ms)
{
	if (now_ms <= t->at_ms)
		return t->samples;
	return t->samples * exp2(-(double)(now_ms - t->at_ms) / SAMPLES_HALF_LIFE_MS);
}

static double spell_at(const struct speed_track *t, int64_t now_ms)
{
	if (t->spell <= 0)
		return 0;
	return t->spell * exp(-(double)(now_ms - t->spell_ms) / SPELL_MS);
}

static void track_add(struct speed_track *t, double mean, double count, int64_t now_ms)
{
	double known = samples_at(t, now_ms);
	double difference = mean - t->mean;

	if (known < 0.5)
		difference = known = 0;
	if (!known) {
		t->mean = mean;
		t->squares = 0;
	} else {
		t->spell = fmax(difference, 0) >= SPELL_MIN ? difference : spell_at(t, now_ms) / 2;
		t->spell_ms = now_ms;
		difference = fmin(fmax(difference, -SAMPLE_CLAMP), SAMPLE_CLAMP);
		t->squares *= known / t->samples;
		t->squares += difference * difference * known * count / (known + count);
		t->mean += difference * count / (known + count);
	}
	t->samples = known + count;
	if (t->samples > SAMPLES_MAX) {
		t->squares *= SAMPLES_MAX / t->samples;
		t->samples = SAMPLES_MAX;
	}
	t->at_ms = now_ms;
}

void endpoint_speed_add(struct endpoint_speed *s, enum speed_kind k, double ms_per_unit,
			int64_t now_ms)
{
	struct speed_track *t = &s->kinds[k];
	double value = log(fmax(ms_per_unit, 1e-6));
	bool is_slow;

	is_slow = samples_at(t, now_ms) >= 1 && value - t->mean >= SPELL_MIN;
	/* A slow spell is reported by itself, not averaged with what came before or after it. */
	if (is_slow != t->unsent_is_slow)
		t->unsent_sum = t->unsent = 0;
	t->unsent_is_slow = is_slow;
	t->unsent_sum += value;
	t->unsent++;
	track_add(t, value, 1, now_ms);
}

static void kind_update(struct service_speed *s, const struct endpoint_speed *const *speeds,
			int count, enum speed_kind k, int64_t now_ms)
{
	double total = 0, sum = 0, between = 0, within = 0, freedom = 0, mean, ratio;
	int endpoints = 0;

	for (int i = 0; i < count; i++) {
		const struct speed_track *t = &speeds[i]->kinds[k];
		double n = samples_at(t, now_ms);

		if (n < 1)
			continue;
		endpoints++;
		sum += t->mean;
		total += n;
		within += t->squares * n / t->samples;
		freedom += n - 1;
	}
	if (!endpoints)
		return;
	mean = sum / endpoints;
	s->kinds[k].mean = mean;
	if (endpoints < 2 || freedom < FREEDOM_MIN) {
		s->kinds[k].is_uneven = s->kinds[k].is_uneven && endpoints > 1;
		return;
	}
	within = fmax(within / freedom, SAMPLE_DEVIATION_MIN * SAMPLE_DEVIATION_MIN);
	for (int i = 0; i < count; i++) {
		const struct speed_track *t = &speeds[i]->kinds[k];
		double n = samples_at(t, now_ms);

		if (n >= 1)
			between += n * (t->mean - mean) * (t->mean - mean);
	}
	between /= endpoints - 1;
	ratio = between / within;
	/* Variance between the endpoints themselves, without that of their samples. */
	between = (between - within) / (total / endpoints);
	if (ratio >= UNEVEN_RATIO && between >= UNEVEN_DEVIATION * UNEVEN_DEVIATION)
		s->kinds[k].is_uneven = true;
	else if (ratio < EVEN_RATIO)
		s->kinds[k].is_uneven = false;
}

void service_speed_update(struct service_speed *s, const struct endpoint_speed *const *speeds,
			  int count, int64_t now_ms)
{
	for (int k = 0; k < SPEED_KINDS; k++)
		kind_update(s, speeds, count, (enum speed_kind)k, now_ms);
}

double endpoint_speed_slowness(const struct endpoint_speed *s, const struct service_speed *all,
			       enum speed_kind k, int64_t now_ms)
{
	const struct speed_track *t = &s->kinds[k];
	double n = samples_at(t, now_ms);

	if (!all->kinds[k].is_uneven)
		return 1;
	return exp((t->mean - all->kinds[k].mean) * n / (n + PRIOR_SAMPLES) + spell_at(t, now_ms));
}

bool endpoint_speed_report(struct endpoint_speed *s, const struct service_speed *all,
			   enum speed_kind k, uint32_t tag, uint64_t *out)
{
	struct speed_track *t = &s->kinds[k];
	int count = t->unsent < REPORT_COUNT_MAX ? t->unsent : REPORT_COUNT_MAX;
	double mean = t->unsent ? t->unsent_sum / t->unsent : 0;
	double known = t->samples - t->unsent;
	bool is_uneven = false;

	for (int i = 0; i < SPEED_KINDS; i++)
		is_uneven = is_uneven || all->kinds[i].is_uneven;
	if (!t->unsent || !is_uneven)
		return false;
	t->unsent = 0;
	t->unsent_sum = 0;
	if (known >= REPORT_SAMPLES && fabs(mean - t->mean) < REPORT_DIFFERENCE)
		return false;
	mean = fmin(fmax(mean + REPORT_MEAN_OFFSET, 0), 2 * REPORT_MEAN_OFFSET - 1);
	*out = (uint64_t)tag << 32 | (uint64_t)k << 30 | (uint64_t)count << REPORT_MEAN_BITS |
	       (uint64_t)(mean * REPORT_MEAN_ONE);
	return true;
}

uint32_t endpoint_speed_report_tag(uint64_t value)
{
	return (uint32_t)(value >> 32);
}

int endpoint_speed_merge(struct endpoint_speed *s, uint64_t value, int64_t now_ms)
{
	unsigned int k = value >> 30 & 3;
	unsigned int count = value >> REPORT_MEAN_BITS & REPORT_COUNT_MAX;
	double mean = (double)(value & ((1U << REPORT_MEAN_BITS) - 1)) / REPORT_MEAN_ONE -
		      REPORT_MEAN_OFFSET;

	if (k >= SPEED_KINDS || !count)
		return -1;
	track_add(&s->kinds[k], mean, count, now_ms);
	return 0;
}

int64_t endpoint_speed_report_interval_ms(double cpu_share, double link_mbps, int receivers,
					  int values)
{
	double us = REPORT_MESSAGE_US * receivers;
	double bits = 8 * (REPORT_MESSAGE_BYTES + 8.0 * values) * receivers;
	double interval_ms = REPORT_INTERVAL_MS;

	if (cpu_share > 0)
		interval_ms = fmax(interval_ms, us / 1000 / (cpu_share * REPORT_MACHINE_SHARE));
	if (link_mbps > 0)
		interval_ms = fmax(interval_ms, bits / 1000 / (link_mbps * REPORT_MACHINE_SHARE));
	return (int64_t)interval_ms;
}
