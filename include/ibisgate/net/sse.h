#ifndef IBISGATE_NET_SSE_H
#define IBISGATE_NET_SSE_H

#include <stdbool.h>

#include "ibisgate/common/str.h"

/* Longest event accepted from an endpoint, in bytes. */
#define SSE_EVENT_MAX (1 << 20)

/**
 * struct sse - incremental parser of server-sent events; zero-initialised at the start
 * @buf: bytes not yet returned
 * @pos: start of the first line not yet read
 * @data: value of the event being read
 */
struct sse {
	struct buf buf;
	size_t pos;
	struct buf data;
	bool has_data;
	bool overflow;
};

/** sse_feed - append received bytes */
void sse_feed(struct sse *s, struct str bytes);

/**
 * sse_next - next complete event
 * @data: out: data lines joined with a newline; valid until the next call
 *
 * Comments and fields other than data are skipped.
 *
 * Return: 1 with an event, 0 when more bytes are needed, -1 when an event exceeds SSE_EVENT_MAX.
 */
int sse_next(struct sse *s, struct str *data);
void sse_free(struct sse *s);

#endif
