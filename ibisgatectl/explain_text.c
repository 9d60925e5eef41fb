#include <inttypes.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/explain_text.h"

static double number(const json_t *o, const char *key)
{
	return json_number_value(json_object_get(o, key));
}

static void append_label(struct buf *out, const char *label)
{
	buf_printf(out, "%-11s ", label);
}

/* Appends " (AGE ms old)"; nothing is known of a negative age. */
static void append_age(struct buf *out, const json_t *o, const char *key)
{
	int64_t age_ms = json_get_i64(o, key, -1);

	if (age_ms < 0)
		buf_printf(out, " (no report)");
	else
		buf_printf(out, " (%" PRId64 " ms old)", age_ms);
}

static void append_sources(struct buf *out, const json_t *o)
{
	append_label(out, "asked");
	buf_printf(out, "%s in %s: configuration %" PRId64, json_get_cstr(o, "instance", "-"),
		   json_get_cstr(o, "dc", "-"), json_get_i64(o, "config_version", 0));
	if (json_object_get(o, "list_age_ms")) {
		buf_printf(out, ", endpoint list");
		append_age(out, o, "list_age_ms");
	}
	if (json_object_get(o, "others_load_age_ms")) {
		buf_printf(out, ", loads of others");
		append_age(out, o, "others_load_age_ms");
	}
	buf_printf(out, "\n");
}

static void append_rule(struct buf *out, const json_t *o)
{
	const json_t *r = json_object_get(o, "rule");
	const json_t *s = json_object_get(o, "service");
	const char *prefix = json_get_cstr(r, "prefix", "");

	if (!r)
		return;
	append_label(out, "route");
	buf_printf(out, "%s (%s%s%s%s) to service %s\n", json_get_cstr(r, "name", "-"),
		   json_get_cstr(r, "host", ""), prefix, prefix[0] ? ", " : "",
		   json_get_cstr(r, "kind", "-"), json_get_cstr(s, "name", "-"));
	append_label(out, "request");
	buf_printf(out,
		   "organisation %s, priority %" PRId64 ", target %" PRId64 " ms, gap %" PRId64
		   " ms, limit %" PRId64 " ms\n",
		   json_get_cstr(o, "organisation", "-"), json_get_i64(o, "priority", 0),
		   json_get_i64(r, "target_ms", 0), json_get_i64(r, "gap_ms", 0),
		   json_get_i64(o, "limit_ms", json_get_i64(r, "timeout_ms", 0)));
}

static void append_verdict(struct buf *out, const json_t *v)
{
	append_label(out, "verdict");
	if (json_get_bool(v, "admitted", false)) {
		buf_printf(out, "admitted\n");
		return;
	}
	buf_printf(out, "refused with %" PRId64 " by %s: %s", json_get_i64(v, "status", 0),
		   json_get_cstr(v, "decision", "-"), json_get_cstr(v, "cause", "-"));
	if (json_object_get(v, "retry_after_ms"))
		buf_printf(out, ", come back in %" PRId64 " ms",
			   json_get_i64(v, "retry_after_ms", 0));
	buf_printf(out, "\n");
}

static void append_room(struct buf *out, const json_t *r)
{
	if (!r)
		return;
	append_label(out, "room");
	buf_printf(out, "queue %.1f ms", number(r, "queue_ms"));
	if (!json_get_bool(r, "gives_way_is_on", false))
		buf_printf(out, ", giving way is off");
	else if (number(r, "queue_limit_ms") < 0)
		buf_printf(out, ", no limit");
	else
		buf_printf(out, " of at most %.1f, share %.1f", number(r, "queue_limit_ms"),
			   number(r, "share_ratio"));
	buf_printf(out,
		   "; first token in %.1f ms of at most %.1f, rest in %.1f ms, deadline in %.1f "
		   "ms\n",
		   number(r, "first_token_ms"), number(r, "first_token_wait_ms"),
		   number(r, "rest_ms"), number(r, "deadline_left_ms"));
}

