#ifndef IBISGATE_LOAD_CLIENT_H
#define IBISGATE_LOAD_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/load/check.h"
#include "ibisgate/load/scenario.h"

#define LOAD_TARGETS_MAX 64

/**
 * enum load_outcome - how a request ended
 * @LOAD_WHOLE: the response is complete and correct
 * @LOAD_WRONG: the response has wrong content, or reports a second effect for one idempotency key
 * @LOAD_CUT: the response ended early
 * @LOAD_LOST: the request was sent; the connection closed or timed out before any response
 * @LOAD_REFUSED: error response other than "outcome unknown"
 * @LOAD_UNKNOWN: error response "outcome unknown"
 * @LOAD_UNREACHABLE: no target accepted the connection; nothing was sent
 * @LOAD_OUTCOME_COUNT: number of outcomes
 */
enum load_outcome {
	LOAD_WHOLE,
	LOAD_WRONG,
	LOAD_CUT,
	LOAD_LOST,
	LOAD_REFUSED,
	LOAD_UNKNOWN,
	LOAD_UNREACHABLE,
	LOAD_OUTCOME_COUNT,
};

const char *load_outcome_name(enum load_outcome outcome);

/**
 * struct load_options - targets, load and limits of a run
 * @urls: base URLs of the targets, used round-robin
 * @url_count: entries of @urls in use
 * @targets_are_engines: the targets are engines: no API key, no /readyz probes, numeric priority
 * @concurrency: generations in flight (closed loop); 0 for open-loop arrivals
 * @duration_s: time during which requests are started
 * @drain_s: time after @duration_s in which requests in flight may complete
 * @timeout_ms: timeout of one request
 * @ttft_limit_ms: limit of the time to first token for goodput
 * @mean_gap_limit_ms: limit of the mean time between tokens for goodput
 * @run_id: included in keys and prompts, so that runs do not share them
 */
struct load_options {
	const char *urls[LOAD_TARGETS_MAX];
	int url_count;
	bool targets_are_engines;
	int concurrency;
	double duration_s;
	double drain_s;
	int64_t timeout_ms;
	int64_t ttft_limit_ms;
	int64_t mean_gap_limit_ms;
	const char *run_id;
};

void load_options_defaults(struct load_options *o);

/**
 * struct load_record - result of one request
 * @number: position in the run; a repeat has the number of the first call
 * @is_call: call of a plain service; false for a generation
 * @is_repeat: second request with the same idempotency key
 * @organisation: index in the scenario
 * @target: index in the URLs of the options, of the last target tried
 * @fault: fault found in the content of the response
 * @status: HTTP status; 0 without a response
 * @start_us: time since the start of the run; the planned time in an open loop
 * @end_us: time since the start of the run
 * @ttft_us: time from @start_us to the first text; -1 without any text
 * @gap_mean_us: mean time between tokens
 * @gap_p95_us: 95th percentile of the time between chunks
 * @tokens: number of output tokens requested
 * @bytes: size of the received body
 * @effect: number of the effect that a plain service reported; -1 without one
 * @type: "type" of the error response
 * @code: "code" of the error response
 * @key: idempotency key of a call; request id of a generation that is sent directly to an engine
 */
struct load_record {
	int64_t number;
	bool is_call;
	bool is_repeat;
	int organisation;
	int target;
	enum load_outcome outcome;
	enum check_fault fault;
	int status;
	int64_t start_us;
	int64_t end_us;
	int64_t ttft_us;
	int64_t gap_mean_us;
	int64_t gap_p95_us;
	int64_t prompt_tokens;
	int64_t tokens;
	int64_t bytes;
	int64_t effect;
	char type[24];
	char code[32];
	char key[64];
	char request_id[64];
	char instance[48];
	char endpoint[48];
};

/**
 * struct load_result - result of a run
 * @records: one record per request, in order of completion
 * @elapsed_s: duration of the run including the drain time
 * @skipped_connects: number of refused connections
 * @max_lag_us: longest time by which an open-loop generation started late
 */
struct load_result {
	struct load_record *records;
	size_t count;
	size_t cap;
	double elapsed_s;
	int64_t skipped_connects;
	int64_t max_lag_us;
};

/**
 * load_run - send the requests of a scenario and check the responses
 * @result: set by the call; freed with load_result_free()
 *
 * Blocks until all requests have ended or the drain time is over.
 *
 * Return: 0; -1 when libcurl or epoll cannot be set up.
 */
int load_run(const struct scenario *s, const struct load_options *o, struct load_result *result,
	     struct error *err);
void load_result_free(struct load_result *result);

/** load_record_counts_as_goodput - whether @r counts as goodput under the latency limits of @o */
bool load_record_counts_as_goodput(const struct load_record *r, const struct load_options *o);

#endif
