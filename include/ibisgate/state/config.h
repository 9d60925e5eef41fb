#ifndef IBISGATE_STATE_CONFIG_H
#define IBISGATE_STATE_CONFIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"
#include "ibisgate/policy/share.h"

enum config_error {
	CONFIG_OK,
	CONFIG_BAD_KEY,
	CONFIG_BAD_VALUE,
	CONFIG_NO_REASON,
	CONFIG_GAP,
	CONFIG_STALE,
};

/**
 * struct config_change - one entry of the configuration log
 * @version: position in the log, from 1
 * @key: e.g. "default/route.method", "exception/e12", "organisation/press-parts"
 * @value: new value; NULL deletes the key
 * @author: operator's name
 */
struct config_change {
	int64_t version;
	const char *key;
	json_t *value;
	const char *author;
};

/**
 * struct config - immutable configuration of one version
 *
 * Readers take it under rcu_read_lock(); the config child publishes a new one for each version.
 */
struct config;

struct config *config_create(void);
void config_destroy(struct config *c);

/**
 * config_apply - new configuration with @change on top of @c
 *
 * Return: the new one; NULL with @err CONFIG_GAP or CONFIG_STALE when change->version is not the
 * successor of the version of @c, or CONFIG_BAD_* for a change that config_check() refuses.
 */
struct config *config_apply(const struct config *c, const struct config_change *change,
			    struct error *err);

/**
 * config_check - whether a change is well formed
 *
 * Checks the key, the type and range of each setting and field; an exception needs scope,
 * setting, value, reason, author and expiry. The error names the key and what was expected.
 */
int config_check(const char *key, const json_t *value, struct error *err);

int64_t config_version(const struct config *c);

/** config_to_json - whole configuration {"version","items":{key:value}}; new reference */
json_t *config_to_json(const struct config *c);
struct config *config_from_json(const json_t *snapshot, struct error *err);

/**
 * struct config_scope - where a setting is looked up; NULL members do not match
 */
struct config_scope {
	const char *endpoint;
	const char *organisation;
	const char *service;
	const char *dc;
	int64_t wall_ms;
};

/**
 * config_setting - value of @setting: exception with the narrowest scope that has not expired
 * (endpoint, organisation, service, data centre), then default, then built-in value
 *
 * Return: borrowed reference valid as long as @c; NULL for an unknown setting.
 */
const json_t *config_setting(const struct config *c, const char *setting,
			     const struct config_scope *scope);
int64_t config_i64(const struct config *c, const char *setting, const struct config_scope *scope);
double config_double(const struct config *c, const char *setting, const struct config_scope *scope);
const char *config_cstr(const struct config *c, const char *setting,
			const struct config_scope *scope);

/**
 * struct config_organisation - @name borrowed from the configuration
 */
struct config_organisation {
	const char *name;
	double weight;
};

/** config_organisation_by_key - organisation whose API key hashes (hash_secret_hex) to @key_hash */
bool config_organisation_by_key(const struct config *c, const char *key_hash,
				struct config_organisation *out);

enum service_kind {
	SERVICE_MODEL,
	SERVICE_PLAIN,
};

/**
 * struct config_service - one row "service/<name>"; strings borrowed from the configuration
 * @model: model name that callers give, for SERVICE_MODEL
 * @idempotent: calls may be repeated
 * @class: default priority class
 * @deadline_ms: whole answer, 0 for the default setting
 * @first_token_ms: limit for the first token, 0 for the default setting
 * @gap_ms: limit for the mean gap between tokens, 0 for the default setting
 */
struct config_service {
	const char *name;
	enum service_kind kind;
	const char *model;
	bool idempotent;
	enum share_class class;
	int64_t deadline_ms;
	int64_t first_token_ms;
	int64_t gap_ms;
};

bool config_service(const struct config *c, const char *name, struct config_service *out);
bool config_service_by_model(const struct config *c, const char *model, struct config_service *out);

#define CONFIG_MODEL_MAX 48

/** config_model - model that an operator wants endpoint @endpoint to serve; NULL for none */
const char *config_model(const struct config *c, const char *endpoint);

/** config_drain - operator's drain of an endpoint; NULL if there is none */
const json_t *config_drain(const struct config *c, const char *endpoint);
const json_t *config_drain_instance(const struct config *c, const char *instance);

/**
 * struct setting_info - row of the table of settings that defaults and exceptions may set
 * @type: 'i' integer, 'd' number, 's' one of @choices (space separated)
 */
struct setting_info {
	const char *name;
	char type;
	double min;
	double max;
	const char *choices;
	const char *builtin;
	const char *help;
};

const struct setting_info *setting_infos(int *count);

#endif
