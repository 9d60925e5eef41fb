#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/common/supervisor.h"

#define LOOP_MS 100
#define CANDIDATE_READ_MS 1000
/* Limit on the release at shutdown; a lease that is not released by then expires with its term. */
#define RELEASE_LIMIT_MS 1000
/* Instances that may not acquire the lease read it less often, to keep the table's load low. */
#define OBSERVER_READ_MS 3000
/*
 * After this time without a change to the row any instance of the data centre may acquire the
 * lease, because the delegate is evidently unable to write.
 */
#define TAKEOVER_BY_ANY_MS (LEASE_TERM_MS + 4000)

static struct lease_slot *lease_slot_find(struct control *c, const char *dc)
{
	for (int i = 0; i < c->lease_count; i++) {
		if (strcmp(c->leases[i].dc, dc) == 0)
			return &c->leases[i];
	}
	return NULL;
}

bool control_lease_is_held(struct control *c, const char *dc, int64_t *fencing)
{
	struct lease_slot *s;
	bool held;

	pthread_mutex_lock(&c->lock);
	s = lease_slot_find(c, dc);
	held = s && !atomic_load(&c->has_left) && lease_is_held(&s->lease, clock_boot_ms());
	if (held && fencing)
		*fencing = s->lease.fencing;
	pthread_mutex_unlock(&c->lock);
	return held;
}

