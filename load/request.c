#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/standins/text.h"
#include "internal.h"

#define TOKEN_BYTES 4

/* Appends @len bytes of reproducible text that needs no JSON escaping. */
static void text_append(struct buf *b, uint64_t seed, int64_t len)
{
	char word[17];

	for (uint64_t i = 0; len > 0; i++) {
		size_t n = len < 16 ? (size_t)len : 16;
		uint64_t value = hash_mix(seed, i);

		for (int j = 0; j < 16; j++)
			word[j] = "abcdefghijklmnop"[(value >> (4 * j)) & 15];
		word[15] = ' ';
		buf_append(b, word, n);
		len -= (int64_t)n;
	}
}

static const struct scenario_organisation *transfer_organisation(const struct run *r,
								 const struct transfer *t)
{
	if (!r->scenario->organisation_count)
		return NULL;
	return &r->scenario->organisations[t->record.organisation];
}

static void prompt_build(struct run *r, struct transfer *t, const struct scenario_phase *phase,
			 struct buf *prompt)
{
	const struct scenario_organisation *o = transfer_organisation(r, t);
	int64_t bytes = t->record.prompt_tokens * TOKEN_BYTES;
	int64_t prefix_bytes = (int64_t)((double)bytes * phase->prefix_share);
	uint64_t seed = hash_str(o ? str_from(o->name) : STR_LIT(""), r->scenario->seed);
	int variant = (int)(scenario_uniform(&r->random) * r->scenario->prefixes);

	text_append(prompt, hash_mix(seed, (uint64_t)variant), prefix_bytes);
	text_append(prompt, hash_mix(r->text_seed, (uint64_t)t->record.number),
		    bytes - prefix_bytes);
	if (r->scenario->marker[0])
		buf_printf(prompt, " %s", r->scenario->marker);
}

static int priority_number(const char *priority)
{
	if (strcmp(priority, "urgent") == 0)
		return 0;
	return strcmp(priority, "background") == 0 ? 2 : 1;
}

static bool token_in_other_transfer(void *user, int64_t index, const char *token)
{
	const struct transfer *own = user;
	char expected_token[TEXT_TOKEN_BYTES + 1];

	for (const struct transfer *t = own->run->active; t; t = t->next) {
		if (t == own || t->kind != TRANSFER_GENERATION)
			continue;
		generated_text_token(t->check.seed, index, expected_token);
		if (memcmp(expected_token, token, TEXT_TOKEN_BYTES) == 0)
			return true;
	}
	return false;
}

void request_generation_prepare(struct run *r, struct transfer *t,
				const struct scenario_phase *phase)
{
	const struct scenario *s = r->scenario;
	struct load_record *rec = &t->record;
	const struct scenario_organisation *o;
	struct buf prompt = { 0 };

	rec->organisation = scenario_organisation_draw(s, &r->random);
	rec->prompt_tokens = scenario_size_draw(&r->random, phase->prompt_tokens, s->size_sigma);
	rec->tokens = scenario_size_draw(&r->random, phase->output_tokens, s->size_sigma);
	t->chat = scenario_uniform(&r->random) < s->chat_share;
	o = transfer_organisation(r, t);
	prompt_build(r, t, phase, &prompt);
	snprintf(rec->key, sizeof(rec->key), "%.40s-%lld", r->options->run_id,
		 (long long)rec->number);
	buf_printf(&t->body, "{\"model\":\"%s\",\"max_tokens\":%lld,\"stream\":true,", s->model,
		   (long long)rec->tokens);
	if (r->options->targets_are_engines)
		buf_printf(&t->body, "\"request_id\":\"%s\",\"priority\":%d,", rec->key,
			   priority_number(o ? o->priority : ""));
	buf_printf(&t->body,
		   t->chat ? "\"messages\":[{\"role\":\"user\",\"content\":\"" : "\"prompt\":\"");
	buf_append(&t->body, prompt.data, prompt.len);
	buf_printf(&t->body, t->chat ? "\"}]}" : "\"}");
	check_init(&t->check, text_seed(buf_str(&prompt), str_from(s->model)), rec->tokens);
	t->check.is_foreign_token = token_in_other_transfer;
	t->check.foreign_user_data = t;
	buf_free(&prompt);
}

void request_call_prepare(struct run *r, struct transfer *t, const struct scenario_call *call)
{
	struct load_record *rec = &t->record;
	long long number = (long long)rec->number;

	rec->is_call = true;
	rec->organisation = scenario_organisation_draw(r->scenario, &r->random);
	snprintf(rec->key, sizeof(rec->key), "%.40s-%lld", r->options->run_id, number);
	buf_printf(&t->body, "{\"item\":\"%s\",\"quantity\":1}", rec->key);
}

void request_repeat_prepare(struct transfer *t, const struct transfer *first)
{
	t->record = (struct load_record){ .number = first->record.number,
					  .is_call = true,
					  .is_repeat = true,
					  .organisation = first->record.organisation };
	memcpy(t->record.key, first->record.key, sizeof(t->record.key));
	buf_append(&t->body, first->body.data, first->body.len);
}

