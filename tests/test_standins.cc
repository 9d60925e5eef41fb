#include "standin_process.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <cstring>
#include <thread>

extern "C" {
#include "ibisgate/standins/text.h"
}

using std::string;

struct Answer {
	CURLcode rc;
	long status = 0;
	string body;
	json_t *json = nullptr;

	~Answer()
	{
		json_decref(json);
	}
	int64_t number(const char *key) const
	{
		return json_get_i64(json, key, -1);
	}
	string code() const
	{
		return json_get_cstr(json_object_get(json, "error"), "code", "");
	}
};

static size_t append(char *data, size_t size, size_t n, void *out)
{
	static_cast<string *>(out)->append(data, size * n);
	return size * n;
}

static Answer call(const string &method, const string &url, const string &body = "",
		   const char *header = "X-Test: 1", long timeout_ms = 10000)
{
	Answer a;
	CURL *c = curl_easy_init();
	curl_slist *headers = curl_slist_append(nullptr, header);

	curl_easy_setopt(c, CURLOPT_URL, url.c_str());
	curl_easy_setopt(c, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method.c_str());
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
	if (method == "POST" || method == "PUT")
		curl_easy_setopt(c, CURLOPT_COPYPOSTFIELDS, body.c_str());
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &a.body);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, timeout_ms);
	a.rc = curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &a.status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(c);
	a.json = json_parse({ a.body.data(), a.body.size() });
	return a;
}

static string text_of(const string &prompt, const string &model, int from, int to)
{
	uint64_t seed = text_seed({ prompt.data(), prompt.size() }, { model.data(), model.size() });
	char token[8];
	string out;

	for (int i = from; i < to; i++) {
		text_token(seed, i, token);
		out += token;
	}
	return out;
}

/* Texts of all chunks; empty unless the stream is complete. */
static string sse_text(const string &stream, int *tokens)
{
	string out;
	size_t at = 0;

	*tokens = 0;
	if (stream.find("data: [DONE]\n\n") == string::npos)
		return "";
	while ((at = stream.find("data: {", at)) != string::npos) {
		size_t end = stream.find("\n\n", at);
		json_t *v = json_parse({ stream.data() + at + 6, end - at - 6 });

		out += json_get_cstr(json_array_get(json_object_get(v, "choices"), 0), "text", "");
		*tokens += (int)json_get_i64(v, "tokens", 0);
		json_decref(v);
		at = end;
	}
	return out;
}

static const std::vector<string> fast_engine = { "--step-base-us",    "1000",
						 "--step-per-seq-us", "0",
						 "--role-change-ms",  "300" };

static std::vector<string> with(std::vector<string> args, const std::vector<string> &more)
{
	args.insert(args.end(), more.begin(), more.end());
	return args;
}

/* Guards against a change of the formula, which would break every client that verifies bytes. */
TEST(Text, IsFixed)
{
	EXPECT_EQ(text_of("hello", "model", 0, 3), " 1fd689 2e76d5 fce97f");
	EXPECT_EQ(text_prompt_tokens(9), 3);
}

/* Guards against lost, repeated or shifted tokens in a stream, and after a resume. */
TEST(Engine, StreamsTheExactTextAndResumes)
{
	Standin e("ibisgate-engine", with(fast_engine, { "--tokens-per-chunk", "3" }));
	int tokens;
	Answer a = call("POST", e.url("/v1/completions"),
			R"({"prompt":"abc","stream":true,"max_tokens":50})");

	EXPECT_EQ(sse_text(a.body, &tokens), text_of("abc", "model", 0, 50));
	EXPECT_EQ(tokens, 50);
	Answer b = call("POST", e.url("/v1/completions"),
			R"({"prompt":"abc","stream":true,"max_tokens":50,"resume_from":20,)"
			R"("resume_text":")" +
				text_of("abc", "model", 0, 20) + "\"}");
	EXPECT_EQ(sse_text(b.body, &tokens), text_of("abc", "model", 20, 50));
	Answer c =
		call("POST", e.url("/v1/completions"),
		     R"({"prompt":"abc","max_tokens":50,"resume_from":1,"resume_text":" 000000"})");
	EXPECT_EQ(c.status, 400);
	EXPECT_EQ(call("GET", e.url("/stats")).number("bad_resume"), 1);
	EXPECT_EQ(e.stop(), 0);
}

