#include <stdlib.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/quarantine.h"

/* Set-associative table: a fingerprint can be in WAYS slots, which bounds look-ups and memory. */
#define WAYS 8

/** struct suspicion - unconfirmed crash; unused when the place has no endpoint */
struct suspicion {
	struct quarantine_place place;
	int64_t at_ms;
};

/**
 * struct entry - crash record of one fingerprint
 * @alone: crashes while no other request was in flight on the endpoint
 * @reported: unconfirmed crashes reported by peers
 * @refuse: the request is refused until the entry expires
 * @until_ms: when the entry expires
 * @suspicions: unconfirmed crashes seen by this instance
 */
struct entry {
	uint64_t fingerprint;
	int crashes;
	int alone;
	int reported;
	bool refuse;
	int64_t until_ms;
	struct suspicion suspicions[QUARANTINE_CRASHES];
};

/**
 * struct quarantine - set-associative table of entries
 * @suspicions: number of unconfirmed crashes in all entries; searches are skipped when it is 0
 */
struct quarantine {
	int sets;
	int suspicions;
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

static int suspicion_count(const struct entry *e)
{
	int n = 0;

	for (int i = 0; i < QUARANTINE_CRASHES; i++)
		n += e->suspicions[i].place.endpoint != 0;
	return n;
}

static bool is_in_use(const struct entry *e)
{
	return e->crashes || e->reported || suspicion_count(e);
}

static struct entry *entry_find(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	struct entry *set = set_of(q, fingerprint);

	for (int i = 0; i < WAYS; i++) {
		struct entry *e = &set[i];

		if (is_in_use(e) && e->fingerprint == fingerprint && now_ms < e->until_ms)
			return e;
	}
	return NULL;
}

/*
 * The entry with the lowest rank is evicted first: free or expired entries, then suspects, then
 * refused ones; the oldest first within each group.
 */
static int64_t eviction_rank(const struct entry *e, int64_t now_ms)
{
	if (!is_in_use(e) || now_ms >= e->until_ms)
		return INT64_MIN;
	return e->refuse ? e->until_ms : e->until_ms - INT64_MAX / 2;
}

static struct entry *entry_insert(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	struct entry *set = set_of(q, fingerprint);
	struct entry *victim = set;

	for (int i = 1; i < WAYS; i++) {
		if (eviction_rank(&set[i], now_ms) < eviction_rank(victim, now_ms))
			victim = &set[i];
	}
	q->suspicions -= suspicion_count(victim);
	*victim = (struct entry){ .fingerprint = fingerprint };
	return victim;
}

/* Whether the request would be refused if all unconfirmed crashes counted as crashes. */
static bool is_held(const struct entry *e)
{
	int suspicions = suspicion_count(e);
	bool alone = e->alone || e->reported >= QUARANTINE_CRASHES;

	for (int i = 0; i < QUARANTINE_CRASHES; i++)
		alone = alone || e->suspicions[i].place.ran_alone;
	return suspicions + e->reported &&
	       e->crashes + suspicions + e->reported >= QUARANTINE_CRASHES && alone;
}

static enum quarantine_verdict verdict(const struct entry *e)
{
	if (!e || !is_in_use(e))
		return QUARANTINE_CLEAR;
	if (e->refuse)
		return QUARANTINE_REFUSE;
	return is_held(e) ? QUARANTINE_HOLD : QUARANTINE_SUSPECT;
}

enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	return verdict(entry_find(q, fingerprint, now_ms));
}

static struct entry *entry_get(struct quarantine *q, uint64_t fingerprint, int64_t now_ms)
{
	struct entry *e = entry_find(q, fingerprint, now_ms);

	return e ? e : entry_insert(q, fingerprint, now_ms);
}

static void entry_charge(struct entry *e, bool alone, int64_t now_ms)
{
	e->crashes++;
	e->alone += alone;
	if (e->crashes >= QUARANTINE_CRASHES && e->alone)
		e->refuse = true;
	e->until_ms = now_ms + QUARANTINE_SUSPECT_MS;
	if (e->refuse)
		e->until_ms = now_ms + QUARANTINE_MS;
}

enum quarantine_verdict quarantine_add_crash(struct quarantine *q, uint64_t fingerprint, bool alone,
					     int64_t now_ms)
{
	struct entry *e = entry_get(q, fingerprint, now_ms);

	entry_charge(e, alone, now_ms);
	return verdict(e);
}

