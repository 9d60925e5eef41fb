#ifndef IBISGATE_NET_HTTP_CALL_H
#define IBISGATE_NET_HTTP_CALL_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

#define HTTP_ETAG_MAX 96

/**
 * enum http_outcome - what is known about a blocking call
 * @HTTP_REPLIED: a whole reply came
 * @HTTP_NOT_SENT: provably no byte of the request left
 * @HTTP_NO_REPLY: at least part was sent and no whole reply came
 */
enum http_outcome {
	HTTP_REPLIED,
	HTTP_NOT_SENT,
	HTTP_NO_REPLY,
};

/**
 * struct http_call - one blocking request
 * @method: "GET", "PUT", "POST" or "DELETE"
 * @body: request body, empty for none
 * @header: one more request header line, or NULL
 * @connect_to: "ip:port" to connect to instead of the URL's, or NULL
 * @timeout_ms: limit for the whole call
 * @may_send: called with @ctx once the connection is open and before the first byte of the request;
 *            false ends the call with HTTP_NOT_SENT. NULL: always send
 * @status: out: HTTP status
 * @reply: out: body; the caller frees it with buf_free()
 * @etag: out: entity tag of the reply; "" when it has none or a longer one
 * @bytes: out: size of the request and of the reply, headers included
 */
struct http_call {
	const char *method;
	const char *url;
	struct str body;
	const char *header;
	const char *connect_to;
	int64_t timeout_ms;
	bool (*may_send)(void *ctx);
	void *ctx;
	int status;
	struct buf reply;
	char etag[HTTP_ETAG_MAX];
	int64_t bytes;
};

/** struct http_pool - reusable connections; thread-safe */
struct http_pool;

struct http_pool *http_pool_create(void);
void http_pool_destroy(struct http_pool *pool);

/**
 * http_call - make a call; blocks up to its timeout
 *
 * Only GET reuses connections: libcurl silently repeats a request on a reused connection that was
 * closed, which would apply a write twice and report the second outcome.
 */
enum http_outcome http_call(struct http_pool *pool, struct http_call *call);

#endif
