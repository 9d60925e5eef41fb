#ifndef IBISGATE_POLICY_SCALING_H
#define IBISGATE_POLICY_SCALING_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/state/routing_table.h"

/*
 * Number of endpoints of one service to order from the platform, by data centre and kind.
 *
 * Load: callers whose demand swings by a quarter to a half within ten to twenty seconds and is a
 * small part of what a fleet sized by hand can serve; a sudden step; a platform that takes all
 * reclaimable endpoints of a data centre back at once and has no new ones for a while.
 */

/** enum endpoint_kind - kinds of endpoints; each is ordered by itself */
enum endpoint_kind {
	ENDPOINT_REGULAR,
	/* Cheaper; the platform may take back all of a data centre at once. */
	ENDPOINT_RECLAIMABLE,
	ENDPOINT_KINDS,
};

/* Time between two samples of the demand, in milliseconds, and number of samples kept. */
#define SCALING_SAMPLE_MS 500
#define SCALING_SAMPLES 40

/**
 * struct scaling_dc - one data centre as seen now
 * @price: price of a second of a regular endpoint
 * @prefill_ms: engine time for prefill that callers there have asked for, at the target utilisation
 *	of the engines; a running total in milliseconds
 * @decode_ms: the same for decode
 * @there: listed endpoints of each kind that don't leave
 * @reclaimed: listed reclaimable endpoints that leave
 */
struct scaling_dc {
	double price;
	double prefill_ms;
	double decode_ms;
	int there[ENDPOINT_KINDS];
	int reclaimed;
};

/**
 * struct scaling_view - one service as seen now; the index of a data centre never changes
 * @prefill_share: fraction of its engines in the prefill stage; negative when not known
 */
struct scaling_view {
	const struct scaling_spec *spec;
	double prefill_share;
	int dc_count;
	struct scaling_dc dcs[ROUTING_DCS_MAX];
};

/** struct scaling_rate - engines that the demand keeps busy at the target utilisation */
struct scaling_rate {
	double prefill;
	double decode;
};

/**
 * struct scaling_orders - orders for one kind in one data centre
 * @ordered: count of the last accepted order; -1 when this instance has sent none
 * @unanswered: count of an order that may have taken effect; -1 without one
 * @repeats: orders in series that had no answer
 * @in_flight: an order waits for its answer
 * @sent_ms: time of the last order; 0 without one
 * @differs_since_ms: since when another number is wanted; 0 when it isn't
 * @refused_until_ms: the platform has none; no increase before then
 * @refusals: refused in series
 * @unmet: orders in series after which the expected endpoints were not there
 */
struct scaling_orders {
	int ordered;
	int unanswered;
	int repeats;
	bool in_flight;
	int64_t sent_ms;
	int64_t differs_since_ms;
	int64_t refused_until_ms;
	int refusals;
	int unmet;
};

/**
 * struct scaling_dc_state - what is known of one data centre
 * @last: totals of the last sample
 * @rates: rates of the last samples, a ring
 * @smooth: @rates smoothed
 * @now: newest of @smooth
 * @wanted: endpoints wanted of each kind
 * @engines: endpoints that the demand needs
 * @kept: regular endpoints kept, whatever reclaimable ones are there; 0 before demand is seen
 */
struct scaling_dc_state {
	struct scaling_rate last;
	struct scaling_rate rates[SCALING_SAMPLES];
	struct scaling_rate smooth[SCALING_SAMPLES];
	struct scaling_rate now;
	int wanted[ENDPOINT_KINDS];
	double engines;
	double kept;
	struct scaling_orders orders[ENDPOINT_KINDS];
};

/**
 * struct scaling - state of the decision for one service
 * @samples: number of samples taken
 * @sampled_ms: time of the last one
 * @demand_since_ms: first demand; 0 before
 * @shrunk_ms: when orders for fewer endpoints began to be sent last
 * @needed: engines needed at the last samples, a ring
 * @engines: engines needed for all data centres
 */
struct scaling {
	int64_t samples;
	int64_t sampled_ms;
	int64_t demand_since_ms;
	int64_t shrunk_ms;
	double needed[SCALING_SAMPLES];
	double engines;
	struct scaling_dc_state dcs[ROUTING_DCS_MAX];
};

/** struct scaling_order - number of endpoints to order; @former is the count before */
struct scaling_order {
	int dc;
	enum endpoint_kind kind;
	int wanted;
	int former;
};

/** enum scaling_answer - what the platform said to an order */
enum scaling_answer {
	SCALING_ACCEPTED,
	/* There are none of this kind in this data centre at the moment. */
	SCALING_UNAVAILABLE,
	/* Certainly not carried out. */
	SCALING_NOT_SENT,
	SCALING_UNANSWERED,
};

void scaling_init(struct scaling *s);

/** scaling_observe - take a sample of the demand if one is due, and update what is wanted */
void scaling_observe(struct scaling *s, const struct scaling_view *v, int64_t now_ms);

/**
 * scaling_next_order - next order to send, increases first
 *
 * Return: false when none is due.
 */
bool scaling_next_order(struct scaling *s, const struct scaling_view *v, int64_t now_ms,
			struct scaling_order *out);

/** scaling_order_sent - @o has been sent; scaling_order_done() follows */
void scaling_order_sent(struct scaling *s, const struct scaling_order *o, int64_t now_ms);
void scaling_order_done(struct scaling *s, const struct scaling_order *o,
			enum scaling_answer answer, int64_t now_ms);

/** scaling_forget_orders - another instance may have sent orders since the last one of this one */
void scaling_forget_orders(struct scaling *s);

/** scaling_price - price of a second of an endpoint in a data centre; 1 when none is given */
double scaling_price(const struct scaling_spec *spec, const char *dc, enum endpoint_kind kind);

#endif
