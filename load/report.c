#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/load/report.h"

double report_sorted_percentile(const double *values, size_t count, double p)
{
	size_t i = (size_t)(p * (double)count);

	if (!count)
		return 0;
	return values[i < count ? i : count - 1];
}

static int double_cmp(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static json_t *percentiles(double *values, size_t count)
{
	qsort(values, count, sizeof(*values), double_cmp);
	return json_pack("{s:f, s:f, s:f}", "p50", report_sorted_percentile(values, count, 0.50),
			 "p95", report_sorted_percentile(values, count, 0.95), "p99",
			 report_sorted_percentile(values, count, 0.99));
}

static void counter_increment(json_t *counts, const char *name)
{
	json_object_set_new(counts, name, json_integer(json_get_i64(counts, name, 0) + 1));
}

/* Counts the reason given by an error response and the fault of a faulty response. */
static void failure_reason_count(const struct load_record *r, json_t *refusals, json_t *faults)
{
	char name[64];

	if (r->fault != CHECK_OK)
		counter_increment(faults, check_fault_name(r->fault));
	if (r->outcome != LOAD_REFUSED && r->outcome != LOAD_UNKNOWN)
		return;
	if (r->type[0])
		snprintf(name, sizeof(name), "%s%s%s", r->type, r->code[0] ? "/" : "", r->code);
	else
		snprintf(name, sizeof(name), "status %d", r->status);
	counter_increment(refusals, name);
}

/* Summary of the calls or generations of one organisation, or of all when it is -1. */
static json_t *group_json(const struct load_options *o, const struct load_result *res,
			  int organisation, bool call)
{
	double *latency_or_ttft = mem_alloc((res->count + 1) * sizeof(*latency_or_ttft));
	double *gap = mem_alloc((res->count + 1) * sizeof(*gap));
	json_t *out = json_object();
	json_t *refusals = json_object();
	json_t *faults = json_object();
	int64_t outcomes[LOAD_OUTCOME_COUNT] = { 0 };
	int64_t good = 0;
	int64_t requests = 0;
	int64_t tokens = 0;
	int64_t bytes = 0;
	size_t n = 0;

	for (size_t i = 0; i < res->count; i++) {
		const struct load_record *r = &res->records[i];

		if (r->is_call != call || (organisation >= 0 && r->organisation != organisation))
			continue;
		requests++;
		outcomes[r->outcome]++;
		bytes += r->bytes;
		failure_reason_count(r, refusals, faults);
		if (r->outcome != LOAD_WHOLE)
			continue;
		good += load_record_counts_as_goodput(r, o);
		tokens += r->tokens;
		latency_or_ttft[n] = (double)(call ? r->end_us - r->start_us : r->ttft_us) / 1e3;
		gap[n++] = (double)r->gap_mean_us / 1e3;
	}
	json_object_set_new(out, "requests", json_integer(requests));
	for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
		json_object_set_new(out, load_outcome_name((enum load_outcome)i),
				    json_integer(outcomes[i]));
	json_object_set_new(out, "refusals", refusals);
	json_object_set_new(out, "faults", faults);
	json_object_set_new(out, "bytes", json_integer(bytes));
	json_object_set_new(out, call ? "latency_ms" : "ttft_ms", percentiles(latency_or_ttft, n));
	if (!call) {
		json_object_set_new(out, "gap_ms", percentiles(gap, n));
		json_object_set_new(out, "tokens", json_integer(tokens));
		json_object_set_new(out, "good", json_integer(good));
		json_object_set_new(out, "goodput_rps", json_real((double)good / o->duration_s));
		json_object_set_new(out, "good_share",
				    json_real(requests ? (double)good / (double)requests : 0));
	}
	free(latency_or_ttft);
	free(gap);
	return out;
}

json_t *report_json(const struct scenario *s, const struct load_options *o,
		    const struct load_result *result)
{
	json_t *out = group_json(o, result, -1, false);
	json_t *organisations = json_object();

	for (int i = 0; i < s->organisation_count; i++)
		json_object_set_new(organisations, s->organisations[i].name,
				    group_json(o, result, i, false));
	json_object_set_new(out, "organisations", organisations);
	json_object_set_new(out, "calls", group_json(o, result, -1, true));
	json_object_set_new(out, "run_id", json_string(o->run_id));
	json_object_set_new(out, "duration_s", json_real(o->duration_s));
	json_object_set_new(out, "elapsed_s", json_real(result->elapsed_s));
	json_object_set_new(out, "skipped_connects", json_integer(result->skipped_connects));
	json_object_set_new(out, "max_lag_ms", json_real((double)result->max_lag_us / 1e3));
	json_object_set_new(out, "sound", json_boolean(report_is_correct(result)));
	return out;
}

static void row_print(FILE *out, const char *name, const json_t *g)
{
	const json_t *latency_or_ttft = json_object_get(g, "ttft_ms");
	const json_t *gap = json_object_get(g, "gap_ms");

	if (!latency_or_ttft)
		latency_or_ttft = json_object_get(g, "latency_ms");
	fprintf(out, "%-16.16s %8lld %8lld %8lld %6lld %5lld %5lld %8lld %8lld", name,
		(long long)json_get_i64(g, "requests", 0), (long long)json_get_i64(g, "good", 0),
		(long long)json_get_i64(g, "whole", 0), (long long)json_get_i64(g, "wrong", 0),
		(long long)json_get_i64(g, "cut", 0), (long long)json_get_i64(g, "lost", 0),
		(long long)json_get_i64(g, "refused", 0), (long long)json_get_i64(g, "unknown", 0));
	fprintf(out, " %7.1f %7.1f %7.1f", json_get_double(latency_or_ttft, "p50", 0),
		json_get_double(latency_or_ttft, "p95", 0),
		json_get_double(latency_or_ttft, "p99", 0));
	if (gap)
		fprintf(out, " %6.1f %6.1f %6.1f", json_get_double(gap, "p50", 0),
			json_get_double(gap, "p95", 0), json_get_double(gap, "p99", 0));
	fputc('\n', out);
}

static void counts_print(FILE *out, const char *title, const json_t *counts)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)counts, name, value)
		fprintf(out, "%s %s: %lld\n", title, name, (long long)json_integer_value(value));
}

