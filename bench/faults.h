#ifndef BENCH_FAULTS_H
#define BENCH_FAULTS_H

#include <pthread.h>
#include <stdatomic.h>

#include "ibisgate/harness/harness.h"
#include "ibisgate/load/client.h"

#define FAULTS_MAX 96
#define FAULTS_INSTANCES 5
#define FAULTS_ENGINES 8
#define FAULTS_CHANGES_MAX 128
#define FAULTS_THREADS_MAX 128
#define FAULTS_ORGANISATIONS 3
/* Time after the last fault in which every request has to be whole again. */
#define FAULTS_RECOVERY_MS 15000
#define FAULTS_TAIL_MS 20000
#define FAULTS_LEAVE_BOUND_MS 5000
#define FAULTS_CONFIG_BOUND_MS 4000
#define FAULTS_MARKER "QuillanMarker"
#define FAULTS_POISON "PoisonPrompt"

enum fault_kind {
	FAULT_KILL,
	FAULT_FREEZE,
	FAULT_RESTART,
	FAULT_ENGINE_CRASH,
	FAULT_CRASH_IN_CHANGE,
	FAULT_POISON,
	FAULT_CUT_PEERS,
	FAULT_CUT_PEERS_ONE_WAY,
	FAULT_CUT_DC_PEERS,
	FAULT_CUT_DC_PLATFORM,
	FAULT_CUT_DC_BOTH,
	FAULT_CUT_ENDPOINT,
	FAULT_PLATFORM_DOWN,
	FAULT_PLATFORM_SLOW,
	FAULT_PLATFORM_DROP,
	FAULT_SILENT,
	FAULT_SILENT_TO_CLIENT,
	FAULT_SILENT_TO_TARGET,
	FAULT_SILENT_PLATFORM,
	FAULT_SLOW_LINKS,
	FAULT_LOST_REPLIES,
	FAULT_SERVICE_SLOW,
	FAULT_SERVICE_REFUSE,
	FAULT_SERVICE_DROP,
	FAULT_RACE,
	FAULT_DRAIN,
	FAULT_LATE_CHUNKS,
	FAULT_KINDS,
};

/**
 * struct fault - one entry of the schedule
 * @at_ms: since the start of the load, likewise @end_ms
 * @a: index of the instance, endpoint or data centre that it hits
 * @b: index of the other instance
 */
struct fault {
	enum fault_kind kind;
	int64_t at_ms;
	int64_t end_ms;
	int target;
	int other;
	bool has_begun;
	bool has_ended;
};

/** struct fault_window - time in which an instance (-1: any) was under a fault, in wall
 * milliseconds */
struct fault_window {
	int instance;
	enum fault_kind kind;
	int64_t from_ms;
	int64_t to_ms;
};

/** struct posted_change - one POST /admin/config of the run */
struct posted_change {
	char key[64];
	json_t *value;
	int race;
	int status;
	int64_t version;
	int64_t at_ms;
};

/** struct drain_window - time in which an operator drain was in force */
struct drain_window {
	char endpoint[48];
	int64_t from_ms;
	int64_t to_ms;
};

/** struct graceful_stop - stop of an instance by SIGTERM; @forced: killed by a fault meanwhile */
struct graceful_stop {
	int instance;
	int64_t from_ms;
	int64_t exit_ms;
	int64_t restarted_ms;
	int exit_code;
	bool forced;
};

/** struct version_sample - configuration version seen at an instance */
struct version_sample {
	int instance;
	uint64_t incarnation;
	int64_t at_ms;
	int64_t version;
};

/** struct fault_run - one run; @lock guards what the threads share */
struct fault_run {
	struct harness *harness;
	struct harness_fleet *fleet;
	uint64_t seed;
	int64_t schedule_ms;
	bool verbose;
	/* Named scenario, NULL for faults of all kinds; @whole: no generation may fail in it. */
	const char *scenario_name;
	bool requires_whole;

	struct fault faults[FAULTS_MAX];
	int fault_count;

