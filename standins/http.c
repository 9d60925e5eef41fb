#include <arpa/inet.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisgate/common/json.h"
#include "ibisgate/standins/common.h"

#define LISTENER_WAKE_INTERVAL_US 20000

struct mg_context *http_start(const char *bind, int *port, int threads, mg_request_handler handler,
			      void *ctx)
{
	char address[64];
	char count[16];
	const char *options[] = {
		"listening_ports",
		address,
		"num_threads",
		count,
		"enable_keep_alive",
		"yes",
		"decode_url",
		"no",
		/* An idle connection occupies a thread, so idle client connections are closed. */
		"keep_alive_timeout_ms",
		"20000",
		"request_timeout_ms",
		"120000",
		"tcp_nodelay",
		"1",
		/* Connections in excess of the threads are queued instead of refused. */
		"connection_queue",
		"256",
		"listen_backlog",
		"256",
		NULL,
	};
	struct mg_callbacks callbacks = { 0 };
	struct mg_server_port bound;
	struct mg_context *http;

	mg_init_library(0);
	snprintf(address, sizeof(address), "%s:%d", bind, *port);
	snprintf(count, sizeof(count), "%d", threads);
	http = mg_start(&callbacks, ctx, options);
	if (!http || mg_get_server_ports(http, 1, &bound) < 1) {
		fprintf(stderr, "cannot listen on %s\n", address);
		return NULL;
	}
	*port = bound.port;
	mg_set_request_handler(http, "/", handler, ctx);
	return http;
}

struct listener_wake {
	struct sockaddr_in addr;
	atomic_bool done;
};

static void *listener_wake_run(void *ctx)
{
	struct listener_wake *wake = ctx;

	while (!wake->done) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		mono_sleep_until(mono_now_us() + LISTENER_WAKE_INTERVAL_US);
		if (fd < 0)
			continue;
		/* A refused connection means that the listener is already closed. */
		(void)connect(fd, (struct sockaddr *)&wake->addr, sizeof(wake->addr));
		close(fd);
	}
	return NULL;
}

void http_stop(struct mg_context *http, const char *bind, int port)
{
	struct listener_wake wake = { .addr.sin_family = AF_INET };
	pthread_t thread;

	/* CivetWeb checks its stop flag every 2 s or on a new connection, so open connections. */
	wake.addr.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, bind, &wake.addr.sin_addr);
	pthread_create(&thread, NULL, listener_wake_run, &wake);
	mg_stop(http);
	wake.done = true;
	pthread_join(thread, NULL);
}

void http_port_announce(int port)
{
	printf("listening %d\n", port);
	fflush(stdout);
}

struct str http_request_path(const struct mg_connection *conn)
{
	return str_from(mg_get_request_info(conn)->local_uri_raw);
}

bool http_request_matches(const struct mg_connection *conn, const char *method, const char *path)
{
	const struct mg_request_info *info = mg_get_request_info(conn);

	return strcmp(info->request_method, method) == 0 && strcmp(info->local_uri_raw, path) == 0;
}

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

bool http_percent_decode(struct str s, char *out, size_t size)
{
	size_t n = 0;

	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (n + 1 >= size)
			return false;
		if (c == '%') {
			int high = i + 2 < s.len ? hex_value(s.data[i + 1]) : -1;
			int low = i + 2 < s.len ? hex_value(s.data[i + 2]) : -1;

			if (high < 0 || low < 0)
				return false;
			c = (char)(high * 16 + low);
			i += 2;
		}
		out[n++] = c;
	}
	out[n] = '\0';
	return true;
}

bool http_query(const struct mg_connection *conn, const char *name, char *out, size_t size)
{
	const char *query = mg_get_request_info(conn)->query_string;

	return query && mg_get_var(query, strlen(query), name, out, size) >= 0;
}

int64_t http_query_i64(const struct mg_connection *conn, const char *name, int64_t fallback)
{
	char text[32];
	int64_t v;

	if (!http_query(conn, name, text, sizeof(text)) || !str_to_i64(str_from(text), &v))
		return fallback;
	return v;
}

bool http_body_read(struct mg_connection *conn, size_t max, struct buf *out)
{
	const char *expect = mg_get_header(conn, "Expect");
	long long length = mg_get_request_info(conn)->content_length;
	char part[16384];
	int n;

	/* The handler must send the interim response; without it clients wait for a second. */
	if (expect && strcasecmp(expect, "100-continue") == 0)
		mg_printf(conn, "HTTP/1.1 100 Continue\r\n\r\n");
	while ((n = mg_read(conn, part, sizeof(part))) > 0) {
		if (out->len + (size_t)n > max)
			return false;
		buf_append(out, part, (size_t)n);
	}
	return n == 0 && (length < 0 || out->len == (size_t)length);
}

json_t *http_body_json(struct mg_connection *conn, size_t max)
{
	struct buf body = { 0 };
	json_t *value = NULL;

	if (http_body_read(conn, max, &body))
		value = json_parse(buf_str(&body));
	buf_free(&body);
	if (value && !json_is_object(value)) {
		json_decref(value);
		value = NULL;
	}
	return value;
}

int http_reply_with_fields(struct mg_connection *conn, int status, json_t *value,
			   const char *fields)
{
	struct buf body = { 0 };
	struct buf out = { 0 };

	buf_printf(&out, "HTTP/1.1 %d %s\r\n%s", status, mg_get_response_code_text(conn, status),
		   fields);
	if (value) {
		json_append(&body, value);
		json_decref(value);
		buf_printf(&out, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
			   body.len);
	}
	buf_printf(&out, "\r\n");
	buf_append_str(&out, buf_str(&body));
	mg_write(conn, out.data, out.len);
	buf_free(&body);
	buf_free(&out);
	return status;
}

int http_reply_with_etag(struct mg_connection *conn, int status, json_t *value, const char *etag)
{
	struct buf field = { 0 };

	buf_printf(&field, "ETag: %s\r\n", etag);
	http_reply_with_fields(conn, status, value, field.data);
	buf_free(&field);
	return status;
}

int http_reply(struct mg_connection *conn, int status, json_t *value)
{
	return http_reply_with_fields(conn, status, value, "");
}

int http_reply_error(struct mg_connection *conn, int status, const char *type, const char *code)
{
	return http_reply(conn, status,
			  json_pack("{s:{s:s,s:s,s:s}}", "error", "type", type, "code", code,
				    "message", code));
}

int http_abort(struct mg_connection *conn)
{
	mg_disable_connection_keep_alive(conn);
	return 200;
}
