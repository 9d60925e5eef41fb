#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "ibisgate/platform/store.h"
#include "ibisgate/platform/wire.h"
#include "ibisgate/state/store_era.h"
}

namespace
{

int on_head(void *, const struct http_head *)
{
	return 0;
}

void on_body(void *, struct str)
{
}

void on_end(void *)
{
}

const struct http_reader_ops ops = { on_head, on_body, on_end };

/* A parsed message head. */
struct ParsedHead {
	struct http_reader r;

	explicit ParsedHead(const std::string &text,
			    enum http_message_kind side = HTTP_MESSAGE_REQUEST)
	{
		http_reader_init(&r, side, 0, &ops, this);
		EXPECT_GE(http_reader_feed(&r, str{ text.data(), text.size() }), 0);
	}

	~ParsedHead()
	{
		http_reader_free(&r);
	}
};

std::string buf_take_string(struct buf *b)
{
	std::string s(b->data ? b->data : "", b->len);

	buf_free(b);
	return s;
}

bool contains(const std::string &text, const std::string &what)
{
	return text.find(what) != std::string::npos;
}

struct store_row make_row(const std::string &key, const std::string &value, int64_t version = 9)
{
	struct store_row r = {};

	str_copy(r.key, sizeof(r.key), str_from(key.c_str()));
	buf_append(&r.value, value.data(), value.size());
	r.version = version;
	return r;
}

} // namespace

TEST(Wire, RequestFieldsAreDecoded)
{
	struct ParsedHead p(
		"POST /a/ HTTP/1.1\r\nX-Ibisgate-Request-Id: 9c41\r\nLast-Event-Id: 12\r\n"
		"X-Ibisgate-Model: m\r\nX-Ibisgate-Token-Count: 1460, 80\r\n"
		"X-Ibisgate-Prefix-Hash: 5c1e07a2:800, 91bd3f06:410,zz:250\r\n"
		"X-Ibisgate-Length-Hint: 33\r\nX-Ibisgate-Deadline-Ms: 5000\r\n\r\n");
	struct inbound_request in;

	ASSERT_TRUE(wire_request_decode(&p.r.head, &in));
	EXPECT_STREQ(in.id, "9c41");
	EXPECT_STREQ(in.model, "m");
	EXPECT_EQ(in.prompt_tokens, 1460);
	EXPECT_EQ(in.output_tokens, 80);
	EXPECT_EQ(in.output_hint, 33);
	EXPECT_EQ(in.wait_ms, 5000);
	EXPECT_EQ(in.resume_from, 12);
	ASSERT_EQ(in.part_count, 3);
	EXPECT_EQ(in.parts[0].id, 0x5c1e07a2u);
	EXPECT_EQ(in.parts[1].tokens, 410);
	EXPECT_NE(in.parts[2].id, 0u);
}

