#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/net/http_message.h"
#include "link_impl.h"

/* Pooled connections that were idle for longer are not reused. */
#define LINK_POOL_IDLE_MAX_S 15L

static void response_deliver(struct transfer *t)
{
	struct link_event ev = { .kind = LINK_RESPONSE, .attempt = t->attempt };
	long status = 0;

	if (t->responded)
		return;
	t->responded = true;
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	ev.status = (int)status;
	link_queue_push(t->queue, ev);
}

static bool line_begins(struct str line, const char *name)
{
	size_t len = strlen(name);

	return line.len >= len && strncasecmp(line.data, name, len) == 0;
}

static size_t on_header_line(char *data, size_t size, size_t n, void *ctx)
{
	struct transfer *t = ctx;
	size_t len = size * n;
	struct str line = { .data = data, .len = len };
	long status = 0;

	t->last_activity_ms = clock_boot_ms();
	t->header_bytes += len;
	if (t->header_bytes > LINK_HEADERS_MAX_BYTES)
		return 0;
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	if (line_begins(line, "HTTP/"))
		t->has_length = false;
	else if (line_begins(line, "content-length:") || line_begins(line, "transfer-encoding:"))
		t->has_length = true;
	if (len <= 2 && !http_status_is_valid((int)status)) {
		t->malformed = true;
		return 0;
	}
	/* An empty line ends the headers; after a 1xx response another header block follows. */
	if (len <= 2 && (data[0] == '\r' || data[0] == '\n') && status >= 200)
		response_deliver(t);
	return len;
}

static size_t on_data(char *data, size_t size, size_t n, void *ctx)
{
	struct transfer *t = ctx;
	struct link_event ev = { .kind = LINK_DATA, .attempt = t->attempt };
	size_t len = size * n;

	t->last_activity_ms = clock_boot_ms();
	if (t->cancelled)
		return len;
	t->body_bytes += len;
	if (t->body_bytes > LINK_BODY_MAX_BYTES)
		return 0;
	buf_append(&ev.data, data, len);
	link_queue_push(t->queue, ev);
	return len;
}

/*
 * Called when a connection is ready, before the first byte of the request is written. libcurl
 * resends a request on its own if a reused connection turns out to be dead. This could execute a
 * call twice, so the second call for a transfer aborts it.
 */
static int on_connection_ready(void *ctx, char *remote, char *local, int remote_port,
			       int local_port)
{
	struct transfer *t = ctx;

	if (t->maybe_written) {
		t->resent = true;
		return CURL_PREREQFUNC_ABORT;
	}
	t->maybe_written = true;
	t->last_activity_ms = clock_boot_ms();
	return CURL_PREREQFUNC_OK;
}

static void headers_set(struct transfer *t, const struct link_request *req)
{
	t->headers = curl_slist_append(t->headers, "Expect:");
	if (req->body.data)
		t->headers = curl_slist_append(t->headers, "Content-Type: application/json");
	for (int i = 0; req->headers && req->headers[i]; i++)
		t->headers = curl_slist_append(t->headers, req->headers[i]);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

/*
 * Called for each new socket. A connection ends after a whole response or with an abandoned
 * request, which TCP would deliver later without a reset.
 */
static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	struct linger discard = { .l_onoff = 1, .l_linger = 0 };

	return setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard)) == 0
		       ? CURL_SOCKOPT_OK
		       : CURL_SOCKOPT_ERROR;
}

