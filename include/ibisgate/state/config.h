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
	CONFIG_VERSION_GAP,
	CONFIG_VERSION_STALE,
};

/**
 * struct config_change - one entry of the configuration log
 * @version: position in the log, starting at 1
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
 * struct config - one version of the configuration, immutable
 *
 * Readers access it under rcu_read_lock(). The config child publishes a new object for each
 * version.
 */
struct config;

struct config *config_create(void);
void config_destroy(struct config *c);

/**
 * config_apply - create the configuration that results from applying @change to @c
 *
 * @c is left as it is.
 *
 * Return: the new configuration, owned by the caller. NULL on error, with @err set to
 * CONFIG_VERSION_GAP or CONFIG_VERSION_STALE when change->version does not directly follow the
 * version of @c, or to another config_error for a change that config_check() refuses or an API key
 * that another organisation has.
 */
struct config *config_apply(const struct config *c, const struct config_change *change,
			    struct error *err);

/**
 * config_check - validate a change
 * @value: new value; NULL or JSON null deletes the key
 *
 * Checks the key and the type and range of each setting and field. An exception needs a scope,
 * setting, value, reason, author and expiry. The error text names the key and what was expected.
 *
 * Return: 0 if the change is valid, else non-zero with @err set.
 */
int config_check(const char *key, const json_t *value, struct error *err);

int64_t config_version(const struct config *c);

/** config_to_json - whole configuration as {"version","items":{key:value}}; new reference */
json_t *config_to_json(const struct config *c);

/** config_from_json - inverse of config_to_json(); NULL with @err set if an item is invalid */
struct config *config_from_json(const json_t *snapshot, struct error *err);

/**
 * struct config_scope - what a setting is looked up for; NULL members match no exception
 * @wall_ms: Unix time in milliseconds, which decides whether an exception has expired
 */
struct config_scope {
	const char *endpoint;
	const char *organisation;
	const char *service;
	const char *dc;
	int64_t wall_ms;
};

/**
 * config_setting - value of @setting in @scope
 *
 * The unexpired exception with the narrowest matching scope wins (endpoint, then organisation,
 * service and data centre). Without one, the default applies, then the built-in value.
 *
 * Return: borrowed reference that is valid as long as @c; NULL for an unknown setting.
 */
const json_t *config_setting(const struct config *c, const char *setting,
			     const struct config_scope *scope);
int64_t config_i64(const struct config *c, const char *setting, const struct config_scope *scope);
double config_double(const struct config *c, const char *setting, const struct config_scope *scope);
const char *config_cstr(const struct config *c, const char *setting,
			const struct config_scope *scope);

/**
 * struct config_organisation - an organisation; @name is borrowed from the configuration
 * @weight: weight relative to other organisations
 */
struct config_organisation {
	const char *name;
	double weight;
};

/**
 * config_organisation_by_key - find the organisation that owns an API key
 * @key_hash: hash_secret_hex() of the API key
 *
 * Return: false if no organisation has the key.
 */
bool config_organisation_by_key(const struct config *c, const char *key_hash,
				struct config_organisation *out);

/** config_organisation - find an organisation by its name; false when there is none */
bool config_organisation(const struct config *c, const char *name, struct config_organisation *out);

enum service_kind {
	SERVICE_MODEL,
	SERVICE_PLAIN,
};

/**
 * struct config_service - one row "service/<name>"; strings are borrowed from the configuration
 * @model: model name in requests, for SERVICE_MODEL
 * @idempotent: calls may be repeated
 * @class: default priority class
 * @deadline_ms: limit for the whole response, 0 to use the setting
 * @first_token_ms: limit for the time to first token, 0 to use the setting
 * @gap_ms: limit for the mean time between tokens, 0 to use the setting
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

/** config_endpoint_model - model that an operator has assigned to @endpoint; NULL if there is none
 */
const char *config_endpoint_model(const struct config *c, const char *endpoint);

/** config_endpoint_drain - an operator's drain order for @endpoint; NULL if there is none */
const json_t *config_endpoint_drain(const struct config *c, const char *endpoint);

/** config_instance_drain - an operator's drain order for @instance; NULL if there is none */
const json_t *config_instance_drain(const struct config *c, const char *instance);

/**
 * struct setting_info - description of a setting that defaults and exceptions may change
 * @type: 'i' integer, 'd' number, 's' one of @choices
 * @choices: allowed values of an 's' setting, separated by spaces
 * @builtin: built-in value as JSON text
 * @help: one-line description for operators
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

/** setting_info_table - table of all settings; @count is set to its length */
const struct setting_info *setting_info_table(int *count);

#endif
