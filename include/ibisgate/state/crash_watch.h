#ifndef IBISGATE_STATE_CRASH_WATCH_H
#define IBISGATE_STATE_CRASH_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#define CRASH_WATCH_SLOTS 8

/**
 * struct crash_entry - a request whose connection broke while the request ran
 * @fingerprint: fingerprint of the request; 0 marks a free slot
 * @at_ms: when the connection broke
 */
struct crash_entry {
	uint64_t fingerprint;
	int64_t at_ms;
};

/**
 * struct crash_watch - requests on one endpoint whose connection broke, as candidate crash causes
 * @next: slot for the next entry; the oldest entry is overwritten
 *
 * A connection can also break without a crash. A broken connection counts as a crash only if the
 * endpoint then refuses connections or turns out to have restarted.
 */
struct crash_watch {
	struct crash_entry entries[CRASH_WATCH_SLOTS];
	int next;
};

/** crash_watch_add - record that the connection of a running request broke */
void crash_watch_add(struct crash_watch *w, uint64_t fingerprint, int64_t now_ms);

/**
 * crash_watch_on_crash - handle a confirmed crash of the endpoint and remove all entries
 * @out: fingerprints of requests that ran there shortly before; has room for CRASH_WATCH_SLOTS
 *
 * Return: number of fingerprints in @out.
 */
int crash_watch_on_crash(struct crash_watch *w, int64_t now_ms, uint64_t *out);

#endif
