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

	g.start("a1", "abertawe");
	string to_a1 = "127.0.0.1:" + std::to_string(rig_peer_port(g.rigs["a1"]));
	Standin proxy("ibisgate-faultproxy", { "--control", "0", "--route", "a1=" + to_a1 });
	g.start("a2", "abertawe",
		"[routes]\na1 = 127.0.0.1:" + std::to_string(proxy.route("a1")) + "\n");
	ASSERT_TRUE(g.ready());
	ASSERT_TRUE(g.see_each_other(8000));
	proxy.tell("/faults", "{\"route\":\"a1\",\"mode\":\"silent\",\"existing_only\":true}");
	EXPECT_TRUE(eventually([&] { return Region::live(g.rigs["a1"]) == 1; }, 5000));
	EXPECT_TRUE(g.see_each_other(6000));
}
