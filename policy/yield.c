#include <math.h>

#include "ibisgate/policy/yield.h"

/*
 * Time to first token up to which requests are accepted, as a multiple of the target: for the
 * highest priority, less for each lower one, and the least. An engine's queue serves urgent
 * requests first, so a queue of the same length delays them less than the forecast says.
 */
#define TARGET_URGENT_FACTOR 1.25
#define TARGET_STEP_FACTOR 0.125
#define TARGET_MIN_FACTOR 1.0

/*
 * Queue with which a request is accepted whatever its own work, as a multiple of the target, so
 * that large requests are served at least half as often as the others of their kind.
 */
#define QUEUE_MIN_FACTOR 0.7

/*
 * An organisation is above its share from this multiple on. Its limit shrinks with the multiple,
 * down to the least factor: a queue between that and the whole limit is made by organisations above
 * their share only, so that the others are not turned away.
 */
#define SHARE_ABOVE_RATIO 1.5
#define SHARE_MIN_FACTOR 0.6

/* Bounds of Retry-After in milliseconds; a queue is forecast only over a few seconds. */
#define RETRY_AFTER_MIN_MS 100.0
#define RETRY_AFTER_MAX_MS 3000.0

static double target_factor(int priority)
{
	return fmax(TARGET_URGENT_FACTOR - TARGET_STEP_FACTOR * priority, TARGET_MIN_FACTOR);
}

static double share_factor(double ratio)
{
	return ratio <= SHARE_ABOVE_RATIO ? 1 : fmax(SHARE_ABOVE_RATIO / ratio, SHARE_MIN_FACTOR);
}

double yield_queue_limit_ms(const struct yield_request *r)
{
	double left_ms = r->target_ms * target_factor(r->priority) - r->work_ms;

	if (r->target_ms <= 0)
		return -1;
	return fmax(left_ms, r->target_ms * QUEUE_MIN_FACTOR) * share_factor(r->share_ratio);
}

bool yield_gives_way(const struct yield_request *r)
{
	double limit_ms = yield_queue_limit_ms(r);

	return limit_ms >= 0 && r->queue_ms > limit_ms;
}

int64_t yield_retry_after_ms(const struct yield_request *r, uint64_t hash)
{
	double excess_ms = r->queue_ms - fmax(yield_queue_limit_ms(r), 0);
	double spread = (double)(hash % 1024) / 1024;

	/* The queue shrinks by at most one millisecond in each. */
	return (int64_t)fmin(fmax(excess_ms * (1 + spread), RETRY_AFTER_MIN_MS),
			     RETRY_AFTER_MAX_MS);
}
