#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "control.h"

/*
 * Measures the cost of the control plane for one instance as a function of the number of members,
 * endpoints, organisations and streams. Members and endpoints are simulated in this process; the
 * instance and the platform stand-in run as separate processes.
 */

static const struct {
	const char *name;
	int (*run)(struct error *err);
} parts[] = {
	{ "claims", claims_measure },  { "config", config_measure },
	{ "nodes", members_series },   { "workers", workers_series },
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
	struct arg_int *measure =
		arg_int0(NULL, "measure-ms", "MS", "duration of a measurement (6000)");
	struct arg_end *end = arg_end(4);
	void *table[] = { only, measure, end };
	int rc = 2;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "bench-control");
		goto out;
	}
	if (measure->count)
		bench_measure_ms = measure->ival[0];
	setvbuf(stdout, NULL, _IOLBF, 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run(only->count ? only->sval[0] : NULL);
	curl_global_cleanup();
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
