#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/standins/engine.h"
#include "ibisgate/standins/text.h"

#define BODY_MAX (16 * 1024 * 1024)
#define MAX_TOKENS_DEFAULT 16
#define MAX_TOKENS_LIMIT 1000000
#define HEARTBEAT_INTERVAL_US 800000
/* Time for which a silent stream stays open, unless the engine stops earlier. */
#define SILENT_HOLD_US 600000000
#define SILENT_POLL_INTERVAL_US 100000

/**
 * struct stream - response to one request on its connection
 * @headers_sent: the status line is sent, so an error can only be signalled by closing
 * @resume_from: index of the first token of this response
 * @sent: tokens sent (SSE) or collected (JSON)
 */
struct stream {
	struct engine *e;
	struct mg_connection *conn;
	struct seq *seq;
	bool sse, chat, prefill_only, headers_sent, is_disconnected;
	uint64_t seed;
	int64_t resume_from, sent, token_count;
	int64_t last_write_us;
	char *id, *model; /* quoted JSON strings */
	struct buf out, frame, text;
};

static void stream_build_frame(struct stream *st)
{
	st->frame.len = 0;
	if (!st->headers_sent) {
		buf_printf(&st->frame,
			   "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nCache-Control: no-cache\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n",
			   st->sse ? "text/event-stream" : "application/json");
		st->headers_sent = true;
	}
	if (st->out.len) {
		buf_printf(&st->frame, "%zx\r\n", st->out.len);
		buf_append_str(&st->frame, buf_str(&st->out));
		buf_append(&st->frame, "\r\n", 2);
	}
	buf_reset(&st->out);
}

/* Sends all pending output in one write, so that a step costs one system call. */
static void stream_flush(struct stream *st)
{
	stream_build_frame(st);
	if (!st->is_disconnected && mg_write(st->conn, st->frame.data, st->frame.len) <= 0)
		st->is_disconnected = true;
	st->last_write_us = mono_now_us();
}

static int stream_heartbeat(void *ctx)
{
	struct stream *st = ctx;

	if (mono_now_us() - st->last_write_us < HEARTBEAT_INTERVAL_US)
		return st->is_disconnected;
	/* A JSON response has no comments; white space before its value is the heartbeat. */
	buf_append_str(&st->out, st->sse ? STR_LIT(": hb\n\n") : STR_LIT("\n"));
	stream_flush(st);
	return st->is_disconnected;
}

static void chunk_begin(struct stream *st, const char *id)
{
	buf_printf(&st->out, "data: {\"id\":%s,\"object\":\"%s\",\"model\":%s,\"choices\":[{", id,
		   st->chat ? "chat.completion.chunk" : "text_completion", st->model);
	buf_printf(&st->out, "\"index\":0,%s",
		   st->chat ? "\"delta\":{\"content\":\"" : "\"text\":\"");
}

static void chunk_end(struct stream *st, int64_t count, bool last)
{
	buf_printf(&st->out, "\"%s,\"finish_reason\":%s}],\"tokens\":%" PRId64 "}\n\n",
		   st->chat ? "}" : "", last ? "\"length\"" : "null", count);
}

static void stream_append_chunk(struct stream *st, int64_t count, bool last)
{
	char token[TEXT_TOKEN_BYTES + 1];

	chunk_begin(st, st->id);
	for (int64_t i = 0; i < count; i++) {
		generated_text_token(st->seed, st->resume_from + st->sent + i, token);
		buf_append(&st->out, token, TEXT_TOKEN_BYTES);
	}
	chunk_end(st, count, last);
	st->sent += count;
}

static char *json_quoted(const char *s)
{
	json_t *v = json_string(s);
	char *out = v ? json_dumps(v, JSON_ENCODE_ANY) : NULL;

	json_decref(v);
	return out ? out : mem_strdup("\"\"");
}

/*
 * Fault late_chunks: repeats the first chunk of an earlier response, like an engine that mixes up
 * the responses on a keep-alive connection. Always records the first chunk of this response.
 */
