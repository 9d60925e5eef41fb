#ifndef IBISGATE_STATE_QUARANTINE_H
#define IBISGATE_STATE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#define QUARANTINE_MS 600000
#define QUARANTINE_CRASHES 2
#define QUARANTINE_SUSPECT_MS 600000

enum quarantine_verdict {
	QUARANTINE_CLEAR,
	QUARANTINE_SUSPECT,
	QUARANTINE_REFUSE,
};

/**
 * struct quarantine - crash counts per request fingerprint, bounded; not thread-safe
 */
struct quarantine;

struct quarantine *quarantine_create(int capacity);
void quarantine_destroy(struct quarantine *q);

/** quarantine_check - SUSPECT requests run alone on an endpoint; REFUSE ones do not run */
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

/** quarantine_clear - a suspect request finished without a crash */
void quarantine_clear(struct quarantine *q, uint64_t fingerprint);

/** quarantine_learn - entry received from a peer */
void quarantine_learn(struct quarantine *q, uint64_t fingerprint, int crashes, bool refuse,
		      int64_t until_ms, int64_t now_ms);

#endif
