#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "faults.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

#define POST_TIMEOUT_MS 8000
#define RESEND_MS 300
#define POISON_TIMEOUT_MS 20000

static const char *const admin_headers[] = { "Authorization: Bearer " HARNESS_TOKEN,
					     "Content-Type: application/json", NULL };

void faults_thread_start(struct fault_run *r, void *(*run)(void *), int target, int other)
{
	struct faults_job *job = mem_zalloc(sizeof(*job));

	*job = (struct faults_job){ r, target, other };
	if (r->thread_count == FAULTS_THREADS_MAX ||
	    pthread_create(&r->threads[r->thread_count], NULL, run, job) != 0)
		free(job);
	else
		r->thread_count++;
}

static bool admin_url(struct fault_run *r, int instance, const char *path, char *out, size_t size)
{
	bool up;

	pthread_mutex_lock(&r->lock);
	up = r->is_up[instance];
	snprintf(out, size, "%s%s", r->fleet->instances[instance].admin, path);
	pthread_mutex_unlock(&r->lock);
	return up;
}

int64_t faults_config_version(struct fault_run *r, int instance)
{
	char url[128];
	struct harness_reply reply;
	int64_t version;

	if (!admin_url(r, instance, "/admin/config", url, sizeof(url)))
		return -1;
	harness_http_request("GET", url, admin_headers, NULL, 1000, &reply, NULL);
	version = json_get_i64(reply.json, "version", -1);
	harness_reply_free(&reply);
	return version;
}

static void change_record(struct fault_run *r, const char *key, json_t *value, int race, int status,
			  int64_t version)
{
	pthread_mutex_lock(&r->lock);
	if (r->change_count < FAULTS_CHANGES_MAX) {
		struct posted_change *c = &r->changes[r->change_count++];

		*c = (struct posted_change){ .value = json_incref(value),
					     .race = race,
					     .status = status,
					     .version = version,
					     .at_ms = clock_wall_ms() };
		str_copy(c->key, sizeof(c->key), str_from(key));
	}
	pthread_mutex_unlock(&r->lock);
}

int faults_config_post(struct fault_run *r, int instance, const char *key, json_t *value, int race,
		       int64_t if_version, int64_t *version)
{
	json_t *o = json_pack("{s:s, s:O, s:s, s:I}", "key", key, "value", value, "author",
			      "operator", "if_version", (json_int_t)if_version);
	struct harness_reply reply = { 0 };
	struct buf body = { 0 };
	char url[128];
	int status = 0;

	*version = -1;
	json_append(&body, o);
	json_decref(o);
	if (admin_url(r, instance, "/admin/config", url, sizeof(url))) {
		harness_http_request("POST", url, admin_headers, body.data, POST_TIMEOUT_MS, &reply,
				     NULL);
		status = reply.status;
		*version = json_get_i64(reply.json, "version", -1);
		change_record(r, key, value, race, status, *version);
		harness_reply_free(&reply);
	}
	buf_free(&body);
	return status;
}

struct race_side {
	struct fault_run *run;
	int instance;
	int race;
	int side;
	int64_t version;
};

static void *race_side_run(void *arg)
{
	struct race_side *c = arg;
	char key[64];
	int64_t version;
	json_t *value = json_pack("{s:i, s:[]}", "weight", 1000 + 2 * c->race + c->side, "keys");

	snprintf(key, sizeof(key), "organisation/race-%d", c->race);
	faults_config_post(c->run, c->instance, key, value, c->race, c->version, &version);
	json_decref(value);
	return NULL;
}

void *faults_race_thread(void *arg)
{
	struct faults_job *job = arg;
	struct fault_run *r = job->run;
	struct race_side sides[2];
	pthread_t thread;
	int64_t version = faults_config_version(r, job->target);
	int race;

	pthread_mutex_lock(&r->lock);
	race = ++r->race_count;
	pthread_mutex_unlock(&r->lock);
	for (int i = 0; i < 2; i++)
		sides[i] = (struct race_side){ r, i ? job->other : job->target, race, i, version };
	if (version >= 0 && pthread_create(&thread, NULL, race_side_run, &sides[1]) == 0) {
		race_side_run(&sides[0]);
		pthread_join(thread, NULL);
	}
	free(job);
	return NULL;
}

/* Posts the change to one instance after another until it is accepted, as an operator would. */
static bool change_post_until_accepted(struct fault_run *r, int instance, const char *key,
				       json_t *value, int64_t limit_ms)
{
	int64_t end = clock_boot_ms() + limit_ms;
	int64_t version;

	while (clock_boot_ms() < end) {
		int64_t seen = faults_config_version(r, instance);

		if (seen >= 0 &&
		    faults_config_post(r, instance, key, value, 0, seen, &version) == 200)
			return true;
		instance = (instance + 1) % FAULTS_INSTANCES;
		clock_sleep_ms(100);
	}
	return false;
}

void *faults_drain_thread(void *arg)
{
	struct faults_job *job = arg;
	struct fault_run *r = job->run;
	json_t *value = json_pack("{s:s}", "reason", "replacement of a fan");
	const char *name = r->fleet->endpoints[job->target].name;
	char key[64];

	snprintf(key, sizeof(key), "drain/%s", name);
	if (change_post_until_accepted(r, job->other, key, value, 2000)) {
		pthread_mutex_lock(&r->lock);
		str_copy(r->drains[r->drain_count].endpoint, sizeof(r->drains[0].endpoint),
			 str_from(name));
		r->drains[r->drain_count++].from_ms = clock_wall_ms();
		pthread_mutex_unlock(&r->lock);
	}
	json_decref(value);
	free(job);
	return NULL;
}

