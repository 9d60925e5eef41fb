#ifndef IBISGATE_HARNESS_HARNESS_H
#define IBISGATE_HARNESS_HARNESS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"

/*
 * Test equipment: starts stand-ins and instances as processes. Errors are of layer ERROR_TOOL.
 * Not thread-safe. A process dies with the thread that started it (PR_SET_PDEATHSIG), so start
 * processes from a thread that lives as long as the test.
 */

#define HARNESS_PROCESSES_MAX 256

/**
 * struct harness_process - one started program
 * @name: unique name; output goes to NAME.out and NAME.log in the harness directory
 * @pid: 0 after the process was reaped
 * @line: first line of standard output
 * @status: wait status, valid when @pid is 0 and the process had been started
 */
struct harness_process {
	char name[64];
	pid_t pid;
	char line[4096];
	int status;
};

/** struct harness - temporary directory and the processes started so far */
struct harness {
	char dir[256];
	struct harness_process *processes[HARNESS_PROCESSES_MAX];
	int process_count;
};

/**
 * harness_create - make a temporary directory under TMPDIR
 *
 * Programs are found in IBISGATE_BIN_DIR, or in the build directory compiled in.
 */
struct harness *harness_create(struct error *err);

/**
 * harness_destroy - kill and reap what still runs, and remove the directory
 *
 * With IBISGATE_HARNESS_KEEP set, the directory stays and its path is printed.
 */
void harness_destroy(struct harness *h);

/**
 * harness_start - start @program and wait for its line "listening ..."
 * @name: a name that was used before restarts that entry, which must have ended
 * @argv: NULL-terminated arguments without the program's name
 *
 * Return: the entry, owned by @h; NULL when the line does not come within 10 s.
 */
struct harness_process *harness_start(struct harness *h, const char *name, const char *program,
				      const char *const argv[], struct error *err);

/** harness_port - port "KEY=PORT" of the first line; the plain number for KEY ""; 0 if absent */
int harness_port(const struct harness_process *p, const char *key);

/** harness_signal - send @sig by process id; -1 when the process has been reaped */
int harness_signal(struct harness_process *p, int sig);

/** harness_wait - reap the process; -1 when it still runs after @timeout_ms */
int harness_wait(struct harness_process *p, int64_t timeout_ms);

/** harness_stop - SIGTERM and wait; Return: exit code, -1 on a signal or after @timeout_ms */
int harness_stop(struct harness_process *p, int64_t timeout_ms);

/** harness_cpu_us - processor time of a process so far in microseconds; 0 when it is gone */
double harness_cpu_us(pid_t pid);

/** harness_rss_kb - resident memory of a process in KiB; 0 when it is gone */
int64_t harness_rss_kb(pid_t pid);

/**
 * struct harness_reply - answer of harness_http()
 * @status: HTTP status; 0 without an answer
 * @json: parsed body; NULL when it is not JSON
 */
struct harness_reply {
	int status;
	json_t *json;
	struct buf body;
	struct buf headers;
};

/**
 * harness_http - send one request on a fresh connection
 * @headers: NULL-terminated "Name: value"; NULL for none
 * @body: NULL for none
 *
 * Return: 0 when there was an answer, whatever its status. The reply is always initialised and is
 * released with harness_reply_free().
 */
int harness_http(const char *method, const char *url, const char *const headers[], const char *body,
		 int64_t timeout_ms, struct harness_reply *out, struct error *err);
void harness_reply_free(struct harness_reply *r);

/** harness_reply_header - value of a header; false if absent */
bool harness_reply_header(const struct harness_reply *r, const char *name, char *out, size_t size);

/** harness_get - GET within 2 s; parsed body of a 200 answer (new reference) or NULL */
json_t *harness_get(const char *url);

/** harness_get_within - likewise within @timeout_ms */
json_t *harness_get_within(const char *url, int64_t timeout_ms);

/** harness_post - POST @body as JSON (released) within 2 s; HTTP status, 0 without an answer */
int harness_post(const char *url, json_t *body);

#define HARNESS_DCS_MAX 8
#define HARNESS_INSTANCES_MAX 40
#define HARNESS_ENDPOINTS_MAX 200
#define HARNESS_TOKEN "harness-admin-token"

/**
 * struct harness_engine_spec - one engine of each data centre
 * @role: mixed, prefill or decode
 * @dc: only in this data centre; NULL for every one
 * @fencing: refuses orders with an old fencing number
 */
