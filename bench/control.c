#include <argtable2.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "control.h"
#include "control_sim.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"
#include "ibisgate/common/json.h"
#include "ibisgate/load/report.h"

/*
 * What control costs one instance, against the number of members, endpoints, organisations and
 * streams. Members and endpoints are simulated in this process; the instance and the platform
 * stand-in are processes of their own.
 */

#define READY_MS 30000
#define SETTLE_MS 8000
#define API_KEY "bench-control-key"
#define CHANGES 100
#define CALLS 50
#define TARGET_ORGANISATIONS 21000

/** struct point - load of one measurement */
struct point {
	int peers;
	bool delegate;
	int workers;
	int organisations;
	int streams;
};

/** struct sample - counters of the instance and its surroundings at one time */
struct sample {
	int64_t at_us;
	double control_us;
	double process_us;
	double peer_bytes;
	double peer_messages;
	double reads;
	double writes;
	double poll_bytes;
	double list_bytes;
};

/** struct figures - rates between two samples, each a second */
struct figures {
	double control_us;
	double process_us;
	double rss_mb;
	double peer_bytes;
	double peer_messages;
	double reads;
	double writes;
	double poll_bytes;
	double list_bytes;
	double apply_ms;
	double start_ms;
};

struct rig {
	struct harness *h;
	struct harness_fleet *fleet;
	struct sim_peers *peers;
	struct sim_workers *workers;
	double start_ms;
};

static int measure_ms = 6000;

static double metric_read(const char *text, const char *name)
{
	const char *at = text;
	char key[96];

	snprintf(key, sizeof(key), "\nibisgate_%s{", name);
	at = strstr(at, key);
	at = at ? strchr(at, ' ') : NULL;
	return at ? strtod(at, NULL) : 0;
}

static struct buf metrics_read(const struct harness_fleet *f, int index)
{
	struct harness_reply reply;
	struct buf text = { 0 };
	char url[128];

	snprintf(url, sizeof(url), "%s/metrics", f->instances[index].http);
	harness_http("GET", url, NULL, NULL, 2000, &reply, NULL);
	buf_append_str(&text, buf_str(&reply.body));
	buf_append(&text, "", 0);
	harness_reply_free(&reply);
	return text;
}

static double metric_of(const struct harness_fleet *f, int index, const char *name)
{
	struct buf text = metrics_read(f, index);
	double v = text.data ? metric_read(text.data, name) : 0;

	buf_free(&text);
	return v;
}

static void platform_stats(const struct harness_fleet *f, double *reads, double *writes)
{
	char url[128];
	json_t *o;

	snprintf(url, sizeof(url), "%s/stats", f->platform);
	o = harness_get(url);
	*reads = (double)json_get_i64(o, "reads", 0);
	*writes = (double)json_get_i64(o, "writes", 0);
	json_decref(o);
}

static struct sample sample_take(const struct rig *r)
{
	const struct harness_fleet *f = r->fleet;
	struct buf text = metrics_read(f, 0);
	const char *t = text.data ? text.data : "";
	struct sample s = {
		.at_us = clock_boot_us(),
		.control_us = metric_read(t, "control_cpu_us_total"),
		.process_us = harness_cpu_us(f->instances[0].process->pid),
		.peer_bytes = metric_read(t, "peer_bytes_in_total") +
			      metric_read(t, "peer_bytes_out_total"),
		.peer_messages = metric_read(t, "peer_messages_in_total") +
				 metric_read(t, "peer_messages_out_total"),
		.list_bytes = metric_read(t, "list_bytes_total"),
		.poll_bytes = r->workers ? (double)sim_workers_bytes(r->workers) : 0,
	};

	platform_stats(f, &s.reads, &s.writes);
	buf_free(&text);
	return s;
}

static struct figures figures_between(const struct sample *a, const struct sample *b)
{
	double s = (double)(b->at_us - a->at_us) / 1e6;

