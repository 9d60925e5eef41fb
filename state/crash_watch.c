#include "ibisgate/state/crash_watch.h"

/* Evidence of a crash appears within this time after the connections broke. */
#define EVIDENCE_MAX_DELAY_MS 3000

void crash_watch_add(struct crash_watch *w, uint64_t fingerprint, int64_t now_ms)
{
	w->entries[w->next] = (struct crash_entry){ .fingerprint = fingerprint, .at_ms = now_ms };
	w->next = (w->next + 1) % CRASH_WATCH_SLOTS;
}

int crash_watch_on_crash(struct crash_watch *w, int64_t now_ms, uint64_t *out)
{
	int count = 0;

	for (int i = 0; i < CRASH_WATCH_SLOTS; i++) {
		struct crash_entry *e = &w->entries[i];

		if (e->fingerprint && now_ms - e->at_ms <= EVIDENCE_MAX_DELAY_MS)
			out[count++] = e->fingerprint;
		*e = (struct crash_entry){ 0 };
	}
	return count;
}
