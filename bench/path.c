#include <argtable2.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#include "ibisgate/common/clock.h"
#include "path.h"

/*
 * Measures the overhead of requests through one instance compared with a direct connection to the
 * same stand-in engine. Slices of both routes alternate within one run, since results of separate
 * runs differ with the state of the machine.
 */

#define READY_TIMEOUT_MS 20000
#define MEMORY_STREAMS 500
#define RSS_SAMPLE_INTERVAL_MS 100
/* Slows an engine step down from 50 us to 5 ms. */
#define PACED_SLOW_FACTOR 100
#define PACED_ROUNDS_MAX 3
/* The kernel sends a delayed acknowledgement after 40 ms. */
#define DELAYED_ACK_FROM_US 39000
#define DELAYED_ACK_TO_US 45000

static size_t delayed_ack_count(const struct samples *s)
{
	size_t n = 0;

	for (size_t i = 0; i < s->count; i++)
		n += s->ttft_us[i] >= DELAYED_ACK_FROM_US && s->ttft_us[i] < DELAYED_ACK_TO_US;
	return n;
}

struct rss_sampler {
	pid_t pid;
	int64_t max_kb;
	atomic_bool stop;
};

static void *sampler_run(void *arg)
{
	struct rss_sampler *s = arg;

	while (!s->stop) {
		int64_t kb = harness_rss_kb(s->pid);

		if (kb > s->max_kb)
			s->max_kb = kb;
		clock_sleep_ms(RSS_SAMPLE_INTERVAL_MS);
	}
	return NULL;
}

static int measure_throughput(struct path_bench *p, double *rate, double *per_core,
			      struct error *err)
{
	struct samples s[PATH_ROUTES];
	double before = (harness_cpu_us(p->pid) / 1e6);
	double used;

	path_scenario(p, 0, 50, 8);
	if (path_routes_run(p, 64, s, err) < 0)
		return -1;
	used = (harness_cpu_us(p->pid) / 1e6) - before;
	*rate = s[PATH_ROUTE_GATEWAY].rate;
	*per_core = used > 0 ? (double)s[PATH_ROUTE_GATEWAY].count / used : 0;
	printf("throughput: direct %.0f/s, through the instance %.0f/s, incomplete %lld and %lld\n",
	       s[PATH_ROUTE_DIRECT].rate, s[PATH_ROUTE_GATEWAY].rate,
	       (long long)s[PATH_ROUTE_DIRECT].failures, (long long)s[PATH_ROUTE_GATEWAY].failures);
	path_samples_free(s);
	return 0;
}

static void latency_print(struct samples *s, const char *name)
{
	printf("first token %s: requests %zu, incomplete %lld, p50 %.0f p99 %.0f us, at 39 to 45 "
	       "ms "
	       "%zu, load tool late by at most %lld us\n",
	       name, s->count, (long long)s->failures,
	       path_percentile_us(s->ttft_us, s->count, 0.5),
	       path_percentile_us(s->ttft_us, s->count, 0.99), delayed_ack_count(s),
	       (long long)s->max_lag_us);
}

static int measure_latency(struct path_bench *p, double rate, double added[2], struct error *err)
{
	struct samples s[PATH_ROUTES];
	struct runqueue_waits waits;

	path_scenario(p, rate, 50, 8);
	path_waits_begin(&waits, p->pid);
	if (path_routes_run(p, 0, s, err) < 0)
		return -1;
	printf("link thread: run queue wait %d permille of the time\n",
	       path_waits_end(&waits, p->pid));
	added[0] = path_added_us(p, s[PATH_ROUTE_DIRECT].p50_us, s[PATH_ROUTE_GATEWAY].p50_us);
	added[1] = path_added_us(p, s[PATH_ROUTE_DIRECT].p99_us, s[PATH_ROUTE_GATEWAY].p99_us);
	for (int i = 0; i < p->rounds; i++)
		printf("round %d at %.0f/s: direct p50 %.0f p99 %.0f us, through the instance p50 "
		       "%.0f p99 %.0f us\n",
		       i, rate, s[PATH_ROUTE_DIRECT].p50_us[i], s[PATH_ROUTE_DIRECT].p99_us[i],
		       s[PATH_ROUTE_GATEWAY].p50_us[i], s[PATH_ROUTE_GATEWAY].p99_us[i]);
	latency_print(&s[PATH_ROUTE_DIRECT], "direct");
	latency_print(&s[PATH_ROUTE_GATEWAY], "through the instance");
	path_samples_free(s);
	return 0;
}

