#include "ibisgate/state/relay.h"

#include "ibisgate/common/hash.h"

int relay_poller(const char *engine, const char (*ids)[MEMBER_ID_MAX], int count)
{
	uint64_t key = hash_str(str_from(engine), 0);
	uint64_t best = 0;
	int best_index = -1;

	for (int i = 0; i < count; i++) {
		uint64_t score = hash_mix(key, hash_str(str_from(ids[i]), 0));

		if (best_index >= 0 && score <= best)
			continue;
		best = score;
		best_index = i;
	}
	return best_index;
}

static bool budget_consume(struct relay_budget *b, int64_t now_ms)
{
	double added = (double)(now_ms - b->at_ms) * RELAY_DIRECT_POLLS_PER_S / 1000.0;

	b->tokens = b->at_ms ? b->tokens + added : RELAY_DIRECT_POLLS_PER_S;
	if (b->tokens > RELAY_DIRECT_POLLS_PER_S)
		b->tokens = RELAY_DIRECT_POLLS_PER_S;
	b->at_ms = now_ms;
	if (b->tokens < 1)
		return false;
	b->tokens -= 1;
	return true;
}

enum relay_poll relay_poll_decide(const struct relay_view *v, struct relay_budget *b,
				  int64_t now_ms)
{
	bool stale = v->report_unusable || now_ms - v->report_ms >= RELAY_REPORT_MAX_AGE_MS;

	if (v->engines <= RELAY_ENGINES_MIN || v->is_poller)
		return RELAY_POLL_OWN;
	if (v->crash_unconfirmed)
		return RELAY_POLL_EVIDENCE;
	/* An engine that does not answer must not use up the budget of the others. */
	if (!stale || (v->last_poll_ms && now_ms - v->last_poll_ms < RELAY_REPORT_MAX_AGE_MS))
		return RELAY_POLL_NONE;
	return budget_consume(b, now_ms) ? RELAY_POLL_STALE : RELAY_POLL_NONE;
}
