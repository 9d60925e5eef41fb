#ifndef IBISGATE_NET_CODEC_EXPLAIN_H
#define IBISGATE_NET_CODEC_EXPLAIN_H

#include <jansson.h>
#include <stdint.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"

#define EXPLAIN_PARTS_MAX 16
#define EXPLAIN_ID_MAX 80
#define EXPLAIN_TEXT_MAX 1024

/** struct explain_part - one part of the prompt, in prompt order */
struct explain_part {
	char id[EXPLAIN_ID_MAX];
	int64_t tokens;
};

/**
 * struct explain_request - description of a request that is not sent
 * @id: request id, which decides between equal services and nearly equal engines
 * @organisation: name of the caller's organisation; "" for none
 * @key: the caller's API key, which must not be logged or repeated; "" for none
 * @prompt: text of the prompt, owned; empty without it. Only an instance that sees the texts of
 *	prompts can use it.
 * @prompt_tokens: tokens of the whole prompt; those of the parts unless given
 * @output_tokens: maximum number of tokens to generate
 * @priority: 0 (highest) to 9, instead of that of the rule or organisation; -1 without
 * @deadline_ms: time that the caller waits; 0 without a limit of its own
 * @body_bytes: size of the body
 */
struct explain_request {
	char id[EXPLAIN_ID_MAX];
	char method[16];
	char host[256];
	char path[EXPLAIN_TEXT_MAX];
	char organisation[256];
	char key[256];
	char model[EXPLAIN_ID_MAX];
	struct buf prompt;
	int64_t prompt_tokens;
	int64_t output_tokens;
	struct explain_part parts[EXPLAIN_PARTS_MAX];
	int part_count;
	int64_t priority;
	int64_t deadline_ms;
	int64_t body_bytes;
};

void explain_request_clear(struct explain_request *r);

/**
 * explain_request_decode - decode and check a description
 * @text: JSON object with "path" and any of the other fields of struct explain_request; "parts" is
 *	a list of {"id","tokens"}
 *
 * Return: 0 with @out to be cleared with explain_request_clear(); -1 with @err set, which names the
 * field and what was expected.
 */
int explain_request_decode(struct str text, struct explain_request *out, struct error *err);

/** explain_request_encode - new reference to the JSON object that decodes to @r */
json_t *explain_request_encode(const struct explain_request *r);

#endif
