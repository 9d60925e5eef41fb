#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "faults.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

#define TICK_MS 10
#define ENGINE_BACK_MS 1000
#define STOP_TIMEOUT_MS 90000
#define READY_MS 20000
/* Few enough that a request meets an engine without the fault before its retries are spent. */
#define LATE_CHUNKS 3

void faults_set(struct faults *r, const char *url, json_t *body)
{
	char path[128];

	snprintf(path, sizeof(path), "%s/faults", url);
	if (harness_post(path, body) != 200 && r->verbose)
		printf("%s did not take a fault\n", path);
}

static void route_set(struct faults *r, const char *from, const char *to, const char *mode,
		      bool existing)
{
	char route[128];

	snprintf(route, sizeof(route), "%s-%s", from, to);
	faults_set(r, r->fleet->proxy,
		   json_pack("{s:s, s:s, s:b}", "route", route, "mode", mode, "existing_only",
			     (int)existing));
}

static struct harness_endpoint *endpoint_at(struct faults *r, bool service, int n)
{
	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		struct harness_endpoint *e = &r->fleet->endpoints[i];

		if (!e->service == !service && n-- == 0)
			return e;
	}
	return &r->fleet->endpoints[0];
}

static const char *dc_of(const struct faults *r, int a)
{
	return r->fleet->deployment->dcs[a % 4];
}

static bool in_dc(const struct faults *r, int instance, int dc)
{
	return strcmp(r->fleet->instances[instance].dc, dc_of(r, dc)) == 0;
}

static void window_mark(struct faults *r, const struct fault *f, int instance, bool on)
{
	int64_t now = clock_wall_ms();

	pthread_mutex_lock(&r->lock);
	if (on && r->window_count < 4 * FAULTS_MAX)
		r->windows[r->window_count++] =
			(struct window){ .instance = instance, .kind = f->kind, .from_ms = now };
	for (int i = 0; !on && i < r->window_count; i++) {
		struct window *w = &r->windows[i];

		if (w->instance == instance && w->kind == f->kind && !w->to_ms) {
			w->to_ms = now;
			break;
		}
	}
	pthread_mutex_unlock(&r->lock);
}

static void dc_peers(struct faults *r, int dc, const char *mode)
{
	const struct harness_instance *in = r->fleet->instances;

	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		for (int j = 0; j < FAULTS_INSTANCES; j++) {
			if (i != j && in_dc(r, i, dc) != in_dc(r, j, dc))
				route_set(r, in[i].id, in[j].id, mode, false);
		}
	}
}

static void dc_platform(struct faults *r, int dc, const char *mode)
{
	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		if (in_dc(r, i, dc))
			route_set(r, r->fleet->instances[i].id, "platform", mode, false);
	}
}

static void dc_services(struct faults *r, int dc, const char *what, double value)
{
	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		const struct harness_endpoint *e = &r->fleet->endpoints[i];

		if (e->service && strcmp(e->dc, dc_of(r, dc)) == 0)
			faults_set(r, e->url, json_pack("{s:f}", what, value));
	}
}

int faults_caller_route(struct faults *r, int instance)
{
	const struct harness_instance *in = &r->fleet->instances[instance];
	struct harness_reply reply;
	char url[128];
	char body[256];
	int port;

	snprintf(url, sizeof(url), "%s/routes", r->fleet->proxy);
	snprintf(body, sizeof(body), "{\"name\":\"caller-%s\",\"target\":\"%s\"}", in->id,
		 in->http + strlen("http://"));
	harness_http("POST", url, NULL, body, 2000, &reply, NULL);
	port = (int)json_get_i64(reply.json, "port", 0);
	harness_reply_free(&reply);
	return port;
}

void faults_arm(struct faults *r, int endpoint)
{
	const struct harness_endpoint *e = &r->fleet->endpoints[endpoint];

	if (!e->service)
		faults_set(r, e->url, json_pack("{s:s}", "crash_marker", FAULTS_POISON));
}

/* What the platform does: it lists what it stops as leaving and forgets what is gone. */
static void list_change(struct faults *r, int instance, bool gone)
{
	const struct harness_instance *in = &r->fleet->instances[instance];
	struct harness_reply reply;
	char url[160];
	char peer[64];

	if (gone) {
		snprintf(url, sizeof(url), "%s/list/instances/%s", r->fleet->platform, in->id);
		harness_http("DELETE", url, NULL, NULL, 2000, &reply, NULL);
		harness_reply_free(&reply);
		return;
	}
	snprintf(url, sizeof(url), "%s/list/instances", r->fleet->platform);
	snprintf(peer, sizeof(peer), "127.0.0.1:%d", in->peer_port);
	harness_post(url, json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "id", in->id, "dc", in->dc,
				    "peer", peer, "http", in->http + strlen("http://"), "admin",
				    in->admin + strlen("http://"), "state", "leaving"));
}

