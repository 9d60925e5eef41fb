#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/ablation.h"
#include "ibisgate/common/json.h"
#include "ibisgate/state/config.h"
#include "ibisgate/state/organisations.h"

#define ORGANISATION_PREFIX "organisation/"

/**
 * struct config - one version of the configuration
 * @items: values by key
 * @organisations: organisations by the hash that their row has of each API key
 * @by_setting: for each setting an object with its exceptions by key
 * @by_model: key of the service row by model name
 *
 * Versions share unchanged values and indices by reference.
 */
struct config {
	int64_t version;
	json_t *items;
	struct organisations *organisations;
	json_t *by_setting;
	json_t *by_model;
};

static json_t *builtins;
static pthread_once_t builtins_once = PTHREAD_ONCE_INIT;

static void builtins_init(void)
{
	int count;
	const struct setting_info *infos = setting_info_table(&count);

	builtins = json_object();
	for (int i = 0; i < count; i++)
		json_object_set_new(builtins, infos[i].name,
				    json_loads(infos[i].builtin, JSON_DECODE_ANY, NULL));
}

struct config *config_create(void)
{
	struct config *c = mem_zalloc(sizeof(*c));

	pthread_once(&builtins_once, builtins_init);
	c->items = json_object();
	c->organisations = organisations_create();
	c->by_setting = json_object();
	c->by_model = json_object();
	return c;
}

void config_destroy(struct config *c)
{
	if (!c)
		return;
	json_decref(c->items);
	organisations_destroy(c->organisations);
	json_decref(c->by_setting);
	json_decref(c->by_model);
	free(c);
}

static bool key_has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

static void index_organisations(struct config *c)
{
	const char *key;
	json_t *v;
	json_t *hash;
	size_t i;

	organisations_destroy(c->organisations);
	c->organisations = organisations_create();
	json_object_foreach(c->items, key, v) {
		int at;

		if (!key_has_prefix(key, ORGANISATION_PREFIX))
			continue;
		at = organisations_add(c->organisations,
				       str_from(key + strlen(ORGANISATION_PREFIX)), -1,
				       json_get_double(v, "weight", 1.0));
		json_array_foreach(json_object_get(v, "keys"), i, hash)
			organisations_add_key(c->organisations, at,
					      str_from(json_string_value(hash)));
	}
}

static void index_exceptions(struct config *c)
{
	const char *key;
	json_t *v;

	json_decref(c->by_setting);
	c->by_setting = json_object();
	json_object_foreach(c->items, key, v) {
		const char *setting = json_get_cstr(v, "setting", "");
		json_t *list = json_object_get(c->by_setting, setting);

		if (!key_has_prefix(key, "exception/"))
			continue;
		if (!list) {
			list = json_object();
			json_object_set_new(c->by_setting, setting, list);
		}
		json_object_set(list, key, v);
	}
}

/* If two services have the same model, the lower name wins, regardless of the order of changes. */
static void index_services(struct config *c)
{
	const char *key;
	json_t *v;

	json_decref(c->by_model);
	c->by_model = json_object();
	json_object_foreach(c->items, key, v) {
		const char *model = json_get_cstr(v, "model", "");
		const char *known = json_get_cstr(c->by_model, model, NULL);

		if (!key_has_prefix(key, "service/") || !model[0])
			continue;
		if (!known || strcmp(key, known) < 0)
			json_object_set_new(c->by_model, model, json_string(key));
	}
}

static void rebuild_index(struct config *c, const char *key)
{
	if (key_has_prefix(key, ORGANISATION_PREFIX))
		index_organisations(c);
	else if (key_has_prefix(key, "exception/"))
		index_exceptions(c);
	else if (key_has_prefix(key, "service/"))
		index_services(c);
}

static int check_api_key_owners(const struct config *c, const struct config_change *change,
				struct error *err)
{
	json_t *hash;
	size_t i;

