#include "played_endpoint.h"

#include <atomic>
#include <fstream>
#include <thread>

class BrokenAnswersTest : public PlayedEndpointTest
{
      protected:
	/* Sends the first event of a stream, then @bytes now and then. */
	static bool stall(int fd, const std::string &request, const std::string &bytes)
	{
		std::string id = request_id(request);

		if (request.rfind("POST", 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		TinyServer::send_bytes(fd, STREAM_HEAD + id + "\r\n\r\n" +
						   chunk("id: 1\ndata: " + id + ".1\n\n"));
		send_until_closed(fd, chunk(bytes), 50, 8000);
		return false;
	}
	void play_stalled_streams(const std::string &bytes)
	{
		struct harness_process *p = start_all(2, 0, 1);
		std::atomic<int> stalls{ 0 };
		TinyServer server([&](int fd, const std::string &request) {
			stalls += request.rfind("POST", 0) == 0;
			return stall(fd, request, bytes);
		});

		replace_endpoint("e0", server);
		for (int i = 0; i < 12 && !stalls; i++) {
			Response a = send_request(p, generation_text("stream/x", 4));

			EXPECT_EQ(a.status, 200);
			EXPECT_TRUE(a.complete);
			EXPECT_NE(a.body.find(last_id() + ".4\n"), std::string::npos) << a.body;
		}
		EXPECT_GE(stalls, 1);
		EXPECT_EQ(harness_process_stop(p, 8000), 0);
	}
};

/*
 * Guards against an answer above the size that is buffered being delivered in part as a complete
 * success.
 */
TEST_F(BrokenAnswersTest, AnswersThatAreTooLargeAreNotTruncatedSuccesses)
{
	const std::string body(6 << 20, 'b');
	struct harness_process *p = start_all(1, 0, 1);
	TinyServer server([&](int fd, const std::string &request) {
		TinyServer::send_bytes(fd, "HTTP/1.1 200 OK\r\nX-Ibisgate-Server-Signature: s\r\n"
					   "X-Ibisgate-Request-Id: " +
						   request_id(request) + "\r\nContent-Length: " +
						   std::to_string(body.size()) + "\r\n\r\n" + body);
		return true;
	});

	replace_endpoint("s0", server);
	for (const char *target : { "order/x", "peek/x" }) {
		Response a = send_request(p, request_text(target));

		if (a.status == 200)
			EXPECT_EQ(a.body.size(), body.size()) << target;
		else
			EXPECT_EQ(a.status, 502) << target;
		EXPECT_TRUE(a.complete) << target;
	}
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

/*
 * Guards against MIXED at the caller: an endpoint answers a long upload without a length and resets
 * the connection with the upload unread. Its part of an answer may not look complete.
 */
TEST_F(BrokenAnswersTest, AnswersThatAreResetDuringTheUploadDoNotLookComplete)
{
	const std::string head = "HTTP/1.1 200 OK\r\nX-Ibisgate-Request-Id: $ID\r\n"
				 "X-Ibisgate-Server-Signature: s\r\n";
	const struct {
		const char *target;
		const char *endpoint;
		std::string answer;
	} cases[] = {
		{ "order/x", "s0", head + "\r\n" + std::string(4096, 'a') },
		{ "once/x", "e0",
		  head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
			 "id: 2\ndata: b\n\n" },
	};
	const std::string upload(3000000, 'u');
	struct harness_process *p = start_all(1, 0, 1);
	std::string config = config_json(2);

	config.replace(config.find("100000"), 6, "4000000");
	put_config(config);
	for (const auto &c : cases) {
		EarlyAnswerer server(EarlyAnswerer::RESET, 20, c.answer);

		move_endpoint(c.endpoint, server.port());
		usleep(1500000);
		/* Between two failures, the endpoint is avoided for a while. */
		for (int i = 0; i < 40 && server.uploads < 6; i++) {
			std::string text = request_text(c.target, "POST",
							"X-Ibisgate-Model: m\r\n"
							"X-Ibisgate-Token-Count: 1460,5\r\n",
							upload);
			Response a = send_request(p, text);

			EXPECT_FALSE(a.status == 200 && a.complete) << c.target << a.head;
			usleep(200000);
		}
		EXPECT_EQ(server.uploads, 6) << c.target;
	}
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

/*
 * An engine restarts between two pages of the first list of what it has cached. Guards against
 * taking what its earlier process had for what it has now.
 */
TEST_F(BrokenAnswersTest, CachedPartsOfTwoEpochsAreNotMixed)
{
	std::mutex lock;
	std::vector<std::string> asked;
	struct harness_process *p = start_all(2, 0, 1);
	TinyServer server([&](int fd, const std::string &request) {
		const std::string path = "GET /kv-events?since=";
		std::lock_guard<std::mutex> g(lock);
		std::string events;

		if (request.rfind(path, 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		std::string since =
			request.substr(path.size(), request.find(' ', path.size()) - path.size());
		asked.push_back(since);
		for (int i = 0; i < 200 && asked.size() == 1; i++)
			events += std::string(i ? "," : "") + "[" + std::to_string(i) +
				  ",\"+\",\"\",\"p" + std::to_string(i) + "\",100,\"m\"]";
		TinyServer::send_response(
			fd, 200,
			"{\"epoch\":\"" + std::string(asked.size() == 1 ? "a" : "b") +
				"\",\"next\":" + (asked.size() == 1 ? "200" : since) +
				",\"lost\":false,\"events\":[" + events + "]}");
		return true;
	});

	replace_endpoint("e0", server);
	EXPECT_TRUE(eventually(
		[&] {
			std::lock_guard<std::mutex> g(lock);
			return asked.size() >= 3;
		},
		6000));
	std::lock_guard<std::mutex> g(lock);
	ASSERT_GE(asked.size(), 3u);
	EXPECT_EQ(asked[0], "0");
	EXPECT_EQ(asked[1], "200");
	/* The second epoch is read from its begin. */
	EXPECT_EQ(asked[2], "0");
	/* The engine is not asked all the time. */
	EXPECT_LE(asked.size(), 6u);
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

/* Guards against memory that grows with an event that has no end. */
TEST_F(BrokenAnswersTest, EndlessEventsEndInBoundedMemory)
{
	struct harness_process *p = start_all(1, 0, 1);
	std::atomic<int64_t> open_ms{ -1 };
	TinyServer server([&](int fd, const std::string &request) {
		if (request.rfind("POST", 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		TinyServer::send_bytes(fd, STREAM_HEAD + request_id(request) + "\r\n\r\n" +
						   chunk("id: 1\ndata: "));
		open_ms = send_until_closed(fd, chunk(std::string(65536, 'd')), 0, 8000);
		return false;
	});

	replace_endpoint("e0", server);
	int64_t before = resident_kib(p);
	Response a = send_request(p, generation_text("once/x"));
	EXPECT_NE(a.status, 200);
	EXPECT_TRUE(eventually([&] { return open_ms >= 0; }, 3000));
	EXPECT_LT(open_ms, 2500) << "the connection must be closed before the deadline of 3 s";
	EXPECT_LT(resident_kib(p) - before, 16 << 10);
	EXPECT_EQ(ready_status(p), 200);
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

/*
 * Guards against a stalled stream that comments or bytes keep open: a resumable one continues on
 * another engine once its callers would give up, after 2 s here.
 */
TEST_F(BrokenAnswersTest, StreamsThatStallWithCommentsContinueElsewhere)
{
	play_stalled_streams(": still here\n\n");
}

TEST_F(BrokenAnswersTest, StreamsThatStallInsideAnEventContinueElsewhere)
{
	play_stalled_streams("x");
}

/* Guards against a stalled stream that may run only once and never ends: it ends at its deadline.
 */
TEST_F(BrokenAnswersTest, StalledStreamsThatRunOnceEndAtTheDeadline)
{
	struct harness_process *p = start_all(1, 0, 1);
	TinyServer server([&](int fd, const std::string &request) {
		return stall(fd, request, ": still here\n\n");
	});

	replace_endpoint("e0", server);
	int64_t from = clock_boot_ms();
	Response a = send_request(p, generation_text("once/x", 4));
	EXPECT_FALSE(a.complete);
	EXPECT_TRUE(a.closed);
	EXPECT_NEAR((double)(clock_boot_ms() - from), 3000, 500);
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

/* Answers a POST with a whole stream of @events, one each @interval_us. */
static void send_paced_stream(int fd, const std::string &request, int events,
			      useconds_t interval_us)
{
	std::string id = request_id(request);

	if (request.rfind("POST", 0) != 0) {
		TinyServer::send_response(fd, 404, "");
		return;
	}
	TinyServer::send_bytes(fd, STREAM_HEAD + id + "\r\n\r\n");
	for (int k = 1; k <= events; k++) {
		usleep(interval_us);
		TinyServer::send_bytes(fd, chunk("id: " + std::to_string(k) + "\ndata: " + id +
						 "." + std::to_string(k) + "\n\n"));
	}
	TinyServer::send_bytes(fd, "0\r\n\r\n");
}

/* Guards against cutting a stream that is slow but sound. */
TEST_F(BrokenAnswersTest, SlowStreamsAreNotCut)
{
	struct harness_process *p = start_all(1, 0, 1);
	TinyServer server([&](int fd, const std::string &request) {
		/* 0.9 of the silence after which an engine counts as lost. */
		send_paced_stream(fd, request, 9, 270000);
		return true;
	});

	replace_endpoint("e0", server);
	for (const char *target : { "stream/x", "once/x" }) {
		Response a = send_request(p, generation_text(target, 9));

		EXPECT_EQ(a.status, 200) << target;
		EXPECT_TRUE(a.complete) << target;
		EXPECT_EQ(a.body, event_text(last_id(), 9)) << target;
	}
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

/*
 * Guards against an instance that takes its own pause for the silence of an engine: the events that
 * came meanwhile wait in its sockets, and the running work must be neither given up nor repeated.
 */
TEST_F(BrokenAnswersTest, StreamsSurviveAPauseOfTheInstance)
{
	struct harness_process *p = start_all(1, 0, 1);
	std::atomic<int> runs{ 0 };
	TinyServer server([&](int fd, const std::string &request) {
		runs += request.rfind("POST", 0) == 0;
		send_paced_stream(fd, request, 20, 100000);
		return true;
	});

	replace_endpoint("e0", server);
	for (const char *target : { "stream/x", "once/x" }) {
		for (int pause_ms : { 500, 1000, 1500 }) {
			Caller c(harness_process_port(p, "http"), process_ip(p).c_str());

			runs = 0;
			c.send_text(generation_text(target, 20));
			usleep(400000);
			harness_process_signal(p, SIGSTOP);
			usleep((useconds_t)pause_ms * 1000);
			harness_process_signal(p, SIGCONT);
			Response a = c.read_response(4000);
			EXPECT_EQ(a.status, 200) << target << " " << pause_ms;
			EXPECT_TRUE(a.complete) << target << " " << pause_ms;
			EXPECT_EQ(a.body, event_text(last_id(), 20)) << target << " " << pause_ms;
			EXPECT_EQ(runs, 1) << target << " " << pause_ms;
		}
	}
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

/* An endpoint "s0" with large answers, for callers that read slowly. */
class SlowCallerTest : public BrokenAnswersTest
{
      protected:
	void start()
	{
		process = start_all(1, 0, 1);
		server = std::make_unique<TinyServer>([this](int fd, const std::string &request) {
			TinyServer::send_bytes(
				fd, "HTTP/1.1 200 OK\r\n"
				    "X-Ibisgate-Server-Signature: s\r\n"
				    "X-Ibisgate-Request-Id: " +
					    request_id(request) + "\r\nContent-Length: " +
					    std::to_string(body.size()) + "\r\n\r\n" + body);
			return true;
		});
		replace_endpoint("s0", *server);
	}
	/* A connection whose buffers hold only a small part of the answer. */
	std::unique_ptr<Caller> connect_slow_caller()
	{
		auto c = std::make_unique<Caller>(harness_process_port(process, "http"),
						  process_ip(process).c_str());
		int bytes = 131072;

		setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
		return c;
	}
	/* Reads a part of the answer every 100 ms for @ms, and the rest at once. */
	Response read_slowly(Caller &c, int ms)
	{
		for (int i = 0; i < ms / 100; i++) {
			char data[65536];
			ssize_t n = recv(c.fd, data, sizeof(data), MSG_DONTWAIT);

			if (n > 0)
				c.received.append(data, (size_t)n);
			usleep(100000);
		}
		return c.read_response(5000);
	}

	const std::string body = std::string(3900000, 'b');
	struct harness_process *process = nullptr;
	std::unique_ptr<TinyServer> server;
};

/* Guards against an answer that is cut because its caller reads it slowly. */
TEST_F(SlowCallerTest, GetsTheWholeAnswerOnAConnectionToBeClosed)
{
	start();
	auto c = connect_slow_caller();

	c->send_text(request_text("order/x", "POST", "Connection: close\r\n"));
	Response a = read_slowly(*c, 3000);
	EXPECT_EQ(a.status, 200);
	EXPECT_TRUE(a.complete);
	EXPECT_EQ(a.body.size(), body.size());
	EXPECT_EQ(harness_process_stop(process, 8000), 0);
}

/* Guards against a planned stop that cuts the unsent rest of an answer. */
TEST_F(SlowCallerTest, GetsTheWholeAnswerDuringAPlannedStop)
{
	start();
	auto c = connect_slow_caller();

	c->send_text(request_text("order/x"));
	ASSERT_TRUE(c->wait_for_text("HTTP/1.1 200"));
	harness_process_signal(process, SIGTERM);
	Response a = read_slowly(*c, 4500);
	EXPECT_EQ(a.status, 200);
	EXPECT_TRUE(a.complete);
	EXPECT_EQ(a.body.size(), body.size());
	EXPECT_EQ(harness_process_wait(process, 6000), 0);
}

class PlannedStopTest : public EntryTest
{
};

/*
 * Guards against a planned stop that cuts off requests that were just accepted: those whose bytes
 * are still coming, and those on connections that the kernel has accepted.
 */
TEST_F(PlannedStopTest, RequestsAcceptedAtTheEndOfAPlannedStopAreAnswered)
{
	struct harness_process *p = start_all(2, 0);
	int port = harness_process_port(p, "http");
	std::vector<std::unique_ptr<Caller>> callers;
	std::vector<std::string> ids;
	std::string text = request_text("order/x", "POST", "", std::string(2000, 'b'));
	int64_t from = clock_boot_ms();

	/* One has sent half of its request when connections are no longer accepted after 3 s. */
	auto half = std::make_unique<Caller>(port, process_ip(p).c_str());
	std::string half_id = last_id();
	harness_process_signal(p, SIGTERM);
	while (clock_boot_ms() - from < 2500)
		usleep(1000);
	half->send_text(text.substr(0, 1200));
	/* The others connect and send until then, a millisecond apart. */
	while (clock_boot_ms() - from < 3300) {
		auto c = std::make_unique<Caller>(port, process_ip(p).c_str(), true);

		if (clock_boot_ms() - from >= 2700) {
			c->send_text(request_text("order/x"), true);
			ids.push_back(last_id());
			callers.push_back(std::move(c));
		}
		usleep(1000);
	}
	half->send_text(text.substr(1200));
	Response a = half->read_response(2000);
	EXPECT_EQ(a.status, 200);
	EXPECT_TRUE(a.complete);
	EXPECT_EQ(run_count(half_id), 1);
	int answered = 0;
	for (size_t i = 0; i < callers.size(); i++) {
		Response r = callers[i]->read_response(2000);

		answered += r.complete;
		if (r.complete)
			continue;
		EXPECT_EQ(run_count(ids[i]), 0) << ids[i] << " of " << ids.size();
	}
	EXPECT_GT(answered, 10);
	EXPECT_EQ(harness_process_wait(p, 6000), 0);
	EXPECT_EQ(WEXITSTATUS(p->status), 0);
}

/* Guards against running requests that are cut when an instance stops under load. */
TEST_F(PlannedStopTest, RunningRequestsAreNotCutUnderLoad)
{
	struct harness_process *p[2];

	p[0] = start_all(2, 0);
	p[1] = start_instance(1);
	ASSERT_TRUE(eventually([&] { return ready_status(p[1]) == 200; }, 5000));
	for (int turn = 0; turn < 2; turn++) {
		struct harness_process *stopped = p[turn];
		int port = harness_process_port(stopped, "http");
		std::string ip = process_ip(stopped);
		std::vector<std::vector<std::string>> unanswered(8);
		std::vector<std::thread> threads;

		for (int k = 0; k < 8; k++) {
			threads.emplace_back([&, k] {
				Caller c(port, ip.c_str());
				int64_t until = clock_boot_ms() + 6000;

				for (int i = 0; clock_boot_ms() < until; i++) {
					std::string id = "t" + std::to_string(turn * 10 + k) + "-" +
							 std::to_string(i);

					c.send_text("POST /order/x HTTP/1.1\r\nHost: h.example\r\n"
						    "X-Ibisgate-Request-Id: " +
							    id +
							    "\r\nX-Ibisgate-Deadline-Ms: 3000\r\n"
							    "Content-Length: 1\r\n\r\nx",
						    true);
					Response r = c.read_response(3000);
					if (!r.complete)
						unanswered[(size_t)k].push_back(id);
					if (!r.complete || r.field("Connection") == "close")
						break;
					usleep((useconds_t)(k * 700));
				}
			});
		}
		usleep((useconds_t)(300000 + turn * 1000));
		harness_process_signal(stopped, SIGTERM);
		for (std::thread &t : threads)
			t.join();
		for (const auto &list : unanswered) {
			for (const std::string &id : list)
				EXPECT_EQ(run_count(id), 0) << id;
		}
		EXPECT_EQ(harness_process_wait(stopped, 8000), 0);
		EXPECT_EQ(WEXITSTATUS(stopped->status), 0);
	}
}

class EndpointLossTest : public EntryTest
{
};

/*
 * Guards against work that is given up or started again because its engine was silent for a while
 * towards the store only, so that its entry lapsed.
 */
TEST_F(EndpointLossTest, RunningWorkSurvivesALapsedEntry)
{
	struct harness_process *p = start_all(2, 0, 1);

	grid->post_json("/node", "{\"id\":\"\",\"event_ms\":50}");
	for (const char *target : { "stream/x", "once/x" }) {
		Caller c(harness_process_port(p, "http"), process_ip(p).c_str());

		c.send_text(generation_text(target, 40));
		ASSERT_TRUE(c.wait_for_text("id: 2\n"));
		for (const char *id : { "e0", "e1" })
			set_endpoint_state(id, "gone");
		Response a = c.read_response();
		EXPECT_TRUE(a.complete) << target;
		EXPECT_EQ(a.body, event_text(last_id(), 40)) << target;
		EXPECT_EQ(run_count(last_id()), 1) << target;
		for (const char *id : { "e0", "e1" })
			set_endpoint_state(id, "ready");
		EXPECT_TRUE(eventually(
			[&] { return send_request(p, generation_text("stream/x", 1)).complete; },
			3000));
	}
}

/* Guards against a server that has left being used again after a restart without the store. */
TEST_F(EndpointLossTest, RestartWithoutStoreDoesNotBringBackEndpointsThatLeft)
{
	start_all(1, 0, 2);
	struct harness_process *p = start_instance(1);

	EXPECT_TRUE(eventually([&] { return ready_status(p) == 200; }, 5000));
	set_endpoint_state("s0", "gone");
	usleep(2500000);
	set_store_mode("reset");
	harness_process_signal(p, SIGKILL);
	harness_process_wait(p, 2000);
	p = start_instance(1);
	ASSERT_TRUE(eventually([&] { return ready_status(p) == 200; }, 8000));
	for (int i = 0; i < 8; i++) {
		EXPECT_EQ(send_request(p, request_text("order/x")).status, 200);
		for (const Run &r : runs(last_id()))
			EXPECT_EQ(r.node, "s1");
	}
	set_store_mode("up");
	usleep(3000000);
	for (int i = 0; i < 8; i++) {
		EXPECT_EQ(send_request(p, request_text("order/x")).status, 200);
		for (const Run &r : runs(last_id()))
			EXPECT_EQ(r.node, "s1");
	}
}
