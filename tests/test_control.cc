#include "region.h"

#include <zmq.h>

#include <filesystem>
#include <fstream>

/*
 * Guards against members that do not find each other, two holders of one lease, and a lease that no
 * instance acquires after its holder was killed.
 */
TEST(Control, LeaseFailsOverAfterAKill)
{
	Region g;
	string old_holder;
	string new_holder;
	int64_t old_fencing = 0;
	int64_t new_fencing = 0;

	g.start_instance("a1", "abertawe");
	g.start_instance("a2", "abertawe");
	g.start_instance("c1", "caerdydd");
	g.start_instance("c2", "caerdydd");
	ASSERT_TRUE(g.all_ready());
	EXPECT_TRUE(g.all_members_live(8000));
	ASSERT_TRUE(eventually(
		[&] { return g.lease_holders("abertawe", &old_holder, &old_fencing) == 1; }, 5000));
	g.kill_instance(old_holder, true);
	ASSERT_TRUE(eventually(
		[&] { return g.lease_holders("abertawe", &new_holder, &new_fencing) == 1; },
		15000));
	EXPECT_NE(old_holder, new_holder);
	EXPECT_GT(new_fencing, old_fencing);
}

/* Times that threads of this process called @name waited, of all threads of that name together. */
static int64_t thread_waits(const string &name)
{
	int64_t waits = 0;

	for (const auto &task : std::filesystem::directory_iterator("/proc/self/task")) {
		std::ifstream status(task.path() / "status");
		string line;
		bool matches = false;

		while (std::getline(status, line)) {
			if (line.rfind("Name:", 0) == 0)
				matches = line == "Name:\t" + name;
			if (matches && line.rfind("voluntary_ctxt_switches:", 0) == 0)
				waits += std::stoll(line.substr(line.find('\t')));
		}
	}
	return waits;
}

/* Guards against threads that look for work by the tick while there is none. */
TEST(Control, IdleThreadsWaitForWork)
{
	const int64_t span_ms = 3000;
	Region g;

	g.start_instance("a1", "abertawe");
	g.start_instance("a2", "abertawe");
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	for (const char *name : { "claims", "reserve", "config" }) {
		int64_t waits = thread_waits(name);

		clock_sleep_ms((int)span_ms);
		waits = thread_waits(name) - waits;
		std::cout << name << ": " << (double)waits * 1000 / 2 / (double)span_ms
			  << " waits a second\n";
		EXPECT_GT(waits, 0) << name;
		EXPECT_LT(waits, 2 * span_ms / 1000 * 20) << name;
	}
}

/* Guards against an idle control plane that uses more than 1.7% of a core or 22 KB/s of messages.
 */
TEST(Control, IdleCpuAndTrafficStayBelowLimits)
{
	const int instances = 5;
	const int64_t span_ms = 5000;
	const char *const threads[] = { "peer",	 "members", "config", "list",	 "lease",
					"drain", "roles",   "claims", "reserve", "expiry" };
	int64_t waits = 0;
	int64_t bytes;
	int64_t us;
	Region g;

	for (int i = 0; i < instances; i++)
		g.start_instance("a" + std::to_string(i), i < 4 ? "abertawe" : "caerdydd");
	for (int i = 0; i < 20; i++)
		g.platform.post_json("/list/endpoints",
				     "{\"name\":\"e" + std::to_string(i) +
					     "\",\"dc\":\"abertawe\",\"url\":"
					     "\"http://127.0.0.1:1\",\"kind\":"
					     "\"engine\",\"model\":\"m\",\"role\":"
					     "\"mixed\",\"state\":\"live\"}");
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	for (const char *name : threads)
		waits -= thread_waits(name);
	us = metric_get(METRIC_CONTROL_CPU_US);
	bytes = metric_get(METRIC_PEER_BYTES_IN) + metric_get(METRIC_PEER_BYTES_OUT);
	clock_sleep_ms((int)span_ms);
	for (const char *name : threads)
		waits += thread_waits(name);
	us = (metric_get(METRIC_CONTROL_CPU_US) - us) / instances;
	bytes = metric_get(METRIC_PEER_BYTES_IN) + metric_get(METRIC_PEER_BYTES_OUT) - bytes;
	std::cout << "per instance: " << (double)us / 10.0 / (double)span_ms << "% of a core, "
		  << bytes * 1000 / span_ms / instances << " bytes/s of messages, "
		  << waits * 1000 / span_ms / instances << " waits/s\n";
	EXPECT_LT(us, span_ms * 17);
	EXPECT_LT(bytes * 1000 / span_ms / instances, 22000);
}