	if (!key_has_prefix(change->key, ORGANISATION_PREFIX))
		return 0;
	json_array_foreach(json_object_get(change->value, "keys"), i, hash) {
		const struct organisation *owner =
			organisations_by_key(c->organisations, str_from(json_string_value(hash)));

		if (owner && strcmp(owner->name, change->key + strlen(ORGANISATION_PREFIX)) != 0)
			return error_set(err, ERROR_STATE, CONFIG_BAD_VALUE,
					 "%s: an API key already belongs to " ORGANISATION_PREFIX
					 "%s",
					 change->key, owner->name);
	}
	return 0;
}

struct config *config_apply(const struct config *c, const struct config_change *change,
			    struct error *err)
{
	struct config *next;

	if (change->version <= c->version && !mechanism_is_disabled(MECHANISM_CONFIG_MONOTONIC)) {
		error_set(err, ERROR_STATE, CONFIG_VERSION_STALE,
			  "change %" PRId64 " is already applied; current version is %" PRId64,
			  change->version, c->version);
		return NULL;
	}
	if (change->version > c->version + 1) {
		error_set(err, ERROR_STATE, CONFIG_VERSION_GAP,
			  "change %" PRId64 " does not follow current version %" PRId64,
			  change->version, c->version);
		return NULL;
	}
	if (config_check(change->key, change->value, err) || check_api_key_owners(c, change, err))
		return NULL;
	next = mem_zalloc(sizeof(*next));
	next->version = change->version;
	next->items = json_copy(c->items);
	next->organisations = organisations_get(c->organisations);
	next->by_setting = json_incref(c->by_setting);
	next->by_model = json_incref(c->by_model);
	if (change->value && !json_is_null(change->value))
		json_object_set(next->items, change->key, change->value);
	else
		json_object_del(next->items, change->key);
	rebuild_index(next, change->key);
	return next;
}

int64_t config_version(const struct config *c)
{
	return c->version;
}

json_t *config_to_json(const struct config *c)
{
	return json_pack("{s:I,s:O}", "version", (json_int_t)c->version, "items", c->items);
}

struct config *config_from_json(const json_t *snapshot, struct error *err)
{
	json_t *items = json_object_get(snapshot, "items");
	int64_t version = json_get_i64(snapshot, "version", -1);
	struct config *c;
	const char *key;
	json_t *v;

	if (version < 0 || !json_is_object(items)) {
		error_set(err, ERROR_STATE, CONFIG_BAD_VALUE,
			  "configuration snapshot: expected version and items");
		return NULL;
	}
	json_object_foreach(items, key, v) {
		if (config_check(key, v, err))
			return NULL;
	}
	c = config_create();
	c->version = version;
	json_object_update(c->items, items);
	index_organisations(c);
	index_exceptions(c);
	index_services(c);
	return c;
}

/* Narrower scopes rank higher; 0 means that the exception does not apply. */
static int scope_rank(const char *text, const struct config_scope *scope)
{
	struct str name = str_from(text);
	struct str kind = str_split(&name, '/');

	if (!scope)
		return 0;
	if (str_eq_cstr(kind, "endpoint"))
		return scope->endpoint && str_eq_cstr(name, scope->endpoint) ? 4 : 0;
	if (str_eq_cstr(kind, "organisation"))
		return scope->organisation && str_eq_cstr(name, scope->organisation) ? 3 : 0;
	if (str_eq_cstr(kind, "service"))
		return scope->service && str_eq_cstr(name, scope->service) ? 2 : 0;
	return scope->dc && str_eq_cstr(name, scope->dc) ? 1 : 0;
}

/*
 * If two exceptions have the same scope, the lower key wins, so that all instances resolve to the
 * same value.
 */
static const json_t *exception_value(const struct config *c, const char *setting,
				     const struct config_scope *scope)
{
	json_t *list = json_object_get(c->by_setting, setting);
	const char *best_key = NULL;
	const json_t *best = NULL;
	int best_rank = 0;
	const char *key;
	json_t *v;

	json_object_foreach(list, key, v) {
		int rank = scope_rank(json_get_cstr(v, "scope", ""), scope);

		if (!rank || scope->wall_ms >= json_get_i64(v, "expiry", 0) || rank < best_rank)
			continue;
		if (rank == best_rank && strcmp(key, best_key) > 0)
			continue;
		best = json_object_get(v, "value");
		best_rank = rank;
		best_key = key;
	}
	return best;
}

