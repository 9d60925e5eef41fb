#include "entry_fixture.h"

#include <fstream>

#include "tiny_server.h"

namespace
{

const char *const STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
				"Transfer-Encoding: chunked\r\nX-Ibisgate-Server-Signature: s\r\n"
				"X-Ibisgate-Request-Id: ";

std::string request_id(const std::string &request)
{
	const std::string name = "X-Ibisgate-Request-Id: ";
	size_t at = request.find(name);

	if (at == std::string::npos)
		return "";
	at += name.size();
	return request.substr(at, request.find("\r\n", at) - at);
}

std::string chunk(const std::string &text)
{
	char size[16];

	snprintf(size, sizeof(size), "%zx\r\n", text.size());
	return size + text + "\r\n";
}

/* Sends @text every @interval_ms until the peer closes or @ms are over; returns the time taken. */
int64_t send_until_closed(int fd, const std::string &text, int interval_ms, int64_t ms)
{
	int64_t from = clock_boot_ms();

	while (clock_boot_ms() - from < ms && send(fd, text.data(), text.size(), MSG_NOSIGNAL) > 0)
		usleep((useconds_t)interval_ms * 1000);
	return clock_boot_ms() - from;
}

} // namespace

/* An endpoint of the platform is replaced by a server that the test controls byte by byte. */
class BrokenAnswersTest : public EntryTest
{
      protected:
	void replace_endpoint(const std::string &id, const TinyServer &server)
	{
		grid->post_json("/node", "{\"id\":\"" + id + "\",\"address\":\"127.0.0.1:" +
						 std::to_string(server.port) +
						 "\",\"state\":\"ready\"}");
		usleep(1500000);
	}
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
	int64_t resident_kib(const struct harness_process *p)
	{
		std::ifstream f("/proc/" + std::to_string(p->pid) + "/status");
		std::string line;

		while (std::getline(f, line)) {
			if (line.rfind("VmRSS:", 0) == 0)
				return atoll(line.c_str() + 6);
		}
		return 0;
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

/* Guards against cutting a stream that is slow but sound. */
TEST_F(BrokenAnswersTest, SlowStreamsAreNotCut)
{
	struct harness_process *p = start_all(1, 0, 1);
	TinyServer server([&](int fd, const std::string &request) {
		std::string id = request_id(request);

		if (request.rfind("POST", 0) != 0) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		TinyServer::send_bytes(fd, STREAM_HEAD + id + "\r\n\r\n");
		for (int k = 1; k <= 9; k++) {
			/* 0.9 of the silence after which an engine counts as lost. */
			usleep(270000);
			TinyServer::send_bytes(fd, chunk("id: " + std::to_string(k) + "\ndata: " +
							 id + "." + std::to_string(k) + "\n\n"));
		}
		TinyServer::send_bytes(fd, "0\r\n\r\n");
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
