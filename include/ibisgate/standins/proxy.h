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

/* Sides of a connection; data read from a side flows in the direction of the same number. */
enum proxy_side {
	SIDE_CLIENT,
	SIDE_TARGET,
	SIDE_COUNT,
};

/** struct segment - bytes on their way; a segment without bytes is the end of the direction */
struct segment {
	struct segment *next;
	int64_t release_us;
	size_t len, off;
	char data[];
};

struct conn;

/** struct watch - what an epoll event points to */
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

/** struct conn - one proxied connection; [side] or [direction] of data read from that side */
struct conn {
	struct conn *next;
	struct route *route;
	enum proxy_mode mode;
	int64_t delay_us;
	bool connected, closed;
	int fds[SIDE_COUNT];
	struct watch watches[SIDE_COUNT];
	uint32_t interest[SIDE_COUNT];
	bool watched[SIDE_COUNT];
	bool blocked[SIDE_COUNT]; /* a write to this side would block */
	bool eof[SIDE_COUNT];
	bool ended[SIDE_COUNT]; /* the end was passed on */
	bool discarded[SIDE_COUNT]; /* bytes were lost, so the direction stays silent */
	struct segment *head[SIDE_COUNT], **tail[SIDE_COUNT];
	size_t queued[SIDE_COUNT];
};

/**
 * struct route - one listener and its target
 * @hold_fd: bound but not listening; keeps the port while a cut closes the listener
 * @down: the target refuses connections, so the route refuses them too
 */
struct route {
	struct route *next;
	char name[64];
	struct sockaddr_in target;
	int port;
	int hold_fd, listen_fd;
	bool down;
	struct watch watch;
	enum proxy_mode mode;
	int64_t delay_us;
	int64_t accepted;
};

/** struct proxy - all state, guarded by @lock; the loop releases it only while it waits */
struct proxy {
	pthread_mutex_t lock;
	int epoll_fd, wake_fd;
	struct watch wake;
	struct route *routes;
	struct conn *conns, *dead;
	int64_t checked_us;
	atomic_bool stopping;
};

int proxy_init(struct proxy *p);
void *proxy_run(void *proxy);
void proxy_wake(struct proxy *p);

/**
 * proxy_target_check - look whether the target of @r takes connections
 *
 * A route to a target that refuses connections stops listening, so that clients are refused as they
 * would be without the proxy. Called with the lock held.
 */
void proxy_target_check(struct proxy *p, struct route *r);

/** proxy_target_parse - parse "IP:PORT" */
bool proxy_target_parse(struct str s, struct sockaddr_in *out);

/** proxy_route_set - add a route or move its target; Return: its port, or -1 */
int proxy_route_set(struct proxy *p, struct str name, const struct sockaddr_in *target);

/**
 * struct proxy_fault - change of one or all routes
 * @mode: -1 leaves the mode
 * @delay_us: -1 leaves the delay
 * @existing_only: connections that open later are not affected
 */
struct proxy_fault {
	const char *route;
	int mode;
	int64_t delay_us;
	bool existing_only;
};

/** proxy_fault_set - apply a fault; Return: number of routes it matched */
int proxy_fault_set(struct proxy *p, const struct proxy_fault *f);

/* proxy_conn.c: the caller holds the lock. */
void conn_accept(struct proxy *p, struct route *r);
void conn_event(struct proxy *p, struct conn *c, enum proxy_side side, uint32_t events);
void conn_close(struct proxy *p, struct conn *c);
void conn_fault(struct proxy *p, struct conn *c, const struct proxy_fault *f);

/** conn_flush - send what is due; Return: time of the next segment, or INT64_MAX */
int64_t conn_flush(struct proxy *p, struct conn *c, int64_t now);

#endif