static void instance_down(struct faults *r, int a)
{
	pthread_mutex_lock(&r->lock);
	r->up[a] = false;
	pthread_mutex_unlock(&r->lock);
}

static int instance_start(struct faults *r, int a, struct error *err)
{
	if (harness_instance_start(r->fleet, a, err) < 0)
		return -1;
	faults_caller_route(r, a);
	pthread_mutex_lock(&r->lock);
	r->up[a] = true;
	pthread_mutex_unlock(&r->lock);
	return 0;
}

static void instance_kill(struct faults *r, int a)
{
	instance_down(r, a);
	harness_signal(r->fleet->instances[a].process, SIGKILL);
	harness_wait(r->fleet->instances[a].process, 2000);
	list_change(r, a, true);
}

static void instance_terminate(struct faults *r, int a)
{
	struct graceful *g = &r->graceful[r->graceful_count++];

	*g = (struct graceful){ .instance = a, .from_ms = clock_wall_ms() };
	list_change(r, a, false);
	harness_signal(r->fleet->instances[a].process, SIGTERM);
}

static int instance_apply(struct faults *r, const struct fault *f, bool on, struct error *err)
{
	struct harness_process *p = r->fleet->instances[f->a].process;

	switch (f->kind) {
	case FAULT_KILL:
		if (on)
			instance_kill(r, f->a);
		else
			return instance_start(r, f->a, err);
		break;
	case FAULT_FREEZE:
		if (on)
			instance_down(r, f->a);
		harness_signal(p, on ? SIGSTOP : SIGCONT);
		pthread_mutex_lock(&r->lock);
		r->up[f->a] = !on;
		pthread_mutex_unlock(&r->lock);
		break;
	default:
		if (on)
			instance_terminate(r, f->a);
		break;
	}
	return 0;
}

static void platform_apply(struct faults *r, const struct fault *f, bool on)
{
	switch (f->kind) {
	case FAULT_PLATFORM_DOWN:
		/* At the links, since the harness itself lists what it starts meanwhile. */
		for (int i = 0; i < FAULTS_INSTANCES; i++)
			route_set(r, r->fleet->instances[i].id, "platform", on ? "cut" : "pass",
				  false);
		break;
	case FAULT_PLATFORM_SLOW:
		faults_set(r, r->fleet->platform, json_pack("{s:i}", "delay_ms", on ? 700 : 0));
		break;
	default:
		faults_set(r, r->fleet->platform, json_pack("{s:f}", "drop_reply", on ? 0.4 : 0.0));
		break;
	}
}

/* All links of an instance get slow, or answers of one plain worker to it are lost. */
static void many_links_apply(struct faults *r, const struct fault *f, bool on)
{
	const char *id = r->fleet->instances[f->a].id;
	char route[128];

	if (f->kind == FAULT_LOST_REPLIES) {
		route_set(r, id, endpoint_at(r, true, f->b)->name, on ? "drop_replies" : "pass",
			  false);
		return;
	}
	for (int i = 0; i < r->fleet->endpoint_count + FAULTS_INSTANCES; i++) {
		const char *to = i < FAULTS_INSTANCES
					 ? r->fleet->instances[i].id
					 : r->fleet->endpoints[i - FAULTS_INSTANCES].name;

		snprintf(route, sizeof(route), "%s-%s", id, i == f->a ? "platform" : to);
		faults_set(r, r->fleet->proxy,
			   json_pack("{s:s, s:i}", "route", route, "delay_ms", on ? 150 : 0));
	}
}

