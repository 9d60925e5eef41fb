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
 * struct scenario_phase - arrivals and sizes from @start_s until the next phase
 * @rate: generations a second over all organisations, before their factors
 * @prompt_tokens: mean
 * @output_tokens: mean
 * @prefix_share: part of each prompt, 0 to 1, taken from the organisation's common prefixes
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
 * struct scenario_organisation - sender of requests
 * @key: API key
 * @weight: part of the arrivals
 * @priority: urgent, normal or background; empty for the service's class
 * @factor: multiplies this organisation's arrivals without changing those of the others
 */
struct scenario_organisation {
	char name[48];
	char key[128];
	double weight;
	char priority[16];
	double factor;
};

/**
 * struct scenario_call - calls of a plain service
 * @rate: calls a second
 * @repeat: probability that a call is sent again with the same key through another instance
 */
struct scenario_call {
	char name[48];
	char service[48];
	double rate;
	double repeat;
};

/**
 * struct scenario - what to send
 * @sigma: shape of the log-normal sizes; draws are bounded to a quarter and four times the mean
 * @prefixes: common prefixes of each organisation
 * @chat_share: part of the generations sent as chat completions
 * @marker: word in every prompt, to be searched for in logs; may be empty
 */
struct scenario {
	char model[64];
	uint64_t seed;
	double sigma;
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

/** scenario_defaults - one phase of 10 requests a second and no organisation */
void scenario_defaults(struct scenario *s);

/**
 * scenario_load - read and check an INI file
 * @report: every problem is printed there as "[section] key: what was expected"; may be NULL
 *
 * Return: 0; -1 with SCENARIO_UNREADABLE or SCENARIO_INVALID.
 */
int scenario_load(struct scenario *s, const char *path, FILE *report, struct error *err);

/** scenario_parse - the same for text in memory */
int scenario_parse(struct scenario *s, const char *text, FILE *report, struct error *err);

/** scenario_phase_at - phase in force at @t_s seconds; NULL before the first */
const struct scenario_phase *scenario_phase_at(const struct scenario *s, double t_s);

/** struct scenario_random - reproducible sequence of numbers */
struct scenario_random {
	uint64_t seed;
	uint64_t count;
};

/** scenario_uniform - number in (0, 1) */
double scenario_uniform(struct scenario_random *r);

/** scenario_gap - exponential time to the next arrival at @rate a second, in seconds */
double scenario_gap(struct scenario_random *r, double rate);

/** scenario_size - bounded log-normal whole number with mean @mean, at least 1 */
int64_t scenario_size(struct scenario_random *r, double mean, double sigma);

/**
 * scenario_next - time of the next Poisson arrival after @t_s
 *
 * Return: seconds; a negative number when no phase after @t_s has arrivals.
 */
double scenario_next(const struct scenario *s, struct scenario_random *r, double t_s);

/** scenario_organisation_draw - sender of the next request, by weight x factor */
int scenario_organisation_draw(const struct scenario *s, struct scenario_random *r);

#endif
