#include <gtest/gtest.h>

#include <csignal>
#include <string>
#include <thread>
#include <unistd.h>

extern "C" {
#include "ibisgate/harness/harness.h"
#include "ibisgate/load/report.h"
}

class LoadRunTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		h = harness_create(&err);
		ASSERT_NE(h, nullptr) << err.text;
		scenario_defaults(&s);
		load_options_defaults(&o);
		o.targets_are_engines = true;
		o.url_count = 1;
		o.duration_s = 1;
	}
	void TearDown() override
	{
		json_decref(report);
		load_result_free(&result);
		harness_destroy(h);
	}
	std::string start_standin(const char *program, const char *const argv[])
	{
		process = harness_process_start(h, program, program, argv, &err);
		EXPECT_NE(process, nullptr) << err.text;
		return process ? "http://127.0.0.1:" +
					 std::to_string(harness_process_port(process, ""))
			       : "";
	}
	std::string start_engine()
	{
		const char *const argv[] = { "--port",	       "0",   "--model",	"M",
					     "--prefill-rate", "0",   "--step-base-us", "2000",
					     "--slots",	       "256", nullptr };

		return start_standin("ibisgate-engine", argv);
	}
	int64_t run_load(const char *key)
	{
		EXPECT_EQ(load_run(&s, &o, &result, &err), 0) << err.text;
		report = report_json(&s, &o, &result);
		return count(report, key);
	}
	static int64_t count(const json_t *obj, const char *key)
	{
		return json_integer_value(json_object_get(obj, key));
	}

	struct harness *h = nullptr;
	struct harness_process *process = nullptr;
	struct error err = {};
	struct scenario s = {};
	struct load_options o = {};
	struct load_result result = {};
	json_t *report = nullptr;
};

/*
 * Guards against a client that reports faults in correct responses. It sends both request formats,
 * and one of its two targets refuses connections.
 */
TEST_F(LoadRunTest, CompletesAllRequestsWhenOneTargetRefuses)
{
	std::string url = start_engine();

	o.urls[0] = "http://127.0.0.1:1";
	o.urls[1] = url.c_str();
	o.url_count = 2;
	s.chat_share = 0.5;
	s.phases[0].rate = 40;
	EXPECT_GT(run_load("whole"), 15);
	EXPECT_EQ(count(report, "whole"), count(report, "requests"));
	EXPECT_GT(count(report, "skipped_connects"), 0);
	EXPECT_TRUE(report_is_correct(&result));
}

/* Guards against a truncated stream that is reported as a complete response. */
TEST_F(LoadRunTest, KilledEngineIsReportedAsCut)
{
	std::string url = start_engine();
	pid_t pid = process->pid;
	std::thread killer([pid] {
		usleep(500000);
		kill(pid, SIGKILL);
	});

	o.urls[0] = url.c_str();
	o.concurrency = 4;
	o.duration_s = 0.8;
	o.drain_s = 1;
	s.phases[0].output_tokens = 5000;
	EXPECT_GE(run_load("cut"), 4);
	killer.join();
	EXPECT_FALSE(report_is_correct(&result));
}

/*
 * Guards against a second effect for one idempotency key that is not detected. The service is
 * called directly and so executes every repeat again.
 */
TEST_F(LoadRunTest, RepeatWithSecondEffectIsWrong)
{
	const char *const argv[] = { "--port", "0", nullptr };
	std::string url = start_standin("ibisgate-service", argv);
	const json_t *calls;

	o.urls[0] = url.c_str();
	s.phases[0].rate = 0;
	s.call_count = 1;
	s.calls[0] = { "orders", "orders", 50, 1 };
	EXPECT_EQ(run_load("requests"), 0);
	calls = json_object_get(report, "calls");
	EXPECT_GT(count(calls, "whole"), 20);
	EXPECT_EQ(count(calls, "whole"), count(calls, "wrong"));
	EXPECT_EQ(count(calls, "requests"), 2 * count(calls, "wrong"));
}
