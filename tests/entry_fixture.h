#ifndef IBISGATE_TESTS_ENTRY_FIXTURE_H
#define IBISGATE_TESTS_ENTRY_FIXTURE_H

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "standin_process.h"

extern "C" {
#include "ibisgate/harness/harness.h"
}

/* A response as a caller reads it from its socket. */
struct Response {
	int status = 0;
	std::string head;
	/* Decoded, without chunk framing. */
	std::string body;
	/* The whole announced body, or the last chunk, has arrived. */
	bool complete = false;
	bool closed = false;

	std::string field(const std::string &name) const
	{
		size_t at = head.find("\r\n" + name + ": ");

		if (at == std::string::npos)
			return "";
		at += name.size() + 4;
		return head.substr(at, head.find("\r\n", at) - at);
	}
};

/* A caller's connection. */
class Caller
{
      public:
	/* @may_fail: the peer may be down, so a failed connect is not an error */
	explicit Caller(int port, const char *ip = "127.0.0.1", bool may_fail = false)
	{
		struct sockaddr_in sin = {};

		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sin.sin_family = AF_INET;
		sin.sin_port = htons((uint16_t)port);
		inet_pton(AF_INET, ip, &sin.sin_addr);
		int rc = connect(fd, (struct sockaddr *)&sin, sizeof(sin));
		EXPECT_TRUE(rc == 0 || may_fail) << port;
	}
	~Caller()
	{
		disconnect();
	}
	Caller(const Caller &) = delete;
	Caller &operator=(const Caller &) = delete;

	void disconnect()
	{
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	void send_text(const std::string &text, bool may_fail = false)
	{
		ssize_t n = send(fd, text.data(), text.size(), MSG_NOSIGNAL);

		EXPECT_TRUE(n == (ssize_t)text.size() || may_fail);
	}
	/* Reads until the response is complete, the connection ends or the timeout expires. */
	Response read_response(int timeout_ms = 5000)
	{
		int64_t until = clock_boot_ms() + timeout_ms;
		Response a;

		while (!parse(&a) && clock_boot_ms() < until) {
			struct pollfd p = { fd, POLLIN, 0 };
			char data[65536];

			if (poll(&p, 1, (int)(until - clock_boot_ms())) <= 0)
				break;
			ssize_t n = recv(fd, data, sizeof(data), 0);
			if (n <= 0) {
				a.closed = true;
				parse(&a);
				break;
			}
			received.append(data, (size_t)n);
		}
		return a;
	}
	/* Waits until @text has been received. */
	bool wait_for_text(const std::string &text, int timeout_ms = 3000)
	{
		int64_t until = clock_boot_ms() + timeout_ms;

		while (received.find(text) == std::string::npos && clock_boot_ms() < until) {
			struct pollfd p = { fd, POLLIN, 0 };
			char data[4096];

			if (poll(&p, 1, 50) <= 0)
				continue;
			ssize_t n = recv(fd, data, sizeof(data), 0);
			if (n <= 0)
				return false;
			received.append(data, (size_t)n);
		}
		return received.find(text) != std::string::npos;
	}
	int fd = -1;
	std::string received;

      private:
	bool parse(Response *a)
	{
		size_t end = received.find("\r\n\r\n");

		a->body.clear();
		if (end == std::string::npos)
			return false;
		a->head = received.substr(0, end + 2);
		a->status = atoi(a->head.c_str() + 9);
		std::string rest = received.substr(end + 4);
		if (a->field("Transfer-Encoding") != "chunked") {
			size_t len = (size_t)atoi(a->field("Content-Length").c_str());

			a->body = rest.substr(0, len);
			a->complete = a->body.size() == len;
			if (a->complete)
				received = rest.substr(len);
			return a->complete;
		}
		for (size_t at = 0;;) {
			size_t line = rest.find("\r\n", at);

			if (line == std::string::npos)
				return false;
			size_t len = strtoul(rest.c_str() + at, nullptr, 16);
			if (rest.size() < line + 4 + len)
				return false;
			if (!len) {
				a->complete = true;
				received = rest.substr(line + 4);
				return true;
			}
			a->body += rest.substr(line + 2, len);
			at = line + 4 + len;
		}
	}
};

/* Runs a stand-in of the platform and real instances that use it. */
class EntryTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct error err = {};

