#ifndef IBISGATE_DAEMON_DISPATCH_USE_H
#define IBISGATE_DAEMON_DISPATCH_USE_H

#include <jansson.h>

#include "ibisgate/common/str.h"
#include "ibisgate/daemon/dispatch.h"
#include "ibisgate/policy/prefix.h"
#include "ibisgate/policy/share.h"

/* Requests as the front hands them to the data plane. */

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
 * struct outcome - how a request ended
 * @status: HTTP status; 200 when the whole answer was delivered, 0 when the caller has gone
 * @type: "not_run", "outcome_unknown" or "invalid_request"; NULL for 200
 * @code: machine-readable reason, static string
 * @retry_after_s: value for Retry-After; 0 for none
 */
struct outcome {
	int status;
	const char *type;
	const char *code;
	char message[160];
	int retry_after_s;
};

/**
 * struct call - what all requests have in common
 * @id: request id
 * @has_class: the caller named a priority
 * @arrived_ms: boot clock
 * @asked_ms: deadline asked for by the caller, relative; 0 for none
 * @deadline_ms: boot clock; filled by the data plane
 * @endpoint: name of the last endpoint that was tried; "" before
 * @attempts: attempts sent so far
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
 * struct generation - one request for a model
 * @body: caller's JSON object, borrowed
 * @max_tokens: 0 when the caller gave none
 * @prompt: text that the engine sees, for chat the contents joined with a newline
 * @on_text: delivers text to the caller; @finish is NULL but for the last piece; false when the
 *	caller has gone
 * @on_batch_end: all pieces that had arrived are delivered, so that they can go out in one write;
 *may be NULL; false when the caller has gone
 * @text: everything delivered so far
 * @tokens: tokens in @text
 * @resumed: times that the generation went on elsewhere after text had been delivered
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
	int resumed;
};

/** dispatch_generate - run a generation to its end; blocks */
void dispatch_generate(struct dispatch *d, struct generation *g, struct outcome *out);

/**
 * struct service_call - one call of a plain service
 * @service: name
 * @key: idempotency key; empty for none
 * @body: request body, borrowed
 * @response_status: HTTP status of the service's answer
 * @answer: its body, owned
 * @is_single_attempt: the call is not idempotent and has no key
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

/** dispatch_service - run a call; outcome status 200 means that @response_status and @answer count
 */
void dispatch_service(struct dispatch *d, struct service_call *s, struct outcome *out);

#endif
