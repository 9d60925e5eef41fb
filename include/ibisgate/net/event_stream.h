#ifndef IBISGATE_NET_EVENT_STREAM_H
#define IBISGATE_NET_EVENT_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/**
 * struct stream_event - one complete event of a text/event-stream body, as received
 * @id: its id; -1 when it has none, more than one, or one that is no number from 0 on
 * @has_fields: false for a block of comments only, which is no event
 */
struct stream_event {
	struct str raw;
	int64_t id;
	bool has_fields;
};

/**
 * struct event_stream - splitter of a body into complete events; zero-initialise before use
 * @buf: received bytes
 * @pos: start of the first event that is not yet returned
 * @line: start of its first line that is not yet parsed
 * @searched: offset up to which that line has no end
 * @next: what the parsed lines say of the event
 * @ids: number of ids among them
 *
 * Each byte is looked at once, however the body is divided.
 *
 * Unlike struct sse it keeps the raw bytes of each event, so that they can be relayed unchanged.
 */
struct event_stream {
	struct buf buf;
	size_t pos;
	size_t line;
	size_t searched;
	struct stream_event next;
	int ids;
};

void event_stream_feed(struct event_stream *s, struct str bytes);

/**
 * event_stream_next - get the next complete event; false when more bytes are needed
 *
 * The bytes of @out are valid until the next call of event_stream_feed().
 */
bool event_stream_next(struct event_stream *s, struct stream_event *out);

/** event_stream_has_partial - true if the buffer ends with an incomplete event */
bool event_stream_has_partial(const struct event_stream *s);

void event_stream_reset(struct event_stream *s);
void event_stream_free(struct event_stream *s);

#endif
