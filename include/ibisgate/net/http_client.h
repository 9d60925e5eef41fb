#ifndef IBISGATE_NET_HTTP_CLIENT_H
#define IBISGATE_NET_HTTP_CLIENT_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/net/http_message.h"

/**
 * struct http_address - IPv4 address and port; the key of the connection pool
 * @ip: host byte order
 */
struct http_address {
	uint32_t ip;
	uint16_t port;
};

/** http_address_parse - read "IP:PORT"; false when it is malformed */
bool http_address_parse(struct str text, struct http_address *out);
void http_address_format(const struct http_address *a, char out[32]);

/**
 * enum http_failure - how an exchange ended without a whole response
 * @HTTP_FAILURE_CONNECT: no connection could be made; nothing was sent
 * @HTTP_FAILURE_STALE: a kept connection ended before any byte of a response
 * @HTTP_FAILURE_CLOSED: the connection ended during or before the response
 * @HTTP_FAILURE_MALFORMED: the bytes received are no response
 * @HTTP_FAILURE_TIMEOUT: no byte arrived within the exchange's silence limit
 */
enum http_failure {
	HTTP_FAILURE_CONNECT,
	HTTP_FAILURE_STALE,
	HTTP_FAILURE_CLOSED,
	HTTP_FAILURE_MALFORMED,
	HTTP_FAILURE_TIMEOUT,
};

const char *http_failure_name(enum http_failure f);

/**
 * struct http_exchange_ops - receiver of a response
 *
 * on_end and on_fail come last and free the exchange. The receiver may call
 * http_exchange_cancel() in any of the others.
 */
struct http_exchange_ops {
	void (*on_head)(void *ctx, const struct http_head *head);
	void (*on_body)(void *ctx, struct str bytes);
	void (*on_end)(void *ctx);
	void (*on_fail)(void *ctx, enum http_failure why);
};

/**
 * struct http_exchange_spec - one request
 * @request: whole request as sent; copied
 * @fresh: don't use a kept connection
 * @match_name: field that names the request that a response answers, or NULL
 * @match_value: its value; a response with another one is dropped as the answer to an earlier
 *               request of the connection
 * @connect_ms: limit of the connection set-up in milliseconds
 * @silence_ms: longest time without a received byte in milliseconds; 0 for none
 */
struct http_exchange_spec {
	struct http_address to;
	struct str request;
	bool fresh;
	const char *match_name;
	struct str match_value;
	int connect_ms;
	int silence_ms;
};

struct http_client;
struct http_exchange;

/**
 * struct http_client_options - limits of a client
 * @idle_ms: kept connections are closed after this time without use, in milliseconds
 * @idle_per_address: connections to one address that are kept without use
 * @user_timeout_ms: unacknowledged bytes end a connection after this time, in milliseconds
 */
struct http_client_options {
	int idle_ms;
	int idle_per_address;
	int user_timeout_ms;
};

struct http_client *http_client_create(struct event_base *base,
				       const struct http_client_options *options);

/** http_client_destroy - fail the exchanges in progress and close all connections */
void http_client_destroy(struct http_client *c);

/** http_client_forget - close the kept connections to an address */
void http_client_forget(struct http_client *c, const struct http_address *to);

/** http_client_keep - change the number of connections kept to one address */
void http_client_keep(struct http_client *c, int idle_per_address);

/**
 * http_exchange_start - send a request
 *
 * Callbacks come later from the event loop, never from inside this call.
 */
struct http_exchange *http_exchange_start(struct http_client *c,
					  const struct http_exchange_spec *spec,
					  const struct http_exchange_ops *ops, void *ctx);

/** http_exchange_cancel - close the connection of an exchange; no callback follows */
void http_exchange_cancel(struct http_exchange *x);

/** http_exchange_sent - true once bytes of the request may have left the process */
bool http_exchange_sent(const struct http_exchange *x);

/** tcp_tune - options of every connection: no delay, keep-alive probes, time-out of lost bytes */
void tcp_tune(int fd, int user_timeout_ms);

#endif
