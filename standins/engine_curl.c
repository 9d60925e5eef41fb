#include "ibisgate/standins/engine.h"

static size_t discard(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

CURL *engine_curl_create(const char *url, long timeout_ms)
{
	CURL *curl = curl_easy_init();

	if (!curl)
		return NULL;
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard);
	return curl;
}
