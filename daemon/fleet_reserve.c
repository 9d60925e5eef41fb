#include <string.h>

#include "fleet_impl.h"
#include "ibisgate/common/clock.h"
#include "ibisgate/common/hash.h"

/*
 * One engine in so many may be reserved at a time. The death of a busy engine makes all its
 * requests suspect; without a limit they would take every other engine from ordinary work.
 */
#define RESERVE_SHARE 4
/*
 * An engine that was refused is asked for again after this time, drawn anew so that two instances
 * that refuse each other do not go on doing so.
 */
#define REFUSED_MS 100
#define REFUSED_SPREAD_MS 200
/* Within this time of an engine's death its other instances have noticed it by themselves. */
#define DOWN_NEWS_MS 5000

/*
 * Engines are divided among the instances, in order of names, so that suspects of two instances
 * seldom ask for the same one.
 */
static bool reserve_own(const struct fleet *f, const struct fleet_query *q, int id)
{
	const struct endpoint *ep = &f->endpoints[id];
	int rank = 0;

	if (q->instances < 2)
		return true;
	for (int i = 0; i < f->count; i++) {
		const struct endpoint *other = &f->endpoints[i];

		rank += other->listed && endpoint_serves(other, q) &&
			other->info.role == ep->info.role &&
			strcmp(other->info.name, ep->info.name) < 0;
	}
	return rank % q->instances == q->rank;
}

static bool reserve_usable(const struct fleet *f, const struct fleet_query *q,
			   enum endpoint_role role, int id, int64_t now)
{
	const struct endpoint *ep = &f->endpoints[id];

	return endpoint_serves(ep, q) && ep->info.role == role && endpoint_usable(ep, now);
}

/*
 * A broken connection to a run of the engine whose boot id is unknown can neither be told from a
 * crash nor from the network; a suspect that met two of them waited up to its deadline.
 */
static bool reserve_run_known(const struct endpoint *ep)
{
	return ep->load.boot_id[0] || (ep->load.at_ms && !ep->load.mean);
}

static bool reserve_free(const struct endpoint *ep, int64_t now)
{
	return !endpoint_reserved(ep) && ep->circuit.state == CIRCUIT_CLOSED &&
	       now >= ep->refused_ms && reserve_run_known(ep);
}

/* With more instances than engines some have none of their own, and take any. */
static bool reserve_owns_any(const struct fleet *f, const struct fleet_query *q,
			     enum endpoint_role role, int64_t now)
{
	for (int i = 0; i < f->count; i++) {
		if (reserve_usable(f, q, role, i, now) && reserve_own(f, q, i) &&
		    now >= f->endpoints[i].refused_ms)
			return true;
	}
	return false;
}

/* Engines of a role that may be reserved in the region at a time. */
static int reserve_limit(const struct fleet_query *q, int total)
{
	int limit = q->instances < total / 2 ? q->instances : total / 2;

	if (limit < total / RESERVE_SHARE)
		limit = total / RESERVE_SHARE;
	return limit > 1 ? limit : 1;
}

static double work_of(const struct endpoint *ep)
{
	return ep->in_flight + ep->foreign_seqs;
}

bool fleet_reserve(struct fleet *f, const struct fleet_query *q, enum endpoint_role role,
		   struct fleet_choice *out)
{
	int64_t now = clock_boot_ms();
	int best = -1;
	int reserved = 0;
	int total = 0;
	bool own;

	*out = (struct fleet_choice){ .id = -1 };
	pthread_mutex_lock(&f->lock);
	own = reserve_owns_any(f, q, role, now);
	for (int i = 0; i < f->count; i++) {
		const struct endpoint *ep = &f->endpoints[i];

		if (!reserve_usable(f, q, role, i, now))
			continue;
		total++;
		reserved += endpoint_reserved(ep);
		if (!reserve_free(ep, now) || (own && !reserve_own(f, q, i)))
			continue;
		if (best < 0 || work_of(ep) < work_of(&f->endpoints[best]))
			best = i;
	}
	if (best >= 0 && reserved < reserve_limit(q, total)) {
		struct endpoint *ep = &f->endpoints[best];

		ep->reserved = true;
		out->id = best;
		out->last = !endpoint_kept(f, q, best, now);
		memcpy(out->name, ep->info.name, sizeof(out->name));
	}
	pthread_mutex_unlock(&f->lock);
	return out->id >= 0;
}

