#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/supervisor.h"

#define LOOP_MS 10
#define IDLE_MS 1000
#define RETRY_MS 200

static const char *const phase_names[] = { "running", "done", "unknown" };

/* Own claims are registered from before their row is written until the table has the outcome. */

static struct own_claim **own_claim_find(struct control *c, const char *token)
{
	struct own_claim **at = &c->own_claims;

	while (*at && strcmp((*at)->token, token) != 0)
		at = &(*at)->next;
	return at;
}

bool own_claim_add(struct control *c, const char *token)
{
	struct own_claim *o;
	bool has_room;

	pthread_mutex_lock(&c->lock);
	has_room = c->own_claim_count < CONTROL_CLAIMS_MAX;
	if (has_room) {
		o = mem_zalloc(sizeof(*o));
		str_copy(o->token, sizeof(o->token), str_from(token));
		o->next = c->own_claims;
		c->own_claims = o;
		c->own_claim_count++;
	}
	pthread_mutex_unlock(&c->lock);
	return has_room;
}

void own_claim_remove(struct control *c, const char *token)
{
	struct own_claim **at;
	struct own_claim *o;

	pthread_mutex_lock(&c->lock);
	at = own_claim_find(c, token);
	o = *at;
	if (o) {
		*at = o->next;
		c->own_claim_count--;
	}
	pthread_mutex_unlock(&c->lock);
	free(o);
}

bool own_claim_set_phase(struct control *c, const char *token, enum own_claim_phase from,
			 enum own_claim_phase to)
{
	struct own_claim *o;
	bool moved;

	pthread_mutex_lock(&c->lock);
	o = *own_claim_find(c, token);
	moved = o && o->phase == from;
	if (moved)
		o->phase = to;
	pthread_mutex_unlock(&c->lock);
	return moved;
}

bool own_claim_exists(struct control *c, const char *token)
{
	bool exists;

	pthread_mutex_lock(&c->lock);
	exists = *own_claim_find(c, token) != NULL;
	pthread_mutex_unlock(&c->lock);
	return exists;
}

json_t *claim_row_json(const struct control *c, const struct claim_ticket *t,
		       enum claim_phase phase)
{
	json_t *o = json_object();

	json_object_set_new(o, "phase", json_string(phase_names[phase]));
	json_object_set_new(o, "owner", json_string(c->settings->instance.id));
	json_object_set_new(o, "incarnation", json_integer((json_int_t)c->gate->incarnation));
	json_object_set_new(o, "fingerprint", json_string(t->fingerprint));
	json_object_set_new(o, "token", json_string(t->token));
	json_object_set_new(o, "at_ms", json_integer(clock_wall_ms()));
	return o;
}

bool claim_row_parse(const struct table_row *in, struct claim_row *out)
{
	const char *phase = json_get_cstr(in->value, "phase", "");

	*out = (struct claim_row){
		.version = in->version,
		.incarnation = (uint64_t)json_get_i64(in->value, "incarnation", 0),
		.status = (int)json_get_i64(in->value, "status", 0),
		.result = json_get_str(in->value, "result"),
		.phase = CLAIM_UNKNOWN,
	};
	for (int i = 0; i < 3; i++) {
		if (strcmp(phase, phase_names[i]) == 0)
			out->phase = (enum claim_phase)i;
	}
	return str_copy(out->owner, sizeof(out->owner), json_get_str(in->value, "owner")) &&
	       str_copy(out->token, sizeof(out->token), json_get_str(in->value, "token")) &&
	       str_copy(out->fingerprint, sizeof(out->fingerprint),
			json_get_str(in->value, "fingerprint"));
}

/* Background writes of claim outcomes. */

static struct claim_task *task_create(const char *key, const char *token, int64_t version,
				      json_t *value)
{
	struct claim_task *t = mem_zalloc(sizeof(*t));

	str_copy(t->key, sizeof(t->key), str_from(key));
	str_copy(t->token, sizeof(t->token), str_from(token));
	t->version = version;
	t->value = value;
	return t;
}

