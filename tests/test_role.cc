#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <functional>
#include <numeric>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "ibisgate/policy/role.h"
}

static role_policy horizon()
{
	role_policy m = {};

	m.kind = ROLE_HORIZON;
	m.u.horizon = { 60000, 1.5, 5000, 0.1, 3000 };
	return m;
}

static role_region_view view(double prefill, double decode, std::initializer_list<role_dc> dcs)
{
	role_region_view v = {};

	v.prefill_demand = prefill;
	v.decode_demand = decode;
	v.change_ms = 3000;
	for (const role_dc &dc : dcs)
		v.dcs[v.dc_count++] = dc;
	return v;
}

static double headroom(double pd, double dd, int p, int d)
{
	return std::min(pd > 0 ? p / pd : INFINITY, dd > 0 ? d / dd : INFINITY);
}

/* Guards against a closed formula that misses the best split found by an exhaustive search. */
TEST(Role, BestSplitEqualsExhaustiveSearch)
{
	std::mt19937_64 rng(1);

	printf("seed 1\n");
	for (int i = 0; i < 20000; i++) {
		int total = 2 + (int)(rng() % 60);
		double pd = rng() % 10 ? (double)(rng() % 3000) / 100 : 0;
		double dd = rng() % 10 ? (double)(rng() % 3000) / 100 : 0;
		int got = role_best_split(pd, dd, total);
		double best = 0;
		double served = 0;

		for (int p = 1; p < total; p++) {
			best = std::max(best, headroom(pd, dd, p, total - p));
			served = std::max(served, role_goodput(pd, dd, p, total - p));
		}
		ASSERT_GE(got, 1);
		ASSERT_LT(got, total);
		ASSERT_EQ(headroom(pd, dd, got, total - got), best)
			<< pd << " " << dd << " " << total;
		ASSERT_EQ(role_goodput(pd, dd, got, total - got), served);
	}
	EXPECT_EQ(role_goodput(0, 0, 0, 0), 1);
	EXPECT_EQ(role_goodput(2, 0, 1, 0), 0.5);
}

struct Result {
	int changes = 0;
	int64_t first_ms = -1;
	double served = 0;
	int prefill = 0;
};

/*
 * Simulates a region of three data centres in steps of one second. A change takes effect after
 * change_ms.
 */
static Result simulate(role_policy m, int prefill, int decode, int seconds,
		       const std::function<double(int)> &prefill_share, double demand)
{
	role_state st = {};
	role_region_view v = view(0, 0, { { "a", 0, 0, 0 }, { "b", 0, 0, 0 }, { "c", 0, 0, 0 } });
	Result r;
	int64_t done_ms = 0;
	role_decision running = {};
	int running_dc = -1;

	for (int i = 0; i < prefill; i++)
		v.dcs[i % 3].prefill++;
	for (int i = 0; i < decode; i++)
		v.dcs[i % 3].decode++;
	for (int s = 1; s <= seconds; s++) {
		int64_t now = 1000 * s;
		int p = 0;
		int d = 0;
		int deciders = 0;

		if (running_dc >= 0 && now >= done_ms) {
			(running.to == ROLE_PREFILL ? v.dcs[running_dc].prefill
						    : v.dcs[running_dc].decode)++;
			v.dcs[running_dc].changing--;
			running_dc = -1;
		}
		v.prefill_demand = demand * prefill_share(s);
		v.decode_demand = demand * (1 - prefill_share(s));
		role_observe(&st, &m, &v, now);
		for (int i = 0; i < 3 && running_dc < 0; i++) {
			role_decision dec = role_decide(&st, &m, &v, v.dcs[i].name, now);

			if (!dec.change)
				continue;
			deciders++;
			running = dec;
			running_dc = i;
		}
		EXPECT_LE(deciders, 1);
		if (deciders) {
			(running.from == ROLE_PREFILL ? v.dcs[running_dc].prefill
						      : v.dcs[running_dc].decode)--;
			v.dcs[running_dc].changing++;
			done_ms = now + v.change_ms;
			role_change_started(&st, running.to, now);
			r.first_ms = r.changes++ ? r.first_ms : now;
		}
		for (int i = 0; i < 3; i++) {
			p += v.dcs[i].prefill;
			d += v.dcs[i].decode;
		}
		r.served += role_goodput(v.prefill_demand, v.decode_demand, p, d) / seconds;
		r.prefill = p;
	}
	return r;
}

