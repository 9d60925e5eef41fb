#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/ablation.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "link_impl.h"

#define LOOP_CHECK_MS 50
#define LOOP_IDLE_MS 500
/*
 * Time after a silent connection during which connections to the same host are not reused. Other
 * connections opened before may be silent too; they expire from the pool in this time.
 */
#define LINK_FRESH_CONNECT_MS 16000
#define LINK_POOL_MAX_CONNECTIONS 1024L

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;
static _Atomic uint64_t next_attempt = 1;

static void curl_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

static void loop_add_transfer(struct loop *loop, struct transfer *t)
{
	t->last_activity_ms = clock_boot_ms();
	t->prev = NULL;
	t->next = loop->active;
	if (t->next)
		t->next->prev = t;
	loop->active = t;
	curl_multi_add_handle(loop->multi, t->easy);
}

/* Delivers the final event of @t and destroys @t; closes the connection of an unfinished one. */
static void loop_remove_transfer(struct loop *loop, struct transfer *t, CURLcode code)
{
	if (t->prev)
		t->prev->next = t->next;
	else
		loop->active = t->next;
	if (t->next)
		t->next->prev = t->prev;
	transfer_finish(t, code);
	curl_multi_remove_handle(loop->multi, t->easy);
	transfer_destroy(t);
}

static void loop_cancel_attempt(struct loop *loop, uint64_t attempt)
{
	for (struct transfer *t = loop->active; t; t = t->next) {
		if (t->attempt != attempt)
			continue;
		t->cancelled = true;
		loop_remove_transfer(loop, t, CURLE_ABORTED_BY_CALLBACK);
		return;
	}
}

/* Applies the starts and cancellations requested by other threads. Returns true to end the loop. */
static bool loop_apply_commands(struct loop *loop)
{
	struct transfer *starts;
	uint64_t *cancels;
	int cancel_count;
	bool stopping;

	pthread_mutex_lock(&loop->lock);
	starts = loop->starts;
	cancels = loop->cancels;
	cancel_count = loop->cancel_count;
	stopping = loop->stopping;
	loop->starts = NULL;
	loop->cancels = NULL;
	loop->cancel_count = 0;
	loop->cancel_cap = 0;
	pthread_mutex_unlock(&loop->lock);
	while (starts) {
		struct transfer *t = starts;

		starts = t->next;
		loop_add_transfer(loop, t);
	}
	for (int i = 0; i < cancel_count; i++)
		loop_cancel_attempt(loop, cancels[i]);
	free(cancels);
	return stopping;
}

static void loop_collect_finished(struct loop *loop)
{
	struct CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(loop->multi, &left))) {
		struct transfer *t = NULL;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&t);
		loop_remove_transfer(loop, t, code);
	}
}

/*
 * @now_ms is from before the sockets were read: what arrived while the thread got no processor
 * since then is not silence.
 */
static void loop_check_silence(struct loop *loop, int64_t now_ms)
{
	struct transfer *next;

	if (now_ms - loop->checked_ms < LOOP_CHECK_MS)
		return;
	loop->checked_ms = now_ms;
	for (struct transfer *t = loop->active; t; t = next) {
		next = t->next;
		if (!t->silence_ms || mechanism_is_disabled(MECHANISM_SILENCE_TIMEOUT) ||
		    now_ms - t->last_activity_ms < t->silence_ms)
			continue;
		t->silent = true;
		metric_add(METRIC_SILENT_CLOSED, 1);
		atomic_store(&loop->link->fresh_until_ms[t->target_hash % LINK_HOST_BUCKETS],
			     now_ms + LINK_FRESH_CONNECT_MS);
		loop_remove_transfer(loop, t, CURLE_OPERATION_TIMEDOUT);
	}
}

static void *loop_main(void *arg)
{
	struct loop *loop = arg;
	int64_t now_ms;
	int running;

	pthread_setname_np(pthread_self(), "link");
	while (!loop_apply_commands(loop)) {
		now_ms = clock_boot_ms();
		curl_multi_perform(loop->multi, &running);
		loop_collect_finished(loop);
		loop_check_silence(loop, now_ms);
		curl_multi_poll(loop->multi, NULL, 0, loop->active ? LOOP_CHECK_MS : LOOP_IDLE_MS,
				NULL);
	}
	while (loop->active)
		loop_remove_transfer(loop, loop->active, CURLE_ABORTED_BY_CALLBACK);
	return NULL;
}

struct link *link_create(const struct link_options *options, struct error *err)
{
	struct link *l = mem_zalloc(sizeof(*l));

