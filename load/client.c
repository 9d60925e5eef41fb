#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "internal.h"

#define PROBE_INTERVAL_US 500000
/*
 * Pause of a closed loop after a generation failed. Targets that refuse requests immediately would
 * otherwise receive tens of thousands of requests per second.
 */
#define FAILURE_PAUSE_US 10000
#define PROBE_TIMEOUT_MS 1000L
#define RESPONSE_MAX_BYTES (1 << 20)
#define EVENTS_MAX 256
#define NEVER_US INT64_MAX

void load_options_defaults(struct load_options *o)
{
	*o = (struct load_options){
		.duration_s = 10,
		.drain_s = 60,
		.timeout_ms = 120000,
		.ttft_limit_ms = 640,
		.mean_gap_limit_ms = 59,
		.run_id = "run",
	};
}

const char *load_outcome_name(enum load_outcome outcome)
{
	static const char *const names[] = { "whole",	"wrong",   "cut",	 "lost",
					     "refused", "unknown", "unreachable" };

	return names[outcome];
}

bool load_record_counts_as_goodput(const struct load_record *r, const struct load_options *o)
{
	return !r->is_call && r->outcome == LOAD_WHOLE && r->ttft_us <= o->ttft_limit_ms * 1000 &&
	       r->gap_mean_us <= o->mean_gap_limit_ms * 1000;
}

void load_result_free(struct load_result *result)
{
	free(result->records);
	*result = (struct load_result){ 0 };
}

int64_t run_now_us(const struct run *r)
{
	return clock_boot_us() - r->start_us;
}

static int on_socket(CURL *easy, curl_socket_t fd, int action, void *user, void *socket_data)
{
	struct run *r = user;
	struct epoll_event ev = { .data.fd = fd };

	if (action == CURL_POLL_REMOVE) {
		epoll_ctl(r->epoll, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	ev.events = (action & CURL_POLL_IN ? EPOLLIN : 0) | (action & CURL_POLL_OUT ? EPOLLOUT : 0);
	if (epoll_ctl(r->epoll, EPOLL_CTL_MOD, fd, &ev) < 0 && errno == ENOENT)
		epoll_ctl(r->epoll, EPOLL_CTL_ADD, fd, &ev);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *user)
{
	struct run *r = user;

	r->timer_us = timeout_ms < 0 ? NEVER_US : run_now_us(r) + timeout_ms * 1000;
	return 0;
}

static size_t on_body(char *data, size_t size, size_t n, void *user)
{
	struct transfer *t = user;
	struct str bytes = { .data = data, .len = size * n };
	long status = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	t->record.bytes += (int64_t)bytes.len;
	if (t->kind == TRANSFER_GENERATION && status == 200)
		check_feed(&t->check, bytes, run_now_us(t->run));
	else if (t->response.len + bytes.len <= RESPONSE_MAX_BYTES)
		buf_append_str(&t->response, bytes);
	return bytes.len;
}

static size_t on_header(char *data, size_t size, size_t n, void *user)
{
	struct transfer *t = user;
	struct str value = { .data = data, .len = size * n };
	struct str name = str_split(&value, ':');

	value = str_trim(value);
	if (name.len == 17 && strncasecmp(name.data, "Ibisgate-Instance", name.len) == 0)
		str_copy(t->record.instance, sizeof(t->record.instance), value);
	else if (name.len == 17 && strncasecmp(name.data, "Ibisgate-Endpoint", name.len) == 0)
		str_copy(t->record.endpoint, sizeof(t->record.endpoint), value);
	else if (name.len == 19 && strncasecmp(name.data, "Ibisgate-Request-Id", name.len) == 0)
		str_copy(t->record.request_id, sizeof(t->record.request_id), value);
	return size * n;
}

static struct transfer *transfer_create(struct run *r, enum transfer_kind kind)
{
	struct transfer *t = mem_zalloc(sizeof(*t));

	t->run = r;
	t->kind = kind;
	t->easy = curl_easy_init();
	t->next = r->active;
	t->prev = &r->active;
	if (t->next)
		t->next->prev = &t->next;
	r->active = t;
	return t;
}

static void transfer_destroy(struct transfer *t)
{
	*t->prev = t->next;
	if (t->next)
		t->next->prev = t->prev;
	curl_easy_cleanup(t->easy);
	curl_slist_free_all(t->headers);
	buf_free(&t->body);
	buf_free(&t->response);
	check_free(&t->check);
	free(t);
}

/* First target that is not marked down, starting at @from; @from when all are down. */
static int target_find_available(const struct run *r, int from)
{
	int count = r->options->url_count;

	for (int i = 0; i < count; i++) {
		if (!r->targets[(from + i) % count].down)
			return (from + i) % count;
	}
	return from;
}

/* After a refused connection the transfer uses its own next target, to try each target once. */
static int target_select(struct run *r, const struct transfer *t)
{
	int count = r->options->url_count;
	int pick;

	if (t->refused_connects)
		return target_find_available(r, (t->target + 1) % count);
	pick = target_find_available(r, r->next_target);
	r->next_target = (pick + 1) % count;
	return pick;
}

static void transfer_send(struct run *r, struct transfer *t, const char *path)
{
	char url[512];

	if (t->kind != TRANSFER_PROBE)
		t->target = target_select(r, t);
	snprintf(url, sizeof(url), "%s%s", r->targets[t->target].url, path);
	curl_easy_setopt(t->easy, CURLOPT_URL, url);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(t->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS,
			 t->kind == TRANSFER_PROBE ? PROBE_TIMEOUT_MS
						   : (long)r->options->timeout_ms);
	if (t->kind != TRANSFER_PROBE) {
		curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->body.data);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE, (long)t->body.len);
	}
	/*
	 * libcurl resends a request without notice when a reused connection has been closed. That
	 * would send one call twice.
	 */
	if (t->kind == TRANSFER_CALL)
		curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_add_handle(r->multi, t->easy);
	r->in_flight++;
}

