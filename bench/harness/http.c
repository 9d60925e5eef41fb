#include <curl/curl.h>
#include <string.h>
#include <strings.h>

#include "ibisgate/common/json.h"
#include "ibisgate/harness/harness.h"

#define DEFAULT_TIMEOUT_MS 2000

static size_t on_data(char *data, size_t size, size_t n, void *user)
{
	buf_append(user, data, size * n);
	return size * n;
}

int harness_http_request(const char *method, const char *url, const char *const headers[],
			 const char *body, int64_t timeout_ms, struct harness_reply *out,
			 struct error *err)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	CURLcode code;
	long status = 0;

	*out = (struct harness_reply){ 0 };
	list = curl_slist_append(list, "Content-Type: application/json");
	for (int i = 0; headers && headers[i]; i++)
		list = curl_slist_append(list, headers[i]);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &out->body);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &out->headers);
	if (body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
	}
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	out->status = (int)status;
	if (out->body.len)
		out->json = json_parse(buf_str(&out->body));
	curl_slist_free_all(list);
	curl_easy_cleanup(easy);
	if (code != CURLE_OK)
		return error_set(err, ERROR_TOOL, (int)code, "%s %s: %s", method, url,
				 curl_easy_strerror(code));
	return 0;
}

void harness_reply_free(struct harness_reply *r)
{
	json_decref(r->json);
	buf_free(&r->body);
	buf_free(&r->headers);
	*r = (struct harness_reply){ 0 };
}

bool harness_reply_header(const struct harness_reply *r, const char *name, char *out, size_t size)
{
	struct str rest = buf_str(&r->headers);

	while (rest.len) {
		struct str value = str_split(&rest, '\n');
		struct str key = str_split(&value, ':');

		if (key.len == strlen(name) && strncasecmp(key.data, name, key.len) == 0)
			return str_copy(out, size, str_trim(value));
	}
	return false;
}

json_t *harness_json_get(const char *url)
{
	return harness_json_get_timeout(url, DEFAULT_TIMEOUT_MS);
}

json_t *harness_json_get_timeout(const char *url, int64_t timeout_ms)
{
	const char *const headers[] = { "Authorization: Bearer " HARNESS_TOKEN, NULL };
	struct harness_reply reply;
	json_t *json = NULL;

	if (harness_http_request("GET", url, headers, NULL, timeout_ms, &reply, NULL) == 0 &&
	    reply.status == 200)
		json = json_incref(reply.json);
	harness_reply_free(&reply);
	return json;
}

int harness_json_post(const char *url, json_t *body)
{
	const char *const headers[] = { "Authorization: Bearer " HARNESS_TOKEN, NULL };
	struct harness_reply reply;
	struct buf text = { 0 };
	int status;

	json_append(&text, body);
	json_decref(body);
	harness_http_request("POST", url, headers, text.data, DEFAULT_TIMEOUT_MS, &reply, NULL);
	status = reply.status;
	harness_reply_free(&reply);
	buf_free(&text);
	return status;
}
