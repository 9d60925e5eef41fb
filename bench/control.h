#ifndef BENCH_CONTROL_H
#define BENCH_CONTROL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/harness/harness.h"

/**
 * struct sim_peers - simulated members of the region of one instance, all run by one thread
 *
 * Each member sends the same messages at the same rate as a real member. Messages from the
 * instance are received and discarded.
 */
struct sim_peers;

/**
 * sim_peers_create - start @count members, spread over the data centres "d0", "d1" and "d2"
 * @address: peer address "ip:port" of the instance under test, which is in "d0"
 * @target: id of the instance under test
 * @delegate: the instance under test is the delegate of its data centre: it has the lowest id there
 * @workers: number of engines in the region, whose load the members relay
 *
 * Return: NULL when the sockets cannot be created.
 */
struct sim_peers *sim_peers_create(int count, const char *address, const char *target,
				   bool delegate, int workers);
void sim_peers_destroy(struct sim_peers *s);

/** struct sim_workers - simulated engines that only answer polls, each on its own port */
struct sim_workers;

struct sim_workers *sim_workers_create(int count);
void sim_workers_destroy(struct sim_workers *s);

/** sim_workers_port - port of worker @index */
int sim_workers_port(const struct sim_workers *s, int index);

/** sim_workers_bytes - total bytes of requests and responses */
int64_t sim_workers_bytes(const struct sim_workers *s);

#define BENCH_API_KEY "bench-control-key"
#define BENCH_READY_TIMEOUT_MS 30000
#define BENCH_SETTLE_MS 8000

/**
 * struct bench_point - size of the deployment and load for one measurement
 * @peers: simulated members besides the instance
 * @delegate: the instance is the delegate of its data centre
 * @workers: simulated engines
 * @organisations: organisations in the stored configuration
 * @streams: concurrent streams through the instance
 */
struct bench_point {
	int peers;
	bool delegate;
	int workers;
	int organisations;
	int streams;
};

/** struct sample - counters of the instance, the platform and the simulated workers */
struct sample {
	int64_t at_us;
	double control_us;
	double process_us;
	double peer_bytes;
	double peer_messages;
	double reads;
	double writes;
	double poll_bytes;
	double list_bytes;
};

/** struct measurement - rates per second between two samples, and single measurements */
struct measurement {
	double control_us;
	double process_us;
	double rss_mb;
	double peer_bytes;
	double peer_messages;
	double reads;
	double writes;
	double poll_bytes;
	double list_bytes;
	double apply_ms;
	double start_ms;
};

/** struct rig - one instance with simulated members and workers; @start_ms: time until it was ready
 */
struct rig {
	struct harness *h;
	struct harness_fleet *fleet;
	struct sim_peers *peers;
	struct sim_workers *workers;
	double start_ms;
};

/** bench_measure_ms - duration of one measurement */
extern int bench_measure_ms;

/** bench_platform_args - platform rate limits high enough not to throttle the set-up */
extern const char *const bench_platform_args[];

/* control_rig.c */

/**
 * rig_create - start the deployment @d with the members, workers and organisations of @p
 *
 * The instance is restarted once the stored configuration and the list of workers are in place, so
 * that its start time includes loading them.
 *
 * Return: 0, or -1 with @err set. The caller calls rig_destroy() in either case.
 */
int rig_create(struct rig *r, const struct harness_deployment *d, const struct bench_point *p,
	       struct error *err);
void rig_destroy(struct rig *r);

/* control_sample.c */

/** metric_value - value of the metric ibisgate_@name of instance @index; 0 if absent */
double metric_value(const struct harness_fleet *f, int index, const char *name);
struct sample sample_take(const struct rig *r);
struct measurement measurement_between(const struct sample *a, const struct sample *b);

/* control_config.c */

/**
 * config_change_post - set the configuration entry @key to @value through the first instance
 * @value: the reference is stolen
 * @version: in: expected current version; out: new version
 *
 * Return: HTTP status.
 */
int config_change_post(const struct harness_fleet *f, const char *key, json_t *value,
		       int64_t *version);
json_t *organisation_value(const char *name);

/** config_measure - time until a change is applied on all instances */
int config_measure(struct error *err);

/* control_claims.c */

/** claims_measure - table reads and writes per non-idempotent call */
int claims_measure(struct error *err);

/* control_point.c */
int point_measure(const struct bench_point *p, struct measurement *out, struct error *err);

/* control_series.c */
int members_series(struct error *err);
int workers_series(struct error *err);
int organisations_series(struct error *err);
int streams_series(struct error *err);

/**
 * target_measure - measure a region of the target size: 53 members, 214 workers, all organisations
 *
 * The instance is measured first as the delegate of its data centre, then as an ordinary member.
 */
int target_measure(struct error *err);

#endif
