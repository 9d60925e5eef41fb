#include <math.h>
#include <string.h>

#include "ibisgate/common/hash.h"
#include "ibisgate/policy/route.h"

/* Cost of exceeding a limit by 1 us, in microseconds of finish time. */
#define LIMIT_MISS_WEIGHT 8.0

/*
 * Placements whose cost exceeds the best by at most this fraction of its finish time are treated as
 * ties, which the request's random value breaks. Otherwise all instances, which share the same
 * delayed view, would choose the same engine.
 */
#define TIE_FRACTION 0.02

/* Prefill engines combined with every decode engine; bounds the number of pairs evaluated. */
#define PREFILL_SHORTLIST 4

/*
 * Load assumed to have been added since the last report of an engine that other instances prefer:
 * prefill work, and one in this many of its decode slots.
 */
#define PREFERRED_BACKLOG_US 150000.0
#define PREFERRED_SLOT_DIVISOR 8

/* Estimate for one placement; @cost adds the penalties for missed limits to @finish_us. */
struct estimate {
	double first_us;
	double gap_us;
	double finish_us;
	double cost;
	bool fits;
};

/* Prefill engines with the lowest keys, in ascending order; higher @tie first on equal keys. */
struct shortlist {
	int count;
	int pos[PREFILL_SHORTLIST];
	double key[PREFILL_SHORTLIST];
	double prefill_us[PREFILL_SHORTLIST];
	uint64_t tie[PREFILL_SHORTLIST];
};

/*
 * Scan over all placements that skips those whose cost exceeds @limit. In the first pass, @limit is
 * the lowest cost so far; in the second pass, it includes all ties with the best placement, and the
 * one with the highest @tie is chosen.
 */
struct scan {
	const struct route_candidate *cands;
	const struct route_request *req;
	bool second_pass;
	bool found;
	double limit;
	uint64_t tie;
	int prefill;
	int decode;
	struct estimate best;
};

static bool can_prefill(const struct route_candidate *c)
{
	return c->usable && c->role == ROLE_PREFILL;
}

static bool can_decode(const struct route_candidate *c)
{
	return c->usable && c->role == ROLE_DECODE;
}

static bool is_mixed(const struct route_candidate *c)
{
	return c->usable && c->role == ROLE_MIXED;
}

static double tokens_us(const struct route_candidate *c, int64_t tokens)
{
	if (tokens <= 0)
		return 0;
	return (double)tokens * 1e6 / fmax(c->cost.prefill_tokens_per_s, 1.0);
}

static double backlog_us(const struct route_candidate *c)
{
	return tokens_us(c, c->prefill_backlog) +
	       (c->preferred_by_others ? PREFERRED_BACKLOG_US : 0);
}

/* Time from the gateway's call until its reply that the prompt is in the KV cache. */
static double prefill_us(const struct route_candidate *c, const struct route_request *req)
{
	return 2.0 * (double)c->distance_us + backlog_us(c) +
	       tokens_us(c, req->prompt_tokens - c->cached_tokens);
}

/* Estimated current number of sequences. */
static int seqs_estimate(const struct route_candidate *c)
{
	return c->decode_seqs +
	       (c->preferred_by_others ? c->decode_slots / PREFERRED_SLOT_DIVISOR : 0);
}

static double step_us(const struct route_candidate *c)
{
	return c->cost.step_base_us + c->cost.step_per_seq_us * (double)(seqs_estimate(c) + 1);
}

static double output_tokens(const struct route_request *req)
{
	return req->output_tokens > 0 ? (double)req->output_tokens : 1.0;
}

/* Wait for a decode slot, assuming that sequences end evenly and are as long as this request. */
static double slot_wait_us(const struct route_candidate *c, const struct route_request *req)
{
	int excess_seqs = seqs_estimate(c) + 1 - c->decode_slots;
	int slots = c->decode_slots > 0 ? c->decode_slots : 1;

	if (excess_seqs <= 0)
		return 0;
	return (double)excess_seqs * output_tokens(req) * step_us(c) / (double)slots;
}

/*
 * Time in which the decode engine fetches the KV cache from the prefill engine. Only latencies from
 * this instance are known; the larger one approximates the latency between the engines.
 */
static double transfer_us(const struct route_candidate *p, const struct route_candidate *d,
			  const struct route_request *req)
{
	double distance = fmax((double)p->distance_us, (double)d->distance_us);
	double token = fmax(p->cost.kv_token_us, d->cost.kv_token_us);

	return 2.0 * distance + (double)req->prompt_tokens * token;
}

