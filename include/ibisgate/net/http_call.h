#ifndef IBISGATE_NET_HTTP_CALL_H
#define IBISGATE_NET_HTTP_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

#define HTTP_ETAG_MAX 96

/**
 * enum http_outcome - outcome of a blocking call
 * @HTTP_REPLIED: a complete reply was received
 * @HTTP_NOT_SENT: it is certain that no byte of the request was sent
 * @HTTP_NO_REPLY: at least part of the request was sent and no complete reply was received
 */
enum http_outcome {
	HTTP_REPLIED,
	HTTP_NOT_SENT,
	HTTP_NO_REPLY,
};

/**
 * struct http_call - a blocking call
 * @method: "GET", "PUT", "POST" or "DELETE"
 * @body: request body; empty for none
 * @extra_header: additional request header line, or NULL
 * @connect_to: "ip:port" to connect to instead of the host and port of the URL, or NULL
 * @timeout_ms: time limit of the whole call in milliseconds
 * @may_send: called with @ctx when the connection is open, before the first byte of the request is
 *            sent; returning false ends the call with HTTP_NOT_SENT. NULL: always send
 * @status: out: HTTP status
 * @reply: out: reply body; the caller frees it with buf_free()
 * @etag: out: entity tag of the reply; "" if it has none or one that doesn't fit
 * @total_bytes: out: size of request and reply including headers, in bytes
 */
struct http_call {
	const char *method;
	const char *url;
	struct str body;
	const char *extra_header;
	const char *connect_to;
	int64_t timeout_ms;
	bool (*may_send)(void *ctx);
	void *ctx;
	int status;
	struct buf reply;
	char etag[HTTP_ETAG_MAX];
	int64_t total_bytes;
};

/** struct http_pool - pool of reusable connections; thread-safe */
struct http_pool;

struct http_pool *http_pool_create(void);
void http_pool_destroy(struct http_pool *pool);

/**
 * http_call - make a call; blocks for up to its timeout
 *
 * Only GET reuses connections. When a reused connection turns out to be closed, libcurl silently
 * sends the request again, which would apply a write twice and report the second outcome.
 */
enum http_outcome http_call(struct http_pool *pool, struct http_call *call);

#endif
