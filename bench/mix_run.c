#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "mix.h"

#define READY_TIMEOUT_MS 30000
#define LINE_MAX_BYTES 256

static int setting_apply(struct mix_run *run, const char *setting, const char *value)
{
	if (harness_config_default_set(run->fleet, setting, json_from_text(value)) == 200)
		return 0;
	return error_set(&run->err, ERROR_TOOL, 1, "setting %s %s was refused", setting, value);
}

static int preset_apply(struct mix_run *run)
{
	char path[512];
	char line[LINE_MAX_BYTES];
	int rc = 0;
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s", MIX_PRESET_DIR, run->config->preset);
	f = fopen(path, "re");
	if (!f)
		return error_set(&run->err, ERROR_TOOL, 1, "cannot read %s", path);
	while (!rc && fgets(line, sizeof(line), f)) {
		struct str value = str_trim(str_from(line));
		struct str setting = str_split(&value, ' ');
		char name[64];
		char text[64];

		if (!setting.len || setting.data[0] == '#')
			continue;
		str_copy(name, sizeof(name), setting);
		str_copy(text, sizeof(text), str_trim(value));
		rc = setting_apply(run, name, text);
	}
	fclose(f);
	return rc;
}

static int deployment_configure(struct mix_run *run)
{
	const struct scenario *s = &run->plan->scenario;
	const char *const *settings = run->config->settings;
	char change_ms[16];

	if (run->config->preset && preset_apply(run) < 0)
		return -1;
	for (int i = 0; settings && settings[i]; i += 2) {
		if (setting_apply(run, settings[i], settings[i + 1]) < 0)
			return -1;
	}
	snprintf(change_ms, sizeof(change_ms), "%d", MIX_ROLE_CHANGE_MS);
	if (setting_apply(run, "role.change-ms", change_ms) < 0)
		return -1;
	for (int i = 0; i < s->organisation_count; i++) {
		const struct scenario_organisation *o = &s->organisations[i];

		if (harness_organisation_create(run->fleet, o->name, o->key, o->weight) != 200)
			return error_set(&run->err, ERROR_TOOL, 1, "organisation %s was refused",
					 o->name);
	}
	if (harness_model_service_create(run->fleet, "M") != 200)
		return error_set(&run->err, ERROR_TOOL, 1, "the model was refused");
	return 0;
}

static int config_wait_in_force(struct mix_run *run)
{
	char url[128];
	json_t *config;
	int64_t version;

	snprintf(url, sizeof(url), "%s/admin/config", run->fleet->instances[0].admin);
	config = harness_json_get(url);
	version = json_get_i64(config, "version", 1);
	json_decref(config);
	if (harness_wait_config_version(run->fleet, version, READY_TIMEOUT_MS) < 0)
		return error_set(&run->err, ERROR_TOOL, 1,
				 "the configuration did not reach all instances");
	return 0;
}

int mix_run_start(struct mix_run *run)
{
	run->harness = harness_create(&run->err);
	if (!run->harness)
		return -1;
	run->fleet = harness_fleet_create(run->harness, &run->plan->deployment, &run->err);
	if (!run->fleet || harness_wait_ready(run->fleet, READY_TIMEOUT_MS, &run->err) < 0 ||
	    deployment_configure(run) < 0 || config_wait_in_force(run) < 0)
		return -1;
	load_options_defaults(&run->options);
	/* All configurations use the same identifier, so that they get the same prompts. */
	snprintf(run->run_id, sizeof(run->run_id), "mix-%s", run->plan->name);
	run->options.run_id = run->run_id;
	run->options.duration_s = run->plan->duration_s;
	run->options.drain_s = 20;
	run->options.timeout_ms = 20000;
	for (int i = 0; i < run->fleet->instance_count; i++)
		run->options.urls[run->options.url_count++] = run->fleet->instances[i].http;
	return 0;
}

static void *load_thread(void *arg)
{
	struct mix_run *run = arg;

	run->rc = load_run(&run->plan->scenario, &run->options, &run->result, &run->err);
	return NULL;
}