static struct estimate estimate_make(double first_us, double gap_us, bool slot_free,
				     const struct route_request *req)
{
	double tokens = output_tokens(req);
	double first_excess_us = fmax(0, first_us - (double)req->first_token_us);
	double gap_excess_us = fmax(0, gap_us - (double)req->gap_us) * (tokens - 1);
	struct estimate e = {
		.first_us = first_us,
		.gap_us = gap_us,
		.finish_us = first_us + gap_us * (tokens - 1),
		.fits = slot_free && first_us <= (double)req->first_token_us &&
			gap_us <= (double)req->gap_us,
	};

	e.cost = e.finish_us + LIMIT_MISS_WEIGHT * (first_excess_us + gap_excess_us);
	return e;
}

static struct estimate estimate_mixed(const struct route_candidate *c,
				      const struct route_request *req)
{
	double first = prefill_us(c, req) + slot_wait_us(c, req) + step_us(c);
	/* Approximates the prefill work that interrupts the decode steps by the current backlog. */
	double gap = step_us(c) + backlog_us(c) / output_tokens(req);

	return estimate_make(first, gap, seqs_estimate(c) < c->decode_slots, req);
}

/* Part of an estimate that depends only on the decode engine. */
struct decode_part {
	double first_us;
	double gap_us;
	bool slot_free;
};

static struct decode_part decode_part(const struct route_candidate *c,
				      const struct route_request *req)
{
	double step = step_us(c);

	return (struct decode_part){
		.first_us = 2.0 * (double)c->distance_us + slot_wait_us(c, req) + step,
		.gap_us = step,
		.slot_free = seqs_estimate(c) < c->decode_slots,
	};
}

static uint64_t tie_value(const struct scan *s, int prefill, int decode)
{
	uint64_t pair = (uint64_t)(uint32_t)s->cands[prefill].index << 32 |
			(uint32_t)s->cands[decode].index;

	return hash_mix(s->req->tie_seed, pair);
}

static void scan_set_best(struct scan *s, int prefill, int decode, const struct estimate *e)
{
	s->found = true;
	s->prefill = prefill;
	s->decode = decode;
	s->best = *e;
}

static void scan_consider(struct scan *s, int prefill, int decode, struct estimate e)
{
	uint64_t tie;

	if (e.cost > s->limit)
		return;
	if (!s->second_pass) {
		s->limit = e.cost;
		scan_set_best(s, prefill, decode, &e);
		return;
	}
	tie = tie_value(s, prefill, decode);
	if (s->found && tie <= s->tie)
		return;
	s->tie = tie;
	scan_set_best(s, prefill, decode, &e);
}

static void shortlist_add(struct shortlist *l, int pos, double key, uint64_t tie)
{
	int i = l->count < PREFILL_SHORTLIST ? l->count++ : PREFILL_SHORTLIST;

	while (i > 0 && (key < l->key[i - 1] || (key == l->key[i - 1] && tie > l->tie[i - 1]))) {
		i--;
		if (i + 1 < PREFILL_SHORTLIST) {
			l->pos[i + 1] = l->pos[i];
			l->key[i + 1] = l->key[i];
			l->tie[i + 1] = l->tie[i];
		}
	}
	if (i >= PREFILL_SHORTLIST)
		return;
	l->pos[i] = pos;
	l->key[i] = key;
	l->tie[i] = tie;
}

/*
 * Sort key of the shortlist: prefill time plus a lower bound of the transfer time. For each prefill
 * engine in the shortlist, all decode engines are evaluated. The cost of the result therefore
 * exceeds that of the best of all pairs by at most the range of the transfer time plus the tie
 * width, each weighted with 1 + LIMIT_MISS_WEIGHT.
 */
static double prefill_key(const struct route_candidate *c, const struct route_request *req)
{
	return prefill_us(c, req) + transfer_us(c, c, req);
}

static void shortlist_fill(struct shortlist *l, const struct route_candidate *cands, int count,
			   const struct route_request *req)
{
	double best_key = INFINITY;

	for (int i = 0; i < count; i++) {
		if (can_prefill(&cands[i]))
			best_key = fmin(best_key, prefill_key(&cands[i], req));
	}
	for (int i = 0; i < count; i++) {
		double key;
		uint64_t tie;

		if (!can_prefill(&cands[i]))
			continue;
		key = fmax(prefill_key(&cands[i], req), best_key * (1 + TIE_FRACTION));
		if (l->count == PREFILL_SHORTLIST && key > l->key[PREFILL_SHORTLIST - 1])
			continue;
		tie = hash_mix(req->tie_seed, (uint64_t)(uint32_t)cands[i].index);
		shortlist_add(l, i, key, tie);
	}
	for (int i = 0; i < l->count; i++)
		l->prefill_us[i] = prefill_us(&cands[l->pos[i]], req);
}