static void stream_repeat_late_chunk(struct stream *st)
{
	struct engine *e = st->e;
	struct engine_late_chunk late = { 0 };
	char token[TEXT_TOKEN_BYTES + 1];
	char *id;

	generated_text_token(st->seed, st->resume_from, token);
	pthread_mutex_lock(&e->lock);
	if (e->faults.late_chunks > 0 && e->late.attempt[0]) {
		late = e->late;
		e->faults.late_chunks--;
		e->stats.late_chunks++;
	}
	str_copy(e->late.attempt, sizeof(e->late.attempt), str_from(st->seq->attempt));
	str_copy(e->late.token, sizeof(e->late.token), (struct str){ token, TEXT_TOKEN_BYTES });
	pthread_mutex_unlock(&e->lock);
	if (!late.attempt[0])
		return;
	id = json_quoted(late.attempt);
	chunk_begin(st, id);
	buf_append_str(&st->out, str_from(late.token));
	chunk_end(st, 1, false);
	free(id);
}

static void stream_send_tokens(struct stream *st, int64_t tokens_ready)
{
	int64_t per_chunk = st->e->opt.tokens_per_chunk;
	char token[TEXT_TOKEN_BYTES + 1];

	if (st->sse && !st->sent)
		stream_repeat_late_chunk(st);
	if (!st->sse) {
		for (; st->sent < tokens_ready; st->sent++) {
			generated_text_token(st->seed, st->resume_from + st->sent, token);
			buf_append(&st->text, token, TEXT_TOKEN_BYTES);
		}
		return;
	}
	while (st->sent < tokens_ready) {
		int64_t n =
			tokens_ready - st->sent < per_chunk ? tokens_ready - st->sent : per_chunk;

		stream_append_chunk(st, n, st->sent + n == st->token_count);
	}
	stream_flush(st);
}

static void stream_finish_json(struct stream *st)
{
	const struct seq *s = st->seq;

	if (st->prefill_only) {
		uint64_t handle = engine_kv_store(st->e, s->prompt_tokens);

		buf_printf(&st->out,
			   "{\"id\":%s,\"kv_transfer_params\":{\"remote_url\":\"%s\","
			   "\"remote_handle\":\"%016" PRIx64 "\",\"tokens\":%" PRId64 "}}",
			   st->id, st->e->url, handle, s->prompt_tokens);
	} else {
		buf_printf(&st->out, "{\"id\":%s,\"object\":\"%s\",\"model\":%s,\"choices\":[{",
			   st->id, st->chat ? "chat.completion" : "text_completion", st->model);
		buf_printf(
			&st->out, "\"index\":0,%s\"" STR_FMT "\"%s,\"finish_reason\":\"length\"}],",
			st->chat ? "\"message\":{\"role\":\"assistant\",\"content\":" : "\"text\":",
			STR_ARG(buf_str(&st->text)), st->chat ? "}" : "");
		buf_printf(&st->out,
			   "\"usage\":{\"prompt_tokens\":%" PRId64 ",\"completion_tokens\":%" PRId64
			   "},\"tokens\":%" PRId64 "}",
			   s->prompt_tokens, st->token_count, st->token_count);
	}
	stream_flush(st);
}

static void stream_finish(struct stream *st)
{
	if (st->sse) {
		if (st->token_count == 0)
			stream_append_chunk(st, 0, true);
		buf_append_str(&st->out, STR_LIT("data: [DONE]\n\n"));
		stream_flush(st);
	} else {
		stream_finish_json(st);
	}
	if (!st->is_disconnected && mg_write(st->conn, "0\r\n\r\n", 5) <= 0)
		st->is_disconnected = true;
}

static bool stream_claim_silence_fault(struct stream *st, int64_t tokens_ready)
{
	int64_t after = atomic_load(&st->e->faults.silent_after_tokens);

	if (!st->sse || after < 0 || tokens_ready < after)
		return false;
	if (!atomic_compare_exchange_strong(&st->e->faults.silent_after_tokens, &after, -1))
		return false;
	if (after > st->sent)
		stream_send_tokens(st, after);
	return true;
}

