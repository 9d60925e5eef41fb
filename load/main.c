#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/str.h"
#include "ibisgate/load/report.h"

/** struct arguments - command line options; the struct is passed to argtable as its table */
struct arguments {
	struct arg_file *scenario;
	struct arg_str *key;
	struct arg_str *model;
	struct arg_dbl *rate;
	struct arg_dbl *prompt;
	struct arg_dbl *output;
	struct arg_dbl *duration;
	struct arg_dbl *drain;
	struct arg_int *concurrency;
	struct arg_int *seed;
	struct arg_int *ttft;
	struct arg_int *gap;
	struct arg_int *timeout;
	struct arg_str *run_id;
	struct arg_lit *direct;
	struct arg_lit *json;
	struct arg_file *record;
	struct arg_lit *help;
	struct arg_str *urls;
	struct arg_end *end;
};

static void arguments_init(struct arguments *a)
{
	a->scenario =
		arg_file0("s", "scenario", "FILE", "file with phases, organisations and calls");
	a->key = arg_str0("k", "key", "KEY", "API key when the scenario has no organisation");
	a->model = arg_str0(NULL, "model", "NAME", "model to request");
	a->rate = arg_dbl0(NULL, "rate", "N", "generations per second in every phase");
	a->prompt = arg_dbl0(NULL, "prompt-tokens", "N", "mean prompt size in every phase");
	a->output = arg_dbl0(NULL, "output-tokens", "N", "mean output size in every phase");
	a->duration =
		arg_dbl0("d", "duration-s", "S", "time during which requests are started (10)");
	a->drain = arg_dbl0(NULL, "drain-s", "S", "time for requests in flight to complete (60)");
	a->concurrency =
		arg_int0("c", "concurrency", "N", "closed loop with N generations in flight");
	a->seed = arg_int0(NULL, "seed", "N", "seed of arrivals and sizes");
	a->ttft = arg_int0(NULL, "ttft-ms", "MS", "goodput limit of the time to first token (640)");
	a->gap = arg_int0(NULL, "gap-ms", "MS",
			  "goodput limit of the mean time between tokens (59)");
	a->timeout = arg_int0(NULL, "timeout-ms", "MS", "timeout of one request (120000)");
	a->run_id = arg_str0(NULL, "run-id", "ID", "included in keys and prompts (random)");
	a->direct = arg_lit0(NULL, "direct", "the targets are engines");
	a->json = arg_lit0(NULL, "json", "print the report as JSON");
	a->record = arg_file0(NULL, "record", "FILE", "write one line of JSON per request");
	a->help = arg_lit0("h", "help", "print this help");
	a->urls = arg_strn(NULL, NULL, "URL", 1, LOAD_TARGETS_MAX, "base URLs, used round-robin");
	a->end = arg_end(20);
}

static void scenario_override(const struct arguments *a, struct scenario *s)
{
	for (int i = 0; i < s->phase_count; i++) {
		struct scenario_phase *p = &s->phases[i];

		if (a->rate->count)
			p->rate = a->rate->dval[0];
		if (a->prompt->count)
			p->prompt_tokens = a->prompt->dval[0];
		if (a->output->count)
			p->output_tokens = a->output->dval[0];
	}
	if (a->seed->count)
		s->seed = (uint64_t)a->seed->ival[0];
	if (a->model->count)
		str_copy(s->model, sizeof(s->model), str_from(a->model->sval[0]));
	if (a->key->count && !s->organisation_count) {
		s->organisations[s->organisation_count++] = (struct scenario_organisation){
			.name = "all", .weight = 1, .arrival_factor = 1
		};
		str_copy(s->organisations[0].key, sizeof(s->organisations[0].key),
			 str_from(a->key->sval[0]));
	}
}

static void options_read(const struct arguments *a, struct load_options *o)
{
	load_options_defaults(o);
	o->url_count = a->urls->count;
	for (int i = 0; i < o->url_count; i++)
		o->urls[i] = a->urls->sval[i];
	o->targets_are_engines = a->direct->count > 0;
	if (a->concurrency->count)
		o->concurrency = a->concurrency->ival[0];
	if (a->duration->count)
		o->duration_s = a->duration->dval[0];
	if (a->drain->count)
		o->drain_s = a->drain->dval[0];
	if (a->timeout->count)
		o->timeout_ms = a->timeout->ival[0];
	if (a->ttft->count)
		o->ttft_limit_ms = a->ttft->ival[0];
	if (a->gap->count)
		o->mean_gap_limit_ms = a->gap->ival[0];
}

static int run_and_report(const struct arguments *a, const struct scenario *s,
			  const struct load_options *o)
{
	struct load_result result = { 0 };
	struct error err = { 0 };
	json_t *report = NULL;
	int rc = 2;

	if (load_run(s, o, &result, &err) < 0)
		goto out;
	if (a->record->count && report_records_write(a->record->filename[0], s, &result, &err) < 0)
		goto out;
	report = report_json(s, o, &result);
	if (a->json->count) {
		json_dumpf(report, stdout, JSON_INDENT(2));
		putchar('\n');
	} else {
		report_table_print(stdout, report);
	}
	rc = report_is_correct(&result) ? 0 : 1;
out:
	if (rc == 2)
		fprintf(stderr, "ibisgate-load: %s\n", err.text);
	json_decref(report);
	load_result_free(&result);
	return rc;
}

int main(int argc, char **argv)
{
	static struct scenario scenario;
	struct load_options options;
	struct error err = { 0 };
	struct arguments a;
	char run_id[20];
	int rc = 2;

	arguments_init(&a);
	if (arg_parse(argc, argv, (void **)&a) && !a.help->count) {
		arg_print_errors(stderr, a.end, "ibisgate-load");
		goto out;
	}
	if (a.help->count) {
		printf("usage: ibisgate-load");
		arg_print_syntax(stdout, (void **)&a, "\n");
		arg_print_glossary(stdout, (void **)&a, "  %-24s %s\n");
		rc = 0;
		goto out;
	}
	scenario_defaults(&scenario);
	if (a.scenario->count &&
	    scenario_load(&scenario, a.scenario->filename[0], stderr, &err) < 0) {
		fprintf(stderr, "ibisgate-load: %s\n", err.text);
		goto out;
	}
	scenario_override(&a, &scenario);
	options_read(&a, &options);
	snprintf(run_id, sizeof(run_id), "%016llx", (unsigned long long)random_u64());
	options.run_id = a.run_id->count ? a.run_id->sval[0] : run_id;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run_and_report(&a, &scenario, &options);
	curl_global_cleanup();
out:
	arg_freetable((void **)&a, sizeof(a) / sizeof(void *));
	return rc;
}