/*
 * Guards against changes when the request mix fluctuates within the smoothing time, which causes
 * constant changes with the greedy baseline.
 */
TEST(Role, ShortFluctuationsCauseNoChange)
{
	role_policy greedy = {};
	auto fluctuation = [](int s) { return s % 2 ? 0.36 : 0.24; };

	greedy.kind = ROLE_GREEDY;
	for (double demand : { 10.0, 18.0, 20.0, 25.0 })
		EXPECT_EQ(simulate(horizon(), 6, 14, 600, fluctuation, demand).changes, 0)
			<< demand;
	EXPECT_GT(simulate(greedy, 6, 14, 600, fluctuation, 20).changes, 50);
	printf("seeds 1..200\n");
	for (uint64_t seed = 1; seed <= 200; seed++) {
		std::mt19937_64 rng(seed);
		auto noise = [&](int) { return 0.3 + 0.1 * ((double)(rng() % 2001) / 1000 - 1); };

		EXPECT_EQ(simulate(horizon(), 6, 14, 600, noise, 19).changes, 0) << seed;
	}
	/* With a hysteresis of 10% and 6 of 20 engines, the threshold is a share of 0.3226. */
	auto below = [](int s) { return 0.322 + (s % 2 ? 0.03 : -0.03); };
	auto above = [](int s) { return 0.333 + (s % 2 ? 0.03 : -0.03); };
	EXPECT_EQ(simulate(horizon(), 6, 14, 600, below, 20).changes, 0);
	EXPECT_LE(simulate(horizon(), 6, 14, 600, above, 20).changes, 1);
}

/*
 * Guards against a policy that ignores a lasting shift of the mix: changes must start within 12 s,
 * end near the best split, not be reversed and serve more than fixed roles.
 */
TEST(Role, LastingShiftIsFollowed)
{
	role_policy fixed = {};
	auto shift = [](int s) { return s < 60 ? 0.3 : 0.6; };
	Result r = simulate(horizon(), 6, 14, 300, shift, 20);

	EXPECT_GE(r.first_ms, 60000);
	EXPECT_LE(r.first_ms, 72000);
	EXPECT_GE(r.changes, 5);
	EXPECT_LE(r.changes, 6);
	EXPECT_GE(r.prefill, 11);
	EXPECT_GT(r.served, simulate(fixed, 6, 14, 300, shift, 20).served + 0.25);
	EXPECT_EQ(simulate(fixed, 6, 14, 300, shift, 20).changes, 0);
	auto shift_and_return = [](int s) { return s < 60 || s > 180 ? 0.3 : 0.6; };
	EXPECT_LE(simulate(horizon(), 6, 14, 300, shift_and_return, 20).changes, 12);
}

/*
 * Guards against changes whose lost engine seconds are not regained within the horizon, and against
 * changes while the current roles serve the whole demand.
 */
TEST(Role, ChangeThatDoesNotPayOffIsNotMade)
{
	role_policy m = horizon();
	auto shift = [](int s) { return s < 60 ? 0.3 : 0.6; };

	m.u.horizon.horizon_ms = 3000;
	EXPECT_EQ(simulate(m, 6, 14, 300, shift, 20).changes, 0);
	m.u.horizon.horizon_ms = 5000;
	EXPECT_EQ(simulate(m, 6, 14, 300, shift, 20).changes, 0);
	EXPECT_EQ(simulate(horizon(), 6, 14, 300, shift, 9).changes, 0);
	EXPECT_EQ(simulate(horizon(), 6, 14, 300, shift, 0).changes, 0);
}

/*
 * Guards against a change for a small gain before not changing has cost as much as the change. The
 * gain is 0.52 engine seconds per second and the loss 3 s, so that a margin of 4 requires 23 s.
 */
TEST(Role, SmallGainIsConfirmedForLonger)
{
	role_policy m = horizon();
	auto shift = [](int s) { return s < 60 ? 0.3 : 0.3827; };

	m.u.horizon.margin = 4;
	Result r = simulate(m, 6, 14, 300, shift, 16.2);
	EXPECT_EQ(r.changes, 1);
	EXPECT_GE(r.first_ms, 83000);
}

