#include <gtest/gtest.h>

#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <csignal>

#include "tiny_server.h"

extern "C" {
#include "ibisgate/common/clock.h"
#include "ibisgate/net/http_client.h"
#include "ibisgate/net/http_collect.h"
}

namespace
{

constexpr int READ_TIMEOUT_MS = 200;
/* In a case that is not about time, on a machine without free processors. */
constexpr int PATIENT_MS = 5000;

std::string request_id(const std::string &request)
{
	size_t at = request.find("X-Id: ");

	return request.substr(at + 6, request.find("\r\n", at) - at - 6);
}

std::string response(const std::string &id, const std::string &body)
{
	return "HTTP/1.1 200 OK\r\nX-Id: " + id +
	       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct answer {
	bool done = false;
	int status = 0;
	std::string body;
	enum http_failure failure = HTTP_FAILURE_CONNECT;
	int64_t took_ms = 0;
};

class HttpClient : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct http_client_options options = { 5000, 2, 2000 };

		signal(SIGPIPE, SIG_IGN);

		base = event_base_new();
		client = http_client_create(base, &options);
	}
	void TearDown() override
	{
		http_client_destroy(client);
		event_base_free(base);
	}
	void run_for(int ms)
	{
		struct timeval tv = { ms / 1000, ms % 1000 * 1000 };

		event_base_loopexit(base, &tv);
		event_base_dispatch(base);
	}
	struct answer fetch(const TinyServer &server, const std::string &id, int limit_ms = 3000,
			    int read_timeout_ms = READ_TIMEOUT_MS)
	{
		return exchange(server.port,
				"GET / HTTP/1.1\r\nHost: x\r\nX-Id: " + id + "\r\n\r\n", id,
				limit_ms, read_timeout_ms);
	}
	struct answer exchange(int port, const std::string &text, const std::string &id,
			       int limit_ms, int read_timeout_ms)
	{
		struct http_exchange_spec spec = {};
		struct answer out;
		int64_t from = clock_boot_ms();

		spec.to = { 0x7f000001, (uint16_t)port };
		spec.request = { text.data(), text.size() };
		spec.match_name = "X-Id";
		spec.match_value = { id.data(), id.size() };
		spec.connect_ms = std::max(1000, read_timeout_ms);
		spec.read_timeout_ms = read_timeout_ms;
		spec.body_max_bytes = 16 << 20;
		struct http_collect *call = http_collect_start(client, &spec, on_done, &out);
		while (!out.done && clock_boot_ms() - from < limit_ms)
			run_for(5);
		if (!out.done)
			http_collect_cancel(call);
		out.took_ms = clock_boot_ms() - from;
		return out;
	}
	static void on_done(void *ctx, const struct http_result *r)
	{
		struct answer *out = static_cast<struct answer *>(ctx);

		out->done = true;
		out->status = r->status;
		out->failure = r->failure;
		if (r->status)
			out->body.assign(r->body.data, r->body.len);
	}

	struct event_base *base = nullptr;
	struct http_client *client = nullptr;
};

/* Sends @text again and again until the client closes; returns the number of bytes sent. */
size_t send_endlessly(int fd, const std::string &text)
{
	int64_t until = clock_boot_ms() + 3000;
	size_t sent = 0;

	while (clock_boot_ms() < until) {
		ssize_t n = send(fd, text.data(), text.size(), MSG_NOSIGNAL);

		if (n <= 0)
			break;
		sent += (size_t)n;
	}
	return sent;
}

/* Value of an option of this process's connection to @port; -1 without one. */
int connection_option(int port, int level, int option)
{
	for (int fd = 3; fd < 1024; fd++) {
		struct sockaddr_in peer = {};
		socklen_t len = sizeof(peer);
		int value = -1;

		if (getpeername(fd, (struct sockaddr *)&peer, &len) < 0 ||
		    ntohs(peer.sin_port) != port)
			continue;
		len = sizeof(value);
		getsockopt(fd, level, option, &value, &len);
		return value;
	}
	return -1;
}

} // namespace

/*
 * Guards against the next request getting a second copy of an earlier answer that arrives late on a
 * connection in use again: before the request, between it and its answer, or after its answer.
 */
