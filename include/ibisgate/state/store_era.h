#ifndef IBISGATE_STATE_STORE_ERA_H
#define IBISGATE_STATE_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The platform's store can come back from an older copy. It numbers its copies, the eras, and gives
 * the row versions that were lost out again. Inside, a version has the era in its upper bits, so
 * that versions of different eras compare in the order in which they were given out.
 */

#define STORE_NUMBER_BITS 40
#define STORE_NUMBER_MAX ((INT64_C(1) << STORE_NUMBER_BITS) - 1)
#define STORE_ERA_MAX ((INT64_C(1) << 22) - 1)

/** store_version_make - version of @number, up to STORE_NUMBER_MAX, in @era */
static inline int64_t store_version_make(int64_t era, int64_t number)
{
	return era << STORE_NUMBER_BITS | number;
}

static inline int64_t store_version_era(int64_t version)
{
	return version >> STORE_NUMBER_BITS;
}

/** store_version_number - the version as the store itself writes it */
static inline int64_t store_version_number(int64_t version)
{
	return version & STORE_NUMBER_MAX;
}

/**
 * struct store_era - the store's newest era that this instance knows
 * @number: 0 for a store without eras, and until one is known
 * @since_ms: when it was first known, on the boot-time clock
 */
struct store_era {
	int64_t number;
	int64_t since_ms;
};

/**
 * enum store_era_change - what an answer of the store says of the era
 * @STORE_ERA_REJECTED: the answer is of an earlier era or names none that is valid, and must be
 *	treated as one that didn't arrive
 */
enum store_era_change {
	STORE_ERA_SAME,
	STORE_ERA_NEW,
	STORE_ERA_REJECTED,
};

/** store_era_observe - take note of an era; negative for one that is malformed */
enum store_era_change store_era_observe(struct store_era *e, int64_t era, int64_t now_ms);

/**
 * store_era_rows_known_ms - since when no row of another holder can be lost
 * @fencing: fencing token of this holder's tenure
 * @tenure_ms: when it began
 *
 * Nobody else writes in a tenure from before the era. In one of the era, rows are there since the
 * first sight of it.
 */
int64_t store_era_rows_known_ms(const struct store_era *e, int64_t fencing, int64_t tenure_ms);

#endif
