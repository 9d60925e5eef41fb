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

/**
 * struct target - one base URL
 * @down: a connection or probe failed and /readyz has not returned 200 since
 * @probe_in_flight: a probe of /readyz is in flight
 */
struct target {
	const char *url;
	bool down;
	bool probe_in_flight;
};

/**
 * struct transfer - one request in flight
 * @response: body of a probe, call or error response; generations are checked as they arrive
 * @target: index of the target that the request was last sent to
 * @refused_connects: number of connections refused so far
 * @chat: send the generation as a chat completion
 * @repeat_on_completion: send the call a second time when this one has completed
 * @service: plain service to call
 */
struct transfer {
	struct transfer *next;
	struct transfer **prev;
	struct run *run;
	enum transfer_kind kind;
	CURL *easy;
	struct curl_slist *headers;
	struct buf body;
	struct buf response;
	struct check check;
	struct load_record record;
	int target;
	int refused_connects;
	bool chat;
	bool repeat_on_completion;
	const char *service;
};

/**
 * struct run - state of load_run(); times are relative to @start_us
 * @timer_us: time at which libcurl's timer expires
 * @next_target: target of the next request, unless it is down
 * @active: list of all transfers in flight, probes included
 * @in_flight: number of transfers in flight, probes included
 * @generations_in_flight: number of generations in flight
 * @paused_until_us: no closed-loop generation starts before this time
 * @next_number: number of the next request
 */
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
	int generations_in_flight;
	int64_t paused_until_us;
	int64_t next_number;
	struct scenario_random random;
	uint64_t text_seed;
	double next_generation_s;
	double next_call_s[SCENARIO_CALLS_MAX];
	struct scenario_random call_random[SCENARIO_CALLS_MAX];
	int64_t next_probe_us;
};

/* request.c: request bodies, headers and result records */
void request_generation_prepare(struct run *r, struct transfer *t,
				const struct scenario_phase *phase);
void request_call_prepare(struct run *r, struct transfer *t, const struct scenario_call *call);
void request_repeat_prepare(struct transfer *t, const struct transfer *first);
void request_headers_build(struct run *r, struct transfer *t);
void request_record_finish(struct run *r, struct transfer *t, CURLcode code);
void request_duplicate_effects_mark(struct load_result *res);

/* client.c */
int64_t run_now_us(const struct run *r);

#endif
