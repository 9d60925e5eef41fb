#ifndef IBISGATE_COMMON_METRICS_H
#define IBISGATE_COMMON_METRICS_H

#include <stdint.h>

#include "ibisgate/common/str.h"

/*
 * Counters and gauges of the process. Each metric is a row of this table, so that its name can't be
 * misspelt and it can be read without a lock. Columns: identifier, exported name, type, help text.
 */
#define METRICS(X)                                                                                 \
	X(REQUESTS, "requests_total", "counter", "Requests accepted from callers")                 \
	X(REQUESTS_OK, "requests_ok_total", "counter", "Requests answered whole")                  \
	X(REFUSED_NOT_RUN, "refused_not_run_total", "counter", "Refusals that say not run")        \
	X(REFUSED_YIELD, "refused_yield_total", "counter",                                         \
	  "Requests turned away for more urgent or smaller ones")                                  \
	X(OUTCOME_UNKNOWN, "outcome_unknown_total", "counter", "Answers that say outcome unknown") \
	X(BAD_REQUESTS, "bad_requests_total", "counter", "Requests refused as invalid")            \
	X(HELD_CONNECTIONS, "held_connections_bytes", "gauge",                                     \
	  "Memory of callers' connections, heads and input")                                       \
	X(HELD_BODIES, "held_bodies_bytes", "gauge", "Memory taken for bodies of requests")        \
	X(HELD_ANSWERS, "held_answers_bytes", "gauge", "Answers of endpoints being collected")     \
	X(HELD_UNREAD, "held_unread_bytes", "gauge", "Answers that callers have not read")         \
	X(HELD_PROBES, "held_probes_bytes", "gauge", "Memory of readiness and metrics clients")    \
	X(HELD_LIMIT, "held_limit_bytes", "gauge", "Memory that may be held for others")           \
	X(REFUSED_FOR_MEMORY, "refused_for_memory_total", "counter",                               \
	  "Unfinished bodies given up for lack of memory")                                         \
	X(CLOSED_UNREAD, "closed_unread_total", "counter",                                         \
	  "Connections closed for answers that their callers did not read")                        \
	X(CLOSED_FOR_DESCRIPTORS, "closed_for_descriptors_total", "counter",                       \
	  "Connections closed for lack of descriptors")                                            \
	X(ACCEPT_FAILURES, "accept_failures_total", "counter",                                     \
	  "Connections that could not be accepted for lack of descriptors or memory")              \
	X(CROWD_WAITING, "closed_waiting_total", "counter",                                        \
	  "Connections without a request closed for lack of threads")                              \
	X(CROWD_BODIES, "closed_bodies_total", "counter",                                          \
	  "Unfinished bodies given up for lack of threads")                                        \
	X(CROWD_ENDING, "closed_ending_total", "counter",                                          \
	  "Connections that sent on after their last answer, closed for lack of threads")          \
	X(KEYS_MISSING, "refused_key_missing_total", "counter", "Requests without an API key")     \
	X(KEYS_UNKNOWN, "refused_key_unknown_total", "counter",                                    \
	  "Requests with an API key that no organisation has")                                     \
	X(KEYS_WITHDRAWN, "refused_key_withdrawn_total", "counter",                                \
	  "Requests whose API key was withdrawn while they waited")                                \
	X(STREAMS, "streams", "gauge", "Requests in progress")                                     \
	X(QUEUED, "queued", "gauge", "Requests that wait for admission")                           \
	X(ATTEMPTS, "attempts_total", "counter", "Attempts sent to endpoints")                     \
	X(RETRIES, "retries_total", "counter", "Attempts after the first one")                     \
	X(RETRIES_DENIED, "retries_denied_total", "counter", "Retries refused by a budget")        \
	X(HEDGES, "hedges_total", "counter", "Second sendings of slow idempotent calls")           \
	X(HEDGES_WON, "hedges_won_total", "counter", "Second sendings that answered first")        \
	X(RESUMED, "resumed_total", "counter", "Generations continued on another endpoint")        \
	X(STALE_DROPPED, "stale_dropped_total", "counter", "Events dropped for another attempt")   \
	X(SILENT_CLOSED, "silent_closed_total", "counter", "Connections closed after silence")     \
	X(TOKENS_OUT, "tokens_out_total", "counter", "Tokens delivered to callers")                \
	X(CLAIMS, "claims_total", "counter", "Claim rows written")                                 \
	X(CLAIM_REPLAYS, "claim_replays_total", "counter", "Answers replayed from a claim")        \
	X(QUARANTINED, "quarantined_total", "counter", "Fingerprints put into quarantine")         \
	X(PARTS_REFUSED, "parts_refused", "gauge",                                                 \
	  "Parts of prompts refused because they crash engines")                                   \
	X(RESERVATIONS, "reservations_total", "counter",                                           \
	  "Engines reserved for a suspect request of this instance")                               \
	X(RESERVATIONS_LOST, "reservations_lost_total", "counter",                                 \
	  "Reservations that ended without a grant, or while held")                                \
	X(RESERVED_BY_PEERS, "reserved_by_peers", "gauge", "Engines reserved by other instances")  \
	X(ROLE_CHANGES, "role_changes_total", "counter", "Role changes finished by this holder")   \
	X(WORKER_ORDERS, "worker_orders_total", "counter", "Orders for endpoints sent")            \
	X(WORKER_ORDERS_FAILED, "worker_orders_failed_total", "counter",                           \
	  "Orders for endpoints refused or without an answer")                                     \
	X(WORKERS_WANTED, "workers_wanted", "gauge", "Regular endpoints wanted")                   \
	X(WORKERS_THERE, "workers_there", "gauge", "Regular endpoints listed")                     \
	X(WORKERS_ORDERED, "workers_ordered", "gauge", "Regular endpoints ordered by this holder") \
	X(RECLAIMABLE_WANTED, "reclaimable_wanted", "gauge", "Reclaimable endpoints wanted")       \
	X(RECLAIMABLE_THERE, "reclaimable_there", "gauge", "Reclaimable endpoints listed")         \
	X(RECLAIMABLE_ORDERED, "reclaimable_ordered", "gauge",                                     \
	  "Reclaimable endpoints ordered by this holder")                                          \
	X(API_CALLS, "api_calls_total", "counter", "Calls to the platform's interface")            \
	X(DUTY_HELD, "duty_held", "gauge", "Whether this instance holds the duties")               \
	X(USAGE_SENT, "usage_reports_sent_total", "counter",                                       \
	  "Reports of usage accepted by the platform")                                             \
	X(USAGE_MISSED, "usage_reports_missed_total", "counter",                                   \
	  "Reports of usage that were not accepted in time")                                       \
	X(USAGE_OPEN, "usage_reports_open", "gauge", "Reports of usage due and not yet accepted")  \
	X(USAGE_UNCOUNTED, "usage_uncounted_total", "counter",                                     \
	  "Requests that no report counts, for want of room or of the organisation's name")        \
	X(LEASE_LOST, "lease_lost_total", "counter", "Leases that lapsed while held")              \
	X(PLATFORM_READS, "platform_reads_total", "counter", "Reads sent to the table")            \
	X(PLATFORM_WRITES, "platform_writes_total", "counter", "Writes sent to the table")         \
	X(PLATFORM_ERRORS, "platform_errors_total", "counter",                                     \
	  "Calls to the platform that failed")                                                     \
	X(STORE_ERA, "store_era", "gauge", "Newest era of the store that is known")                \
	X(STORE_ANSWERS_REJECTED, "store_answers_rejected_total", "counter",                       \
	  "Answers of the store that name an earlier era, or none that is valid")                  \
	X(ENDPOINTS_MISSING, "endpoints_missing", "gauge",                                         \
	  "Endpoints in use that are missing from the platform's list")                            \
	X(LIST_BYTES, "list_bytes_total", "counter",                                               \
	  "Bytes of polls of the platform's list, both directions")                                \
	X(LOAD_POLLS, "load_polls_total", "counter", "Load polls sent to engines")                 \
	X(LOAD_POLLS_STALE, "load_polls_stale_total", "counter",                                   \
	  "Load polls sent for want of a fresh relayed report")                                    \
	X(PEER_BYTES_IN, "peer_bytes_in_total", "counter", "Bytes received from peers")            \
	X(PEER_BYTES_OUT, "peer_bytes_out_total", "counter", "Bytes sent to peers")                \
	X(PEER_MESSAGES_IN, "peer_messages_in_total", "counter", "Messages received from peers")   \
	X(PEER_MESSAGES_OUT, "peer_messages_out_total", "counter", "Messages sent to peers")       \
	X(PEER_MALFORMED, "peer_malformed_total", "counter", "Messages dropped as malformed")      \
	X(PEER_DROPPED, "peer_dropped_total", "counter", "Messages to peers dropped unsent")       \
	X(PEER_CONNECTIONS, "peer_connections", "gauge", "Connections that peers have opened")     \
	X(PEER_ACCEPT_PAUSES, "peer_accept_pauses_total", "counter",                               \
	  "Times when peers had opened as many connections as the descriptors allow")              \
	X(TABLE_ROWS_SKIPPED, "table_rows_skipped_total", "counter",                               \
	  "Rows of the table that couldn't be parsed")                                             \
	X(CONFIG_VERSION, "config_version", "gauge", "Configuration version in force")             \
	X(CHILD_RESTARTS, "child_restarts_total", "counter", "Supervised threads restarted")       \
	X(CONTROL_CPU_US, "control_cpu_us_total", "counter", "Processor time of control threads")

enum metric {
#define X(id, name, type, help) METRIC_##id,
	METRICS(X)
#undef X
		METRIC_COUNT,
};

/** metric_add - add @n to a counter or gauge; lock-free, may be called from any thread */
void metric_add(enum metric m, int64_t n);
void metric_set(enum metric m, int64_t value);
int64_t metric_get(enum metric m);

/** metrics_format - append all metrics to @out in the Prometheus text format 0.0.4 */
void metrics_format(struct buf *out, const char *instance);

#endif
