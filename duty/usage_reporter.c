#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/duty/usage_reporter.h"
#include "ibisgate/platform/store.h"
#include "ibisgate/state/report_window.h"
#include "ibisgate/state/usage.h"

/*
 * Rows that hold reports. The row of a window is used again this many windows later; until then
 * nothing of the former window can be on its way.
 */
#define REPORT_ROWS 64

/*
 * Interval between two messages about counts, in milliseconds: what a killed instance has counted
 * since its last one is lost.
 */
#define TELL_INTERVAL_MS 400

/* Number of messages sent in one step; the rest follows in the next one. */
#define TELL_MESSAGES_MAX 16

/*
 * Instances that counts are told to, by lowest name, besides the holder of the duty: those that
 * take it up next. Two may be lost at the same time.
 */
#define COLLECTORS 3

/* A process that wasn't heard for this long may have ended, in milliseconds. */
#define SILENT_MS 1500

/* Share of a report's time after the window's end that late counts are waited for. */
#define SETTLE_SHARE 0.15

/* A new holder first waits this long for what the others have counted, in milliseconds. */
#define COLLECT_MS 700

/* Layout of a message: process, window, then pairs of organisation and requests. */
#define HEAD_VALUES 2

/**
 * struct report - report of one window
 * @figures: what its row holds: a JSON object of requests by organisation; NULL until known
 */
struct report {
	struct usage_reporter *reporter;
	struct report_window w;
	json_t *figures;
	json_t *written;
	struct http_collect *row_call;
	struct api_call *api_call;
	bool logged;
};

/**
 * struct usage_reporter - see usage_reporter.h
 * @boot: identifies this process in messages
 * @reports: by window modulo REPORT_ROWS, from @first_window to before @next_window
 * @own_window: window in which this process started; it knows nothing of earlier ones
 * @tenure: fencing token of the tenure since @tenure_ms, 0 while the duty isn't held
 */
struct usage_reporter {
	struct usage_reporter_options o;
	struct report_times times;
	struct usage *usage;
	uint64_t boot;
	struct report reports[REPORT_ROWS];
	int64_t first_window;
	int64_t next_window;
	int64_t own_window;
	int64_t done_before;
	int64_t told_ms;
	int64_t told_window;
	int64_t tenure;
	int64_t tenure_ms;
};

static struct report *report_at(struct usage_reporter *r, int64_t window)
{
	return &r->reports[window % REPORT_ROWS];
}

static void row_key(int64_t window, char out[32])
{
	snprintf(out, 32, "usage/%02d", (int)(window % REPORT_ROWS));
}

/* Figures of a window as known now; organisations that nothing is counted of are left out. */
static json_t *figures_collect(struct usage_reporter *r, int64_t window)
{
	const struct duty_host *h = r->o.host;
	json_t *figures = json_object();
	struct usage_total *totals;
	int count = usage_totals(r->usage, window, &totals);

	for (int i = 0; i < count; i++) {
		struct str name = h->organisation_name(h->ctx, totals[i].tag);

		if (!name.len) {
			log_warn("usage-uncounted", "window=%" PRId64 " requests=%" PRId64, window,
				 totals[i].requests);
			metric_add(METRIC_USAGE_UNCOUNTED, totals[i].requests);
			continue;
		}
		json_object_setn_new(figures, name.data, name.len,
				     json_integer(totals[i].requests));
	}
	free(totals);
	return figures;
}

static int64_t figures_sum(const json_t *figures)
{
	const char *name;
	json_t *value;
	int64_t sum = 0;

	json_object_foreach((json_t *)figures, name, value)
		sum += json_integer_value(value);
	return sum;
}

static void figures_take(struct report *rep, json_t *figures)
{
	json_decref(rep->figures);
	rep->figures = json_incref(figures);
}

/* What the row says of this window; fills in the figures with REPORT_ROW_OURS. */
static enum report_result row_judge(struct report *rep, const struct store_row *row)
{
	json_t *json = json_parse(buf_str(&row->value));
	int64_t window = json_get_i64(json, "window", 0);
	enum report_result result = REPORT_ROW_OLDER;

	if (window == rep->w.window && json_is_object(json_object_get(json, "requests"))) {
		figures_take(rep, json_object_get(json, "requests"));
		result = REPORT_ROW_OURS;
	} else if (window > rep->w.window) {
		result = REPORT_ROW_NEWER;
	}
	json_decref(json);
	return result;
}

