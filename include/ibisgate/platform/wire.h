#ifndef IBISGATE_PLATFORM_WIRE_H
#define IBISGATE_PLATFORM_WIRE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/net/http_message.h"
#include "ibisgate/state/directory.h"

/*
 * Encoders and decoders for the platform's message formats, used between callers, this process and
 * endpoints. The functions here only translate; they make no routing decisions.
 */

#define WIRE_PARTS_MAX 16
#define WIRE_ID_MAX 80

/** Header field that carries the request id; a response repeats the id of its request. */
extern const char *const wire_request_id_field;

/**
 * struct prompt_part - one part of a prompt, in prompt order; parts with equal content have equal
 * ids
 */
struct prompt_part {
	uint64_t id;
	int64_t tokens;
};

/**
 * struct inbound_request - a caller's request as decoded from its head
 * @id: request id; each retry by the caller has a new one
 * @wait_ms: how long the caller will wait; 0 when it gives no limit
 * @prompt_tokens: tokens of the whole prompt; 0 when the request is not a generation
 * @output_tokens: maximum number of tokens to generate
 * @output_hint: the caller's own estimate of the output length in tokens; 0 when it gives none
 * @resume_from: id of the last event that the caller received from an earlier answer; -1 for none
 * @api_key: the caller's API key, a view into the head that must not be logged; empty without one
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
	struct str api_key;
};

/** wire_part_id - id of a part of a prompt from its text */
uint64_t wire_part_id(struct str text);

/** wire_request_decode - decode a caller's request; false when it carries no request id */
bool wire_request_decode(const struct http_head *head, struct inbound_request *out);

enum wire_work {
	/* The endpoint runs the whole request. */
	WIRE_WORK_RUN,
	/*
	 * The engine fills its KV cache from the prompt and holds it for another engine to fetch.
	 */
	WIRE_WORK_PREFILL,
};

/**
 * struct outbound_request - what this process adds to a request that it forwards
 * @remaining_ms: time that the endpoint may still spend
 * @expected_id: id of the only endpoint that may run the request
 * @priority: 0 (highest) to 9; -1 leaves it to the endpoint
 * @resume_from: id of the last event sent to the caller; -1 keeps the value that the caller sent
 * @kv_source: "IP:PORT/HANDLE" of a filled KV cache to take over, or NULL
 * @fetch_from: "IP:PORT" of an engine to copy cached prompt parts from, or NULL
 * @hides_caller: the caller's API key and what it says of its organisation are dropped
 * @organisation: with @hides_caller, name of the caller's organisation, or NULL
 */
struct outbound_request {
	enum wire_work work;
	int64_t remaining_ms;
	const char *expected_id;
	int priority;
	int64_t resume_from;
	const char *kv_source;
	const char *fetch_from;
	bool hides_caller;
	const char *organisation;
};

/**
 * wire_request_encode - append the request to forward
 *
 * Hop-by-hop fields and fields that only this process may set are dropped and replaced.
 */
void wire_request_encode(struct buf *out, const struct http_head *head, struct str body,
			 const struct outbound_request *add);

/**
 * struct endpoint_response - head of an endpoint's response
 * @has_request_id: it names the request that it answers
 * @has_signature: it carries the signature that shows which endpoint produced it
 * @not_run: the endpoint states that it has not run the request
 * @wrong_instance: the address now belongs to another endpoint
 * @leaving: the endpoint leaves and wants no further requests
 * @retry_after_ms: a refusal's time until the endpoint wants requests again, in milliseconds; -1
 *   when it gives none
 * @has_content_encoding: the body has a content coding, so the endpoint itself didn't produce it
 */
struct endpoint_response {
	int status;
	bool has_request_id;
	bool has_signature;
	bool not_run;
	bool wrong_instance;
	bool leaving;
	bool has_content_encoding;
	bool event_stream;
	int64_t retry_after_ms;
};

void wire_response_decode(const struct http_head *head, struct endpoint_response *out);

/*
 * Lengths of bodies besides numbers of bytes: sent in chunks; or there is none, and the head keeps
 * the length that the endpoint has announced.
 */
#define WIRE_LENGTH_CHUNKED (-1)
#define WIRE_LENGTH_NO_BODY (-2)

/**
 * wire_response_encode - append the head of an endpoint's response for the caller
 * @length: body length in bytes, WIRE_LENGTH_CHUNKED or WIRE_LENGTH_NO_BODY
 * @close: announce that the connection will be closed
 */
void wire_response_encode(struct buf *out, const struct http_head *head, int64_t length,
			  bool close);

/**
 * struct local_response - a response that this process generates itself
 * @retry_after_ms: value of the Retry-After field; -1 to leave it out
 * @no_body: it answers HEAD
 */
struct local_response {
	int status;
	const char *request_id;
	const char *reason;
	int64_t retry_after_ms;
	bool close;
	bool no_body;
};

void wire_local_response_encode(struct buf *out, const struct local_response *a);

/**
 * wire_handle_decode - read "kvHandle" of a filled KV cache
 *
 * Return: false when the body holds none, or one that can't stand in the head of a request.
 */
bool wire_handle_decode(struct str body, char *handle, size_t size);

/** wire_handle_delete_encode - append the request that frees a filled KV cache */
void wire_handle_delete_encode(struct buf *out, const char *address, const char *handle);

/**
 * struct engine_report - load of an engine, some hundred milliseconds old
 * @kv_used: tokens of KV cache memory in use that cannot be evicted
 * @order_seq: number of orders that the engine has accepted
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

void wire_report_request_encode(struct buf *out, const char *address);
bool wire_report_decode(struct str body, struct engine_report *out);

/**
 * struct stage_order - order for an engine to change its stage
 * @expected_id: id of the only engine that may accept the order
 * @holder: instance that issues the order
 * @fencing: fencing token of the lease under which the order is issued
 * @order_seq: number of orders that the engine must have accepted before this one
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

/**
 * struct cache_event - a change to what an engine caches
 * @tokens: tokens of @part cached now; 0 when it was evicted
 */
struct cache_event {
	uint64_t part;
	int64_t tokens;
};

/**
 * struct cache_events - changes in order
 * @epoch: changes when the engine restarts
 * @next: event number from which the next request continues
 * @lost: the engine no longer has the earlier changes
 */
struct cache_events {
	char epoch[WIRE_ID_MAX];
	int64_t next;
	bool lost;
	struct cache_event *events;
	int count;
};

/** wire_cache_request_encode - append a request for an engine's cache events after @since */
void wire_cache_request_encode(struct buf *out, const char *address, int64_t since);

/**
 * wire_cache_events_decode - decode a list of cache events; free with wire_cache_events_free()
 *
 * Return: false when the body is not a list of changes.
 */
bool wire_cache_events_decode(struct str body, struct cache_events *out);
void wire_cache_events_free(struct cache_events *e);

/** wire_is_ready_path - whether a request of the platform is a readiness check */
bool wire_is_ready_path(const struct http_head *head);

#endif
