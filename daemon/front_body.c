#include <string.h>
#include <strings.h>

#include "front_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/metrics.h"
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

/* Takes the memory to read the body on; refuses the request when there is none. */
static bool body_take(struct exchange *x, int64_t length)
{
	struct front *f = x->front;
	int64_t bytes = memory_ledger_body_bytes((int64_t)x->body.len + PART_MAX, length);
	bool taken = true;

	if (x->body_held >= bytes)
		return true;
	pthread_mutex_lock(&f->ledger_lock);
	taken = memory_ledger_has_room(&f->ledger, x->body_held, bytes,
				       f->gate->settings.http.body_max_bytes);
	if (taken)
		memory_ledger_set(&f->ledger, LEDGER_BODIES, &x->body_held, bytes);
	metric_set(METRIC_HELD_BODIES, f->ledger.held[LEDGER_BODIES]);
	metric_set(METRIC_HELD_LIMIT, f->ledger.limit);
	pthread_mutex_unlock(&f->ledger_lock);
	if (taken)
		return true;
	metric_add(METRIC_REFUSED_FOR_MEMORY, 1);
	reply_outcome(x, &(struct outcome){ .status = 503,
					    .type = "not_run",
					    .code = "no_memory",
					    .message = "no memory for the request body",
					    .retry_after_s = 1 });
	return false;
}

void body_release(struct exchange *x)
{
	struct front *f = x->front;

	buf_free(&x->body);
	if (!x->body_held)
		return;
	pthread_mutex_lock(&f->ledger_lock);
	memory_ledger_set(&f->ledger, LEDGER_BODIES, &x->body_held, 0);
	metric_set(METRIC_HELD_BODIES, f->ledger.held[LEDGER_BODIES]);
	pthread_mutex_unlock(&f->ledger_lock);
}

static bool reply_body_given_up(struct exchange *x, enum crowd_verdict verdict)
{
	struct outcome o = { .status = 503,
			     .type = "not_run",
			     .code = "no_thread",
			     .message = "no thread is free for a request body this slow",
			     .retry_after_s = 1 };

	if (verdict == CROWD_SILENT_BODY)
		return reply_body_failed(x, true);
	reply_outcome(x, &o);
	return false;
}

static bool body_receive(struct exchange *x)
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
	if (!body_take(x, length))
		return false;
	if (expect && strcasecmp(expect, "100-continue") == 0)
		mg_printf(x->conn, "HTTP/1.1 100 Continue\r\n\r\n");
	while (length < 0 || (int64_t)x->body.len < length) {
		int64_t before_ms = clock_boot_ms();
		enum crowd_verdict verdict;
		int64_t now_ms;
		int n;

		if (!body_take(x, length))
			return false;
		if (length >= 0 && (int64_t)read_bytes > length - (int64_t)x->body.len)
			read_bytes = (size_t)(length - (int64_t)x->body.len);
		n = mg_read(x->conn, part, read_bytes);
		now_ms = clock_boot_ms();
		if (n > 0)
			buf_append(&x->body, part, (size_t)n);
		verdict = front_slot_received(x->slot, x->body.len);
		if (verdict != CROWD_KEEP)
			return reply_body_given_up(x, verdict);
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

bool body_read(struct exchange *x)
{
	enum crowd_verdict verdict;
	bool whole;

	front_slot_enter(x->slot, CONNECTION_BODY);
	whole = body_receive(x);
	verdict = front_slot_enter(x->slot, CONNECTION_SERVED);
	if (!whole || verdict == CROWD_KEEP)
		return whole;
	x->body_read = false;
	return reply_body_given_up(x, verdict);
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
