#ifndef IBISGATE_DUTY_USAGE_REPORTER_H
#define IBISGATE_DUTY_USAGE_REPORTER_H

#include "ibisgate/duty/api_call.h"

/**
 * struct usage_reporter - counts the requests of organisations by window of Unix time, collects the
 *	counts of all instances, and reports them to the platform while the duty is held
 */
struct usage_reporter;

/**
 * struct usage_reporter_options - see usage_reporter_create()
 * @window_ms: length of a window
 * @late_ms: time after its end that a report is due
 */
struct usage_reporter_options {
	const struct duty_host *host;
	const struct duty *duty;
	struct api_calls *calls;
	int64_t window_ms;
	int64_t late_ms;
};

struct usage_reporter *usage_reporter_create(const struct usage_reporter_options *o);
void usage_reporter_destroy(struct usage_reporter *r);

/** usage_reporter_count - a request of organisation @tag began to run at @unix_ms */
void usage_reporter_count(struct usage_reporter *r, uint64_t tag, int64_t unix_ms);

/**
 * usage_reporter_step - tell what was counted, and report what is due
 * @leader: id of the instance that holds the duty, if it is known and exchanges messages with this
 *	one; else ""
 */
void usage_reporter_step(struct usage_reporter *r, const char *leader, int64_t unix_ms,
			 int64_t now_ms);

/** usage_reporter_hear - another instance has told what it or another one has counted */
void usage_reporter_hear(struct usage_reporter *r, const struct duty_sender *from,
			 const uint64_t *values, int count, int64_t now_ms);

/** usage_reporter_new_leader - another instance has taken up the duty: tell it everything */
void usage_reporter_new_leader(struct usage_reporter *r, int64_t now_ms);

/** usage_reporter_done_before - all windows before the returned one are reported or missed */
int64_t usage_reporter_done_before(const struct usage_reporter *r);

/** usage_reporter_set_done - the holder of the duty has reported the windows before @window */
void usage_reporter_set_done(struct usage_reporter *r, int64_t window);

#endif
