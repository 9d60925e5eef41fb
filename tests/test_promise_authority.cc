#include "promise_fixture.h"

/* Promises 1 and 3: no conflicting orders, and none with effect from a process without authority.
 */
class PromiseAuthority : public PromiseTest
{
      protected:
	/* Long prompts on many decode engines, so that the holder wants a change of role. */
	void start_fleet(bool fencing, const char *role_ms)
	{
		args[5] = role_ms;
		d.engine_args = args;
		defaults.emplace_back("role.policy", json_string("greedy"));
		defaults.emplace_back("role.change-ms", json_integer(500));
		start({ "abertawe" }, 3,
		      { { "prefill", fencing },
			{ "decode", fencing },
			{ "decode", fencing },
			{ "decode", fencing } },
		      false);
		ASSERT_TRUE(eventually([&] { return (held = holder("abertawe")) >= 0; }, 10000));
		id = f->instances[held].id;
		other = f->instances[(held + 1) % 3].id;
		load.o.concurrency = 6;
		load.o.timeout_ms = 8000;
		load.o.drain_s = 1;
		load.s.phases[0].prompt_tokens = 3000;
		load.s.phases[0].output_tokens = 8;
	}
	void load_start(double seconds)
	{
		std::vector<std::string> all = urls();

		/* Callers of the frozen instance would only wait for it. */
		all.erase(all.begin() + held);
		load.o.duration_s = seconds;
		load.start(all);
	}
	/* Waits until the holder's drain is in @phase; takes its endpoint and order. */
	bool drain_in(const std::string &phase, int64_t limit_ms = 10000)
	{
		return eventually(
			[&] {
				Json st = status(held);
				const json_t *drain = entry_of(st.at("drains"), "phase", phase);

				if (drain) {
					endpoint = json_get_cstr(drain, "endpoint", "");
					order = json_get_cstr(drain, "order", "");
				}
				return drain != nullptr;
			},
			limit_ms);
	}
	bool stopped_at(int i)
	{
		Json st = status(i);
		const json_t *e = entry_of(st.at("endpoints"), "name", endpoint);

		return json_get_bool(e, "stopped", false);
	}
	Json orders(int e)
	{
		return get(std::string(f->endpoints[e].url) + "/orders");
	}
	int endpoint_index()
	{
		return atoi(endpoint.c_str() + 1) - 1;
	}
	/* Orders by @who that engine @e accepted. */
	int accepted_from(int e, const std::string &who)
	{
		Json o = orders(e);
		const json_t *log = o.at("log");
		int n = 0;

		for (size_t i = 0; i < json_array_size(log); i++) {
			const json_t *l = json_array_get(log, i);

			n += who == json_get_cstr(l, "holder", "") &&
			     json_get_bool(l, "accepted", false);
		}
		return n;
	}
	int accepted_total(const std::string &who)
	{
		int n = 0;

		for (int e = 0; e < f->endpoint_count; e++)
			n += accepted_from(e, who);
		return n;
	}
	void delist(const std::string &instance)
	{
		std::string url = std::string(f->platform) + "/list/instances/" + instance;
		struct harness_reply reply;

		harness_http("DELETE", url.c_str(), nullptr, nullptr, 2000, &reply, nullptr);
		EXPECT_EQ(reply.status, 200);
		harness_reply_free(&reply);
	}
	bool platform_down(int i)
	{
		return status(i).number("platform_down_since_ms") > 0;
	}
	void expect_no_conflicts()
	{
		for (int e = 0; e < f->endpoint_count; e++)
			EXPECT_EQ(orders(e).number("conflicts"), 0) << f->endpoints[e].name;
	}
	int held = -1;
	std::string id;
	std::string other;
	std::string endpoint;
	std::string order;
	Load load;
	const char *args[7] = { "--prefill-rate",   "20000", "--step-base-us", "5000",
				"--role-change-ms", "500",   nullptr };
};

enum step {
	INTENT_IN_FLIGHT,
	INTENT_WRITTEN,
	LEAVE_SENT,
	ORDER_IN_FLIGHT,
	ORDER_ACCEPTED,
};

struct frozen_case {
	enum step step;
	bool fencing;
	const char *name;
};