static int measure_streams(struct path_bench *p, double *ratio, struct error *err)
{
	struct samples s[PATH_ROUTES];
	double before = (harness_cpu_us(p->pid) / 1e6);
	double used;

	path_scenario(p, 0, 50, 200);
	if (path_routes_run(p, p->streams, s, err) < 0)
		return -1;
	used = (harness_cpu_us(p->pid) / 1e6) - before;
	if (s[PATH_ROUTE_GATEWAY].tokens)
		printf("CPU time of the instance: %.2f us per token\n",
		       used * 1e6 / (double)s[PATH_ROUTE_GATEWAY].tokens);
	*ratio = s[PATH_ROUTE_DIRECT].tokens_per_s > 0
			 ? s[PATH_ROUTE_GATEWAY].tokens_per_s / s[PATH_ROUTE_DIRECT].tokens_per_s
			 : 0;
	printf("%d streams: direct %.0f tokens/s, through the instance %.0f tokens/s, incomplete "
	       "%lld and %lld\n",
	       p->streams, s[PATH_ROUTE_DIRECT].tokens_per_s, s[PATH_ROUTE_GATEWAY].tokens_per_s,
	       (long long)s[PATH_ROUTE_DIRECT].failures, (long long)s[PATH_ROUTE_GATEWAY].failures);
	path_samples_free(s);
	return 0;
}

static int engine_slow_factor_set(const struct path_bench *p, double factor, struct error *err)
{
	char url[128];

	snprintf(url, sizeof(url), "%s/faults", p->fleet->endpoints[0].url);
	if (harness_json_post(url, json_pack("{s:f}", "slow_factor", factor)) / 100 != 2)
		return error_set(err, ERROR_TOOL, 1, "the engine rejected the slow factor");
	return 0;
}

/* The engine limits the rate, as real engines do: each stream gets a token every 5 ms. */
static int measure_paced(struct path_bench *p, double *ratio, struct error *err)
{
	int rounds = p->rounds;
	int rc;

	if (engine_slow_factor_set(p, PACED_SLOW_FACTOR, err) < 0)
		return -1;
	printf("paced: ");
	if (p->rounds > PACED_ROUNDS_MAX)
		p->rounds = PACED_ROUNDS_MAX;
	rc = measure_streams(p, ratio, err);
	p->rounds = rounds;
	if (engine_slow_factor_set(p, 1, err) < 0)
		return -1;
	return rc;
}

static int measure_memory(struct path_bench *p, struct error *err)
{
	struct rss_sampler rss_sampler = { .pid = p->pid };
	struct samples s = { 0 };
	int64_t before = harness_rss_kb(rss_sampler.pid);
	pthread_t thread;
	int rc;

	path_scenario(p, 0, 50, 400);
	pthread_create(&thread, NULL, sampler_run, &rss_sampler);
	rc = path_slice_run(p, PATH_ROUTE_GATEWAY, MEMORY_STREAMS, &s, err);
	rss_sampler.stop = true;
	pthread_join(thread, NULL);
	printf("%d streams: resident %lld KiB before, %lld KiB at most, incomplete %lld\n",
	       MEMORY_STREAMS, (long long)before, (long long)rss_sampler.max_kb,
	       (long long)s.failures);
	free(s.ttft_us);
	return rc;
}

