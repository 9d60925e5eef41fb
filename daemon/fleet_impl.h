#ifndef DAEMON_FLEET_IMPL_H
#define DAEMON_FLEET_IMPL_H

#include <pthread.h>

#include "ibisgate/daemon/fleet_use.h"

#define FLEET_STOPS_MAX 4
#define FLEET_HISTORY 128
/* One history entry covers at least this time, so that the ring spans more than the load lag. */
#define FLEET_HISTORY_STEP_MS 50
#define FLEET_PREFIX_CAPACITY 65536

struct own_work {
	int64_t at_ms;
	int64_t prefill;
	int seqs;
};

/**
 * struct endpoint - one entry; the array index is the endpoint id
 * @listed: named by the platform's list
 * @unlisted_ms: since when it is not, boot clock
 * @stops: order ids that keep new work away
 * @reserved: kept for one suspect request of this instance
 * @marked: reserved by another instance
 * @reserve_retry_ms: not reserved again before then
 * @away: another instance has this engine as one of its homes, see fleet_set_homes()
 * @homeless: this instance has no home among the engines of that role
 * @mean_prefill: mean report of the engines of that role, likewise @mean_seqs
 * @down: engine that died or refused a connection and has not answered a load poll since
 * @down_ms: since when; a report from before does not end it
 * @tag: short name in relayed reports
 * @peer_prefill: mean part of the reports that own attempts did not explain, likewise
 *	@peer_seqs
 */
struct endpoint {
	struct endpoint_info info;
	struct endpoint_load load;
	bool used;
	bool listed;
	int64_t unlisted_ms;
	char stops[FLEET_STOPS_MAX][48];
	int stop_count;
	int in_flight;
	int64_t own_prefill;
	int own_seqs;
	double peer_prefill;
	double peer_seqs;
	int64_t role_set_ms;
	bool reserved;
	bool peer_reserved;
	int64_t reserve_retry_ms;
	bool is_peer_home;
	bool has_no_home;
	int64_t mean_prefill;
	int mean_seqs;
	bool down;
	int64_t down_ms;
	uint32_t tag;
	struct circuit circuit;
	struct retry_budget budget;
	struct own_work history[FLEET_HISTORY];
	uint64_t history_next;
};

struct fleet {
	pthread_mutex_t lock;
	struct endpoint *endpoints;
	int count;
	int64_t load_lag_ms;
	int instances;
	struct prefix_index *index;
	struct fleet_demand demands[FLEET_MODELS_MAX];
	int demand_count;
};

/* The caller holds the lock. */
struct endpoint *fleet_find(struct fleet *f, const char *name);
struct endpoint *fleet_find_or_add(struct fleet *f, const char *name);
void endpoint_record_work(struct endpoint *ep, int64_t now_ms);

/** endpoint_is_usable - takes new work as far as its own state goes */
bool endpoint_is_usable(const struct endpoint *ep, int64_t now_ms);
bool endpoint_matches_query(const struct endpoint *ep, const struct fleet_query *q);

/** endpoint_is_reserved - for a suspect of this or another instance */
bool endpoint_is_reserved(const struct endpoint *ep);

/** endpoint_is_withheld - reserved, and ordinary work has another engine to go to */
bool endpoint_is_withheld(const struct fleet *f, const struct fleet_query *q, int id,
			  int64_t now_ms);
void fleet_slot_assign(struct fleet *f, int id, int64_t prefill_tokens, int seqs,
		       struct fleet_slot *out);

#endif