/*
 * Guards against a configuration change that is lost or applied twice, two changes that both win a
 * race, and an instance that stays at an earlier version.
 */
TEST(Control, ConfigurationChangesApplyOnceAndReachAllInstances)
{
	Region g;
	struct error err = {};
	int64_t v1 = 0;
	int64_t v2 = 0;

	g.start_instance("a1", "abertawe");
	g.start_instance("c1", "caerdydd");
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	EXPECT_EQ(rig_config_change(g.rigs["a1"], "default/no.such", "1", -1, &v1, &err), -1);
	ASSERT_EQ(rig_config_change(g.rigs["a1"], "default/deadline.gap-ms", "70", 0, &v1, &err), 0)
		<< err.text;
	EXPECT_EQ(v1, 1);
	EXPECT_EQ(rig_config_change(g.rigs["c1"], "default/deadline.gap-ms", "80", 0, &v2, &err),
		  -1);
	EXPECT_EQ(err.layer, ERROR_STATE);
	EXPECT_EQ(err.code, CONFIG_VERSION_STALE);
	EXPECT_EQ(v2, 1) << "the version of the change that won";
	EXPECT_TRUE(g.all_at_version(1, 4000));
	g.platform.post_json("/faults", "{\"drop_next_writes\":1}");
	ASSERT_EQ(rig_config_change(g.rigs["c1"], "default/deadline.gap-ms", "80", 1, &v2, &err), 0)
		<< "the reply was lost after the change took effect: " << err.text;
	EXPECT_EQ(v2, 2);
	EXPECT_TRUE(g.all_at_version(2, 4000));
	g.platform.post_json("/faults", "{\"down\":true}");
	EXPECT_EQ(rig_config_change(g.rigs["a1"], "default/deadline.gap-ms", "90", 2, &v1, &err),
		  -1);
	EXPECT_EQ(err.layer, ERROR_PLATFORM);
	g.platform.post_json("/faults", "{\"down\":false}");
	for (int i = 3; i < 103; i++)
		ASSERT_EQ(rig_config_change(g.rigs["a1"], "default/retry.min-per-s", "4", -1, &v1,
					    &err),
			  0)
			<< err.text;
	g.start_instance("b1", "casnewydd");
	ASSERT_TRUE(g.all_ready());
	EXPECT_TRUE(g.all_at_version(v1, 4000));
}

/*
 * Guards against an order that is sent while work is in flight, a member that is not asked to stop,
 * and an endpoint that stays stopped after the role change.
 */
