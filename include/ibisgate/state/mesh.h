#ifndef IBISGATE_STATE_MESH_H
#define IBISGATE_STATE_MESH_H

#include "ibisgate/state/member.h"

#define MESH_HEARD_MAX 256
#define MESH_MEMBERS_MAX 16
#define MESH_DCS_MAX 64

/** struct mesh_member - an instance that the sender of a message knows */
struct mesh_member {
	char id[MEMBER_ID_MAX];
	char dc[MEMBER_DC_MAX];
	char peer[MEMBER_ADDR_MAX];
};

/** struct mesh_dc - a data centre and its live instances, as its delegate told last */
struct mesh_dc {
	char dc[MEMBER_DC_MAX];
	uint32_t instances;
};

/**
 * struct mesh_news - what a message tells of the instances
 * @heard: peer_tag() of those that the sender hears
 * @members: some of those that it knows, others in each message
 * @dcs: from a delegate to its own data centre the other ones, to other delegates its own
 */
struct mesh_news {
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
 * struct mesh - which instances know and tell each other; not thread-safe
 *
 * Few instances all tell each other. From @large_from on each tells those of its own data centre,
 * and the delegates, the first by name of each data centre, tell each other. Load: hundreds of
 * instances that all tell each other spend more on it than on requests.
 */
struct mesh;

/** mesh_create - @self is copied; instances of which data centres talk through delegates */
struct mesh *mesh_create(const struct member *self, int large_from);
void mesh_destroy(struct mesh *m);

/** mesh_members - table behind the mesh, entry 0 is this instance */
const struct member_table *mesh_members(const struct mesh *m);

/** mesh_seed - an address under which an instance may be found */
void mesh_seed(struct mesh *m, const char *name, const char *peer, int64_t now_ms);

/** mesh_tick - age what is known */
void mesh_tick(struct mesh *m, int64_t now_ms);

/**
 * mesh_hear - apply what instance @id tells
 *
 * Return: true when it is a process that was not known before.
 */
bool mesh_hear(struct mesh *m, const char *id, uint64_t incarnation, const struct mesh_news *news,
	       int64_t now_ms);

/** mesh_tell - fill in what to tell: with @far other data centres, else the own one */
void mesh_tell(struct mesh *m, bool far, struct mesh_news *out, int64_t now_ms);

/**
 * mesh_targets - the instances to tell now: with @far those of other data centres, else the others
 *
 * Some of the targets may be gone: what can't be heard is tried in turn, since a cut between two
 * data centres may last longer than what waits on connections.
 *
 * Return: their number in @out, at most @max.
 */
int mesh_targets(struct mesh *m, bool far, const struct member **out, int max, int64_t now_ms);

/**
 * mesh_keep_flat - let all instances tell each other also in a large deployment
 *
 * For data centres that use each other's engines and have to know soon what those keep.
 */
void mesh_keep_flat(struct mesh *m, bool flat);

/** mesh_is_large - data centres talk through delegates */
bool mesh_is_large(const struct mesh *m);

/** mesh_is_far - the instance is known to be in another data centre */
bool mesh_is_far(const struct mesh *m, const struct member *other);

/** mesh_delegate - this instance speaks for its data centre in a large deployment */
bool mesh_delegate(const struct mesh *m);

/** mesh_speaks_for_dc - @id is the one whose sums count for its data centre */
bool mesh_speaks_for_dc(const struct mesh *m, const char *id);

/** mesh_near - live instances of this data centre, this one included */
int mesh_near(const struct mesh *m);

/** mesh_total - live instances of all data centres, as far as told */
int mesh_total(const struct mesh *m);

/** mesh_first - no live instance that is heard has a lower name */
bool mesh_first(const struct mesh *m);

#endif
