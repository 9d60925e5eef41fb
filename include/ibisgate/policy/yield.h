#ifndef IBISGATE_POLICY_YIELD_H
#define IBISGATE_POLICY_YIELD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct yield_request - what decides whether a generation gives way while engines are short
 * @priority: 0 (highest) to 9
 * @queue_ms: expected time in the queue of the best engine, beyond the request's own work
 * @work_ms: engine time that its prompt needs
 * @target_ms: target time to first token; 0 when not given
 * @share_ratio: recent engine time of its organisation as a multiple of its fair share; 0 when
 *	there are no organisations
 */
struct yield_request {
	int priority;
	double queue_ms;
	double work_ms;
	double target_ms;
	double share_ratio;
};

/**
 * yield_queue_limit_ms - longest queue in front of a generation with which it is still accepted
 *
 * The queue may take what the request's own work leaves of the target of its rule. The limit is
 * longer for urgent requests and shorter where the organisation has used more than its share.
 *
 * Return: milliseconds; negative when there is no limit.
 */
double yield_queue_limit_ms(const struct yield_request *r);

/**
 * yield_gives_way - whether to turn a generation away on arrival
 *
 * Load: more work than engines can do, for seconds to minutes. If requests are accepted up to the
 * callers' patience, all of them wait until they are late, and most of the engine time goes into
 * answers that are late or abandoned. All instances see the same queues, so they turn away the same
 * kinds of requests first: the less urgent ones, those that need more work, and those of
 * organisations above their share.
 */
bool yield_gives_way(const struct yield_request *r);

/**
 * yield_retry_after_ms - when a request that gave way should come back
 * @hash: hash of the request; spreads the returns over the time in which room is expected
 */
int64_t yield_retry_after_ms(const struct yield_request *r, uint64_t hash);

#endif
