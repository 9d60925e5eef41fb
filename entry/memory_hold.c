#include "exchange.h"
#include "ibisgate/common/clock.h"

/* Weight of one request in the means of a service, which cover about the last 50. */
#define HOLD_WEIGHT 0.02

static void mean_add(double *mean, double value)
{
	*mean += *mean > 0 ? HOLD_WEIGHT * (value - *mean) : value;
}

void memory_hold_set(struct exchange *x, enum memory_hold_kind kind, struct endpoint *ep)
{
	struct memory_hold *h = &x->holds[kind];
	int64_t output_tokens = kind == HOLD_DECODE ? x->in.output_tokens : 0;

	if (h->endpoint == ep)
		return;
	memory_hold_release(x, kind);
	*h = (struct memory_hold){
		.endpoint = ep,
		.tokens = endpoint_memory_tokens(x->in.prompt_tokens, output_tokens),
		.since_ms = clock_boot_ms(),
	};
	ep->refs++;
	ep->held_tokens += h->tokens;
	mean_add(&x->service->held_tokens_mean, (double)h->tokens);
	peers_mark_changed(x->entry->peers);
}

void memory_hold_release(struct exchange *x, enum memory_hold_kind kind)
{
	struct memory_hold *h = &x->holds[kind];

	if (!h->endpoint)
		return;
	h->endpoint->held_tokens -= h->tokens;
	mean_add(&x->service->held_ms_mean[kind == HOLD_PREFILL ? STAGE_PREFILL : STAGE_DECODE],
		 (double)(clock_boot_ms() - h->since_ms));
	endpoint_put(h->endpoint);
	h->endpoint = NULL;
	peers_mark_changed(x->entry->peers);
}