static void request_send(struct run *r, struct transfer *t)
{
	char path[128];

	if (t->record.is_call)
		snprintf(path, sizeof(path), "%s/%s",
			 r->options->targets_are_engines ? "/call" : "/v1/services", t->service);
	else
		snprintf(path, sizeof(path), "%s",
			 t->chat ? "/v1/chat/completions" : "/v1/completions");
	transfer_send(r, t, path);
}

static void generation_start(struct run *r, int64_t planned_us)
{
	const struct scenario_phase *phase =
		scenario_phase_at(r->scenario, (double)planned_us / 1e6);
	struct transfer *t;

	if (!phase)
		phase = &r->scenario->phases[0];
	t = transfer_create(r, TRANSFER_GENERATION);
	t->record.number = r->next_number++;
	t->record.start_us = planned_us;
	request_generation_prepare(r, t, phase);
	request_headers_build(r, t);
	r->generations_in_flight++;
	request_send(r, t);
}

static void repeat_start(struct run *r, const struct transfer *first)
{
	struct transfer *t = transfer_create(r, TRANSFER_CALL);

	request_repeat_prepare(t, first);
	t->service = first->service;
	t->record.start_us = run_now_us(r);
	request_headers_build(r, t);
	request_send(r, t);
}

/* Half of the repeats are sent concurrently with the first call, half after its completion. */
static void call_start(struct run *r, int index, int64_t planned_us)
{
	const struct scenario_call *call = &r->scenario->calls[index];
	struct scenario_random *random = &r->call_random[index];
	struct transfer *t = transfer_create(r, TRANSFER_CALL);
	bool repeat = scenario_uniform(random) < call->repeat_probability;
	bool race = scenario_uniform(random) < 0.5;

	t->record.number = r->next_number++;
	t->record.start_us = planned_us;
	t->service = call->service;
	request_call_prepare(r, t, call);
	request_headers_build(r, t);
	t->repeat_on_completion = repeat && !race;
	request_send(r, t);
	if (repeat && race)
		repeat_start(r, t);
}

