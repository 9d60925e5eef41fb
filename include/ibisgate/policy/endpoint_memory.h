#ifndef IBISGATE_POLICY_ENDPOINT_MEMORY_H
#define IBISGATE_POLICY_ENDPOINT_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

/** Tokens in one block of an engine's memory; a request takes whole blocks. */
#define MEMORY_BLOCK_TOKENS 16

/**
 * struct endpoint_memory - memory of an engine, in tokens
 * @total_tokens: its size; 0 when it is not known
 * @held_tokens: what the requests at the engine need until they end, those of this instance and
 *	those that others have reported
 * @unreported_tokens: part of @held_tokens that this instance has added and others may not know
 * @late_tokens: see endpoint_memory_late_tokens()
 * @rank: number of live instances that come before this one for what is left of the engine's memory
 */
struct endpoint_memory {
	int64_t total_tokens;
	int64_t held_tokens;
	int64_t unreported_tokens;
	int64_t late_tokens;
	int rank;
};

/** struct token_flow - tokens of memory that requests ask for, decaying with their age */
struct token_flow {
	double tokens;
	int64_t at_ms;
};

/**
 * struct memory_reports - what is known of the requests that other instances have on a service
 * @engine_tokens: what they hold at the engine
 * @service_tokens: what they hold at all engines of the same stage together
 * @hold_ms: mean time for which a request holds its memory there; 0 when it is not known
 * @report_ms: interval of their reports
 * @own_per_ms: flow of the requests of this instance, those refused included
 * @others: number of other instances
 */
struct memory_reports {
	int64_t engine_tokens;
	int64_t service_tokens;
	double hold_ms;
	double report_ms;
	double own_per_ms;
	int others;
};

/** token_flow_add - a request asks for @tokens */
void token_flow_add(struct token_flow *f, int64_t tokens, int64_t now_ms);

/** token_flow_per_ms - tokens that recent requests have asked for, for each millisecond */
double token_flow_per_ms(const struct token_flow *f, int64_t now_ms);

/**
 * endpoint_memory_tokens - memory that a request needs until it ends, rounded up to blocks
 * @prompt: tokens of the prompt; parts that other requests share count for each
 * @output: tokens that may be generated
 */
int64_t endpoint_memory_tokens(int64_t prompt, int64_t output);

/**
 * endpoint_memory_late_tokens - what other instances may have sent to the engine since their last
 * reports
 *
 * What they hold and for how long tells their flow; those that they refuse are not in it, so it is
 * taken to be no less than that of this instance. Three quarters of it may go to one engine, since
 * those with the most room are the choice of many at once, besides the usual flow to this one.
 */
int64_t endpoint_memory_late_tokens(const struct memory_reports *r);

/**
 * endpoint_memory_is_scarce - whether a request of @tokens takes what is kept for late reports, and
 * for arrivals that are less even than expected
 *
 * An engine that is hardly used is not scarce: after a restart, many requests come at once.
 */
bool endpoint_memory_is_scarce(const struct endpoint_memory *m, int64_t tokens);

/**
 * endpoint_memory_has_room - whether an engine may be given a request of @tokens
 *
 * Load: several instances fill the same engines and know each other's requests one report late. An
 * engine crashes if its requests exceed its memory; requests that it has preempted still count.
 * While memory is scarce, the first instance for the engine may add half of what was free by the
 * last reports, the next one a quarter, and so on, so that all together don't exceed it. A request
 * that is larger than the whole memory is refused by the engine itself, and only sent to one
 * without other requests.
 */
bool endpoint_memory_has_room(const struct endpoint_memory *m, int64_t tokens);

/**
 * endpoint_memory_is_reported - whether instances tell each other what they hold there
 *
 * While it is hardly used, the number of requests is a sufficient estimate, and messages stay
 * smaller.
 */
bool endpoint_memory_is_reported(const struct endpoint_memory *m);

#endif
