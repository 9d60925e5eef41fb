#include <stdio.h>
#include <stdlib.h>

#include "control.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/load/report.h"

#define CHANGES 100

int change_post(const struct harness_fleet *f, const char *key, json_t *value, int64_t *version)
{
	const char *const headers[] = { "Authorization: Bearer " HARNESS_TOKEN, NULL };
	json_t *body = json_pack("{s:s, s:o, s:s, s:I}", "key", key, "value", value, "author",
				 "bench", "if_version", (json_int_t)*version);
	struct harness_reply reply;
	struct buf text = { 0 };
	char url[128];
	int status;

	json_append(&text, body);
	json_decref(body);
	snprintf(url, sizeof(url), "%s/admin/config", f->instances[0].admin);
	harness_http("POST", url, headers, text.data, 20000, &reply, NULL);
	status = reply.status;
	*version = json_get_i64(reply.json, "version", *version);
	harness_reply_free(&reply);
	buf_free(&text);
	return status;
}

json_t *organisation_value(const char *name)
{
	char hash[HASH_HEX_SIZE];

	hash_secret_hex(str_from(name), hash);
	return json_pack("{s:f, s:[s]}", "weight", 2.0, "keys", hash);
}

static int double_cmp(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void in_force_wait(const struct harness_fleet *f, int64_t version, int64_t limit_ms)
{
	int64_t end = clock_boot_ms() + limit_ms;

	for (int i = 0; i < f->instance_count; i++) {
		while ((int64_t)metric_of(f, i, "config_version") < version &&
		       clock_boot_ms() < end)
			clock_sleep_ms(1);
	}
}

/*
 * Measures the time from the response of the instance that accepted the change until the last
 * instance has applied it.
 */
int config_measure(struct error *err)
{
	struct harness_deployment d = { .region = "r",
					.dcs = { "d0", "d1" },
					.instances = 3,
					.platform_args = bench_platform_args };
	static double ms[CHANGES];
	struct rig r = { .h = harness_create(err) };
	int64_t version = 0;
	int rc = -1;

	if (!r.h)
		return -1;
	r.fleet = harness_fleet_create(r.h, &d, err);
	if (!r.fleet || harness_ready(r.fleet, BENCH_READY_MS, err) < 0)
		goto out;
	clock_sleep_ms(BENCH_SETTLE_MS);
	for (int i = 0; i < CHANGES; i++) {
		int64_t begun;
		char key[64];

		snprintf(key, sizeof(key), "organisation/new-%d", i);
		if (change_post(r.fleet, key, organisation_value(key), &version) != 200) {
			error_set(err, ERROR_TOOL, 1, "configuration change %d was rejected", i);
			goto out;
		}
		begun = clock_boot_us();
		in_force_wait(r.fleet, version, 8000);
		ms[i] = (double)(clock_boot_us() - begun) / 1e3;
	}
	qsort(ms, CHANGES, sizeof(double), double_cmp);
	printf("config changes=%d instances=%d in_force_p50_ms=%.0f p95_ms=%.0f max_ms=%.0f "
	       "bound_ms=4000\n",
	       CHANGES, r.fleet->instance_count, report_percentile(ms, CHANGES, 0.5),
	       report_percentile(ms, CHANGES, 0.95), ms[CHANGES - 1]);
	rc = 0;
out:
	rig_destroy(&r);
	return rc;
}
