#ifndef IBISGATE_LOAD_INTERNAL_H
#define IBISGATE_LOAD_INTERNAL_H

#include <curl/curl.h>

#include "ibisgate/common/str.h"
#include "ibisgate/load/client.h"

enum transfer_kind {
	TRANSFER_PROBE,
	TRANSFER_GENERATION,
	TRANSFER_CALL,
};

/** struct target - one base URL; @down until /readyz answers 200 again */
struct target {
	const char *url;
	bool down;
	bool probing;
};

/**
 * struct transfer - one request on its way
 * @tried: connections refused so far
 * @service: plain service to call
 * @repeat_after: send the call again when this one has ended
 */
struct transfer {
	struct transfer *next;
	struct transfer **prev;
	struct run *run;
	enum transfer_kind kind;
	CURL *easy;
	struct curl_slist *headers;
	struct buf body;
	struct buf answer;
	struct check check;
	struct load_record record;
	int target;
	int tried;
	bool chat;
	bool repeat_after;
	const char *service;
};

/** struct run - state of load_run(); the closed loop starts nothing before @pause_us */
struct run {
	const struct scenario *scenario;
	const struct load_options *options;
	struct load_result *result;
	CURLM *multi;
	int epoll;
	int64_t start_us;
	int64_t timer_us;
	struct target targets[LOAD_TARGETS_MAX];
	int next_target;
	struct transfer *active;
	int in_flight;
	int generations;
	int64_t pause_us;
	int64_t numbers;
	struct scenario_random random;
	uint64_t text_seed;
	double next_generation_s;
	double next_call_s[SCENARIO_CALLS_MAX];
	struct scenario_random call_random[SCENARIO_CALLS_MAX];
	int64_t next_probe_us;
};

/* request.c: bodies, headers and records */
void request_generation(struct run *r, struct transfer *t, const struct scenario_phase *phase);
void request_call(struct run *r, struct transfer *t, const struct scenario_call *call);
void request_repeat(struct transfer *t, const struct transfer *first);
void request_headers(struct run *r, struct transfer *t);
void request_finish(struct run *r, struct transfer *t, CURLcode code);
void request_effects_compare(struct load_result *res);

/* client.c */
int64_t run_now_us(const struct run *r);

#endif
