#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "faults.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

/*
 * Late chunks of an engine. The number is low enough that a request reaches an engine without
 * the fault before its retries are used up.
 */
#define LATE_CHUNKS 3

void faults_inject(struct fault_run *r, const char *url, json_t *body)
{
	char path[128];

	snprintf(path, sizeof(path), "%s/faults", url);
	if (harness_json_post(path, body) != 200 && r->verbose)
		printf("%s rejected a fault request\n", path);
}

static void route_set(struct fault_run *r, const char *from, const char *to, const char *mode,
		      bool existing)
{
	char route[128];

	snprintf(route, sizeof(route), "%s-%s", from, to);
	faults_inject(r, r->fleet->proxy,
		      json_pack("{s:s, s:s, s:b}", "route", route, "mode", mode, "existing_only",
				(int)existing));
}

static struct harness_endpoint *endpoint_at(struct fault_run *r, bool service, int n)
{
	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		struct harness_endpoint *e = &r->fleet->endpoints[i];

		if (!e->service == !service && n-- == 0)
			return e;
	}
	return &r->fleet->endpoints[0];
}

static const char *dc_name(const struct fault_run *r, int dc)
{
	return r->fleet->deployment->dcs[dc % 4];
}

static bool is_in_dc(const struct fault_run *r, int instance, int dc)
{
	return strcmp(r->fleet->instances[instance].dc, dc_name(r, dc)) == 0;
}

static void window_mark(struct fault_run *r, const struct fault *f, int instance, bool on)
{
	int64_t now = clock_wall_ms();

	pthread_mutex_lock(&r->lock);
	if (on && r->window_count < 4 * FAULTS_MAX)
		r->windows[r->window_count++] = (struct fault_window){ .instance = instance,
								       .kind = f->kind,
								       .from_ms = now };
	for (int i = 0; !on && i < r->window_count; i++) {
		struct fault_window *w = &r->windows[i];

		if (w->instance == instance && w->kind == f->kind && !w->to_ms) {
			w->to_ms = now;
			break;
		}
	}
	pthread_mutex_unlock(&r->lock);
}

static void dc_peer_links_set(struct fault_run *r, int dc, const char *mode)
{
	const struct harness_instance *in = r->fleet->instances;

	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		for (int j = 0; j < FAULTS_INSTANCES; j++) {
			if (i != j && is_in_dc(r, i, dc) != is_in_dc(r, j, dc))
				route_set(r, in[i].id, in[j].id, mode, false);
		}
	}
}

static void dc_platform_links_set(struct fault_run *r, int dc, const char *mode)
{
	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		if (is_in_dc(r, i, dc))
			route_set(r, r->fleet->instances[i].id, "platform", mode, false);
	}
}

static void dc_services_set(struct fault_run *r, int dc, const char *setting, double value)
{
	for (int i = 0; i < r->fleet->endpoint_count; i++) {
		const struct harness_endpoint *e = &r->fleet->endpoints[i];

		if (e->service && strcmp(e->dc, dc_name(r, dc)) == 0)
			faults_inject(r, e->url, json_pack("{s:f}", setting, value));
	}
}

void faults_crash_marker_set(struct fault_run *r, int endpoint)
{
	const struct harness_endpoint *e = &r->fleet->endpoints[endpoint];

	if (!e->service)
		faults_inject(r, e->url, json_pack("{s:s}", "crash_marker", FAULTS_POISON));
}

static void platform_apply(struct fault_run *r, const struct fault *f, bool on)
{
	switch (f->kind) {
	case FAULT_PLATFORM_DOWN:
		/*
		 * The links are cut rather than the platform stopped, since the harness has to
		 * list there what it starts in the meantime.
		 */
		for (int i = 0; i < FAULTS_INSTANCES; i++)
			route_set(r, r->fleet->instances[i].id, "platform", on ? "cut" : "pass",
				  false);
		break;
	case FAULT_PLATFORM_SLOW:
		faults_inject(r, r->fleet->platform, json_pack("{s:i}", "delay_ms", on ? 700 : 0));
		break;
	default:
		faults_inject(r, r->fleet->platform,
			      json_pack("{s:f}", "drop_reply", on ? 0.4 : 0.0));
		break;
	}
}

