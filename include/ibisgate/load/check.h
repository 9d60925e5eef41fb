#ifndef IBISGATE_LOAD_CHECK_H
#define IBISGATE_LOAD_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/**
 * enum check_fault - first fault found in a streamed answer
 * @CHECK_WRONG_TEXT: a byte differs from the expected text
 * @CHECK_DUPLICATE: an earlier piece of the answer appeared again
 * @CHECK_GAP: a piece of the answer was left out
 * @CHECK_FOREIGN: the text belongs to another request
 * @CHECK_TOO_LONG: text after the last expected token
 * @CHECK_MALFORMED: not an event stream of completion chunks
 * @CHECK_AFTER_DONE: data after [DONE]
 * @CHECK_SHORT: [DONE] before the last expected token
 * @CHECK_NO_DONE: the stream ended without [DONE]
 * @CHECK_ERROR_EVENT: the stream carried an error object instead of its end
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
 * check_foreign_fn - whether @token is token @index of a request other than the checked one
 * @token: TEXT_TOKEN_BYTES bytes
 */
typedef bool (*check_foreign_fn)(void *user, int64_t index, const char *token);

/**
 * struct check - incremental check of one streamed answer
 * @seed: text_seed() of the prompt and model
 * @tokens: tokens that the whole answer has
 * @foreign: names foreign text; may be NULL
 * @pos: bytes of text that were received and right
 * @chunks: chunks with text
 * @first_us: time of the first text, 0 before it
 * @last_us: time of the latest text
 * @gaps_us: time between successive chunks with text; @chunks - 1 values
 * @frame: bytes before (@frame_head of them) and after the text of the last chunk that was parsed
 * @error_type: "type" of an error event
 */
struct check {
	uint64_t seed;
	int64_t tokens;
	check_foreign_fn foreign;
	void *foreign_user;
	struct buf line;
	struct buf frame;
	size_t frame_head;
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
 * check_feed - take the next bytes of the stream, received at @now_us
 *
 * Return: the first fault of the stream so far.
 */
enum check_fault check_feed(struct check *c, struct str bytes, int64_t now_us);

/** check_end - the stream has ended; the first fault or CHECK_OK for a whole answer */
enum check_fault check_end(struct check *c);

/** check_cut - whether @fault means a missing end, as against wrong content */
bool check_cut(enum check_fault fault);

const char *check_fault_name(enum check_fault fault);

/** check_gap_p95_us - 95th percentile of the gaps between chunks; sorts them */
int64_t check_gap_p95_us(struct check *c);

/** check_gap_mean_us - mean time from one token to the next */
int64_t check_gap_mean_us(const struct check *c);

#endif