/*
 * Guards against a second change while the new role of a changing engine is unknown, and against
 * a change that never ends and blocks all others.
 */
TEST(Role, ChangeToUnknownRoleBlocksOthersUntilStuck)
{
	role_policy m = horizon();
	role_state st = {};
	role_region_view v = view(12, 8, { { "a", 2, 5, 0 }, { "b", 2, 5, 0 }, { "c", 2, 3, 1 } });

	for (int s = 1; s <= 30; s++)
		role_observe(&st, &m, &v, 1000 * s);
	role_change_started(&st, ROLE_SERVICE, 20000);
	EXPECT_FALSE(role_decide(&st, &m, &v, "a", 30000).change);
	EXPECT_TRUE(role_decide(&st, &m, &v, "a", 50000).change);
	v.dcs[2].changing = 0;
	EXPECT_TRUE(role_decide(&st, &m, &v, "a", 30000).change);
}

/*
 * Guards against a large shift that is followed by one engine at a time, and against an excess
 * change because changes in progress are not counted.
 */
TEST(Role, ChangesToKnownRolesRunInParallel)
{
	role_policy m = horizon();
	role_state st = {};
	role_region_view v =
		view(12, 8, { { "a", 2, 5, 0 }, { "b", 2, 5, 0 }, { "c", 3, 3, 1, 1, 0 } });

	for (int s = 1; s <= 30; s++)
		role_observe(&st, &m, &v, 1000 * s);
	role_change_started(&st, ROLE_PREFILL, 20000);
	EXPECT_TRUE(role_decide(&st, &m, &v, "a", 30000).change);
	EXPECT_FALSE(role_decide(&st, &m, &v, "c", 30000).change);
	v.dcs[2] = { "c", 8, 0, 5, 5, 0 };
	EXPECT_FALSE(role_decide(&st, &m, &v, "a", 30000).change);
	EXPECT_FALSE(role_decide(&st, &m, &v, "b", 30000).change);
}

/* Guards against changes in shorter succession than the dwell time. */
TEST(Role, ChangesAreSeparatedByTheDwellTime)
{
	role_policy m = horizon();
	auto shift = [](int s) { return s < 60 ? 0.3 : 0.6; };

	m.u.horizon.min_dwell_ms = 100000;
	EXPECT_EQ(simulate(m, 6, 14, 300, shift, 20).changes, 3);
}

/* Guards against changes in two data centres for the same view and a role without engines. */
TEST(Role, OnlyOneDataCentreChangesAndEachRoleKeepsAnEngine)
{
	role_policy m = {};
	role_state st = {};
	role_region_view v = view(8, 2, { { "c", 1, 3, 0 }, { "b", 1, 3, 0 }, { "a", 1, 4, 1 } });
	auto change = [&](const char *dc) { return role_decide(&st, &m, &v, dc, 1000).change; };

	m.kind = ROLE_GREEDY;
	EXPECT_FALSE(change("a"));
	EXPECT_TRUE(change("b"));
	EXPECT_FALSE(change("c"));
	role_decision d = role_decide(&st, &m, &v, "b", 1000);
	EXPECT_EQ(d.from, ROLE_DECODE);
	EXPECT_EQ(d.to, ROLE_PREFILL);
	v = view(1000, 1, { { "b", 2, 1, 0 }, { "a", 3, 0, 0 } });
	EXPECT_FALSE(change("a") || change("b"));
	v = view(8, 2, { { "a", 0, 1, 0 } });
	EXPECT_FALSE(change("a"));
	v = view(1000, 1, { { "b", 2, 1, 0 }, { "a", 3, 0, 0 } });
	m = horizon();
	for (int s = 1; s < 60; s++)
		role_observe(&st, &m, &v, 1000 * s);
	EXPECT_FALSE(role_decide(&st, &m, &v, "b", 60000).change);
}

/*
 * Guards against a timeline that does not show an operator why an engine changed. 8 of 13 required
 * prefill engines serve 0.615 of the demand; one more gains a thirteenth of 20 engines.
 */
