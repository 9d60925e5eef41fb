#ifndef IBISGATE_LOAD_REPORT_H
#define IBISGATE_LOAD_REPORT_H

#include <jansson.h>
#include <stdio.h>

#include "ibisgate/load/client.h"

/** report_percentile - value below which @p (0 to 1) of the sorted @values lie; 0 for none */
double report_percentile(const double *values, size_t count, double p);

/**
 * report_json - figures of a run; new reference
 *
 * Times are in milliseconds. "good" counts generations that load_good() accepts; the percentiles
 * are over whole generations, the gaps over their mean gaps. Calls are counted under "calls".
 */
json_t *report_json(const struct scenario *s, const struct load_options *o,
		    const struct load_result *result);

/** report_table - the same figures as a table for people */
void report_table(FILE *out, const json_t *report);

/** report_records - one JSON line a request; -1 when @path cannot be written */
int report_records(const char *path, const struct scenario *s, const struct load_result *result,
		   struct error *err);

/** report_sound - false when any answer was wrong, cut or lost */
bool report_sound(const struct load_result *result);

#endif
