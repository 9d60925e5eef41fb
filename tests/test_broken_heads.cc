#include "entry_fixture.h"

#include <map>
#include <mutex>
#include <thread>

#include "tiny_server.h"

/* Two endpoints that the test plays byte by byte: what each request gets first, and then. */
class BrokenHeadsTest : public EntryTest
{
      protected:
	struct Play {
		std::string first;
		std::string then;
	};

	/* Sends the answer of @play and closes the connection. */
	bool answer(int fd, const std::string &request)
	{
		std::string id = field_value(request, "X-Ibisgate-Request-Id");
		std::lock_guard<std::mutex> g(lock);

		if (id.empty()) {
			TinyServer::send_response(fd, 404, "");
			return true;
		}
		TinyServer::send_bytes(fd, with_id(arrivals[id]++ ? play.then : play.first, id));
		return false;
	}
	/* Replaces two engines, or two plain endpoints, by servers of this test. */
	void start_played(bool engines)
	{
		start_grid(2, 0, 2);
		put_config(config_json(1));
		servers.clear();
		for (const char *id : { engines ? "e0" : "s0", engines ? "e1" : "s1" }) {
			servers.push_back(std::make_unique<TinyServer>(
				[this](int fd, const std::string &r) { return answer(fd, r); }));
			move_endpoint(id, servers.back()->port);
		}
	}
	/* Answers to one request, from an instance that knows nothing of earlier failures. */
	Response play_request(const Play &plays, const std::string &text,
			      std::string *bytes = nullptr)
	{
		struct harness_process *p = start_instance(instances++);

		if (!eventually([&] { return ready_status(p) == 200; }, 5000)) {
			ADD_FAILURE() << "the instance did not become ready";
			return Response();
		}
		set_play(plays);
		Caller c(harness_process_port(p, "http"), process_ip(p).c_str());
		c.send_text(text);
		Response a = c.read_response();
		if (bytes)
			*bytes = (a.complete ? a.head + a.body : "") + c.received;
		/* A planned stop would take seconds. */
		harness_process_signal(p, SIGKILL);
		harness_process_wait(p, 2000);
		return a;
	}
	void set_play(const Play &p)
	{
		std::lock_guard<std::mutex> g(lock);

		play = p;
	}
	int arrivals_of(const std::string &id)
	{
		std::lock_guard<std::mutex> g(lock);

		return arrivals[id];
	}

	std::mutex lock;
	Play play;
	std::map<std::string, int> arrivals;
	std::vector<std::unique_ptr<TinyServer>> servers;
	int instances = 0;
};

#define SIGNED "X-Ibisgate-Request-Id: $ID\r\nX-Ibisgate-Server-Signature: s\r\n"
#define STREAM_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" SIGNED
#define EVENTS "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"

/*
 * Guards against ORDER and MIXED: a stream breaks off, and the error of the next engine becomes a
 * part of it, or its end.
 */
TEST_F(BrokenHeadsTest, ErrorsOfTheNextEngineAreNotPartOfTheStream)
{
	start_played(true);
	const std::string broken = STREAM_HEAD "Transfer-Encoding: chunked\r\n\r\n"
					       "2a\r\n" EVENTS "id: 3\nda\r\n";

	for (const char *error :
	     { "HTTP/1.1 500 Oops\r\n" SIGNED "Content-Length: 13\r\n\r\nerror-of-next",
	       "HTTP/1.1 404 No\r\n" SIGNED "Content-Length: 13\r\n\r\nerror-of-next",
	       "HTTP/1.1 503 Full\r\n" SIGNED "Content-Length: 13\r\n\r\nerror-of-next",
	       "HTTP/1.1 500 Oops\r\nContent-Length: 13\r\n\r\nerror-of-next",
	       "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nerror-of-next",
	       "HTTP/1.1 200 OK\r\n" SIGNED "Content-Encoding: gzip\r\nContent-Length: 13\r\n\r\n"
	       "error-of-next",
	       "HTTP/1.1 500 Oops\r\n" SIGNED "\r\nerror-of-next" }) {
		std::string bytes;
		Response a =
			play_request({ broken, error }, generation_text("stream/x", 6), &bytes);

		EXPECT_EQ(arrivals_of(last_id()), 2) << error;
		EXPECT_EQ(a.status, 200) << error;
		EXPECT_FALSE(a.complete) << error;
		EXPECT_TRUE(a.closed) << error;
		EXPECT_NE(bytes.find("data: two"), std::string::npos) << error;
		EXPECT_EQ(bytes.find("error-of-next"), std::string::npos) << error;
		EXPECT_EQ(bytes.find("HTTP/1.1 ", 8), std::string::npos) << error;
	}
}

