#include <curl/curl.h>
#include <stdio.h>

#include "ibisgate/standins/engine.h"

#define KV_CONNECT_TIMEOUT_MS 2000L
#define KV_TIMEOUT_MS 60000L

struct kv_progress {
	int (*on_progress)(void *ctx);
	void *ctx;
};

static int kv_progress(void *ctx, curl_off_t dl_total, curl_off_t dl, curl_off_t ul_total,
		       curl_off_t ul)
{
	const struct kv_progress *p = ctx;

	return p->on_progress(p->ctx);
}

int engine_kv_fetch(const char *url, const char *handle, int (*on_progress)(void *ctx), void *ctx)
{
	struct kv_progress progress = { on_progress, ctx };
	char full[512];
	long status = 0;
	CURL *curl;

	snprintf(full, sizeof(full), "%s/kv/%s", url, handle);
	curl = engine_curl_create(full, KV_TIMEOUT_MS);
	if (!curl)
		return 0;
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, KV_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(curl, CURLOPT_XFERINFOFUNCTION, kv_progress);
	curl_easy_setopt(curl, CURLOPT_XFERINFODATA, &progress);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	return (int)status;
}
