#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/duty/duty.h"
#include "ibisgate/platform/store.h"
#include "ibisgate/state/lease.h"

/* Interval between attempts to acquire a lease that another instance holds, in milliseconds. */
#define LEASE_RETRY_MS 1000

/*
 * Interval at which the row is read while nothing needs doing, in milliseconds. Without these
 * reads, waiting for a dead holder's lease to expire would take a whole term once it is needed.
 */
#define LEASE_POLL_MS 3000

/*
 * Where a successor has to act in time, the end of the term is met exactly, and calls that fail are
 * repeated at this interval, in milliseconds.
 */
#define LEASE_CALL_MS 300

/*
 * Where the platform bounds acts of two holders in turns, the term is as short as a renewal every
 * LEASE_RENEW_MS and one slow answer of the store allow, so that a successor acts in time; and it
 * is longer than that bound by this margin. In milliseconds.
 */
#define LEASE_SHORT_TERM_MS 4500
#define LEASE_BOUND_MARGIN_MS 1000

/**
 * struct duty - see duty.h
 * @call: call to the store in flight; @action says what for
 * @released: this instance stops
 */
struct duty {
	const struct duty_host *host;
	char subject[48];
	struct lease lease;
	struct lease_action action;
	struct http_collect *call;
	int64_t called_ms;
	bool released;
};

static void encode_lease(const struct lease_row *row, struct buf *out)
{
	json_t *json = json_pack("{s:s,s:I,s:s}", "holder", row->holder, "incarnation",
				 (json_int_t)row->incarnation, "token", row->token);

	if (row->era)
		json_object_set_new(json, "era", json_integer(row->era));
	json_append(out, json);
	json_decref(json);
}

static void decode_lease(const struct store_row *stored, struct lease_row *row)
{
	json_t *json = json_parse(buf_str(&stored->value));

	*row = (struct lease_row){ .version = stored->version };
	str_copy(row->holder, sizeof(row->holder), json_get_str(json, "holder"));
	str_copy(row->token, sizeof(row->token), json_get_str(json, "token"));
	row->incarnation = (uint64_t)json_get_i64(json, "incarnation", 0);
	row->era = json_get_i64(json, "era", 0);
	json_decref(json);
}

static void log_change(const struct duty *d, const char *change)
{
	log_info("lease", "change=%s subject=%s holder=%s version=%" PRId64 " fencing=%" PRId64,
		 change, d->subject, d->lease.last_row.holder,
		 store_version_number(d->lease.last_row.version), d->lease.fencing);
}

static void era_step(struct duty *d, int64_t now)
{
	const struct store_era *era = d->host->era;

	if (era->number == d->lease.era)
		return;
	lease_era_began(&d->lease, era->number, era->since_ms, now);
	log_change(d, "era");
}

static void write_done(struct duty *d, const struct http_result *r, int64_t now)
{
	struct lease_row row = d->action.row;
	bool held = lease_is_held(&d->lease, now);
	enum row_write result = row_write_result(d->host, r, &row.version);

	era_step(d, now);
	switch (result) {
	case ROW_WRITE_OK:
		lease_handle_result(&d->lease, LEASE_WRITE_OK, &row, now);
		if (!held)
			log_change(d, d->released		      ? "released"
				      : lease_is_held(&d->lease, now) ? "acquired"
								      : "outdated");
		break;
	case ROW_WRITE_CONFLICT:
		/* The next step reads the current row. */
		lease_handle_result(&d->lease, LEASE_WRITE_CONFLICT, NULL, now);
		log_change(d, "conflict");
		break;
	case ROW_WRITE_UNSENT:
		lease_handle_result(&d->lease, LEASE_WRITE_NOT_SENT, NULL, now);
		break;
	case ROW_WRITE_UNCERTAIN:
		lease_handle_result(&d->lease, LEASE_WRITE_UNCERTAIN, NULL, now);
		log_change(d, "doubtful");
		break;
	}
}

static void read_done(struct duty *d, const struct http_result *r, int64_t now)
{
	struct store_rows rows;
	struct lease_row row;
	bool is_read = row_read_result(d->host, r, &rows);

	era_step(d, now);
	if (!is_read) {
		lease_handle_result(&d->lease, LEASE_READ_FAILED, NULL, now);
		return;
	}
	if (rows.count && strcmp(rows.rows[0].key, d->subject) == 0) {
		decode_lease(&rows.rows[0], &row);
		lease_handle_result(&d->lease, LEASE_READ_OK, &row, now);
	} else {
		lease_handle_result(&d->lease, LEASE_READ_NONE, NULL, now);
	}
	store_rows_free(&rows);
}

static void on_result(void *ctx, const struct http_result *r)
{
	struct duty *d = ctx;
	int64_t now = clock_boot_ms();

	d->call = NULL;
	if (d->action.kind == LEASE_DO_WRITE)
		write_done(d, r, now);
	else
		read_done(d, r, now);
}

