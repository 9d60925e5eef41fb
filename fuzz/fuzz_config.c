#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "ibisgate/common/json.h"
#include "ibisgate/state/config.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Parses configuration snapshots from peers or the object store. An accepted snapshot must survive
 * a round trip through JSON.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct error err = { 0 };
	json_t *value = json_parse((struct str){ .data = (const char *)data, .len = size });
	struct config *c = value ? config_from_json(value, &err) : NULL;
	struct config *decoded;
	json_t *copy;

	if (c) {
		copy = config_to_json(c);
		decoded = config_from_json(copy, &err);
		if (!decoded || config_version(decoded) != config_version(c))
			abort();
		config_destroy(decoded);
		json_decref(copy);
	}
	config_destroy(c);
	json_decref(value);
	return 0;
}
