#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <urcu/list.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/net/http_client.h"

/* TCP keep-alive: seconds before the first probe and between probes, lost probes until closing. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 2

/* Fraction of the peer's Keep-Alive timeout for which an idle connection is reused. */
#define KEEP_ALIVE_FRACTION 0.7

/*
 * Limits for interim responses and responses to earlier requests that arrive during one exchange.
 * An endpoint may send them without end.
 */
#define SKIPPED_RESPONSES_MAX 8
#define SKIPPED_BYTES_MAX (1 << 20)

/*
 * Interval at which a response that ended with its connection is checked for a reset while the
 * request is still being sent, in milliseconds.
 */
#define UPLOAD_CHECK_MS 10

/**
 * struct http_exchange - request in flight
 * @until_ms: when the response must be complete; 0 for no limit
 * @body_max_bytes: maximum size of the body; 0 for no limit
 * @body_bytes: size of the body so far
 * @skipped_responses: responses skipped so far
 * @skipped_bytes: size of their bodies
 * @is_head: the request is HEAD, so that the response has no body
 */
struct http_exchange {
	const struct http_exchange_ops *ops;
	void *ctx;
	struct connection *conn;
	char match_name[48];
	char match_value[80];
	int read_timeout_ms;
	int64_t until_ms;
	size_t body_max_bytes;
	size_t body_bytes;
	int skipped_responses;
	size_t skipped_bytes;
	bool is_head;
	bool head_seen;
};

/**
 * struct connection - one TCP connection to an endpoint
 * @link: entry in client->idle, or in client->in_use while an exchange uses the connection
 * @exchange: exchange that uses the connection, or NULL
 * @idle_limit_ms: idle time after which the connection is closed
 * @is_reused: the connection was idle before the current exchange
 * @is_reusable: the connection may be kept idle after the current response
 * @has_received: bytes of a response to the current exchange were received
 * @is_skipping: the response being read is an interim one or belongs to an earlier request
 * @is_closing: the connection is freed as soon as no callback is running on it
 * @upload_check: the response has ended with the peer's side of the connection, and counts once the
 *	peer has taken the whole request; NULL otherwise
 * @callback_depth: number of nested callbacks running on the connection
 */
struct connection {
	struct cds_list_head link;
	struct http_client *client;
	struct http_address to;
	struct bufferevent *bev;
	struct http_reader reader;
	struct http_exchange *exchange;
	int64_t idle_since_ms;
	int64_t idle_limit_ms;
	bool is_connected;
	bool is_reused;
	bool is_reusable;
	bool has_received;
	bool is_skipping;
	bool is_closing;
	struct event *upload_check;
	int callback_depth;
};

struct http_client {
	struct event_base *base;
	struct http_client_options options;
	struct cds_list_head idle;
	struct cds_list_head in_use;
	struct event *sweep_timer;
	int64_t connects;
};

static const char *const failure_names[] = {
	[HTTP_FAILURE_CONNECT] = "connect",	   [HTTP_FAILURE_REFUSED] = "refused",
	[HTTP_FAILURE_STALE] = "stale-connection", [HTTP_FAILURE_CLOSED] = "closed",
	[HTTP_FAILURE_MALFORMED] = "malformed",	   [HTTP_FAILURE_TIMEOUT] = "timeout",
};

const char *http_failure_name(enum http_failure f)
{
	return failure_names[f];
}

bool http_failure_is_unsent(enum http_failure f)
{
	return f == HTTP_FAILURE_CONNECT || f == HTTP_FAILURE_REFUSED;
}

bool http_address_parse(struct str text, struct http_address *out)
{
	struct str host = str_split(&text, ':');
	char ip[32];
	struct in_addr in;
	int64_t port;

	if (!str_copy(ip, sizeof(ip), host) || inet_pton(AF_INET, ip, &in) != 1)
		return false;
	if (!str_to_i64(text, &port) || port < 1 || port > 65535)
		return false;
	out->ip = ntohl(in.s_addr);
	out->port = (uint16_t)port;
	return true;
}

void http_address_format(const struct http_address *a, char out[32])
{
	snprintf(out, 32, "%u.%u.%u.%u:%u", a->ip >> 24, (a->ip >> 16) & 255, (a->ip >> 8) & 255,
		 a->ip & 255, a->port);
}