	struct scenario scenario;
	struct load_options options;
	struct load_result result;
	char urls[FAULTS_INSTANCES][64];
	pthread_t load_thread;
	int64_t start_ms;
	int64_t faults_end_ms;

	pthread_mutex_t lock;
	atomic_bool stop;
	bool is_up[FAULTS_INSTANCES];
	int64_t endpoint_restart_ms[HARNESS_ENDPOINTS_MAX];
	struct fault_window windows[4 * FAULTS_MAX];
	int window_count;
	struct posted_change changes[FAULTS_CHANGES_MAX];
	int change_count;
	struct drain_window drains[FAULTS_MAX];
	int drain_count;
	struct graceful_stop graceful_stops[FAULTS_MAX];
	int graceful_stop_count;
	pthread_t threads[FAULTS_THREADS_MAX];
	int thread_count;
	int race_count;
	int poison_count;
	int poison_crashes_allowed;
	/* When each crashing request was quarantined, 0 when it was not. */
	int64_t poison_ms[FAULTS_MAX + 1];

	pthread_t poll_thread;
	struct version_sample *samples;
	size_t sample_count;
	size_t sample_cap;
	json_t *events;
	/* Order logs and counters by process of each engine, the latest state of each. */
	json_t *orders;
	/* Ids of orders that were seen as intents in the table. */
	json_t *intents;
	json_t *intent_polls;

	int violations;
};

/* faults_schedule.c */
const char *fault_name(enum fault_kind kind);
/** faults_scenario_set - take the kinds of a named scenario; false for an unknown name */
bool faults_scenario_set(struct fault_run *r, const char *name);
void faults_schedule_draw(struct fault_run *r);
void faults_schedule_print(const struct fault_run *r);

/* faults_act.c */

/** faults_apply - begin or end @f; Return: 0, or -1 with @err set */
int faults_apply(struct fault_run *r, const struct fault *f, bool on, struct error *err);
void faults_crash_marker_set(struct fault_run *r, int endpoint);
void faults_inject(struct fault_run *r, const char *url, json_t *body);

/* faults_instance.c */

/** faults_instance_apply - begin or end a kill, freeze or restart; likewise */
int faults_instance_apply(struct fault_run *r, const struct fault *f, bool on, struct error *err);

/** faults_graceful_stops_poll - start the instances again that have ended after SIGTERM; likewise
 */
int faults_graceful_stops_poll(struct fault_run *r, struct error *err);

/** faults_client_route_create - port in front of @instance that stays over its restarts */
int faults_client_route_create(struct fault_run *r, int instance);

/** faults_instances_stop - stop all instances; Return: how many did not end with exit code 0 */
int faults_instances_stop(struct fault_run *r);

/* faults_schedule_run.c */
int faults_schedule_run(struct fault_run *r, struct error *err);

/* faults_operator.c */
void faults_thread_start(struct fault_run *r, void *(*run)(void *), int target, int other);
struct faults_job {
	struct fault_run *run;
	int target;
	int other;
};
void *faults_race_thread(void *arg);
void *faults_drain_thread(void *arg);
void *faults_undrain_thread(void *arg);
void *faults_poison_thread(void *arg);

/** faults_poison_resend - send each quarantined request once more to all that have heard of it */
void faults_poison_resend(struct fault_run *r);
int faults_config_post(struct fault_run *r, int instance, const char *key, json_t *value, int race,
		       int64_t if_version, int64_t *version);
int64_t faults_config_version(struct fault_run *r, int instance);

/* faults_poll_thread.c */
void faults_state_poll(struct fault_run *r);
void *faults_poll_thread(void *arg);

/* faults_check.c and faults_check_*.c */
bool faults_instance_affected(const struct fault_run *r, int instance, int64_t from_ms,
			      int64_t to_ms);
void faults_violation(struct fault_run *r, int promise, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void faults_check(struct fault_run *r);
void faults_check_leaving(struct fault_run *r);
void faults_check_responses(struct fault_run *r);
void faults_check_calls(struct fault_run *r);
void faults_check_config(struct fault_run *r);
void faults_check_cache_isolation(struct fault_run *r);

#endif
