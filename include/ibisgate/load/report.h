#ifndef IBISGATE_LOAD_REPORT_H
#define IBISGATE_LOAD_REPORT_H

#include <jansson.h>
#include <stdio.h>

#include "ibisgate/load/client.h"

/** report_sorted_percentile - the quantile @p (0 to 1) of the ascending @values; 0 without values
 */
double report_sorted_percentile(const double *values, size_t count, double p);

/**
 * report_json - summary of a run
 *
 * Times are in milliseconds. "good" counts the generations for which
 * load_record_counts_as_goodput() is true. The percentiles are taken over the complete generations;
 * "gap_ms" has the percentiles of their mean times between tokens. Calls of plain services are
 * counted under "calls".
 *
 * Return: new reference.
 */
json_t *report_json(const struct scenario *s, const struct load_options *o,
		    const struct load_result *result);

/** report_table_print - print the summary made by report_json() as a table */
void report_table_print(FILE *out, const json_t *report);

/**
 * report_records_write - write one line of JSON per request to the file @path
 *
 * Return: 0; -1 when the file cannot be written.
 */
int report_records_write(const char *path, const struct scenario *s,
			 const struct load_result *result, struct error *err);

/** report_is_correct - whether no response was wrong, cut or lost */
bool report_is_correct(const struct load_result *result);

#endif
