#ifndef IBISGATE_STANDINS_COMMON_H
#define IBISGATE_STANDINS_COMMON_H

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "ibisgate/common/str.h"

/** mono_us - microseconds on CLOCK_MONOTONIC, the clock of pthread_cond_timedwait() here */
int64_t mono_us(void);

/** mono_sleep_until - sleep until @deadline_us on the clock of mono_us() */
void mono_sleep_until(int64_t deadline_us);

/** mono_timespec - @us of mono_us() for pthread_cond_timedwait() */
struct timespec mono_timespec(int64_t us);

/** cond_init_mono - initialise a condition variable that waits on CLOCK_MONOTONIC */
void cond_init_mono(pthread_cond_t *cond);

/** chance - true with probability @p */
bool chance(double p);

/**
 * struct option_spec - one "--name VALUE" of the command line
 * @name: long name without the dashes
 * @number: where a whole number goes, or NULL
 * @fraction: where a fraction goes, or NULL
 * @text: where text goes, or NULL
 * @help: one line
 *
 * A default is what the target holds before options_parse().
 */
struct option_spec {
	const char *name;
	int64_t *number;
	double *fraction;
	const char **text;
	const char *help;
};

/** options_parse - parse the command line (argtable2); prints errors; Return: 0 or -1 */
int options_parse(int argc, char **argv, const struct option_spec *specs, int count);

/** signals_block - block SIGTERM and SIGINT and ignore SIGPIPE; before any thread starts */
void signals_block(void);

/** signals_wait - wait for SIGTERM or SIGINT */
void signals_wait(void);

/**
 * http_start - start a CivetWeb listener on @bind:@port (0: a port of the kernel's choice)
 * @port: in: wanted port; out: bound port
 * @handler: called for every path; returns the HTTP status
 *
 * Return: the context for mg_stop(), or NULL.
 */
struct mg_context *http_start(const char *bind, int *port, int threads, mg_request_handler handler,
			      void *ctx);

/** http_stop - finish the running requests and stop the listener on @bind:@port */
void http_stop(struct mg_context *http, const char *bind, int port);

/** http_announce - print "listening PORT" */
void http_announce(int port);

/** http_path - undecoded path of the request */
struct str http_path(const struct mg_connection *conn);
bool http_is(const struct mg_connection *conn, const char *method, const char *path);

/** http_decode - percent-decode @s; false when it does not fit or a sequence is malformed */
bool http_decode(struct str s, char *out, size_t size);

/** http_query - decoded query variable; false if absent */
bool http_query(const struct mg_connection *conn, const char *name, char *out, size_t size);
int64_t http_query_i64(const struct mg_connection *conn, const char *name, int64_t fallback);

/** http_body - read the whole body of up to @max bytes; false on a larger or cut body */
bool http_body(struct mg_connection *conn, size_t max, struct buf *out);

/** http_body_json - read and parse the body; NULL when it is not a JSON object */
json_t *http_body_json(struct mg_connection *conn, size_t max);

/** http_reply - send @value as JSON and release it; Return: @status */
int http_reply(struct mg_connection *conn, int status, json_t *value);

/** http_reply_tagged - the same with an entity tag; @value NULL sends no body */
int http_reply_tagged(struct mg_connection *conn, int status, json_t *value, const char *etag);

/** http_reply_error - send the usual error object; Return: @status */
int http_reply_error(struct mg_connection *conn, int status, const char *type, const char *code);

/** http_abort - close the connection without an answer; Return: status for the handler */
int http_abort(struct mg_connection *conn);

#endif
