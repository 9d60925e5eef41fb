/* Measures the time per policy decision for growing numbers of candidates or organisations. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/common/str.h"
#include "ibisgate/policy/place.h"
#include "ibisgate/policy/route.h"
#include "ibisgate/policy/share.h"

#define ROUNDS 5
#define ROUND_NS 20000000

#define COUNT_OF(a) (int)(sizeof(a) / sizeof((a)[0]))

static int64_t now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Prints the median of several rounds, since other processes share the machine. */
static void measure(const char *name, int n, void (*op)(void *ctx, uint64_t i), void *ctx)
{
	double ns[ROUNDS];
	uint64_t done = 0;

	for (int r = 0; r < ROUNDS; r++) {
		int64_t start = now_ns();
		int64_t end = start;
		uint64_t first = done;

		while (end - start < ROUND_NS) {
			for (int i = 0; i < 64; i++)
				op(ctx, done++);
			end = now_ns();
		}
		ns[r] = (double)(end - start) / (double)(done - first);
	}
	qsort(ns, ROUNDS, sizeof(ns[0]), compare_double);
	printf("%s n=%d ns=%.0f\n", name, n, ns[ROUNDS / 2]);
}

struct route_bench {
	struct route_candidate *cands;
	int count;
};

static void route_op(void *ctx, uint64_t i)
{
	struct route_bench *b = ctx;
	struct route_method m = { .kind = ROUTE_EXPECTED_FINISH };
	struct route_request req = {
		.prompt_tokens = 2000 + (int64_t)(i % 4096),
		.output_tokens = 200,
		.first_token_us = 640000,
		.gap_us = 59000,
		.tie_seed = i,
	};
	struct route_choice out;

	if (!route_pick(&m, b->cands, b->count, &req, &out))
		abort();
	b->cands[out.decode].decode_seqs = (int)(hash_mix(i, 3) % 32);
}

static void bench_route(int n, bool mixed)
{
	struct route_bench b = { .count = n };

	b.cands = mem_zalloc((size_t)n * sizeof(*b.cands));
	for (int i = 0; i < n; i++) {
		uint64_t r = hash_mix((uint64_t)i, 1);
		enum endpoint_role split = i % 4 ? ROLE_DECODE : ROLE_PREFILL;

		b.cands[i] = (struct route_candidate){
			.index = i,
			.role = mixed ? ROLE_MIXED : split,
			.usable = true,
			.prefill_backlog = (int64_t)(r % 8000),
			.decode_seqs = (int)(r >> 16) % 32,
			.decode_slots = 32,
			.distance_us = (int64_t)(r >> 40) % 3 * 1500,
			.cost = { 10000, 10000, 400, 2 },
		};
		if (b.cands[i].decode_seqs < 0)
			b.cands[i].decode_seqs = 0;
	}
	measure(mixed ? "route_pick_mixed" : "route_pick_pairs", n, route_op, &b);
	free(b.cands);
}

struct share_bench {
	struct share_queue *q;
	struct share_ticket *tickets;
	struct str *names;
	int count;
};

/* Admits, settles and re-enqueues one ticket while all organisations have a backlog. */
static void share_op(void *ctx, uint64_t i)
{
	struct share_bench *b = ctx;
	struct share_ticket *t = share_peek(b->q);

	share_admit(b->q, t, 0);
	t->cost_us = 500 + (int64_t)(hash_mix(i, 2) % 1000);
	share_enqueue(b->q, t, 0);
	share_correct_charge(b->q, t->organisation, 1, 1000, 900);
}

static void share_wait_op(void *ctx, uint64_t i)
{
	struct share_bench *b = ctx;
	struct share_ticket probe = {
		.organisation = b->names[i % (uint64_t)b->count],
		.weight = 1,
		.class = CLASS_NORMAL,
	};

	if (share_expected_wait_us(b->q, &probe, 10.0) < 0)
		abort();
}

static void bench_share(int n)
{
	struct share_bench b = { .q = share_create(), .count = n };

	b.tickets = mem_zalloc((size_t)n * sizeof(*b.tickets));
	b.names = mem_zalloc((size_t)n * sizeof(*b.names));
	for (int i = 0; i < n; i++) {
		char name[32];

		snprintf(name, sizeof(name), "organisation-%d", i);
		b.names[i] = str_from(mem_strdup(name));
		b.tickets[i] = (struct share_ticket){
			.organisation = b.names[i],
			.weight = 1,
			.class = CLASS_NORMAL,
			.cost_us = 1000,
			.deadline_ms = (int64_t)(hash_mix((uint64_t)i, 4) % 100000),
		};
		share_enqueue(b.q, &b.tickets[i], 0);
	}
	measure("share_cycle", n, share_op, &b);
	measure("share_wait", n, share_wait_op, &b);
	share_destroy(b.q);
	for (int i = 0; i < n; i++)
		free((char *)b.names[i].data);
	free(b.names);
	free(b.tickets);
}

struct place_bench {
	struct place_engine *engines;
	int count;
};

static void place_op(void *ctx, uint64_t i)
{
	static const struct place_speed speed = {
		.prefill_per_ms = 48, .mixed_per_ms = 24, .overhead_ms = 30, .transfer_per_ms = 1500
	};
	static const struct place_costs costs = { .remote_ms = 12,
						  .handoff_ms = 15,
						  .fetch_ms = 8,
						  .move_token_ms = 0.002,
						  .home_ms = 60,
						  .work_weight = 0.5,
						  .disturb_weight = 0.15 };
	static const struct place_request prompt = { .prompt_tokens = 17000,
						     .shared_tokens = 13300 };
	struct place_bench *b = ctx;
	struct place_choice out;

	b->engines[i % (uint64_t)b->count].backlog_tokens = (int64_t)(i % 7) * 4000;
	place_pick(b->engines, b->count, &prompt, &speed, &costs, &out);
}

/*
 * Uses the engines of a platform deployment: seven in ten are in the prefill role, and a third have
 * the shared prefix in their cache.
 */
static void bench_place(int n)
{
	struct place_bench b = { .count = n };

	b.engines = mem_zalloc(sizeof(*b.engines) * (size_t)n);
	for (int i = 0; i < n; i++) {
		int64_t kept = i % 3 ? 0 : 13300;

		b.engines[i] = (struct place_engine){
			.stage = i % 10 < 7 ? STAGE_PREFILL : STAGE_DECODE,
			.dc = i % 4,
			.usable = true,
			.active_requests = i % 64,
			.request_slots = 64,
			.cached_tokens = kept,
			.ready_tokens = kept,
			.home_score = hash_mix((uint64_t)i, 1),
		};
	}
	measure("place", n, place_op, &b);
	free(b.engines);
}

int main(void)
{
	static const int candidates[] = { 20, 71, 300, 1500 };
	static const int organisations[] = { 100, 1000, 5000, 21000 };
	static const int engines[] = { 18, 140, 750, 1500 };

	for (int i = 0; i < COUNT_OF(candidates); i++) {
		bench_route(candidates[i], true);
		bench_route(candidates[i], false);
	}
	for (int i = 0; i < COUNT_OF(organisations); i++)
		bench_share(organisations[i]);
	for (int i = 0; i < COUNT_OF(engines); i++)
		bench_place(engines[i]);
	return 0;
}
