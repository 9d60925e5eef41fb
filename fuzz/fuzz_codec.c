#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "ibisgate/net/codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Messages between instances; what is accepted can be encoded and decoded again. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct error err = { 0 };
	struct buf out = { 0 };
	struct peer_message *again;
	struct peer_message *m =
		peer_message_decode((struct str){ .data = (const char *)data, .len = size }, &err);

	if (!m)
		return 0;
	if (peer_message_encode(m, &out, &err) == 0) {
		again = peer_message_decode(buf_str(&out), &err);
		if (!again || again->kind != m->kind)
			abort();
		peer_message_destroy(again);
	}
	peer_message_destroy(m);
	buf_free(&out);
	return 0;
}
