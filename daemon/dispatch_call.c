#include <string.h>

#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/metrics.h"

/* One attempt of a call to a plain service; a slow call is hedged by a second request. */

/**
 * struct service_transfer - one request to an endpoint
 * @attempt: id of the transfer on the link
 * @running: neither answered nor failed yet
 * @sent: whether the endpoint may have run the call
 * @reason: why it failed, static string
 */
struct service_transfer {
	struct fleet_slot slot;
	uint64_t attempt;
	int64_t start_ms;
	int status;
	struct buf body;
	bool started;
	bool running;
	enum sent_state sent;
	const char *reason;
};

/**
 * struct service_attempt - one attempt and its hedge
 * @transfers: the first request and the hedged one
 * @answered: transfer whose response is used; NULL before
 */
struct service_attempt {
	struct dispatch *d;
	struct service_call_work *w;
	struct link_queue *queue;
	struct service_transfer transfers[2];
	struct service_transfer *answered;
};

/* Prefers the nearer endpoint among those with equally few attempts. */
const struct route_candidate *service_choose(struct dispatch *d, const struct service_call_work *w,
					     int *count)
{
	struct fleet_query q = {
		.model = w->s->service,
		.avoid = w->avoid,
		.avoid_count = w->avoid_count,
		.settings = &d->gate->settings,
	};
	const struct route_candidate *best = NULL;

	*count = fleet_candidates(d->gate->fleet, &q, d->cands);
	for (int i = 0; i < *count; i++) {
		const struct route_candidate *c = &d->cands[i];

		if (!c->usable)
			continue;
		if (!best || c->decode_seqs < best->decode_seqs ||
		    (c->decode_seqs == best->decode_seqs && c->distance_us < best->distance_us))
			best = c;
	}
	return best;
}

bool service_slot_acquire(struct dispatch *d, struct service_call_work *w, struct fleet_slot *slot)
{
	const struct route_candidate *best;
	bool ok = false;
	int n;

	pthread_mutex_lock(&d->lock);
	best = service_choose(d, w, &n);
	if (best)
		ok = fleet_slot_acquire(d->gate->fleet, best->index, 0, 1, slot);
	pthread_mutex_unlock(&d->lock);
	return ok;
}

void service_avoid_add(struct service_call_work *w, int id)
{
	if (w->avoid_count < AVOID_MAX)
		w->avoid[w->avoid_count++] = id;
}

static void transfer_start(struct service_attempt *a, struct service_transfer *transfer)
{
	struct dispatch *d = a->d;
	struct service_call *s = a->w->s;
	struct call *call = &s->call;
	struct buf headers[3] = { 0 };
	const char *list[4] = { NULL };
	int n = 0;
	char url[192];
	struct link_request req = {
		.url = url,
		.address = settings_route(&d->gate->settings, transfer->slot.name),
		.headers = list,
		.body = s->body,
		/* A stale pooled connection would leave the outcome of the call unknown. */
		.fresh_connection = a->w->kind == CALL_NON_IDEMPOTENT,
	};

	snprintf(url, sizeof(url), "%s/call/%s", transfer->slot.url, s->service);
	buf_printf(&headers[n++], "Ibisgate-Organisation: %s", call->organisation);
	buf_printf(&headers[n++], "Ibisgate-Request-Id: %s", call->id);
	if (s->key.len)
		buf_printf(&headers[n++], "Idempotency-Key: " STR_FMT, STR_ARG(s->key));
	for (int i = 0; i < n; i++)
		list[i] = headers[i].data;
	call->attempts++;
	metric_add(METRIC_ATTEMPTS, 1);
	event_record("attempt-sent", call->id, transfer->slot.name, call->organisation, "n=%d",
		     call->attempts);
	str_copy(call->endpoint, sizeof(call->endpoint), str_from(transfer->slot.name));
	transfer->start_ms = clock_boot_ms();
	transfer->started = true;
	transfer->running = true;
	transfer->sent = SENT_MAYBE;
	transfer->reason = "no_answer";
	transfer->attempt = transfer == a->transfers ? link_start(d->link, a->queue, &req)
						     : link_start_hedged(d->link, a->queue, &req);
	for (int i = 0; i < n; i++)
		buf_free(&headers[i]);
}

