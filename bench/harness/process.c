#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ibisgate/common/clock.h"
#include "ibisgate/harness/harness.h"

#define START_TIMEOUT_MS 10000
#define POLL_INTERVAL_MS 5
#define ARGS_MAX 64

struct harness *harness_create(struct error *err)
{
	const char *tmp = getenv("TMPDIR");
	struct harness *h = mem_zalloc(sizeof(*h));

	snprintf(h->dir, sizeof(h->dir), "%s/ibisgate-XXXXXX", tmp ? tmp : "/tmp");
	if (!mkdtemp(h->dir)) {
		error_set(err, ERROR_TOOL, 1, "cannot create directory %s: %s", h->dir,
			  strerror(errno));
		free(h);
		return NULL;
	}
	return h;
}

static int remove_entry(const char *path, const struct stat *st, int type, struct FTW *ftw)
{
	return remove(path);
}

void harness_destroy(struct harness *h)
{
	if (!h)
		return;
	for (int i = 0; i < h->process_count; i++)
		harness_process_signal(h->processes[i], SIGKILL);
	for (int i = 0; i < h->process_count; i++) {
		harness_process_wait(h->processes[i], START_TIMEOUT_MS);
		free(h->processes[i]);
	}
	if (getenv("IBISGATE_HARNESS_KEEP"))
		fprintf(stderr, "harness: output in %s\n", h->dir);
	else
		nftw(h->dir, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
	free(h);
}

static struct harness_process *process_entry_get(struct harness *h, const char *name,
						 struct error *err)
{
	struct harness_process *p;

	for (int i = 0; i < h->process_count; i++) {
		if (strcmp(h->processes[i]->name, name) == 0) {
			if (!h->processes[i]->pid)
				return h->processes[i];
			error_set(err, ERROR_TOOL, 1, "%s is still running", name);
			return NULL;
		}
	}
	if (h->process_count == HARNESS_PROCESSES_MAX) {
		error_set(err, ERROR_TOOL, 1, "more than %d processes", HARNESS_PROCESSES_MAX);
		return NULL;
	}
	p = mem_zalloc(sizeof(*p));
	str_copy(p->name, sizeof(p->name), str_from(name));
	h->processes[h->process_count++] = p;
	return p;
}

void harness_child_exec(const char *path, char *const argv[], int out, int log, pid_t parent)
{
	sigset_t none;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(127);
	sigemptyset(&none);
	sigprocmask(SIG_SETMASK, &none, NULL);
	dup2(out, STDOUT_FILENO);
	dup2(log, STDERR_FILENO);
	/* Some descriptors of the parent, such as libcurl's connections, lack close-on-exec. */
	close_range(STDERR_FILENO + 1, ~0U, 0);
	execv(path, argv);
	_exit(127);
}

static int output_open(const struct harness *h, const char *name, const char *suffix, bool truncate)
{
	char path[512];

	snprintf(path, sizeof(path), "%s/%s.%s", h->dir, name, suffix);
	return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (truncate ? O_TRUNC : 0),
		    0600);
}

/* Sets @line to the last line of an output file; empty if there is none. */
static void last_line_read(const struct harness *h, const char *name, const char *suffix,
			   char *line, size_t size)
{
	char path[512];
	FILE *f;

	line[0] = '\0';
	snprintf(path, sizeof(path), "%s/%s.%s", h->dir, name, suffix);
	f = fopen(path, "re");
	while (f && fgets(line, (int)size, f))
		;
	if (f)
		fclose(f);
	line[strcspn(line, "\n")] = '\0';
}

static int process_ended(const struct harness *h, const struct harness_process *p,
			 struct error *err)
{
	char line[256];

	/* Instances on the row store log to standard output, all other programs to the log. */
	last_line_read(h, p->name, "out", line, sizeof(line));
	if (!line[0])
		last_line_read(h, p->name, "log", line, sizeof(line));
	return error_set(err, ERROR_TOOL, 1, "%s ended with status %#x: %s", p->name, p->status,
			 line);
}

