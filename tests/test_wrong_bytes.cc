#include "played_endpoint.h"

#include <atomic>
#include <mutex>

/* Memory that an instance may take for control, in KiB (the aim in two years). */
#define CONTROL_MAX_KIB (128 << 10)

/* Engines that answer with bytes that are no valid answer, and instances that must bear them. */
class WrongBytesTest : public PlayedEndpointTest
{
};

/*
 * Guards against a handle that ends the head of the next request: a sound engine would run the
 * request without its body, and take the rest of it for another request.
 */
TEST_F(WrongBytesTest, HandlesWithALineBreakReachNoOtherEngine)
{
	struct harness_process *p = start_all(2, 1, 1);
	std::atomic<int> handles{ 0 };
	std::mutex lock;
	std::vector<std::string> received;
	TinyServer prefill([&](int fd, const std::string &request) {
		if (request.rfind("POST", 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		const std::string body = "{\"kvHandle\":\"3fa09c\\r\\n\",\"tokens\":1460}";

		handles++;
		TinyServer::send_bytes(
			fd, "HTTP/1.1 200 OK\r\nX-Ibisgate-Request-Id: " + request_id(request) +
				    "\r\nContent-Length: " + std::to_string(body.size()) +
				    "\r\n\r\n" + body);
		return true;
	});
	TinyServer decode([&](int fd, const std::string &request) {
		std::string id = request_id(request);

		if (request.rfind("GET /kv-events", 0) == 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		{
			std::lock_guard<std::mutex> g(lock);

			received.push_back(request);
		}
		TinyServer::send_bytes(fd, STREAM_HEAD + id + "\r\n\r\n" +
						   chunk("id: 1\ndata: " + id + ".1\n\n") +
						   "0\r\n\r\n");
		return true;
	});

	replace_endpoint("e0", prefill);
	replace_endpoint("e1", decode);
	for (int i = 0; i < 6; i++)
		send_request(p, generation_text("stream/x", 1));
	EXPECT_GE(handles, 1);
	std::lock_guard<std::mutex> g(lock);
	EXPECT_FALSE(received.empty());
	for (const std::string &request : received) {
		EXPECT_EQ(request.rfind("POST /stream/x HTTP/1.1\r\n", 0), 0u) << request;
		EXPECT_EQ(request.substr(request.find("\r\n\r\n")), "\r\n\r\nx") << request;
	}
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

/* Bytes without end that are no answer, in a body of some shape. */
class EndlessBodiesTest : public PlayedEndpointTest
{
      protected:
	/* Calls of @target whose answers begin with @head and go on with @bytes without end. */
	void play(const std::string &target, const std::string &head,
		  const std::function<std::string(int)> &bytes, bool callers_read)
	{
		struct harness_process *p = start_all(1, 0, 1);
		TinyServer server([&](int fd, const std::string &request) {
			if (request_id(request).empty()) {
				TinyServer::send_response(fd, 404, "");
				return true;
			}
			int64_t until = clock_boot_ms() + 6000;
			std::string text = head;
			int part = 0;

			text.replace(text.find("$ID"), 3, request_id(request));
			for (; clock_boot_ms() < until; text = bytes(++part)) {
				if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) <= 0)
					break;
			}
			return false;
		});
		bool is_call = target == "order/x";
		std::vector<std::unique_ptr<Caller>> callers;

		replace_endpoint(is_call ? "s0" : "e0", server);
		for (int i = 0; i < 40; i++) {
			callers.push_back(std::make_unique<Caller>(harness_process_port(p, "http"),
								   process_ip(p).c_str()));
			callers.back()->send_text(is_call ? request_text(target)
							  : generation_text(target));
		}
		if (callers_read) {
			for (auto &c : callers)
				c->read_response(4000);
		} else {
			usleep(3500000);
		}
		EXPECT_LT(resident_kib(p, "VmHWM"), CONTROL_MAX_KIB);
		EXPECT_EQ(ready_status(p), 200);
		callers.clear();
		EXPECT_EQ(harness_process_stop(p, 8000), 0);
	}
	/* One event of 8 KB with the id @k. */
	static std::string large_event(int k)
	{
		return chunk("id: " + std::to_string(k) + "\ndata: " + std::string(8000, 'd') +
			     "\n\n");
	}
};

/* Guards against memory that grows with a stream whose caller reads slowly or not at all. */
TEST_F(EndlessBodiesTest, EventsForCallersThatDoNotReadEndInBoundedMemory)
{
	play("once/x", std::string(STREAM_HEAD) + "$ID\r\n\r\n", large_event, false);
}

TEST_F(EndlessBodiesTest, CommentsForCallersThatDoNotReadEndInBoundedMemory)
{
	play(
		"once/x", std::string(STREAM_HEAD) + "$ID\r\n\r\n",
		[](int) { return chunk(":" + std::string(8000, ' ') + "\n\n"); }, false);
}

/* Guards against memory that grows with the number of answers that are kept until their end. */
TEST_F(EndlessBodiesTest, AnswersOfEnginesThatAreNoStreamsEndInBoundedMemory)
{
	play(
		"once/x", "HTTP/1.1 200 OK\r\nX-Ibisgate-Request-Id: $ID\r\n\r\n",
		[](int) { return std::string(8000, 'd'); }, true);
}

TEST_F(EndlessBodiesTest, AnswersOfServicesEndInBoundedMemory)
{
	play(
		"order/x",
		"HTTP/1.1 200 OK\r\nX-Ibisgate-Server-Signature: s\r\nX-Ibisgate-Request-Id: "
		"$ID\r\n\r\n",
		[](int) { return std::string(8000, 'd'); }, true);
}

/* An order that takes longer is unanswered at its timeout and half a second later. */
#define ORDER_MAX_MS 1300

/*
 * Guards against a stream that never ends an event and holds up the event loop: all other requests
 * of the instance would wait for it.
 */
TEST_F(WrongBytesTest, EventsWithoutEndDoNotHoldUpOtherRequests)
{
	struct harness_process *p = start_all(1, 0, 1);
	std::atomic<int64_t> open_ms{ -1 };
	std::string lines;

	while (lines.size() < 900000)
		lines += "ab\n";
	TinyServer server([&](int fd, const std::string &request) {
		std::string chunks;

		if (request.rfind("POST", 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		for (int i = 0; i < 2000; i++)
			chunks += chunk("ab\n");
		TinyServer::send_bytes(fd, STREAM_HEAD + request_id(request) + "\r\n\r\n" +
						   chunk(lines));
		open_ms = send_until_closed(fd, chunks, 0, 8000);
		return false;
	});

	replace_endpoint("e0", server);
	Caller c(harness_process_port(p, "http"), process_ip(p).c_str());
	c.send_text(generation_text("once/x"));
	for (int64_t from = clock_boot_ms(); clock_boot_ms() - from < 2500;) {
		int64_t sent = clock_boot_ms();

		EXPECT_EQ(send_request(p, request_text("order/x")).status, 200);
		EXPECT_LT(clock_boot_ms() - sent, ORDER_MAX_MS);
	}
	EXPECT_TRUE(eventually([&] { return open_ms >= 0; }, 8000));
	EXPECT_LT(open_ms, 2500) << "the connection must be closed before the deadline of 3 s";
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

/* Event ids of a stream of six pieces; "bad" stands for a line that is no id. */
class WrongIdsTest : public PlayedEndpointTest, public ::testing::WithParamInterface<const char *>
{
      protected:
	/* The stream with the ids of the parameter; its data are those of a sound engine. */
	static std::string spoiled_stream(const std::string &id)
	{
		std::string ids = GetParam();
		std::string out = STREAM_HEAD + id + "\r\n\r\n";

		for (size_t k = 0; k < ids.size(); k++)
			out += chunk((ids[k] == 'x' ? std::string("id; 4")
						    : std::string("id: ") + ids[k]) +
				     "\ndata: " + id + "." + std::to_string(k + 1) + "\n\n");
		return out + "0\r\n\r\n";
	}
	static bool answer(int fd, const std::string &request, std::atomic<int> *streams)
	{
		if (request.rfind("POST", 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		++*streams;
		TinyServer::send_bytes(fd, spoiled_stream(request_id(request)));
		return true;
	}
};

/*
 * Guards against a stream with wrong event ids that ends as complete although pieces of it were
 * dropped, or were sent twice.
 */
TEST_P(WrongIdsTest, StreamsThatMayRunOnceDoNotLookComplete)
{
	struct harness_process *p = start_all(1, 0, 1);
	std::atomic<int> streams{ 0 };
	TinyServer server(
		[&](int fd, const std::string &request) { return answer(fd, request, &streams); });

	replace_endpoint("e0", server);
	Response a = send_request(p, generation_text("once/x", 6));
	EXPECT_EQ(streams, 1);
	EXPECT_FALSE(a.complete) << a.body;
	EXPECT_EQ(event_text(last_id(), 6).rfind(a.body, 0), 0u) << a.body;
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

TEST_P(WrongIdsTest, ResumableStreamsContinueElsewhere)
{
	struct harness_process *p = start_all(2, 0, 1);
	std::atomic<int> streams{ 0 };
	TinyServer server(
		[&](int fd, const std::string &request) { return answer(fd, request, &streams); });

	replace_endpoint("e0", server);
	for (int i = 0; i < 12 && !streams; i++) {
		Response a = send_request(p, generation_text("stream/x", 6));

		EXPECT_EQ(a.status, 200);
		EXPECT_TRUE(a.complete);
		EXPECT_EQ(a.body, event_text(last_id(), 6));
	}
	EXPECT_GE(streams, 1);
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}

INSTANTIATE_TEST_SUITE_P(Ids, WrongIdsTest,
			 ::testing::Values("123333", "123x56", "123256", "1243", "123346"));

/*
 * Guards against one wrong answer of an engine that takes an instance over its memory, so that it
 * is killed with all its requests: JSON of empty objects needs some 80 times its size when decoded.
 */
TEST_F(WrongBytesTest, LargeAnswersOfEnginesEndInBoundedMemory)
{
	struct harness_process *p = start_all(2, 1, 1);
	std::atomic<int> cache_answers{ 0 }, prefill_answers{ 0 };
	std::string objects;

	while (objects.size() < (3 << 20))
		objects += "{},";
	/* By turns with its size announced, in chunks, and small enough to be accepted. */
	TinyServer server([&](int fd, const std::string &request) {
		bool prefill = request.rfind("POST", 0) == 0;
		int turn = prefill ? ++prefill_answers, 1 : cache_answers++ % 3;
		std::string list = objects.substr(0, turn < 2 ? 3 << 20 : 255000) + "{}]}";
		std::string body =
			prefill ? "{\"kvHandle\":\"h\",\"x\":[" + list
				: "{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[" + list;
		std::string head =
			"HTTP/1.1 200 OK\r\nX-Ibisgate-Request-Id: " + request_id(request) + "\r\n";

		TinyServer::send_bytes(
			fd, turn == 1 ? head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) +
						"0\r\n\r\n"
				      : head + "Content-Length: " + std::to_string(body.size()) +
						"\r\n\r\n" + body);
		return true;
	});

	replace_endpoint("e0", server);
	EXPECT_TRUE(eventually([&] { return cache_answers >= 3; }, 10000));
	for (int i = 0; i < 20 && !prefill_answers; i++) {
		Response a = send_request(p, generation_text("stream/x", 4));

		EXPECT_EQ(a.status, 200);
		EXPECT_TRUE(a.complete);
	}
	EXPECT_GE(prefill_answers, 1);
	EXPECT_LT(resident_kib(p, "VmHWM"), CONTROL_MAX_KIB);
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
}
