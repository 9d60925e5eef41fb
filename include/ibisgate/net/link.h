#ifndef IBISGATE_NET_LINK_H
#define IBISGATE_NET_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"
#include "ibisgate/policy/retry.h"

enum link_error {
	LINK_OK,
	LINK_INIT,
};

/**
 * struct link_options - settings of all transfers
 * @loops: loop threads
 * @connect_timeout_ms: limit for a TCP connection
 */
struct link_options {
	int loops;
	int64_t connect_timeout_ms;
};

/**
 * struct link - transfers towards endpoints on libcurl multi loops; thread-safe
 */
struct link;

struct link *link_create(const struct link_options *options, struct error *err);

/** link_destroy - cancels all transfers; their queues get LINK_FAILED */
void link_destroy(struct link *l);

enum link_event_kind {
	LINK_RESPONSE,
	LINK_DATA,
	LINK_END,
	LINK_FAILED,
};

/**
 * enum link_failure - why a transfer failed
 * @LINK_CONNECT: no connection
 * @LINK_RESET: connection closed or reset before the end of the response
 * @LINK_SILENT: no byte within the silence limit; the connection is closed
 * @LINK_PROTOCOL: the response is not HTTP
 * @LINK_CANCELLED: the link is being destroyed
 */
enum link_failure {
	LINK_CONNECT,
	LINK_RESET,
	LINK_SILENT,
	LINK_PROTOCOL,
	LINK_CANCELLED,
};

/**
 * struct link_event - one event of a transfer
 * @attempt: attempt id
 * @status: HTTP status, from LINK_RESPONSE on
 * @data: body bytes of LINK_DATA; owned by the receiver
 * @failure: for LINK_FAILED
 * @sent: for LINK_FAILED: whether any byte of the request may have been written
 * @refused: for LINK_FAILED: the endpoint refused the connection
 */
struct link_event {
	struct link_event *next;
	enum link_event_kind kind;
	uint64_t attempt;
	int status;
	struct buf data;
	enum link_failure failure;
	enum sent_state sent;
	bool refused;
};

/**
 * struct link_queue - events for one waiting thread; holds events of its current attempts only
 */
struct link_queue;

struct link_queue *link_queue_create(void);

/** link_queue_destroy - events that still arrive are dropped and counted */
void link_queue_destroy(struct link_queue *q);

/** link_detach - the current attempt has delivered all that matters; the rest is not counted */
void link_detach(struct link_queue *q);

/**
 * link_wait - take the next event; the caller releases it with link_event_clear()
 * @deadline_ms: boot clock
 *
 * Return: false when the deadline has passed.
 */
bool link_wait(struct link_queue *q, struct link_event *out, int64_t deadline_ms);
void link_event_clear(struct link_event *ev);

/**
 * struct link_request - a transfer; all texts are copied
 * @url: URL with the endpoint's own address
 * @address: "ip:port" to connect to instead; NULL for none
 * @headers: NULL-terminated array of "Name: value", or NULL
 * @body: request body of a POST; a NULL pointer makes a GET
 * @silence_ms: limit without any byte; comment lines count as life
 * @fresh: never use a connection that was used before
 */
struct link_request {
	const char *url;
	const char *address;
	const char *const *headers;
	struct str body;
	int64_t silence_ms;
	bool fresh;
};

/**
 * link_start - start a transfer whose events go to @q; ends the interest in any earlier one
 *
 * The request is never sent a second time, also not on another connection.
 *
 * Return: attempt id, unique in the process.
 */
uint64_t link_start(struct link *l, struct link_queue *q, const struct link_request *req);

/**
 * link_start_second - start a transfer beside the current one of @q; events of both arrive there
 *
 * There is one second transfer at most. link_start() and link_cancel() end the interest in both.
 */
uint64_t link_start_second(struct link *l, struct link_queue *q, const struct link_request *req);

/** link_cancel - close the transfer's connection; no event of @attempt is delivered any more */
void link_cancel(struct link *l, struct link_queue *q, uint64_t attempt);

/**
 * link_fetch - run a whole transfer
 * @status: out: HTTP status
 * @body: out: appended response body
 * @failed: out: the LINK_FAILED event, may be NULL
 *
 * Return: 0, or -1 when the transfer failed or @timeout_ms passed.
 */
int link_fetch(struct link *l, const struct link_request *req, int64_t timeout_ms, int *status,
	       struct buf *body, struct link_event *failed);

#endif
