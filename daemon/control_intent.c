#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

/*
 * Intents are rows "intent/<endpoint>" in the table. A lease holder writes one before it sends an
 * order, and the next holder takes over the rows that it finds.
 */

static bool job_exists(struct control *c, const char *endpoint)
{
	bool known;

	pthread_mutex_lock(&c->lock);
	control_job_find_free(c, endpoint, &known);
	pthread_mutex_unlock(&c->lock);
	return known;
}

/*
 * Rewrites the row with the fencing token of this instance, so that an earlier holder that resumes
 * can neither delete it nor let the members use the endpoint again.
 */
static int intent_take_over(struct control *c, const struct table_row *row,
			    const struct order *order, const char *dc, enum endpoint_role role,
			    int64_t *version)
{
	json_t *value = control_intent_json(order, dc, c->settings->instance.id, role);
	struct error err = { 0 };
	int rc =
		platform_put(c->gate->platform, row->key, value, row->version, version, NULL, &err);

	json_decref(value);
	return rc;
}

/* Resumes the drain of an intent row. Return: false when the row has to be read again. */
static bool intent_resume(struct control *c, const struct table_row *row, const char *dc,
			  int64_t fencing)
{
	struct drain_event ev = { .kind = DRAIN_EV_INTENT_WRITTEN };
	struct order order = { .fencing = fencing };
	char row_dc[MEMBER_DC_MAX];
	struct peer_endpoint_order p;
	struct drain_job *j;
	int64_t version;
	bool known;

	if (!control_intent_parse(row, &p, row_dc, sizeof(row_dc)) || strcmp(row_dc, dc) != 0 ||
	    job_exists(c, p.endpoint))
		return true;
	order.kind = p.kind;
	if (p.kind == ORDER_ROLE)
		order.u.role = p.role;
	if (p.kind == ORDER_MODEL &&
	    !str_copy(order.u.model, sizeof(order.u.model), json_get_str(row->value, "model")))
		return true;
	str_copy(order.id, sizeof(order.id), str_from(p.order));
	str_copy(order.endpoint, sizeof(order.endpoint), str_from(p.endpoint));
	if (intent_take_over(c, row, &order, dc, p.role, &version))
		return false;
	pthread_mutex_lock(&c->lock);
	j = control_job_find_free(c, p.endpoint, &known);
	if (j) {
		control_job_init(c, j, &order, dc);
		j->version = version;
		j->resumed = true;
		j->sent = true;
		j->role_before = p.role;
		drain_handle_event(&j->drain, &ev, clock_boot_ms());
	}
	pthread_mutex_unlock(&c->lock);
	return j != NULL;
}

static bool intents_resume(struct control *c, const char *dc, int64_t fencing)
{
	struct table_row *rows;
	int count;
	int rc = control_intents_read(c, &rows, &count);

	for (int i = 0; i < count; i++) {
		if (!intent_resume(c, &rows[i], dc, fencing))
			rc = -1;
		table_row_clear(&rows[i]);
	}
	free(rows);
	return rc == 0;
}

static bool lease_needs_resume(struct control *c, int i, bool rescan, char dc[MEMBER_DC_MAX])
{
	bool due = false;

	pthread_mutex_lock(&c->lock);
	if (i < c->lease_count) {
		due = rescan || c->leases[i].intents_pending;
		memcpy(dc, c->leases[i].dc, MEMBER_DC_MAX);
	}
	pthread_mutex_unlock(&c->lock);
	return due;
}

void control_intents_resume(struct control *c, bool rescan)
{
	char dc[MEMBER_DC_MAX];

	for (int i = 0; i < CONTROL_LEASES_MAX; i++) {
		int64_t fencing;

		if (!lease_needs_resume(c, i, rescan, dc) ||
		    !control_lease_is_held(c, dc, &fencing) || !intents_resume(c, dc, fencing))
			continue;
		pthread_mutex_lock(&c->lock);
		c->leases[i].intents_pending = false;
		pthread_mutex_unlock(&c->lock);
	}
}

static void intent_key(char *out, size_t size, const struct drain_job *j)
{
	snprintf(out, size, "intent/%s", j->drain.order.endpoint);
}

enum drain_action control_intent_write(struct control *c, struct drain_job *j)
{
	json_t *value = control_intent_json(&j->drain.order, j->dc, c->settings->instance.id,
					    j->role_before);
	struct table_row current = { 0 };
	struct error err = { 0 };
	enum drain_action a = DRAIN_DO_NOTHING;
	char key[96];
	int rc;

	if (mechanism_is_disabled(MECHANISM_INTENT)) {
		json_decref(value);
		return control_job_step(c, j, DRAIN_EV_INTENT_WRITTEN);
	}
	intent_key(key, sizeof(key), j);
	rc = platform_put(c->gate->platform, key, value, TABLE_MUST_NOT_EXIST, &j->version,
			  &current, &err);
	if (rc && err.code == PLATFORM_CONFLICT &&
	    strcmp(json_get_cstr(current.value, "order", ""), j->drain.order.id) == 0) {
		j->version = current.version;
		rc = 0;
	}
	if (!rc)
		a = control_job_step(c, j, DRAIN_EV_INTENT_WRITTEN);
	else if (err.code == PLATFORM_CONFLICT)
		a = control_job_step(c, j, DRAIN_EV_INTENT_REFUSED);
	json_decref(value);
	table_row_clear(&current);
	return a;
}

enum drain_action control_intent_delete(struct control *c, struct drain_job *j)
{
	struct error err = { 0 };
	char key[96];

	intent_key(key, sizeof(key), j);
	if (platform_delete(c->gate->platform, key, j->version, &err) == 0 ||
	    err.code == PLATFORM_NOT_FOUND)
		return control_job_step(c, j, DRAIN_EV_INTENT_CLEARED);
	if (err.code == PLATFORM_CONFLICT)
		return control_job_step(c, j, DRAIN_EV_LEASE_LOST);
	return DRAIN_DO_NOTHING;
}
