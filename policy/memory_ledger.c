#include "ibisgate/policy/memory_ledger.h"

/* Share of the machine's memory that is held for others; the rest is the instance's own state. */
#define LEDGER_SHARE 0.5

/* Memory of a machine that is not known, in MB. */
#define MEMORY_DEFAULT_MB 1024

/* Share of the ledger that large bodies may take all together, and that answers may. */
#define LARGE_BODIES_SHARE 0.5
#define ANSWERS_SHARE 0.5

/*
 * Unread bytes of one answer above which its endpoint is held back, at least and at most, and a
 * quarter of what is left of these for all answers, which is also a share of the answers' memory.
 */
#define UNREAD_MIN_BYTES (256 << 10)
#define UNREAD_MAX_BYTES (4 << 20)
#define UNREAD_ALL_MAX_BYTES (32 << 20)
#define UNREAD_SHARE 0.25

/* Time for which an endpoint may be held back without any progress, in milliseconds. */
#define HELD_BACK_MAX_MS 500

/* Share that bodies and connections leave to the answers of requests that have run. */
#define ANSWERS_RESERVE 0.125

/* Time without progress after which an unread answer is given up, and a large one in need. */
#define ANSWER_STALLED_MS 1000
#define LARGE_ANSWER_STALLED_MS 100
#define LARGE_ANSWER_BYTES (256 << 10)

/* Age of a connection without a request that is closed for its memory, in milliseconds. */
#define CONNECTION_SPARE_MS 1000

/* A body is held for a repeat and once more while it is sent. */
#define BODY_COPIES 2

/* First step in which the memory of a body without a length grows, in bytes; each doubles. */
#define BODY_STEP_MIN 4096

/*
 * Silence of a body whose sender has room to send, in milliseconds. The first repeat of a lost
 * packet comes after 200 to 300 ms.
 */
#define BODY_SILENT_MS 400

/* Descriptors that the platform keeps for files. */
#define FILE_DESCRIPTORS 200

/*
 * Share of the others that callers' connections may take: as many again connect to endpoints, and
 * a tenth is for idle connections to endpoints, the store, other instances and listeners.
 */
#define CALLERS_SHARE 0.45

/* Share of callers' connections that those without a request have apart from the others. */
#define UNUSED_SHARE 0.25

/* Share that peers' connections have apart from that of callers. */
#define PEERS_SHARE 0.05

/*
 * Connections that peers hold at most, several times those of the largest fleet, and the share
 * of the descriptors that they may take where that is less.
 */
#define PEERS_MAX 1024
#define PEERS_MAX_SHARE 0.5

/* Connections that may still be accepted before a pause takes effect. */
#define PEERS_LATE 32

/* Share of the bound that is free again before further connections of peers are accepted. */
#define PEERS_ROOM_SHARE 0.125

void memory_ledger_init(struct memory_ledger *l, int64_t memory_mb)
{
	*l = (struct memory_ledger){ 0 };
	l->limit = (int64_t)(LEDGER_SHARE * (double)(memory_mb ? memory_mb : MEMORY_DEFAULT_MB) *
			     (1 << 20));
}

/* What bodies and connections may hold. */
static int64_t requests_max(const struct memory_ledger *l)
{
	return (int64_t)((1 - ANSWERS_RESERVE) * (double)l->limit);
}

void memory_ledger_set(struct memory_ledger *l, enum ledger_purpose purpose, int64_t *held,
		       int64_t bytes)
{
	l->held[purpose] += bytes - *held;
	l->total += bytes - *held;
	*held = bytes;
}

int64_t memory_ledger_body_bytes(int64_t received, int64_t announced)
{
	int64_t step = BODY_STEP_MIN;

	if (announced >= 0)
		return BODY_COPIES * announced;
	while (step <= received)
		step *= 2;
	return BODY_COPIES * step;
}