TEST(Role, DecisionReportsTheValuesBehindIt)
{
	role_policy m = horizon();
	role_state st = {};
	role_region_view v = view(13, 7, { { "a", 3, 6, 0 }, { "b", 5, 6, 0 } });

	for (int s = 1; s <= 30; s++)
		role_observe(&st, &m, &v, 1000 * s);
	role_decision d = role_decide(&st, &m, &v, "a", 30000);
	ASSERT_TRUE(d.change);
	EXPECT_NEAR(d.served, 8.0 / 13, 1e-9);
	EXPECT_NEAR(d.served_after, 9.0 / 13, 1e-9);
	EXPECT_NEAR(d.gain_rate, 20.0 / 13, 1e-9);
	EXPECT_NEAR(d.loss, 3, 1e-9);
	EXPECT_EQ(d.age_ms, 29000);
}

struct naive_choice {
	int dc = -1;
	endpoint_role to = ROLE_SERVICE;
	bool is_borderline = false;
};

/*
 * Evaluates one change in each direction, then takes the first suitable data centre by number of
 * donors. Values too close to a threshold are marked as borderline.
 */
static naive_choice naive_decision(const role_region_view &v, const role_policy &m, int p, int d)
{
	auto served = [&](int np, int nd) {
		return std::min(1.0, headroom(v.prefill_demand, v.decode_demand, np, nd));
	};
	naive_choice out;
	int changing_to_p = 0;
	int changing_to_d = 0;
	const auto &h = m.u.horizon;

	for (int i = 0; i < v.dc_count; i++) {
		changing_to_p += v.dcs[i].to_prefill;
		changing_to_d += v.dcs[i].to_decode;
	}
	for (endpoint_role to : { ROLE_PREFILL, ROLE_DECODE }) {
		int dp = to == ROLE_PREFILL ? 1 : -1;
		double lp = p ? v.prefill_demand / p : 0;
		double ld = d ? v.decode_demand / d : 0;
		double imbalance = p && d ? std::abs(lp - ld) / std::max(lp, ld) : 0;
		int in_service_p = p - changing_to_p;
		int in_service_d = d - changing_to_d;
		double demand = v.prefill_demand + v.decode_demand;
		double rate = (served(p + dp, d - dp) - served(p, d)) * demand;
		double change_s = (double)v.change_ms / 1000;
		double loss = change_s * (1 + (served(in_service_p, in_service_d) -
					       (dp > 0 ? served(in_service_p, in_service_d - 1)
						       : served(in_service_p - 1, in_service_d))) *
						      demand);
		double horizon_s = (double)h.horizon_ms / 1000 - change_s;
		double urgent_threshold = std::max(h.hysteresis, h.urgent);

		if ((dp > 0) != (lp > ld) || (dp > 0 ? in_service_d : in_service_p) < 2)
			continue;
		if (imbalance <= h.hysteresis || horizon_s <= 0 || rate <= 0 ||
		    rate * horizon_s <= loss * h.margin)
			continue;
		out.is_borderline = std::abs(imbalance - urgent_threshold) < 1e-3 ||
				    std::abs(imbalance - h.hysteresis) < 1e-9 || rate < 1e-4 ||
				    std::abs(rate * horizon_s - loss * h.margin) < 1e-9;
		out.to = to;
	}
	if (out.to == ROLE_SERVICE)
		return out;
	std::vector<int> order(v.dc_count);
	std::iota(order.begin(), order.end(), 0);
	auto donors = [&](int i) {
		const role_dc &dc = v.dcs[i];

		return out.to == ROLE_DECODE ? dc.prefill - dc.to_prefill
					     : dc.decode - dc.to_decode;
	};
	std::sort(order.begin(), order.end(), [&](int a, int b) {
		return donors(a) != donors(b) ? donors(a) > donors(b)
					      : strcmp(v.dcs[a].name, v.dcs[b].name) < 0;
	});
	for (int i : order) {
		if (out.dc < 0 && !v.dcs[i].changing && donors(i) >= 1)
			out.dc = i;
	}
	return out;
}

/*
 * Guards against a decision that differs from evaluating both directions, and against a donor that
 * is not the first of the sorted data centres. The demand has lasted long enough to be confirmed.
 */
