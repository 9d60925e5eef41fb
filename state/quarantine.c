#include <stdlib.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/quarantine.h"

/* A fingerprint lives in one of WAYS slots, so that a look-up is short and memory is bounded. */
#define WAYS 8

struct entry {
	uint64_t fingerprint;
	int crashes;
	int alone;
	bool refuse;
	int64_t until_ms;
};

struct quarantine {
	int sets;
	struct entry *entries;
};

struct quarantine *quarantine_create(int capacity)
{
	struct quarantine *q = mem_zalloc(sizeof(*q));

	q->sets = (capacity + WAYS - 1) / WAYS;
	if (q->sets < 1)
		q->sets = 1;
	q->entries = mem_zalloc((size_t)q->sets * WAYS * sizeof(*q->entries));
	return q;
}

void quarantine_destroy(struct quarantine *q)
{
	if (!q)
		return;
	free(q->entries);
	free(q);
}

static struct entry *set_of(struct quarantine *q, uint64_t fingerprint)
{
	return &q->entries[(fingerprint % (uint64_t)q->sets) * WAYS];
}

static struct entry *find(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	struct entry *set = set_of(q, fingerprint);

	for (int i = 0; i < WAYS; i++) {
		struct entry *e = &set[i];

		if (e->crashes && e->fingerprint == fingerprint && now_ms < e->until_ms)
			return e;
	}
	return NULL;
}

/* Lower is evicted first: free or expired, then suspects, then refused ones, each by age. */
static int64_t keep_rank(const struct entry *e, int64_t now_ms)
{
	if (!e->crashes || now_ms >= e->until_ms)
		return INT64_MIN;
	return e->refuse ? e->until_ms : e->until_ms - INT64_MAX / 2;
}

static struct entry *insert(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	struct entry *set = set_of(q, fingerprint);
	struct entry *victim = set;

	for (int i = 1; i < WAYS; i++) {
		if (keep_rank(&set[i], now_ms) < keep_rank(victim, now_ms))
			victim = &set[i];
	}
	*victim = (struct entry){ .fingerprint = fingerprint };
	return victim;
}

static enum quarantine_verdict verdict(const struct entry *e)
{
	if (!e)
		return QUARANTINE_CLEAR;
	return e->refuse ? QUARANTINE_REFUSE : QUARANTINE_SUSPECT;
}

enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	return verdict(find(q, fingerprint, now_ms));
}

enum quarantine_verdict quarantine_charge(struct quarantine *q, uint64_t fingerprint, bool alone,
					  int64_t now_ms)
{
	struct entry *e = find(q, fingerprint, now_ms);

	if (!e)
		e = insert(q, fingerprint, now_ms);
	e->crashes++;
	e->alone += alone;
	if (e->crashes >= QUARANTINE_CRASHES && e->alone)
		e->refuse = true;
	e->until_ms = now_ms + QUARANTINE_SUSPECT_MS;
	if (e->refuse)
		e->until_ms = now_ms + QUARANTINE_MS;
	return verdict(e);
}

void quarantine_clear(struct quarantine *q, uint64_t fingerprint)
{
	struct entry *e = find(q, fingerprint, INT64_MIN);

	if (e && !e->refuse)
		*e = (struct entry){ 0 };
}

void quarantine_learn(struct quarantine *q, uint64_t fingerprint, int crashes, bool refuse,
		      int64_t until_ms, int64_t now_ms)
{
	struct entry *e = find(q, fingerprint, now_ms);

	if (until_ms <= now_ms || crashes < 1)
		return;
	if (until_ms > now_ms + QUARANTINE_MS)
		until_ms = now_ms + QUARANTINE_MS;
	if (!e)
		e = insert(q, fingerprint, now_ms);
	if (crashes > e->crashes)
		e->crashes = crashes;
	if (refuse)
		e->refuse = true;
	if (until_ms > e->until_ms)
		e->until_ms = until_ms;
}