	return (struct figures){
		.control_us = (b->control_us - a->control_us) / s,
		.process_us = (b->process_us - a->process_us) / s,
		.peer_bytes = (b->peer_bytes - a->peer_bytes) / s,
		.peer_messages = (b->peer_messages - a->peer_messages) / s,
		.reads = (b->reads - a->reads) / s,
		.writes = (b->writes - a->writes) / s,
		.poll_bytes = (b->poll_bytes - a->poll_bytes) / s,
		.list_bytes = (b->list_bytes - a->list_bytes) / s,
	};
}

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
	rc = harness_http("PUT", url, NULL, text.data, 20000, &reply, err);
	if (rc == 0 && reply.status / 100 != 2)
		rc = error_set(err, ERROR_TOOL, reply.status, "PUT %s: %d", path, reply.status);
	harness_reply_free(&reply);
	buf_free(&text);
	return rc;
}

/* Writes a configuration as the log would have left it behind. */
static int config_store(const struct harness_fleet *f, int organisations, struct error *err)
{
	json_t *items = json_object();

	for (int i = 0; i < organisations; i++) {
		char hash[HASH_HEX_SIZE];
		char key[64];

		snprintf(key, sizeof(key), "organisation/org-%05d", i);
		hash_secret_hex(str_from(i ? key : API_KEY), hash);
		json_object_set_new(items, key,
				    json_pack("{s:f, s:[s]}", "weight", 1.0, "keys", hash));
	}
	if (platform_put(f, "/objects/config%2Fsnapshot",
			 json_pack("{s:i, s:o}", "version", organisations, "items", items), err))
		return -1;
	return platform_put(f, "/table/config%2Fhead", json_pack("{s:i}", "version", organisations),
			    err);
}

static int workers_list(const struct rig *r, int count, struct error *err)
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
		if (harness_post(list, json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name",
						 name, "dc", dc, "url", url, "kind", "engine",
						 "model", "M", "role", "mixed", "state", "live")) /
			    100 !=
		    2)
			return error_set(err, ERROR_TOOL, 1, "the list refused %s", name);
	}
	return 0;
}

static void rig_destroy(struct rig *r)
{
	harness_fleet_destroy(r->fleet);
	harness_destroy(r->h);
	sim_peers_destroy(r->peers);
	sim_workers_destroy(r->workers);
	*r = (struct rig){ 0 };
}

/* Starts everything but the instance first, so that its start shows the cost of what is there. */
static int rig_create(struct rig *r, const struct harness_deployment *d, const struct point *p,
		      struct error *err)
{
	struct harness_fleet *f;
	char address[64];
	int64_t begun;

	*r = (struct rig){ .h = harness_create(err) };
	if (!r->h)
		return -1;
	r->workers = sim_workers_create(p->workers);
	r->fleet = harness_fleet_create(r->h, d, err);
	if (!r->fleet)
		return -1;
	f = r->fleet;
	harness_stop(f->instances[0].process, READY_MS);
	if ((p->organisations && config_store(f, p->organisations, err) < 0) ||
	    workers_list(r, p->workers, err) < 0)
		return -1;
	begun = clock_boot_us();
	if (harness_instance_start(f, 0, err) < 0)
		return -1;
	snprintf(address, sizeof(address), "127.0.0.1:%d", f->instances[0].peer_port);
	r->peers = sim_peers_create(p->peers, address, f->instances[0].id, p->delegate, p->workers);
	if (!r->peers)
		return error_set(err, ERROR_TOOL, 1, "cannot make the sockets of the members");
	if (harness_ready(f, READY_MS, err) < 0)
		return -1;
	r->start_ms = (double)(clock_boot_us() - begun) / 1e3;
	return 0;
}

