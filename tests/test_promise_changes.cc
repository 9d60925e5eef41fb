#include "promise_fixture.h"

/* Promises 2, 7 and 8: planned changes interrupt no request. */
class PromiseChanges : public PromiseTest
{
      protected:
	void start_fleet()
	{
		d.engine_args = args;
		start({ "abertawe" }, 3,
		      { { "prefill", true },
			{ "prefill", true },
			{ "decode", true },
			{ "decode", true },
			{ "decode", true } },
		      false);
		load.options.concurrency = 12;
		load.workload.phases[0].prompt_tokens = 300;
		load.workload.phases[0].output_tokens = 60;
	}
	int64_t request_count(int e)
	{
		return engine_stat(e, "requests");
	}
	/* Expects no attempt on engine @e between 5 s and @until_ms after @drain_start_ms. */
	void expect_no_new_requests(int e, int64_t drain_start_ms, int64_t until_ms)
	{
		int64_t before;

		EXPECT_TRUE(
			eventually([&] { return clock_boot_ms() >= drain_start_ms + 5000; }, 6000));
		before = request_count(e);
		EXPECT_TRUE(eventually([&] { return clock_boot_ms() >= drain_start_ms + until_ms; },
				       20000));
		EXPECT_EQ(request_count(e), before) << f->endpoints[e].name;
	}
	void expect_no_request_interrupted()
	{
		load.expect_all_complete();
		for (int e = 0; e < f->endpoint_count; e++) {
			if (f->endpoints[e].process->pid) {
				EXPECT_EQ(engine_stat(e, "cut_requests"), 0)
					<< f->endpoints[e].name;
			}
		}
	}
	LoadRun load;
	const char *args[9] = {
		"--step-base-us", "10000", "--prefill-rate", "40000", "--role-change-ms", "500",
		"--leave-ms",	  "9000",  nullptr
	};
};

/* Guards against requests that are sent to an endpoint that an operator drains, or to one that
 * withdraws from the platform's list. */
TEST_F(PromiseChanges, NoRequestsToDrainingEndpoints)
{
	int64_t drain_start_ms;

	start_fleet();
	load.options.duration_s = 13;
	load.start(urls());
	EXPECT_TRUE(eventually([&] { return request_count(2) > 5 && request_count(0) > 5; }, 5000));
	drain_start_ms = clock_boot_ms();
	ASSERT_EQ(harness_config_set(f, 0, "drain/e3",
				     json_pack("{s:s,s:s}", "reason", "test", "author", "test")),
		  200);
	harness_process_signal(f->endpoints[0].process, SIGTERM);
	std::thread prefill([&] { expect_no_new_requests(0, drain_start_ms, 8000); });
	expect_no_new_requests(2, drain_start_ms, 8000);
	prefill.join();
	EXPECT_EQ(harness_process_wait(f->endpoints[0].process, 15000), 0);
	EXPECT_EQ(f->endpoints[0].process->status, 0);
	ASSERT_EQ(harness_config_set(f, 1, "drain/e3", json_null()), 200);
	int64_t before = request_count(2);
	EXPECT_TRUE(eventually([&] { return request_count(2) > before; }, 5000))
		<< "the endpoint gets no requests after its drain was cancelled";
	expect_no_request_interrupted();
}

/* Guards against streams that are interrupted by a role change. */
TEST_F(PromiseChanges, RoleChangeInterruptsNoStream)
{
	defaults.emplace_back("role.policy", json_string("greedy"));
	defaults.emplace_back("role.change-ms", json_integer(500));
	start_fleet();
	load.options.duration_s = 10;
	/* With twelve requests in flight, long prompts exceed the time to first token limit while
	 * an engine changes its role. */
	load.options.concurrency = 6;
	load.workload.phases[0].prompt_tokens = 3000;
	load.workload.phases[0].output_tokens = 8;
	load.workload.phases[1] = load.workload.phases[0];
	load.workload.phases[1].start_s = 5;
	load.workload.phases[1].prompt_tokens = 50;
	load.workload.phases[1].output_tokens = 100;
	load.workload.phase_count = 2;
	load.start(urls());
	load.wait();
	int64_t changes = 0;
	for (int i = 0; i < f->instance_count; i++)
		changes += status(i).number("role_changes");
	EXPECT_GE(changes, 1);
	for (int e = 0; e < f->endpoint_count; e++) {
		Json orders = get(std::string(f->endpoints[e].url) + "/orders");

		EXPECT_EQ(orders.number("conflicts"), 0) << f->endpoints[e].name;
		EXPECT_EQ(orders.number("cut_requests"), 0) << f->endpoints[e].name;
	}
	expect_no_request_interrupted();
	RecordProperty("role_changes", std::to_string(changes));
}

/* Guards against requests that fail when their instance restarts, and against an unclean
 * shutdown. */
TEST_F(PromiseChanges, RollingRestartInterruptsNoRequest)
{
	start_fleet();
	load.options.duration_s = 14;
	load.start(balanced_urls());
	for (int i = 0; i < f->instance_count; i++) {
		EXPECT_TRUE(eventually([&] { return status(i).number("requests") > 0; }, 5000));
		EXPECT_EQ(harness_process_stop(f->instances[i].process, 15000), 0)
			<< f->instances[i].id;
		ASSERT_EQ(harness_instance_start(f, i, &err), 0) << err.text;
		set_balancer_target(i);
		ASSERT_EQ(harness_wait_ready(f, 10000, &err), 0) << err.text;
	}
	expect_no_request_interrupted();
}