class PromiseAuthorityFrozen : public PromiseAuthority,
			       public ::testing::WithParamInterface<frozen_case>
{
      protected:
	/* Above the time in which a successor takes over and acts. */
	static const int LATE_MS = 12000;
	int64_t arrives_ms = 0;
	void prepare()
	{
		switch (GetParam().step) {
		case INTENT_IN_FLIGHT:
			platform_fault("{\"delay_ms\":500}");
			break;
		case INTENT_WRITTEN:
			route(id + "-" + other, "silent_to_target");
			break;
		case LEAVE_SENT:
		case ORDER_IN_FLIGHT:
			route(other + "-" + id, "silent_to_target");
			break;
		case ORDER_ACCEPTED:
			break;
		}
	}
	/* Leads the drain to the step of this case. */
	void reach()
	{
		switch (GetParam().step) {
		case INTENT_IN_FLIGHT:
			ASSERT_TRUE(drain_in("intent"));
			break;
		case INTENT_WRITTEN:
			ASSERT_TRUE(drain_in("stopping"));
			break;
		case LEAVE_SENT:
			ASSERT_TRUE(drain_in("stopping"));
			ASSERT_TRUE(eventually([&] { return stopped_at((held + 1) % 3); }, 5000));
			break;
		case ORDER_IN_FLIGHT:
			ASSERT_TRUE(drain_in("stopping"));
			/* The order stays in the network until a successor has acted. */
			route_delay(id + "-" + endpoint, LATE_MS);
			route(other + "-" + id, "pass");
			ASSERT_TRUE(drain_in("ordering"));
			ASSERT_TRUE(eventually(
				[&] {
					return events(held).find("order-sent") != std::string::npos;
				},
				3000));
			arrives_ms = clock_boot_ms() + LATE_MS;
			break;
		case ORDER_ACCEPTED:
			ASSERT_TRUE(drain_in("waiting"));
			break;
		}
	}
	void heal()
	{
		platform_fault("{\"delay_ms\":0}");
		route(id + "-" + other, "pass");
		route(other + "-" + id, "pass");
	}
};

/* Guards against orders of a holder that was paused past its term, at each step of a change. */
TEST_P(PromiseAuthorityFrozen, OrderHasNoEffect)
{
	int successor = -1;
	int before;

	start_fleet(GetParam().fencing, GetParam().step == ORDER_ACCEPTED ? "2500" : "500");
	prepare();
	load_start(9);
	reach();
	freeze(held);
	heal();
	before = accepted_total(id);
	ASSERT_TRUE(eventually([&] { return (successor = holder("abertawe", held)) >= 0; }, 20000));
	/* The platform takes the silent instance for dead, so the successor may go on. */
	delist(id);
	if (GetParam().step != INTENT_IN_FLIGHT) {
		EXPECT_TRUE(eventually(
			[&] {
				return orders(endpoint_index()).text("last_done") == order ||
				       accepted_from(endpoint_index(), f->instances[successor].id);
			},
			12000))
			<< "the successor finishes the intent";
	}
	/* The late order arrives after the successor's; the woken holder would close its
	 * connection. */
	EXPECT_TRUE(eventually([&] { return clock_boot_ms() > arrives_ms + 200; }, LATE_MS + 1000));
	wake(held);
	EXPECT_TRUE(eventually([&] { return status(held).get() != nullptr; }, 5000));
	EXPECT_TRUE(eventually([&] { return holder("abertawe", successor) < 0; }, 3000));
	EXPECT_TRUE(
		eventually([&] { return json_array_size(status(held).at("drains")) == 0; }, 5000))
		<< "the woken instance gives its drain up";
	load.wait();
	EXPECT_EQ(accepted_total(id), before) << "an order of the woken holder took effect";
	expect_no_conflicts();
}

INSTANTIATE_TEST_SUITE_P(Steps, PromiseAuthorityFrozen,
			 ::testing::Values(frozen_case{ INTENT_IN_FLIGHT, false, "IntentInFlight" },
					   frozen_case{ INTENT_WRITTEN, true, "IntentWritten" },
					   frozen_case{ LEAVE_SENT, false, "LeaveSent" },
					   frozen_case{ ORDER_IN_FLIGHT, true, "OrderInFlight" },
					   frozen_case{ ORDER_IN_FLIGHT, false,
							"OrderInFlightUnfenced" },
					   frozen_case{ ORDER_ACCEPTED, false, "OrderAccepted" }),
			 [](const auto &info) { return std::string(info.param.name); });

struct restart_case {
	bool fencing;
	/* The order is in the network when the engine is started again; otherwise it is due. */
	bool in_network;
	const char *name;
};

