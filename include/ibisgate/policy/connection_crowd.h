#ifndef IBISGATE_POLICY_CONNECTION_CROWD_H
#define IBISGATE_POLICY_CONNECTION_CROWD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum connection_stage - what a connection that needs a thread of the listener is doing
 * @CONNECTION_WAITING: it is idle, or its next head is incomplete
 * @CONNECTION_BODY: a body is being read
 * @CONNECTION_SERVED: a complete request is being answered
 * @CONNECTION_ENDING: the last answer was sent, and what still arrives is dropped
 */
enum connection_stage {
	CONNECTION_WAITING,
	CONNECTION_BODY,
	CONNECTION_SERVED,
	CONNECTION_ENDING,
};

/**
 * enum crowd_verdict - what becomes of a connection
 * @CROWD_KEEP: it stays
 * @CROWD_SLOW_BODY: its body is given up because it arrives too slowly
 * @CROWD_SILENT_BODY: its body is given up because nothing of it arrives
 * @CROWD_WAITING: closed without a request
 * @CROWD_ENDING: closed for good after its last answer
 *
 * Of two connections, the one with the higher verdict is closed first.
 */
enum crowd_verdict {
	CROWD_KEEP,
	CROWD_SLOW_BODY,
	CROWD_SILENT_BODY,
	CROWD_WAITING,
	CROWD_ENDING,
};

/**
 * struct crowd_limits - limits of the listener
 * @threads: connections that it reads or serves at the same time
 * @body_max_bytes: largest body
 * @request_timeout_ms: time in which a body has to arrive
 */
struct crowd_limits {
	int threads;
	int64_t body_max_bytes;
	int64_t request_timeout_ms;
};

/**
 * struct crowd_connection - one accepted connection
 * @descriptor: its socket
 * @age_ms: time in this stage
 * @silent_ms: time since its last bytes arrived
 * @received_bytes: of the body that is being read
 * @has_unread: bytes have arrived that no thread has read yet
 * @verdict: set by crowd_decide()
 */
struct crowd_connection {
	int descriptor;
	enum connection_stage stage;
	int64_t age_ms;
	int64_t silent_ms;
	int64_t received_bytes;
	bool has_unread;
	enum crowd_verdict verdict;
};

/** crowd_is_short - whether so many connections are open that threads have to be freed */
bool crowd_is_short(const struct crowd_limits *l, int open);

/**
 * crowd_decide - choose the connections to close
 * @c: all accepted connections; those to close are moved to the front, with their verdicts
 *
 * Load: connections that send nothing, half a head or part of a body and stay open, more than there
 * are threads, beside ordinary requests. Never chosen: a connection whose request is complete, and
 * one with bytes that wait for a thread, since these may be an ordinary request.
 *
 * Return: their number.
 */
int crowd_decide(const struct crowd_limits *l, struct crowd_connection *c, int count);

#endif
