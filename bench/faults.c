#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "faults.h"
#include "ibisgate/common/clock.h"

#define READY_TIMEOUT_MS 30000
#define PHASE_S 5

static const struct harness_engine_spec engines[] = {
	{ "mixed", true, "abertawe" },
	{ "mixed", false, "abertawe" },
	{ "prefill", true, "caerdydd" },
	{ "decode", false, "caerdydd" },
	{ "decode", true, "casnewydd" },
	{ "prefill", false, "casnewydd" },
	{ "decode", false, "merthyr" },
	{ "prefill", true, "merthyr" },
	{ NULL },
};
static const char *const services[] = { "orders", "bookings", NULL };
static const char *const engine_args[] = { "--step-base-us",
					   "8000",
					   "--load-lag-ms",
					   "500",
					   "--role-change-ms",
					   "1000",
					   "--threads",
					   "80",
					   "--slots",
					   "32",
					   NULL };
static const char *const service_args[] = { "--delay-ms", "20", "--threads", "32", NULL };
static const char *const platform_args[] = { "--list-lag-ms", "500", NULL };
static const struct harness_deployment deployment = {
	.region = "de-cymru",
	.dcs = { "abertawe", "caerdydd", "casnewydd", "merthyr" },
	.instances = 1,
	.first_dc_extra_instances = 1,
	.engines = engines,
	.services = services,
	.through_proxy = true,
	.engine_args = engine_args,
	.service_args = service_args,
	.platform_args = platform_args,
	/* CivetWeb starts all of its threads at once, and several runs share a machine. */
	.settings = "[http]\nthreads = 120\n",
	.distance_us = 1500,
};

/*
 * Phases of long prompts and of long outputs alternate, so that the greedy policy keeps changing
 * roles.
 */
static void load_prepare(struct fault_run *r)
{
	struct scenario *s = &r->scenario;
	struct load_options *o = &r->options;
	double all_s = (double)(r->schedule_ms + FAULTS_TAIL_MS) / 1000;

	scenario_defaults(s);
	s->seed = r->seed;
	s->chat_share = 0.3;
	str_copy(s->marker, sizeof(s->marker), str_from(FAULTS_MARKER));
	s->phase_count = 0;
	while (s->phase_count < SCENARIO_PHASES_MAX && s->phase_count * PHASE_S < all_s) {
		bool prompts = s->phase_count % 2;

		s->phases[s->phase_count] = (struct scenario_phase){
			.start_s = s->phase_count * PHASE_S,
			.rate = 10,
			.prompt_tokens = prompts ? 1500 : 100,
			.output_tokens = prompts ? 20 : 120,
			.prefix_share = 0.3,
		};
		s->phase_count++;
	}
	for (int i = 0; i < FAULTS_ORGANISATIONS; i++) {
		struct scenario_organisation *org = &s->organisations[s->organisation_count++];

		*org = (struct scenario_organisation){ .weight = 1, .arrival_factor = 1 };
		snprintf(org->name, sizeof(org->name), "org-%d", i);
		snprintf(org->key, sizeof(org->key), "key-%d", i);
	}
	for (int i = 0; services[i]; i++) {
		struct scenario_call *c = &s->calls[s->call_count++];

		*c = (struct scenario_call){ .rate = 5, .repeat_probability = 0.4 };
		str_copy(c->name, sizeof(c->name), str_from(services[i]));
		str_copy(c->service, sizeof(c->service), str_from(services[i]));
	}
	load_options_defaults(o);
	o->duration_s = all_s;
	o->drain_s = 30;
	o->timeout_ms = 40000;
	o->url_count = FAULTS_INSTANCES;
	o->run_id = "faults";
	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		snprintf(r->urls[i], sizeof(r->urls[i]), "http://127.0.0.1:%d",
			 faults_client_route_create(r, i));
		o->urls[i] = r->urls[i];
	}
}

static bool defaults_set(struct fault_run *r)
{
	struct harness_fleet *f = r->fleet;

	return harness_config_default_set(f, "role.policy", json_string("greedy")) == 200 &&
	       harness_config_default_set(f, "role.min-dwell-ms", json_integer(1000)) == 200 &&
	       harness_config_default_set(f, "role.smooth-ms", json_integer(1000)) == 200 &&
	       harness_config_default_set(f, "role.change-ms", json_integer(1000)) == 200 &&
	       harness_config_default_set(f, "load.lag-ms", json_integer(500)) == 200;
}

