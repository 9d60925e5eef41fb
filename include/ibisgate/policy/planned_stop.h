#ifndef IBISGATE_POLICY_PLANNED_STOP_H
#define IBISGATE_POLICY_PLANNED_STOP_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct planned_stop - graceful shutdown of an instance; times in milliseconds
 * @begun_ms: when the instance was told to stop; 0 while it was not
 * @grace_ms: time from then until the process is killed
 */
struct planned_stop {
	int64_t begun_ms;
	int64_t grace_ms;
};

/** planned_stop_accepts - whether connections are still accepted */
bool planned_stop_accepts(const struct planned_stop *s, int64_t now_ms);

/**
 * planned_stop_admits - whether a request that has arrived is served
 * @until_ms: when it must have been answered
 *
 * Load: requests on open connections during the whole shutdown, each of which may last longer than
 * the instance.
 *
 * Return: false if it has to be refused as not run.
 */
bool planned_stop_admits(const struct planned_stop *s, int64_t until_ms, int64_t now_ms);

/** planned_stop_answers_all - whether requests that still run are answered now */
bool planned_stop_answers_all(const struct planned_stop *s, int64_t now_ms);

/** planned_stop_is_over - whether the process exits now, even if answers are unsent */
bool planned_stop_is_over(const struct planned_stop *s, int64_t now_ms);

/**
 * planned_stop_next_ms - time of the next of these changes after @now_ms; -1 if there is none
 *
 * Load: the last requests of a shutdown, whose answers must be sent before the process is killed.
 */
int64_t planned_stop_next_ms(const struct planned_stop *s, int64_t now_ms);

#endif
