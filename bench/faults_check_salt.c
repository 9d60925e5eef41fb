#include <stdio.h>
#include <string.h>

#include "faults.h"
#include "ibisgate/common/json.h"

#define PROMPT_BYTES 24000
#define TIMEOUT_MS 10000

static int64_t cached_tokens(struct fault_run *r)
{
	int64_t total = 0;

	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		char url[128];
		json_t *stats;

		if (r->fleet->endpoints[i].service)
			continue;
		snprintf(url, sizeof(url), "%s/stats", r->fleet->endpoints[i].url);
		stats = harness_json_get(url);
		total += json_get_i64(stats, "cached_tokens", 0);
		json_decref(stats);
	}
	return total;
}

static int prompt_send(struct fault_run *r, int organisation)
{
	char key[64];
	const char *headers[] = { key, "Content-Type: application/json", NULL };
	struct harness_reply reply;
	struct buf body = { 0 };
	char url[128];
	int status;

	snprintf(key, sizeof(key), "Authorization: Bearer key-%d", organisation);
	snprintf(url, sizeof(url), "%s/v1/completions", r->urls[0]);
	buf_printf(&body, "{\"model\":\"M\",\"max_tokens\":2,\"prompt\":\"%s %llu ", FAULTS_MARKER,
		   (unsigned long long)r->seed);
	while (body.len < PROMPT_BYTES)
		buf_printf(&body, "number %zu of the same words ", body.len);
	buf_printf(&body, "\"}");
	harness_http_request("POST", url, headers, body.data, TIMEOUT_MS, &reply, NULL);
	status = reply.status;
	harness_reply_free(&reply);
	buf_free(&body);
	return status;
}

/* A prefix that one organisation has cached must not speed up the requests of another one. */
void faults_check_cache_isolation(struct fault_run *r)
{
	int64_t before;
	int64_t after;
	int status;

	prompt_send(r, 0);
	prompt_send(r, 0);
	before = cached_tokens(r);
	status = prompt_send(r, 1);
	after = cached_tokens(r);
	printf("prefix of another organisation: status %d, %lld tokens from the cache\n", status,
	       (long long)(after - before));
	if (after > before)
		faults_violation(r, 0, "%lld cached tokens of one organisation served another",
				 (long long)(after - before));
}
