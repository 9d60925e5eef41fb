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
#define READ_MS 1000
/* What is not released by then lapses with its term. */
#define RELEASE_LIMIT_MS 1000
/* Instances that are not next in line only watch, which keeps reads low at the target. */
#define WATCH_MS 3000
/* After this time without a change the row is open to any instance: its delegate can't write. */
#define OPEN_TO_ALL_MS (LEASE_TERM_MS + 4000)

static struct lease_slot *slot_find(struct control *c, const char *dc)
{
	for (int i = 0; i < c->lease_count; i++) {
		if (strcmp(c->leases[i].dc, dc) == 0)
			return &c->leases[i];
	}
	return NULL;
}

bool control_lease_held(struct control *c, const char *dc, int64_t *fencing)
{
	struct lease_slot *s;
	bool held;

	pthread_mutex_lock(&c->lock);
	s = slot_find(c, dc);
	held = s && !atomic_load(&c->left) && lease_held(&s->lease, clock_boot_ms());
	if (held && fencing)
		*fencing = s->lease.fencing;
	pthread_mutex_unlock(&c->lock);
	return held;
}

bool control_lease_held_as(struct control *c, const char *dc, int64_t fencing)
{
	struct lease_slot *s;
	bool held;

	pthread_mutex_lock(&c->lock);
	s = slot_find(c, dc);
	held = s && !atomic_load(&c->left) && lease_held_as(&s->lease, fencing, clock_boot_ms());
	pthread_mutex_unlock(&c->lock);
	return held;
}

/* A holder is settled once it released, left the platform's list, or runs as a new process. */
static bool unsettled_gone(const struct control *c, const struct unsettled *u)
{
	const struct member *m = member_find(c->members, u->id);

	if (strcmp(u->id, c->settings->instance.id) == 0)
		return u->incarnation != c->gate->incarnation;
	if (m && m->incarnation > u->incarnation)
		return true;
	return c->listed_ms && !control_listed(c, u->id);
}

static void prune(struct control *c, struct lease_slot *s)
{
	int kept = 0;

	for (int i = 0; i < s->unsettled_count; i++) {
		if (!unsettled_gone(c, &s->unsettled[i]))
			s->unsettled[kept++] = s->unsettled[i];
	}
	s->unsettled_count = kept;
}

bool control_lease_settled(struct control *c, const char *dc)
{
	struct lease_slot *s;
	bool settled;

	pthread_mutex_lock(&c->lock);
	s = slot_find(c, dc);
	if (s)
		prune(c, s);
	settled = s && !s->unsettled_count && !s->overflow;
	pthread_mutex_unlock(&c->lock);
	return settled;
}

