#ifndef IBISGATE_STATE_ROUTING_TABLE_H
#define IBISGATE_STATE_ROUTING_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/policy/retry.h"

#define ROUTING_TARGETS_MAX 8
#define ROUTING_NAME_MAX 128

/**
 * struct engine_spec - properties of the engines of a service
 * @present: the service runs models; all else is zero when it does not
 * @slots: requests that one engine runs at once
 * @kv_capacity: tokens of KV cache that fit an engine
 * @kv_token_bytes: bytes of KV cache of one token
 * @link_mbps: bandwidth between engines in Mbit/s
 */
struct engine_spec {
	bool present;
	int slots;
	int64_t kv_capacity;
	int64_t kv_token_bytes;
	double link_mbps;
};

struct service_spec {
	char name[ROUTING_NAME_MAX];
	char health_path[ROUTING_NAME_MAX];
	int max_connections;
	struct engine_spec engine;
};

/** struct routing_target - service that a rule sends to; @weight is relative */
struct routing_target {
	int service;
	int weight;
};

/**
 * struct routing_rule - what happens to requests for one host and path prefix
 * @kind: what may be repeated
 * @resumable: a generation may be continued on another endpoint after its last whole event
 * @max_attempts: endpoints that one request may be sent to
 * @timeout_ms: longest time until the last byte of the answer, in milliseconds
 * @target_ms: time until the answer (generations: the first token) that callers aim at
 * @gap_ms: longest pause between tokens that callers accept as in time; 0 when not given
 * @priority: 0 is the most urgent
 */
struct routing_rule {
	char name[ROUTING_NAME_MAX];
	char host[ROUTING_NAME_MAX];
	char prefix[ROUTING_NAME_MAX];
	enum call_kind kind;
	bool resumable;
	int max_attempts;
	int64_t timeout_ms;
	int64_t target_ms;
	int64_t gap_ms;
	int priority;
	struct routing_target targets[ROUTING_TARGETS_MAX];
	int target_count;
};

/** struct request_limits - what a caller may send, and how long it may take */
struct request_limits {
	int64_t head_max_bytes;
	int64_t body_max_bytes;
	int64_t head_timeout_ms;
	int64_t idle_timeout_ms;
};

/**
 * struct routing_table - one version of the operator's configuration
 * @refs: holders; requests keep the version they were accepted under
 */
struct routing_table {
	int refs;
	int64_t version;
	struct routing_rule *rules;
	int rule_count;
	struct service_spec *services;
	int service_count;
	struct request_limits limits;
};

/** routing_table_create - empty table with one holder */
struct routing_table *routing_table_create(int64_t version, int rules, int services);
struct routing_table *routing_table_get(struct routing_table *t);
void routing_table_put(struct routing_table *t);

/** routing_table_service - index of a service; -1 when there is none of that name */
int routing_table_service(const struct routing_table *t, struct str name);

/**
 * routing_table_match - rule of a request
 * @host: Host field; a port is ignored
 * @target: request target; the query is ignored
 *
 * Return: the rule with the longest prefix among those of the host; NULL when there is none.
 */
const struct routing_rule *routing_table_match(const struct routing_table *t, struct str host,
					       struct str target);

/** routing_rule_target - service index for a request; @hash decides between weighted targets */
int routing_rule_target(const struct routing_rule *r, uint64_t hash);

#endif
