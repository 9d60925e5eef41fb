#ifndef IBISGATE_DUTY_API_CALL_H
#define IBISGATE_DUTY_API_CALL_H

#include "ibisgate/duty/duty.h"

/**
 * enum api_outcome - what became of a call to the platform's interface
 * @API_ACCEPTED: answered with 2xx
 * @API_REFUSED: answered with another status that repeating doesn't change
 * @API_BUSY: 429, 503 or another 5xx, or the call was certainly not sent; try again later
 * @API_UNANSWERED: no answer; it may have taken effect, or may do so later
 */
enum api_outcome {
	API_ACCEPTED,
	API_REFUSED,
	API_BUSY,
	API_UNANSWERED,
};

/**
 * struct api_result - outcome of a call
 * @status: HTTP status, 0 without an answer
 * @fencing: fencing token that it was sent with
 */
struct api_result {
	enum api_outcome outcome;
	int status;
	int64_t fencing;
};

/**
 * struct api_calls - calls of this instance to the platform's interface, for all subjects together
 *
 * Load: the platform refuses calls above a number a second, counted over all instances. Only the
 * holder of a duty calls, so it keeps to the limit by itself, by the time between two calls.
 */
struct api_calls;
struct api_calls *api_calls_create(const struct duty_host *host);
void api_calls_destroy(struct api_calls *a);

struct api_call;

/**
 * api_call_prepare - whether a call may be made now: the duty is held and the limit allows it
 * @lease: out: for the encoder of the request, which must be sent at once with api_call_start()
 */
bool api_call_prepare(const struct api_calls *a, const struct duty *d, int64_t now_ms,
		      struct api_lease *lease);

/**
 * api_call_start - send a request that was encoded with @lease of api_call_prepare()
 * @done: called once and never from within this function, unless the call is cancelled
 */
struct api_call *api_call_start(struct api_calls *a, const struct api_lease *lease,
				struct str request,
				void (*done)(void *ctx, const struct api_result *r), void *ctx,
				int64_t now_ms);
void api_call_cancel(struct api_call *c);

#endif
