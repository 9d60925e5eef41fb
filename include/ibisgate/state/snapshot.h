#ifndef IBISGATE_STATE_SNAPSHOT_H
#define IBISGATE_STATE_SNAPSHOT_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/member.h"

/* 21,000 organisations take 2.4 MB; the limit only keeps a faulty peer from taking all memory. */
#define SNAPSHOT_MAX (64 << 20)
/* Parts of one snapshot follow each other at once; after this pause the rest is taken for lost. */
#define SNAPSHOT_PAUSE_MS 2000

/**
 * struct snapshot_part - piece of the text of a configuration snapshot
 * @version: configuration version of the whole snapshot
 * @total: bytes of the whole text
 * @offset: of this piece in it
 */
struct snapshot_part {
	int64_t version;
	uint64_t total;
	uint64_t offset;
	struct str text;
};

/**
 * struct snapshot_assembly - parts of one peer's snapshot, received so far; zeroed to begin with
 * @part_ms: when the last part came
 */
struct snapshot_assembly {
	char from[MEMBER_ID_MAX];
	int64_t version;
	uint64_t total;
	struct buf text;
	int64_t part_ms;
};

/**
 * snapshot_part_add - take a part from @from
 *
 * A part at offset 0 begins anew, unless another peer's snapshot is under way. Other parts have to
 * continue the text; one that was lost or belongs to another snapshot ends the assembly.
 *
 * Return: true when @a->text is whole; the caller uses it and calls snapshot_reset().
 */
bool snapshot_part_add(struct snapshot_assembly *a, const char *from,
		       const struct snapshot_part *part, int64_t now_ms);

/** snapshot_busy - parts are expected, so nobody needs to be asked */
bool snapshot_busy(const struct snapshot_assembly *a, int64_t now_ms);

void snapshot_reset(struct snapshot_assembly *a);

#endif
