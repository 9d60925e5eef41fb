#ifndef IBISGATE_NET_PEER_H
#define IBISGATE_NET_PEER_H

#include "ibisgate/net/codec.h"

/** enum peer_error - error codes of layer ERROR_PEER */
enum peer_error {
	PEER_OK,
	PEER_BIND_FAILED,
	PEER_KEY_INVALID,
};

/**
 * struct peer_key - admitted CURVE public key
 * @id: instance that the key authenticates
 * @key: Z85 text of 40 characters
 */
struct peer_key {
	const char *id;
	const char *key;
};

/**
 * struct peer_options - settings of a bus; all texts are copied
 * @listen: "ip:port" to bind to; with port 0 the kernel chooses the port
 * @curve_public: own public key; with "" there is no encryption and any sender is admitted
 * @keys: admitted keys; not used after peer_bus_create()
 * @message_max_bytes: a connection that sends a larger message is closed; 0 for PEER_MESSAGE_MAX
 * @receive_queue: messages of one connection that are queued; 0 for 4096
 * @connections_max: connections of peers at which no further ones are accepted until some are
 *		     closed; 0 for no bound
 * @suspect_ms: a connection is replaced if its peer has not confirmed it for this time
 * @receive: called in the bus thread for each message; must not block; the bus frees the message
 *	     after the call
 */
struct peer_options {
	const char *id;
	uint64_t incarnation;
	const char *listen;
	const char *curve_public;
	const char *curve_secret;
	const struct peer_key *keys;
	int key_count;
	int64_t message_max_bytes;
	int receive_queue;
	int connections_max;
	int64_t suspect_ms;
	void (*receive)(void *ctx, const struct peer_message *m);
	void *ctx;
};

/**
 * struct peer_bus - message bus between instances
 *
 * It receives on one bound ROUTER socket and sends on one DEALER socket per peer.
 */
struct peer_bus;

/**
 * peer_bus_create - create a bus and bind its socket
 *
 * Return: a bus whose port is known; NULL with PEER_BIND_FAILED or PEER_KEY_INVALID.
 */
struct peer_bus *peer_bus_create(const struct peer_options *options, struct error *err);
void peer_bus_destroy(struct peer_bus *bus);
int peer_bus_port(const struct peer_bus *bus);

/** peer_bus_connections - connections that peers have opened; thread-safe */
int peer_bus_connections(const struct peer_bus *bus);

/**
 * peer_connect_ms - time in which a connection to a peer is set up before it is tried again
 * @last_ms: that of the connection before; 0 for the first one
 * @was_heard: the peer has confirmed the connection before
 */
int peer_connect_ms(int last_ms, bool was_heard);

/** peer_bus_run - main function of the bus thread; returns 0 once child_is_stopping() is true */
int peer_bus_run(struct peer_bus *bus, struct error *err);

/** peer_bus_wake - end the wait of peer_bus_run() for messages; thread-safe */
void peer_bus_wake(struct peer_bus *bus);

/**
 * peer_bus_send - send @m to instance @id at @address ("ip:port")
 *
 * Sets sender, incarnation and clock of @m. Thread-safe and never blocks. A message is dropped
 * while the queue or the connection is full, since senders repeat every message that matters.
 */
void peer_bus_send(struct peer_bus *bus, const char *id, const char *address,
		   struct peer_message *m);

/**
 * struct peer_target - destination of a message; the texts are borrowed
 * @id: instance id
 * @address: "ip:port"; a target with "" is skipped
 */
struct peer_target {
	const char *id;
	const char *address;
};

/** peer_bus_send_all - like peer_bus_send(), to @count instances; encodes the message once */
void peer_bus_send_all(struct peer_bus *bus, const struct peer_target *to, int count,
		       struct peer_message *m);

/**
 * peer_bus_confirm_peer - record that @id reports receiving messages of this instance
 *
 * Thread-safe. Keeps the connection to @id from being replaced.
 */
void peer_bus_confirm_peer(struct peer_bus *bus, const char *id);

#endif