class PromiseAuthorityRestart : public PromiseAuthority,
				public ::testing::WithParamInterface<restart_case>
{
      protected:
	/* Above the time in which a successor acts and the engine is started again. */
	static const int LATE_MS = 17000;
	void engine_restart(int e)
	{
		harness_signal(f->endpoints[e].process, SIGKILL);
		ASSERT_EQ(harness_wait(f->endpoints[e].process, 5000), 0);
		ASSERT_EQ(harness_endpoint_start(f, e, &err), 0) << err.text;
	}
	void hold_back_orders()
	{
		if (GetParam().in_network)
			route_delay(id + "-" + endpoint, LATE_MS);
		else
			route(id + "-" + endpoint, "cut");
	}
	bool order_sent()
	{
		return eventually(
			[&] { return events(held).find("order-sent") != std::string::npos; }, 3000);
	}
};

/*
 * Guards against an order of a holder that lost its lease, which meets an engine that was started
 * again after the successor's order: such an engine knows neither the order nor the number.
 */
TEST_P(PromiseAuthorityRestart, LateOrderHasNoEffect)
{
	int successor = -1;
	int64_t arrives_ms;
	int e;

	start_fleet(GetParam().fencing, "500");
	route(other + "-" + id, "silent_to_target");
	load_start(9);
	ASSERT_TRUE(drain_in("stopping"));
	e = endpoint_index();
	hold_back_orders();
	route(other + "-" + id, "pass");
	ASSERT_TRUE(drain_in("ordering"));
	ASSERT_TRUE(order_sent());
	arrives_ms = clock_boot_ms() + (GetParam().in_network ? LATE_MS : 0);
	freeze(held);
	ASSERT_TRUE(eventually([&] { return (successor = holder("abertawe", held)) >= 0; }, 20000));
	delist(id);
	ASSERT_TRUE(eventually([&] { return orders(e).text("last_done") == order; }, 12000))
		<< "the successor finishes the intent";
	load.wait();
	engine_restart(e);
	if (GetParam().in_network)
		EXPECT_LT(clock_boot_ms(), arrives_ms) << "the order came before the restart";
	else
		route(id + "-" + endpoint, "pass");
	EXPECT_TRUE(eventually([&] { return clock_boot_ms() > arrives_ms + 200; }, LATE_MS + 1000));
	wake(held);
	EXPECT_TRUE(eventually([&] { return status(held).get() != nullptr; }, 5000));
	eventually([&] { return accepted_total(id) > 0; }, 3000);
	EXPECT_EQ(accepted_total(id), 0) << "an order of the woken holder took effect";
	expect_no_conflicts();
}

INSTANTIATE_TEST_SUITE_P(Engines, PromiseAuthorityRestart,
			 ::testing::Values(restart_case{ true, false, "Fenced" },
					   restart_case{ false, false, "Unfenced" },
					   restart_case{ false, true, "UnfencedInNetwork" }),
			 [](const auto &info) { return std::string(info.param.name); });

/* Guards against a holder that is cut off from the table alone and keeps its authority. */
TEST_F(PromiseAuthority, HolderCutOffFromTable)
{
	int successor = -1;
	bool both = false;

	start_fleet(false, "500");
	load_start(9);
	route(id + "-platform", "silent");
	EXPECT_TRUE(eventually(
		[&] {
			/* The later read shows an overlap only if there is one. */
			successor = holder("abertawe", held);
			both = successor >= 0 && holder("abertawe", successor) >= 0;
			return successor >= 0 || both;
		},
		20000));
	EXPECT_FALSE(both) << "two instances hold the lease";
	int before = accepted_total(id);
	EXPECT_TRUE(eventually([&] { return platform_down(held); }, 3000));
	route(id + "-platform", "pass");
	load.wait();
	EXPECT_EQ(accepted_total(id), before);
	expect_no_conflicts();
}

/* Guards against a renewal whose reply was lost being taken for a lost lease, or for a new one. */
TEST_F(PromiseAuthority, LostRepliesOfTheLease)
{
	start_fleet(true, "500");
	load_start(8);
	Json was = status(held);
	int64_t fencing = json_get_i64(entry_of(was.at("leases"), "dc", "abertawe"), "fencing", 0);
	int lost = 0;

	platform_fault("{\"drop_reply\":1.0}");
	int64_t end = clock_boot_ms() + 7000;
	while (clock_boot_ms() < end) {
		int now = holder("abertawe");

		lost += now != held;
		clock_sleep_ms(50);
	}
	platform_fault("{\"drop_reply\":0.0}");
	EXPECT_EQ(lost, 0) << "samples without the holder";
	Json st = status(held);
	EXPECT_GE(json_get_i64(entry_of(st.at("leases"), "dc", "abertawe"), "fencing", 0), fencing);
	load.wait();
	expect_no_conflicts();
}