static void set_no_delay(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void tcp_set_options(int fd, int user_timeout_ms)
{
	unsigned int timeout = (unsigned int)user_timeout_ms;
	int on = 1;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int count = KEEPALIVE_COUNT;

	set_no_delay(fd);
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

static void connection_free(struct connection *c)
{
	cds_list_del(&c->link);
	if (c->upload_check)
		event_free(c->upload_check);
	bufferevent_free(c->bev);
	http_reader_free(&c->reader);
	free(c);
}

/* Closes a connection now, or when the callback that is running on it returns. */
static void connection_close(struct connection *c)
{
	cds_list_del(&c->link);
	CDS_INIT_LIST_HEAD(&c->link);
	c->is_closing = true;
	if (!c->callback_depth)
		connection_free(c);
}

static void connection_enter(struct connection *c)
{
	c->callback_depth++;
}

static void connection_leave(struct connection *c)
{
	if (--c->callback_depth == 0 && c->is_closing)
		connection_free(c);
}

/* Without a reset, TCP would deliver the rest of an abandoned request once the path is back. */
static void connection_reset_on_close(struct connection *c)
{
	struct linger discard = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
}

static void exchange_fail(struct connection *c, enum http_failure why)
{
	struct http_exchange *x = c->exchange;

	connection_reset_on_close(c);
	c->exchange = NULL;
	if (x) {
		x->ops->on_fail(x->ctx, why);
		free(x);
	}
	c->is_closing = true;
}

/* Time in ms for which an idle connection is reused, from the response's Keep-Alive field. */
static int64_t keep_alive_ms(const struct http_head *head, int64_t fallback)
{
	struct str value;

	if (!http_head_find(head, "keep-alive", &value))
		return fallback;
	while (value.len) {
		struct str part = str_split(&value, ',');
		int64_t seconds;

		while (part.len && part.data[0] == ' ') {
			part.data++;
			part.len--;
		}
		if (!str_starts_with(part, STR_LIT("timeout=")))
			continue;
		part.data += 8;
		part.len -= 8;
		if (str_to_i64(part, &seconds) && seconds >= 0)
			return (int64_t)((double)seconds * 1000 * KEEP_ALIVE_FRACTION);
	}
	return fallback;
}

/* Returns -1, which ends the exchange, when there are too many. */
static int skipped_response_count(struct http_exchange *x)
{
	return ++x->skipped_responses > SKIPPED_RESPONSES_MAX ? -1 : 0;
}

/* Whether the announced body exceeds the limit, so that it need not be received at all. */
static bool body_is_too_large(const struct http_exchange *x, const struct http_head *head)
{
	int64_t announced = http_head_i64(head, "content-length", 0);

	return x->body_max_bytes && announced > (int64_t)x->body_max_bytes;
}

static int on_head(void *ctx, const struct http_head *head)
{
	struct connection *c = ctx;
	struct http_exchange *x = c->exchange;
	struct str value;
	int64_t limit;
	bool has_body;

	if (!x)
		return 0;
	if (!http_status_is_valid(head->status))
		return -1;
	if (head->status < 200) {
		c->is_skipping = true;
		return skipped_response_count(x);
	}
	c->is_skipping = x->match_name[0] && http_head_find(head, x->match_name, &value) &&
			 !str_eq_cstr(value, x->match_value);
	if (c->is_skipping) {
		/* A connection that returned a response to another request is not reused. */
		c->is_reusable = false;
		return skipped_response_count(x) < 0 ? -1 : !http_status_has_body(head->status);
	}
	has_body = !x->is_head && http_status_has_body(head->status);
	limit = keep_alive_ms(head, c->client->options.idle_ms);
	c->idle_limit_ms = limit < c->client->options.idle_ms ? limit : c->client->options.idle_ms;
	c->is_reusable = c->is_reusable && head->keep_alive && c->idle_limit_ms > 0;
	x->head_seen = true;
	x->ops->on_head(x->ctx, head);
	if (!has_body)
		return 1;
	/* The callback may have cancelled the exchange. */
	return c->exchange && body_is_too_large(x, head) ? -1 : 0;
}

static void on_body(void *ctx, struct str bytes)
{
	struct connection *c = ctx;

	struct http_exchange *x = c->exchange;

	if (!x)
		return;
	if (c->is_skipping) {
		x->skipped_bytes += bytes.len;
		return;
	}
	x->body_bytes += bytes.len;
	if (x->body_max_bytes && x->body_bytes > x->body_max_bytes)
		exchange_fail(c, HTTP_FAILURE_MALFORMED);
	else
		x->ops->on_body(x->ctx, bytes);
}

static void on_end(void *ctx)
{
	(void)ctx;
}

static const struct http_reader_ops reader_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static int idle_count(const struct http_client *client, const struct http_address *to)
{
	struct connection *c;
	int n = 0;

	cds_list_for_each_entry(c, &client->idle, link) {
		if (c->to.ip == to->ip && c->to.port == to->port)
			n++;
	}
	return n;
}

static void exchange_end(struct connection *c)
{
	struct http_exchange *x = c->exchange;
	struct evbuffer *in = bufferevent_get_input(c->bev);

	c->exchange = NULL;
	/* The last bytes may have come together with those that paused the exchange. */
	bufferevent_enable(c->bev, EV_READ);
	/* Bytes after a complete response belong to no request, so the connection is not reused. */
	if (c->is_reusable && !c->is_closing && evbuffer_get_length(in) == 0 &&
	    idle_count(c->client, &c->to) < c->client->options.max_idle_per_address) {
		c->idle_since_ms = clock_boot_ms();
		bufferevent_set_timeouts(c->bev, NULL, NULL);
		cds_list_del(&c->link);
		cds_list_add(&c->link, &c->client->idle);
	} else {
		c->is_closing = true;
	}
	if (x) {
		x->ops->on_end(x->ctx);
		free(x);
	}
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct connection *c = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);

	connection_enter(c);
	if (!c->exchange) {
		c->is_closing = true;
		goto out;
	}
	if (c->exchange->until_ms && clock_boot_ms() >= c->exchange->until_ms) {
		exchange_fail(c, HTTP_FAILURE_TIMEOUT);
		goto out;
	}
	while (c->exchange && evbuffer_get_length(in) > 0) {
		size_t len = evbuffer_get_contiguous_space(in);
		struct str bytes = { .data = (char *)evbuffer_pullup(in, (ev_ssize_t)len),
				     .len = len };
		int64_t consumed;

		c->has_received = true;
		consumed = http_reader_feed(&c->reader, bytes);
		if (!c->exchange)
			goto out;
		if (consumed < 0 || c->exchange->skipped_bytes > SKIPPED_BYTES_MAX) {
			exchange_fail(c, HTTP_FAILURE_MALFORMED);
			goto out;
		}
		evbuffer_drain(in, (size_t)consumed);
		if (!c->reader.is_complete)
			continue;
		http_reader_next(&c->reader);
		if (!c->is_skipping) {
			exchange_end(c);
			goto out;
		}
	}
out:
	connection_leave(c);
}

static enum http_failure connection_failure(const struct connection *c, short what)
{
	if (!c->is_connected)
		return (what & BEV_EVENT_ERROR) && EVUTIL_SOCKET_ERROR() == ECONNREFUSED
			       ? HTTP_FAILURE_REFUSED
			       : HTTP_FAILURE_CONNECT;
	if (what & BEV_EVENT_TIMEOUT)
		return HTTP_FAILURE_TIMEOUT;
	if (c->is_reused && !c->has_received)
		return HTTP_FAILURE_STALE;
	return HTTP_FAILURE_CLOSED;
}

/* Whether bytes of the request have not arrived at the peer. */
static bool request_is_unsent(const struct connection *c)
{
	int queued = 0;

	return evbuffer_get_length(bufferevent_get_output(c->bev)) > 0 ||
	       (ioctl(bufferevent_getfd(c->bev), SIOCOUTQ, &queued) == 0 && queued > 0);
}

static bool connection_is_reset(const struct connection *c)
{
	int error = 0;
	socklen_t len = sizeof(error);

	return getsockopt(bufferevent_getfd(c->bev), SOL_SOCKET, SO_ERROR, &error, &len) < 0 ||
	       error;
}

static void on_upload_check(evutil_socket_t fd, short what, void *ctx)
{
	struct connection *c = ctx;

	connection_enter(c);
	if (!c->exchange)
		c->is_closing = true;
	else if (connection_is_reset(c))
		exchange_fail(c, HTTP_FAILURE_CLOSED);
	else if (!request_is_unsent(c))
		exchange_end(c);
	else if (c->exchange->until_ms && clock_boot_ms() >= c->exchange->until_ms)
		exchange_fail(c, HTTP_FAILURE_TIMEOUT);
	connection_leave(c);
}

/*
 * Ends a response that has no length (RFC 9112, 6.3). A peer that crashes while the request is
 * still being sent also ends its side first, and resets the connection with the next bytes.
 */
static void response_end_with_connection(struct connection *c)
{
	struct timeval period = { .tv_usec = UPLOAD_CHECK_MS * 1000 };

	c->is_reusable = false;
	if (!request_is_unsent(c)) {
		exchange_end(c);
		return;
	}
	c->upload_check = event_new(c->client->base, -1, EV_PERSIST, on_upload_check, c);
	event_add(c->upload_check, &period);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct connection *c = ctx;

	if (what & BEV_EVENT_CONNECTED) {
		c->is_connected = true;
		if (c->exchange && c->exchange->read_timeout_ms) {
			struct timeval tv = { .tv_sec = c->exchange->read_timeout_ms / 1000,
					      .tv_usec = (c->exchange->read_timeout_ms % 1000) *
							 1000L };

			bufferevent_set_timeouts(bev, &tv, NULL);
		} else {
			bufferevent_set_timeouts(bev, NULL, NULL);
		}
		return;
	}
	/* The response has ended already, and reading was only resumed. */
	if (c->upload_check && !(what & BEV_EVENT_ERROR))
		return;
	connection_enter(c);
	/*
	 * The kernel reports a reset once. After a write has met it, a read in the same round finds
	 * the end of the connection.
	 */
	if ((what & BEV_EVENT_EOF) && !(what & BEV_EVENT_ERROR) && c->exchange && !c->is_skipping &&
	    http_reader_eof(&c->reader) && c->exchange) {
		response_end_with_connection(c);
	} else if (c->exchange) {
		exchange_fail(c, connection_failure(c, what));
	} else {
		c->is_closing = true;
	}
	connection_leave(c);
}

static void on_sweep_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct http_client *client = ctx;
	struct connection *c, *next;
	int64_t now = clock_boot_ms();

	cds_list_for_each_entry_safe(c, next, &client->idle, link) {
		if (now - c->idle_since_ms > c->idle_limit_ms)
			connection_close(c);
	}
}

