#include <stdlib.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/str.h"
#include "ibisgate/state/suspect_parts.h"

/* Crashes remembered for one part; they suffice to refuse it. */
#define CRASHES_MAX 8

/* Evidence of a crash appears within this time after the connections broke. */
#define EVIDENCE_MAX_DELAY_MS 3000

/* Accusations of a part within this time may be of crashes at the same moment, in milliseconds. */
#define SAME_MOMENT_MS 50

/* Slots for parts that were answered; a part overwrites the former one of its slot. */
#define ANSWERED_SLOTS 2048

/**
 * struct suspect - an accused part; its slot is free while there are no crashes
 * @is_known: requests with the part were answered before
 * @accused_ms: when the last accusation arrived
 */
struct suspect {
	uint64_t part;
	uint32_t depth;
	uint32_t crashes[CRASHES_MAX];
	int count;
	bool is_known;
	int64_t accused_ms;
};

/**
 * struct suspect_parts - accused parts, and parts that were answered lately
 * @count: number of slots of @suspects in use; freed ones are filled with the last
 */
struct suspect_parts {
	struct suspect suspects[SUSPECT_PARTS_MAX];
	int count;
	struct {
		uint64_t part;
		int64_t at_ms;
	} answered[ANSWERED_SLOTS];
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

static bool suspect_is_refused(const struct suspect *p, int64_t now_ms)
{
	int limit = p->is_known ? SUSPECT_KNOWN_PART_CRASHES : SUSPECT_NEW_PART_CRASHES;

	return p->count >= limit && now_ms - p->accused_ms < SUSPECT_REFUSAL_MS;
}

static bool suspect_has_crash(const struct suspect *p, uint32_t crash)
{
	for (int i = 0; i < p->count; i++) {
		if (p->crashes[i] == crash)
			return true;
	}
	return false;
}

static void suspect_remove(struct suspect_parts *s, struct suspect *p)
{
	*p = s->suspects[--s->count];
}

/* The slot of the oldest part that is not refused is used again when there is no free one. */
static struct suspect *suspect_add(struct suspect_parts *s, uint64_t part, int64_t now_ms)
{
	struct suspect *victim = NULL;

	if (s->count < SUSPECT_PARTS_MAX) {
		victim = &s->suspects[s->count++];
	} else {
		for (int i = 0; i < s->count; i++) {
			struct suspect *p = &s->suspects[i];

			if (!suspect_is_refused(p, now_ms) &&
			    (!victim || p->accused_ms < victim->accused_ms))
				victim = p;
		}
	}
	if (victim)
		*victim = (struct suspect){ .part = part };
	return victim;
}

/* Whether the crashes of a refused part are no evidence against @p. */
static bool suspect_explains(const struct suspect *refused, const struct suspect *p)
{
	return p->part != refused->part && (p->is_known || p->depth < refused->depth);
}

static void suspect_explain_crashes(struct suspect_parts *s, struct suspect refused)
{
	for (int i = s->count - 1; i >= 0; i--) {
		struct suspect *p = &s->suspects[i];

		if (!suspect_explains(&refused, p))
			continue;
		for (int k = p->count - 1; k >= 0; k--) {
			if (suspect_has_crash(&refused, p->crashes[k]))
				p->crashes[k] = p->crashes[--p->count];
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

		if (suspect_is_refused(p, now_ms) && suspect_has_crash(p, crash) &&
		    suspect_explains(p, accused))
			return true;
	}
	return false;
}

bool suspect_parts_accuse(struct suspect_parts *s, const struct part_accusation *a, int64_t now_ms)
{
	struct suspect *p = suspect_find(s, a->part);
	struct suspect accused = { .part = a->part, .depth = a->depth };

	if (p)
		accused = *p;
	accused.is_known = accused.is_known || suspect_parts_was_answered(s, a->part, now_ms);
	if (accused.count && !a->restated && now_ms - accused.accused_ms < SAME_MOMENT_MS)
		return false;
	if (suspect_has_crash(&accused, a->crash) ||
	    crash_is_explained(s, &accused, a->crash, now_ms))
		return false;
	if (!p)
		p = suspect_add(s, a->part, now_ms);
	if (!p)
		return false;
	accused.accused_ms = now_ms;
	if (accused.count < CRASHES_MAX)
		accused.crashes[accused.count++] = a->crash;
	*p = accused;
	if (suspect_is_refused(p, now_ms))
		suspect_explain_crashes(s, accused);
	return true;
}

static uint64_t answered_slot(uint64_t part)
{
	return hash_mix(part, 0) % ANSWERED_SLOTS;
}

bool suspect_parts_was_answered(const struct suspect_parts *s, uint64_t part, int64_t now_ms)
{
	uint64_t i = answered_slot(part);

	return s->answered[i].at_ms && s->answered[i].part == part &&
	       now_ms - s->answered[i].at_ms < SUSPECT_REFUSAL_MS;
}

static void answered_set(struct suspect_parts *s, uint64_t part, int64_t now_ms)
{
	uint64_t i = answered_slot(part);

	s->answered[i].part = part;
	s->answered[i].at_ms = now_ms;
}

bool suspect_parts_answered(struct suspect_parts *s, uint64_t part, int64_t sent_ms, int64_t now_ms)
{
	struct suspect *p = suspect_find(s, part);

	answered_set(s, part, now_ms);
	if (!p)
		return false;
	if (sent_ms <= p->accused_ms) {
		p->is_known = true;
		return false;
	}
	suspect_remove(s, p);
	return true;
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

	answered_set(s, part, now_ms);
	if (p)
		p->is_known = true;
}

bool suspect_parts_is_refused(const struct suspect_parts *s, uint64_t part, int64_t now_ms)
{
	const struct suspect *p = suspect_find(s, part);

	return p && suspect_is_refused(p, now_ms);
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
		n += suspect_is_refused(&s->suspects[i], now_ms);
	return n;
}

int suspect_parts_accusations(const struct suspect_parts *s, int64_t now_ms,
			      struct part_accusation *out, int max)
{
	int n = 0;

	for (int i = 0; i < s->count; i++) {
		const struct suspect *p = &s->suspects[i];

		if (!suspect_is_refused(p, now_ms))
			continue;
		for (int k = 0; k < p->count && n < max; k++)
			out[n++] = (struct part_accusation){ .part = p->part,
							     .depth = p->depth,
							     .crash = p->crashes[k],
							     .restated = true };
	}
	return n;
}

void part_watch_add(struct part_watch *w, uint64_t part, uint32_t depth, int64_t now_ms)
{
	w->slots[w->next].part = part;
	w->slots[w->next].depth = depth;
	w->slots[w->next].at_ms = now_ms;
	w->next = (w->next + 1) % PART_WATCH_SLOTS;
}

static bool list_has(const struct part_accusation *list, int count, uint64_t part)
{
	for (int i = 0; i < count; i++) {
		if (list[i].part == part)
			return true;
	}
	return false;
}

int part_watch_take(struct part_watch *w, uint32_t crash, int64_t now_ms,
		    struct part_accusation *out)
{
	int count = 0;

	for (int i = 0; i < PART_WATCH_SLOTS; i++) {
		if (!w->slots[i].at_ms || now_ms - w->slots[i].at_ms > EVIDENCE_MAX_DELAY_MS ||
		    list_has(out, count, w->slots[i].part))
			continue;
		out[count++] = (struct part_accusation){ .part = w->slots[i].part,
							 .depth = w->slots[i].depth,
							 .crash = crash };
	}
	*w = (struct part_watch){ 0 };
	return count;
}
