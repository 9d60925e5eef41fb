#include "played_endpoint.h"

#include <atomic>
#include <mutex>

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
