#ifndef IBISGATE_NET_CODEC_LOAD_H
#define IBISGATE_NET_CODEC_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/policy/route.h"
#include "ibisgate/state/member.h"

#define PEER_LOADS_MAX 512
#define PEER_ENGINE_INFOS_MAX 64
#define PEER_MEAN_LOADS_MAX 64

/**
 * struct peer_engine_cost - cost model of an engine, in integers
 * @prefill_tokens_per_s: prefill rate
 * @step_base_ns: fixed time of a decode step
 * @step_per_seq_ns: additional time of a decode step per sequence
 * @kv_token_ns: transfer time of the KV cache of one token between two engines
 */
struct peer_engine_cost {
	uint32_t prefill_tokens_per_s;
	uint32_t step_base_ns;
	uint32_t step_per_seq_ns;
	uint32_t kv_token_ns;
};

/**
 * struct peer_load - load report of one engine
 * @tag: peer_tag() of the engine's name with incarnation 0
 * @fact: peer_engine_info_digest() of the matching struct peer_engine_info
 * @age_ms: time since the poller requested the report
 * @changing: the engine is changing its role or model
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

/**
 * struct peer_engine_info - properties of one engine that rarely change
 * @tag: peer_tag() of the engine's name with incarnation 0
 * @age_ms: time since the properties were reported
 */
struct peer_engine_info {
	uint32_t tag;
	uint32_t age_ms;
	enum endpoint_role role;
	char model[48];
	char boot_id[24];
	uint32_t decode_slots;
	struct peer_engine_cost cost;
};

/**
 * struct peer_mean_load - mean load of the engines with one model and role
 * @count: number of engines
 */
struct peer_mean_load {
	char model[48];
	enum endpoint_role role;
	uint32_t count;
	uint32_t age_ms;
	uint32_t prefill_backlog;
	uint32_t decode_seqs;
	uint32_t decode_slots;
	struct peer_engine_cost cost;
};

/**
 * struct peer_loads - load of the engines of one data centre
 * @dc: data centre of all engines in the message
 */
struct peer_loads {
	char dc[MEMBER_DC_MAX];
	int load_count;
	struct peer_load loads[PEER_LOADS_MAX];
	int fact_count;
	struct peer_engine_info facts[PEER_ENGINE_INFOS_MAX];
	int mean_count;
	struct peer_mean_load means[PEER_MEAN_LOADS_MAX];
};

/** peer_engine_info_digest - digest of model, boot id, decode slots and cost */
uint32_t peer_engine_info_digest(const struct peer_engine_info *f);

#endif
