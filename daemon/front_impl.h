#ifndef DAEMON_FRONT_IMPL_H
#define DAEMON_FRONT_IMPL_H

#include <civetweb.h>

#include "ibisgate/daemon/control.h"
#include "ibisgate/daemon/dispatch_use.h"

/** struct front - listener for callers; @connections: open ones, each of which has a thread */
struct front {
	struct gate *gate;
	struct mg_context *context;
	int port;
	_Atomic int connections;
};

/**
 * struct exchange - one HTTP request and its answer
 * @call: identity of the request; the front fills it after authentication
 * @body: request body, owned
 * @body_read: the whole body was taken from the connection
 * @headers: extra answer headers, "Name: value\r\n" each
 */
struct exchange {
	struct front *front;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	struct call call;
	struct buf body;
	bool body_read;
	struct buf headers;
};

/* front_reply.c */
void reply_body(struct exchange *x, int status, const char *type, struct str body);
void reply_json(struct exchange *x, int status, json_t *value);
void reply_outcome(struct exchange *x, const struct outcome *o);

/** reply_invalid - 4xx with the type invalid_request; @param may be NULL */
void reply_invalid(struct exchange *x, int status, const char *code, const char *param,
		   const char *message);

/** error_json - {"error":{"message","type","code","param"}}; new reference */
json_t *error_json(const char *message, const char *type, const char *code, const char *param);

/** reply_stream_begin - headers of an SSE answer */
bool reply_stream_begin(struct exchange *x);

/** reply_stream - write a part of the SSE answer; an empty part ends it; false on failure */
bool reply_stream(struct exchange *x, struct str part);

/* front_body.c */

/** body_read - read the request body; false after an error has been answered */
bool body_read(struct exchange *x);

/** reply_body_error - answer for an error of request_parse() or request_json() */
void reply_body_error(struct exchange *x, const struct error *err, const char *param);

/* front_generate.c */
void generate_handle(struct exchange *x, bool chat);

#endif
