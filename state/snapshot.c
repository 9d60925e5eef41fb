#include <string.h>

#include "ibisgate/state/snapshot.h"

bool snapshot_busy(const struct snapshot_assembly *a, int64_t now_ms)
{
	return a->total && now_ms - a->part_ms < SNAPSHOT_PAUSE_MS;
}

void snapshot_reset(struct snapshot_assembly *a)
{
	buf_free(&a->text);
	*a = (struct snapshot_assembly){ 0 };
}

static bool is_next_part(const struct snapshot_assembly *a, const struct snapshot_part *part)
{
	return a->version == part->version && a->total == part->total &&
	       a->text.len == part->offset && part->text.len &&
	       part->text.len <= part->total - part->offset;
}

bool snapshot_part_add(struct snapshot_assembly *a, const char *from,
		       const struct snapshot_part *part, int64_t now_ms)
{
	if (snapshot_busy(a, now_ms) && strcmp(a->from, from) != 0)
		return false;
	if (part->offset == 0 && part->total <= SNAPSHOT_MAX) {
		snapshot_reset(a);
		str_copy(a->from, sizeof(a->from), str_from(from));
		a->version = part->version;
		a->total = part->total;
	}
	if (strcmp(a->from, from) != 0 || !is_next_part(a, part)) {
		snapshot_reset(a);
		return false;
	}
	buf_append_str(&a->text, part->text);
	a->part_ms = now_ms;
	return a->text.len == a->total;
}
