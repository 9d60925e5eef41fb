#ifndef IBISGATE_DAEMON_DISPATCH_H
#define IBISGATE_DAEMON_DISPATCH_H

#include <jansson.h>

#include "ibisgate/daemon/gate.h"

/**
 * dispatch_create - create the data plane of @gate: admission queues, routing, links
 *
 * Return: the data plane; NULL with @err.
 */
struct dispatch *dispatch_create(struct gate *gate, struct error *err);

/**
 * dispatch_start - start the threads that poll engines and admit waiting requests
 *
 * They use the control plane, so it must exist.
 */
void dispatch_start(struct dispatch *d);
void dispatch_destroy(struct dispatch *d);

/** front_create - start the HTTP listener for callers; NULL with @err */
struct front *front_create(struct gate *gate, struct error *err);

/** front_port - TCP port that the listener is bound to */
int front_port(const struct front *f);

/** front_stop - close the listener and its connections; no request is in progress afterwards */
void front_stop(struct front *f);

/** front_destroy - free a stopped listener; the supervisor's children have ended */
void front_destroy(struct front *f);

/**
 * front_explain - explain where a described request would go now, without sending it
 * @body: see net/codec_explain.h
 * @out: set to a new reference to the answer
 *
 * Return: HTTP status.
 */
int front_explain(struct front *f, struct str body, json_t **out);

/** dispatch_status - {"queued","admitted","organisations":[...]} as a new reference */
json_t *dispatch_status(struct dispatch *d);

#endif
