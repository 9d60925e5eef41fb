#include "ibisgate/state/report_window.h"

/* Pause after an action that failed, in milliseconds. */
#define RETRY_MS 400

int64_t report_window_of(const struct report_times *t, int64_t unix_ms)
{
	return unix_ms / t->window_ms;
}

/* End of the time in which nobody fixes the window yet. */
static int64_t settled_ms(const struct report_times *t, int64_t window)
{
	return (window + 1) * t->window_ms + t->settle_ms;
}

bool report_row_may_be_lost(const struct report_window *w, const struct report_times *t,
			    int64_t known_unix_ms)
{
	return w->state == REPORT_FREE && settled_ms(t, w->window) < known_unix_ms;
}

enum report_action report_window_next(struct report_window *w, const struct report_times *t,
				      bool may_write, bool may_send, int64_t unix_ms,
				      int64_t now_ms)
{
	int64_t end_ms = (w->window + 1) * t->window_ms;
	enum report_action action = REPORT_DO_NOTHING;

	if (w->busy || w->state == REPORT_DONE || w->state == REPORT_MISSED)
		return REPORT_DO_NOTHING;
	if (unix_ms >= end_ms + t->late_ms) {
		w->state = REPORT_MISSED;
		return REPORT_DO_NOTHING;
	}
	if (now_ms < w->retry_ms || unix_ms < settled_ms(t, w->window))
		return REPORT_DO_NOTHING;
	if (w->state == REPORT_OPEN && may_write)
		action = REPORT_DO_READ;
	else if (w->state == REPORT_FREE && may_write)
		action = REPORT_DO_WRITE;
	else if (w->state == REPORT_FIXED && may_send)
		action = REPORT_DO_SEND;
	w->busy = action != REPORT_DO_NOTHING;
	w->sends += action == REPORT_DO_SEND;
	return action;
}

void report_window_result(struct report_window *w, enum report_result result, int64_t row_version,
			  int64_t now_ms)
{
	w->busy = false;
	if (w->state == REPORT_DONE || w->state == REPORT_MISSED)
		return;
	switch (result) {
	case REPORT_ROW_OURS:
	case REPORT_ROW_WRITTEN:
		w->state = REPORT_FIXED;
		break;
	case REPORT_ROW_OLDER:
		w->state = REPORT_FREE;
		w->row_version = row_version;
		break;
	case REPORT_ROW_NEWER:
		w->state = REPORT_MISSED;
		break;
	case REPORT_ROW_DOUBTFUL:
		/* A write without an answer may take effect later: only the row says what counts.
		 */
		w->state = REPORT_OPEN;
		w->retry_ms = now_ms + RETRY_MS;
		break;
	case REPORT_ACCEPTED:
		w->state = REPORT_DONE;
		break;
	case REPORT_NOT_ACCEPTED:
		w->retry_ms = now_ms + RETRY_MS;
		break;
	}
}
