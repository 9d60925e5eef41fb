#include "ibisgate/state/event_order.h"

void event_order_begin(struct event_order *o)
{
	o->received = -1;
}

enum event_verdict event_order_check(struct event_order *o, int64_t id)
{
	bool is_first = o->received < 0;

	if (id < 0)
		return EVENT_OUT_OF_ORDER;
	/* The differences can't overflow, because no id is negative. */
	if (!is_first && id - 1 != o->received)
		return EVENT_OUT_OF_ORDER;
	if (is_first && o->forwarded >= 0 && id - 1 > o->forwarded)
		return EVENT_OUT_OF_ORDER;
	o->received = id;
	if (id <= o->forwarded)
		return EVENT_REPEATED;
	o->forwarded = id;
	return EVENT_FORWARD;
}

bool event_order_may_end(const struct event_order *o)
{
	return o->received < 0 || o->received == o->forwarded;
}