static void link_apply(struct faults *r, const struct fault *f, bool on)
{
	static const char *const modes[FAULT_KINDS] = {
		[FAULT_CUT_PEERS] = "cut",
		[FAULT_CUT_PEERS_ONE_WAY] = "cut",
		[FAULT_CUT_ENDPOINT] = "cut",
		[FAULT_SILENT] = "silent",
		[FAULT_SILENT_TO_CLIENT] = "silent_to_client",
		[FAULT_SILENT_TO_TARGET] = "silent_to_target",
		[FAULT_SILENT_PLATFORM] = "silent",
	};
	const char *mode = on ? modes[f->kind] : "pass";
	const struct harness_instance *in = r->fleet->instances;
	const char *engine = endpoint_at(r, false, (f->a * 3 + f->b) % FAULTS_ENGINES)->name;

	switch (f->kind) {
	case FAULT_CUT_PEERS:
		route_set(r, in[f->b].id, in[f->a].id, mode, false);
		route_set(r, in[f->a].id, in[f->b].id, mode, false);
		break;
	case FAULT_CUT_PEERS_ONE_WAY:
		route_set(r, in[f->a].id, in[f->b].id, mode, false);
		break;
	case FAULT_CUT_ENDPOINT:
		route_set(r, in[f->a].id, engine, mode, false);
		break;
	case FAULT_SILENT_PLATFORM:
		route_set(r, in[f->a].id, "platform", mode, on);
		break;
	default:
		route_set(r, in[f->a].id, engine, mode, on);
		break;
	}
}

static void endpoint_apply(struct faults *r, const struct fault *f, bool on)
{
	struct harness_endpoint *e = endpoint_at(r, false, f->a);

	switch (f->kind) {
	case FAULT_ENGINE_CRASH:
		if (on)
			harness_signal(e->process, SIGKILL);
		break;
	case FAULT_CRASH_IN_CHANGE:
		if (e->process->pid)
			faults_set(r, e->url, json_pack("{s:b}", "crash_in_change", (int)on));
		break;
	case FAULT_LATE_CHUNKS:
		if (e->process->pid)
			faults_set(r, e->url,
				   json_pack("{s:i}", "late_chunks", on ? LATE_CHUNKS : 0));
		break;
	case FAULT_DRAIN:
		faults_thread(r, on ? faults_drain : faults_undrain, f->a, f->b);
		break;
	default:
		break;
	}
}

static void windows_apply(struct faults *r, const struct fault *f, bool on)
{
	switch (f->kind) {
	case FAULT_CUT_DC_PEERS:
	case FAULT_CUT_DC_PLATFORM:
	case FAULT_CUT_DC_BOTH:
		for (int i = 0; i < FAULTS_INSTANCES; i++) {
			if (in_dc(r, i, f->a))
				window_mark(r, f, i, on);
		}
		break;
	case FAULT_PLATFORM_DOWN:
	case FAULT_PLATFORM_SLOW:
	case FAULT_PLATFORM_DROP:
		window_mark(r, f, -1, on);
		break;
	case FAULT_CUT_PEERS:
	case FAULT_CUT_PEERS_ONE_WAY:
		window_mark(r, f, f->b, on);
		window_mark(r, f, f->a, on);
		break;
	case FAULT_KILL:
	case FAULT_FREEZE:
	case FAULT_CUT_ENDPOINT:
	case FAULT_SILENT:
	case FAULT_SILENT_TO_CLIENT:
	case FAULT_SILENT_TO_TARGET:
	case FAULT_SILENT_PLATFORM:
	case FAULT_SLOW_LINKS:
	case FAULT_LOST_REPLIES:
		window_mark(r, f, f->a, on);
		break;
	default:
		break;
	}
}

static int fault_apply(struct faults *r, const struct fault *f, bool on, struct error *err)
{
	int rc = 0;

	if (on)
		windows_apply(r, f, true);
	switch (f->kind) {
	case FAULT_KILL:
	case FAULT_FREEZE:
	case FAULT_RESTART:
		rc = instance_apply(r, f, on, err);
		break;
	case FAULT_POISON:
		if (on)
			faults_thread(r, faults_poison, f->a, f->b);
		break;
	case FAULT_RACE:
		if (on)
			faults_thread(r, faults_race, f->a, f->b);
		break;
	case FAULT_CUT_DC_PEERS:
		dc_peers(r, f->a, on ? "cut" : "pass");
		break;
	case FAULT_CUT_DC_PLATFORM:
		dc_platform(r, f->a, on ? "cut" : "pass");
		break;
	case FAULT_CUT_DC_BOTH:
		dc_peers(r, f->a, on ? "cut" : "pass");
		dc_platform(r, f->a, on ? "cut" : "pass");
		break;
	case FAULT_PLATFORM_DOWN:
	case FAULT_PLATFORM_SLOW:
	case FAULT_PLATFORM_DROP:
		platform_apply(r, f, on);
		break;
	case FAULT_SERVICE_SLOW:
		dc_services(r, f->a, "delay_ms", on ? 1500 : 0);
		break;
	case FAULT_SERVICE_REFUSE:
		dc_services(r, f->a, "refuse", on ? 0.5 : 0);
		break;
	case FAULT_SERVICE_DROP:
		dc_services(r, f->a, "drop_reply", on ? 0.5 : 0);
		break;
	case FAULT_ENGINE_CRASH:
	case FAULT_CRASH_IN_CHANGE:
	case FAULT_DRAIN:
	case FAULT_LATE_CHUNKS:
		endpoint_apply(r, f, on);
		break;
	case FAULT_SLOW_LINKS:
	case FAULT_LOST_REPLIES:
		many_links_apply(r, f, on);
		break;
	default:
		link_apply(r, f, on);
		break;
	}
	if (!on)
		windows_apply(r, f, false);
	return rc;
}

