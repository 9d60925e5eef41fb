#ifndef IBISGATE_STATE_QUARANTINE_H
#define IBISGATE_STATE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#define QUARANTINE_MS 600000
#define QUARANTINE_CRASHES 2
#define QUARANTINE_SUSPECT_MS 600000

/**
 * enum quarantine_verdict - how a request may be run
 * @QUARANTINE_CLEAR: without restrictions
 * @QUARANTINE_SUSPECT: only on an endpoint that runs no other request
 * @QUARANTINE_REFUSE: not at all, because it has crashed endpoints
 * @QUARANTINE_HOLD: not before it is known whether it has crashed endpoints
 */
enum quarantine_verdict {
	QUARANTINE_CLEAR,
	QUARANTINE_SUSPECT,
	QUARANTINE_REFUSE,
	QUARANTINE_HOLD,
};

/**
 * struct quarantine - crash counts by request fingerprint, in bounded memory; not thread-safe
 */
struct quarantine;

/** quarantine_create - @capacity: number of fingerprints */
struct quarantine *quarantine_create(int capacity);
void quarantine_destroy(struct quarantine *q);

/** quarantine_check - current verdict on a fingerprint */
enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t fingerprint,
					 int64_t now_ms);

/**
 * quarantine_add_crash - count a crash of an endpoint on which @fingerprint ran
 * @alone: no other request was in flight on the endpoint
 *
 * A single crash makes a request SUSPECT. REFUSE takes at least two crashes, and at least one of
 * them must have happened while the request ran alone.
 *
 * Return: the new verdict.
 */
enum quarantine_verdict quarantine_add_crash(struct quarantine *q, uint64_t fingerprint, bool alone,
					     int64_t now_ms);

/**
 * struct quarantine_place - endpoint process on which a request ran when its connection broke
 * @endpoint: hash of the endpoint's name; 0 for none
 * @boot: hash of the boot id of the process; 0 when unknown, in which case no boot id that is seen
 *        later can be evidence
 * @ran_alone: no other request was in flight on the endpoint
 */
struct quarantine_place {
	uint64_t endpoint;
	uint64_t boot;
	bool ran_alone;
};

/**
 * quarantine_add_suspicion - record a suspected crash: the endpoint of @fingerprint refuses
 * connections
 *
 * The crash is not counted until quarantine_handle_boot_id() or quarantine_handle_list() confirms
 * it.
 *
 * Return: the new verdict. It is HOLD if the request would be refused once the unconfirmed crashes
 * are confirmed.
 */
enum quarantine_verdict quarantine_add_suspicion(struct quarantine *q, uint64_t fingerprint,
						 const struct quarantine_place *place,
						 int64_t now_ms);

/** quarantine_has_suspicion - there is an unconfirmed crash of @endpoint */
bool quarantine_has_suspicion(const struct quarantine *q, uint64_t endpoint);

/**
 * quarantine_handle_boot_id - process a response of an endpoint that contains its boot id
 * @asked_ms: when the request for it was sent; a response to a request from before the suspected
 *            crash can't refute the crash
 * @out: fingerprints whose entry has changed, at most @max; the others are left for the next call
 *
 * The boot id of the suspected process refutes the crash; a different boot id confirms it.
 *
 * Return: number of fingerprints in @out.
 */
int quarantine_handle_boot_id(struct quarantine *q, uint64_t endpoint, uint64_t boot,
			      int64_t asked_ms, int64_t now_ms, uint64_t *out, int max);

/**
 * quarantine_handle_list - confirm suspected crashes of endpoints that are no longer listed
 * @listed: hashes of the names of all @count listed endpoints
 * @asked_ms: when the list was requested
 * @out: as for quarantine_handle_boot_id()
 *
 * Return: number of fingerprints in @out.
 */
int quarantine_handle_list(struct quarantine *q, const uint64_t *listed, int count,
			   int64_t asked_ms, int64_t now_ms, uint64_t *out, int max);

/** quarantine_count_suspicions - number of unconfirmed crashes in the table */
int quarantine_count_suspicions(const struct quarantine *q);

/**
 * struct quarantine_summary - entry of a fingerprint as exchanged between instances
 * @unconfirmed: number of unconfirmed crashes; QUARANTINE_CRASHES if the verdict is HOLD
 * @left_ms: time until the entry expires
 */
struct quarantine_summary {
	uint64_t fingerprint;
	int crashes;
	int unconfirmed;
	bool refuse;
	int64_t left_ms;
};

/** quarantine_summary - entry to send to peers; all zero except the fingerprint if there is none */
struct quarantine_summary quarantine_summary(struct quarantine *q, uint64_t fingerprint,
					     int64_t now_ms);

/**
 * quarantine_summaries - entries to send to an instance that has just started
 * @out: at most @max entries; those that are refused first
 *
 * Return: number of entries in @out.
 */
int quarantine_summaries(const struct quarantine *q, int64_t now_ms, struct quarantine_summary *out,
			 int max);

/** quarantine_clear - remove a suspect request that finished without a crash */
void quarantine_clear(struct quarantine *q, uint64_t fingerprint);

/**
 * quarantine_merge - merge an entry received from a peer
 * @note: the entry; its unconfirmed crashes replace those received from peers before
 * @until_ms: when the entry expires
 */
void quarantine_merge(struct quarantine *q, const struct quarantine_summary *note, int64_t until_ms,
		      int64_t now_ms);

#endif
