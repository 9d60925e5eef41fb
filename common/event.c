#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"

static struct event ring[EVENT_RING_SIZE];
static uint64_t ring_next;
static pthread_mutex_t ring_lock = PTHREAD_MUTEX_INITIALIZER;

void event_record(const char *kind, const char *request, const char *endpoint,
		  const char *organisation, const char *fmt, ...)
{
	struct event ev = { .kind = kind };
	va_list ap;

	str_copy(ev.request, sizeof(ev.request), str_from(request ? request : ""));
	str_copy(ev.endpoint, sizeof(ev.endpoint), str_from(endpoint ? endpoint : ""));
	str_copy(ev.organisation, sizeof(ev.organisation),
		 str_from(organisation ? organisation : ""));
	va_start(ap, fmt);
	vsnprintf(ev.detail, sizeof(ev.detail), fmt, ap);
	va_end(ap);
	/* Every request takes this lock, so the entry is formatted before the lock is held. */
	pthread_mutex_lock(&ring_lock);
	ev.hlc = hlc_now();
	ring[ring_next++ % EVENT_RING_SIZE] = ev;
	pthread_mutex_unlock(&ring_lock);
}

/* Copies the entries newer than @after, oldest first, so that they are formatted unlocked. */
static struct event *events_copy(uint64_t after, size_t *count)
{
	struct event *copy = NULL;
	uint64_t first;
	size_t n = 0;

	pthread_mutex_lock(&ring_lock);
	first = ring_next > EVENT_RING_SIZE ? ring_next - EVENT_RING_SIZE : 0;
	while (first < ring_next && ring[first % EVENT_RING_SIZE].hlc <= after)
		first++;
	copy = mem_alloc((size_t)(ring_next - first) * sizeof(*copy));
	for (; first < ring_next; first++)
		copy[n++] = ring[first % EVENT_RING_SIZE];
	pthread_mutex_unlock(&ring_lock);
	*count = n;
	return copy;
}

void events_format(struct buf *out, uint64_t after, const char *instance)
{
	size_t count;
	struct event *copy = events_copy(after, &count);

	buf_append(out, "[", 1);
	for (size_t i = 0; i < count; i++) {
		const struct event *ev = &copy[i];
		json_t *obj = json_pack("{s:I,s:I,s:s,s:s,s:s,s:s,s:s,s:s}", "hlc",
					(json_int_t)ev->hlc, "time_ms", (json_int_t)(ev->hlc >> 16),
					"instance", instance, "kind", ev->kind, "request",
					ev->request, "endpoint", ev->endpoint, "organisation",
					ev->organisation, "detail", ev->detail);
		char *text = obj ? json_dumps(obj, JSON_COMPACT) : NULL;

		if (text) {
			if (out->data[out->len - 1] != '[')
				buf_append(out, ",\n", 2);
			buf_append_str(out, str_from(text));
		}
		free(text);
		json_decref(obj);
	}
	buf_append(out, "]", 1);
	free(copy);
}
