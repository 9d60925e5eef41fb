#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/net/codec_explain.h"

/* Largest number of tokens, bytes or milliseconds of a description. */
#define EXPLAIN_NUMBER_MAX 1000000000LL

enum field_type {
	FIELD_TEXT,
	FIELD_NUMBER,
};

/**
 * struct field - member of a description
 * @size: of a text, in bytes
 * @min: of a number
 * @max: of a number
 */
struct field {
	const char *name;
	enum field_type type;
	size_t offset;
	size_t size;
	int64_t min;
	int64_t max;
};

#define TEXT(member)                                                           \
	{                                                                      \
#member, FIELD_TEXT, offsetof(struct explain_request, member), \
			sizeof(((struct explain_request *)0)->member), 0, 0    \
	}
#define NUMBER(member, min, max)                                                             \
	{                                                                                    \
#member, FIELD_NUMBER, offsetof(struct explain_request, member), 0, min, max \
	}

static const struct field fields[] = {
	TEXT(id),
	TEXT(method),
	TEXT(host),
	TEXT(path),
	TEXT(organisation),
	TEXT(key),
	TEXT(model),
	NUMBER(prompt_tokens, 0, EXPLAIN_NUMBER_MAX),
	NUMBER(output_tokens, 0, EXPLAIN_NUMBER_MAX),
	NUMBER(priority, 0, 9),
	NUMBER(deadline_ms, 1, EXPLAIN_NUMBER_MAX),
	NUMBER(body_bytes, 0, EXPLAIN_NUMBER_MAX),
};

#define FIELD_COUNT (sizeof(fields) / sizeof(fields[0]))

static int text_decode(const char *name, const json_t *v, char *out, size_t size, struct error *err)
{
	const char *text = json_string_value(v);

	if (!text || !str_copy(out, size, str_from(text)))
		return error_set(err, ERROR_CODEC, 1, "%s: expected a text of at most %zu bytes",
				 name, size - 1);
	return 0;
}

static int number_decode(const char *name, const json_t *v, int64_t min, int64_t max, int64_t *out,
			 struct error *err)
{
	if (!json_is_integer(v) || json_integer_value(v) < min || json_integer_value(v) > max)
		return error_set(err, ERROR_CODEC, 1,
				 "%s: expected a whole number from %lld to %lld", name,
				 (long long)min, (long long)max);
	*out = json_integer_value(v);
	return 0;
}

static int field_decode(const struct field *f, const json_t *v, struct explain_request *out,
			struct error *err)
{
	char *at = (char *)out + f->offset;

	switch (f->type) {
	case FIELD_TEXT:
		return text_decode(f->name, v, at, f->size, err);
	case FIELD_NUMBER:
		return number_decode(f->name, v, f->min, f->max, (int64_t *)at, err);
	}
	return -1;
}

static int parts_decode(const json_t *list, struct explain_request *out, struct error *err)
{
	const json_t *part;
	char name[64];
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > EXPLAIN_PARTS_MAX)
		return error_set(err, ERROR_CODEC, 1, "parts: expected a list of at most %d parts",
				 EXPLAIN_PARTS_MAX);
	json_array_foreach(list, i, part) {
		struct explain_part *p = &out->parts[i];

		snprintf(name, sizeof(name), "parts[%zu].id", i);
		if (text_decode(name, json_object_get(part, "id"), p->id, sizeof(p->id), err) < 0)
			return -1;
		snprintf(name, sizeof(name), "parts[%zu].tokens", i);
		if (number_decode(name, json_object_get(part, "tokens"), 0, EXPLAIN_NUMBER_MAX,
				  &p->tokens, err) < 0)
			return -1;
	}
	out->part_count = (int)json_array_size(list);
	return 0;
}

static int prompt_decode(const json_t *v, struct explain_request *out, struct error *err)
{
	if (!json_is_string(v))
		return error_set(err, ERROR_CODEC, 1, "prompt: expected a text");
	buf_append(&out->prompt, json_string_value(v), json_string_length(v));
	return 0;
}

static int member_decode(const char *name, const json_t *v, struct explain_request *out,
			 struct error *err)
{
	if (strcmp(name, "parts") == 0)
		return parts_decode(v, out, err);
	if (strcmp(name, "prompt") == 0)
		return prompt_decode(v, out, err);
	for (size_t i = 0; i < FIELD_COUNT; i++) {
		if (strcmp(name, fields[i].name) == 0)
			return field_decode(&fields[i], v, out, err);
	}
	return error_set(err, ERROR_CODEC, 1, "%.40s: unknown field", name);
}

void explain_request_clear(struct explain_request *r)
{
	buf_free(&r->prompt);
}

int explain_request_decode(struct str text, struct explain_request *out, struct error *err)
{
	json_t *o = json_parse(text);
	const char *name;
	json_t *v;
	int rc = -1;

	*out = (struct explain_request){
		.id = "explain", .method = "POST", .prompt_tokens = -1, .priority = -1
	};
	if (!json_is_object(o)) {
		error_set(err, ERROR_CODEC, 1, "expected a JSON object");
		goto out;
	}
	json_object_foreach(o, name, v) {
		if (member_decode(name, v, out, err) < 0)
			goto out;
	}
	if (out->path[0] != '/') {
		error_set(err, ERROR_CODEC, 1, "path: expected a path that begins with /");
		goto out;
	}
	if (!out->id[0]) {
		error_set(err, ERROR_CODEC, 1, "id: expected a text that is not empty");
		goto out;
	}
	if (out->organisation[0] && out->key[0]) {
		error_set(err, ERROR_CODEC, 1, "key: expected either this or organisation");
		goto out;
	}
	if (out->prompt_tokens < 0) {
		out->prompt_tokens = 0;
		for (int i = 0; i < out->part_count; i++)
			out->prompt_tokens += out->parts[i].tokens;
	}
	rc = 0;
out:
	if (rc < 0)
		explain_request_clear(out);
	json_decref(o);
	return rc;
}

json_t *explain_request_encode(const struct explain_request *r)
{
	json_t *out = json_object();
	json_t *parts;

	for (size_t i = 0; i < FIELD_COUNT; i++) {
		const struct field *f = &fields[i];
		const char *at = (const char *)r + f->offset;
		int64_t n;

		switch (f->type) {
		case FIELD_TEXT:
			if (at[0])
				json_object_set_new(out, f->name, json_string(at));
			break;
		case FIELD_NUMBER:
			memcpy(&n, at, sizeof(n));
			if (n >= f->min)
				json_object_set_new(out, f->name, json_integer(n));
			break;
		}
	}
	if (r->prompt.len)
		json_object_set_new(out, "prompt", json_stringn(r->prompt.data, r->prompt.len));
	if (!r->part_count)
		return out;
	parts = json_array();
	for (int i = 0; i < r->part_count; i++)
		json_array_append_new(parts, json_pack("{s:s,s:I}", "id", r->parts[i].id, "tokens",
						       (json_int_t)r->parts[i].tokens));
	json_object_set_new(out, "parts", parts);
	return out;
}
