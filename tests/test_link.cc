#include <curl/curl.h>
#include <dlfcn.h>
#include <gtest/gtest.h>

#include <random>

#include "eventually.h"
#include "tiny_server.h"

extern "C" {
#include "ibisgate/common/clock.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/net/link.h"
#include "ibisgate/net/sse.h"
}

namespace
{

/* For as long, a link's thread stops once between reading the sockets and what follows, in ms. */
std::atomic<int> stop_after_read_ms{ 0 };
/* Waits of the links' threads. */
std::atomic<int> waits{ 0 };

template <typename Function> Function *next_function(const char *name)
{
	return reinterpret_cast<Function *>(dlsym(RTLD_NEXT, name));
}

} // namespace

/* These take the place of libcurl's and call them. */
extern "C" {

CURLMsg *curl_multi_info_read(CURLM *multi, int *left)
{
	static auto *next = next_function<decltype(curl_multi_info_read)>("curl_multi_info_read");
	int stop_ms = stop_after_read_ms.exchange(0);

	if (stop_ms)
		clock_sleep_ms(stop_ms);
	return next(multi, left);
}

CURLMcode curl_multi_poll(CURLM *multi, struct curl_waitfd *fds, unsigned int count, int timeout_ms,
			  int *ready)
{
	static auto *next = next_function<decltype(curl_multi_poll)>("curl_multi_poll");

	waits++;
	return next(multi, fds, count, timeout_ms, ready);
}
}

namespace
{

struct FetchResult {
	bool ok = false;
	int status = 0;
	std::string body;
	link_event failed = {};
};

/* Limit of silence of a case that is not about silence, on a machine without free processors. */
constexpr int64_t PATIENT_MS = 4500;

struct Link : testing::Test {
	link_options options = { 2, 300 };
	struct link *l = link_create(&options, nullptr);

