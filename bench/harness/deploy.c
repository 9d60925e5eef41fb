#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisgate/common/json.h"
#include "ibisgate/harness/harness.h"

#define ARGS_MAX 60
#define LIST_ATTEMPTS_MAX 20

/** struct args - argument list under construction */
struct args {
	const char *argv[ARGS_MAX + 1];
	int count;
};

static void args_add(struct args *a, const char *arg)
{
	if (a->count < ARGS_MAX)
		a->argv[a->count++] = arg;
}

static void args_add_option(struct args *a, const char *name, const char *value)
{
	args_add(a, name);
	args_add(a, value);
}

static void args_append(struct args *a, const char *const *more)
{
	for (int i = 0; more && more[i]; i++)
		args_add(a, more[i]);
}

static const char *model_of(const struct harness_deployment *d)
{
	return d->model ? d->model : "M";
}

static int proxy_route_post(struct harness_fleet *f, const char *instance, const char *target,
			    const char *address)
{
	char name[128];
	char url[128];
	struct harness_reply reply;
	struct buf body = { 0 };
	json_t *json;
	int port;

	snprintf(name, sizeof(name), "%s-%s", instance, target);
	snprintf(url, sizeof(url), "%s/routes", f->proxy);
	json = json_pack("{s:s, s:s}", "name", name, "target", address);
	json_append(&body, json);
	harness_http_request("POST", url, NULL, body.data, 2000, &reply, NULL);
	port = (int)json_get_i64(reply.json, "port", 0);
	harness_reply_free(&reply);
	buf_free(&body);
	json_decref(json);
	return port;
}

/* Updates the proxy routes of all instances to @target, which now listens on @address. */
static void proxy_routes_update(struct harness_fleet *f, const char *target, const char *address)
{
	if (!f->proxy_process)
		return;
	for (int i = 0; i < f->instance_count; i++) {
		if (strcmp(f->instances[i].id, target) != 0)
			proxy_route_post(f, f->instances[i].id, target, address);
	}
}

static void settings_route_write(FILE *out, struct harness_fleet *f, const char *instance,
				 const char *target, const char *address)
{
	fprintf(out, "%s = 127.0.0.1:%d\n", target, proxy_route_post(f, instance, target, address));
}

static void settings_routes(FILE *out, struct harness_fleet *f, const struct harness_instance *in)
{
	char address[64];

	fprintf(out, "[routes]\n");
	settings_route_write(out, f, in->id, "platform", f->platform + strlen("http://"));
	for (int i = 0; i < f->instance_count; i++) {
		const struct harness_instance *peer = &f->instances[i];

		if (peer == in)
			continue;
		snprintf(address, sizeof(address), "127.0.0.1:%d",
			 peer->peer_port ? peer->peer_port : 1);
		settings_route_write(out, f, in->id, peer->id, address);
	}
	for (int i = 0; i < f->endpoint_count; i++)
		settings_route_write(out, f, in->id, f->endpoints[i].name,
				     f->endpoints[i].url + strlen("http://"));
}

static int settings_write(struct harness_fleet *f, const struct harness_instance *in,
			  const char *path, struct error *err)
{
	const struct harness_deployment *d = f->deployment;
	FILE *out = fopen(path, "we");

	if (!out)
		return error_set(err, ERROR_TOOL, 1, "cannot write %s", path);
	fprintf(out,
		"[instance]\nid = %s\ndata-centre = %s\nregion = %s\n"
		"[http]\nlisten = 127.0.0.1:0\n[admin]\nlisten = 127.0.0.1:0\ntoken = %s\n"
		"[peer]\nlisten = 127.0.0.1:0\n[platform]\nurl = %s\n",
		in->id, in->dc, d->region, HARNESS_TOKEN, f->platform);
	if (d->distance_us)
		fprintf(out, "[distance]\n");
	for (int i = 0; d->distance_us && d->dcs[i]; i++) {
		if (strcmp(d->dcs[i], in->dc) != 0)
			fprintf(out, "%s = %lld\n", d->dcs[i], (long long)d->distance_us);
	}
	if (f->proxy_process)
		settings_routes(out, f, in);
	if (d->settings)
		fprintf(out, "%s\n", d->settings);
	if (fclose(out) != 0)
		return error_set(err, ERROR_TOOL, 1, "cannot write %s", path);
	return 0;
}

