#ifndef BENCH_PATH_H
#define BENCH_PATH_H

#include "ibisgate/harness/harness.h"
#include "ibisgate/load/report.h"

#define PATH_API_KEY "bench-path-key"
#define PATH_ROUNDS_MAX 64
#define PATH_WAITS_MAX 16

enum path_route {
	PATH_ROUTE_DIRECT,
	PATH_ROUTE_GATEWAY,
	PATH_ROUTES,
};

/**
 * struct samples - times to first token and totals of one route over all slices
 * @ttft_us: time to first token of each complete response
 * @rate: complete responses per second
 * @max_lag_us: longest delay of a request behind its schedule, caused by the load tool itself
 * @p50_us, @p99_us: percentiles of the time to first token in each round
 */
struct samples {
	double *ttft_us;
	size_t count;
	size_t cap;
	double rate;
	double tokens_per_s;
	int64_t failures;
	int64_t tokens;
	int64_t max_lag_us;
	double p50_us[PATH_ROUNDS_MAX];
	double p99_us[PATH_ROUNDS_MAX];
};

/**
 * struct path_bench - state and options of the benchmark
 * @pid: process id of the instance
 * @slice_s: duration of a slice in seconds
 * @rounds: number of slices of each route
 * @streams: concurrent streams in the measurement of streams
 * @generators: number of load generator threads
 * @rate: requests per second in the measurement of latency; 0 for half of the throughput
 * @run_number: counter that seeds scenarios and makes run ids unique
 */
struct path_bench {
	struct harness_fleet *fleet;
	pid_t pid;
	struct scenario scenario;
	double slice_s;
	int rounds;
	int streams;
	int generators;
	double rate;
	int64_t run_number;
};

/* path_run.c */

/** path_scenario - set the load of the next slices; @rate in requests/s, the rest in tokens */
void path_scenario(struct path_bench *p, double rate, double prompt, double output);

/**
 * path_slice_run - run one slice and add its results to @out
 * @concurrency: streams over all generators; 0 for open-loop arrivals at the scenario's rate
 *
 * Return: 0, or -1 with @err set.
 */
int path_slice_run(struct path_bench *p, enum path_route route, int concurrency,
		   struct samples *out, struct error *err);

/** path_routes_run - run slices of both routes alternately; 0, or -1 with @err set */
int path_routes_run(struct path_bench *p, int concurrency, struct samples out[PATH_ROUTES],
		    struct error *err);

/** path_percentile_us - percentile @part (0 to 1) of @values, which are sorted in place */
double path_percentile_us(double *values, size_t count, double part);

/** path_added_us - added latency: median over the rounds of the difference of a percentile */
double path_added_us(const struct path_bench *p, const double *direct, const double *gateway);
void path_samples_free(struct samples s[PATH_ROUTES]);

/* path_wait.c */

/**
 * struct runqueue_waits - run queue wait of the link threads: time in which they were ready but not
 * running
 *
 * Tail latency that grows with this time is caused by the machine and not by the instance.
 */
struct runqueue_waits {
	long tid[PATH_WAITS_MAX];
	int64_t ns[PATH_WAITS_MAX];
	int count;
	int64_t at_us;
};

void path_waits_begin(struct runqueue_waits *w, pid_t pid);

/** path_waits_end - longest run queue wait of a thread, in permille of the elapsed time */
int path_waits_end(const struct runqueue_waits *w, pid_t pid);

#endif
