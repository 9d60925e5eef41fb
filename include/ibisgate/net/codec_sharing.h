#ifndef IBISGATE_NET_CODEC_SHARING_H
#define IBISGATE_NET_CODEC_SHARING_H

#include <stdint.h>

#include "ibisgate/state/mesh.h"

#define SHARING_ENGINE_LOADS_MAX 512
#define SHARING_PROMPT_PARTS_MAX 512
#define SHARING_LEAVING_MAX 64
#define SHARING_SUSPECT_PARTS_MAX 512
#define SHARING_CRASHES_MAX 32
#define SHARING_STORE_TABLES 2

/**
 * struct shared_engine_load - load that the sender's requests put on one engine
 * @tag: peer_tag() of the endpoint's id with incarnation 0
 * @backlog_tokens: uncached prompt tokens that were sent and not yet prefilled
 * @active: requests in flight
 * @held_blocks: memory that the requests need, in blocks of MEMORY_BLOCK_TOKENS; 0 when it is not
 *	reported
 */
struct shared_engine_load {
	uint32_t tag;
	uint32_t backlog_tokens;
	uint32_t active;
	uint32_t held_blocks;
};

enum shared_prompt_part_state {
	PROMPT_PART_SENT,
	PROMPT_PART_PREFILLED,
	/* The attempt ended before the engine had prefilled the part. */
	PROMPT_PART_DROPPED,
	/* Prefilled, and other requests share the part. */
	PROMPT_PART_PREFILLED_SHARED,
};

/**
 * struct shared_prompt_part - part of a prompt that the sender has sent to an engine
 * @tag: peer_tag() of the endpoint's id with incarnation 0
 * @part: id of the part, equal for equal content
 */
struct shared_prompt_part {
	uint32_t tag;
	uint64_t part;
	uint32_t tokens;
	enum shared_prompt_part_state state;
};

enum shared_part_verdict {
	/* A request with the part was waiting for its answer when an endpoint crashed. */
	PART_ACCUSED,
	/* An answer with the part went on after that. */
	PART_CLEARED,
	/* Requests with the part were answered before. */
	PART_KNOWN,
	/* An accusation that counts whatever others arrived at the same moment. */
	PART_RESTATED,
};

/**
 * struct shared_suspect_part - what the sender knows of a part, or a whole request, that may crash
 *	endpoints
 * @depth: position of the part in the prompt, if it is accused
 * @crash: identifies the crash, if it is accused
 */
struct shared_suspect_part {
	uint64_t part;
	enum shared_part_verdict verdict;
	uint32_t depth;
	uint32_t crash;
};

/**
 * struct shared_crash - when a crash that parts are accused of was noticed
 * @age_ms: time since a connection broke, when the message was sent
 */
struct shared_crash {
	uint32_t crash;
	uint32_t age_ms;
};

/**
 * struct peer_sharing - state that an instance sends to its peers several times a second
 * @news: membership of the instances as seen by the sender
 * @store_table_versions: version of the newest change that the sender has received, for each store
 *table that it follows
 * @leaving: peer_tag() of the ids of endpoints that are leaving according to the sender, with the
 *   start times of their processes as incarnations
 * @changing: tags of engines that are carrying out an order of the sender
 * @crashes: of those in @suspect_parts; there may be more than these
 */
struct peer_sharing {
	struct mesh_gossip news;
	int64_t store_table_versions[SHARING_STORE_TABLES];
	int load_count;
	struct shared_engine_load loads[SHARING_ENGINE_LOADS_MAX];
	int part_count;
	struct shared_prompt_part parts[SHARING_PROMPT_PARTS_MAX];
	int leaving_count;
	uint32_t leaving[SHARING_LEAVING_MAX];
	int changing_count;
	uint32_t changing[SHARING_LEAVING_MAX];
	int suspect_part_count;
	struct shared_suspect_part suspect_parts[SHARING_SUSPECT_PARTS_MAX];
	int crash_count;
	struct shared_crash crashes[SHARING_CRASHES_MAX];
};

#endif
