#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "front_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/daemon/request.h"

/**
 * struct response - response to a generation request in progress
 * @stream: respond with server-sent events
 * @model: model name as a JSON string
 * @headers_sent: the headers of the stream were sent
 * @write_failed: writing to the caller failed
 * @finish: finish reason; "stop" until the engine sends one
 * @head: beginning of each chunk
 * @out: chunks that are not written yet
 */
struct response {
	struct exchange *x;
	struct generation g;
	bool stream;
	char *model;
	int64_t created;
	bool headers_sent;
	bool write_failed;
	char finish[32];
	struct buf head;
	struct buf out;
};

/* Formats the beginning of a chunk, which is the same for all chunks of a response. */
static void chunk_head_format(struct response *r)
{
	buf_printf(&r->head,
		   "data: {\"id\":\"%s\",\"object\":\"%s\",\"created\":%" PRId64 ",\"model\":%s,"
		   "\"choices\":[{\"index\":0,%s",
		   r->x->call.id, r->g.chat ? "chat.completion.chunk" : "text_completion",
		   r->created, r->model, r->g.chat ? "\"delta\":{\"content\":" : "\"text\":");
}

static bool needs_escape(struct str text)
{
	for (size_t i = 0; i < text.len; i++) {
		unsigned char c = (unsigned char)text.data[i];

		if (c < 0x20 || c == '"' || c == '\\')
			return true;
	}
	return false;
}

/* The text comes from a JSON parser, so it is valid UTF-8, and most of it needs no escaping. */
static void text_format(struct buf *out, struct str text)
{
	json_t *value;

	if (!needs_escape(text)) {
		buf_append(out, "\"", 1);
		buf_append_str(out, text);
		buf_append(out, "\"", 1);
		return;
	}
	value = json_stringn(text.data, text.len);
	json_append(out, value);
	json_decref(value);
}

static void chunk_format(struct response *r, struct buf *out, struct str text, int tokens,
			 const char *finish)
{
	if (!r->head.len)
		chunk_head_format(r);
	buf_append_str(out, buf_str(&r->head));
	text_format(out, text);
	if (r->g.chat)
		buf_append(out, "}", 1);
	if (finish)
		buf_printf(out, ",\"finish_reason\":\"%s\"}],\"tokens\":%d}\n\n", finish, tokens);
	else
		buf_printf(out, ",\"finish_reason\":null}],\"tokens\":%d}\n\n", tokens);
}

/* Finish reasons are written without escaping, so anything but a plain word is replaced. */
static void finish_reason_store(struct response *r, const char *finish)
{
	bool plain = strspn(finish, "abcdefghijklmnopqrstuvwxyz_") == strlen(finish);

	str_copy(r->finish, sizeof(r->finish), str_from(plain ? finish : "stop"));
}

static bool on_text(void *ctx, struct str text, int tokens, const char *finish)
{
	struct response *r = ctx;

	if (finish)
		finish_reason_store(r, finish);
	if (!r->stream)
		return true;
	if (!r->headers_sent) {
		r->headers_sent = true;
		str_copy(r->x->call.endpoint, sizeof(r->x->call.endpoint),
			 str_from(r->g.call.endpoint));
		r->write_failed = !reply_stream_begin(r->x);
	}
	chunk_format(r, &r->out, text, tokens, finish ? r->finish : NULL);
	return !r->write_failed;
}

static bool on_batch_end(void *ctx)
{
	struct response *r = ctx;

	/* Writing an empty part would end the stream. */
	if (!r->write_failed && r->out.len)
		r->write_failed = !reply_stream(r->x, buf_str(&r->out));
	buf_reset(&r->out);
	return !r->write_failed;
}

static void stream_end(struct response *r, const struct outcome *o)
{
	struct buf out = { 0 };

	if (o->status == 200) {
		buf_append_str(&out, STR_LIT("data: [DONE]\n\n"));
	} else {
		json_t *error = error_json(o->message, o->type, o->code, NULL);

		buf_append_str(&out, STR_LIT("data: "));
		json_append(&out, error);
		buf_append_str(&out, STR_LIT("\n\n"));
		json_decref(error);
		metric_add(METRIC_OUTCOME_UNKNOWN, 1);
	}
	if (reply_stream(r->x, buf_str(&out)))
		reply_stream(r->x, (struct str){ 0 });
	buf_free(&out);
}

static void reply_completion(struct response *r)
{
	struct generation *g = &r->g;
	json_int_t prompt = ((json_int_t)g->prompt.len + 3) / 4;
	json_int_t tokens = g->tokens;
	json_t *text = json_stringn(g->text.data ? g->text.data : "", g->text.len);
	json_t *choice;

	if (g->chat)
		choice = json_pack("{s:i,s:{s:s,s:o},s:s}", "index", 0, "message", "role",
				   "assistant", "content", text, "finish_reason", r->finish);
	else
		choice = json_pack("{s:i,s:o,s:s}", "index", 0, "text", text, "finish_reason",
				   r->finish);
	reply_json(r->x, 200,
		   json_pack("{s:s,s:s,s:I,s:s,s:[o],s:{s:I,s:I,s:I}}", "id", r->x->call.id,
			     "object", g->chat ? "chat.completion" : "text_completion", "created",
			     (json_int_t)r->created, "model", g->model, "choices", choice, "usage",
			     "prompt_tokens", prompt, "completion_tokens", tokens, "total_tokens",
			     prompt + tokens));
}

static void response_end(struct response *r, const struct outcome *o)
{
	str_copy(r->x->call.endpoint, sizeof(r->x->call.endpoint), str_from(r->g.call.endpoint));
	if (o->status == 0) {
		mg_disable_connection_keep_alive(r->x->conn);
		return;
	}
	if (o->status == 200)
		metric_add(METRIC_REQUESTS_OK, 1);
	if (!r->headers_sent && o->status != 200)
		reply_outcome(r->x, o);
	else if (!r->stream)
		reply_completion(r);
	else if (r->headers_sent || reply_stream_begin(r->x))
		stream_end(r, o);
}

static void generation_run(struct response *r, struct request *req)
{
	struct outcome o = { 0 };

	r->stream = req->stream;
	r->g.call = r->x->call;
	r->g.body = req->body;
	r->g.max_tokens = req->max_tokens;
	r->g.prompt = buf_str(&req->prompt);
	r->g.on_text = on_text;
	r->g.on_batch_end = on_batch_end;
	r->g.ctx = r;
	str_copy(r->g.model, sizeof(r->g.model), str_from(req->model));
	r->created = clock_wall_ms() / 1000;
	r->model = json_dumps(json_object_get(req->body, "model"), JSON_ENCODE_ANY | JSON_COMPACT);
	dispatch_generate(r->x->front->gate->dispatch, &r->g, &o);
	response_end(r, &o);
	r->x->call = r->g.call;
	free(r->model);
	buf_free(&r->head);
	buf_free(&r->out);
	buf_free(&r->g.text);
}

void generate_handle(struct exchange *x, bool chat)
{
	struct response r = { .x = x, .g.chat = chat, .finish = "stop" };
	struct error err = { 0 };
	struct request req;

	if (!body_read(x))
		return;
	if (request_parse(buf_str(&x->body), chat, &req, &err) < 0)
		reply_body_error(x, &err, req.bad_field);
	else
		generation_run(&r, &req);
	request_clear(&req);
}
