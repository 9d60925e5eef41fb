#include <gtest/gtest.h>

#include <csignal>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "standin_process.h"

extern "C" {
#include "ibisgate/harness/harness.h"
}

class HarnessTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		h = harness_create(&err);
		ASSERT_NE(h, nullptr) << err.text;
	}
	void TearDown() override
	{
		harness_destroy(h);
	}
	struct harness_process *engine(const char *name)
	{
		const char *const argv[] = { "--port", "0", "--model", "M", nullptr };

		return harness_process_start(h, name, "ibisgate-engine", argv, &err);
	}

	struct harness *h = nullptr;
	struct error err = {};
};

/* Guards against processes that outlive a test, and against lost exit codes. */
TEST_F(HarnessTest, StopReturnsExitCodeAndDestroyKillsProcesses)
{
	struct harness_process *a = engine("a");
	struct harness_process *b = engine("b");
	pid_t pid;

	ASSERT_TRUE(a && b) << err.text;
	pid = b->pid;
	EXPECT_GT(harness_process_port(a, ""), 0);
	EXPECT_EQ(harness_process_stop(a, 20000), 0);
	EXPECT_EQ(harness_process_signal(a, SIGKILL), -1);
	harness_destroy(h);
	h = nullptr;
	EXPECT_EQ(kill(pid, 0), -1);
}

/*
 * Guards against child processes that inherit a test's connections and keep them open: the peers
 * then never see the test close them, and a stand-in with one thread per connection runs out of
 * threads.
 */
TEST_F(HarnessTest, ChildProcessesInheritNoDescriptors)
{
	int ends[2];
	char c;

	ASSERT_EQ(pipe(ends), 0);
	ASSERT_NE(engine("a"), nullptr) << err.text;
	StandinProcess grid("ibisgate-grid", {});
	close(ends[1]);
	struct pollfd p = { ends[0], POLLIN, 0 };
	ASSERT_EQ(poll(&p, 1, 2000), 1) << "a child process inherited the write end of the pipe";
	EXPECT_EQ(read(ends[0], &c, 1), 0);
	close(ends[0]);
}

/* Guards against a start that hangs when the program exits at once. */
TEST_F(HarnessTest, StartFailsWhenProgramExits)
{
	const char *const argv[] = { "--no-such-option", nullptr };

	EXPECT_EQ(harness_process_start(h, "a", "ibisgate-engine", argv, &err), nullptr);
	EXPECT_NE(std::string(err.text).find("ended with status"), std::string::npos) << err.text;
}

/* Guards against a failed start without its reason. */
TEST_F(HarnessTest, StartFailsWithTheReasonOfTheProgram)
{
	struct harness_process *a = engine("a");

	ASSERT_NE(a, nullptr) << err.text;
	std::string port = std::to_string(harness_process_port(a, ""));
	const char *const argv[] = { "--port", port.c_str(), nullptr };
	EXPECT_EQ(harness_process_start(h, "b", "ibisgate-engine", argv, &err), nullptr);
	EXPECT_NE(std::string(err.text).find("listen"), std::string::npos) << err.text;
}

/* Guards against stand-ins that outlive a test which crashed, and keep its output open. */
TEST_F(HarnessTest, StandinsEndWithTheTestThatStartedThem)
{
	int ends[2];
	pid_t standin = 0;
	int status = 0;

	ASSERT_EQ(pipe(ends), 0);
	/* Orphans become children of this process. */
	ASSERT_EQ(prctl(PR_SET_CHILD_SUBREAPER, 1), 0);
	pid_t crashing = fork();
	if (crashing == 0) {
		StandinProcess grid("ibisgate-grid", {});

		if (write(ends[1], &grid.pid, sizeof(grid.pid)) < 0)
			_exit(1);
		raise(SIGKILL);
	}
	ASSERT_EQ(read(ends[0], &standin, sizeof(standin)), (ssize_t)sizeof(standin));
	EXPECT_EQ(waitpid(crashing, &status, 0), crashing);
	bool ended =
		eventually([&] { return waitpid(standin, &status, WNOHANG) == standin; }, 2000);
	EXPECT_TRUE(ended);
	if (!ended)
		kill(standin, SIGKILL);
	close(ends[0]);
	close(ends[1]);
}

