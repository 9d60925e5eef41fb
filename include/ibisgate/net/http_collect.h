#ifndef IBISGATE_NET_HTTP_COLLECT_H
#define IBISGATE_NET_HTTP_COLLECT_H

#include "ibisgate/net/http_client.h"

/**
 * struct http_result - a complete response, or the reason for its absence
 * @status: HTTP status; 0 if there is no response
 * @head: response head; valid only during the callback; NULL if there is no response
 * @body: response body; valid only during the callback
 * @failure: why there is no response, if @status is 0
 */
struct http_result {
	int status;
	const struct http_head *head;
	struct str body;
	enum http_failure failure;
};

struct http_collect;

/**
 * http_collect_start - send a request and collect the complete response
 * @spec: without a total timeout, a multiple of the read timeout is used; @spec->body_max_bytes
 *        must be set, as the body is kept in memory and decoding it takes many times its size
 * @done: called once, after this function has returned, unless the call is cancelled; the call is
 *        freed afterwards
 * @ctx: argument of @done
 */
struct http_collect *http_collect_start(struct http_client *c,
					const struct http_exchange_spec *spec,
					void (*done)(void *ctx, const struct http_result *r),
					void *ctx);

/** http_collect_cancel - cancel and free a call; @call may be NULL */
void http_collect_cancel(struct http_collect *call);

#endif
