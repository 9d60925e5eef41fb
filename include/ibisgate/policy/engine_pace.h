#ifndef IBISGATE_POLICY_ENGINE_PACE_H
#define IBISGATE_POLICY_ENGINE_PACE_H

#include <stdint.h>

/**
 * struct engine_pace - time between two events of the generations on one engine, as measured
 * @interval_ms: moving mean; 0 without samples
 * @updated_ms: time of the last sample
 */
struct engine_pace {
	double interval_ms;
	int64_t updated_ms;
};

/** engine_pace_add - add the time between two events of one generation */
void engine_pace_add(struct engine_pace *p, double interval_ms, int64_t now_ms);

/**
 * engine_pace_interval_ms - current time between two events
 *
 * Decays while no sample arrives, since prompts that slow an engine down are read within a second.
 *
 * Return: milliseconds; 0 without recent samples.
 */
double engine_pace_interval_ms(const struct engine_pace *p, int64_t now_ms);

#endif
