#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control_impl.h"
#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/metrics.h"

#define WAIT_FIRST_MS 10
#define WAIT_MAX_MS 250
/* Delay before a write that was provably not sent is retried, once. */
#define UNSENT_RETRY_MS 50

/* Queries between instances about the state of a claim. */

static enum claim_answer claim_query_answer(struct control *c, const char *key, const char *token)
{
	if (own_claim_exists(c, token))
		return CLAIM_ANSWER_RUNNING;
	/*
	 * Either the write of the row had an unknown outcome and its call was given up, or the
	 * outcome of the call is in the table already. The deletion reads the row again and only
	 * removes it in the first case.
	 */
	claim_task_add(c, key, token, 0, NULL);
	return CLAIM_ANSWER_NEVER_DISPATCHED;
}

void control_on_claim(struct control *c, const struct peer_message *m)
{
	struct peer_message *reply;
	struct claim_answer_entry *entry;

	if (m->kind == PEER_CLAIM_STATE) {
		pthread_mutex_lock(&c->lock);
		entry = &c->claim_answers[c->claim_answer_next++ % CONTROL_CLAIM_ANSWERS_MAX];
		str_copy(entry->token, sizeof(entry->token), str_from(m->u.claim.token));
		entry->answer = m->u.claim.answer;
		pthread_mutex_unlock(&c->lock);
		return;
	}
	reply = peer_message_create(PEER_CLAIM_STATE);
	reply->u.claim = m->u.claim;
	reply->u.claim.answer = claim_query_answer(c, m->u.claim.key, m->u.claim.token);
	control_send(c, m->sender, reply);
	peer_message_destroy(reply);
}

static bool owner_never_dispatched(struct control *c, const char *token)
{
	bool never = false;

	for (int i = 0; i < CONTROL_CLAIM_ANSWERS_MAX; i++) {
		const struct claim_answer_entry *n = &c->claim_answers[i];

		if (n->token[0] && strcmp(n->token, token) == 0)
			never = n->answer == CLAIM_ANSWER_NEVER_DISPATCHED;
	}
	return never;
}

static enum claim_owner_status claim_owner_from_members(struct control *c,
							const struct claim_row *row)
{
	const struct member *m = member_find(c->members, row->owner);

	if (owner_never_dispatched(c, row->token))
		return CLAIM_OWNER_NEVER_DISPATCHED;
	if (!m || !m->incarnation)
		return c->listed_ms && !control_instance_is_listed(c, row->owner)
			       ? CLAIM_OWNER_GONE
			       : CLAIM_OWNER_UNREACHABLE;
	if (m->incarnation > row->incarnation || m->state == MEMBER_GONE)
		return CLAIM_OWNER_GONE;
	return m->state == MEMBER_SUSPECT ? CLAIM_OWNER_UNREACHABLE : CLAIM_OWNER_LIVE;
}

static void claim_owner_query(struct control *c, const char *key, const struct claim_row *row)
{
	struct peer_message *m = peer_message_create(PEER_CLAIM_QUERY);

	str_copy(m->u.claim.key, sizeof(m->u.claim.key), str_from(key));
	str_copy(m->u.claim.token, sizeof(m->u.claim.token), str_from(row->token));
	control_send(c, row->owner, m);
	peer_message_destroy(m);
}

static enum claim_owner_status claim_owner_state(struct control *c, const char *key,
						 const struct claim_row *row)
{
	enum claim_owner_status owner;

	if (row->phase != CLAIM_RUNNING)
		return CLAIM_OWNER_LIVE;
	if (strcmp(row->owner, c->settings->instance.id) == 0) {
		if (row->incarnation != c->gate->incarnation)
			return CLAIM_OWNER_GONE;
		return claim_query_answer(c, key, row->token) == CLAIM_ANSWER_RUNNING
			       ? CLAIM_OWNER_LIVE
			       : CLAIM_OWNER_NEVER_DISPATCHED;
	}
	pthread_mutex_lock(&c->lock);
	owner = claim_owner_from_members(c, row);
	pthread_mutex_unlock(&c->lock);
	if (owner == CLAIM_OWNER_LIVE)
		claim_owner_query(c, key, row);
	return owner;
}

/* Claiming a call. */

