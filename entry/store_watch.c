#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/platform/store.h"
#include "internal.h"

/*
 * Longest wait of a change feed, in milliseconds, with few instances and with many, and its growth
 * with each instance: all together ask about 8 times a second when nothing changes. A wait can go
 * on over a connection that delivers nothing while TCP stays alive. With few instances its end and
 * STORE_SILENCE_MS fit the 5 s that the platform leaves between a fault and the first change that
 * has to be known.
 */
#define FEED_WAIT_MS 3000
#define FEED_WAIT_PER_INSTANCE_MS 250
#define FEED_WAIT_MAX_MS 20000

/*
 * Pause between two calls of a feed in milliseconds, and its growth with each instance: changes
 * that come together share a call, and all instances together ask a bounded number of times. A
 * change must be in force within 2 s.
 */
#define FEED_PAUSE_MS 100
#define FEED_PAUSE_PER_INSTANCE_MS 10
#define FEED_PAUSE_MAX_MS 700

/*
 * An instance whose wait is well learns of a change within the pause of the feed and this time, in
 * milliseconds. One that has not while another one has waits on a connection that has gone silent.
 */
#define BEHIND_MARGIN_MS 500

/* Pause after a failed call: doubled from the first to the last value, in milliseconds. */
#define RETRY_MIN_MS 150
#define RETRY_MAX_MS 1000

/*
 * Endpoints write their entries again within about 2 s of the store's return; their absence
 * counts only afterwards. In milliseconds.
 */
#define LAPSED_HOLD_MS 2300

/**
 * struct store_watch - keeps one table of the store up to date in this process
 * @listing: the whole table is being read, else changes are waited for
 * @after: last key of the pages read so far
 * @version: the next feed goes on from here
 * @newest: version of the newest change seen
 * @told: the same as other instances have told
 * @behind_ms: changes that others have seen are missing since then; 0 when none are
 * @down: the last call failed
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
	int64_t told;
	int64_t behind_ms;
	bool down;
	int failures;
	int64_t asked_ms;
};

static void ask_after(struct store_watch *w, int64_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000, .tv_usec = (ms % 1000) * 1000 };

	event_add(w->timer, &tv);
}

static void watch_failed(struct store_watch *w, const char *why)
{
	int64_t pause = RETRY_MIN_MS << (w->failures < 4 ? w->failures : 4);

	if (!w->down)
		log_warn("dependency-lost", "dependency=store table=%s cause=%s version=%" PRId64,
			 w->table, why, w->version);
	w->down = true;
	w->failures++;
	metric_add(METRIC_PLATFORM_ERRORS, 1);
	ask_after(w, pause < RETRY_MAX_MS ? pause : RETRY_MAX_MS);
}

static void watch_answered(struct store_watch *w)
{
	int64_t now = clock_boot_ms();

	if (w->down) {
		log_info("dependency-regained", "dependency=store table=%s failures=%d", w->table,
			 w->failures);
		directory_hold(&w->entry->directory, now + LAPSED_HOLD_MS);
	}
	w->down = false;
	w->failures = 0;
}

static void apply_config(struct store_watch *w, const struct store_row *row)
{
	struct entry *e = w->entry;
	struct error err = { 0 };

	if (row->deleted || !store_row_is_config(row))
		return;
	if (entry_config_set(e, buf_str(&row->value), &err) < 0)
		log_warn("config-ignored", "row_version=%" PRId64 " error=\"%s\"", row->version,
			 err.text);
}

static void apply_endpoint(struct store_watch *w, const struct store_row *row)
{
	struct entry *e = w->entry;
	struct endpoint_entry entry;
	struct error err = { 0 };
	int64_t now = clock_boot_ms();

	if (row->deleted) {
		directory_remove(&e->directory, str_from(row->key), row->version, now);
		return;
	}
	if (store_endpoint_decode(row, &entry, &err) < 0) {
		log_warn("endpoint-ignored", "row_version=%" PRId64 " error=\"%s\"", row->version,
			 err.text);
		directory_remove(&e->directory, str_from(row->key), row->version, now);
		return;
	}
	directory_put(&e->directory, &entry);
}

static void apply_rows(struct store_watch *w, const struct store_rows *rows)
{
	bool config = strcmp(w->table, STORE_TABLE_OPERATOR) == 0;

	for (int i = 0; i < rows->count; i++) {
		if (rows->rows[i].version > w->newest)
			w->newest = rows->rows[i].version;
		if (config)
			apply_config(w, &rows->rows[i]);
		else
			apply_endpoint(w, &rows->rows[i]);
	}
}

static void list_page(struct store_watch *w, const struct store_rows *rows)
{
	bool endpoints = strcmp(w->table, STORE_TABLE_ENDPOINTS) == 0;

	if (!w->after[0]) {
		w->version = rows->version;
		if (endpoints)
			directory_list_begin(&w->entry->directory);
	}
	apply_rows(w, rows);
	if (rows->more && rows->count) {
		str_copy(w->after, sizeof(w->after), str_from(rows->rows[rows->count - 1].key));
		return;
	}
	w->after[0] = '\0';
	w->listing = false;
	if (endpoints) {
		directory_list_end(&w->entry->directory, w->version, clock_boot_ms());
		w->entry->endpoints_known = true;
	}
}

static int64_t feed_pause(const struct store_watch *w)
{
	int64_t pause =
		FEED_PAUSE_MS + (int64_t)peers_most(w->entry->peers) * FEED_PAUSE_PER_INSTANCE_MS;

	return pause < FEED_PAUSE_MAX_MS ? pause : FEED_PAUSE_MAX_MS;
}

static void on_rows(struct store_watch *w, struct str body)
{
	struct store_rows rows;
	struct error err = { 0 };
	int64_t pause = feed_pause(w);
	int64_t age;

	if (store_rows_decode(body, &rows, &err) < 0) {
		log_warn("store-response-ignored", "table=%s error=\"%s\"", w->table, err.text);
		watch_failed(w, "malformed");
		return;
	}
	watch_answered(w);
	if (w->listing) {
		list_page(w, &rows);
	} else {
		apply_rows(w, &rows);
		if (rows.version > w->version)
			w->version = rows.version;
	}
	store_rows_free(&rows);
	age = clock_boot_ms() - w->asked_ms;
	ask_after(w, w->listing || age >= pause ? 0 : pause - age);
}

static void on_result(void *ctx, const struct http_result *r)
{
	struct store_watch *w = ctx;

	w->call = NULL;
	if (!r->status && r->failure == HTTP_FAILURE_STALE) {
		ask_after(w, 0);
	} else if (!r->status) {
		watch_failed(w, http_failure_name(r->failure));
	} else if (r->status == 410) {
		/* The store no longer has the changes since our version. */
		log_warn("feed-history-lost", "table=%s version=%" PRId64, w->table, w->version);
		watch_answered(w);
		w->listing = true;
		w->after[0] = '\0';
		ask_after(w, 0);
	} else if (r->status != 200) {
		watch_failed(w, r->status == 429 ? "rate-limit" : "status");
	} else {
		on_rows(w, r->body);
	}
}

