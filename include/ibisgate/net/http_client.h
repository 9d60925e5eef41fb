#ifndef IBISGATE_NET_HTTP_CLIENT_H
#define IBISGATE_NET_HTTP_CLIENT_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/net/http_message.h"

/**
 * struct http_address - IPv4 address and port; key of the connection pool
 * @ip: in host byte order
 * @port: in host byte order
 */
struct http_address {
	uint32_t ip;
	uint16_t port;
};

/** http_address_parse - parse "IP:PORT"; false if it is malformed */
bool http_address_parse(struct str text, struct http_address *out);
void http_address_format(const struct http_address *a, char out[32]);

/**
 * enum http_failure - why an exchange ended without a complete response
 * @HTTP_FAILURE_CONNECT: the connection could not be established; nothing was sent
 * @HTTP_FAILURE_REFUSED: the peer's machine refused the connection, as no process listens there;
 *	nothing was sent
 * @HTTP_FAILURE_STALE: a reused connection was closed before any byte of a response arrived
 * @HTTP_FAILURE_CLOSED: the connection was closed before or during the response
 * @HTTP_FAILURE_MALFORMED: the bytes received are not a valid response, or too many of them
 *	belong to no response to this request
 * @HTTP_FAILURE_TIMEOUT: no byte arrived within the read timeout of the exchange, or the response
 *	was not complete within its total timeout
 */
enum http_failure {
	HTTP_FAILURE_CONNECT,
	HTTP_FAILURE_REFUSED,
	HTTP_FAILURE_STALE,
	HTTP_FAILURE_CLOSED,
	HTTP_FAILURE_MALFORMED,
	HTTP_FAILURE_TIMEOUT,
};

const char *http_failure_name(enum http_failure f);

/** http_failure_is_unsent - whether nothing of the request can have been sent */
bool http_failure_is_unsent(enum http_failure f);

/**
 * struct http_exchange_ops - callbacks for a response
 *
 * Either on_end or on_fail is called last, after which the exchange is freed. The other callbacks
 * may call http_exchange_cancel().
 */
struct http_exchange_ops {
	void (*on_head)(void *ctx, const struct http_head *head);
	void (*on_body)(void *ctx, struct str bytes);
	void (*on_end)(void *ctx);
	void (*on_fail)(void *ctx, enum http_failure why);
};

/**
 * struct http_exchange_spec - parameters of an exchange
 * @to: address to connect to
 * @request: complete request, as sent on the wire; copied
 * @is_head: the request is HEAD, so that the response has no body
 * @needs_new_connection: open a new connection instead of reusing an idle one
 * @match_name: response header field that identifies the request, or NULL
 * @match_value: expected value of that field; a response with another value is dropped, as it
 *               belongs to an earlier request on the same connection
 * @connect_ms: timeout for establishing the connection, in milliseconds
 * @read_timeout_ms: read timeout in milliseconds, restarted by each received byte; 0 for none
 * @total_ms: time until the response must be complete, in milliseconds; 0 for no limit
 * @body_max_bytes: maximum size of the response body; a larger one fails the exchange with
 *	HTTP_FAILURE_MALFORMED; 0 for no limit
 */
struct http_exchange_spec {
	struct http_address to;
	struct str request;
	bool is_head;
	bool needs_new_connection;
	const char *match_name;
	struct str match_value;
	int connect_ms;
	int read_timeout_ms;
	int total_ms;
	size_t body_max_bytes;
};

struct http_client;
struct http_exchange;

/**
 * struct http_client_options - limits of a client
 * @idle_ms: idle connections are closed after this time, in milliseconds
 * @max_idle_per_address: maximum number of idle connections kept to one address
 * @user_timeout_ms: a connection is closed when sent data stays unacknowledged for this time, in
 *                   milliseconds, and some seconds after the peer's machine is gone. With 0 the
 *                   kernel never gives one up: it would do so without a reset, and what was sent
 *                   may still be delivered once the path is back. Each exchange then needs a limit
 *                   of its owner's.
 */
struct http_client_options {
	int idle_ms;
	int max_idle_per_address;
	int user_timeout_ms;
};

struct http_client *http_client_create(struct event_base *base,
				       const struct http_client_options *options);

/** http_client_destroy - fail the exchanges in flight and close all connections */
void http_client_destroy(struct http_client *c);

/** http_client_close_idle - close the idle connections to an address */
void http_client_close_idle(struct http_client *c, const struct http_address *to);

/** http_client_set_max_idle - set the maximum number of idle connections to one address */
void http_client_set_max_idle(struct http_client *c, int idle_per_address);

/**
 * http_exchange_start - send a request
 *
 * The callbacks are called from the event loop, never from within this function.
 */
struct http_exchange *http_exchange_start(struct http_client *c,
					  const struct http_exchange_spec *spec,
					  const struct http_exchange_ops *ops, void *ctx);

/** http_exchange_cancel - abort an exchange and reset its connection; no further callbacks */
void http_exchange_cancel(struct http_exchange *x);

/** http_exchange_set_body_max - change the limit of the specification, for use in on_head */
void http_exchange_set_body_max(struct http_exchange *x, size_t body_max_bytes);

/** http_exchange_set_paused - stop or go on receiving; the peer is held back by TCP meanwhile */
void http_exchange_set_paused(struct http_exchange *x, bool paused);

/** http_exchange_may_have_sent - true once bytes of the request may have been sent */
bool http_exchange_may_have_sent(const struct http_exchange *x);

/** http_exchange_unsent_bytes - bytes of the request that are still to be sent */
size_t http_exchange_unsent_bytes(const struct http_exchange *x);

/** tcp_set_options - set the options of a connection: TCP_NODELAY, keep-alive probes,
 * TCP_USER_TIMEOUT */
void tcp_set_options(int fd, int user_timeout_ms);

#endif
