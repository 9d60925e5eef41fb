#include "entry_fixture.h"
#include "hostile_crowd.h"

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <random>
#include <set>
#include <thread>

/*
 * Randomized faults on real processes: three instances in front of a stand-in of the platform, with
 * a proxy on every connection to the store and to the endpoints. Callers keep their connections
 * open and check each response; what ran is compared with what was sent. SOAK_SEED and SOAK_SECONDS
 * select the run, see tools/soak. A seed that has failed gets its own test in tests/meson.build,
 * with a line on the cause.
 */

namespace
{

struct Outcome {
	std::string kind;
	std::string key;
	int status = 0;
	bool complete = false;
};

int env_int(const char *name, int fallback)
{
	const char *value = getenv(name);

	return value && value[0] ? atoi(value) : fallback;
}

} // namespace

class SoakTest : public EntryTest
{
      protected:
	static constexpr int INSTANCES = 3;
	static constexpr int CALLERS = 9;
	/* Maximum time until a change takes effect while the store is healthy, in milliseconds. */
	static constexpr int64_t PROPAGATION_MS = 2500;
	/* Minimum time between orders of two different lease holders, in milliseconds. */
	static constexpr int64_t LEASE_HANDOFF_MIN_MS = 3000;
	/* Longer than a drill takes until all is written again. */
	static constexpr int64_t DRILL_GAP_MS = 3000;

