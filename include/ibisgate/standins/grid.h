#ifndef IBISGATE_STANDINS_GRID_H
#define IBISGATE_STANDINS_GRID_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/standins/common.h"

/*
 * Stand-in for a platform that keeps its state in a row store. One process runs the store, the
 * engines and the plain services, each on its own port, and injects the faults that a test selects.
 */

#define GRID_NODES_MAX 32
#define GRID_ROWS_MAX 512
#define GRID_RUNS_MAX 20000
#define GRID_ERA_FIELD_MAX 96

enum grid_fault {
	GRID_FAULT_NONE,
	/* Reports overload and replies that the request was not executed. */
	GRID_FAULT_FULL,
	/* Executes the request and closes the connection without a response. */
	GRID_FAULT_LOSE_RESPONSE,
	/* Sends a body that is shorter than its Content-Length. */
	GRID_FAULT_TRUNCATE_BODY,
	/* Holds the request without sending a response. */
	GRID_FAULT_SILENT,
	/* Sends bytes that are not an HTTP response. */
	GRID_FAULT_MALFORMED,
	/* Sends two responses, the first with the id of another request. */
	GRID_FAULT_EXTRA_RESPONSE,
	/* Closes the connection in the middle of the third event of a stream. */
	GRID_FAULT_CUT_STREAM,
	/* Responds with status 500 and the node's signature. */
	GRID_FAULT_ERROR,
	/* Replies that its address now belongs to another instance. */
	GRID_FAULT_MOVED,
	/* Omits the third event of a stream. */
	GRID_FAULT_SKIP_EVENT,
};

/**
 * struct grid_node - an engine or a plain service
 * @advertised_address: address in the node's entry, e.g. that of a proxy in front of the node; ""
 *	advertises the node's own address
 * @fault: fault injected into the next @fault_requests_left requests (-1: into all)
 * @event_interval_ms: pause before each event of a stream
 * @extra_headers: header lines added to each response to a request, each ending with CR LF
 * @control_headers: the same for responses to reads of reports and cache events and to orders
 * @control_status: status of the responses to reads of cache events; 0 for 200
 * @memory_tokens: the engine crashes when the streams that it holds need more tokens; 0 for never
 * @held_tokens: what they need now
 * @boot_count: number of crashes, after each of which a new process registers
 * @order_count: number of accepted orders; the next order must carry it as its precondition
 */
struct grid_node {
	struct grid *grid;
	struct mg_context *http;
	char id[32];
	char service[32];
	char dc[32];
	bool is_engine;
	char stage[16];
	int port;
	char advertised_address[32];
	enum grid_fault fault;
	int fault_requests_left;
	int64_t event_interval_ms;
	char extra_headers[96];
	char control_headers[96];
	int control_status;
	int64_t memory_tokens;
	int64_t held_tokens;
	int boot_count;
	int order_count;
};

struct grid_row {
	char table[32];
	char key[64];
	char *value;
	int64_t version;
	bool deleted;
};

/**
 * struct grid_write - one write to the store, kept for going back to an older copy
 * @row: index of the row
 * @value: NULL when the row was deleted
 * @at_ms: time on the boot-time clock
 */
struct grid_write {
	int row;
	char *value;
	int64_t version;
	int64_t at_ms;
};

/**
 * struct grid_run - record of a request that a node started to execute or refused as full, or of an
 *	order it received
 * @recorded_ms: time on the boot-time clock
 * @organisation: name of the caller's organisation that the request carries; "" without one
 * @has_key: the request carries a field for an API key
 * @cancelled: the client closed the connection before the stream ended
 */
struct grid_run {
	char node[32];
	char id[64];
	char kind[16];
	char detail[128];
	char organisation[64];
	bool has_key;
	int64_t recorded_ms;
	bool cancelled;
};

enum grid_store_mode {
	GRID_STORE_UP,
	GRID_STORE_BUSY,
	GRID_STORE_RESET,
};

/**
 * enum grid_api_mode - how the platform's interface answers
 * @GRID_API_LOSE_ANSWER: a call takes effect, and the connection is closed without an answer
 */
enum grid_api_mode {
	GRID_API_UP,
	GRID_API_BUSY,
	GRID_API_LIMITED,
	GRID_API_LOSE_ANSWER,
};

/**
 * struct grid - state of the stand-in, guarded by @lock
 * @oldest_version: a feed that starts before this version gets status 410
 * @writes: all writes that the store has, in their order
 * @era: number of the copy that the store runs on, told in the field Store-Era; 0 for a store
 *	that has no eras
 * @era_text: value of Store-Era in place of @era, unless it is ""
 * @fault: fault injected into the next @fault_requests_left requests, whichever nodes receive them
 * @deadly_part: an engine crashes when it begins to answer a request whose prompt has this part; ""
 *	for none
 * @deadly_target: the same for any node and requests whose target contains this text
 * @api_calls: calls to the platform's interface, in the order of their arrival; NULL before the
 *	first
 */
struct grid {
	pthread_mutex_t lock;
	pthread_cond_t rows_changed;
	struct grid_row rows[GRID_ROWS_MAX];
	int row_count;
	int64_t version;
	int64_t oldest_version;
	enum grid_store_mode mode;
	struct grid_write *writes;
	int write_count;
	int write_cap;
	int64_t era;
	char era_text[64];
	int64_t store_calls;
	struct grid_node nodes[GRID_NODES_MAX];
	int node_count;
	struct grid_run *runs;
	int run_count;
	int handle_count;
	enum grid_fault fault;
	int fault_requests_left;
	char deadly_part[32];
	char deadly_target[32];
	enum grid_api_mode api_mode;
	json_t *api_calls;
};

/** grid_store_handle - handle one request to the store */
int grid_store_handle(struct mg_connection *conn, void *ctx);

/** grid_api_handle - handle one call to the platform's interface */
int grid_api_handle(struct mg_connection *conn, void *ctx);

/**
 * grid_row_put - write a row, or delete it if @value is NULL; the caller holds the lock
 *
 * Return: false, without a change, when GRID_ROWS_MAX rows exist and this is another.
 */
bool grid_row_put(struct grid *g, const char *table, const char *key, const char *value);

/** grid_write_record - keep the row's newest write; the caller holds the lock */
void grid_write_record(struct grid *g, const struct grid_row *r);

/**
 * grid_drill_start - take the store away and bring it back from an older copy
 * @req: {"age_ms": age of the copy when the store goes away, "away_ms": time until it is back,
 *	"rewrite_ms": time from then on until operator and workers write their lost rows again}
 *
 * The store then answers in the next era; the versions since the copy are given out again, and
 * rows of other tables than the operator's and the workers' stay lost.
 */
void grid_drill_start(struct grid *g, const json_t *req);

/** grid_era_field - header line of the era, "" without one; the caller holds the lock */
void grid_era_field(const struct grid *g, char out[GRID_ERA_FIELD_MAX]);

/** grid_node_handle - handle one request to a node */
int grid_node_handle(struct mg_connection *conn, void *ctx);

/** grid_node_register - write the node's entry into the store; the caller holds the lock */
void grid_node_register(struct grid_node *n, const char *state);

#endif
