#include <stdlib.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/str.h"
#include "ibisgate/state/suspect_parts.h"

/* Crashes remembered for one part; they suffice to refuse it. */
#define CRASHES_MAX 8

/* Accusations of a part within this time may be of crashes at the same moment, in milliseconds. */
#define SAME_MOMENT_MS 50

/* Slots for parts that were answered; a part overwrites the former one of its slot. */
#define ANSWERED_SLOTS 2048

/** struct answered_set - parts that were answered lately, with the times of the last answers */
struct answered_set {
	struct {
		uint64_t part;
		int64_t at_ms;
	} slots[ANSWERED_SLOTS];
};

/**
 * struct suspect - an accused part or request; its slot is free while there are no crashes
 * @is_known: requests with the part were answered before
 * @moments_ms: by crash, when connections broke; 0 of separate ones
 * @accused_ms: when the last accusation arrived
 * @moment_ms: moment of the last one that is not separate
 */
struct suspect {
	uint64_t part;
	uint32_t depth;
	uint32_t crashes[CRASHES_MAX];
	int64_t moments_ms[CRASHES_MAX];
	int count;
	bool is_known;
	int64_t accused_ms;
	int64_t moment_ms;
};

/**
 * struct suspect_parts - accused parts and requests, and those that were answered lately
 * @count: number of slots of @suspects in use; freed ones are filled with the last
 * @answered_requests: apart, as there are many more of them than of shared parts
 */
struct suspect_parts {
	struct suspect suspects[SUSPECT_PARTS_MAX];
	int count;
	struct answered_set answered_parts;
	struct answered_set answered_requests;
};

struct suspect_parts *suspect_parts_create(void)
{
	return mem_zalloc(sizeof(struct suspect_parts));
}

void suspect_parts_destroy(struct suspect_parts *s)
{
	free(s);
}

static struct suspect *suspect_find(const struct suspect_parts *s, uint64_t part)
{
	for (int i = 0; i < s->count; i++) {
		if (s->suspects[i].part == part)
			return (struct suspect *)&s->suspects[i];
	}
	return NULL;
}

static bool suspect_is_request(const struct suspect *p)
{
	return p->depth == SUSPECT_DEPTH_REQUEST;
}

static bool suspect_has_crash(const struct suspect *p, uint32_t crash)
{
	for (int i = 0; i < p->count; i++) {
		if (p->crashes[i] == crash)
			return true;
	}
	return false;
}

static bool is_same_moment(int64_t x_ms, int64_t y_ms)
{
	return x_ms && y_ms && llabs(x_ms - y_ms) < SAME_MOMENT_MS;
}

/* Whether the part is accused of a crash at that moment; reports arrive in any order. */
static bool suspect_has_moment(const struct suspect *p, int64_t moment_ms)
{
	for (int i = 0; i < p->count; i++) {
		if (is_same_moment(p->moments_ms[i], moment_ms))
			return true;
	}
	return is_same_moment(p->moment_ms, moment_ms);
}

static bool count_is_refused(const struct suspect *p, int count, int64_t now_ms)
{
	int limit = p->is_known ? SUSPECT_KNOWN_PART_CRASHES : SUSPECT_NEW_PART_CRASHES;

	return count >= limit && now_ms - p->accused_ms < SUSPECT_REFUSAL_MS;
}

/* Number of crashes that count against a part: one for all those of each refused request. */
static int suspect_count_crashes(const struct suspect_parts *s, const struct suspect *p,
				 int64_t now_ms)
{
	bool explained[CRASHES_MAX] = { false };
	int count = p->count;

	for (int i = 0; i < s->count && !suspect_is_request(p); i++) {
		const struct suspect *r = &s->suspects[i];
		int common = 0;

		if (!suspect_is_request(r) || !count_is_refused(r, r->count, now_ms))
			continue;
		for (int k = 0; k < p->count; k++) {
			if (explained[k] || !suspect_has_crash(r, p->crashes[k]))
				continue;
			explained[k] = true;
			common++;
		}
		count -= common ? common - 1 : 0;
	}
	return count;
}

static bool suspect_is_refused(const struct suspect_parts *s, const struct suspect *p,
			       int64_t now_ms)
{
	return count_is_refused(p, p->count, now_ms) &&
	       count_is_refused(p, suspect_count_crashes(s, p, now_ms), now_ms);
}

static void suspect_remove(struct suspect_parts *s, struct suspect *p)
{
	*p = s->suspects[--s->count];
}