	~Link() override
	{
		link_destroy(l);
	}
	FetchResult fetch(const std::string &url, int64_t silence_ms = 500, bool fresh = false,
			  const char *address = nullptr, const std::string &upload = "{}")
	{
		link_request r = {};
		buf body = {};
		FetchResult out;

		r.url = url.c_str();
		r.address = address;
		r.body = { upload.data(), upload.size() };
		r.silence_ms = silence_ms;
		r.fresh_connection = fresh;
		out.ok = link_fetch(l, &r, 5000, &out.status, &body, &out.failed) == 0;
		out.body.assign(body.data ? body.data : "", body.len);
		buf_free(&body);
		return out;
	}
};

bool ok_handler(int fd, const std::string &)
{
	TinyServer::send_response(fd, 200, "yes");
	return true;
}

/*
 * Guards against a part of an answer that is taken for the whole: the endpoint answers a long
 * upload without a length, and resets the connection while the upload is still written.
 */
TEST_F(Link, AnswersThatAreResetDuringTheUploadAreNotComplete)
{
	const std::string early = "HTTP/1.1 200 OK\r\n\r\n" + std::string(4096, 'a');
	const std::string upload(3000000, 'u');

	for (int i = 0; i < 60; i++) {
		EarlyAnswerer server(EarlyAnswerer::Ending(i % 3), i * 5 / 3, early);
		std::string url = "http://127.0.0.1:" + std::to_string(server.port());
		FetchResult r = fetch(url, PATIENT_MS, false, nullptr, upload);

		EXPECT_FALSE(r.ok) << "ending " << i % 3 << " after " << i * 5 / 3 << " ms";
	}
}

/* Guards against numbers that are no status of HTTP, passed on as one. */
TEST_F(Link, AnswersWithoutAStatusOfHttpFail)
{
	for (const char *status : { "000", "099", "101", "600", "999" }) {
		TinyServer s([&](int fd, const std::string &) {
			TinyServer::send_bytes(fd, "HTTP/1.1 " + std::string(status) +
							   " X\r\nContent-Length: 3\r\n\r\nabc");
			return true;
		});
		FetchResult r = fetch(s.url());

		EXPECT_FALSE(r.ok) << status << " " << r.status;
	}
}

/* Guards against denying a safe retry: a refused connection cannot have carried the request. */
TEST_F(Link, RefusedConnectionReportsRequestNotSent)
{
	TinyServer s(ok_handler);
	std::string url = s.url();

	s.stop();
	FetchResult r = fetch(url);
	EXPECT_FALSE(r.ok);
	EXPECT_EQ(r.failed.failure, LINK_CONNECT_FAILED);
	EXPECT_EQ(r.failed.sent, SENT_NO);
	EXPECT_TRUE(r.failed.refused);
}

/* Guards against reporting "not sent" for a request that the endpoint read before the reset. */
TEST_F(Link, ResetAfterRequestReportsMaybeSent)
{
	TinyServer s([](int fd, const std::string &) {
		TinyServer::reset(fd);
		return false;
	});
	/* On a busy machine the server may need longer than the default limit of silence. */
	FetchResult r = fetch(s.url(), 5000);

	EXPECT_FALSE(r.ok);
	EXPECT_EQ(r.failed.failure, LINK_RESET);
	EXPECT_EQ(r.failed.sent, SENT_MAYBE);
}

/* Guards against libcurl resending a request on its own when a reused connection is dead. */
TEST_F(Link, RequestIsNotResentWhenPooledConnectionIsDead)
{
	std::atomic<int> seen{ 0 };
	TinyServer s([&](int fd, const std::string &) {
		if (++seen == 1) {
			TinyServer::send_response(fd, 200, "yes");
			return true;
		}
		TinyServer::reset(fd);
		return false;
	});

	ASSERT_TRUE(fetch(s.url()).ok);
	FetchResult r = fetch(s.url());
	EXPECT_FALSE(r.ok);
	EXPECT_EQ(r.failed.sent, SENT_MAYBE);
	clock_sleep_ms(50);
	EXPECT_EQ(seen, 2);
}

/* Guards against a new connection per request, and against reuse despite the fresh option. */
TEST_F(Link, ConnectionsAreReusedUnlessFresh)
{
	TinyServer s(ok_handler);

	for (int i = 0; i < 5; i++)
		ASSERT_TRUE(fetch(s.url()).ok);
	EXPECT_EQ(s.connections, 1);
	ASSERT_TRUE(fetch(s.url(), 500, true).ok);
	EXPECT_EQ(s.connections, 2);
}

/* Guards against waiting for a connection that went silent, and against reusing it. */
TEST_F(Link, SilentConnectionIsClosedAndNotReused)
{
	std::atomic<int> n{ 0 };
	TinyServer s([&](int fd, const std::string &) {
		if (++n == 2)
			TinyServer::send_bytes(fd,
					       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
		else
			TinyServer::send_response(fd, 200, "yes");
		return true;
	});
	int64_t closed = metric_get(METRIC_SILENT_CLOSED);

	ASSERT_TRUE(fetch(s.url(), PATIENT_MS).ok);
	int waits_before = waits;
	int64_t start = clock_boot_ms();
	FetchResult r = fetch(s.url(), 200);
	EXPECT_FALSE(r.ok);
	EXPECT_EQ(r.failed.failure, LINK_SILENT);
	EXPECT_EQ(metric_get(METRIC_SILENT_CLOSED), closed + 1);
	EXPECT_GE(clock_boot_ms() - start, 200);
	/*
	 * The busy loop waits for up to 50 ms at a time, the idle one for 500 ms, so that these are
	 * less than 1.5 s for a thread that gets a processor when it is due.
	 */
	EXPECT_LE(waits - waits_before, 20);
	ASSERT_TRUE(fetch(s.url(), PATIENT_MS).ok);
	EXPECT_EQ(s.connections, 2);
}

/*
 * Guards against a thread that gets no processor taking its own delay for the endpoint's silence:
 * the answer is there, only not read yet.
 */
TEST_F(Link, AnswerDuringADelayOfTheThreadIsNotSilence)
{
	std::atomic<bool> arrived{ false };
	TinyServer s([&](int fd, const std::string &) {
		stop_after_read_ms = 800;
		TinyServer::send_bytes(fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc");
		while (stop_after_read_ms)
			usleep(1000);
		TinyServer::send_bytes(fd, "def");
		arrived = true;
		return true;
	});
	FetchResult r = fetch(s.url(), 400);

	EXPECT_TRUE(arrived);
	EXPECT_TRUE(r.ok);
	EXPECT_EQ(r.body, "abcdef");
}

/* Guards against closing a slow stream as silent although it sends comment lines as heartbeats. */
TEST_F(Link, CommentLinesResetTheSilenceLimit)
{
	TinyServer s([](int fd, const std::string &) {
		TinyServer::send_bytes(fd, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
		for (int i = 0; i < 8; i++) {
			usleep(100000);
			TinyServer::send_bytes(fd, ": hb\n\n");
		}
		TinyServer::send_bytes(fd, "data: x\n\n");
		return false;
	});
	FetchResult r = fetch(s.url(), 300);

	EXPECT_TRUE(r.ok);
	EXPECT_NE(r.body.find("data: x"), std::string::npos);
}

/* Guards against delivering late events of an abandoned attempt to the reader of the next one. */
TEST_F(Link, EventsOfAnEarlierAttemptAreDropped)
{
	TinyServer s([](int fd, const std::string &request) {
		if (request.find("GET /slow") == 0)
			usleep(150000);
		TinyServer::send_response(fd, 200, request.substr(4, 5));
		return true;
	});
	link_queue *q = link_queue_create();
	link_request r = {};
	std::string slow = s.url() + "/slow";
	std::string fast = s.url() + "/fast";
	int64_t dropped = metric_get(METRIC_STALE_DROPPED);
	link_event ev = {};
	std::string body;
	uint64_t id;

	bool ended = false;

	r.silence_ms = PATIENT_MS;
	r.url = slow.c_str();
	link_start(l, q, &r);
	r.url = fast.c_str();
	id = link_start(l, q, &r);
	/* Until both answers have come, and for 500 ms without any event after them. */
	int64_t until = clock_boot_ms() + PATIENT_MS;
	while (clock_boot_ms() < until) {
		bool both = ended && metric_get(METRIC_STALE_DROPPED) > dropped;

		if (!link_wait(q, &ev, clock_boot_ms() + (both ? 500 : 20))) {
			if (both)
				break;
			continue;
		}
		EXPECT_EQ(ev.attempt, id);
		ended = ended || (ev.attempt == id && ev.kind == LINK_END);
		body.append(ev.data.data ? ev.data.data : "", ev.data.len);
		link_event_clear(&ev);
	}
	EXPECT_TRUE(ended);
	EXPECT_EQ(body, "/fast");
	EXPECT_GT(metric_get(METRIC_STALE_DROPPED), dropped);
	link_queue_destroy(q);
}

/* Guards against connecting to the host of the URL when an address override is set. */
TEST_F(Link, AddressOverrideIsUsed)
{
	TinyServer s(ok_handler);
	std::string address = "127.0.0.1:" + std::to_string(s.port);

	EXPECT_TRUE(fetch("http://127.0.0.1:1/x", PATIENT_MS, false, address.c_str()).ok);
	EXPECT_EQ(s.requests, 1);
}

/* Guards against memory that grows with headers or a body without end. */
TEST_F(Link, EndlessBytesEndTheTransfer)
{
	const std::string shapes[][2] = {
		{ "HTTP/1.1 200 OK\r\n", "X-Many: " + std::string(1000, 'a') + "\r\n" },
		{ "", "HTTP/1.1 102 Processing\r\n\r\n" },
		{ "HTTP/1.1 200 OK\r\n\r\n", std::string(65536, 'a') },
		{ "HTTP/1.1 500 X\r\nContent-Length: 1000000000000\r\n\r\n",
		  std::string(65536, 'a') },
	};

	/* What the kernel may hold of it on both sides. */
	const size_t kernel_bytes = 64 << 20;

	for (const auto &shape : shapes) {
		std::atomic<size_t> sent{ 0 };
		std::atomic<bool> cut{ false };
		TinyServer s([&](int fd, const std::string &) {
			int64_t until = clock_boot_ms() + 30000;

			TinyServer::send_bytes(fd, shape[0]);
			while (clock_boot_ms() < until && !cut) {
				ssize_t n =
					send(fd, shape[1].data(), shape[1].size(), MSG_NOSIGNAL);

				cut = n <= 0;
				sent += n > 0 ? (size_t)n : 0;
			}
			return false;
		});
		FetchResult r = fetch(s.url());

		EXPECT_FALSE(r.ok) << shape[0];
		EXPECT_LE(r.body.size(), (size_t)LINK_BODY_MAX_BYTES) << shape[0];
		EXPECT_TRUE(eventually([&] { return cut.load(); }, 5000)) << shape[0];
		EXPECT_LE(sent, (size_t)LINK_BODY_MAX_BYTES + kernel_bytes) << shape[0];
	}
}

/* Guards against splitting, merging or losing events when a chunk ends at an arbitrary byte. */
TEST(Sse, EventsDoNotDependOnChunkBoundaries)
{
	const std::string wire =
		": hb\n\ndata: one\n\ndata: two\r\ndata: more\r\n\r\nevent: x\nid: 3\n"
		"data:three\r\r: c\n\n\n\ndata\ndata: [DONE]\n\n";
	const std::vector<std::string> expected = { "one", "two\nmore", "three", "[DONE]" };
	unsigned seed = std::random_device{}();
	std::mt19937 rng(seed);

	for (int round = 0; round < 500; round++) {
		std::vector<std::string> got;
		sse p = {};
		str data;

		for (size_t at = 0; at < wire.size();) {
			size_t n = std::min<size_t>(1 + rng() % 7, wire.size() - at);

			/* A copy of the exact size lets a sanitizer detect reads past its end. */
			std::string part = wire.substr(at, n);
			sse_feed(&p, { part.data(), part.size() });
			at += n;
			while (sse_next(&p, &data) == 1)
				got.emplace_back(data.data, data.len);
		}
		ASSERT_EQ(got, expected) << "seed " << seed;
		sse_free(&p);
	}
}

/*
 * Guards against work that grows with the square of a line's length: a line that never ends would
 * hold up the thread that reads it.
 */
TEST(Sse, EachByteOfAnUnfinishedLineIsReadOnce)
{
	struct sse sse = {};
	std::string text(900000, 'a');
	struct str event;
	int64_t from = clock_boot_ms();

	sse_feed(&sse, str{ text.data(), text.size() });
	for (int i = 0; i < 20000; i++) {
		sse_feed(&sse, str{ "a", 1 });
		ASSERT_EQ(sse_next(&sse, &event), 0);
	}
	EXPECT_LT(clock_boot_ms() - from, 2000);
	sse_feed(&sse, str{ "\ndata: x\r\n\r\n\n", 13 });
	ASSERT_EQ(sse_next(&sse, &event), 1);
	EXPECT_TRUE(str_eq_cstr(event, "x"));
	sse_free(&sse);
}

/* Guards against unbounded memory use for a stream without line ends. */
TEST(Sse, UnterminatedEventIsAnError)
{
	std::string part(65536, 'x');
	sse p = {};
	str data;
	int rc = 0;

	for (int i = 0; i < 40 && rc == 0; i++) {
		sse_feed(&p, { part.data(), part.size() });
		rc = sse_next(&p, &data);
	}
	EXPECT_EQ(rc, -1);
	sse_free(&p);
}

/* Guards against inc1 in this protocol: an abandoned request that TCP delivers later. */
TEST_F(Link, AbandonedRequestsDoNotArriveLater)
{
	LateReader server;
	std::string url = "http://127.0.0.1:" + std::to_string(server.port);
	std::string body(40000, 'x');
	link_request r = {};
	link_queue *q = link_queue_create();
	int error = 0;

	r.url = url.c_str();
	r.body = { body.data(), body.size() };
	r.silence_ms = 5000;
	uint64_t id = link_start(l, q, &r);
	usleep(300000);
	link_cancel(l, q, id);
	usleep(100000);
	EXPECT_LT(server.read_all(&error), body.size());
	EXPECT_EQ(error, ECONNRESET);
	link_queue_destroy(q);
}

} // namespace
