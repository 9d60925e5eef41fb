#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"

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
	harness_http_request("GET", url, NULL, NULL, 2000, &reply, NULL);
	buf_append_str(&text, buf_str(&reply.body));
	buf_append(&text, "", 0);
	harness_reply_free(&reply);
	return text;
}

double metric_value(const struct harness_fleet *f, int index, const char *name)
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
	o = harness_json_get(url);
	*reads = (double)json_get_i64(o, "reads", 0);
	*writes = (double)json_get_i64(o, "writes", 0);
	json_decref(o);
}

struct sample sample_take(const struct rig *r)
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

struct measurement measurement_between(const struct sample *a, const struct sample *b)
{
	double s = (double)(b->at_us - a->at_us) / 1e6;

	return (struct measurement){
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
