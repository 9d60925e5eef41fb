#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/metrics.h"
#include "link_impl.h"

struct link_queue {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	struct link_event *head;
	struct link_event **tail;
	uint64_t attempt;
	uint64_t detached;
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
	q->tail = &q->head;
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
	q->tail = &q->head;
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
	link_queue_expect(q, 0);
	link_queue_unref(q);
}

void link_queue_expect(struct link_queue *q, uint64_t attempt)
{
	pthread_mutex_lock(&q->lock);
	q->attempt = attempt;
	events_drop(q);
	pthread_mutex_unlock(&q->lock);
}

void link_detach(struct link_queue *q)
{
	pthread_mutex_lock(&q->lock);
	q->detached = q->attempt;
	pthread_mutex_unlock(&q->lock);
}

void link_queue_push(struct link_queue *q, struct link_event ev)
{
	struct link_event *copy = NULL;
	bool stale;

	pthread_mutex_lock(&q->lock);
	stale = ev.attempt != q->detached;
	if (q->attempt == ev.attempt) {
		copy = mem_alloc(sizeof(*copy));
		*copy = ev;
		copy->next = NULL;
		*q->tail = copy;
		q->tail = &copy->next;
		pthread_cond_signal(&q->cond);
	}
	pthread_mutex_unlock(&q->lock);
	if (!copy) {
		if (stale)
			metric_add(METRIC_STALE_DROPPED, 1);
		link_event_clear(&ev);
	}
}

static struct timespec mono_after(int64_t ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += ms / 1000;
	ts.tv_nsec += ms % 1000 * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_sec++;
		ts.tv_nsec -= 1000000000;
	}
	return ts;
}

bool link_wait(struct link_queue *q, struct link_event *out, int64_t deadline_ms)
{
	struct link_event *ev;

	pthread_mutex_lock(&q->lock);
	while (!q->head) {
		int64_t left = deadline_ms - clock_boot_ms();
		struct timespec until;

		if (left <= 0)
			break;
		until = mono_after(left < 3600000 ? left : 3600000);
		pthread_cond_timedwait(&q->cond, &q->lock, &until);
	}
	ev = q->head;
	if (ev) {
		q->head = ev->next;
		if (!q->head)
			q->tail = &q->head;
		*out = *ev;
		out->next = NULL;
	}
	pthread_mutex_unlock(&q->lock);
	free(ev);
	return ev != NULL;
}
