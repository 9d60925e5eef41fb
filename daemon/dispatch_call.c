#include <string.h>

#include "dispatch_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/event.h"
#include "ibisgate/common/metrics.h"

/* One try of a call to a plain service, with a second one beside it when it is slow. */

/**
 * struct leg - one transfer of a try
 * @running: neither answered nor failed yet
 * @reason: why it failed
 */
struct leg {
	struct fleet_slot slot;
	uint64_t attempt;
	int64_t begun_ms;
	int status;
	struct buf body;
	bool started;
	bool running;
	enum sent_state sent;
	const char *reason;
};

struct tries {
	struct dispatch *d;
	struct service_work *w;
	struct link_queue *queue;
	struct leg legs[2];
	struct leg *answered;
};

/* Takes the usable endpoint with the fewest attempts. */
bool service_place(struct dispatch *d, struct service_work *w, struct fleet_slot *slot)
{
	struct fleet_query q = {
		.model = w->s->service,
		.avoid = w->avoid,
		.avoid_count = w->avoid_count,
		.settings = &d->gate->settings,
	};
	const struct route_candidate *best = NULL;
	bool ok = false;
	int n;

	pthread_mutex_lock(&d->lock);
	n = fleet_candidates(d->gate->fleet, &q, d->cands);
	for (int i = 0; i < n; i++) {
		const struct route_candidate *c = &d->cands[i];

		if (!c->usable)
			continue;
		if (!best || c->decode_seqs < best->decode_seqs ||
		    (c->decode_seqs == best->decode_seqs && c->distance_us < best->distance_us))
			best = c;
	}
	if (best)
		ok = fleet_acquire(d->gate->fleet, best->index, 0, 1, slot);
	pthread_mutex_unlock(&d->lock);
	return ok;
}

void service_avoid(struct service_work *w, int id)
{
	if (w->avoid_count < AVOID_MAX)
		w->avoid[w->avoid_count++] = id;
}

static void leg_start(struct tries *t, struct leg *leg)
{
	struct dispatch *d = t->d;
	struct service_call *s = t->w->s;
	struct call *call = &s->call;
	struct buf headers[3] = { 0 };
	const char *list[4] = { NULL };
	int n = 0;
	char url[192];
	struct link_request req = {
		.url = url,
		.address = settings_route(&d->gate->settings, leg->slot.name),
		.headers = list,
		.body = s->body,
		/* A dead pooled connection would leave the outcome of the call unknown. */
		.fresh = t->w->kind == CALL_NON_IDEMPOTENT,
	};

	snprintf(url, sizeof(url), "%s/call/%s", leg->slot.url, s->service);
	buf_printf(&headers[n++], "Ibisgate-Organisation: %s", call->organisation);
	buf_printf(&headers[n++], "Ibisgate-Request-Id: %s", call->id);
	if (s->key.len)
		buf_printf(&headers[n++], "Idempotency-Key: " STR_FMT, STR_ARG(s->key));
	for (int i = 0; i < n; i++)
		list[i] = headers[i].data;
	call->attempts++;
	metric_add(METRIC_ATTEMPTS, 1);
	event_record("attempt-sent", call->id, leg->slot.name, call->organisation, "n=%d",
		     call->attempts);
	str_copy(call->endpoint, sizeof(call->endpoint), str_from(leg->slot.name));
	leg->begun_ms = clock_boot_ms();
	leg->started = true;
	leg->running = true;
	leg->sent = SENT_MAYBE;
	leg->reason = "no_answer";
	leg->attempt = leg == t->legs ? link_start(d->link, t->queue, &req)
				      : link_start_second(d->link, t->queue, &req);
	for (int i = 0; i < n; i++)
		buf_free(&headers[i]);
}

static void leg_failed(struct tries *t, struct leg *leg, const char *reason, enum sent_state sent)
{
	const struct call *call = &t->w->s->call;

	leg->running = false;
	leg->reason = reason;
	leg->sent = sent;
	service_avoid(t->w, leg->slot.id);
	event_record("attempt-failed", call->id, leg->slot.name, call->organisation,
		     "n=%d reason=%s sent=%s", call->attempts, reason,
		     sent == SENT_NO ? "no" : "maybe");
}

static void leg_ended(struct tries *t, struct leg *leg)
{
	struct fleet *f = t->d->gate->fleet;

	if (leg->status == 503 && body_says_not_run(buf_str(&leg->body))) {
		leg_failed(t, leg, "refused", SENT_NO);
	} else if (leg->status >= 500) {
		fleet_result(f, leg->slot.name, FLEET_FAILURE);
		leg_failed(t, leg, "status", SENT_MAYBE);
	} else {
		fleet_result(f, leg->slot.name, FLEET_SUCCESS);
		leg->running = false;
		t->answered = leg;
	}
}

static void leg_broke(struct tries *t, struct leg *leg, const struct link_event *ev)
{
	bool connect = ev->failure == LINK_CONNECT;

	fleet_result(t->d->gate->fleet, leg->slot.name,
		     connect ? FLEET_HARD_FAILURE : FLEET_FAILURE);
	leg_failed(t, leg, connect ? "connect" : "no_answer", ev->sent);
}