static int platform_list_post(struct harness_fleet *f, const char *what, json_t *entry,
			      struct error *err)
{
	char url[128];
	int status = 0;

	snprintf(url, sizeof(url), "%s/list/%s", f->platform, what);
	/* Retries, since a fault may drop the platform's replies. The request is idempotent. */
	for (int i = 0; i < LIST_ATTEMPTS_MAX && status / 100 != 2; i++)
		status = harness_json_post(url, json_incref(entry));
	json_decref(entry);
	if (status / 100 != 2)
		return error_set(err, ERROR_TOOL, status, "POST %s: status %d", url, status);
	return 0;
}

int harness_instance_start(struct harness_fleet *f, int index, struct error *err)
{
	struct harness_instance *in = &f->instances[index];
	const char *argv[3] = { "--settings", NULL, NULL };
	char path[512];
	char peer[64];

	snprintf(path, sizeof(path), "%s/%s.ini", f->harness->dir, in->id);
	argv[1] = path;
	if (settings_write(f, in, path, err) < 0)
		return -1;
	in->process = harness_process_start(f->harness, in->id, "ibisgated", argv, err);
	if (!in->process)
		return -1;
	in->peer_port = harness_process_port(in->process, "peer");
	snprintf(in->http, sizeof(in->http), "http://127.0.0.1:%d",
		 harness_process_port(in->process, "http"));
	snprintf(in->admin, sizeof(in->admin), "http://127.0.0.1:%d",
		 harness_process_port(in->process, "admin"));
	snprintf(peer, sizeof(peer), "127.0.0.1:%d", in->peer_port);
	proxy_routes_update(f, in->id, peer);
	return platform_list_post(f, "instances",
				  json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "id", in->id, "dc",
					    in->dc, "peer", peer, "http",
					    in->http + strlen("http://"), "admin",
					    in->admin + strlen("http://"), "state", "live"),
				  err);
}

static int service_register(struct harness_fleet *f, const struct harness_endpoint *e,
			    struct error *err)
{
	return platform_list_post(f, "endpoints",
				  json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name", e->name,
					    "dc", e->dc, "url", e->url, "kind", "service", "model",
					    e->service, "role", "", "state", "live"),
				  err);
}

int harness_endpoint_start(struct harness_fleet *f, int index, struct error *err)
{
	struct harness_endpoint *e = &f->endpoints[index];
	const struct harness_deployment *d = f->deployment;
	struct args a = { 0 };

	args_add_option(&a, "--port", "0");
	if (!e->service) {
		args_add_option(&a, "--name", e->name);
		args_add_option(&a, "--dc", e->dc);
		args_add_option(&a, "--platform", f->platform);
		args_add_option(&a, "--model", model_of(d));
		args_add_option(&a, "--role", e->role);
		args_add_option(&a, "--check-fencing", e->fencing ? "1" : "0");
	}
	args_append(&a, e->service ? d->service_args : d->engine_args);
	e->process = harness_process_start(f->harness, e->name,
					   e->service ? "ibisgate-service" : "ibisgate-engine",
					   a.argv, err);
	if (!e->process)
		return -1;
	snprintf(e->url, sizeof(e->url), "http://127.0.0.1:%d",
		 harness_process_port(e->process, ""));
	proxy_routes_update(f, e->name, e->url + strlen("http://"));
	/* Engines register themselves, since their role changes at run time. */
	return e->service ? service_register(f, e, err) : 0;
}

static int platform_start(struct harness_fleet *f, struct error *err)
{
	struct args a = { 0 };

	args_add_option(&a, "--port", "0");
	args_append(&a, f->deployment->platform_args);
	f->platform_process =
		harness_process_start(f->harness, "platform", "ibisgate-platform", a.argv, err);
	if (!f->platform_process)
		return -1;
	snprintf(f->platform, sizeof(f->platform), "http://127.0.0.1:%d",
		 harness_process_port(f->platform_process, ""));
	return 0;
}