/**
 * struct claim_progress - state of one claim_begin()
 * @sent: a write of this call may have created the row
 * @exists: the row of another call has been seen
 * @read_failed_since_ms: when reads of the table began to fail, boot clock; 0 while they succeed
 */
struct claim_progress {
	bool sent;
	bool exists;
	int64_t read_failed_since_ms;
};

static enum claim_verdict claim_row_write(struct control *c, struct claim_ticket *t,
					  struct claim_progress *s)
{
	json_t *value = claim_row_json(c, t, CLAIM_RUNNING);
	struct error err = { 0 };
	enum claim_write w = CLAIM_WRITE_OK;

	metric_add(METRIC_CLAIMS, 1);
	if (platform_put(c->gate->platform, t->key, value, TABLE_MUST_NOT_EXIST, &t->version, NULL,
			 &err)) {
		w = CLAIM_WRITE_UNCERTAIN;
		if (err.code == PLATFORM_UNAVAILABLE)
			w = CLAIM_WRITE_FAILED;
		else if (err.code == PLATFORM_CONFLICT)
			w = CLAIM_WRITE_EXISTS;
	}
	json_decref(value);
	if (w == CLAIM_WRITE_UNCERTAIN && mechanism_is_disabled(MECHANISM_CLAIM_READ_BACK))
		return CLAIM_DISPATCH;
	s->exists = s->exists || (w == CLAIM_WRITE_EXISTS && !s->sent);
	s->sent = s->sent || w == CLAIM_WRITE_UNCERTAIN;
	/* An earlier write with unknown outcome may have created the row. */
	if (w == CLAIM_WRITE_FAILED && (s->sent || s->exists))
		return CLAIM_RETRY;
	return claim_verdict_after_write(w);
}

static void claim_result_copy(struct claim_ticket *t, const struct claim_row *row)
{
	metric_add(METRIC_CLAIM_REPLAYS, 1);
	t->status = row->status;
	buf_append_str(&t->result, row->result);
}

/*
 * Reads are retried for one platform timeout, not up to the deadline of the call. While no row of
 * another call has been seen, no instance can have dispatched the call, so "not run" is correct.
 * claim_begin() deletes the row that a write with unknown outcome may have left.
 */
static enum claim_verdict claim_read_failed(struct control *c, struct claim_progress *s,
					    int64_t deadline_ms)
{
	int64_t now = clock_boot_ms();

	if (!s->read_failed_since_ms)
		s->read_failed_since_ms = now;
	if (now < deadline_ms && now - s->read_failed_since_ms < c->settings->platform.timeout_ms)
		return CLAIM_WAIT;
	return s->exists ? CLAIM_REPORT_UNKNOWN : CLAIM_REPORT_NOT_RUN;
}

/* @found: out: a row may exist. Return: the verdict that the row, or its absence, leads to. */
static enum claim_verdict claim_row_read(struct control *c, struct claim_ticket *t,
					 struct claim_progress *s, int64_t deadline_ms, bool *found)
{
	int64_t now = clock_boot_ms();
	struct table_row row;
	struct claim_row claim;
	struct error err = { 0 };
	enum claim_verdict v;

	*found = false;
	if (platform_get(c->gate->platform, t->key, &row, &err)) {
		*found = err.code != PLATFORM_NOT_FOUND;
		if (*found)
			return claim_read_failed(c, s, deadline_ms);
		s->read_failed_since_ms = 0;
		s->exists = false;
		return claim_verdict_after_read(NULL, NULL, t->fingerprint,
						c->settings->instance.id, c->gate->incarnation,
						CLAIM_OWNER_GONE, now, deadline_ms);
	}
	s->read_failed_since_ms = 0;
	*found = true;
	if (!claim_row_parse(&row, &claim)) {
		table_row_clear(&row);
		return CLAIM_REPORT_UNKNOWN;
	}
	s->exists = strcmp(claim.token, t->token) != 0;
	v = claim_verdict_after_read(&claim, s->sent ? t->token : NULL, t->fingerprint,
				     c->settings->instance.id, c->gate->incarnation,
				     claim_owner_state(c, t->key, &claim), now, deadline_ms);
	if (v == CLAIM_DISPATCH)
		t->version = row.version;
	else if (v == CLAIM_REPLAY)
		claim_result_copy(t, &claim);
	table_row_clear(&row);
	return v;
}

