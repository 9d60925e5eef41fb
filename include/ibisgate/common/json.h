#ifndef IBISGATE_COMMON_JSON_H
#define IBISGATE_COMMON_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/* Getters of object members; they return the default if a member is absent or of another type. */
int64_t json_get_i64(const json_t *obj, const char *key, int64_t fallback);
double json_get_double(const json_t *obj, const char *key, double fallback);
bool json_get_bool(const json_t *obj, const char *key, bool fallback);
const char *json_get_cstr(const json_t *obj, const char *key, const char *fallback);
struct str json_get_str(const json_t *obj, const char *key);

/** json_parse - parse @text, which must be a single value with no trailing bytes; NULL on error */
json_t *json_parse(struct str text);

/** json_parse_with_nul - the same, where strings may contain the character NUL */
json_t *json_parse_with_nul(struct str text);

/** json_from_text - JSON number if @text is a number, otherwise a JSON string; new reference */
json_t *json_from_text(const char *text);

/** json_append - append the compact form of @value to @out */
void json_append(struct buf *out, const json_t *value);

#endif
