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
/* Every request that starts later than this after the last fault has to succeed. */
#define FAULTS_RECOVERY_MS 15000
/* The load goes on for this long after the last fault. */
#define FAULTS_TAIL_MS 20000
/* Time within which instances stop sending requests to an endpoint that is draining. */
#define FAULTS_LEAVE_BOUND_MS 5000
/* Time within which a configuration change reaches an instance that no fault affects. */
#define FAULTS_CONFIG_BOUND_MS 4000
/* Text that the prompts contain; it must not appear in logs and event timelines. */
#define FAULTS_MARKER "QuillanMarker"
/* Text in a prompt that crashes the engine that runs it. */
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
 * struct fault - one entry of the fault schedule
 * @at_ms: begin of the fault, in milliseconds since the start of the load
 * @end_ms: end of the fault, in milliseconds since the start of the load
 * @target: index of the instance, endpoint or data centre that the fault affects
 * @other: index of the second instance, for faults that involve two
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

/**
 * struct fault_window - time during which a fault affected an instance
 * @instance: index of the instance; -1 when the fault affects all of them
 * @from_ms: begin, in wall-clock milliseconds
 * @to_ms: end, in wall-clock milliseconds; 0 while the fault lasts
 */
struct fault_window {
	int instance;
	enum fault_kind kind;
	int64_t from_ms;
	int64_t to_ms;
};

/**
 * struct posted_change - a POST /admin/config that was sent during the run
 * @race: number of the race that the change is one side of; 0 for other changes
 * @status: HTTP status of the reply; 0 without a reply
 * @version: configuration version that the reply names; -1 for none
 * @at_ms: time at which the request ended, in wall-clock milliseconds
 */
struct posted_change {
	char key[64];
	json_t *value;
	int race;
	int status;
	int64_t version;
	int64_t at_ms;
};

/**
 * struct drain_window - time during which an operator's drain of an endpoint was in force
 * @from_ms: when the drain was accepted, in wall-clock milliseconds
 * @to_ms: when the drain was about to be lifted; 0 before
 */
struct drain_window {
	char endpoint[48];
	int64_t from_ms;
	int64_t to_ms;
};

/**
 * struct graceful_stop - graceful shutdown of an instance after SIGTERM
 * @from_ms: when SIGTERM was sent, in wall-clock milliseconds, like the other times
 * @exit_ms: when the process had ended; 0 before
 * @restarted_ms: when the instance was started again; 0 before
 * @exit_code: -1 if the process ended by a signal
 * @forced: a fault killed the instance during the shutdown
 */
struct graceful_stop {
	int instance;
	int64_t from_ms;
	int64_t exit_ms;
	int64_t restarted_ms;
	int exit_code;
	bool forced;
};

/**
 * struct version_sample - configuration version that an instance reported
 * @at_ms: when the status was read, in wall-clock milliseconds
 */
struct version_sample {
	int instance;
	uint64_t incarnation;
	int64_t at_ms;
	int64_t version;
};

/** struct fault_run - state of one run; @lock protects the fields that several threads use */
struct fault_run {
	struct harness *harness;
	struct harness_fleet *fleet;
	uint64_t seed;
	int64_t schedule_ms;
	bool verbose;
	/* NULL for faults of all kinds. */
	const char *scenario_name;
	/* Every generation of the scenario has to succeed. */
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
	/* When each crashing request was quarantined, by number; 0 if it was not. */
	int64_t poison_ms[FAULTS_MAX + 1];

	pthread_t poll_thread;
	struct version_sample *samples;
	size_t sample_count;
	size_t sample_cap;
	json_t *events;
	/* Latest order log and counters of each engine process, by the name of the process. */
	json_t *orders;
	/* Ids of the orders whose intents were found in the platform's table. */
	json_t *intents;
	json_t *intent_polls;

	int violations;
};

/* faults_schedule.c */
const char *fault_name(enum fault_kind kind);

/** faults_scenario_set - restrict the run to a named scenario; false for an unknown name */
bool faults_scenario_set(struct fault_run *r, const char *name);

