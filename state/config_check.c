#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/state/config.h"

#define KEY_MAX 200

static const struct setting_info settings[] = {
	{ "route.method", 's', 0, 0, "expected-finish round-robin least-inflight",
	  "\"expected-finish\"", "how an endpoint is selected" },
	{ "deadline.first-token-ms", 'i', 1, 600000, NULL, "640",
	  "limit for the time to first token" },
	{ "deadline.gap-ms", 'i', 1, 60000, NULL, "59", "limit for the mean time between tokens" },
	{ "deadline.total-ms", 'i', 1, 3600000, NULL, "120000", "limit for the whole response" },
	{ "retry.ratio", 'd', 0, 1, NULL, "0.1", "retries as a share of first attempts" },
	{ "retry.min-per-s", 'd', 0, 1000, NULL, "3",
	  "retries per second that are always allowed" },
	{ "retry.max-attempts", 'i', 1, 16, NULL, "4",
	  "maximum number of attempts of one request" },
	{ "hedge.ratio", 'd', 0, 1, NULL, "0.05",
	  "hedged requests as a share of idempotent calls; 0 disables hedging" },
	{ "admission.enabled", 'i', 0, 1, NULL, "1",
	  "refuse requests that can't meet their deadline" },
	{ "admission.queue-max", 'i', 1, 100000, NULL, "1000",
	  "maximum number of queued requests" },
	{ "cost.output-tokens", 'i', 1, 1000000, NULL, "256",
	  "expected output tokens of a request" },
	{ "load.lag-ms", 'i', 0, 60000, NULL, "2000", "age of the engines' load reports" },
	{ "claim.keep-ms", 'i', 60000, 2000000000, NULL, "86400000",
	  "time after which an idempotency key may be reused" },
	{ "model.parallel-loads", 'i', 1, 64, NULL, "1",
	  "engines per data centre that may load a model at the same time" },
	{ "role.policy", 's', 0, 0, "fixed greedy horizon", "\"horizon\"", "role change policy" },
	{ "role.horizon-ms", 'i', 100, 3600000, NULL, "30000",
	  "time over which the gain of a change is summed" },
	{ "role.margin", 'd', 0, 100, NULL, "1.2", "factor by which a gain must exceed the loss" },
	{ "role.min-dwell-ms", 'i', 0, 3600000, NULL, "4000", "minimum time between two changes" },
	{ "role.hysteresis", 'd', 0, 1, NULL, "0.1", "imbalance below which no role is changed" },
	{ "role.urgent-imbalance", 'd', 0, 1, NULL, "0",
	  "imbalance from which a change does not wait for the horizon; 0: any" },
	{ "role.smooth-ms", 'i', 1, 3600000, NULL, "4000", "time constant of the demand average" },
	{ "role.max-changes-per-hour", 'i', 0, 1000, NULL, "0",
	  "role changes started per region and hour; 0: no limit" },
	{ "role.change-ms", 'i', 1, 600000, NULL, "3000",
	  "time that an engine is out of service during a change" },
};

const struct setting_info *setting_info_table(int *count)
{
	*count = (int)(sizeof(settings) / sizeof(settings[0]));
	return settings;
}

static const struct setting_info *setting_find(const char *name)
{
	for (size_t i = 0; i < sizeof(settings) / sizeof(settings[0]); i++) {
		if (strcmp(settings[i].name, name) == 0)
			return &settings[i];
	}
	return NULL;
}

static int bad_value(struct error *err, const char *key, const char *expected)
{
	return error_set(err, ERROR_STATE, CONFIG_BAD_VALUE, "%s: expected %s", key, expected);
}

static bool is_choice(const char *choices, struct str value)
{
	struct str rest = str_from(choices);

	while (rest.len) {
		if (str_eq(str_split(&rest, ' '), value))
			return true;
	}
	return false;
}

static int check_setting(const char *key, const char *name, const json_t *v, struct error *err)
{
	const struct setting_info *info = setting_find(name);
	char expected[160];

	if (!info)
		return error_set(err, ERROR_STATE, CONFIG_BAD_KEY, "%s: unknown setting \"%s\"",
				 key, name);
	if (info->type == 's') {
		if (json_is_string(v) &&
		    is_choice(info->choices,
			      (struct str){ json_string_value(v), json_string_length(v) }))
			return 0;
		snprintf(expected, sizeof(expected), "one of: %s", info->choices);
		return bad_value(err, key, expected);
	}
	if ((info->type == 'i' ? json_is_integer(v) : json_is_number(v)) &&
	    json_number_value(v) >= info->min && json_number_value(v) <= info->max)
		return 0;
	snprintf(expected, sizeof(expected), "a%s number from %.15g to %.15g",
		 info->type == 'i' ? " whole" : "", info->min, info->max);
	return bad_value(err, key, expected);
}

static bool has_text(const json_t *obj, const char *field)
{
	return str_trim(json_get_str(obj, field)).len > 0;
}

static int check_fields(const char *key, const json_t *obj, const char *known, struct error *err)
{
	const char *field;
	json_t *v;

	if (!json_is_object(obj))
		return bad_value(err, key, "an object");
	json_object_foreach((json_t *)obj, field, v) {
		if (!is_choice(known, str_from(field)))
			return error_set(err, ERROR_STATE, CONFIG_BAD_VALUE,
					 "%s: unknown field \"%.40s\"", key, field);
	}
	return 0;
}

