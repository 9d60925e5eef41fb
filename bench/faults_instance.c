#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "faults.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

#define STOP_TIMEOUT_MS 90000

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

int faults_instance_apply(struct faults *r, const struct fault *f, bool on, struct error *err)
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

int faults_graceful_tick(struct faults *r, struct error *err)
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