/* Guards against MIXED: an answer that ends inside its head becomes a success without a body. */
TEST_F(BrokenHeadsTest, AnswersThatEndInsideTheirHeadAreNotSuccesses)
{
	const std::string call = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" SIGNED
				 "Content-Length: 13\r\n\r\n";
	const std::string stream = STREAM_HEAD "Transfer-Encoding: chunked\r\n\r\n";

	for (bool engines : { false, true }) {
		const std::string &head = engines ? stream : call;

		start_played(engines);
		/* At each line's end and in the middle of each line. */
		for (size_t at = 1; at < head.size(); at += 9) {
			Response a = play_request({ head.substr(0, at), head.substr(0, at) },
						  engines ? generation_text("once/x")
							  : request_text("order/x"));
			EXPECT_TRUE(a.status == 502 || a.status == 504) << at << " " << a.status;
			EXPECT_EQ(arrivals_of(last_id()), 1) << at;
		}
	}
}

/*
 * Guards against REFUSED and TWICE: a faulty endpoint writes an earlier refusal again, or one
 * without an id, where the answer to a request is due.
 */
TEST_F(BrokenHeadsTest, RefusalsOfOtherRequestsAreNotBelieved)
{
	for (bool engines : { false, true }) {
		start_played(engines);
		for (const char *refusal :
		     { "HTTP/1.1 503 Full\r\nX-Ibisgate-Request-Id: another\r\n"
		       "X-Ibisgate-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		       "HTTP/1.1 503 Full\r\nX-Ibisgate-Not-Executed: 1\r\nContent-Length: "
		       "0\r\n\r\n",
		       "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
		       "HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n",
		       "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n" }) {
			Response a = play_request({ refusal, refusal },
						  engines ? generation_text("once/x")
							  : request_text("order/x"));
			EXPECT_EQ(a.status, 502) << refusal << a.head;
			EXPECT_EQ(arrivals_of(last_id()), 1) << refusal;
		}
	}
}

/*
 * An answer may have neither a length nor chunks and end with its connection. One that is reset, or
 * a stream that ends inside an event, has been broken off.
 */
TEST_F(BrokenHeadsTest, UnframedStreamsEndWithTheirConnection)
{
	start_played(true);
	Response a = play_request({ STREAM_HEAD "\r\n" EVENTS, "" }, generation_text("once/x", 2));
	EXPECT_EQ(a.status, 200);
	EXPECT_TRUE(a.complete);
	EXPECT_EQ(a.body, EVENTS);
	a = play_request({ STREAM_HEAD "\r\n" EVENTS "id: 3\nda", "" },
			 generation_text("once/x", 3));
	EXPECT_FALSE(a.complete);
	/* A resumable one goes on elsewhere. */
	a = play_request(
		{ STREAM_HEAD "\r\n" EVENTS "id: 3\nda", STREAM_HEAD "\r\nid: 3\ndata: three\n\n" },
		generation_text("stream/x", 3));
	EXPECT_TRUE(a.complete);
	EXPECT_EQ(a.body, EVENTS "id: 3\ndata: three\n\n");
}
