#include "promise_fixture.h"

/* Promises 1 and 3: endpoints accept no conflicting orders, and no order of an instance that has
 * lost its lease. */
class PromiseAuthority : public PromiseTest
{
      protected:
	/* The load has long prompts and there are three decode engines for one prefill engine, so
	 * the lease holder starts a role change. */
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
		ASSERT_TRUE(eventually(
			[&] { return (holder_index = lease_holder("abertawe")) >= 0; }, 10000));
		id = f->instances[holder_index].id;
		other = f->instances[(holder_index + 1) % 3].id;
		load.options.concurrency = 6;
		load.options.timeout_ms = 8000;
		load.options.drain_s = 1;
		load.workload.phases[0].prompt_tokens = 3000;
		load.workload.phases[0].output_tokens = 8;
	}
	void start_load(double seconds)
	{
		std::vector<std::string> all = urls();

		/* Requests to the paused instance would only wait for it. */
		all.erase(all.begin() + holder_index);
		load.options.duration_s = seconds;
		load.start(all);
	}
	/* Waits until a drain of the lease holder is in @phase; stores its endpoint and order. */
	bool wait_drain_phase(const std::string &phase, int64_t limit_ms = 10000)
	{
		return eventually(
			[&] {
				Json st = status(holder_index);
				const json_t *drain = find_entry(st.at("drains"), "phase", phase);

				if (drain) {
					endpoint = json_get_cstr(drain, "endpoint", "");
					order = json_get_cstr(drain, "order", "");
				}
				return drain != nullptr;
			},
			limit_ms);
	}
	bool is_stopped_at(int i)
	{
		Json st = status(i);
		const json_t *e = find_entry(st.at("endpoints"), "name", endpoint);

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
	/* Number of orders of lease holder @holder_id that engine @e accepted. */
	int accepted_from(int e, const std::string &holder_id)
	{
		Json o = orders(e);
		const json_t *log = o.at("log");
		int n = 0;

		for (size_t i = 0; i < json_array_size(log); i++) {
			const json_t *l = json_array_get(log, i);

			n += holder_id == json_get_cstr(l, "holder", "") &&
			     json_get_bool(l, "accepted", false);
		}
		return n;
	}
	int accepted_total(const std::string &holder_id)
	{
		int n = 0;

		for (int e = 0; e < f->endpoint_count; e++)
			n += accepted_from(e, holder_id);
		return n;
	}
	void delete_from_platform_list(const std::string &instance)
	{
		std::string url = std::string(f->platform) + "/list/instances/" + instance;
		struct harness_reply reply;

		harness_http_request("DELETE", url.c_str(), nullptr, nullptr, 2000, &reply,
				     nullptr);
		EXPECT_EQ(reply.status, 200);
		harness_reply_free(&reply);
	}
	bool is_platform_down(int i)
	{
		return status(i).number("platform_down_since_ms") > 0;
	}
	void expect_no_conflicts()
	{
		for (int e = 0; e < f->endpoint_count; e++)
			EXPECT_EQ(orders(e).number("conflicts"), 0) << f->endpoints[e].name;
	}
	int holder_index = -1;
	std::string id;
	std::string other;
	std::string endpoint;
	std::string order;
	LoadRun load;
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

struct paused_case {
	enum step step;
	bool fencing;
	const char *name;
};

class PromiseAuthorityPaused : public PromiseAuthority,
			       public ::testing::WithParamInterface<paused_case>
{
      protected:
	/* Longer than a successor takes to acquire the lease and send its order. */
	static const int ORDER_DELAY_MS = 12000;
	int64_t arrives_ms = 0;
	void inject_faults()
	{
		switch (GetParam().step) {
		case INTENT_IN_FLIGHT:
			set_platform_fault("{\"delay_ms\":500}");
			break;
		case INTENT_WRITTEN:
			set_route_mode(id + "-" + other, "silent_to_target");
			break;
		case LEAVE_SENT:
		case ORDER_IN_FLIGHT:
			set_route_mode(other + "-" + id, "silent_to_target");
			break;
		case ORDER_ACCEPTED:
			break;
		}
	}
	/* Waits until the drain reaches the step of this case. */
	void wait_for_step()
	{
		switch (GetParam().step) {
		case INTENT_IN_FLIGHT:
			ASSERT_TRUE(wait_drain_phase("intent"));
			break;
		case INTENT_WRITTEN:
			ASSERT_TRUE(wait_drain_phase("stopping"));
			break;
		case LEAVE_SENT:
			ASSERT_TRUE(wait_drain_phase("stopping"));
			ASSERT_TRUE(eventually(
				[&] { return is_stopped_at((holder_index + 1) % 3); }, 5000));
			break;
		case ORDER_IN_FLIGHT:
			ASSERT_TRUE(wait_drain_phase("stopping"));
			/* The link delays the order until a successor has sent its own. */
			set_route_delay(id + "-" + endpoint, ORDER_DELAY_MS);
			set_route_mode(other + "-" + id, "pass");
			ASSERT_TRUE(wait_drain_phase("ordering"));
			ASSERT_TRUE(eventually(
				[&] {
					return events(holder_index).find("order-sent") !=
					       std::string::npos;
				},
				3000));
			arrives_ms = clock_boot_ms() + ORDER_DELAY_MS;
			break;
		case ORDER_ACCEPTED:
			ASSERT_TRUE(wait_drain_phase("waiting"));
			break;
		}
	}
	void clear_faults()
	{
		set_platform_fault("{\"delay_ms\":0}");
		set_route_mode(id + "-" + other, "pass");
		set_route_mode(other + "-" + id, "pass");
	}
};

/* Guards against an order that takes effect although its sender was paused until its lease expired,
 * at each step of a role change. */
TEST_P(PromiseAuthorityPaused, OrderOfPausedHolderHasNoEffect)
{
	int successor = -1;
	int before;

	start_fleet(GetParam().fencing, GetParam().step == ORDER_ACCEPTED ? "2500" : "500");
	inject_faults();
	start_load(9);
	wait_for_step();
	pause_instance(holder_index);
	clear_faults();
	before = accepted_total(id);
	ASSERT_TRUE(eventually(
		[&] { return (successor = lease_holder("abertawe", holder_index)) >= 0; }, 20000));
	/* The platform removes the paused instance from its list, so the successor may continue. */
	delete_from_platform_list(id);
	if (GetParam().step != INTENT_IN_FLIGHT) {
		EXPECT_TRUE(eventually(
			[&] {
				return orders(endpoint_index()).text("last_done") == order ||
				       accepted_from(endpoint_index(), f->instances[successor].id);
			},
			12000))
			<< "the successor completes the intent";
	}
	/* The delayed order arrives after the successor's. The former holder stays paused until
	 * then, because it would close the connection of the order. */
	EXPECT_TRUE(eventually([&] { return clock_boot_ms() > arrives_ms + 200; },
			       ORDER_DELAY_MS + 1000));
	resume_instance(holder_index);
	EXPECT_TRUE(eventually([&] { return status(holder_index).get() != nullptr; }, 5000));
	EXPECT_TRUE(eventually([&] { return lease_holder("abertawe", successor) < 0; }, 3000));
	EXPECT_TRUE(eventually(
		[&] { return json_array_size(status(holder_index).at("drains")) == 0; }, 5000))
		<< "the resumed instance aborts its drain";
	load.wait();
	EXPECT_EQ(accepted_total(id), before) << "an order of the former holder took effect";
	expect_no_conflicts();
}

INSTANTIATE_TEST_SUITE_P(Steps, PromiseAuthorityPaused,
			 ::testing::Values(paused_case{ INTENT_IN_FLIGHT, false, "IntentInFlight" },
					   paused_case{ INTENT_WRITTEN, true, "IntentWritten" },
					   paused_case{ LEAVE_SENT, false, "LeaveSent" },
					   paused_case{ ORDER_IN_FLIGHT, true, "OrderInFlight" },
					   paused_case{ ORDER_IN_FLIGHT, false,
							"OrderInFlightUnfenced" },
					   paused_case{ ORDER_ACCEPTED, false, "OrderAccepted" }),
			 [](const auto &info) { return std::string(info.param.name); });

struct restart_case {
	bool fencing;
	/*
	 * Whether the order is in flight on a slow link when the engine restarts; otherwise the
	 * holder still has to deliver it.
	 */
	bool in_flight;
	const char *name;
};

class PromiseAuthorityRestart : public PromiseAuthority,
				public ::testing::WithParamInterface<restart_case>
{
      protected:
	/* Longer than a successor takes to send its order and the engine to restart. */
	static const int ORDER_DELAY_MS = 17000;
	void engine_restart(int e)
	{
		harness_process_signal(f->endpoints[e].process, SIGKILL);
		ASSERT_EQ(harness_process_wait(f->endpoints[e].process, 5000), 0);
		ASSERT_EQ(harness_endpoint_start(f, e, &err), 0) << err.text;
	}
	void block_orders()
	{
		if (GetParam().in_flight)
			set_route_delay(id + "-" + endpoint, ORDER_DELAY_MS);
		else
			set_route_mode(id + "-" + endpoint, "cut");
	}
	bool wait_order_sent()
	{
		return eventually(
			[&] {
				return events(holder_index).find("order-sent") != std::string::npos;
			},
			3000);
	}
};

/*
 * Guards against an order of a former lease holder that takes effect on an engine which restarted
 * after the successor's order. The restart loses the engine's record of that order and of the
 * fencing token.
 */
TEST_P(PromiseAuthorityRestart, LateOrderHasNoEffectAfterEngineRestart)
{
	int successor = -1;
	int64_t arrives_ms;
	int e;

	start_fleet(GetParam().fencing, "500");
	set_route_mode(other + "-" + id, "silent_to_target");
	start_load(9);
	ASSERT_TRUE(wait_drain_phase("stopping"));
	e = endpoint_index();
	block_orders();
	set_route_mode(other + "-" + id, "pass");
	ASSERT_TRUE(wait_drain_phase("ordering"));
	ASSERT_TRUE(wait_order_sent());
	arrives_ms = clock_boot_ms() + (GetParam().in_flight ? ORDER_DELAY_MS : 0);
	pause_instance(holder_index);
	ASSERT_TRUE(eventually(
		[&] { return (successor = lease_holder("abertawe", holder_index)) >= 0; }, 20000));
	delete_from_platform_list(id);
	ASSERT_TRUE(eventually([&] { return orders(e).text("last_done") == order; }, 12000))
		<< "the successor completes the intent";
	load.wait();
	engine_restart(e);
	if (GetParam().in_flight)
		EXPECT_LT(clock_boot_ms(), arrives_ms) << "the order arrived before the restart";
	else
		set_route_mode(id + "-" + endpoint, "pass");
	EXPECT_TRUE(eventually([&] { return clock_boot_ms() > arrives_ms + 200; },
			       ORDER_DELAY_MS + 1000));
	resume_instance(holder_index);
	EXPECT_TRUE(eventually([&] { return status(holder_index).get() != nullptr; }, 5000));
	eventually([&] { return accepted_total(id) > 0; }, 3000);
	EXPECT_EQ(accepted_total(id), 0) << "an order of the former holder took effect";
	expect_no_conflicts();
}

INSTANTIATE_TEST_SUITE_P(Engines, PromiseAuthorityRestart,
			 ::testing::Values(restart_case{ true, false, "Fenced" },
					   restart_case{ false, false, "Unfenced" },
					   restart_case{ false, true, "UnfencedInFlight" }),
			 [](const auto &info) { return std::string(info.param.name); });

/* Guards against a lease holder that keeps its authority after it has lost the connection to the
 * platform table only. */
TEST_F(PromiseAuthority, HolderWithoutPlatformLosesLease)
{
	int successor = -1;
	bool both = false;

	start_fleet(false, "500");
	start_load(9);
	set_route_mode(id + "-platform", "silent");
	EXPECT_TRUE(eventually(
		[&] {
			/* The former holder is read after the successor: if it still holds the
			 * lease then, two instances hold it. */
			successor = lease_holder("abertawe", holder_index);
			both = successor >= 0 && lease_holder("abertawe", successor) >= 0;
			return successor >= 0 || both;
		},
		20000));
	EXPECT_FALSE(both) << "two instances hold the lease";
	int before = accepted_total(id);
	EXPECT_TRUE(eventually([&] { return is_platform_down(holder_index); }, 3000));
	set_route_mode(id + "-platform", "pass");
	load.wait();
	EXPECT_EQ(accepted_total(id), before);
	expect_no_conflicts();
}

/* Guards against a lease renewal with a lost reply that is handled as a lost lease or as a new
 * lease. */
TEST_F(PromiseAuthority, LostRenewalRepliesKeepLease)
{
	start_fleet(true, "500");
	start_load(8);
	Json was = status(holder_index);
	int64_t fencing =
		json_get_i64(find_entry(was.at("leases"), "dc", "abertawe"), "fencing", 0);
	int lost = 0;

	set_platform_fault("{\"drop_reply\":1.0}");
	int64_t end = clock_boot_ms() + 7000;
	while (clock_boot_ms() < end) {
		int now = lease_holder("abertawe");

		lost += now != holder_index;
		clock_sleep_ms(50);
	}
	set_platform_fault("{\"drop_reply\":0.0}");
	EXPECT_EQ(lost, 0) << "samples in which the holder had lost the lease";
	Json st = status(holder_index);
	EXPECT_GE(json_get_i64(find_entry(st.at("leases"), "dc", "abertawe"), "fencing", 0),
		  fencing);
	load.wait();
	expect_no_conflicts();
}
