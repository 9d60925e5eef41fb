#ifndef IBISGATE_STATE_ROUTING_TABLE_H
#define IBISGATE_STATE_ROUTING_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/policy/retry.h"
#include "ibisgate/state/organisations.h"

#define ROUTING_DC_NAME_MAX 201
#define ROUTING_DCS_MAX 32

/**
 * struct engine_spec - properties of the engines of a service
 * @present: the service runs models; if false, all other fields are zero
 * @slots: requests that one engine runs at once
 * @kv_capacity: KV cache capacity of one engine in tokens
 * @kv_token_bytes: KV cache size of one token in bytes
 * @kv_hold_ms: time for which an engine holds a KV cache for another one; 0 when it is not known
 * @link_mbps: bandwidth between engines in Mbit/s
 */
struct engine_spec {
	bool present;
	int slots;
	int64_t kv_capacity;
	int64_t kv_token_bytes;
	int64_t kv_hold_ms;
	double link_mbps;
};

/** struct scaling_price - price of a second of an endpoint in a data centre */
struct scaling_price {
	char dc[ROUTING_DC_NAME_MAX];
	double price;
};

/**
 * struct scaling_spec - endpoints of a service that the system may order from the platform
 * @present: endpoints are ordered; if false, all other fields are zero
 * @min: least number of endpoints in one data centre, of both kinds together; @max likewise
 * @boot_ms: time from an order until new endpoints serve
 * @reclaimable_price: price of endpoints that may be taken back, relative to the others; 0 when
 *	there are none
 * @prices: by data centre, @price_count of them
 */
struct scaling_spec {
	bool present;
	int min;
	int max;
	int64_t boot_ms;
	double reclaimable_price;
	struct scaling_price prices[ROUTING_DCS_MAX];
	int price_count;
};

/** struct service_spec - service that rules route to; the table owns @name */
struct service_spec {
	struct buf name;
	int max_connections;
	struct engine_spec engine;
	struct scaling_spec scaling;
};

/** struct routing_target - service that a rule routes to: index @service, relative @weight */
struct routing_target {
	int service;
	int weight;
};

/**
 * struct routing_rule - how requests for one host and path prefix are handled
 * @name: used in logs; the table owns it, @host and @prefix
 * @kind: determines which requests may be retried
 * @resumable: a generation may be resumed on another endpoint after the last complete event
 * @max_attempts: maximum number of endpoints that one request may be sent to
 * @timeout_ms: maximum time until the last byte of the response
 * @target_ms: target time until the response; for generations, target time to first token
 * @gap_ms: maximum time between tokens that callers accept as in time; 0 when not given
 * @priority: 0 is the most urgent
 * @is_public: requests need no API key
 * @targets: owned by the table, like the texts
 */
struct routing_rule {
	struct buf name;
	struct buf host;
	struct buf prefix;
	enum call_kind kind;
	bool resumable;
	int max_attempts;
	int64_t timeout_ms;
	int64_t target_ms;
	int64_t gap_ms;
	int priority;
	bool is_public;
	struct routing_target *targets;
	int target_count;
};

/**
 * struct request_limits - limits on the size of requests and on the time that callers may take
 * @head_max_bytes: maximum size of the request line and header fields
 */
struct request_limits {
	int64_t head_max_bytes;
	int64_t body_max_bytes;
	int64_t head_timeout_ms;
	int64_t idle_timeout_ms;
};

/**
 * struct routing_table - one version of the operator's routing configuration
 * @refs: reference count; a request keeps the version under which it was accepted
 * @organisations: owned; NULL when requests need no API keys
 */
struct routing_table {
	int refs;
	int64_t version;
	struct routing_rule *rules;
	int rule_count;
	struct service_spec *services;
	int service_count;
	struct request_limits limits;
	struct organisations *organisations;
};

/**
 * routing_table_create - create an empty table with a reference count of 1
 * @rules: number of rules to allocate
 * @services: number of services to allocate
 */
struct routing_table *routing_table_create(int64_t version, int rules, int services);

/** routing_table_get - take a reference; @t may be NULL */
struct routing_table *routing_table_get(struct routing_table *t);

/** routing_table_put - drop a reference; the last one frees the table; @t may be NULL */
void routing_table_put(struct routing_table *t);

/** routing_table_service - index of the service @name; -1 when there is none */
int routing_table_service(const struct routing_table *t, struct str name);

/**
 * routing_table_match - find the rule for a request
 * @host: value of the Host field; a port is ignored
 * @target: request target; the query is ignored
 *
 * Return: of the host's rules that match, the one with the longest prefix; NULL when there is none.
 */
const struct routing_rule *routing_table_match(const struct routing_table *t, struct str host,
					       struct str target);

/**
 * routing_rule_target - choose a service by weight
 * @hash: hash of the request, which determines the choice
 *
 * Return: index of the service; -1 if the rule has no targets.
 */
int routing_rule_target(const struct routing_rule *r, uint64_t hash);

#endif