void request_headers_build(struct run *r, struct transfer *t)
{
	const struct scenario_organisation *o = transfer_organisation(r, t);
	char line[256];

	t->headers = curl_slist_append(t->headers, "Content-Type: application/json");
	/* Without this, libcurl waits up to a second for "100 Continue" before a large body. */
	t->headers = curl_slist_append(t->headers, "Expect:");
	if (o && o->key[0] && !r->options->targets_are_engines) {
		snprintf(line, sizeof(line), "Authorization: Bearer %s", o->key);
		t->headers = curl_slist_append(t->headers, line);
	}
	if (o && o->priority[0] && !r->options->targets_are_engines && !t->record.is_call) {
		snprintf(line, sizeof(line), "Ibisgate-Priority: %s", o->priority);
		t->headers = curl_slist_append(t->headers, line);
	}
	if (t->record.is_call) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", t->record.key);
		t->headers = curl_slist_append(t->headers, line);
	}
}

static void error_response_parse(struct load_record *rec, const struct buf *response)
{
	json_t *body = json_parse(buf_str(response));
	const json_t *error = json_object_get(body, "error");

	str_copy(rec->type, sizeof(rec->type), json_get_str(error, "type"));
	str_copy(rec->code, sizeof(rec->code), json_get_str(error, "code"));
	rec->outcome = strcmp(rec->type, "outcome_unknown") == 0 ? LOAD_UNKNOWN : LOAD_REFUSED;
	json_decref(body);
}

static void call_check(struct transfer *t)
{
	struct load_record *rec = &t->record;
	json_t *body = json_parse(buf_str(&t->response));
	char expected_token[20];

	snprintf(expected_token, sizeof(expected_token), "%016llx",
		 (unsigned long long)hash_str(buf_str(&t->body), 0));
	rec->effect = json_get_i64(body, "effect", -1);
	if (!body)
		rec->outcome = LOAD_CUT;
	else if (strcmp(json_get_cstr(body, "body_hash", ""), expected_token) != 0)
		rec->outcome = LOAD_WRONG;
	json_decref(body);
}

static void generation_check(struct transfer *t)
{
	struct load_record *rec = &t->record;

	rec->fault = check_finish(&t->check);
	if (rec->fault != CHECK_OK)
		rec->outcome = check_fault_is_truncation(rec->fault) ? LOAD_CUT : LOAD_WRONG;
	memcpy(rec->type, t->check.error_type, sizeof(rec->type) - 1);
	if (t->check.chunks)
		rec->ttft_us = t->check.first_us - rec->start_us;
	rec->gap_mean_us = check_gap_mean_us(&t->check);
	rec->gap_p95_us = check_gap_p95_us(&t->check);
}

void request_record_finish(struct run *r, struct transfer *t, CURLcode code)
{
	struct load_record *rec = &t->record;
	struct load_result *res = r->result;
	long status = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	rec->status = (int)status;
	rec->target = t->target;
	rec->end_us = run_now_us(r);
	rec->ttft_us = -1;
	rec->effect = -1;
	if (code == CURLE_COULDNT_CONNECT)
		rec->outcome = LOAD_UNREACHABLE;
	else if (!status)
		rec->outcome = LOAD_LOST;
	else if (status != 200)
		error_response_parse(rec, &t->response);
	else if (!rec->is_call)
		generation_check(t);
	else if (code != CURLE_OK)
		rec->outcome = LOAD_CUT;
	else
		call_check(t);
	if (res->count == res->cap) {
		res->cap = res->cap ? 2 * res->cap : 1024;
		res->records = mem_resize(res->records, res->cap * sizeof(*res->records));
	}
	res->records[res->count++] = *rec;
}

struct effect {
	int64_t number;
	int64_t effect;
	size_t index;
};

static int effect_cmp(const void *a, const void *b)
{
	const struct effect *x = a;
	const struct effect *y = b;

	return (x->number > y->number) - (x->number < y->number);
}

/* Different effects reported for one idempotency key mean that the call was executed twice. */
void request_duplicate_effects_mark(struct load_result *res)
{
	struct effect *effects = mem_alloc((res->count + 1) * sizeof(*effects));
	size_t n = 0;

	for (size_t i = 0; i < res->count; i++) {
		const struct load_record *rec = &res->records[i];

		if (rec->is_call && rec->outcome == LOAD_WHOLE)
			effects[n++] = (struct effect){ rec->number, rec->effect, i };
	}
	qsort(effects, n, sizeof(*effects), effect_cmp);
	for (size_t i = 1; i < n; i++) {
		if (effects[i].number != effects[i - 1].number ||
		    effects[i].effect == effects[i - 1].effect)
			continue;
		res->records[effects[i].index].outcome = LOAD_WRONG;
		res->records[effects[i].index].fault = CHECK_DUPLICATE;
	}
	free(effects);
}
