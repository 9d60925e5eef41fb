#ifndef IBISGATE_STATE_PART_SOURCES_H
#define IBISGATE_STATE_PART_SOURCES_H

#include <stdint.h>

#define PART_SOURCES_SETS 2048
#define PART_SOURCES_WAYS 4

/**
 * struct part_source - engine that has recently prefilled a prompt part
 * @part: id of the part; 0 when the slot is unused
 * @engine: tag of the engine
 * @at_ms: when that was reported
 */
struct part_source {
	uint64_t part;
	uint32_t engine;
	int64_t at_ms;
};

/**
 * struct part_sources - the last reported engine for each part, in bounded memory
 * @slots: set-associative table; the oldest report of a set is replaced first
 *
 * For engines whose cache contents are not followed. The newest report is the one whose engine is
 * least likely to have evicted the part.
 */
struct part_sources {
	struct part_source slots[PART_SOURCES_SETS][PART_SOURCES_WAYS];
};

/** part_sources_record - replace the engine of @part */
void part_sources_record(struct part_sources *s, uint64_t part, uint32_t engine, int64_t now_ms);

/** part_sources_find - last report for @part; NULL when there is none */
const struct part_source *part_sources_find(const struct part_sources *s, uint64_t part);

#endif
