#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ibisgate/common/log.h"

#define LOG_LINE_MAX 1024

static enum log_level least_level = LOG_INFO;
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
	if (write(STDERR_FILENO, line, n) < 0)
		return;
}
