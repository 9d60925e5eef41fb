#ifndef IBISGATE_HARNESS_HARNESS_H
#define IBISGATE_HARNESS_HARNESS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"

/*
 * Test harness that starts stand-ins and instances as child processes. Errors have the layer
 * ERROR_TOOL. The harness is not thread-safe. A child process is killed when the thread that
 * started it ends (PR_SET_PDEATHSIG), so start processes from a thread that lives as long as the
 * test.
 */

#define HARNESS_PROCESSES_MAX 256

/**
 * struct harness_process - a child process
 * @name: unique name; output goes to NAME.out and NAME.log in the harness directory
 * @pid: 0 once the process has been reaped
 * @line: first line of standard output
 * @status: wait status; valid when the process has been started and @pid is 0
 */
struct harness_process {
	char name[64];
	pid_t pid;
	char line[4096];
	int status;
};

/** struct harness - temporary directory and its child processes */
struct harness {
	char dir[256];
	struct harness_process *processes[HARNESS_PROCESSES_MAX];
	int process_count;
};

/**
 * harness_create - create a temporary directory under TMPDIR
 *
 * Programs are run from IBISGATE_BIN_DIR, or from the compiled-in build directory if it is unset.
 */
struct harness *harness_create(struct error *err);

/**
 * harness_destroy - kill and reap the remaining processes and remove the directory
 *
 * If IBISGATE_HARNESS_KEEP is set, the directory is kept and its path is printed.
 */
void harness_destroy(struct harness *h);

/**
 * harness_process_start - start @program and wait for its line "listening ..."
 * @name: an existing name reuses that entry, whose process must have been reaped
 * @argv: NULL-terminated arguments without the program's name
 *
 * Return: the process, owned by @h; NULL on failure, including when the line is not printed within
 * 10 s.
 */
struct harness_process *harness_process_start(struct harness *h, const char *name,
					      const char *program, const char *const argv[],
					      struct error *err);

/**
 * harness_child_exec - run a program in a forked child process, which ends with the parent's thread
 * @out: descriptor for standard output
 * @log: descriptor for standard error
 * @parent: the parent's process id
 *
 * Calls only async-signal-safe functions, since the parent may have several threads. All other
 * descriptors are closed. The child exits with 127 if the program can't be run.
 */
void harness_child_exec(const char *path, char *const argv[], int out, int log, pid_t parent);

/** harness_process_port - PORT of "KEY=PORT" in the first line, or of a bare "PORT" for ""; 0 if
 * absent */
int harness_process_port(const struct harness_process *p, const char *key);

/** harness_process_signal - send @sig to the process; -1 if it has been reaped */
int harness_process_signal(struct harness_process *p, int sig);

/** harness_process_wait - wait for and reap the process; -1 if it is running after @timeout_ms */
int harness_process_wait(struct harness_process *p, int64_t timeout_ms);

/** harness_process_stop - send SIGTERM and wait; exit code, or -1 on a signal or a timeout */
int harness_process_stop(struct harness_process *p, int64_t timeout_ms);

/** harness_cpu_us - CPU time used by a process in microseconds; 0 if it does not exist */
double harness_cpu_us(pid_t pid);

/** harness_rss_kb - resident memory of a process in KiB; 0 if it does not exist */
int64_t harness_rss_kb(pid_t pid);

/**
 * struct harness_reply - response of harness_http_request()
 * @status: HTTP status; 0 without a response
 * @json: parsed body; NULL if it is not JSON
 */
struct harness_reply {
	int status;
	json_t *json;
	struct buf body;
	struct buf headers;
};

/**
 * harness_http_request - send one request on a new connection
 * @headers: NULL-terminated array of "Name: value"; NULL for none
 * @body: NULL for none
 *
 * Return: 0 on a complete response with any status. @out is always initialised and must be released
 * with harness_reply_free().
 */
int harness_http_request(const char *method, const char *url, const char *const headers[],
			 const char *body, int64_t timeout_ms, struct harness_reply *out,
			 struct error *err);
void harness_reply_free(struct harness_reply *r);

/** harness_reply_header - copy the value of a header; false if absent */
bool harness_reply_header(const struct harness_reply *r, const char *name, char *out, size_t size);

/** harness_json_get - GET with a timeout of 2 s; body of a 200 response (new reference) or NULL */
json_t *harness_json_get(const char *url);

/** harness_json_get_timeout - harness_json_get() with a timeout of @timeout_ms */
json_t *harness_json_get_timeout(const char *url, int64_t timeout_ms);

