#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ibisgate/common/hash.h"
#include "path.h"

void path_scenario(struct path_bench *p, double rate, double prompt, double output)
{
	struct scenario *s = &p->scenario;

	scenario_defaults(s);
	s->seed = (uint64_t)++p->run_number;
	s->phases[0].rate = rate;
	s->phases[0].prompt_tokens = prompt;
	s->phases[0].output_tokens = output;
	s->organisations[s->organisation_count++] = (struct scenario_organisation){
		.name = "bench", .key = PATH_API_KEY, .weight = 1, .arrival_factor = 1
	};
}

/**
 * struct generator - one load generator thread, which sends a share of the load
 *
 * A single thread of the load tool cannot send more than one instance can handle, so with only one
 * generator the benchmark would measure the load tool instead of the instance.
 */
struct generator {
	pthread_t thread;
	struct scenario scenario;
	struct load_options options;
	struct load_result result;
	struct error err;
	char run_id[48];
	int rc;
};

static void *generator_run(void *arg)
{
	struct generator *g = arg;

	g->rc = load_run(&g->scenario, &g->options, &g->result, &g->err);
	return NULL;
}

static void generator_start(struct path_bench *p, struct generator *g, int index,
			    enum path_route route, int concurrency)
{
	int share = concurrency / p->generators + (index < concurrency % p->generators);

	g->scenario = p->scenario;
	g->scenario.seed = hash_mix(p->scenario.seed, (uint64_t)index);
	g->scenario.phases[0].rate = p->scenario.phases[0].rate / p->generators;
	snprintf(g->run_id, sizeof(g->run_id), "path-%d-%lld", (int)getpid(),
		 (long long)++p->run_number);
	load_options_defaults(&g->options);
	g->options.run_id = g->run_id;
	g->options.duration_s = p->slice_s;
	g->options.concurrency = share;
	g->options.targets_are_engines = route == PATH_ROUTE_DIRECT;
	g->options.url_count = 1;
	g->options.urls[0] = route == PATH_ROUTE_DIRECT ? p->fleet->endpoints[0].url
							: p->fleet->instances[0].http;
	pthread_create(&g->thread, NULL, generator_run, g);
}

static void sample_add(struct samples *out, double ttft_us)
{
	if (out->count == out->cap) {
		out->cap = out->cap ? 2 * out->cap : 4096;
		out->ttft_us = mem_resize(out->ttft_us, out->cap * sizeof(double));
	}
	out->ttft_us[out->count++] = ttft_us;
}

static void result_add(const struct path_bench *p, const struct load_result *result,
		       struct samples *out)
{
	int64_t tokens = 0;
	int64_t complete_count = 0;

	for (size_t i = 0; i < result->count; i++) {
		const struct load_record *r = &result->records[i];

		if (r->outcome != LOAD_WHOLE) {
			out->failures++;
			continue;
		}
		sample_add(out, (double)r->ttft_us);
		tokens += r->tokens;
		complete_count++;
	}
	if (result->max_lag_us > out->max_lag_us)
		out->max_lag_us = result->max_lag_us;
	out->tokens += tokens;
	out->rate += (double)complete_count / result->elapsed_s / p->rounds;
	out->tokens_per_s += (double)tokens / result->elapsed_s / p->rounds;
}

int path_slice_run(struct path_bench *p, enum path_route route, int concurrency,
		   struct samples *out, struct error *err)
{
	struct generator *threads = mem_zalloc((size_t)p->generators * sizeof(*threads));
	int rc = 0;

	for (int i = 0; i < p->generators; i++)
		generator_start(p, &threads[i], i, route, concurrency);
	for (int i = 0; i < p->generators; i++) {
		pthread_join(threads[i].thread, NULL);
		if (threads[i].rc < 0) {
			*err = threads[i].err;
			rc = -1;
			continue;
		}
		result_add(p, &threads[i].result, out);
		load_result_free(&threads[i].result);
	}
	free(threads);
	return rc;
}

static int double_cmp(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double path_percentile_us(double *values, size_t count, double part)
{
	if (count)
		qsort(values, count, sizeof(double), double_cmp);
	return report_sorted_percentile(values, count, part);
}

int path_routes_run(struct path_bench *p, int concurrency, struct samples out[PATH_ROUTES],
		    struct error *err)
{
	memset(out, 0, sizeof(struct samples) * PATH_ROUTES);
	for (int round = 0; round < p->rounds; round++) {
		for (int i = 0; i < PATH_ROUTES; i++) {
			/* Alternates the order in each round to cancel out drift of the machine. */
			enum path_route route = (enum path_route)((round + i) % PATH_ROUTES);
			struct samples *s = &out[route];
			size_t from = s->count;
			int64_t run_number = p->run_number;

			if (path_slice_run(p, route, concurrency, s, err) < 0)
				return -1;
			/* Sorts only the values of this slice. */
			s->p50_us[round] =
				path_percentile_us(s->ttft_us + from, s->count - from, 0.5);
			s->p99_us[round] =
				path_percentile_us(s->ttft_us + from, s->count - from, 0.99);
			p->run_number = run_number + p->generators;
		}
	}
	return 0;
}

/*
 * Uses the median over the rounds: other work on the machine delays single slices by tens of
 * milliseconds, which would distort a percentile over all slices.
 */
double path_added_us(const struct path_bench *p, const double *direct, const double *gateway)
{
	double differences[PATH_ROUNDS_MAX];

	for (int i = 0; i < p->rounds; i++)
		differences[i] = gateway[i] - direct[i];
	return path_percentile_us(differences, (size_t)p->rounds, 0.5);
}

void path_samples_free(struct samples s[PATH_ROUTES])
{
	for (int i = 0; i < PATH_ROUTES; i++)
		free(s[i].ttft_us);
}
