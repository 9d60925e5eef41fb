#ifndef IBISGATE_COMMON_CLOCK_H
#define IBISGATE_COMMON_CLOCK_H

#include <stdint.h>
#include <time.h>

/** clock_boot_ms - milliseconds on CLOCK_BOOTTIME, which runs on while the machine is suspended */
int64_t clock_boot_ms(void);

/** clock_boot_us - the same clock in microseconds */
int64_t clock_boot_us(void);

/** clock_wall_ms - milliseconds since the Unix epoch */
int64_t clock_wall_ms(void);

void clock_sleep_ms(int64_t ms);

/** clock_mono_after - CLOCK_MONOTONIC in @ms milliseconds, for pthread_cond_clockwait() */
struct timespec clock_mono_after(int64_t ms);

/**
 * hlc_now - hybrid logical clock: milliseconds of wall time << 16 | counter
 *
 * Thread-safe and strictly increasing in a process. Source: Kulkarni et al., "Logical Physical
 * Clocks", 2014.
 */
uint64_t hlc_now(void);

/** hlc_observe - move the clock past a time stamp received from another process */
void hlc_observe(uint64_t remote);

#endif