/*
 * The slot for a suspicion that finds none free: only a crash of an endpoint that ran nothing else
 * changes the verdict, so it replaces the oldest suspicion of a shared endpoint.
 */
static struct suspicion *slot_replaced(struct entry *e, const struct quarantine_place *place)
{
	struct suspicion *oldest = NULL;

	for (int i = 0; i < QUARANTINE_CRASHES && place->ran_alone; i++) {
		struct suspicion *s = &e->suspicions[i];

		if (!s->place.ran_alone && (!oldest || s->at_ms < oldest->at_ms))
			oldest = s;
	}
	return oldest;
}

enum quarantine_verdict quarantine_add_suspicion(struct quarantine *q, uint64_t fingerprint,
						 const struct quarantine_place *place,
						 int64_t now_ms)
{
	struct entry *e = entry_get(q, fingerprint, now_ms);
	struct suspicion *s = NULL;

	/* Several broken connections to the same process of an endpoint count as one crash. */
	for (int i = QUARANTINE_CRASHES - 1; i >= 0; i--) {
		if (!e->suspicions[i].place.endpoint)
			s = &e->suspicions[i];
	}
	for (int i = 0; i < QUARANTINE_CRASHES; i++) {
		if (e->suspicions[i].place.endpoint == place->endpoint &&
		    e->suspicions[i].place.boot == place->boot)
			s = &e->suspicions[i];
	}
	if (!e->refuse)
		e->until_ms = now_ms + QUARANTINE_SUSPECT_MS;
	if (!s) {
		s = slot_replaced(e, place);
		if (!s)
			return verdict(e);
		*s = (struct suspicion){ 0 };
		q->suspicions--;
	}
	q->suspicions += !s->place.endpoint;
	s->place = (struct quarantine_place){
		.endpoint = place->endpoint,
		.boot = place->boot,
		.ran_alone = place->ran_alone || s->place.ran_alone,
	};
	s->at_ms = now_ms;
	return verdict(e);
}

static void suspicion_resolve(struct quarantine *q, struct entry *e, struct suspicion *s,
			      bool crashed, int64_t now_ms)
{
	bool alone = s->place.ran_alone;

	*s = (struct suspicion){ 0 };
	q->suspicions--;
	if (crashed)
		entry_charge(e, alone, now_ms);
}

enum evidence {
	EVIDENCE_NONE,
	EVIDENCE_CRASHED,
	EVIDENCE_ALIVE,
};

/**
 * struct observation - observation that confirms or refutes crashes
 * @endpoint: endpoint that responded, with its boot id in @boot; used if @count is -1
 * @listed: all listed endpoints; @count is their number
 * @asked_ms: when the request for the observation was sent
 */
struct observation {
	uint64_t endpoint;
	uint64_t boot;
	const uint64_t *listed;
	int count;
	int64_t asked_ms;
};

static enum evidence evidence_of(const struct observation *observed, const struct suspicion *s)
{
	if (observed->count < 0) {
		if (s->place.endpoint != observed->endpoint || !s->place.boot || !observed->boot)
			return EVIDENCE_NONE;
		if (s->place.boot != observed->boot)
			return EVIDENCE_CRASHED;
		return s->at_ms < observed->asked_ms ? EVIDENCE_ALIVE : EVIDENCE_NONE;
	}
	for (int i = 0; i < observed->count; i++) {
		if (observed->listed[i] == s->place.endpoint)
			return EVIDENCE_NONE;
	}
	return s->at_ms < observed->asked_ms ? EVIDENCE_CRASHED : EVIDENCE_NONE;
}

static bool entry_apply_evidence(struct quarantine *q, struct entry *e,
				 const struct observation *observed, int64_t now_ms)
{
	bool changed = false;

	for (int i = 0; i < QUARANTINE_CRASHES; i++) {
		enum evidence found = EVIDENCE_NONE;

		if (e->suspicions[i].place.endpoint)
			found = evidence_of(observed, &e->suspicions[i]);
		if (found == EVIDENCE_NONE)
			continue;
		suspicion_resolve(q, e, &e->suspicions[i], found == EVIDENCE_CRASHED, now_ms);
		changed = true;
	}
	return changed;
}

