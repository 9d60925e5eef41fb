#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/net/http_call.h"

#define POOL_IDLE_MAX 16
#define REPLY_MAX_BYTES ((size_t)64 << 20)

struct http_pool {
	pthread_mutex_t lock;
	CURL *idle[POOL_IDLE_MAX];
	int idle_count;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void curl_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

struct http_pool *http_pool_create(void)
{
	struct http_pool *pool = mem_zalloc(sizeof(*pool));

	pthread_once(&curl_once, curl_init);
	pthread_mutex_init(&pool->lock, NULL);
	return pool;
}

void http_pool_destroy(struct http_pool *pool)
{
	if (!pool)
		return;
	for (int i = 0; i < pool->idle_count; i++)
		curl_easy_cleanup(pool->idle[i]);
	pthread_mutex_destroy(&pool->lock);
	free(pool);
}

static CURL *handle_acquire(struct http_pool *pool)
{
	CURL *h = NULL;

	pthread_mutex_lock(&pool->lock);
	if (pool->idle_count)
		h = pool->idle[--pool->idle_count];
	pthread_mutex_unlock(&pool->lock);
	if (!h)
		h = curl_easy_init();
	if (!h)
		abort();
	return h;
}

static void handle_release(struct http_pool *pool, CURL *h)
{
	curl_easy_reset(h);
	pthread_mutex_lock(&pool->lock);
	if (pool->idle_count < POOL_IDLE_MAX) {
		pool->idle[pool->idle_count++] = h;
		h = NULL;
	}
	pthread_mutex_unlock(&pool->lock);
	if (h)
		curl_easy_cleanup(h);
}

static size_t on_reply_data(char *data, size_t size, size_t n, void *user)
{
	struct buf *reply = user;

	if (reply->len + size * n > REPLY_MAX_BYTES)
		return 0;
	buf_append(reply, data, size * n);
	return size * n;
}

static int on_connected(void *user, char *ip, char *local_ip, int port, int local_port)
{
	const struct http_call *call = user;

	return call->may_send(call->ctx) ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

static void set_options(CURL *h, struct http_call *call, struct curl_slist *headers,
			struct curl_slist *connect_to)
{
	bool is_read = strcmp(call->method, "GET") == 0;

	curl_easy_setopt(h, CURLOPT_URL, call->url);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
	curl_easy_setopt(h, CURLOPT_MAXCONNECTS, 2L);
	curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, is_read ? 0L : 1L);
	curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_reply_data);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, &call->reply);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(h, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	if (connect_to)
		curl_easy_setopt(h, CURLOPT_CONNECT_TO, connect_to);
	if (call->may_send) {
		curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, on_connected);
		curl_easy_setopt(h, CURLOPT_PREREQDATA, call);
	}
	if (is_read)
		return;
	curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)call->body.len);
	curl_easy_setopt(h, CURLOPT_POSTFIELDS, call->body.data ? call->body.data : "");
}

static enum http_outcome call_outcome(CURL *h, CURLcode rc)
{
	long sent = 0;

	if (rc == CURLE_OK)
		return HTTP_REPLIED;
	curl_easy_getinfo(h, CURLINFO_REQUEST_SIZE, &sent);
	if (rc == CURLE_COULDNT_CONNECT || rc == CURLE_COULDNT_RESOLVE_HOST || sent == 0)
		return HTTP_NOT_SENT;
	return HTTP_NO_REPLY;
}

static void record_reply(CURL *h, struct http_call *call)
{
	struct curl_header *etag;
	curl_off_t body = 0;
	long status = 0;
	long sent = 0;
	long headers = 0;

	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(h, CURLINFO_REQUEST_SIZE, &sent);
	curl_easy_getinfo(h, CURLINFO_HEADER_SIZE, &headers);
	curl_easy_getinfo(h, CURLINFO_SIZE_DOWNLOAD_T, &body);
	call->status = (int)status;
	call->total_bytes = sent + headers + body;
	call->etag[0] = '\0';
	if (curl_easy_header(h, "ETag", 0, CURLH_HEADER, -1, &etag) == CURLHE_OK &&
	    !str_copy(call->etag, sizeof(call->etag), str_from(etag->value)))
		call->etag[0] = '\0';
}

enum http_outcome http_call(struct http_pool *pool, struct http_call *call)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	struct curl_slist *connect_to = NULL;
	CURL *h = handle_acquire(pool);
	enum http_outcome outcome;
	char connect_entry[160];
	CURLcode rc;

	if (call->body.len)
		headers = curl_slist_append(headers, "Content-Type: application/json");
	if (call->extra_header)
		headers = curl_slist_append(headers, call->extra_header);
	if (call->connect_to) {
		snprintf(connect_entry, sizeof(connect_entry), "::%s", call->connect_to);
		connect_to = curl_slist_append(NULL, connect_entry);
	}
	set_options(h, call, headers, connect_to);
	rc = curl_easy_perform(h);
	outcome = call_outcome(h, rc);
	record_reply(h, call);
	handle_release(pool, h);
	curl_slist_free_all(headers);
	curl_slist_free_all(connect_to);
	return outcome;
}
