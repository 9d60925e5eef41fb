#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "ibisgate/daemon/request.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Parses completion and chat request bodies. An accepted one has a model and a UTF-8 prompt. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = { .data = (const char *)data, .len = size };

	for (int chat = 0; chat <= 1; chat++) {
		struct error err = { 0 };
		struct request req;
		int rc = request_parse(text, chat, &req, &err);

		if (rc < 0 && err.code == REQUEST_OK)
			abort();
		if (rc == 0 && (!req.model[0] || !str_is_utf8(buf_str(&req.prompt))))
			abort();
		request_clear(&req);
	}
	return 0;
}