static void on_row_read(void *ctx, const struct http_result *r)
{
	struct report *rep = ctx;
	enum report_result result = REPORT_ROW_OLDER;
	int64_t now = clock_boot_ms();
	int64_t version = 0;
	struct store_rows rows;
	char key[32];

	rep->row_call = NULL;
	if (!row_read_result(rep->reporter->o.host, r, &rows)) {
		report_window_result(&rep->w, REPORT_ROW_DOUBTFUL, 0, now);
		return;
	}
	row_key(rep->w.window, key);
	if (rows.count && strcmp(rows.rows[0].key, key) == 0) {
		version = rows.rows[0].version;
		result = row_judge(rep, &rows.rows[0]);
	}
	store_rows_free(&rows);
	if (result == REPORT_ROW_OURS)
		log_info("usage-found", "window=%" PRId64 " requests=%" PRId64, rep->w.window,
			 figures_sum(rep->figures));
	report_window_result(&rep->w, result, version, now);
}

static void on_row_written(void *ctx, const struct http_result *r)
{
	struct report *rep = ctx;
	enum report_result result = REPORT_ROW_DOUBTFUL;
	int64_t version;

	rep->row_call = NULL;
	if (row_write_result(rep->reporter->o.host, r, &version) == ROW_WRITE_OK) {
		figures_take(rep, rep->written);
		log_info("usage-fixed", "window=%" PRId64 " requests=%" PRId64 " organisations=%zu",
			 rep->w.window, figures_sum(rep->figures), json_object_size(rep->figures));
		result = REPORT_ROW_WRITTEN;
	}
	json_decref(rep->written);
	rep->written = NULL;
	report_window_result(&rep->w, result, 0, clock_boot_ms());
}

static void row_read(struct report *rep)
{
	const struct duty_host *h = rep->reporter->o.host;
	struct buf request = { 0 };
	char key[32];

	row_key(rep->w.window, key);
	store_row_read_encode(&request, h->store_name, DUTY_TABLE, key);
	metric_add(METRIC_PLATFORM_READS, 1);
	rep->row_call = duty_host_call_store(h, buf_str(&request), on_row_read, rep);
	buf_free(&request);
}

static void row_write(struct report *rep)
{
	const struct duty_host *h = rep->reporter->o.host;
	struct buf request = { 0 };
	struct buf value = { 0 };
	json_t *json;
	char key[32];

	rep->written = figures_collect(rep->reporter, rep->w.window);
	json = json_pack("{s:I,s:O}", "window", (json_int_t)rep->w.window, "requests",
			 rep->written);
	json_append(&value, json);
	json_decref(json);
	row_key(rep->w.window, key);
	store_put_encode(&request, h->store_name, DUTY_TABLE, key, rep->w.row_version,
			 buf_str(&value));
	metric_add(METRIC_PLATFORM_WRITES, 1);
	rep->row_call = duty_host_call_store(h, buf_str(&request), on_row_written, rep);
	buf_free(&request);
	buf_free(&value);
}

static void on_sent(void *ctx, const struct api_result *result)
{
	struct report *rep = ctx;

	rep->api_call = NULL;
	log_info("usage-sent",
		 "window=%" PRId64 " status=%d requests=%" PRId64 " sends=%d fencing=%" PRId64,
		 rep->w.window, result->status, figures_sum(rep->figures), rep->w.sends,
		 result->fencing);
	if (result->outcome == API_ACCEPTED)
		metric_add(METRIC_USAGE_SENT, 1);
	report_window_result(
		&rep->w, result->outcome == API_ACCEPTED ? REPORT_ACCEPTED : REPORT_NOT_ACCEPTED, 0,
		clock_boot_ms());
}

static void report_send(struct report *rep, const struct api_lease *lease, int64_t now)
{
	size_t count = json_object_size(rep->figures);
	struct api_count *counts = mem_zalloc(sizeof(*counts) * (count + 1));
	struct buf request = { 0 };
	const char *name;
	json_t *value;
	int n = 0;

	json_object_foreach(rep->figures, name, value)
		counts[n++] = (struct api_count){ .organisation = str_from(name),
						  .requests = json_integer_value(value) };
	api_usage_encode(&request, lease, rep->w.window, counts, n);
	rep->api_call =
		api_call_start(rep->reporter->o.calls, lease, buf_str(&request), on_sent, rep, now);
	buf_free(&request);
	free(counts);
}

