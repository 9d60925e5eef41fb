#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "faults.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

#define POLL_MS 200
#define TIMEOUT_MS 1000
#define INTENT_POLLS_MAX 100000

static void sample_add(struct fault_run *r, const struct version_sample *s)
{
	if (r->sample_count == r->sample_cap) {
		r->sample_cap = r->sample_cap ? 2 * r->sample_cap : 4096;
		r->samples = mem_resize(r->samples, r->sample_cap * sizeof(*r->samples));
	}
	r->samples[r->sample_count++] = *s;
}

/* Adds the state of the endpoints at an instance to the timeline whenever it has changed. */
static void endpoints_record(struct fault_run *r, int instance, const json_t *status)
{
	static char last[FAULTS_INSTANCES][2048];
	const json_t *o;
	struct buf text = { 0 };
	size_t i;

	json_array_foreach(json_object_get(status, "endpoints"), i, o)
		buf_printf(&text, "%s:%s:%s:%s%s ", json_get_cstr(o, "name", ""),
			   json_get_cstr(o, "role", ""), json_get_cstr(o, "circuit", ""),
			   json_get_bool(o, "stopped", false) ? "stopped" : "",
			   json_get_cstr(o, "stop_order", ""));
	if (text.len && strncmp(last[instance], text.data, sizeof(last[0]) - 1) != 0) {
		str_copy(last[instance], sizeof(last[0]), buf_str(&text));
		json_array_append_new(r->events, json_pack("{s:I, s:s, s:s, s:s}", "time_ms",
							   (json_int_t)clock_wall_ms(), "instance",
							   r->fleet->instances[instance].id, "kind",
							   "bench-endpoints", "detail", text.data));
	}
	buf_free(&text);
}

static void status_poll(struct fault_run *r, int instance, const char *admin, uint64_t *incarnation)
{
	struct version_sample s = { .instance = instance };
	char url[128];
	json_t *status;

	snprintf(url, sizeof(url), "%s/admin/status", admin);
	status = harness_json_get_timeout(url, TIMEOUT_MS);
	if (!status)
		return;
	s.incarnation = (uint64_t)json_get_i64(status, "incarnation", 0);
	s.version = json_get_i64(status, "config_version", 0);
	s.at_ms = clock_wall_ms();
	*incarnation = s.incarnation;
	sample_add(r, &s);
	endpoints_record(r, instance, status);
	json_decref(status);
}

static void events_poll(struct fault_run *r, int instance, const char *admin, uint64_t incarnation)
{
	static uint64_t after[FAULTS_INSTANCES];
	static uint64_t process[FAULTS_INSTANCES];
	char url[160];
	json_t *list;
	json_t *o;
	size_t i;

	if (process[instance] != incarnation)
		after[instance] = 0;
	process[instance] = incarnation;
	snprintf(url, sizeof(url), "%s/admin/events?after=%llu", admin,
		 (unsigned long long)after[instance]);
	list = harness_json_get_timeout(url, TIMEOUT_MS);
	json_array_foreach(list, i, o) {
		after[instance] = (uint64_t)json_get_i64(o, "hlc", 0);
		json_object_set_new(o, "process", json_integer((json_int_t)incarnation));
		json_array_append(r->events, o);
	}
	json_decref(list);
}

static void orders_poll(struct fault_run *r, int endpoint, const char *url_base, int pid)
{
	const struct harness_endpoint *e = &r->fleet->endpoints[endpoint];
	char url[128];
	char name[96];
	json_t *o;

	snprintf(url, sizeof(url), "%s/orders", url_base);
	snprintf(name, sizeof(name), "%s (process %d)", e->name, pid);
	o = harness_json_get_timeout(url, TIMEOUT_MS);
	if (o)
		json_object_set_new(r->orders, name, o);
}

static void intents_poll(struct fault_run *r)
{
	char url[128];
	json_t *all;
	const json_t *o;
	size_t i;

	snprintf(url, sizeof(url), "%s/table?prefix=intent/", r->fleet->platform);
	if (json_array_size(r->intent_polls) < INTENT_POLLS_MAX)
		json_array_append_new(r->intent_polls, json_integer(clock_wall_ms()));
	all = harness_json_get_timeout(url, TIMEOUT_MS);
	json_array_foreach(json_object_get(all, "rows"), i, o) {
		const char *order = json_get_cstr(json_object_get(o, "value"), "order", "");

		json_object_set_new(r->intents, order, json_true());
	}
	json_decref(all);
}

void faults_state_poll(struct fault_run *r)
{
	intents_poll(r);
	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		uint64_t incarnation = 0;
		char admin[64];
		bool up;

		pthread_mutex_lock(&r->lock);
		up = r->is_up[i];
		memcpy(admin, r->fleet->instances[i].admin, sizeof(admin));
		pthread_mutex_unlock(&r->lock);
		if (up)
			status_poll(r, i, admin, &incarnation);
		if (incarnation)
			events_poll(r, i, admin, incarnation);
	}
	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		const struct harness_endpoint *e = &r->fleet->endpoints[i];
		char url[64];
		int pid;

		pthread_mutex_lock(&r->lock);
		pid = e->process->pid;
		memcpy(url, e->url, sizeof(url));
		pthread_mutex_unlock(&r->lock);
		if (pid && !e->service)
			orders_poll(r, i, url, pid);
	}
}

void *faults_poll_thread(void *arg)
{
	struct fault_run *r = arg;

	while (!atomic_load(&r->stop)) {
		faults_state_poll(r);
		clock_sleep_ms(POLL_MS);
	}
	return NULL;
}
