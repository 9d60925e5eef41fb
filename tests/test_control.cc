#include "region.h"

#include <zmq.h>

/* Guards against members that are not found, two lease holders, and a lease nobody takes over. */
TEST(Control, MembersAndLeasesSurviveAKill)
{
	Region g;
	string first;
	string second;
	int64_t f1 = 0;
	int64_t f2 = 0;

	g.start("a1", "abertawe");
	g.start("a2", "abertawe");
	g.start("c1", "caerdydd");
	g.start("c2", "caerdydd");
	ASSERT_TRUE(g.ready());
	EXPECT_TRUE(g.see_each_other(8000));
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &first, &f1) == 1; }, 5000));
	g.kill(first, true);
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &second, &f2) == 1; }, 15000));
	EXPECT_NE(first, second);
	EXPECT_GT(f2, f1);
}

/* Guards against control work that takes more of an instance than 1.7% of a core and 22 KB/s. */
TEST(Control, IdleCostStaysWithinItsShare)
{
	const int instances = 5;
	const int64_t span_ms = 5000;
	int64_t bytes;
	int64_t us;
	Region g;

	for (int i = 0; i < instances; i++)
		g.start("a" + std::to_string(i), i < 4 ? "abertawe" : "caerdydd");
	for (int i = 0; i < 20; i++)
		g.table.tell("/list/endpoints", "{\"name\":\"e" + std::to_string(i) +
							"\",\"dc\":\"abertawe\",\"url\":"
							"\"http://127.0.0.1:1\",\"kind\":"
							"\"engine\",\"model\":\"m\",\"role\":"
							"\"mixed\",\"state\":\"live\"}");
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	us = metric_get(METRIC_CONTROL_CPU_US);
	bytes = metric_get(METRIC_PEER_BYTES_IN) + metric_get(METRIC_PEER_BYTES_OUT);
	clock_sleep_ms((int)span_ms);
	us = (metric_get(METRIC_CONTROL_CPU_US) - us) / instances;
	bytes = metric_get(METRIC_PEER_BYTES_IN) + metric_get(METRIC_PEER_BYTES_OUT) - bytes;
	std::cout << "per instance: " << (double)us / 10.0 / (double)span_ms << "% of a core, "
		  << bytes * 1000 / span_ms / instances << " bytes/s of messages\n";
	EXPECT_LT(us, span_ms * 17);
	EXPECT_LT(bytes * 1000 / span_ms / instances, 22000);
}

/* Guards against a lost or doubled change, two winners of a race, and an instance left behind. */
TEST(Control, ConfigurationChangesRaceAndSpread)
{
	Region g;
	struct error err = {};
	int64_t v1 = 0;
	int64_t v2 = 0;

	g.start("a1", "abertawe");
	g.start("c1", "caerdydd");
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	EXPECT_EQ(rig_change(g.rigs["a1"], "default/no.such", "1", -1, &v1, &err), -1);
	ASSERT_EQ(rig_change(g.rigs["a1"], "default/deadline.gap-ms", "70", 0, &v1, &err), 0)
		<< err.text;
	EXPECT_EQ(v1, 1);
	EXPECT_EQ(rig_change(g.rigs["c1"], "default/deadline.gap-ms", "80", 0, &v2, &err), -1);
	EXPECT_EQ(err.layer, ERROR_STATE);
	EXPECT_EQ(err.code, CONFIG_STALE);
	EXPECT_EQ(v2, 1) << "the version that won";
	EXPECT_TRUE(g.version_everywhere(1, 4000));
	g.table.tell("/faults", "{\"drop_next_writes\":1}");
	ASSERT_EQ(rig_change(g.rigs["c1"], "default/deadline.gap-ms", "80", 1, &v2, &err), 0)
		<< "the reply was lost after the change took effect: " << err.text;
	EXPECT_EQ(v2, 2);
	EXPECT_TRUE(g.version_everywhere(2, 4000));
	g.table.tell("/faults", "{\"down\":true}");
	EXPECT_EQ(rig_change(g.rigs["a1"], "default/deadline.gap-ms", "90", 2, &v1, &err), -1);
	EXPECT_EQ(err.layer, ERROR_PLATFORM);
	g.table.tell("/faults", "{\"down\":false}");
	for (int i = 3; i < 103; i++)
		ASSERT_EQ(rig_change(g.rigs["a1"], "default/retry.min-per-s", "4", -1, &v1, &err),
			  0)
			<< err.text;
	g.start("b1", "casnewydd");
	ASSERT_TRUE(g.ready());
	EXPECT_TRUE(g.version_everywhere(v1, 4000));
}

