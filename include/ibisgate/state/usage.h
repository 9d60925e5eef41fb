#ifndef IBISGATE_STATE_USAGE_H
#define IBISGATE_STATE_USAGE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct usage - requests by organisation, window of time and instance that counted them
 *
 * Each instance counts its own requests as sums that only grow, and tells them to others, where the
 * largest value of each sum counts. So lost, repeated and reordered reports do no harm, and what
 * an instance has told outlives it.
 */
struct usage;

struct usage *usage_create(void);
void usage_destroy(struct usage *u);

/**
 * usage_add - count one more request
 * @boot: identifies the process that counts; only one process adds under it
 * @tag: of the organisation
 *
 * Return: false when the limit of entries is reached; the request isn't counted.
 */
bool usage_add(struct usage *u, uint64_t boot, int64_t window, uint64_t tag);

/** usage_merge - another process has counted @requests; false when the limit is reached */
bool usage_merge(struct usage *u, uint64_t boot, int64_t window, uint64_t tag, uint64_t requests,
		 int64_t now_ms);

/** struct usage_total - requests of one organisation in a window, over all instances */
struct usage_total {
	uint64_t tag;
	int64_t requests;
};

/**
 * usage_totals - sums of a window by organisation, in ascending order of @tag
 * @out: out: to be freed by the caller; NULL when there are none
 *
 * Return: number of organisations.
 */
int usage_totals(const struct usage *u, int64_t window, struct usage_total **out);

/** usage_begin_round - sums that were told once are told once more, as a message may be lost */
void usage_begin_round(struct usage *u);

/**
 * usage_take_untold - append pairs of tag and sum that are still to be told in this round
 *
 * Return: number of values, at most @max; further ones are left for the next call.
 */
int usage_take_untold(struct usage *u, uint64_t boot, int64_t window, uint64_t *values, int max);

/** usage_tell_again - treat all sums of @boot as not told */
void usage_tell_again(struct usage *u, uint64_t boot);

/**
 * usage_tell_silent - the same for all processes that haven't been heard since @since_ms, other
 * than @self
 */
void usage_tell_silent(struct usage *u, uint64_t self, int64_t since_ms);

/**
 * usage_next_untold - a sum that has something untold
 *
 * Return: false when there is none.
 */
bool usage_next_untold(const struct usage *u, uint64_t *boot, int64_t *window);

/** usage_drop_before - forget the windows before @window */
void usage_drop_before(struct usage *u, int64_t window);

#endif