static void event_apply(struct tries *t, const struct link_event *ev)
{
	struct leg *leg = &t->legs[ev->attempt == t->legs[1].attempt];

	if (!leg->running)
		return;
	switch (ev->kind) {
	case LINK_RESPONSE:
		leg->status = ev->status;
		break;
	case LINK_DATA:
		buf_append_str(&leg->body, buf_str(&ev->data));
		break;
	case LINK_END:
		leg->status = ev->status;
		leg_ended(t, leg);
		break;
	case LINK_FAILED:
		leg_broke(t, leg, ev);
		break;
	}
}

static struct hedge *hedge_of(struct dispatch *d, const char *service)
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

/* Time at which a second try is due, boot clock; INT64_MAX for never. */
static int64_t hedge_due(struct tries *t)
{
	struct dispatch *d = t->d;
	struct retry_limits limits = hedge_limits(t->w->limits.hedge_ratio);
	int64_t after = -1;
	struct hedge *h;

	if (t->w->kind != CALL_IDEMPOTENT || t->w->limits.hedge_ratio <= 0)
		return INT64_MAX;
	pthread_mutex_lock(&d->lock);
	h = hedge_of(d, t->w->s->service);
	if (h) {
		retry_budget_first_try(&h->budget, &limits, clock_boot_ms());
		after = hedge_after_ms(h);
	}
	pthread_mutex_unlock(&d->lock);
	return after < 0 ? INT64_MAX : t->legs[0].begun_ms + after;
}

static bool hedge_allowed(struct tries *t)
{
	struct dispatch *d = t->d;
	struct retry_limits limits = hedge_limits(t->w->limits.hedge_ratio);
	struct hedge *h;
	bool ok;

	pthread_mutex_lock(&d->lock);
	h = hedge_of(d, t->w->s->service);
	ok = h && retry_budget_take(&h->budget, &limits, clock_boot_ms());
	pthread_mutex_unlock(&d->lock);
	return ok;
}

/* Sends the second try to another endpoint, if there is one and the budget allows it. */
static void hedge_send(struct tries *t)
{
	struct service_work *w = t->w;
	struct leg *leg = &t->legs[1];
	int avoided = w->avoid_count;
	bool placed;

	service_avoid(w, t->legs[0].slot.id);
	placed = service_place(t->d, w, &leg->slot);
	w->avoid_count = avoided;
	/* With no other endpoint left the avoided one is offered again. */
	if (placed && (leg->slot.id == t->legs[0].slot.id || !hedge_allowed(t))) {
		fleet_release(t->d->gate->fleet, &leg->slot);
		placed = false;
	}
	if (!placed)
		return;
	metric_add(METRIC_HEDGES, 1);
	leg_start(t, leg);
}

static void hedge_note(struct tries *t)
{
	struct dispatch *d = t->d;
	struct hedge *h;

	if (t->w->kind != CALL_IDEMPOTENT)
		return;
	pthread_mutex_lock(&d->lock);
	h = hedge_of(d, t->w->s->service);
	if (h)
		hedge_answered(h, clock_boot_ms() - t->legs[0].begun_ms);
	pthread_mutex_unlock(&d->lock);
}

static bool any_running(const struct tries *t)
{
	return t->legs[0].running || t->legs[1].running;
}

static void events_wait(struct tries *t)
{
	int64_t deadline = t->w->s->call.deadline_ms;
	int64_t due = hedge_due(t);

	while (!t->answered && any_running(t)) {
		struct link_event ev;

		if (link_wait(t->queue, &ev, due < deadline ? due : deadline)) {
			event_apply(t, &ev);
			link_event_clear(&ev);
			continue;
		}
		if (clock_boot_ms() >= deadline)
			return;
		due = INT64_MAX;
		hedge_send(t);
	}
}

/* An endpoint that was overtaken, or silent up to the deadline, counts as a failure of it. */
static void running_cancel(struct tries *t)
{
	for (int i = 0; i < 2; i++) {
		struct leg *leg = &t->legs[i];

		if (!leg->running)
			continue;
		link_cancel(t->d->link, t->queue, leg->attempt);
		if (!t->answered || leg->begun_ms <= t->answered->begun_ms)
			fleet_result(t->d->gate->fleet, leg->slot.name, FLEET_FAILURE);
		leg_failed(t, leg, t->answered ? "overtaken" : "no_answer", SENT_MAYBE);
	}
}

static void answer_take(struct tries *t)
{
	struct service_call *s = t->w->s;

	hedge_note(t);
	if (t->answered != t->legs)
		metric_add(METRIC_HEDGES_WON, 1);
	str_copy(s->call.endpoint, sizeof(s->call.endpoint), str_from(t->answered->slot.name));
	s->answer_status = t->answered->status;
	buf_reset(&s->answer);
	buf_append_str(&s->answer, buf_str(&t->answered->body));
}

bool service_try(struct dispatch *d, struct service_work *w, const struct fleet_slot *slot,
		 enum sent_state *sent)
{
	struct tries t = { .d = d, .w = w, .queue = link_queue_create() };

	*sent = SENT_NO;
	t.legs[0].slot = *slot;
	leg_start(&t, &t.legs[0]);
	events_wait(&t);
	running_cancel(&t);
	if (t.answered)
		answer_take(&t);
	for (int i = 0; i < 2; i++) {
		if (t.legs[i].started && t.legs[i].sent == SENT_MAYBE)
			*sent = SENT_MAYBE;
		buf_free(&t.legs[i].body);
	}
	if (t.legs[1].started)
		fleet_release(d->gate->fleet, &t.legs[1].slot);
	link_queue_destroy(t.queue);
	return t.answered != NULL;
}
