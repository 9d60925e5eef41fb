#ifndef IBISGATE_POLICY_STAGE_DEMAND_H
#define IBISGATE_POLICY_STAGE_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct stage_demand - prefill and decode work requested from a service, seen by one instance
 * @prefill: engine time for prefill in milliseconds, exponentially decayed
 * @decode: engine time for decode in milliseconds, exponentially decayed
 * @samples: number of requests counted in @prefill and @decode, exponentially decayed
 * @at_ms: time of the last decay
 * @prefill_total: @prefill without decay; @decode_total and @requests_total likewise
 * @events: moving mean of the number of stream events of a generation
 * @events_per_token: moving mean of the events per token that the caller allows
 * @event_interval_ms: time between events on an engine with few generations; 0 without samples
 * @busy_interval_ms: the same on an engine with at least DECODE_UTILISATION of its slots in use
 *
 * Each instance receives a sample of the same traffic, so the instances get the same ratio of the
 * stages without exchanging messages.
 */
struct stage_demand {
	double prefill;
	double decode;
	double samples;
	int64_t at_ms;
	double prefill_total;
	double decode_total;
	double requests_total;
	double events;
	double events_per_token;
	double event_interval_ms;
	double busy_interval_ms;
};

/**
 * struct stage_generation - a completed generation
 * @tokens: maximum number of tokens that the caller allowed; 0 without a limit
 * @events: number of events
 * @ms: time from the first to the last event in milliseconds
 * @used_fraction: part of the engine's slots in use when the generation ended
 */
struct stage_generation {
	int64_t tokens;
	int events;
	double ms;
	double used_fraction;
};

/**
 * stage_demand_events - expected number of events of an answer
 * @tokens: its expected tokens; 0 when not given
 *
 * Return: 0 while no generation has ended.
 */
double stage_demand_events(const struct stage_demand *d, int64_t tokens);

/**
 * stage_demand_add_request - count a request, whether it is served or refused
 * @prefill_ms: time of a prefill engine for the part of the prompt that no engine has cached
 * @tokens: maximum number of tokens to generate; 0 when the request does not limit it
 * @slots: maximum number of concurrent generations of one engine
 */
void stage_demand_add_request(struct stage_demand *d, double prefill_ms, int64_t tokens, int slots,
			      int64_t now_ms);

/**
 * stage_demand_add_generation - add a completed generation
 *
 * While engines are overloaded, short generations complete more often than long ones, which biases
 * the mean. The work of a request is therefore estimated from the tokens that its caller allows.
 * How much a full batch slows a generation down differs between models and is measured.
 */
void stage_demand_add_generation(struct stage_demand *d, const struct stage_generation *g);

/** stage_demand_has_enough_samples - whether enough requests were counted to compute a share */
bool stage_demand_has_enough_samples(const struct stage_demand *d);

/**
 * stage_demand_share - fraction of the engines that should prefill, 0 to 1
 *
 * Adapts the stages to long prompts with short answers, or the reverse, when these last longer than
 * a few fluctuations of the request mix. With a fixed fraction, the engines of one stage would be
 * idle while requests queue for the other.
 */
double stage_demand_share(const struct stage_demand *d);

/**
 * stage_demand_engines - number of engines, not rounded, that serve the work of two stages
 * @prefill: work of prefill engines, in engines
 * @decode: work of decode engines, in engines
 * @share: fraction of the engines that are prefill engines; negative while not known
 *
 * Decode engines also prefill, at half the speed, but not the reverse. With a share that doesn't
 * fit the demand more engines are needed than with one that does.
 */
double stage_demand_engines(double prefill, double decode, double share);

/**
 * stage_demand_prior_share - fraction of the engines that should prefill before any request
 * @share: that fraction for engines with 64 slots
 * @slots: maximum number of concurrent generations of one engine
 *
 * For a start under load. An engine prefills one prompt at a time whatever its slots, and generates
 * as many answers at a time as it has slots, so with fewer slots more engines have to generate. The
 * ratio of the stages follows the square root of the slots, since how long prompts and answers are
 * is not known yet.
 */
double stage_demand_prior_share(double share, int slots);

/**
 * stage_demand_apply_hysteresis - apply hysteresis to the target fraction of prefill engines
 * @demanded: current result of stage_demand_share()
 * @current: current target
 * @total: number of engines of the service
 *
 * Return: the new target; @current while the difference is too few engines to justify the changes.
 */
double stage_demand_apply_hysteresis(double demanded, double current, int total);

#endif