/* Guards against an order while work runs, a member that is not asked, and an endpoint that stays
 * stopped. */
TEST(Control, RoleChangeStopsOrdersAndReturns)
{
	Region g;
	string holder;

	g.start("a1", "abertawe");
	g.start("a2", "abertawe");
	g.start("c1", "caerdydd");
	Standin &e = g.engine("e1", "abertawe", "prefill", true);
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &holder) == 1; }, 5000));
	ASSERT_TRUE(eventually([&] { return g.holders("caerdydd") == 1; }, 5000));
	EXPECT_FALSE(rig_drain(g.rigs["c1"], "abertawe", "e1", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(rig_drain(g.rigs[holder], "abertawe", "e1", ROLE_PREFILL, ROLE_DECODE));
	EXPECT_TRUE(eventually([&] { return g.stopped("c1", "e1"); }, 2000));
	EXPECT_TRUE(eventually([&] { return done_with_role(e, "decode"); }, 5000));
	EXPECT_TRUE(eventually(
		[&] {
			return !g.stopped("a1", "e1") && !g.stopped("a2", "e1") &&
			       !g.stopped("c1", "e1");
		},
		5000));
}

/* Guards against an intent that dies with its holder, and a different order from a successor. */
TEST(Control, SuccessorFinishesTheSameIntent)
{
	Region g;
	string holder;

	g.start("a1", "abertawe");
	g.start("a2", "abertawe");
	Standin &e = g.engine("e1", "abertawe", "prefill", false);
	e.tell("/faults", "{\"stall_ms\":0}");
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &holder) == 1; }, 5000));
	ASSERT_TRUE(rig_drain(g.rigs[holder], "abertawe", "e1", ROLE_PREFILL, ROLE_DECODE));
	string other = holder == "a1" ? "a2" : "a1";
	ASSERT_TRUE(eventually([&] { return g.stopped(other, "e1"); }, 3000));
	g.kill(holder, false);
	EXPECT_TRUE(eventually([&] { return done_with_role(e, "decode"); }, 20000));
	EXPECT_TRUE(eventually([&] { return !g.stopped(other, "e1"); }, 5000));
	json_t *o = e.send("GET", "/orders");
	string id;
	for (size_t i = 0; i < json_array_size(json_object_get(o, "log")); i++) {
		const json_t *l = json_array_get(json_object_get(o, "log"), i);

		EXPECT_TRUE(id.empty() || id == json_get_cstr(l, "order_id", ""));
		id = json_get_cstr(l, "order_id", "");
	}
	json_decref(o);
}

/* Guards against a change that is counted without an order, or lost, when its holder loses the
 * lease between the decision and the order: before the intent is written and after it. */
