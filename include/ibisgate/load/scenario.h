#ifndef IBISGATE_LOAD_SCENARIO_H
#define IBISGATE_LOAD_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "ibisgate/common/error.h"

#define SCENARIO_PHASES_MAX 32
#define SCENARIO_ORGANISATIONS_MAX 64
#define SCENARIO_CALLS_MAX 16

/**
 * struct scenario_phase - arrival rate and sizes from @start_s until the next phase
 * @rate: generations per second of all organisations together, before their factors
 * @prompt_tokens: mean number of prompt tokens
 * @output_tokens: mean number of output tokens
 * @prefix_share: fraction of each prompt, 0 to 1, taken from the organisation's shared prefixes
 */
struct scenario_phase {
	char name[48];
	double start_s;
	double rate;
	double prompt_tokens;
	double output_tokens;
	double prefix_share;
};

/**
 * struct scenario_organisation - organisation that sends requests
 * @key: API key
 * @weight: share of the arrivals relative to the other organisations
 * @priority: urgent, normal or background; empty for the class of the service
 * @arrival_factor: multiplies this organisation's arrival rate without changing that of the others
 */
struct scenario_organisation {
	char name[48];
	char key[128];
	double weight;
	char priority[16];
	double arrival_factor;
};

/**
 * struct scenario_call - stream of calls to a plain service
 * @rate: calls per second
 * @repeat_probability: probability that a call is sent again with the same idempotency key through
 *another instance
 */
struct scenario_call {
	char name[48];
	char service[48];
	double rate;
	double repeat_probability;
};

/**
 * struct scenario - requests of a load run
 * @size_sigma: shape parameter of the log-normal sizes, which are clamped to between a quarter of
 *the mean and four times the mean
 * @prefixes: number of shared prompt prefixes per organisation
 * @chat_share: fraction of the generations that are sent as chat completions
 * @marker: word added to every prompt, so that logs can be searched for prompt text; may be empty
 */
struct scenario {
	char model[64];
	uint64_t seed;
	double size_sigma;
	int prefixes;
	double chat_share;
	char marker[32];
	struct scenario_phase phases[SCENARIO_PHASES_MAX];
	int phase_count;
	struct scenario_organisation organisations[SCENARIO_ORGANISATIONS_MAX];
	int organisation_count;
	struct scenario_call calls[SCENARIO_CALLS_MAX];
	int call_count;
};

enum scenario_error {
	SCENARIO_OK,
	SCENARIO_UNREADABLE,
	SCENARIO_INVALID,
};

/** scenario_defaults - set one phase of 10 requests per second and no organisation */
void scenario_defaults(struct scenario *s);

/**
 * scenario_load - read and validate an INI file
 * @report: receives every problem as "[section] key: what was expected"; may be NULL
 *
 * Return: 0; -1 with SCENARIO_UNREADABLE or SCENARIO_INVALID.
 */
int scenario_load(struct scenario *s, const char *path, FILE *report, struct error *err);

/** scenario_parse - parse and validate the text of an INI file; otherwise like scenario_load() */
int scenario_parse(struct scenario *s, const char *text, FILE *report, struct error *err);

/** scenario_phase_at - phase that is active at @t_s seconds; NULL before the first */
const struct scenario_phase *scenario_phase_at(const struct scenario *s, double t_s);

/** struct scenario_random - state of a reproducible pseudo-random sequence */
struct scenario_random {
	uint64_t seed;
	uint64_t count;
};

/** scenario_uniform - draw a uniformly distributed number in (0, 1) */
double scenario_uniform(struct scenario_random *r);

/** scenario_interarrival_s - draw the exponential time in seconds between arrivals at @rate per
 * second */
double scenario_interarrival_s(struct scenario_random *r, double rate);

/** scenario_size_draw - draw a clamped log-normal integer with mean @mean; at least 1 */
int64_t scenario_size_draw(struct scenario_random *r, double mean, double sigma);

/**
 * scenario_next_arrival - draw the time of the next Poisson arrival after @t_s
 *
 * Return: time in seconds; negative when there are no more arrivals after @t_s.
 */
double scenario_next_arrival(const struct scenario *s, struct scenario_random *r, double t_s);

/** scenario_organisation_draw - draw an organisation index with probability weight x factor */
int scenario_organisation_draw(const struct scenario *s, struct scenario_random *r);

#endif