TEST(Role, DecisionEqualsNaiveImplementation)
{
	std::mt19937_64 rng(2);
	int change_count = 0;

	printf("seed 2\n");
	for (int i = 0; i < 20000; i++) {
		double pd = (double)(1 + rng() % 2500) / 100;
		double dd = (double)(1 + rng() % 2500) / 100;
		role_region_view v = view(pd, dd, {});
		role_policy m = horizon();
		role_state st = {};
		int p = 0;
		int d = 0;

		for (const char *name : { "c", "a", "b" }) {
			role_dc dc = { "", (int)(rng() % 8), (int)(rng() % 8), (int)(rng() % 2) };

			strcpy(dc.name, name);
			if (dc.changing && rng() % 2)
				dc.to_prefill = dc.prefill > 0;
			else if (dc.changing)
				dc.to_decode = dc.decode > 0;
			p += dc.prefill;
			d += dc.decode;
			v.dcs[v.dc_count++] = dc;
		}
		m.u.horizon.margin = (double)(rng() % 40) / 10;
		m.u.horizon.horizon_ms = 1000 + (int64_t)(rng() % 60000);
		m.u.horizon.urgent = rng() % 2 ? (double)(rng() % 60) / 100 : 0;
		role_observe(&st, &m, &v, 1000);
		role_observe(&st, &m, &v, 1001);
		int64_t now = INT64_C(1000000000000);
		naive_choice naive = naive_decision(v, m, p, d);
		if (naive.is_borderline)
			continue;
		for (int k = 0; k < v.dc_count; k++) {
			role_decision got = role_decide(&st, &m, &v, v.dcs[k].name, now);
			bool expected = naive.dc == k;

			ASSERT_EQ(got.change, expected) << i << " " << v.dcs[k].name;
			if (expected) {
				ASSERT_EQ(got.to, naive.to) << i;
			}
			change_count += expected;
		}
	}
	EXPECT_GT(change_count, 2000);
}

/*
 * Guards against a moderate imbalance that is corrected as fast as a large one, or never. With 7 of
 * 20 engines for a share of 0.4, the imbalance is 0.19.
 */
TEST(Role, ModerateImbalanceIsCorrectedAfterTheHorizon)
{
	role_policy m = horizon();
	auto share = [](int s) { return s < 60 ? 0.35 : 0.4; };

	EXPECT_LT(simulate(m, 7, 13, 300, share, 20).first_ms, 90000);
	m.u.horizon.urgent = 0.35;
	Result r = simulate(m, 7, 13, 300, share, 20);
	EXPECT_GE(r.first_ms, 75000);
	EXPECT_EQ(r.changes, 1);
	EXPECT_EQ(r.prefill, 8);
	auto shift = [](int s) { return s < 60 ? 0.3 : 0.6; };
	r = simulate(m, 6, 14, 600, shift, 20);
	EXPECT_LE(r.first_ms, 75000);
	EXPECT_GE(r.prefill, 11);
}

/*
 * Guards against engines that change back and forth with an oscillating mix: a reversal within the
 * horizon has to be confirmed for longer than the first change.
 */
TEST(Role, ReversalIsConfirmedForLonger)
{
	role_policy m = horizon();
	auto first_change_s = [&](role_state *st, const role_region_view *v) {
		for (int s = 31; s < 90; s++) {
			role_observe(st, &m, v, 1000 * s);
			if (role_decide(st, &m, v, "a", 1000 * s).change)
				return s;
		}
		return 99;
	};
	role_region_view before = view(13, 7, { { "a", 13, 7, 0 } });
	role_region_view after = view(8, 12, { { "a", 13, 7, 0 } });
	role_state same_direction = {};
	role_state unchanged = {};

	m.u.horizon.margin = 2;
	m.u.horizon.min_dwell_ms = 0;
	for (role_state *st : { &same_direction, &unchanged }) {
		for (int s = 1; s <= 30; s++)
			role_observe(st, &m, &before, 1000 * s);
	}
	role_state reversal = same_direction;
	role_change_started(&same_direction, ROLE_DECODE, 28000);
	role_change_started(&reversal, ROLE_PREFILL, 28000);
	int without_change_s = first_change_s(&unchanged, &after);
	EXPECT_EQ(first_change_s(&same_direction, &after), without_change_s);
	EXPECT_GE(first_change_s(&reversal, &after), without_change_s + 4);
}

/*
 * Guards against overrides of one data centre that block changes in the others. The data centre
 * with the most donors is fixed, requires a margin that the change does not meet, or one that it
 * meets.
 */
