#ifndef IBISGATE_ENTRY_ENTRY_H
#define IBISGATE_ENTRY_ENTRY_H

#include "ibisgate/common/error.h"
#include "ibisgate/common/str.h"
#include "ibisgate/daemon/settings.h"

/** enum entry_error - error codes of layer ERROR_FRONT for an entry instance */
enum entry_error {
	ENTRY_OK,
	ENTRY_LISTEN,
	ENTRY_LOOP,
};

/**
 * struct entry - instance that serves callers on the platform and keeps its state in the row store
 */
struct entry;

/**
 * entry_create - bind the listeners and start loading the configuration and the endpoint list
 * @path: settings file, reloaded when it changes; NULL for none
 *
 * The instance reports ready once both have been loaded.
 *
 * Return: NULL with ENTRY_LISTEN when an address can't be bound, or with ENTRY_LOOP when the event
 * loop can't be created.
 */
struct entry *entry_create(const struct settings *settings, const char *path, struct error *err);

/**
 * typedef entry_explain_fn - explain what would happen to a request
 * @body: description of the request, see net/codec_explain.h
 * @out: JSON is appended
 *
 * Return: HTTP status.
 */
typedef int (*entry_explain_fn)(struct entry *e, struct str body, struct buf *out);

/** entry_set_explainer - answer POST /explain on the metrics listener with @explain */
void entry_set_explainer(struct entry *e, entry_explain_fn explain);

/** entry_run - serve until a SIGTERM or SIGINT has led to a complete graceful shutdown */
void entry_run(struct entry *e);

/** entry_stop - start the same graceful shutdown that SIGTERM starts */
void entry_stop(struct entry *e, const char *why);
void entry_destroy(struct entry *e);

#endif
