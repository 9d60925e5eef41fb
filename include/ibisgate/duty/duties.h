#ifndef IBISGATE_DUTY_DUTIES_H
#define IBISGATE_DUTY_DUTIES_H

#include "ibisgate/duty/api_call.h"
#include "ibisgate/duty/usage_reporter.h"

/**
 * struct duties - all work of this instance for all others towards the platform's interface
 *
 * One lease serves all of it, so that one renewal does. The holder announces itself, so that the
 * others need no calls to the store to know that the work is done.
 */
struct duties;

/**
 * struct duties_options - see duties_create()
 * @usage_window_ms: length of a window of usage; 0 when usage isn't reported
 * @usage_late_ms: time after its end that a report is due
 */
struct duties_options {
	struct duty_host host;
	int64_t usage_window_ms;
	int64_t usage_late_ms;
};

/**
 * struct duties_view - what the instance knows when it calls duties_step()
 * @rank: number of live instances with a lower name
 * @counts_usage: the configuration calls for reports of usage
 * @orders_workers: the configuration calls for orders of endpoints
 * @stopping: this instance stops
 */
struct duties_view {
	int rank;
	bool counts_usage;
	bool orders_workers;
	bool stopping;
};

struct duties *duties_create(const struct duties_options *o);
void duties_destroy(struct duties *d);

/** duties_step - call ten times a second */
void duties_step(struct duties *d, const struct duties_view *v, int64_t now_ms);

/** duties_hear - a message on REPORT_DUTIES or REPORT_USAGE */
void duties_hear(struct duties *d, enum report_topic topic, const struct duty_sender *from,
		 const uint64_t *values, int count, int64_t now_ms);

/** duties_count - a request of organisation @tag began to run at @at_ms of the boot-time clock */
void duties_count(struct duties *d, uint64_t tag, int64_t at_ms);

/** duties_lease - the duty under which all calls are made */
struct duty *duties_lease(struct duties *d);

/** duties_calls - the calls to the platform's interface */
struct api_calls *duties_calls(struct duties *d);

/**
 * duties_wish - what an instance wants of the duty
 * @wanted: there is work to do
 * @held: this instance holds it
 * @quiet_ms: time since the holder was last heard, or since there is work to do
 *
 * Load: the holder is killed, freezes or is cut off. The next instance by name takes over, and
 * others only when it doesn't either; as long as the holder is heard nobody calls the store.
 */
enum duty_wish duties_wish(bool wanted, bool held, bool ever_heard, int rank, int64_t quiet_ms);

#endif
