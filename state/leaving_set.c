#include "ibisgate/state/leaving_set.h"

bool leaving_set_has(const struct leaving_set *s, uint32_t tag)
{
	for (int i = 0; i < s->count; i++) {
		if (s->tags[i] == tag)
			return true;
	}
	return false;
}

bool leaving_set_add(struct leaving_set *s, uint32_t tag)
{
	if (leaving_set_has(s, tag))
		return false;
	s->tags[s->next] = tag;
	s->next = (s->next + 1) % LEAVING_SET_MAX;
	if (s->count < LEAVING_SET_MAX)
		s->count++;
	return true;
}
