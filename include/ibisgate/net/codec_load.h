#ifndef IBISGATE_NET_CODEC_LOAD_H
#define IBISGATE_NET_CODEC_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/policy/route.h"
#include "ibisgate/state/member.h"

#define PEER_LOADS_MAX 512
#define PEER_FACTS_MAX 64
#define PEER_MEANS_MAX 64

/** struct peer_cost - speed of an engine in whole numbers: tokens a second, otherwise nanoseconds
 */
struct peer_cost {
	uint32_t prefill_tokens_per_s;
	uint32_t step_base_ns;
	uint32_t step_per_seq_ns;
	uint32_t kv_token_ns;
};

/**
 * struct peer_load - report of one engine
 * @tag: peer_tag() of the engine's name with incarnation 0
 * @fact: peer_fact_digest() of the facts that belong to it
 * @age_ms: since its poller asked for it
 */
struct peer_load {
	uint32_t tag;
	uint32_t fact;
	uint32_t age_ms;
	enum endpoint_role role;
	bool changing;
	uint32_t prefill_backlog;
	uint32_t decode_seqs;
};

/** struct peer_fact - what rarely changes about one engine; @age_ms since it was reported */
struct peer_fact {
	uint32_t tag;
	uint32_t age_ms;
	enum endpoint_role role;
	char model[48];
	char boot_id[24];
	uint32_t decode_slots;
	struct peer_cost cost;
};

/** struct peer_mean - mean report of the @count engines of one model and role */
struct peer_mean {
	char model[48];
	enum endpoint_role role;
	uint32_t count;
	uint32_t age_ms;
	uint32_t prefill_backlog;
	uint32_t decode_seqs;
	uint32_t decode_slots;
	struct peer_cost cost;
};

/** struct peer_loads - load of engines; @dc: data centre of all of them */
struct peer_loads {
	char dc[MEMBER_DC_MAX];
	int load_count;
	struct peer_load loads[PEER_LOADS_MAX];
	int fact_count;
	struct peer_fact facts[PEER_FACTS_MAX];
	int mean_count;
	struct peer_mean means[PEER_MEANS_MAX];
};

/** peer_fact_digest - of model, boot id, slots and cost */
uint32_t peer_fact_digest(const struct peer_fact *f);

#endif