static void probes_start(struct run *r)
{
	for (int i = 0; i < r->options->url_count; i++) {
		struct transfer *t;

		if (r->targets[i].probe_in_flight)
			continue;
		t = transfer_create(r, TRANSFER_PROBE);
		t->target = i;
		r->targets[i].probe_in_flight = true;
		transfer_send(r, t, "/readyz");
	}
}

static void transfer_complete(struct run *r, struct transfer *t, CURLcode code)
{
	struct target *target = &r->targets[t->target];
	long status = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(r->multi, t->easy);
	r->in_flight--;
	if (t->kind == TRANSFER_PROBE) {
		target->probe_in_flight = false;
		target->down = status != 200;
		goto out;
	}
	if (code == CURLE_COULDNT_CONNECT) {
		r->result->skipped_connects++;
		target->down = !r->options->targets_are_engines;
		if (++t->refused_connects < r->options->url_count) {
			request_send(r, t);
			return;
		}
	}
	request_record_finish(r, t, code);
	if (t->kind == TRANSFER_GENERATION)
		r->generations_in_flight--;
	else if (t->repeat_on_completion)
		repeat_start(r, t);
	if (t->kind == TRANSFER_GENERATION && t->record.outcome != LOAD_WHOLE)
		r->paused_until_us = run_now_us(r) + FAILURE_PAUSE_US;
out:
	transfer_destroy(t);
}

static void completed_transfers_collect(struct run *r)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(r->multi, &left))) {
		struct transfer *t;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&t);
		transfer_complete(r, t, msg->data.result);
	}
}

static void lag_record(struct run *r, int64_t now_us, double planned_s)
{
	int64_t lag = now_us - (int64_t)(planned_s * 1e6);

	if (lag > r->result->max_lag_us)
		r->result->max_lag_us = lag;
}

static void due_requests_start(struct run *r, int64_t now_us)
{
	const struct scenario *s = r->scenario;
	double now_s = (double)now_us / 1e6;

	while (r->generations_in_flight < r->options->concurrency && now_us >= r->paused_until_us)
		generation_start(r, now_us);
	while (!r->options->concurrency && r->next_generation_s >= 0 &&
	       r->next_generation_s <= now_s) {
		lag_record(r, now_us, r->next_generation_s);
		generation_start(r, (int64_t)(r->next_generation_s * 1e6));
		r->next_generation_s = scenario_next_arrival(s, &r->random, r->next_generation_s);
	}
	for (int i = 0; i < s->call_count; i++) {
		while (s->calls[i].rate > 0 && r->next_call_s[i] <= now_s) {
			call_start(r, i, (int64_t)(r->next_call_s[i] * 1e6));
			r->next_call_s[i] +=
				scenario_interarrival_s(&r->call_random[i], s->calls[i].rate);
		}
	}
}

static int64_t next_wakeup_us(const struct run *r, bool arriving)
{
	int64_t next = r->timer_us;

	if (r->next_probe_us < next)
		next = r->next_probe_us;
	if (!arriving)
		return next;
	if (r->generations_in_flight < r->options->concurrency && r->paused_until_us < next)
		next = r->paused_until_us;
	if (!r->options->concurrency && r->next_generation_s >= 0 &&
	    (int64_t)(r->next_generation_s * 1e6) < next)
		next = (int64_t)(r->next_generation_s * 1e6);
	for (int i = 0; i < r->scenario->call_count; i++) {
		if ((int64_t)(r->next_call_s[i] * 1e6) < next)
			next = (int64_t)(r->next_call_s[i] * 1e6);
	}
	return next;
}