static int change_post(const struct harness_fleet *f, const char *key, json_t *value,
		       int64_t *version)
{
	const char *const headers[] = { "Authorization: Bearer " HARNESS_TOKEN, NULL };
	json_t *body = json_pack("{s:s, s:o, s:s, s:I}", "key", key, "value", value, "author",
				 "bench", "if_version", (json_int_t)*version);
	struct harness_reply reply;
	struct buf text = { 0 };
	char url[128];
	int status;

	json_append(&text, body);
	json_decref(body);
	snprintf(url, sizeof(url), "%s/admin/config", f->instances[0].admin);
	harness_http("POST", url, headers, text.data, 20000, &reply, NULL);
	status = reply.status;
	*version = json_get_i64(reply.json, "version", *version);
	harness_reply_free(&reply);
	buf_free(&text);
	return status;
}

static json_t *organisation_value(const char *name)
{
	char hash[HASH_HEX_SIZE];

	hash_secret_hex(str_from(name), hash);
	return json_pack("{s:f, s:[s]}", "weight", 2.0, "keys", hash);
}

/* Time of one accepted change of an organisation, median of five. */
static double apply_measure(const struct harness_fleet *f)
{
	int64_t version = (int64_t)metric_of(f, 0, "config_version");
	double ms[5];

	for (int i = 0; i < 5; i++) {
		int64_t begun = clock_boot_us();
		char key[64];

		snprintf(key, sizeof(key), "organisation/new-%d", i);
		if (change_post(f, key, organisation_value(key), &version) != 200)
			return -1;
		ms[i] = (double)(clock_boot_us() - begun) / 1e3;
	}
	for (int i = 0; i < 5; i++) {
		for (int k = i + 1; k < 5; k++) {
			double t = ms[i];

			ms[i] = ms[k] < t ? ms[k] : t;
			ms[k] = ms[k] < t ? t : ms[k];
		}
	}
	return ms[2];
}

struct reader {
	pthread_t thread;
	const char *url;
};

/* A stream that outlives the measurement; the engine's step decides its rate. */
static void *reader_run(void *arg)
{
	const char *const headers[] = { "Authorization: Bearer " API_KEY, NULL };
	struct reader *reader = arg;
	struct harness_reply reply;

	harness_http("POST", reader->url, headers,
		     "{\"model\":\"M\",\"prompt\":\"some text\",\"max_tokens\":100000,"
		     "\"stream\":true}",
		     SETTLE_MS + measure_ms + 2000, &reply, NULL);
	harness_reply_free(&reply);
	return NULL;
}

static struct reader *readers_start(const struct harness_fleet *f, int count, char *url,
				    size_t size)
{
	struct reader *readers = mem_zalloc((size_t)(count + 1) * sizeof(*readers));

	snprintf(url, size, "%s/v1/completions", f->instances[0].http);
	for (int i = 0; i < count; i++) {
		readers[i].url = url;
		pthread_create(&readers[i].thread, NULL, reader_run, &readers[i]);
	}
	return readers;
}

static void readers_join(struct reader *readers, int count)
{
	for (int i = 0; i < count; i++)
		pthread_join(readers[i].thread, NULL);
	free(readers);
}

static const char *const platform_args[] = { "--writes-per-s", "100000", "--reads-per-s", "100000",
					     NULL };
/* 20 tokens a second and stream: an engine under load. */
static const char *const engine_args[] = {
	"--step-base-us", "50000", "--step-per-seq-us", "0", "--slots", "1024",
	"--threads",	  "700",   "--prefill-rate",	"0", NULL
};