static void append_queue(struct buf *out, const json_t *q)
{
	if (!q)
		return;
	append_label(out, "queue");
	if (!json_get_bool(q, "admission", true)) {
		buf_printf(out, "admission is off\n");
		return;
	}
	buf_printf(out,
		   "%" PRId64 " waiting, expected wait %.1f ms, refused after %.1f ms, share %.1f",
		   json_get_i64(q, "waiting", 0), number(q, "expected_wait_ms"),
		   number(q, "admitted_within_ms"), number(q, "share_ratio"));
	if (json_get_bool(q, "waits", false))
		buf_printf(out, "; would wait for %s", json_get_cstr(q, "waits_for", "-"));
	buf_printf(out, "\n");
}

static void append_allowances(struct buf *out, const json_t *o)
{
	const json_t *r = json_object_get(o, "retries");
	const json_t *m = json_object_get(o, "memory");

	if (r) {
		append_label(out, "retries");
		buf_printf(out, "%.1f sends left to all requests, %" PRId64 " attempts, %s\n",
			   number(r, "allowance_left"), json_get_i64(r, "max_attempts", 0),
			   json_get_bool(r, "may_run_again", false) ? "may run again"
								    : "runs at most once");
	}
	if (m) {
		append_label(out, "memory");
		buf_printf(out, "%" PRId64 " of %" PRId64 " bytes held, body takes %" PRId64 "%s\n",
			   json_get_i64(m, "held_bytes", 0), json_get_i64(m, "limit_bytes", 0),
			   json_get_i64(m, "body_takes_bytes", 0),
			   json_get_bool(m, "has_room", true) ? "" : ", no room");
	}
}

static void append_endpoints(struct buf *out, const json_t *o)
{
	const json_t *list = json_object_get(o, "unavailable");
	const json_t *ep;
	size_t i;

	if (!json_object_get(o, "endpoints"))
		return;
	append_label(out, "endpoints");
	buf_printf(out, "%" PRId64 ", %" PRId64 " usable", json_get_i64(o, "endpoints", 0),
		   json_get_i64(o, "endpoints_usable", 0));
	if (json_get_bool(o, "only_own_dc", false))
		buf_printf(out, ", only those of this data centre are used");
	json_array_foreach(list, i, ep) {
		buf_printf(out, "%s %s (%s)",
			   i ? "," : "; not usable:", json_get_cstr(ep, "endpoint", "-"),
			   json_get_cstr(ep, "cause", "-"));
	}
	buf_printf(out, "\n");
}

static void append_choice(struct buf *out, const json_t *o)
{
	const json_t *c = json_object_get(o, "choice");
	const char *generates = json_get_cstr(c, "generates", NULL);

	if (!c)
		return;
	append_label(out, "choice");
	if (!generates) {
		buf_printf(out, "%s", json_get_cstr(c, "runs", "-"));
		if (json_get_i64(o, "nearly_equal", 0) > 1)
			buf_printf(out,
				   ", one of %" PRId64
				   " nearly equal ones that the time of arrival decides between",
				   json_get_i64(o, "nearly_equal", 0));
		buf_printf(out, "\n");
		return;
	}
	if (json_get_cstr(c, "reads", NULL))
		buf_printf(out, "%s reads, %s generates", json_get_cstr(c, "reads", "-"),
			   generates);
	else
		buf_printf(out, "%s reads and generates", generates);
	if (json_get_cstr(c, "copies_from", NULL))
		buf_printf(out, ", cached parts are copied from %s",
			   json_get_cstr(c, "copies_from", "-"));
	if (json_get_i64(o, "nearly_equal", 0) > 1)
		buf_printf(out, ", one of %" PRId64 " nearly equal placements",
			   json_get_i64(o, "nearly_equal", 0));
	buf_printf(out, "; %" PRId64 " tokens to read, first token in %.1f ms\n",
		   json_get_i64(c, "read_tokens", 0), number(c, "expected_ms"));
}

static const char *mark(const json_t *o)
{
	return json_get_bool(o, "chosen", false) ? "*" : " ";
}

static void append_load(struct buf *out, const json_t *o)
{
	buf_printf(out, "%s %-14s %-10s %-8s %4" PRId64 "+%-4" PRId64 "/%-5" PRId64 " %8" PRId64,
		   mark(o), json_get_cstr(o, "endpoint", "-"), json_get_cstr(o, "dc", "-"),
		   json_get_cstr(o, "stage", "-"), json_get_i64(o, "active", 0),
		   json_get_i64(o, "others_active", 0), json_get_i64(o, "slots", 0),
		   json_get_i64(o, "heard_age_ms", -1));
}

