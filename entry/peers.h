#ifndef IBISGATE_ENTRY_PEERS_H
#define IBISGATE_ENTRY_PEERS_H

#include <pthread.h>

#include "ibisgate/net/peer.h"
#include "ibisgate/state/mesh.h"
#include "internal.h"

/*
 * peers.c holds the bus and its thread, the timer and what the other files ask; peers_take.c takes
 * in what other instances tell, peers_share.c tells them. All but the bus thread run on the loop.
 */

/* A message is sent at least this often, in milliseconds; also the heartbeat. */
#define SHARE_IDLE_MS 500

/** struct inbox_entry - message for the loop; @text of a handover, else @sharing */
struct inbox_entry {
	struct inbox_entry *next;
	char sender[MEMBER_ID_MAX];
	uint64_t incarnation;
	bool is_handover;
	struct buf text;
	struct peer_sharing sharing;
};

/**
 * struct peer_view - what one instance has told
 * @loads: its latest loads; of a delegate of another data centre those of all its instances
 * @summed: they are part of the sums of the endpoints
 * @far: of another data centre
 * @without_since_ms: it has no configuration since then; 0 when it has one
 */
struct peer_view {
	char id[MEMBER_ID_MAX];
	int64_t heard_ms;
	int64_t without_since_ms;
	bool summed;
	bool far;
	int count;
	struct shared_load *loads;
};

/**
 * struct peers - exchange with the other instances
 * @lock: guards @first, @last and @waiting, which the bus thread fills
 * @wake: event descriptor that tells the loop of new messages
 * @suspects: counted since the last message
 * @parts: sent to engines since the last message
 * @summed_ms: when the loads of all were summed last
 * @far_ms: when the instances of other data centres were told last
 * @far_suspects: counted since then
 * @most: greatest number of instances heard at the same time, this one included
 */
struct peers {
	struct entry *entry;
	struct peer_bus *bus;
	struct supervisor *supervisor;
	struct mesh *mesh;
	uint64_t incarnation;
	pthread_mutex_t lock;
	struct inbox_entry *first;
	struct inbox_entry **last;
	int waiting;
	int wake;
	struct event *wake_event;
	struct event *timer;
	int64_t sent_ms;
	bool changed;
	int suspect_count;
	struct shared_suspect suspects[SHARING_SUSPECTS_MAX];
	int part_count;
	struct shared_part parts[SHARING_PARTS_MAX];
	int64_t summed_ms;
	int64_t far_ms;
	int far_suspect_count;
	struct shared_suspect far_suspects[SHARING_SUSPECTS_MAX];
	struct peer_view *views;
	int view_count;
	int most;
};

/* peers_take.c */

/** peers_sum_loads - sum what the instances heard lately have told of each endpoint */
void peers_sum_loads(struct peers *p, int64_t now_ms);

/** peers_take - take over one message of another instance */
void peers_take(struct peers *p, const struct inbox_entry *in, int64_t now_ms);

/* peers_share.c */

/** peers_share - tell the others loads, parts, suspects and members */
void peers_share(struct peers *p, int64_t now_ms);

#endif