/* Guards against endpoints that are missing from the platform's list after a start or restart. */
TEST_F(HarnessTest, PlatformListsStartedEndpoints)
{
	static const struct harness_engine_spec engines[] = { { "prefill", true },
							      { "decode", false },
							      {} };
	static const char *const services[] = { "orders", nullptr };
	struct harness_deployment d = {};
	struct harness_fleet *f;
	json_t *list = nullptr;
	size_t count = 0;

	d.region = "de-cymru";
	d.dcs[0] = "abertawe";
	d.dcs[1] = "caerdydd";
	d.engines = engines;
	d.services = services;
	f = harness_fleet_create(h, &d, &err);
	ASSERT_NE(f, nullptr) << err.text;
	ASSERT_EQ(f->endpoint_count, 6);
	for (int i = 0; i < 100 && count < 6; i++) {
		usleep(50000);
		json_decref(list);
		list = harness_json_get((std::string(f->platform) + "/list").c_str());
		count = json_array_size(json_object_get(list, "endpoints"));
	}
	EXPECT_EQ(count, 6u);
	json_decref(list);
	harness_process_signal(f->endpoints[0].process, SIGKILL);
	ASSERT_EQ(harness_process_wait(f->endpoints[0].process, 5000), 0);
	EXPECT_EQ(harness_endpoint_start(f, 0, &err), 0) << err.text;
	harness_fleet_destroy(f);
}

/* Guards against routes that bypass the fault proxy, which would make fault tests meaningless. */
TEST_F(HarnessTest, InstanceReachesEndpointOnlyThroughProxy)
{
	static const struct harness_engine_spec engines[] = { { "mixed", true }, {} };
	const char *bin = getenv("IBISGATE_BIN_DIR");
	const char *const headers[] = { "Authorization: Bearer k", nullptr };
	const char *body = "{\"model\":\"M\",\"prompt\":\"p\",\"max_tokens\":2,\"stream\":true}";
	struct harness_deployment d = {};
	struct harness_reply reply;
	struct harness_fleet *f;
	std::string url;

	if (access(bin ? (std::string(bin) + "/ibisgated").c_str()
		       : HARNESS_BUILD_DIR "/ibisgated/ibisgated",
		   X_OK) != 0)
		GTEST_SKIP() << "ibisgated is not built";
	d.region = "de-cymru";
	d.dcs[0] = "abertawe";
	d.instances = 2;
	d.engines = engines;
	d.through_proxy = true;
	f = harness_fleet_create(h, &d, &err);
	ASSERT_NE(f, nullptr) << err.text;
	ASSERT_EQ(harness_wait_ready(f, 20000, &err), 0) << err.text;
	EXPECT_EQ(harness_organisation_create(f, "o", "k", 1), 200);
	EXPECT_EQ(harness_model_service_create(f, "M"), 200);
	EXPECT_EQ(harness_wait_config_version(f, 2, 10000), 0);
	url = std::string(f->instances[1].http) + "/v1/completions";
	EXPECT_EQ(harness_http_request("POST", url.c_str(), headers, body, 20000, &reply, &err), 0);
	EXPECT_EQ(reply.status, 200) << (reply.body.len ? reply.body.data : "");
	EXPECT_NE(std::string(reply.body.data, reply.body.len).find("[DONE]"), std::string::npos);
	harness_reply_free(&reply);
	EXPECT_EQ(harness_route_fault_set(f, "i2-e1", "cut", false), 200);
	harness_http_request("POST", url.c_str(), headers, body, 20000, &reply, &err);
	EXPECT_NE(reply.status, 200);
	harness_reply_free(&reply);
	harness_fleet_destroy(f);
}
