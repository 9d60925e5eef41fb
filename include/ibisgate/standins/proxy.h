#ifndef IBISGATE_STANDINS_PROXY_H
#define IBISGATE_STANDINS_PROXY_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"

enum proxy_mode {
	PROXY_PASS,
	PROXY_CUT,
	PROXY_SILENT,
	PROXY_SILENT_TO_TARGET,
	PROXY_SILENT_TO_CLIENT,
	PROXY_DROP_REPLIES,
};

/* Side of a connection; also the direction of the data that is read from this side. */
enum proxy_side {
	SIDE_CLIENT,
	SIDE_TARGET,
	SIDE_COUNT,
};

/**
 * struct segment - data queued for one direction; a segment of length 0 marks the end of the stream
 * @release_us: earliest time at which the segment is sent
 */
struct segment {
	struct segment *next;
	int64_t release_us;
	size_t len, off;
	char data[];
};

struct conn;

/** struct watch - source of an epoll event; the event's data points to it */
struct watch {
	enum watch_kind {
		WATCH_WAKE,
		WATCH_LISTEN,
		WATCH_CONN,
	} kind;
	struct route *route;
	struct conn *conn;
	enum proxy_side side;
};

/**
 * struct conn - one proxied connection
 * @interest: epoll events that are registered for each side
 * @write_blocked: a write to this side would block
 * @end_sent: the end of this direction was passed on
 * @discarded: data was discarded, so nothing more is sent in this direction
 * @queued_bytes: size of the queue of each direction
 *
 * The queues, @end_sent and @discarded are indexed by direction, the other arrays by side.
 */
struct conn {
	struct conn *next;
	struct route *route;
	enum proxy_mode mode;
	int64_t delay_us;
	bool connected, closed;
	int fds[SIDE_COUNT];
	struct watch watches[SIDE_COUNT];
	uint32_t interest[SIDE_COUNT];
	bool registered[SIDE_COUNT];
	bool write_blocked[SIDE_COUNT];
	bool eof[SIDE_COUNT];
	bool end_sent[SIDE_COUNT];
	bool discarded[SIDE_COUNT];
	struct segment *head[SIDE_COUNT], **tail[SIDE_COUNT];
	size_t queued_bytes[SIDE_COUNT];
};

/**
 * struct route - one listener and its target
 * @reserved_port_fd: bound but not listening; reserves the port while a cut closes the listener
 * @is_target_down: the target refuses connections, so the route refuses them too
 */
struct route {
	struct route *next;
	char name[64];
	struct sockaddr_in target;
	int port;
	int reserved_port_fd, listen_fd;
	bool is_target_down;
	struct watch watch;
	enum proxy_mode mode;
	int64_t delay_us;
	int64_t accepted;
};

/**
 * struct proxy - all state, guarded by @lock
 * @closed_conns: closed connections that the event loop frees after the current batch of events
 * @targets_checked_us: time of the last check of the targets that are down
 *
 * The event loop releases @lock only while it waits.
 */
struct proxy {
	pthread_mutex_t lock;
	int epoll_fd, wake_fd;
	struct watch wake;
	struct route *routes;
	struct conn *conns, *closed_conns;
	int64_t targets_checked_us;
	atomic_bool stopping;
};

int proxy_init(struct proxy *p);
void *proxy_thread_run(void *proxy);
void proxy_wake(struct proxy *p);

/**
 * proxy_target_check - check whether the target of @r accepts connections
 *
 * A route stops listening while its target refuses connections, so that clients are refused as they
 * would be without the proxy. The caller holds the lock.
 */
void proxy_target_check(struct proxy *p, struct route *r);

/** proxy_target_parse - parse "IP:PORT" */
bool proxy_target_parse(struct str s, struct sockaddr_in *out);

/** proxy_route_set - add a route or change its target; Return: the route's port, or -1 */
int proxy_route_set(struct proxy *p, struct str name, const struct sockaddr_in *target);

/**
 * struct proxy_fault - fault to inject into one or all routes
 * @route: name of the route, "*" for all
 * @mode: new enum proxy_mode, -1: unchanged
 * @delay_us: new delay, -1: unchanged
 * @existing_only: connections that are opened later are not affected
 */
struct proxy_fault {
	const char *route;
	int mode;
	int64_t delay_us;
	bool existing_only;
};

/** proxy_fault_set - apply a fault; Return: number of routes that it matched */
int proxy_fault_set(struct proxy *p, const struct proxy_fault *f);

/* proxy_conn.c: the caller holds the lock. */
void conn_accept(struct proxy *p, struct route *r);
void conn_event(struct proxy *p, struct conn *c, enum proxy_side side, uint32_t events);
void conn_close(struct proxy *p, struct conn *c);
void conn_apply_fault(struct proxy *p, struct conn *c, const struct proxy_fault *f);

/** conn_flush - send the segments that are due; Return: time of the next one, or INT64_MAX */
int64_t conn_flush(struct proxy *p, struct conn *c, int64_t now);

#endif