/* Guards against a decode engine that generates without the cache it was promised. */
TEST(Engine, KvHandOver)
{
	Standin prefill("ibisgate-engine", with(fast_engine, { "--role", "prefill" }));
	Standin decode("ibisgate-engine", with(fast_engine, { "--role", "decode" }));
	string req = R"({"prompt":"abc","max_tokens":5)";

	EXPECT_EQ(call("POST", prefill.url("/v1/completions"), req + "}").code(), "wrong_role");
	EXPECT_EQ(call("POST", decode.url("/v1/completions"), req + "}").code(), "wrong_role");
	Answer a = call("POST", prefill.url("/v1/completions"),
			req + R"(,"kv_transfer_params":{"do_remote_decode":true}})");
	json_t *kv = json_object_get(a.json, "kv_transfer_params");
	ASSERT_TRUE(kv) << a.body;
	string handle = json_get_cstr(kv, "remote_handle", "");
	string tail =
		R"(,"kv_transfer_params":{"do_remote_prefill":true,"tokens":1,"remote_url":")" +
		string(json_get_cstr(kv, "remote_url", "")) + R"(","remote_handle":")";

	Answer b = call("POST", decode.url("/v1/completions"), req + tail + handle + "\"}}");
	EXPECT_NE(b.body.find(text_of("abc", "model", 0, 5)), string::npos) << b.body;
	Answer c = call("POST", decode.url("/v1/completions"), req + tail + "0000000000000000\"}}");
	EXPECT_EQ(c.status, 503);
	EXPECT_EQ(c.code(), "kv_gone");
}

static Answer order(const Standin &e, const string &id, int fencing, const string &role)
{
	return call("POST", e.url("/orders"),
		    R"({"holder":"h","kind":"role","order_id":")" + id + R"(","fencing":)" +
			    std::to_string(fencing) + R"(,"value":")" + role + "\"}");
}

static bool order_done(const Standin &e, const string &id)
{
	for (int i = 0; i < 100; i++) {
		if (json_get_cstr(call("GET", e.url("/orders")).json, "last_done", "") == id)
			return true;
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	}
	return false;
}

/* Guards against an order of a deposed holder, a second effect of one order, and lost cut counts.
 */
TEST(Engine, OrderFencing)
{
	Standin e("ibisgate-engine", with(fast_engine, { "--check-fencing", "1" }));
	Standin lax("ibisgate-engine", fast_engine);
	std::thread running([&] {
		Answer a = call("POST", e.url("/v1/completions"),
				R"({"prompt":"abc","stream":true,"max_tokens":100000})");
		EXPECT_EQ(a.body.find("[DONE]"), string::npos);
	});

	std::this_thread::sleep_for(std::chrono::milliseconds(300));
	EXPECT_EQ(order(e, "o5", 5, "decode").status, 200);
	running.join();
	EXPECT_EQ(order(e, "o6", 6, "mixed").code(), "busy");
	EXPECT_EQ(call("POST", e.url("/v1/completions"), R"({"prompt":"a"})").code(), "changing");
	ASSERT_TRUE(order_done(e, "o5"));
	EXPECT_EQ(order(e, "o4", 4, "mixed").code(), "stale_fencing");
	EXPECT_EQ(order(e, "o5", 5, "decode").status, 200);
	Answer a = call("GET", e.url("/orders"));
	EXPECT_STREQ(json_get_cstr(a.json, "current", "?"), "");
	EXPECT_STREQ(json_get_cstr(a.json, "role", "?"), "decode");
	EXPECT_EQ(a.number("cut_requests"), 1);
	EXPECT_EQ(a.number("conflicts"), 0);

	EXPECT_EQ(order(lax, "o5", 5, "decode").status, 200);
	ASSERT_TRUE(order_done(lax, "o5"));
	EXPECT_EQ(order(lax, "o4", 4, "mixed").status, 200);
	EXPECT_EQ(call("GET", lax.url("/orders")).number("conflicts"), 1);
}

