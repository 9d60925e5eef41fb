#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mix.h"

/*
 * Measures goodput while the proportion of prompt to output tokens shifts. Each configuration has
 * its own deployment and gets the same arrivals. Several configurations run at the same time, and
 * results are compared only within one run. All times are shorter than in production: phases take
 * 30 s, role changes 1.5 s and streams a few seconds.
 */

static const char *const round_robin[] = {
	"route.method", "round-robin", "role.policy", "fixed", "admission.enabled", "0", NULL
};
static const char *const least_inflight[] = {
	"route.method", "least-inflight", "role.policy", "fixed", "admission.enabled", "0", NULL
};
static const char *const greedy[] = { "route.method", "expected-finish", "role.policy", "greedy",
				      NULL };

const struct mix_config mix_configs[MIX_CONFIGS] = {
	{ 'a', "round-robin, fixed", NULL, round_robin },
	{ 'b', "least-inflight, fixed", NULL, least_inflight },
	{ 'c', "expected-finish, greedy", NULL, greedy },
	{ 'd', "preset goodput", "goodput.conf", NULL },
	{ 'e', "preset few-changes", "few-changes.conf", NULL },
};

struct bench {
	int deployment;
	bool quick;
	bool verbose;
	int parallel;
	const char *config_letters;
	double goodput_ratio;
	int64_t changes[MIX_CONFIGS];
};

static bool is_config_selected(const struct bench *b, const struct mix_config *c)
{
	return !b->config_letters || strchr(b->config_letters, c->letter);
}

static int parallel_runs_execute(struct mix_run *runs, int count)
{
	int rc = 0;

	for (int i = 0; i < count && !rc; i++)
		rc = mix_run_start(&runs[i]);
	if (!rc)
		rc = mix_run_load(runs, count);
	for (int i = 0; i < count; i++) {
		if (runs[i].err.text[0])
			fprintf(stderr, "bench-mix: %c: %s\n", runs[i].config->letter,
				runs[i].err.text);
		mix_run_stop(&runs[i]);
	}
	return rc;
}

static int plan_run(struct bench *b, const struct mix_plan *plan, struct mix_run runs[MIX_CONFIGS],
		    int *count)
{
	int rc = 0;

	memset(runs, 0, sizeof(*runs) * MIX_CONFIGS);
	*count = 0;
	for (int i = 0; i < MIX_CONFIGS; i++) {
		if (is_config_selected(b, &mix_configs[i]))
			runs[(*count)++] =
				(struct mix_run){ .plan = plan, .config = &mix_configs[i] };
	}
	for (int i = 0; i < *count && !rc; i += b->parallel) {
		int n = *count - i < b->parallel ? *count - i : b->parallel;

		rc = parallel_runs_execute(&runs[i], n);
	}
	return rc;
}

static const struct mix_run *run_find(const struct mix_run *runs, int count, char letter)
{
	for (int i = 0; i < count; i++) {
		if (runs[i].config->letter == letter)
			return &runs[i];
	}
	return NULL;
}

static double good_requests_of(const struct mix_run *runs, int count, char letter)
{
	const struct mix_run *run = run_find(runs, count, letter);

	return run ? (double)mix_good_requests(run) : 0;
}

static void configs_compare(struct bench *b, const struct mix_run *runs, int count)
{
	double fixed_a = good_requests_of(runs, count, 'a');
	double fixed_b = good_requests_of(runs, count, 'b');
	double best = fixed_a > fixed_b ? fixed_a : fixed_b;
	double d = good_requests_of(runs, count, 'd');
	double e = good_requests_of(runs, count, 'e');

	if (best > 0)
		printf("d over the best of a and b: %.3f\n", d / best);
	if (d > 0)
		printf("e over d: %.3f\n", e / d);
	if (strcmp(runs[0].plan->name, "swing") != 0)
		return;
	b->goodput_ratio = best > 0 ? d / best : 0;
	for (int i = 0; i < count; i++)
		b->changes[runs[i].config->letter - 'a'] = runs[i].role_changes;
}

