#ifndef IBISGATE_STATE_REPORT_WINDOW_H
#define IBISGATE_STATE_REPORT_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum report_state - how far the report of a window has come
 * @REPORT_OPEN: the row of its figures hasn't been read or written
 * @REPORT_FREE: the row holds an older window
 * @REPORT_FIXED: the row holds its figures, from now on the only ones that are sent
 * @REPORT_DONE: the platform has accepted it
 * @REPORT_MISSED: its time is over
 */
enum report_state {
	REPORT_OPEN,
	REPORT_FREE,
	REPORT_FIXED,
	REPORT_DONE,
	REPORT_MISSED,
};

/**
 * struct report_times - when a report may and must be sent, in milliseconds
 * @window_ms: length of a window; window k begins k times this after the Unix epoch
 * @settle_ms: time after its end that late counts are waited for
 * @late_ms: time after its end that the report is due
 */
struct report_times {
	int64_t window_ms;
	int64_t settle_ms;
	int64_t late_ms;
};

/**
 * struct report_window - the report of one window, as seen by one instance
 * @busy: the last action has no result yet
 * @row_version: version of the row while REPORT_FREE
 * @retry_ms: no action before this local time
 * @sends: number of times that it was sent
 */
struct report_window {
	int64_t window;
	enum report_state state;
	bool busy;
	int64_t row_version;
	int64_t retry_ms;
	int sends;
};

enum report_action {
	REPORT_DO_NOTHING,
	REPORT_DO_READ,
	REPORT_DO_WRITE,
	REPORT_DO_SEND,
};

/**
 * enum report_result - outcome of an action
 * @REPORT_ROW_OURS: the row was read and holds the figures of this window
 * @REPORT_ROW_OLDER: it was read and holds an older window, or doesn't exist
 * @REPORT_ROW_NEWER: it was read and holds a newer window, so the time of this one is over
 * @REPORT_ROW_WRITTEN: the write took effect
 * @REPORT_ROW_DOUBTFUL: the write had no effect or got no answer, or the read failed
 * @REPORT_ACCEPTED: the platform has answered that it has the report
 * @REPORT_NOT_ACCEPTED: it refused, or gave no answer
 */
enum report_result {
	REPORT_ROW_OURS,
	REPORT_ROW_OLDER,
	REPORT_ROW_NEWER,
	REPORT_ROW_WRITTEN,
	REPORT_ROW_DOUBTFUL,
	REPORT_ACCEPTED,
	REPORT_NOT_ACCEPTED,
};

/** report_window_of - window of a moment */
int64_t report_window_of(const struct report_times *t, int64_t unix_ms);

/**
 * report_window_next - what to do for the report; a returned action is in progress until
 * report_window_result()
 * @may_write: this instance holds the duty and knows what the others have counted
 * @may_send: it may call the platform now
 *
 * Load: holders are killed, freeze and are cut off while they report, and answers are lost. Two
 * reports of one window with different figures break a rule, so the figures are fixed in a row
 * that is written under a condition before they are first sent.
 */
enum report_action report_window_next(struct report_window *w, const struct report_times *t,
				      bool may_write, bool may_send, int64_t unix_ms,
				      int64_t now_ms);

/**
 * report_row_may_be_lost - whether another holder may have fixed and sent other figures, in a row
 *	that the store doesn't have any more
 * @known_unix_ms: rows written since then are there, or were written by this instance
 *
 * Load: a holder fixes a window, sends it and ends; then the store comes back from a copy that is
 * older than the row. The next holder can't tell whether the window was sent.
 */
bool report_row_may_be_lost(const struct report_window *w, const struct report_times *t,
			    int64_t known_unix_ms);

/** report_window_result - @row_version: of the row that was read */
void report_window_result(struct report_window *w, enum report_result result, int64_t row_version,
			  int64_t now_ms);

#endif
