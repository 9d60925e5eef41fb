#ifndef IBISGATE_STANDINS_COMMON_H
#define IBISGATE_STANDINS_COMMON_H

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "ibisgate/common/str.h"

/** mono_now_us - CLOCK_MONOTONIC time in microseconds; cond_init_mono() selects the same clock */
int64_t mono_now_us(void);

/** mono_sleep_until - sleep until @deadline_us on CLOCK_MONOTONIC */
void mono_sleep_until(int64_t deadline_us);

/** mono_timespec - convert a time in microseconds for pthread_cond_timedwait() */
struct timespec mono_timespec(int64_t us);

/** cond_init_mono - initialise a condition variable that waits on CLOCK_MONOTONIC */
void cond_init_mono(pthread_cond_t *cond);

/** random_chance - return true with probability @p */
bool random_chance(double p);

/**
 * struct option_spec - command line option "--name VALUE"
 * @name: long name without the dashes
 * @number: target of an integer option, or NULL
 * @fraction: target of a floating-point option, or NULL
 * @text: target of a string option, or NULL
 * @help: one line of help text
 *
 * The value of the target before options_parse() is the default.
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

/** signals_block - block SIGTERM and SIGINT, ignore SIGPIPE; call before starting threads */
void signals_block(void);

/** signals_wait - wait for SIGTERM or SIGINT */
void signals_wait(void);

/**
 * http_start - start a CivetWeb listener on @bind:@port
 * @port: in: requested port, 0 for one chosen by the kernel; out: bound port
 * @handler: called for every path with @ctx; returns the HTTP status
 *
 * Return: the context for mg_stop(), or NULL.
 */
struct mg_context *http_start(const char *bind, int *port, int threads, mg_request_handler handler,
			      void *ctx);

/** http_stop - stop the listener on @bind:@port after the requests in flight are finished */
void http_stop(struct mg_context *http, const char *bind, int port);

/** http_port_announce - print "listening PORT" on standard output */
void http_port_announce(int port);

/** http_request_path - path of the request, still percent-encoded */
struct str http_request_path(const struct mg_connection *conn);

/** http_request_matches - whether the request has this method and undecoded path */
bool http_request_matches(const struct mg_connection *conn, const char *method, const char *path);

/** http_percent_decode - percent-decode @s; false if @out is too small or a sequence is malformed
 */
bool http_percent_decode(struct str s, char *out, size_t size);

/** http_query - decode a query parameter into @out; false if it is absent or does not fit */
bool http_query(const struct mg_connection *conn, const char *name, char *out, size_t size);

/** http_query_i64 - query parameter as an integer; @fallback if absent or malformed */
int64_t http_query_i64(const struct mg_connection *conn, const char *name, int64_t fallback);

/** http_body_read - append the body to @out; false if it exceeds @max bytes or is truncated */
bool http_body_read(struct mg_connection *conn, size_t max, struct buf *out);

/** http_body_json - read and parse the body; Return: new reference, NULL if no JSON object */
json_t *http_body_json(struct mg_connection *conn, size_t max);

/** http_reply - send @value as JSON and drop the reference to it; Return: @status */
int http_reply(struct mg_connection *conn, int status, json_t *value);

/**
 * http_reply_with_fields - like http_reply() with more header lines, each ending with CR LF; no
 * body if @value is NULL
 */
int http_reply_with_fields(struct mg_connection *conn, int status, json_t *value,
			   const char *fields);

/** http_reply_with_etag - like http_reply() with an entity tag; no body if @value is NULL */
int http_reply_with_etag(struct mg_connection *conn, int status, json_t *value, const char *etag);

/** http_reply_error - send a JSON error object with @type and @code; Return: @status */
int http_reply_error(struct mg_connection *conn, int status, const char *type, const char *code);

/** http_abort - close the connection, sending nothing more; Return: status for the handler */
int http_abort(struct mg_connection *conn);

#endif