static void scan_mixed(struct scan *s, int pos)
{
	const struct route_candidate *c = &s->cands[pos];

	/* The decode time alone excludes most engines and is computed without a division. */
	if (step_us(c) * output_tokens(s->req) <= s->limit)
		scan_consider(s, pos, pos, estimate_mixed(c, s->req));
}

static void scan_pairs(struct scan *s, const struct shortlist *l, int decode)
{
	const struct route_candidate *d = &s->cands[decode];
	struct decode_part part = decode_part(d, s->req);
	double min_finish_us = part.first_us + part.gap_us * (output_tokens(s->req) - 1);

	if (min_finish_us > s->limit)
		return;
	for (int i = 0; i < l->count; i++) {
		double first = l->prefill_us[i] + part.first_us +
			       transfer_us(&s->cands[l->pos[i]], d, s->req);

		scan_consider(s, l->pos[i], decode,
			      estimate_make(first, part.gap_us, part.slot_free, s->req));
	}
}

static void scan_run(struct scan *s, const struct shortlist *l, int count)
{
	const struct route_candidate *cands = s->cands;

	for (int i = 0; i < count; i++) {
		if (is_mixed(&cands[i]))
			scan_mixed(s, i);
		else if (can_decode(&cands[i]))
			scan_pairs(s, l, i);
	}
}

static int64_t to_us(double us)
{
	return us >= (double)INT64_MAX ? INT64_MAX : (int64_t)us;
}

static void choice_fill(struct route_choice *out, int prefill, int decode, struct estimate e)
{
	*out = (struct route_choice){
		.prefill = prefill,
		.decode = decode,
		.first_token_us = to_us(e.first_us),
		.gap_us = to_us(e.gap_us),
		.finish_us = to_us(e.finish_us),
		.fits = e.fits,
	};
}

static struct estimate estimate_placement(const struct route_candidate *cands, int prefill,
					  int decode, const struct route_request *req)
{
	const struct route_candidate *p = &cands[prefill];
	const struct route_candidate *d = &cands[decode];
	struct decode_part part = decode_part(d, req);
	double first = prefill_us(p, req) + transfer_us(p, d, req) + part.first_us;

	return prefill == decode ? estimate_mixed(d, req)
				 : estimate_make(first, part.gap_us, part.slot_free, req);
}

/* Fills @out with the estimates for a placement chosen by a baseline algorithm. */
static void choice_set(struct route_choice *out, const struct route_candidate *cands, int prefill,
		       int decode, const struct route_request *req)
{
	choice_fill(out, prefill, decode, estimate_placement(cands, prefill, decode, req));
}

void route_figures_get(const struct route_candidate *cands, int prefill, int decode,
		       const struct route_request *req, struct route_figures *out)
{
	const struct route_candidate *p = &cands[prefill];
	const struct route_candidate *d = &cands[decode];
	struct estimate e = estimate_placement(cands, prefill, decode, req);

	*out = (struct route_figures){
		.queue_us = backlog_us(p),
		.read_us = tokens_us(p, req->prompt_tokens - p->cached_tokens),
		.slot_wait_us = slot_wait_us(d, req),
		.first_token_us = e.first_us,
		.gap_us = e.gap_us,
		.finish_us = e.finish_us,
		.cost_us = e.cost,
		.tie_us = e.finish_us * TIE_FRACTION,
		.fits = e.fits,
	};
}

int64_t route_unqueued_first_token_us(const struct route_candidate *p,
				      const struct route_candidate *d,
				      const struct route_request *req)
{
	double us = 2.0 * (double)p->distance_us +
		    tokens_us(p, req->prompt_tokens - p->cached_tokens) + step_us(d);

	if (p != d)
		us += transfer_us(p, d, req) + 2.0 * (double)d->distance_us;
	return to_us(us);
}

static bool pick_expected_finish(const struct route_candidate *cands, int count,
				 const struct route_request *req, struct route_choice *out)
{
	struct shortlist l = { 0 };
	struct scan s = { .cands = cands, .req = req, .limit = INFINITY };

	shortlist_fill(&l, cands, count, req);
	scan_run(&s, &l, count);
	if (!s.found)
		return false;
	s.limit = s.best.cost + s.best.finish_us * TIE_FRACTION;
	s.second_pass = true;
	s.found = false;
	scan_run(&s, &l, count);
	choice_fill(out, s.prefill, s.decode, s.best);
	return true;
}

