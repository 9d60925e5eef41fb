#include <string.h>

#include "fleet_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"

/*
 * At most one in this many engines may be reserved at a time. The crash of a busy engine makes all
 * its requests suspect; without a limit they would reserve every other engine and leave none to
 * ordinary requests.
 */
#define RESERVE_DIVISOR 4
/*
 * Delay before an engine is reserved again after a refusal. The random part keeps two instances
 * from refusing each other's reservations again and again.
 */
#define RESERVE_RETRY_MS 100
#define RESERVE_RETRY_JITTER_MS 200
/* Time within which every instance notices by itself that an engine is down. */
#define DOWN_DETECT_MS 5000

/*
 * Divides the engines among the instances in order of their names, so that suspect requests of two
 * instances seldom reserve the same one.
 */
static bool engine_is_own(const struct fleet *f, const struct fleet_query *q, int id)
{
	const struct endpoint *ep = &f->endpoints[id];
	int rank = 0;

	if (q->instances < 2)
		return true;
	for (int i = 0; i < f->count; i++) {
		const struct endpoint *other = &f->endpoints[i];

		rank += other->listed && endpoint_matches_query(other, q) &&
			other->info.role == ep->info.role &&
			strcmp(other->info.name, ep->info.name) < 0;
	}
	return rank % q->instances == q->rank;
}

static bool engine_is_usable(const struct fleet *f, const struct fleet_query *q,
			     enum endpoint_role role, int id, int64_t now_ms)
{
	const struct endpoint *ep = &f->endpoints[id];

	return endpoint_matches_query(ep, q) && ep->info.role == role &&
	       endpoint_is_usable(ep, now_ms);
}

/*
 * Without the boot id of the engine's process, a broken connection can't be attributed to a crash
 * or to the network. A suspect request that ran into two of them waited until its deadline.
 */
static bool engine_run_is_known(const struct endpoint *ep)
{
	return ep->load.boot_id[0] || (ep->load.received_ms && !ep->load.is_mean);
}

static bool engine_is_reservable(const struct endpoint *ep, int64_t now_ms)
{
	return !endpoint_is_reserved(ep) && ep->circuit.state == CIRCUIT_CLOSED &&
	       now_ms >= ep->reserve_retry_ms && engine_run_is_known(ep);
}

/* With more instances than engines, some instances have no engine of their own and use any. */
static bool has_own_engine(const struct fleet *f, const struct fleet_query *q,
			   enum endpoint_role role, int64_t now_ms)
{
	for (int i = 0; i < f->count; i++) {
		if (engine_is_usable(f, q, role, i, now_ms) && engine_is_own(f, q, i) &&
		    now_ms >= f->endpoints[i].reserve_retry_ms)
			return true;
	}
	return false;
}

/* Maximum number of engines of a role that may be reserved in the region at a time. */
static int reserve_limit(const struct fleet_query *q, int total)
{
	int limit = q->instances < total / 2 ? q->instances : total / 2;

	if (limit < total / RESERVE_DIVISOR)
		limit = total / RESERVE_DIVISOR;
	return limit > 1 ? limit : 1;
}

static double endpoint_work(const struct endpoint *ep)
{
	return ep->in_flight + ep->peer_seqs;
}

bool fleet_engine_reserve(struct fleet *f, const struct fleet_query *q, enum endpoint_role role,
			  struct fleet_reservation *out)
{
	int64_t now_ms = clock_boot_ms();
	int best = -1;
	int reserved = 0;
	int total = 0;
	bool own;

	*out = (struct fleet_reservation){ .id = -1 };
	pthread_mutex_lock(&f->lock);
	own = has_own_engine(f, q, role, now_ms);
	for (int i = 0; i < f->count; i++) {
		const struct endpoint *ep = &f->endpoints[i];

		if (!engine_is_usable(f, q, role, i, now_ms))
			continue;
		total++;
		reserved += endpoint_is_reserved(ep);
		if (!engine_is_reservable(ep, now_ms) || (own && !engine_is_own(f, q, i)))
			continue;
		if (best < 0 || endpoint_work(ep) < endpoint_work(&f->endpoints[best]))
			best = i;
	}
	if (best >= 0 && reserved < reserve_limit(q, total)) {
		struct endpoint *ep = &f->endpoints[best];

		ep->reserved = true;
		out->id = best;
		out->is_last = !endpoint_is_withheld(f, q, best, now_ms);
		memcpy(out->name, ep->info.name, sizeof(out->name));
	}
	pthread_mutex_unlock(&f->lock);
	return out->id >= 0;
}

