#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"
#include "ibisgate/state/config.h"

/* Returns the value of @setting without the exception; new reference. */
static json_t *overridden_value(const json_t *items, const char *setting)
{
	const struct setting_info *infos;
	char key[128];
	json_t *value;
	int count;

	snprintf(key, sizeof(key), "default/%s", setting);
	value = json_object_get(items, key);
	if (value)
		return json_incref(value);
	infos = setting_info_table(&count);
	for (int i = 0; i < count; i++) {
		if (strcmp(infos[i].name, setting) == 0)
			return json_from_text(infos[i].builtin);
	}
	return json_null();
}

static json_t *list_exceptions(json_t *config)
{
	json_t *items = json_object_get(config, "items");
	json_t *list = json_array();
	const char *key;
	json_t *value;

	json_object_foreach(items, key, value) {
		json_t *row;

		if (strncmp(key, "exception/", 10) != 0)
			continue;
		row = json_deep_copy(value);
		json_object_set_new(row, "id", json_string(key + 10));
		json_object_set_new(row, "overrides",
				    overridden_value(items, json_get_cstr(value, "setting", "")));
		json_object_set_new(
			row, "expired",
			json_boolean(json_get_i64(value, "expiry", 0) <= clock_wall_ms()));
		json_array_append_new(list, row);
	}
	return list;
}

static void print_list(const json_t *list)
{
	const json_t *row;
	size_t i;

	printf("%-12s %-28s %-24s %-10s %-10s %-10s %-8s %s\n", "ID", "SCOPE", "SETTING", "VALUE",
	       "OVERRIDES", "AUTHOR", "EXPIRED", "REASON");
	json_array_foreach(list, i, row) {
		char *value = json_dumps(json_object_get(row, "value"), JSON_ENCODE_ANY);
		char *overridden = json_dumps(json_object_get(row, "overrides"), JSON_ENCODE_ANY);

		printf("%-12s %-28s %-24s %-10s %-10s %-10s %-8s %s\n",
		       json_get_cstr(row, "id", ""), json_get_cstr(row, "scope", ""),
		       json_get_cstr(row, "setting", ""), value, overridden,
		       json_get_cstr(row, "author", ""),
		       json_get_bool(row, "expired", false) ? "yes" : "no",
		       json_get_cstr(row, "reason", ""));
		free(value);
		free(overridden);
	}
}

int cmd_exception_list(struct ctl *ctl, int argc, char **argv)
{
	return command_show_config(ctl, argc, argv, list_exceptions, print_list);
}