		h = harness_create(&err);
		ASSERT_NE(h, nullptr) << err.text;
	}
	void TearDown() override
	{
		harness_destroy(h);
		for (const auto &r : reserved_ports)
			close(r.second);
	}
	void start_grid(int engines = 4, int prefill = 2, int services = 2)
	{
		grid = std::make_unique<StandinProcess>(
			"ibisgate-grid",
			std::vector<std::string>{ "--engines", std::to_string(engines), "--prefill",
						  std::to_string(prefill), "--services",
						  std::to_string(services) });
	}
	static std::string rule_json(const std::string &name, const std::string &kind,
				     const std::string &service, int attempts, bool resumable,
				     int timeout_ms = 3000)
	{
		return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"prefix\":\"/" + name +
		       "/\",\"routeKind\":\"" + kind +
		       "\",\"timeoutMs\":" + std::to_string(timeout_ms) +
		       ",\"latencyTargetMs\":200,\"priority\":1,\"service\":\"" + service +
		       "\",\"maxAttempts\":" + std::to_string(attempts) +
		       ",\"resumable\":" + (resumable ? "true" : "false") + ",\"gapTargetMs\":100}";
	}
	static std::string config_json(int version, const std::string &extra_rules = "")
	{
		return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
		       rule_json("stream", "streaming", "models", 2, true) + "," +
		       rule_json("once", "streaming", "models", 1, false) + "," +
		       rule_json("order", "non_idempotent", "orders", 1, false) + "," +
		       rule_json("peek", "idempotent", "orders", 2, false) + "," +
		       rule_json("brief", "streaming", "models", 1, false, 400) +
		       (extra_rules.empty() ? "" : "," + extra_rules) +
		       "],\"services\":[{\"name\":\"models\",\"maxConns\":370,\"engine\":{"
		       "\"slots\":"
		       "64,\"kvCapacity\":400000,\"kvTokenBytes\":18432,\"linkMbps\":370000.0}},"
		       "{\"name\":\"orders\",\"maxConns\":110}],\"limits\":{\"maxHeaderBytes\":"
		       "4096,"
		       "\"maxBodyBytes\":100000,\"headerTimeoutMs\":700,\"idleTimeoutMs\":5000}}";
	}
	/* Lists the endpoint @id at another port. */
	void move_endpoint(const std::string &id, int port)
	{
		grid->post_json("/node", "{\"id\":\"" + id + "\",\"address\":\"127.0.0.1:" +
						 std::to_string(port) + "\",\"state\":\"ready\"}");
	}
	void put_config(const std::string &text)
	{
		grid->post_json("/row",
				"{\"table\":\"op\",\"key\":\"config\",\"value\":" + text + "}");
	}
	/* Adds a route "store" to the store to a proxy and returns its port. */
	int proxy_store_route(StandinProcess &proxy)
	{
		json_t *o =
			proxy.send_json("POST", "/routes",
					"{\"name\":\"store\",\"target\":\"127.0.0.1:" +
						std::to_string(grid->route_port("store")) + "\"}");
		int port = (int)json_get_i64(o, "port", 0);

		json_decref(o);
		return port;
	}
	void set_endpoint_fault(const std::string &id, const std::string &fault, int remaining = -1)
	{
		grid->post_json("/node", "{\"id\":\"" + id + "\",\"fault\":\"" + fault +
						 "\",\"left\":" + std::to_string(remaining) + "}");
	}
	void set_endpoint_state(const std::string &id, const std::string &state)
	{
		grid->post_json("/node", "{\"id\":\"" + id + "\",\"state\":\"" + state + "\"}");
	}
	void set_store_mode(const std::string &mode)
	{
		grid->post_json("/store", "{\"mode\":\"" + mode + "\"}");
	}
	/*
	 * Takes the store away for 300 ms, and brings it back from a copy of the boot time
	 * @copy_ms; what the operator and the endpoints wrote since is written again 300 ms later.
	 */
	void drill_begin(int64_t copy_ms, int64_t away_ms = 300, int64_t rewrite_ms = 300)
	{
		grid->post_json(
			"/store",
			"{\"drill\":{\"age_ms\":" + std::to_string(clock_boot_ms() - copy_ms) +
				",\"away_ms\":" + std::to_string(away_ms) +
				",\"rewrite_ms\":" + std::to_string(rewrite_ms) + "}}");
	}
	void drill_store(int64_t copy_ms)
	{
		drill_begin(copy_ms);
		usleep(700000);
	}
	std::string settings_text(int index, double prefill_share)
	{
		std::string ip = instance_ip(index);
		std::string text =
			"[instance]\nid = a-" + std::to_string(index) + "\ndata-centre = dc" +
			std::to_string(index % dc_count) +
			"\nregion = r\n[platform]\nkind = rows\nurl = "
			"http://127.0.0.1:" +
			std::to_string(store_port ? store_port : grid->route_port("store")) +
			"\n[http]\nlisten = " + ip + ":0\n[ready]\nlisten = " + ip +
			":0\n[metrics]\nlisten = " + ip + ":0\n[peer]\nlisten = " + ip + ":" +
			std::to_string(peer_port()) + "\n[seeds]\nseed-0 = " + instance_ip(0) +
			":1\n[bounds]\nretry-ratio = 0.2\n"
			"retry-fixed = 58\nretry-window-ms = 10000\nstop-grace-ms = 8000\n"
			"instances-min = 2\n[stages]\nprefill-share = " +
			std::to_string(prefill_share) + "\n" + extra_settings;

		return text;
	}
	/* Throws if the instance does not start, which ends the test with a failure. */
	struct harness_process *start_instance(int index = 0, double prefill_share = -1)
	{
		std::string name = "a-" + std::to_string(index);
		std::string path = std::string(h->dir) + "/" + name + ".ini";
		struct error err = {};
		FILE *f = fopen(path.c_str(), "w");

		peer_port();
		reserve_peer_port(index);
		fputs(settings_text(index, prefill_share).c_str(), f);
		fclose(f);
		const char *const argv[] = { "--settings", path.c_str(), nullptr };
		struct harness_process *p =
			harness_process_start(h, name.c_str(), "ibisgated", argv, &err);
		if (!p)
			throw std::runtime_error(err.text);
		return p;
	}
	static std::string process_ip(const struct harness_process *p)
	{
		return instance_ip(atoi(p->name + 2));
	}
	/*
	 * Loopback addresses used by this test process only: another test run could listen on the
	 * peer port of an instance that is down (soak seed 119 beside seed 103).
	 */
	static std::string instance_ip(int index)
	{
		int pid = (int)getpid();

		return "127." + std::to_string(1 + pid / 250 % 250) + "." +
		       std::to_string(pid % 250) + "." + std::to_string(11 + index);
	}
	int ready_status(const struct harness_process *p)
	{
		Caller c(harness_process_port(p, "ready"), process_ip(p).c_str());

		c.send_text("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
		return c.read_response(1000).status;
	}
	/* Starts the grid with a configuration, and one instance, and waits until it is ready. */
	struct harness_process *start_all(int engines = 4, int prefill = 2, int services = 2)
	{
		start_grid(engines, prefill, services);
		put_config(config_json(1));
		struct harness_process *p = start_instance();
		EXPECT_TRUE(eventually([&] { return ready_status(p) == 200; }, 5000));
		return p;
	}
	/*
	 * Starts the grid with a configuration, and @count instances; more than two of them are in
	 * two data centres and talk through delegates.
	 */
	std::vector<struct harness_process *> start_instances(int count, int engines, int prefill,
							      int services)
	{
		std::vector<struct harness_process *> all;

		start_grid(engines, prefill, services);
		put_config(config_json(1));
		if (count > 2) {
			dc_count = 2;
			extra_settings = "[place]\nnear-engines = 1\nnear-instances = 2\n";
		}
		for (int i = 0; i < count; i++)
			all.push_back(start_instance(i));
		for (struct harness_process *p : all)
			EXPECT_TRUE(eventually([&] { return ready_status(p) == 200; }, 5000));
		return all;
	}
	std::string request_text(const std::string &target, const std::string &method = "POST",
				 const std::string &fields = "", const std::string &body = "x")
	{
		std::string id = "r" + std::to_string(++last_request);
		std::string text = method + " /" + target + " HTTP/1.1\r\nHost: h.example\r\n" +
				   "X-Ibisgate-Request-Id: " + id +
				   "\r\nX-Ibisgate-Deadline-Ms: 3000\r\n" + fields;

		if (method == "POST")
			text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
		return text + "\r\n" + (method == "POST" ? body : "");
	}
	std::string generation_text(const std::string &target, int events = 5,
				    const std::string &fields = "")
	{
		return request_text(target, "POST",
				    fields +
					    "X-Ibisgate-Model: m\r\nX-Ibisgate-Token-Count: 1460," +
					    std::to_string(events) +
					    "\r\nX-Ibisgate-Prefix-Hash: a1:800,b2:410,c" +
					    std::to_string(last_request) + ":250\r\n");
	}
	std::string last_id() const
	{
		return "r" + std::to_string(last_request);
	}
	/* Three endpoints crash one after the other while they run @body, sent through @p. */
	void crash_three(struct harness_process *p, const std::string &body)
	{
		set_endpoint_fault("", "lose-answer");
		for (int i = 0; i < 3; i++) {
			EXPECT_EQ(send_request(p, request_text("order/x", "POST", "", body)).status,
				  502);
			auto r = runs(last_id());
			ASSERT_EQ(r.size(), 1u);
			set_endpoint_state(r[0].node, "gone");
			usleep(700000);
		}
		set_endpoint_fault("", "ok");
	}
	/* Number of established connections to a port on loopback, from the kernel's table. */
	static int connection_count(pid_t pid, int port)
	{
		std::string path = "/proc/" + std::to_string(pid) + "/net/tcp";
		FILE *f = fopen(path.c_str(), "re");
		char line[512], pattern[32];
		int n = 0;

		snprintf(pattern, sizeof(pattern), " 0100007F:%04X 01 ", port);
		while (f && fgets(line, sizeof(line), f))
			n += strstr(line, pattern) != nullptr;
		if (f)
			fclose(f);
		return n;
	}
	Response send_request(const struct harness_process *p, const std::string &text,
			      int timeout_ms = 5000)
	{
		Caller c(harness_process_port(p, "http"), process_ip(p).c_str());

		c.send_text(text);
		return c.read_response(timeout_ms);
	}
	std::string event_text(const std::string &id, int count, int from = 1)
	{
		std::string text;

		for (int k = from; k <= count; k++)
			text += "id: " + std::to_string(k) + "\ndata: " + id + "." +
				std::to_string(k) + "\n\n";
		return text;
	}
	struct Run {
		std::string node, id, work, detail;
		int64_t at_ms;
		bool cancelled;
		std::string organisation;
		bool has_key;
	};
	std::vector<Run> runs(const std::string &id = "")
	{
		json_t *o = grid->send_json("GET", "/runs");
		std::vector<Run> out;
		json_t *r;
		size_t i;

		json_array_foreach(json_object_get(o, "runs"), i, r) {
			Run run = { json_get_cstr(r, "node", ""),
				    json_get_cstr(r, "id", ""),
				    json_get_cstr(r, "work", ""),
				    json_get_cstr(r, "detail", ""),
				    json_get_i64(r, "at_ms", 0),
				    json_get_bool(r, "cancelled", false),
				    json_get_cstr(r, "organisation", ""),
				    json_get_bool(r, "has_key", false) };

			if (id.empty() || run.id == id)
				out.push_back(run);
		}
		json_decref(o);
		return out;
	}
	using Figures = std::map<std::string, int64_t>;

	/* A call of the one instance that does the work for all, in the order of their arrival. */
	struct DutyCall {
		std::string holder;
		int64_t fencing, at_ms, window;
		bool accepted;
		Figures figures;
	};
	std::vector<DutyCall> duty_calls()
	{
		json_t *o = grid->send_json("GET", "/runs");
		std::vector<DutyCall> out;
		json_t *c;
		size_t i;

		json_array_foreach(json_object_get(o, "api_calls"), i, c) {
			json_t *body = json_object_get(c, "body");
			DutyCall call = { json_get_cstr(c, "holder", ""),
					  json_get_i64(c, "fencing", 0),
					  json_get_i64(c, "at_ms", 0),
					  json_get_i64(body, "windowId", 0),
					  json_get_bool(c, "accepted", false),
					  {} };
			const char *name;
			json_t *value;

			json_object_foreach(json_object_get(body, "counts"), name, value)
				call.figures[name] = json_integer_value(value);
			out.push_back(call);
		}
		json_decref(o);
		return out;
	}
	/* Calls that break the platform's rules for holders. */
	std::vector<std::string> duty_call_faults()
	{
		/* Time within which holders don't take turns, in milliseconds. */
		const int64_t turn_ms = 1000;
		std::map<int64_t, Figures> seen;
		std::map<int64_t, std::string> holders;
		std::vector<DutyCall> list = duty_calls();
		std::vector<std::string> out;
		int64_t newest = 0;

		for (size_t i = 0; i < list.size(); i++) {
			const DutyCall &c = list[i];
			std::string name = "call " + std::to_string(i) + " of " + c.holder;
			bool other = false;

			if (c.fencing < newest)
				out.push_back(name + ": older fencing token");
			newest = c.fencing;
			if (holders.emplace(c.fencing, c.holder).first->second != c.holder)
				out.push_back(name + ": fencing token of another holder");
			if (seen.emplace(c.window, c.figures).first->second != c.figures)
				out.push_back(name + ": other figures of window " +
					      std::to_string(c.window));
			for (size_t k = i; k-- > 0 && list[k].at_ms > c.at_ms - turn_ms;) {
				other |= list[k].holder != c.holder;
				if (other && list[k].holder == c.holder)
					out.push_back(name + ": holders take turns");
			}
		}
		return out;
	}
	/* Number of executions of a generation or a call, without prefills. */
	int run_count(const std::string &id)
	{
		int n = 0;

		for (const Run &r : runs(id))
			n += r.work == "stream" || r.work == "call";
		return n;
	}
	int peer_port()
	{
		if (!chosen_peer_port)
			reserve_peer_port(0);
		return chosen_peer_port;
	}
	/*
	 * Binds the peer port on the address of an instance, without listening, until the test
	 * ends. Otherwise, the kernel may choose that port for another listener of the instance.
	 */
	void reserve_peer_port(int index)
	{
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);
		int one = 1;

		if (reserved_ports.count(index))
			return;
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		sin.sin_family = AF_INET;
		sin.sin_port = htons((uint16_t)chosen_peer_port);
		inet_pton(AF_INET, instance_ip(index).c_str(), &sin.sin_addr);
		EXPECT_EQ(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
		getsockname(fd, (struct sockaddr *)&sin, &len);
		chosen_peer_port = ntohs(sin.sin_port);
		reserved_ports[index] = fd;
	}

	struct harness *h = nullptr;
	std::unique_ptr<StandinProcess> grid;
	int last_request = 0;
	int chosen_peer_port = 0;
	/* Sockets that reserve the peer port, by instance. */
	std::map<int, int> reserved_ports;
	/* Port of a proxy in front of the store; 0 to connect to the store directly. */
	int store_port = 0;
	/* Number of data centres that instances are spread over. */
	int dc_count = 1;
	/* Additional sections for the settings of instances started later. */
	std::string extra_settings;
};

#endif
