#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/platform/store.h"
#include "ibisgate/state/feed_turn.h"
#include "internal.h"

/*
 * Long-poll time of a change feed, in milliseconds: minimum, increment for each instance, and
 * maximum. All instances together send about 8 requests a second while nothing changes. A long poll
 * can hang on a connection that delivers nothing while TCP stays alive. With few instances, the
 * long poll and STORE_SILENCE_MS together fit in the 5 s that the platform leaves between a fault
 * and the first change that must be known.
 */
#define FEED_WAIT_MS 3000
#define FEED_WAIT_PER_INSTANCE_MS 250
#define FEED_WAIT_MAX_MS 28000

/*
 * Interval between two feed requests, in milliseconds: minimum, increment for each instance, and
 * maximum as a share of the time in which a change must be in force. Changes that come close
 * together share a request, and the request rate of all instances together is bounded.
 */
#define FEED_INTERVAL_MS 100
#define FEED_INTERVAL_PER_INSTANCE_MS 10
#define FEED_INTERVAL_MAX_SHARE 0.35

/*
 * The same for the list of endpoints, which changes more often than the configuration, and of which
 * instances also learn from each other and from answers.
 */
#define FEED_INTERVAL_ENDPOINTS_PER_INSTANCE_MS 20
#define FEED_INTERVAL_ENDPOINTS_MAX_SHARE 0.6

/*
 * Interval between two requests of an instance that tells others the changes of endpoints, in
 * milliseconds.
 */
#define FEED_INTERVAL_TELLER_MS 800

/* Interval between two messages that the store is lost, in milliseconds. */
#define LOST_REPEAT_MS 900

/*
 * With a working connection, an instance receives a change within the feed interval plus this time,
 * in milliseconds. An instance that hasn't received a change which another one has is waiting on a
 * dead connection.
 */
#define FEED_BEHIND_MARGIN_MS 500

/*
 * Retry backoff after a failed request: doubles from the first to the second value, in
 * milliseconds.
 */
#define RETRY_MIN_MS 150
#define RETRY_MAX_MS 1000

/* Maximum backoff while the store can't be reached, which puts no load on it, in milliseconds. */
#define RETRY_UNREACHABLE_MAX_MS 300

/**
 * struct store_watch - local copy of one table of the store, kept up to date
 * @listing: the whole table is being read; otherwise the change feed is followed
 * @after: last key of the pages read so far
 * @version: version from which the next feed request continues
 * @newest: version of the newest change received
 * @peer_version: version of the newest change that other instances have received
 * @behind_since_ms: since when changes up to @behind_version, which others have received, are
 *   missing; 0 when none are
 * @down: the last request failed
 * @succeeded_ms: when the last request succeeded
 * @away_ms: when the store was last known to be away
 * @served_ms: while @down, when another instance first reported changes that are missing here; 0
 *   if none has
 * @covered: version after which no change is known; at most @version
 * @asked_covered: the same when the last request was sent
 * @first_ms: when this instance was last one of those that tell the others; 0 if never
 * @spread: some instances of a data centre are told the changes of this table by others
 * @resting: this instance is told them, and asks the store when store_watch_step() says so
 * @lost_heard_ms: when one that tells them last said that it doesn't reach the store
 * @lost_told_ms: when this instance last said so
 */
struct store_watch {
	struct entry *entry;
	char table[32];
	char address[32];
	struct store_call *call;
	struct event *timer;
	bool listing;
	char after[256];
	int64_t version;
	int64_t newest;
	int64_t peer_version;
	int64_t behind_since_ms;
	int64_t behind_version;
	bool down;
	int failures;
	int64_t succeeded_ms;
	int64_t away_ms;
	int64_t served_ms;
	int64_t requested_ms;
	int64_t covered;
	int64_t asked_covered;
	int64_t first_ms;
	bool spread;
	bool resting;
	int64_t lost_heard_ms;
	int64_t lost_told_ms;
};

static struct feed_turn watch_turn(const struct store_watch *w)
{
	const struct peers *p = w->entry->peers;

