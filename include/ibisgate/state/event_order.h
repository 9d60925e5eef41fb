#ifndef IBISGATE_STATE_EVENT_ORDER_H
#define IBISGATE_STATE_EVENT_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum event_verdict - what to do with an event of a stream
 * @EVENT_FORWARD: it is the next one for the caller
 * @EVENT_REPEATED: the caller has it already
 * @EVENT_OUT_OF_ORDER: events are missing before it, or its id is wrong
 */
enum event_verdict {
	EVENT_FORWARD,
	EVENT_REPEATED,
	EVENT_OUT_OF_ORDER,
};

/**
 * struct event_order - position in one caller's stream, which several engines may produce in turn
 * @forwarded: id of the last event that the caller has; -1 for none
 * @received: id of the last event of the current engine; -1 for none
 *
 * Ids are consecutive. An engine that continues a stream may begin with events that the caller has
 * already; after its first event it may neither repeat nor omit one. A stream that leaves out
 * events would otherwise look complete at its end.
 */
struct event_order {
	int64_t forwarded;
	int64_t received;
};

/** event_order_begin - the stream begins, or continues on another engine */
void event_order_begin(struct event_order *o);

/**
 * event_order_check - classify the next event of the current engine by its id, and advance
 * @id: negative for an event without a valid id
 */
enum event_verdict event_order_check(struct event_order *o, int64_t id);

/**
 * event_order_may_end - whether the stream may be complete here: the current engine has not stopped
 * among events that the caller has already
 */
bool event_order_may_end(const struct event_order *o);

#endif