/* The proxy starts without routes. settings_routes() and proxy_routes_update() add them. */
static int proxy_start(struct harness_fleet *f, struct error *err)
{
	struct args a = { 0 };

	args_add_option(&a, "--control", "0");
	f->proxy_process =
		harness_process_start(f->harness, "faultproxy", "ibisgate-faultproxy", a.argv, err);
	if (!f->proxy_process)
		return -1;
	snprintf(f->proxy, sizeof(f->proxy), "http://127.0.0.1:%d",
		 harness_process_port(f->proxy_process, ""));
	return 0;
}

static int endpoint_add(struct harness_fleet *f, const char *dc, const char *role, bool fencing,
			const char *service, int number, struct error *err)
{
	struct harness_endpoint *e = &f->endpoints[f->endpoint_count];

	if (f->endpoint_count == HARNESS_ENDPOINTS_MAX)
		return error_set(err, ERROR_TOOL, 1, "more than %d endpoints",
				 HARNESS_ENDPOINTS_MAX);
	*e = (struct harness_endpoint){ .role = role, .fencing = fencing, .service = service };
	snprintf(e->name, sizeof(e->name), "%s%d", service ? "w" : "e", number);
	str_copy(e->dc, sizeof(e->dc), str_from(dc));
	return harness_endpoint_start(f, f->endpoint_count++, err);
}

static bool is_limit_reached(int count, int max)
{
	return max > 0 && count >= max;
}

static int endpoints_start_all(struct harness_fleet *f, struct error *err)
{
	const struct harness_deployment *d = f->deployment;
	int engines = 0;
	int workers = 0;

	for (int dc = 0; d->dcs[dc]; dc++) {
		for (int i = 0; d->engines && d->engines[i].role; i++) {
			if (d->engines[i].dc && strcmp(d->engines[i].dc, d->dcs[dc]) != 0)
				continue;
			if (is_limit_reached(engines, d->engines_max))
				break;
			if (endpoint_add(f, d->dcs[dc], d->engines[i].role, d->engines[i].fencing,
					 NULL, ++engines, err) < 0)
				return -1;
		}
		for (int i = 0; d->services && d->services[i]; i++) {
			if (endpoint_add(f, d->dcs[dc], NULL, false, d->services[i], ++workers,
					 err) < 0)
				return -1;
		}
	}
	return 0;
}

static int instances_start_all(struct harness_fleet *f, struct error *err)
{
	const struct harness_deployment *d = f->deployment;

	for (int dc = 0; d->dcs[dc]; dc++) {
		int count = d->instances + (dc ? 0 : d->first_dc_extra_instances);

		for (int i = 0; i < count; i++) {
			struct harness_instance *in = &f->instances[f->instance_count];

			if (is_limit_reached(f->instance_count, d->instances_max))
				break;
			if (f->instance_count == HARNESS_INSTANCES_MAX)
				return error_set(err, ERROR_TOOL, 1, "more than %d instances",
						 HARNESS_INSTANCES_MAX);
			snprintf(in->id, sizeof(in->id), "i%d", ++f->instance_count);
			str_copy(in->dc, sizeof(in->dc), str_from(d->dcs[dc]));
		}
	}
	for (int i = 0; i < f->instance_count; i++) {
		if (harness_instance_start(f, i, err) < 0)
			return -1;
	}
	return 0;
}

struct harness_fleet *harness_fleet_create(struct harness *h, const struct harness_deployment *d,
					   struct error *err)
{
	struct harness_fleet *f = mem_zalloc(sizeof(*f));

	f->harness = h;
	f->deployment = d;
	if (platform_start(f, err) < 0 || (d->through_proxy && proxy_start(f, err) < 0) ||
	    endpoints_start_all(f, err) < 0 || instances_start_all(f, err) < 0) {
		harness_fleet_destroy(f);
		return NULL;
	}
	return f;
}

void harness_fleet_destroy(struct harness_fleet *f)
{
	free(f);
}
