#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "ibisgate/net/http_message.h"
}

namespace
{

struct recorded_message {
	int heads = 0;
	int ends = 0;
	int status = 0;
	std::string target;
	std::string body;
};

int on_head(void *ctx, const struct http_head *head)
{
	struct recorded_message *s = static_cast<struct recorded_message *>(ctx);

	s->heads++;
	s->status = head->status;
	s->target.assign(head->target.data ? head->target.data : "", head->target.len);
	return 0;
}

void on_body(void *ctx, struct str bytes)
{
	static_cast<struct recorded_message *>(ctx)->body.append(bytes.data, bytes.len);
}

void on_end(void *ctx)
{
	static_cast<struct recorded_message *>(ctx)->ends++;
}

const struct http_reader_ops ops = { on_head, on_body, on_end };

/* Feeds @text in chunks of @chunk_size bytes, up to the end of one message; false on a fault. */
bool feed(struct http_reader *r, const std::string &text, size_t chunk_size,
	  size_t *consumed = nullptr)
{
	size_t offset = 0;

	while (offset < text.size() && !r->is_complete) {
		size_t n = std::min(chunk_size, text.size() - offset);
		int64_t fed = http_reader_feed(r, str{ text.data() + offset, n });

		if (fed < 0)
			return false;
		offset += (size_t)fed;
	}
	if (consumed)
		*consumed = offset;
	return true;
}

enum http_fault fault_of(const std::string &text, size_t head_max = 0)
{
	struct recorded_message s;
	struct http_reader r;

	http_reader_init(&r, HTTP_MESSAGE_REQUEST, head_max, &ops, &s);
	feed(&r, text, text.size());
	enum http_fault f = r.fault;
	http_reader_free(&r);
	return f;
}

} // namespace

/*
 * Guards against DENIED: a request that offers another protocol, as some clients do on each new
 * connection, was malformed if its body came in a read of its own (RFC 9110, 7.8).
 */
TEST(HttpMessage, OfferedProtocolsAreIgnored)
{
	const std::string text =
		"POST /a HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\n"
		"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\nContent-Length: 5\r\n\r\nhello";

	for (size_t chunk_size = 1; chunk_size <= text.size(); chunk_size++) {
		struct recorded_message s;
		struct http_reader r;

		http_reader_init(&r, HTTP_MESSAGE_REQUEST, 0, &ops, &s);
		EXPECT_TRUE(feed(&r, text, chunk_size)) << chunk_size;
		EXPECT_EQ(s.body, "hello") << chunk_size;
		EXPECT_EQ(s.ends, 1) << chunk_size;
		EXPECT_TRUE(r.head.keep_alive) << chunk_size;
		http_reader_free(&r);
	}
}

/* Guards against bytes that are lost or parsed twice when a message arrives in several reads. */
TEST(HttpMessage, ParsesTheSameMessageForEveryChunkSize)
{
	std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
			   "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\nGET /next HTTP/1.1\r\n\r\n";

	for (size_t chunk_size = 1; chunk_size < text.size(); chunk_size++) {
		struct recorded_message s;
		struct http_reader r;
		size_t consumed = 0;

		http_reader_init(&r, HTTP_MESSAGE_REQUEST, 0, &ops, &s);
		ASSERT_TRUE(feed(&r, text, chunk_size, &consumed));
		EXPECT_EQ(s.body, "hello world");
		EXPECT_EQ(s.target, "/a/b?c=d");
		EXPECT_EQ(s.ends, 1);
		EXPECT_EQ(text.substr(consumed), "GET /next HTTP/1.1\r\n\r\n");
		http_reader_next(&r);
		ASSERT_TRUE(feed(&r, text.substr(consumed), chunk_size));
		EXPECT_EQ(s.target, "/next");
		EXPECT_EQ(s.ends, 2);
		http_reader_free(&r);
	}
}

/* Guards against request smuggling by framing that two recipients parse differently. */
TEST(HttpMessage, ConflictingFramingIsRejected)
{
	std::vector<std::string> heads = {
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
		"Content-Length: 5\r\nContent-Length: 6\r\n",
		"Content-Length: 5\r\nContent-Length: 5\r\n",
		"Transfer-Encoding: xchunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
		"Transfer-Encoding: chunked, gzip\r\n",
		"Transfer-Encoding : chunked\r\n",
		"Content-Length: -1\r\n",
	};

	for (const std::string &h : heads) {
		std::string text = "POST / HTTP/1.1\r\nHost: x\r\n" + h + "\r\n0\r\n\r\n";

		EXPECT_NE(fault_of(text), HTTP_FAULT_NONE) << h;
	}
	EXPECT_EQ(fault_of("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"), HTTP_FAULT_NONE);
}

/* Guards against a head that uses memory without limit. */
TEST(HttpMessage, OversizedHeadIsRejected)
{
	std::string big(2000, 'x');

	EXPECT_EQ(fault_of("GET / HTTP/1.1\r\nA: " + big + "\r\n\r\n", 1000), HTTP_FAULT_HEAD_SIZE);
	EXPECT_EQ(fault_of("GET /" + big + " HTTP/1.1\r\n\r\n", 1000), HTTP_FAULT_HEAD_SIZE);
	EXPECT_EQ(fault_of("GET / HTTP/1.1\r\nA: " + big + "\r\n\r\n", 4000), HTTP_FAULT_NONE);
	std::string many = "GET / HTTP/1.1\r\n";
	for (int i = 0; i <= HTTP_FIELDS_MAX; i++)
		many += "A: b\r\n";
	EXPECT_EQ(fault_of(many + "\r\n"), HTTP_FAULT_HEAD_SIZE);
}

/* Guards against a truncated response that is treated as a complete one. */
TEST(HttpMessage, EofCompletesOnlyAResponseWithoutLength)
{
	struct {
		std::string text;
		bool complete;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\n\r\nabc", true },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false },
		{ "HTTP/1.1 200 OK\r\nContent-", false },
		{ "", false },
	};

	for (const auto &c : cases) {
		struct recorded_message s;
		struct http_reader r;

		http_reader_init(&r, HTTP_MESSAGE_RESPONSE, 0, &ops, &s);
		ASSERT_TRUE(feed(&r, c.text, c.text.size() ? c.text.size() : 1));
		EXPECT_EQ(http_reader_eof(&r), c.complete) << c.text;
		EXPECT_EQ(s.ends, c.complete ? 1 : 0);
		http_reader_free(&r);
	}
}

/* Guards against hop-by-hop fields that are forwarded to the next hop. */
TEST(HttpMessage, HopByHopFieldsAreRecognised)
{
	struct recorded_message s;
	struct http_reader r;

	http_reader_init(&r, HTTP_MESSAGE_REQUEST, 0, &ops, &s);
	ASSERT_TRUE(feed(&r,
			 "GET / HTTP/1.1\r\nConnection: close, X-Private\r\nX-Private: 1\r\n"
			 "Keep-Alive: timeout=5\r\nX-Kept: 2\r\nTE: trailers\r\n\r\n",
			 1000));
	std::vector<bool> expected = { true, true, true, false, true };
	ASSERT_EQ(r.head.count, 5);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(http_field_is_hop_by_hop(&r.head, i), expected[(size_t)i]) << i;
	struct str value;
	EXPECT_TRUE(http_head_find(&r.head, "x-kept", &value));
	EXPECT_EQ(http_head_i64(&r.head, "X-Kept", 0), 2);
	EXPECT_EQ(http_head_i64(&r.head, "Keep-Alive", 7), 7);
	http_reader_free(&r);
}
