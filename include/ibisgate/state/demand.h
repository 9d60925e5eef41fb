#ifndef IBISGATE_STATE_DEMAND_H
#define IBISGATE_STATE_DEMAND_H

#include <stdint.h>

/*
 * Engine time that callers ask for, by service and data centre, summed over all instances. Each
 * instance reports running totals, so a lost report is made good by the next one.
 */

/**
 * struct demand_totals - running totals of one instance or of a sum
 * @prefill_ms: engine time for prefill, at the target utilisation of the engines, in milliseconds
 * @decode_ms: the same for decode
 */
struct demand_totals {
	double prefill_ms;
	double decode_ms;
	double requests;
};

/**
 * struct demand_entry - totals of one service, as reported by one instance
 * @service: hash of its name
 */
struct demand_entry {
	uint64_t service;
	struct demand_totals totals;
};

/**
 * struct demand_source - instance that reports
 * @id: hash of its name
 * @incarnation: differs between its processes, each of which counts from zero
 * @dc: hash of the name of its data centre
 */
struct demand_source {
	uint64_t id;
	uint64_t incarnation;
	uint64_t dc;
};

struct demand;
struct demand *demand_create(void);
void demand_destroy(struct demand *d);

/**
 * demand_add - take over what an instance reports
 *
 * The first report of a process only says where its totals stand.
 */
void demand_add(struct demand *d, const struct demand_source *from,
		const struct demand_entry *entries, int count, int64_t now_ms);

/**
 * demand_step - call some times a second; lets silent instances go on at their last rate for a
 * while, since their callers go on too when only a link is down, and forgets them afterwards
 */
void demand_step(struct demand *d, int64_t now_ms);

/** demand_sum - sum for one service and data centre */
struct demand_totals demand_sum(const struct demand *d, uint64_t service, uint64_t dc);

/* Layout of a report: struct demand_source, then these numbers for each service. */
#define DEMAND_HEAD_VALUES 3
#define DEMAND_VALUES_PER_SERVICE 4
#define DEMAND_SERVICES_MAX 64
#define DEMAND_VALUES_MAX (DEMAND_HEAD_VALUES + DEMAND_SERVICES_MAX * DEMAND_VALUES_PER_SERVICE)

/** demand_encode - write a report of at most DEMAND_SERVICES_MAX services; returns its length */
int demand_encode(const struct demand_source *from, const struct demand_entry *entries, int count,
		  uint64_t *values);

/** demand_decode - read a report; returns the number of entries, or -1 when it is malformed */
int demand_decode(const uint64_t *values, int count, struct demand_source *from,
		  struct demand_entry *entries);

#endif
