#include <stdatomic.h>
#include <time.h>

#include "ibisgate/common/clock.h"

/* Limits how far ahead a peer with a wrong wall clock can move the local clock. */
#define HLC_MAX_AHEAD_MS 60000

static _Atomic uint64_t hlc_last;

int64_t clock_boot_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t clock_boot_ms(void)
{
	return clock_boot_us() / 1000;
}

int64_t clock_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void clock_sleep_ms(int64_t ms)
{
	struct timespec ts = { .tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

struct timespec clock_monotonic_after(int64_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += ms / 1000;
	ts.tv_nsec += ms % 1000 * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	return ts;
}

uint64_t hlc_now(void)
{
	uint64_t wall = (uint64_t)clock_wall_ms() << 16;
	uint64_t last = atomic_load(&hlc_last);
	uint64_t next;

	do {
		next = wall > last ? wall : last + 1;
	} while (!atomic_compare_exchange_weak(&hlc_last, &last, next));
	return next;
}

void hlc_observe(uint64_t remote)
{
	uint64_t limit = (uint64_t)(clock_wall_ms() + HLC_MAX_AHEAD_MS) << 16;
	uint64_t last = atomic_load(&hlc_last);

	if (remote > limit)
		return;
	while (remote > last) {
		if (atomic_compare_exchange_weak(&hlc_last, &last, remote))
			return;
	}
}
