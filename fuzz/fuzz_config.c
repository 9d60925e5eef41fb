#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "ibisgate/common/json.h"
#include "ibisgate/state/config.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Snapshots from peers or the object store; what is accepted survives a round trip. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct error err = { 0 };
	json_t *value = json_parse((struct str){ .data = (const char *)data, .len = size });
	struct config *c = value ? config_from_json(value, &err) : NULL;
	struct config *again;
	json_t *copy;

	if (c) {
		copy = config_to_json(c);
		again = config_from_json(copy, &err);
		if (!again || config_version(again) != config_version(c))
			abort();
		config_destroy(again);
		json_decref(copy);
	}
	config_destroy(c);
	json_decref(value);
	return 0;
}
