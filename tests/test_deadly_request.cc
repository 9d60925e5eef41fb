#include "played_endpoint.h"

struct Deadly {
	const char *name;
	const char *target;
	const char *method;
	bool is_generation;
};

/*
 * A request that crashes each endpoint which begins to run it comes again, with the same target and
 * body, at one instance after the other.
 */
class DeadlyRequestTest : public EntryTest,
			  public ::testing::WithParamInterface<std::tuple<Deadly, int>>
{
      protected:
	std::vector<struct harness_process *> all;

	std::string deadly_text(const std::string &target)
	{
		const Deadly &d = std::get<0>(GetParam());

		/* The first part is shared with sound requests. */
		return request_text(target, d.method,
				    d.is_generation ? "X-Ibisgate-Model: m\r\n"
						      "X-Ibisgate-Token-Count: 1200,4\r\n"
						      "X-Ibisgate-Prefix-Hash: a1:800,dd:400\r\n"
						    : "",
				    "always the same");
	}
	std::string sound_text()
	{
		const Deadly &d = std::get<0>(GetParam());
		std::string target = std::string(d.target) + "/x" + std::to_string(last_request);

		return request_text(target, d.method,
				    d.is_generation
					    ? "X-Ibisgate-Model: m\r\n"
					      "X-Ibisgate-Token-Count: 1200,4\r\n"
					      "X-Ibisgate-Prefix-Hash: a1:800,c" +
						      std::to_string(last_request) + ":400\r\n"
					    : "",
				    "own " + target);
	}
	/* Starts @count endpoints of the kind that runs the requests. */
	void start(int count)
	{
		bool is_generation = std::get<0>(GetParam()).is_generation;

		all = start_instances(std::get<1>(GetParam()), is_generation ? count : 1, 0,
				      is_generation ? 1 : count);
		usleep(1200000);
	}
	int crash_count()
	{
		int n = 0;

		for (const Run &r : runs())
			n += r.work == "crash";
		return n;
	}
};

/*
 * Guards against BUDGET: a request without a body, and any on a connection that was used before,
 * crashes endpoints again and again and is never refused.
 */
TEST_P(DeadlyRequestTest, IsRefusedByAllInstancesAfterThreeCrashes)
{
	const Deadly &d = std::get<0>(GetParam());
	std::string target = std::string(d.target) + "/deadly";
	int sound = 0, served = 0;

	start(12);
	grid->post_json("/deadly", "{\"target\":\"/deadly\"}");
	for (size_t round = 0; round < 8; round++) {
		struct harness_process *p = all[round % all.size()];

		/* These leave an idle connection to each endpoint. */
		for (int i = 0; i < 12; i++) {
			sound++;
			served += send_request(p, sound_text()).status == 200;
		}
		send_request(p, deadly_text(target));
		/* News reaches the other data centre within this time. */
		usleep(700000);
	}
	/* Three show it; the third may be the first of two attempts. */
	EXPECT_LE(crash_count(), 4);
	EXPECT_GE(served, sound * 9 / 10);
	for (struct harness_process *p : all) {
		EXPECT_EQ(send_request(p, deadly_text(target)).status, 503);
		EXPECT_EQ(send_request(p, sound_text()).status, 200);
	}
	EXPECT_LE(crash_count(), 4);
}

/*
 * Guards against refusing a sound request because endpoints closed its connections, or crashed
 * while it ran beside others.
 */
TEST_P(DeadlyRequestTest, IsNotAssumedWhereConnectionsCloseWithoutACrash)
{
	const Deadly &d = std::get<0>(GetParam());
	std::string target = std::string(d.target) + "/sound";

	start(3);
	for (size_t round = 0; round < 6; round++) {
		struct harness_process *p = all[round % all.size()];

		for (int i = 0; i < 6; i++)
			send_request(p, sound_text());
		set_endpoint_fault("", "lose-answer", 2);
		send_request(p, deadly_text(target));
		set_endpoint_fault("", "ok", 0);
	}
	EXPECT_EQ(crash_count(), 0);
	for (struct harness_process *p : all)
		EXPECT_EQ(send_request(p, deadly_text(target)).status, 200);
}

