#include <string.h>

#include "ibisgate/net/event_stream.h"

/* Starts the next event at @pos. */
static void event_begin(struct event_stream *s, size_t pos)
{
	s->pos = pos;
	s->line = pos;
	s->searched = pos;
	s->next = (struct stream_event){ 0 };
	s->ids = 0;
}

void event_stream_feed(struct event_stream *s, struct str bytes)
{
	if (s->pos) {
		buf_consume(&s->buf, s->pos);
		s->line -= s->pos;
		s->searched -= s->pos;
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
	++*ids;
	if (!str_to_i64(line, &out->id) || out->id < 0)
		out->id = -1;
}

bool event_stream_next(struct event_stream *s, struct stream_event *out)
{
	while (s->searched < s->buf.len) {
		const char *start = s->buf.data + s->line;
		const char *end = memchr(s->buf.data + s->searched, '\n', s->buf.len - s->searched);
		struct str line;

		if (!end) {
			s->searched = s->buf.len;
			return false;
		}
		line = line_trim_cr((struct str){ .data = start, .len = (size_t)(end - start) });
		s->line = s->searched = (size_t)(end - s->buf.data) + 1;
		if (!line.len) {
			*out = s->next;
			if (s->ids != 1)
				out->id = -1;
			out->raw = (struct str){ .data = s->buf.data + s->pos,
						 .len = s->line - s->pos };
			event_begin(s, s->line);
			return true;
		}
		parse_line(line, &s->next, &s->ids);
	}
	return false;
}

bool event_stream_has_partial(const struct event_stream *s)
{
	return s->pos < s->buf.len;
}

void event_stream_reset(struct event_stream *s)
{
	s->buf.len = 0;
	event_begin(s, 0);
}

void event_stream_free(struct event_stream *s)
{
	buf_free(&s->buf);
	event_begin(s, 0);
}