/* Guards against faults that do not happen: heartbeats, silence and crashes drive other tests. */
TEST(Engine, Faults)
{
	Standin e("ibisgate-engine", fast_engine);
	string req = R"({"prompt":"abc","stream":true,"max_tokens":50})";

	call("POST", e.url("/faults"), R"({"stall_ms":1500})");
	EXPECT_NE(call("POST", e.url("/v1/completions"), req).body.find(": hb\n\n"), string::npos);
	call("POST", e.url("/faults"), R"({"silent_after_tokens":7})");
	Answer silent = call("POST", e.url("/v1/completions"), req, "X-Test: 1", 1000);
	EXPECT_EQ(silent.rc, CURLE_OPERATION_TIMEDOUT);
	EXPECT_NE(silent.body.find(text_of("abc", "model", 6, 7)), string::npos);
	EXPECT_EQ(silent.body.find(text_of("abc", "model", 7, 8)), string::npos);
	call("POST", e.url("/faults"), R"({"late_chunks":1})");
	Answer late = call("POST", e.url("/v1/completions"),
			   R"({"prompt":"def","stream":true,"max_tokens":2,"attempt":"r2"})");
	EXPECT_NE(late.body.find(text_of("abc", "model", 0, 1)), string::npos);
	EXPECT_EQ(call("GET", e.url("/stats")).number("late_chunks"), 1);
	call("POST", e.url("/faults"), R"({"crash_marker":"poison"})");
	EXPECT_NE(call("POST", e.url("/v1/completions"), R"({"prompt":"a poison b"})").rc,
		  CURLE_OK);
	EXPECT_EQ(e.stop(), 42);
}

/* Guards against late or missing cache accounting: a repeated prompt must prefill less. */
TEST(Engine, PrefixCacheAndEvents)
{
	Standin e("ibisgate-engine",
		  with(fast_engine, { "--prefill-rate", "1000000", "--cache-event-lag-ms", "0" }));
	string req = R"({"cache_salt":"00000000000000ff","max_tokens":1,"prompt":")" +
		     string(17000, 'x') + "\"}";

	call("POST", e.url("/v1/completions"), req);
	call("POST", e.url("/v1/completions"), req);
	Answer stats = call("GET", e.url("/stats"));
	EXPECT_EQ(stats.number("prefill_tokens"), 4250 + 250);
	EXPECT_EQ(stats.number("cached_tokens"), 4000);
	Answer events = call("GET", e.url("/cache_events?after=1"));
	EXPECT_EQ(json_array_size(json_object_get(events.json, "events")), 1u);
	EXPECT_EQ(events.number("next"), 2);
}

/* Guards against lost updates and against a version that stands for two different rows. */
TEST(Platform, CompareAndSet)
{
	Standin p("ibisgate-platform", {});
	string row = p.url("/table/claim%2Fa%2F..%2F%25");

	EXPECT_EQ(call("PUT", row, R"({"x":1})", "If-None-Match: *").number("version"), 1);
	Answer lost = call("PUT", row, "2", "If-None-Match: *");
	EXPECT_EQ(lost.status, 412);
	EXPECT_EQ(lost.number("version"), 1);
	EXPECT_EQ(json_get_i64(json_object_get(lost.json, "value"), "x", 0), 1);
	EXPECT_EQ(call("DELETE", row, "", "If-Match: 9").status, 412);
	EXPECT_EQ(call("DELETE", row, "", "If-Match: 1").status, 200);
	EXPECT_EQ(call("PUT", row, "3", "If-Match: 1").number("version"), 0);
	EXPECT_EQ(call("PUT", row, "3").number("version"), 2);
	EXPECT_STREQ(json_get_cstr(call("GET", row).json, "key", ""), "claim/a/../%");

	Answer txn = call("POST", p.url("/txn"),
			  R"({"ops":[{"op":"put","key":"b","value":1,"if_version":0},)"
			  R"({"op":"check","key":"claim/a/../%","if_version":1}]})");
	EXPECT_EQ(txn.status, 412);
	EXPECT_EQ(txn.number("failed"), 1);
	EXPECT_EQ(txn.number("version"), 2);
	EXPECT_EQ(call("GET", p.url("/table/b")).status, 404);
	call("PUT", p.url("/table/claim%2Fb"), "1");
	Answer scan = call("GET", p.url("/table?prefix=claim/&limit=1"));
	EXPECT_EQ(json_array_size(json_object_get(scan.json, "rows")), 1u);
	EXPECT_TRUE(json_get_bool(scan.json, "more", false));
	EXPECT_EQ(call("GET", p.url("/stats")).number("conflicts"), 4);
}