/*
 * When there is no free slot, the one with the fewest crashes is used again, the oldest of several.
 */
static struct suspect *suspect_add(struct suspect_parts *s, uint64_t part, int64_t now_ms)
{
	struct suspect *victim = NULL;

	if (s->count < SUSPECT_PARTS_MAX) {
		victim = &s->suspects[s->count++];
	} else {
		for (int i = 0; i < s->count; i++) {
			struct suspect *p = &s->suspects[i];

			if (suspect_is_refused(s, p, now_ms))
				continue;
			if (!victim || p->count < victim->count ||
			    (p->count == victim->count && p->accused_ms < victim->accused_ms))
				victim = p;
		}
	}
	if (victim)
		*victim = (struct suspect){ .part = part };
	return victim;
}

/*
 * Whether the crashes of a refused part are no evidence against @p. Those of a refused request are
 * treated by suspect_count_crashes().
 */
static bool suspect_explains(const struct suspect *refused, const struct suspect *p)
{
	return !suspect_is_request(refused) && p->part != refused->part &&
	       (p->is_known || p->depth < refused->depth);
}

static void suspect_explain_crashes(struct suspect_parts *s, struct suspect refused)
{
	for (int i = s->count - 1; i >= 0; i--) {
		struct suspect *p = &s->suspects[i];

		if (!suspect_explains(&refused, p))
			continue;
		for (int k = p->count - 1; k >= 0; k--) {
			if (!suspect_has_crash(&refused, p->crashes[k]))
				continue;
			p->crashes[k] = p->crashes[--p->count];
			p->moments_ms[k] = p->moments_ms[p->count];
		}
		if (!p->count)
			suspect_remove(s, p);
	}
}

static bool crash_is_explained(const struct suspect_parts *s, const struct suspect *accused,
			       uint32_t crash, int64_t now_ms)
{
	for (int i = 0; i < s->count; i++) {
		const struct suspect *p = &s->suspects[i];

		if (suspect_is_refused(s, p, now_ms) && suspect_has_crash(p, crash) &&
		    suspect_explains(p, accused))
			return true;
	}
	return false;
}

bool suspect_parts_accuse(struct suspect_parts *s, const struct part_accusation *a, int64_t now_ms)
{
	struct suspect *p = suspect_find(s, a->part);
	struct suspect accused = { .part = a->part, .depth = a->depth };
	int64_t moment_ms = a->lost_ms ? a->lost_ms : now_ms;

	if (p)
		accused = *p;
	accused.is_known = accused.is_known || suspect_parts_was_answered(s, a->part, now_ms);
	if (!a->is_separate && suspect_has_moment(&accused, moment_ms))
		return false;
	if (suspect_has_crash(&accused, a->crash) ||
	    crash_is_explained(s, &accused, a->crash, now_ms))
		return false;
	if (!p)
		p = suspect_add(s, a->part, now_ms);
	if (!p)
		return false;
	accused.accused_ms = now_ms;
	if (!a->is_separate)
		accused.moment_ms = moment_ms;
	if (accused.count < CRASHES_MAX) {
		accused.crashes[accused.count] = a->crash;
		accused.moments_ms[accused.count++] = a->is_separate ? 0 : moment_ms;
	}
	*p = accused;
	if (suspect_is_refused(s, p, now_ms))
		suspect_explain_crashes(s, accused);
	return true;
}

static uint64_t answered_slot(uint64_t part)
{
	return hash_mix(part, 0) % ANSWERED_SLOTS;
}

static bool answered_has(const struct answered_set *a, uint64_t part, int64_t now_ms)
{
	uint64_t i = answered_slot(part);

	return a->slots[i].at_ms && a->slots[i].part == part &&
	       now_ms - a->slots[i].at_ms < SUSPECT_REFUSAL_MS;
}

static void answered_add(struct answered_set *a, uint64_t part, int64_t now_ms)
{
	uint64_t i = answered_slot(part);

	a->slots[i].part = part;
	a->slots[i].at_ms = now_ms;
}

bool suspect_parts_was_answered(const struct suspect_parts *s, uint64_t part, int64_t now_ms)
{
	return answered_has(&s->answered_parts, part, now_ms) ||
	       answered_has(&s->answered_requests, part, now_ms);
}

static bool suspect_answered(struct suspect_parts *s, uint64_t part, int64_t sent_ms)
{
	struct suspect *p = suspect_find(s, part);

	if (!p)
		return false;
	if (sent_ms <= p->accused_ms) {
		p->is_known = true;
		return false;
	}
	suspect_remove(s, p);
	return true;
}