TEST(Role, OverridesOfADataCentreLeaveTheChangeToTheNext)
{
	role_policy greedy = {};

	greedy.kind = ROLE_GREEDY;
	for (const role_policy &m : { horizon(), greedy }) {
		role_state st = {};
		role_region_view v =
			view(13, 7, { { "a", 2, 6, 0 }, { "b", 3, 5, 0 }, { "c", 3, 1, 0 } });
		auto changing_dcs = [&] {
			std::string out;

			for (const char *dc : { "a", "b", "c" }) {
				if (role_decide(&st, &m, &v, dc, 60000).change)
					out += dc;
			}
			return out;
		};
		bool uses_margin = m.kind == ROLE_HORIZON;

		for (int s = 1; s <= 60; s++)
			role_observe(&st, &m, &v, 1000 * s);
		EXPECT_EQ(changing_dcs(), "a");
		v.dcs[0].margin = 100;
		EXPECT_EQ(changing_dcs(), uses_margin ? "b" : "a");
		v.dcs[0].margin = 5;
		EXPECT_EQ(changing_dcs(), "a");
		v.dcs[0].is_fixed = true;
		EXPECT_EQ(changing_dcs(), "b");
		v.dcs[1].is_fixed = true;
		EXPECT_EQ(changing_dcs(), "c");
		v.dcs[2].is_fixed = true;
		EXPECT_EQ(changing_dcs(), "");
	}
}

/*
 * Guards against a limit that is exceeded, that counts changes from more than an hour ago, or that
 * a wrong clock keeps exhausted for longer than an hour.
 */
TEST(Role, HourlyLimitBoundsChanges)
{
	const int64_t hour = 3600000;
	role_starts s = {};
	int64_t now = 100 * hour;

	EXPECT_TRUE(role_starts_add(&s, 2, now));
	EXPECT_TRUE(role_starts_add(&s, 2, now + 1000));
	EXPECT_FALSE(role_starts_add(&s, 2, now + hour - 1));
	EXPECT_TRUE(role_starts_add(&s, 2, now + hour));
	EXPECT_FALSE(role_starts_add(&s, 2, now + hour));
	EXPECT_TRUE(role_starts_add(&s, 0, now + hour));
	EXPECT_EQ(s.count, 3);
	role_starts_prune(&s, now - hour);
	EXPECT_EQ(s.count, 0);
	while (s.count < ROLE_STARTS_MAX)
		ASSERT_TRUE(role_starts_add(&s, 0, now));
	EXPECT_FALSE(role_starts_add(&s, 0, now));

	role_policy m = horizon();
	role_state st = {};
	role_region_view v = view(13, 7, { { "a", 3, 7, 0 }, { "b", 5, 5, 0 } });
	auto change = [&](const char *dc) { return role_decide(&st, &m, &v, dc, 60000).change; };

	for (int i = 1; i <= 60; i++)
		role_observe(&st, &m, &v, 1000 * i);
	v.starts = 4;
	v.dcs[0].max_per_hour = 5;
	EXPECT_TRUE(change("a"));
	v.dcs[0].max_per_hour = 4;
	EXPECT_FALSE(change("a"));
	EXPECT_TRUE(change("b")) << "without a limit";
}

/*
 * Guards against the settings of presets/few-changes.conf, with a smoothing time of one second,
 * treating fluctuations or noise as a lasting shift, and against a lasting imbalance that they
 * never correct.
 */
TEST(Role, FewChangesPresetIgnoresFluctuations)
{
	role_policy m = horizon();

	m.u.horizon = { 30000, 2, 2000, 0.15, 1000, 0.35 };
	auto fluctuation = [](int s) { return s % 4 < 2 ? 0.36 : 0.24; };
	EXPECT_EQ(simulate(m, 6, 14, 600, fluctuation, 20).changes, 0);
	printf("seeds 1..200\n");
	for (uint64_t seed = 1; seed <= 200; seed++) {
		std::mt19937_64 rng(seed);
		auto noise = [&](int) { return 0.3 + 0.1 * ((double)(rng() % 2001) / 1000 - 1); };

		EXPECT_EQ(simulate(m, 6, 14, 600, noise, 19).changes, 0) << seed;
	}
	auto moderate_shift = [](int s) { return s < 60 ? 0.3 : 0.38; };
	Result r = simulate(m, 6, 14, 600, moderate_shift, 20);
	EXPECT_EQ(r.prefill, 7);
	EXPECT_EQ(r.changes, 1);
}
