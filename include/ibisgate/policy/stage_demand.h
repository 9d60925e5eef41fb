#ifndef IBISGATE_POLICY_STAGE_DEMAND_H
#define IBISGATE_POLICY_STAGE_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct stage_demand - work of both stages that callers ask of a service, as one instance sees it
 * @prefill: engines that reading the prompts keeps busy, times milliseconds, decaying
 * @decode: the same for generating
 * @samples: requests that both stand for, decaying
 * @at_ms: time of the last decay
 * @events: moving mean of the events of a generation
 * @events_per_token: events that come for each token that a caller allows
 * @pace_ms: time from one event to the next on an engine with few generations; 0: not yet seen
 *
 * Each instance sees a sample of the same traffic, so the proportion needs no messages.
 */
struct stage_demand {
	double prefill;
	double decode;
	double samples;
	int64_t at_ms;
	double events;
	double events_per_token;
	double pace_ms;
};

/**
 * stage_demand_arrival - a request has come, whether it is served or refused
 * @read_ms: time in which an engine that only prefills reads what is cached nowhere of its prompt
 * @tokens: greatest number of tokens to generate; 0 when it is not told
 * @slots: generations that one engine runs at once
 */
void stage_demand_arrival(struct stage_demand *d, double read_ms, int64_t tokens, int slots,
			  int64_t now_ms);

/**
 * stage_demand_learn - a whole generation took @ms from the first to the last of @events events
 *
 * Short ones are whole more often while engines are behind, so arrivals are priced by the tokens
 * that callers allow rather than by the mean.
 */
void stage_demand_learn(struct stage_demand *d, int64_t tokens, int events, double ms);

/** stage_demand_known - enough requests have been seen to tell a share */
bool stage_demand_known(const struct stage_demand *d);

/**
 * stage_demand_share - share of the engines that should prefill, 0 to 1
 *
 * Load: long prompts with short answers, or the reverse, for longer than a few swings of the mix.
 * With a fixed share the engines of one stage are idle while the others have a queue.
 */
double stage_demand_share(const struct stage_demand *d);

/**
 * stage_demand_settle - share to aim at, between what is asked for and what has been aimed at
 * @asked: stage_demand_share()
 * @aimed: share aimed at so far
 * @total: engines of the service
 *
 * Return: @aimed while the difference is worth fewer engines than changes would cost.
 */
double stage_demand_settle(double asked, double aimed, int total);

#endif
