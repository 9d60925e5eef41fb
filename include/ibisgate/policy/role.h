#ifndef IBISGATE_POLICY_ROLE_H
#define IBISGATE_POLICY_ROLE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/policy/route.h"

#define ROLE_DCS_MAX 32
#define ROLE_STARTS_MAX 1000

enum role_kind {
	ROLE_FIXED,
	ROLE_GREEDY,
	ROLE_HORIZON,
};

/**
 * struct role_method - role change policy
 * @horizon_ms: time over which a gain is counted
 * @margin: the gain must exceed the loss by this factor
 * @min_dwell_ms: least time between two changes in the region's view
 * @hysteresis: relative imbalance below which nothing is done
 * @smooth_ms: time constant of the demand average
 * @urgent: relative imbalance above which a change waits for the average alone. One between
 *	@hysteresis and this has to stand on average over the horizon, and is then corrected by
 *	one engine a horizon. 0: every imbalance above @hysteresis is urgent.
 */
struct role_method {
	enum role_kind kind;
	union {
		struct {
			int64_t horizon_ms;
			double margin;
			int64_t min_dwell_ms;
			double hysteresis;
			int64_t smooth_ms;
			double urgent;
		} horizon;
	} u;
};

/**
 * struct role_dc - engines of one data centre by role
 * @prefill: including @to_prefill, likewise @decode
 * @changing: engines that are away for a change, whatever its target
 * @to_prefill: of them, those known to become prefill engines, likewise @to_decode
 * @fixed: its engines keep their roles
 * @margin: in place of the method's; 0 for that of the method
 * @max_per_hour: changes in the region within an hour from which on it gives no engine; 0: no limit
 */
struct role_dc {
	char name[32];
	int prefill;
	int decode;
	int changing;
	int to_prefill;
	int to_decode;
	bool fixed;
	double margin;
	int max_per_hour;
};

/**
 * struct role_view - one model's engines in the region at one moment
 * @prefill_demand: prefill work that arrives, in engine seconds a second
 * @decode_demand: decode work that arrives, in engine seconds a second at the target gap
 * @change_ms: time that an engine is away for a change
 * @starts: changes begun in the region within the last hour; only needed with a limit on them
 */
struct role_view {
	double prefill_demand;
	double decode_demand;
	int dc_count;
	struct role_dc dcs[ROLE_DCS_MAX];
	int64_t change_ms;
	int starts;
};

/** struct role_demand - engine seconds of work that arrive a second */
struct role_demand {
	double prefill;
	double decode;
};

/**
 * struct role_state - what the policy remembers; zero-initialised at the start
 * @avg: demand averaged over the smoothing time
 * @standing: demand averaged over the horizon
 * @last_to: role of the last change, ROLE_SERVICE when unknown
 */
struct role_state {
	struct role_demand avg;
	struct role_demand standing;
	int64_t begun_ms;
	int64_t observed_ms;
	int64_t last_change_ms;
	enum endpoint_role last_to;
	int64_t imbalance_since_ms;
	enum endpoint_role imbalance_to;
};

/**
 * struct role_decision - a change and the figures that it was decided on
 * @served: share of the averaged demand that is served without the change, 0 to 1
 * @served_after: the same with the change
 * @gain_rate: engine seconds won a second by the change
 * @loss: engine seconds lost by making it
 * @age_ms: time for which the change has been wanted; 0 for ROLE_GREEDY and with @standing
 * @standing: decided on the demand averaged over the horizon
 *
 * The figures are valid when @change is set.
 */
struct role_decision {
	bool change;
	enum endpoint_role from;
	enum endpoint_role to;
	double served;
	double served_after;
	double gain_rate;
	double loss;
	int64_t age_ms;
	bool standing;
};

/** role_observe - update the averages; called about each second */
void role_observe(struct role_state *st, const struct role_method *m, const struct role_view *v,
		  int64_t now_ms);

/**
 * role_changed - note that a change anywhere in the region has begun
 * @to: ROLE_SERVICE when it is not known
 */
void role_changed(struct role_state *st, enum endpoint_role to, int64_t now_ms);

/**
 * role_decide - whether data centre @dc should change one engine now
 *
 * Never takes the last engine of a role in the region. At most one data centre gets a change for
 * the same view: of those that may give an engine, the one with the largest count of the donor
 * role that has none changing, ties by name. One that is fixed, or whose margin the change does
 * not meet, leaves the change to the next one.
 */
struct role_decision role_decide(const struct role_state *st, const struct role_method *m,
				 const struct role_view *v, const char *dc, int64_t now_ms);

/**
 * struct role_starts - role changes begun in a region within the last hour
 * @at_ms: wall clock, since instances count together
 */
struct role_starts {
	int count;
	int64_t at_ms[ROLE_STARTS_MAX];
};

/**
 * role_starts_prune - forget changes of more than an hour ago
 *
 * One of more than an hour ahead comes from a wrong clock and is forgotten too.
 */
void role_starts_prune(struct role_starts *s, int64_t wall_ms);

/** role_starts_add - note one more; false when @max_per_hour are noted already, 0 for no limit */
bool role_starts_add(struct role_starts *s, int max_per_hour, int64_t wall_ms);

/** role_goodput - share of the demand, 0 to 1, that @prefill and @decode engines can serve */
double role_goodput(double prefill_demand, double decode_demand, int prefill, int decode);

/** role_best_split - number of prefill engines out of @total that serves the largest share */
int role_best_split(double prefill_demand, double decode_demand, int total);

#endif
