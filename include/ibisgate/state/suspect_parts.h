#ifndef IBISGATE_STATE_SUSPECT_PARTS_H
#define IBISGATE_STATE_SUSPECT_PARTS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Parts of prompts that crash each engine which begins to answer a request with them, whatever else
 * the request holds. A crash accuses the parts of all requests that were waiting for their answer
 * there; an answer that goes on clears its parts. Requests with a part that remains accused of
 * enough crashes are refused.
 */

/* Crashes after which a part is refused: one that was never answered, and any other. */
#define SUSPECT_NEW_PART_CRASHES 3
#define SUSPECT_KNOWN_PART_CRASHES 5

/* Time after the last crash for which a part is refused, in milliseconds. */
#define SUSPECT_REFUSAL_MS 600000

/* Number of parts that can be accused at the same time. */
#define SUSPECT_PARTS_MAX 512

/**
 * struct part_accusation - a request with the part was waiting for its answer when an engine
 * crashed
 * @depth: position of the part in the prompt; parts at lower positions are shared by more requests
 * @crash: identifies the crash, so that the reports of several instances count once
 * @restated: it has counted at another instance, which repeats it now
 */
struct part_accusation {
	uint64_t part;
	uint32_t depth;
	uint32_t crash;
	bool restated;
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
 * Engines that crash at the same moment have another cause in common, such as their rack:
 * accusations that arrive together count once, unless they are restated.
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
 * suspect_parts_accusations - accusations of the refused parts, for an instance that has started
 * @out: at most @max accusations
 *
 * Return: number of accusations in @out.
 */
int suspect_parts_accusations(const struct suspect_parts *s, int64_t now_ms,
			      struct part_accusation *out, int max);

#define PART_WATCH_SLOTS 64

/**
 * struct part_watch - parts of requests whose connection to one engine broke before their answer
 *	went on
 * @next: slot for the next part; the oldest one is overwritten
 *
 * They are accused once it is known that the engine has crashed.
 */
struct part_watch {
	struct {
		uint64_t part;
		uint32_t depth;
		int64_t at_ms;
	} slots[PART_WATCH_SLOTS];
	int next;
};

void part_watch_add(struct part_watch *w, uint64_t part, uint32_t depth, int64_t now_ms);

/**
 * part_watch_take - remove all parts, because the engine has crashed
 * @crash: identifies the crash
 * @out: accuses the parts of connections that broke shortly before, each once; room for
 *	 PART_WATCH_SLOTS
 *
 * Return: number of accusations in @out.
 */
int part_watch_take(struct part_watch *w, uint32_t crash, int64_t now_ms,
		    struct part_accusation *out);

#endif
