#include <stddef.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/state/part_sources.h"

const struct part_source *part_sources_find(const struct part_sources *s, uint64_t part)
{
	const struct part_source *set = s->slots[hash_mix(part, 0) % PART_SOURCES_SETS];

	for (int i = 0; part && i < PART_SOURCES_WAYS; i++) {
		if (set[i].part == part)
			return &set[i];
	}
	return NULL;
}

void part_sources_record(struct part_sources *s, uint64_t part, uint32_t engine, int64_t now_ms)
{
	struct part_source *set = s->slots[hash_mix(part, 0) % PART_SOURCES_SETS];
	struct part_source *slot = set;

	for (int i = 0; i < PART_SOURCES_WAYS; i++) {
		if (set[i].part == part) {
			slot = &set[i];
			break;
		}
		if (set[i].at_ms < slot->at_ms)
			slot = &set[i];
	}
	*slot = (struct part_source){ .part = part, .engine = engine, .at_ms = now_ms };
}