static void events_wait(struct run *r, int64_t until_us)
{
	struct epoll_event events[EVENTS_MAX];
	int64_t wait_us = until_us - run_now_us(r);
	struct timespec ts;
	int running;
	int n;

	if (wait_us < 0)
		wait_us = 0;
	if (wait_us > 100000)
		wait_us = 100000;
	ts = (struct timespec){ .tv_sec = 0, .tv_nsec = wait_us * 1000 };
	n = epoll_pwait2(r->epoll, events, EVENTS_MAX, &ts, NULL);
	for (int i = 0; i < n; i++) {
		int mask = (events[i].events & EPOLLIN ? CURL_CSELECT_IN : 0) |
			   (events[i].events & EPOLLOUT ? CURL_CSELECT_OUT : 0) |
			   (events[i].events & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);

		curl_multi_socket_action(r->multi, events[i].data.fd, mask, &running);
	}
	if (run_now_us(r) >= r->timer_us) {
		r->timer_us = NEVER_US;
		curl_multi_socket_action(r->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
	completed_transfers_collect(r);
}

static bool requests_running(const struct run *r)
{
	for (const struct transfer *t = r->active; t; t = t->next) {
		if (t->kind != TRANSFER_PROBE)
			return true;
	}
	return false;
}

static void event_loop_run(struct run *r)
{
	int64_t stop_us = (int64_t)(r->options->duration_s * 1e6);
	int64_t abort_us = stop_us + (int64_t)(r->options->drain_s * 1e6);

	for (;;) {
		int64_t now_us = run_now_us(r);
		bool arriving = now_us < stop_us;

		if (now_us >= abort_us || (!arriving && !requests_running(r)))
			break;
		if (now_us >= r->next_probe_us) {
			probes_start(r);
			r->next_probe_us = now_us + PROBE_INTERVAL_US;
		}
		if (arriving)
			due_requests_start(r, now_us);
		events_wait(r, next_wakeup_us(r, arriving));
	}
}

/* Requests still in flight at the end of the drain time are recorded as cut or lost. */
static void transfers_abort(struct run *r)
{
	struct transfer *next;

	for (struct transfer *t = r->active; t; t = next) {
		next = t->next;
		curl_multi_remove_handle(r->multi, t->easy);
		if (t->kind != TRANSFER_PROBE)
			request_record_finish(r, t, CURLE_OPERATION_TIMEDOUT);
		transfer_destroy(t);
	}
}

static void run_init(struct run *r)
{
	const struct scenario *s = r->scenario;

	r->random.seed = hash_mix(s->seed, 1);
	r->text_seed = hash_str(str_from(r->options->run_id), s->seed);
	r->timer_us = NEVER_US;
	r->next_probe_us = r->options->targets_are_engines ? NEVER_US : 0;
	for (int i = 0; i < r->options->url_count; i++)
		r->targets[i].url = r->options->urls[i];
	r->next_generation_s = scenario_next_arrival(s, &r->random, 0);
	for (int i = 0; i < s->call_count; i++) {
		r->call_random[i].seed = hash_mix(s->seed, 100 + (uint64_t)i);
		r->next_call_s[i] =
			s->calls[i].rate > 0
				? scenario_interarrival_s(&r->call_random[i], s->calls[i].rate)
				: 1e12;
	}
	curl_multi_setopt(r->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(r->multi, CURLMOPT_SOCKETDATA, r);
	curl_multi_setopt(r->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(r->multi, CURLMOPT_TIMERDATA, r);
	curl_multi_setopt(r->multi, CURLMOPT_MAXCONNECTS, 4096L);
}

int load_run(const struct scenario *s, const struct load_options *o, struct load_result *result,
	     struct error *err)
{
	struct run *r = mem_zalloc(sizeof(*r));
	int rc = -1;

	*result = (struct load_result){ 0 };
	r->scenario = s;
	r->options = o;
	r->result = result;
	r->epoll = epoll_create1(EPOLL_CLOEXEC);
	r->multi = curl_multi_init();
	if (r->epoll < 0 || !r->multi) {
		error_set(err, ERROR_TOOL, 1, "cannot set up the event loop: %s", strerror(errno));
		goto out;
	}
	r->start_us = clock_boot_us();
	run_init(r);
	event_loop_run(r);
	transfers_abort(r);
	result->elapsed_s = (double)run_now_us(r) / 1e6;
	request_duplicate_effects_mark(result);
	rc = 0;
out:
	if (r->multi)
		curl_multi_cleanup(r->multi);
	if (r->epoll >= 0)
		close(r->epoll);
	free(r);
	return rc;
}