struct harness_engine_spec {
	const char *role;
	bool fencing;
	const char *dc;
};

/**
 * struct harness_deployment - what to start; all pointers outlive the fleet
 * @instances: per data centre
 * @more_instances: further ones in the first data centre
 * @instances_max: bound over all data centres, likewise @engines_max; 0 for none
 * @engines: per data centre, ended by an entry without role
 * @services: plain services, a worker for each in each data centre; NULL-terminated
 * @through_proxy: instances reach platform, peers and endpoints through the fault proxy
 * @model: "M" when NULL
 * @settings: INI text appended to the settings of every instance
 * @engine_args, @service_args, @platform_args: further arguments; NULL-terminated or NULL
 * @distance_us: one-way latency between data centres in the settings
 */
struct harness_deployment {
	const char *region;
	const char *dcs[HARNESS_DCS_MAX + 1];
	int instances;
	int more_instances;
	int instances_max;
	int engines_max;
	const struct harness_engine_spec *engines;
	const char *const *services;
	bool through_proxy;
	const char *model;
	const char *settings;
	const char *const *engine_args;
	const char *const *service_args;
	const char *const *platform_args;
	int64_t distance_us;
};

/** struct harness_instance - one ibisgated; URLs without a trailing slash */
struct harness_instance {
	struct harness_process *process;
	char id[48];
	char dc[32];
	char http[64];
	char admin[64];
	int peer_port;
};

/** struct harness_endpoint - one engine or plain service worker */
struct harness_endpoint {
	struct harness_process *process;
	char name[48];
	char dc[32];
	char url[64];
	const char *role;
	const char *service;
	bool fencing;
};

/** struct harness_fleet - a running deployment */
struct harness_fleet {
	struct harness *harness;
	const struct harness_deployment *deployment;
	struct harness_process *platform_process;
	struct harness_process *proxy_process;
	char platform[64];
	char proxy[64];
	struct harness_instance instances[HARNESS_INSTANCES_MAX];
	int instance_count;
	struct harness_endpoint endpoints[HARNESS_ENDPOINTS_MAX];
	int endpoint_count;
};

/**
 * harness_fleet_create - start platform, proxy, endpoints and instances, and register them
 *
 * Names: engines "e1", "e2", ..., workers "w1", ..., instances "i1", ..., data centre by data
 * centre. Proxy routes are named "INSTANCE-TARGET" with the target an endpoint name, an instance
 * id or "platform".
 *
 * Return: NULL when a process does not start; what was started ends with @h.
 */
struct harness_fleet *harness_fleet_create(struct harness *h, const struct harness_deployment *d,
					   struct error *err);

/** harness_fleet_destroy - release the fleet; its processes end with the harness */
void harness_fleet_destroy(struct harness_fleet *f);

/** harness_instance_start - start instance @index (again) and register it under its id */
int harness_instance_start(struct harness_fleet *f, int index, struct error *err);

/**
 * harness_endpoint_start - start endpoint @index (again); it is listed under its name
 *
 * Engines list themselves and show as leaving after SIGTERM until they end.
 */
int harness_endpoint_start(struct harness_fleet *f, int index, struct error *err);

/** harness_ready - wait until every running instance is ready and knows all running endpoints */
int harness_ready(struct harness_fleet *f, int64_t timeout_ms, struct error *err);

/** harness_fault - POST /faults of the proxy for one route; 200 on success */
int harness_fault(struct harness_fleet *f, const char *route, const char *mode, bool existing_only);

/** harness_config - POST /admin/config to instance @index; @value is released; HTTP status */
int harness_config(struct harness_fleet *f, int index, const char *key, json_t *value);

/** harness_organisation - create an organisation with one API key; HTTP status */
int harness_organisation(struct harness_fleet *f, const char *name, const char *api_key,
			 double weight);

/** harness_model - create a service for model @model with the target's deadlines; HTTP status */
int harness_model(struct harness_fleet *f, const char *model);

/** harness_service - create a plain service; HTTP status */
int harness_service(struct harness_fleet *f, const char *name, bool idempotent);

/** harness_default - set a default, which applies to the whole fleet; HTTP status */
int harness_default(struct harness_fleet *f, const char *setting, json_t *value);

/** harness_config_wait - wait until every running instance has at least @version in force */
int harness_config_wait(struct harness_fleet *f, int64_t version, int64_t timeout_ms);

/** harness_status - GET /admin/status of instance @index; new reference or NULL */
json_t *harness_status(struct harness_fleet *f, int index);

#endif