const json_t *config_setting(const struct config *c, const char *setting,
			     const struct config_scope *scope)
{
	const json_t *v = exception_value(c, setting, scope);
	char key[128];

	if (v)
		return v;
	snprintf(key, sizeof(key), "default/%s", setting);
	v = json_object_get(c->items, key);
	return v ? v : json_object_get(builtins, setting);
}

int64_t config_i64(const struct config *c, const char *setting, const struct config_scope *scope)
{
	return (int64_t)json_number_value(config_setting(c, setting, scope));
}

double config_double(const struct config *c, const char *setting, const struct config_scope *scope)
{
	return json_number_value(config_setting(c, setting, scope));
}

const char *config_cstr(const struct config *c, const char *setting,
			const struct config_scope *scope)
{
	const char *s = json_string_value(config_setting(c, setting, scope));

	return s ? s : "";
}

bool config_organisation_by_key(const struct config *c, const char *key_hash,
				struct config_organisation *out)
{
	const struct organisation *o = organisations_by_key(c->organisations, str_from(key_hash));

	if (!o)
		return false;
	*out = (struct config_organisation){ .name = o->name, .weight = o->weight };
	return true;
}

bool config_organisation(const struct config *c, const char *name, struct config_organisation *out)
{
	for (int i = 0; i < organisations_count(c->organisations); i++) {
		const struct organisation *o = organisations_at(c->organisations, i);

		if (strcmp(o->name, name) != 0)
			continue;
		*out = (struct config_organisation){ .name = o->name, .weight = o->weight };
		return true;
	}
	return false;
}

static enum share_class class_from_name(const char *name)
{
	if (strcmp(name, "urgent") == 0)
		return CLASS_URGENT;
	return strcmp(name, "background") == 0 ? CLASS_BACKGROUND : CLASS_NORMAL;
}

static bool read_service(const struct config *c, const char *key, struct config_service *out)
{
	void *iter = json_object_iter_at(c->items, key);
	const json_t *v = iter ? json_object_iter_value(iter) : NULL;

	if (!v)
		return false;
	*out = (struct config_service){
		.name = json_object_iter_key(iter) + strlen("service/"),
		.kind = strcmp(json_get_cstr(v, "kind", ""), "plain") == 0 ? SERVICE_PLAIN
									   : SERVICE_MODEL,
		.model = json_get_cstr(v, "model", ""),
		.class = class_from_name(json_get_cstr(v, "class", "normal")),
		.deadline_ms = json_get_i64(v, "deadline_ms", 0),
		.first_token_ms = json_get_i64(v, "first_token_ms", 0),
		.gap_ms = json_get_i64(v, "gap_ms", 0),
	};
	/* Calls of a plain service may have side effects, so retries must be allowed explicitly. */
	out->idempotent = json_get_bool(v, "idempotent", out->kind == SERVICE_MODEL);
	return true;
}

static const json_t *item_by_name(const struct config *c, const char *kind, const char *name,
				  char *key, size_t size)
{
	snprintf(key, size, "%s/%s", kind, name);
	return json_object_get(c->items, key);
}

bool config_service(const struct config *c, const char *name, struct config_service *out)
{
	char key[256];

	return item_by_name(c, "service", name, key, sizeof(key)) && read_service(c, key, out);
}

bool config_service_by_model(const struct config *c, const char *model, struct config_service *out)
{
	const char *key = json_get_cstr(c->by_model, model, NULL);

	return key && read_service(c, key, out);
}

const char *config_endpoint_model(const struct config *c, const char *endpoint)
{
	char key[256];

	return json_get_cstr(item_by_name(c, "model", endpoint, key, sizeof(key)), "model", NULL);
}

const json_t *config_endpoint_drain(const struct config *c, const char *endpoint)
{
	char key[256];

	return item_by_name(c, "drain", endpoint, key, sizeof(key));
}

const json_t *config_instance_drain(const struct config *c, const char *instance)
{
	char key[256];

	return item_by_name(c, "drain-instance", instance, key, sizeof(key));
}
