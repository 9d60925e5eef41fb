#include <stdio.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

/*
 * The row "role-starts/<region>" holds the start times of the role changes within the last hour.
 * All lease holders of the region update it by compare-and-set, so that the limit survives the loss
 * of any instance.
 */

/* An attempt fails for each other data centre that starts a change at the same moment. */
#define WRITE_ATTEMPTS_MAX 4

static void row_key(const struct control *c, char *out, size_t size)
{
	snprintf(out, size, "role-starts/%s", c->settings->instance.region);
}

static bool row_read(struct control *c, struct role_starts *out, int64_t *version)
{
	struct table_row row = { 0 };
	struct error err = { 0 };
	const json_t *v;
	char key[64];
	size_t i;

	*out = (struct role_starts){ 0 };
	*version = TABLE_MUST_NOT_EXIST;
	row_key(c, key, sizeof(key));
	if (platform_get(c->gate->platform, key, &row, &err))
		return err.code == PLATFORM_NOT_FOUND;
	*version = row.version;
	json_array_foreach(json_object_get(row.value, "at_ms"), i, v) {
		if (out->count < ROLE_STARTS_MAX)
			out->at_ms[out->count++] = json_integer_value(v);
	}
	table_row_clear(&row);
	role_starts_prune(out, clock_wall_ms());
	return true;
}

bool control_role_starts_read(struct control *c, struct role_starts *out)
{
	int64_t version;

	return row_read(c, out, &version);
}

static json_t *row_json(const struct role_starts *s)
{
	json_t *list = json_array();

	for (int i = 0; i < s->count; i++)
		json_array_append_new(list, json_integer((json_int_t)s->at_ms[i]));
	return json_pack("{s:o}", "at_ms", list);
}

bool control_role_starts_add(struct control *c, int max_per_hour, struct role_starts *out)
{
	char key[64];

	row_key(c, key, sizeof(key));
	for (int i = 0; i < WRITE_ATTEMPTS_MAX; i++) {
		struct error err = { 0 };
		json_t *value;
		int64_t version;
		int rc;

		if (!row_read(c, out, &version) ||
		    !role_starts_add(out, max_per_hour, clock_wall_ms()))
			return false;
		value = row_json(out);
		rc = platform_put(c->gate->platform, key, value, version, &version, NULL, &err);
		json_decref(value);
		if (!rc)
			return true;
		if (err.code != PLATFORM_CONFLICT)
			return false;
	}
	return false;
}
