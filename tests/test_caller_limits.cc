#include <sys/resource.h>

#include "hostile_crowd.h"
#include "played_endpoint.h"

/* What connections of callers cost an instance, and which of them it closes for others. */
class CallerLimits : public PlayedEndpointTest
{
      protected:
	static constexpr int64_t LIMIT_MS = 30000;
	static constexpr int STEP = 50;

	void start(int descriptors)
	{
		extra_settings =
			"[machine]\nmemory-mb = 512\ndescriptors = " + std::to_string(descriptors) +
			"\n";
		start_grid(1, 0, 1);
		put_config(config());
		endpoint = std::make_unique<TinyServer>([](int fd, const std::string &request) {
			TinyServer::send_bytes(
				fd, "HTTP/1.1 200 OK\r\nX-Ibisgate-Server-Signature: s\r\n"
				    "X-Ibisgate-Request-Id: " +
					    request_id(request) +
					    "\r\nContent-Length: 3\r\n\r\nabc");
			return true;
		});
		p = start_instance();
		ASSERT_TRUE(eventually([&] { return ready_status(p) == 200; }, 10000));
		replace_endpoint("s0", *endpoint);
		watch = std::make_unique<Watch>(p->pid);
		expect_answered();
	}
	/* Callers and instance keep connections for the time of the test. */
	static std::string config()
	{
		std::string text = config_json(1);

		return text.substr(0, text.find("\"limits\":")) +
		       "\"limits\":{\"maxHeaderBytes\":8192,\"maxBodyBytes\":2000000,"
		       "\"headerTimeoutMs\":20000,\"idleTimeoutMs\":60000}}";
	}
	std::unique_ptr<Caller> connect_caller()
	{
		return std::make_unique<Caller>(harness_process_port(p, "http"),
						process_ip(p).c_str(), true);
	}
	int ask(Caller &c, size_t body = 800)
	{
		c.send_text(request_text("peek/x", "POST", "", std::string(body, 'x')), true);
		return c.read_response(3000).status;
	}
	void expect_answered()
	{
		EXPECT_TRUE(eventually([&] { return ask(*connect_caller()) == 200; }, LIMIT_MS));
	}
	Crowd crowd()
	{
		return Crowd(process_ip(p), harness_process_port(p, "http"));
	}
	static CrowdText silent()
	{
		return CrowdText{ "", "x", 0 };
	}
	/* Processor time of the thread that serves callers, in nanoseconds. */
	int64_t used_ns() const
	{
		std::ifstream f("/proc/" + std::to_string(p->pid) + "/schedstat");
		int64_t ns = 0;

		f >> ns;
		return ns;
	}
	/* Whether that thread waits for events, rather than for a processor. */
	bool is_waiting() const
	{
		std::ifstream f("/proc/" + std::to_string(p->pid) + "/stat");
		std::string text;

		std::getline(f, text);
		return text.compare(text.rfind(')'), 4, ") S ") == 0;
	}
	/*
	 * Processor time for each of @count further connections, in nanoseconds. They arrive in
	 * steps that fit into a short listen backlog, so that none waits for a repeated SYN.
	 */
	int64_t connect_cost_ns(Crowd &c, int count)
	{
		int64_t before = used_ns(), last = -1;

		for (int done = 0; done < count; done += STEP)
			c.press(std::min(STEP, count - done), silent(), *watch);
		/* Until the instance has taken up all of them, also where it gets no processor. */
		while (!is_waiting() || last != used_ns()) {
			last = used_ns();
			usleep(30000);
		}
		return (used_ns() - before) / count;
	}
	int64_t metric(const std::string &name)
	{
		Caller c(harness_process_port(p, "metrics"), process_ip(p).c_str());

		c.send_text("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
		std::string body = c.read_response().body;
		size_t at = body.find("\nibisgate_" + name + "{");

		return at == std::string::npos ? -1 : atoll(body.c_str() + body.find('}', at) + 1);
	}
	void set_descriptor_limit(rlim_t most)
	{
		struct rlimit limit;

		ASSERT_EQ(prlimit(p->pid, RLIMIT_NOFILE, nullptr, &limit), 0);
		limit.rlim_cur = most;
		ASSERT_EQ(prlimit(p->pid, RLIMIT_NOFILE, &limit, nullptr), 0);
	}

	std::unique_ptr<TinyServer> endpoint;
	std::unique_ptr<Watch> watch;
	struct harness_process *p = nullptr;
};

/* Guards against a loop of accept() calls that fail, and against listeners that stay closed. */
TEST_F(CallerLimits, AcceptingWaitsForDescriptorsAndGoesOn)
{
	start(3075);
	if (HasFatalFailure())
		return;
	watch->sample();
	set_descriptor_limit((rlim_t)watch->most_descriptors);
	{
		Crowd http = crowd();
		Crowd ready(process_ip(p), harness_process_port(p, "ready"));
		Crowd metrics(process_ip(p), harness_process_port(p, "metrics"));

		http.press(50, silent(), *watch);
		ready.press(50, silent(), *watch);
		metrics.press(50, silent(), *watch);
		int64_t before = used_ns();

		usleep(2000000);
		EXPECT_LT(used_ns() - before, 500000000);
		set_descriptor_limit(3075);
		expect_answered();
		EXPECT_EQ(ready_status(p), 200);
		EXPECT_GE(metric("requests_total"), 0);
	}
	EXPECT_TRUE(watch->is_alive());
}

/* Guards against callers who lose their connections to clients that never send a request. */
TEST_F(CallerLimits, ConnectionsWithoutARequestGoBeforeKeptOnes)
{
	std::vector<std::unique_ptr<Caller>> kept;

	start(500);
	if (HasFatalFailure())
		return;
	for (int i = 0; i < 20; i++) {
		kept.push_back(connect_caller());
		EXPECT_EQ(ask(*kept.back()), 200);
	}
	Crowd c = crowd();

	c.press(600, silent(), *watch);
	for (auto &k : kept)
		EXPECT_EQ(ask(*k), 200);
	EXPECT_GT(metric("closed_for_descriptors_total"), 0);
}

/* Guards against newcomers that are closed for each other while many connections are kept. */
TEST_F(CallerLimits, NewcomersHaveRoomBesideKeptConnections)
{
	std::vector<std::unique_ptr<Caller>> kept, late;

	start(500);
	if (HasFatalFailure())
		return;
	for (int i = 0; i < 150; i++) {
		kept.push_back(connect_caller());
		EXPECT_EQ(ask(*kept.back()), 200);
	}
	for (int i = 0; i < 20; i++)
		late.push_back(connect_caller());
	for (auto &l : late)
		EXPECT_EQ(ask(*l), 200);
}

/* Guards against buffers of idle connections that no ledger holds. */
TEST_F(CallerLimits, BuffersOfKeptConnectionsAreCounted)
{
	const int count = 50;
	const size_t body = 12000;
	std::vector<std::unique_ptr<Caller>> kept;

	start(3075);
	if (HasFatalFailure())
		return;
	int64_t before = metric("held_connections_bytes");

	for (int i = 0; i < count; i++) {
		kept.push_back(connect_caller());
		EXPECT_EQ(ask(*kept.back(), body), 200);
	}
	EXPECT_GE(metric("held_connections_bytes") - before, count * (int64_t)body);
	EXPECT_EQ(metric("held_bodies_bytes"), 0);
	kept.clear();
	EXPECT_TRUE(
		eventually([&] { return metric("held_connections_bytes") <= before; }, LIMIT_MS));
}

/* Guards against a search through the whole crowd for each new connection. */
TEST_F(CallerLimits, CostOfAConnectionDoesNotGrowWithTheCrowd)
{
	start(12300);
	if (HasFatalFailure())
		return;
	Crowd c = crowd();
	int64_t few = connect_cost_ns(c, 500);

	/* 5,445 callers' connections fit. */
	connect_cost_ns(c, 4950);
	int64_t many = connect_cost_ns(c, 500);

	printf("%lld ns each in calm, %lld ns each at the bound\n", (long long)few,
	       (long long)many);
	EXPECT_TRUE(
		eventually([&] { return metric("closed_for_descriptors_total") > 0; }, LIMIT_MS));
	EXPECT_LT(many, 8 * few);
}