static int check_organisation(const char *key, const json_t *obj, struct error *err)
{
	const json_t *weight = json_object_get(obj, "weight");
	const json_t *keys = json_object_get(obj, "keys");
	const json_t *k;
	size_t i;

	if (check_fields(key, obj, "weight keys", err))
		return -1;
	if (weight && (!json_is_number(weight) || json_number_value(weight) <= 0 ||
		       json_number_value(weight) > 1e6))
		return bad_value(err, key, "a weight above 0 and at most 1000000");
	if (keys && (!json_is_array(keys) || json_array_size(keys) > 64))
		return bad_value(err, key, "keys to be an array of at most 64 hashes");
	json_array_foreach(keys, i, k) {
		if (!json_is_string(k) || json_string_length(k) != 64 ||
		    strspn(json_string_value(k), "0123456789abcdef") != 64)
			return bad_value(err, key, "each key hash to be 64 lower-case hex digits");
	}
	return 0;
}

static int check_service(const char *key, const json_t *obj, struct error *err)
{
	static const char *const limits[] = { "deadline_ms", "first_token_ms", "gap_ms" };
	const json_t *idempotent = json_object_get(obj, "idempotent");
	const char *class = json_get_cstr(obj, "class", "normal");
	const char *kind = json_get_cstr(obj, "kind", "");

	if (check_fields(key, obj, "kind model idempotent class deadline_ms first_token_ms gap_ms",
			 err))
		return -1;
	if (!is_choice("model plain", str_from(kind)))
		return bad_value(err, key, "kind \"model\" or \"plain\"");
	if (strcmp(kind, "model") == 0 && !has_text(obj, "model"))
		return bad_value(err, key, "a model name for kind \"model\"");
	if (!is_choice("urgent normal background", str_from(class)))
		return bad_value(err, key, "class \"urgent\", \"normal\" or \"background\"");
	if (idempotent && !json_is_boolean(idempotent))
		return bad_value(err, key, "idempotent to be true or false");
	for (size_t i = 0; i < 3; i++) {
		const json_t *v = json_object_get(obj, limits[i]);

		if (v && (!json_is_integer(v) || json_integer_value(v) < 0 ||
			  json_integer_value(v) > 3600000))
			return bad_value(err, key, "limits in milliseconds from 0 to 3600000");
	}
	return 0;
}

static int check_exception(const char *key, const json_t *obj, struct error *err)
{
	const char *scope = json_get_cstr(obj, "scope", "");
	struct str rest = str_from(scope);
	struct str kind = str_split(&rest, '/');

	if (check_fields(key, obj, "scope setting value reason author expiry", err))
		return -1;
	if (!is_choice("endpoint organisation service dc", kind) || !rest.len)
		return bad_value(err, key,
				 "scope endpoint/NAME, organisation/NAME, service/NAME or dc/NAME");
	if (!has_text(obj, "reason"))
		return error_set(err, ERROR_STATE, CONFIG_NO_REASON, "%s: expected a reason", key);
	if (!has_text(obj, "author"))
		return bad_value(err, key, "an author");
	if (json_get_i64(obj, "expiry", 0) <= 0)
		return bad_value(err, key, "expiry in milliseconds since 1970");
	return check_setting(key, json_get_cstr(obj, "setting", ""), json_object_get(obj, "value"),
			     err);
}

static int check_drain(const char *key, const json_t *obj, struct error *err)
{
	if (!json_is_object(obj))
		return bad_value(err, key, "an object");
	if (!has_text(obj, "reason"))
		return error_set(err, ERROR_STATE, CONFIG_NO_REASON, "%s: expected a reason", key);
	return 0;
}

static int check_model(const char *key, const json_t *obj, struct error *err)
{
	if (check_fields(key, obj, "model reason author", err))
		return -1;
	if (!has_text(obj, "reason"))
		return error_set(err, ERROR_STATE, CONFIG_NO_REASON, "%s: expected a reason", key);
	if (!has_text(obj, "author"))
		return bad_value(err, key, "an author");
	if (!has_text(obj, "model") || json_get_str(obj, "model").len >= CONFIG_MODEL_MAX)
		return bad_value(err, key, "a model name");
	return 0;
}

static bool is_valid_name(struct str s)
{
	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || strchr("-._", c)) || !c)
			return false;
	}
	return s.len > 0;
}

int config_check(const char *key, const json_t *value, struct error *err)
{
	struct str name = str_from(key);
	struct str kind = str_split(&name, '/');

	if (strlen(key) > KEY_MAX || !is_valid_name(name) ||
	    !is_choice("organisation service default exception drain drain-instance model", kind))
		return error_set(err, ERROR_STATE, CONFIG_BAD_KEY,
				 "\"%.80s\": expected organisation/NAME, service/NAME, "
				 "default/SETTING, exception/ID, drain/ENDPOINT, "
				 "drain-instance/ID or model/ENDPOINT",
				 key);
	if (str_eq_cstr(kind, "default") && !setting_find(name.data))
		return error_set(err, ERROR_STATE, CONFIG_BAD_KEY, "%s: unknown setting \"%s\"",
				 key, name.data);
	if (!value || json_is_null(value))
		return 0;
	if (str_eq_cstr(kind, "organisation"))
		return check_organisation(key, value, err);
	if (str_eq_cstr(kind, "service"))
		return check_service(key, value, err);
	if (str_eq_cstr(kind, "default"))
		return check_setting(key, name.data, value, err);
	if (str_eq_cstr(kind, "exception"))
		return check_exception(key, value, err);
	if (str_eq_cstr(kind, "model"))
		return check_model(key, value, err);
	return check_drain(key, value, err);
}