static std::string param_name(const ::testing::TestParamInfo<std::tuple<Deadly, int>> &info)
{
	return std::string(std::get<0>(info.param).name) + "At" +
	       std::to_string(std::get<1>(info.param));
}

INSTANTIATE_TEST_SUITE_P(
	Kinds, DeadlyRequestTest,
	::testing::Combine(::testing::Values(Deadly{ "LookUp", "peek", "GET" },
					     Deadly{ "Order", "order", "POST" },
					     Deadly{ "Once", "once", "POST", true },
					     Deadly{ "Stream", "stream", "POST", true }),
			   ::testing::Values(1, 2, 6)),
	param_name);

class CrashEvidenceTest : public PlayedEndpointTest
{
      protected:
	std::vector<std::unique_ptr<TinyServer>> servers;
	std::atomic<int> crashes{ 0 };
	/* The entry of an endpoint that crashes is gone before its connections close. */
	bool is_removed_first = false;

	/* The process ends: it listens no longer, and its connections close. */
	bool answer(size_t i, int fd, const std::string &request)
	{
		std::string id = request_id(request);

		if (request.find("/deadly") == std::string::npos) {
			TinyServer::send_bytes(fd, "HTTP/1.1 200 OK\r\n"
						   "X-Ibisgate-Server-Signature: s\r\n"
						   "X-Ibisgate-Request-Id: " +
							   id + "\r\nContent-Length: 2\r\n\r\nok");
			return true;
		}
		crashes++;
		if (is_removed_first) {
			set_endpoint_state("s" + std::to_string(i), "gone");
			usleep(300000);
			return false;
		}
		servers[i]->refuse_connections();
		return false;
	}
	void play_services(size_t count)
	{
		for (size_t i = 0; i < count; i++) {
			servers.push_back(std::make_unique<TinyServer>(
				[=](int fd, const std::string &r) { return answer(i, fd, r); }));
			grid->post_json("/node", "{\"id\":\"s" + std::to_string(i) +
							 "\",\"address\":\"127.0.0.1:" +
							 std::to_string(servers[i]->port) +
							 "\",\"state\":\"ready\"}");
		}
		usleep(1500000);
	}
};

/*
 * Guards against a repeat that crashes one endpoint more, because it is sent before it is known
 * that the endpoint before has crashed.
 */
TEST_F(CrashEvidenceTest, RepeatWaitsUntilItIsKnown)
{
	struct harness_process *p = start_all(2, 0, 8);

	play_services(8);
	for (int i = 0; i < 16; i++)
		EXPECT_EQ(send_request(p, request_text("peek/x", "GET")).status, 200);
	EXPECT_EQ(send_request(p, request_text("peek/deadly", "GET")).status, 502);
	EXPECT_EQ(crashes, 2);
	/* Crashes at the same moment may have a cause in common. */
	usleep(100000);
	EXPECT_EQ(send_request(p, request_text("peek/deadly", "GET")).status, 502);
	EXPECT_EQ(crashes, 3);
	EXPECT_EQ(send_request(p, request_text("peek/deadly", "GET")).status, 503);
	EXPECT_EQ(crashes, 3);
	EXPECT_EQ(send_request(p, request_text("peek/x", "GET")).status, 200);
}

/*
 * Guards against a crash that counts for nothing because the instance learns that the endpoint has
 * ended before it notices that the connection is closed (DeadlyRequestTest beside load).
 */
TEST_F(CrashEvidenceTest, CountsWhenItComesBeforeTheLoss)
{
	struct harness_process *p = start_all(2, 0, 8);

	is_removed_first = true;
	play_services(8);
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(send_request(p, request_text("order/deadly")).status, 502);
		usleep(100000);
	}
	EXPECT_EQ(send_request(p, request_text("order/deadly")).status, 503);
	EXPECT_EQ(crashes, 3);
	EXPECT_EQ(send_request(p, request_text("order/x")).status, 200);
}