	if (!w->spread)
		return (struct feed_turn){ 0 };
	return (struct feed_turn){
		.rank = peers_rank_for(p, hash_str(str_from(w->table), 0), true),
		.instances = peers_local_instances(p),
		.lost_ms = w->lost_heard_ms,
		.first_ms = w->first_ms,
		.busy = w->listing || w->down,
	};
}

static bool watch_tells(const struct store_watch *w)
{
	struct feed_turn t = watch_turn(w);

	return feed_turn_tells(&t, clock_boot_ms());
}

static bool watch_follows(const struct store_watch *w)
{
	struct feed_turn t = watch_turn(w);

	return feed_turn_follows(&t, clock_boot_ms());
}

/* The others ask the store themselves then, and learn of an outage as it is. */
static void tell_lost(struct store_watch *w)
{
	int64_t now = clock_boot_ms();
	struct buf text = { 0 };

	if ((w->lost_told_ms && now - w->lost_told_ms < LOST_REPEAT_MS) || !watch_tells(w))
		return;
	w->lost_told_ms = now;
	handover_encode_lost(&text);
	peers_send_text(w->entry->peers, buf_str(&text));
	buf_free(&text);
}

/*
 * Tells what the store has answered to the last request.
 * @away_ms: when the store was last known to be away, before this response; 0 if it was not
 */
static void tell_changes(struct store_watch *w, const struct store_rows *rows, int64_t away_ms)
{
	struct endpoint_changes changes = {
		.rows = rows,
		.after = w->asked_covered,
		.version = rows->version,
		.away_age_ms = away_ms ? clock_boot_ms() - away_ms : -1,
	};
	struct buf text = { 0 };

	if ((!rows->count && !away_ms) || !watch_tells(w))
		return;
	handover_encode_changes(&changes, &text);
	peers_send_text(w->entry->peers, buf_str(&text));
	buf_free(&text);
}

static void watch_schedule(struct store_watch *w, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000, .tv_usec = (ms % 1000) * 1000 };

	event_add(w->timer, &tv);
}

/* @away_ms: when the store was certainly away */
static void watch_failed(struct store_watch *w, const char *why, int64_t away_ms, int64_t max_ms)
{
	int64_t backoff_ms = RETRY_MIN_MS << (w->failures < 4 ? w->failures : 4);

	if (!w->down)
		log_warn("dependency-lost", "dependency=store table=%s cause=%s version=%" PRId64,
			 w->table, why, store_version_number(w->version));
	w->down = true;
	w->away_ms = away_ms;
	w->failures++;
	metric_add(METRIC_PLATFORM_ERRORS, 1);
	watch_schedule(w, backoff_ms < max_ms ? backoff_ms : max_ms);
}

static void watch_unanswered(struct store_watch *w, enum http_failure why)
{
	/* A connection that is silent may have been cut off from a store that is back by now. */
	bool unsent = http_failure_is_unsent(why);

	tell_lost(w);
	watch_failed(w, http_failure_name(why), unsent ? w->requested_ms : clock_boot_ms(),
		     unsent ? RETRY_UNREACHABLE_MAX_MS : RETRY_MAX_MS);
}

/* Return: when the store was last known to be away, where this ends an outage; else 0. */
static int64_t watch_succeeded(struct store_watch *w)
{
	int64_t away_ms = w->down ? w->away_ms : 0;
	int64_t now = clock_boot_ms();

	if (w->down) {
		struct directory_outage outage = {
			.away_ms = w->away_ms,
			.served_ms = w->served_ms,
			.recovery_ms = w->entry->settings.bounds.recovery_ms,
		};

		directory_outage_ended(&w->entry->directory, &outage, now);
		log_info("dependency-regained",
			 "dependency=store table=%s failures=%d away_ms=%" PRId64, w->table,
			 w->failures, now - w->succeeded_ms);
	}
	w->down = false;
	w->failures = 0;
	w->served_ms = 0;
	w->succeeded_ms = now;
	return away_ms;
}

static void apply_config(struct store_watch *w, const struct store_row *row)
{
	struct entry *e = w->entry;
	struct error err = { 0 };

	if (row->deleted || !store_row_is_config(row))
		return;
	if (entry_config_set(e, buf_str(&row->value), NULL, &err) < 0)
		log_warn("config-ignored", "row_version=%" PRId64 " error=\"%s\"",
			 store_version_number(row->version), err.text);
}

