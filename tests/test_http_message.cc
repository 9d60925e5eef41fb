#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "ibisgate/net/http_message.h"
}

namespace
{

struct seen {
	int heads = 0;
	int ends = 0;
	int status = 0;
	std::string target;
	std::string body;
};

int on_head(void *ctx, const struct http_head *head)
{
	struct seen *s = static_cast<struct seen *>(ctx);

	s->heads++;
	s->status = head->status;
	s->target.assign(head->target.data ? head->target.data : "", head->target.len);
	return 0;
}

void on_body(void *ctx, struct str bytes)
{
	static_cast<struct seen *>(ctx)->body.append(bytes.data, bytes.len);
}

void on_end(void *ctx)
{
	static_cast<struct seen *>(ctx)->ends++;
}

const struct http_reader_ops ops = { on_head, on_body, on_end };

/* Feeds @text in pieces of @step bytes; false on a fault. */
bool feed(struct http_reader *r, const std::string &text, size_t step, size_t *used = nullptr)
{
	size_t at = 0;

	while (at < text.size() && !r->ended) {
		size_t n = std::min(step, text.size() - at);
		int64_t got = http_reader_feed(r, str{ text.data() + at, n });

		if (got < 0)
			return false;
		at += (size_t)got;
	}
	if (used)
		*used = at;
	return true;
}

enum http_fault fault_of(const std::string &text, size_t head_max = 0)
{
	struct seen s;
	struct http_reader r;

	http_reader_init(&r, HTTP_SIDE_REQUEST, head_max, &ops, &s);
	feed(&r, text, text.size());
	enum http_fault f = r.fault;
	http_reader_free(&r);
	return f;
}

} // namespace

/* Guards against bytes that are lost or read twice when a message arrives in pieces. */
TEST(HttpMessage, EverySplitGivesTheSameMessage)
{
	std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
			   "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\nGET /next HTTP/1.1\r\n\r\n";

	for (size_t step = 1; step < text.size(); step++) {
		struct seen s;
		struct http_reader r;
		size_t used = 0;

		http_reader_init(&r, HTTP_SIDE_REQUEST, 0, &ops, &s);
		ASSERT_TRUE(feed(&r, text, step, &used));
		EXPECT_EQ(s.body, "hello world");
		EXPECT_EQ(s.target, "/a/b?c=d");
		EXPECT_EQ(s.ends, 1);
		EXPECT_EQ(text.substr(used), "GET /next HTTP/1.1\r\n\r\n");
		http_reader_next(&r);
		ASSERT_TRUE(feed(&r, text.substr(used), step));
		EXPECT_EQ(s.target, "/next");
		EXPECT_EQ(s.ends, 2);
		http_reader_free(&r);
	}
}

/* Guards against requests hidden in another one by framing that readers understand differently. */
TEST(HttpMessage, ConflictingFramingIsRefused)
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

/* Guards against a head that grows without a limit. */
TEST(HttpMessage, HeadLimitIsKept)
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

/* Guards against a response cut short that is taken for a whole one. */
TEST(HttpMessage, OnlyAResponseWithoutLengthEndsWithItsConnection)
{
	struct {
		std::string text;
		bool whole;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\n\r\nabc", true },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false },
		{ "HTTP/1.1 200 OK\r\nContent-", false },
		{ "", false },
	};

	for (const auto &c : cases) {
		struct seen s;
		struct http_reader r;

		http_reader_init(&r, HTTP_SIDE_RESPONSE, 0, &ops, &s);
		ASSERT_TRUE(feed(&r, c.text, c.text.size() ? c.text.size() : 1));
		EXPECT_EQ(http_reader_eof(&r), c.whole) << c.text;
		EXPECT_EQ(s.ends, c.whole ? 1 : 0);
		http_reader_free(&r);
	}
}

/* Guards against connection fields that are passed on to the next hop. */
TEST(HttpMessage, FieldsOfOneConnectionAreKnown)
{
	struct seen s;
	struct http_reader r;

	http_reader_init(&r, HTTP_SIDE_REQUEST, 0, &ops, &s);
	ASSERT_TRUE(feed(&r,
			 "GET / HTTP/1.1\r\nConnection: close, X-Private\r\nX-Private: 1\r\n"
			 "Keep-Alive: timeout=5\r\nX-Kept: 2\r\nTE: trailers\r\n\r\n",
			 1000));
	std::vector<bool> want = { true, true, true, false, true };
	ASSERT_EQ(r.head.count, 5);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(http_field_is_hop(&r.head, i), want[(size_t)i]) << i;
	struct str value;
	EXPECT_TRUE(http_head_find(&r.head, "x-kept", &value));
	EXPECT_EQ(http_head_i64(&r.head, "X-Kept", 0), 2);
	EXPECT_EQ(http_head_i64(&r.head, "Keep-Alive", 7), 7);
	http_reader_free(&r);
}
