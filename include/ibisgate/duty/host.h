#ifndef IBISGATE_DUTY_HOST_H
#define IBISGATE_DUTY_HOST_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/net/codec_report.h"
#include "ibisgate/net/http_collect.h"
#include "ibisgate/platform/store.h"
#include "ibisgate/state/store_era.h"

/* Table of the rows that instances share. */
#define DUTY_TABLE "ibisgate"

/**
 * enum duty_scope - which instances get a message
 * @DUTY_TO_DC: those of this data centre
 * @DUTY_TO_REMOTE: those of other data centres that this instance exchanges messages with
 */
enum duty_scope {
	DUTY_TO_DC,
	DUTY_TO_REMOTE,
	DUTY_TO_ALL,
};

/**
 * struct duty_message - numbers for other instances; see struct peer_report
 * @first: only the @first lowest names in the scope get it; 0 for all
 * @also: id of an instance that gets it besides, or ""
 */
struct duty_message {
	enum report_topic topic;
	enum duty_scope scope;
	int first;
	const char *also;
	const uint64_t *values;
	int count;
};

/** struct duty_sender - instance that a message came from; @is_remote: in another data centre */
struct duty_sender {
	const char *id;
	uint64_t incarnation;
	bool is_remote;
};

/**
 * struct duty_host - what the modules of duty/ use of the instance that they run in
 * @store: client for the platform's store; @store_name: its IP:PORT as sent in a request
 * @api: client for the platform's interface, NULL without one; @api_name: the same for it
 * @self: id of the instance
 * @incarnation: differs between processes that have run under this id
 * @lease_ms: within this time two holders mustn't act in turns, in milliseconds; 0 when the
 *	platform sets no bound
 * @calls_per_s: calls to the platform's interface that all instances may make in a second
 * @era: newest era of the store, see state/store_era.h
 * @answer_era: take note of the era of an answer of the store; negative when the answer must be
 *	treated as one that didn't arrive
 * @send: send a message to other instances, at once; it may be lost
 * @is_delegate: whether this instance passes messages on between data centres
 * @organisation_name: name of the organisation with a tag; empty when it isn't known
 * @ctx: argument of the functions
 */
struct duty_host {
	struct event_base *base;
	struct http_client *store;
	struct http_address store_address;
	char store_name[32];
	struct http_client *api;
	struct http_address api_address;
	char api_name[32];
	char self[48];
	uint64_t incarnation;
	int64_t lease_ms;
	double calls_per_s;
	const struct store_era *era;
	int64_t (*answer_era)(void *ctx, const struct http_result *r);
	void (*send)(void *ctx, const struct duty_message *m);
	bool (*is_delegate)(void *ctx);
	struct str (*organisation_name)(void *ctx, uint64_t tag);
	void *ctx;
};

/** duty_host_set_store - take the store's address from "http://IP:PORT"; false if malformed */
bool duty_host_set_store(struct duty_host *h, const char *url);

/** duty_host_set_api - take the interface's address from "IP:PORT"; false if malformed */
bool duty_host_set_api(struct duty_host *h, const char *address);

/**
 * duty_host_call_store - send a request to the store; counted as a read or write by its caller
 * @done: called once and never from within this function, unless the call is cancelled
 */
struct http_collect *duty_host_call_store(const struct duty_host *h, struct str request,
					  void (*done)(void *ctx, const struct http_result *r),
					  void *ctx);

/**
 * enum row_write - outcome of a conditional write of a row
 * @ROW_WRITE_UNCERTAIN: no answer; the write may have taken effect or may do so later
 */
enum row_write {
	ROW_WRITE_OK,
	ROW_WRITE_CONFLICT,
	ROW_WRITE_UNSENT,
	ROW_WRITE_UNCERTAIN,
};

/** row_write_result - outcome of a write; @version is set with ROW_WRITE_OK */
enum row_write row_write_result(const struct duty_host *h, const struct http_result *r,
				int64_t *version);

/**
 * row_read_result - rows of a read, to be freed with store_rows_free()
 *
 * Return: false when there is no answer that can be used.
 */
bool row_read_result(const struct duty_host *h, const struct http_result *r,
		     struct store_rows *rows);

#endif