static void transfer_failed(struct service_attempt *a, struct service_transfer *transfer,
			    const char *reason, enum sent_state sent)
{
	const struct call *call = &a->w->s->call;

	transfer->running = false;
	transfer->reason = reason;
	transfer->sent = sent;
	service_avoid_add(a->w, transfer->slot.id);
	event_record("attempt-failed", call->id, transfer->slot.name, call->organisation,
		     "n=%d reason=%s sent=%s", call->attempts, reason,
		     sent == SENT_NO ? "no" : "maybe");
}

static void transfer_ended(struct service_attempt *a, struct service_transfer *transfer)
{
	struct fleet *f = a->d->gate->fleet;

	if (transfer->status == 503 && body_is_not_run_error(buf_str(&transfer->body))) {
		transfer_failed(a, transfer, "refused", SENT_NO);
	} else if (transfer->status >= 500) {
		fleet_result_record(f, transfer->slot.name, FLEET_FAILURE);
		transfer_failed(a, transfer, "status", SENT_MAYBE);
	} else {
		fleet_result_record(f, transfer->slot.name, FLEET_SUCCESS);
		transfer->running = false;
		a->answered = transfer;
	}
}

static void transfer_broke(struct service_attempt *a, struct service_transfer *transfer,
			   const struct link_event *ev)
{
	bool is_connect_failure = ev->failure == LINK_CONNECT_FAILED;

	fleet_result_record(a->d->gate->fleet, transfer->slot.name,
			    is_connect_failure ? FLEET_HARD_FAILURE : FLEET_FAILURE);
	transfer_failed(a, transfer, is_connect_failure ? "connect" : "no_answer", ev->sent);
}

static void link_event_apply(struct service_attempt *a, const struct link_event *ev)
{
	struct service_transfer *transfer = &a->transfers[ev->attempt == a->transfers[1].attempt];

	if (!transfer->running)
		return;
	switch (ev->kind) {
	case LINK_RESPONSE:
		transfer->status = ev->status;
		break;
	case LINK_DATA:
		buf_append_str(&transfer->body, buf_str(&ev->data));
		break;
	case LINK_END:
		transfer->status = ev->status;
		transfer_ended(a, transfer);
		break;
	case LINK_FAILED:
		transfer_broke(a, transfer, ev);
		break;
	}
}

static struct hedge *hedge_get(struct dispatch *d, const char *service)
{
	for (int i = 0; i < d->hedge_count; i++) {
		if (strcmp(d->hedges[i].service, service) == 0)
			return &d->hedges[i].hedge;
	}
	if (d->hedge_count == DISPATCH_HEDGES_MAX)
		return NULL;
	str_copy(d->hedges[d->hedge_count].service, sizeof(d->hedges[0].service),
		 str_from(service));
	return &d->hedges[d->hedge_count++].hedge;
}

/* Boot time at which the hedged request is due; INT64_MAX for never. */
static int64_t hedge_due(struct service_attempt *a)
{
	struct dispatch *d = a->d;
	struct retry_limits limits = hedge_budget_limits(a->w->limits.hedge_ratio);
	int64_t after_ms = -1;
	struct hedge *h;

	if (a->w->kind != CALL_IDEMPOTENT || a->w->limits.hedge_ratio <= 0)
		return INT64_MAX;
	pthread_mutex_lock(&d->lock);
	h = hedge_get(d, a->w->s->service);
	if (h) {
		retry_budget_add_first_attempt(&h->budget, &limits, clock_boot_ms());
		after_ms = hedge_delay_ms(h);
	}
	pthread_mutex_unlock(&d->lock);
	return after_ms < 0 ? INT64_MAX : a->transfers[0].start_ms + after_ms;
}

static bool hedge_allowed(struct service_attempt *a)
{
	struct dispatch *d = a->d;
	struct retry_limits limits = hedge_budget_limits(a->w->limits.hedge_ratio);
	struct hedge *h;
	bool ok;

	pthread_mutex_lock(&d->lock);
	h = hedge_get(d, a->w->s->service);
	ok = h && retry_budget_try_take(&h->budget, &limits, clock_boot_ms());
	pthread_mutex_unlock(&d->lock);
	return ok;
}

