#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "faults.h"
#include "ibisgate/common/json.h"

#define CALLER_SLACK_MS 500

static int64_t record_start_ms(const struct faults *r, const struct load_record *rec)
{
	return r->start_ms + rec->start_us / 1000;
}

static int64_t record_end_ms(const struct faults *r, const struct load_record *rec)
{
	return r->start_ms + rec->end_us / 1000;
}

/* The caller's own instance was killed, or had ended gracefully before the request began. */
static bool instance_lost(const struct faults *r, const struct load_record *rec)
{
	int64_t start = record_start_ms(r, rec);
	int64_t end = record_end_ms(r, rec);

	for (int i = 0; i < r->window_count; i++) {
		const struct window *w = &r->windows[i];

		if (w->kind == FAULT_KILL && w->instance == rec->target &&
		    w->from_ms <= end + CALLER_SLACK_MS &&
		    (!w->to_ms || w->to_ms + CALLER_SLACK_MS >= start))
			return true;
	}
	for (int i = 0; i < r->graceful_count; i++) {
		const struct graceful *g = &r->graceful[i];

		if (g->instance == rec->target && g->exit_ms && start >= g->exit_ms &&
		    start <= g->back_ms + CALLER_SLACK_MS)
			return true;
	}
	return false;
}

static const struct graceful *stopping(const struct faults *r, const struct load_record *rec)
{
	for (int i = 0; i < r->graceful_count; i++) {
		const struct graceful *g = &r->graceful[i];

		if (g->instance == rec->target && record_end_ms(r, rec) >= g->from_ms &&
		    record_start_ms(r, rec) <= g->exit_ms)
			return g;
	}
	return NULL;
}

static void record_violation(struct faults *r, int promise, const struct load_record *rec,
			     const char *what)
{
	faults_violation(r, promise,
			 "%s: %s %s at i%d (request %s, endpoint %s) from %.2f s to %.2f s: %s, "
			 "fault %s, status %d %s %s",
			 what, rec->call ? "call" : "generation", rec->key, rec->target + 1,
			 rec->request_id, rec->endpoint, (double)rec->start_us / 1e6,
			 (double)rec->end_us / 1e6, load_outcome_name(rec->outcome),
			 check_fault_name(rec->fault), rec->status, rec->type, rec->code);
}

static void check_answer(struct faults *r, const struct load_record *rec)
{
	bool told = rec->outcome == LOAD_CUT && rec->fault == CHECK_ERROR_EVENT;

	switch (rec->outcome) {
	case LOAD_WRONG:
		record_violation(r, rec->call ? 6 : 4, rec, "wrong answer");
		break;
	case LOAD_CUT:
	case LOAD_LOST:
		if (told || instance_lost(r, rec))
			break;
		record_violation(r, stopping(r, rec) ? 8 : 4, rec, "answer cut off");
		break;
	default:
		break;
	}
	if (r->whole && !rec->call && rec->outcome != LOAD_WHOLE)
		record_violation(r, 4, rec, "not whole although an engine was free");
	if (rec->outcome == LOAD_CUT && strcmp(rec->type, "not_run") == 0 && rec->ttft_us >= 0)
		record_violation(r, 5, rec, "\"not run\" after text was delivered");
	if (record_start_ms(r, rec) > r->heal_ms + FAULTS_RECOVERY_MS && rec->outcome != LOAD_WHOLE)
		record_violation(r, 0, rec, "no recovery");
}

/* Request ids with an attempt that may have run. */
static json_t *maybe_ran(const struct faults *r)
{
	json_t *ids = json_object();
	const json_t *o;
	size_t i;

	json_array_foreach(r->events, i, o) {
		if (strcmp(json_get_cstr(o, "kind", ""), "attempt-failed") == 0 &&
		    strstr(json_get_cstr(o, "detail", ""), "sent=maybe"))
			json_object_set(ids, json_get_cstr(o, "request", ""), (json_t *)o);
	}
	return ids;
}