static int role_nth(const struct route_candidate *cands, int count, enum endpoint_role role,
		    uint64_t n)
{
	for (int i = 0; i < count; i++) {
		if (cands[i].usable && cands[i].role == role && n-- == 0)
			return i;
	}
	return -1;
}

static uint64_t role_count(const struct route_candidate *cands, int count, enum endpoint_role role)
{
	uint64_t n = 0;

	for (int i = 0; i < count; i++)
		n += cands[i].usable && cands[i].role == role;
	return n;
}

static bool pick_round_robin(uint64_t *next, const struct route_candidate *cands, int count,
			     const struct route_request *req, struct route_choice *out)
{
	uint64_t mixed = role_count(cands, count, ROLE_MIXED);
	uint64_t prefill = role_count(cands, count, ROLE_PREFILL);
	uint64_t decode = prefill ? role_count(cands, count, ROLE_DECODE) : 0;
	uint64_t turn;
	uint64_t round;
	int p;
	int d;

	if (!mixed && !decode)
		return false;
	turn = *next % (mixed + decode);
	round = *next / (mixed + decode);
	++*next;
	if (turn < mixed || !prefill) {
		d = role_nth(cands, count, ROLE_MIXED, turn);
		p = d;
	} else {
		/* Prefill engines rotate over all pairs, not over the positions within a round. */
		d = role_nth(cands, count, ROLE_DECODE, turn - mixed);
		p = role_nth(cands, count, ROLE_PREFILL, (round * decode + turn - mixed) % prefill);
	}
	choice_set(out, cands, p, d, req);
	return true;
}

static bool less_in_flight(const struct route_candidate *a, const struct route_candidate *b)
{
	if (a->role == ROLE_PREFILL || a->decode_seqs == b->decode_seqs)
		return a->prefill_backlog < b->prefill_backlog;
	return a->decode_seqs < b->decode_seqs;
}

/* Starts at a position that depends on @spread; the first of several equal candidates is chosen. */
static int least_in_flight(const struct route_candidate *cands, int count, enum endpoint_role role,
			   uint64_t spread)
{
	int best = -1;

	for (int i = 0; i < count; i++) {
		int pos = (int)((spread % (uint64_t)count + (uint64_t)i) % (uint64_t)count);

		if (!cands[pos].usable || cands[pos].role != role)
			continue;
		if (best < 0 || less_in_flight(&cands[pos], &cands[best]))
			best = pos;
	}
	return best;
}

static bool pick_least_inflight(const struct route_candidate *cands, int count,
				const struct route_request *req, struct route_choice *out)
{
	int m = least_in_flight(cands, count, ROLE_MIXED, req->tie_seed);
	int p = least_in_flight(cands, count, ROLE_PREFILL, req->tie_seed);
	int d = least_in_flight(cands, count, ROLE_DECODE, req->tie_seed);
	bool pair = p >= 0 && d >= 0;

	if (m < 0 && !pair)
		return false;
	if (m >= 0 && (!pair || cands[m].decode_seqs <= cands[d].decode_seqs)) {
		p = m;
		d = m;
	}
	choice_set(out, cands, p, d, req);
	return true;
}

bool route_pick(struct route_method *method, const struct route_candidate *cands, int count,
		const struct route_request *req, struct route_choice *out)
{
	switch (method->kind) {
	case ROUTE_EXPECTED_FINISH:
		return pick_expected_finish(cands, count, req, out);
	case ROUTE_ROUND_ROBIN:
		return pick_round_robin(&method->u.round_robin.next, cands, count, req, out);
	case ROUTE_LEAST_INFLIGHT:
		return pick_least_inflight(cands, count, req, out);
	}
	return false;
}

bool route_method_parse(const char *name, struct route_method *out)
{
	static const char *const names[] = {
		[ROUTE_EXPECTED_FINISH] = "expected-finish",
		[ROUTE_ROUND_ROBIN] = "round-robin",
		[ROUTE_LEAST_INFLIGHT] = "least-inflight",
	};

	for (int i = 0; i < (int)(sizeof(names) / sizeof(names[0])); i++) {
		if (strcmp(name, names[i]) != 0)
			continue;
		*out = (struct route_method){ .kind = (enum route_kind)i };
		return true;
	}
	return false;
}
