#ifndef IBISGATE_PLATFORM_API_H
#define IBISGATE_PLATFORM_API_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

/* Encoders for the platform's interface for work that one instance does for all others. */

/** enum api_duty - kinds of such work */
enum api_duty {
	API_DUTY_USAGE,
	API_DUTY_WORKERS,
};

/** api_has_duty - whether the platform's list of duties, separated by commas, names @duty */
bool api_has_duty(const char *kinds, enum api_duty duty);

/**
 * struct api_lease - under which lease a call is made
 * @address: IP:PORT of the interface
 * @holder: instance that holds the duty
 * @fencing: fencing token of its tenure
 */
struct api_lease {
	const char *address;
	const char *holder;
	int64_t fencing;
};

/** struct api_count - requests of one organisation that began to run in a window */
struct api_count {
	struct str organisation;
	int64_t requests;
};

/** api_usage_encode - append a report of window @window with @count organisations */
void api_usage_encode(struct buf *out, const struct api_lease *lease, int64_t window,
		      const struct api_count *counts, int count);

/**
 * struct api_workers - number of endpoints wanted for one service in one data centre
 * @reclaimable: of the cheaper kind that may be taken away; each kind is counted by itself
 */
struct api_workers {
	const char *service;
	const char *dc;
	int wanted;
	bool reclaimable;
};

/** api_workers_encode - append an order for endpoints */
void api_workers_encode(struct buf *out, const struct api_lease *lease,
			const struct api_workers *w);

#endif