struct http_client *http_client_create(struct event_base *base,
				       const struct http_client_options *options)
{
	struct http_client *c = mem_zalloc(sizeof(*c));
	struct timeval second = { .tv_sec = 1 };

	c->base = base;
	c->options = *options;
	CDS_INIT_LIST_HEAD(&c->idle);
	CDS_INIT_LIST_HEAD(&c->in_use);
	c->sweep_timer = event_new(base, -1, EV_PERSIST, on_sweep_timer, c);
	event_add(c->sweep_timer, &second);
	return c;
}

void http_client_destroy(struct http_client *client)
{
	struct connection *c, *next;

	if (!client)
		return;
	cds_list_for_each_entry_safe(c, next, &client->in_use, link) {
		exchange_fail(c, HTTP_FAILURE_CLOSED);
		connection_free(c);
	}
	cds_list_for_each_entry_safe(c, next, &client->idle, link)
		connection_close(c);
	event_free(client->sweep_timer);
	free(client);
}

void http_client_close_idle(struct http_client *client, const struct http_address *to)
{
	struct connection *c, *next;

	cds_list_for_each_entry_safe(c, next, &client->idle, link) {
		if (c->to.ip == to->ip && c->to.port == to->port)
			connection_close(c);
	}
}

void http_client_set_max_idle(struct http_client *client, int idle_per_address)
{
	client->options.max_idle_per_address = idle_per_address;
}

