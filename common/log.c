#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ibisgate/common/log.h"

#define LOG_LINE_MAX 1024

static enum log_level minimum_level = LOG_INFO;
static int output_fd = STDERR_FILENO;
static int max_lines_per_s;
static time_t rate_second;
static int rate_lines;
static long dropped_lines;
static pthread_mutex_t rate_lock = PTHREAD_MUTEX_INITIALIZER;
static char program_name[32] = "ibisgate";

static const char *const level_names[] = {
	[LOG_DEBUG] = "debug",
	[LOG_INFO] = "info",
	[LOG_WARN] = "warn",
	[LOG_ERROR] = "error",
};

void log_init(enum log_level min_level, const char *program)
{
	minimum_level = min_level;
	snprintf(program_name, sizeof(program_name), "%s", program);
}

void log_to_stdout(int lines_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	output_fd = STDOUT_FILENO;
	max_lines_per_s = lines_per_s;
}

/* True if the rate limit allows another line; reports earlier lines that were dropped. */
static bool rate_allows(const struct timespec *now)
{
	char line[64];
	bool is_allowed;
	int n;

	if (!max_lines_per_s)
		return true;
	pthread_mutex_lock(&rate_lock);
	if (now->tv_sec != rate_second) {
		rate_second = now->tv_sec;
		rate_lines = 0;
	}
	is_allowed = rate_lines < max_lines_per_s;
	if (is_allowed && dropped_lines) {
		n = snprintf(line, sizeof(line), "log-dropped lines=%ld\n", dropped_lines);
		if (write(output_fd, line, (size_t)n) == n)
			dropped_lines = 0;
	}
	if (is_allowed)
		rate_lines++;
	else
		dropped_lines++;
	pthread_mutex_unlock(&rate_lock);
	return is_allowed;
}

static void rate_count_drop(void)
{
	pthread_mutex_lock(&rate_lock);
	dropped_lines++;
	pthread_mutex_unlock(&rate_lock);
}

int log_level_parse(const char *name)
{
	for (size_t i = 0; i < sizeof(level_names) / sizeof(level_names[0]); i++) {
		if (strcmp(name, level_names[i]) == 0)
			return (int)i;
	}
	return -1;
}

void log_write(enum log_level level, const char *event, const char *fmt, ...)
{
	char line[LOG_LINE_MAX];
	struct timespec ts;
	struct tm tm;
	size_t n;
	va_list ap;
	int m;

	if (level < minimum_level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	if (!rate_allows(&ts))
		return;
	gmtime_r(&ts.tv_sec, &tm);
	n = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
	m = snprintf(line + n, sizeof(line) - n, ".%03ldZ %s %s %s ", ts.tv_nsec / 1000000,
		     level_names[level], program_name, event);
	n += (size_t)m;
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - n, fmt, ap);
	va_end(ap);
	if (m < 0)
		m = 0;
	n += (size_t)m;
	if (n > sizeof(line) - 2)
		n = sizeof(line) - 2;
	for (size_t i = 0; i < n; i++) {
		if (line[i] == '\n' || line[i] == '\r')
			line[i] = ' ';
	}
	line[n++] = '\n';
	/* A single write per line keeps the lines of concurrent threads from being mixed. */
	if (write(output_fd, line, n) < 0)
		rate_count_drop();
}