static int feed_wait(const struct store_watch *w)
{
	int ms = peers_most(w->entry->peers) * FEED_WAIT_PER_INSTANCE_MS;

	if (w->listing || w->down)
		return 0;
	if (ms < FEED_WAIT_MS)
		return FEED_WAIT_MS;
	return ms < FEED_WAIT_MAX_MS ? ms : FEED_WAIT_MAX_MS;
}

static void watch_ask(evutil_socket_t fd, short what, void *ctx)
{
	struct store_watch *w = ctx;
	struct buf request = { 0 };
	int wait_ms = feed_wait(w);

	if (w->call)
		return;
	w->asked_ms = clock_boot_ms();
	if (w->listing)
		store_read_request(&request, w->address, w->table, w->after);
	else
		store_feed_request(&request, w->address, w->table, w->version, wait_ms);
	metric_add(METRIC_PLATFORM_READS, 1);
	w->call = store_call_start(w->entry, buf_str(&request), wait_ms, on_result, w);
	buf_free(&request);
}

int64_t store_watch_newest(const struct store_watch *w)
{
	return w->newest;
}

void store_watch_told(struct store_watch *w, int64_t version)
{
	if (version > w->told)
		w->told = version;
}

void store_watch_step(struct store_watch *w, int64_t now_ms)
{
	bool behind = w->told > w->version && w->call && !w->listing && !w->down;

	if (!behind)
		w->behind_ms = 0;
	else if (!w->behind_ms)
		w->behind_ms = now_ms;
	if (!behind || now_ms - w->behind_ms < feed_pause(w) + BEHIND_MARGIN_MS)
		return;
	log_warn("feed-behind", "table=%s version=%" PRId64 " told=%" PRId64 " waited_ms=%" PRId64,
		 w->table, w->version, w->told, now_ms - w->asked_ms);
	w->behind_ms = 0;
	/* Closes the connection; the next call makes a new one. */
	store_call_cancel(w->call);
	w->call = NULL;
	ask_after(w, 0);
}

struct store_watch *store_watch_create(struct entry *e, const char *table)
{
	struct store_watch *w = mem_zalloc(sizeof(*w));

	w->entry = e;
	str_copy(w->table, sizeof(w->table), str_from(table));
	store_address(e, w->address);
	w->listing = true;
	w->timer = evtimer_new(e->base, watch_ask, w);
	ask_after(w, 0);
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
