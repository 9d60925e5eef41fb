#include <stdlib.h>

#include "ibisgate/common/json.h"

int64_t json_get_i64(const json_t *obj, const char *key, int64_t fallback)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_integer(v) ? json_integer_value(v) : fallback;
}

double json_get_double(const json_t *obj, const char *key, double fallback)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_number(v) ? json_number_value(v) : fallback;
}

bool json_get_bool(const json_t *obj, const char *key, bool fallback)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_boolean(v) ? json_boolean_value(v) : fallback;
}

const char *json_get_cstr(const json_t *obj, const char *key, const char *fallback)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_string(v) ? json_string_value(v) : fallback;
}

struct str json_get_str(const json_t *obj, const char *key)
{
	const json_t *v = json_object_get(obj, key);

	if (!json_is_string(v))
		return (struct str){ 0 };
	return (struct str){ .data = json_string_value(v), .len = json_string_length(v) };
}

json_t *json_parse(struct str text)
{
	return json_loadb(text.data ? text.data : "", text.len, JSON_REJECT_DUPLICATES, NULL);
}

json_t *json_parse_with_nul(struct str text)
{
	return json_loadb(text.data ? text.data : "", text.len,
			  JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, NULL);
}

void json_append(struct buf *out, const json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

	if (text)
		buf_append_str(out, str_from(text));
	free(text);
}

json_t *json_from_text(const char *text)
{
	int64_t n;
	double d;

	if (str_to_i64(str_from(text), &n))
		return json_integer(n);
	if (str_to_double(str_from(text), &d))
		return json_real(d);
	return json_string(text);
}
