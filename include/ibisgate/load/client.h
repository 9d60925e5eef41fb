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
 * @LOAD_WHOLE: whole and right answer
 * @LOAD_WRONG: answer with wrong content, or a second effect for one key
 * @LOAD_CUT: answer that ended early
 * @LOAD_LOST: sent, connection closed or timed out before any answer
 * @LOAD_REFUSED: error answer other than "outcome unknown"
 * @LOAD_UNKNOWN: error answer "outcome unknown"
 * @LOAD_UNREACHABLE: no target took the connection; nothing was sent
 */
enum load_outcome {
	LOAD_WHOLE,
	LOAD_WRONG,
	LOAD_CUT,
	LOAD_LOST,
	LOAD_REFUSED,
	LOAD_UNKNOWN,
	LOAD_UNREACHABLE,
	LOAD_OUTCOMES,
};

const char *load_outcome_name(enum load_outcome outcome);

/**
 * struct load_options - how to send
 * @urls: base URLs, used in turn
 * @direct: targets are engines: no API key, no /readyz, numeric priority
 * @concurrency: generations in flight (closed loop); 0 for open-loop arrivals
 * @duration_s: arrivals stop then; running requests get @drain_s more
 * @timeout_ms: limit of one request
 * @ttft_ms: deadline of the first token for goodput
 * @gap_ms: limit of the mean gap for goodput
 * @run_id: part of keys and prompts, so that runs do not share them
 */
struct load_options {
	const char *urls[LOAD_TARGETS_MAX];
	int url_count;
	bool direct;
	int concurrency;
	double duration_s;
	double drain_s;
	int64_t timeout_ms;
	int64_t ttft_ms;
	int64_t gap_ms;
	const char *run_id;
};

void load_options_defaults(struct load_options *o);

/**
 * struct load_record - one request
 * @number: position in the run; a repeat has the number of its first call
 * @call: plain call, as against a generation
 * @repeat: second sending of the same key
 * @organisation: index in the scenario
 * @target: index in the URLs of the options, of the last one tried
 * @start_us: since the start of the run; the planned time in open loop
 * @ttft_us: from @start_us to the first text; -1 without one
 * @bytes: received body bytes
 * @effect: number of the effect that a plain service reported; -1 without one
 * @type: "type" and @code "code" of the error answer
 */
struct load_record {
	int64_t number;
	bool call;
	bool repeat;
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

/** struct load_result - records of a run, in order of their ends */
struct load_result {
	struct load_record *records;
	size_t count;
	size_t cap;
	double elapsed_s;
	int64_t skipped_connects;
	int64_t max_lag_us;
};

/**
 * load_run - send the scenario and check the answers; blocks until all have ended
 *
 * Return: 0; -1 when libcurl or epoll cannot be set up.
 */
int load_run(const struct scenario *s, const struct load_options *o, struct load_result *result,
	     struct error *err);
void load_result_free(struct load_result *result);

/** load_good - whether @r counts as goodput under the deadlines of @o */
bool load_good(const struct load_record *r, const struct load_options *o);

#endif
