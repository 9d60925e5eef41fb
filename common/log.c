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

static enum log_level least_level = LOG_INFO;
static int output = STDERR_FILENO;
static int line_limit;
static time_t limit_second;
static int limit_lines;
static long dropped;
static pthread_mutex_t limit_lock = PTHREAD_MUTEX_INITIALIZER;
static char program_name[32] = "ibisgate";

static const char *const level_names[] = {
	[LOG_DEBUG] = "debug",
	[LOG_INFO] = "info",
	[LOG_WARN] = "warn",
	[LOG_ERROR] = "error",
};

void log_init(enum log_level least, const char *program)
{
	least_level = least;
	snprintf(program_name, sizeof(program_name), "%s", program);
}

void log_to_stdout(int lines_per_s)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	output = STDOUT_FILENO;
	line_limit = lines_per_s;
}

/* Whether another line fits this second; tells of earlier lines that did not. */
static bool limit_allows(const struct timespec *now)
{
	char line[64];
	bool fits;
	int n;

	if (!line_limit)
		return true;
	pthread_mutex_lock(&limit_lock);
	if (now->tv_sec != limit_second) {
		limit_second = now->tv_sec;
		limit_lines = 0;
	}
	fits = limit_lines < line_limit;
	if (fits && dropped) {
		n = snprintf(line, sizeof(line), "log-dropped lines=%ld\n", dropped);
		if (write(output, line, (size_t)n) == n)
			dropped = 0;
	}
	if (fits)
		limit_lines++;
	else
		dropped++;
	pthread_mutex_unlock(&limit_lock);
	return fits;
}

static void limit_count_drop(void)
{
	pthread_mutex_lock(&limit_lock);
	dropped++;
	pthread_mutex_unlock(&limit_lock);
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

	if (level < least_level)
		return;
	clock_gettime(CLOCK_REALTIME, &ts);
	if (!limit_allows(&ts))
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
	/* One write per line keeps lines of concurrent threads whole. */
	if (write(output, line, n) < 0)
		limit_count_drop();
}