static struct connection *connection_acquire_idle(struct http_client *client,
						  const struct http_address *to)
{
	struct connection *c, *next;
	int64_t now = clock_boot_ms();

	cds_list_for_each_entry_safe(c, next, &client->idle, link) {
		if (c->to.ip != to->ip || c->to.port != to->port)
			continue;
		if (now - c->idle_since_ms > c->idle_limit_ms) {
			connection_close(c);
			continue;
		}
		cds_list_del(&c->link);
		cds_list_add(&c->link, &client->in_use);
		c->is_reused = true;
		c->has_received = false;
		return c;
	}
	return NULL;
}

static struct connection *connection_create(struct http_client *client,
					    const struct http_address *to, int connect_ms)
{
	struct connection *c = mem_zalloc(sizeof(*c));
	struct timeval tv = { .tv_sec = connect_ms / 1000, .tv_usec = (connect_ms % 1000) * 1000L };
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_port = htons(to->port),
				   .sin_addr.s_addr = htonl(to->ip) };
	evutil_socket_t fd;

	c->client = client;
	c->to = *to;
	c->is_reusable = true;
	cds_list_add(&c->link, &client->in_use);
	http_reader_init(&c->reader, HTTP_MESSAGE_RESPONSE, 0, &reader_ops, c);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 && client->options.user_timeout_ms)
		tcp_set_options(fd, client->options.user_timeout_ms);
	else if (fd >= 0)
		set_no_delay(fd);
	/* Deferred callbacks keep http_exchange_start() from reporting a connect() failure itself.
	 */
	c->bev = bufferevent_socket_new(client->base, fd,
					BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	bufferevent_set_timeouts(c->bev, &tv, &tv);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	client->connects++;
	bufferevent_socket_connect(c->bev, (struct sockaddr *)&sin, sizeof(sin));
	return c;
}

