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
 * struct request - validated body of a generation request
 * @body: caller's JSON object, owned
 * @max_tokens: limit from the caller; 0 for none
 * @stream: respond with server-sent events
 * @prompt: prompt text; for chat the message contents joined with newlines
 * @bad_field: name of the missing or invalid field after REQUEST_FIELD, static string
 */
struct request {
	json_t *body;
	char model[48];
	int64_t max_tokens;
	bool stream;
	struct buf prompt;
	const char *bad_field;
};

/** request_json - parse untrusted text as one JSON value; NULL with REQUEST_UTF8 or REQUEST_JSON */
json_t *request_json(struct str text, struct error *err);

/**
 * request_parse - parse and validate the body of a generation request
 * @chat: expect messages instead of a prompt
 *
 * Return: 0; -1 with any request_error. The caller passes @out to request_clear() in both cases.
 */
int request_parse(struct str text, bool chat, struct request *out, struct error *err);
void request_clear(struct request *req);

#endif
