#ifndef IBISGATE_COMMON_EVENT_H
#define IBISGATE_COMMON_EVENT_H

#include <stdint.h>

#include "ibisgate/common/str.h"

#define EVENT_ID_MAX 48
#define EVENT_DETAIL_MAX 128
#define EVENT_RING_SIZE 16384

/**
 * struct event - one entry of the time line
 * @hlc: hybrid logical clock, orders entries of all processes
 * @kind: static string, lower case with hyphens, e.g. "attempt-sent"
 * @request: request id, or ""
 * @endpoint: endpoint name, or ""
 * @organisation: organisation name, or ""
 * @detail: key=value text; never prompt text, answers or keys
 */
struct event {
	uint64_t hlc;
	const char *kind;
	char request[EVENT_ID_MAX];
	char endpoint[EVENT_ID_MAX];
	char organisation[EVENT_ID_MAX];
	char detail[EVENT_DETAIL_MAX];
};

/**
 * event_record - add an entry to the ring of the process; the oldest one is overwritten
 * @kind: string literal
 * @request: NULL means none, likewise @endpoint and @organisation
 *
 * Any thread.
 */
void event_record(const char *kind, const char *request, const char *endpoint,
		  const char *organisation, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/**
 * events_format - append entries after @after as a JSON array to @out
 * @after: hlc of the last entry that the reader has; 0 for all
 * @instance: id of this instance, added to each entry
 *
 * Each entry: {"hlc","time_ms","instance","kind","request","endpoint","organisation","detail"}.
 */
void events_format(struct buf *out, uint64_t after, const char *instance);

#endif
