#include "ibisgate/policy/planned_stop.h"

#include <stddef.h>

/*
 * After a shutdown begins, connections are still accepted for this long, in milliseconds: the
 * platform probes readiness once a second and takes an instance out of service after two answers
 * other than 200.
 */
#define ACCEPT_MS 3000

/*
 * All requests are admitted for this long, in milliseconds. Callers count the time to accept from
 * the signal, which the process handles a little later.
 */
#define ADMIT_ALL_MS 2900

/*
 * Parts of the grace period, in milliseconds: requests that still run this long before its end are
 * answered, and the process exits this long before it.
 */
#define ANSWER_MARGIN_MS 500
#define EXIT_MARGIN_MS 100

static int64_t close_ms(const struct planned_stop *s)
{
	return s->begun_ms + ACCEPT_MS;
}

static int64_t answer_all_ms(const struct planned_stop *s)
{
	return s->begun_ms + s->grace_ms - ANSWER_MARGIN_MS;
}

static int64_t exit_ms(const struct planned_stop *s)
{
	return s->begun_ms + s->grace_ms - EXIT_MARGIN_MS;
}

bool planned_stop_accepts(const struct planned_stop *s, int64_t now_ms)
{
	return !s->begun_ms || now_ms < close_ms(s);
}

bool planned_stop_admits(const struct planned_stop *s, int64_t until_ms, int64_t now_ms)
{
	/* Before, another instance may not be in use yet, and most requests take less time. */
	if (!s->begun_ms || now_ms < s->begun_ms + ADMIT_ALL_MS)
		return true;
	return until_ms <= answer_all_ms(s);
}

bool planned_stop_answers_all(const struct planned_stop *s, int64_t now_ms)
{
	return s->begun_ms && now_ms >= answer_all_ms(s);
}

bool planned_stop_is_over(const struct planned_stop *s, int64_t now_ms)
{
	return s->begun_ms && now_ms >= exit_ms(s);
}

int64_t planned_stop_next_ms(const struct planned_stop *s, int64_t now_ms)
{
	const int64_t changes[] = { close_ms(s), answer_all_ms(s), exit_ms(s) };
	int64_t next = -1;

	for (size_t i = 0; s->begun_ms && i < sizeof(changes) / sizeof(changes[0]); i++) {
		if (changes[i] > now_ms && (next < 0 || changes[i] < next))
			next = changes[i];
	}
	return next;
}
