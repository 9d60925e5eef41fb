#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "ibisgate/net/sse.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint64_t events_hash(struct str text, size_t step)
{
	struct sse sse = { 0 };
	uint64_t hash = 0;
	struct str event;

	while (text.len) {
		size_t n = step < text.len ? step : text.len;

		sse_feed(&sse, (struct str){ .data = text.data, .len = n });
		text.data += n;
		text.len -= n;
		while (sse_next(&sse, &event) > 0)
			hash = hash * 31 + event.len + 1;
	}
	sse_free(&sse);
	return hash;
}

/* Parses event streams from endpoints. The events must not depend on how the bytes are chunked. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = { .data = (const char *)data, .len = size };

	if (events_hash(text, 1) != events_hash(text, size ? size : 1) ||
	    events_hash(text, 7) != events_hash(text, 1))
		abort();
	return 0;
}