void store_watch_remove(struct entry *e, const char *id, int64_t version)
{
	struct directory *d = &e->directory;

	directory_remove(d, str_from(id), version, clock_boot_ms());
	if (directory_is_missing(d, str_from(id)))
		log_info("endpoint", "endpoint=%s change=missing list_version=%" PRId64, id,
			 store_version_number(version));
}

static void apply_endpoint(struct store_watch *w, const struct store_row *row)
{
	struct entry *e = w->entry;
	struct endpoint_entry entry;
	struct error err = { 0 };

	if (row->deleted) {
		store_watch_remove(e, row->key, row->version);
		return;
	}
	if (store_endpoint_decode(row, &entry, &err) < 0) {
		log_warn("endpoint-ignored", "row_version=%" PRId64 " error=\"%s\"",
			 store_version_number(row->version), err.text);
		store_watch_remove(e, row->key, row->version);
		return;
	}
	directory_put(&e->directory, &entry);
}

static void apply_rows(struct store_watch *w, const struct store_rows *rows)
{
	bool config = strcmp(w->table, STORE_TABLE_OPERATOR) == 0;

	for (int i = 0; i < rows->count; i++) {
		/* It was told meanwhile, and maybe a later change of the same row, too. */
		if (!w->listing && rows->rows[i].version <= w->version)
			continue;
		if (rows->rows[i].version > w->newest)
			w->newest = rows->rows[i].version;
		if (config)
			apply_config(w, &rows->rows[i]);
		else
			apply_endpoint(w, &rows->rows[i]);
	}
}

/* Key after which the list goes on, or ""; keys that can't be represented are empty. */
static const char *last_key(const struct store_rows *rows)
{
	for (int i = rows->count - 1; i >= 0; i--) {
		if (rows->rows[i].key[0])
			return rows->rows[i].key;
	}
	return "";
}

static void apply_list_page(struct store_watch *w, const struct store_rows *rows)
{
	bool endpoints = strcmp(w->table, STORE_TABLE_ENDPOINTS) == 0;

	if (!w->after[0]) {
		w->version = rows->version;
		/* By this the others learn of the era, also from an empty table. */
		if (store_version_era(w->newest) < store_version_era(w->version))
			w->newest = store_version_make(store_version_era(w->version), 0);
		if (endpoints)
			directory_list_begin(&w->entry->directory, w->version);
	}
	apply_rows(w, rows);
	str_copy(w->after, sizeof(w->after), str_from(rows->has_more ? last_key(rows) : ""));
	if (w->after[0])
		return;
	w->listing = false;
	w->covered = w->version;
	if (endpoints) {
		directory_list_end(&w->entry->directory, w->version, clock_boot_ms());
		log_info("endpoints-listed",
			 "list_version=%" PRId64 " endpoints=%d missing=%d held=%d",
			 store_version_number(w->version), w->entry->directory.count,
			 directory_count_missing(&w->entry->directory),
			 directory_count_held(&w->entry->directory));
		w->entry->endpoints_loaded = true;
	}
}

int64_t store_watch_interval_ms(const struct store_watch *w)
{
	bool endpoints = strcmp(w->table, STORE_TABLE_ENDPOINTS) == 0;
	int64_t per_instance_ms =
		endpoints ? FEED_INTERVAL_ENDPOINTS_PER_INSTANCE_MS : FEED_INTERVAL_PER_INSTANCE_MS;
	double share = endpoints ? FEED_INTERVAL_ENDPOINTS_MAX_SHARE : FEED_INTERVAL_MAX_SHARE;
	int64_t interval_ms =
		FEED_INTERVAL_MS + (int64_t)peers_max_instances(w->entry->peers) * per_instance_ms;
	int64_t max_ms = (int64_t)(share * (double)w->entry->settings.bounds.change_ms);

	if (watch_tells(w) && interval_ms > FEED_INTERVAL_TELLER_MS)
		interval_ms = FEED_INTERVAL_TELLER_MS;
	return interval_ms < max_ms ? interval_ms : max_ms;
}

