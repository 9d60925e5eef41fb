#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/standins/engine.h"

#define REGISTER_INTERVAL_US 1000000
#define REGISTER_TIMEOUT_MS 1000L
/* The entry of a killed engine expires after three missed refreshes. */
#define REGISTER_TTL_MS 3500

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
	char url[256];
	CURL *curl;

	snprintf(url, sizeof(url), "%s/list/endpoints", e->opt.platform);
	curl = engine_curl_create(url, REGISTER_TIMEOUT_MS);
	if (!curl)
		goto out;
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	/* The result is ignored because the next refresh follows a second later. */
	curl_easy_perform(curl);
	curl_easy_cleanup(curl);
out:
	curl_slist_free_all(headers);
	free(body);
}

void *engine_register_run(void *engine)
{
	struct engine *e = engine;
	int64_t next = mono_now_us();

	while (!e->stopping) {
		engine_register_post(e, e->leaving);
		next += REGISTER_INTERVAL_US;
		mono_sleep_until(next);
	}
	return NULL;
}
