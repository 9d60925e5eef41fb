#include <stdio.h>
#include <stdlib.h>

#include "control.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/load/report.h"

#define CHANGE_COUNT 100

int config_change_post(const struct harness_fleet *f, const char *key, json_t *value,
		       int64_t *version)
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
	harness_http_request("POST", url, headers, text.data, 20000, &reply, NULL);
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

static void config_wait_applied(const struct harness_fleet *f, int64_t version, int64_t limit_ms)
{
	int64_t end = clock_boot_ms() + limit_ms;

	for (int i = 0; i < f->instance_count; i++) {
		while ((int64_t)metric_value(f, i, "config_version") < version &&
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
	static double apply_ms[CHANGE_COUNT];
	struct rig r = { .h = harness_create(err) };
	int64_t version = 0;
	int rc = -1;

	if (!r.h)
		return -1;
	r.fleet = harness_fleet_create(r.h, &d, err);
	if (!r.fleet || harness_wait_ready(r.fleet, BENCH_READY_TIMEOUT_MS, err) < 0)
		goto out;
	clock_sleep_ms(BENCH_SETTLE_MS);
	for (int i = 0; i < CHANGE_COUNT; i++) {
		int64_t start_us;
		char key[64];

		snprintf(key, sizeof(key), "organisation/new-%d", i);
		if (config_change_post(r.fleet, key, organisation_value(key), &version) != 200) {
			error_set(err, ERROR_TOOL, 1, "configuration change %d was rejected", i);
			goto out;
		}
		start_us = clock_boot_us();
		config_wait_applied(r.fleet, version, 8000);
		apply_ms[i] = (double)(clock_boot_us() - start_us) / 1e3;
	}
	qsort(apply_ms, CHANGE_COUNT, sizeof(double), double_cmp);
	printf("config changes=%d instances=%d in_force_p50_ms=%.0f p95_ms=%.0f max_ms=%.0f "
	       "bound_ms=4000\n",
	       CHANGE_COUNT, r.fleet->instance_count,
	       report_sorted_percentile(apply_ms, CHANGE_COUNT, 0.5),
	       report_sorted_percentile(apply_ms, CHANGE_COUNT, 0.95), apply_ms[CHANGE_COUNT - 1]);
	rc = 0;
out:
	rig_destroy(&r);
	return rc;
}
