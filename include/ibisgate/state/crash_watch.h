#ifndef IBISGATE_STATE_CRASH_WATCH_H
#define IBISGATE_STATE_CRASH_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#define CRASH_WATCH_SLOTS 8

/** struct crash_entry - a request whose connection broke while it ran; @fingerprint 0: unused */
struct crash_entry {
	uint64_t fingerprint;
	int64_t at_ms;
};

/**
 * struct crash_watch - requests that were cut off at one endpoint and wait for evidence
 *
 * A connection also breaks without a crash. It counts as one only if the endpoint then refuses
 * connections or has started again.
 */
struct crash_watch {
	struct crash_entry entries[CRASH_WATCH_SLOTS];
	int next;
};

void crash_watch_note(struct crash_watch *w, uint64_t fingerprint, int64_t now_ms);

/**
 * crash_watch_confirm - the endpoint has crashed
 * @out: fingerprints that ran there shortly before; CRASH_WATCH_SLOTS fit
 *
 * Return: number of them. They are forgotten.
 */
int crash_watch_confirm(struct crash_watch *w, int64_t now_ms, uint64_t *out);

#endif
