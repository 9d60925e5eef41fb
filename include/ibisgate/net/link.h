#ifndef IBISGATE_NET_LINK_H
#define IBISGATE_NET_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"
#include "ibisgate/policy/retry.h"

/* Maximum size of the headers and of the body of a response; a longer one fails the transfer. */
#define LINK_HEADERS_MAX_BYTES ((size_t)1 << 20)
#define LINK_BODY_MAX_BYTES ((size_t)64 << 20)

enum link_error {
	LINK_OK,
	LINK_INIT_FAILED,
};

/**
 * struct link_options - settings that apply to all transfers
 * @loops: number of event loop threads
 * @connect_timeout_ms: time limit for establishing a TCP connection
 */
struct link_options {
	int loops;
	int64_t connect_timeout_ms;
};

/**
 * struct link - HTTP client for endpoints, with one libcurl multi handle per loop; thread-safe
 */
struct link;

struct link *link_create(const struct link_options *options, struct error *err);

/** link_destroy - cancel all transfers; their queues receive LINK_FAILED */
void link_destroy(struct link *l);

enum link_event_kind {
	LINK_RESPONSE,
	LINK_DATA,
	LINK_END,
	LINK_FAILED,
};

/**
 * enum link_failure - why a transfer failed
 * @LINK_CONNECT_FAILED: no connection was established
 * @LINK_RESET: the connection was closed or reset before the end of the response
 * @LINK_SILENT: no byte arrived within the silence limit; the connection is closed
 * @LINK_PROTOCOL: the response is not valid HTTP
 * @LINK_CANCELLED: the link is being destroyed
 */
enum link_failure {
	LINK_CONNECT_FAILED,
	LINK_RESET,
	LINK_SILENT,
	LINK_PROTOCOL,
	LINK_CANCELLED,
};

/**
 * struct link_event - event of a transfer
 * @attempt: attempt id
 * @status: HTTP status, for LINK_RESPONSE, LINK_END and LINK_FAILED
 * @data: body bytes of LINK_DATA, owned by the receiver
 * @failure: reason, for LINK_FAILED
 * @sent: whether any byte of the request may have been written, for LINK_FAILED
 * @refused: the endpoint refused the connection, for LINK_FAILED
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
 * struct link_queue - event queue of one waiting thread
 *
 * The queue holds events of its current attempts only.
 */
struct link_queue;

struct link_queue *link_queue_create(void);

/** link_queue_destroy - destroy the queue; events that arrive later are dropped and counted */
void link_queue_destroy(struct link_queue *q);

/**
 * link_mark_complete - mark the current attempt as complete
 *
 * Its later events are not counted as stale when they are dropped.
 */
void link_mark_complete(struct link_queue *q);

/**
 * link_wait - wait for the next event; the caller releases it with link_event_clear()
 * @deadline_ms: deadline on the boot clock
 *
 * Return: false when the deadline has passed.
 */
bool link_wait(struct link_queue *q, struct link_event *out, int64_t deadline_ms);
void link_event_clear(struct link_event *ev);

/**
 * struct link_request - HTTP request; all texts are copied
 * @url: URL with the endpoint's own address
 * @address: "ip:port" to connect to instead, or NULL
 * @headers: NULL-terminated array of "Name: value", or NULL
 * @body: body of a POST request; with NULL data the request is a GET
 * @silence_ms: longest time without a received byte, 0 for no limit; comment lines of an event
 *		stream count as received bytes
 * @fresh_connection: open a new connection instead of reusing a pooled one
 */
struct link_request {
	const char *url;
	const char *address;
	const char *const *headers;
	struct str body;
	int64_t silence_ms;
	bool fresh_connection;
};

/**
 * link_start - start a transfer whose events go to @q
 *
 * @q no longer receives events of earlier transfers. The request is never sent twice, not even over
 * another connection.
 *
 * Return: attempt id, unique in the process.
 */
uint64_t link_start(struct link *l, struct link_queue *q, const struct link_request *req);

/**
 * link_start_hedged - start a hedged transfer in parallel with the current one of @q
 *
 * @q receives the events of both transfers, and has at most one second transfer. A later
 * link_start() or link_cancel() ends the delivery of events of both.
 */
uint64_t link_start_hedged(struct link *l, struct link_queue *q, const struct link_request *req);

/** link_cancel - close the connection of @attempt; @q receives no more events of it */
void link_cancel(struct link *l, struct link_queue *q, uint64_t attempt);

/**
 * link_fetch - run a transfer and wait for its end
 * @status: out: HTTP status
 * @body: out: the response body is appended
 * @failed: out: the LINK_FAILED event; may be NULL
 *
 * Return: 0, or -1 when the transfer failed or @timeout_ms passed.
 */
int link_fetch(struct link *l, const struct link_request *req, int64_t timeout_ms, int *status,
	       struct buf *body, struct link_event *failed);

#endif
