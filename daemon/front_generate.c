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
static void chunk_head_format(struct response *a)
{
	buf_printf(&a->head,
		   "data: {\"id\":\"%s\",\"object\":\"%s\",\"created\":%" PRId64 ",\"model\":%s,"
		   "\"choices\":[{\"index\":0,%s",
		   a->x->call.id, a->g.chat ? "chat.completion.chunk" : "text_completion",
		   a->created, a->model, a->g.chat ? "\"delta\":{\"content\":" : "\"text\":");
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

static void chunk_format(struct response *a, struct buf *out, struct str text, int tokens,
			 const char *finish)
{
	if (!a->head.len)
		chunk_head_format(a);
	buf_append_str(out, buf_str(&a->head));
	text_format(out, text);
	if (a->g.chat)
		buf_append(out, "}", 1);
	if (finish)
		buf_printf(out, ",\"finish_reason\":\"%s\"}],\"tokens\":%d}\n\n", finish, tokens);
	else
		buf_printf(out, ",\"finish_reason\":null}],\"tokens\":%d}\n\n", tokens);
}

/* Finish reasons are written without escaping, so anything but a plain word is replaced. */
static void finish_reason_store(struct response *a, const char *finish)
{
	bool plain = strspn(finish, "abcdefghijklmnopqrstuvwxyz_") == strlen(finish);

	str_copy(a->finish, sizeof(a->finish), str_from(plain ? finish : "stop"));
}

static bool on_text(void *ctx, struct str text, int tokens, const char *finish)
{
	struct response *a = ctx;

	if (finish)
		finish_reason_store(a, finish);
	if (!a->stream)
		return true;
	if (!a->headers_sent) {
		a->headers_sent = true;
		str_copy(a->x->call.endpoint, sizeof(a->x->call.endpoint),
			 str_from(a->g.call.endpoint));
		a->write_failed = !reply_stream_begin(a->x);
	}
	chunk_format(a, &a->out, text, tokens, finish ? a->finish : NULL);
	return !a->write_failed;
}

static bool on_batch_end(void *ctx)
{
	struct response *a = ctx;

	/* Writing an empty part would end the stream. */
	if (!a->write_failed && a->out.len)
		a->write_failed = !reply_stream(a->x, buf_str(&a->out));
	buf_reset(&a->out);
	return !a->write_failed;
}

static void stream_end(struct response *a, const struct outcome *o)
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
	if (reply_stream(a->x, buf_str(&out)))
		reply_stream(a->x, (struct str){ 0 });
	buf_free(&out);
}

static void reply_completion(struct response *a)
{
	struct generation *g = &a->g;
	json_int_t prompt = ((json_int_t)g->prompt.len + 3) / 4;
	json_int_t tokens = g->tokens;
	json_t *text = json_stringn(g->text.data ? g->text.data : "", g->text.len);
	json_t *choice;

	if (g->chat)
		choice = json_pack("{s:i,s:{s:s,s:o},s:s}", "index", 0, "message", "role",
				   "assistant", "content", text, "finish_reason", a->finish);
	else
		choice = json_pack("{s:i,s:o,s:s}", "index", 0, "text", text, "finish_reason",
				   a->finish);
	reply_json(a->x, 200,
		   json_pack("{s:s,s:s,s:I,s:s,s:[o],s:{s:I,s:I,s:I}}", "id", a->x->call.id,
			     "object", g->chat ? "chat.completion" : "text_completion", "created",
			     (json_int_t)a->created, "model", g->model, "choices", choice, "usage",
			     "prompt_tokens", prompt, "completion_tokens", tokens, "total_tokens",
			     prompt + tokens));
}

static void response_end(struct response *a, const struct outcome *o)
{
	str_copy(a->x->call.endpoint, sizeof(a->x->call.endpoint), str_from(a->g.call.endpoint));
	if (o->status == 0) {
		mg_disable_connection_keep_alive(a->x->conn);
		return;
	}
	if (o->status == 200)
		metric_add(METRIC_REQUESTS_OK, 1);
	if (!a->headers_sent && o->status != 200)
		reply_outcome(a->x, o);
	else if (!a->stream)
		reply_completion(a);
	else if (a->headers_sent || reply_stream_begin(a->x))
		stream_end(a, o);
}

static void generation_run(struct response *a, struct request *req)
{
	struct outcome o = { 0 };

	a->stream = req->stream;
	a->g.call = a->x->call;
	a->g.body = req->body;
	a->g.max_tokens = req->max_tokens;
	a->g.prompt = buf_str(&req->prompt);
	a->g.on_text = on_text;
	a->g.on_batch_end = on_batch_end;
	a->g.ctx = a;
	str_copy(a->g.model, sizeof(a->g.model), str_from(req->model));
	a->created = clock_wall_ms() / 1000;
	a->model = json_dumps(json_object_get(req->body, "model"), JSON_ENCODE_ANY | JSON_COMPACT);
	dispatch_generate(a->x->front->gate->dispatch, &a->g, &o);
	response_end(a, &o);
	a->x->call = a->g.call;
	free(a->model);
	buf_free(&a->head);
	buf_free(&a->out);
	buf_free(&a->g.text);
}

void generate_handle(struct exchange *x, bool chat)
{
	struct response a = { .x = x, .g.chat = chat, .finish = "stop" };
	struct error err = { 0 };
	struct request req;

	if (!body_read(x))
		return;
	if (request_parse(buf_str(&x->body), chat, &req, &err) < 0)
		reply_body_error(x, &err, req.bad_field);
	else
		generation_run(&a, &req);
	request_clear(&req);
}
