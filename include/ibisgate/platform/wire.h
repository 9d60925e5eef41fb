#ifndef IBISGATE_PLATFORM_WIRE_H
#define IBISGATE_PLATFORM_WIRE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/net/http_message.h"
#include "ibisgate/state/directory.h"

/*
 * Messages between callers, this process and endpoints in the platform's formats. Functions here
 * translate; they decide nothing.
 */

#define WIRE_PARTS_MAX 16
#define WIRE_ID_MAX 80

/** Field by which a response names the request that it answers. */
extern const char *const wire_request_id_field;

/** struct prompt_part - one part of a prompt, in order; @id is equal for equal content */
struct prompt_part {
	uint64_t id;
	int64_t tokens;
};

/**
 * struct inbound_request - a caller's request as decoded from its head
 * @id: differs between the caller's own retries
 * @wait_ms: how long the caller will wait; 0 when it doesn't say
 * @prompt_tokens: tokens of the whole prompt; 0 when the request is no generation
 * @output_tokens: greatest number of tokens to generate
 * @output_hint: the caller's own estimate of that number; 0 when it gives none
 * @resume_from: last event that the caller has from an earlier answer; -1 for none
 */
struct inbound_request {
	char id[WIRE_ID_MAX];
	char model[WIRE_ID_MAX];
	int64_t wait_ms;
	int64_t prompt_tokens;
	int64_t output_tokens;
	int64_t output_hint;
	int64_t resume_from;
	struct prompt_part parts[WIRE_PARTS_MAX];
	int part_count;
};

/** wire_request_decode - false when the request carries no id */
bool wire_request_decode(const struct http_head *head, struct inbound_request *out);

enum wire_work {
	/* The endpoint runs the request. */
	WIRE_WORK_RUN,
	/* The engine fills its KV cache from the prompt and keeps it for another engine. */
	WIRE_WORK_PREFILL,
};

/**
 * struct outbound_request - what this process adds to a request that it passes on
 * @remaining_ms: time that the endpoint may still spend
 * @expected_id: the only endpoint that may run it
 * @urgency: 0 (first) to 9; -1 leaves it to the endpoint
 * @resume_from: last event that the caller has been given; -1 keeps what the caller sent
 * @cache_source: "IP:PORT/HANDLE" of a filled KV cache to take over, or NULL
 * @fetch_from: "IP:PORT" of an engine to copy cached parts from, or NULL
 */
struct outbound_request {
	enum wire_work work;
	int64_t remaining_ms;
	const char *expected_id;
	int urgency;
	int64_t resume_from;
	const char *cache_source;
	const char *fetch_from;
};

/** wire_request_encode - append the request to pass on; hop-by-hop and own fields are replaced */
void wire_request_encode(struct buf *out, const struct http_head *head, struct str body,
			 const struct outbound_request *add);

/**
 * struct endpoint_response - head of an endpoint's response
 * @identified: names the request that it answers
 * @signed_by_endpoint: carries the signature that shows which endpoint made it
 * @not_run: the endpoint states that it has not run the request
 * @other_instance: the address now belongs to another endpoint
 * @encoded: the body is in a content coding, so it isn't the endpoint's own
 */
struct endpoint_response {
	int status;
	bool identified;
	bool signed_by_endpoint;
	bool not_run;
	bool other_instance;
	bool encoded;
	bool event_stream;
};

void wire_response_decode(const struct http_head *head, struct endpoint_response *out);

/**
 * wire_response_encode - append the head of an endpoint's response for the caller
 * @length: body length, or -1 for chunks
 * @close: announce the end of the connection
 */
void wire_response_encode(struct buf *out, const struct http_head *head, int64_t length,
			  bool close);

/**
 * struct own_answer - an answer that this process makes itself
 * @retry_after_ms: when another try is worth while; -1 for none
 */
struct own_answer {
	int status;
	const char *request_id;
	const char *reason;
	int64_t retry_after_ms;
	bool close;
};

void wire_answer_encode(struct buf *out, const struct own_answer *a);

/** wire_handle_decode - "kvHandle" of a filled cache; false when the body holds none */
bool wire_handle_decode(struct str body, char *handle, size_t size);

/** wire_handle_drop - append the call that frees a filled cache */
void wire_handle_drop(struct buf *out, const char *address, const char *handle);

/**
 * struct engine_report - load of an engine, some hundred milliseconds old
 * @kv_used: tokens of memory in use that cannot be given up
 */
struct engine_report {
	enum engine_stage stage;
	int queued;
	int active;
	int64_t kv_used;
	int64_t kv_total;
	int64_t order_seq;
	bool busy;
};

void wire_report_request(struct buf *out, const char *address);
bool wire_report_decode(struct str body, struct engine_report *out);

/**
 * struct stage_order - tells an engine to change its stage
 * @expected_id: the only engine that may take it
 * @holder: instance that gives it
 * @fencing: number of the lease under which it is given
 * @order_seq: orders that the engine must have accepted before
 */
struct stage_order {
	const char *address;
	const char *expected_id;
	enum engine_stage stage;
	const char *holder;
	int64_t fencing;
	int64_t order_seq;
};

void wire_order_encode(struct buf *out, const struct stage_order *o);

/** struct cache_event - a change of what an engine keeps; @tokens: kept now, 0 when given up */
struct cache_event {
	uint64_t part;
	int64_t tokens;
};

/**
 * struct cache_events - changes in order
 * @epoch: differs after a restart of the engine
 * @next: where the next call goes on
 * @lost: earlier changes are no longer known there
 */
struct cache_events {
	char epoch[WIRE_ID_MAX];
	int64_t next;
	bool lost;
	struct cache_event *events;
	int count;
};

/** wire_cache_request - append a call for the changes of an engine's cache after @since */
void wire_cache_request(struct buf *out, const char *address, int64_t since);

/** wire_cache_decode - false when the body is no list of changes; free with wire_cache_free() */
bool wire_cache_decode(struct str body, struct cache_events *out);
void wire_cache_free(struct cache_events *e);

/** wire_ready_path - whether a call of the platform asks for readiness */
bool wire_ready_path(const struct http_head *head);

#endif
