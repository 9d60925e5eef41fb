#ifndef IBISGATE_NET_EVENT_STREAM_H
#define IBISGATE_NET_EVENT_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/** struct stream_event - one whole event of a text/event-stream body, as received */
struct stream_event {
	struct str raw;
	bool has_id;
	int64_t id;
};

/**
 * struct event_stream - splits a body into whole events; zero-initialised at the start
 *
 * Unlike struct sse it keeps the bytes of each event, which are passed on unchanged.
 */
struct event_stream {
	struct buf buf;
	size_t pos;
};

void event_stream_feed(struct event_stream *s, struct str bytes);

/** event_stream_next - next whole event; its bytes are valid until the next feed */
bool event_stream_next(struct event_stream *s, struct stream_event *out);

/** event_stream_partial - bytes of an unfinished event are left */
bool event_stream_partial(const struct event_stream *s);
void event_stream_reset(struct event_stream *s);
void event_stream_free(struct event_stream *s);

#endif
