#include <math.h>

#include "ibisgate/policy/endpoint_memory.h"

/* Used share of an engine's memory from which on instances report what they hold there. */
#define REPORTED_SHARE 0.25

/* Share of an engine's memory that several instances leave free while it is scarce. */
#define SCARCE_RESERVE 0.0625

/* Time for which a request holds its memory, until one has ended, in milliseconds. */
#define HOLD_DEFAULT_MS 500.0

/* Time constant of the flow of requests, in milliseconds. */
#define FLOW_MS 300.0

/* Time from a placement until other instances may know it, besides the interval of reports. */
#define REPORT_TRANSIT_MS 20.0

/* Reserve for uneven arrivals, in standard deviations of the number of late requests. */
#define UNEVEN_FACTOR 1.0

/* Weights of the others' flow to the engine and to all engines of the service. */
#define ENGINE_FLOW_WEIGHT 1.0
#define SERVICE_FLOW_WEIGHT 0.75

int64_t endpoint_memory_tokens(int64_t prompt, int64_t output)
{
	int64_t tokens = (prompt > 0 ? prompt : 0) + (output > 0 ? output : 0);

	return (tokens + MEMORY_BLOCK_TOKENS - 1) / MEMORY_BLOCK_TOKENS * MEMORY_BLOCK_TOKENS;
}

static double flow_decay(const struct token_flow *f, int64_t now_ms)
{
	return now_ms > f->at_ms ? exp(-(double)(now_ms - f->at_ms) / FLOW_MS) : 1;
}

void token_flow_add(struct token_flow *f, int64_t tokens, int64_t now_ms)
{
	f->tokens = f->tokens * flow_decay(f, now_ms) + (double)tokens;
	f->at_ms = now_ms;
}

double token_flow_per_ms(const struct token_flow *f, int64_t now_ms)
{
	return f->tokens * flow_decay(f, now_ms) / FLOW_MS;
}

int64_t endpoint_memory_late_tokens(const struct memory_reports *r)
{
	double hold_ms = fmax(r->hold_ms > 0 ? r->hold_ms : HOLD_DEFAULT_MS, r->report_ms);
	double engine_flow, service_flow;

	if (r->report_ms <= 0 || r->others <= 0)
		return 0;
	engine_flow = (double)r->engine_tokens / hold_ms;
	service_flow = fmax((double)r->service_tokens / hold_ms, r->own_per_ms * r->others);
	return (int64_t)((r->report_ms + REPORT_TRANSIT_MS) *
			 (ENGINE_FLOW_WEIGHT * engine_flow + SERVICE_FLOW_WEIGHT * service_flow));
}

bool endpoint_memory_is_reported(const struct endpoint_memory *m)
{
	return m->total_tokens > 0 &&
	       (double)m->held_tokens >= REPORTED_SHARE * (double)m->total_tokens;
}

bool endpoint_memory_is_scarce(const struct endpoint_memory *m, int64_t tokens)
{
	int64_t free_tokens = m->total_tokens - m->held_tokens - tokens;
	double late = (double)m->late_tokens;

	if (m->total_tokens <= 0)
		return false;
	if (free_tokens < 0)
		return true;
	return endpoint_memory_is_reported(m) &&
	       (double)free_tokens < late + UNEVEN_FACTOR * sqrt(late * (double)tokens);
}

bool endpoint_memory_has_room(const struct endpoint_memory *m, int64_t tokens)
{
	/* What was free by the last reports. */
	double free_tokens = (double)(m->total_tokens - m->held_tokens + m->unreported_tokens);
	double share = 1;

	if (!endpoint_memory_is_scarce(m, tokens))
		return true;
	if (tokens > m->total_tokens)
		return m->held_tokens <= 0;
	if (m->late_tokens) {
		free_tokens -= SCARCE_RESERVE * (double)m->total_tokens;
		share = exp2(-(m->rank + 1));
	}
	return (double)(m->unreported_tokens + tokens) <= share * free_tokens;
}
