#ifndef IBISGATE_POLICY_MEMORY_LEDGER_H
#define IBISGATE_POLICY_MEMORY_LEDGER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * enum ledger_purpose - what others make an instance hold
 * @LEDGER_CONNECTIONS: connections of callers, their heads and what they sent ahead
 * @LEDGER_BODIES: bodies of requests, and the copy that is sent to an endpoint
 * @LEDGER_ANSWERS: answers of endpoints that are collected
 * @LEDGER_UNREAD: answers that callers have not read
 * @LEDGER_PROBES: connections to the readiness and the metrics listener
 */
enum ledger_purpose {
	LEDGER_CONNECTIONS,
	LEDGER_BODIES,
	LEDGER_ANSWERS,
	LEDGER_UNREAD,
	LEDGER_PROBES,
	LEDGER_PURPOSES,
};

/* Body above which a request needs a grant to be read on, in bytes. */
#define LEDGER_SMALL_BODY (64 << 10)

/**
 * struct memory_ledger - memory that an instance holds for others
 * @limit: bytes that may be held in all
 * @held: bytes held, by purpose
 * @total: their sum
 */
struct memory_ledger {
	int64_t limit;
	int64_t held[LEDGER_PURPOSES];
	int64_t total;
};

/**
 * memory_ledger_init - size a ledger
 * @memory_mb: memory of the machine in MB; 0 when it is not known
 */
void memory_ledger_init(struct memory_ledger *l, int64_t memory_mb);

/** memory_ledger_set - a holder that held *@held bytes now holds @bytes */
void memory_ledger_set(struct memory_ledger *l, enum ledger_purpose purpose, int64_t *held,
		       int64_t bytes);

/**
 * memory_ledger_body_bytes - what an unfinished body of @received bytes takes before more of it is
 * read
 * @announced: its length; -1 if it was not announced
 *
 * The body is held until the request ends, since it may be repeated, and once more on its way to an
 * endpoint.
 */
int64_t memory_ledger_body_bytes(int64_t received, int64_t announced);

/**
 * memory_ledger_has_room - whether a body that holds @held may hold @bytes
 * @body_max: largest body that the configuration allows, in bytes
 *
 * Load: many large bodies at once. Part of the memory is kept for small requests and for answers,
 * so that ordinary requests are served meanwhile. A single largest body always has room.
 */
bool memory_ledger_has_room(const struct memory_ledger *l, int64_t held, int64_t bytes,
			    int64_t body_max);

/** memory_ledger_is_over - whether something has to be given up */
bool memory_ledger_is_over(const struct memory_ledger *l);

/**
 * memory_ledger_is_crowded - whether unfinished bodies and unused connections have to be given up
 *
 * Load: bodies and connections that take all memory before the answers of requests that have run.
 */
bool memory_ledger_is_crowded(const struct memory_ledger *l);

/** memory_ledger_answers_max - bytes of answers that may be collected at the same time */
int64_t memory_ledger_answers_max(const struct memory_ledger *l);

/**
 * struct unfinished_body - a body that is being read
 * @held_bytes: what it holds in the ledger
 * @received_bytes: received so far
 * @age_ms: time since its head was complete
 * @silent_ms: time for which nothing has arrived although it was read
 */
struct unfinished_body {
	int64_t held_bytes;
	int64_t received_bytes;
	int64_t age_ms;
	int64_t silent_ms;
};

/**
 * unfinished_body_cost - the unfinished body with the highest cost is given up first
 *
 * Load: bodies that stop short of their end and stay open, beside ordinary ones. A silent body
 * costs its memory times its silence, and more than any other; of the others, the one that has made
 * the least progress for its time goes first.
 */
double unfinished_body_cost(const struct unfinished_body *b);

/** unfinished_body_is_silent - whether nothing has arrived for longer than a lost packet explains
 */
bool unfinished_body_is_silent(const struct unfinished_body *b);

/**
 * memory_ledger_unread_max - bytes of one answer that may wait for its caller to read them while
 * the rest is still received from the endpoint
 *
 * Load: callers that read a byte a second, beside ordinary ones. In calm, a whole answer of common
 * size is received at once, so that its endpoint is done with it. The more all callers leave
 * unread, the sooner an endpoint is held back.
 */
int64_t memory_ledger_unread_max(const struct memory_ledger *l);

/**
 * memory_ledger_may_trickle - whether an answer that is held back is received on a little
 * @held_back_ms: time for which nothing was received from the endpoint
 *
 * An endpoint cuts off an answer that stays unread for some seconds.
 */
bool memory_ledger_may_trickle(const struct memory_ledger *l, int64_t held_back_ms);

/**
 * struct unread_answer - output that a caller has not read
 * @bytes: its size
 * @stalled_ms: time since the caller last read some of it, or since it was written
 */
struct unread_answer {
	int64_t bytes;
	int64_t stalled_ms;
};

/**
 * unread_answer_cost - the connection with the highest cost is closed first; 0 for one that stays
 *
 * Load: callers that read nothing, beside ordinary ones whose answer was just written. The request
 * of an answer has run, so that its caller may not repeat it. An answer stays for a second; only
 * while unread answers alone take half of the memory, a large one goes after 100 ms without
 * progress.
 */
double unread_answer_cost(const struct memory_ledger *l, const struct unread_answer *a);

/** connection_is_spare - whether one without a request for @age_ms may be closed for its memory */
bool connection_is_spare(int64_t age_ms);

/**
 * connections_max - connections of callers that an instance holds at most
 * @descriptors: descriptors of the machine
 *
 * Load: connections without end. Each request in progress needs a connection to an endpoint, too.
 */
int connections_max(int64_t descriptors);

/**
 * unused_connections_go_first - whether only those without a request are closed for a new one
 * @unused: connections on which no request has been complete
 * @max: connections_max()
 *
 * Load: clients that open connections without end and send nothing, beside callers that keep
 * theirs for the next request. A quarter is left to connections without a request, so that
 * newcomers aren't closed for each other.
 */
bool unused_connections_go_first(int unused, int max);

/**
 * connections_max_beside - connections_max() while peers hold @peer_connections
 *
 * Load: connections without end from peers. Those above a twentieth are taken from callers.
 */
int connections_max_beside(int64_t descriptors, int peer_connections);

/**
 * peer_connections_max - connections of peers that an instance accepts
 * @descriptors: descriptors of the machine
 *
 * A fleet of several hundred instances doesn't meet it, even if all of them connect to one whose
 * process has 1,024 descriptors.
 */
int peer_connections_max(int64_t descriptors);

/**
 * peer_accept_is_paused - whether no further connections of peers are accepted
 * @is_paused: whether none are now
 * @held: connections that peers hold
 * @max: peer_connections_max()
 *
 * Load: clients of the listener between instances that open connections without end and say
 * nothing. Accepting resumes when an eighth is free, so that it doesn't change with each one.
 */
bool peer_accept_is_paused(bool is_paused, int held, int max);

#endif