/* Guards against faults with the wrong effect: a dropped reply applies, an outage does not. */
TEST(Platform, DropReplyAppliesAndDownDoesNot)
{
	Standin p("ibisgate-platform", { "--writes-per-s", "8" });
	int refused = 0;

	call("POST", p.url("/faults"), R"({"drop_next_writes":1})");
	EXPECT_NE(call("PUT", p.url("/table/a"), "1").rc, CURLE_OK);
	EXPECT_EQ(call("GET", p.url("/table/a")).number("version"), 1);
	call("POST", p.url("/faults"), R"({"down":true})");
	EXPECT_NE(call("PUT", p.url("/table/a"), "2").rc, CURLE_OK);
	call("POST", p.url("/faults"), R"({"down":false})");
	EXPECT_EQ(call("GET", p.url("/table/a")).number("value"), 1);
	for (int i = 0; i < 10; i++)
		refused += call("PUT", p.url("/table/b"), "1").status == 429;
	EXPECT_GT(refused, 0);
}

/* Guards against a list without lag, and entries of killed processes that stay for ever. */
TEST(Platform, ListLagsAndExpires)
{
	Standin p("ibisgate-platform", { "--list-lag-ms", "300" });
	auto count = [&] {
		return json_array_size(
			json_object_get(call("GET", p.url("/list")).json, "endpoints"));
	};

	call("POST", p.url("/list/endpoints"), R"({"name":"e1","ttl_ms":500})");
	call("POST", p.url("/list/endpoints"), R"({"name":"e2"})");
	EXPECT_EQ(count(), 0u);
	std::this_thread::sleep_for(std::chrono::milliseconds(350));
	EXPECT_EQ(count(), 2u);
	std::this_thread::sleep_for(std::chrono::milliseconds(700));
	EXPECT_EQ(count(), 1u);
}

/* Guards against an entity tag that survives a change of the answer, the end of the lag included.
 */
TEST(Platform, ListIsTaggedByWhatReadersSee)
{
	Standin p("ibisgate-platform", { "--list-lag-ms", "300" });
	auto tag = [&] {
		string head;
		CURL *c = curl_easy_init();

		curl_easy_setopt(c, CURLOPT_URL, p.url("/list").c_str());
		curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
		curl_easy_setopt(c, CURLOPT_HEADER, 1L);
		curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append);
		curl_easy_setopt(c, CURLOPT_WRITEDATA, &head);
		EXPECT_EQ(curl_easy_perform(c), CURLE_OK);
		curl_easy_cleanup(c);
		size_t at = head.find("ETag: ") + 6;
		return head.substr(at, head.find('\r', at) - at);
	};
	auto status = [&](const string &seen) {
		return call("GET", p.url("/list"), "", ("If-None-Match: " + seen).c_str()).status;
	};
	string empty = tag();

	EXPECT_EQ(status(empty), 304);
	call("POST", p.url("/list/endpoints"), R"({"name":"e1"})");
	EXPECT_EQ(status(empty), 304) << "readers do not see the change yet";
	std::this_thread::sleep_for(std::chrono::milliseconds(350));
	EXPECT_EQ(status(empty), 200);
	string one = tag();
	EXPECT_EQ(status("\"x\", " + one), 304);
	call("DELETE", p.url("/list/endpoints/e1"));
	std::this_thread::sleep_for(std::chrono::milliseconds(350));
	EXPECT_EQ(status(one), 200);
	EXPECT_EQ(call("GET", p.url("/list"), "", ("If-None-Match: " + one).c_str()).json ? 1 : 0,
		  1);
}