/* Engines that ended start again, as the platform would start them. */
static int endpoints_tick(struct faults *r, int64_t now, struct error *err)
{
	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		struct harness_endpoint *e = &r->fleet->endpoints[i];

		if (e->process->pid && harness_wait(e->process, 0) == 0)
			r->restart_ms[i] = now + ENGINE_BACK_MS;
		if (e->process->pid || now < r->restart_ms[i])
			continue;
		pthread_mutex_lock(&r->lock);
		if (harness_endpoint_start(r->fleet, i, err) < 0) {
			pthread_mutex_unlock(&r->lock);
			return -1;
		}
		pthread_mutex_unlock(&r->lock);
		faults_arm(r, i);
	}
	return 0;
}

static int graceful_tick(struct faults *r, struct error *err)
{
	for (int i = 0; i < r->graceful_count; i++) {
		struct graceful *g = &r->graceful[i];
		struct harness_process *p = r->fleet->instances[g->instance].process;

		if (g->exit_ms || harness_wait(p, 0) < 0)
			continue;
		instance_down(r, g->instance);
		g->exit_ms = clock_wall_ms();
		g->code = WIFEXITED(p->status) ? WEXITSTATUS(p->status) : -1;
		list_change(r, g->instance, true);
		if (instance_start(r, g->instance, err) < 0)
			return -1;
		g->back_ms = clock_wall_ms();
	}
	return 0;
}

static int faults_tick(struct faults *r, int64_t now, struct error *err)
{
	for (int i = 0; i < r->fault_count; i++) {
		struct fault *f = &r->faults[i];

		if (!f->begun && now >= f->at_ms) {
			f->begun = true;
			if (fault_apply(r, f, true, err) < 0)
				return -1;
		}
		if (f->begun && !f->ended && now >= f->end_ms) {
			f->ended = true;
			if (fault_apply(r, f, false, err) < 0)
				return -1;
		}
	}
	return 0;
}

static void heal(struct faults *r)
{
	faults_set(r, r->fleet->proxy,
		   json_pack("{s:s, s:s, s:i}", "route", "*", "mode", "pass", "delay_ms", 0));
	faults_set(r, r->fleet->platform,
		   json_pack("{s:b, s:i, s:f}", "down", 0, "delay_ms", 0, "drop_reply", 0.0));
	r->heal_ms = clock_wall_ms();
}

static int tick(struct faults *r, struct error *err)
{
	int64_t now = clock_wall_ms() - r->start_ms;

	if (faults_tick(r, now, err) < 0 || endpoints_tick(r, now, err) < 0 ||
	    graceful_tick(r, err) < 0)
		return -1;
	clock_sleep_ms(TICK_MS);
	return 0;
}

int faults_play(struct faults *r, struct error *err)
{
	int64_t end = r->length_ms + FAULTS_TAIL_MS;

	r->start_ms = clock_wall_ms();
	while (clock_wall_ms() - r->start_ms < end) {
		if (tick(r, err) < 0)
			return -1;
		if (!r->heal_ms && clock_wall_ms() - r->start_ms >= r->length_ms)
			heal(r);
	}
	pthread_join(r->load_thread, NULL);
	for (int i = 0; i < r->thread_count; i++)
		pthread_join(r->threads[i], NULL);
	for (int i = 0; i < 200; i++) {
		if (tick(r, err) < 0)
			return -1;
	}
	return harness_ready(r->fleet, READY_MS, err);
}

int faults_stop_all(struct faults *r)
{
	int failed = 0;

	for (int i = 0; i < FAULTS_INSTANCES; i++)
		harness_signal(r->fleet->instances[i].process, SIGTERM);
	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		struct harness_process *p = r->fleet->instances[i].process;

		if (!p->pid)
			continue;
		if (harness_wait(p, STOP_TIMEOUT_MS) < 0 || !WIFEXITED(p->status) ||
		    WEXITSTATUS(p->status) != 0)
			failed++;
	}
	return failed;
}
