#include "promise_fixture.h"

/* Promise 4: every client gets the complete response to its own request. */
class PromiseAnswers : public PromiseTest
{
      protected:
	/* Starts two engines of each role, so that one of them can fail. */
	void start_fleet()
	{
		d.engine_args = args;
		start({ "abertawe" }, 2,
		      { { "prefill", true },
			{ "prefill", true },
			{ "decode", true },
			{ "decode", true } },
		      false);
		load.options.concurrency = 12;
		load.workload.phases[0].prompt_tokens = 400;
		load.workload.phases[0].output_tokens = 80;
		load.workload.phases[0].prefix_share = 0.5;
		load.workload.chat_share = 0.3;
	}
	/* Number of generation attempts that engine @e has received. */
	int64_t request_count(int e)
	{
		return engine_stat(e, "requests");
	}
	/* Waits until engine @e gets new requests, so that a fault hits requests in flight. */
	void wait_for_new_requests(int e)
	{
		int64_t before = request_count(e);

		EXPECT_TRUE(eventually([&] { return request_count(e) > before + 2; }, 6000))
			<< f->endpoints[e].name;
	}
	/* Waits until engine @e has sent tokens of its requests: a broken answer can be resumed. */
	void wait_for_new_tokens(int e)
	{
		int64_t before = engine_stat(e, "tokens");

		EXPECT_TRUE(
			eventually([&] { return engine_stat(e, "tokens") > before + 10; }, 6000))
			<< f->endpoints[e].name;
	}
	void kill_engine(int e)
	{
		wait_for_new_requests(e);
		harness_process_signal(f->endpoints[e].process, SIGKILL);
		ASSERT_EQ(harness_process_wait(f->endpoints[e].process, 5000), 0);
	}
	int event_count(int i, const std::string &event_kind)
	{
		std::string text = events(i);
		int n = 0;

		for (size_t at = text.find(event_kind); at != std::string::npos;
		     at = text.find(event_kind, at + 1))
			n++;
		return n;
	}
	LoadRun load;
	const char *args[7] = { "--step-base-us", "10000", "--prefill-rate", "40000",
				"--kv-token-us",  "20",	   nullptr };
};

/* Guards against a response that is truncated, or repeats or skips a chunk, when its decode engine
 * is killed. */
TEST_F(PromiseAnswers, CompleteAfterDecodeEngineKilled)
{
	start_fleet();
	load.options.duration_s = 8;
	load.start(urls());
	wait_for_new_tokens(2);
	kill_engine(2);
	wait_for_new_requests(3);
	ASSERT_EQ(harness_endpoint_start(f, 2, &err), 0) << err.text;
	wait_for_new_requests(2);
	load.wait();
	EXPECT_GE(event_count(0, "\"resumed\"") + event_count(1, "\"resumed\""), 1);
	load.expect_all_complete();
}

/* Guards against requests that fail when the engine with their KV cache is killed, and against a
 * role whose last engine is reserved for suspects (requests that may have crashed an engine) while
 * ordinary requests are refused. */
TEST_F(PromiseAnswers, CompleteAfterPrefillEngineKilled)
{
	start_fleet();
	load.options.duration_s = 8;
	/* One engine can prefill four prompts of 75 ms each within the time to first token limit,
	 * but not twelve. */
	load.options.concurrency = 4;
	load.workload.phases[0].prompt_tokens = 3000;
	load.workload.phases[0].output_tokens = 20;
	load.start(urls());
	kill_engine(0);
	wait_for_new_requests(1);
	ASSERT_EQ(harness_endpoint_start(f, 0, &err), 0) << err.text;
	wait_for_new_requests(0);
	load.wait();
	EXPECT_GE(event_count(0, "\"attempt-failed\"") + event_count(1, "\"attempt-failed\""), 1);
	load.expect_all_complete();
}

/* Guards against a response that waits forever on a stalled connection while new connections work,
 * and against reuse of the stalled connection. */
TEST_F(PromiseAnswers, CompleteAfterConnectionsStall)
{
	start_fleet();
	load.options.duration_s = 12;
	load.start(urls());
	wait_for_new_requests(2);
	set_route_mode("i1-e3", "silent", true);
	wait_for_new_requests(3);
	set_route_mode("i2-e4", "silent_to_client", true);
	wait_for_new_requests(0);
	set_route_mode("i1-e1", "silent_to_target", true);
	load.wait();
	EXPECT_GE(event_count(0, "\"attempt-failed\"") + event_count(1, "\"attempt-failed\""), 2);
	load.expect_all_complete();
	for (size_t i = 0; i < load.result.count; i++)
		EXPECT_LT(load.result.records[i].end_us - load.result.records[i].start_us,
			  12000000);
}

/* Guards against a response that contains chunks of an abandoned or late attempt. */
TEST_F(PromiseAnswers, CompleteWithDelayedAttempts)
{
	start_fleet();
	load.options.duration_s = 8;
	load.start(urls());
	wait_for_new_requests(2);
	set_route_delay("i1-e3", 400);
	set_route_delay("i2-e1", 250);
	wait_for_new_requests(3);
	/* The delayed bytes arrive after later attempts have started. */
	set_route_mode("i1-e4", "silent_to_client", true);
	wait_for_new_requests(2);
	set_route_delay("i1-e3", 0);
	load.expect_all_complete();
}