TEST(Control, NextHolderTakesUpAChangeWithoutOrder)
{
	Region g;
	auto proxy = g.platform_proxy();
	string who;

	g.start("a1", "abertawe", Region::behind(*proxy));
	g.start("a2", "abertawe");
	Standin &written = g.engine("written", "abertawe", "prefill", true);
	Standin &unwritten = g.engine("unwritten", "abertawe", "prefill", true);
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &who) == 1; }, 5000));
	ASSERT_EQ(who, "a1");
	/* An instance that never confirms keeps the drain from its order. */
	g.table.tell("/list/instances", "{\"id\":\"ghost\",\"dc\":\"abertawe\",\"peer\":"
					"\"127.0.0.1:1\",\"state\":\"live\"}");
	clock_sleep_ms(600);
	ASSERT_TRUE(rig_drain(g.rigs["a1"], "abertawe", "written", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(eventually([&] { return g.stopped("a2", "written"); }, 3000));
	proxy->tell("/faults", "{\"route\":\"*\",\"mode\":\"cut\"}");
	EXPECT_TRUE(rig_drain(g.rigs["a1"], "abertawe", "unwritten", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(
		eventually([&] { return g.holders("abertawe", &who) == 1 && who == "a2"; }, 20000));
	EXPECT_FALSE(rig_drain(g.rigs["a1"], "abertawe", "unwritten", ROLE_PREFILL, ROLE_DECODE));
	EXPECT_FALSE(done_with_role(written, "decode"));
	json_decref(g.table.send("DELETE", "/list/instances/ghost"));
	EXPECT_TRUE(eventually([&] { return done_with_role(written, "decode"); }, 10000));
	EXPECT_TRUE(eventually(
		[&] { return !g.stopped("a1", "written") && !g.stopped("a2", "written"); }, 8000));
	EXPECT_FALSE(g.stopped("a1", "unwritten") || g.stopped("a2", "unwritten"));
	EXPECT_TRUE(done_with_role(unwritten, "prefill")) << "no order without an intent";
	ASSERT_TRUE(rig_drain(g.rigs["a2"], "abertawe", "unwritten", ROLE_PREFILL, ROLE_DECODE));
	EXPECT_TRUE(eventually([&] { return done_with_role(unwritten, "decode"); }, 10000));
	EXPECT_EQ(g.role_changes("a1"), 0) << "it ordered nothing";
	EXPECT_TRUE(eventually([&] { return g.role_changes("a2") == 2; }, 5000));
}

/* Guards against a different order to an engine that can't refuse the one of an earlier holder. */
TEST(Control, UnfencedEngineWaitsForTheEarlierHolder)
{
	Region g;
	string holder;
	string next;

	g.start("a1", "abertawe");
	g.start("a2", "abertawe");
	g.engine("old", "abertawe", "prefill", false);
	Standin &e = g.engine("new", "abertawe", "prefill", true);
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &holder) == 1; }, 5000));
	g.kill(holder, true);
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &next) == 1; }, 15000));
	struct rig *r = g.rigs[next];
	EXPECT_FALSE(rig_drain(r, "abertawe", "old", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(rig_drain(r, "abertawe", "new", ROLE_PREFILL, ROLE_DECODE));
	clock_sleep_ms(1500);
	EXPECT_FALSE(done_with_role(e, "decode")) << "a listed instance has not confirmed";
	json_decref(g.table.send("DELETE", "/list/instances/" + holder));
	EXPECT_TRUE(eventually([&] { return done_with_role(e, "decode"); }, 10000));
	EXPECT_TRUE(eventually(
		[&] { return rig_drain(r, "abertawe", "old", ROLE_PREFILL, ROLE_DECODE); }, 3000));
}

/* Guards against a new instance that sends work to an endpoint that is about to change. */
TEST(Control, NewInstanceLearnsLeavingEndpointsBeforeItIsReady)
{
	Region g;
	string holder;

	g.start("a1", "abertawe");
	g.engine("e1", "abertawe", "prefill", true);
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &holder) == 1; }, 5000));
	/* An instance that never confirms keeps the drain from ending. */
	g.table.tell("/list/instances", "{\"id\":\"ghost\",\"dc\":\"abertawe\",\"peer\":"
					"\"127.0.0.1:1\",\"state\":\"live\"}");
	clock_sleep_ms(600);
	ASSERT_TRUE(rig_drain(g.rigs["a1"], "abertawe", "e1", ROLE_PREFILL, ROLE_DECODE));
	ASSERT_TRUE(eventually([&] { return g.stopped("a1", "e1"); }, 2000));
	g.start("a2", "abertawe");
	ASSERT_TRUE(g.ready());
	EXPECT_TRUE(g.stopped("a2", "e1"));
	json_decref(g.table.send("DELETE", "/list/instances/ghost"));
	EXPECT_TRUE(eventually([&] { return done_with_role(*g.engines["e1"], "decode"); }, 8000));
	EXPECT_TRUE(
		eventually([&] { return !g.stopped("a1", "e1") && !g.stopped("a2", "e1"); }, 6000));
}