/* A window that began before this process did, and that nobody has told of, isn't reported. */
static bool is_unknown(struct usage_reporter *r, const struct report *rep)
{
	struct usage_total *totals;
	int count;

	if (rep->w.window > r->own_window)
		return false;
	count = usage_totals(r->usage, rep->w.window, &totals);
	free(totals);
	return !count;
}

static bool row_may_be_lost(const struct usage_reporter *r, const struct report *rep,
			    int64_t unix_ms, int64_t now)
{
	const struct store_era *era = r->o.host->era;
	int64_t known_ms = store_era_rows_known_ms(era, r->tenure, r->tenure_ms);

	return era->number &&
	       report_row_may_be_lost(&rep->w, &r->times, unix_ms - (now - known_ms));
}

static void report_step(struct usage_reporter *r, struct report *rep, int64_t unix_ms, int64_t now)
{
	struct api_lease lease;
	bool held = duty_is_held(r->o.duty, 0, now, NULL);
	bool may_write = held && now - r->tenure_ms >= COLLECT_MS;
	bool may_send = api_call_prepare(r->o.calls, r->o.duty, now, &lease);

	if (rep->w.state == REPORT_FREE && is_unknown(r, rep)) {
		log_info("usage-unknown", "window=%" PRId64, rep->w.window);
		rep->w.state = REPORT_DONE;
	}
	if (held && row_may_be_lost(r, rep, unix_ms, now)) {
		log_warn("usage-row-lost", "window=%" PRId64 " era=%" PRId64 " fencing=%" PRId64,
			 rep->w.window, r->o.host->era->number, r->tenure);
		rep->w.state = REPORT_MISSED;
	}
	switch (report_window_next(&rep->w, &r->times, may_write, may_send, unix_ms, now)) {
	case REPORT_DO_NOTHING:
		break;
	case REPORT_DO_READ:
		row_read(rep);
		break;
	case REPORT_DO_WRITE:
		row_write(rep);
		break;
	case REPORT_DO_SEND:
		report_send(rep, &lease, now);
		break;
	}
	/* A window whose time ended without a holder is logged by the next one that has seen it. */
	if (rep->w.state == REPORT_MISSED && held && !rep->logged &&
	    rep->w.window > r->own_window) {
		rep->logged = true;
		log_warn("usage-missed", "window=%" PRId64 " sends=%d fixed=%d", rep->w.window,
			 rep->w.sends, rep->figures != NULL);
		metric_add(METRIC_USAGE_MISSED, 1);
	}
}

static void report_clear(struct report *rep)
{
	http_collect_cancel(rep->row_call);
	api_call_cancel(rep->api_call);
	json_decref(rep->figures);
	json_decref(rep->written);
	*rep = (struct report){ 0 };
}

/* Begins the windows that have ended since the last step and gives up those long past. */
static void windows_advance(struct usage_reporter *r, int64_t unix_ms)
{
	int64_t current = report_window_of(&r->times, unix_ms);
	int64_t oldest = report_window_of(&r->times, unix_ms - 2 * r->o.late_ms) - 1;

	if (!r->next_window) {
		r->own_window = current;
		r->first_window = r->next_window =
			report_window_of(&r->times, unix_ms - r->o.late_ms);
	}
	while (r->first_window < r->next_window &&
	       (r->first_window < oldest || current - r->first_window >= REPORT_ROWS))
		report_clear(report_at(r, r->first_window++));
	if (r->next_window < oldest)
		r->first_window = r->next_window = oldest;
	for (; r->next_window < current; r->next_window++) {
		struct report *rep = report_at(r, r->next_window);

		report_clear(rep);
		rep->reporter = r;
		rep->w.window = r->next_window;
		if (rep->w.window < r->done_before)
			rep->w.state = REPORT_DONE;
	}
	usage_drop_before(r->usage, oldest);
}

static void tenure_step(struct usage_reporter *r, int64_t now)
{
	int64_t fencing;
	bool held = duty_is_held(r->o.duty, 0, now, &fencing);

	if (!held)
		fencing = 0;
	if (fencing != r->tenure)
		r->tenure_ms = now;
	r->tenure = fencing;
}

