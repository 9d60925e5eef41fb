#include <stdio.h>

#include "control.h"
#include "ibisgate/common/clock.h"

#define CALL_COUNT 50

static int calls_send(const struct harness_fleet *f)
{
	char url[128];
	int done = 0;

	snprintf(url, sizeof(url), "%s/v1/services/order", f->instances[0].http);
	for (int i = 0; i < CALL_COUNT; i++) {
		struct harness_reply reply;
		char key[64];
		const char *const headers[] = { "Authorization: Bearer " BENCH_API_KEY, key, NULL };

		snprintf(key, sizeof(key), "Idempotency-Key: call-%d", i);
		harness_http_request("POST", url, headers, "{\"item\":1}", 5000, &reply, NULL);
		done += reply.status == 200;
		harness_reply_free(&reply);
	}
	return done;
}

int claims_measure(struct error *err)
{
	static const char *const services[] = { "order", NULL };
	struct harness_deployment d = { .region = "r",
					.dcs = { "d0" },
					.instances = 1,
					.services = services,
					.platform_args = bench_platform_args };
	struct bench_point p = { .delegate = true };
	struct sample s[3];
	struct measurement idle;
	double seconds;
	double writes;
	double reads;
	struct rig r;
	int rc = -1;
	int done;

	if (rig_create(&r, &d, &p, err) < 0)
		goto out;
	harness_organisation_create(r.fleet, "bench", BENCH_API_KEY, 1);
	harness_plain_service_create(r.fleet, "order", false);
	clock_sleep_ms(BENCH_SETTLE_MS);
	s[0] = sample_take(&r);
	clock_sleep_ms(bench_measure_ms);
	s[1] = sample_take(&r);
	done = calls_send(r.fleet);
	/* The result is written to the table after the response was sent. */
	clock_sleep_ms(1000);
	s[2] = sample_take(&r);
	idle = measurement_between(&s[0], &s[1]);
	seconds = (double)(s[2].at_us - s[1].at_us) / 1e6;
	writes = (s[2].writes - s[1].writes - idle.writes * seconds) / CALL_COUNT;
	reads = (s[2].reads - s[1].reads - idle.reads * seconds) / CALL_COUNT;
	printf("claims calls=%d done=%d table_writes_a_call=%.2f table_reads_a_call=%.2f "
	       "calls_s_at_400_writes=%.0f\n",
	       CALL_COUNT, done, writes, reads, writes > 0 ? 400 / writes : 0);
	rc = 0;
out:
	rig_destroy(&r);
	return rc;
}