void report_table_print(FILE *out, const json_t *report)
{
	const json_t *calls = json_object_get(report, "calls");
	const char *name;
	json_t *group;

	fprintf(out, "%-16s %8s %8s %8s %6s %5s %5s %8s %8s %23s %20s\n", "", "requests", "good",
		"whole", "wrong", "cut", "lost", "refused", "unknown", "first token p50/p95/p99",
		"gap p50/p95/p99 ms");
	row_print(out, "generations", report);
	json_object_foreach(json_object_get(report, "organisations"), name, group)
		row_print(out, name, group);
	if (json_get_i64(calls, "requests", 0))
		row_print(out, "calls", calls);
	counts_print(out, "refusal", json_object_get(report, "refusals"));
	counts_print(out, "fault", json_object_get(report, "faults"));
	counts_print(out, "call refusal", json_object_get(calls, "refusals"));
	counts_print(out, "call fault", json_object_get(calls, "faults"));
	if (json_get_i64(report, "unreachable", 0))
		fprintf(out, "unreachable: %lld\n",
			(long long)json_get_i64(report, "unreachable", 0));
	fprintf(out,
		"goodput %.2f/s (%.1f%%), elapsed %.1f s, connects skipped %lld, lag %.1f ms\n",
		json_get_double(report, "goodput_rps", 0),
		100 * json_get_double(report, "good_share", 0),
		json_get_double(report, "elapsed_s", 0),
		(long long)json_get_i64(report, "skipped_connects", 0),
		json_get_double(report, "max_lag_ms", 0));
}

static json_t *record_json(const struct scenario *s, const struct load_record *r)
{
	const char *organisation =
		s->organisation_count ? s->organisations[r->organisation].name : "";

	return json_pack("{s:s, s:s, s:s, s:s, s:b, s:s, s:s, s:i, s:s, s:s, s:s, s:s, s:I, s:I, "
			 "s:I, s:I, s:I, s:I, s:I, s:I}",
			 "key", r->key, "request_id", r->request_id, "kind",
			 r->is_call ? "call" : "generation", "organisation", organisation, "repeat",
			 (int)r->is_repeat, "outcome", load_outcome_name(r->outcome), "fault",
			 check_fault_name(r->fault), "status", r->status, "type", r->type, "code",
			 r->code, "instance", r->instance, "endpoint", r->endpoint, "start_us",
			 (json_int_t)r->start_us, "end_us", (json_int_t)r->end_us, "ttft_us",
			 (json_int_t)r->ttft_us, "gap_mean_us", (json_int_t)r->gap_mean_us,
			 "gap_p95_us", (json_int_t)r->gap_p95_us, "prompt_tokens",
			 (json_int_t)r->prompt_tokens, "tokens", (json_int_t)r->tokens, "effect",
			 (json_int_t)r->effect);
}

int report_records_write(const char *path, const struct scenario *s,
			 const struct load_result *result, struct error *err)
{
	FILE *out = fopen(path, "we");
	int rc = 0;

	if (!out)
		return error_set(err, ERROR_TOOL, 1, "cannot write %s", path);
	for (size_t i = 0; i < result->count; i++) {
		json_t *line = record_json(s, &result->records[i]);

		json_dumpf(line, out, JSON_COMPACT);
		fputc('\n', out);
		json_decref(line);
	}
	if (fclose(out) != 0)
		rc = error_set(err, ERROR_TOOL, 1, "cannot write %s", path);
	return rc;
}

bool report_is_correct(const struct load_result *result)
{
	for (size_t i = 0; i < result->count; i++) {
		switch (result->records[i].outcome) {
		case LOAD_WRONG:
		case LOAD_CUT:
		case LOAD_LOST:
			return false;
		case LOAD_WHOLE:
		case LOAD_REFUSED:
		case LOAD_UNKNOWN:
		case LOAD_UNREACHABLE:
		case LOAD_OUTCOME_COUNT:
			break;
		}
	}
	return true;
}