struct http_exchange *http_exchange_start(struct http_client *client,
					  const struct http_exchange_spec *spec,
					  const struct http_exchange_ops *ops, void *ctx)
{
	struct http_exchange *x = mem_zalloc(sizeof(*x));
	struct connection *c = NULL;

	x->ops = ops;
	x->ctx = ctx;
	x->is_head = spec->is_head;
	x->read_timeout_ms = spec->read_timeout_ms;
	x->body_max_bytes = spec->body_max_bytes;
	x->until_ms = spec->total_ms ? clock_boot_ms() + spec->total_ms : 0;
	if (spec->match_name) {
		str_copy(x->match_name, sizeof(x->match_name), str_from(spec->match_name));
		str_copy(x->match_value, sizeof(x->match_value), spec->match_value);
	}
	if (!spec->needs_new_connection)
		c = connection_acquire_idle(client, &spec->to);
	if (!c) {
		c = connection_create(client, &spec->to, spec->connect_ms);
	} else if (spec->read_timeout_ms) {
		struct timeval tv = { .tv_sec = spec->read_timeout_ms / 1000,
				      .tv_usec = (spec->read_timeout_ms % 1000) * 1000L };

		bufferevent_set_timeouts(c->bev, &tv, NULL);
	}
	c->exchange = x;
	x->conn = c;
	bufferevent_write(c->bev, spec->request.data, spec->request.len);
	return x;
}

void http_exchange_cancel(struct http_exchange *x)
{
	struct connection *c = x->conn;

	connection_reset_on_close(c);
	c->exchange = NULL;
	connection_close(c);
	free(x);
}

void http_exchange_set_body_max(struct http_exchange *x, size_t body_max_bytes)
{
	x->body_max_bytes = body_max_bytes;
}

void http_exchange_set_paused(struct http_exchange *x, bool paused)
{
	if (paused)
		bufferevent_disable(x->conn->bev, EV_READ);
	else
		bufferevent_enable(x->conn->bev, EV_READ);
}

size_t http_exchange_unsent_bytes(const struct http_exchange *x)
{
	return x->conn ? evbuffer_get_length(bufferevent_get_output(x->conn->bev)) : 0;
}

bool http_exchange_may_have_sent(const struct http_exchange *x)
{
	return x->conn->is_connected;
}
