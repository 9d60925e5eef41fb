#ifndef IBISGATE_COMMON_EVENT_H
#define IBISGATE_COMMON_EVENT_H

#include <stdint.h>

#include "ibisgate/common/str.h"

#define EVENT_ID_MAX 48
#define EVENT_DETAIL_MAX 128
#define EVENT_RING_SIZE 16384

/**
 * struct event - one entry of the event timeline
 * @hlc: hybrid logical clock; orders the entries of all processes
 * @kind: static string, lower case with hyphens, e.g. "attempt-sent"
 * @request: request id, or ""
 * @endpoint: endpoint name, or ""
 * @organisation: organisation name, or ""
 * @detail: key=value text; never contains prompts, responses or API keys
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
 * event_record - add an entry to the process's ring buffer, overwriting the oldest one
 * @kind: string literal
 * @request: request id, or NULL for none; likewise @endpoint and @organisation
 * @fmt: format of the key=value detail
 *
 * May be called from any thread.
 */
void event_record(const char *kind, const char *request, const char *endpoint,
		  const char *organisation, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/**
 * events_format - append the entries newer than @after to @out, as a JSON array
 * @after: hlc of the last entry that the reader already has; 0 for all entries
 * @instance: id of this instance, added to each entry
 *
 * Each entry: {"hlc","time_ms","instance","kind","request","endpoint","organisation","detail"}.
 */
void events_format(struct buf *out, uint64_t after, const char *instance);

#endif