static int mix_run_one(struct bench *b, const char *mix)
{
	struct mix_plan plan;
	struct mix_run runs[MIX_CONFIGS];
	int count;
	int rc;

	if (!mix_plan_init(&plan, b->deployment, mix, b->quick)) {
		fprintf(stderr, "bench-mix: unknown mix %s or deployment %d\n", mix, b->deployment);
		return -1;
	}
	rc = plan_run(b, &plan, runs, &count);
	if (!rc) {
		mix_report(runs, count, b->verbose);
		configs_compare(b, runs, count);
	}
	for (int i = 0; i < count; i++)
		mix_run_free(&runs[i]);
	return rc;
}

/* Runs the same arrivals of the ordinary organisations first without and then with the flood. */
static int flood_run(struct bench *b)
{
	struct mix_plan plans[2];
	struct mix_run runs[2][MIX_CONFIGS];
	int count = 0;
	int rc = 0;

	mix_plan_init(&plans[0], b->deployment, "calm", b->quick);
	mix_plan_init(&plans[1], b->deployment, "flood", b->quick);
	memset(runs, 0, sizeof(runs));
	for (int i = 0; i < 2 && !rc; i++) {
		rc = plan_run(b, &plans[i], runs[i], &count);
		if (!rc)
			mix_report(runs[i], count, b->verbose);
	}
	for (int i = 0; i < count && !rc; i++) {
		double calm = mix_ordinary_good_share(&runs[0][i], plans[1].flooder);
		double flood = mix_ordinary_good_share(&runs[1][i], plans[1].flooder);

		printf("%c: good share of the ordinary organisations %.3f calm, %.3f flooded, "
		       "kept %.3f\n",
		       runs[0][i].config->letter, calm, flood, calm > 0 ? flood / calm : 0);
	}
	for (int i = 0; i < count; i++) {
		mix_run_free(&runs[0][i]);
		mix_run_free(&runs[1][i]);
	}
	return rc;
}

static int bench_run(struct bench *b, const char *mix)
{
	static const char *const all[] = { "swing", "steady", "flutter", "loss", "flood" };
	int rc = 0;

	for (int i = 0; i < (int)(sizeof(all) / sizeof(all[0])) && !rc; i++) {
		if (strcmp(mix, "all") != 0 && strcmp(mix, all[i]) != 0)
			continue;
		rc = strcmp(all[i], "flood") == 0 ? flood_run(b) : mix_run_one(b, all[i]);
	}
	if (rc)
		return 1;
	printf("goodput_ratio=%.3f role_changes=%lld baseline_role_changes=%lld\n",
	       b->goodput_ratio, (long long)b->changes[3], (long long)b->changes[2]);
	return 0;
}

static bool is_known_mix(const char *mix)
{
	static const char *const names[] = { "all",  "swing", "steady", "flutter",
					     "loss", "flood", NULL };

	for (int i = 0; names[i]; i++) {
		if (strcmp(mix, names[i]) == 0)
			return true;
	}
	return false;
}

int main(int argc, char **argv)
{
	struct bench b = { .deployment = 1, .parallel = 3 };
	struct arg_int *deployment =
		arg_int0(NULL, "deployment", "1|2", "1: de-cymru, 2: cordillera");
	struct arg_str *mix = arg_str0(NULL, "mix", "NAME|all",
				       "swing (default), steady, flutter, flood, loss or all");
	struct arg_lit *quick = arg_lit0(NULL, "quick", "phases of half the length");
	struct arg_lit *verbose = arg_lit0(
		NULL, "verbose", "good requests over time, role decisions and causes of failures");
	struct arg_int *parallel =
		arg_int0(NULL, "parallel", "N", "deployments that run at the same time (3)");
	struct arg_str *only = arg_str0(NULL, "only", "LETTERS", "configurations, e.g. abd");
	struct arg_end *end = arg_end(4);
	void *table[] = { deployment, mix, quick, verbose, parallel, only, end };
	int rc = 2;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "bench-mix");
		goto out;
	}
	if (deployment->count)
		b.deployment = deployment->ival[0];
	b.quick = quick->count > 0;
	b.verbose = verbose->count > 0;
	if (parallel->count && parallel->ival[0] >= 1)
		b.parallel = parallel->ival[0];
	b.config_letters = only->count ? only->sval[0] : NULL;
	if (mix->count && !is_known_mix(mix->sval[0])) {
		fprintf(stderr, "bench-mix: --mix: unknown mix %s\n", mix->sval[0]);
		goto out;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = bench_run(&b, mix->count ? mix->sval[0] : "swing");
	curl_global_cleanup();
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
