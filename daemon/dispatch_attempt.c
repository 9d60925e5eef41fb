#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/net/sse.h"

#define BODY_MAX_BYTES 65536
#define PROBE_TIMEOUT_MS 400
/*
 * A suspect request that is this many tokens past the point of the crash has not caused it, and its
 * engine accepts other requests again. Running all suspect requests of a crashed engine exclusively
 * to their end would take the full generation time of each of them.
 */
#define SUSPECT_CLEAR_TOKENS 16

/**
 * struct stream - response of one engine
 * @start_tokens: tokens delivered before this attempt
 * @id: attempt id sent to the engine
 * @json: the response is one JSON object instead of a stream
 * @body: body of a JSON response or of an error
 * @done: [DONE] arrived
 * @finished: the chunk with the finish reason arrived; only [DONE] may be missing
 * @invalid: the stream can't be parsed, or a chunk is invalid or of another attempt
 */
struct stream {
	struct dispatch *d;
	struct generation_work *w;
	int64_t start_tokens;
	char id[64];
	struct sse sse;
	struct buf body;
	bool json;
	int status;
	bool done;
	bool finished;
	bool caller_gone;
	bool invalid;
	bool prefilled;
};

bool body_is_not_run_error(struct str body)
{
	json_t *o = json_parse(body);
	struct str type = json_get_str(json_object_get(o, "error"), "type");
	bool is_not_run = str_eq_cstr(type, "not_run");

	json_decref(o);
	return is_not_run;
}

static void stream_first_token(struct stream *s)
{
	struct generation_work *w = s->w;

	if (s->prefilled)
		return;
	s->prefilled = true;
	fleet_slot_prefill_done(s->d->gate->fleet, &w->place.run);
	fleet_cache_add(s->d->gate->fleet, &w->place.run, &w->prefix);
	dispatch_pump(s->d, w->g->model);
}

/* Delivers one chunk to the caller. Returns false when it is invalid or of another attempt. */
static bool stream_chunk_apply(struct stream *s, const json_t *chunk)
{
	struct generation *g = s->w->g;
	const json_t *choice = json_array_get(json_object_get(chunk, "choices"), 0);
	struct str id = json_get_str(chunk, "id");
	struct str text = g->chat ? json_get_str(json_object_get(choice, "delta"), "content")
				  : json_get_str(choice, "text");
	const char *finish = json_get_cstr(choice, "finish_reason", NULL);
	int tokens = (int)json_get_i64(chunk, "tokens", text.len ? 1 : 0);

	if (!json_is_object(choice) || tokens < 0)
		return false;
	if (id.len && !mechanism_is_disabled(MECHANISM_ATTEMPT_ID) && !str_eq_cstr(id, s->id) &&
	    !str_eq_cstr(id, g->call.id)) {
		metric_add(METRIC_STALE_DROPPED, 1);
		return false;
	}
	if (!text.len && !finish)
		return true;
	stream_first_token(s);
	buf_append_str(&g->text, text);
	g->tokens += tokens;
	if (g->tokens - s->start_tokens >= SUSPECT_CLEAR_TOKENS)
		slot_end_exclusive(s->d, &s->w->place.run);
	metric_add(METRIC_TOKENS_OUT, tokens);
	s->finished = finish != NULL;
	s->caller_gone = !g->on_text(g->ctx, text, tokens, finish);
	return true;
}

static void stream_data_apply(struct stream *s, struct str bytes)
{
	struct str data;
	int rc = 0;

	if (s->json || s->status != 200) {
		if (s->body.len < BODY_MAX_BYTES)
			buf_append_str(&s->body, bytes);
		return;
	}
	sse_feed(&s->sse, bytes);
	while (!s->done && !s->invalid && !s->caller_gone && (rc = sse_next(&s->sse, &data)) == 1) {
		json_t *chunk;

		if (str_eq_cstr(data, "[DONE]")) {
			s->done = true;
			return;
		}
		chunk = json_parse(data);
		s->invalid = !chunk || !stream_chunk_apply(s, chunk);
		json_decref(chunk);
	}
	if (rc < 0)
		s->invalid = true;
}

static void stream_flush(struct stream *s)
{
	struct generation *g = s->w->g;

	if (!s->caller_gone && g->on_batch_end && !g->on_batch_end(g->ctx))
		s->caller_gone = true;
}

