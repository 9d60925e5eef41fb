#include <stdlib.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"
#include "ibisgate/state/config.h"

static json_t *effective_value(const json_t *items, const struct setting_info *info, bool *set)
{
	char key[128];
	json_t *value;

	snprintf(key, sizeof(key), "default/%s", info->name);
	value = json_object_get(items, key);
	*set = value != NULL;
	return value ? json_incref(value) : json_from_text(info->builtin);
}

static json_t *list_settings(json_t *config)
{
	const json_t *items = json_object_get(config, "items");
	json_t *list = json_array();
	const struct setting_info *infos;
	int count;

	infos = setting_info_table(&count);
	for (int i = 0; i < count; i++) {
		bool set;
		json_t *value = effective_value(items, &infos[i], &set);

		json_array_append_new(list,
				      json_pack("{s:s,s:o,s:b,s:s}", "setting", infos[i].name,
						"value", value, "set", set, "help", infos[i].help));
	}
	return list;
}

static void print_list(const json_t *list)
{
	const json_t *row;
	size_t i;

	printf("%-24s %-18s %-9s %s\n", "SETTING", "VALUE", "FROM", "MEANING");
	json_array_foreach(list, i, row) {
		char *text = json_dumps(json_object_get(row, "value"), JSON_ENCODE_ANY);

		printf("%-24s %-18s %-9s %s\n", json_get_cstr(row, "setting", ""), text,
		       json_get_bool(row, "set", false) ? "default" : "built-in",
		       json_get_cstr(row, "help", ""));
		free(text);
	}
}

int cmd_default_list(struct ctl *ctl, int argc, char **argv)
{
	return command_show_config(ctl, argc, argv, list_settings, print_list);
}