static int64_t role_changes_read(struct harness_fleet *f)
{
	int64_t n = 0;

	for (int i = 0; i < f->instance_count; i++) {
		json_t *status = harness_instance_status_get(f, i);

		n += json_get_i64(status, "role_changes", 0);
		json_decref(status);
	}
	return n;
}

/*
 * Returns the role decisions of all instances since the start of the load, ordered by time. Each
 * instance logs only its own decisions.
 */
static json_t *role_decisions_read(const struct mix_run *run)
{
	json_t *out = json_array();

	for (int i = 0; i < run->fleet->instance_count; i++) {
		json_t *list;
		json_t *o;
		char url[128];
		size_t k;

		snprintf(url, sizeof(url), "%s/admin/events?after=0",
			 run->fleet->instances[i].admin);
		list = harness_json_get(url);
		json_array_foreach(list, k, o) {
			size_t at = json_array_size(out);

			if (strcmp(json_get_cstr(o, "kind", ""), "role-decision") != 0 ||
			    json_get_i64(o, "time_ms", 0) < run->load_start_ms)
				continue;
			while (at > 0 && json_get_i64(json_array_get(out, at - 1), "time_ms", 0) >
						 json_get_i64(o, "time_ms", 0))
				at--;
			json_array_insert(out, at, o);
		}
		json_decref(list);
	}
	return out;
}

static void refusals_add(struct mix_run *run, const json_t *organisations)
{
	const struct scenario *s = &run->plan->scenario;
	const char *reason;
	json_t *count;
	json_t *o;
	size_t i;

	json_array_foreach((json_t *)organisations, i, o) {
		if (run->plan->flooder >= 0 &&
		    strcmp(json_get_cstr(o, "name", ""),
			   s->organisations[run->plan->flooder].name) == 0)
			continue;
		json_object_foreach(json_object_get(o, "refused_by"), reason, count) {
			int64_t sum = json_get_i64(run->refusals, reason, 0);

			json_object_set_new(run->refusals, reason,
					    json_integer(sum + json_integer_value(count)));
		}
	}
}

static void refusals_read(struct mix_run *run)
{
	run->refusals = json_object();
	for (int i = 0; i < run->fleet->instance_count; i++) {
		json_t *status = harness_instance_status_get(run->fleet, i);
		const json_t *dispatch = json_object_get(status, "dispatch");

		refusals_add(run, json_object_get(dispatch, "organisations"));
		json_decref(status);
	}
}

/* The first engine starts in the prefill role, of which the next phase needs more engines. */
static void prefill_engine_kill(struct mix_run *run)
{
	harness_process_signal(run->fleet->endpoints[0].process, SIGKILL);
}

int mix_run_load(struct mix_run *runs, int count)
{
	double kill_s = runs[0].plan->kill_s;
	int64_t before[MIX_CONFIGS];
	int rc = 0;

	for (int i = 0; i < count; i++)
		before[i] = role_changes_read(runs[i].fleet);
	for (int i = 0; i < count; i++) {
		runs[i].load_start_ms = clock_wall_ms();
		pthread_create(&runs[i].thread, NULL, load_thread, &runs[i]);
	}
	if (kill_s > 0) {
		clock_sleep_ms((int64_t)(kill_s * 1000));
		for (int i = 0; i < count; i++)
			prefill_engine_kill(&runs[i]);
	}
	for (int i = 0; i < count; i++) {
		pthread_join(runs[i].thread, NULL);
		runs[i].role_changes = role_changes_read(runs[i].fleet) - before[i];
		runs[i].decisions = role_decisions_read(&runs[i]);
		refusals_read(&runs[i]);
		if (runs[i].rc < 0)
			rc = -1;
	}
	return rc;
}

void mix_run_stop(struct mix_run *run)
{
	harness_fleet_destroy(run->fleet);
	harness_destroy(run->harness);
	run->fleet = NULL;
	run->harness = NULL;
}

void mix_run_free(struct mix_run *run)
{
	load_result_free(&run->result);
	json_decref(run->decisions);
	json_decref(run->refusals);
	run->refusals = NULL;
}
