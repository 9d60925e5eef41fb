#ifndef BENCH_MIX_H
#define BENCH_MIX_H

#include <pthread.h>

#include "ibisgate/harness/harness.h"
#include "ibisgate/load/report.h"

#define MIX_CONFIGS 5
#define MIX_PREFILL_TOKENS_PER_S 8000
#define MIX_STEP_BASE_US 20000
#define MIX_STEP_PER_SEQ_US 1200
#define MIX_SLOTS 24
#define MIX_ROLE_CHANGE_MS 1500
#define MIX_ENGINES 20
#define MIX_KEY_PREFIX "mix-key-"

/**
 * struct mix_config - one of the compared configurations
 * @preset: file under presets/; NULL if only @settings apply
 * @settings: setting names and values in turn, terminated by NULL; may be NULL
 */
struct mix_config {
	char letter;
	const char *name;
	const char *preset;
	const char *const *settings;
};

extern const struct mix_config mix_configs[MIX_CONFIGS];

/**
 * struct mix_plan - load and deployment of one run
 * @prefill: how many of the MIX_ENGINES engines start in the prefill role
 * @kill_s: when one prefill engine is killed, in seconds of the load; 0 for never
 * @flooder: index of the organisation that sends ten times its usual load; -1 for none
 */
struct mix_plan {
	const char *name;
	struct scenario scenario;
	struct harness_deployment deployment;
	struct harness_engine_spec engines[16];
	int prefill;
	double duration_s;
	double kill_s;
	int flooder;
};

/** mix_plan_init - initialise @plan; Return: false for an unknown mix or deployment */
bool mix_plan_init(struct mix_plan *plan, int deployment, const char *mix, bool quick);

/**
 * mix_goodput_bound - upper bound on the good requests of a run
 *
 * Assumes that each phase has the best split of roles by role_best_split() for the requests of
 * @result, that role changes cost nothing and that requests arrive evenly at their mean rate.
 */
double mix_goodput_bound(const struct mix_plan *plan, const struct load_result *result);

/**
 * struct mix_run - run of one configuration under one mix
 * @role_changes: role changes of all instances during the load
 * @refusals: number of refused requests by reason, summed over all instances and all
 *	organisations except the flooder
 * @decisions: timeline entries of role decisions, ordered by time
 * @load_start_ms: start of the load, in wall-clock milliseconds
 */
struct mix_run {
	const struct mix_plan *plan;
	const struct mix_config *config;
	struct harness *harness;
	struct harness_fleet *fleet;
	struct load_options options;
	struct load_result result;
	char run_id[48];
	pthread_t thread;
	int rc;
	struct error err;
	int64_t role_changes;
	json_t *decisions;
	int64_t load_start_ms;
	json_t *refusals;
};

/** mix_run_start - start and configure the deployment; Return: 0, or -1 with run->err set */
int mix_run_start(struct mix_run *run);

/** mix_run_load - send the load to @count started runs in parallel; blocks until it has ended */
int mix_run_load(struct mix_run *runs, int count);

/** mix_run_stop - stop the processes; the result stays valid until mix_run_free() */
void mix_run_stop(struct mix_run *run);
void mix_run_free(struct mix_run *run);

/**
 * mix_report - print a table with the results of all configurations
 * @verbose: add good requests over time, role decisions and the causes of failures
 */
void mix_report(const struct mix_run *runs, int count, bool verbose);

/** mix_good_requests - count the requests that met their latency limits */
int64_t mix_good_requests(const struct mix_run *run);

/** mix_ordinary_good_share - share of good requests of all organisations but @flooder */
double mix_ordinary_good_share(const struct mix_run *run, int flooder);

#endif
