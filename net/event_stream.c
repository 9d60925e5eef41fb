#include <string.h>

#include "ibisgate/net/event_stream.h"

void event_stream_feed(struct event_stream *s, struct str bytes)
{
	if (s->pos) {
		buf_consume(&s->buf, s->pos);
		s->pos = 0;
	}
	buf_append(&s->buf, bytes.data, bytes.len);
}

static struct str line_trim_cr(struct str line)
{
	if (line.len && line.data[line.len - 1] == '\r')
		line.len--;
	return line;
}

static void parse_line(struct str line, struct stream_event *out, int *ids)
{
	struct str name = str_split(&line, ':');

	/* A comment begins with a colon. */
	if (!name.len)
		return;
	out->has_fields = true;
	if (!str_eq_cstr(name, "id"))
		return;
	if (line.len && line.data[0] == ' ') {
		line.data++;
		line.len--;
	}
	if (++*ids > 1 || !str_to_i64(line, &out->id) || out->id < 0)
		out->id = -1;
}

bool event_stream_next(struct event_stream *s, struct stream_event *out)
{
	size_t offset = s->pos;
	int ids = 0;

	*out = (struct stream_event){ .id = -1 };
	while (offset < s->buf.len) {
		const char *start = s->buf.data + offset;
		const char *end = memchr(start, '\n', s->buf.len - offset);
		struct str line;

		if (!end)
			return false;
		line = line_trim_cr((struct str){ .data = start, .len = (size_t)(end - start) });
		offset = (size_t)(end - s->buf.data) + 1;
		if (!line.len) {
			out->raw = (struct str){ .data = s->buf.data + s->pos,
						 .len = offset - s->pos };
			s->pos = offset;
			return true;
		}
		parse_line(line, out, &ids);
	}
	return false;
}

size_t event_stream_partial_bytes(const struct event_stream *s)
{
	return s->buf.len - s->pos;
}

bool event_stream_has_partial(const struct event_stream *s)
{
	return s->pos < s->buf.len;
}

void event_stream_reset(struct event_stream *s)
{
	s->buf.len = 0;
	s->pos = 0;
}

void event_stream_free(struct event_stream *s)
{
	buf_free(&s->buf);
	s->pos = 0;
}
