#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "faults.h"
#include "ibisgate/common/json.h"
#include "ibisgate/load/report.h"

#define DELAYS_MAX (FAULTS_CHANGES_MAX * FAULTS_INSTANCES)

static int double_cmp(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void check_version_monotonic(struct fault_run *r)
{
	struct version_sample last[FAULTS_INSTANCES] = { 0 };

	for (size_t i = 0; i < r->sample_count; i++) {
		const struct version_sample *s = &r->samples[i];
		struct version_sample *l = &last[s->instance];

		if (l->incarnation == s->incarnation && s->version < l->version)
			faults_violation(r, 9, "i%d went from version %lld back to %lld",
					 s->instance + 1, (long long)l->version,
					 (long long)s->version);
		*l = *s;
	}
}

/* Each change that a process applies has to have a higher version than the previous one. */
static void check_applied_order(struct fault_run *r)
{
	json_t *last = json_object();
	const json_t *o;
	size_t i;

	json_array_foreach(r->events, i, o) {
		char process[64];
		int64_t before;
		int64_t version;

		if (strcmp(json_get_cstr(o, "kind", ""), "config-change") != 0)
			continue;
		snprintf(process, sizeof(process), "%s/%lld", json_get_cstr(o, "instance", ""),
			 (long long)json_get_i64(o, "process", 0));
		before = json_get_i64(last, process, 0);
		version = strtoll(json_get_cstr(o, "detail", "version=0") + strlen("version="),
				  NULL, 10);
		if (version <= before)
			faults_violation(r, 9, "%s applied version %lld after %lld", process,
					 (long long)version, (long long)before);
		json_object_set_new(last, process, json_integer((json_int_t)version));
	}
	json_decref(last);
}

static void check_races(struct fault_run *r)
{
	for (int i = 0; i < r->change_count; i++) {
		const struct posted_change *a = &r->changes[i];

		for (int k = 0; a->status == 200 && k < i; k++) {
			const struct posted_change *b = &r->changes[k];

			if (b->status == 200 && a->version == b->version)
				faults_violation(r, 9, "%s and %s were both accepted as %lld",
						 a->key, b->key, (long long)a->version);
			if (b->status == 200 && a->race && a->race == b->race)
				faults_violation(r, 9, "both sides of race %d were accepted",
						 a->race);
		}
	}
}

/* Whether another change of the same key may have replaced the value of this one. */
static bool may_be_overwritten(const struct fault_run *r, int index)
{
	const struct posted_change *c = &r->changes[index];

	for (int i = 0; i < r->change_count; i++) {
		const struct posted_change *o = &r->changes[i];

		if (i != index && strcmp(o->key, c->key) == 0 &&
		    ((o->status == 200 && o->version > c->version) || o->status == 504 ||
		     o->status == 0))
			return true;
	}
	return false;
}

static void check_changes_in_force(struct fault_run *r, int instance)
{
	char url[128];
	json_t *config;
	const json_t *items;

	snprintf(url, sizeof(url), "%s/admin/config", r->fleet->instances[instance].admin);
	config = harness_json_get(url);
	items = json_object_get(config, "items");
	for (int i = 0; i < r->change_count; i++) {
		const struct posted_change *c = &r->changes[i];
		const json_t *now = json_object_get(items, c->key);

		if (c->status == 200 && !may_be_overwritten(r, i) &&
		    !(json_is_null(c->value) ? now == NULL : json_equal(now, c->value)))
			faults_violation(r, 9, "accepted change %lld of %s is not in force at i%d",
					 (long long)c->version, c->key, instance + 1);
		/* Values of a race are unique, so a refused value must not be in force. */
		if (c->race && (c->status == 409 || c->status == 503) && json_equal(now, c->value))
			faults_violation(r, 9, "refused change of %s (%d) is in force at i%d",
					 c->key, c->status, instance + 1);
	}
	json_decref(config);
}

/*
 * Time at which @instance first had @version or a later one, by the samples and the events;
 * 0 if that was not observed.
 */
static int64_t first_in_force_ms(const struct fault_run *r, int instance, int64_t version)
{
	int64_t first = 0;
	char id[16];
	char detail_prefix[48];
	const json_t *o;
	size_t i;

	for (size_t k = 0; k < r->sample_count && !first; k++) {
		if (r->samples[k].instance == instance && r->samples[k].version >= version)
			first = r->samples[k].at_ms;
	}
	snprintf(id, sizeof(id), "i%d", instance + 1);
	snprintf(detail_prefix, sizeof(detail_prefix), "version=%lld ", (long long)version);
	json_array_foreach(r->events, i, o) {
		int64_t at = json_get_i64(o, "time_ms", 0);

		if ((!first || at < first) &&
		    strcmp(json_get_cstr(o, "kind", ""), "config-change") == 0 &&
		    strcmp(json_get_cstr(o, "instance", ""), id) == 0 &&
		    strncmp(json_get_cstr(o, "detail", ""), detail_prefix, strlen(detail_prefix)) ==
			    0)
			first = at;
	}
	return first;
}

static int propagation_delays(struct fault_run *r, const struct posted_change *c, double *out)
{
	int64_t at[FAULTS_INSTANCES];
	int64_t first = INT64_MAX;
	int n = 0;

	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		at[i] = first_in_force_ms(r, i, c->version);
		if (at[i] && at[i] < first)
			first = at[i];
	}
	for (int i = 0; i < FAULTS_INSTANCES && first != INT64_MAX; i++) {
		int64_t seen = at[i] ? at[i] : INT64_MAX / 2;

		if (faults_instance_affected(r, i, first - 1000, seen))
			continue;
		out[n++] = (double)(seen - first);
		if (seen - first > FAULTS_CONFIG_BOUND_MS)
			faults_violation(r, 9, "version %lld took %lld ms to be in force at i%d",
					 (long long)c->version, (long long)(seen - first), i + 1);
	}
	return n;
}

void faults_check_config(struct fault_run *r)
{
	double *values = mem_alloc(DELAYS_MAX * sizeof(*values));
	int accepted = 0;
	int n = 0;

	check_version_monotonic(r);
	check_applied_order(r);
	check_races(r);
	for (int i = 0; i < FAULTS_INSTANCES; i++)
		check_changes_in_force(r, i);
	for (int i = 0; i < r->change_count; i++) {
		if (r->changes[i].status != 200)
			continue;
		accepted++;
		n += propagation_delays(r, &r->changes[i], values + n);
	}
	qsort(values, (size_t)n, sizeof(*values), double_cmp);
	printf("configuration: %d changes sent, %d accepted; in force outside of faults after p50 "
	       "%.0f p95 %.0f max %.0f ms (%d values)\n",
	       r->change_count, accepted, report_sorted_percentile(values, (size_t)n, 0.5),
	       report_sorted_percentile(values, (size_t)n, 0.95),
	       report_sorted_percentile(values, (size_t)n, 1), n);
	free(values);
}