	pthread_once(&curl_once, curl_init);
	l->options = *options;
	pthread_mutex_init(&l->idle_handle_lock, NULL);
	l->loops = mem_zalloc((size_t)options->loops * sizeof(*l->loops));
	for (int i = 0; i < options->loops; i++) {
		struct loop *loop = &l->loops[i];

		loop->link = l;
		pthread_mutex_init(&loop->lock, NULL);
		loop->multi = curl_multi_init();
		if (!loop->multi)
			goto fail;
		curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS, LINK_POOL_MAX_CONNECTIONS);
		if (pthread_create(&loop->thread, NULL, loop_main, loop) != 0) {
			curl_multi_cleanup(loop->multi);
			goto fail;
		}
		l->loop_count++;
	}
	return l;
fail:
	error_set(err, ERROR_LINK, LINK_INIT_FAILED,
		  "cannot create the thread or multi handle of a link loop");
	link_destroy(l);
	return NULL;
}

void link_destroy(struct link *l)
{
	if (!l)
		return;
	for (int i = 0; i < l->loop_count; i++) {
		struct loop *loop = &l->loops[i];

		pthread_mutex_lock(&loop->lock);
		loop->stopping = true;
		pthread_mutex_unlock(&loop->lock);
		curl_multi_wakeup(loop->multi);
		pthread_join(loop->thread, NULL);
		curl_multi_cleanup(loop->multi);
		pthread_mutex_destroy(&loop->lock);
		free(loop->cancels);
	}
	for (int i = 0; i < l->idle_handle_count; i++)
		curl_easy_cleanup(l->idle_handles[i]);
	pthread_mutex_destroy(&l->idle_handle_lock);
	free(l->loops);
	free(l);
}

static struct transfer *transfer_prepare(struct link *l, struct link_queue *q,
					 const struct link_request *req)
{
	struct transfer *t = transfer_create(l, req);

	t->attempt = atomic_fetch_add(&next_attempt, 1);
	/* All transfers to a host use the same loop, to reuse its idle connections. */
	t->loop = &l->loops[t->target_hash % (uint32_t)l->loop_count];
	t->queue = q;
	link_queue_ref(q);
	return t;
}

static void transfer_submit(struct transfer *t)
{
	struct loop *loop = t->loop;

	pthread_mutex_lock(&loop->lock);
	t->next = loop->starts;
	loop->starts = t;
	pthread_mutex_unlock(&loop->lock);
	curl_multi_wakeup(loop->multi);
}

uint64_t link_start(struct link *l, struct link_queue *q, const struct link_request *req)
{
	struct transfer *t = transfer_prepare(l, q, req);
	uint64_t attempt = t->attempt;

	link_queue_set_attempt(q, attempt);
	transfer_submit(t);
	return attempt;
}

uint64_t link_start_hedged(struct link *l, struct link_queue *q, const struct link_request *req)
{
	struct transfer *t = transfer_prepare(l, q, req);
	uint64_t attempt = t->attempt;

	link_queue_set_second_attempt(q, attempt);
	transfer_submit(t);
	return attempt;
}

void link_cancel(struct link *l, struct link_queue *q, uint64_t attempt)
{
	link_queue_set_attempt(q, 0);
	for (int i = 0; i < l->loop_count; i++) {
		struct loop *loop = &l->loops[i];

		pthread_mutex_lock(&loop->lock);
		if (loop->cancel_count == loop->cancel_cap) {
			loop->cancel_cap = loop->cancel_cap ? 2 * loop->cancel_cap : 8;
			loop->cancels = mem_resize(loop->cancels, (size_t)loop->cancel_cap *
									  sizeof(*loop->cancels));
		}
		loop->cancels[loop->cancel_count++] = attempt;
		pthread_mutex_unlock(&loop->lock);
		curl_multi_wakeup(loop->multi);
	}
}

int link_fetch(struct link *l, const struct link_request *req, int64_t timeout_ms, int *status,
	       struct buf *body, struct link_event *failed)
{
	struct link_queue *q = link_queue_create();
	int64_t deadline_ms = clock_boot_ms() + timeout_ms;
	uint64_t attempt = link_start(l, q, req);
	struct link_event ev = { 0 };
	bool done = false;
	int rc = -1;

	if (failed)
		*failed = (struct link_event){ .kind = LINK_FAILED,
					       .failure = LINK_SILENT,
					       .sent = SENT_MAYBE };
	while (!done && link_wait(q, &ev, deadline_ms)) {
		if (ev.kind == LINK_DATA)
			buf_append_str(body, buf_str(&ev.data));
		done = ev.kind == LINK_END || ev.kind == LINK_FAILED;
		link_event_clear(&ev);
	}
	if (!done)
		link_cancel(l, q, attempt);
	else if (ev.kind == LINK_END)
		rc = 0;
	else if (failed)
		*failed = ev;
	*status = ev.status;
	link_queue_destroy(q);
	return rc;
}