static void claim_ticket_init(struct claim_ticket *t, const char *organisation, const char *service,
			      struct str idempotency_key, struct str body)
{
	char hash[HASH_HEX_SIZE];
	int len;

	*t = (struct claim_ticket){ .verdict = CLAIM_REPORT_NOT_RUN };
	hash_secret_hex(idempotency_key, hash);
	hash_secret_hex(body, t->fingerprint);
	len = snprintf(t->key, sizeof(t->key), "claim/%s/%s/%s", organisation, service, hash);
	/* A truncated key could match other calls. */
	if (len < 0 || (size_t)len >= sizeof(t->key))
		t->key[0] = '\0';
	control_token_create(t->token);
}

/* @sent: out: a write of this call may have created the row */
static enum claim_verdict claim_resolve(struct control *c, struct claim_ticket *t,
					int64_t deadline_ms, bool *sent)
{
	struct claim_progress s = { 0 };
	int wait_ms = WAIT_FIRST_MS;
	bool found;
	enum claim_verdict v = claim_row_write(c, t, &s);

	if (v == CLAIM_REPORT_NOT_RUN && clock_boot_ms() + UNSENT_RETRY_MS < deadline_ms) {
		clock_sleep_ms(UNSENT_RETRY_MS);
		v = claim_row_write(c, t, &s);
	}
	while (v == CLAIM_RETRY || v == CLAIM_WAIT) {
		v = claim_row_read(c, t, &s, deadline_ms, &found);
		if (v == CLAIM_RETRY && !found) {
			v = claim_row_write(c, t, &s);
			if (v != CLAIM_RETRY)
				break;
		}
		if (v != CLAIM_RETRY && v != CLAIM_WAIT)
			break;
		clock_sleep_ms(wait_ms);
		wait_ms = wait_ms * 2 < WAIT_MAX_MS ? wait_ms * 2 : WAIT_MAX_MS;
	}
	*sent = s.sent;
	return v;
}

void claim_begin(struct control *c, const char *organisation, const char *service,
		 struct str idempotency_key, struct str body, int64_t deadline_ms,
		 struct claim_ticket *out)
{
	bool sent;

	claim_ticket_init(out, organisation, service, idempotency_key, body);
	if (!out->key[0] || !own_claim_add(c, out->token))
		return;
	out->verdict = claim_resolve(c, out, deadline_ms, &sent);
	if (out->verdict == CLAIM_DISPATCH && clock_boot_ms() >= deadline_ms) {
		claim_release(c, out);
		out->verdict = CLAIM_REPORT_NOT_RUN;
	} else if (out->verdict != CLAIM_DISPATCH) {
		own_claim_remove(c, out->token);
		/* The call was not dispatched, so a row with its token must not outlive it. */
		if (sent)
			claim_task_add(c, out->key, out->token, 0, NULL);
	}
	event_record("claim", NULL, NULL, organisation, "service=%s verdict=%d token=%s", service,
		     out->verdict, out->token);
}

bool claim_mark_dispatched(struct control *c, struct claim_ticket *t)
{
	return t->verdict == CLAIM_DISPATCH &&
	       own_claim_set_phase(c, t->token, OWN_CLAIMED, OWN_DISPATCHED);
}

void claim_finish(struct control *c, struct claim_ticket *t, int status, struct str body)
{
	json_t *value;

	/* A result that can't be stored whole can't be replayed. */
	if (body.len > CLAIM_RESULT_MAX || !str_is_utf8(body)) {
		claim_finish_unknown(c, t);
		return;
	}
	value = claim_row_json(c, t, CLAIM_DONE);
	json_object_set_new(value, "status", json_integer(status));
	json_object_set_new(value, "result", json_stringn(body.data ? body.data : "", body.len));
	claim_store(c, t, value);
}

void claim_finish_unknown(struct control *c, struct claim_ticket *t)
{
	claim_store(c, t, claim_row_json(c, t, CLAIM_UNKNOWN));
}

void claim_release(struct control *c, struct claim_ticket *t)
{
	own_claim_set_phase(c, t->token, OWN_CLAIMED, OWN_STORING);
	own_claim_set_phase(c, t->token, OWN_DISPATCHED, OWN_STORING);
	claim_task_add(c, t->key, t->token, t->version, NULL);
}

void claim_ticket_clear(struct claim_ticket *t)
{
	buf_free(&t->result);
}