bool control_lease_is_held_with(struct control *c, const char *dc, int64_t fencing)
{
	struct lease_slot *s;
	bool held;

	pthread_mutex_lock(&c->lock);
	s = lease_slot_find(c, dc);
	held = s && !atomic_load(&c->has_left) &&
	       lease_is_held_with(&s->lease, fencing, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	return held;
}

/*
 * An earlier holder is settled once it has released the lease, has left the platform's list, or
 * runs as a new process.
 */
static bool holder_is_settled(const struct control *c, const struct unsettled_holder *u)
{
	const struct member *m = member_find(c->members, u->id);

	if (strcmp(u->id, c->settings->instance.id) == 0)
		return u->incarnation != c->gate->incarnation;
	if (m && m->incarnation > u->incarnation)
		return true;
	return c->listed_ms && !control_instance_is_listed(c, u->id);
}

static void unsettled_prune(struct control *c, struct lease_slot *s)
{
	int kept = 0;

	for (int i = 0; i < s->unsettled_count; i++) {
		if (!holder_is_settled(c, &s->unsettled[i]))
			s->unsettled[kept++] = s->unsettled[i];
	}
	s->unsettled_count = kept;
}

bool control_lease_is_settled(struct control *c, const char *dc)
{
	struct lease_slot *s;
	bool settled;

	pthread_mutex_lock(&c->lock);
	s = lease_slot_find(c, dc);
	if (s)
		unsettled_prune(c, s);
	settled = s && !s->unsettled_count && !s->overflow;
	pthread_mutex_unlock(&c->lock);
	return settled;
}

static void unsettled_add(struct lease_slot *s, const char *id, uint64_t incarnation)
{
	struct unsettled_holder *u;

	for (int i = 0; i < s->unsettled_count; i++) {
		if (strcmp(s->unsettled[i].id, id) == 0 &&
		    s->unsettled[i].incarnation == incarnation)
			return;
	}
	if (s->unsettled_count == CONTROL_UNSETTLED_MAX) {
		s->overflow = true;
		return;
	}
	u = &s->unsettled[s->unsettled_count++];
	u->incarnation = incarnation;
	str_copy(u->id, sizeof(u->id), str_from(id));
}

static json_t *row_json(const struct lease_slot *s, const struct lease_row *row)
{
	json_t *list = json_array();
	json_t *o = json_object();

	for (int i = 0; i < s->unsettled_count; i++)
		json_array_append_new(list, json_pack("{s:s,s:I}", "holder", s->unsettled[i].id,
						      "incarnation",
						      (json_int_t)s->unsettled[i].incarnation));
	json_object_set_new(o, "holder", json_string(row->holder));
	json_object_set_new(o, "incarnation", json_integer((json_int_t)row->incarnation));
	json_object_set_new(o, "token", json_string(row->token));
	json_object_set_new(o, "fencing", json_integer(s->lease.fencing));
	json_object_set_new(o, "unsettled", list);
	json_object_set_new(o, "overflow", json_boolean(s->overflow));
	return o;
}

static bool row_parse(const struct table_row *in, struct lease_row *out)
{
	*out = (struct lease_row){
		.version = in->version,
		.incarnation = (uint64_t)json_get_i64(in->value, "incarnation", 0),
	};
	return json_is_object(in->value) &&
	       str_copy(out->holder, sizeof(out->holder), json_get_str(in->value, "holder")) &&
	       str_copy(out->token, sizeof(out->token), json_get_str(in->value, "token"));
}

/* Reads the holders that did not release the lease from a row, including the current holder. */
static void unsettled_parse(struct control *c, struct lease_slot *s, const struct table_row *row)
{
	const json_t *list = json_object_get(row->value, "unsettled");
	const char *holder = json_get_cstr(row->value, "holder", "");
	const json_t *o;
	size_t i;

	s->unsettled_count = 0;
	s->overflow = json_get_bool(row->value, "overflow", false);
	json_array_foreach(list, i, o)
		unsettled_add(s, json_get_cstr(o, "holder", ""),
			      (uint64_t)json_get_i64(o, "incarnation", 0));
	if (holder[0])
		unsettled_add(s, holder, (uint64_t)json_get_i64(row->value, "incarnation", 0));
	unsettled_prune(c, s);
	/* This process keeps track of its own orders. */
	for (int k = 0; k < s->unsettled_count; k++) {
		if (strcmp(s->unsettled[k].id, c->settings->instance.id) == 0 &&
		    s->unsettled[k].incarnation == c->gate->incarnation)
			s->unsettled[k--] = s->unsettled[--s->unsettled_count];
	}
}

static bool member_is_self(const struct control *c, const struct member *m)
{
	return m && strcmp(m->id, c->settings->instance.id) == 0;
}

static const struct member *lowest_live_member(const struct control *c)
{
	const struct member *best = NULL;

	for (int i = 0; i < member_count(c->members); i++) {
		const struct member *m = member_at(c->members, i);

		if (m->state == MEMBER_LIVE && (!best || strcmp(m->id, best->id) < 0))
			best = m;
	}
	return best;
}

static bool dc_has_jobs(const struct control *c, const char *dc)
{
	for (int i = 0; i < CONTROL_JOBS_MAX; i++) {
		if (c->jobs[i].used && strcmp(c->jobs[i].dc, dc) == 0)
			return true;
	}
	return false;
}

static bool lease_is_eligible(const struct control *c, const struct lease_slot *s, int64_t now)
{
	bool own = strcmp(s->dc, c->settings->instance.dc) == 0;

	if (atomic_load(&c->has_left) || atomic_load(&c->gate->state) != GATE_READY)
		return false;
	if (lease_is_held(&s->lease, now))
		return true;
	if (own)
		return member_is_self(c, member_find_delegate(c->members, s->dc)) ||
		       (s->lease.row_known && now - s->lease.row_changed_ms > TAKEOVER_BY_ANY_MS);
	return member_count_live(c->members, s->dc) == 0 &&
	       member_is_self(c, lowest_live_member(c));
}

/* The lease of another data centre is released once that data centre has live instances. */
static bool lease_is_to_return(const struct control *c, const struct lease_slot *s, int64_t now)
{
	return strcmp(s->dc, c->settings->instance.dc) != 0 && lease_is_held(&s->lease, now) &&
	       member_count_live(c->members, s->dc) > 0 && !dc_has_jobs(c, s->dc);
}

static void lease_change_record(struct lease_slot *s, int64_t now)
{
	int64_t fencing = lease_is_held(&s->lease, now) ? s->lease.fencing : 0;

	if (fencing == s->fencing)
		return;
	if (fencing) {
		s->intents_pending = true;
		/* A model load ordered by the earlier holder may have ended just now. */
		s->models_settled_ms = now + CONTROL_MODEL_SETTLE_MS;
		log_info("lease-acquired", "dc=%s fencing=%" PRId64, s->dc, fencing);
		event_record("lease-acquired", NULL, NULL, NULL, "dc=%s fencing=%" PRId64, s->dc,
			     fencing);
	} else {
		metric_add(METRIC_LEASE_LOST, 1);
		log_warn("lease-lost", "dc=%s fencing=%" PRId64, s->dc, s->fencing);
		event_record("lease-lost", NULL, NULL, NULL, "dc=%s fencing=%" PRId64, s->dc,
			     s->fencing);
	}
	s->fencing = fencing;
}

static void lease_result_apply(struct control *c, int i, enum lease_result result,
			       const struct table_row *row, const struct lease_row *parsed)
{
	struct lease_slot *s = &c->leases[i];
	int64_t now = clock_boot_ms();

	pthread_mutex_lock(&c->lock);
	lease_handle_result(&s->lease, result, parsed, now);
	if (row && row->value && !s->lease.fencing)
		unsettled_parse(c, s, row);
	lease_change_record(s, now);
	pthread_mutex_unlock(&c->lock);
}

static void lease_row_fetch(struct control *c, int i, const char *key)
{
	struct table_row row = { 0 };
	struct lease_row parsed;
	struct error err = { 0 };

	if (platform_get(c->gate->platform, key, &row, &err))
		lease_result_apply(
			c, i, err.code == PLATFORM_NOT_FOUND ? LEASE_READ_NONE : LEASE_READ_FAILED,
			NULL, NULL);
	else if (!row_parse(&row, &parsed))
		lease_result_apply(c, i, LEASE_READ_FAILED, NULL, NULL);
	else
		lease_result_apply(c, i, LEASE_READ_OK, &row, &parsed);
	table_row_clear(&row);
}

static void lease_row_write(struct control *c, int i, const char *key, const struct lease_action *a,
			    const json_t *value)
{
	struct lease_row written = a->row;
	struct table_row current = { 0 };
	struct lease_row parsed;
	struct error err = { 0 };

	if (platform_put(c->gate->platform, key, value, a->if_version, &written.version, &current,
			 &err) == 0)
		lease_result_apply(c, i, LEASE_WRITE_OK, NULL, &written);
	else if (err.code == PLATFORM_CONFLICT)
		lease_result_apply(c, i, LEASE_WRITE_CONFLICT, &current,
				   current.value && row_parse(&current, &parsed) ? &parsed : NULL);
	else if (err.code == PLATFORM_UNAVAILABLE)
		lease_result_apply(c, i, LEASE_WRITE_NOT_SENT, NULL, NULL);
	else
		lease_result_apply(c, i, LEASE_WRITE_UNCERTAIN, NULL, NULL);
	table_row_clear(&current);
}

static void lease_key(char *out, size_t size, const char *dc)
{
	snprintf(out, size, "lease/%s", dc);
}

static void lease_slot_step(struct control *c, int i)
{
	struct lease_slot *s = &c->leases[i];
	int64_t now = clock_boot_ms();
	struct lease_action a = { .kind = LEASE_DO_NOTHING };
	json_t *value = NULL;
	char token[24];
	char key[64];
	bool is_allowed;

	control_token_create(token);
	lease_key(key, sizeof(key), s->dc);
	pthread_mutex_lock(&c->lock);
	lease_change_record(s, now);
	is_allowed = lease_is_eligible(c, s, now);
	if (lease_is_to_return(c, s, now))
		lease_release(&s->lease, token, now, &a);
	else if (now >= s->next_ms || s->lease.phase != LEASE_FOLLOWING)
		a = lease_next_action(&s->lease, is_allowed, token, now);
	if (a.kind != LEASE_DO_NOTHING)
		s->next_ms = now + (is_allowed ? CANDIDATE_READ_MS : OBSERVER_READ_MS);
	if (a.kind == LEASE_DO_WRITE) {
		unsettled_prune(c, s);
		value = row_json(s, &a.row);
	}
	pthread_mutex_unlock(&c->lock);
	if (a.kind == LEASE_DO_READ)
		lease_row_fetch(c, i, key);
	else if (a.kind == LEASE_DO_WRITE)
		lease_row_write(c, i, key, &a, value);
	json_decref(value);
}

static void lease_slot_add(struct control *c, const char *dc)
{
	struct lease_slot *s;

	pthread_mutex_lock(&c->lock);
	if (dc[0] && !lease_slot_find(c, dc) && c->lease_count < CONTROL_LEASES_MAX) {
		s = &c->leases[c->lease_count];
		*s = (struct lease_slot){ 0 };
		str_copy(s->dc, sizeof(s->dc), str_from(dc));
		lease_init(&s->lease, c->settings->instance.id, c->gate->incarnation);
		c->lease_count++;
	}
	pthread_mutex_unlock(&c->lock);
}

static void lease_slots_update(struct control *c)
{
	int n;
	struct endpoint_status *all = fleet_statuses_copy(c->fleet, &n);

	for (int i = 0; i < n; i++)
		lease_slot_add(c, all[i].info.dc);
	free(all);
}

int control_lease_run(void *ctx, struct error *err)
{
	struct control *c = ctx;
	unsigned int loops = 0;

	lease_slot_add(c, c->settings->instance.dc);
	while (!child_sleep_ms(LOOP_MS)) {
		if (loops++ % 20 == 0)
			lease_slots_update(c);
		for (int i = 0; i < c->lease_count && !child_is_stopping(); i++)
			lease_slot_step(c, i);
		child_account_cpu();
	}
	return 0;
}

/*
 * Return: true when the lease needs no further attempt to release it, false while a write by the
 * lease child is pending.
 */
static bool lease_slot_release(struct control *c, int i)
{
	struct lease_slot *s = &c->leases[i];
	struct lease_action a;
	json_t *value = NULL;
	char token[24];
	char key[64];
	bool pending;

	control_token_create(token);
	lease_key(key, sizeof(key), s->dc);
	pthread_mutex_lock(&c->lock);
	pending = s->lease.phase == LEASE_WRITING || s->lease.phase == LEASE_UNCERTAIN;
	/* While a drain runs an order may be in flight, so the lease is left to expire. */
	if (!pending && !dc_has_jobs(c, s->dc) &&
	    lease_release(&s->lease, token, clock_boot_ms(), &a)) {
		value = row_json(s, &a.row);
		s->fencing = 0;
	}
	pthread_mutex_unlock(&c->lock);
	if (value)
		lease_row_write(c, i, key, &a, value);
	json_decref(value);
	return !pending;
}

void control_lease_release_all(struct control *c)
{
	int64_t limit = clock_boot_ms() + RELEASE_LIMIT_MS;
	int count;

	pthread_mutex_lock(&c->lock);
	count = c->lease_count;
	pthread_mutex_unlock(&c->lock);
	for (int i = 0; i < count; i++) {
		while (clock_boot_ms() < limit && !lease_slot_release(c, i))
			clock_sleep_ms(20);
	}
}