	void SetUp() override
	{
		EntryTest::SetUp();
		start_grid(6, 1, 3);
		grid->post_json("/store", "{\"era\":1}");
		proxy = std::make_unique<StandinProcess>("ibisgate-faultproxy",
							 std::vector<std::string>{});
		for (const char *id : { "e0", "e1", "e2", "e3", "e4", "e5", "s0", "s1", "s2" }) {
			json_t *o = grid->send_json("GET", "/ports");
			int port = (int)json_get_i64(o, id, 0);

			json_decref(o);
			int at = add_route(id, port);
			grid->post_json("/node",
					std::string("{\"id\":\"") + id +
						"\",\"address\":\"127.0.0.1:" + std::to_string(at) +
						"\",\"state\":\"ready\"}");
		}
		store_port = add_route("store", grid->route_port("store"));
		put_config(keys_json(true));
		extra_settings = "[machine]\nmemory-mb = 120\ndescriptors = 500\n[duties]\napi = "
				 "127.0.0.1:" +
				 std::to_string(grid->route_port("api")) +
				 "\nkinds = usage_report\ncalls-per-s = 5\nlease-ms = 1000\n"
				 "usage-window-s = 2\nusage-late-s = 10\n";
		for (int i = 0; i < INSTANCES; i++) {
			instances.push_back(start_instance(i, 0.5));
			ports[i] = harness_process_port(instances.back(), "http");
		}
		for (struct harness_process *p : instances)
			ASSERT_TRUE(eventually([&] { return ready_status(p) == 200; }, 8000));
	}
	/* The next configuration; key k-old is in force only @with_old. */
	std::string keys_json(bool with_old)
	{
		std::string text = config_json(++version);
		std::string old = with_old ? ",\"k-old\"" : "";

		text.insert(text.find("\"limits\""),
			    "\"tenants\":[{\"name\":\"one\",\"apiKeys\":[\"k-one\"" + old + "]}],");
		return text;
	}
	static std::string key_field(const std::string &key)
	{
		return "Authorization: Token " + key + "\r\n";
	}
	int add_route(const std::string &name, int target)
	{
		json_t *o = proxy->send_json("POST", "/routes",
					     "{\"name\":\"" + name + "\",\"target\":\"127.0.0.1:" +
						     std::to_string(target) + "\"}");
		int port = (int)json_get_i64(o, "port", 0);

		json_decref(o);
		return port;
	}
	void set_route_fault(const std::string &name, const std::string &mode, int delay_ms = 0)
	{
		proxy->post_json("/faults", "{\"route\":\"" + name + "\",\"mode\":\"" + mode +
						    "\",\"delay_ms\":" + std::to_string(delay_ms) +
						    "}");
	}
	void add_violation(const std::string &text)
	{
		std::lock_guard<std::mutex> guard(lock);

		violations.push_back(text);
	}
	/*
	 * Runs one caller, which sends one request after the other and reuses its connection while
	 * it stays open.
	 */
	void run_caller(int index, unsigned seed)
	{
		static const char *const kinds[] = { "stream", "once", "order", "peek" };
		static const char *const keys[] = { "k-one", "k-old", "k-one", "k-none", "k-one" };
		std::mt19937 rng(seed + (unsigned)index);
		std::unique_ptr<Caller> c;
		int sent = 0;
		int at = 0;

		while (!stopping) {
			std::string kind = kinds[rng() % 4];
			std::string id = "c" + std::to_string(index) + "n" + std::to_string(++sent);
			int events = 2 + (int)(rng() % 12);
			std::string key = keys[sent % 5];

			if (!c || rng() % 20 == 0) {
				at = (int)(rng() % INSTANCES);
				c = std::make_unique<Caller>(ports[at], instance_ip(at).c_str(),
							     true);
			}
			{
				std::lock_guard<std::mutex> guard(lock);
				outcomes[id].kind = kind;
				outcomes[id].key = key;
			}
			c->send_text(request_bytes(kind, id, events, key), true);
			Response a = c->read_response(4000);
			check_response(kind, id, events, a);
			if (!a.complete || a.field("Connection") == "close")
				c.reset();
			std::this_thread::sleep_for(std::chrono::milliseconds(rng() % 20));
		}
	}
	static std::string request_bytes(const std::string &kind, const std::string &id, int events,
					 const std::string &key)
	{
		bool get = kind == "peek";
		std::string text =
			(get ? "GET /" : "POST /") + kind +
			"/x HTTP/1.1\r\nHost: h.example\r\nX-Ibisgate-Request-Id: " + id +
			"\r\nX-Ibisgate-Deadline-Ms: 3000\r\n" + key_field(key);

		if (kind == "stream" || kind == "once")
			text += "X-Ibisgate-Model: m\r\nX-Ibisgate-Token-Count: 1000," +
				std::to_string(events) + "\r\nX-Ibisgate-Prefix-Hash: a" +
				std::to_string(events) + ":800," + id + ":200\r\n";
		return text + (get ? "\r\n" : "Content-Length: 1\r\n\r\nx");
	}
	void check_response(const std::string &kind, const std::string &id, int events,
			    const Response &a)
	{
		bool generation = kind == "stream" || kind == "once";

		{
			std::lock_guard<std::mutex> guard(lock);
			outcomes[id].status = a.status;
			outcomes[id].complete = a.complete;
			if (a.status == 401 && outcomes[id].key == "k-one")
				violations.push_back("KEY " + id + ": refused");
		}
		if (a.status && a.field("X-Ibisgate-Request-Id") != id && a.status != 408)
			add_violation("MIXED " + id + ": answer of " +
				      a.field("X-Ibisgate-Request-Id"));
		if (a.status != 200 || !a.complete)
			return;
		if (generation && a.body != this->event_text(id, events))
			add_violation("ORDER " + id + " of " + std::to_string(events) +
				      " events: " + a.body);
		if (!generation && a.body.find("\"id\":\"" + id + "\"") == std::string::npos)
			add_violation("MIXED " + id + ": " + a.body);
		served_count++;
	}
	/*
	 * Makes the engines, or the endpoints of the plain services, misbehave for some requests.
	 */
	void inject_endpoint_faults(std::mt19937 &rng)
	{
		static const char *const engines[] = { "cut-stream",  "skip-event", "full",
						       "lose-answer", "moved",	    "silent" };
		static const char *const services[] = { "lose-answer", "truncate", "garble",
							"extra",       "full",	   "moved",
							"error",       "silent" };
		bool engine = rng() % 2;
		const char *fault = engine ? engines[rng() % 6] : services[rng() % 8];
		int remaining = 1 + (int)(rng() % 8);

		for (int i = 0; i < (engine ? 6 : 3); i++)
			set_endpoint_fault((engine ? "e" : "s") + std::to_string(i), fault,
					   remaining);
	}
	/* Triggers one random fault or change, which ends by itself or in clear_faults(). */
	void inject_random_action(std::mt19937 &rng)
	{
		static const char *const modes[] = {
			"cut",		"silent", "silent_to_target", "silent_to_client",
			"drop_replies", "pass"
		};
		struct harness_process *p = instances[rng() % INSTANCES];
		std::string node_id = rng() % 3 ? "e" + std::to_string(rng() % 6)
						: "s" + std::to_string(rng() % 3);
		unsigned action = (unsigned)(rng() % 14);

		switch (action) {
		case 0:
			harness_process_signal(p, SIGSTOP);
			std::this_thread::sleep_for(std::chrono::milliseconds(200 + rng() % 2500));
			harness_process_signal(p, SIGCONT);
			break;
		case 1:
			restart(p, SIGKILL);
			break;
		case 2:
			restart(p, SIGTERM);
			break;
		case 3:
			set_route_fault("store", modes[rng() % 6], rng() % 3 ? 0 : 100);
			break;
		case 4:
		case 5:
			set_route_fault(node_id, modes[rng() % 6], rng() % 3 ? 0 : 60);
			break;
		case 6:
		case 7:
		case 11:
		case 12:
		case 13:
			inject_endpoint_faults(rng);
			break;
		case 8:
			set_store_mode(rng() % 2 ? "reset" : "busy");
			break;
		case 9:
			put_config(keys_json(true));
			break;
		case 10:
			clear_faults();
			break;
		}
	}
	void restart(struct harness_process *p, int sig)
	{
		int i = atoi(p->name + 2);

		harness_process_signal(p, sig);
		if (harness_process_wait(p, 9500) != 0)
			add_violation(std::string("LOST ") + p->name + ": did not stop in time");
		start_instance(i, 0.5);
		ports[i] = harness_process_port(p, "http");
	}
	void clear_faults()
	{
		set_store_mode("up");
		set_route_fault("store", "pass");
		for (const char *id : { "e0", "e1", "e2", "e3", "e4", "e5", "s0", "s1", "s2" }) {
			set_route_fault(id, "pass");
			set_endpoint_fault(id, "ok");
		}
	}
	/* Opens connections that stay until the next crowd, silent or with half a request each. */
	void start_crowd(std::mt19937 &rng)
	{
		int at = (int)(rng() % INSTANCES);
		CrowdText text{ "", "x", 0 };
		Watch watch(instances[(size_t)at]->pid);

		if (rng() % 2)
			text = { "POST /order/x HTTP/1.1\r\nHost: h.example\r\n"
				 "Content-Length: 90000\r\n\r\n",
				 "x", 1000 };
		crowd = std::make_unique<Crowd>(instance_ip(at),
						rng() % 3 ? (int)ports[at] : peer_port());
		crowd->press(60, text, watch);
	}
	/*
	 * The store comes back from an older copy, though none that is older than the run. What the
	 * operator and the endpoints wrote is back within the pause of drain_random_endpoint().
	 */
	void start_drill(std::mt19937 &rng, int64_t begun_ms)
	{
		int64_t now = clock_boot_ms();
		int64_t copy_ms = std::max<int64_t>(now - 1000 - (int64_t)(rng() % 6000), begun_ms);
		int64_t away_ms = rng() % 800, rewrite_ms = 100 + rng() % 1800;

		if (now - drilled_ms < DRILL_GAP_MS)
			return;
		drilled_ms = now;
		drills++;
		drill_begin(copy_ms, away_ms, rewrite_ms);
	}
	/*
	 * Drains an endpoint and withdraws a key while the store is healthy; no new request may
	 * reach the one or run with the other afterwards.
	 */
	void drain_random_endpoint(std::mt19937 &rng)
	{
		std::string id = rng() % 2 ? "e" + std::to_string(3 + rng() % 3)
					   : "s" + std::to_string(1 + rng() % 2);

		clear_faults();
		std::this_thread::sleep_for(std::chrono::milliseconds(3500));
		set_endpoint_state(id, "draining");
		put_config(keys_json(false));
		int64_t from = clock_boot_ms() + PROPAGATION_MS;
		std::this_thread::sleep_for(std::chrono::milliseconds(PROPAGATION_MS + 1500));
		int64_t until = clock_boot_ms();
		for (const Run &r : runs()) {
			if (r.node == id && r.at_ms > from && r.at_ms < until &&
			    r.work.rfind("order", 0) != 0)
				add_violation("DRAIN " + r.id + ": reached " + id);
			if (r.at_ms > from && r.at_ms < until && key_of(r.id) == "k-old")
				add_violation("KEY " + r.id + ": ran with a withdrawn key");
		}
		set_endpoint_state(id, "ready");
		put_config(keys_json(true));
	}
	std::string key_of(const std::string &id)
	{
		std::lock_guard<std::mutex> guard(lock);
		auto o = outcomes.find(id);

		return o == outcomes.end() ? "" : o->second.key;
	}
	void check_runs()
	{
		std::map<std::string, int> count;
		std::string holder;
		int64_t fencing = 0, ordered_ms = 0;

		for (const std::string &fault : duty_call_faults())
			add_violation("DUTY " + fault);
		for (const Run &r : runs()) {
			if (r.has_key)
				add_violation("KEY " + r.id + ": shown to " + r.node);
			if (r.work == "stream" || r.work == "call") {
				count[r.id]++;
				if (!outcomes.count(r.id))
					add_violation("UNASKED " + r.id);
			} else if (r.work == "order") {
				std::string rest = r.detail.substr(r.detail.find(' ') + 1);
				std::string by = rest.substr(0, rest.find(' '));
				int64_t f = atoll(rest.c_str() + rest.find(' ') + 1);

				if (f < fencing || (by != holder && !holder.empty() &&
						    r.at_ms - ordered_ms < LEASE_HANDOFF_MIN_MS))
					add_violation("ONE " + r.detail + " after " + holder);
				holder = by;
				fencing = f;
				ordered_ms = r.at_ms;
			}
		}
		for (const auto &o : outcomes) {
			int n = count[o.first];
			bool runs_once = o.second.kind == "once" || o.second.kind == "order";

			if (o.second.key == "k-none" && n)
				add_violation("KEY " + o.first + ": ran with an unknown key");
			if (runs_once && n > 1)
				add_violation("TWICE " + o.first);
			if (!runs_once && n > 2)
				add_violation("BUDGET " + o.first + ": ran " + std::to_string(n));
			if (runs_once && n && (o.second.status == 503 || o.second.status == 429))
				add_violation("REFUSED " + o.first);
			if (o.second.status == 200 && o.second.complete && !n)
				add_violation("MIXED " + o.first + ": answered without a run");
			if (o.second.status == 404)
				add_violation("DENIED " + o.first);
		}
	}
	void check_recovery()
	{
		clear_faults();
		for (struct harness_process *p : instances) {
			if (!eventually([&] { return ready_status(p) == 200; }, 6000))
				add_violation(std::string("RECOVER ") + p->name + ": not ready");
			if (!eventually(
				    [&] {
					    return send_request(p,
								generation_text("stream/x", 5,
										key_field("k-one")))
						    .complete;
				    },
				    12000))
				add_violation(std::string("RECOVER ") + p->name +
					      ": no generation");
			if (!eventually(
				    [&] {
					    return send_request(p, request_text("order/x", "POST",
										key_field("k-one")))
							   .status == 200;
				    },
				    12000))
				add_violation(std::string("RECOVER ") + p->name + ": no order");
			/* Requests of this check don't come from the callers. */
			for (int i = 1; i <= last_request; i++)
				outcomes["r" + std::to_string(i)].kind = "check";
		}
	}
	void run_soak(unsigned seed, int seconds)
	{
		std::mt19937 rng(seed), crowd_rng(seed), drill_rng(seed);
		std::vector<std::thread> callers;
		int64_t begun = clock_boot_ms(), until = begun + seconds * 1000;

		for (int i = 0; i < CALLERS; i++)
			callers.emplace_back([this, i, seed] { run_caller(i, seed * 100); });
		while (clock_boot_ms() < until) {
			if (rng() % 12 == 0)
				drain_random_endpoint(rng);
			else
				inject_random_action(rng);
			if (crowd_rng() % 6 == 0)
				start_crowd(crowd_rng);
			if (drill_rng() % 6 == 0)
				start_drill(drill_rng, begun);
			std::this_thread::sleep_for(std::chrono::milliseconds(50 + rng() % 400));
		}
		crowd.reset();
		check_recovery();
		stopping = true;
		for (std::thread &t : callers)
			t.join();
		check_runs();
		for (const std::string &v : violations)
			ADD_FAILURE() << "seed " << seed << ": " << v;
		EXPECT_GT(served_count, 20) << "seed " << seed;
		printf("seed=%u seconds=%d drills=%d requests=%zu served=%d reports=%zu "
		       "violations=%zu\n",
		       seed, seconds, drills, outcomes.size(), (int)served_count,
		       duty_calls().size(), violations.size());
	}

	std::unique_ptr<StandinProcess> proxy;
	std::vector<struct harness_process *> instances;
	std::atomic<int> ports[INSTANCES] = {};
	std::atomic<bool> stopping{ false };
	std::atomic<int> served_count{ 0 };
	std::mutex lock;
	std::map<std::string, Outcome> outcomes;
	std::vector<std::string> violations;
	std::unique_ptr<Crowd> crowd;
	int version = 0;
	int drills = 0;
	int64_t drilled_ms = 0;
};

TEST_F(SoakTest, GuaranteesHoldUnderRandomFaults)
{
	run_soak((unsigned)env_int("SOAK_SEED", 1), env_int("SOAK_SECONDS", 12));
}
