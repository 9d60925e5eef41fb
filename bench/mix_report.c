#include <stdio.h>

#include "ibisgate/common/json.h"
#include "mix.h"

#define BUCKET_S 3
#define BUCKETS_MAX 64
/*
 * Longest time of a refusal on arrival, also on a busy machine. A refusal after a wait in the queue
 * takes much longer.
 */
#define ARRIVAL_REFUSAL_MAX_MS 50

int64_t mix_good_requests(const struct mix_run *run)
{
	int64_t n = 0;

	for (size_t i = 0; i < run->result.count; i++)
		n += load_record_counts_as_goodput(&run->result.records[i], &run->options);
	return n;
}

double mix_ordinary_good_share(const struct mix_run *run, int flooder)
{
	int64_t good = 0;
	int64_t all = 0;

	for (size_t i = 0; i < run->result.count; i++) {
		const struct load_record *r = &run->result.records[i];

		if (r->organisation == flooder)
			continue;
		all++;
		good += load_record_counts_as_goodput(r, &run->options);
	}
	return all ? (double)good / (double)all : 0;
}

struct bucket {
	int requests;
	int good;
	int refused;
	int late_first_token;
	int slow_gap;
};

static void bucket_count(struct bucket *b, const struct load_record *r,
			 const struct load_options *o)
{
	b->requests++;
	b->good += load_record_counts_as_goodput(r, o);
	b->refused += r->outcome == LOAD_REFUSED;
	if (r->outcome != LOAD_WHOLE)
		return;
	b->late_first_token += r->ttft_us > o->ttft_limit_ms * 1000;
	b->slow_gap += r->gap_mean_us > o->mean_gap_limit_ms * 1000;
}

static void buckets_print(const struct mix_run *run)
{
	struct bucket buckets[BUCKETS_MAX] = { 0 };

	for (size_t i = 0; i < run->result.count; i++) {
		int64_t at = run->result.records[i].start_us / 1000000 / BUCKET_S;

		if (at >= 0 && at < BUCKETS_MAX)
			bucket_count(&buckets[at], &run->result.records[i], &run->options);
	}
	printf("  %c, seconds: good%% refused/late/slow%%:", run->config->letter);
	for (int i = 0; i < BUCKETS_MAX; i++) {
		const struct bucket *b = &buckets[i];

		if (b->requests)
			printf(" %d:%d,%d/%d/%d", i * BUCKET_S, 100 * b->good / b->requests,
			       100 * b->refused / b->requests,
			       100 * b->late_first_token / b->requests,
			       100 * b->slow_gap / b->requests);
	}
	printf("\n");
}

static void decisions_print(const struct mix_run *run)
{
	json_t *o;
	size_t i;

	json_array_foreach(run->decisions, i, o) {
		double at_s = (double)(json_get_i64(o, "time_ms", 0) - run->load_start_ms) / 1000.0;

		printf("  %c, change %zu at %.1f s: %s %s\n", run->config->letter, i + 1, at_s,
		       json_get_cstr(o, "endpoint", ""), json_get_cstr(o, "detail", ""));
	}
}

/**
 * struct reason_counts - number of requests by the reason why they did not count as good
 * @on_arrival: refused within ARRIVAL_REFUSAL_MAX_MS, so without a wait in the queue
 * @after_wait: refused later than that
 * @late_first_token: completed, but the time to first token exceeded its limit
 * @slow_gap: first token in time, but the mean time between tokens exceeded its limit
 */
struct reason_counts {
	int requests;
	int good;
	int on_arrival;
	int after_wait;
	int late_first_token;
	int slow_gap;
};

static void reasons_count(struct reason_counts *c, const struct load_record *r,
			  const struct load_options *o)
{
	c->requests++;
	c->good += load_record_counts_as_goodput(r, o);
	if (r->outcome == LOAD_REFUSED && r->end_us - r->start_us <= ARRIVAL_REFUSAL_MAX_MS * 1000)
		c->on_arrival++;
	else if (r->outcome == LOAD_REFUSED)
		c->after_wait++;
	else if (r->outcome == LOAD_WHOLE && r->ttft_us > o->ttft_limit_ms * 1000)
		c->late_first_token++;
	else if (r->outcome == LOAD_WHOLE)
		c->slow_gap += r->gap_mean_us > o->mean_gap_limit_ms * 1000;
}