TEST(Control, RoleChangeDrainsTheEndpointAndReturnsItToService)
{
	Region g;
	string holder;

	g.start_instance("a1", "abertawe");
	g.start_instance("a2", "abertawe");
	g.start_instance("c1", "caerdydd");
	StandinProcess &e = g.start_engine("e1", "abertawe", "prefill", true);
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe", &holder) == 1; }, 5000));
	ASSERT_TRUE(eventually([&] { return g.lease_holders("caerdydd") == 1; }, 5000));
	EXPECT_FALSE(rig_drain_start(g.rigs["c1"], "abertawe", "e1", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(rig_drain_start(g.rigs[holder], "abertawe", "e1", ROLE_PREFILL, ROLE_DECODE));
	EXPECT_TRUE(eventually([&] { return g.endpoint_is_stopped("c1", "e1"); }, 2000));
	EXPECT_TRUE(eventually([&] { return engine_has_role(e, "decode"); }, 5000));
	EXPECT_TRUE(eventually(
		[&] {
			return !g.endpoint_is_stopped("a1", "e1") &&
			       !g.endpoint_is_stopped("a2", "e1") &&
			       !g.endpoint_is_stopped("c1", "e1");
		},
		5000));
}

/*
 * Guards against an intent that is lost when its lease holder is killed, and a new holder that
 * sends a different order.
 */
TEST(Control, NextHolderCompletesAnIntentWithTheSameOrder)
{
	Region g;
	string holder;

	g.start_instance("a1", "abertawe");
	g.start_instance("a2", "abertawe");
	StandinProcess &e = g.start_engine("e1", "abertawe", "prefill", false);
	e.post_json("/faults", "{\"stall_ms\":0}");
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe", &holder) == 1; }, 5000));
	ASSERT_TRUE(rig_drain_start(g.rigs[holder], "abertawe", "e1", ROLE_PREFILL, ROLE_DECODE));
	string other = holder == "a1" ? "a2" : "a1";
	ASSERT_TRUE(eventually([&] { return g.endpoint_is_stopped(other, "e1"); }, 3000));
	g.kill_instance(holder, false);
	EXPECT_TRUE(eventually([&] { return engine_has_role(e, "decode"); }, 20000));
	EXPECT_TRUE(eventually([&] { return !g.endpoint_is_stopped(other, "e1"); }, 5000));
	json_t *o = e.send_json("GET", "/orders");
	string id;
	for (size_t i = 0; i < json_array_size(json_object_get(o, "log")); i++) {
		const json_t *l = json_array_get(json_object_get(o, "log"), i);

		EXPECT_TRUE(id.empty() || id == json_get_cstr(l, "order_id", ""));
		id = json_get_cstr(l, "order_id", "");
	}
	json_decref(o);
}

/* Guards against intents that are neither read nor resumed because others fill the first page. */
TEST(Control, IntentsBeyondTheFirstPageAreResumed)
{
	Region g;
	StandinProcess &e = g.start_engine("e1", "abertawe", "prefill", true);
	struct platform *p = platform_create(g.platform.url().c_str(), 1000);
	json_t *other = json_object();
	json_t *own = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:s}", "order", "o-1", "endpoint", "e1",
				"dc", "abertawe", "kind", "role", "fencing", 1, "holder", "gone",
				"role", "decode");
	struct error err = {};

	/* The platform limits the rate of writes. */
	for (int i = 0; i < 200; i++) {
		string key = "intent/a" + std::to_string(1000 + i);

		ASSERT_TRUE(eventually(
			[&] {
				return platform_put(p, key.c_str(), other, TABLE_ANY_VERSION,
						    nullptr, nullptr, &err) == 0;
			},
			5000))
			<< err.text;
	}
	ASSERT_TRUE(eventually(
		[&] {
			return platform_put(p, "intent/e1", own, TABLE_ANY_VERSION, nullptr,
					    nullptr, &err) == 0;
		},
		5000))
		<< err.text;
	json_decref(own);
	json_decref(other);
	platform_destroy(p);
	g.start_instance("a1", "abertawe");
	EXPECT_TRUE(g.all_ready());
	EXPECT_TRUE(eventually([&] { return engine_has_role(e, "decode"); }, 10000));
}

/*
 * Guards against a role change that is lost, or counted without an order, when its holder loses the
 * lease between the decision and the order: once before the intent is written and once after it.
 */
