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
/* Connections opened before a silence may be silent too; they age out of the pool meanwhile. */
#define LINK_FRESH_MS 16000
#define LINK_POOL_MAX 1024L

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;
static _Atomic uint64_t next_attempt = 1;

static void curl_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

static void active_add(struct loop *loop, struct transfer *t)
{
	t->active_ms = clock_boot_ms();
	t->prev = NULL;
	t->next = loop->active;
	if (t->next)
		t->next->prev = t;
	loop->active = t;
	curl_multi_add_handle(loop->multi, t->easy);
}

/* Removing a handle before its end closes the connection. */
static void active_remove(struct loop *loop, struct transfer *t, CURLcode code)
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

static void cancel_one(struct loop *loop, uint64_t attempt)
{
	for (struct transfer *t = loop->active; t; t = t->next) {
		if (t->attempt != attempt)
			continue;
		t->cancelled = true;
		active_remove(loop, t, CURLE_ABORTED_BY_CALLBACK);
		return;
	}
}

/* Takes over what other threads asked for; true once the loop has to end. */
static bool commands_run(struct loop *loop)
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
		active_add(loop, t);
	}
	for (int i = 0; i < cancel_count; i++)
		cancel_one(loop, cancels[i]);
	free(cancels);
	return stopping;
}

static void finished_collect(struct loop *loop)
{
	struct CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(loop->multi, &left))) {
		struct transfer *t = NULL;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&t);
		active_remove(loop, t, code);
	}
}

static void silence_check(struct loop *loop)
{
	int64_t now = clock_boot_ms();
	struct transfer *next;

	if (now - loop->checked_ms < LOOP_CHECK_MS)
		return;
	loop->checked_ms = now;
	for (struct transfer *t = loop->active; t; t = next) {
		next = t->next;
		if (!t->silence_ms || ablated(MECHANISM_SILENCE) ||
		    now - t->active_ms < t->silence_ms)
			continue;
		t->silent = true;
		metric_add(METRIC_SILENT_CLOSED, 1);
		atomic_store(&loop->link->fresh_until_ms[t->host % LINK_HOSTS],
			     now + LINK_FRESH_MS);
		active_remove(loop, t, CURLE_OPERATION_TIMEDOUT);
	}
}

static void *loop_main(void *arg)
{
	struct loop *loop = arg;
	int running;

	pthread_setname_np(pthread_self(), "link");
	while (!commands_run(loop)) {
		curl_multi_perform(loop->multi, &running);
		finished_collect(loop);
		silence_check(loop);
		curl_multi_poll(loop->multi, NULL, 0, loop->active ? LOOP_CHECK_MS : LOOP_IDLE_MS,
				NULL);
	}
	while (loop->active)
		active_remove(loop, loop->active, CURLE_ABORTED_BY_CALLBACK);
	return NULL;
}

struct link *link_create(const struct link_options *options, struct error *err)
{
	struct link *l = mem_zalloc(sizeof(*l));

	pthread_once(&curl_once, curl_init);
	l->options = *options;
	pthread_mutex_init(&l->spare_lock, NULL);
	l->loops = mem_zalloc((size_t)options->loops * sizeof(*l->loops));
	for (int i = 0; i < options->loops; i++) {
		struct loop *loop = &l->loops[i];

		loop->link = l;
		pthread_mutex_init(&loop->lock, NULL);
		loop->multi = curl_multi_init();
		if (!loop->multi)
			goto fail;
		curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS, LINK_POOL_MAX);
		if (pthread_create(&loop->thread, NULL, loop_main, loop) != 0) {
			curl_multi_cleanup(loop->multi);
			goto fail;
		}
		l->loop_count++;
	}
	return l;
fail:
	error_set(err, ERROR_LINK, LINK_INIT, "cannot start a link loop");
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
	for (int i = 0; i < l->spare_count; i++)
		curl_easy_cleanup(l->spare[i]);
	pthread_mutex_destroy(&l->spare_lock);
	free(l->loops);
	free(l);
}

static struct transfer *transfer_prepare(struct link *l, struct link_queue *q,
					 const struct link_request *req)
{
	struct transfer *t = transfer_create(l, req);

	t->attempt = atomic_fetch_add(&next_attempt, 1);
	/* One host stays on one loop, so that its idle connections are found again. */
	t->loop = &l->loops[t->host % (uint32_t)l->loop_count];
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

	link_queue_expect(q, attempt);
	transfer_submit(t);
	return attempt;
}

uint64_t link_start_second(struct link *l, struct link_queue *q, const struct link_request *req)
{
	struct transfer *t = transfer_prepare(l, q, req);
	uint64_t attempt = t->attempt;

	link_queue_expect_second(q, attempt);
	transfer_submit(t);
	return attempt;
}

void link_cancel(struct link *l, struct link_queue *q, uint64_t attempt)
{
	link_queue_expect(q, 0);
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
	int64_t deadline = clock_boot_ms() + timeout_ms;
	uint64_t attempt = link_start(l, q, req);
	struct link_event ev = { 0 };
	bool done = false;
	int rc = -1;

	if (failed)
		*failed = (struct link_event){ .kind = LINK_FAILED,
					       .failure = LINK_SILENT,
					       .sent = SENT_MAYBE };
	while (!done && link_wait(q, &ev, deadline)) {
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