static void connection_set(struct transfer *t, struct link *l, const struct link_request *req)
{
	char target[96];
	bool fresh = req->fresh_connection ||
		     clock_boot_ms() <
			     atomic_load(&l->fresh_until_ms[t->target_hash % LINK_HOST_BUCKETS]);

	if (req->address) {
		snprintf(target, sizeof(target), "::%s", req->address);
		t->connect_to = curl_slist_append(NULL, target);
		curl_easy_setopt(t->easy, CURLOPT_CONNECT_TO, t->connect_to);
	}
	curl_easy_setopt(t->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)l->options.connect_timeout_ms);
	curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
	curl_easy_setopt(t->easy, CURLOPT_MAXAGE_CONN, LINK_POOL_IDLE_MAX_S);
	curl_easy_setopt(t->easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(t->easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
}

/* Hashes the address or the URL's host, so that all paths of an endpoint share an entry. */
static uint32_t host_hash(const char *url, const char *address)
{
	struct str rest = str_from(url);
	const char *scheme = strstr(url, "://");

	if (address)
		return (uint32_t)hash_str(str_from(address), 0);
	if (scheme)
		rest = str_from(scheme + 3);
	return (uint32_t)hash_str(str_split(&rest, '/'), 0);
}

static CURL *easy_handle_acquire(struct link *l)
{
	CURL *easy = NULL;

	pthread_mutex_lock(&l->idle_handle_lock);
	if (l->idle_handle_count)
		easy = l->idle_handles[--l->idle_handle_count];
	pthread_mutex_unlock(&l->idle_handle_lock);
	return easy ? easy : curl_easy_init();
}

static void easy_handle_release(struct link *l, CURL *easy)
{
	curl_easy_reset(easy);
	pthread_mutex_lock(&l->idle_handle_lock);
	if (l->idle_handle_count < LINK_IDLE_HANDLES_MAX) {
		l->idle_handles[l->idle_handle_count++] = easy;
		easy = NULL;
	}
	pthread_mutex_unlock(&l->idle_handle_lock);
	if (easy)
		curl_easy_cleanup(easy);
}

struct transfer *transfer_create(struct link *l, const struct link_request *req)
{
	struct transfer *t = mem_zalloc(sizeof(*t));

	t->easy = easy_handle_acquire(l);
	if (!t->easy)
		abort();
	t->silence_ms = req->silence_ms;
	t->target_hash = host_hash(req->url, req->address);
	curl_easy_setopt(t->easy, CURLOPT_URL, req->url);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(t->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header_line);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PREREQFUNCTION, on_connection_ready);
	curl_easy_setopt(t->easy, CURLOPT_PREREQDATA, t);
	if (req->body.data) {
		buf_append_str(&t->body, req->body);
		curl_easy_setopt(t->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)req->body.len);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->body.data ? t->body.data : "");
	}
	headers_set(t, req);
	connection_set(t, l, req);
	return t;
}

void transfer_destroy(struct transfer *t)
{
	easy_handle_release(t->loop->link, t->easy);
	curl_slist_free_all(t->headers);
	curl_slist_free_all(t->connect_to);
	buf_free(&t->body);
	link_queue_unref(t->queue);
	free(t);
}

static enum link_failure failure_from_result(const struct transfer *t, CURLcode code)
{
	if (t->silent)
		return LINK_SILENT;
	if (t->malformed)
		return LINK_PROTOCOL;
	if (!t->maybe_written)
		return LINK_CONNECT_FAILED;
	switch (code) {
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_BAD_CONTENT_ENCODING:
		return LINK_PROTOCOL;
	default:
		return LINK_RESET;
	}
}

/*
 * Without a length, the end of the connection ends the response. If the endpoint hasn't taken the
 * whole request by then, it may have crashed.
 */
static bool response_is_whole(const struct transfer *t)
{
	curl_off_t sent = 0;

	if (t->has_length || !t->body.len)
		return true;
	curl_easy_getinfo(t->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	return (size_t)sent >= t->body.len;
}

void transfer_finish(struct transfer *t, CURLcode code)
{
	struct link_event ev = { .attempt = t->attempt };
	long status = 0;
	long os_error = 0;

	if (t->cancelled)
		return;
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(t->easy, CURLINFO_OS_ERRNO, &os_error);
	ev.status = (int)status;
	if (code == CURLE_OK && !t->silent && response_is_whole(t)) {
		response_deliver(t);
		ev.kind = LINK_END;
	} else {
		ev.kind = LINK_FAILED;
		ev.failure = failure_from_result(t, code);
		ev.sent = t->maybe_written ? SENT_MAYBE : SENT_NO;
		ev.refused = ev.failure == LINK_CONNECT_FAILED && os_error == ECONNREFUSED;
	}
	link_queue_push(t->queue, ev);
}