/* Guards against a released lease that is waited for, and an operator's drain that is never done.
 */
TEST(Control, LeaveReleasesAndDrainsComplete)
{
	Region g;
	struct error err = {};
	string holder;
	string next;
	int64_t v;

	g.start("a1", "abertawe");
	g.start("a2", "abertawe");
	g.engine("e1", "abertawe", "mixed", true);
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &holder) == 1; }, 5000));
	ASSERT_EQ(rig_change(g.rigs["a1"], "drain/e1", "{\"reason\":\"fan\"}", -1, &v, &err), 0);
	EXPECT_TRUE(
		eventually([&] { return g.stopped("a1", "e1") && g.stopped("a2", "e1"); }, 4000));
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
	EXPECT_TRUE(g.stopped("a1", "e1") && g.stopped("a2", "e1")) << "until the operator ends it";
	ASSERT_EQ(rig_change(g.rigs["a1"], "drain/e1", nullptr, -1, &v, &err), 0);
	EXPECT_TRUE(
		eventually([&] { return !g.stopped("a1", "e1") && !g.stopped("a2", "e1"); }, 6000));
	rig_leave(g.rigs[holder]);
	g.rigs.erase(holder);
	json_decref(g.table.send("DELETE", "/list/instances/" + holder));
	EXPECT_TRUE(eventually([&] { return g.holders("abertawe", &next) == 1; }, 4500))
		<< "no term to wait for";
}

/* Guards against roles that do not follow the demand, and changes while the platform is down. */
TEST(Control, RolesFollowTheDemandOfTheRegion)
{
	Region g;
	string holder;
	int64_t end;

	g.start("a1", "abertawe");
	g.start("a2", "abertawe");
	for (int i = 0; i < 4; i++)
		g.engine("e" + std::to_string(i), "abertawe", i < 3 ? "prefill" : "decode", true);
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &holder) == 1; }, 5000));
	string other = holder == "a1" ? "a2" : "a1";
	auto decoders = [&] {
		int n = 0;

		for (auto &e : g.engines)
			n += done_with_role(*e.second, "decode");
		return n;
	};
	/* All demand arrives at the instance that does not decide. */
	auto press = [&](int64_t ms, int want) {
		end = clock_boot_ms() + ms;
		while (clock_boot_ms() < end && decoders() < want) {
			fleet_demand_add(rig_fleet(g.rigs[other]), POOL, 20000, 300000);
			clock_sleep_ms(100);
		}
		return decoders();
	};
	g.table.tell("/faults", "{\"down\":true}");
	EXPECT_EQ(press(4000, 2), 1) << "no change while the platform is down";
	g.table.tell("/faults", "{\"down\":false}");
	EXPECT_GE(press(25000, 2), 2);
}

/* The exception holds for the data centre with most engines of the donor role. */
static void expect_change_elsewhere(const char *setting, const char *value, const char *policy)
{
	Region g;
	struct error err = {};
	int64_t v;
	string exception = string("{\"scope\":\"dc/abertawe\",\"setting\":\"") + setting +
			   "\",\"value\":" + value +
			   ",\"reason\":\"no staff\",\"author\":\"op\",\"expiry\":9000000000000}";

	g.start("a1", "abertawe");
	g.start("c1", "caerdydd");
	for (int i = 0; i < 6; i++)
		g.engine("e" + std::to_string(i), i < 4 ? "abertawe" : "caerdydd",
			 i == 0 ? "decode" : "prefill", true);
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	ASSERT_TRUE(eventually(
		[&] { return g.holders("abertawe") == 1 && g.holders("caerdydd") == 1; }, 8000));
	ASSERT_EQ(rig_change(g.rigs["a1"], "exception/night", exception.c_str(), -1, &v, &err), 0);
	ASSERT_EQ(rig_change(g.rigs["a1"], "default/role.policy", policy, -1, &v, &err), 0);
	ASSERT_TRUE(g.version_everywhere(v, 5000));
	auto changed = [&] {
		fleet_demand_add(rig_fleet(g.rigs["c1"]), POOL, 20000, 300000);
		return done_with_role(*g.engines["e4"], "decode") ||
		       done_with_role(*g.engines["e5"], "decode");
	};
	EXPECT_TRUE(eventually(changed, 25000));
	for (const char *e : { "e1", "e2", "e3" })
		EXPECT_TRUE(done_with_role(*g.engines[e], "prefill")) << e;
}

