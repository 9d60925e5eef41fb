#include <string.h>

#include "ibisgate/net/sse.h"

void sse_feed(struct sse *s, struct str bytes)
{
	if (s->pos) {
		buf_consume(&s->buf, s->pos);
		s->searched -= s->pos;
		s->pos = 0;
	}
	if (s->buf.len + s->data.len + bytes.len > SSE_EVENT_MAX) {
		s->has_overflowed = true;
		return;
	}
	buf_append_str(&s->buf, bytes);
}

/* Gets the next line without its line ending. A CR at the end of the buffer is left there until the
 * next byte shows whether an LF follows. */
static bool line_next(struct sse *s, struct str *line)
{
	const char *start = s->buf.data + s->pos;
	size_t len = s->buf.len - s->pos;
	size_t end = s->searched - s->pos;

	if (!s->buf.data)
		return false;
	while (end < len && start[end] != '\n' && start[end] != '\r')
		end++;
	s->searched = s->pos + end;
	if (end == len || (start[end] == '\r' && end + 1 == len))
		return false;
	*line = (struct str){ .data = start, .len = end };
	s->pos += end + 1;
	if (start[end] == '\r' && start[end + 1] == '\n')
		s->pos++;
	s->searched = s->pos;
	return true;
}

static void line_parse(struct sse *s, struct str line)
{
	if (!str_starts_with(line, STR_LIT("data:")))
		return;
	line.data += 5;
	line.len -= 5;
	if (line.len && line.data[0] == ' ') {
		line.data++;
		line.len--;
	}
	if (s->has_data)
		buf_append(&s->data, "\n", 1);
	buf_append_str(&s->data, line);
	s->has_data = true;
}

int sse_next(struct sse *s, struct str *data)
{
	struct str line;

	if (s->has_overflowed)
		return -1;
	if (!s->has_data)
		buf_reset(&s->data);
	while (line_next(s, &line)) {
		if (line.len) {
			line_parse(s, line);
			continue;
		}
		if (!s->has_data)
			continue;
		s->has_data = false;
		*data = buf_str(&s->data);
		return 1;
	}
	return 0;
}

void sse_free(struct sse *s)
{
	buf_free(&s->buf);
	buf_free(&s->data);
}
