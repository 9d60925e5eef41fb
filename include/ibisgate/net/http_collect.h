#ifndef IBISGATE_NET_HTTP_COLLECT_H
#define IBISGATE_NET_HTTP_COLLECT_H

#include "ibisgate/net/http_client.h"

/**
 * struct http_result - a whole response, or why there is none
 * @status: 0 when there is none, for the reason in @failure
 * @body: valid during the callback
 */
struct http_result {
	int status;
	struct str body;
	enum http_failure failure;
};

struct http_collect;

/**
 * http_collect_start - send a request and collect its whole response
 * @done: called once, later, unless the call is cancelled; frees the call
 */
struct http_collect *http_collect_start(struct http_client *c,
					const struct http_exchange_spec *spec,
					void (*done)(void *ctx, const struct http_result *r),
					void *ctx);

/** http_collect_cancel - give a call up; NULL is allowed */
void http_collect_cancel(struct http_collect *call);

#endif
