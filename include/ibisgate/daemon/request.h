#ifndef IBISGATE_DAEMON_REQUEST_H
#define IBISGATE_DAEMON_REQUEST_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"

/** enum request_error - codes of layer ERROR_FRONT for request bodies */
enum request_error {
	REQUEST_OK,
	REQUEST_UTF8,
	REQUEST_JSON,
	REQUEST_FIELD,
};

/**
 * struct request - checked body of a generation request
 * @body: caller's JSON object, owned
 * @model: model name
 * @max_tokens: 0 when the caller gave none
 * @stream: answer as server-sent events
 * @prompt: text that the engine sees; for chat the contents joined with a newline
 * @bad_field: static name of the field that is missing or wrong, after REQUEST_FIELD
 */
struct request {
	json_t *body;
	char model[48];
	int64_t max_tokens;
	bool stream;
	struct buf prompt;
	const char *bad_field;
};

/** request_json - parse hostile bytes as one JSON value; NULL with REQUEST_UTF8 or REQUEST_JSON */
json_t *request_json(struct str text, struct error *err);

/**
 * request_parse - parse and check the body of a generation request
 * @chat: messages are expected instead of a prompt
 *
 * Return: 0; -1 with any request_error. @out is to be cleared in both cases.
 */
int request_parse(struct str text, bool chat, struct request *out, struct error *err);
void request_clear(struct request *req);

#endif
