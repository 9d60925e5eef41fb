#include <string.h>
#include <strings.h>

#include "front_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

/* mg_read() waits until a part is full, so slow senders are read in small parts. */
#define PART_MIN 16
#define PART_MAX 4096
#define PART_SLOW_MS 20
/* Parsing is recursive and CivetWeb's threads have small stacks. */
#define JSON_DEPTH_MAX 64

static bool body_failed(struct exchange *x, bool timed_out)
{
	if (timed_out)
		reply_invalid(x, 408, "slow_body", NULL, "the request body arrived too slowly");
	else
		reply_invalid(x, 400, "truncated_body", NULL, "the request body is incomplete");
	return false;
}

bool body_read(struct exchange *x)
{
	const struct settings *s = &x->front->gate->settings;
	const char *expect = mg_get_header(x->conn, "Expect");
	int64_t length = x->info->content_length;
	int64_t started = clock_boot_ms();
	size_t want = PART_MIN;
	char part[PART_MAX];

	if (length > s->http.body_max_bytes) {
		reply_invalid(x, 413, "body_too_large", NULL, "the request body is too large");
		return false;
	}
	if (expect && strcasecmp(expect, "100-continue") == 0)
		mg_printf(x->conn, "HTTP/1.1 100 Continue\r\n\r\n");
	while (length < 0 || (int64_t)x->body.len < length) {
		int64_t before = clock_boot_ms();
		int64_t now;
		int n;

		if (length >= 0 && (int64_t)want > length - (int64_t)x->body.len)
			want = (size_t)(length - (int64_t)x->body.len);
		n = mg_read(x->conn, part, want);
		now = clock_boot_ms();
		if (n > 0)
			buf_append(&x->body, part, (size_t)n);
		if (now - started > s->http.request_timeout_ms)
			return body_failed(x, true);
		if (n < 0 || (n == 0 && length >= 0))
			return body_failed(x, now - before >= s->http.request_timeout_ms - 1);
		if (n == 0)
			break;
		if ((int64_t)x->body.len > s->http.body_max_bytes) {
			reply_invalid(x, 413, "body_too_large", NULL,
				      "the request body is too large");
			return false;
		}
		want = now - before > PART_SLOW_MS ? PART_MIN : want * 2;
		if (want > PART_MAX)
			want = PART_MAX;
	}
	x->body_read = true;
	return true;
}

static bool depth_ok(struct str s)
{
	bool quoted = false;
	int depth = 0;

	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (quoted && c == '\\')
			i++;
		else if (c == '"')
			quoted = !quoted;
		else if (!quoted && (c == '[' || c == '{') && ++depth > JSON_DEPTH_MAX)
			return false;
		else if (!quoted && (c == ']' || c == '}'))
			depth--;
	}
	return true;
}

json_t *body_json(struct exchange *x)
{
	struct str text = buf_str(&x->body);
	json_t *value = NULL;

	if (!str_is_utf8(text)) {
		reply_invalid(x, 400, "invalid_utf8", NULL, "the request body is not UTF-8");
		return NULL;
	}
	if (depth_ok(text))
		value = json_parse(text);
	if (!value)
		reply_invalid(x, 400, "invalid_json", NULL, "the request body is not valid JSON");
	return value;
}