TEST_F(HttpClient, LateSecondCopiesAreNotTheNextAnswer)
{
	for (int when = 0; when < 4; when++) {
		std::string previous;
		TinyServer server([&](int fd, const std::string &request) {
			std::string id = request_id(request);
			std::string own = response(id, "answer " + id);

			if (when == 1 && !previous.empty())
				TinyServer::send_bytes(fd, previous);
			TinyServer::send_bytes(fd, own);
			if (when == 0)
				TinyServer::send_bytes(fd, own);
			if (when == 2 && !previous.empty())
				TinyServer::send_bytes(fd, previous);
			if (when == 3) {
				usleep(20000);
				TinyServer::send_bytes(fd, own);
			}
			previous = own;
			return true;
		});

		for (int i = 0; i < 8; i++) {
			std::string id = "r" + std::to_string(when * 10 + i);
			struct answer a = fetch(server, id, 2 * PATIENT_MS, PATIENT_MS);

			EXPECT_EQ(a.status, 200) << when << " " << id;
			EXPECT_EQ(a.body, "answer " + id) << when;
			run_for(i % 2 ? 40 : 0);
		}
	}
}

/* Guards against an answer that broke off being taken as complete. */
TEST_F(HttpClient, BrokenOffAnswersFail)
{
	static const char *const shapes[] = {
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 10\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
		"X-Trailer: t",
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 3\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
	};

	for (const char *shape : shapes) {
		TinyServer server([&](int fd, const std::string &) {
			TinyServer::send_bytes(fd, shape);
			return false;
		});
		struct answer a = fetch(server, "r");

		EXPECT_TRUE(a.done) << shape;
		EXPECT_EQ(a.status, 0) << shape;
	}
	/* Without a length, the end of the connection completes the answer, a reset doesn't. */
	for (bool reset : { false, true }) {
		TinyServer server([&](int fd, const std::string &) {
			TinyServer::send_bytes(fd, "HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\nabc");
			usleep(20000);
			if (reset)
				TinyServer::reset(fd);
			return false;
		});

		EXPECT_EQ(fetch(server, "r").status, reset ? 0 : 200);
	}
}

/*
 * Guards against MIXED: a worker answers a long upload without a length, and resets the connection
 * while the upload is still written. Part of the answer was taken for the whole.
 */
TEST_F(HttpClient, AnswersThatAreResetDuringTheUploadAreNotComplete)
{
	const std::string early = "HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\n" + std::string(4096, 'a');
	const std::string upload =
		"POST / HTTP/1.1\r\nHost: x\r\nX-Id: r\r\nContent-Length: 3000000\r\n\r\n" +
		std::string(3000000, 'u');

	for (int i = 0; i < 60; i++) {
		EarlyAnswerer server(EarlyAnswerer::Ending(i % 3), i * 5 / 3, early);
		struct answer a = exchange(server.port(), upload, "r", 2 * PATIENT_MS, PATIENT_MS);

		EXPECT_TRUE(a.done) << i;
		EXPECT_EQ(a.status, 0) << "ending " << i % 3 << " after " << i * 5 / 3 << " ms";
	}
	/* It has ended, although the upload was still on its way. */
	for (int ms : { 0, 30 }) {
		EarlyAnswerer server(EarlyAnswerer::END_AND_READ, ms, early);
		struct answer a = exchange(server.port(), upload, "r", 2 * PATIENT_MS, PATIENT_MS);

		EXPECT_EQ(a.status, 200) << ms;
		EXPECT_EQ(a.body.size(), 4096u) << ms;
	}
}

/* Guards against MIXED: numbers that are no status of HTTP were passed on, or waited for long. */
TEST_F(HttpClient, AnswersWithoutAStatusOfHttpFailAtOnce)
{
	for (const char *status : { "000", "0", "20", "099", "101", "600", "999", "1000", "-20" }) {
		TinyServer server([&](int fd, const std::string &) {
			TinyServer::send_bytes(fd, "HTTP/1.1 " + std::string(status) +
							   " X\r\nX-Id: r\r\n"
							   "Content-Length: 3\r\n\r\nabc");
			return true;
		});
		struct answer a = fetch(server, "r", 2 * PATIENT_MS, PATIENT_MS);

		EXPECT_TRUE(a.done) << status;
		EXPECT_EQ(a.status, 0) << status;
		EXPECT_EQ(a.failure, HTTP_FAILURE_MALFORMED) << status;
		EXPECT_LT(a.took_ms, PATIENT_MS / 2) << status;
	}
}

