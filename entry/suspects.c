#include <inttypes.h>
#include <stdlib.h>

#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/net/codec_sharing.h"

/* A request that was running during this many endpoint crashes is no longer sent. */
#define SUSPECT_REFUSE_CRASHES 3

/* Connect and silence timeouts of the request that shows whether an engine has ended, in ms. */
#define PROBE_CONNECT_MS 300
#define PROBE_SILENCE_MS 1000

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

/* Number of parts that other requests may share; the last one belongs to the request itself. */
static int shared_part_count(const struct exchange *x)
{
	return x->in.part_count > 0 ? x->in.part_count - 1 : 0;
}

bool suspect_has_refused_part(const struct exchange *x)
{
	int64_t now = clock_boot_ms();

	for (int i = 0; i < shared_part_count(x); i++) {
		if (!suspect_parts_is_refused(x->entry->suspect_parts, x->in.parts[i].id, now))
			continue;
		log_info("part-refused", "request=%s part=%016" PRIx64, x->in.id,
			 x->in.parts[i].id);
		return true;
	}
	return false;
}

bool suspect_is_quarantined(struct exchange *x)
{
	int64_t now = clock_boot_ms();

	x->fingerprint = fingerprint_of(x);
	if (suspect_has_refused_part(x))
		return true;
	return x->fingerprint &&
	       quarantine_summary(x->entry->suspects, x->fingerprint, now).crashes >=
		       SUSPECT_REFUSE_CRASHES;
}

/** struct crash_probe - request that shows whether an engine has ended */
struct crash_probe {
	struct entry *entry;
	struct endpoint *endpoint;
};

static void on_probe_done(void *ctx, const struct http_result *r)
{
	struct crash_probe *p = ctx;

	p->endpoint->crash_probed = false;
	endpoint_apply_result(p->entry, p->endpoint, r);
	if (!p->entry->stopping && !r->status && r->failure == HTTP_FAILURE_REFUSED)
		suspect_endpoint_crashed(p->entry, p->endpoint, true);
	endpoint_put(p->endpoint);
	free(p);
}

/* Without it, a crash shows only when the next request is sent there or the engine is back. */
static void crash_probe_start(struct entry *e, struct endpoint *ep)
{
	struct crash_probe *p;
	struct buf request = { 0 };

	if (ep->crash_probed || !ep->listed)
		return;
	p = mem_zalloc(sizeof(*p));
	p->entry = e;
	p->endpoint = ep;
	ep->refs++;
	ep->crash_probed = true;
	wire_report_request_encode(&request, ep->entry.address);
	http_collect_start(e->endpoint_client,
			   &(struct http_exchange_spec){
				   .to = ep->address,
				   .request = buf_str(&request),
				   .needs_new_connection = true,
				   .connect_ms = PROBE_CONNECT_MS,
				   .read_timeout_ms = PROBE_SILENCE_MS,
				   .body_max_bytes = CONTROL_ANSWER_MAX_BYTES,
			   },
			   on_probe_done, p);
	buf_free(&request);
}

void suspect_connection_lost(const struct exchange *x, enum http_failure why, struct endpoint *ep)
{
	int64_t now = clock_boot_ms();

	if (x->fingerprint && why == HTTP_FAILURE_CLOSED)
		crash_watch_add(&ep->crash_watch, x->fingerprint, now);
	if (x->attempt.answer_goes_on || !shared_part_count(x))
		return;
	for (int i = 0; i < shared_part_count(x); i++)
		part_watch_add(&ep->part_watch, x->in.parts[i].id, (uint32_t)i, now);
	crash_probe_start(x->entry, ep);
}

static void queue_part(struct entry *e, uint64_t part, enum shared_part_verdict verdict)
{
	peers_queue_suspect_part(e->peers,
				 &(struct shared_suspect_part){ .part = part, .verdict = verdict });
}