static void reasons_print(const struct mix_run *run, const char *name, int target, bool flooder)
{
	struct reason_counts c = { 0 };

	for (size_t i = 0; i < run->result.count; i++) {
		const struct load_record *r = &run->result.records[i];

		if ((r->organisation == run->plan->flooder) == flooder &&
		    (target < 0 || r->target == target))
			reasons_count(&c, r, &run->options);
	}
	printf("  %c, %s: requests %d good %d, refused on arrival %d after waiting %d, late %d "
	       "slow %d\n",
	       run->config->letter, name, c.requests, c.good, c.on_arrival, c.after_wait,
	       c.late_first_token, c.slow_gap);
}

/* Distinguishes refusals by the check on arrival from refusals after a wait in a queue. */
static void all_reasons_print(const struct mix_run *run)
{
	const char *reason;
	json_t *count;
	char name[32];

	for (int i = 0; i < run->options.url_count; i++) {
		snprintf(name, sizeof(name), "ordinary, instance %d", i);
		reasons_print(run, name, i, false);
	}
	reasons_print(run, "ordinary, all", -1, false);
	if (run->plan->flooder >= 0)
		reasons_print(run, "flooder", -1, true);
	printf("  %c, ordinary, refused by:", run->config->letter);
	json_object_foreach(run->refusals, reason, count)
		printf(" %s %lld", reason, (long long)json_integer_value(count));
	printf("\n");
}

static void row_print(const struct mix_run *run)
{
	json_t *report = report_json(&run->plan->scenario, &run->options, &run->result);
	double bound = mix_goodput_bound(run->plan, &run->result);
	double good = (double)mix_good_requests(run);

	printf("%c %-24s %9.2f %7.1f %7.3f %9.0f %8.1f %8lld %8lld %8lld %8.0f\n",
	       run->config->letter, run->config->name, good / run->plan->duration_s,
	       100 * json_get_double(report, "good_share", 0), bound > 0 ? good / bound : 0,
	       json_get_double(json_object_get(report, "ttft_ms"), "p95", 0),
	       json_get_double(json_object_get(report, "gap_ms"), "p95", 0),
	       (long long)json_get_i64(report, "refused", 0),
	       (long long)(json_get_i64(report, "requests", 0) - json_get_i64(report, "whole", 0) -
			   json_get_i64(report, "refused", 0)),
	       (long long)run->role_changes, json_get_double(report, "max_lag_ms", 0));
	json_decref(report);
}

void mix_report(const struct mix_run *runs, int count, bool verbose)
{
	const struct mix_plan *plan = runs[0].plan;

	printf("\nmix %s, %s, %d engines, %d of them prefill at the start, %.0f s\n", plan->name,
	       plan->deployment.region, MIX_ENGINES, plan->prefill, plan->duration_s);
	for (int i = 0; i < plan->scenario.phase_count && i < 4; i++) {
		const struct scenario_phase *p = &plan->scenario.phases[i];

		printf("  from %.0f s: %.0f/s, prompts of %.0f and outputs of %.0f tokens\n",
		       p->start_s, p->rate, p->prompt_tokens, p->output_tokens);
	}
	if (plan->scenario.phase_count > 4)
		printf("  and so on, %d phases\n", plan->scenario.phase_count);
	printf("  upper bound (best split in each phase, free changes): %.2f/s\n",
	       mix_goodput_bound(plan, &runs[0].result) / plan->duration_s);
	printf("%-26s %9s %7s %7s %9s %8s %8s %8s %8s %8s\n", "", "goodput/s", "good %", "of bound",
	       "ttft p95", "gap p95", "refused", "failed", "changes", "lag ms");
	for (int i = 0; i < count; i++)
		row_print(&runs[i]);
	for (int i = 0; verbose && i < count; i++) {
		buckets_print(&runs[i]);
		decisions_print(&runs[i]);
		all_reasons_print(&runs[i]);
	}
	fflush(stdout);
}
