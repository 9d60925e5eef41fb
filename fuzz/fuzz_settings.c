#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "ibisgate/common/str.h"
#include "ibisgate/daemon/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Parses settings files. Every failure to parse must set an error code. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct settings settings;
	struct error err = { 0 };
	char *text = str_dup((struct str){ .data = (const char *)data, .len = size });

	if (settings_parse(&settings, text, "fuzz", NULL, &err) < 0 && err.code == SETTINGS_OK)
		abort();
	free(text);
	return 0;
}
