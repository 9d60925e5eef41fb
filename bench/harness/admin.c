#include <stdio.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/harness/harness.h"

#define POLL_INTERVAL_MS 50
/* Attempts for a change that conflicts with another one, or reaches a starting instance. */
#define CONFIG_ATTEMPTS_MAX 20

static bool is_instance_ready(const struct harness_instance *in)
{
	struct harness_reply reply;
	char url[128];
	bool ready;

	snprintf(url, sizeof(url), "%s/readyz", in->http);
	harness_http_request("GET", url, NULL, NULL, 1000, &reply, NULL);
	ready = reply.status == 200;
	harness_reply_free(&reply);
	return ready;
}

static bool is_endpoint_listed(const json_t *endpoints, const char *name)
{
	const json_t *entry;
	size_t i;

	json_array_foreach(endpoints, i, entry) {
		if (strcmp(json_get_cstr(entry, "name", ""), name) == 0)
			return true;
	}
	return false;
}

/* The platform's list lags, so an instance can be ready before it lists all endpoints. */
static bool are_endpoints_listed(struct harness_fleet *f, int index)
{
	json_t *status = harness_instance_status_get(f, index);
	const json_t *endpoints = json_object_get(status, "endpoints");
	bool known = true;

	for (int i = 0; i < f->endpoint_count; i++) {
		const struct harness_endpoint *e = &f->endpoints[i];

		if (e->process->pid && !is_endpoint_listed(endpoints, e->name))
			known = false;
	}
	json_decref(status);
	return known;
}

int harness_wait_ready(struct harness_fleet *f, int64_t timeout_ms, struct error *err)
{
	int64_t end = clock_boot_ms() + timeout_ms;

	for (int i = 0; i < f->instance_count; i++) {
		const struct harness_instance *in = &f->instances[i];

		while (in->process && in->process->pid &&
		       (!is_instance_ready(in) || !are_endpoints_listed(f, i))) {
			if (clock_boot_ms() >= end)
				return error_set(err, ERROR_TOOL, 1,
						 "%s is not ready after %lld ms", in->id,
						 (long long)timeout_ms);
			clock_sleep_ms(POLL_INTERVAL_MS);
		}
	}
	return 0;
}

int harness_route_fault_set(struct harness_fleet *f, const char *route, const char *mode,
			    bool existing_only)
{
	char url[128];

	snprintf(url, sizeof(url), "%s/faults", f->proxy);
	return harness_json_post(url, json_pack("{s:s, s:s, s:b}", "route", route, "mode", mode,
						"existing_only", (int)existing_only));
}

static json_t *admin_get(struct harness_fleet *f, int index, const char *path)
{
	char url[128];

	snprintf(url, sizeof(url), "%s%s", f->instances[index].admin, path);
	return harness_json_get(url);
}

json_t *harness_instance_status_get(struct harness_fleet *f, int index)
{
	return admin_get(f, index, "/admin/status");
}

static int64_t config_version_get(struct harness_fleet *f, int index)
{
	json_t *config = admin_get(f, index, "/admin/config");
	int64_t version = json_get_i64(config, "version", -1);

	json_decref(config);
	return version;
}

int harness_config_set(struct harness_fleet *f, int index, const char *key, json_t *value)
{
	char url[128];
	int status = 0;

	snprintf(url, sizeof(url), "%s/admin/config", f->instances[index].admin);
	for (int i = 0; i < CONFIG_ATTEMPTS_MAX; i++) {
		int64_t version = config_version_get(f, index);

		status = harness_json_post(url, json_pack("{s:s, s:O, s:s, s:I}", "key", key,
							  "value", value, "author", "harness",
							  "if_version", (json_int_t)version));
		if (status != 409 && status != 503)
			break;
		clock_sleep_ms(POLL_INTERVAL_MS);
	}
	json_decref(value);
	return status;
}

int harness_organisation_create(struct harness_fleet *f, const char *name, const char *api_key,
				double weight)
{
	char hash[HASH_HEX_SIZE];
	char key[128];

	hash_secret_hex(str_from(api_key), hash);
	snprintf(key, sizeof(key), "organisation/%s", name);
	return harness_config_set(f, 0, key,
				  json_pack("{s:f, s:[s]}", "weight", weight, "keys", hash));
}

int harness_model_service_create(struct harness_fleet *f, const char *model)
{
	return harness_config_set(f, 0, "service/text",
				  json_pack("{s:s, s:s, s:b, s:s, s:i, s:i, s:i}", "kind", "model",
					    "model", model, "idempotent", 1, "class", "normal",
					    "deadline_ms", 60000, "first_token_ms", 640, "gap_ms",
					    59));
}

int harness_plain_service_create(struct harness_fleet *f, const char *name, bool idempotent)
{
	char key[128];

	snprintf(key, sizeof(key), "service/%s", name);
	return harness_config_set(f, 0, key,
				  json_pack("{s:s, s:b, s:s, s:i}", "kind", "plain", "idempotent",
					    (int)idempotent, "class", "normal", "deadline_ms",
					    10000));
}

int harness_config_default_set(struct harness_fleet *f, const char *setting, json_t *value)
{
	char key[128];

	snprintf(key, sizeof(key), "default/%s", setting);
	return harness_config_set(f, 0, key, value);
}

int harness_wait_config_version(struct harness_fleet *f, int64_t version, int64_t timeout_ms)
{
	int64_t end = clock_boot_ms() + timeout_ms;

	for (int i = 0; i < f->instance_count; i++) {
		const struct harness_instance *in = &f->instances[i];

		while (in->process && in->process->pid && config_version_get(f, i) < version) {
			if (clock_boot_ms() >= end)
				return -1;
			clock_sleep_ms(POLL_INTERVAL_MS);
		}
	}
	return 0;
}
