#ifndef IBISGATE_COMMON_LOG_H
#define IBISGATE_COMMON_LOG_H

#include "ibisgate/common/error.h"

enum log_level {
	LOG_DEBUG,
	LOG_INFO,
	LOG_WARN,
	LOG_ERROR,
};

/** log_init - set the least level written and the program's name; lines go to standard error */
void log_init(enum log_level least, const char *program);

/**
 * log_to_stdout - write to standard output without ever blocking
 * @lines_per_s: greatest number of lines a second
 *
 * Lines beyond the limit, or while the reader is behind, are dropped and counted; the next line
 * that gets through is preceded by one "log-dropped lines=N".
 */
void log_to_stdout(int lines_per_s);

/** log_level_parse - level named "debug", "info", "warn" or "error"; -1 for any other text */
int log_level_parse(const char *name);

/**
 * log_write - write one line "time level program event key=value ..."
 * @event: short name of what happened, lower case with hyphens
 * @fmt: the key=value part; values with spaces are quoted by the caller
 *
 * Prompts, answers and API keys are never passed here; use ids.
 */
void log_write(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#define log_debug(event, ...) log_write(LOG_DEBUG, event, __VA_ARGS__)
#define log_info(event, ...) log_write(LOG_INFO, event, __VA_ARGS__)
#define log_warn(event, ...) log_write(LOG_WARN, event, __VA_ARGS__)
#define log_error(event, ...) log_write(LOG_ERROR, event, __VA_ARGS__)

#endif