void fleet_engine_unreserve(struct fleet *f, int reserved)
{
	if (reserved < 0)
		return;
	pthread_mutex_lock(&f->lock);
	f->endpoints[reserved].reserved = false;
	pthread_mutex_unlock(&f->lock);
}

void fleet_engine_unreserve_backoff(struct fleet *f, int reserved)
{
	pthread_mutex_lock(&f->lock);
	f->endpoints[reserved].reserved = false;
	f->endpoints[reserved].reserve_retry_ms = clock_boot_ms() + RESERVE_RETRY_MS +
						  (int64_t)(random_u64() % RESERVE_RETRY_JITTER_MS);
	pthread_mutex_unlock(&f->lock);
}

static struct fleet_query endpoint_query(const struct endpoint *ep)
{
	return (struct fleet_query){ .model = ep->info.model, .engine = ep->info.is_engine };
}

enum fleet_exclusive fleet_slot_acquire_exclusive(struct fleet *f, int reserved,
						  int64_t prefill_tokens, int seqs,
						  struct fleet_slot *out)
{
	enum fleet_exclusive result = FLEET_EXCLUSIVE_ACQUIRED;
	int64_t now_ms = clock_boot_ms();
	struct fleet_query q;

	pthread_mutex_lock(&f->lock);
	q = endpoint_query(&f->endpoints[reserved]);
	if (!endpoint_is_usable(&f->endpoints[reserved], now_ms))
		result = FLEET_EXCLUSIVE_UNUSABLE;
	else if (f->endpoints[reserved].in_flight && endpoint_is_withheld(f, &q, reserved, now_ms))
		result = FLEET_EXCLUSIVE_BUSY;
	if (result == FLEET_EXCLUSIVE_ACQUIRED) {
		fleet_slot_assign(f, reserved, prefill_tokens, seqs, out);
		out->is_exclusive = true;
	}
	pthread_mutex_unlock(&f->lock);
	return result;
}

void fleet_slot_end_exclusive(struct fleet *f, struct fleet_slot *slot)
{
	if (!slot->held || !slot->is_exclusive)
		return;
	pthread_mutex_lock(&f->lock);
	f->endpoints[slot->id].reserved = false;
	pthread_mutex_unlock(&f->lock);
	slot->is_exclusive = false;
}

/* Whether another engine of the same model and role is usable and, if @unreserved, not reserved. */
static bool has_other_engine(const struct fleet *f, int id, bool unreserved, int64_t now_ms)
{
	const struct endpoint *ep = &f->endpoints[id];
	struct fleet_query q = endpoint_query(ep);

	for (int i = 0; i < f->count; i++) {
		if (i != id && engine_is_usable(f, &q, ep->info.role, i, now_ms) &&
		    !(unreserved && endpoint_is_reserved(&f->endpoints[i])))
			return true;
	}
	return false;
}

enum fleet_peer_reserve fleet_peer_reserve(struct fleet *f, const char *name, int *in_flight)
{
	enum fleet_peer_reserve result = FLEET_PEER_RESERVED;
	int64_t now_ms = clock_boot_ms();
	struct endpoint *ep;
	int id;

	*in_flight = 0;
	pthread_mutex_lock(&f->lock);
	/* The reservation must also apply to an engine that the list names only later. */
	ep = fleet_find_or_add(f, name);
	if (!ep) {
		result = FLEET_PEER_REFUSED_FULL;
		goto out;
	}
	id = (int)(ep - f->endpoints);
	if (ep->down && now_ms - ep->down_ms < DOWN_DETECT_MS)
		result = FLEET_PEER_REFUSED_DOWN;
	else if (endpoint_is_usable(ep, now_ms) && !has_other_engine(f, id, false, now_ms))
		result = FLEET_PEER_RESERVED_LAST;
	else if (endpoint_is_usable(ep, now_ms) && !has_other_engine(f, id, true, now_ms))
		result = ep->peer_reserved ? FLEET_PEER_RESERVED_LAST : FLEET_PEER_REFUSED_FULL;
	ep->peer_reserved = result == FLEET_PEER_RESERVED || result == FLEET_PEER_RESERVED_LAST;
	*in_flight = ep->in_flight;
out:
	pthread_mutex_unlock(&f->lock);
	return result;
}

void fleet_peer_unreserve(struct fleet *f, const char *name)
{
	struct endpoint *ep;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	if (ep)
		ep->peer_reserved = false;
	pthread_mutex_unlock(&f->lock);
}