bool suspect_parts_answered(struct suspect_parts *s, uint64_t part, int64_t sent_ms, int64_t now_ms)
{
	answered_add(&s->answered_parts, part, now_ms);
	return suspect_answered(s, part, sent_ms);
}

bool suspect_parts_request_answered(struct suspect_parts *s, uint64_t fingerprint, int64_t sent_ms,
				    int64_t now_ms)
{
	answered_add(&s->answered_requests, fingerprint, now_ms);
	return suspect_answered(s, fingerprint, sent_ms);
}

void suspect_parts_clear(struct suspect_parts *s, uint64_t part)
{
	struct suspect *p = suspect_find(s, part);

	if (p)
		suspect_remove(s, p);
}

void suspect_parts_set_known(struct suspect_parts *s, uint64_t part, int64_t now_ms)
{
	struct suspect *p = suspect_find(s, part);

	answered_add(&s->answered_parts, part, now_ms);
	if (p)
		p->is_known = true;
}

bool suspect_parts_is_refused(const struct suspect_parts *s, uint64_t part, int64_t now_ms)
{
	const struct suspect *p = suspect_find(s, part);

	return p && suspect_is_refused(s, p, now_ms);
}

int suspect_parts_crashes(const struct suspect_parts *s, uint64_t part)
{
	const struct suspect *p = suspect_find(s, part);

	return p ? p->count : 0;
}

int suspect_parts_count_refused(const struct suspect_parts *s, int64_t now_ms)
{
	int n = 0;

	for (int i = 0; i < s->count; i++)
		n += suspect_is_refused(s, &s->suspects[i], now_ms);
	return n;
}

int suspect_parts_accusations(const struct suspect_parts *s, uint64_t part, int64_t now_ms,
			      struct part_accusation *out, int max)
{
	int n = 0;

	for (int i = 0; i < s->count; i++) {
		const struct suspect *p = &s->suspects[i];

		if ((part && p->part != part) || !suspect_is_refused(s, p, now_ms))
			continue;
		for (int k = 0; k < p->count && n < max; k++)
			out[n++] = (struct part_accusation){ .part = p->part,
							     .depth = p->depth,
							     .crash = p->crashes[k],
							     .is_separate = true };
	}
	return n;
}

int suspect_parts_recent(const struct suspect_parts *s, int64_t since_ms, int64_t now_ms,
			 struct part_accusation *out, int max)
{
	int n = 0;

	for (int i = 0; i < s->count; i++) {
		const struct suspect *p = &s->suspects[i];

		if (p->is_known || p->accused_ms < since_ms || suspect_is_refused(s, p, now_ms))
			continue;
		for (int k = 0; k < p->count && n < max; k++)
			out[n++] = (struct part_accusation){ .part = p->part,
							     .depth = p->depth,
							     .crash = p->crashes[k],
							     .is_separate = !p->moments_ms[k],
							     .lost_ms = p->moments_ms[k] };
	}
	return n;
}

void part_watch_add(struct part_watch *w, const struct part_accusation *a, int64_t now_ms)
{
	int i = w->next;

	for (int k = 0; k < PART_WATCH_SLOTS; k++) {
		if (w->slots[k].at_ms && w->slots[k].part == a->part)
			i = k;
	}
	if (i == w->next)
		w->next = (w->next + 1) % PART_WATCH_SLOTS;
	w->slots[i].part = a->part;
	w->slots[i].depth = a->depth;
	w->slots[i].is_separate = a->is_separate;
	w->slots[i].at_ms = now_ms;
}

int part_watch_list(const struct part_watch *w, uint32_t crash, bool requests_only, int64_t now_ms,
		    struct part_accusation *out)
{
	int count = 0;

	for (int i = 0; i < PART_WATCH_SLOTS; i++) {
		if (!w->slots[i].at_ms || now_ms - w->slots[i].at_ms > PART_EVIDENCE_MS ||
		    (requests_only && w->slots[i].depth != SUSPECT_DEPTH_REQUEST))
			continue;
		out[count++] = (struct part_accusation){ .part = w->slots[i].part,
							 .depth = w->slots[i].depth,
							 .crash = crash,
							 .is_separate = w->slots[i].is_separate,
							 .lost_ms = w->slots[i].at_ms };
	}
	return count;
}

void part_watch_clear(struct part_watch *w)
{
	*w = (struct part_watch){ 0 };
}