static int point_measure(const struct point *p, struct figures *out, struct error *err)
{
	static const struct harness_engine_spec engine[] = { { "mixed", true }, { NULL } };
	struct harness_deployment d = { .region = "r",
					.dcs = { "d0" },
					.instances = 1,
					.engines = p->streams ? engine : NULL,
					.engine_args = engine_args,
					.platform_args = platform_args };
	struct reader *readers;
	struct sample a;
	struct sample b;
	char url[128];
	struct rig r;
	int rc = -1;

	if (rig_create(&r, &d, p, err) < 0)
		goto out;
	if (p->streams) {
		harness_organisation(r.fleet, "bench", API_KEY, 1);
		harness_model(r.fleet, "M");
		harness_default(r.fleet, "admission.enabled", json_integer(0));
		harness_default(r.fleet, "deadline.total_ms", json_integer(120000));
	}
	readers = readers_start(r.fleet, p->streams, url, sizeof(url));
	clock_sleep_ms(SETTLE_MS);
	a = sample_take(&r);
	clock_sleep_ms(measure_ms);
	b = sample_take(&r);
	*out = figures_between(&a, &b);
	out->rss_mb = (double)harness_rss_kb(r.fleet->instances[0].process->pid) / 1024;
	out->start_ms = r.start_ms;
	if (p->organisations)
		out->apply_ms = apply_measure(r.fleet);
	if (p->streams && metric_of(r.fleet, 0, "streams") < p->streams)
		printf("note: only %.0f of %d streams run\n", metric_of(r.fleet, 0, "streams"),
		       p->streams);
	readers_join(readers, p->streams);
	rc = 0;
out:
	rig_destroy(&r);
	return rc;
}

static void figures_print(const char *name, int x, const struct figures *f)
{
	printf("slope %s x=%d control_us_s=%.0f process_us_s=%.0f rss_mb=%.1f peer_bytes_s=%.0f "
	       "peer_messages_s=%.1f table_reads_s=%.2f table_writes_s=%.2f poll_bytes_s=%.0f "
	       "list_bytes_s=%.0f "
	       "apply_ms=%.1f start_ms=%.0f\n",
	       name, x, f->control_us, f->process_us, f->rss_mb, f->peer_bytes, f->peer_messages,
	       f->reads, f->writes, f->poll_bytes, f->list_bytes, f->apply_ms, f->start_ms);
}

/** struct line - least squares over the points of one series */
struct line {
	double n, x, y, xx, xy;
};

static void line_add(struct line *l, double x, double y)
{
	l->n += 1;
	l->x += x;
	l->y += y;
	l->xx += x * x;
	l->xy += x * y;
}

static void line_print(const struct line *l, const char *name, const char *what)
{
	double det = l->n * l->xx - l->x * l->x;
	double slope = det > 0 ? (l->n * l->xy - l->x * l->y) / det : 0;

	printf("line %s %s = %.4g + %.4g x\n", name, what, (l->y - slope * l->x) / l->n, slope);
}

static int series_run(const char *name, const struct point *points, const int *x, int count,
		      struct error *err)
{
	struct line control = { 0 };
	struct line process = { 0 };
	struct line rss = { 0 };
	struct line bytes = { 0 };

	for (int i = 0; i < count; i++) {
		struct figures f;

		if (point_measure(&points[i], &f, err) < 0)
			return -1;
		figures_print(name, x[i], &f);
		line_add(&control, x[i], f.control_us);
		line_add(&process, x[i], f.process_us);
		line_add(&rss, x[i], f.rss_mb);
		line_add(&bytes, x[i], f.peer_bytes + f.poll_bytes);
	}
	line_print(&control, name, "control_us_s");
	line_print(&process, name, "process_us_s");
	line_print(&rss, name, "rss_mb");
	line_print(&bytes, name, "peer_and_poll_bytes_s");
	return 0;
}