void *faults_undrain_thread(void *arg)
{
	struct faults_job *job = arg;
	struct fault_run *r = job->run;
	const char *name = r->fleet->endpoints[job->target].name;
	json_t *null = json_null();
	char key[64];

	snprintf(key, sizeof(key), "drain/%s", name);
	pthread_mutex_lock(&r->lock);
	for (int i = 0; i < r->drain_count; i++) {
		if (strcmp(r->drains[i].endpoint, name) == 0 && !r->drains[i].to_ms)
			r->drains[i].to_ms = clock_wall_ms();
	}
	pthread_mutex_unlock(&r->lock);
	change_post_until_accepted(r, job->other, key, null, 15000);
	free(job);
	return NULL;
}

static int poison_send(struct fault_run *r, int instance, int number, char *code, size_t size)
{
	static const char *const headers[] = { "Authorization: Bearer key-0",
					       "Content-Type: application/json", NULL };
	struct harness_reply reply;
	char body[256];
	char url[128];
	int status;

	snprintf(url, sizeof(url), "%s/v1/completions", r->urls[instance]);
	snprintf(body, sizeof(body),
		 "{\"model\":\"M\",\"max_tokens\":20,\"prompt\":\"%s %s number %d of seed %llu\"}",
		 FAULTS_MARKER, FAULTS_POISON, number, (unsigned long long)r->seed);
	harness_http_request("POST", url, headers, body, POISON_TIMEOUT_MS, &reply, NULL);
	status = reply.status;
	str_copy(code, size, json_get_str(json_object_get(reply.json, "error"), "code"));
	harness_reply_free(&reply);
	return status;
}

/*
 * Whether @instance was cut off from the quarantines of its peers. The limit on lost engines then
 * holds separately on each side of the cut.
 */
static bool is_cut_from_peers(struct fault_run *r, int instance)
{
	int64_t now = clock_wall_ms();
	bool cut = false;

	pthread_mutex_lock(&r->lock);
	for (int i = 0; i < r->window_count; i++) {
		const struct fault_window *w = &r->windows[i];

		cut |= w->instance == instance && w->kind >= FAULT_CUT_PEERS &&
		       w->kind <= FAULT_CUT_DC_BOTH && (!w->to_ms || w->to_ms + 1000 > now);
		cut |= w->instance == instance && w->kind == FAULT_FREEZE &&
		       (!w->to_ms || w->to_ms + 1000 > now);
	}
	pthread_mutex_unlock(&r->lock);
	return cut;
}

/* Sends a request that crashes engines three times, each time through another instance. */
void *faults_poison_thread(void *arg)
{
	struct faults_job *job = arg;
	struct fault_run *r = job->run;
	char code[32] = "";
	bool cut_from_first = false;
	int number;

	pthread_mutex_lock(&r->lock);
	number = ++r->poison_count;
	pthread_mutex_unlock(&r->lock);
	for (int i = 0; i < 3; i++) {
		int instance = (job->target + i) % FAULTS_INSTANCES;
		bool cut = is_cut_from_peers(r, instance);
		int status = poison_send(r, instance, number, code, sizeof(code));

		pthread_mutex_lock(&r->lock);
		if (i == 0 || cut || cut_from_first)
			r->poison_crashes_allowed += 2;
		if (!r->poison_ms[number] && strcmp(code, "quarantined") == 0)
			r->poison_ms[number] = clock_wall_ms();
		pthread_mutex_unlock(&r->lock);
		cut_from_first |= cut;

		printf("poison %d: sent to i%d: status %d %s\n", number, instance + 1, status,
		       code);
		clock_sleep_ms(RESEND_MS);
	}
	free(job);
	return NULL;
}

/*
 * Whether @instance must have the quarantine of @at_ms. Quarantines are held in memory, so that a
 * restart loses them, and are sent only to the instances that can be reached.
 */
static bool has_received_quarantine(const struct fault_run *r, int instance, int64_t at_ms)
{
	for (int i = 0; i < r->window_count; i++) {
		const struct fault_window *w = &r->windows[i];

		if (w->kind >= FAULT_CUT_PEERS && w->kind <= FAULT_CUT_DC_BOTH &&
		    w->from_ms < at_ms + 1000 && (!w->to_ms || w->to_ms > at_ms - 2000))
			return false;
		if (w->instance == instance && w->kind <= FAULT_RESTART &&
		    (!w->to_ms || w->to_ms > at_ms - 2000))
			return false;
	}
	for (int i = 0; i < r->graceful_stop_count; i++) {
		if (r->graceful_stops[i].instance == instance &&
		    r->graceful_stops[i].restarted_ms > at_ms - 2000)
			return false;
	}
	return true;
}

void faults_poison_resend(struct fault_run *r)
{
	int sent = 0;

	for (int number = 1; number <= r->poison_count; number++) {
		for (int i = 0; i < FAULTS_INSTANCES && r->poison_ms[number]; i++) {
			char code[32] = "";
			int status;

			if (!has_received_quarantine(r, i, r->poison_ms[number]))
				continue;
			sent++;
			status = poison_send(r, i, number, code, sizeof(code));
			if (status != 422)
				faults_violation(r, 0,
						 "crashing request %d got %d %s at i%d afterwards",
						 number, status, code, i + 1);
		}
	}
	printf("crashing requests sent again at the end: %d times\n", sent);
}