static char *attempt_body_build(struct generation_work *w, const char *attempt, const json_t *kv,
				bool stream)
{
	struct generation *g = w->g;
	json_t *o = json_copy(g->body);
	char salt[17];
	char *text;

	snprintf(salt, sizeof(salt), "%016" PRIx64, w->salt);
	json_object_set_new(o, "stream", json_boolean(stream));
	json_object_set_new(o, "request_id", json_string(g->call.id));
	json_object_set_new(o, "attempt", json_string(attempt));
	json_object_set_new(o, "priority", json_integer(g->call.class));
	json_object_set_new(o, "cache_salt", json_string(salt));
	json_object_del(o, "resume_from");
	json_object_del(o, "resume_text");
	json_object_del(o, "kv_transfer_params");
	if (g->tokens && !mechanism_is_disabled(MECHANISM_RESUME)) {
		json_object_set_new(o, "resume_from", json_integer(g->tokens));
		json_object_set_new(o, "resume_text", json_stringn(g->text.data, g->text.len));
	}
	if (kv)
		json_object_set(o, "kv_transfer_params", (json_t *)kv);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

static void attempt_set_endpoint(struct attempt *a, const struct fleet_slot *slot)
{
	memcpy(a->endpoint, slot->name, sizeof(a->endpoint));
	a->endpoint_id = slot->id;
	memcpy(a->boot_id, slot->boot_id, sizeof(a->boot_id));
}

/*
 * Finds out whether a broken connection was a network fault or a crash. A new boot id proves that
 * the engine has crashed; if it refuses connections it may have; a timeout proves nothing. While a
 * process ends, its listening socket may still accept a connection and reset it.
 */
static void engine_probe(struct dispatch *d, struct attempt *a, const struct fleet_slot *slot)
{
	struct buf body = { 0 };
	struct link_event failed;
	struct link_request req = {
		.address = settings_route(&d->gate->settings, slot->name),
		.silence_ms = PROBE_TIMEOUT_MS,
		.fresh_connection = true,
	};
	char url[160];
	int status;

	snprintf(url, sizeof(url), "%s/load", slot->url);
	req.url = url;
	if (link_fetch(d->link, &req, PROBE_TIMEOUT_MS, &status, &body, &failed) != 0) {
		a->may_have_crashed = failed.refused || failed.failure == LINK_RESET;
	} else {
		json_t *o = json_parse(buf_str(&body));
		struct str boot = json_get_str(o, "boot_id");

		a->has_crashed = boot.len && slot->boot_id[0] && !str_eq_cstr(boot, slot->boot_id);
		json_decref(o);
	}
	buf_free(&body);
}

static void attempt_record_failure(struct dispatch *d, struct attempt *a,
				   const struct link_event *ev, const struct fleet_slot *slot)
{
	static const char *const reasons[] = {
		[LINK_CONNECT_FAILED] = "connect", [LINK_RESET] = "reset",
		[LINK_SILENT] = "silent",	   [LINK_PROTOCOL] = "protocol",
		[LINK_CANCELLED] = "cancelled",
	};

	a->result = ATTEMPT_FAILED;
	a->sent = ev->sent;
	a->was_exclusive =
		slot->is_exclusive && control_reserve_is_held(d->gate->control, slot->reservation);
	a->reason = reasons[ev->failure];
	if (ev->failure == LINK_RESET)
		engine_probe(d, a, slot);
	fleet_result_record(d->gate->fleet, slot->name,
			    a->has_crashed || a->may_have_crashed ||
					    ev->failure == LINK_CONNECT_FAILED
				    ? FLEET_HARD_FAILURE
				    : FLEET_FAILURE);
}

/* Derives the result of an attempt from the complete response of the engine. */
static void attempt_classify_response(struct dispatch *d, struct attempt *a, const struct stream *s,
				      const struct fleet_slot *slot)
{
	a->result = ATTEMPT_FAILED;
	a->sent = SENT_MAYBE;
	a->status = s->status;
	if (s->done || (s->json && s->status == 200)) {
		a->result = ATTEMPT_DONE;
		fleet_result_record(d->gate->fleet, slot->name, FLEET_SUCCESS);
		return;
	}
	if (s->status == 503 && body_is_not_run_error(buf_str(&s->body))) {
		a->sent = SENT_NO;
		a->is_refused = true;
		a->reason = "refused";
		fleet_result_record(d->gate->fleet, slot->name, FLEET_SUCCESS);
		return;
	}
	if (s->status == 400 || s->status == 413 || s->status == 422) {
		a->result = ATTEMPT_REJECTED;
		a->reason = "rejected";
		fleet_result_record(d->gate->fleet, slot->name, FLEET_SUCCESS);
		return;
	}
	a->reason = s->invalid ? "invalid" : "incomplete";
	fleet_result_record(d->gate->fleet, slot->name, FLEET_FAILURE);
}

static void attempt_send(struct dispatch *d, struct generation_work *w,
			 const struct fleet_slot *slot, struct link_queue *q, const char *body,
			 int64_t silence_ms, uint64_t *id)
{
	struct link_request req = {
		.address = settings_route(&d->gate->settings, slot->name),
		.body = str_from(body),
		.silence_ms = silence_ms,
	};
	char url[192];

	snprintf(url, sizeof(url), "%s/v1/%s", slot->url,
		 w->g->chat ? "chat/completions" : "completions");
	req.url = url;
	metric_add(METRIC_ATTEMPTS, 1);
	event_record("attempt-sent", w->g->call.id, slot->name, w->g->call.organisation,
		     "n=%d resume_from=%" PRId64, w->g->call.attempts, w->g->tokens);
	str_copy(w->g->call.endpoint, sizeof(w->g->call.endpoint), str_from(slot->name));
	*id = link_start(d->link, q, &req);
}

/* Runs one transfer until it ends, fails or is cancelled. */
static void stream_run(struct stream *s, struct attempt *a, const struct fleet_slot *slot,
		       const char *body, int64_t silence_ms)
{
	struct dispatch *d = s->d;
	struct link_queue *q = link_queue_create();
	struct link_event ev;
	bool ended = false;
	uint64_t id;

	attempt_set_endpoint(a, slot);
	attempt_send(d, s->w, slot, q, body, silence_ms, &id);
	while (!ended && !s->done && !s->invalid && !s->caller_gone) {
		if (!link_wait(q, &ev, s->w->g->call.deadline_ms)) {
			a->result = ATTEMPT_DEADLINE;
			break;
		}
		switch (ev.kind) {
		case LINK_RESPONSE:
			s->status = ev.status;
			break;
		case LINK_DATA:
			stream_data_apply(s, buf_str(&ev.data));
			stream_flush(s);
			break;
		case LINK_END:
			ended = true;
			attempt_classify_response(d, a, s, slot);
			break;
		case LINK_FAILED:
			ended = true;
			attempt_record_failure(d, a, &ev, slot);
			break;
		}
		link_event_clear(&ev);
	}
	if (s->caller_gone)
		a->result = ATTEMPT_CALLER_GONE;
	else if (s->finished) {
		a->result = ATTEMPT_DONE;
		/* If the transfer has ended or failed, its result is recorded already. */
		if (!ended)
			fleet_result_record(d->gate->fleet, slot->name, FLEET_SUCCESS);
	} else if (!ended && a->result != ATTEMPT_DEADLINE)
		attempt_classify_response(d, a, s, slot);
	/* After [DONE] only the end of the response is missing; the event loop waits for it. */
	if (s->done)
		link_mark_complete(q);
	else if (!ended)
		link_cancel(d->link, q, id);
	link_queue_destroy(q);
}

/* Idle timeout of the prefill transfer, which has no heartbeats: the prefill may queue for long. */
static int64_t prefill_silence_ms(const struct dispatch *d, const struct generation_work *w)
{
	int64_t expected_ms = w->place.choice.first_token_us / 1000;
	int64_t min_ms = d->gate->settings.links.silence_ms;

	return min_ms + 3 * expected_ms;
}

/* Runs the prefill of a split placement. Returns the KV cache handle, or NULL with @a filled. */
static json_t *prefill_run(struct dispatch *d, struct generation_work *w, struct attempt *a,
			   const char *id)
{
	struct stream s = { .d = d, .w = w, .json = true };
	json_t *params = json_pack("{s:b}", "do_remote_decode", 1);
	char *body = attempt_body_build(w, id, params, false);
	json_t *response = NULL;
	json_t *kv = NULL;

	stream_run(&s, a, &w->place.prefill, body, prefill_silence_ms(d, w));
	if (a->result == ATTEMPT_DONE) {
		response = json_parse(buf_str(&s.body));
		kv = json_copy(json_object_get(response, "kv_transfer_params"));
		fleet_cache_add(d->gate->fleet, &w->place.prefill, &w->prefix);
	}
	if (a->result == ATTEMPT_DONE && !json_is_object(kv)) {
		a->result = ATTEMPT_FAILED;
		a->reason = "invalid";
		fleet_result_record(d->gate->fleet, w->place.prefill.name, FLEET_FAILURE);
	}
	if (kv)
		json_object_set_new(kv, "do_remote_prefill", json_true());
	slot_release(d, &w->place.prefill);
	dispatch_pump(d, w->g->model);
	json_decref(response);
	json_decref(params);
	free(body);
	sse_free(&s.sse);
	buf_free(&s.body);
	return kv;
}

void attempt_run(struct dispatch *d, struct generation_work *w, struct attempt *a)
{
	struct stream s = { .d = d, .w = w, .start_tokens = w->g->tokens };
	json_t *kv = NULL;
	char *body;

	*a = (struct attempt){ .result = ATTEMPT_FAILED, .reason = "none", .endpoint_id = -1 };
	w->g->call.attempts++;
	snprintf(s.id, sizeof(s.id), "%s.%d", w->g->call.id, w->g->call.attempts);
	if (w->place.split) {
		kv = prefill_run(d, w, a, s.id);
		if (!kv)
			goto out;
	}
	body = attempt_body_build(w, s.id, kv, true);
	stream_run(&s, a, &w->place.run, body, d->gate->settings.links.silence_ms);
	free(body);
	/* The prefill engine has run the prompt, so the request can't be reported as not run. */
	if (kv)
		a->sent = SENT_MAYBE;
out:
	placement_release(d, w);
	json_decref(kv);
	sse_free(&s.sse);
	buf_free(&s.body);
}