/* Guards against malformed header fields that crash the decoder or are read as numbers. */
TEST(Wire, MalformedFieldsCountAsAbsent)
{
	struct ParsedHead p(
		"GET / HTTP/1.1\r\nX-Ibisgate-Request-Id: a\r\n"
		"X-Ibisgate-Token-Count: many,-3\r\nX-Ibisgate-Prefix-Hash: :,x:y,1:-4\r\n"
		"X-Ibisgate-Deadline-Ms: soon\r\nLast-Event-Id: \r\n\r\n");
	struct ParsedHead none("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
	struct inbound_request in;

	ASSERT_TRUE(wire_request_decode(&p.r.head, &in));
	EXPECT_EQ(in.prompt_tokens, 0);
	EXPECT_EQ(in.output_tokens, 0);
	EXPECT_EQ(in.part_count, 0);
	EXPECT_EQ(in.wait_ms, 0);
	EXPECT_EQ(in.resume_from, -1);
	EXPECT_FALSE(wire_request_decode(&none.r.head, &in));
}

/* Guards against callers that reserve or take over engine memory by sending reserved fields. */
TEST(Wire, ReservedFieldsOfTheCallerAreReplaced)
{
	struct ParsedHead p(
		"POST /x?y HTTP/1.1\r\nHost: h\r\nX-Ibisgate-Request-Id: a\r\n"
		"X-Ibisgate-Kv-Hold: 1\r\nX-Ibisgate-Pin-Ms: 9\r\nX-Ibisgate-Kv-Backup: 2\r\n"
		"X-Ibisgate-Kv-Source: 3\r\nKv-Fetch: 4\r\nX-Ibisgate-Serving-Stage: prefill\r\n"
		"X-Ibisgate-Expect-Instance: z\r\nX-Ibisgate-Deadline-Ms: 99999\r\n"
		"X-Ibisgate-Request-Priority: 0\r\nConnection: x-own\r\nX-Own: 1\r\n"
		"Content-Length: 2\r\nX-Kept: yes\r\n\r\nhi");
	struct outbound_request add = {};
	struct buf out = {};

	add.remaining_ms = 400;
	add.expected_id = "i-1";
	add.priority = 2;
	add.resume_from = -1;
	wire_request_encode(&out, &p.r.head, STR_LIT("hi"), &add);
	std::string text = buf_take_string(&out);
	EXPECT_TRUE(contains(text, "POST /x?y HTTP/1.1\r\n"));
	EXPECT_TRUE(contains(text, "X-Kept: yes\r\n"));
	EXPECT_TRUE(contains(text, "X-Ibisgate-Deadline-Ms: 400\r\n"));
	EXPECT_TRUE(contains(text, "X-Ibisgate-Expect-Instance: i-1\r\n"));
	EXPECT_TRUE(contains(text, "X-Ibisgate-Request-Priority: 2\r\n"));
	EXPECT_TRUE(contains(text, "Content-Length: 2\r\n\r\nhi"));
	for (const char *dropped : { "Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-Source", "Kv-Fetch",
				     "Serving-Stage", "99999", "Expect-Instance: z", "X-Own" })
		EXPECT_FALSE(contains(text, dropped)) << dropped;
}

/* Guards against a key that is read as another one, or of another scheme as one of this platform.
 */
TEST(Wire, ApiKeyIsDecoded)
{
	const struct {
		const char *value;
		const char *key;
	} cases[] = {
		{ "Token k-1", "k-1" },
		{ "token  k-1 \t", "k-1" },
		{ "TOKEN\tk-1", "k-1" },
		{ "Bearer k-1", "" },
		{ "Tokenk-1", "" },
		{ "Token", "" },
		{ "Token ", "" },
		{ "k-1", "" },
		{ "", "" },
		{ "Token a, Token b", "a, Token b" },
	};
	struct ParsedHead none("GET / HTTP/1.1\r\nX-Ibisgate-Request-Id: a\r\n\r\n");
	struct inbound_request in;

	for (const auto &c : cases) {
		struct ParsedHead p(
			std::string(
				"GET / HTTP/1.1\r\nX-Ibisgate-Request-Id: a\r\nAuthorization: ") +
			c.value + "\r\n\r\n");

		ASSERT_TRUE(wire_request_decode(&p.r.head, &in));
		EXPECT_EQ(std::string(in.api_key.data ? in.api_key.data : "", in.api_key.len),
			  c.key)
			<< c.value;
	}
	ASSERT_TRUE(wire_request_decode(&none.r.head, &in));
	EXPECT_EQ(in.api_key.len, 0u);
}

/*
 * Guards against keys that endpoints see, and against callers that name an organisation
 * themselves, for every kind of request to an endpoint.
 */
TEST(Wire, CallerIsHiddenFromEndpoints)
{
	struct ParsedHead p(
		"POST /x HTTP/1.1\r\nX-Ibisgate-Request-Id: a\r\nauthorization: Token k-1\r\n"
		"X-IBISGATE-tenant: forged\r\nAuthorization: Token k-2\r\n"
		"Authorization: Bearer k-3\r\nX-Ibisgate-Tenant: forged-2\r\n"
		"Last-Event-Id: 1\r\nContent-Length: 0\r\n\r\n");

	for (enum wire_work work : { WIRE_WORK_RUN, WIRE_WORK_PREFILL }) {
		for (const char *name : { "press-parts", (const char *)nullptr }) {
			struct outbound_request add = {};
			struct buf out = {};

			add.work = work;
			add.expected_id = "i-1";
			add.priority = -1;
			add.resume_from = work == WIRE_WORK_RUN ? 7 : -1;
			add.kv_source = work == WIRE_WORK_RUN ? "10.0.0.1:80/abc" : nullptr;
			add.hides_caller = true;
			add.organisation = name;
			wire_request_encode(&out, &p.r.head, str{}, &add);
			std::string text = buf_take_string(&out);
			for (const char *hidden : { "k-1", "k-2", "k-3", "uthorization", "forged" })
				EXPECT_FALSE(contains(text, hidden)) << text;
			EXPECT_EQ(contains(text, "X-Ibisgate-Tenant: press-parts\r\n"),
				  name != nullptr)
				<< text;
			EXPECT_EQ(contains(text, "enant"), name != nullptr) << text;
		}
	}
	struct outbound_request add = {};
	struct buf out = {};

	add.expected_id = "i-1";
	add.priority = -1;
	add.resume_from = -1;
	wire_request_encode(&out, &p.r.head, str{}, &add);
	std::string text = buf_take_string(&out);
	EXPECT_TRUE(contains(text, "authorization: Token k-1\r\n"))
		<< "without organisations in the configuration everything is passed on";
	EXPECT_TRUE(contains(text, "X-IBISGATE-tenant: forged\r\n"));
}

TEST(Wire, PrefillKvSourceAndResumeFieldsAreEncoded)
{
	struct ParsedHead p(
		"POST / HTTP/1.1\r\nX-Ibisgate-Request-Id: a\r\nLast-Event-Id: 1\r\n\r\n");
	struct outbound_request add = {};
	struct buf out = {};

	add.work = WIRE_WORK_PREFILL;
	add.expected_id = "i-1";
	add.priority = -1;
	add.resume_from = 7;
	add.kv_source = "10.0.0.1:80/abc";
	add.fetch_from = "10.0.0.2:80";
	wire_request_encode(&out, &p.r.head, str{}, &add);
	std::string text = buf_take_string(&out);
	EXPECT_TRUE(contains(text, "X-Ibisgate-Serving-Stage: prefill\r\n"));
	EXPECT_TRUE(contains(text, "Last-Event-Id: 7\r\n"));
	EXPECT_FALSE(contains(text, "Last-Event-Id: 1\r\n"));
	EXPECT_TRUE(contains(text, "X-Ibisgate-Kv-Source: 10.0.0.1:80/abc\r\n"));
	EXPECT_TRUE(contains(text, "Kv-Fetch: 10.0.0.2:80\r\n"));
	EXPECT_FALSE(contains(text, "Request-Priority"));
	EXPECT_FALSE(contains(text, "Content-Length"));
}

/* @head: status line without the version, and header lines */
static struct endpoint_response decode_response(const std::string &head)
{
	struct ParsedHead p("HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n",
			    HTTP_MESSAGE_RESPONSE);
	struct endpoint_response r;

	wire_response_decode(&p.r.head, &r);
	return r;
}

/* Guards against refusals that count as executions, and executions that count as refusals. */
TEST(Wire, ResponseHeadStatesWhetherTheRequestRan)
{
	struct {
		const char *head;
		bool not_run, misdirected, signed_response;
	} cases[] = {
		{ "200 OK\r\nX-Ibisgate-Server-Signature: s", false, false, true },
		{ "503 Full\r\nX-Ibisgate-Not-Executed: 1", true, false, false },
		{ "503 Full", false, false, false },
		{ "421 Misdirected\r\nX-Ibisgate-Instance-Id: i", true, true, false },
		{ "500 Oops\r\nX-Ibisgate-Server-Signature: s", false, false, true },
	};

	for (const auto &c : cases) {
		struct endpoint_response r = decode_response(c.head);

		EXPECT_EQ(r.not_run, c.not_run) << c.head;
		EXPECT_EQ(r.wrong_instance, c.misdirected) << c.head;
		EXPECT_EQ(r.has_signature, c.signed_response) << c.head;
		EXPECT_FALSE(r.has_content_encoding);
	}
	struct ParsedHead z("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
			    "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n",
			    HTTP_MESSAGE_RESPONSE);
	struct endpoint_response r;
	wire_response_decode(&z.r.head, &r);
	EXPECT_TRUE(r.has_content_encoding);
	EXPECT_TRUE(r.event_stream);
}

TEST(Wire, ResponseHeadStatesWhetherTheEndpointLeaves)
{
	struct {
		const char *head;
		bool leaving;
	} cases[] = {
		{ "200 OK\r\nServer-Leaving: 1", true },
		{ "503 Full\r\nserver-leaving: 1", true },
		{ "200 OK\r\nServer-Leaving: 0", false },
		{ "200 OK", false },
		/* Another endpoint answers. */
		{ "421 Misdirected\r\nServer-Leaving: 1", false },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(decode_response(c.head).leaving, c.leaving) << c.head;
	}
}

TEST(Wire, RefusalStatesWhenTheEndpointWantsRequestsAgain)
{
	struct {
		const char *head;
		int64_t retry_after_ms;
	} cases[] = {
		{ "503 Full\r\nRetry-After: 2", 2000 },
		{ "503 Full\r\nRetry-After: 0.25", 250 },
		{ "503 Full\r\nRetry-After: 0", 0 },
		{ "503 Full", -1 },
		{ "503 Full\r\nRetry-After: Fri, 31 Dec 1999 23:59:59 GMT", -1 },
		{ "503 Full\r\nRetry-After: -1", -1 },
		{ "503 Full\r\nRetry-After: nan", -1 },
		{ "503 Full\r\nRetry-After: 1e30", 3600000 },
		{ "200 OK\r\nRetry-After: 2", -1 },
		/* Another endpoint answers. */
		{ "421 Misdirected\r\nRetry-After: 2", -1 },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(decode_response(c.head).retry_after_ms, c.retry_after_ms) << c.head;
	}
}

TEST(Wire, LocalResponseCarriesRetryAfter)
{
	struct local_response a = {};
	struct buf out = {};

	a.status = 503;
	a.request_id = "r1";
	a.reason = "no-endpoint";
	a.retry_after_ms = 1250;
	wire_local_response_encode(&out, &a);
	std::string text = buf_take_string(&out);
	EXPECT_TRUE(contains(text, "HTTP/1.1 503 "));
	EXPECT_TRUE(contains(text, "Retry-After: 1.250\r\n"));
	EXPECT_TRUE(contains(text, "X-Ibisgate-Request-Id: r1\r\n"));
	EXPECT_FALSE(contains(text, "Server-Signature"));
}

TEST(Store, RowsOfReadsAndFeedsAreDecoded)
{
	std::string body =
		"{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"a\",\"value\":"
		"\"aGk=\",\"schemaVersion\":4},{\"key\":\"b\",\"deleted\":true,"
		"\"schemaVersion\":5}],\"hasMore\":true,\"schemaVersion\":7,\"nowMs\":1}";
	struct store_rows rows;
	struct error err = {};

	ASSERT_EQ(store_rows_decode(str{ body.data(), body.size() }, 0, &rows, &err), 0);
	ASSERT_EQ(rows.count, 2);
	EXPECT_STREQ(rows.rows[0].key, "a");
	EXPECT_EQ(std::string(rows.rows[0].value.data, rows.rows[0].value.len), "hi");
	EXPECT_TRUE(rows.rows[1].deleted);
	EXPECT_EQ(rows.version, 7);
	EXPECT_TRUE(rows.has_more);
	store_rows_free(&rows);
	for (const char *malformed :
	     { "", "[]", "{}", "{\"rows\":3,\"schemaVersion\":1}", "{\"rows\":[]}" })
		EXPECT_EQ(store_rows_decode(str_from(malformed), 0, &rows, &err), -1) << malformed;
	EXPECT_EQ(err.layer, ERROR_PLATFORM);
}

/* Guards against versions that the store has given out twice and that compare as the same. */
TEST(Store, VersionsCarryTheEraAndRequestsTheirNumber)
{
	const char *body = "{\"rows\":[{\"key\":\"a\",\"schemaVersion\":4}],\"schemaVersion\":7}";
	int64_t version = 0;
	struct buf out = {};
	struct store_rows rows;
	struct error err = {};

	ASSERT_EQ(store_rows_decode(str_from(body), 2, &rows, &err), 0);
	EXPECT_EQ(rows.version, store_version_make(2, 7));
	EXPECT_EQ(rows.rows[0].version, store_version_make(2, 4));
	EXPECT_GT(rows.rows[0].version, store_version_make(1, STORE_NUMBER_MAX));
	store_feed_encode(&out, "10.0.0.1:80", "t", rows.version, 5);
	EXPECT_TRUE(contains(buf_take_string(&out), "&after=7&"));
	store_rows_free(&rows);
	ASSERT_EQ(store_put_decode(str_from("{\"schemaVersion\":9}"), 3, &version, &err), 0);
	EXPECT_EQ(version, store_version_make(3, 9));
	store_put_encode(&out, "10.0.0.1:80", "t", "k", version, STR_LIT("hi"));
	EXPECT_TRUE(contains(buf_take_string(&out), "\"schemaVersion\":9"));
}

/* Guards against numbers that run into the era. */
TEST(Store, NumbersBeyondTheirBitsAreRejected)
{
	int64_t version = 0;
	struct store_rows rows;
	struct error err = {};

	for (std::string number : { "1099511627776", "9223372036854775807", "-1" }) {
		std::string body = "{\"rows\":[],\"schemaVersion\":" + number + "}";

		EXPECT_EQ(store_rows_decode(str_from(body.c_str()), 1, &rows, &err), -1) << number;
		EXPECT_EQ(store_put_decode(str_from(body.c_str()), 1, &version, &err), -1)
			<< number;
	}
	ASSERT_EQ(store_rows_decode(str_from("{\"rows\":[],\"schemaVersion\":1099511627775}"), 1,
				    &rows, &err),
		  0);
	EXPECT_EQ(rows.version, store_version_make(1, STORE_NUMBER_MAX));
	store_rows_free(&rows);
}

/* Guards against a field that is taken for another era, or for a store without eras. */
TEST(Store, EraOfAnAnswerIsDecodedOrMalformed)
{
	const std::pair<std::string, int64_t> cases[] = {
		{ "Store-Era: 1", 1 },	      { "store-era:  27 ", 27 },
		{ "Store-Era: 0", 0 },	      { "Store-Era: 4194303", STORE_ERA_MAX },
		{ "Store-Era: 4194304", -1 }, { "Store-Era: 99999999999999999999999", -1 },
		{ "Store-Era: -1", -1 },      { "Store-Era: +1", -1 },
		{ "Store-Era: 1.5", -1 },     { "Store-Era: 0x2", -1 },
		{ "Store-Era: 2 3", -1 },     { "Store-Era: two", -1 },
		{ "Store-Era:", -1 },	      { "Other: 7", 0 },
	};

	for (const auto &c : cases) {
		struct ParsedHead p("HTTP/1.1 200 OK\r\n" + c.first +
					    "\r\nContent-Length: 0\r\n\r\n",
				    HTTP_MESSAGE_RESPONSE);

		EXPECT_EQ(store_answer_era(&p.r.head), c.second) << c.first;
	}
}

/* Guards against an answer of an older copy that arrives late and is taken for news. */
TEST(Store, EarlierAndMalformedErasAreRejected)
{
	struct store_era e = {};

	EXPECT_EQ(store_era_observe(&e, 0, 10), STORE_ERA_SAME);
	EXPECT_EQ(store_era_observe(&e, 3, 20), STORE_ERA_NEW);
	EXPECT_EQ(store_era_observe(&e, 3, 30), STORE_ERA_SAME);
	for (int64_t era : { INT64_C(2), INT64_C(0), INT64_C(-1), STORE_ERA_MAX + 1 })
		EXPECT_EQ(store_era_observe(&e, era, 40), STORE_ERA_REJECTED) << era;
	EXPECT_EQ(e.number, 3);
	EXPECT_EQ(e.since_ms, 20);
	EXPECT_EQ(store_era_observe(&e, 4, 50), STORE_ERA_NEW);
	EXPECT_EQ(e.since_ms, 50);
}

TEST(Store, ConditionalWriteCarriesItsPrecondition)
{
	struct buf out = {};
	int64_t version = 0;
	struct error err = {};

	store_put_encode(&out, "10.0.0.1:80", "t", "k", 12, STR_LIT("hi"));
	std::string text = buf_take_string(&out);
	EXPECT_TRUE(contains(text, "POST /rows-tx HTTP/1.1\r\n"));
	EXPECT_TRUE(contains(text, "\"schemaVersion\":12"));
	EXPECT_TRUE(contains(text, "\"value\":\"aGk=\""));
	EXPECT_TRUE(contains(text, "\"remove\":[]"));
	EXPECT_EQ(store_put_decode(STR_LIT("{\"schemaVersion\":412}"), 0, &version, &err), 0);
	EXPECT_EQ(version, 412);
	EXPECT_EQ(store_put_decode(STR_LIT("oops"), 0, &version, &err), -1);
}

/* Guards against services whose endpoints are all left out for their long name (503 for all). */
TEST(Store, EndpointsWithNamesOfUpTo200BytesAreUsable)
{
	for (size_t bytes : { 1, 127, 128, 200, 201 }) {
		std::string name(bytes, 'n');
		struct store_row r = make_row(
			"i-1", "{\"service\":\"" + name +
				       "\",\"address\":\"10.0.0.1:80\",\"zone\":\"" + name +
				       "\",\"version\":\"v1\",\"coldLeftMs\":0,\"slots\":64,"
				       "\"state\":\"ready\",\"seq\":4}");
		struct endpoint_entry e;
		struct error err = {};

		EXPECT_EQ(store_endpoint_decode(&r, &e, &err), bytes <= 200 ? 0 : -1) << bytes;
		if (bytes <= 200) {
			EXPECT_EQ(e.service, name);
			EXPECT_EQ(e.dc, name);
		}
		buf_free(&r.value);
	}
}

/* Guards against one malformed entry that hides the endpoints next to it, or is used itself. */
TEST(Store, MalformedEndpointEntriesAreRejected)
{
	struct endpoint_entry e;
	struct error err = {};
	std::string good = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
			   "\"version\":\"v1\",\"coldLeftMs\":0,\"slots\":64,\"state\":\"ready\","
			   "\"stage\":\"prefill\",\"seq\":4,"
			   "\"born\":1700000000000}";
	struct store_row r = make_row("i-1", good);

	ASSERT_EQ(store_endpoint_decode(&r, &e, &err), 0);
	EXPECT_STREQ(e.id, "i-1");
	EXPECT_STREQ(e.dc, "z");
	EXPECT_EQ(e.stage, STAGE_PREFILL);
	EXPECT_EQ(e.process_start_ms, 1700000000000);
	EXPECT_FALSE(e.leaving);
	EXPECT_FALSE(e.reclaimable);
	buf_free(&r.value);
	for (const char *malformed :
	     { "", "{", "[]", "{\"service\":\"s\"}",
	       "{\"service\":3,\"address\":\"a\",\"zone\":\"z\",\"slots\":1,\"state\":\"ready\"}",
	       "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\",\"slots\":\"x\",\"state\":"
	       "\"ready\"}",
	       "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\",\"slots\":1,\"state\":\"odd\"}",
	       "{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\",\"slots\":1,\"state\":"
	       "\"ready\","
	       "\"born\":1.5}" }) {
		r = make_row("i-2", malformed);
		EXPECT_EQ(store_endpoint_decode(&r, &e, &err), -1) << malformed;
		buf_free(&r.value);
	}
}

/* Guards against leaving out endpoints whose ids are as long as the platform's keys may be. */
TEST(Store, EndpointIdsAreAsLongAsKeys)
{
	const std::string id(200, 'i');
	struct endpoint_entry e;
	struct error err = {};
	struct store_row r = make_row(
		id.c_str(), "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
			    "\"version\":\"v1\",\"coldLeftMs\":0,\"slots\":64,\"seq\":4,"
			    "\"state\":\"ready\"}");

	ASSERT_EQ(store_endpoint_decode(&r, &e, &err), 0) << err.text;
	EXPECT_EQ(e.id, id);
	buf_free(&r.value);
}

/* An endpoint that is taken back says so, and how long it stays. */
TEST(Store, ReclaimedEndpointEntriesAreDecoded)
{
	struct endpoint_entry e;
	struct error err = {};
	struct store_row r =
		make_row("i-1", "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
				"\"version\":\"v1\",\"coldLeftMs\":0,\"slots\":64,\"seq\":4,"
				"\"state\":\"draining\",\"useSpot\":true,\"leaves_ms\":2000}");

	ASSERT_EQ(store_endpoint_decode(&r, &e, &err), 0);
	EXPECT_TRUE(e.leaving);
	EXPECT_TRUE(e.reclaimable);
	EXPECT_EQ(e.leaves_ms, 2000);
	buf_free(&r.value);
}

TEST(Store, ScalingOfAServiceIsDecoded)
{
	std::string text =
		"{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"a\",\"scaling\":{"
		"\"minCount\":1,\"maxCount\":60,\"bootS\":4.5,\"spotPrice\":0.22,\"zonePrices\":"
		"{\"x\":1.0,\"y\":0.8,\"odd\":\"1\"}}},{\"name\":\"b\"}]}";
	struct error err = {};
	struct routing_table *t = store_config_decode(str{ text.data(), text.size() }, &err);

	ASSERT_NE(t, nullptr);
	EXPECT_TRUE(t->services[0].scaling.present);
	EXPECT_EQ(t->services[0].scaling.min, 1);
	EXPECT_EQ(t->services[0].scaling.max, 60);
	EXPECT_EQ(t->services[0].scaling.boot_ms, 4500);
	EXPECT_DOUBLE_EQ(t->services[0].scaling.reclaimable_price, 0.22);
	ASSERT_EQ(t->services[0].scaling.price_count, 2);
	EXPECT_STREQ(t->services[0].scaling.prices[1].dc, "y");
	EXPECT_DOUBLE_EQ(t->services[0].scaling.prices[1].price, 0.8);
	EXPECT_FALSE(t->services[1].scaling.present);
	routing_table_put(t);
}

TEST(Store, ConfigurationIsDecodedIntoRules)
{
	std::string text =
		"{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h\",\"prefix\":\"/p/\","
		"\"routeKind\":\"streaming\",\"timeoutMs\":5000,\"latencyTargetMs\":800,"
		"\"priority\":2,\"split\":[{\"service\":\"a\",\"weight\":90},{\"service\":\"b\","
		"\"weight\":10}],\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,"
		"\"gapTargetMs\":400},{\"name\":\"r2\",\"host\":\"h\",\"prefix\":\"/q/\","
		"\"routeKind\":\"odd\",\"service\":\"b\"},{\"name\":\"r3\",\"host\":\"h\","
		"\"prefix\":\"/n/\",\"routeKind\":\"idempotent\",\"service\":\"none\"}],"
		"\"services\":[{\"name\":\"a\",\"maxConns\":370,\"engine\":{\"slots\":64,"
		"\"kvCapacity\":461856,\"kvTokenBytes\":18432,\"linkMbps\":370000.0,"
		"\"kvHoldS\":2.5}},{\"name\":\"b\",\"maxConns\":110}],\"limits\":{"
		"\"maxHeaderBytes\":100,"
		"\"maxBodyBytes\":200,\"headerTimeoutMs\":300,\"idleTimeoutMs\":400}}";
	struct error err = {};
	struct routing_table *t = store_config_decode(str{ text.data(), text.size() }, &err);

	ASSERT_NE(t, nullptr);
	EXPECT_EQ(t->version, 7);
	ASSERT_EQ(t->rule_count, 3);
	EXPECT_EQ(t->rules[0].kind, CALL_GENERATION);
	EXPECT_TRUE(t->rules[0].resumable);
	EXPECT_EQ(t->rules[0].gap_ms, 400);
	EXPECT_EQ(t->rules[0].target_count, 2);
	EXPECT_EQ(t->rules[0].targets[1].service, 1);
	/* An unknown kind is treated as non-idempotent, since repeating it may do harm. */
	EXPECT_EQ(t->rules[1].kind, CALL_NON_IDEMPOTENT);
	EXPECT_EQ(t->rules[2].target_count, 0);
	EXPECT_TRUE(t->services[0].engine.present);
	EXPECT_EQ(t->services[0].engine.kv_capacity, 461856);
	EXPECT_EQ(t->services[0].engine.kv_hold_ms, 2500);
	EXPECT_FALSE(t->services[1].engine.present);
	EXPECT_EQ(t->limits.idle_timeout_ms, 400);
	routing_table_put(t);
	for (const char *malformed :
	     { "", "{}", "{\"version\":\"x\",\"routes\":[],\"services\":[]}" })
		EXPECT_EQ(store_config_decode(str_from(malformed), &err), nullptr) << malformed;
}

TEST(Wire, ReportsHandlesAndOrdersAreTranslated)
{
	struct engine_report r = {};
	char handle[32];
	struct buf out = {};
	struct stage_order o = {};

	EXPECT_TRUE(wire_report_decode(STR_LIT("{\"stage\":\"decode\",\"busy\":true,\"seq\":2,"
					       "\"queued\":1,\"active\":12,\"kvUsed\":41,"
					       "\"kvTotal\":90}"),
				       &r));
	EXPECT_EQ(r.stage, STAGE_DECODE);
	EXPECT_TRUE(r.busy);
	EXPECT_EQ(r.order_seq, 2);
	EXPECT_EQ(r.kv_total, 90);
	EXPECT_FALSE(wire_report_decode(STR_LIT("[1]"), &r));
	EXPECT_TRUE(wire_handle_decode(STR_LIT("{\"kvHandle\":\"3fa0\",\"tokens\":5}"), handle,
				       sizeof(handle)));
	EXPECT_STREQ(handle, "3fa0");
	EXPECT_FALSE(wire_handle_decode(STR_LIT("{}"), handle, sizeof(handle)));
	o.address = "10.0.0.1:80";
	o.expected_id = "i-1";
	o.stage = STAGE_PREFILL;
	o.holder = "edge-1";
	o.fencing = 41;
	o.order_seq = 3;
	wire_order_encode(&out, &o);
	std::string text = buf_take_string(&out);
	EXPECT_TRUE(contains(text, "POST /order HTTP/1.1\r\n"));
	EXPECT_TRUE(contains(text, "X-Ibisgate-Expect-Instance: i-1\r\n"));
	EXPECT_TRUE(contains(text, "\"stage\":\"prefill\""));
	EXPECT_TRUE(contains(text, "\"fencingToken\":41"));
	EXPECT_TRUE(contains(text, "\"precondition\":3"));
}

/*
 * Guards against a handle or an endpoint id that ends the head of a request which carries it, so
 * that an engine runs the request without its body.
 */
TEST(Wire, TextsForHeadsAreVisibleAscii)
{
	struct endpoint_entry e;
	struct error err = {};
	char handle[32];

	for (const char *text : { "3fa0\\r\\n", "\\n3fa0", "3f\\ra0", "3f a0", "3f\\ta0", "3fa0 ",
				  "\\u007f", "3f\\u00e9" }) {
		std::string body = std::string("{\"kvHandle\":\"") + text + "\"}";

		EXPECT_FALSE(
			wire_handle_decode(str{ body.data(), body.size() }, handle, sizeof(handle)))
			<< text;
	}
	for (const char *key : { "i-1\r\nX: y", "i-1\n", "i 1", " i-1", "i-1\t", "" }) {
		struct store_row r = make_row(
			key, "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
			     "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
			     "\"coldLeftMs\":0,\"seq\":4}");

		EXPECT_EQ(store_endpoint_decode(&r, &e, &err), -1) << key;
		buf_free(&r.value);
	}
}

/* Guards against one row with an odd key that makes the rows next to it unreadable. */
TEST(Store, KeysWithNulHideNoOtherRow)
{
	std::string body =
		"{\"rows\":[{\"key\":\"a\\u0000b\",\"value\":\"aGk=\",\"schemaVersion\":4},"
		"{\"key\":\"a\",\"value\":\"aGk=\",\"schemaVersion\":5}],"
		"\"schemaVersion\":7}";
	struct store_rows rows;
	struct endpoint_entry e;
	struct error err = {};

	ASSERT_EQ(store_rows_decode(str{ body.data(), body.size() }, 0, &rows, &err), 0);
	ASSERT_EQ(rows.count, 2);
	EXPECT_STREQ(rows.rows[0].key, "");
	EXPECT_EQ(store_endpoint_decode(&rows.rows[0], &e, &err), -1);
	EXPECT_STREQ(rows.rows[1].key, "a");
	store_rows_free(&rows);
}

static std::string rule_with(const std::string &host, const std::string &prefix,
			     const std::string &service)
{
	return "{\"name\":\"r\",\"host\":\"" + host + "\",\"prefix\":\"" + prefix +
	       "\",\"routeKind\":\"idempotent\",\"service\":\"" + service + "\"}";
}

static std::string config_with(const std::string &routes, const std::string &services)
{
	return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + services + "]}";
}

/* Name of the service that @target of @host is sent to; "-" if none. */
static std::string routed_to(const struct routing_table *t, const std::string &host,
			     const std::string &target)
{
	const struct routing_rule *r =
		routing_table_match(t, str_from(host.c_str()), str_from(target.c_str()));
	int service = r ? routing_rule_target(r, 1) : -1;

	return service < 0 ? "-" : std::to_string(service);
}

/*
 * Guards against ROUTE: prefixes, hosts and services that differ only late in long texts were cut
 * to the same text, and the requests of one rule were sent to the service of another.
 */
TEST(Store, LongTextsOfTheConfigurationAreKeptWhole)
{
	const std::string folder = "/" + std::string(4000, 'f') + "/";
	const std::string host = std::string(200, 'h');
	const std::string name = std::string(150, 's');
	std::string text = config_with(rule_with("a", folder + "stock/", name + "0") + "," +
					       rule_with("a", folder + "orders/", name + "1") +
					       "," + rule_with(host + "0", "/", name + "0") + "," +
					       rule_with(host + "1", "/", name + "1"),
				       "{\"name\":\"" + name + "0\"},{\"name\":\"" + name + "1\"}");
	struct error err = {};
	struct routing_table *t = store_config_decode(str{ text.data(), text.size() }, &err);

	ASSERT_NE(t, nullptr) << err.text;
	EXPECT_EQ(routed_to(t, "a", folder + "stock/5"), "0");
	EXPECT_EQ(routed_to(t, "a", folder + "orders/5"), "1");
	EXPECT_EQ(routed_to(t, "a", folder + "returns/5"), "-") << "no rule has this prefix";
	EXPECT_EQ(routed_to(t, host + "0", "/"), "0");
	EXPECT_EQ(routed_to(t, host + "1", "/"), "1");
	EXPECT_EQ(routed_to(t, host, "/"), "-");
	routing_table_put(t);
}

/* Guards against ROUTE shares: the services of a split beyond the eighth were left out. */
TEST(Store, SplitsHaveAnyNumberOfServices)
{
	std::string routes = "{\"name\":\"r\",\"host\":\"a\",\"prefix\":\"/\",\"split\":[";
	std::string services;
	std::set<std::string> seen;
	struct error err = {};

	for (int i = 0; i < 30; i++) {
		std::string comma = i ? "," : "";
		std::string name = "s" + std::to_string(i);

		routes += comma + "{\"service\":\"" + name + "\",\"weight\":1}";
		services += comma + "{\"name\":\"" + name + "\"}";
	}
	std::string text = config_with(routes + "]}", services);
	struct routing_table *t = store_config_decode(str{ text.data(), text.size() }, &err);
	ASSERT_NE(t, nullptr) << err.text;
	for (uint64_t hash = 0; hash < 30; hash++)
		seen.insert(std::to_string(routing_rule_target(&t->rules[0], hash)));
	EXPECT_EQ(seen.size(), 30u);
	routing_table_put(t);
}

/* Guards against keys of one malformed entry that let callers in, or that lock the others out. */
TEST(Store, OrganisationsOfTheConfigurationAreDecoded)
{
	struct error err = {};
	struct routing_table *t = store_config_decode(
		STR_LIT("{\"version\":3,\"services\":[],\"routes\":["
			"{\"name\":\"a\",\"public\":true},{\"name\":\"b\"},"
			"{\"name\":\"c\",\"public\":1}],\"tenants\":["
			"{\"name\":\"one\",\"apiKeys\":[\"k1\",\" k2 \",5,\"\"],\"priority\":0},"
			"{\"name\":\"two\",\"apiKeys\":[\"k3\",\"k1\"]},"
			"{\"name\":\"bad\\r\\nX: y\",\"apiKeys\":[\"k4\"]},"
			"{\"apiKeys\":[\"k5\"]},{\"name\":7,\"apiKeys\":[\"k6\"]},8,null,"
			"{\"name\":\"three\",\"apiKeys\":\"k7\",\"priority\":12},"
			"{\"name\":\"one\",\"apiKeys\":[\"k8\"]}]}"),
		&err);

	ASSERT_NE(t, nullptr) << err.text;
	EXPECT_TRUE(t->rules[0].is_public);
	EXPECT_FALSE(t->rules[1].is_public);
	EXPECT_FALSE(t->rules[2].is_public);
	ASSERT_NE(t->organisations, nullptr);
	EXPECT_EQ(organisations_count(t->organisations), 3);
	const struct {
		const char *key;
		const char *owner;
	} cases[] = {
		{ "k1", "one" }, { "k2", "one" }, { "k3", "two" }, { "k4", "" }, { "k5", "" },
		{ "k6", "" },	 { "k7", "" },	  { "k8", "one" }, { "", "" },
	};
	for (const auto &c : cases) {
		const struct organisation *o =
			organisations_by_key(t->organisations, str_from(c.key));

		EXPECT_STREQ(o ? o->name : "", c.owner) << c.key;
	}
	EXPECT_EQ(organisations_at(t->organisations, 0)->priority, 0);
	EXPECT_EQ(organisations_at(t->organisations, 1)->priority, -1);
	EXPECT_EQ(organisations_at(t->organisations, 2)->priority, -1);
	routing_table_put(t);

	t = store_config_decode(STR_LIT("{\"version\":3,\"services\":[],\"routes\":[]}"), &err);
	ASSERT_NE(t, nullptr);
	EXPECT_EQ(t->organisations, nullptr);
	routing_table_put(t);
	t = store_config_decode(
		STR_LIT("{\"version\":3,\"services\":[],\"routes\":[],\"tenants\":[]}"), &err);
	ASSERT_NE(t, nullptr);
	ASSERT_NE(t->organisations, nullptr) << "nobody has a key, so nobody is let in";
	routing_table_put(t);
	EXPECT_EQ(store_config_decode(STR_LIT("{\"version\":3,\"services\":[],\"routes\":[],"
					      "\"tenants\":{}}"),
				      &err),
		  nullptr)
		<< "it may not be taken for a configuration without keys";
}
