#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "faults.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

#define STOP_TIMEOUT_MS 90000

int faults_client_route_create(struct fault_run *r, int instance)
{
	const struct harness_instance *in = &r->fleet->instances[instance];
	struct harness_reply reply;
	char url[128];
	char body[256];
	int port;

	snprintf(url, sizeof(url), "%s/routes", r->fleet->proxy);
	snprintf(body, sizeof(body), "{\"name\":\"caller-%s\",\"target\":\"%s\"}", in->id,
		 in->http + strlen("http://"));
	harness_http_request("POST", url, NULL, body, 2000, &reply, NULL);
	port = (int)json_get_i64(reply.json, "port", 0);
	harness_reply_free(&reply);
	return port;
}

/*
 * Acts as the platform, which lists an instance as leaving when it stops it and removes it after
 * it has ended.
 */
static void platform_list_update(struct fault_run *r, int instance, bool removed)
{
	const struct harness_instance *in = &r->fleet->instances[instance];
	struct harness_reply reply;
	char url[160];
	char peer[64];

	if (removed) {
		snprintf(url, sizeof(url), "%s/list/instances/%s", r->fleet->platform, in->id);
		harness_http_request("DELETE", url, NULL, NULL, 2000, &reply, NULL);
		harness_reply_free(&reply);
		return;
	}
	snprintf(url, sizeof(url), "%s/list/instances", r->fleet->platform);
	snprintf(peer, sizeof(peer), "127.0.0.1:%d", in->peer_port);
	harness_json_post(url,
			  json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "id", in->id, "dc", in->dc,
				    "peer", peer, "http", in->http + strlen("http://"), "admin",
				    in->admin + strlen("http://"), "state", "leaving"));
}

static void instance_mark_down(struct fault_run *r, int instance)
{
	pthread_mutex_lock(&r->lock);
	r->is_up[instance] = false;
	pthread_mutex_unlock(&r->lock);
}

static int instance_start(struct fault_run *r, int instance, struct error *err)
{
	if (harness_instance_start(r->fleet, instance, err) < 0)
		return -1;
	faults_client_route_create(r, instance);
	pthread_mutex_lock(&r->lock);
	r->is_up[instance] = true;
	pthread_mutex_unlock(&r->lock);
	return 0;
}

static void instance_kill(struct fault_run *r, int instance)
{
	instance_mark_down(r, instance);
	harness_process_signal(r->fleet->instances[instance].process, SIGKILL);
	harness_process_wait(r->fleet->instances[instance].process, 2000);
	platform_list_update(r, instance, true);
}

static void instance_terminate(struct fault_run *r, int target)
{
	struct graceful_stop *g = &r->graceful_stops[r->graceful_stop_count++];

	*g = (struct graceful_stop){ .instance = target, .from_ms = clock_wall_ms() };
	platform_list_update(r, target, false);
	harness_process_signal(r->fleet->instances[target].process, SIGTERM);
}

int faults_instance_apply(struct fault_run *r, const struct fault *f, bool on, struct error *err)
{
	struct harness_process *p = r->fleet->instances[f->target].process;

	switch (f->kind) {
	case FAULT_KILL:
		if (on)
			instance_kill(r, f->target);
		else
			return instance_start(r, f->target, err);
		break;
	case FAULT_FREEZE:
		if (on)
			instance_mark_down(r, f->target);
		harness_process_signal(p, on ? SIGSTOP : SIGCONT);
		pthread_mutex_lock(&r->lock);
		r->is_up[f->target] = !on;
		pthread_mutex_unlock(&r->lock);
		break;
	default:
		if (on)
			instance_terminate(r, f->target);
		break;
	}
	return 0;
}

int faults_graceful_stops_poll(struct fault_run *r, struct error *err)
{
	for (int i = 0; i < r->graceful_stop_count; i++) {
		struct graceful_stop *g = &r->graceful_stops[i];
		struct harness_process *p = r->fleet->instances[g->instance].process;

		if (g->exit_ms || harness_process_wait(p, 0) < 0)
			continue;
		instance_mark_down(r, g->instance);
		g->exit_ms = clock_wall_ms();
		g->exit_code = WIFEXITED(p->status) ? WEXITSTATUS(p->status) : -1;
		platform_list_update(r, g->instance, true);
		if (instance_start(r, g->instance, err) < 0)
			return -1;
		g->restarted_ms = clock_wall_ms();
	}
	return 0;
}

int faults_instances_stop(struct fault_run *r)
{
	int failed = 0;

	for (int i = 0; i < FAULTS_INSTANCES; i++)
		harness_process_signal(r->fleet->instances[i].process, SIGTERM);
	for (int i = 0; i < FAULTS_INSTANCES; i++) {
		struct harness_process *p = r->fleet->instances[i].process;

		if (!p->pid)
			continue;
		if (harness_process_wait(p, STOP_TIMEOUT_MS) < 0 || !WIFEXITED(p->status) ||
		    WEXITSTATUS(p->status) != 0)
			failed++;
	}
	return failed;
}