static void print_outcomes(const struct faults *r)
{
	int counts[2][LOAD_OUTCOMES] = { 0 };
	int64_t told = 0;
	int64_t innocent = 0;
	int64_t last_ms = 0;

	for (size_t i = 0; i < r->result.count; i++) {
		const struct load_record *rec = &r->result.records[i];

		counts[rec->call][rec->outcome]++;
		innocent += strcmp(rec->code, "quarantined") == 0;
		told += rec->outcome == LOAD_CUT && rec->fault == CHECK_ERROR_EVENT;
		if (rec->outcome != LOAD_WHOLE && record_start_ms(r, rec) > last_ms)
			last_ms = record_start_ms(r, rec);
	}
	for (int call = 0; call < 2; call++) {
		printf("%s:", call ? "calls" : "generations");
		for (int i = 0; i < LOAD_OUTCOMES; i++)
			printf(" %s %d", load_outcome_name((enum load_outcome)i), counts[call][i]);
		printf("\n");
	}
	printf("streams ended with an error event: %lld\n", (long long)told);
	/* None of them crashes an engine; they ran beside one that does. */
	printf("other requests refused as crashing: %lld\n", (long long)innocent);
	printf("last request that was not whole began %.2f s after the last fault\n",
	       last_ms > r->heal_ms ? (double)(last_ms - r->heal_ms) / 1000 : 0.0);
}

void faults_check_answers(struct faults *r)
{
	json_t *ids = maybe_ran(r);

	print_outcomes(r);
	for (size_t i = 0; i < r->result.count; i++) {
		const struct load_record *rec = &r->result.records[i];
		const json_t *o;

		check_answer(r, rec);
		o = json_object_get(ids, rec->request_id);
		if (strcmp(rec->type, "not_run") == 0 && o)
			record_violation(r, 5, rec, json_get_cstr(o, "detail", ""));
	}
	json_decref(ids);
}

/* All effects of all workers, by key and by request id. */
static void effects_read(struct faults *r, json_t *by_key, json_t *by_request)
{
	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		const struct harness_endpoint *e = &r->fleet->endpoints[i];
		const json_t *o;
		char url[128];
		json_t *all;
		size_t k;

		if (!e->service)
			continue;
		snprintf(url, sizeof(url), "%s/effects", e->url);
		all = harness_get(url);
		json_array_foreach(json_object_get(all, "effects"), k, o) {
			const char *key = json_get_cstr(o, "key", "");
			json_t *list = json_object_get(by_key, key);

			if (!list) {
				list = json_array();
				json_object_set_new(by_key, key, list);
			}
			json_object_set_new((json_t *)o, "endpoint", json_string(e->name));
			json_array_append(list, (json_t *)o);
			json_object_set(by_request, json_get_cstr(o, "request_id", ""),
					(json_t *)o);
		}
		json_decref(all);
	}
}

static void check_call(struct faults *r, const struct load_record *rec, const json_t *by_key,
		       const json_t *by_request)
{
	const json_t *list = json_object_get(by_key, rec->key);
	size_t n = json_array_size(list);

	if (n > 1 && !rec->repeat)
		record_violation(r, 6, rec, "more than one effect");
	if (rec->outcome == LOAD_WHOLE && n != 1)
		record_violation(r, 6, rec, "an answer without exactly one effect");
	else if (rec->outcome == LOAD_WHOLE &&
		 json_get_i64(json_array_get(list, 0), "effect", -1) != rec->effect)
		record_violation(r, 6, rec, "the answer names another effect");
	if (strcmp(rec->type, "not_run") == 0 && rec->request_id[0] &&
	    json_object_get(by_request, rec->request_id))
		record_violation(r, 5, rec, "\"not run\" with an effect");
}

void faults_check_calls(struct faults *r)
{
	json_t *by_key = json_object();
	json_t *by_request = json_object();

	effects_read(r, by_key, by_request);
	for (size_t i = 0; i < r->result.count; i++) {
		if (r->result.records[i].call)
			check_call(r, &r->result.records[i], by_key, by_request);
	}
	printf("effects: %zu keys\n", json_object_size(by_key));
	json_decref(by_key);
	json_decref(by_request);
}
