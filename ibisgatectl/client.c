#include <curl/curl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/ibisgatectl/command.h"

#define CONNECT_TIMEOUT_MS 1000L
#define CALL_TIMEOUT_MS 10000L

static size_t on_data(char *data, size_t size, size_t count, void *user)
{
	buf_append(user, data, size * count);
	return size * count;
}

/* Sends a request to one address; the return value is that of ctl_call(). */
static int request_perform(struct ctl *ctl, const char *address, const char *path, const char *body,
			   json_t **out)
{
	struct curl_slist *headers = NULL;
	struct buf response = { 0 };
	CURL *easy = curl_easy_init();
	char text[256];
	curl_off_t connect_us = 0;
	long status = 0;
	CURLcode rc;

	snprintf(text, sizeof(text), "Authorization: Bearer %s", ctl->token);
	headers = curl_slist_append(headers, text);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	snprintf(text, sizeof(text), "http://%s%s", address, path);
	curl_easy_setopt(easy, CURLOPT_URL, text);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	rc = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_us);
	if (rc == CURLE_OK)
		*out = json_parse(buf_str(&response));
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	buf_free(&response);
	if (rc == CURLE_OK)
		return (int)status;
	/* Nothing is sent before the connection is there. */
	return connect_us ? -1 : 0;
}

int ctl_call(struct ctl *ctl, const char *address, const char *path, const json_t *body,
	     json_t **out)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	int status = 0;

	*out = NULL;
	if (address) {
		status = request_perform(ctl, address, path, text, out);
		goto out;
	}
	for (int i = 0; i < ctl->admin_count && status == 0; i++) {
		status = request_perform(ctl, ctl->admin[i], path, text, out);
		/* Only reads are retried elsewhere; a change may already have been applied. */
		if (status < 0 && !body)
			status = 0;
	}
out:
	free(text);
	return status;
}

int ctl_report_failure(struct ctl *ctl, int status, const json_t *response)
{
	const json_t *error = json_object_get(response, "error");
	const char *message = json_get_cstr(error, "message", "no message");

	if (ctl->json && response)
		ctl_print_json(response);
	if (status == 0) {
		fprintf(stderr, "ibisgatectl: no instance is reachable; nothing was changed\n");
		return CTL_UNREACHABLE;
	}
	if (status < 0 || status == 504) {
		fprintf(stderr, "ibisgatectl: outcome unknown; check with \"config-show\"\n");
		return CTL_UNKNOWN;
	}
	fprintf(stderr, "ibisgatectl: %s\n", message);
	return status == 409 ? CTL_CONFLICT : CTL_REFUSED;
}

json_t *ctl_fetch_config(struct ctl *ctl, int *code)
{
	json_t *response;
	int status = ctl_call(ctl, NULL, "/admin/config", NULL, &response);

	if (status == 200)
		return response;
	*code = ctl_report_failure(ctl, status, response);
	json_decref(response);
	return NULL;
}

/* Sends one change. @value is a stolen reference; JSON null deletes the key. */
static int change_send(struct ctl *ctl, const char *prefix, const char *name, json_t *value,
		       int64_t if_version)
{
	struct buf key = { 0 };
	json_t *response = NULL;
	json_t *body = NULL;
	int code = CTL_OK;
	int status;

	buf_printf(&key, "%s%s", prefix, name);
	/* jansson returns NULL for invalid UTF-8; a call without a body would be a read. */
	if (value)
		body = json_pack("{s:s,s:o,s:s,s:I}", "key", key.data, "value", value, "author",
				 ctl->author, "if_version", (json_int_t)if_version);
	if (!body) {
		fprintf(stderr, "ibisgatectl: expected names and values in UTF-8\n");
		code = CTL_USAGE;
		goto out;
	}
	status = ctl_call(ctl, NULL, "/admin/config", body, &response);
	if (status != 200)
		code = ctl_report_failure(ctl, status, response);
	else if (ctl->json)
		ctl_print_json(response);
	else
		printf("%s: accepted as version %" PRId64 "\n", key.data,
		       json_get_i64(response, "version", 0));
out:
	json_decref(response);
	json_decref(body);
	buf_free(&key);
	return code;
}

int ctl_change(struct ctl *ctl, const char *prefix, const char *name, json_t *value,
	       int64_t if_version)
{
	return change_send(ctl, prefix, name, value, if_version);
}

int ctl_delete(struct ctl *ctl, const char *prefix, const char *name, int64_t if_version)
{
	return change_send(ctl, prefix, name, json_null(), if_version);
}

bool ctl_live_admin_addresses(struct ctl *ctl, char (*out)[64], int *count, int *code)
{
	json_t *response;
	const json_t *member;
	size_t i;
	int status = ctl_call(ctl, NULL, "/admin/status", NULL, &response);

	*count = 0;
	if (status != 200) {
		*code = ctl_report_failure(ctl, status, response);
		json_decref(response);
		return false;
	}
	json_array_foreach(json_object_get(response, "members"), i, member) {
		const char *admin = json_get_cstr(member, "admin", "");

		if (admin[0] && strcmp(json_get_cstr(member, "state", ""), "gone") != 0 &&
		    *count < CTL_INSTANCES_MAX)
			str_copy(out[(*count)++], 64, str_from(admin));
	}
	json_decref(response);
	return true;
}

void ctl_print_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	putchar('\n');
}
