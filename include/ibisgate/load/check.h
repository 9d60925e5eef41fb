#ifndef IBISGATE_LOAD_CHECK_H
#define IBISGATE_LOAD_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/**
 * enum check_fault - first fault found in a streamed response
 * @CHECK_OK: no fault
 * @CHECK_WRONG_TEXT: a byte differs from the expected text
 * @CHECK_DUPLICATE: an earlier part of the response was received again
 * @CHECK_GAP: a part of the response is missing
 * @CHECK_FOREIGN: the text belongs to another request
 * @CHECK_TOO_LONG: there is text after the last expected token
 * @CHECK_MALFORMED: the response is not an event stream of completion chunks
 * @CHECK_AFTER_DONE: there is data after [DONE]
 * @CHECK_SHORT: [DONE] was received before the last expected token
 * @CHECK_NO_DONE: the stream ended without [DONE]
 * @CHECK_ERROR_EVENT: the stream ended with an error object
 */
enum check_fault {
	CHECK_OK,
	CHECK_WRONG_TEXT,
	CHECK_DUPLICATE,
	CHECK_GAP,
	CHECK_FOREIGN,
	CHECK_TOO_LONG,
	CHECK_MALFORMED,
	CHECK_AFTER_DONE,
	CHECK_SHORT,
	CHECK_NO_DONE,
	CHECK_ERROR_EVENT,
};

/**
 * check_foreign_token_fn - whether @token is token @index of a request other than the one checked
 * @user: the foreign_user_data of the check
 * @index: position of the token in the response, from 0
 * @token: TEXT_TOKEN_BYTES bytes
 */
typedef bool (*check_foreign_token_fn)(void *user, int64_t index, const char *token);

/**
 * struct check - incremental check of one streamed response
 * @seed: text_seed() of the prompt and model
 * @tokens: number of tokens in the complete response
 * @is_foreign_token: recognises tokens of other requests; may be NULL
 * @foreign_user_data: passed to @is_foreign_token
 * @line: incomplete last line of the bytes received so far
 * @frame: JSON around the text of the last parsed chunk: @frame_head_bytes before it, then the rest
 * @frame_head_bytes: number of bytes in @frame that precede the text
 * @pos: number of text bytes received and verified
 * @chunks: number of chunks that contained text
 * @first_us: time of the first chunk with text; 0 before it
 * @last_us: time of the latest chunk with text
 * @gaps_us: time between successive chunks with text; @chunks - 1 values
 * @gap_cap: allocated entries of @gaps_us
 * @done: [DONE] was received
 * @fault: first fault found
 * @error_type: "type" of an error event
 */
struct check {
	uint64_t seed;
	int64_t tokens;
	check_foreign_token_fn is_foreign_token;
	void *foreign_user_data;
	struct buf line;
	struct buf frame;
	size_t frame_head_bytes;
	int64_t pos;
	int64_t chunks;
	int64_t first_us;
	int64_t last_us;
	uint32_t *gaps_us;
	int64_t gap_cap;
	bool done;
	enum check_fault fault;
	char error_type[32];
};

void check_init(struct check *c, uint64_t seed, int64_t tokens);
void check_free(struct check *c);

/**
 * check_feed - check the next bytes of the stream, received at @now_us
 *
 * Return: the first fault of the stream so far.
 */
enum check_fault check_feed(struct check *c, struct str bytes, int64_t now_us);

/**
 * check_finish - check that the response is complete, at the end of the stream
 *
 * Return: the first fault of the stream; CHECK_OK for a complete and correct response.
 */
enum check_fault check_finish(struct check *c);

/** check_fault_is_truncation - whether @fault is a missing end and not wrong content */
bool check_fault_is_truncation(enum check_fault fault);

const char *check_fault_name(enum check_fault fault);

/** check_gap_p95_us - 95th percentile of the time between chunks; sorts @c->gaps_us in place */
int64_t check_gap_p95_us(struct check *c);

/** check_gap_mean_us - mean time between tokens; 0 with fewer than two tokens */
int64_t check_gap_mean_us(const struct check *c);

#endif