/* Reads the whole table again. What was read so far may be missing changes. */
static void watch_begin_list(struct store_watch *w, const char *event)
{
	log_warn(event, "table=%s version=%" PRId64, w->table, store_version_number(w->version));
	w->listing = true;
	w->after[0] = '\0';
}

/* The same after an answer of the store. */
static void watch_relist(struct store_watch *w, const char *event)
{
	int64_t away_ms = watch_succeeded(w);

	if (away_ms)
		tell_changes(w, &(struct store_rows){ .version = w->version }, away_ms);
	watch_begin_list(w, event);
	watch_schedule(w, 0);
}

static void on_rows(struct store_watch *w, struct str body, int64_t era)
{
	struct store_rows rows;
	struct error err = { 0 };
	int64_t interval_ms = store_watch_interval_ms(w);
	int64_t away_ms;
	int64_t age;

	if (store_rows_decode(body, era, &rows, &err) < 0) {
		log_warn("store-response-ignored", "table=%s error=\"%s\"", w->table, err.text);
		watch_failed(w, "malformed", clock_boot_ms(), RETRY_MAX_MS);
		return;
	}
	away_ms = watch_succeeded(w);
	if (w->listing) {
		apply_list_page(w, &rows);
	} else {
		apply_rows(w, &rows);
		if (rows.version > w->version)
			w->version = rows.version;
		if (rows.count)
			w->covered = w->version;
		tell_changes(w, &rows, away_ms);
	}
	store_rows_free(&rows);
	w->resting = !watch_follows(w);
	if (w->resting)
		return;
	age = clock_boot_ms() - w->requested_ms;
	watch_schedule(w, w->listing || age >= interval_ms ? 0 : interval_ms - age);
}

/* Whether the table was read, as far as it was, in an earlier era than @era. */
static bool watch_is_outdated(const struct store_watch *w, int64_t era)
{
	bool begun = !w->listing || w->after[0];

	return begun && store_version_era(w->version) < era;
}

/* An answer with rows, or with the lack of them. */
static void on_answer(struct store_watch *w, const struct http_result *r)
{
	int64_t era = entry_answer_era(w->entry, r);

	if (era < 0) {
		watch_failed(w, "era", clock_boot_ms(), RETRY_MAX_MS);
	} else if (r->status == 410) {
		watch_relist(w, "feed-history-lost");
	} else if (watch_is_outdated(w, era)) {
		/* Versions that are given out again hide changes; a 410 isn't certain. */
		watch_relist(w, "feed-era-ended");
	} else {
		on_rows(w, r->body, era);
	}
}

static void on_result(void *ctx, const struct http_result *r)
{
	struct store_watch *w = ctx;

	w->call = NULL;
	if (!r->status && r->failure == HTTP_FAILURE_STALE) {
		watch_schedule(w, 0);
	} else if (!r->status) {
		watch_unanswered(w, r->failure);
	} else if (r->status != 200 && r->status != 410) {
		/* Too many requests are no outage. */
		if (r->status != 429)
			tell_lost(w);
		watch_failed(w, r->status == 429 ? "rate-limit" : "status", w->requested_ms,
			     RETRY_MAX_MS);
	} else {
		on_answer(w, r);
	}
}

static int feed_wait_ms(const struct store_watch *w)
{
	int ms = peers_max_instances(w->entry->peers) * FEED_WAIT_PER_INSTANCE_MS;

	if (w->listing || w->down || !watch_follows(w))
		return 0;
	if (watch_tells(w))
		return FEED_WAIT_MS;
	if (ms < FEED_WAIT_MS)
		return FEED_WAIT_MS;
	return ms < FEED_WAIT_MAX_MS ? ms : FEED_WAIT_MAX_MS;
}

static void watch_on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct store_watch *w = ctx;
	struct buf request = { 0 };
	int wait_ms = feed_wait_ms(w);

	if (w->call)
		return;
	w->requested_ms = clock_boot_ms();
	w->asked_covered = w->covered;
	if (watch_is_outdated(w, w->entry->era.number))
		watch_begin_list(w, "feed-era-ended");
	if (w->listing)
		store_read_encode(&request, w->address, w->table, w->after);
	else
		store_feed_encode(&request, w->address, w->table, w->version, wait_ms);
	metric_add(METRIC_PLATFORM_READS, 1);
	w->call = store_call_start(w->entry, buf_str(&request), wait_ms, on_result, w);
	buf_free(&request);
}