/* Guards against endless bytes that are no answer: each shape ends soon and in bounded memory. */
TEST_F(HttpClient, EndlessBytesEndTheExchange)
{
	const std::string start = "HTTP/1.1 200 OK\r\nX-Id: r\r\n";
	const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
	const std::string kib(1024, 'a');
	const std::string shapes[][2] = {
		{ "", kib },
		{ "HTTP/1.1 200 ", kib },
		{ start + "X-Long: ", kib },
		{ start, "X-Many: a\r\n" },
		{ "", "HTTP/1.1 102 Processing\r\n\r\n" },
		{ chunked + "3;x=", kib },
		{ chunked, std::string(1024, '0') },
		{ chunked + "0\r\nX-Trailer: ", kib },
		{ chunked + "0\r\n", "X-Trailer: a\r\n" },
		{ "", response("other", "late") },
		{ "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
		  "400\r\n" + kib + "\r\n" },
		{ chunked, "400\r\n" + kib + "\r\n" },
		{ start + "\r\n", kib },
		{ start + "Content-Length: 1000000000000\r\n\r\n", kib },
	};

	for (const auto &shape : shapes) {
		std::atomic<size_t> sent{ 0 };
		TinyServer server([&](int fd, const std::string &) {
			TinyServer::send_bytes(fd, shape[0]);
			sent = send_endlessly(fd, shape[1]);
			return false;
		});
		struct answer a = fetch(server, "r", 2500);

		EXPECT_TRUE(a.done) << shape[0] << shape[1].substr(0, 40);
		EXPECT_EQ(a.status, 0) << shape[0] << shape[1].substr(0, 40);
		server.stop();
		/* The limit of a body and what the sockets buffer. */
		EXPECT_LT(sent, (size_t)32 << 20) << shape[0] << shape[1].substr(0, 40);
	}
}

/* Guards against a server that keeps an exchange open with a byte now and then. */
TEST_F(HttpClient, TricklingBytesEndTheExchange)
{
	static const char *const starts[] = {
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 100000\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-Slow: ",
		"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 100000\r\n\r\n",
	};

	for (const char *start : starts) {
		std::atomic<bool> closed{ false };
		TinyServer server([&](int fd, const std::string &) {
			int64_t until = clock_boot_ms() + 3000;

			TinyServer::send_bytes(fd, start);
			while (!closed && clock_boot_ms() < until) {
				usleep(READ_TIMEOUT_MS * 250);
				closed = send(fd, "a", 1, MSG_NOSIGNAL) <= 0;
			}
			return false;
		});
		struct answer a = fetch(server, "r", 2500);

		EXPECT_TRUE(a.done) << start;
		EXPECT_EQ(a.status, 0) << start;
		EXPECT_LE(a.took_ms, 5 * READ_TIMEOUT_MS) << start;
	}
}

/* Guards against inc1: an abandoned request that TCP delivers once its path is back. */
TEST_F(HttpClient, AbandonedRequestsDoNotArriveLater)
{
	for (bool cancelled : { true, false }) {
		LateReader server;
		std::string text = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n" +
				   std::string(40000, 'x');
		struct http_exchange_spec spec = {};
		struct answer out;
		int error = 0;

		spec.to = { 0x7f000001, (uint16_t)server.port };
		spec.request = { text.data(), text.size() };
		spec.connect_ms = 1000;
		spec.read_timeout_ms = cancelled ? 5000 : READ_TIMEOUT_MS;
		struct http_collect *call = http_collect_start(client, &spec, on_done, &out);
		run_for(2 * READ_TIMEOUT_MS);
		EXPECT_EQ(out.done, !cancelled);
		if (cancelled)
			http_collect_cancel(call);
		/* The connection is closed by the event loop. */
		run_for(10);
		EXPECT_LT(server.read_all(&error), text.size()) << cancelled;
		EXPECT_EQ(error, ECONNRESET) << cancelled;
	}
}

/*
 * Guards against a request that the kernel gives up while the path is cut, and that the endpoint
 * gets once it is back: a connection that the kernel ends sends no reset.
 */
TEST_F(HttpClient, TheKernelGivesNoConnectionUpWhereOwnersEndTheirExchanges)
{
	for (int user_timeout_ms : { 2000, 0 }) {
		struct http_client_options options = { 5000, 2, user_timeout_ms };
		TinyServer server([](int fd, const std::string &request) {
			TinyServer::send_bytes(fd, response(request_id(request), "ok"));
			return true;
		});

		http_client_destroy(client);
		client = http_client_create(base, &options);
		ASSERT_EQ(fetch(server, "a", 3000, PATIENT_MS).status, 200);
		EXPECT_EQ(connection_option(server.port, IPPROTO_TCP, TCP_NODELAY), 1);
		EXPECT_EQ(connection_option(server.port, SOL_SOCKET, SO_KEEPALIVE),
			  user_timeout_ms ? 1 : 0);
		EXPECT_EQ(connection_option(server.port, IPPROTO_TCP, TCP_USER_TIMEOUT),
			  user_timeout_ms);
	}
}
