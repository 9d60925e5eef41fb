#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"

/* A request that was running when this many endpoints crashed is not sent any more. */
#define SUSPECT_CRASHES 3

/* How long it is refused after the last crash, in milliseconds. */
#define SUSPECT_MS 60000

/*
 * Equal for the same request sent again with another id. Requests without a body share their
 * paths with innocent ones, so they have none.
 */
static uint64_t fingerprint_of(const struct exchange *x)
{
	if (!x->body.len)
		return 0;
	return hash_mix(hash_str(buf_str(&x->head->target), 0), hash_str(x->body, 1));
}

bool suspect_refused(struct exchange *x)
{
	int64_t now = clock_boot_ms();

	x->fingerprint = fingerprint_of(x);
	return x->fingerprint &&
	       quarantine_note(x->entry->suspects, x->fingerprint, now).crashes >= SUSPECT_CRASHES;
}

void suspect_cut(const struct exchange *x, struct endpoint *ep)
{
	if (x->fingerprint)
		crash_watch_note(&ep->crash_watch, x->fingerprint, clock_boot_ms());
}

void suspect_endpoint_down(struct entry *e, struct endpoint *ep)
{
	uint64_t prints[CRASH_WATCH_SLOTS];
	int64_t now = clock_boot_ms();
	int count = crash_watch_confirm(&ep->crash_watch, now, prints);

	for (int i = 0; i < count; i++) {
		struct quarantine_note note;

		quarantine_charge(e->suspects, prints[i], count == 1, now);
		note = quarantine_note(e->suspects, prints[i], now);
		log_warn("crash-suspect", "fingerprint=%016llx endpoint=%s crashes=%d among=%d",
			 (unsigned long long)prints[i], ep->entry.id, note.crashes, count);
		metric_add(METRIC_QUARANTINED, note.crashes == SUSPECT_CRASHES);
		peers_note_suspect(e->peers, prints[i], note.crashes);
	}
}

void suspect_learn(struct entry *e, uint64_t fingerprint, int crashes)
{
	int64_t now = clock_boot_ms();
	struct quarantine_note note = { .fingerprint = fingerprint,
					.crashes = crashes,
					.refuse = crashes >= SUSPECT_CRASHES };

	if (quarantine_note(e->suspects, fingerprint, now).crashes < crashes)
		quarantine_learn(e->suspects, &note, now + SUSPECT_MS, now);
}
