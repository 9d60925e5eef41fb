#ifndef IBISGATE_NET_PEER_H
#define IBISGATE_NET_PEER_H

#include "ibisgate/net/codec.h"

/** enum peer_error - codes of layer ERROR_PEER */
enum peer_error {
	PEER_OK,
	PEER_BIND,
	PEER_KEYS,
};

/** struct peer_key - CURVE public key (Z85, 40 characters) that instance @id may use */
struct peer_key {
	const char *id;
	const char *key;
};

/**
 * struct peer_options - how a bus is set up; texts are copied, @keys is borrowed
 * @listen: "ip:port", port 0 lets the kernel choose
 * @curve_public: "" for no encryption; then any sender is admitted
 * @suspect_ms: a connection without confirmation for this time is replaced
 * @receive: called in the bus thread for each message; must not block; the message is only lent
 */
struct peer_options {
	const char *id;
	uint64_t incarnation;
	const char *listen;
	const char *curve_public;
	const char *curve_secret;
	const struct peer_key *keys;
	int key_count;
	int64_t suspect_ms;
	void (*receive)(void *ctx, const struct peer_message *m);
	void *ctx;
};

/** struct peer_bus - messages between instances: one bound ROUTER, one DEALER per peer */
struct peer_bus;

/** peer_bus_create - bind; the port is known on return; -1 codes PEER_BIND and PEER_KEYS */
struct peer_bus *peer_bus_create(const struct peer_options *options, struct error *err);
void peer_bus_destroy(struct peer_bus *bus);
int peer_bus_port(const struct peer_bus *bus);

/** peer_bus_run - body of the bus thread; returns 0 once child_stopping() */
int peer_bus_run(struct peer_bus *bus, struct error *err);

/**
 * peer_bus_send - send to @id at @address ("ip:port"); any thread, never blocks
 *
 * Fills sender, incarnation and clock. A message is dropped while the queue or the connection is
 * full: all senders repeat what matters.
 */
void peer_bus_send(struct peer_bus *bus, const char *id, const char *address,
		   struct peer_message *m);

/** struct peer_target - instance @id at @address ("ip:port"); borrowed texts */
struct peer_target {
	const char *id;
	const char *address;
};

/** peer_bus_send_all - as peer_bus_send() to @count instances, encoding the message once */
void peer_bus_send_all(struct peer_bus *bus, const struct peer_target *to, int count,
		       struct peer_message *m);

/** peer_bus_confirm - @id has said that it hears this instance; any thread */
void peer_bus_confirm(struct peer_bus *bus, const char *id);

#endif
