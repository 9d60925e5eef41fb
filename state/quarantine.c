#include <stdlib.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/quarantine.h"

/* A fingerprint lives in one of WAYS slots, so that a look-up is short and memory is bounded. */
#define WAYS 8

/** struct suspicion - unconfirmed crash; free when the place has no endpoint */
struct suspicion {
	struct quarantine_place place;
	int64_t at_ms;
};

/**
 * struct entry - one fingerprint
 * @told: unconfirmed crashes that peers have told of
 */
struct entry {
	uint64_t fingerprint;
	int crashes;
	int alone;
	int told;
	bool refuse;
	int64_t until_ms;
	struct suspicion open[QUARANTINE_CRASHES];
};

/** struct quarantine - @open: suspicions in all entries, so that a search can be left out */
struct quarantine {
	int sets;
	int open;
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

static int open_count(const struct entry *e)
{
	int n = 0;

	for (int i = 0; i < QUARANTINE_CRASHES; i++)
		n += e->open[i].place.endpoint != 0;
	return n;
}

static bool in_use(const struct entry *e)
{
	return e->crashes || e->told || open_count(e);
}

static struct entry *find(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	struct entry *set = set_of(q, fingerprint);

	for (int i = 0; i < WAYS; i++) {
		struct entry *e = &set[i];

		if (in_use(e) && e->fingerprint == fingerprint && now_ms < e->until_ms)
			return e;
	}
	return NULL;
}

/* Lower is evicted first: free or expired, then suspects, then refused ones, each by age. */
static int64_t keep_rank(const struct entry *e, int64_t now_ms)
{
	if (!in_use(e) || now_ms >= e->until_ms)
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
	q->open -= open_count(victim);
	*victim = (struct entry){ .fingerprint = fingerprint };
	return victim;
}

/* By the rule of a refusal, with what is unconfirmed counted as crashes. */
static bool held(const struct entry *e)
{
	int open = open_count(e);
	bool alone = e->alone || e->told >= QUARANTINE_CRASHES;

	for (int i = 0; i < QUARANTINE_CRASHES; i++)
		alone = alone || e->open[i].place.alone;
	return open + e->told && e->crashes + open + e->told >= QUARANTINE_CRASHES && alone;
}

static enum quarantine_verdict verdict(const struct entry *e)
{
	if (!e || !in_use(e))
		return QUARANTINE_CLEAR;
	if (e->refuse)
		return QUARANTINE_REFUSE;
	return held(e) ? QUARANTINE_HOLD : QUARANTINE_SUSPECT;
}

enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	return verdict(find(q, fingerprint, now_ms));
}

static struct entry *entry_get(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	struct entry *e = find(q, fingerprint, now_ms);

	return e ? e : insert(q, fingerprint, now_ms);
}

static void charge(struct entry *e, bool alone, int64_t now_ms)
{
	e->crashes++;
	e->alone += alone;
	if (e->crashes >= QUARANTINE_CRASHES && e->alone)
		e->refuse = true;
	e->until_ms = now_ms + QUARANTINE_SUSPECT_MS;
	if (e->refuse)
		e->until_ms = now_ms + QUARANTINE_MS;
}

enum quarantine_verdict quarantine_charge(struct quarantine *q, uint64_t fingerprint, bool alone,
					  int64_t now_ms)
{
	struct entry *e = entry_get(q, fingerprint, now_ms);

	charge(e, alone, now_ms);
	return verdict(e);
}

enum quarantine_verdict quarantine_suspect(struct quarantine *q, uint64_t fingerprint,
					   const struct quarantine_place *place, int64_t now_ms)
{
	struct entry *e = entry_get(q, fingerprint, now_ms);
	struct suspicion *s = NULL;

	/* Broken connections to one run of one endpoint are one crash at most. */
	for (int i = QUARANTINE_CRASHES - 1; i >= 0; i--) {
		if (!e->open[i].place.endpoint)
			s = &e->open[i];
	}
	for (int i = 0; i < QUARANTINE_CRASHES; i++) {
		if (e->open[i].place.endpoint == place->endpoint &&
		    e->open[i].place.boot == place->boot)
			s = &e->open[i];
	}
	if (!e->refuse)
		e->until_ms = now_ms + QUARANTINE_SUSPECT_MS;
	if (!s)
		return verdict(e);
	q->open += !s->place.endpoint;
	s->place = (struct quarantine_place){
		.endpoint = place->endpoint,
		.boot = place->boot,
		.alone = place->alone || s->place.alone,
	};
	s->at_ms = now_ms;
	return verdict(e);
}

static void settle(struct quarantine *q, struct entry *e, struct suspicion *s, bool crashed,
		   int64_t now_ms)
{
	bool alone = s->place.alone;

	*s = (struct suspicion){ 0 };
	q->open--;
	if (crashed)
		charge(e, alone, now_ms);
}

