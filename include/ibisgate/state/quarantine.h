#ifndef IBISGATE_STATE_QUARANTINE_H
#define IBISGATE_STATE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#define QUARANTINE_MS 600000
#define QUARANTINE_CRASHES 2
#define QUARANTINE_SUSPECT_MS 600000

/**
 * enum quarantine_verdict - what may be done with a request
 * @QUARANTINE_SUSPECT: it runs alone on an endpoint
 * @QUARANTINE_REFUSE: it has crashed endpoints and does not run
 * @QUARANTINE_HOLD: it may have; it does not run before evidence has come
 */
enum quarantine_verdict {
	QUARANTINE_CLEAR,
	QUARANTINE_SUSPECT,
	QUARANTINE_REFUSE,
	QUARANTINE_HOLD,
};

/**
 * struct quarantine - crash counts per request fingerprint, bounded; not thread-safe
 */
struct quarantine;

struct quarantine *quarantine_create(int capacity);
void quarantine_destroy(struct quarantine *q);

/** quarantine_check - verdict on a fingerprint by now */
enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t fingerprint,
					 int64_t now_ms);

/**
 * quarantine_charge - an endpoint crashed while @fingerprint ran there
 * @alone: no other request was in flight there
 *
 * Return: verdict from now on. A crash charged among neighbours makes a request SUSPECT; REFUSE
 * needs a second crash, of which at least one happened while it ran alone.
 */
enum quarantine_verdict quarantine_charge(struct quarantine *q, uint64_t fingerprint, bool alone,
					  int64_t now_ms);

/**
 * struct quarantine_place - where a request ran when its connection broke
 * @endpoint: hash of the endpoint's name; 0 stands for none
 * @boot: hash of its boot id; 0 when unknown, then no later boot id is evidence
 * @alone: no other request was in flight there
 */
struct quarantine_place {
	uint64_t endpoint;
	uint64_t boot;
	bool alone;
};

/**
 * quarantine_suspect - the endpoint of @fingerprint refuses connections: it may have crashed
 *
 * Counts as no crash before quarantine_seen() or quarantine_unlisted() has confirmed it.
 *
 * Return: SUSPECT, or HOLD when this would be the crash that makes it REFUSE.
 */
enum quarantine_verdict quarantine_suspect(struct quarantine *q, uint64_t fingerprint,
					   const struct quarantine_place *place, int64_t now_ms);

/** quarantine_awaits - evidence about @endpoint would settle a suspicion */
bool quarantine_awaits(const struct quarantine *q, uint64_t endpoint);

/**
 * quarantine_seen - an endpoint has answered with its boot id
 * @asked_ms: when it was asked; an answer to an earlier question does not refute
 * @out: fingerprints whose entry has changed, at most @max; more are left for the next call
 *
 * The boot id of the broken connection refutes the suspicion, another one confirms it.
 *
 * Return: number of fingerprints in @out.
 */
int quarantine_seen(struct quarantine *q, uint64_t endpoint, uint64_t boot, int64_t asked_ms,
		    int64_t now_ms, uint64_t *out, int max);

/** quarantine_unlisted - confirm for endpoints that are not among the @count listed ones */
int quarantine_unlisted(struct quarantine *q, const uint64_t *listed, int count, int64_t asked_ms,
			int64_t now_ms, uint64_t *out, int max);

/** quarantine_unconfirmed - endpoint suspicions in the table that wait for evidence */
int quarantine_unconfirmed(const struct quarantine *q);

/**
 * struct quarantine_note - what instances tell each other about a fingerprint
 * @unconfirmed: suspicions without evidence; QUARANTINE_CRASHES for HOLD
 */
struct quarantine_note {
	uint64_t fingerprint;
	int crashes;
	int unconfirmed;
	bool refuse;
};

/** quarantine_note - entry as told to peers; all zero but the fingerprint when there is none */
struct quarantine_note quarantine_note(struct quarantine *q, uint64_t fingerprint, int64_t now_ms);

/** quarantine_clear - a suspect request finished without a crash */
void quarantine_clear(struct quarantine *q, uint64_t fingerprint);

/** quarantine_learn - entry received from a peer; its @unconfirmed replaces what peers said before
 */
void quarantine_learn(struct quarantine *q, const struct quarantine_note *note, int64_t until_ms,
		      int64_t now_ms);

#endif
