#ifndef IBISGATE_STATE_SUSPECT_PARTS_H
#define IBISGATE_STATE_SUSPECT_PARTS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Requests, and parts of prompts, that crash each endpoint which begins to answer them. A crash
 * accuses the requests that were waiting for their answer there and the parts of their prompts; an
 * answer that goes on clears its parts, and a complete one its request. What remains accused of
 * enough crashes is refused. A request counts as the part behind all parts of its prompt.
 */

/* Position of a whole request, for struct part_accusation. */
#define SUSPECT_DEPTH_REQUEST UINT32_MAX

/* Crashes after which a part is refused: one that was never answered, and any other. */
#define SUSPECT_NEW_PART_CRASHES 3
#define SUSPECT_KNOWN_PART_CRASHES 5

/* Time after the last crash for which a part is refused, in milliseconds. */
#define SUSPECT_REFUSAL_MS 600000

/* Number of parts that can be accused at the same time. */
#define SUSPECT_PARTS_MAX 1024

/**
 * struct part_accusation - a request with the part was waiting for its answer when an engine
 * crashed
 * @depth: position of the part in the prompt; parts at lower positions are shared by more requests
 * @crash: identifies the crash, so that the reports of several instances count once
 * @is_separate: the crash had no cause in common with the one before: the same request was sent
 *	after it, or the accusation has counted at another instance
 * @lost_ms: when the connection broke, 0 if that is not known
 */
struct part_accusation {
	uint64_t part;
	uint32_t depth;
	uint32_t crash;
	bool is_separate;
	int64_t lost_ms;
};

struct suspect_parts;
struct suspect_parts *suspect_parts_create(void);
void suspect_parts_destroy(struct suspect_parts *s);

/**
 * suspect_parts_accuse - accuse a part
 * @now_ms: answers to requests sent later clear the part
 *
 * The deepest of the parts that a set of crashes accuses is refused: if they were always together,
 * that stops all of their requests, and if they weren't, further crashes accuse the others.
 *
 * A refused request is the cause of its own crashes only: its parts are charged with one of them,
 * so that a part which crashes one request after the other is still found.
 *
 * Engines that crash at the same moment have another cause in common, such as their rack:
 * accusations of losses, or else those that arrive, at the same moment count once, unless they are
 * separate. They arrive in any order.
 *
 * Return: false if it did not count, also because it was known or a refused part explains the
 * crash.
 */
bool suspect_parts_accuse(struct suspect_parts *s, const struct part_accusation *a, int64_t now_ms);

/**
 * suspect_parts_answered - an answer to a request with the part goes on
 * @sent_ms: when the request was sent; an answer clears the part of earlier crashes only
 *
 * Return: whether this cleared the part.
 */
bool suspect_parts_answered(struct suspect_parts *s, uint64_t part, int64_t sent_ms,
			    int64_t now_ms);

/** suspect_parts_request_answered - the same for a complete answer to a whole request */
bool suspect_parts_request_answered(struct suspect_parts *s, uint64_t fingerprint, int64_t sent_ms,
				    int64_t now_ms);

/** suspect_parts_clear - another instance has cleared the part */
void suspect_parts_clear(struct suspect_parts *s, uint64_t part);

/** suspect_parts_was_answered - whether an answer with the part went on lately */
bool suspect_parts_was_answered(const struct suspect_parts *s, uint64_t part, int64_t now_ms);

/** suspect_parts_set_known - another instance has answered requests with the part before */
void suspect_parts_set_known(struct suspect_parts *s, uint64_t part, int64_t now_ms);

/** suspect_parts_is_refused - whether requests with the part are refused */
bool suspect_parts_is_refused(const struct suspect_parts *s, uint64_t part, int64_t now_ms);

/** suspect_parts_crashes - number of crashes that the part is accused of */
int suspect_parts_crashes(const struct suspect_parts *s, uint64_t part);

/** suspect_parts_count_refused - number of refused parts */
int suspect_parts_count_refused(const struct suspect_parts *s, int64_t now_ms);

/**
 * suspect_parts_accusations - accusations of what is refused, for other instances
 * @part: only those of this part; 0 for all
 * @out: at most @max accusations
 *
 * Return: number of accusations in @out.
 */
int suspect_parts_accusations(const struct suspect_parts *s, uint64_t part, int64_t now_ms,
			      struct part_accusation *out, int max);

/**
 * suspect_parts_recent - accusations since @since_ms of what is not refused and was never answered,
 *	for instances that have missed them
 * @out: at most @max accusations
 *
 * Return: number of accusations in @out.
 */
int suspect_parts_recent(const struct suspect_parts *s, int64_t since_ms, int64_t now_ms,
			 struct part_accusation *out, int max);

#define PART_WATCH_SLOTS 128

/* Longest time between a broken connection and the evidence of the crash, in milliseconds. */
#define PART_EVIDENCE_MS 3000

/**
 * struct part_watch - requests whose connection to one endpoint broke before they were answered,
 *	and parts of their prompts
 * @next: slot for the next one; the oldest is overwritten
 *
 * They are accused once it is known that the endpoint has crashed.
 */
struct part_watch {
	struct {
		uint64_t part;
		uint32_t depth;
		bool is_separate;
		int64_t at_ms;
	} slots[PART_WATCH_SLOTS];
	int next;
};

/**
 * part_watch_add - record a part, or a whole request, whose connection has just broken
 * @a: as it will be accused; the crash is not known yet
 */
void part_watch_add(struct part_watch *w, const struct part_accusation *a, int64_t now_ms);

/**
 * part_watch_list - what to accuse because the endpoint has crashed
 * @crash: identifies the crash
 * @requests_only: leave out parts of prompts
 * @out: connections that broke shortly before; room for PART_WATCH_SLOTS
 *
 * Return: number of accusations in @out.
 */
int part_watch_list(const struct part_watch *w, uint32_t crash, bool requests_only, int64_t now_ms,
		    struct part_accusation *out);
void part_watch_clear(struct part_watch *w);

#endif
