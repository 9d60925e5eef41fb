#ifndef IBISGATE_STATE_AGREED_TIME_H
#define IBISGATE_STATE_AGREED_TIME_H

#include <stdbool.h>
#include <stdint.h>

#define AGREED_TIME_CLOCKS_MAX 256

/**
 * struct agreed_time_clock - Unix time that an instance has reported, as offset to the boot clock
 *
 * A report that was held up, by a cut or while this process was paused, shows too early a time. So
 * a smaller offset counts only once no other was heard for some time.
 * @confirmed_ms: when a report last confirmed @offset_ms
 */
struct agreed_time_clock {
	uint64_t who;
	int64_t offset_ms;
	int64_t confirmed_ms;
	int64_t heard_ms;
};

/**
 * struct agreed_time - Unix time agreed from the clocks of several instances
 *
 * Load: the time of day jumps by seconds on some machines, while work that several instances do
 * together goes by Unix time. The median of the clocks heard lately counts; in between, time
 * advances with the boot-time clock, which doesn't jump.
 * @offset_ms: Unix time less boot-time clock; valid if @known
 * @leader: as agreed by the instance that acts
 * @step_ms: time of the last agreed_time_step(); a long time ago after a pause of this process
 */
struct agreed_time {
	struct agreed_time_clock clocks[AGREED_TIME_CLOCKS_MAX];
	int count;
	bool known;
	int64_t offset_ms;
	struct agreed_time_clock leader;
	int64_t step_ms;
};

/** agreed_time_hear - instance @who has just reported its time of day */
void agreed_time_hear(struct agreed_time *t, uint64_t who, int64_t unix_ms, int64_t now_ms);

/** agreed_time_hear_leader - the instance that acts has just reported the time it agreed on */
void agreed_time_hear_leader(struct agreed_time *t, int64_t unix_ms, int64_t now_ms);

/** agreed_time_step - update the estimate, ten times a second; @wall_ms is this instance's own time
 * of day */
void agreed_time_step(struct agreed_time *t, int64_t wall_ms, int64_t now_ms);

/** agreed_time_unix_ms - the estimate, in milliseconds since the Unix epoch */
int64_t agreed_time_unix_ms(const struct agreed_time *t, int64_t now_ms);

#endif
