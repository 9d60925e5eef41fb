#ifndef IBISGATE_DAEMON_DISPATCH_USE_H
#define IBISGATE_DAEMON_DISPATCH_USE_H

#include <jansson.h>

#include "ibisgate/common/str.h"
#include "ibisgate/daemon/dispatch.h"
#include "ibisgate/policy/prefix.h"
#include "ibisgate/policy/share.h"

/* Requests that the HTTP front passes to the data plane. */

#define ORGANISATION_NAME_MAX 64

#define SETTING_ROUTE_METHOD "route.method"
#define SETTING_FIRST_TOKEN_MS "deadline.first-token-ms"
#define SETTING_GAP_MS "deadline.gap-ms"
#define SETTING_TOTAL_MS "deadline.total-ms"
#define SETTING_RETRY_RATIO "retry.ratio"
#define SETTING_RETRY_MIN_PER_S "retry.min-per-s"
#define SETTING_RETRY_MAX_ATTEMPTS "retry.max-attempts"
#define SETTING_HEDGE_RATIO "hedge.ratio"
#define SETTING_ADMISSION_ENABLED "admission.enabled"
#define SETTING_ADMISSION_QUEUE_MAX "admission.queue-max"
#define SETTING_OUTPUT_TOKENS "cost.output-tokens"
#define SETTING_LOAD_LAG_MS "load.lag-ms"

/**
 * struct outcome - result of a request
 * @status: HTTP status; 200 when the whole response was delivered, 0 when the caller disconnected
 * @type: "not_run", "outcome_unknown" or "invalid_request"; NULL for 200
 * @code: machine-readable reason, static string
 * @message: explanation for the caller
 * @retry_after_s: value of the Retry-After header in seconds; 0 for no header
 */
struct outcome {
	int status;
	const char *type;
	const char *code;
	char message[160];
	int retry_after_s;
};

/**
 * struct call - properties that all requests share
 * @id: request id
 * @weight: fair-share weight of the organisation; 1 is used unless it is positive
 * @has_class: the caller named a priority
 * @arrived_ms: arrival time, boot clock
 * @requested_timeout_ms: caller's time limit, counted from the arrival; 0 for none
 * @deadline_ms: boot clock; set by the data plane
 * @endpoint: name of the endpoint of the latest attempt; "" before the first
 * @attempts: number of attempts sent so far
 */
struct call {
	char id[40];
	char organisation[ORGANISATION_NAME_MAX];
	double weight;
	enum share_class class;
	bool has_class;
	int64_t arrived_ms;
	int64_t requested_timeout_ms;
	int64_t deadline_ms;
	char endpoint[ENDPOINT_NAME_MAX];
	int attempts;
};

/**
 * struct generation - one generation request
 * @chat: chat completion; otherwise a plain completion
 * @body: caller's JSON object, borrowed
 * @max_tokens: limit from the caller; 0 for none
 * @prompt: prompt text; for chat the message contents joined with newlines
 * @on_text: called for each piece of generated text; @finish is the finish reason of the last
 *	piece, otherwise NULL; returns false when the caller has disconnected
 * @on_batch_end: called once all text received so far has been passed to @on_text, so that it can
 *	be sent in one write; may be NULL; returns false when the caller has disconnected
 * @ctx: argument of the callbacks
 * @text: all text delivered so far
 * @tokens: number of tokens in @text
 * @resume_count: number of times that another attempt continued after text had been delivered
 */
struct generation {
	struct call call;
	bool chat;
	char model[48];
	json_t *body;
	int64_t max_tokens;
	struct str prompt;
	bool (*on_text)(void *ctx, struct str text, int tokens, const char *finish);
	bool (*on_batch_end)(void *ctx);
	void *ctx;
	struct buf text;
	int64_t tokens;
	int resume_count;
};

/** dispatch_generate - run a generation to completion or failure; blocks */
void dispatch_generate(struct dispatch *d, struct generation *g, struct outcome *out);

/**
 * struct service_call - one call of a plain service
 * @service: name of the service
 * @key: idempotency key; empty for none
 * @body: request body, borrowed
 * @response_status: HTTP status of the service's response
 * @response: body of the response, owned
 * @is_single_attempt: the call is not idempotent and has no idempotency key
 * @is_replayed: the response is the stored result of an earlier call with the same key
 */
struct service_call {
	struct call call;
	char service[48];
	struct str key;
	struct str body;
	int response_status;
	struct buf response;
	bool is_single_attempt;
	bool is_replayed;
};

/** dispatch_service - run a call; blocks. With @out->status 200 the response in @s is valid. */
void dispatch_service(struct dispatch *d, struct service_call *s, struct outcome *out);

/**
 * struct explain_refusal - why a described request would be refused; @status is 0 when it would not
 * @decision: what refuses it, static string like @cause
 * @wait_ms: time until it should come back; -1 for none
 */
struct explain_refusal {
	int status;
	const char *decision;
	const char *cause;
	int64_t wait_ms;
};

/**
 * dispatch_explain_generate - explain what dispatch_generate() would do, without doing it
 * @g: as for dispatch_generate(), without body and callbacks
 * @prompt_tokens: length of the prompt if its text is not given
 * @out: JSON object that the findings are added to
 */
void dispatch_explain_generate(struct dispatch *d, struct generation *g, int64_t prompt_tokens,
			       json_t *out, struct explain_refusal *refusal);

/** dispatch_explain_service - the same for dispatch_service() */
void dispatch_explain_service(struct dispatch *d, struct service_call *s, json_t *out,
			      struct explain_refusal *refusal);

#endif