/**
 * harness_json_post - POST @body as JSON with a timeout of 2 s
 * @body: the reference is stolen
 *
 * Return: HTTP status; 0 without a response.
 */
int harness_json_post(const char *url, json_t *body);

#define HARNESS_DCS_MAX 8
#define HARNESS_INSTANCES_MAX 40
#define HARNESS_ENDPOINTS_MAX 200
#define HARNESS_TOKEN "harness-admin-token"

/**
 * struct harness_engine_spec - an engine to start in each data centre
 * @role: mixed, prefill or decode
 * @fencing: the engine rejects orders with an outdated fencing token
 * @dc: start the engine in this data centre only; NULL for all
 */
struct harness_engine_spec {
	const char *role;
	bool fencing;
	const char *dc;
};

/**
 * struct harness_deployment - description of a fleet; its pointers must outlive the fleet
 * @instances: instances per data centre
 * @first_dc_extra_instances: additional instances in the first data centre
 * @instances_max: limit on instances over all data centres; 0 for none
 * @engines_max: limit on engines over all data centres; 0 for none
 * @engines: engines per data centre, terminated by an entry without a role
 * @services: plain services, each with one worker per data centre; NULL-terminated
 * @through_proxy: instances reach platform, peers and endpoints through the fault proxy
 * @model: model of the engines; "M" if NULL
 * @settings: INI text appended to the settings of every instance
 * @engine_args, @service_args, @platform_args: additional arguments; NULL-terminated or NULL
 * @distance_us: one-way latency between data centres, written to the settings; 0 for none
 */
struct harness_deployment {
	const char *region;
	const char *dcs[HARNESS_DCS_MAX + 1];
	int instances;
	int first_dc_extra_instances;
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

/** struct harness_instance - an ibisgated process; URLs have no trailing slash */
struct harness_instance {
	struct harness_process *process;
	char id[48];
	char dc[32];
	char http[64];
	char admin[64];
	int peer_port;
};

/** struct harness_endpoint - an engine or a worker of a plain service */
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
 * Engines are named "e1", "e2", ..., workers "w1", ..., and instances "i1", ..., numbered data
 * centre by data centre. Proxy routes are named "INSTANCE-TARGET", where TARGET is an endpoint
 * name, an instance id or "platform".
 *
 * Return: NULL if a process fails to start. Processes that were started run until @h is destroyed.
 */
struct harness_fleet *harness_fleet_create(struct harness *h, const struct harness_deployment *d,
					   struct error *err);

/** harness_fleet_destroy - free the fleet; its processes run until the harness is destroyed */
void harness_fleet_destroy(struct harness_fleet *f);

/** harness_instance_start - start or restart instance @index and register it under its id */
int harness_instance_start(struct harness_fleet *f, int index, struct error *err);

/**
 * harness_endpoint_start - start or restart endpoint @index, which is listed under its name
 *
 * Engines register themselves and are listed as leaving between SIGTERM and their exit.
 */
int harness_endpoint_start(struct harness_fleet *f, int index, struct error *err);

/** harness_wait_ready - wait until all running instances are ready and list all running endpoints
 */
int harness_wait_ready(struct harness_fleet *f, int64_t timeout_ms, struct error *err);

/** harness_route_fault_set - set the fault mode of a proxy route (POST /faults); 200 on success */
int harness_route_fault_set(struct harness_fleet *f, const char *route, const char *mode,
			    bool existing_only);

/**
 * harness_config_set - set a configuration entry through instance @index (POST /admin/config)
 * @value: the reference is stolen
 *
 * Return: HTTP status.
 */
int harness_config_set(struct harness_fleet *f, int index, const char *key, json_t *value);

/** harness_organisation_create - create an organisation with one API key; HTTP status */
int harness_organisation_create(struct harness_fleet *f, const char *name, const char *api_key,
				double weight);

/** harness_model_service_create - create a service for @model with the target deadlines; HTTP
 * status */
int harness_model_service_create(struct harness_fleet *f, const char *model);

/** harness_plain_service_create - create a plain service; HTTP status */
int harness_plain_service_create(struct harness_fleet *f, const char *name, bool idempotent);

/** harness_config_default_set - set a fleet-wide default; HTTP status */
int harness_config_default_set(struct harness_fleet *f, const char *setting, json_t *value);

/** harness_wait_config_version - wait until all running instances have applied @version or later */
int harness_wait_config_version(struct harness_fleet *f, int64_t version, int64_t timeout_ms);

/** harness_instance_status_get - GET /admin/status of instance @index; new reference or NULL */
json_t *harness_instance_status_get(struct harness_fleet *f, int index);

#endif
