#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/daemon/request.h"

#define MAX_TOKENS_MAX 1000000
/* JSON parsing is recursive and CivetWeb's threads have small stacks. */
#define JSON_DEPTH_MAX 64

static bool depth_is_allowed(struct str s)
{
	bool quoted = false;
	int depth = 0;

	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (quoted && c == '\\')
			i++;
		else if (c == '"')
			quoted = !quoted;
		else if (!quoted && (c == '[' || c == '{') && ++depth > JSON_DEPTH_MAX)
			return false;
		else if (!quoted && (c == ']' || c == '}'))
			depth--;
	}
	return true;
}

json_t *request_json(struct str text, struct error *err)
{
	json_t *value = NULL;

	if (!str_is_utf8(text)) {
		error_set(err, ERROR_FRONT, REQUEST_UTF8, "the request body is not UTF-8");
		return NULL;
	}
	if (depth_is_allowed(text))
		value = json_parse(text);
	if (!value)
		error_set(err, ERROR_FRONT, REQUEST_JSON, "the request body is not valid JSON");
	return value;
}

static const char *prompt_read(struct request *req)
{
	struct str prompt = json_get_str(req->body, "prompt");

	if (!prompt.data)
		return "prompt";
	buf_append_str(&req->prompt, prompt);
	return NULL;
}

static const char *messages_read(struct request *req)
{
	const json_t *messages = json_object_get(req->body, "messages");
	json_t *m;
	size_t i;

	if (!json_array_size(messages))
		return "messages";
	json_array_foreach(messages, i, m) {
		struct str content = json_get_str(m, "content");

		if (!content.data || !json_get_str(m, "role").data)
			return "messages";
		if (i)
			buf_append(&req->prompt, "\n", 1);
		buf_append_str(&req->prompt, content);
	}
	return NULL;
}

/* Returns NULL, or the name of the missing or invalid field. */
static const char *fields_read(struct request *req, bool chat)
{
	const json_t *stream = json_object_get(req->body, "stream");
	const json_t *max_tokens = json_object_get(req->body, "max_tokens");
	const json_t *n = json_object_get(req->body, "n");
	struct str model = json_get_str(req->body, "model");

	if (!json_is_object(req->body))
		return "body";
	if (!model.len || !str_copy(req->model, sizeof(req->model), model))
		return "model";
	if (stream && !json_is_boolean(stream) && !json_is_null(stream))
		return "stream";
	if (n && !json_is_null(n) && json_integer_value(n) != 1)
		return "n";
	if (max_tokens && !json_is_null(max_tokens)) {
		req->max_tokens = json_integer_value(max_tokens);
		if (!json_is_integer(max_tokens) || req->max_tokens < 1 ||
		    req->max_tokens > MAX_TOKENS_MAX)
			return "max_tokens";
	}
	req->stream = json_is_true(stream);
	return chat ? messages_read(req) : prompt_read(req);
}

int request_parse(struct str text, bool chat, struct request *out, struct error *err)
{
	*out = (struct request){ 0 };
	out->body = request_json(text, err);
	if (!out->body)
		return -1;
	out->bad_field = fields_read(out, chat);
	if (out->bad_field)
		return error_set(err, ERROR_FRONT, REQUEST_FIELD,
				 "a field is missing or has a wrong type");
	return 0;
}

void request_clear(struct request *req)
{
	json_decref(req->body);
	buf_free(&req->prompt);
	*req = (struct request){ 0 };
}
