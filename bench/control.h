#ifndef BENCH_CONTROL_H
#define BENCH_CONTROL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/harness/harness.h"

/**
 * struct sim_peers - members of the region of one instance, all in one thread
 *
 * They send what real ones send to that instance, and at the same rate; what it sends to them is
 * received and dropped.
 */
struct sim_peers;

/**
 * sim_peers_create - start @count members, spread over "d0" (that of the instance), "d1" and "d2"
 * @address: peer address "ip:port" of the instance, @target its id
 * @delegate: the instance has the lowest id of its data centre
 * @workers: engines of the region, whose load the members relay
 *
 * Return: NULL when sockets can't be made.
 */
struct sim_peers *sim_peers_create(int count, const char *address, const char *target,
				   bool delegate, int workers);
void sim_peers_destroy(struct sim_peers *s);

/** struct sim_workers - engines that answer polls only, each on a port of its own, in one thread */
struct sim_workers;

struct sim_workers *sim_workers_create(int count);
void sim_workers_destroy(struct sim_workers *s);

/** sim_workers_port - port of worker @index */
int sim_workers_port(const struct sim_workers *s, int index);

/** sim_workers_bytes - bytes of requests and answers so far, both directions */
int64_t sim_workers_bytes(const struct sim_workers *s);

#define BENCH_API_KEY "bench-control-key"
#define BENCH_READY_MS 30000
#define BENCH_SETTLE_MS 8000

/** struct point - load of one measurement */
struct point {
	int peers;
	bool delegate;
	int workers;
	int organisations;
	int streams;
};

/** struct sample - counters of the instance and its surroundings at one time */
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

/** struct figures - rates between two samples, each a second */
struct figures {
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

/** struct rig - one instance among simulated members and workers; @start_ms: until it was ready */
struct rig {
	struct harness *h;
	struct harness_fleet *fleet;
	struct sim_peers *peers;
	struct sim_workers *workers;
	double start_ms;
};

/** bench_measure_ms - length of one measurement */
extern int bench_measure_ms;

/** bench_platform_args - platform without limits, which would be reached by the set-up */
extern const char *const bench_platform_args[];

/* control_rig.c */

/**
 * rig_create - start the deployment @d with what @p names around it
 *
 * Everything but the instance starts first, so that its start shows the cost of what is there.
 *
 * Return: 0 or -1; rig_destroy() in either case.
 */
int rig_create(struct rig *r, const struct harness_deployment *d, const struct point *p,
	       struct error *err);
void rig_destroy(struct rig *r);

/* control_sample.c */
double metric_of(const struct harness_fleet *f, int index, const char *name);
struct sample sample_take(const struct rig *r);
struct figures figures_between(const struct sample *a, const struct sample *b);

/* control_config.c */

/**
 * change_post - change @key to @value (stolen) at the first instance
 * @version: in: version to change from; out: new version
 *
 * Return: HTTP status.
 */
int change_post(const struct harness_fleet *f, const char *key, json_t *value, int64_t *version);
json_t *organisation_value(const char *name);

/** config_measure - time until a change is in force on all instances */
int config_measure(struct error *err);

/* control_claims.c */

/** claims_measure - reads and writes of the table for each call with an effect */
int claims_measure(struct error *err);

/* control_point.c */
int point_measure(const struct point *p, struct figures *out, struct error *err);

/* control_series.c */
int nodes_series(struct error *err);
int workers_series(struct error *err);
int organisations_series(struct error *err);
int streams_series(struct error *err);

/**
 * target_measure - a region of the target: 53 members, 214 workers, all organisations
 *
 * As delegate of its data centre, then as another instance.
 */
int target_measure(struct error *err);

#endif
