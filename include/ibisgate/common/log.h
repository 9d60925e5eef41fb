#ifndef IBISGATE_COMMON_LOG_H
#define IBISGATE_COMMON_LOG_H

#include "ibisgate/common/error.h"

enum log_level {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARN,
	LOG_ERROR,
};

/** log_init - set the minimum level and the program's name; lines are written to standard error */
void log_init(enum log_level min_level, const char *program);

/**
 * log_to_stdout - write log lines to standard output, without blocking
 * @lines_per_s: maximum number of lines per second
 *
 * Lines that exceed the limit, or that don't fit because the reader is too slow, are dropped and
 * counted. The next line that is written is preceded by "log-dropped lines=N".
 */
void log_to_stdout(int lines_per_s);

/** log_level_parse - level named "debug", "info", "warn" or "error"; -1 for any other text */
int log_level_parse(const char *name);

/**
 * log_write - write one line "time level program event key=value ..."
 * @event: short name of the event, lower case with hyphens
 * @fmt: the key=value part; values with spaces are quoted by the caller
 *
 * Never pass prompts, responses or API keys; log ids instead.
 */
void log_write(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define log_debug(event, ...) log_write(LOG_DEBUG, event, __VA_ARGS__)
#define log_info(event, ...) log_write(LOG_INFO, event, __VA_ARGS__)
#define log_warn(event, ...) log_write(LOG_WARN, event, __VA_ARGS__)
#define log_error(event, ...) log_write(LOG_ERROR, event, __VA_ARGS__)

#endif
