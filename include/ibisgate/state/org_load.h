#ifndef IBISGATE_STATE_ORG_LOAD_H
#define IBISGATE_STATE_ORG_LOAD_H

#include "ibisgate/state/organisations.h"

/**
 * struct org_load - engine time that organisations have used lately, as far as this instance knows
 *
 * Holds what this instance has placed and what others report. A report has what was placed since
 * the one before, so that a lost one makes the sum a little smaller until it has decayed.
 */
struct org_load;

struct org_load *org_load_create(void);
void org_load_destroy(struct org_load *l);

/** org_load_add - a request of @o that needs @work_us of engine time has been placed here */
void org_load_add(struct org_load *l, const struct organisation *o, int64_t work_us,
		  int64_t now_ms);

/**
 * org_load_ratio - recent engine time of @o as a multiple of its fair share
 *
 * The fair share is the engine time of all organisations, divided among those that used any by
 * weight.
 *
 * Return: 0 when @o has used none.
 */
double org_load_ratio(struct org_load *l, const struct organisation *o, int64_t now_ms);

/**
 * org_load_report - numbers for the other instances: pairs of a tag and microseconds
 *
 * Return: number of values, at most @max, which has to be even; 0 when nothing was placed.
 */
int org_load_report(struct org_load *l, uint64_t *values, int max);

/** org_load_apply - add a report; organisations that are not in @t, and odd values, are ignored */
void org_load_apply(struct org_load *l, const struct organisations *t, const uint64_t *values,
		    int count, int64_t now_ms);

#endif