enum evidence {
	EVIDENCE_NONE,
	EVIDENCE_CRASHED,
	EVIDENCE_ALIVE,
};

/** struct sighting - what is known of endpoints; @count is -1 for one endpoint that answered */
struct sighting {
	uint64_t endpoint;
	uint64_t boot;
	const uint64_t *listed;
	int count;
	int64_t asked_ms;
};

static enum evidence evidence_of(const struct sighting *by, const struct suspicion *s)
{
	if (by->count < 0) {
		if (s->place.endpoint != by->endpoint || !s->place.boot || !by->boot)
			return EVIDENCE_NONE;
		if (s->place.boot != by->boot)
			return EVIDENCE_CRASHED;
		return s->at_ms < by->asked_ms ? EVIDENCE_ALIVE : EVIDENCE_NONE;
	}
	for (int i = 0; i < by->count; i++) {
		if (by->listed[i] == s->place.endpoint)
			return EVIDENCE_NONE;
	}
	return s->at_ms < by->asked_ms ? EVIDENCE_CRASHED : EVIDENCE_NONE;
}

static bool entry_judge(struct quarantine *q, struct entry *e, const struct sighting *by,
			int64_t now_ms)
{
	bool changed = false;

	for (int i = 0; i < QUARANTINE_CRASHES; i++) {
		enum evidence found = EVIDENCE_NONE;

		if (e->open[i].place.endpoint)
			found = evidence_of(by, &e->open[i]);
		if (found == EVIDENCE_NONE)
			continue;
		settle(q, e, &e->open[i], found == EVIDENCE_CRASHED, now_ms);
		changed = true;
	}
	return changed;
}

static int judge(struct quarantine *q, const struct sighting *by, int64_t now_ms, uint64_t *out,
		 int max)
{
	int n = 0;

	for (int i = 0; i < q->sets * WAYS && q->open && n < max; i++) {
		if (entry_judge(q, &q->entries[i], by, now_ms))
			out[n++] = q->entries[i].fingerprint;
	}
	return n;
}

int quarantine_seen(struct quarantine *q, uint64_t endpoint, uint64_t boot, int64_t asked_ms,
		    int64_t now_ms, uint64_t *out, int max)
{
	struct sighting by = {
		.endpoint = endpoint, .boot = boot, .count = -1, .asked_ms = asked_ms
	};

	return judge(q, &by, now_ms, out, max);
}

int quarantine_unlisted(struct quarantine *q, const uint64_t *listed, int count, int64_t asked_ms,
			int64_t now_ms, uint64_t *out, int max)
{
	struct sighting by = { .listed = listed, .count = count, .asked_ms = asked_ms };

	return judge(q, &by, now_ms, out, max);
}

bool quarantine_awaits(const struct quarantine *q, uint64_t endpoint)
{
	for (int i = 0; i < q->sets * WAYS && q->open; i++) {
		for (int k = 0; k < QUARANTINE_CRASHES; k++) {
			if (q->entries[i].open[k].place.endpoint == endpoint)
				return true;
		}
	}
	return false;
}

int quarantine_unconfirmed(const struct quarantine *q)
{
	return q->open;
}

struct quarantine_note quarantine_note(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	const struct entry *e = find(q, fingerprint, now_ms);
	struct quarantine_note n = { .fingerprint = fingerprint };

	if (!e)
		return n;
	n.crashes = e->crashes;
	n.refuse = e->refuse;
	/* What peers told is theirs to withdraw. */
	n.unconfirmed = open_count(e);
	if (n.unconfirmed && held(e))
		n.unconfirmed = QUARANTINE_CRASHES;
	return n;
}

void quarantine_clear(struct quarantine *q, uint64_t fingerprint)
{
	struct entry *e = find(q, fingerprint, INT64_MIN);

	if (!e || e->refuse)
		return;
	q->open -= open_count(e);
	*e = (struct entry){ 0 };
}

void quarantine_learn(struct quarantine *q, const struct quarantine_note *note, int64_t until_ms,
		      int64_t now_ms)
{
	struct entry *e = find(q, note->fingerprint, now_ms);

	if (until_ms > now_ms + QUARANTINE_MS)
		until_ms = now_ms + QUARANTINE_MS;
	if (!e && (until_ms <= now_ms || (note->crashes < 1 && note->unconfirmed < 1)))
		return;
	if (!e)
		e = insert(q, note->fingerprint, now_ms);
	e->told = note->unconfirmed < QUARANTINE_CRASHES ? note->unconfirmed : QUARANTINE_CRASHES;
	if (until_ms <= now_ms)
		return;
	if (note->crashes > e->crashes)
		e->crashes = note->crashes;
	if (note->refuse)
		e->refuse = true;
	if (until_ms > e->until_ms)
		e->until_ms = until_ms;
}