/* Guards against an exception of one data centre that keeps the whole region from following its
 * demand, and against one that is not in force. */
TEST(Control, FixedDataCentreLeavesRoleChangesToOthers)
{
	expect_change_elsewhere("role.policy", "\"fixed\"", "\"greedy\"");
}

/* Likewise for a margin that the change does not meet there. */
TEST(Control, LargerMarginOfADataCentreLeavesRoleChangesToOthers)
{
	expect_change_elsewhere("role.margin", "100", "\"horizon\"");
}

/* Guards against a limit on role changes that is exceeded, that a new lease holder forgets, or that
 * keeps back changes after an operator has raised it for one data centre. */
TEST(Control, RoleChangesStopAtTheLimitOfTheHour)
{
	Region g;
	struct error err = {};
	string holder;
	int64_t v;
	auto set = [&](const string &id, const char *key, const char *value) {
		return rig_change(g.rigs[id], key, value, -1, &v, &err) == 0 &&
		       g.version_everywhere(v, 5000);
	};

	g.start("a1", "abertawe");
	g.start("a2", "abertawe");
	for (int i = 0; i < 6; i++)
		g.engine("e" + std::to_string(i), "abertawe", i == 0 ? "decode" : "prefill", true);
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe", &holder) == 1; }, 5000));
	ASSERT_TRUE(set("a1", "default/role.max-changes-per-hour", "1"));
	ASSERT_TRUE(set("a1", "default/role.policy", "\"greedy\""));
	auto decoders = [&] {
		int n = 0;

		for (auto &e : g.engines)
			n += done_with_role(*e.second, "decode");
		return n;
	};
	auto press = [&](const string &id, int64_t ms, int want) {
		int64_t end = clock_boot_ms() + ms;

		while (clock_boot_ms() < end && decoders() < want) {
			fleet_demand_add(rig_fleet(g.rigs[id]), POOL, 20000, 300000);
			clock_sleep_ms(100);
		}
		return decoders();
	};
	string other = holder == "a1" ? "a2" : "a1";
	EXPECT_EQ(press(other, 20000, 2), 2);
	EXPECT_EQ(press(other, 5000, 3), 2);
	g.kill(holder, false);
	ASSERT_TRUE(eventually([&] { return g.holders("abertawe") == 1; }, 20000));
	EXPECT_EQ(press(other, 5000, 3), 2) << "the next holder knows the change";
	ASSERT_TRUE(set(other, "exception/night",
			"{\"scope\":\"dc/abertawe\",\"setting\":\"role.max-changes-per-hour\","
			"\"value\":2,\"reason\":\"festival\",\"author\":\"op\","
			"\"expiry\":9000000000000}"));
	EXPECT_EQ(press(other, 20000, 3), 3);
	EXPECT_EQ(press(other, 4000, 4), 3);
}

/* Guards against a call with side effects that runs twice, a result that is lost with the reply of
 * the table, and a repeat that waits for a dead owner. */
