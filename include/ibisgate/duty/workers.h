#ifndef IBISGATE_DUTY_WORKERS_H
#define IBISGATE_DUTY_WORKERS_H

#include "ibisgate/duty/api_call.h"
#include "ibisgate/state/demand.h"
#include "ibisgate/state/directory.h"
#include "ibisgate/state/routing_table.h"

/*
 * Orders for endpoints: what policy/scaling decides for each service whose configuration has a
 * scaling is sent to the platform by the holder of the duty. All instances follow the demand, so
 * that a successor goes on at once.
 */

/**
 * struct workers_view - what orders are decided from
 * @table: configuration in force
 * @directory: listed endpoints
 * @demand: totals of the requests of this instance for the service @name
 */
struct workers_view {
	const struct routing_table *table;
	const struct directory *directory;
	struct demand_totals (*demand)(void *ctx, struct str name);
	void *ctx;
};

struct workers;

/**
 * struct workers_options - see workers_create()
 * @self: id of this instance; @dc: its data centre
 * @duty: duty under which orders are sent; stays with the caller, like @calls
 */
struct workers_options {
	const char *self;
	const char *dc;
	struct duty *duty;
	struct api_calls *calls;
};

/** workers_create - start following the demand */
struct workers *workers_create(const struct workers_options *o);
void workers_destroy(struct workers *w);

/** workers_step - call some times a second; sends orders if the duty is held */
void workers_step(struct workers *w, const struct workers_view *v, int64_t now_ms);

/** workers_are_wanted - whether there is demand for a service whose endpoints are ordered */
bool workers_are_wanted(const struct workers *w);

/**
 * workers_report - write the demand of this instance for the others, if a report is due
 * @values: room for DEMAND_VALUES_MAX
 *
 * Return: number of values, 0 if no report is due or no service has a scaling.
 */
int workers_report(struct workers *w, uint64_t *values, int64_t now_ms);

/**
 * workers_add_report - take over the demand that an instance reports
 * @id: instance that has sent it, its own or passed on
 */
void workers_add_report(struct workers *w, const char *id, const uint64_t *values, int count,
			int64_t now_ms);

#endif