/* Guards against a service that hides duplicates, which the effects log has to show. */
TEST(Service, EveryCallIsAnEffect)
{
	Standin s("ibisgate-service", {});
	string url = s.url("/call/orders");

	EXPECT_EQ(call("POST", url, "{}", "Idempotency-Key: k1").number("effect"), 1);
	call("POST", s.url("/faults"), R"({"drop_reply":1.0})");
	EXPECT_NE(call("POST", url, "{}", "Idempotency-Key: k1").rc, CURLE_OK);
	call("POST", s.url("/faults"), R"({"drop_reply":0.0,"refuse":1.0})");
	EXPECT_EQ(call("POST", url, "{}").status, 503);
	Answer a = call("GET", s.url("/effects"));
	const json_t *log = json_object_get(a.json, "effects");
	ASSERT_EQ(json_array_size(log), 2u);
	EXPECT_STREQ(json_get_cstr(json_array_get(log, 1), "key", ""), "k1");
}

static int dial(int port)
{
	sockaddr_in a = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_family = AF_INET;
	a.sin_port = htons((uint16_t)port);
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (sockaddr *)&a, sizeof(a)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Bytes of an answer within 400 ms; 0 when closed, -1 when the connection stays open and silent. */
static int ask(int fd)
{
	const char *req = "GET /load HTTP/1.1\r\nHost: x\r\n\r\n";
	pollfd p = { .fd = fd, .events = POLLIN, .revents = 0 };
	char buf[1024];

	if (send(fd, req, strlen(req), MSG_NOSIGNAL) < 0)
		return 0;
	if (poll(&p, 1, 400) == 0)
		return -1;
	return (int)std::max<ssize_t>(recv(fd, buf, sizeof(buf), 0), 0);
}

/* Guards against a silent mode that closes, passes bytes, or revives a stream with a hole. */
TEST(FaultProxy, SilentCutAndDroppedReplies)
{
	Standin s("ibisgate-service", {});
	Standin p("ibisgate-faultproxy", { "--control", "0", "--route", "s=" + s.address() });
	int port = p.route("s");
	auto fault = [&](const string &body) {
		EXPECT_EQ(call("POST", p.url("/faults"), body).status, 200) << body;
	};
	int old_fd = dial(port);
	int idle_fd = dial(port);

	EXPECT_GT(ask(old_fd), 0);
	EXPECT_GT(ask(idle_fd), 0);
	fault(R"({"route":"s","mode":"silent","existing_only":true})");
	int new_fd = dial(port);
	EXPECT_EQ(ask(old_fd), -1);
	EXPECT_GT(ask(new_fd), 0);
	fault(R"({"route":"*","mode":"pass"})");
	EXPECT_EQ(ask(old_fd), -1);
	EXPECT_GT(ask(idle_fd), 0);
	fault(R"({"route":"s","mode":"drop_replies"})");
	EXPECT_EQ(ask(new_fd), 0);
	fault(R"({"route":"s","mode":"cut"})");
	EXPECT_EQ(ask(idle_fd), 0);
	EXPECT_EQ(dial(port), -1);
	fault(R"({"route":"s","mode":"pass","delay_ms":100})");
	int slow_fd = dial(port);
	auto start = std::chrono::steady_clock::now();
	EXPECT_GT(ask(slow_fd), 0);
	EXPECT_GE(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(200));
	for (int fd : { old_fd, idle_fd, new_fd, slow_fd })
		close(fd);
}
