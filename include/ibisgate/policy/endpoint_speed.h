#ifndef IBISGATE_POLICY_ENDPOINT_SPEED_H
#define IBISGATE_POLICY_ENDPOINT_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum speed_kind - kinds of work whose speed is measured
 * @SPEED_READ: milliseconds per prompt token prefilled
 * @SPEED_GENERATE: milliseconds between two events of a generation
 * @SPEED_CALL: milliseconds of a call of a service without engines
 */
enum speed_kind {
	SPEED_READ,
	SPEED_GENERATE,
	SPEED_CALL,
	SPEED_KINDS,
};

/**
 * struct speed_track - what is known of one endpoint's speed at one kind of work
 * @mean: mean natural logarithm of the time per unit, of all instances' samples
 * @samples: number of samples in @mean, which decays with age
 * @at_ms: time of the last sample
 * @spell: how much slower the last sample was than @mean; decays
 * @spell_ms: time of @spell
 * @squares: sum of the squared deviations of @samples from @mean
 * @unsent_sum, @unsent: samples of this instance that the others don't know
 * @unsent_is_slow: those are of a slow spell
 */
struct speed_track {
	double mean;
	double samples;
	int64_t at_ms;
	double spell;
	int64_t spell_ms;
	double squares;
	double unsent_sum;
	int unsent;
	bool unsent_is_slow;
};

/** struct endpoint_speed - speeds of one endpoint; zero when nothing is known */
struct endpoint_speed {
	struct speed_track kinds[SPEED_KINDS];
};

/**
 * struct service_speed - speeds of the endpoints of one service
 * @mean: mean over the endpoints of &speed_track.mean, the prior of an endpoint
 * @is_uneven: the endpoints differ by more than the samples of one endpoint do
 */
struct service_speed {
	struct {
		double mean;
		bool is_uneven;
	} kinds[SPEED_KINDS];
};

/**
 * endpoint_speed_add - add a sample of this instance
 * @ms_per_unit: see enum speed_kind; from work that succeeded, as errors are often fast
 */
void endpoint_speed_add(struct endpoint_speed *s, enum speed_kind k, double ms_per_unit,
			int64_t now_ms);

/**
 * service_speed_update - compare the endpoints of a service
 * @speeds: one for each endpoint
 *
 * An endpoint's speed is used only where the endpoints differ: the variance between them is a
 * multiple of the variance between the samples of one (one-way analysis of variance). Equal
 * endpoints in random load are then treated as equal.
 */
void service_speed_update(struct service_speed *s, const struct endpoint_speed *const *speeds,
			  int count, int64_t now_ms);

/**
 * endpoint_speed_slowness - current time per unit relative to the mean of the service's endpoints
 *
 * Load: engines of 0.6, 1 and 1.6 of the same nominal speed, each 2.5 times slower by turns for
 * half a second. With one speed for all, a third of the prompts goes to engines that read them too
 * late for their callers.
 *
 * An endpoint without samples counts as the service's mean, and one with few as near to it. A slow
 * sample counts in full at once and fades within a second, unless further ones confirm it.
 *
 * Return: 1 where the endpoints don't differ; 2 for an endpoint that takes twice as long.
 */
double endpoint_speed_slowness(const struct endpoint_speed *s, const struct service_speed *all,
			       enum speed_kind k, int64_t now_ms);

/**
 * endpoint_speed_report - take the samples that the other instances should know
 * @tag: of the endpoint
 * @out: set to one number of a report
 *
 * Nothing is reported of a service whose endpoints don't differ in any kind of work, and no samples
 * that agree with what is known to all.
 *
 * Return: true with @out set.
 */
bool endpoint_speed_report(struct endpoint_speed *s, const struct service_speed *all,
			   enum speed_kind k, uint32_t tag, uint64_t *out);

/** endpoint_speed_report_tag - endpoint that a number of a report is about */
uint32_t endpoint_speed_report_tag(uint64_t value);

/** endpoint_speed_merge - add the samples that another instance has reported; -1 when malformed */
int endpoint_speed_merge(struct endpoint_speed *s, uint64_t value, int64_t now_ms);

/**
 * endpoint_speed_report_interval_ms - least time between two reports, so that they take a fixed
 *	share of a small machine; 0 for a limit that is not known
 * @receivers: instances that a report is sent to
 * @values: numbers in it
 */
int64_t endpoint_speed_report_interval_ms(double cpu_share, double link_mbps, int receivers,
					  int values);

#endif
