#include <stdio.h>
#include <string.h>

#include "faults.h"
#include "ibisgate/common/json.h"

static int instance_index(const struct fault_run *r, const char *id)
{
	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		if (strcmp(r->fleet->instances[i].id, id) == 0)
			return i;
	}
	return 0;
}

static bool event_is_kind(const json_t *o, const char *kind)
{
	return strcmp(json_get_cstr(o, "kind", ""), kind) == 0;
}

static bool member_equal(const json_t *a, const json_t *b, const char *member)
{
	return strcmp(json_get_cstr(a, member, ""), json_get_cstr(b, member, "")) == 0;
}

static void late_attempt_report(struct fault_run *r, const json_t *o, int64_t from_ms,
				const char *why)
{
	faults_violation(r, 7, "%s sent %s to %s %lld ms after %s",
			 json_get_cstr(o, "instance", ""), json_get_cstr(o, "request", ""),
			 json_get_cstr(o, "endpoint", ""),
			 (long long)(json_get_i64(o, "time_ms", 0) - from_ms), why);
}

/*
 * Reports an attempt by any instance to use @endpoint between the bound after it was marked as
 * draining, at @from_ms, and its return, at @to_ms.
 */
static void check_attempts_of_all(struct fault_run *r, const char *endpoint, int64_t from_ms,
				  int64_t to_ms, const char *why)
{
	const json_t *o;
	size_t i;

	json_array_foreach(r->events, i, o) {
		int64_t at = json_get_i64(o, "time_ms", 0);

		if (at <= from_ms + FAULTS_LEAVE_BOUND_MS || at >= to_ms ||
		    !event_is_kind(o, "attempt-sent") ||
		    strcmp(json_get_cstr(o, "endpoint", ""), endpoint) != 0)
			continue;
		/* For an instance that could not receive the mark, the bound starts once it can. */
		if (faults_instance_affected(r, instance_index(r, json_get_cstr(o, "instance", "")),
					     at - FAULTS_LEAVE_BOUND_MS, at))
			continue;
		late_attempt_report(r, o, from_ms, why);
		return;
	}
}

/*
 * Reports an attempt by the instance that logged the leave itself. No fault of the links can
 * excuse it.
 */
static void check_attempts_of_observer(struct fault_run *r, const json_t *leave, size_t index)
{
	int64_t from_ms = json_get_i64(leave, "time_ms", 0);
	const json_t *o;

	for (size_t i = index + 1; i < json_array_size(r->events); i++) {
		o = json_array_get(r->events, i);
		if (!member_equal(o, leave, "instance") || !member_equal(o, leave, "endpoint") ||
		    json_get_i64(o, "process", 0) != json_get_i64(leave, "process", 0))
			continue;
		if (event_is_kind(o, "endpoint-return"))
			return;
		if (event_is_kind(o, "attempt-sent") &&
		    json_get_i64(o, "time_ms", 0) > from_ms + FAULTS_LEAVE_BOUND_MS) {
			late_attempt_report(r, o, from_ms, "it logged the leave itself");
			return;
		}
	}
}

static int64_t order_end_ms(const struct fault_run *r, const char *order, int64_t from_ms)
{
	int64_t end = INT64_MAX;
	const json_t *o;
	size_t i;

	json_array_foreach(r->events, i, o) {
		int64_t at = json_get_i64(o, "time_ms", 0);

		if (!event_is_kind(o, "endpoint-return") && !event_is_kind(o, "drain-aborted") &&
		    !event_is_kind(o, "role-changed"))
			continue;
		if (at >= from_ms && at < end && strstr(json_get_cstr(o, "detail", ""), order))
			end = at;
	}
	return end;
}

/* Time from which other instances could receive a mark that @instance made at @at_ms. */
static int64_t reachable_from_ms(const struct fault_run *r, int instance, int64_t at_ms)
{
	int64_t from_ms = at_ms;

	for (int i = 0; i < r->window_count; i++) {
		const struct fault_window *w = &r->windows[i];

		if ((w->instance == instance || w->instance < 0) &&
		    w->from_ms <= from_ms + FAULTS_LEAVE_BOUND_MS &&
		    (!w->to_ms || w->to_ms > from_ms))
			from_ms = w->to_ms ? w->to_ms : INT64_MAX / 2;
	}
	return from_ms;
}

static void check_order_leaves(struct fault_run *r)
{
	const json_t *o;
	size_t i;

	json_array_foreach(r->events, i, o) {
		const char *detail = json_get_cstr(o, "detail", "");
		int64_t at = json_get_i64(o, "time_ms", 0);
		char order[64];

		if (!event_is_kind(o, "endpoint-leave"))
			continue;
		check_attempts_of_observer(r, o, i);
		/* The entry of the holder itself has an empty holder field. */
		if (sscanf(detail, "order=%63s", order) != 1 || !strstr(detail, "holder=") ||
		    strstr(detail, "holder=")[strlen("holder=")])
			continue;
		check_attempts_of_all(
			r, json_get_cstr(o, "endpoint", ""),
			reachable_from_ms(r, instance_index(r, json_get_cstr(o, "instance", "")),
					  at),
			order_end_ms(r, order, at), detail);
	}
}

void faults_check_leaving(struct fault_run *r)
{
	for (int k = 0; k < r->drain_count; k++)
		check_attempts_of_all(r, r->drains[k].endpoint, r->drains[k].from_ms,
				      r->drains[k].to_ms ? r->drains[k].to_ms : INT64_MAX,
				      "its operator drain");
	check_order_leaves(r);
	printf("drains: %d by operators\n", r->drain_count);
}