static int apply_evidence(struct quarantine *q, const struct observation *observed, int64_t now_ms,
			  uint64_t *out, int max)
{
	int n = 0;

	for (int i = 0; i < q->sets * WAYS && q->suspicions && n < max; i++) {
		if (entry_apply_evidence(q, &q->entries[i], observed, now_ms))
			out[n++] = q->entries[i].fingerprint;
	}
	return n;
}

int quarantine_handle_boot_id(struct quarantine *q, uint64_t endpoint, uint64_t boot,
			      int64_t asked_ms, int64_t now_ms, uint64_t *out, int max)
{
	struct observation observed = {
		.endpoint = endpoint, .boot = boot, .count = -1, .asked_ms = asked_ms
	};

	return apply_evidence(q, &observed, now_ms, out, max);
}

int quarantine_handle_list(struct quarantine *q, const uint64_t *listed, int count,
			   int64_t asked_ms, int64_t now_ms, uint64_t *out, int max)
{
	struct observation observed = { .listed = listed, .count = count, .asked_ms = asked_ms };

	return apply_evidence(q, &observed, now_ms, out, max);
}

bool quarantine_has_suspicion(const struct quarantine *q, uint64_t endpoint)
{
	for (int i = 0; i < q->sets * WAYS && q->suspicions; i++) {
		for (int k = 0; k < QUARANTINE_CRASHES; k++) {
			if (q->entries[i].suspicions[k].place.endpoint == endpoint)
				return true;
		}
	}
	return false;
}

int quarantine_count_suspicions(const struct quarantine *q)
{
	return q->suspicions;
}

static struct quarantine_summary entry_summary(const struct entry *e, int64_t now_ms)
{
	struct quarantine_summary n = {
		.fingerprint = e->fingerprint,
		.crashes = e->crashes,
		.refuse = e->refuse,
		.left_ms = e->until_ms - now_ms,
	};

	/* Crashes reported by peers are not passed on: only the reporting peer can withdraw them.
	 */
	n.unconfirmed = suspicion_count(e);
	if (n.unconfirmed && is_held(e))
		n.unconfirmed = QUARANTINE_CRASHES;
	return n;
}

struct quarantine_summary quarantine_summary(struct quarantine *q, uint64_t fingerprint,
					     int64_t now_ms)
{
	const struct entry *e = entry_find(q, fingerprint, now_ms);

	return e ? entry_summary(e, now_ms)
		 : (struct quarantine_summary){ .fingerprint = fingerprint };
}

int quarantine_summaries(const struct quarantine *q, int64_t now_ms, struct quarantine_summary *out,
			 int max)
{
	int n = 0;

	for (int refuse = 1; refuse >= 0; refuse--) {
		for (int i = 0; i < q->sets * WAYS && n < max; i++) {
			const struct entry *e = &q->entries[i];

			if (is_in_use(e) && now_ms < e->until_ms && e->refuse == refuse)
				out[n++] = entry_summary(e, now_ms);
		}
	}
	return n;
}

void quarantine_clear(struct quarantine *q, uint64_t fingerprint)
{
	struct entry *e = entry_find(q, fingerprint, INT64_MIN);

	if (!e || e->refuse)
		return;
	q->suspicions -= suspicion_count(e);
	*e = (struct entry){ 0 };
}

void quarantine_merge(struct quarantine *q, const struct quarantine_summary *note, int64_t until_ms,
		      int64_t now_ms)
{
	struct entry *e = entry_find(q, note->fingerprint, now_ms);

	if (until_ms > now_ms + QUARANTINE_MS)
		until_ms = now_ms + QUARANTINE_MS;
	if (!e && (until_ms <= now_ms || (note->crashes < 1 && note->unconfirmed < 1)))
		return;
	if (!e)
		e = entry_insert(q, note->fingerprint, now_ms);
	e->reported =
		note->unconfirmed < QUARANTINE_CRASHES ? note->unconfirmed : QUARANTINE_CRASHES;
	if (until_ms <= now_ms)
		return;
	if (note->crashes > e->crashes)
		e->crashes = note->crashes;
	if (note->refuse)
		e->refuse = true;
	if (until_ms > e->until_ms)
		e->until_ms = until_ms;
}
