#include "played_endpoint.h"

/*
 * Answers that have no body, whatever their heads announce (RFC 9110, 9.3.2 and 15.3.5, 15.4.5):
 * the next answer on the connection follows the head.
 */
class BodilessTest : public PlayedEndpointTest
{
      protected:
	/* One endpoint of the service answers with @answer; $ID is the id of the request. */
	void start(const std::string &answer)
	{
		process = start_all(1, 0, 1);
		server = std::make_unique<TinyServer>([this](int fd, const std::string &request) {
			std::string id = request_id(request);
			bool is_get = request.rfind("GET /", 0) == 0;

			if (id.empty())
				TinyServer::send_response(fd, 404, "");
			else
				TinyServer::send_bytes(fd,
						       with_id(is_get ? get_answer : played, id));
			return true;
		});
		played = answer;
		replace_endpoint("s0", *server);
		c = std::make_unique<Caller>(harness_process_port(process, "http"),
					     process_ip(process).c_str());
	}
	/* Sends a request whose answer is a head only; returns it, and leaves what follows unread.
	 */
	std::string head_of(const std::string &text)
	{
		c->received.clear();
		c->send_text(text);
		EXPECT_TRUE(c->wait_for_text("\r\n\r\n", 2000)) << c->received;
		size_t end = c->received.find("\r\n\r\n");
		if (end == std::string::npos)
			return "";
		std::string head = c->received.substr(0, end + 4);
		c->received.erase(0, end + 4);
		return head;
	}
	/* Bytes of a body would stand before it. */
	void expect_next_answer()
	{
		c->send_text(request_text("peek/x", "GET"));
		Response a = c->read_response(2000);

		EXPECT_EQ(a.status, 200) << a.head;
		EXPECT_EQ(a.body, "own answer") << a.head;
	}

	const std::string get_answer = "HTTP/1.1 200 OK\r\nX-Ibisgate-Request-Id: "
				       "$ID\r\nX-Ibisgate-Server-Signature: s\r\n"
				       "Content-Length: 10\r\n\r\nown answer";
	std::string played;
	struct harness_process *process = nullptr;
	std::unique_ptr<TinyServer> server;
	std::unique_ptr<Caller> c;
};

#define SIGNED "X-Ibisgate-Request-Id: $ID\r\nX-Ibisgate-Server-Signature: s\r\n"

/* Guards against MIXED: a body of the instance's own answer to HEAD, read as the next answer. */
TEST_F(BodilessTest, OwnAnswersToHeadHaveNoBody)
{
	start("");
	std::string head = head_of(request_text("none/x", "HEAD"));

	EXPECT_EQ(head.compare(0, 13, "HTTP/1.1 404 "), 0) << head;
	expect_next_answer();
}

/* Guards against an answer to HEAD that is waited for until the time limit, as if it had a body. */
TEST_F(BodilessTest, EndpointsAnswersToHeadHaveNoBody)
{
	start("HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 10\r\n\r\n");
	std::string head = head_of(request_text("peek/x", "HEAD"));

	EXPECT_EQ(head.compare(0, 13, "HTTP/1.1 200 "), 0) << head;
	EXPECT_NE(head.find("\r\nContent-Length: 10\r\n"), std::string::npos) << head;
	expect_next_answer();
	played = "HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n";
	head = head_of(request_text("peek/x", "HEAD"));
	EXPECT_EQ(head.compare(0, 13, "HTTP/1.1 200 "), 0) << head;
	expect_next_answer();
	played = "HTTP/1.1 500 Oops\r\n" SIGNED "Content-Length: 5\r\n\r\n";
	head = head_of(request_text("order/x", "HEAD"));
	EXPECT_EQ(head.compare(0, 13, "HTTP/1.1 500 "), 0) << head;
	expect_next_answer();
}

/* Guards against a body after a status that has none, read as the next answer. */
TEST_F(BodilessTest, StatusesWithoutABodyHaveNone)
{
	start("");
	for (const char *status : { "204 No Content", "304 Not Modified" }) {
		played = "HTTP/1.1 " + std::string(status) +
			 "\r\n" SIGNED "Content-Length: 7\r\n\r\nnothing";
		std::string head = head_of(request_text("order/x"));

		EXPECT_EQ(head.compare(9, 3, std::string(status).substr(0, 3)), 0) << head;
		expect_next_answer();
	}
}
