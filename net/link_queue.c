#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/metrics.h"
#include "link_impl.h"

/* Limits the size of merged data events, so that the memory of a slow reader is freed early. */
#define LINK_MERGE_MAX_BYTES 65536

struct link_queue {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	struct link_event *head;
	struct link_event *last;
	uint64_t attempt;
	uint64_t second_attempt;
	uint64_t detached_attempt;
	int refs;
};

struct link_queue *link_queue_create(void)
{
	struct link_queue *q = mem_zalloc(sizeof(*q));
	pthread_condattr_t attr;

	pthread_mutex_init(&q->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&q->cond, &attr);
	pthread_condattr_destroy(&attr);
	q->refs = 1;
	return q;
}

void link_event_clear(struct link_event *ev)
{
	buf_free(&ev->data);
}

static void events_drop(struct link_queue *q)
{
	while (q->head) {
		struct link_event *ev = q->head;

		q->head = ev->next;
		link_event_clear(ev);
		free(ev);
	}
	q->last = NULL;
}

void link_queue_ref(struct link_queue *q)
{
	pthread_mutex_lock(&q->lock);
	q->refs++;
	pthread_mutex_unlock(&q->lock);
}

void link_queue_unref(struct link_queue *q)
{
	bool last;

	pthread_mutex_lock(&q->lock);
	last = --q->refs == 0;
	pthread_mutex_unlock(&q->lock);
	if (!last)
		return;
	events_drop(q);
	pthread_cond_destroy(&q->cond);
	pthread_mutex_destroy(&q->lock);
	free(q);
}

void link_queue_destroy(struct link_queue *q)
{
	if (!q)
		return;
	link_queue_set_attempt(q, 0);
	link_queue_unref(q);
}

void link_queue_set_attempt(struct link_queue *q, uint64_t attempt)
{
	pthread_mutex_lock(&q->lock);
	q->attempt = attempt;
	q->second_attempt = 0;
	events_drop(q);
	pthread_mutex_unlock(&q->lock);
}

void link_queue_set_second_attempt(struct link_queue *q, uint64_t attempt)
{
	pthread_mutex_lock(&q->lock);
	q->second_attempt = attempt;
	pthread_mutex_unlock(&q->lock);
}

void link_mark_complete(struct link_queue *q)
{
	pthread_mutex_lock(&q->lock);
	q->detached_attempt = q->attempt;
	pthread_mutex_unlock(&q->lock);
}

/* Appends the data of @ev to the last queued event if possible. The caller holds the lock. */
static bool data_try_merge(struct link_queue *q, const struct link_event *ev)
{
	struct link_event *last = q->last;

	if (!last || last->kind != LINK_DATA || ev->kind != LINK_DATA ||
	    last->attempt != ev->attempt || last->data.len + ev->data.len > LINK_MERGE_MAX_BYTES)
		return false;
	buf_append_str(&last->data, buf_str(&ev->data));
	return true;
}

/*
 * Appends a copy of @ev. The reader waits only while the queue is empty, so only the first event
 * signals it. The caller holds the lock.
 */
static void event_append(struct link_queue *q, const struct link_event *ev)
{
	struct link_event *copy = mem_alloc(sizeof(*copy));

	*copy = *ev;
	copy->next = NULL;
	if (q->last)
		q->last->next = copy;
	else
		q->head = copy;
	q->last = copy;
	if (q->head == copy)
		pthread_cond_signal(&q->cond);
}

void link_queue_push(struct link_queue *q, struct link_event ev)
{
	bool is_queued = false;
	bool is_stale;
	bool is_current;

	pthread_mutex_lock(&q->lock);
	is_current = ev.attempt == q->attempt || ev.attempt == q->second_attempt;
	is_stale = !is_current && ev.attempt != q->detached_attempt;
	if (is_current && !data_try_merge(q, &ev)) {
		event_append(q, &ev);
		is_queued = true;
	}
	pthread_mutex_unlock(&q->lock);
	if (is_queued)
		return;
	if (is_stale)
		metric_add(METRIC_STALE_DROPPED, 1);
	link_event_clear(&ev);
}

bool link_wait(struct link_queue *q, struct link_event *out, int64_t deadline_ms)
{
	struct link_event *ev;

	pthread_mutex_lock(&q->lock);
	while (!q->head) {
		int64_t left_ms = deadline_ms - clock_boot_ms();
		struct timespec until;

		if (left_ms <= 0)
			break;
		until = clock_monotonic_after(left_ms < 3600000 ? left_ms : 3600000);
		pthread_cond_timedwait(&q->cond, &q->lock, &until);
	}
	ev = q->head;
	if (ev) {
		q->head = ev->next;
		if (!q->head)
			q->last = NULL;
		*out = *ev;
		out->next = NULL;
	}
	pthread_mutex_unlock(&q->lock);
	free(ev);
	return ev != NULL;
}
