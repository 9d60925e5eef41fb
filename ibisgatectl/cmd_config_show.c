#include <inttypes.h>
#include <stdlib.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

static void print_config(const json_t *config)
{
	json_t *items = json_object_get(config, "items");
	const char *key;
	json_t *value;

	printf("version %" PRId64 "\n", json_get_i64(config, "version", 0));
	json_object_foreach(items, key, value) {
		char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);

		printf("%-40s %s\n", key, text);
		free(text);
	}
}

static json_t *config_ref(json_t *config)
{
	return json_incref(config);
}

int cmd_config_show(struct ctl *ctl, int argc, char **argv)
{
	return command_show_config(ctl, argc, argv, config_ref, print_config);
}
