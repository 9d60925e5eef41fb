#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/standins/engine.h"

#define REGISTER_EVERY_US 1000000
#define REGISTER_TIMEOUT_MS 1000L
/* Three missed refreshes remove a killed engine from the list. */
#define REGISTER_TTL_MS 3500

static size_t register_discard(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

static char *register_body(struct engine *e, bool leaving)
{
	json_t *v;
	char *text;

	pthread_mutex_lock(&e->lock);
	v = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:s,s:i}", "name", e->opt.name, "dc", e->opt.dc,
		      "url", e->url, "kind", "engine", "model", e->model, "role", e->role,
		      "checks_fencing", e->opt.check_fencing != 0, "state",
		      leaving ? "leaving" : "live", "ttl_ms", REGISTER_TTL_MS);
	pthread_mutex_unlock(&e->lock);
	text = json_dumps(v, JSON_COMPACT);
	json_decref(v);
	return text;
}

void engine_register_post(struct engine *e, bool leaving)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Content-Type: application/json");
	char *body = register_body(e, leaving);
	CURL *curl = curl_easy_init();
	char url[256];

	snprintf(url, sizeof(url), "%s/list/endpoints", e->opt.platform);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, REGISTER_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, register_discard);
	/* A failed refresh is repeated a second later. */
	curl_easy_perform(curl);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	free(body);
}

void *engine_register_run(void *engine)
{
	struct engine *e = engine;
	int64_t next = mono_us();

	while (!e->stopping) {
		engine_register_post(e, e->leaving);
		next += REGISTER_EVERY_US;
		mono_sleep_until(next);
	}
	return NULL;
}
