#ifndef IBISGATE_STANDINS_GRID_H
#define IBISGATE_STANDINS_GRID_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/standins/common.h"

/*
 * Stand-in for the platform with a store of rows: the store, engines and plain services in one
 * process, each on a port of its own, with faults that a test switches on.
 */

#define GRID_NODES_MAX 32
#define GRID_ROWS_MAX 512
#define GRID_RUNS_MAX 20000

enum grid_fault {
	GRID_OK,
	/* Says that it is full and has not run the request. */
	GRID_FULL,
	/* Runs the request and resets the connection instead of answering. */
	GRID_LOSE_ANSWER,
	/* Answers with a body shorter than announced. */
	GRID_TRUNCATE,
	/* Never answers. */
	GRID_SILENT,
	/* Answers with bytes that are no response. */
	GRID_GARBLE,
	/* Answers twice, the first time with the id of another request. */
	GRID_EXTRA,
	/* Resets the connection inside the third event of a stream. */
	GRID_CUT_STREAM,
	/* Answers 500 with its signature. */
	GRID_ERROR,
	/* Says that another instance has its address. */
	GRID_MOVED,
	/* A stream that leaves out its third event. */
	GRID_SKIP_EVENT,
};

/**
 * struct grid_node - an engine or a plain service
 * @advertised: address in its entry, e.g. of a proxy before it; "" for its own
 * @fault: how it misbehaves, for the next @fault_left requests (-1: for all)
 * @event_ms: pause between two events of a stream
 */
struct grid_node {
	struct grid *grid;
	struct mg_context *http;
	char id[32];
	char service[32];
	char dc[32];
	bool engine;
	char stage[16];
	int port;
	char advertised[32];
	enum grid_fault fault;
	int fault_left;
	int64_t event_ms;
	int orders;
};

struct grid_row {
	char table[32];
	char key[64];
	char *value;
	int64_t version;
	bool deleted;
};

/**
 * struct grid_run - a request that a node began to work on, or an order that it took
 * @at_ms: on the boot-time clock
 */
struct grid_run {
	char node[32];
	char id[64];
	char work[16];
	char detail[128];
	int64_t at_ms;
	bool cancelled;
};

enum grid_store_mode {
	GRID_STORE_UP,
	GRID_STORE_BUSY,
	GRID_STORE_RESET,
};

/** struct grid - @fault: of whichever node is asked next, for @fault_left requests in all */
struct grid {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct grid_row rows[GRID_ROWS_MAX];
	int row_count;
	int64_t version;
	int64_t oldest;
	enum grid_store_mode mode;
	int64_t store_calls;
	struct grid_node nodes[GRID_NODES_MAX];
	int node_count;
	struct grid_run *runs;
	int run_count;
	int handles;
	enum grid_fault fault;
	int fault_left;
};

/** grid_store_handle - one call to the store */
int grid_store_handle(struct mg_connection *conn, void *ctx);

/** grid_row_put - write a row; @value NULL deletes it; the caller holds the lock */
void grid_row_put(struct grid *g, const char *table, const char *key, const char *value);

/** grid_node_handle - one request at a node */
int grid_node_handle(struct mg_connection *conn, void *ctx);

/** grid_node_register - write the node's entry into the store; the caller holds the lock */
void grid_node_register(struct grid_node *n, const char *state);

#endif
