#ifndef IBISGATE_COMMON_HISTOGRAM_H
#define IBISGATE_COMMON_HISTOGRAM_H

#include <stdint.h>

#include "ibisgate/common/str.h"

/* Latency histograms of the process. Columns: identifier, exported name, help text. */
#define HISTOGRAMS(X)                                                                        \
	X(FIRST_TOKEN, "first_token_ms", "Time from a generation's head to its first event") \
	X(CALL, "call_ms", "Time from a call's head to its answer")                          \
	X(REFUSAL, "refusal_ms", "Time from a request's head to its refusal")                \
	X(STORE, "store_call_ms", "Time of a call to the platform's store, without asked-for waits")

enum histogram {
#define X(id, name, help) HISTOGRAM_##id,
	HISTOGRAMS(X)
#undef X
		HISTOGRAM_COUNT,
};

/** histogram_add - record a value in milliseconds; lock-free, may be called from any thread */
void histogram_add(enum histogram h, int64_t ms);

/** histograms_format - append all histograms in the Prometheus text format 0.0.4 */
void histograms_format(struct buf *out, const char *instance);

#endif
