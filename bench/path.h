#ifndef BENCH_PATH_H
#define BENCH_PATH_H

#include "ibisgate/harness/harness.h"
#include "ibisgate/load/report.h"

#define PATH_API_KEY "bench-path-key"
#define PATH_ROUNDS_MAX 64
#define PATH_WAITS_MAX 16

enum way {
	WAY_DIRECT,
	WAY_GATEWAY,
	WAYS,
};

/**
 * struct samples - first token times and totals of one way over all slices
 * @max_lag_us: longest time that the load tool itself was late
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

struct path {
	struct harness_fleet *fleet;
	pid_t pid;
	struct scenario scenario;
	double slice_s;
	int rounds;
	int streams;
	int generators;
	double rate;
	int64_t run;
};

/* path_run.c */

/** path_scenario - load of the next slices; requests a second, tokens of prompt and answer */
void path_scenario(struct path *p, double rate, double prompt, double output);

/**
 * path_slice_run - run one slice and add what it measured to @out
 *
 * Return: 0, or -1 with @err set.
 */
int path_slice_run(struct path *p, enum way way, int concurrency, struct samples *out,
		   struct error *err);

/** path_ways_run - run the slices of both ways in turn; likewise */
int path_ways_run(struct path *p, int concurrency, struct samples out[WAYS], struct error *err);

/** path_percentile_us - sorts @values */
double path_percentile_us(double *values, size_t count, double part);

/** path_added_us - median over the rounds of what the instance adds to a percentile */
double path_added_us(const struct path *p, const double *direct, const double *gateway);
void path_samples_free(struct samples s[WAYS]);

/* path_wait.c */

/**
 * struct waits - time that link threads were ready to run and had to wait for a processor
 *
 * A tail that grows with it comes from the machine and not from the instance.
 */
struct waits {
	long tid[PATH_WAITS_MAX];
	int64_t ns[PATH_WAITS_MAX];
	int count;
	int64_t at_us;
};

void path_waits_begin(struct waits *w, pid_t pid);

/** path_waits_end - permille of the time of the thread that waited longest */
int path_waits_end(const struct waits *w, pid_t pid);

#endif
