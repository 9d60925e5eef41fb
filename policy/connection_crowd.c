#include "ibisgate/policy/connection_crowd.h"

#include <stdlib.h>

/* Threads run short when less than this share of them is free. */
#define FREE_SHARE 0.125

/* Share that is freed then. A quarter isn't used for connections with keep-alive either. */
#define FREED_SHARE 0.25

/*
 * Time without a head, or after the last answer, that is left to a connection, in milliseconds. A
 * head that is sent at once arrives within it, even if one of its packets is lost twice.
 */
#define WAITING_MIN_MS 1000
#define ENDING_MIN_MS 1000

/* Silence of a body; the first repeat of a lost packet comes after 200 to 300 ms. */
#define BODY_SILENT_MS 400

/* Age from which the pace of a body is judged, in milliseconds. */
#define BODY_PACE_MIN_MS 1000

static int64_t threads_share(const struct crowd_limits *l, double share)
{
	return (int64_t)(share * l->threads);
}

bool crowd_is_short(const struct crowd_limits *l, int open)
{
	return open >= l->threads - threads_share(l, FREE_SHARE);
}

/* Whether a largest body at this pace would not arrive in time. */
static bool body_is_slow(const struct crowd_limits *l, const struct crowd_connection *c)
{
	return c->age_ms >= BODY_PACE_MIN_MS &&
	       (double)c->received_bytes * (double)l->request_timeout_ms <
		       (double)l->body_max_bytes * (double)c->age_ms;
}

static enum crowd_verdict connection_verdict(const struct crowd_limits *l,
					     const struct crowd_connection *c)
{
	switch (c->stage) {
	case CONNECTION_WAITING:
		return c->age_ms >= WAITING_MIN_MS && !c->has_unread ? CROWD_WAITING : CROWD_KEEP;
	case CONNECTION_ENDING:
		return c->age_ms >= ENDING_MIN_MS ? CROWD_ENDING : CROWD_KEEP;
	case CONNECTION_BODY:
		if (c->age_ms >= BODY_SILENT_MS && c->silent_ms >= BODY_SILENT_MS && !c->has_unread)
			return CROWD_SILENT_BODY;
		return body_is_slow(l, c) ? CROWD_SLOW_BODY : CROWD_KEEP;
	case CONNECTION_SERVED:
		break;
	}
	return CROWD_KEEP;
}

/* Time for which a connection has been of no use; a body's bytes count for it. */
static double idle_time(const struct crowd_connection *c)
{
	if (c->stage == CONNECTION_BODY)
		return (double)(c->age_ms + 1) / (double)(c->received_bytes + 1);
	return (double)c->age_ms;
}

static int compare(const void *left, const void *right)
{
	const struct crowd_connection *a = left;
	const struct crowd_connection *b = right;
	double a_time = idle_time(a);
	double b_time = idle_time(b);

	if (a->verdict != b->verdict)
		return a->verdict > b->verdict ? -1 : 1;
	return (b_time > a_time) - (b_time < a_time);
}

int crowd_decide(const struct crowd_limits *l, struct crowd_connection *c, int count)
{
	int64_t excess = count - (l->threads - threads_share(l, FREED_SHARE));
	int chosen = 0;

	if (!crowd_is_short(l, count))
		return 0;
	for (int i = 0; i < count; i++)
		c[i].verdict = connection_verdict(l, &c[i]);
	qsort(c, (size_t)count, sizeof(*c), compare);
	while (chosen < count && chosen < excess && c[chosen].verdict != CROWD_KEEP)
		chosen++;
	return chosen;
}
