#include <inttypes.h>
#include <stdlib.h>

#include "exchange.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/net/codec_sharing.h"

/*
 * Instances that start together hear each other within this time, in milliseconds; until then they
 * miss each other's accusations.
 */
#define MISSED_NEWS_MS 3000

/*
 * Equal when the same request is sent again with another id. Harmless requests without a body often
 * share their target; their answers clear it.
 */
static uint64_t fingerprint_of(const struct exchange *x)
{
	uint64_t content = hash_mix(hash_str(buf_str(&x->head->target), 0), hash_str(x->body, 1));

	return hash_mix(content, (uint64_t)x->head->method);
}

void suspect_set_fingerprint(struct exchange *x)
{
	x->fingerprint = fingerprint_of(x);
}

/* Number of parts that other requests may share; the last one belongs to the request itself. */
static int shared_part_count(const struct exchange *x)
{
	return x->in.part_count > 0 ? x->in.part_count - 1 : 0;
}

bool suspect_part_is_refused(const struct exchange *x, uint64_t *part)
{
	int64_t now = clock_boot_ms();

	for (int i = 0; i < shared_part_count(x); i++) {
		*part = x->in.parts[i].id;
		if (suspect_parts_is_refused(x->entry->suspect_parts, *part, now))
			return true;
	}
	return false;
}

bool suspect_is_refused(const struct exchange *x)
{
	uint64_t part;

	if (suspect_parts_is_refused(x->entry->suspect_parts, x->fingerprint, clock_boot_ms())) {
		log_info("suspect-refused", "request=%s fingerprint=%016" PRIx64, x->in.id,
			 x->fingerprint);
		return true;
	}
	if (!suspect_part_is_refused(x, &part))
		return false;
	log_info("part-refused", "request=%s part=%016" PRIx64, x->in.id, part);
	return true;
}

static void queue_part(struct entry *e, uint64_t part, enum shared_part_verdict verdict)
{
	peers_queue_suspect_part(
		e->peers, &(struct shared_suspect_part){ .part = part, .verdict = verdict }, 0);
}

static void queue_accusation(struct entry *e, const struct part_accusation *a)
{
	peers_queue_suspect_part(e->peers,
				 &(struct shared_suspect_part){
					 .part = a->part,
					 .verdict = a->is_separate ? PART_RESTATED : PART_ACCUSED,
					 .depth = a->depth,
					 .crash = a->crash },
				 a->lost_ms);
}

/* Queues the accusations of a refused part, or with 0 those of all, for the other instances. */
static void share_accusations(struct entry *e, uint64_t part)
{
	struct part_accusation list[SHARING_SUSPECT_PARTS_MAX];
	int n = suspect_parts_accusations(e->suspect_parts, part, clock_boot_ms(), list,
					  SHARING_SUSPECT_PARTS_MAX);

	for (int i = 0; i < n; i++)
		queue_accusation(e, &list[i]);
}

void suspects_share_all(struct entry *e)
{
	struct part_accusation list[SHARING_SUSPECT_PARTS_MAX];
	int64_t now = clock_boot_ms();
	int n;

	share_accusations(e, 0);
	n = suspect_parts_recent(e->suspect_parts, now - MISSED_NEWS_MS, now, list,
				 SHARING_SUSPECT_PARTS_MAX);
	for (int i = 0; i < n; i++)
		queue_accusation(e, &list[i]);
}

/* Return: false if the accusation was known. */
static bool part_accuse(struct entry *e, const struct part_accusation *a, const char *source)
{
	int64_t now = clock_boot_ms();
	bool was_refused = suspect_parts_is_refused(e->suspect_parts, a->part, now);
	bool known = suspect_parts_was_answered(e->suspect_parts, a->part, now);
	bool refused;

	if (!suspect_parts_accuse(e->suspect_parts, a, now))
		return false;
	refused = suspect_parts_is_refused(e->suspect_parts, a->part, now);
	log_warn(a->depth == SUSPECT_DEPTH_REQUEST ? "request-suspect" : "part-suspect",
		 "part=%016" PRIx64 " depth=%d crash=%08x crashes=%d refused=%d source=%s", a->part,
		 (int)a->depth, a->crash, suspect_parts_crashes(e->suspect_parts, a->part), refused,
		 source);
	metric_add(METRIC_QUARANTINED, refused && !was_refused);
	if (known)
		queue_part(e, a->part, PART_KNOWN);
	/*
	 * Others may lack one of these crashes: each instance has seen some of them, and counts
	 * several that arrive at the same moment once. What was answered may have been cleared
	 * there since.
	 */
	if (refused && !was_refused && !known)
		share_accusations(e, a->part);
	return true;
}

/* Accuses what was lost at the endpoint; @certain as for suspect_endpoint_crashed(). */
static void accuse_lost(struct entry *e, struct endpoint *ep, bool certain)
{
	struct part_accusation list[PART_WATCH_SLOTS];
	int n = part_watch_list(&ep->part_watch, ep->process_tag, !certain, clock_boot_ms(), list);

	if (certain)
		part_watch_clear(&ep->part_watch);
	for (int i = 0; i < n; i++) {
		if (part_accuse(e, &list[i], ep->entry.id))
			queue_accusation(e, &list[i]);
	}
}

void suspect_endpoint_crashed(struct entry *e, struct endpoint *ep, bool certain)
{
	ep->crashed_ms = clock_boot_ms();
	ep->crash_is_certain = certain;
	accuse_lost(e, ep, certain);
}

void suspect_connection_lost(const struct exchange *x, struct endpoint *ep)
{
	int64_t now = clock_boot_ms();
	int count = shared_part_count(x);
	struct part_accusation a = {
		.part = x->fingerprint,
		.depth = SUSPECT_DEPTH_REQUEST,
		.is_separate = x->losses > 0,
	};

	part_watch_add(&ep->part_watch, &a, now);
	/* Engines of a rack crash one shortly after the other, and many requests share a part. */
	a.is_separate = false;
	if (x->attempt.answer_goes_on || x->attempt.work != WIRE_WORK_RUN)
		count = 0;
	for (int i = 0; i < count; i++) {
		a.part = x->in.parts[i].id;
		a.depth = (uint32_t)i;
		part_watch_add(&ep->part_watch, &a, now);
	}
	/* The loss may be noticed after the crash, which then accuses nothing any more. */
	if (ep->crashed_ms && now - ep->crashed_ms <= PART_EVIDENCE_MS)
		accuse_lost(x->entry, ep, ep->crash_is_certain);
}

void suspect_part_merge(struct entry *e, const struct shared_suspect_part *r, int64_t lost_ms)
{
	switch (r->verdict) {
	case PART_ACCUSED:
	case PART_RESTATED:
		part_accuse(e,
			    &(struct part_accusation){ .part = r->part,
						       .depth = r->depth,
						       .crash = r->crash,
						       .is_separate = r->verdict == PART_RESTATED,
						       .lost_ms = lost_ms },
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

static void note_cleared(const struct exchange *x, uint64_t part)
{
	log_info("part-cleared", "request=%s part=%016" PRIx64, x->in.id, part);
	queue_part(x->entry, part, PART_CLEARED);
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

		if (suspect_parts_answered(x->entry->suspect_parts, part, a->sent_ms, now))
			note_cleared(x, part);
	}
}

void suspect_answer_complete(struct exchange *x)
{
	suspect_answer_goes_on(x);
	if (suspect_parts_request_answered(x->entry->suspect_parts, x->fingerprint,
					   x->attempt.sent_ms, clock_boot_ms()))
		note_cleared(x, x->fingerprint);
}