/** faults_schedule_draw - generate the faults at random from the seed of the run */
void faults_schedule_draw(struct fault_run *r);
void faults_schedule_print(const struct fault_run *r);

/* faults_act.c */

/**
 * faults_apply - begin or end a fault
 * @on: true to begin the fault, false to end it
 *
 * Return: 0, or -1 with @err set
 */
int faults_apply(struct fault_run *r, const struct fault *f, bool on, struct error *err);

/** faults_crash_marker_set - make an engine crash when it runs a prompt with FAULTS_POISON */
void faults_crash_marker_set(struct fault_run *r, int endpoint);

/** faults_inject - post fault settings to a stand-in; takes over the reference to @body */
void faults_inject(struct fault_run *r, const char *url, json_t *body);

/* faults_instance.c */

/**
 * faults_instance_apply - begin or end a kill, freeze or restart of an instance
 * @on: true to begin the fault, false to end it
 *
 * Return: 0, or -1 with @err set
 */
int faults_instance_apply(struct fault_run *r, const struct fault *f, bool on, struct error *err);

/**
 * faults_graceful_stops_poll - restart the instances that have exited after SIGTERM
 *
 * Return: 0, or -1 with @err set
 */
int faults_graceful_stops_poll(struct fault_run *r, struct error *err);

/**
 * faults_client_route_create - create the proxy route through which clients reach an instance
 *
 * Return: port of the route, which stays the same when the instance restarts
 */
int faults_client_route_create(struct fault_run *r, int instance);

/** faults_instances_stop - stop all instances; Return: how many did not exit with code 0 */
int faults_instances_stop(struct fault_run *r);

/* faults_play.c */

/** faults_schedule_run - execute the schedule until the load has ended; Return: 0, or -1 */
int faults_schedule_run(struct fault_run *r, struct error *err);

/* faults_operator.c */

/** faults_thread_start - run a function with a struct faults_job in a thread of its own */
void faults_thread_start(struct fault_run *r, void *(*run)(void *), int target, int other);

/** struct faults_job - argument of a thread, which frees it */
struct faults_job {
	struct fault_run *run;
	int target;
	int other;
};
void *faults_race_thread(void *arg);
void *faults_drain_thread(void *arg);
void *faults_undrain_thread(void *arg);
void *faults_poison_thread(void *arg);

/**
 * faults_poison_resend - send each quarantined request again
 *
 * The request goes to each instance that must have received the quarantine; every instance has to
 * refuse it.
 */
void faults_poison_resend(struct fault_run *r);

/**
 * faults_config_post - post a configuration change to an instance and record it
 * @race: number of the race that the change is one side of; 0 for none
 * @if_version: version that the change is conditional on
 * @version: set to the version of the reply, or -1
 *
 * Return: HTTP status; 0 if the instance is down or does not reply
 */
int faults_config_post(struct fault_run *r, int instance, const char *key, json_t *value, int race,
		       int64_t if_version, int64_t *version);

/** faults_config_version - get the configuration version of an instance; -1 if it is unknown */
int64_t faults_config_version(struct fault_run *r, int instance);

/* faults_watch.c */

/** faults_state_poll - record the state of all instances, engines and intents once */
void faults_state_poll(struct fault_run *r);
void *faults_poll_thread(void *arg);

/* faults_check.c and faults_check_*.c */

/** faults_instance_affected - whether a fault or a graceful stop overlapped with a time span */
bool faults_instance_affected(const struct fault_run *r, int instance, int64_t from_ms,
			      int64_t to_ms);

/** faults_violation - count and print a violation of the promise with this number */
void faults_violation(struct fault_run *r, int promise, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void faults_check(struct fault_run *r);
void faults_check_leaving(struct fault_run *r);
void faults_check_responses(struct fault_run *r);
void faults_check_calls(struct fault_run *r);
void faults_check_config(struct fault_run *r);
void faults_check_cache_isolation(struct fault_run *r);

#endif
