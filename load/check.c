#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/load/check.h"
#include "ibisgate/standins/text.h"

/* A mismatch is compared with this many tokens on each side to detect a gap or a duplicate. */
#define CLASSIFY_WINDOW_TOKENS 4096
#define LINE_MAX_BYTES (1 << 20)

void check_init(struct check *c, uint64_t seed, int64_t tokens)
{
	*c = (struct check){ .seed = seed, .tokens = tokens };
}

void check_free(struct check *c)
{
	buf_free(&c->line);
	buf_free(&c->frame);
	free(c->gaps_us);
	c->gaps_us = NULL;
}

static void fault_set(struct check *c, enum check_fault fault)
{
	if (c->fault == CHECK_OK)
		c->fault = fault;
}

static bool token_matches(const struct check *c, int64_t index, const char *token)
{
	char expected_token[TEXT_TOKEN_BYTES + 1];

	generated_text_token(c->seed, index, expected_token);
	return memcmp(expected_token, token, TEXT_TOKEN_BYTES) == 0;
}

/* Finds the kind of fault. @rest starts at token @index, whose text differs from the expected. */
static enum check_fault fault_classify(struct check *c, int64_t index, struct str rest)
{
	if (rest.len < TEXT_TOKEN_BYTES)
		return CHECK_WRONG_TEXT;
	for (int64_t i = index - 1; i >= 0 && i > index - CLASSIFY_WINDOW_TOKENS; i--) {
		if (token_matches(c, i, rest.data))
			return CHECK_DUPLICATE;
	}
	for (int64_t i = index + 1; i < c->tokens && i < index + CLASSIFY_WINDOW_TOKENS; i++) {
		if (token_matches(c, i, rest.data))
			return CHECK_GAP;
	}
	if (c->is_foreign_token && c->is_foreign_token(c->foreign_user_data, index, rest.data))
		return CHECK_FOREIGN;
	return CHECK_WRONG_TEXT;
}

static void text_check(struct check *c, struct str text)
{
	char expected_token[TEXT_TOKEN_BYTES + 1];
	struct str rest = text;

	while (rest.len) {
		int64_t index = c->pos / TEXT_TOKEN_BYTES;
		size_t offset = (size_t)(c->pos % TEXT_TOKEN_BYTES);
		size_t n = TEXT_TOKEN_BYTES - offset;

		if (index >= c->tokens) {
			/* A duplicate of the last tokens also lies beyond the expected length. */
			fault_set(c, fault_classify(c, index, rest) == CHECK_DUPLICATE
					     ? CHECK_DUPLICATE
					     : CHECK_TOO_LONG);
			return;
		}
		if (n > rest.len)
			n = rest.len;
		generated_text_token(c->seed, index, expected_token);
		if (memcmp(expected_token + offset, rest.data, n) != 0) {
			fault_set(c, offset ? CHECK_WRONG_TEXT : fault_classify(c, index, rest));
			return;
		}
		c->pos += (int64_t)n;
		rest.data += n;
		rest.len -= n;
	}
}

static void chunk_time_record(struct check *c, int64_t now_us)
{
	if (c->chunks == 0) {
		c->first_us = now_us;
	} else {
		if (c->chunks > c->gap_cap) {
			c->gap_cap = c->gap_cap ? 2 * c->gap_cap : 32;
			c->gaps_us = mem_resize(c->gaps_us, c->gap_cap * sizeof(*c->gaps_us));
		}
		c->gaps_us[c->chunks - 1] = (uint32_t)(now_us - c->last_us);
	}
	c->last_us = now_us;
	c->chunks++;
}

/* Saves the JSON around @text in @line, provided that @line contains it without escapes. */
static void chunk_frame_save(struct check *c, struct str line, struct str text)
{
	const char *at = memmem(line.data, line.len, text.data, text.len);
	const char *end = line.data + line.len;

	buf_reset(&c->frame);
	if (!at || at == line.data || at[-1] != '"' || at + text.len >= end || at[text.len] != '"')
		return;
	c->frame_head_bytes = (size_t)(at - line.data);
	buf_append(&c->frame, line.data, c->frame_head_bytes);
	buf_append(&c->frame, at + text.len, (size_t)(end - at) - text.len);
}

/*
 * Extracts the text of a chunk that differs from the last parsed one only in its text. Parsing
 * every chunk as JSON took most of the CPU time of the tool at 100,000 tokens per second.
 */
static bool chunk_frame_match(const struct check *c, struct str line, struct str *text)
{
	size_t tail = c->frame.len - c->frame_head_bytes;

	if (!c->frame.len || line.len <= c->frame.len ||
	    memcmp(line.data, c->frame.data, c->frame_head_bytes) != 0 ||
	    memcmp(line.data + line.len - tail, c->frame.data + c->frame_head_bytes, tail) != 0)
		return false;
	*text = (struct str){ .data = line.data + c->frame_head_bytes,
			      .len = line.len - c->frame.len };
	return !memchr(text->data, '"', text->len) && !memchr(text->data, '\\', text->len);
}