static void engine_wait_for_stop(struct engine *e)
{
	int64_t end = mono_now_us() + SILENT_HOLD_US;

	while (!e->stopping && mono_now_us() < end)
		mono_sleep_until(mono_now_us() + SILENT_POLL_INTERVAL_US);
}

static bool seq_wait(struct stream *st, int64_t *tokens_ready, bool *finished)
{
	struct timespec ts = mono_timespec(st->last_write_us + HEARTBEAT_INTERVAL_US);
	struct seq *s = st->seq;
	int64_t wait_target = st->sent + (st->sse ? st->e->opt.tokens_per_chunk : INT64_MAX / 2);
	int rc = 0;
	bool aborted;

	pthread_mutex_lock(&s->lock);
	while (s->tokens_ready < wait_target && !s->finished && !s->aborted && rc == 0)
		rc = pthread_cond_timedwait(&s->changed, &s->lock, &ts);
	*tokens_ready = s->tokens_ready;
	*finished = s->finished;
	aborted = s->aborted;
	pthread_mutex_unlock(&s->lock);
	return !aborted;
}

enum stream_end {
	STREAM_COMPLETE,
	STREAM_BROKEN,
	STREAM_SILENT,
};

static enum stream_end stream_run(struct stream *st)
{
	int64_t tokens_ready;
	bool finished = false;

	while (!st->is_disconnected) {
		if (!seq_wait(st, &tokens_ready, &finished))
			return STREAM_BROKEN;
		if (stream_claim_silence_fault(st, tokens_ready))
			return STREAM_SILENT;
		if (tokens_ready > st->sent)
			stream_send_tokens(st, tokens_ready);
		if (finished)
			return STREAM_COMPLETE;
		stream_heartbeat(st);
	}
	return STREAM_BROKEN;
}

static bool prompt_collect(const json_t *req, bool chat, struct buf *out)
{
	const json_t *messages = json_object_get(req, "messages");
	const json_t *message;
	size_t i;

	if (!chat) {
		buf_append_str(out, json_get_str(req, "prompt"));
		return json_is_string(json_object_get(req, "prompt"));
	}
	json_array_foreach(messages, i, message) {
		if (i)
			buf_append(out, "\n", 1);
		buf_append_str(out, json_get_str(message, "content"));
	}
	return json_array_size(messages) > 0;
}

static bool resume_text_matches(const struct stream *st, const json_t *req)
{
	struct str text = json_get_str(req, "resume_text");
	char token[TEXT_TOKEN_BYTES + 1];

	if (text.len != (size_t)st->resume_from * TEXT_TOKEN_BYTES)
		return false;
	for (int64_t i = 0; i < st->resume_from; i++) {
		generated_text_token(st->seed, i, token);
		if (memcmp(text.data + i * TEXT_TOKEN_BYTES, token, TEXT_TOKEN_BYTES) != 0)
			return false;
	}
	return true;
}

static void attempt_id_read(const json_t *req, char out[ENGINE_NAME_MAX])
{
	static const char *const keys[] = { "attempt", "request_id" };

	for (size_t i = 0; i < 2; i++) {
		const json_t *v = json_object_get(req, keys[i]);

		if (json_is_string(v))
			str_copy(out, ENGINE_NAME_MAX, json_get_str(req, keys[i]));
		else if (json_is_integer(v))
			snprintf(out, ENGINE_NAME_MAX, "%lld", (long long)json_integer_value(v));
		if (out[0])
			return;
	}
	str_copy(out, ENGINE_NAME_MAX, STR_LIT("none"));
}

