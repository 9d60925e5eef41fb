#ifndef IBISGATE_NET_PEER_ACCEPT_H
#define IBISGATE_NET_PEER_ACCEPT_H

#include <stdbool.h>

/**
 * struct peer_accept - bound on the connections that peers hold to a listening ZeroMQ socket
 * @events: receives the monitor's events
 * @listen_fd: listening socket, owned by libzmq; -1 until it is known
 * @connections_max: connections at which accepting pauses; 0 for no bound
 * @connections: accepted and not closed yet
 * @is_paused: the kernel drops what would open a connection
 */
struct peer_accept {
	void *events;
	int listen_fd;
	int connections_max;
	_Atomic int connections;
	bool is_paused;
};

/**
 * peer_accept_monitor - count the connections of @socket, which is not bound yet
 *
 * Return: 0; -1 if the monitor can't be started.
 */
int peer_accept_monitor(struct peer_accept *a, void *context, void *socket, int connections_max);

/**
 * peer_accept_step - take up the monitor's events, and pause or resume accepting
 *
 * Called when @events is readable, by the thread that uses the socket.
 */
void peer_accept_step(struct peer_accept *a);

/** peer_accept_stop - stop counting; called before @socket is closed */
void peer_accept_stop(struct peer_accept *a, void *socket);

#endif
