#ifndef IBISGATE_STATE_SNAPSHOT_H
#define IBISGATE_STATE_SNAPSHOT_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/state/member.h"

/*
 * Size limit in bytes, which keeps a faulty peer from exhausting the memory. The snapshot of 21,000
 * organisations takes 2.4 MB.
 */
#define SNAPSHOT_MAX (64 << 20)
/* Parts are sent without delay; the remaining ones are considered lost after this pause. */
#define SNAPSHOT_PAUSE_MS 2000

/**
 * struct snapshot_part - part of the text of a configuration snapshot
 * @version: configuration version of the snapshot
 * @total: size of the whole text in bytes
 * @offset: position of this part in the text, in bytes
 */
struct snapshot_part {
	int64_t version;
	uint64_t total;
	uint64_t offset;
	struct str text;
};

/**
 * struct snapshot_assembly - reassembles the snapshot that one peer sends; starts zeroed
 * @from: id of the peer
 * @text: the parts received so far; freed by snapshot_reset()
 * @part_ms: when the last part was received
 */
struct snapshot_assembly {
	char from[MEMBER_ID_MAX];
	int64_t version;
	uint64_t total;
	struct buf text;
	int64_t part_ms;
};

/**
 * snapshot_part_add - add a part received from peer @from
 *
 * A part at offset 0 starts a new snapshot. Any other part has to continue the text: after a lost
 * part, or with a part of another snapshot, the assembly is reset. While one peer is sending a
 * snapshot, parts from other peers are ignored.
 *
 * Return: true when @a->text is complete; the caller uses it and calls snapshot_reset().
 */
bool snapshot_part_add(struct snapshot_assembly *a, const char *from,
		       const struct snapshot_part *part, int64_t now_ms);

/** snapshot_busy - more parts are expected, so there is no need to request a snapshot */
bool snapshot_busy(const struct snapshot_assembly *a, int64_t now_ms);

/** snapshot_reset - discard the parts and free the text */
void snapshot_reset(struct snapshot_assembly *a);

#endif