static int fleet_prepare(struct path_bench *p, struct error *err)
{
	if (harness_wait_ready(p->fleet, READY_TIMEOUT_MS, err) < 0)
		return -1;
	if (harness_organisation_create(p->fleet, "bench", PATH_API_KEY, 1) != 200 ||
	    harness_model_service_create(p->fleet, "M") != 200 ||
	    /* Admission control would reject requests that it expects to miss their deadline. */
	    harness_config_default_set(p->fleet, "admission.enabled", json_integer(0)) != 200)
		return error_set(err, ERROR_TOOL, 1, "the configuration was rejected");
	return harness_wait_ready(p->fleet, READY_TIMEOUT_MS, err);
}

static int measure(struct path_bench *p, struct error *err)
{
	double rate = 0;
	double per_core = 0;
	double added[2] = { 0 };
	double ratio = 0;
	double paced = 0;

	if (fleet_prepare(p, err) < 0 || measure_throughput(p, &rate, &per_core, err) < 0 ||
	    measure_latency(p, p->rate > 0 ? p->rate : rate / 2, added, err) < 0 ||
	    measure_streams(p, &ratio, err) < 0 || measure_paced(p, &paced, err) < 0 ||
	    measure_memory(p, err) < 0)
		return -1;
	printf("added_p50_us=%.0f added_p99_us=%.0f stream_ratio=%.3f paced_stream_ratio=%.3f "
	       "requests_per_core=%.0f\n",
	       added[0], added[1], ratio, paced, per_core);
	return 0;
}

static int run(struct path_bench *p)
{
	static const struct harness_engine_spec engines[] = { { "mixed", true }, { NULL } };
	static const char *const engine_args[] = {
		"--step-base-us", "50",	  "--step-per-seq-us", "0", "--slots", "1024",
		"--threads",	  "1100", "--prefill-rate",    "0", NULL
	};
	const struct harness_deployment d = { .region = "de-cymru",
					      .dcs = { "abertawe" },
					      .instances = 1,
					      .engines = engines,
					      .engine_args = engine_args };
	struct error err = { 0 };
	struct harness *h = harness_create(&err);
	int rc = 1;

	if (!h)
		goto out;
	p->fleet = harness_fleet_create(h, &d, &err);
	if (!p->fleet)
		goto out;
	p->pid = p->fleet->instances[0].process->pid;
	if (measure(p, &err) == 0)
		rc = 0;
out:
	if (rc)
		fprintf(stderr, "bench-path: %s\n", err.text);
	harness_fleet_destroy(p->fleet);
	harness_destroy(h);
	return rc;
}

int main(int argc, char **argv)
{
	static struct path_bench path = {
		.slice_s = 1, .rounds = 9, .streams = 300, .generators = 4
	};
	struct arg_dbl *slice =
		arg_dbl0(NULL, "slice-s", "S", "duration of a slice in seconds (1)");
	struct arg_int *rounds = arg_int0(NULL, "rounds", "N", "slices of each route (9)");
	struct arg_int *streams = arg_int0(NULL, "streams", "N", "concurrent streams (300)");
	struct arg_int *generators =
		arg_int0(NULL, "generators", "N", "load generator threads (4)");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate", "R",
					"requests per second (half of the measured throughput)");
	struct arg_end *end = arg_end(4);
	void *table[] = { slice, rounds, streams, generators, rate, end };
	int rc = 2;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "bench-path");
		goto out;
	}
	if (slice->count)
		path.slice_s = slice->dval[0];
	if (rounds->count)
		path.rounds = rounds->ival[0] < PATH_ROUNDS_MAX ? rounds->ival[0] : PATH_ROUNDS_MAX;
	if (streams->count)
		path.streams = streams->ival[0];
	if (generators->count)
		path.generators = generators->ival[0];
	if (rate->count)
		path.rate = rate->dval[0];
	setvbuf(stdout, NULL, _IOLBF, 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run(&path);
	curl_global_cleanup();
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