int64_t store_watch_newest_version(const struct store_watch *w)
{
	return w->newest;
}

void store_watch_note_peer_version(struct store_watch *w, int64_t version)
{
	if (version > w->peer_version)
		w->peer_version = version;
	if (w->down && !w->served_ms && version > w->version)
		w->served_ms = clock_boot_ms();
}

int64_t store_watch_version(const struct store_watch *w)
{
	return w->version;
}

bool store_watch_takes(const struct store_watch *w, int64_t after, int64_t version)
{
	return !w->listing && !w->down && after <= w->version && version > w->version;
}

void store_watch_told(struct store_watch *w, int64_t version, int64_t newest)
{
	w->version = version;
	w->covered = version;
	if (newest > w->newest)
		w->newest = newest;
}

bool store_watch_missed_outage(const struct store_watch *w, int64_t away_ms)
{
	return w->succeeded_ms <= away_ms;
}

void store_watch_peer_lost(struct store_watch *w, int64_t now_ms)
{
	struct feed_turn t = watch_turn(w);
	bool news = !feed_turn_store_is_lost(&t, now_ms);

	w->lost_heard_ms = now_ms;
	/* The next answer may come after an outage that this instance had no request open in. */
	if (!news || w->call || w->down || w->listing)
		return;
	w->down = true;
	w->away_ms = now_ms;
}

/* How long this instance lacks changes that others have before it does something, in ms. */
static int64_t behind_max_ms(const struct store_watch *w)
{
	int64_t interval_ms = w->resting ? FEED_INTERVAL_TELLER_MS : store_watch_interval_ms(w);

	return interval_ms + FEED_BEHIND_MARGIN_MS;
}

static void rest_step(struct store_watch *w, int64_t now_ms)
{
	int64_t due_ms = feed_turn_due_ms(w->succeeded_ms, w->behind_since_ms, behind_max_ms(w));

	if (now_ms < due_ms && !watch_follows(w))
		return;
	w->resting = false;
	w->behind_since_ms = 0;
	watch_schedule(w, 0);
}

void store_watch_step(struct store_watch *w, int64_t now_ms)
{
	struct feed_turn t = watch_turn(w);
	bool behind;

	/* What was read in an earlier era is outdated, also if nobody tells a version. */
	store_watch_note_peer_version(w, store_version_make(w->entry->era.number, 0));
	behind = w->peer_version > w->version && (w->call || w->resting) && !w->listing && !w->down;
	if (feed_turn_is_first(&t))
		w->first_ms = now_ms;
	if (!behind) {
		w->behind_since_ms = 0;
	} else if (!w->behind_since_ms || w->version >= w->behind_version) {
		w->behind_since_ms = now_ms;
		w->behind_version = w->peer_version;
	}
	if (w->resting) {
		rest_step(w, now_ms);
		return;
	}
	if (!behind || now_ms - w->behind_since_ms < behind_max_ms(w))
		return;
	log_warn("feed-behind", "table=%s version=%" PRId64 " told=%" PRId64 " waited_ms=%" PRId64,
		 w->table, store_version_number(w->version), store_version_number(w->peer_version),
		 now_ms - w->requested_ms);
	w->behind_since_ms = 0;
	/* Cancelling closes the connection; the next request opens a new one. */
	store_call_cancel(w->call);
	w->call = NULL;
	watch_schedule(w, 0);
}

struct store_watch *store_watch_create(struct entry *e, const char *table)
{
	struct store_watch *w = mem_zalloc(sizeof(*w));

	w->entry = e;
	str_copy(w->table, sizeof(w->table), str_from(table));
	store_address(e, w->address);
	w->listing = true;
	w->spread = strcmp(table, STORE_TABLE_ENDPOINTS) == 0;
	w->timer = evtimer_new(e->base, watch_on_timer, w);
	watch_schedule(w, 0);
	return w;
}

void store_watch_destroy(struct store_watch *w)
{
	if (!w)
		return;
	store_call_cancel(w->call);
	event_free(w->timer);
	free(w);
}