static void chunk_check(struct check *c, struct str line, const json_t *chunk, int64_t now_us)
{
	const json_t *error = json_object_get(chunk, "error");
	const json_t *choice = json_array_get(json_object_get(chunk, "choices"), 0);
	const json_t *delta = json_object_get(choice, "delta");
	struct str text;

	if (error) {
		str_copy(c->error_type, sizeof(c->error_type), json_get_str(error, "type"));
		fault_set(c, CHECK_ERROR_EVENT);
		return;
	}
	if (!choice) {
		fault_set(c, CHECK_MALFORMED);
		return;
	}
	text = delta ? json_get_str(delta, "content") : json_get_str(choice, "text");
	if (!text.len)
		return;
	chunk_frame_save(c, line, text);
	chunk_time_record(c, now_us);
	text_check(c, text);
}

static void line_check(struct check *c, struct str line, int64_t now_us)
{
	struct str text;
	json_t *chunk;

	if (line.len && line.data[line.len - 1] == '\r')
		line.len--;
	if (!line.len || line.data[0] == ':')
		return;
	if (!str_starts_with(line, STR_LIT("data:"))) {
		if (!str_starts_with(line, STR_LIT("event:")) &&
		    !str_starts_with(line, STR_LIT("id:")) &&
		    !str_starts_with(line, STR_LIT("retry:")))
			fault_set(c, CHECK_MALFORMED);
		return;
	}
	line.data += 5;
	line.len -= 5;
	line = str_trim(line);
	if (c->done) {
		fault_set(c, CHECK_AFTER_DONE);
		return;
	}
	if (str_eq_cstr(line, "[DONE]")) {
		c->done = true;
		return;
	}
	if (chunk_frame_match(c, line, &text)) {
		chunk_time_record(c, now_us);
		text_check(c, text);
		return;
	}
	chunk = json_parse(line);
	if (chunk)
		chunk_check(c, line, chunk, now_us);
	else
		fault_set(c, CHECK_MALFORMED);
	json_decref(chunk);
}

enum check_fault check_feed(struct check *c, struct str bytes, int64_t now_us)
{
	while (bytes.len) {
		const char *end = memchr(bytes.data, '\n', bytes.len);
		size_t n = end ? (size_t)(end - bytes.data) : bytes.len;

		if (!end || c->line.len)
			buf_append(&c->line, bytes.data, n);
		if (c->line.len > LINE_MAX_BYTES) {
			fault_set(c, CHECK_MALFORMED);
			buf_reset(&c->line);
		}
		if (!end)
			break;
		if (c->line.len)
			line_check(c, buf_str(&c->line), now_us);
		else
			line_check(c, (struct str){ .data = bytes.data, .len = n }, now_us);
		buf_reset(&c->line);
		bytes.data += n + 1;
		bytes.len -= n + 1;
	}
	return c->fault;
}

enum check_fault check_finish(struct check *c)
{
	if (!c->done)
		fault_set(c, CHECK_NO_DONE);
	else if (c->pos < c->tokens * TEXT_TOKEN_BYTES)
		fault_set(c, CHECK_SHORT);
	return c->fault;
}

bool check_fault_is_truncation(enum check_fault fault)
{
	return fault == CHECK_SHORT || fault == CHECK_NO_DONE || fault == CHECK_ERROR_EVENT;
}

const char *check_fault_name(enum check_fault fault)
{
	static const char *const names[] = {
		[CHECK_OK] = "ok",
		[CHECK_WRONG_TEXT] = "wrong_text",
		[CHECK_DUPLICATE] = "duplicate",
		[CHECK_GAP] = "gap",
		[CHECK_FOREIGN] = "foreign",
		[CHECK_TOO_LONG] = "too_long",
		[CHECK_MALFORMED] = "malformed",
		[CHECK_AFTER_DONE] = "after_done",
		[CHECK_SHORT] = "short",
		[CHECK_NO_DONE] = "no_done",
		[CHECK_ERROR_EVENT] = "error_event",
	};

	return names[fault];
}

static int u32_cmp(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

int64_t check_gap_p95_us(struct check *c)
{
	int64_t n = c->chunks - 1;

	if (n < 1 || !c->gaps_us)
		return 0;
	qsort(c->gaps_us, (size_t)n, sizeof(*c->gaps_us), u32_cmp);
	return c->gaps_us[(n - 1) * 95 / 100];
}

int64_t check_gap_mean_us(const struct check *c)
{
	int64_t tokens = c->pos / TEXT_TOKEN_BYTES;

	return tokens > 1 ? (c->last_us - c->first_us) / (tokens - 1) : 0;
}