TEST(Control, ClaimsRunAtMostOnce)
{
	Region g;

	g.start("a1", "abertawe");
	g.start("a2", "abertawe");
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	struct rig *a = g.rigs["a1"];
	struct rig *b = g.rigs["a2"];

	ASSERT_EQ(rig_claim(a, 0, "k1", "body", 2000), CLAIM_DISPATCH);
	ASSERT_TRUE(rig_claim_dispatch(a, 0));
	EXPECT_FALSE(rig_claim_dispatch(a, 0)) << "once only";
	EXPECT_EQ(rig_claim(b, 0, "k1", "body", 300), CLAIM_SAY_UNKNOWN) << "still runs";
	EXPECT_EQ(rig_claim(b, 0, "k1", "else", 300), CLAIM_OTHER_BODY);
	g.table.tell("/faults", "{\"drop_next_writes\":1}");
	rig_claim_finish(a, 0, "{\"ok\":1}");
	EXPECT_EQ(rig_claim(b, 0, "k1", "body", 4000), CLAIM_REPLAY);
	EXPECT_STREQ(rig_result(b, 0), "{\"ok\":1}");

	g.table.tell("/faults", "{\"drop_next_writes\":1}");
	ASSERT_EQ(rig_claim(a, 1, "k2", "body", 2000), CLAIM_DISPATCH) << "settled by its token";
	rig_claim_release(a, 1);
	ASSERT_EQ(rig_claim(b, 1, "k2", "body", 3000), CLAIM_DISPATCH) << "released unsent";
	ASSERT_TRUE(rig_claim_dispatch(b, 1));
	g.table.tell("/faults", "{\"down\":true}");
	EXPECT_EQ(rig_claim(a, 2, "k3", "body", 400), CLAIM_SAY_NOT_RUN);
	g.table.tell("/faults", "{\"down\":false}");
	EXPECT_EQ(rig_claim(b, 3, "k3", "body", 3000), CLAIM_DISPATCH);
	g.kill("a2", false);
	EXPECT_EQ(rig_claim(a, 3, "k2", "body", 15000), CLAIM_SAY_UNKNOWN) << "owner is gone";
}

/* Guards against a table that fills with claims of calls that ended long ago, and against the loss
 * of a young claim, which would let a repeat run again. */
TEST(Control, OldClaimsExpire)
{
	Region g;

	g.start("a1", "abertawe");
	ASSERT_TRUE(g.ready());
	string old = "/table/claim%2Fpress-parts%2Forders%2Fold";
	string young = "/table/claim%2Fpress-parts%2Forders%2Fyoung";
	string now = std::to_string(time(nullptr)) + "000";

	json_decref(g.table.send("PUT", old, "{\"phase\":\"done\",\"at_ms\":1000}"));
	json_decref(g.table.send("PUT", young, "{\"phase\":\"done\",\"at_ms\":" + now + "}"));
	size_t count = 2;
	for (int i = 0; i < 200 && count > 1; i++) {
		json_t *page = g.table.send("GET", "/table?prefix=claim%2F");

		count = json_array_size(json_object_get(page, "rows"));
		json_decref(page);
		usleep(100000);
	}
	EXPECT_EQ(count, 1u);
	json_decref(g.table.send("GET", young));
}

/* Guards against a crashing request that is refused on one instance only. */
TEST(Control, QuarantineSpreads)
{
	Region g;

	g.start("a1", "abertawe");
	g.start("c1", "caerdydd");
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	rig_quarantine(g.rigs["a1"], 7, true);
	EXPECT_TRUE(eventually([&] { return rig_quarantine(g.rigs["c1"], 7, false) == 1; }, 2000));
	rig_quarantine(g.rigs["c1"], 7, true);
	EXPECT_TRUE(eventually([&] { return rig_quarantine(g.rigs["a1"], 7, false) == 2; }, 2000));
}

/* Guards against evidence by absence that waits for a change of the list. */
TEST(Control, UnchangedListSettlesACrash)
{
	Region g;

	g.start("a1", "abertawe");
	ASSERT_TRUE(g.ready());
	/* The list lags by 200 ms and is polled as often. */
	clock_sleep_ms(1000);
	rig_quarantine(g.rigs["a1"], 7, true);
	EXPECT_EQ(rig_suspect(g.rigs["a1"], 7, "gone"), QUARANTINE_HOLD);
	EXPECT_TRUE(eventually(
		[&] { return rig_quarantine(g.rigs["a1"], 7, false) == QUARANTINE_REFUSE; }, 2000));
}