static void add_unsettled(struct lease_slot *s, const char *id, uint64_t incarnation)
{
	struct unsettled *u;

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

/* Takes the holders that did not release from a row; the row's own holder is one of them. */
static void learn_unsettled(struct control *c, struct lease_slot *s, const struct table_row *row)
{
	const json_t *list = json_object_get(row->value, "unsettled");
	const char *holder = json_get_cstr(row->value, "holder", "");
	const json_t *o;
	size_t i;

	s->unsettled_count = 0;
	s->overflow = json_get_bool(row->value, "overflow", false);
	json_array_foreach(list, i, o)
		add_unsettled(s, json_get_cstr(o, "holder", ""),
			      (uint64_t)json_get_i64(o, "incarnation", 0));
	if (holder[0])
		add_unsettled(s, holder, (uint64_t)json_get_i64(row->value, "incarnation", 0));
	prune(c, s);
	/* This process knows what it has sent itself. */
	for (int k = 0; k < s->unsettled_count; k++) {
		if (strcmp(s->unsettled[k].id, c->settings->instance.id) == 0 &&
		    s->unsettled[k].incarnation == c->gate->incarnation)
			s->unsettled[k--] = s->unsettled[--s->unsettled_count];
	}
}

static bool self_is(const struct control *c, const struct member *m)
{
	return m && strcmp(m->id, c->settings->instance.id) == 0;
}

static const struct member *lowest_live(const struct control *c)
{
	const struct member *best = NULL;

	for (int i = 0; i < member_count(c->members); i++) {
		const struct member *m = member_at(c->members, i);

		if (m->state == MEMBER_LIVE && (!best || strcmp(m->id, best->id) < 0))
			best = m;
	}
	return best;
}

static bool jobs_in(const struct control *c, const char *dc)
{
	for (int i = 0; i < CONTROL_JOBS_MAX; i++) {
		if (c->jobs[i].used && strcmp(c->jobs[i].dc, dc) == 0)
			return true;
	}
	return false;
}

static bool eligible(const struct control *c, const struct lease_slot *s, int64_t now)
{
	bool own = strcmp(s->dc, c->settings->instance.dc) == 0;

	if (atomic_load(&c->left) || atomic_load(&c->gate->state) != GATE_READY)
		return false;
	if (lease_held(&s->lease, now))
		return true;
	if (own)
		return self_is(c, member_delegate(c->members, s->dc)) ||
		       (s->lease.seen_any && now - s->lease.seen_ms > OPEN_TO_ALL_MS);
	return member_live(c->members, s->dc) == 0 && self_is(c, lowest_live(c));
}

/* Leases of other data centres go back to their own instances once there are some. */
static bool to_give_back(const struct control *c, const struct lease_slot *s, int64_t now)
{
	return strcmp(s->dc, c->settings->instance.dc) != 0 && lease_held(&s->lease, now) &&
	       member_live(c->members, s->dc) > 0 && !jobs_in(c, s->dc);
}

static void note_change(struct lease_slot *s, int64_t now)
{
	int64_t fencing = lease_held(&s->lease, now) ? s->lease.fencing : 0;

	if (fencing == s->fencing)
		return;
	if (fencing) {
		s->load_intents = true;
		/* An earlier holder may have ended a load just now. */
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

static void report(struct control *c, int i, enum lease_result result, const struct table_row *row,
		   const struct lease_row *parsed)
{
	struct lease_slot *s = &c->leases[i];
	int64_t now = clock_boot_ms();

	pthread_mutex_lock(&c->lock);
	lease_report(&s->lease, result, parsed, now);
	if (row && row->value && !s->lease.fencing)
		learn_unsettled(c, s, row);
	note_change(s, now);
	pthread_mutex_unlock(&c->lock);
}

static void do_read(struct control *c, int i, const char *key)
{
	struct table_row row = { 0 };
	struct lease_row parsed;
	struct error err = { 0 };

	if (platform_get(c->gate->platform, key, &row, &err))
		report(c, i, err.code == PLATFORM_NOT_FOUND ? LEASE_READ_NONE : LEASE_READ_FAILED,
		       NULL, NULL);
	else if (!row_parse(&row, &parsed))
		report(c, i, LEASE_READ_FAILED, NULL, NULL);
	else
		report(c, i, LEASE_READ_OK, &row, &parsed);
	table_row_clear(&row);
}

static void do_write(struct control *c, int i, const char *key, const struct lease_action *a,
		     const json_t *value)
{
	struct lease_row written = a->row;
	struct table_row current = { 0 };
	struct lease_row parsed;
	struct error err = { 0 };

	if (platform_put(c->gate->platform, key, value, a->if_version, &written.version, &current,
			 &err) == 0)
		report(c, i, LEASE_WRITE_OK, NULL, &written);
	else if (err.code == PLATFORM_CONFLICT)
		report(c, i, LEASE_WRITE_CONFLICT, &current,
		       current.value && row_parse(&current, &parsed) ? &parsed : NULL);
	else if (err.code == PLATFORM_UNAVAILABLE)
		report(c, i, LEASE_WRITE_NOT_SENT, NULL, NULL);
	else
		report(c, i, LEASE_WRITE_DOUBTFUL, NULL, NULL);
	table_row_clear(&current);
}

static void lease_key(char *out, size_t size, const char *dc)
{
	snprintf(out, size, "lease/%s", dc);
}

static void step(struct control *c, int i)
{
	struct lease_slot *s = &c->leases[i];
	int64_t now = clock_boot_ms();
	struct lease_action a = { .kind = LEASE_DO_NOTHING };
	json_t *value = NULL;
	char token[24];
	char key[64];
	bool may;

	control_token(token);
	lease_key(key, sizeof(key), s->dc);
	pthread_mutex_lock(&c->lock);
	note_change(s, now);
	may = eligible(c, s, now);
	if (to_give_back(c, s, now))
		lease_release(&s->lease, token, now, &a);
	else if (now >= s->next_ms || s->lease.phase != LEASE_FOLLOWING)
		a = lease_next(&s->lease, may, token, now);
	if (a.kind != LEASE_DO_NOTHING)
		s->next_ms = now + (may ? READ_MS : WATCH_MS);
	if (a.kind == LEASE_DO_WRITE) {
		prune(c, s);
		value = row_json(s, &a.row);
	}
	pthread_mutex_unlock(&c->lock);
	if (a.kind == LEASE_DO_READ)
		do_read(c, i, key);
	else if (a.kind == LEASE_DO_WRITE)
		do_write(c, i, key, &a, value);
	json_decref(value);
}

static void add_slot(struct control *c, const char *dc)
{
	struct lease_slot *s;

	pthread_mutex_lock(&c->lock);
	if (dc[0] && !slot_find(c, dc) && c->lease_count < CONTROL_LEASES_MAX) {
		s = &c->leases[c->lease_count];
		*s = (struct lease_slot){ 0 };
		str_copy(s->dc, sizeof(s->dc), str_from(dc));
		lease_init(&s->lease, c->settings->instance.id, c->gate->incarnation);
		c->lease_count++;
	}
	pthread_mutex_unlock(&c->lock);
}

static void add_slots(struct control *c)
{
	int n;
	struct endpoint_status *all = fleet_statuses(c->fleet, &n);

	for (int i = 0; i < n; i++)
		add_slot(c, all[i].info.dc);
	free(all);
}

int control_lease_run(void *ctx, struct error *err)
{
	struct control *c = ctx;
	unsigned int loops = 0;

	add_slot(c, c->settings->instance.dc);
	while (!child_sleep_ms(LOOP_MS)) {
		if (loops++ % 20 == 0)
			add_slots(c);
		for (int i = 0; i < c->lease_count && !child_stopping(); i++)
			step(c, i);
		child_account_cpu();
	}
	return 0;
}

/* Return: true when there is nothing left to do, false while a call of the lease child runs. */
static bool release(struct control *c, int i)
{
	struct lease_slot *s = &c->leases[i];
	struct lease_action a;
	json_t *value = NULL;
	char token[24];
	char key[64];
	bool pending;

	control_token(token);
	lease_key(key, sizeof(key), s->dc);
	pthread_mutex_lock(&c->lock);
	pending = s->lease.phase == LEASE_WRITING || s->lease.phase == LEASE_DOUBTFUL;
	/* With a drain under way an order may be on its way, so the term has to run out. */
	if (!pending && !jobs_in(c, s->dc) &&
	    lease_release(&s->lease, token, clock_boot_ms(), &a)) {
		value = row_json(s, &a.row);
		s->fencing = 0;
	}
	pthread_mutex_unlock(&c->lock);
	if (value)
		do_write(c, i, key, &a, value);
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
		while (clock_boot_ms() < limit && !release(c, i))
			clock_sleep_ms(20);
	}
}
