#ifndef DAEMON_FRONT_IMPL_H
#define DAEMON_FRONT_IMPL_H

#include <civetweb.h>
#include <pthread.h>

#include "ibisgate/daemon/control.h"
#include "ibisgate/daemon/dispatch_use.h"
#include "ibisgate/policy/connection_crowd.h"
#include "ibisgate/policy/memory_ledger.h"

struct front_crowd;
struct front_slot;

/**
 * struct front - HTTP listener for callers; each of the open @connections occupies a thread
 * @crowd: what these connections do
 * @ledger: memory held for bodies, guarded by @ledger_lock
 */
struct front {
	struct gate *gate;
	struct mg_context *context;
	int port;
	_Atomic int connections;
	struct front_crowd *crowd;
	struct memory_ledger ledger;
	pthread_mutex_t ledger_lock;
};

/**
 * struct exchange - one HTTP request and its response
 * @call: request id and arrival time; after authentication also the organisation and options
 * @body: request body, owned
 * @body_held: memory taken for the body, in bytes
 * @slot: this connection among those that occupy threads
 * @body_read: the whole body was read from the connection, or there is none
 * @headers: additional response headers, "Name: value\r\n" each
 */
struct exchange {
	struct front *front;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	struct front_slot *slot;
	struct call call;
	struct buf body;
	int64_t body_held;
	bool body_read;
	struct buf headers;
};

/**
 * struct path - one resource of the HTTP interface
 * @is_prefix: the rest of the path is an argument
 * @is_public: no API key is required
 */
struct path {
	const char *path;
	const char *method;
	bool is_prefix;
	bool is_public;
	enum {
		PATH_HEALTH,
		PATH_READY,
		PATH_METRICS,
		PATH_MODELS,
		PATH_COMPLETIONS,
		PATH_CHAT,
		PATH_SERVICE
	} kind;
};

enum authentication {
	AUTH_OK,
	AUTH_REJECTED,
	AUTH_NO_CONFIG,
};

/* front.c */

/** path_find - resource that a path names; NULL when there is none */
const struct path *path_find(const char *uri);
bool path_allows(const struct path *p, const char *method);

/** organisation_read - set the organisation of @call by the hash of its API key */
enum authentication organisation_read(const struct gate *gate, const char *key_hash,
				      struct call *call);

/** gate_is_serving - whether requests of callers are taken */
bool gate_is_serving(const struct gate *gate);

/* front_reply.c */

/** reply_body - send a complete response */
void reply_body(struct exchange *x, int status, const char *type, struct str body);

/** reply_json - send a JSON response; takes over the reference to @value */
void reply_json(struct exchange *x, int status, json_t *value);

/** reply_outcome - send the error response for a request that failed with @o */
void reply_outcome(struct exchange *x, const struct outcome *o);

/** reply_invalid - send a 4xx response with the error type invalid_request; @param may be NULL */
void reply_invalid(struct exchange *x, int status, const char *code, const char *param,
		   const char *message);

/** error_json - {"error":{"message","type","code","param"}}; new reference */
json_t *error_json(const char *message, const char *type, const char *code, const char *param);

/** reply_stream_begin - send the headers of an SSE response; false on failure */
bool reply_stream_begin(struct exchange *x);

/** reply_stream - send part of an SSE response; an empty part ends it; false on failure */
bool reply_stream(struct exchange *x, struct str part);

/* front_body.c */

/** body_read - read the request body; false after an error response was sent */
bool body_read(struct exchange *x);

/** body_release - free the body and give back its memory */
void body_release(struct exchange *x);

/** reply_body_error - send the response for an error of request_parse() or request_json() */
void reply_body_error(struct exchange *x, const struct error *err, const char *param);

/* front_crowd.c */

/** front_crowd_create - table of the connections that occupy threads */
struct front_crowd *front_crowd_create(struct front *f);
void front_crowd_destroy(struct front_crowd *c);

/** front_crowd_watch - start the child that closes connections when threads run short */
void front_crowd_watch(struct front_crowd *c);

/** front_crowd_slot - slot of a thread; NULL if there are more than the settings say */
struct front_slot *front_crowd_slot(struct front_crowd *c);

/** front_crowd_begin - a head was read; false if the connection was closed and nothing may run */
bool front_crowd_begin(struct front_crowd *c, struct front_slot *slot,
		       const struct mg_request_info *info);

/**
 * front_slot_reset - the thread has taken a connection, or is without one
 *
 * Return: whether it had one, see front_slot_end().
 */
bool front_slot_reset(struct front_slot *slot);

/**
 * front_slot_enter - the connection is in another stage from now on
 *
 * Return: CROWD_KEEP, or why its body was given up before.
 */
enum crowd_verdict front_slot_enter(struct front_slot *slot, enum connection_stage stage);

/**
 * front_slot_received - the body that is being read has @bytes so far
 *
 * Return: CROWD_KEEP, or why the body was given up; nothing more is read then.
 */
enum crowd_verdict front_slot_received(struct front_slot *slot, size_t bytes);

/** front_slot_end - the connection is being closed; @info may be NULL */
void front_slot_end(struct front_slot *slot, const struct mg_request_info *info);

/* front_generate.c */

/** generate_handle - serve a completion request */
void generate_handle(struct exchange *x, bool chat);

#endif
