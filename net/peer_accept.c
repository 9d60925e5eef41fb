#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "ibisgate/common/log.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/policy/memory_ledger.h"
#include "peer_accept.h"

#define MONITOR_ADDRESS "inproc://peer-accept"

int peer_accept_monitor(struct peer_accept *a, void *context, void *socket, int connections_max)
{
	int unbounded = 0;

	a->connections_max = connections_max;
	a->listen_fd = -1;
	if (zmq_socket_monitor(socket, MONITOR_ADDRESS,
			       ZMQ_EVENT_LISTENING | ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED))
		return -1;
	a->events = zmq_socket(context, ZMQ_PAIR);
	if (!a->events)
		return -1;
	/* libzmq's own thread blocks while this queue is full. */
	zmq_setsockopt(a->events, ZMQ_RCVHWM, &unbounded, sizeof(unbounded));
	return zmq_connect(a->events, MONITOR_ADDRESS);
}

/* Connections are taken off the queue here, too, so that libzmq's accept() may find none. */
static void listener_set(struct peer_accept *a, int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0 && fcntl(fd, F_SETFL, flags | O_NONBLOCK) == 0)
		a->listen_fd = fd;
	else
		log_error("peer-accept", "cause=listener error=%s", strerror(errno));
}

static void event_apply(struct peer_accept *a, uint16_t event, uint32_t value)
{
	if (event == ZMQ_EVENT_LISTENING)
		listener_set(a, (int)value);
	else if (event == ZMQ_EVENT_ACCEPTED)
		a->connections++;
	else if (event == ZMQ_EVENT_DISCONNECTED && a->connections)
		a->connections--;
}

/* Takes up one event: a frame with its number and value, and one with the address. */
static bool event_receive(struct peer_accept *a)
{
	uint8_t frame[sizeof(uint16_t) + sizeof(uint32_t)];
	uint16_t event;
	uint32_t value;

	if (zmq_recv(a->events, frame, sizeof(frame), ZMQ_DONTWAIT) != (int)sizeof(frame))
		return false;
	memcpy(&event, frame, sizeof(event));
	memcpy(&value, frame + sizeof(event), sizeof(value));
	zmq_recv(a->events, frame, sizeof(frame), 0);
	event_apply(a, event, value);
	return true;
}

/* Closes what the kernel has accepted; a peer tries again. */
static void backlog_refuse(struct peer_accept *a)
{
	int fd;

	while ((fd = accept4(a->listen_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		metric_add(METRIC_CLOSED_FOR_DESCRIPTORS, 1);
		close(fd);
	}
}

/*
 * A filter that drops everything applies to the listening socket only. Unbinding it would close the
 * established connections too.
 */
static int accept_pause(struct peer_accept *a)
{
	struct sock_filter drop = { .code = BPF_RET | BPF_K };
	struct sock_fprog program = { .len = 1, .filter = &drop };

	if (setsockopt(a->listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)))
		return -1;
	backlog_refuse(a);
	return 0;
}

static int accept_resume(struct peer_accept *a)
{
	int unused = 0;

	return setsockopt(a->listen_fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
}

static void accept_set_paused(struct peer_accept *a, bool paused)
{
	int rc = paused ? accept_pause(a) : accept_resume(a);

	if (rc) {
		log_error("peer-accept", "cause=no-filter connections=%d max=%d error=%s",
			  a->connections, a->connections_max, strerror(errno));
		/* A system without socket filters: there is no bound. */
		a->connections_max = 0;
		return;
	}
	a->is_paused = paused;
	if (paused)
		metric_add(METRIC_PEER_ACCEPT_PAUSES, 1);
	log_warn("peer-accept", "cause=%s connections=%d max=%d", paused ? "full" : "room",
		 a->connections, a->connections_max);
}

void peer_accept_step(struct peer_accept *a)
{
	bool paused;

	while (event_receive(a)) {
		paused = a->connections_max &&
			 peer_accept_is_paused(a->is_paused, a->connections, a->connections_max);
		if (paused != a->is_paused && a->listen_fd >= 0)
			accept_set_paused(a, paused);
	}
	metric_set(METRIC_PEER_CONNECTIONS, a->connections);
}

void peer_accept_stop(struct peer_accept *a, void *socket)
{
	if (!a->events)
		return;
	zmq_socket_monitor(socket, NULL, 0);
	zmq_close(a->events);
	a->events = NULL;
}
