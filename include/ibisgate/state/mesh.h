#ifndef IBISGATE_STATE_MESH_H
#define IBISGATE_STATE_MESH_H

#include "ibisgate/state/member.h"

#define MESH_HEARD_MAX 256
#define MESH_MEMBERS_MAX 16
#define MESH_DCS_MAX 64

/** struct mesh_member - id and addresses of an instance that the sender of a message knows */
struct mesh_member {
	char id[MEMBER_ID_MAX];
	char dc[MEMBER_DC_MAX];
	char peer[MEMBER_ADDR_MAX];
};

/** struct mesh_dc - number of live instances of a data centre, as last reported by its delegate */
struct mesh_dc {
	char dc[MEMBER_DC_MAX];
	uint32_t instances;
};

/**
 * struct mesh_gossip - membership information in one message
 * @heard: peer_tag() of each instance that the sender currently receives messages from
 * @members: some of the instances that the sender knows; successive messages rotate through them
 * @dcs: only from delegates: the other data centres in messages to its own data centre, its own
 *       data centre in messages to other delegates
 */
struct mesh_gossip {
	char dc[MEMBER_DC_MAX];
	char peer[MEMBER_ADDR_MAX];
	enum member_state state;
	int64_t config_version;
	int heard_count;
	uint32_t heard[MESH_HEARD_MAX];
	int member_count;
	struct mesh_member members[MESH_MEMBERS_MAX];
	int dc_count;
	struct mesh_dc dcs[MESH_DCS_MAX];
};

/**
 * struct mesh - gossip membership: which instances are known, and which of them exchange messages
 *
 * A small deployment is a full mesh. From large_from instances on, each instance sends only to
 * those of its own data centre, and the delegates send to each other. The delegate of a data centre
 * is its live instance with the lowest name. In a full mesh of hundreds of instances, messages
 * would cost more than the requests.
 *
 * Not thread-safe.
 */
struct mesh;

/**
 * mesh_create - create a mesh that knows only this instance
 * @self: this instance; copied
 * @large_from: number of instances from which data centres communicate through delegates
 */
struct mesh *mesh_create(const struct member *self, int large_from);
void mesh_destroy(struct mesh *m);

/** mesh_member_table - member table of the mesh; entry 0 is this instance */
const struct member_table *mesh_member_table(const struct mesh *m);

/** mesh_add_seed - add an address at which an instance may be found */
void mesh_add_seed(struct mesh *m, const char *name, const char *peer, int64_t now_ms);

/** mesh_tick - update member states by age and the mode of the mesh */
void mesh_tick(struct mesh *m, int64_t now_ms);

/**
 * mesh_receive - apply a message received from instance @id
 *
 * Return: true when the sender is a process that was not known before.
 */
bool mesh_receive(struct mesh *m, const char *id, uint64_t incarnation,
		  const struct mesh_gossip *news, int64_t now_ms);

/**
 * mesh_fill_gossip - fill in the next message
 * @remote: the message goes to other data centres, otherwise to the own one
 */
void mesh_fill_gossip(struct mesh *m, bool remote, struct mesh_gossip *out, int64_t now_ms);

/**
 * mesh_select_targets - select the instances to send a message to
 * @remote: select instances of other data centres, otherwise those of the own one
 *
 * The targets may include an instance that is gone: unreachable instances are probed in turn,
 * because a partition between two data centres may outlast the connections and what is queued on
 * them.
 *
 * Return: number of instances in @out, at most @max.
 */
int mesh_select_targets(struct mesh *m, bool remote, const struct member **out, int max,
			int64_t now_ms);

/** mesh_list_targets - mesh_select_targets() without probes of unreachable instances */
int mesh_list_targets(const struct mesh *m, bool remote, const struct member **out, int max,
		      int64_t now_ms);

/**
 * mesh_set_flat - keep a full mesh even in a large deployment
 *
 * For data centres that use each other's engines and have to learn quickly what is in the KV caches
 * of those engines.
 */
void mesh_set_flat(struct mesh *m, bool flat);

/** mesh_uses_delegates - data centres communicate through delegates */
bool mesh_uses_delegates(const struct mesh *m);

/** mesh_is_remote - @other is known to be in another data centre */
bool mesh_is_remote(const struct mesh *m, const struct member *other);

/** mesh_is_delegate - this instance is its data centre's delegate and the deployment is large */
bool mesh_is_delegate(const struct mesh *m);

/** mesh_is_dc_delegate - @id is the delegate of its data centre, whose totals are used */
bool mesh_is_dc_delegate(const struct mesh *m, const char *id);

/** mesh_count_local - number of live instances in this data centre, including this one */
int mesh_count_local(const struct mesh *m);

/** mesh_count_all - number of live instances in all data centres, as far as known */
int mesh_count_all(const struct mesh *m);

/** mesh_is_first - no live instance that is heard from has a lower name than this one */
bool mesh_is_first(const struct mesh *m);

/** mesh_rank - number of live instances that are heard from and have a lower name */
int mesh_rank(const struct mesh *m);

#endif