/* Guards against a stranger, or a member under another's name, that takes part. */
TEST(Control, CurveAdmitsOnlyKnownKeys)
{
	std::map<string, std::pair<string, string>> keys;
	Region g;
	string admitted = "[curve-peers]\n";

	for (const char *id : { "a1", "a2", "a3" }) {
		char pub[41];
		char sec[41];

		ASSERT_EQ(zmq_curve_keypair(pub, sec), 0);
		/* The INI format gives these two characters a meaning. */
		while (strpbrk(pub, "#;") || strpbrk(sec, "#;"))
			zmq_curve_keypair(pub, sec);
		keys[id] = { pub, sec };
		if (strcmp(id, "a3") != 0)
			admitted += string(id) + " = " + pub + "\n";
	}
	for (auto &k : keys) {
		string all = admitted;

		g.peer_extra = "curve-public-key = " + k.second.first +
			       "\ncurve-secret-key = " + k.second.second + "\n";
		if (k.first == "a3")
			all += "a3 = " + k.second.first + "\n";
		g.start(k.first, "abertawe", all);
	}
	ASSERT_TRUE(g.ready());
	EXPECT_TRUE(eventually([&] { return Region::live(g.rigs["a1"]) == 2; }, 8000));
	EXPECT_TRUE(eventually([&] { return Region::live(g.rigs["a2"]) == 2; }, 4000));
	clock_sleep_ms(2500);
	EXPECT_EQ(Region::live(g.rigs["a1"]), 2);
	EXPECT_EQ(Region::live(g.rigs["a3"]), 1);
}

/* Guards against a peer whose silent connection is used for ever. */
TEST(Control, SilentPeerConnectionIsReplaced)
{
	Region g;

	auto proxy = g.start_pair("abertawe");
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	proxy->tell("/faults", "{\"route\":\"a1\",\"mode\":\"silent\",\"existing_only\":true}");
	EXPECT_TRUE(eventually([&] { return Region::live(g.rigs["a1"]) == 1; }, 5000));
	EXPECT_TRUE(g.see_each_other(6000));
}

/* What the order of a paused holder meets: a hook between the last look at the lease and the send.
 */
struct pause {
	std::unique_ptr<Standin> engine;
	std::vector<string> args;
	bool held;
};

static bool restart_engine(void *ctx)
{
	struct pause *p = static_cast<struct pause *>(ctx);

	kill(p->engine->pid, SIGKILL);
	p->engine.reset();
	p->engine.reset(new Standin("ibisgate-engine", p->args));
	return p->held;
}

/*
 * Guards against an order that a paused holder sends after its last look at the lease and that
 * reaches an engine started again meanwhile, which has forgotten the order of the successor.
 */
TEST(Control, OrderOfAPausedHolderMissesARestartedEngine)
{
	const string body = R"({"order_id":"o-1","fencing":1,"holder":"a1","kind":"role",)"
			    R"("value":"decode"})";

	struct http_pool *pool = http_pool_create();

	for (bool held : { true, false }) {
		struct http_call c = {};
		struct pause p = { nullptr, { "--port", "0" }, held };
		string url;

		p.engine.reset(new Standin("ibisgate-engine", p.args));
		p.args[1] = std::to_string(p.engine->port);
		url = p.engine->url() + "/orders";
		c.method = "POST";
		c.url = url.c_str();
		c.body = { body.data(), body.size() };
		c.timeout_ms = 3000;
		c.may_send = restart_engine;
		c.ctx = &p;
		enum http_outcome outcome = http_call(pool, &c);

		/* The write fails at once when the reset of the connection came before it. */
		EXPECT_NE(outcome, HTTP_REPLIED);
		if (!held) {
			EXPECT_EQ(outcome, HTTP_NOT_SENT);
		}
		buf_free(&c.reply);
		json_t *o = p.engine->send("GET", "/orders");
		EXPECT_EQ(json_array_size(json_object_get(o, "log")), 0u);
		json_decref(o);
	}
	http_pool_destroy(pool);
}