static const char *request_prepare(struct stream *st, const json_t *req, struct str prompt)
{
	const json_t *kv = json_object_get(req, "kv_transfer_params");
	struct seq *s = st->seq;
	int64_t max_tokens = json_get_i64(req, "max_tokens", MAX_TOKENS_DEFAULT);
	const char *model = json_get_cstr(req, "model", NULL);
	char own_model[ENGINE_NAME_MAX];

	st->sse = json_get_bool(req, "stream", false);
	st->resume_from = json_get_i64(req, "resume_from", 0);
	if (max_tokens < 1 || max_tokens > MAX_TOKENS_LIMIT || st->resume_from < 0 ||
	    st->resume_from > max_tokens)
		return "bad_tokens";
	s->requested_model = model;
	s->remote_decode = json_get_bool(kv, "do_remote_decode", false);
	s->remote_prefill = json_get_bool(kv, "do_remote_prefill", false);
	s->prompt = prompt.data ? prompt.data : "";
	s->priority = json_get_i64(req, "priority", 0);
	s->prompt_tokens = prompt_token_count((int64_t)prompt.len) + st->resume_from;
	s->tokens_left = s->remote_decode ? 0 : max_tokens - st->resume_from;
	s->piece_count = engine_pieces_hash(
		prompt, strtoull(json_get_cstr(req, "cache_salt", "0"), NULL, 16), s->pieces);
	attempt_id_read(req, s->attempt);
	st->token_count = s->tokens_left;
	st->prefill_only = s->remote_decode;
	st->sse = st->sse && !st->prefill_only;
	if (!model) {
		pthread_mutex_lock(&st->e->lock);
		str_copy(own_model, sizeof(own_model), str_from(st->e->model));
		pthread_mutex_unlock(&st->e->lock);
		model = own_model;
	}
	st->model = json_quoted(model);
	st->id = json_quoted(s->attempt);
	st->seed = text_seed(prompt, str_from(model));
	if (st->resume_from && !resume_text_matches(st, req)) {
		pthread_mutex_lock(&st->e->lock);
		st->e->stats.bad_resume++;
		pthread_mutex_unlock(&st->e->lock);
		return "bad_resume";
	}
	return NULL;
}

static int request_refuse(struct stream *st, const char *code)
{
	if (st->headers_sent)
		return http_abort(st->conn);
	return http_reply_error(st->conn, 503, "not_run", code);
}

/* Return: NULL, or the error code of the refusal. */
static const char *request_fetch_kv(struct stream *st, const json_t *req)
{
	const json_t *kv = json_object_get(req, "kv_transfer_params");
	int status;

	if (!st->seq->remote_prefill)
		return NULL;
	status = engine_kv_fetch(json_get_cstr(kv, "remote_url", ""),
				 json_get_cstr(kv, "remote_handle", ""), stream_heartbeat, st);
	if (status == 200)
		return NULL;
	return status == 404 ? "kv_gone" : "kv_unreachable";
}

static int request_run(struct stream *st, const json_t *req)
{
	const char *refusal = engine_seq_admit_check(st->e, st->seq);
	enum stream_end end;

	if (!refusal)
		refusal = request_fetch_kv(st, req);
	if (!refusal)
		refusal = engine_seq_admit(st->e, st->seq);
	if (refusal)
		return request_refuse(st, refusal);
	end = stream_run(st);
	engine_seq_remove(st->e, st->seq);
	if (end == STREAM_COMPLETE)
		stream_finish(st);
	if (end == STREAM_SILENT)
		engine_wait_for_stop(st->e);
	if (end != STREAM_COMPLETE || st->is_disconnected)
		return http_abort(st->conn);
	return 200;
}

static void stream_free(struct stream *st)
{
	free(st->id);
	free(st->model);
	buf_free(&st->out);
	buf_free(&st->frame);
	buf_free(&st->text);
}

int engine_completions(struct engine *e, struct mg_connection *conn, bool chat)
{
	json_t *req = http_body_json(conn, BODY_MAX);
	struct seq s = { 0 };
	struct stream st = { .e = e, .conn = conn, .seq = &s, .chat = chat };
	struct buf prompt = { 0 };
	const char *error_code = "bad_prompt";
	int status;

	st.last_write_us = mono_now_us();
	pthread_mutex_init(&s.lock, NULL);
	cond_init_mono(&s.changed);
	if (req && prompt_collect(req, chat, &prompt))
		error_code = request_prepare(&st, req, buf_str(&prompt));
	if (error_code)
		status = http_reply_error(conn, 400, "invalid_request", error_code);
	else
		status = request_run(&st, req);
	stream_free(&st);
	buf_free(&prompt);
	json_decref(req);
	pthread_cond_destroy(&s.changed);
	pthread_mutex_destroy(&s.lock);
	return status;
}
