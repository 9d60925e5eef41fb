#include "played_endpoint.h"

#include <atomic>
#include <map>
#include <mutex>

/*
 * One engine prefills and gives each KV cache a handle, three decode. A handle can be taken once;
 * its name may then be given to another request's cache.
 */
class CacheHandlesTest : public PlayedEndpointTest
{
      protected:
	/* What the first engine that is sent a request with a handle does. */
	enum First {
		BREAKS_OFF,
		CLOSES,
		REFUSES,
		STALLS,
	};

	void start(First how)
	{
		first = how;
		process = start_all(4, 1, 1);
		prefill = std::make_unique<TinyServer>(
			[this](int fd, const std::string &r) { return on_prefill(fd, r); });
		move_endpoint("e0", prefill->port);
		for (int i = 0; i < 3; i++) {
			decode.push_back(std::make_unique<TinyServer>(
				[this](int fd, const std::string &r) { return on_decode(fd, r); }));
			move_endpoint("e" + std::to_string(i + 1), decode.back()->port);
		}
		usleep(1500000);
	}
	bool on_prefill(int fd, const std::string &request)
	{
		if (request.rfind("DELETE", 0) == 0) {
			std::lock_guard<std::mutex> g(lock);

			deletes++;
			TinyServer::send_response(fd, 200, "");
			return true;
		}
		if (request.rfind("POST", 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		const std::string body =
			"{\"kvHandle\":\"h" + std::to_string(++handles) + "\",\"tokens\":1460}";

		TinyServer::send_bytes(
			fd, "HTTP/1.1 200 OK\r\nX-Ibisgate-Request-Id: " + request_id(request) +
				    "\r\nContent-Length: " + std::to_string(body.size()) +
				    "\r\n\r\n" + body);
		return true;
	}
	bool on_decode(int fd, const std::string &request)
	{
		std::string id = request_id(request);
		std::string source = field_value(request, "X-Ibisgate-Kv-Source");
		std::string last = field_value(request, "Last-Event-Id");
		int sends;

		if (request.rfind("POST", 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		{
			std::lock_guard<std::mutex> g(lock);

			sends = source.empty() ? 0 : ++taken[source];
		}
		if (sends == 1 && first == REFUSES) {
			usleep(refusal_ms * 1000);
			TinyServer::send_bytes(fd,
					       "HTTP/1.1 503 Full\r\nX-Ibisgate-Request-Id: " + id +
						       "\r\nX-Ibisgate-Not-Executed: 1\r\n"
						       "Content-Length: 0\r\n\r\n");
			return true;
		}
		if (sends == 1 && first == CLOSES)
			return false;
		if (sends == 1 && first == STALLS) {
			char c;

			/* Until the instance closes. */
			return recv(fd, &c, 1, 0) > 0;
		}
		TinyServer::send_bytes(fd, STREAM_HEAD + id + "\r\n\r\n");
		for (int k = atoi(last.c_str()) + 1; k <= 5; k++) {
			TinyServer::send_bytes(
				fd, chunk("id: " + std::to_string(k) + "\ndata: " + id + "\n\n"));
			if (sends == 1 && first == BREAKS_OFF)
				return false;
		}
		TinyServer::send_bytes(fd, "0\r\n\r\n");
		return true;
	}
	int most_sends()
	{
		std::lock_guard<std::mutex> g(lock);
		int most = 0;

		for (const auto &t : taken)
			most = std::max(most, t.second);
		return most;
	}
	int deletes_so_far()
	{
		std::lock_guard<std::mutex> g(lock);

		return deletes;
	}

	First first = BREAKS_OFF;
	useconds_t refusal_ms = 0;
	struct harness_process *process = nullptr;
	std::unique_ptr<TinyServer> prefill;
	std::vector<std::unique_ptr<TinyServer>> decode;
	std::mutex lock;
	std::map<std::string, int> taken;
	std::atomic<int> handles{ 0 };
	int deletes = 0;
};

/*
 * Guards against MIXED: a stream goes on at another engine with the handle that its first engine
 * has taken, which may name another request's cache by then.
 */
TEST_F(CacheHandlesTest, HandlesThatMayHaveBeenTakenAreNotSentAgain)
{
	for (First how : { BREAKS_OFF, CLOSES }) {
		start(how);
		for (int i = 0; i < 4; i++) {
			Response a = send_request(process, generation_text("stream/x", 5));

			EXPECT_EQ(a.status, 200) << how;
			EXPECT_TRUE(a.complete) << how;
		}
		EXPECT_GE(handles, 1);
		EXPECT_EQ(most_sends(), 1) << how;
		EXPECT_EQ(deletes_so_far(), 0) << how;
		EXPECT_EQ(harness_process_stop(process, 8000), 0);
		decode.clear();
		prefill.reset();
		taken.clear();
	}
}

/* Guards against freeing the cache of another request under a handle that was taken. */
TEST_F(CacheHandlesTest, HandlesThatMayHaveBeenTakenAreNotFreed)
{
	start(STALLS);
	Caller c(harness_process_port(process, "http"), process_ip(process).c_str());
	c.send_text(generation_text("stream/x", 5));
	ASSERT_TRUE(eventually([&] { return most_sends() == 1; }, 3000));
	c.disconnect();
	usleep(500000);
	EXPECT_EQ(deletes_so_far(), 0);
	EXPECT_EQ(harness_process_stop(process, 8000), 0);
}

/* Guards against prefilling again what a full engine has refused to take. */
TEST_F(CacheHandlesTest, HandlesThatWereRefusedAreOfferedToAnotherEngine)
{
	start(REFUSES);
	Response a = send_request(process, generation_text("stream/x", 5));
	EXPECT_EQ(a.status, 200);
	EXPECT_TRUE(a.complete);
	EXPECT_EQ(handles, 1);
	EXPECT_EQ(most_sends(), 2);
	EXPECT_EQ(harness_process_stop(process, 8000), 0);
}

/* Guards against a handle that has lapsed meanwhile, and may name another request's cache. */
TEST_F(CacheHandlesTest, HandlesThatMayLapseAreNotSent)
{
	start(REFUSES);
	std::string text = config_json(2);
	text.insert(text.find("\"linkMbps\""), "\"kvHoldS\":0.35,");
	put_config(text);
	usleep(1500000);
	/* In its last tenth, and before the engine counts as silent. */
	refusal_ms = 330;
	Response a = send_request(process, generation_text("stream/x", 5));
	EXPECT_EQ(a.status, 200);
	EXPECT_TRUE(a.complete);
	EXPECT_EQ(most_sends(), 1);
	EXPECT_EQ(deletes_so_far(), 0);
	EXPECT_EQ(harness_process_stop(process, 8000), 0);
}
