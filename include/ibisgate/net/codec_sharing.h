#ifndef IBISGATE_NET_CODEC_SHARING_H
#define IBISGATE_NET_CODEC_SHARING_H

#include <stdint.h>

#include "ibisgate/state/mesh.h"

#define SHARING_LOADS_MAX 512
#define SHARING_PARTS_MAX 512
#define SHARING_SUSPECTS_MAX 32
#define SHARING_LEAVING_MAX 64
#define SHARING_TABLES 2

/**
 * struct shared_load - load that the sender's requests put on one engine
 * @tag: peer_tag() of the endpoint's id with incarnation 0
 * @backlog_tokens: uncached prompt tokens that were sent and not yet prefilled
 * @active: requests in flight
 */
struct shared_load {
	uint32_t tag;
	uint32_t backlog_tokens;
	uint32_t active;
};

enum shared_part_state {
	PART_SENT,
	PART_READY,
	/* The attempt ended before the engine had prefilled the part. */
	PART_DROPPED,
};

/**
 * struct shared_part - part of a prompt that the sender has sent to an engine
 * @tag: peer_tag() of the endpoint's id with incarnation 0
 * @part: id of the part, equal for equal content
 */
struct shared_part {
	uint32_t tag;
	uint64_t part;
	uint32_t tokens;
	enum shared_part_state state;
};

/**
 * struct shared_suspect - request that was in flight at endpoints when they crashed
 * @crashes: number of these crashes
 */
struct shared_suspect {
	uint64_t fingerprint;
	uint32_t crashes;
};

/**
 * struct peer_sharing - state that an instance sends to its peers several times a second
 * @news: membership of the instances as seen by the sender
 * @row_versions: version of the newest change that the sender has received, for each store table
 *		  that it follows
 * @leaving: tags of endpoints that are leaving according to the sender
 * @changing: tags of engines that are carrying out an order of the sender
 */
struct peer_sharing {
	struct mesh_gossip news;
	int64_t row_versions[SHARING_TABLES];
	int load_count;
	struct shared_load loads[SHARING_LOADS_MAX];
	int part_count;
	struct shared_part parts[SHARING_PARTS_MAX];
	int suspect_count;
	struct shared_suspect suspects[SHARING_SUSPECTS_MAX];
	int leaving_count;
	uint32_t leaving[SHARING_LEAVING_MAX];
	int changing_count;
	uint32_t changing[SHARING_LEAVING_MAX];
};

#endif
