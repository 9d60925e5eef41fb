#ifndef IBISGATE_NET_SSE_H
#define IBISGATE_NET_SSE_H

#include <stdbool.h>

#include "ibisgate/common/str.h"

/* Maximum size of an event from an endpoint, in bytes. */
#define SSE_EVENT_MAX (1 << 20)

/**
 * struct sse - incremental parser of server-sent events; zero-initialise before use
 * @buf: received bytes
 * @pos: offset in @buf of the first line that is not yet parsed
 * @searched: offset in @buf up to which that line has no end
 * @data: data of the event being parsed
 * @has_data: the event being parsed has a data line
 * @has_overflowed: an event exceeded SSE_EVENT_MAX
 */
struct sse {
	struct buf buf;
	size_t pos;
	size_t searched;
	struct buf data;
	bool has_data;
	bool has_overflowed;
};

/** sse_feed - append received bytes */
void sse_feed(struct sse *s, struct str bytes);

/**
 * sse_next - get the next complete event
 * @data: out: data lines of the event, joined with newlines; valid until the next call
 *
 * Comments and fields other than data are skipped.
 *
 * Return: 1 with an event, 0 if more bytes are needed, -1 if an event exceeds SSE_EVENT_MAX.
 */
int sse_next(struct sse *s, struct str *data);
void sse_free(struct sse *s);

#endif
