#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "control.h"
#include "ibisgate/common/clock.h"

int bench_measure_ms = 6000;

/* Measures the time to apply a change of one organisation; median of five, -1 if rejected. */
static double apply_measure(const struct harness_fleet *f)
{
	int64_t version = (int64_t)metric_value(f, 0, "config_version");
	double ms[5];

	for (int i = 0; i < 5; i++) {
		int64_t start_us = clock_boot_us();
		char key[64];

		snprintf(key, sizeof(key), "organisation/new-%d", i);
		if (config_change_post(f, key, organisation_value(key), &version) != 200)
			return -1;
		ms[i] = (double)(clock_boot_us() - start_us) / 1e3;
	}
	for (int i = 0; i < 5; i++) {
		for (int k = i + 1; k < 5; k++) {
			double t = ms[i];

			ms[i] = ms[k] < t ? ms[k] : t;
			ms[k] = ms[k] < t ? t : ms[k];
		}
	}
	return ms[2];
}

struct reader {
	pthread_t thread;
	const char *url;
};

/* Reads a stream that outlasts the measurement; its rate is set by the engine's step time. */
static void *reader_run(void *arg)
{
	const char *const headers[] = { "Authorization: Bearer " BENCH_API_KEY, NULL };
	struct reader *reader = arg;
	struct harness_reply reply;

	harness_http_request("POST", reader->url, headers,
			     "{\"model\":\"M\",\"prompt\":\"some text\",\"max_tokens\":100000,"
			     "\"stream\":true}",
			     BENCH_SETTLE_MS + bench_measure_ms + 2000, &reply, NULL);
	harness_reply_free(&reply);
	return NULL;
}

static struct reader *readers_start(const struct harness_fleet *f, int count, char *url,
				    size_t size)
{
	struct reader *readers = mem_zalloc((size_t)(count + 1) * sizeof(*readers));

	snprintf(url, size, "%s/v1/completions", f->instances[0].http);
	for (int i = 0; i < count; i++) {
		readers[i].url = url;
		pthread_create(&readers[i].thread, NULL, reader_run, &readers[i]);
	}
	return readers;
}

static void readers_join(struct reader *readers, int count)
{
	for (int i = 0; i < count; i++)
		pthread_join(readers[i].thread, NULL);
	free(readers);
}

/* 20 tokens per second on each stream, as from an engine under load. */
static const char *const paced_engine_args[] = {
	"--step-base-us", "50000", "--step-per-seq-us", "0", "--slots", "1024",
	"--threads",	  "700",   "--prefill-rate",	"0", NULL
};

int point_measure(const struct bench_point *p, struct measurement *out, struct error *err)
{
	static const struct harness_engine_spec engine[] = { { "mixed", true }, { NULL } };
	struct harness_deployment d = { .region = "r",
					.dcs = { "d0" },
					.instances = 1,
					.engines = p->streams ? engine : NULL,
					.engine_args = paced_engine_args,
					.platform_args = bench_platform_args };
	struct reader *readers;
	struct sample a;
	struct sample b;
	char url[128];
	struct rig r;
	int rc = -1;

	if (rig_create(&r, &d, p, err) < 0)
		goto out;
	if (p->streams) {
		harness_organisation_create(r.fleet, "bench", BENCH_API_KEY, 1);
		harness_model_service_create(r.fleet, "M");
		harness_config_default_set(r.fleet, "admission.enabled", json_integer(0));
		harness_config_default_set(r.fleet, "deadline.total_ms", json_integer(120000));
	}
	readers = readers_start(r.fleet, p->streams, url, sizeof(url));
	clock_sleep_ms(BENCH_SETTLE_MS);
	a = sample_take(&r);
	clock_sleep_ms(bench_measure_ms);
	b = sample_take(&r);
	*out = measurement_between(&a, &b);
	out->rss_mb = (double)harness_rss_kb(r.fleet->instances[0].process->pid) / 1024;
	out->start_ms = r.start_ms;
	if (p->organisations)
		out->apply_ms = apply_measure(r.fleet);
	if (p->streams && metric_value(r.fleet, 0, "streams") < p->streams)
		printf("note: only %.0f of %d streams are running\n",
		       metric_value(r.fleet, 0, "streams"), p->streams);
	readers_join(readers, p->streams);
	rc = 0;
out:
	rig_destroy(&r);
	return rc;
}
