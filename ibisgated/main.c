#include <argtable2.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ibisgate/common/log.h"
#include "ibisgate/common/str.h"
#include "ibisgate/compat/ssl.h"
#include "ibisgate/daemon/control.h"
#include "ibisgate/daemon/gate.h"
#include "ibisgate/entry/entry.h"
#include "ibisgate/entry/explain.h"

#define POLL_INTERVAL_MS 50

/* A request writes one or two lines, so this rate exceeds the capacity of an instance. */
#define LOG_LINES_PER_S_MAX 2000

/* Exit codes, documented in ibisgated(1). */
enum exit_code {
	EXIT_OK = 0,
	EXIT_FAILED = 1,
	EXIT_USAGE = 2,
	EXIT_SETTINGS = 3,
};

static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static void print_listening(const struct settings *s)
{
	printf("listening http=%s admin=%s peer=%s\n", strchr(s->http.advertise, ':') + 1,
	       strchr(s->admin.advertise, ':') + 1, strchr(s->peer.advertise, ':') + 1);
	fflush(stdout);
}

static void run_until_drained(struct gate *gate, const sigset_t *set)
{
	struct timespec poll_interval = { .tv_nsec = POLL_INTERVAL_MS * 1000000L };
	bool membership_left = false;

	while (!gate_is_drained(gate)) {
		if (sigtimedwait(set, NULL, &poll_interval) > 0)
			gate_drain_start(gate, "signal");
		gate_check_ready(gate);
		if (gate->state == GATE_DRAINING && !membership_left) {
			control_leave(gate->control);
			membership_left = true;
		}
	}
}

/*
 * Large buffers are mapped by themselves, so that they are returned when they are freed. By
 * default, the C library raises the size for this to that of the largest one so far.
 */
#define LARGE_BUFFER_BYTES (128 << 10)

static int serve(const struct settings *settings)
{
	struct error err = { 0 };
	struct gate *gate;
	sigset_t set;
	bool failed;

	ssl_compat_link();
	block_signals(&set);
	mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
	gate = gate_create(settings, &err);
	if (!gate) {
		log_error("start-failed", "layer=%s error=\"%s\"", error_layer_name(err.layer),
			  err.text);
		return EXIT_FAILED;
	}
	print_listening(&gate->settings);
	run_until_drained(gate, &set);
	failed = gate->failed;
	gate_destroy(gate);
	log_info("stopped", "failed=%d", failed);
	return failed ? EXIT_FAILED : EXIT_OK;
}

static int serve_row_store_platform(const struct settings *settings, const char *path)
{
	struct error err = { 0 };
	struct entry *entry;

	signal(SIGPIPE, SIG_IGN);
	mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
	entry = entry_create(settings, path, &err);
	if (!entry) {
		log_error("start-failed", "layer=%s error=\"%s\"", error_layer_name(err.layer),
			  err.text);
		return EXIT_FAILED;
	}
	if (settings->metrics.explain)
		entry_set_explainer(entry, entry_explain);
	entry_run(entry);
	entry_destroy(entry);
	return EXIT_OK;
}

int main(int argc, char **argv)
{
	struct arg_file *file = arg_file0("s", "settings", "FILE",
					  "settings file of this instance, see ibisgate(5); "
					  "default: the file named by $IBISGATE_SETTINGS");
	struct arg_lit *check = arg_lit0("c", "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, check, help, end };
	struct settings *settings = mem_zalloc(sizeof(*settings));
	struct error err = { 0 };
	const char *path;
	int code = EXIT_USAGE;
	int problems = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: ibisgated");
		arg_print_syntax(stdout, table, "\n\nOne instance of ibisgate.\n\n");
		arg_print_glossary_gnu(stdout, table);
		code = EXIT_OK;
		goto out;
	}
	if (problems) {
		arg_print_errors(stderr, end, "ibisgated");
		goto out;
	}
	path = file->count ? file->filename[0] : getenv("IBISGATE_SETTINGS");
	if (!path) {
		fprintf(stderr, "ibisgated: no settings file; use --settings FILE or set "
				"IBISGATE_SETTINGS\n");
		goto out;
	}
	code = EXIT_SETTINGS;
	if (settings_load(settings, path, stderr, &err) < 0)
		goto out;
	code = EXIT_OK;
	if (check->count) {
		printf("%s: valid\n", path);
		goto out;
	}
	log_init(settings->instance.log_level, settings->instance.id);
	switch (settings->platform.kind) {
	case PLATFORM_TABLE:
		code = serve(settings);
		break;
	case PLATFORM_ROWS:
		log_to_stdout(LOG_LINES_PER_S_MAX);
		code = serve_row_store_platform(settings, path);
		break;
	}
out:
	free(settings);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
