#include "entry_fixture.h"

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <random>
#include <set>
#include <thread>

/*
 * Randomized faults on real processes: three instances before a stand-in of the platform, with a
 * proxy on every way to the store and to the endpoints. Callers keep their connections open and
 * check each answer; what ran is checked against what was sent. SOAK_SEED and SOAK_SECONDS choose
 * the run, see tools/soak. A seed that has failed gets a run of its own in tests/meson.build, with
 * a line on its cause.
 */

namespace
{

struct Outcome {
	std::string kind;
	int status = 0;
	bool whole = false;
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
	/* A change has to be noticed within this time, in milliseconds, while the store is well. */
	static constexpr int64_t NOTICE_MS = 2500;
	/* Holders of the lease may not give orders closer than this, in milliseconds. */
	static constexpr int64_t LEASE_MS = 3000;

	void SetUp() override
	{
		EntryTest::SetUp();
		start_grid(6, 1, 3);
		proxy = std::make_unique<Standin>("ibisgate-faultproxy",
						  std::vector<std::string>{});
		for (const char *id : { "e0", "e1", "e2", "e3", "e4", "e5", "s0", "s1", "s2" }) {
			json_t *o = grid->send("GET", "/ports");
			int port = (int)json_get_i64(o, id, 0);

			json_decref(o);
			int at = route(id, port);
			grid->tell("/node", std::string("{\"id\":\"") + id +
						    "\",\"address\":\"127.0.0.1:" +
						    std::to_string(at) + "\",\"state\":\"ready\"}");
		}
		store_port = route("store", grid->route("store"));
		put_config(config(1));
		for (int i = 0; i < INSTANCES; i++) {
			instances.push_back(start_instance(i, 0.5));
			ports[i] = harness_port(instances.back(), "http");
		}
		for (struct harness_process *p : instances)
			ASSERT_TRUE(eventually([&] { return ready_status(p) == 200; }, 8000));
	}
	int route(const std::string &name, int target)
	{
		json_t *o = proxy->send("POST", "/routes",
					"{\"name\":\"" + name + "\",\"target\":\"127.0.0.1:" +
						std::to_string(target) + "\"}");
		int port = (int)json_get_i64(o, "port", 0);

		json_decref(o);
		return port;
	}
	void way(const std::string &name, const std::string &mode, int delay_ms = 0)
	{
		proxy->tell("/faults", "{\"route\":\"" + name + "\",\"mode\":\"" + mode +
					       "\",\"delay_ms\":" + std::to_string(delay_ms) + "}");
	}
	void violation(const std::string &text)
	{
		std::lock_guard<std::mutex> hold(lock);

		violations.push_back(text);
	}
	/* One caller: a request after the other, on one connection as long as it holds. */
	void call(int index, unsigned seed)
	{
		static const char *const kinds[] = { "stream", "once", "order", "peek" };
		std::mt19937 rng(seed + (unsigned)index);
		std::unique_ptr<Caller> c;
		int sent = 0;
		int at = 0;

		while (!over) {
			std::string kind = kinds[rng() % 4];
			std::string id = "c" + std::to_string(index) + "n" + std::to_string(++sent);
			int events = 2 + (int)(rng() % 12);

			if (!c || rng() % 20 == 0) {
				at = (int)(rng() % INSTANCES);
				c = std::make_unique<Caller>(ports[at], ip_of(at).c_str(), true);
			}
			{
				std::lock_guard<std::mutex> hold(lock);
				outcomes[id].kind = kind;
			}
			c->send_text(text_of(kind, id, events), true);
			Answer a = c->read_answer(4000);
			check_answer(kind, id, events, a);
			if (!a.whole || a.field("Connection") == "close")
				c.reset();
			std::this_thread::sleep_for(std::chrono::milliseconds(rng() % 20));
		}
	}
	static std::string text_of(const std::string &kind, const std::string &id, int events)
	{
		bool get = kind == "peek";
		std::string text =
			(get ? "GET /" : "POST /") + kind +
			"/x HTTP/1.1\r\nHost: h.example\r\nX-Ibisgate-Request-Id: " + id +
			"\r\nX-Ibisgate-Deadline-Ms: 3000\r\n";

		if (kind == "stream" || kind == "once")
			text += "X-Ibisgate-Model: m\r\nX-Ibisgate-Token-Count: 1000," +
				std::to_string(events) + "\r\nX-Ibisgate-Prefix-Hash: a" +
				std::to_string(events) + ":800," + id + ":200\r\n";
		return text + (get ? "\r\n" : "Content-Length: 1\r\n\r\nx");
	}
	void check_answer(const std::string &kind, const std::string &id, int events,
			  const Answer &a)
	{
		bool generation = kind == "stream" || kind == "once";

		{
			std::lock_guard<std::mutex> hold(lock);
			outcomes[id].status = a.status;
			outcomes[id].whole = a.whole;
		}
		if (a.status && a.field("X-Ibisgate-Request-Id") != id && a.status != 408)
			violation("MIXED " + id + ": answer of " +
				  a.field("X-Ibisgate-Request-Id"));
		if (a.status != 200 || !a.whole)
			return;
		if (generation && a.body != this->events(id, events))
			violation("ORDER " + id + " of " + std::to_string(events) +
				  " events: " + a.body);
		if (!generation && a.body.find("\"id\":\"" + id + "\"") == std::string::npos)
			violation("MIXED " + id + ": " + a.body);
		served++;
	}
	/* The engines or the plain services misbehave for some requests. */
	void fault_group(std::mt19937 &rng)
	{
		static const char *const engines[] = { "cut-stream",  "skip-event", "full",
						       "lose-answer", "moved",	    "silent" };
		static const char *const services[] = { "lose-answer", "truncate", "garble",
							"extra",       "full",	   "moved",
							"error",       "silent" };
		bool engine = rng() % 2;
		const char *fault = engine ? engines[rng() % 6] : services[rng() % 8];
		int left = 1 + (int)(rng() % 8);

		for (int i = 0; i < (engine ? 6 : 3); i++)
			node((engine ? "e" : "s") + std::to_string(i), fault, left);
	}
	/* One random fault or change; what it starts ends by itself or in heal(). */
	void act(std::mt19937 &rng)
	{
		static const char *const modes[] = {
			"cut",		"silent", "silent_to_target", "silent_to_client",
			"drop_replies", "pass"
		};
		struct harness_process *p = instances[rng() % INSTANCES];
		std::string node_id = rng() % 3 ? "e" + std::to_string(rng() % 6)
						: "s" + std::to_string(rng() % 3);
		unsigned what = (unsigned)(rng() % 14);

		switch (what) {
		case 0:
			harness_signal(p, SIGSTOP);
			std::this_thread::sleep_for(std::chrono::milliseconds(200 + rng() % 2500));
			harness_signal(p, SIGCONT);
			break;
		case 1:
			restart(p, SIGKILL);
			break;
		case 2:
			restart(p, SIGTERM);
			break;
		case 3:
			way("store", modes[rng() % 6], rng() % 3 ? 0 : 100);
			break;
		case 4:
		case 5:
			way(node_id, modes[rng() % 6], rng() % 3 ? 0 : 60);
			break;
		case 6:
		case 7:
		case 11:
		case 12:
		case 13:
			fault_group(rng);
			break;
		case 8:
			store(rng() % 2 ? "reset" : "busy");
			break;
		case 9:
			put_config(config(++version));
			break;
		case 10:
			heal();
			break;
		}
	}
	void restart(struct harness_process *p, int sig)
	{
		int i = atoi(p->name + 2);

		harness_signal(p, sig);
		if (harness_wait(p, 9500) != 0)
			violation(std::string("LOST ") + p->name + ": did not stop in time");
		start_instance(i, 0.5);
		ports[i] = harness_port(p, "http");
	}
	void heal()
	{
		store("up");
		way("store", "pass");
		for (const char *id : { "e0", "e1", "e2", "e3", "e4", "e5", "s0", "s1", "s2" }) {
			way(id, "pass");
			node(id, "ok");
		}
	}
	/* Takes an endpoint out while the store is well; nothing new may reach it afterwards. */
	void drain_one(std::mt19937 &rng)
	{
		std::string id = rng() % 2 ? "e" + std::to_string(3 + rng() % 3)
					   : "s" + std::to_string(1 + rng() % 2);

		heal();
		std::this_thread::sleep_for(std::chrono::milliseconds(3500));
		node_state(id, "draining");
		int64_t from = clock_boot_ms() + NOTICE_MS;
		std::this_thread::sleep_for(std::chrono::milliseconds(NOTICE_MS + 1500));
		int64_t until = clock_boot_ms();
		for (const Run &r : runs()) {
			if (r.node == id && r.at_ms > from && r.at_ms < until &&
			    r.work.rfind("order", 0) != 0)
				violation("DRAIN " + r.id + ": reached " + id);
		}
		node_state(id, "ready");
	}
	void check_runs()
	{
		std::map<std::string, int> count;
		std::string holder;
		int64_t fence = 0, ordered_ms = 0;

		for (const Run &r : runs()) {
			if (r.work == "stream" || r.work == "call") {
				count[r.id]++;
				if (!outcomes.count(r.id))
					violation("UNASKED " + r.id);
			} else if (r.work == "order") {
				std::string rest = r.detail.substr(r.detail.find(' ') + 1);
				std::string by = rest.substr(0, rest.find(' '));
				int64_t f = atoll(rest.c_str() + rest.find(' ') + 1);

				if (f < fence || (by != holder && !holder.empty() &&
						  r.at_ms - ordered_ms < LEASE_MS))
					violation("ONE " + r.detail + " after " + holder);
				holder = by;
				fence = f;
				ordered_ms = r.at_ms;
			}
		}
		for (const auto &o : outcomes) {
			int n = count[o.first];
			bool once = o.second.kind == "once" || o.second.kind == "order";

			if (once && n > 1)
				violation("TWICE " + o.first);
			if (!once && n > 2)
				violation("BUDGET " + o.first + ": ran " + std::to_string(n));
			if (once && n && (o.second.status == 503 || o.second.status == 429))
				violation("REFUSED " + o.first);
			if (o.second.status == 200 && o.second.whole && !n)
				violation("MIXED " + o.first + ": answered without a run");
			if (o.second.status == 404)
				violation("DENIED " + o.first);
		}
	}
	void check_recovery()
	{
		heal();
		for (struct harness_process *p : instances) {
			if (!eventually([&] { return ready_status(p) == 200; }, 6000))
				violation(std::string("RECOVER ") + p->name + ": not ready");
			if (!eventually([&] { return ask(p, stream_text("stream/x")).whole; },
					12000))
				violation(std::string("RECOVER ") + p->name + ": no generation");
			if (!eventually(
				    [&] { return ask(p, request_text("order/x")).status == 200; },
				    12000))
				violation(std::string("RECOVER ") + p->name + ": no order");
			/* These are no callers' requests. */
			for (int i = 1; i <= last_request; i++)
				outcomes["r" + std::to_string(i)].kind = "check";
		}
	}
	void play(unsigned seed, int seconds)
	{
		std::mt19937 rng(seed);
		std::vector<std::thread> callers;
		int64_t until = clock_boot_ms() + seconds * 1000;

		for (int i = 0; i < CALLERS; i++)
			callers.emplace_back([this, i, seed] { call(i, seed * 100); });
		while (clock_boot_ms() < until) {
			if (rng() % 12 == 0)
				drain_one(rng);
			else
				act(rng);
			std::this_thread::sleep_for(std::chrono::milliseconds(50 + rng() % 400));
		}
		check_recovery();
		over = true;
		for (std::thread &t : callers)
			t.join();
		check_runs();
		for (const std::string &v : violations)
			ADD_FAILURE() << "seed " << seed << ": " << v;
		EXPECT_GT(served, 20) << "seed " << seed;
		printf("seed=%u seconds=%d requests=%zu served=%d violations=%zu\n", seed, seconds,
		       outcomes.size(), (int)served, violations.size());
	}

	std::unique_ptr<Standin> proxy;
	std::vector<struct harness_process *> instances;
	std::atomic<int> ports[INSTANCES] = {};
	std::atomic<bool> over{ false };
	std::atomic<int> served{ 0 };
	std::mutex lock;
	std::map<std::string, Outcome> outcomes;
	std::vector<std::string> violations;
	int version = 1;
};

TEST_F(SoakTest, PromisesHoldUnderRandomFaults)
{
	play((unsigned)env_int("SOAK_SEED", 1), env_int("SOAK_SECONDS", 12));
}