void fleet_unreserve(struct fleet *f, int reserved)
{
	if (reserved < 0)
		return;
	pthread_mutex_lock(&f->lock);
	f->endpoints[reserved].reserved = false;
	pthread_mutex_unlock(&f->lock);
}

void fleet_reserve_lost(struct fleet *f, int reserved)
{
	pthread_mutex_lock(&f->lock);
	f->endpoints[reserved].reserved = false;
	f->endpoints[reserved].refused_ms =
		clock_boot_ms() + REFUSED_MS + (int64_t)(random_u64() % REFUSED_SPREAD_MS);
	pthread_mutex_unlock(&f->lock);
}

static struct fleet_query query_like(const struct endpoint *ep)
{
	return (struct fleet_query){ .model = ep->info.model, .engine = ep->info.engine };
}

enum fleet_alone fleet_acquire_alone(struct fleet *f, int reserved, int64_t prefill_tokens,
				     int seqs, struct fleet_slot *out)
{
	enum fleet_alone result = FLEET_ALONE_TAKEN;
	int64_t now = clock_boot_ms();
	struct fleet_query q;

	pthread_mutex_lock(&f->lock);
	q = query_like(&f->endpoints[reserved]);
	if (!endpoint_usable(&f->endpoints[reserved], now))
		result = FLEET_ALONE_GONE;
	else if (f->endpoints[reserved].in_flight && endpoint_kept(f, &q, reserved, now))
		result = FLEET_ALONE_BUSY;
	if (result == FLEET_ALONE_TAKEN) {
		fleet_slot_take(f, reserved, prefill_tokens, seqs, out);
		out->alone = true;
	}
	pthread_mutex_unlock(&f->lock);
	return result;
}

void fleet_share(struct fleet *f, struct fleet_slot *slot)
{
	if (!slot->held || !slot->alone)
		return;
	pthread_mutex_lock(&f->lock);
	f->endpoints[slot->id].reserved = false;
	pthread_mutex_unlock(&f->lock);
	slot->alone = false;
}

/* Whether an engine of the same kind is left besides @id; @free: one that is not reserved. */
static bool others_left(const struct fleet *f, int id, bool free, int64_t now)
{
	const struct endpoint *ep = &f->endpoints[id];
	struct fleet_query q = query_like(ep);

	for (int i = 0; i < f->count; i++) {
		if (i != id && reserve_usable(f, &q, ep->info.role, i, now) &&
		    !(free && endpoint_reserved(&f->endpoints[i])))
			return true;
	}
	return false;
}

enum fleet_mark fleet_mark(struct fleet *f, const char *name, int *in_flight)
{
	enum fleet_mark result = FLEET_MARK_KEPT;
	int64_t now = clock_boot_ms();
	struct endpoint *ep;
	int id;

	*in_flight = 0;
	pthread_mutex_lock(&f->lock);
	/* A list that arrives later must not bring work to an engine reserved before. */
	ep = fleet_find_or_add(f, name);
	if (!ep) {
		result = FLEET_MARK_FULL;
		goto out;
	}
	id = (int)(ep - f->endpoints);
	if (ep->down && now - ep->down_ms < DOWN_NEWS_MS)
		result = FLEET_MARK_DOWN;
	else if (endpoint_usable(ep, now) && !others_left(f, id, false, now))
		result = FLEET_MARK_LAST;
	else if (endpoint_usable(ep, now) && !others_left(f, id, true, now))
		result = ep->marked ? FLEET_MARK_LAST : FLEET_MARK_FULL;
	ep->marked = result == FLEET_MARK_KEPT || result == FLEET_MARK_LAST;
	*in_flight = ep->in_flight;
out:
	pthread_mutex_unlock(&f->lock);
	return result;
}

void fleet_unmark(struct fleet *f, const char *name)
{
	struct endpoint *ep;

	pthread_mutex_lock(&f->lock);
	ep = fleet_find(f, name);
	if (ep)
		ep->marked = false;
	pthread_mutex_unlock(&f->lock);
}
