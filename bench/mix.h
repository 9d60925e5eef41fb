#ifndef BENCH_MIX_H
#define BENCH_MIX_H

#include <pthread.h>

#include "ibisgate/harness/harness.h"
#include "ibisgate/load/report.h"

#define MIX_CONFIGS 5
#define MIX_PREFILL_RATE 8000
#define MIX_STEP_BASE_US 20000
#define MIX_STEP_PER_SEQ_US 1200
#define MIX_SLOTS 24
#define MIX_CHANGE_MS 1500
#define MIX_ENGINES 20
#define MIX_KEY_PREFIX "mix-key-"

/**
 * struct mix_config - what is set in one of the compared deployments
 * @preset: file under presets/; NULL when @settings say everything
 * @settings: pairs of setting and value, ended by NULL
 */
struct mix_config {
	char letter;
	const char *name;
	const char *preset;
	const char *const *settings;
};

extern const struct mix_config mix_configs[MIX_CONFIGS];

/**
 * struct mix_plan - one mix on one deployment
 * @prefill: engines that prefill at the start, of MIX_ENGINES
 * @kill_s: when one prefill engine is killed; 0 for never
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

/** mix_plan_init - fill @plan; false for an unknown mix or deployment */
bool mix_plan_init(struct mix_plan *plan, int deployment, const char *mix, bool quick);

/**
 * mix_goodput_bound - good requests that an omniscient split of roles would reach
 *
 * For each phase, the best split by role_best_split() serves its share of the requests that
 * @result offered; changes cost nothing and arrivals are as even as their mean.
 */
double mix_goodput_bound(const struct mix_plan *plan, const struct load_result *result);

/**
 * struct mix_run - one configuration under one mix
 * @role_changes: over all instances, during the load
 * @refusals: by reason, of all organisations but the flooder, over all instances
 * @cpu_s: processor time of its processes
 * @decisions: timeline entries of decided role changes, in the order of time
 * @load_start_ms: wall clock at the start of the load
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

/** mix_run_start - start the deployment and apply the configuration; -1 with run->err set */
int mix_run_start(struct mix_run *run);

/** mix_run_load - send the load of @count started runs at the same time; blocks */
int mix_run_load(struct mix_run *runs, int count);

/** mix_run_stop - end the processes; the result stays until mix_run_free() */
void mix_run_stop(struct mix_run *run);
void mix_run_free(struct mix_run *run);

/**
 * mix_report - table of the configurations
 * @verbose: adds the share of good answers over time and why requests were not good
 */
void mix_report(const struct mix_run *runs, int count, bool verbose);

/** mix_good_requests - requests that count as goodput */
int64_t mix_good_requests(const struct mix_run *run);

/** mix_ordinary_good_share - good share of all organisations but @flooder */
double mix_ordinary_good_share(const struct mix_run *run, int flooder);

#endif