static void task_queue(struct control *c, struct claim_task *t)
{
	pthread_mutex_lock(&c->lock);
	t->next = c->tasks;
	c->tasks = t;
	pthread_cond_broadcast(&c->work_cond);
	pthread_mutex_unlock(&c->lock);
}

void claim_task_add(struct control *c, const char *key, const char *token, int64_t version,
		    json_t *value)
{
	task_queue(c, task_create(key, token, version, value));
}

/*
 * Deletes the row of a claim that was never dispatched. The row may come from a write of this
 * instance that was delayed.
 */
static bool claim_row_delete(struct control *c, const struct claim_task *t)
{
	struct table_row row;
	struct claim_row claim;
	struct error err = { 0 };
	bool ours;
	int rc;

	if (platform_get(c->gate->platform, t->key, &row, &err))
		return err.code == PLATFORM_NOT_FOUND;
	ours = claim_row_parse(&row, &claim) && claim.phase == CLAIM_RUNNING &&
	       strcmp(claim.token, t->token) == 0;
	rc = ours ? platform_delete(c->gate->platform, t->key, row.version, &err) : 0;
	table_row_clear(&row);
	return !rc || err.code == PLATFORM_NOT_FOUND || err.code == PLATFORM_CONFLICT;
}

/* A conflict means that an earlier attempt took effect: no other instance changes the row. */
static bool task_write(struct control *c, const struct claim_task *t)
{
	struct error err = { 0 };

	if (!t->value)
		return claim_row_delete(c, t);
	return platform_put(c->gate->platform, t->key, t->value, t->version, NULL, NULL, &err) ==
		       0 ||
	       err.code == PLATFORM_CONFLICT;
}

static struct claim_task *task_take_due(struct control *c, int64_t now)
{
	struct claim_task **at = &c->tasks;
	struct claim_task *t;

	pthread_mutex_lock(&c->lock);
	while (*at && (*at)->next_ms > now)
		at = &(*at)->next;
	t = *at;
	if (t)
		*at = t->next;
	pthread_mutex_unlock(&c->lock);
	return t;
}

static void task_destroy(struct claim_task *t)
{
	json_decref(t->value);
	free(t);
}

static bool has_tasks(struct control *c)
{
	return c->tasks;
}

int control_claims_run(void *ctx, struct error *err)
{
	struct control *c = ctx;
	struct claim_task *t;

	while (control_wait_for_work(c, has_tasks, clock_boot_ms() + IDLE_MS, LOOP_MS)) {
		while (!child_is_stopping() && (t = task_take_due(c, clock_boot_ms()))) {
			if (task_write(c, t)) {
				own_claim_remove(c, t->token);
				task_destroy(t);
				continue;
			}
			t->next_ms = clock_boot_ms() + RETRY_MS;
			task_queue(c, t);
		}
		child_account_cpu();
	}
	return 0;
}

void control_claims_clear(struct control *c)
{
	while (c->tasks) {
		struct claim_task *t = c->tasks;

		c->tasks = t->next;
		task_destroy(t);
	}
	while (c->own_claims)
		own_claim_remove(c, c->own_claims->token);
}

/*
 * The first write is attempted before the caller receives its response. Otherwise a retry at an
 * instance that considers this one dead could find the claim still running, and would have to
 * report the outcome as unknown.
 */
void claim_store(struct control *c, struct claim_ticket *t, json_t *value)
{
	struct claim_task *task = task_create(t->key, t->token, t->version, value);

	own_claim_set_phase(c, t->token, OWN_CLAIMED, OWN_STORING);
	own_claim_set_phase(c, t->token, OWN_DISPATCHED, OWN_STORING);
	if (!platform_down_since_ms(c->gate->platform) && task_write(c, task)) {
		own_claim_remove(c, t->token);
		task_destroy(task);
		return;
	}
	task_queue(c, task);
}
