#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "faults.h"
#include "ibisgate/common/json.h"

#define CLIENT_SLACK_MS 500

static int64_t record_start_ms(const struct fault_run *r, const struct load_record *rec)
{
	return r->start_ms + rec->start_us / 1000;
}

static int64_t record_end_ms(const struct fault_run *r, const struct load_record *rec)
{
	return r->start_ms + rec->end_us / 1000;
}

/*
 * Whether the instance that the client used was killed, or had stopped gracefully before the
 * request began.
 */
static bool was_instance_lost(const struct fault_run *r, const struct load_record *rec)
{
	int64_t start = record_start_ms(r, rec);
	int64_t end = record_end_ms(r, rec);

	for (int i = 0; i < r->window_count; i++) {
		const struct fault_window *w = &r->windows[i];

		if (w->kind == FAULT_KILL && w->instance == rec->target &&
		    w->from_ms <= end + CLIENT_SLACK_MS &&
		    (!w->to_ms || w->to_ms + CLIENT_SLACK_MS >= start))
			return true;
	}
	for (int i = 0; i < r->graceful_stop_count; i++) {
		const struct graceful_stop *g = &r->graceful_stops[i];

		if (g->instance == rec->target && g->exit_ms && start >= g->exit_ms &&
		    start <= g->restarted_ms + CLIENT_SLACK_MS)
			return true;
	}
	return false;
}

static const struct graceful_stop *graceful_stop_during(const struct fault_run *r,
							const struct load_record *rec)
{
	for (int i = 0; i < r->graceful_stop_count; i++) {
		const struct graceful_stop *g = &r->graceful_stops[i];

		if (g->instance == rec->target && record_end_ms(r, rec) >= g->from_ms &&
		    record_start_ms(r, rec) <= g->exit_ms)
			return g;
	}
	return NULL;
}

static void record_violation(struct fault_run *r, int promise, const struct load_record *rec,
			     const char *what)
{
	faults_violation(r, promise,
			 "%s: %s %s at i%d (request %s, endpoint %s) from %.2f s to %.2f s: %s, "
			 "fault %s, status %d %s %s",
			 what, rec->is_call ? "call" : "generation", rec->key, rec->target + 1,
			 rec->request_id, rec->endpoint, (double)rec->start_us / 1e6,
			 (double)rec->end_us / 1e6, load_outcome_name(rec->outcome),
			 check_fault_name(rec->fault), rec->status, rec->type, rec->code);
}

static void check_response(struct fault_run *r, const struct load_record *rec)
{
	bool has_error_event = rec->outcome == LOAD_CUT && rec->fault == CHECK_ERROR_EVENT;

	switch (rec->outcome) {
	case LOAD_WRONG:
		record_violation(r, rec->is_call ? 6 : 4, rec, "wrong answer");
		break;
	case LOAD_CUT:
	case LOAD_LOST:
		if (has_error_event || was_instance_lost(r, rec))
			break;
		record_violation(r, graceful_stop_during(r, rec) ? 8 : 4, rec, "answer cut off");
		break;
	default:
		break;
	}
	if (r->requires_whole && !rec->is_call && rec->outcome != LOAD_WHOLE)
		record_violation(r, 4, rec, "not whole although an engine was free");
	if (rec->outcome == LOAD_CUT && strcmp(rec->type, "not_run") == 0 && rec->ttft_us >= 0)
		record_violation(r, 5, rec, "\"not run\" after text was delivered");
	if (record_start_ms(r, rec) > r->faults_end_ms + FAULTS_RECOVERY_MS &&
	    rec->outcome != LOAD_WHOLE)
		record_violation(r, 0, rec, "no recovery");
}

/* Returns the ids of requests with a failed attempt that an endpoint may have executed. */
static json_t *possibly_run_requests(const struct fault_run *r)
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

static void outcomes_print(const struct fault_run *r)
{
	int counts[2][LOAD_OUTCOME_COUNT] = { 0 };
	int64_t error_events = 0;
	int64_t wrongly_quarantined = 0;
	int64_t last_ms = 0;

	for (size_t i = 0; i < r->result.count; i++) {
		const struct load_record *rec = &r->result.records[i];

		counts[rec->is_call][rec->outcome]++;
		wrongly_quarantined += strcmp(rec->code, "quarantined") == 0;
		error_events += rec->outcome == LOAD_CUT && rec->fault == CHECK_ERROR_EVENT;
		if (rec->outcome != LOAD_WHOLE && record_start_ms(r, rec) > last_ms)
			last_ms = record_start_ms(r, rec);
	}
	for (int call = 0; call < 2; call++) {
		printf("%s:", call ? "calls" : "generations");
		for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
			printf(" %s %d", load_outcome_name((enum load_outcome)i), counts[call][i]);
		printf("\n");
	}
	printf("streams ended with an error event: %lld\n", (long long)error_events);
	/* These requests do not crash an engine; they only ran on it next to one that does. */
	printf("other requests refused as crashing: %lld\n", (long long)wrongly_quarantined);
	printf("last request that was not whole began %.2f s after the last fault\n",
	       last_ms > r->faults_end_ms ? (double)(last_ms - r->faults_end_ms) / 1000 : 0.0);
}

void faults_check_responses(struct fault_run *r)
{
	json_t *ids = possibly_run_requests(r);

	outcomes_print(r);
	for (size_t i = 0; i < r->result.count; i++) {
		const struct load_record *rec = &r->result.records[i];
		const json_t *o;

		check_response(r, rec);
		o = json_object_get(ids, rec->request_id);
		if (strcmp(rec->type, "not_run") == 0 && o)
			record_violation(r, 5, rec, json_get_cstr(o, "detail", ""));
	}
	json_decref(ids);
}

/* Reads the effects of all service endpoints, indexed by idempotency key and by request id. */
static void effects_read(struct fault_run *r, json_t *by_key, json_t *by_request)
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
		all = harness_json_get(url);
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

static void check_call(struct fault_run *r, const struct load_record *rec, const json_t *by_key,
		       const json_t *by_request)
{
	const json_t *list = json_object_get(by_key, rec->key);
	size_t n = json_array_size(list);

	if (n > 1 && !rec->is_repeat)
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

void faults_check_calls(struct fault_run *r)
{
	json_t *by_key = json_object();
	json_t *by_request = json_object();

	effects_read(r, by_key, by_request);
	for (size_t i = 0; i < r->result.count; i++) {
		if (r->result.records[i].is_call)
			check_call(r, &r->result.records[i], by_key, by_request);
	}
	printf("effects: %zu keys\n", json_object_size(by_key));
	json_decref(by_key);
	json_decref(by_request);
}