static int double_cmp(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void in_force_wait(const struct harness_fleet *f, int64_t version, int64_t limit_ms)
{
	int64_t end = clock_boot_ms() + limit_ms;

	for (int i = 0; i < f->instance_count; i++) {
		while ((int64_t)metric_of(f, i, "config_version") < version &&
		       clock_boot_ms() < end)
			clock_sleep_ms(1);
	}
}

/* From the answer of the instance that accepted to the last instance that applied. */
static int config_measure(struct error *err)
{
	struct harness_deployment d = {
		.region = "r", .dcs = { "d0", "d1" }, .instances = 3, .platform_args = platform_args
	};
	static double ms[CHANGES];
	struct rig r = { .h = harness_create(err) };
	int64_t version = 0;
	int rc = -1;

	if (!r.h)
		return -1;
	r.fleet = harness_fleet_create(r.h, &d, err);
	if (!r.fleet || harness_ready(r.fleet, READY_MS, err) < 0)
		goto out;
	clock_sleep_ms(SETTLE_MS);
	for (int i = 0; i < CHANGES; i++) {
		int64_t begun;
		char key[64];

		snprintf(key, sizeof(key), "organisation/new-%d", i);
		if (change_post(r.fleet, key, organisation_value(key), &version) != 200) {
			error_set(err, ERROR_TOOL, 1, "change %d was refused", i);
			goto out;
		}
		begun = clock_boot_us();
		in_force_wait(r.fleet, version, 8000);
		ms[i] = (double)(clock_boot_us() - begun) / 1e3;
	}
	qsort(ms, CHANGES, sizeof(double), double_cmp);
	printf("config changes=%d instances=%d in_force_p50_ms=%.0f p95_ms=%.0f max_ms=%.0f "
	       "bound_ms=4000\n",
	       CHANGES, r.fleet->instance_count, report_percentile(ms, CHANGES, 0.5),
	       report_percentile(ms, CHANGES, 0.95), ms[CHANGES - 1]);
	rc = 0;
out:
	rig_destroy(&r);
	return rc;
}

static int calls_send(const struct harness_fleet *f)
{
	char url[128];
	int done = 0;

	snprintf(url, sizeof(url), "%s/v1/services/order", f->instances[0].http);
	for (int i = 0; i < CALLS; i++) {
		struct harness_reply reply;
		char key[64];
		const char *const headers[] = { "Authorization: Bearer " API_KEY, key, NULL };

		snprintf(key, sizeof(key), "Idempotency-Key: call-%d", i);
		harness_http("POST", url, headers, "{\"item\":1}", 5000, &reply, NULL);
		done += reply.status == 200;
		harness_reply_free(&reply);
	}
	return done;
}

static int claims_measure(struct error *err)
{
	static const char *const services[] = { "order", NULL };
	struct harness_deployment d = { .region = "r",
					.dcs = { "d0" },
					.instances = 1,
					.services = services,
					.platform_args = platform_args };
	struct point p = { .delegate = true };
	struct sample s[3];
	struct figures idle;
	double seconds;
	double writes;
	double reads;
	struct rig r;
	int rc = -1;
	int done;

	if (rig_create(&r, &d, &p, err) < 0)
		goto out;
	harness_organisation(r.fleet, "bench", API_KEY, 1);
	harness_service(r.fleet, "order", false);
	clock_sleep_ms(SETTLE_MS);
	s[0] = sample_take(&r);
	clock_sleep_ms(measure_ms);
	s[1] = sample_take(&r);
	done = calls_send(r.fleet);
	/* The result is written behind the answer. */
	clock_sleep_ms(1000);
	s[2] = sample_take(&r);
	idle = figures_between(&s[0], &s[1]);
	seconds = (double)(s[2].at_us - s[1].at_us) / 1e6;
	writes = (s[2].writes - s[1].writes - idle.writes * seconds) / CALLS;
	reads = (s[2].reads - s[1].reads - idle.reads * seconds) / CALLS;
	printf("claims calls=%d done=%d table_writes_a_call=%.2f table_reads_a_call=%.2f "
	       "calls_s_at_400_writes=%.0f\n",
	       CALLS, done, writes, reads, writes > 0 ? 400 / writes : 0);
	rc = 0;
out:
	rig_destroy(&r);
	return rc;
}

static int nodes_series(struct error *err)
{
	static const struct point members[] = {
		{ .peers = 0, .delegate = true },   { .peers = 17, .delegate = true },
		{ .peers = 52, .delegate = true },  { .peers = 105, .delegate = true },
		{ .peers = 210, .delegate = true },
	};
	static const struct point others[] = {
		{ .peers = 3 },
		{ .peers = 17 },
		{ .peers = 52 },
		{ .peers = 105 },
	};
	static const int x[] = { 1, 18, 53, 106, 211 };
	static const int y[] = { 4, 18, 53, 106 };

	if (series_run("nodes_delegate", members, x, 5, err) < 0)
		return -1;
	return series_run("nodes_other", others, y, 4, err);
}

static int workers_series(struct error *err)
{
	static const struct point points[] = {
		{ .peers = 52, .delegate = true },
		{ .peers = 52, .delegate = true, .workers = 71 },
		{ .peers = 52, .delegate = true, .workers = 214 },
		{ .peers = 52, .delegate = true, .workers = 500 },
		{ .peers = 52, .delegate = true, .workers = 1500 },
	};
	static const int x[] = { 0, 71, 214, 500, 1500 };

	return series_run("workers", points, x, 5, err);
}

static int organisations_series(struct error *err)
{
	static const struct point points[] = {
		{ .delegate = true, .organisations = 100 },
		{ .delegate = true, .organisations = 1000 },
		{ .delegate = true, .organisations = 5000 },
		{ .delegate = true, .organisations = TARGET_ORGANISATIONS },
	};
	static const int x[] = { 100, 1000, 5000, TARGET_ORGANISATIONS };

	return series_run("organisations", points, x, 4, err);
}

static int streams_series(struct error *err)
{
	static const struct point points[] = {
		{ .delegate = true, .streams = 1 },
		{ .delegate = true, .streams = 100 },
		{ .delegate = true, .streams = 250 },
		{ .delegate = true, .streams = 500 },
	};
	static const int x[] = { 1, 100, 250, 500 };

	return series_run("streams", points, x, 4, err);
}

/* A region of the target: 53 members, 214 workers, all organisations. */
static int target_measure(struct error *err)
{
	static const struct point target = {
		.peers = 52, .delegate = true, .workers = 214, .organisations = TARGET_ORGANISATIONS
	};
	struct figures f;

	if (point_measure(&target, &f, err) < 0)
		return -1;
	figures_print("target_region", 53, &f);
	printf("control_core_percent=%.2f control_mb=%.1f control_kb_s=%.1f\n", f.control_us / 1e4,
	       f.rss_mb, (f.peer_bytes + f.poll_bytes + f.list_bytes) / 1e3);
	return 0;
}

static const struct {
	const char *name;
	int (*run)(struct error *err);
} parts[] = {
	{ "claims", claims_measure },  { "config", config_measure },
	{ "nodes", nodes_series },     { "workers", workers_series },
	{ "streams", streams_series }, { "organisations", organisations_series },
	{ "target", target_measure },
};

static int run(const char *only)
{
	int failed = 0;

	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		struct error err = { 0 };

		if (only && strcmp(only, parts[i].name) != 0)
			continue;
		if (parts[i].run(&err) == 0)
			continue;
		fprintf(stderr, "bench-control: %s: %s\n", parts[i].name, err.text);
		failed = 1;
	}
	return failed;
}

int main(int argc, char **argv)
{
	struct arg_str *only = arg_str0(NULL, "only", "PART",
					"claims, config, nodes, workers, streams, organisations "
					"or target");
	struct arg_int *measure = arg_int0(NULL, "measure-ms", "MS", "length of a point (6000)");
	struct arg_end *end = arg_end(4);
	void *table[] = { only, measure, end };
	int rc = 2;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "bench-control");
		goto out;
	}
	if (measure->count)
		measure_ms = measure->ival[0];
	setvbuf(stdout, NULL, _IOLBF, 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run(only->count ? only->sval[0] : NULL);
	curl_global_cleanup();
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
