#include <stdio.h>

#include "control.h"
#include "control_sim.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"

const char *const bench_platform_args[] = { "--writes-per-s", "100000", "--reads-per-s", "100000",
					    NULL };

static int platform_put(const struct harness_fleet *f, const char *path, json_t *value,
			struct error *err)
{
	struct harness_reply reply;
	struct buf text = { 0 };
	char url[160];
	int rc;

	json_append(&text, value);
	json_decref(value);
	snprintf(url, sizeof(url), "%s%s", f->platform, path);
	rc = harness_http_request("PUT", url, NULL, text.data, 20000, &reply, err);
	if (rc == 0 && reply.status / 100 != 2)
		rc = error_set(err, ERROR_TOOL, reply.status, "PUT %s: %d", path, reply.status);
	harness_reply_free(&reply);
	buf_free(&text);
	return rc;
}

/* Stores a configuration snapshot and head version as a compacted configuration log has them. */
static int config_preload(const struct harness_fleet *f, int organisations, struct error *err)
{
	json_t *items = json_object();

	for (int i = 0; i < organisations; i++) {
		char hash[HASH_HEX_SIZE];
		char key[64];

		snprintf(key, sizeof(key), "organisation/org-%05d", i);
		hash_secret_hex(str_from(i ? key : BENCH_API_KEY), hash);
		json_object_set_new(items, key,
				    json_pack("{s:f, s:[s]}", "weight", 1.0, "keys", hash));
	}
	if (platform_put(f, "/objects/config%2Fsnapshot",
			 json_pack("{s:i, s:o}", "version", organisations, "items", items), err))
		return -1;
	return platform_put(f, "/table/config%2Fhead", json_pack("{s:i}", "version", organisations),
			    err);
}

static int workers_register(const struct rig *r, int count, struct error *err)
{
	char list[128];

	snprintf(list, sizeof(list), "%s/list/endpoints", r->fleet->platform);
	for (int i = 0; i < count; i++) {
		char name[32];
		char url[64];
		char dc[8];

		sim_worker_name(i, name, sizeof(name));
		snprintf(dc, sizeof(dc), "d%d", i % SIM_DCS);
		snprintf(url, sizeof(url), "http://127.0.0.1:%d", sim_workers_port(r->workers, i));
		if (harness_json_post(list,
				      json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name", name,
						"dc", dc, "url", url, "kind", "engine", "model",
						"M", "role", "mixed", "state", "live")) /
			    100 !=
		    2)
			return error_set(err, ERROR_TOOL, 1,
					 "the platform rejected the list entry of %s", name);
	}
	return 0;
}

void rig_destroy(struct rig *r)
{
	harness_fleet_destroy(r->fleet);
	harness_destroy(r->h);
	sim_peers_destroy(r->peers);
	sim_workers_destroy(r->workers);
	*r = (struct rig){ 0 };
}

int rig_create(struct rig *r, const struct harness_deployment *d, const struct bench_point *p,
	       struct error *err)
{
	struct harness_fleet *f;
	char address[64];
	int64_t start_us;

	*r = (struct rig){ .h = harness_create(err) };
	if (!r->h)
		return -1;
	r->workers = sim_workers_create(p->workers);
	r->fleet = harness_fleet_create(r->h, d, err);
	if (!r->fleet)
		return -1;
	f = r->fleet;
	harness_process_stop(f->instances[0].process, BENCH_READY_TIMEOUT_MS);
	if ((p->organisations && config_preload(f, p->organisations, err) < 0) ||
	    workers_register(r, p->workers, err) < 0)
		return -1;
	start_us = clock_boot_us();
	if (harness_instance_start(f, 0, err) < 0)
		return -1;
	snprintf(address, sizeof(address), "127.0.0.1:%d", f->instances[0].peer_port);
	r->peers = sim_peers_create(p->peers, address, f->instances[0].id, p->delegate, p->workers);
	if (!r->peers)
		return error_set(err, ERROR_TOOL, 1,
				 "cannot create the sockets of the simulated members");
	if (harness_wait_ready(f, BENCH_READY_TIMEOUT_MS, err) < 0)
		return -1;
	r->start_ms = (double)(clock_boot_us() - start_us) / 1e3;
	return 0;
}