static int run_prepare(struct fault_run *r, struct error *err)
{
	struct harness_fleet *f = r->fleet;
	char name[16];
	char key[16];
	bool ok = true;

	if (harness_wait_ready(f, READY_TIMEOUT_MS, err) < 0)
		return -1;
	for (int i = 0; i < FAULTS_ORGANISATIONS; i++) {
		snprintf(name, sizeof(name), "org-%d", i);
		snprintf(key, sizeof(key), "key-%d", i);
		ok = ok && harness_organisation_create(f, name, key, 1) == 200;
	}
	for (int i = 0; services[i]; i++)
		ok = ok && harness_plain_service_create(f, services[i], false) == 200;
	/* The run tests correctness, so the deadlines are ones that a busy machine can meet. */
	ok = ok && harness_config_set(f, 0, "service/text",
				      json_pack("{s:s, s:s, s:b, s:s, s:i, s:i, s:i}", "kind",
						"model", "model", "M", "idempotent", 1, "class",
						"normal", "deadline_ms", 30000, "first_token_ms",
						5000, "gap_ms", 500)) == 200;
	if (!ok || !defaults_set(r))
		return error_set(err, ERROR_TOOL, 1, "the configuration was refused");
	for (int i = 0; i < f->endpoint_count; i++)
		faults_crash_marker_set(r, i);
	for (int i = 0; i < FAULTS_INSTANCES; i++)
		r->is_up[i] = true;
	if (harness_wait_config_version(f, faults_config_version(r, 0), READY_TIMEOUT_MS) < 0)
		return error_set(err, ERROR_TOOL, 1, "the configuration is not in force");
	load_prepare(r);
	return 0;
}

static void *load_main(void *arg)
{
	struct fault_run *r = arg;
	struct error err = { 0 };

	if (load_run(&r->scenario, &r->options, &r->result, &err) < 0)
		fprintf(stderr, "bench-faults: %s\n", err.text);
	return NULL;
}

static int run_measure(struct fault_run *r, struct error *err)
{
	int failed;
	int rc;

	if (run_prepare(r, err) < 0)
		return -1;
	if (pthread_create(&r->poll_thread, NULL, faults_poll_thread, r) != 0 ||
	    pthread_create(&r->load_thread, NULL, load_main, r) != 0)
		return error_set(err, ERROR_TOOL, 1, "cannot start a thread");
	rc = faults_schedule_run(r, err);
	atomic_store(&r->stop, true);
	pthread_join(r->poll_thread, NULL);
	if (rc < 0)
		return -1;
	faults_state_poll(r);
	faults_check(r);
	failed = faults_instances_stop(r);
	if (failed)
		faults_violation(r, 8, "%d instances did not end with exit code 0", failed);
	return 0;
}

static int run_execute(struct fault_run *r)
{
	struct error err = { 0 };
	int rc = -1;

	r->harness = harness_create(&err);
	if (!r->harness)
		goto out;
	r->fleet = harness_fleet_create(r->harness, &deployment, &err);
	if (!r->fleet)
		goto out;
	r->events = json_array();
	r->orders = json_object();
	r->intents = json_object();
	r->intent_polls = json_array();
	pthread_mutex_init(&r->lock, NULL);
	rc = run_measure(r, &err);
out:
	if (rc < 0)
		fprintf(stderr, "bench-faults: %s\n", err.text);
	harness_fleet_destroy(r->fleet);
	harness_destroy(r->harness);
	if (rc < 0)
		return 2;
	printf("seed=%llu violations=%d\n", (unsigned long long)r->seed, r->violations);
	return r->violations ? 1 : 0;
}

int main(int argc, char **argv)
{
	static struct fault_run run;
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed of the schedule (1)");
	struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "S", "time with faults (30)");
	struct arg_str *name =
		arg_str0(NULL, "scenario", "NAME", "only the faults of a named scenario");
	struct arg_lit *plan = arg_lit0(NULL, "plan", "print the schedule and exit");
	struct arg_lit *verbose =
		arg_lit0("v", "verbose", "print fault requests that were rejected");
	struct arg_end *end = arg_end(4);
	void *table[] = { seed, seconds, name, plan, verbose, end };
	int rc = 2;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "bench-faults");
		goto out;
	}
	run.seed = seed->count ? (uint64_t)seed->ival[0] : 1;
	run.schedule_ms = (int64_t)((seconds->count ? seconds->dval[0] : 30) * 1000);
	run.verbose = verbose->count > 0;
	if (name->count && !faults_scenario_set(&run, name->sval[0])) {
		fprintf(stderr, "bench-faults: unknown scenario %s\n", name->sval[0]);
		goto out;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	faults_schedule_draw(&run);
	faults_schedule_print(&run);
	if (plan->count) {
		rc = 0;
		goto out;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run_execute(&run);
	curl_global_cleanup();
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