TEST(Control, NextHolderResumesAnIntentThatWasNotOrdered)
{
	Region g;
	auto proxy = g.start_platform_proxy();
	string holder;

	g.start_instance("a1", "abertawe", Region::settings_behind(*proxy));
	g.start_instance("a2", "abertawe");
	StandinProcess &written = g.start_engine("written", "abertawe", "prefill", true);
	StandinProcess &unwritten = g.start_engine("unwritten", "abertawe", "prefill", true);
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe", &holder) == 1; }, 5000));
	ASSERT_EQ(holder, "a1");
	/* An instance that never confirms keeps the drain from sending its order. */
	g.platform.post_json("/list/instances", "{\"id\":\"ghost\",\"dc\":\"abertawe\",\"peer\":"
						"\"127.0.0.1:1\",\"state\":\"live\"}");
	clock_sleep_ms(600);
	ASSERT_TRUE(
		rig_drain_start(g.rigs["a1"], "abertawe", "written", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(eventually([&] { return g.endpoint_is_stopped("a2", "written"); }, 3000));
	proxy->post_json("/faults", "{\"route\":\"*\",\"mode\":\"cut\"}");
	EXPECT_TRUE(
		rig_drain_start(g.rigs["a1"], "abertawe", "unwritten", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(eventually(
		[&] { return g.lease_holders("abertawe", &holder) == 1 && holder == "a2"; },
		20000));
	EXPECT_FALSE(
		rig_drain_start(g.rigs["a1"], "abertawe", "unwritten", ROLE_PREFILL, ROLE_DECODE));
	EXPECT_FALSE(engine_has_role(written, "decode"));
	json_decref(g.platform.send_json("DELETE", "/list/instances/ghost"));
	EXPECT_TRUE(eventually([&] { return engine_has_role(written, "decode"); }, 10000));
	EXPECT_TRUE(eventually(
		[&] {
			return !g.endpoint_is_stopped("a1", "written") &&
			       !g.endpoint_is_stopped("a2", "written");
		},
		8000));
	EXPECT_FALSE(g.endpoint_is_stopped("a1", "unwritten") ||
		     g.endpoint_is_stopped("a2", "unwritten"));
	EXPECT_TRUE(engine_has_role(unwritten, "prefill")) << "an order was sent without an intent";
	ASSERT_TRUE(
		rig_drain_start(g.rigs["a2"], "abertawe", "unwritten", ROLE_PREFILL, ROLE_DECODE));
	EXPECT_TRUE(eventually([&] { return engine_has_role(unwritten, "decode"); }, 10000));
	EXPECT_EQ(g.role_changes("a1"), 0) << "a1 sent no order";
	EXPECT_TRUE(eventually([&] { return g.role_changes("a2") == 2; }, 5000));
}

/*
 * Guards against an order to an engine without fencing, which may still accept a different order
 * from an earlier lease holder.
 */
TEST(Control, UnfencedEngineGetsNoOrderWhileAnEarlierHolderIsListed)
{
	Region g;
	string holder;
	string next;

	g.start_instance("a1", "abertawe");
	g.start_instance("a2", "abertawe");
	g.start_engine("old", "abertawe", "prefill", false);
	StandinProcess &e = g.start_engine("new", "abertawe", "prefill", true);
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe", &holder) == 1; }, 5000));
	g.kill_instance(holder, true);
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe", &next) == 1; }, 15000));
	struct rig *r = g.rigs[next];
	EXPECT_FALSE(rig_drain_start(r, "abertawe", "old", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(rig_drain_start(r, "abertawe", "new", ROLE_PREFILL, ROLE_DECODE));
	clock_sleep_ms(1500);
	EXPECT_FALSE(engine_has_role(e, "decode"))
		<< "a listed instance has not confirmed the stop";
	json_decref(g.platform.send_json("DELETE", "/list/instances/" + holder));
	EXPECT_TRUE(eventually([&] { return engine_has_role(e, "decode"); }, 10000));
	EXPECT_TRUE(eventually(
		[&] { return rig_drain_start(r, "abertawe", "old", ROLE_PREFILL, ROLE_DECODE); },
		3000));
}

/* Guards against a new instance that sends work to an endpoint that is being drained. */
TEST(Control, NewInstanceAppliesStopsBeforeItIsReady)
{
	Region g;
	string holder;

	g.start_instance("a1", "abertawe");
	g.start_engine("e1", "abertawe", "prefill", true);
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe", &holder) == 1; }, 5000));
	/* An instance that never confirms keeps the drain from ending. */
	g.platform.post_json("/list/instances", "{\"id\":\"ghost\",\"dc\":\"abertawe\",\"peer\":"
						"\"127.0.0.1:1\",\"state\":\"live\"}");
	clock_sleep_ms(600);
	ASSERT_TRUE(rig_drain_start(g.rigs["a1"], "abertawe", "e1", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(eventually([&] { return g.endpoint_is_stopped("a1", "e1"); }, 2000));
	g.start_instance("a2", "abertawe");
	ASSERT_TRUE(g.all_ready());
	EXPECT_TRUE(g.endpoint_is_stopped("a2", "e1"));
	json_decref(g.platform.send_json("DELETE", "/list/instances/ghost"));
	EXPECT_TRUE(eventually([&] { return engine_has_role(*g.engines["e1"], "decode"); }, 8000));
	EXPECT_TRUE(eventually(
		[&] {
			return !g.endpoint_is_stopped("a1", "e1") &&
			       !g.endpoint_is_stopped("a2", "e1");
		},
		6000));
}

/*
 * Guards against an operator's drain that never completes, and a released lease that is only
 * acquired after its term.
 */
TEST(Control, OperatorDrainCompletesAndShutdownReleasesTheLease)
{
	Region g;
	struct error err = {};
	string holder;
	string next;
	int64_t v;

	g.start_instance("a1", "abertawe");
	g.start_instance("a2", "abertawe");
	g.start_engine("e1", "abertawe", "mixed", true);
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe", &holder) == 1; }, 5000));
	ASSERT_EQ(rig_config_change(g.rigs["a1"], "drain/e1", "{\"reason\":\"fan\"}", -1, &v, &err),
		  0);
	EXPECT_TRUE(eventually(
		[&] {
			return g.endpoint_is_stopped("a1", "e1") &&
			       g.endpoint_is_stopped("a2", "e1");
		},
		4000));
	EXPECT_TRUE(eventually(
		[&] {
			json_t *o = rig_status(g.rigs[holder]);
			const json_t *d = json_array_get(json_object_get(o, "drains"), 0);
			bool done = strcmp(json_get_cstr(d, "phase", ""), "done") == 0;

			json_decref(o);
			return done;
		},
		4000));
	clock_sleep_ms(4000);
	EXPECT_TRUE(g.endpoint_is_stopped("a1", "e1") && g.endpoint_is_stopped("a2", "e1"))
		<< "the drain lasts until the operator ends it";
	ASSERT_EQ(rig_config_change(g.rigs["a1"], "drain/e1", nullptr, -1, &v, &err), 0);
	EXPECT_TRUE(eventually(
		[&] {
			return !g.endpoint_is_stopped("a1", "e1") &&
			       !g.endpoint_is_stopped("a2", "e1");
		},
		6000));
	rig_shutdown(g.rigs[holder]);
	g.rigs.erase(holder);
	json_decref(g.platform.send_json("DELETE", "/list/instances/" + holder));
	EXPECT_TRUE(eventually([&] { return g.lease_holders("abertawe", &next) == 1; }, 4500))
		<< "a released lease is free at once";
}

/* Guards against roles that do not follow demand, and role changes while the platform is down. */
TEST(Control, RolesFollowTheDemandOfTheRegion)
{
	Region g;
	string holder;
	int64_t end;

	g.start_instance("a1", "abertawe");
	g.start_instance("a2", "abertawe");
	for (int i = 0; i < 4; i++)
		g.start_engine("e" + std::to_string(i), "abertawe", i < 3 ? "prefill" : "decode",
			       true);
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe", &holder) == 1; }, 5000));
	string other = holder == "a1" ? "a2" : "a1";
	auto decode_engines = [&] {
		int n = 0;

		for (auto &e : g.engines)
			n += engine_has_role(*e.second, "decode");
		return n;
	};
	/* All demand arrives at the instance that does not hold the lease. */
	auto add_demand_until = [&](int64_t ms, int target_count) {
		end = clock_boot_ms() + ms;
		while (clock_boot_ms() < end && decode_engines() < target_count) {
			fleet_demand_add(rig_fleet(g.rigs[other]), MODEL_NAME, 20000, 300000);
			clock_sleep_ms(100);
		}
		return decode_engines();
	};
	g.platform.post_json("/faults", "{\"down\":true}");
	EXPECT_EQ(add_demand_until(4000, 2), 1) << "no change while the platform is down";
	g.platform.post_json("/faults", "{\"down\":false}");
	EXPECT_GE(add_demand_until(25000, 2), 2);
}

/*
 * Sets an exception that keeps abertawe from changing roles, although it has most engines of the
 * role with spare capacity, and expects the change in caerdydd.
 */
static void expect_role_change_in_other_dc(const char *setting, const char *value,
					   const char *policy)
{
	Region g;
	struct error err = {};
	int64_t v;
	string exception = string("{\"scope\":\"dc/abertawe\",\"setting\":\"") + setting +
			   "\",\"value\":" + value +
			   ",\"reason\":\"no staff\",\"author\":\"op\",\"expiry\":9000000000000}";

	g.start_instance("a1", "abertawe");
	g.start_instance("c1", "caerdydd");
	for (int i = 0; i < 6; i++)
		g.start_engine("e" + std::to_string(i), i < 4 ? "abertawe" : "caerdydd",
			       i == 0 ? "decode" : "prefill", true);
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	ASSERT_TRUE(eventually(
		[&] {
			return g.lease_holders("abertawe") == 1 && g.lease_holders("caerdydd") == 1;
		},
		8000));
	ASSERT_EQ(
		rig_config_change(g.rigs["a1"], "exception/night", exception.c_str(), -1, &v, &err),
		0);
	ASSERT_EQ(rig_config_change(g.rigs["a1"], "default/role.policy", policy, -1, &v, &err), 0);
	ASSERT_TRUE(g.all_at_version(v, 5000));
	auto changed = [&] {
		fleet_demand_add(rig_fleet(g.rigs["c1"]), MODEL_NAME, 20000, 300000);
		return engine_has_role(*g.engines["e4"], "decode") ||
		       engine_has_role(*g.engines["e5"], "decode");
	};
	EXPECT_TRUE(eventually(changed, 25000));
	for (const char *e : { "e1", "e2", "e3" })
		EXPECT_TRUE(engine_has_role(*g.engines[e], "prefill")) << e;
}

/*
 * Guards against a fixed role policy of one data centre that keeps the whole region from following
 * its demand, and against one that is not in force.
 */
TEST(Control, FixedDataCentreLeavesRoleChangesToOthers)
{
	expect_role_change_in_other_dc("role.policy", "\"fixed\"", "\"greedy\"");
}

/*
 * Guards against a margin that no change meets in one data centre, and that keeps the whole region
 * from following its demand or is not in force.
 */
TEST(Control, LargerMarginOfADataCentreLeavesRoleChangesToOthers)
{
	expect_role_change_in_other_dc("role.margin", "100", "\"horizon\"");
}

/*
 * Guards against a limit on role changes that is exceeded, that starts from zero with a new lease
 * holder, or that still holds back changes after an operator has raised it for one data centre.
 */
TEST(Control, RoleChangesStopAtTheHourlyLimit)
{
	Region g;
	struct error err = {};
	string holder;
	int64_t v;
	auto set = [&](const string &id, const char *key, const char *value) {
		return rig_config_change(g.rigs[id], key, value, -1, &v, &err) == 0 &&
		       g.all_at_version(v, 5000);
	};

	g.start_instance("a1", "abertawe");
	g.start_instance("a2", "abertawe");
	for (int i = 0; i < 6; i++)
		g.start_engine("e" + std::to_string(i), "abertawe", i == 0 ? "decode" : "prefill",
			       true);
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe", &holder) == 1; }, 5000));
	ASSERT_TRUE(set("a1", "default/role.max-changes-per-hour", "1"));
	ASSERT_TRUE(set("a1", "default/role.policy", "\"greedy\""));
	auto decode_engines = [&] {
		int n = 0;

		for (auto &e : g.engines)
			n += engine_has_role(*e.second, "decode");
		return n;
	};
	auto add_demand_until = [&](const string &id, int64_t ms, int target_count) {
		int64_t end = clock_boot_ms() + ms;

		while (clock_boot_ms() < end && decode_engines() < target_count) {
			fleet_demand_add(rig_fleet(g.rigs[id]), MODEL_NAME, 20000, 300000);
			clock_sleep_ms(100);
		}
		return decode_engines();
	};
	string other = holder == "a1" ? "a2" : "a1";
	EXPECT_EQ(add_demand_until(other, 20000, 2), 2);
	EXPECT_EQ(add_demand_until(other, 5000, 3), 2);
	g.kill_instance(holder, false);
	ASSERT_TRUE(eventually([&] { return g.lease_holders("abertawe") == 1; }, 20000));
	EXPECT_EQ(add_demand_until(other, 5000, 3), 2)
		<< "the next holder counts the earlier change";
	ASSERT_TRUE(set(other, "exception/night",
			"{\"scope\":\"dc/abertawe\",\"setting\":\"role.max-changes-per-hour\","
			"\"value\":2,\"reason\":\"festival\",\"author\":\"op\","
			"\"expiry\":9000000000000}"));
	EXPECT_EQ(add_demand_until(other, 20000, 3), 3);
	EXPECT_EQ(add_demand_until(other, 4000, 4), 3);
}

/*
 * Guards against a call with side effects that runs twice, a result that is lost when the reply of
 * the table is lost, and a retry that waits for a dead owner.
 */
TEST(Control, ClaimedCallsRunAtMostOnce)
{
	Region g;

	g.start_instance("a1", "abertawe");
	g.start_instance("a2", "abertawe");
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	struct rig *a = g.rigs["a1"];
	struct rig *b = g.rigs["a2"];

	ASSERT_EQ(rig_claim_begin(a, 0, "k1", "body", 2000), CLAIM_DISPATCH);
	ASSERT_TRUE(rig_claim_dispatch(a, 0));
	EXPECT_FALSE(rig_claim_dispatch(a, 0)) << "a claim is dispatched once";
	EXPECT_EQ(rig_claim_begin(b, 0, "k1", "body", 300), CLAIM_REPORT_UNKNOWN)
		<< "the call is still running";
	EXPECT_EQ(rig_claim_begin(b, 0, "k1", "else", 300), CLAIM_BODY_MISMATCH);
	g.platform.post_json("/faults", "{\"drop_next_writes\":1}");
	rig_claim_finish(a, 0, "{\"ok\":1}");
	EXPECT_EQ(rig_claim_begin(b, 0, "k1", "body", 4000), CLAIM_REPLAY);
	EXPECT_STREQ(rig_claim_result(b, 0), "{\"ok\":1}");

	g.platform.post_json("/faults", "{\"drop_next_writes\":1}");
	ASSERT_EQ(rig_claim_begin(a, 1, "k2", "body", 2000), CLAIM_DISPATCH)
		<< "the token in the row shows that the write took effect";
	rig_claim_release(a, 1);
	ASSERT_EQ(rig_claim_begin(b, 1, "k2", "body", 3000), CLAIM_DISPATCH)
		<< "the claim was released before dispatch";
	ASSERT_TRUE(rig_claim_dispatch(b, 1));
	g.platform.post_json("/faults", "{\"down\":true}");
	EXPECT_EQ(rig_claim_begin(a, 2, "k3", "body", 400), CLAIM_REPORT_NOT_RUN);
	g.platform.post_json("/faults", "{\"down\":false}");
	EXPECT_EQ(rig_claim_begin(b, 3, "k3", "body", 3000), CLAIM_DISPATCH);
	g.kill_instance("a2", false);
	EXPECT_EQ(rig_claim_begin(a, 3, "k2", "body", 15000), CLAIM_REPORT_UNKNOWN)
		<< "the owner was killed";
}

/*
 * Guards against a table that fills up with claims of calls that ended long ago, and against the
 * deletion of a recent claim, which would let a retry run again.
 */
TEST(Control, OnlyOldClaimsExpire)
{
	Region g;

	g.start_instance("a1", "abertawe");
	ASSERT_TRUE(g.all_ready());
	string old = "/table/claim%2Fpress-parts%2Forders%2Fold";
	string young = "/table/claim%2Fpress-parts%2Forders%2Fyoung";
	string now = std::to_string(time(nullptr)) + "000";

	json_decref(g.platform.send_json("PUT", old, "{\"phase\":\"done\",\"at_ms\":1000}"));
	json_decref(
		g.platform.send_json("PUT", young, "{\"phase\":\"done\",\"at_ms\":" + now + "}"));
	size_t count = 2;
	for (int i = 0; i < 200 && count > 1; i++) {
		json_t *page = g.platform.send_json("GET", "/table?prefix=claim%2F");

		count = json_array_size(json_object_get(page, "rows"));
		json_decref(page);
		usleep(100000);
	}
	EXPECT_EQ(count, 1u);
	json_decref(g.platform.send_json("GET", young));
}

/* Guards against a crashing request that is refused by one instance only. */
TEST(Control, QuarantineReachesOtherInstances)
{
	Region g;

	g.start_instance("a1", "abertawe");
	g.start_instance("c1", "caerdydd");
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	rig_quarantine_verdict(g.rigs["a1"], 7, true);
	EXPECT_TRUE(eventually([&] { return rig_quarantine_verdict(g.rigs["c1"], 7, false) == 1; },
			       2000));
	rig_quarantine_verdict(g.rigs["c1"], 7, true);
	EXPECT_TRUE(eventually([&] { return rig_quarantine_verdict(g.rigs["a1"], 7, false) == 2; },
			       2000));
}

/*
 * Guards against a suspected crash that is not confirmed while the platform's list does not change,
 * although the list does not contain the endpoint.
 */
TEST(Control, UnchangedListConfirmsACrashOfAnUnlistedEndpoint)
{
	Region g;

	g.start_instance("a1", "abertawe");
	ASSERT_TRUE(g.all_ready());
	/* The list lags by 200 ms and is polled every 200 ms. */
	clock_sleep_ms(1000);
	rig_quarantine_verdict(g.rigs["a1"], 7, true);
	EXPECT_EQ(rig_quarantine_suspect(g.rigs["a1"], 7, "gone"), QUARANTINE_HOLD);
	EXPECT_TRUE(eventually(
		[&] { return rig_quarantine_verdict(g.rigs["a1"], 7, false) == QUARANTINE_REFUSE; },
		2000));
}

/* Guards against a peer with an unknown key, or with the id of another member, that is accepted. */
TEST(Control, CurveAdmitsOnlyKnownKeys)
{
	std::map<string, std::pair<string, string>> keys;
	Region g;
	string allowed_peers = "[curve-peers]\n";

	for (const char *id : { "a1", "a2", "a3" }) {
		char pub[41];
		char sec[41];

		ASSERT_EQ(zmq_curve_keypair(pub, sec), 0);
		/* "#" and ";" have a special meaning in the INI format. */
		while (strpbrk(pub, "#;") || strpbrk(sec, "#;"))
			zmq_curve_keypair(pub, sec);
		keys[id] = { pub, sec };
		if (strcmp(id, "a3") != 0)
			allowed_peers += string(id) + " = " + pub + "\n";
	}
	for (auto &k : keys) {
		string all = allowed_peers;

		g.peer_settings = "curve-public-key = " + k.second.first +
				  "\ncurve-secret-key = " + k.second.second + "\n";
		if (k.first == "a3")
			all += "a3 = " + k.second.first + "\n";
		g.start_instance(k.first, "abertawe", all);
	}
	ASSERT_TRUE(g.all_ready());
	EXPECT_TRUE(eventually([&] { return Region::live_members(g.rigs["a1"]) == 2; }, 8000));
	EXPECT_TRUE(eventually([&] { return Region::live_members(g.rigs["a2"]) == 2; }, 4000));
	clock_sleep_ms(2500);
	EXPECT_EQ(Region::live_members(g.rigs["a1"]), 2);
	EXPECT_EQ(Region::live_members(g.rigs["a3"]), 1);
}

/* Guards against a connection to a peer that is kept although it no longer carries messages. */
TEST(Control, SilentPeerConnectionIsReplaced)
{
	Region g;

	auto proxy = g.start_pair("abertawe");
	ASSERT_TRUE(g.all_ready());
	ASSERT_TRUE(g.all_members_live(8000));
	proxy->post_json("/faults",
			 "{\"route\":\"a1\",\"mode\":\"silent\",\"existing_only\":true}");
	EXPECT_TRUE(eventually([&] { return Region::live_members(g.rigs["a1"]) == 1; }, 5000));
	EXPECT_TRUE(g.all_members_live(6000));
}

/*
 * Context of a may_send hook that restarts the engine after the connection is open and before the
 * order is sent; @lease_is_held is the result of the hook.
 */
struct engine_restart {
	std::unique_ptr<StandinProcess> engine;
	std::vector<string> args;
	bool lease_is_held;
};

static bool restart_engine(void *ctx)
{
	struct engine_restart *p = static_cast<struct engine_restart *>(ctx);

	kill(p->engine->pid, SIGKILL);
	p->engine.reset();
	p->engine.reset(new StandinProcess("ibisgate-engine", p->args));
	return p->lease_is_held;
}

/*
 * Guards against an order that a paused lease holder sends after its last check of the lease and
 * that reaches a restarted engine, which has lost the order of the next holder.
 */
TEST(Control, OrderOfAPausedHolderDoesNotReachARestartedEngine)
{
	const string body = R"({"order_id":"o-1","fencing":1,"holder":"a1","kind":"role",)"
			    R"("value":"decode"})";

	struct http_pool *pool = http_pool_create();

	for (bool held : { true, false }) {
		struct http_call c = {};
		struct engine_restart p = { nullptr, { "--port", "0" }, held };
		string url;

		p.engine.reset(new StandinProcess("ibisgate-engine", p.args));
		p.args[1] = std::to_string(p.engine->port);
		url = p.engine->url() + "/orders";
		c.method = "POST";
		c.url = url.c_str();
		c.body = { body.data(), body.size() };
		c.timeout_ms = 3000;
		c.may_send = restart_engine;
		c.ctx = &p;
		enum http_outcome outcome = http_call(pool, &c);

		/* The write fails at once if the connection was reset before it. */
		EXPECT_NE(outcome, HTTP_REPLIED);
		if (!held) {
			EXPECT_EQ(outcome, HTTP_NOT_SENT);
		}
		buf_free(&c.reply);
		json_t *o = p.engine->send_json("GET", "/orders");
		EXPECT_EQ(json_array_size(json_object_get(o, "log")), 0u);
		json_decref(o);
	}
	http_pool_destroy(pool);
}
