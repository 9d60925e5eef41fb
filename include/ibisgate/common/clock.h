#ifndef IBISGATE_COMMON_CLOCK_H
#define IBISGATE_COMMON_CLOCK_H

#include <stdint.h>
#include <time.h>

/** clock_boot_ms - milliseconds on CLOCK_BOOTTIME, which runs on while the machine is suspended */
int64_t clock_boot_ms(void);

/** clock_boot_us - microseconds on CLOCK_BOOTTIME */
int64_t clock_boot_us(void);

/** clock_wall_ms - milliseconds since the Unix epoch */
int64_t clock_wall_ms(void);

void clock_sleep_ms(int64_t ms);

/**
 * clock_monotonic_after - CLOCK_MONOTONIC time in @ms milliseconds
 *
 * Serves as a deadline for pthread_cond_clockwait().
 */
struct timespec clock_monotonic_after(int64_t ms);

/**
 * hlc_now - hybrid logical clock: wall time in milliseconds << 16 | counter
 *
 * Thread-safe and strictly increasing within a process. See Kulkarni et al., "Logical Physical
 * Clocks", 2014.
 */
uint64_t hlc_now(void);

/** hlc_observe - advance the clock past a timestamp received from another process */
void hlc_observe(uint64_t remote);

#endif