/* Sends the hedged request to another endpoint, if there is one and the budget allows it. */
static void hedge_send(struct service_attempt *a)
{
	struct service_call_work *w = a->w;
	struct service_transfer *transfer = &a->transfers[1];
	int old_avoid_count = w->avoid_count;
	bool placed;

	service_avoid_add(w, a->transfers[0].slot.id);
	placed = service_slot_acquire(a->d, w, &transfer->slot);
	w->avoid_count = old_avoid_count;
	/* The first endpoint may be chosen again when no other is left. */
	if (placed && (transfer->slot.id == a->transfers[0].slot.id || !hedge_allowed(a))) {
		fleet_slot_release(a->d->gate->fleet, &transfer->slot);
		placed = false;
	}
	if (!placed)
		return;
	metric_add(METRIC_HEDGES, 1);
	transfer_start(a, transfer);
}

static void hedge_record_latency(struct service_attempt *a)
{
	struct dispatch *d = a->d;
	struct hedge *h;

	if (a->w->kind != CALL_IDEMPOTENT)
		return;
	pthread_mutex_lock(&d->lock);
	h = hedge_get(d, a->w->s->service);
	if (h)
		hedge_add_latency(h, clock_boot_ms() - a->transfers[0].start_ms);
	pthread_mutex_unlock(&d->lock);
}

static bool any_transfer_running(const struct service_attempt *a)
{
	return a->transfers[0].running || a->transfers[1].running;
}

static void events_wait(struct service_attempt *a)
{
	int64_t deadline = a->w->s->call.deadline_ms;
	int64_t due_ms = hedge_due(a);

	while (!a->answered && any_transfer_running(a)) {
		struct link_event ev;

		if (link_wait(a->queue, &ev, due_ms < deadline ? due_ms : deadline)) {
			link_event_apply(a, &ev);
			link_event_clear(&ev);
			continue;
		}
		if (clock_boot_ms() >= deadline)
			return;
		due_ms = INT64_MAX;
		hedge_send(a);
	}
}

/* An endpoint that was slower than its hedge, or silent until the deadline, has failed. */
static void transfers_cancel(struct service_attempt *a)
{
	for (int i = 0; i < 2; i++) {
		struct service_transfer *transfer = &a->transfers[i];

		if (!transfer->running)
			continue;
		link_cancel(a->d->link, a->queue, transfer->attempt);
		if (!a->answered || transfer->start_ms <= a->answered->start_ms)
			fleet_result_record(a->d->gate->fleet, transfer->slot.name, FLEET_FAILURE);
		transfer_failed(a, transfer, a->answered ? "overtaken" : "no_answer", SENT_MAYBE);
	}
}

static void response_store(struct service_attempt *a)
{
	struct service_call *s = a->w->s;

	hedge_record_latency(a);
	if (a->answered != a->transfers)
		metric_add(METRIC_HEDGES_WON, 1);
	str_copy(s->call.endpoint, sizeof(s->call.endpoint), str_from(a->answered->slot.name));
	s->response_status = a->answered->status;
	buf_reset(&s->response);
	buf_append_str(&s->response, buf_str(&a->answered->body));
}

bool service_attempt_run(struct dispatch *d, struct service_call_work *w,
			 const struct fleet_slot *slot, enum sent_state *sent)
{
	struct service_attempt a = { .d = d, .w = w, .queue = link_queue_create() };

	*sent = SENT_NO;
	a.transfers[0].slot = *slot;
	transfer_start(&a, &a.transfers[0]);
	events_wait(&a);
	transfers_cancel(&a);
	if (a.answered)
		response_store(&a);
	for (int i = 0; i < 2; i++) {
		if (a.transfers[i].started && a.transfers[i].sent == SENT_MAYBE)
			*sent = SENT_MAYBE;
		buf_free(&a.transfers[i].body);
	}
	if (a.transfers[1].started)
		fleet_slot_release(d->gate->fleet, &a.transfers[1].slot);
	link_queue_destroy(a.queue);
	return a.answered != NULL;
}