static void call_store(struct duty *d, int64_t now)
{
	const struct duty_host *h = d->host;
	struct buf request = { 0 };
	struct buf value = { 0 };

	if (d->action.kind == LEASE_DO_WRITE) {
		encode_lease(&d->action.row, &value);
		store_put_encode(&request, h->store_name, DUTY_TABLE, d->subject,
				 d->action.if_version, buf_str(&value));
		metric_add(METRIC_PLATFORM_WRITES, 1);
	} else {
		store_row_read_encode(&request, h->store_name, DUTY_TABLE, d->subject);
		metric_add(METRIC_PLATFORM_READS, 1);
	}
	d->called_ms = now;
	d->call = duty_host_call_store(h, buf_str(&request), on_result, d);
	buf_free(&request);
	buf_free(&value);
}

static void token_make(char token[LEASE_TOKEN_MAX])
{
	snprintf(token, LEASE_TOKEN_MAX, "%016" PRIx64, random_u64());
}

/* The same for a holder that must be succeeded in time. */
static bool timed_call_is_due(const struct duty *d, int64_t now)
{
	const struct lease *l = &d->lease;
	bool is_elsewhere = l->row_known && l->last_row.holder[0] && !l->fencing;

	if (now - d->called_ms < LEASE_CALL_MS)
		return false;
	return !is_elsewhere || now - d->called_ms >= LEASE_RETRY_MS ||
	       now - l->row_changed_ms >= l->term_ms;
}

static bool call_is_due(const struct duty *d, enum duty_wish wish, int64_t now)
{
	switch (wish) {
	case DUTY_IGNORE:
		return false;
	case DUTY_WATCH:
		return !lease_is_held(&d->lease, now) && now - d->called_ms >= LEASE_POLL_MS;
	case DUTY_HOLD:
		break;
	}
	if (d->host->lease_ms)
		return timed_call_is_due(d, now);
	/* Frequent requests don't speed up acquiring a lease that another instance holds. */
	return lease_is_held(&d->lease, now) || now - d->called_ms >= LEASE_RETRY_MS ||
	       !d->lease.row_known || !d->lease.last_row.holder[0];
}

void duty_step(struct duty *d, enum duty_wish wish, int64_t now_ms)
{
	char token[LEASE_TOKEN_MAX];

	era_step(d, now_ms);
	if (d->call || d->released || !call_is_due(d, wish, now_ms))
		return;
	token_make(token);
	d->action = lease_next_action(&d->lease, wish == DUTY_HOLD, token, now_ms);
	if (d->action.kind != LEASE_DO_NOTHING)
		call_store(d, now_ms);
}

bool duty_is_held(const struct duty *d, int64_t margin_ms, int64_t now_ms, int64_t *fencing)
{
	if (fencing)
		*fencing = d->lease.fencing;
	return !d->released && lease_may_act(&d->lease, margin_ms, now_ms);
}

bool duty_is_held_with(const struct duty *d, int64_t fencing, int64_t margin_ms, int64_t now_ms)
{
	return duty_is_held(d, margin_ms, now_ms, NULL) && d->lease.fencing == fencing;
}

int64_t duty_left_ms(const struct duty *d, int64_t now_ms)
{
	return d->lease.valid_until_ms - now_ms;
}

int64_t duty_fencing(const struct duty *d)
{
	return d->lease.fencing;
}

int64_t duty_row_version(const struct duty *d)
{
	return d->lease.last_row.version;
}

void duty_note_row(struct duty *d, const char *id, int64_t version, int64_t now_ms)
{
	lease_note_version(&d->lease, id, version, now_ms);
}

bool duty_held_elsewhere(const struct duty *d)
{
	return d->lease.last_row.holder[0] && strcmp(d->lease.last_row.holder, d->lease.self) != 0;
}

void duty_release(struct duty *d, int64_t now_ms)
{
	char token[LEASE_TOKEN_MAX];

	if (d->released)
		return;
	token_make(token);
	/* With a renewal in flight the release could arrive first; the term ends by itself. */
	if (!d->call && lease_release(&d->lease, token, now_ms, &d->action)) {
		d->released = true;
		call_store(d, now_ms);
	}
	d->released = true;
}

struct duty *duty_create(const struct duty_host *host, const char *subject)
{
	struct duty *d = mem_zalloc(sizeof(*d));

	d->host = host;
	str_copy(d->subject, sizeof(d->subject), str_from(subject));
	lease_init(&d->lease, host->self, host->incarnation);
	if (host->lease_ms) {
		int64_t bound_ms = host->lease_ms + LEASE_BOUND_MARGIN_MS;

		lease_set_turn(&d->lease, host->lease_ms,
			       bound_ms > LEASE_SHORT_TERM_MS ? bound_ms : LEASE_SHORT_TERM_MS);
	}
	return d;
}

void duty_destroy(struct duty *d)
{
	if (!d)
		return;
	http_collect_cancel(d->call);
	free(d);
}