/* Delays all links of an instance, or drops the replies of one service endpoint to it. */
static void many_links_apply(struct fault_run *r, const struct fault *f, bool on)
{
	const char *id = r->fleet->instances[f->target].id;
	char route[128];

	if (f->kind == FAULT_LOST_REPLIES) {
		route_set(r, id, endpoint_at(r, true, f->other)->name, on ? "drop_replies" : "pass",
			  false);
		return;
	}
	for (int i = 0; i < r->fleet->endpoint_count + FAULTS_INSTANCES; i++) {
		const char *to = i < FAULTS_INSTANCES
					 ? r->fleet->instances[i].id
					 : r->fleet->endpoints[i - FAULTS_INSTANCES].name;

		snprintf(route, sizeof(route), "%s-%s", id, i == f->target ? "platform" : to);
		faults_inject(r, r->fleet->proxy,
			      json_pack("{s:s, s:i}", "route", route, "delay_ms", on ? 150 : 0));
	}
}

static void link_apply(struct fault_run *r, const struct fault *f, bool on)
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
	const char *engine =
		endpoint_at(r, false, (f->target * 3 + f->other) % FAULTS_ENGINES)->name;

	switch (f->kind) {
	case FAULT_CUT_PEERS:
		route_set(r, in[f->other].id, in[f->target].id, mode, false);
		route_set(r, in[f->target].id, in[f->other].id, mode, false);
		break;
	case FAULT_CUT_PEERS_ONE_WAY:
		route_set(r, in[f->target].id, in[f->other].id, mode, false);
		break;
	case FAULT_CUT_ENDPOINT:
		route_set(r, in[f->target].id, engine, mode, false);
		break;
	case FAULT_SILENT_PLATFORM:
		route_set(r, in[f->target].id, "platform", mode, on);
		break;
	default:
		route_set(r, in[f->target].id, engine, mode, on);
		break;
	}
}

static void endpoint_apply(struct fault_run *r, const struct fault *f, bool on)
{
	struct harness_endpoint *e = endpoint_at(r, false, f->target);

	switch (f->kind) {
	case FAULT_ENGINE_CRASH:
		if (on)
			harness_process_signal(e->process, SIGKILL);
		break;
	case FAULT_CRASH_IN_CHANGE:
		if (e->process->pid)
			faults_inject(r, e->url, json_pack("{s:b}", "crash_in_change", (int)on));
		break;
	case FAULT_LATE_CHUNKS:
		if (e->process->pid)
			faults_inject(r, e->url,
				      json_pack("{s:i}", "late_chunks", on ? LATE_CHUNKS : 0));
		break;
	case FAULT_DRAIN:
		faults_thread_start(r, on ? faults_drain_thread : faults_undrain_thread, f->target,
				    f->other);
		break;
	default:
		break;
	}
}

static void windows_apply(struct fault_run *r, const struct fault *f, bool on)
{
	switch (f->kind) {
	case FAULT_CUT_DC_PEERS:
	case FAULT_CUT_DC_PLATFORM:
	case FAULT_CUT_DC_BOTH:
		for (int i = 0; i < FAULTS_INSTANCES; i++) {
			if (is_in_dc(r, i, f->target))
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
		window_mark(r, f, f->other, on);
		window_mark(r, f, f->target, on);
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
		window_mark(r, f, f->target, on);
		break;
	default:
		break;
	}
}

int faults_apply(struct fault_run *r, const struct fault *f, bool on, struct error *err)
{
	int rc = 0;

	if (on)
		windows_apply(r, f, true);
	switch (f->kind) {
	case FAULT_KILL:
	case FAULT_FREEZE:
	case FAULT_RESTART:
		rc = faults_instance_apply(r, f, on, err);
		break;
	case FAULT_POISON:
		if (on)
			faults_thread_start(r, faults_poison_thread, f->target, f->other);
		break;
	case FAULT_RACE:
		if (on)
			faults_thread_start(r, faults_race_thread, f->target, f->other);
		break;
	case FAULT_CUT_DC_PEERS:
		dc_peer_links_set(r, f->target, on ? "cut" : "pass");
		break;
	case FAULT_CUT_DC_PLATFORM:
		dc_platform_links_set(r, f->target, on ? "cut" : "pass");
		break;
	case FAULT_CUT_DC_BOTH:
		dc_peer_links_set(r, f->target, on ? "cut" : "pass");
		dc_platform_links_set(r, f->target, on ? "cut" : "pass");
		break;
	case FAULT_PLATFORM_DOWN:
	case FAULT_PLATFORM_SLOW:
	case FAULT_PLATFORM_DROP:
		platform_apply(r, f, on);
		break;
	case FAULT_SERVICE_SLOW:
		dc_services_set(r, f->target, "delay_ms", on ? 1500 : 0);
		break;
	case FAULT_SERVICE_REFUSE:
		dc_services_set(r, f->target, "refuse", on ? 0.5 : 0);
		break;
	case FAULT_SERVICE_DROP:
		dc_services_set(r, f->target, "drop_reply", on ? 0.5 : 0);
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
