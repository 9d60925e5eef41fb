#ifndef IBISGATE_POLICY_ROLE_H
#define IBISGATE_POLICY_ROLE_H

#include <stdbool.h>
#include <stdint.h>

#include "ibisgate/common/str.h"
#include "ibisgate/policy/route.h"

#define ROLE_DCS_MAX 32
#define ROLE_STARTS_MAX 1000

/**
 * enum role_policy_kind - kind of role change policy
 * @ROLE_FIXED: engines keep their roles
 * @ROLE_GREEDY: an engine is changed whenever the current demand favours another split
 * @ROLE_HORIZON: a change is made when its gain over a time horizon outweighs its loss
 */
enum role_policy_kind {
	ROLE_FIXED,
	ROLE_GREEDY,
	ROLE_HORIZON,
};

/**
 * struct role_policy - role change policy
 * @kind: kind of policy; the other fields belong to ROLE_HORIZON
 * @horizon_ms: time over which the gain of a change is counted
 * @margin: factor by which the gain of a change has to exceed its loss
 * @min_dwell_ms: least time between two changes in the region
 * @hysteresis: relative imbalance up to which no change is made
 * @smooth_ms: time constant of the short-term demand average
 * @urgent: relative imbalance above which a change depends only on the short-term average. An
 *	imbalance between @hysteresis and @urgent has to persist in the average over the horizon
 *	and is then corrected by one engine per horizon. 0: every imbalance above @hysteresis is
 *	urgent.
 */
struct role_policy {
	enum role_policy_kind kind;
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
 * @name: name of the data centre
 * @prefill: number of prefill engines, including @to_prefill
 * @decode: number of decode engines, including @to_decode
 * @changing: engines out of service for a role change, whatever their new role
 * @to_prefill: engines of @changing that are known to become prefill engines
 * @to_decode: engines of @changing that are known to become decode engines
 * @is_fixed: its engines keep their roles
 * @margin: used instead of the margin of the policy when larger; 0 for no override
 * @max_per_hour: number of changes in the region within an hour from which on none of its engines
 *	is changed; 0 for no limit
 */
struct role_dc {
	char name[32];
	int prefill;
	int decode;
	int changing;
	int to_prefill;
	int to_decode;
	bool is_fixed;
	double margin;
	int max_per_hour;
};

/**
 * struct role_region_view - current engines and demand of one model in the region
 * @prefill_demand: arriving prefill work in engine seconds per second
 * @decode_demand: arriving decode work in engine seconds per second, at the target time between
 *	tokens
 * @dc_count: number of entries in @dcs
 * @change_ms: time that an engine is out of service for a change
 * @starts: changes started in the region within the last hour; only used with @max_per_hour
 */
struct role_region_view {
	double prefill_demand;
	double decode_demand;
	int dc_count;
	struct role_dc dcs[ROLE_DCS_MAX];
	int64_t change_ms;
	int starts;
};

/** struct role_demand - arriving work in engine seconds per second */
struct role_demand {
	double prefill;
	double decode;
};

/**
 * struct role_state - state of the policy; zero-initialised at the start
 * @short_term_demand: short-term average of the demand, over the smoothing time
 * @long_term_demand: long-term average of the demand, over the horizon
 * @first_observed_ms: time of the first observation
 * @last_observed_ms: time of the last observation; 0 before the first one
 * @last_change_ms: time at which the last change started; 0 without one
 * @last_to: new role of the last change; ROLE_SERVICE when unknown
 * @imbalance_since_ms: time since which @imbalance_to is unchanged
 * @imbalance_to: role to which the short-term average currently favours a change; ROLE_SERVICE
 *	for none
 */
struct role_state {
	struct role_demand short_term_demand;
	struct role_demand long_term_demand;
	int64_t first_observed_ms;
	int64_t last_observed_ms;
	int64_t last_change_ms;
	enum endpoint_role last_to;
	int64_t imbalance_since_ms;
	enum endpoint_role imbalance_to;
};

/**
 * struct role_decision - decision about a role change and the values that led to it
 * @change: an engine has to be changed; the other fields are valid only then
 * @from: current role of the engine
 * @to: new role of the engine
 * @served: fraction of the averaged demand that is served without the change, 0 to 1
 * @served_after: fraction of the averaged demand that is served after the change, 0 to 1
 * @gain_rate: engine seconds gained per second by the change
 * @loss: engine seconds lost by the change
 * @age_ms: time for which the imbalance has lasted; 0 for ROLE_GREEDY and with @based_on_long_term
 * @based_on_long_term: the decision is based on the long-term average of the demand
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
	bool based_on_long_term;
};

/** role_observe - update the averages of the demand; called about once a second */
void role_observe(struct role_state *st, const struct role_policy *m,
		  const struct role_region_view *v, int64_t now_ms);

/**
 * role_change_started - record that a change has started anywhere in the region
 * @to: new role of the engine; ROLE_SERVICE when unknown
 */
void role_change_started(struct role_state *st, enum endpoint_role to, int64_t now_ms);

/**
 * role_decide - decide whether data centre @dc should change the role of one engine now
 *
 * The last engine of a role in the region is never changed. For the same view, at most one data
 * centre gets a change: the one with the most engines of the donor role, with ties broken by name.
 * Data centres that have an engine changing, are fixed, have reached their hourly limit or whose
 * margin the change does not meet are skipped.
 */
struct role_decision role_decide(const struct role_state *st, const struct role_policy *m,
				 const struct role_region_view *v, const char *dc, int64_t now_ms);

/**
 * struct role_starts - role changes started in a region within the last hour
 * @count: number of entries in @at_ms
 * @at_ms: start times by the wall clock, since they are shared between instances
 */
struct role_starts {
	int count;
	int64_t at_ms[ROLE_STARTS_MAX];
};

/**
 * role_starts_prune - remove changes that started more than an hour ago
 *
 * Changes more than an hour in the future come from a wrong clock and are removed too.
 */
void role_starts_prune(struct role_starts *s, int64_t wall_ms);

/**
 * role_starts_add - record the start of a change
 * @max_per_hour: limit on changes in the last hour; 0 for no limit
 *
 * Return: false, without recording it, when the limit or ROLE_STARTS_MAX is reached.
 */
bool role_starts_add(struct role_starts *s, int max_per_hour, int64_t wall_ms);

/** role_goodput - fraction of the demand, 0 to 1, that @prefill and @decode engines can serve */
double role_goodput(double prefill_demand, double decode_demand, int prefill, int decode);

/** role_best_split - number of prefill engines out of @total that serves the most demand */
int role_best_split(double prefill_demand, double decode_demand, int total);

#endif