static void tell_step(struct usage_reporter *r, const char *leader, int64_t unix_ms, int64_t now)
{
	const struct duty_host *h = r->o.host;
	int64_t current = report_window_of(&r->times, unix_ms);
	uint64_t values[PEER_REPORT_VALUES_MAX];
	uint64_t boot;
	int64_t window;

	if (now - r->told_ms < TELL_INTERVAL_MS && current == r->told_window)
		return;
	r->told_ms = now;
	r->told_window = current;
	usage_begin_round(r->usage);
	for (int i = 0; i < TELL_MESSAGES_MAX && usage_next_untold(r->usage, &boot, &window); i++) {
		int n = usage_take_untold(r->usage, boot, window, values + HEAD_VALUES,
					  PEER_REPORT_VALUES_MAX - HEAD_VALUES);

		values[0] = boot;
		values[1] = (uint64_t)window;
		h->send(h->ctx, &(struct duty_message){ .topic = REPORT_USAGE,
							.scope = DUTY_TO_ALL,
							.first = COLLECTORS,
							.also = leader,
							.values = values,
							.count = HEAD_VALUES + n });
	}
}

void usage_reporter_count(struct usage_reporter *r, uint64_t tag, int64_t unix_ms)
{
	if (!usage_add(r->usage, r->boot, report_window_of(&r->times, unix_ms), tag))
		metric_add(METRIC_USAGE_UNCOUNTED, 1);
}

void usage_reporter_hear(struct usage_reporter *r, const struct duty_sender *from,
			 const uint64_t *values, int count, int64_t now_ms)
{
	const struct duty_host *h = r->o.host;

	if (count < HEAD_VALUES || count % 2 || values[0] == r->boot ||
	    (r->next_window && (int64_t)values[1] < r->first_window) ||
	    (r->next_window && (int64_t)values[1] > r->next_window + REPORT_ROWS))
		return;
	for (int i = HEAD_VALUES; i < count; i += 2) {
		if (!usage_merge(r->usage, values[0], (int64_t)values[1], values[i], values[i + 1],
				 now_ms))
			metric_add(METRIC_USAGE_UNCOUNTED, 1);
	}
	/* In a large deployment only the delegates reach the other data centres. */
	if (h->is_delegate(h->ctx))
		h->send(h->ctx, &(struct duty_message){ .topic = REPORT_USAGE,
							.scope = from->is_remote ? DUTY_TO_DC
										 : DUTY_TO_REMOTE,
							.first = COLLECTORS,
							.also = "",
							.values = values,
							.count = count });
}

void usage_reporter_new_leader(struct usage_reporter *r, int64_t now_ms)
{
	usage_tell_again(r->usage, r->boot);
	usage_tell_silent(r->usage, r->boot, now_ms - SILENT_MS);
	r->told_ms = 0;
}

int64_t usage_reporter_done_before(const struct usage_reporter *r)
{
	int64_t window = r->first_window;

	while (window < r->next_window &&
	       (r->reports[window % REPORT_ROWS].w.state == REPORT_DONE ||
		r->reports[window % REPORT_ROWS].w.state == REPORT_MISSED))
		window++;
	return window;
}

void usage_reporter_set_done(struct usage_reporter *r, int64_t window)
{
	if (window > r->next_window + 1)
		return;
	if (window > r->done_before)
		r->done_before = window;
	for (int64_t w = r->first_window; w < r->next_window && w < window; w++) {
		struct report *rep = report_at(r, w);

		if (rep->w.state != REPORT_MISSED)
			rep->w.state = REPORT_DONE;
	}
}

void usage_reporter_step(struct usage_reporter *r, const char *leader, int64_t unix_ms,
			 int64_t now_ms)
{
	int open = 0;

	tenure_step(r, now_ms);
	windows_advance(r, unix_ms);
	for (int64_t w = r->first_window; w < r->next_window; w++) {
		struct report *rep = report_at(r, w);

		report_step(r, rep, unix_ms, now_ms);
		open += rep->w.state != REPORT_DONE && rep->w.state != REPORT_MISSED;
	}
	metric_set(METRIC_USAGE_OPEN, open);
	tell_step(r, leader, unix_ms, now_ms);
}

struct usage_reporter *usage_reporter_create(const struct usage_reporter_options *o)
{
	struct usage_reporter *r = mem_zalloc(sizeof(*r));

	r->o = *o;
	r->times = (struct report_times){ .window_ms = o->window_ms,
					  .settle_ms = (int64_t)(SETTLE_SHARE * (double)o->late_ms),
					  .late_ms = o->late_ms };
	r->usage = usage_create();
	r->boot = hash_str(str_from(o->host->self), o->host->incarnation);
	return r;
}

void usage_reporter_destroy(struct usage_reporter *r)
{
	if (!r)
		return;
	for (int i = 0; i < REPORT_ROWS; i++)
		report_clear(&r->reports[i]);
	usage_destroy(r->usage);
	free(r);
}
