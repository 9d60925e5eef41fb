#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/net/codec_sharing.h"

/* A request that was running during this many endpoint crashes is no longer sent. */
#define SUSPECT_REFUSE_CRASHES 3

/* How long such a request is refused after the last crash, in milliseconds. */
#define SUSPECT_REFUSE_MS 60000

/*
 * Fingerprint that is equal when the same request is sent again with another id. Requests without a
 * body have none, because they share their paths with harmless requests.
 */
static uint64_t fingerprint_of(const struct exchange *x)
{
	if (!x->body.len)
		return 0;
	return hash_mix(hash_str(buf_str(&x->head->target), 0), hash_str(x->body, 1));
}

bool suspect_is_quarantined(struct exchange *x)
{
	int64_t now = clock_boot_ms();

	x->fingerprint = fingerprint_of(x);
	return x->fingerprint &&
	       quarantine_summary(x->entry->suspects, x->fingerprint, now).crashes >=
		       SUSPECT_REFUSE_CRASHES;
}

void suspect_connection_lost(const struct exchange *x, struct endpoint *ep)
{
	if (x->fingerprint)
		crash_watch_add(&ep->crash_watch, x->fingerprint, clock_boot_ms());
}

void suspect_endpoint_crashed(struct entry *e, struct endpoint *ep)
{
	uint64_t prints[CRASH_WATCH_SLOTS];
	int64_t now = clock_boot_ms();
	int count = crash_watch_on_crash(&ep->crash_watch, now, prints);

	for (int i = 0; i < count; i++) {
		struct quarantine_summary note;

		quarantine_add_crash(e->suspects, prints[i], count == 1, now);
		note = quarantine_summary(e->suspects, prints[i], now);
		log_warn("crash-suspect", "fingerprint=%016llx endpoint=%s crashes=%d among=%d",
			 (unsigned long long)prints[i], ep->entry.id, note.crashes, count);
		metric_add(METRIC_QUARANTINED, note.crashes == SUSPECT_REFUSE_CRASHES);
		peers_queue_suspect(e->peers, prints[i], note.crashes);
	}
}

void suspect_merge(struct entry *e, uint64_t fingerprint, int crashes)
{
	int64_t now = clock_boot_ms();
	struct quarantine_summary note = { .fingerprint = fingerprint,
					   .crashes = crashes,
					   .refuse = crashes >= SUSPECT_REFUSE_CRASHES };

	if (quarantine_summary(e->suspects, fingerprint, now).crashes < crashes)
		quarantine_merge(e->suspects, &note, now + SUSPECT_REFUSE_MS, now);
}

void suspects_share_all(struct entry *e)
{
	struct quarantine_summary notes[SHARING_SUSPECTS_MAX];
	int n = quarantine_summaries(e->suspects, clock_boot_ms(), notes, SHARING_SUSPECTS_MAX);

	for (int i = 0; i < n; i++)
		peers_queue_suspect(e->peers, notes[i].fingerprint, notes[i].crashes);
}
