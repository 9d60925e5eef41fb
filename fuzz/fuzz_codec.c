#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "ibisgate/net/codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Decodes messages between instances. An accepted message must survive encoding and decoding. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct error err = { 0 };
	struct buf out = { 0 };
	struct peer_message *decoded;
	struct peer_message *m =
		peer_message_decode((struct str){ .data = (const char *)data, .len = size }, &err);

	if (!m)
		return 0;
	if (peer_message_encode(m, &out, &err) == 0) {
		decoded = peer_message_decode(buf_str(&out), &err);
		if (!decoded || decoded->kind != m->kind)
			abort();
		peer_message_destroy(decoded);
	}
	peer_message_destroy(m);
	buf_free(&out);
	return 0;
}
