#ifndef IBISGATE_ENTRY_ENTRY_H
#define IBISGATE_ENTRY_ENTRY_H

#include "ibisgate/common/error.h"
#include "ibisgate/daemon/settings.h"

/** enum entry_error - codes of layer ERROR_FRONT for an entry instance */
enum entry_error {
	ENTRY_OK,
	ENTRY_LISTEN,
	ENTRY_LOOP,
};

/** struct entry - an instance that serves callers on the platform with the store of rows */
struct entry;

/**
 * entry_create - listen, read configuration and endpoints, say ready once both are known
 * @path: settings file, read again when it changes; NULL for none
 *
 * Return: NULL with ENTRY_LISTEN when an address can't be bound, ENTRY_LOOP when the event loop
 * can't be made.
 */
struct entry *entry_create(const struct settings *settings, const char *path, struct error *err);

/** entry_run - serve until SIGTERM or SIGINT has been answered and the last request is done */
void entry_run(struct entry *e);

/** entry_stop - begin the shutdown that a signal begins */
void entry_stop(struct entry *e, const char *why);
void entry_destroy(struct entry *e);

#endif