static int ready_line_wait(struct harness *h, struct harness_process *p, struct error *err)
{
	int64_t end = clock_boot_ms() + START_TIMEOUT_MS;
	char path[512];

	snprintf(path, sizeof(path), "%s/%s.out", h->dir, p->name);
	while (clock_boot_ms() < end) {
		FILE *f = fopen(path, "re");
		bool has_full_line =
			f && fgets(p->line, sizeof(p->line), f) && strchr(p->line, '\n');

		if (f)
			fclose(f);
		if (has_full_line && strncmp(p->line, "listening ", 10) == 0)
			return 0;
		if (harness_process_wait(p, 0) == 0)
			return process_ended(h, p, err);
		clock_sleep_ms(POLL_INTERVAL_MS);
	}
	return error_set(err, ERROR_TOOL, 1, "%s did not print the line \"listening ...\" in time",
			 p->name);
}

struct harness_process *harness_process_start(struct harness *h, const char *name,
					      const char *program, const char *const argv[],
					      struct error *err)
{
	const char *bin = getenv("IBISGATE_BIN_DIR");
	struct harness_process *p = process_entry_get(h, name, err);
	char path[512];
	char *args[ARGS_MAX] = { path };
	pid_t parent = getpid();
	int out = -1;
	int log = -1;

	if (!p)
		return NULL;
	if (bin)
		snprintf(path, sizeof(path), "%s/%s", bin, program);
	else
		snprintf(path, sizeof(path), HARNESS_BUILD_DIR "/%s/%s",
			 strcmp(program, "ibisgated") == 0 ? "ibisgated" : "standins", program);
	for (int i = 0; argv[i] && i < ARGS_MAX - 2; i++)
		args[i + 1] = (char *)argv[i];
	out = output_open(h, name, "out", true);
	log = output_open(h, name, "log", false);
	if (out < 0 || log < 0) {
		error_set(err, ERROR_TOOL, 1, "cannot write to %s", h->dir);
		goto fail;
	}
	p->status = 0;
	p->pid = fork();
	if (p->pid == 0)
		harness_child_exec(path, args, out, log, parent);
	if (p->pid < 0) {
		p->pid = 0;
		error_set(err, ERROR_TOOL, 1, "cannot fork: %s", strerror(errno));
		goto fail;
	}
	if (ready_line_wait(h, p, err) < 0)
		goto fail;
	close(out);
	close(log);
	return p;
fail:
	if (out >= 0)
		close(out);
	if (log >= 0)
		close(log);
	return NULL;
}

int harness_process_port(const struct harness_process *p, const char *key)
{
	struct str rest = str_trim(str_from(p->line));
	size_t len = strlen(key);
	int64_t port;

	str_split(&rest, ' ');
	while (rest.len) {
		struct str word = str_split(&rest, ' ');

		if (len) {
			if (word.len <= len || memcmp(word.data, key, len) != 0 ||
			    word.data[len] != '=')
				continue;
			word.data += len + 1;
			word.len -= len + 1;
		}
		if (str_to_i64(word, &port))
			return (int)port;
	}
	return 0;
}

int harness_process_signal(struct harness_process *p, int sig)
{
	return p->pid > 0 ? kill(p->pid, sig) : -1;
}

int harness_process_wait(struct harness_process *p, int64_t timeout_ms)
{
	int64_t end = clock_boot_ms() + timeout_ms;

	if (p->pid <= 0)
		return 0;
	for (;;) {
		if (waitpid(p->pid, &p->status, WNOHANG) == p->pid) {
			p->pid = 0;
			return 0;
		}
		if (clock_boot_ms() >= end)
			return -1;
		clock_sleep_ms(POLL_INTERVAL_MS);
	}
}

int harness_process_stop(struct harness_process *p, int64_t timeout_ms)
{
	if (harness_process_signal(p, SIGTERM) < 0 || harness_process_wait(p, timeout_ms) < 0)
		return -1;
	return WIFEXITED(p->status) ? WEXITSTATUS(p->status) : -1;
}

/* Sums utime and stime, fields 14 and 15 of /proc/PID/stat. */
double harness_cpu_us(pid_t pid)
{
	char path[64];
	char line[1024];
	unsigned long user = 0;
	unsigned long system = 0;
	const char *rest;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "re");
	if (!f)
		return 0;
	rest = fgets(line, sizeof(line), f) ? strrchr(line, ')') : NULL;
	if (rest)
		sscanf(rest + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
		       &system);
	fclose(f);
	return (double)(user + system) * 1e6 / (double)sysconf(_SC_CLK_TCK);
}

int64_t harness_rss_kb(pid_t pid)
{
	char path[64];
	char line[256];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "re");
	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line, "VmRSS: %ld", &kb) == 1)
			break;
	}
	if (f)
		fclose(f);
	return kb;
}