/* Return: false if the accusation was known. */
static bool part_accuse(struct entry *e, const struct part_accusation *a, const char *source)
{
	int64_t now = clock_boot_ms();
	bool was_refused = suspect_parts_is_refused(e->suspect_parts, a->part, now);
	bool refused;

	if (!suspect_parts_accuse(e->suspect_parts, a, now))
		return false;
	refused = suspect_parts_is_refused(e->suspect_parts, a->part, now);
	log_warn("part-suspect",
		 "part=%016" PRIx64 " depth=%u crash=%08x crashes=%d refused=%d source=%s", a->part,
		 a->depth, a->crash, suspect_parts_crashes(e->suspect_parts, a->part), refused,
		 source);
	metric_add(METRIC_QUARANTINED, refused && !was_refused);
	if (suspect_parts_was_answered(e->suspect_parts, a->part, now))
		queue_part(e, a->part, PART_KNOWN);
	return true;
}

static void queue_accusation(struct entry *e, const struct part_accusation *a)
{
	peers_queue_suspect_part(e->peers,
				 &(struct shared_suspect_part){
					 .part = a->part,
					 .verdict = a->restated ? PART_RESTATED : PART_ACCUSED,
					 .depth = a->depth,
					 .crash = a->crash });
}

static void parts_accuse(struct entry *e, struct endpoint *ep)
{
	struct part_accusation list[PART_WATCH_SLOTS];
	int n = part_watch_take(&ep->part_watch, ep->process_tag, clock_boot_ms(), list);

	for (int i = 0; i < n; i++) {
		if (part_accuse(e, &list[i], ep->entry.id))
			queue_accusation(e, &list[i]);
	}
}

void suspect_part_merge(struct entry *e, const struct shared_suspect_part *r)
{
	switch (r->verdict) {
	case PART_ACCUSED:
	case PART_RESTATED:
		part_accuse(e,
			    &(struct part_accusation){ .part = r->part,
						       .depth = r->depth,
						       .crash = r->crash,
						       .restated = r->verdict == PART_RESTATED },
			    "peer");
		break;
	case PART_CLEARED:
		suspect_parts_clear(e->suspect_parts, r->part);
		break;
	case PART_KNOWN:
		suspect_parts_set_known(e->suspect_parts, r->part, clock_boot_ms());
		break;
	}
}

void suspect_answer_goes_on(struct exchange *x)
{
	struct attempt *a = &x->attempt;
	int64_t now = clock_boot_ms();

	if (a->answer_goes_on)
		return;
	a->answer_goes_on = true;
	for (int i = 0; i < shared_part_count(x); i++) {
		uint64_t part = x->in.parts[i].id;

		if (!suspect_parts_answered(x->entry->suspect_parts, part, a->sent_ms, now))
			continue;
		log_info("part-cleared", "request=%s part=%016" PRIx64, x->in.id, part);
		queue_part(x->entry, part, PART_CLEARED);
	}
}

void suspect_endpoint_crashed(struct entry *e, struct endpoint *ep, bool certain)
{
	uint64_t prints[CRASH_WATCH_SLOTS];
	int64_t now = clock_boot_ms();
	int count = crash_watch_on_crash(&ep->crash_watch, now, prints);

	if (certain)
		parts_accuse(e, ep);
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

static void suspect_parts_share_all(struct entry *e)
{
	struct part_accusation list[SHARING_SUSPECT_PARTS_MAX];
	int n = suspect_parts_accusations(e->suspect_parts, clock_boot_ms(), list,
					  SHARING_SUSPECT_PARTS_MAX);

	for (int i = 0; i < n; i++)
		queue_accusation(e, &list[i]);
}

void suspects_share_all(struct entry *e)
{
	struct quarantine_summary notes[SHARING_SUSPECTS_MAX];
	int n = quarantine_summaries(e->suspects, clock_boot_ms(), notes, SHARING_SUSPECTS_MAX);

	for (int i = 0; i < n; i++)
		peers_queue_suspect(e->peers, notes[i].fingerprint, notes[i].crashes);
	suspect_parts_share_all(e);
}
