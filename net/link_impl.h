#ifndef NET_LINK_IMPL_H
#define NET_LINK_IMPL_H

#include <curl/curl.h>
#include <pthread.h>

#include "ibisgate/net/link.h"

#define LINK_HOST_BUCKETS 256
#define LINK_IDLE_HANDLES_MAX 256

struct loop;

/**
 * struct transfer - one attempt; owned by its loop thread once it is in the list of starts
 * @last_activity_ms: time of the last activity on the boot clock
 * @target_hash: hash of the address or host that the transfer connects to
 * @header_bytes: bytes of headers received, those of interim responses included
 * @body_bytes: bytes of the body received
 * @maybe_written: a connection was ready, so bytes of the request may have been written
 * @resent: libcurl tried to send the request a second time
 * @has_length: the response announces its length or comes in chunks, so that its end shows
 * @malformed: its status is none of HTTP
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
	int64_t last_activity_ms;
	uint32_t target_hash;
	size_t header_bytes;
	size_t body_bytes;
	bool maybe_written;
	bool resent;
	bool has_length;
	bool malformed;
	bool responded;
	bool silent;
	bool cancelled;
};

/**
 * struct loop - event loop thread with a libcurl multi handle
 * @lock: protects @starts, @cancels, @cancel_count, @cancel_cap and @stopping
 * @starts: transfers to start, linked through next
 * @cancels: ids of the attempts to cancel
 * @active: transfers in the multi handle
 * @checked_ms: time of the last silence check on the boot clock
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
	/*
	 * Time until which no pooled connection to a host is reused, because one went silent;
	 * indexed by the hash of the host.
	 */
	_Atomic int64_t fresh_until_ms[LINK_HOST_BUCKETS];
	/* Handles for reuse: creating a handle costs more than resetting one. */
	pthread_mutex_t idle_handle_lock;
	CURL *idle_handles[LINK_IDLE_HANDLES_MAX];
	int idle_handle_count;
};

void link_queue_ref(struct link_queue *q);
void link_queue_unref(struct link_queue *q);
void link_queue_set_attempt(struct link_queue *q, uint64_t attempt);
void link_queue_set_second_attempt(struct link_queue *q, uint64_t attempt);

/*
 * Takes ownership of ev->data. Drops the event if its attempt is not a current one of the queue,
 * and counts it as stale unless the attempt is detached.
 */
void link_queue_push(struct link_queue *q, struct link_event ev);

struct transfer *transfer_create(struct link *l, const struct link_request *req);
void transfer_destroy(struct transfer *t);

/* Queues the final event of a transfer unless it is cancelled. */
void transfer_finish(struct transfer *t, CURLcode code);

#endif