#define LOAD_HEAD \
	"  %-14s %-10s %-8s %-15s %8s", "endpoint", "dc", "stage", "active/slots", "heard ms"

static void append_dearer(struct buf *out, const json_t *o)
{
	if (json_get_bool(o, "chosen", false))
		buf_printf(out, "  chosen\n");
	else
		buf_printf(out, "  %+.1f %s\n", number(o, "dearer_by"),
			   json_get_cstr(o, "mainly", ""));
}

static void append_title(struct buf *out, const char *title, const json_t *list, int64_t total)
{
	buf_printf(out, "\n%s, %zu of %" PRId64 ":\n", title, json_array_size(list), total);
}

static void append_readers(struct buf *out, const json_t *list, int64_t total)
{
	const json_t *o;
	size_t i;

	append_title(out, "where it could begin (times in ms, the least cost is chosen)", list,
		     total);
	buf_printf(out, LOAD_HEAD);
	buf_printf(out, " %9s %8s %8s %8s %8s %8s %8s %8s  %-14s  %s\n", "expected", "queue",
		   "slots", "reading", "copy", "transfer", "cached", "read", "generates", "cost");
	json_array_foreach(list, i, o) {
		append_load(out, o);
		buf_printf(out,
			   " %9.1f %8.1f %8.1f %8.1f %8.1f %8.1f %8" PRId64 " %8" PRId64 "  %-14s",
			   number(o, "expected_ms"), number(o, "queue_ms"), number(o, "slots_ms"),
			   number(o, "reading_ms"), number(o, "copy_ms"), number(o, "transfer_ms"),
			   json_get_i64(o, "cached_tokens", 0), json_get_i64(o, "read_tokens", 0),
			   json_get_cstr(o, "generates", "-"));
		append_dearer(out, o);
	}
}

static void append_generators(struct buf *out, const json_t *list, int64_t total)
{
	const json_t *o;
	size_t i;

	append_title(out, "what could generate what the chosen engine reads", list, total);
	buf_printf(out, LOAD_HEAD);
	buf_printf(out, " %9s %8s %8s  %s\n", "receive", "backlog", "slowness", "cost");
	json_array_foreach(list, i, o) {
		append_load(out, o);
		buf_printf(out, " %9.1f %8" PRId64 " %8.1f", number(o, "receive_ms"),
			   json_get_i64(o, "backlog_tokens", 0), number(o, "generate_slowness"));
		append_dearer(out, o);
	}
}

static void append_calls(struct buf *out, const json_t *list, int64_t total)
{
	const json_t *o;
	size_t i;

	append_title(out, "endpoints (cost in requests in progress)", list, total);
	buf_printf(out, LOAD_HEAD);
	buf_printf(out, " %8s %8s %8s  %s\n", "slowness", "failures", "cost", "above");
	json_array_foreach(list, i, o) {
		append_load(out, o);
		buf_printf(out, " %8.1f %8.1f %8.1f", number(o, "slowness"),
			   number(o, "failure_score"), number(o, "cost"));
		append_dearer(out, o);
	}
}

void explain_text_append(struct buf *out, const json_t *explanation)
{
	const json_t *candidates = json_object_get(explanation, "candidates");
	const json_t *generators = json_object_get(explanation, "generators");
	const json_t *choice = json_object_get(explanation, "choice");
	int64_t total = json_get_i64(explanation, "candidates_total", 0);

	append_sources(out, explanation);
	append_rule(out, explanation);
	append_verdict(out, json_object_get(explanation, "verdict"));
	append_room(out, json_object_get(explanation, "room"));
	append_queue(out, json_object_get(explanation, "queue"));
	append_allowances(out, explanation);
	append_endpoints(out, explanation);
	append_choice(out, explanation);
	if (candidates && json_object_get(choice, "runs"))
		append_calls(out, candidates, total);
	else if (candidates)
		append_readers(out, candidates, total);
	if (generators)
		append_generators(out, generators,
				  json_get_i64(explanation, "generators_total", 0));
}
