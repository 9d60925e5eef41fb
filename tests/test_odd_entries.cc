#include "played_endpoint.h"

#include <atomic>

/* Entries of another writer in the list of endpoints. */
class OddEntriesTest : public PlayedEndpointTest
{
      protected:
	static std::string nested(int depth)
	{
		return std::string((size_t)depth, '[') + std::string((size_t)depth, ']');
	}
	static std::string replaced(std::string text, const std::string &from,
				    const std::string &to)
	{
		size_t at = text.find(from);

		EXPECT_NE(at, std::string::npos) << from;
		return at == std::string::npos ? text : text.replace(at, from.size(), to);
	}
	/* A sound entry of service "orders" at @port. */
	static std::string entry(int port)
	{
		return "{\"service\":\"orders\",\"address\":\"127.0.0.1:" + std::to_string(port) +
		       "\",\"zone\":\"dc0\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
		       "\"coldLeftMs\":0,\"seq\":1,\"born\":1000}";
	}
	/* Entries that name no endpoint to use. */
	static std::vector<std::string> odd_entries(int port)
	{
		const std::string good = entry(port);
		const std::string address = "127.0.0.1:" + std::to_string(port);
		std::vector<std::string> out = {
			"",
			"[]",
			"3",
			"\x01\x02",
			good.substr(0, good.size() / 2),
			nested(20000),
			replaced(good, "}", ",\"models\":" + nested(20000) + "}"),
			replaced(good, "}", ",\"models\":" + nested(25000).substr(0, 25000) + "}"),
		};

		for (const char *number :
		     { "0", "-1", "1.5", "1e400", "4294967297", "4294967360", "9223372036854775807",
		       "99999999999999999999999", "\"64\"", "null", "true", "[]" })
			out.push_back(
				replaced(good, "\"slots\":64", std::string("\"slots\":") + number));
		for (const char *number :
		     { "1e400", "99999999999999999999999", "1.5", "\"1000\"", "-1", "[]" }) {
			out.push_back(
				replaced(good, "\"born\":1000", std::string("\"born\":") + number));
			out.push_back(
				replaced(good, "\"seq\":1", std::string("\"seq\":") + number));
		}
		for (const char *number : { "1e400", "99999999999999999999999", "\"0\"", "[]" })
			out.push_back(replaced(good, "\"coldLeftMs\":0",
					       std::string("\"coldLeftMs\":") + number));
		for (const std::string &a :
		     { std::string("127.0.0.1:65536"), std::string("127.0.0.1:0"),
		       std::string("127.0.0.1:-1"), std::string("127.0.0.1:99999999999999999999"),
		       "127.0.0.1:" + std::to_string(port + 65536), std::string("127.0.0.1"),
		       std::string("localhost:") + std::to_string(port), address + " ",
		       address + "\\r\\nX: y", std::string("") })
			out.push_back(replaced(good, address, a));
		for (const char *field :
		     { "\"service\":\"orders\",", "\"zone\":\"dc0\",", "\"version\":\"v1\",",
		       "\"slots\":64,", "\"state\":\"ready\",", "\"coldLeftMs\":0,", "\"seq\":1," })
			out.push_back(replaced(good, field, ""));
		out.push_back(replaced(good, "\"version\":\"v1\"", "\"version\":1"));
		out.push_back(replaced(good, "\"state\":\"ready\"", "\"state\":\"idle\""));
		return out;
	}
	void put_entry(const std::string &key, const std::string &value)
	{
		json_t *o = json_pack("{s:s,s:s,s:s%}", "table", "servers", "key", key.c_str(),
				      "value", value.data(), value.size());

		char *text = json_dumps(o, JSON_COMPACT);
		grid->post_json("/row", text);
		free(text);
		json_decref(o);
	}
};

/*
 * Guards against one odd entry that ends the instances which read the list, stops them from
 * following it, or is used.
 */
TEST_F(OddEntriesTest, AreNotUsedAndHideNoOtherEntry)
{
	struct harness_process *p = start_all(2, 0, 1);
	std::atomic<int> uses{ 0 };
	TinyServer server([&](int fd, const std::string &request) {
		std::string id = request_id(request);

		uses++;
		TinyServer::send_bytes(fd, "HTTP/1.1 200 OK\r\nX-Ibisgate-Server-Signature: odd\r\n"
					   "X-Ibisgate-Request-Id: " +
						   id + "\r\nContent-Length: 0\r\n\r\n");
		return true;
	});
	std::vector<std::string> odd = odd_entries(server.port);

	for (size_t i = 0; i < odd.size(); i++) {
		put_entry("odd-" + std::to_string(i), odd[i]);
		if (i % 10)
			continue;
		usleep(300000);
		for (int k = 0; k < 4; k++)
			EXPECT_EQ(send_request(p, request_text("order/x")).status, 200) << odd[i];
		EXPECT_EQ(uses, 0) << "after " << odd[i].substr(0, 300);
		uses = 0;
	}
	/* Both the instance that follows the list and one that reads it whole. */
	struct harness_process *q = start_instance(1);
	EXPECT_TRUE(eventually([&] { return ready_status(q) == 200; }, 5000));
	usleep(500000);
	for (int k = 0; k < 20; k++) {
		EXPECT_EQ(send_request(p, request_text("order/x")).status, 200);
		EXPECT_EQ(send_request(q, request_text("order/x")).status, 200);
	}
	EXPECT_EQ(uses, 0);
	put_entry("sound", entry(server.port));
	set_endpoint_state("s0", "gone");
	EXPECT_TRUE(eventually(
		[&] {
			return send_request(p, request_text("order/x"))
					       .field("X-Ibisgate-Server-Signature") == "odd" &&
			       send_request(q, request_text("order/x"))
					       .field("X-Ibisgate-Server-Signature") == "odd";
		},
		3000))
		<< "the list is no longer followed";
	EXPECT_EQ(harness_process_stop(p, 8000), 0);
	EXPECT_EQ(harness_process_stop(q, 8000), 0);
}