bool memory_ledger_has_room(const struct memory_ledger *l, int64_t held, int64_t bytes,
			    int64_t body_max)
{
	int64_t others = l->total - held;
	int64_t large = (int64_t)(LARGE_BODIES_SHARE * (double)l->limit);

	if (bytes <= BODY_COPIES * LEDGER_SMALL_BODY)
		return others + bytes <= requests_max(l);
	/* Memory for one largest body, however small the machine. */
	if (large < 2 * BODY_COPIES * body_max)
		large = 2 * BODY_COPIES * body_max;
	return l->held[LEDGER_BODIES] - held + bytes <= large &&
	       (others + bytes <= requests_max(l) || !(l->held[LEDGER_BODIES] - held));
}

bool memory_ledger_is_over(const struct memory_ledger *l)
{
	return l->total > l->limit;
}

bool memory_ledger_is_crowded(const struct memory_ledger *l)
{
	return memory_ledger_is_over(l) ||
	       l->held[LEDGER_BODIES] + l->held[LEDGER_CONNECTIONS] > requests_max(l);
}

int64_t memory_ledger_answers_max(const struct memory_ledger *l)
{
	return (int64_t)(ANSWERS_SHARE * (double)l->limit);
}

int64_t memory_ledger_unread_max(const struct memory_ledger *l)
{
	int64_t all = (int64_t)(UNREAD_SHARE * (double)memory_ledger_answers_max(l));
	int64_t most;

	if (all > UNREAD_ALL_MAX_BYTES)
		all = UNREAD_ALL_MAX_BYTES;
	most = (int64_t)(UNREAD_SHARE * (double)(all - l->held[LEDGER_UNREAD]));
	if (most < UNREAD_MIN_BYTES)
		return UNREAD_MIN_BYTES;
	return most < UNREAD_MAX_BYTES ? most : UNREAD_MAX_BYTES;
}

bool memory_ledger_may_trickle(const struct memory_ledger *l, int64_t held_back_ms)
{
	return held_back_ms >= HELD_BACK_MAX_MS && !memory_ledger_is_crowded(l) &&
	       l->held[LEDGER_UNREAD] < memory_ledger_answers_max(l);
}

bool unfinished_body_is_silent(const struct unfinished_body *b)
{
	return b->silent_ms >= BODY_SILENT_MS;
}

double unfinished_body_cost(const struct unfinished_body *b)
{
	double rate = (double)(b->received_bytes + 1) / (double)(b->age_ms + 1);

	if (unfinished_body_is_silent(b))
		return 1 + (double)b->held_bytes * (double)b->silent_ms;
	return 1 / (1 + rate);
}

double unread_answer_cost(const struct memory_ledger *l, const struct unread_answer *a)
{
	bool is_scarce = l->held[LEDGER_UNREAD] > memory_ledger_answers_max(l);
	bool is_large = a->bytes > LARGE_ANSWER_BYTES;

	if (a->stalled_ms < (is_scarce && is_large ? LARGE_ANSWER_STALLED_MS : ANSWER_STALLED_MS))
		return 0;
	return (double)a->bytes * (double)a->stalled_ms;
}

bool connection_is_spare(int64_t age_ms)
{
	return age_ms >= CONNECTION_SPARE_MS;
}

static int share_of_descriptors(double share, int64_t descriptors)
{
	int64_t most = (int64_t)(share * (double)(descriptors - FILE_DESCRIPTORS));

	return most < 1 ? 1 : most > INT32_MAX ? INT32_MAX : (int)most;
}

int connections_max(int64_t descriptors)
{
	return share_of_descriptors(CALLERS_SHARE, descriptors);
}

bool unused_connections_go_first(int unused, int max)
{
	return unused > (int)(UNUSED_SHARE * (double)max);
}

int connections_max_beside(int64_t descriptors, int peer_connections)
{
	int spare = share_of_descriptors(PEERS_SHARE, descriptors);

	return connections_max(peer_connections > spare ? descriptors + spare - peer_connections
							: descriptors);
}

int peer_connections_max(int64_t descriptors)
{
	int most = share_of_descriptors(PEERS_MAX_SHARE, descriptors) - PEERS_LATE;

	return most < 1 ? 1 : most < PEERS_MAX ? most : PEERS_MAX;
}

bool peer_accept_is_paused(bool is_paused, int held, int max)
{
	if (is_paused)
		return held > (int)((1 - PEERS_ROOM_SHARE) * (double)max);
	return held >= max;
}
