#ifndef NET_LINK_IMPL_H
#define NET_LINK_IMPL_H

#include <curl/curl.h>
#include <pthread.h>

#include "ibisgate/net/link.h"

#define LINK_HOSTS 256
#define LINK_SPARE_MAX 256

struct loop;

/**
 * struct transfer - one attempt; owned by its loop thread after it was handed over
 * @written: a connection was ready, so bytes of the request may have been written
 * @active_ms: time of the last byte, boot clock
 */
struct transfer {
	struct transfer *next;
	struct transfer *prev;
	uint64_t attempt;
	struct loop *loop;
	struct link_queue *queue;
	CURL *easy;
	struct curl_slist *headers;
	struct curl_slist *connect_to;
	struct buf body;
	int64_t silence_ms;
	int64_t active_ms;
	uint32_t host;
	bool written;
	bool resent;
	bool responded;
	bool silent;
	bool cancelled;
};

/**
 * struct loop - a thread with a multi handle
 * @starts: transfers handed over, linked through next
 * @cancels: attempt ids to close
 * @active: transfers in the multi handle
 */
struct loop {
	struct link *link;
	pthread_t thread;
	CURLM *multi;
	pthread_mutex_t lock;
	struct transfer *starts;
	uint64_t *cancels;
	int cancel_count;
	int cancel_cap;
	bool stopping;
	struct transfer *active;
	int64_t checked_ms;
};

struct link {
	struct link_options options;
	struct loop *loops;
	int loop_count;
	/* Until when connections to a host (by hash) are opened anew after one went silent. */
	_Atomic int64_t fresh_until_ms[LINK_HOSTS];
	/* Handles for further transfers; making one costs more than resetting it. */
	pthread_mutex_t spare_lock;
	CURL *spare[LINK_SPARE_MAX];
	int spare_count;
};

void link_queue_ref(struct link_queue *q);
void link_queue_unref(struct link_queue *q);
void link_queue_expect(struct link_queue *q, uint64_t attempt);
void link_queue_expect_second(struct link_queue *q, uint64_t attempt);

/* Takes over ev->data; drops and counts the event when the queue waits for another attempt. */
void link_queue_push(struct link_queue *q, struct link_event ev);

struct transfer *transfer_create(struct link *l, const struct link_request *req);
void transfer_destroy(struct transfer *t);

/* Delivers the outcome of a finished transfer. */
void transfer_finish(struct transfer *t, CURLcode code);

#endif
