#include <string.h>
#include <strings.h>

#include "front_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/daemon/request.h"

/* mg_read() blocks until its buffer is full, so slow senders are read in small parts. */
#define PART_MIN 16
#define PART_MAX 4096
#define SLOW_PART_MS 20

static bool reply_body_failed(struct exchange *x, bool timed_out)
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
	int64_t started_ms = clock_boot_ms();
	size_t read_bytes = PART_MIN;
	char part[PART_MAX];

	if (length > s->http.body_max_bytes) {
		reply_invalid(x, 413, "body_too_large", NULL, "the request body is too large");
		return false;
	}
	if (expect && strcasecmp(expect, "100-continue") == 0)
		mg_printf(x->conn, "HTTP/1.1 100 Continue\r\n\r\n");
	while (length < 0 || (int64_t)x->body.len < length) {
		int64_t before_ms = clock_boot_ms();
		int64_t now_ms;
		int n;

		if (length >= 0 && (int64_t)read_bytes > length - (int64_t)x->body.len)
			read_bytes = (size_t)(length - (int64_t)x->body.len);
		n = mg_read(x->conn, part, read_bytes);
		now_ms = clock_boot_ms();
		if (n > 0)
			buf_append(&x->body, part, (size_t)n);
		if (now_ms - started_ms > s->http.request_timeout_ms)
			return reply_body_failed(x, true);
		if (n < 0 || (n == 0 && length >= 0))
			return reply_body_failed(x, now_ms - before_ms >=
							    s->http.request_timeout_ms - 1);
		if (n == 0)
			break;
		if ((int64_t)x->body.len > s->http.body_max_bytes) {
			reply_invalid(x, 413, "body_too_large", NULL,
				      "the request body is too large");
			return false;
		}
		read_bytes = now_ms - before_ms > SLOW_PART_MS ? PART_MIN : read_bytes * 2;
		if (read_bytes > PART_MAX)
			read_bytes = PART_MAX;
	}
	x->body_read = true;
	return true;
}

void reply_body_error(struct exchange *x, const struct error *err, const char *param)
{
	switch ((enum request_error)err->code) {
	case REQUEST_UTF8:
		reply_invalid(x, 400, "invalid_utf8", NULL, err->text);
		break;
	case REQUEST_JSON:
		reply_invalid(x, 400, "invalid_json", NULL, err->text);
		break;
	case REQUEST_FIELD:
	case REQUEST_OK:
		reply_invalid(x, 400, "invalid_value", param, err->text);
		break;
	}
}
