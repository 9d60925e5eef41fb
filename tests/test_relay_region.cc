#include "region.h"
#include "tiny_server.h"

#include <algorithm>
#include <set>

static const int ENGINES = 70;

/* Engines that answer polls only, all behind one port. */
class Engines
{
      public:
	Engines() : server([this](int fd, const string &request) { return answer(fd, request); })
	{
	}
	void list(Standin &table)
	{
		for (int i = 0; i < ENGINES; i++)
			table.tell("/list/endpoints",
				   "{\"name\":\"" + name(i) + "\",\"dc\":\"" + dc(i) +
					   "\",\"url\":\"" + server.url() + "/" + name(i) +
					   "\",\"kind\":\"engine\",\"model\":\"m\",\"role\":"
					   "\"mixed\",\"state\":\"live\"}");
	}
	static string name(int i)
	{
		return "e" + std::to_string(i);
	}
	static string dc(int i)
	{
		return i % 2 ? "caerdydd" : "abertawe";
	}
	int polls(const string &name)
	{
		std::lock_guard<std::mutex> g(lock);
		return polled[name];
	}
	void role(const string &name, const string &role)
	{
		std::lock_guard<std::mutex> g(lock);
		roles[name] = role;
	}

      private:
	bool answer(int fd, const string &request)
	{
		string name = request.substr(5, request.find('/', 5) - 5);
		std::lock_guard<std::mutex> g(lock);

		if (request.find("/load ") == string::npos) {
			TinyServer::answer(fd, 200, "{\"boot_id\":\"b\",\"next\":0,\"events\":[]}");
			return true;
		}
		polled[name]++;
		TinyServer::answer(fd, 200,
				   "{\"boot_id\":\"b-" + name + "\",\"role\":\"" +
					   (roles.count(name) ? roles[name] : "mixed") +
					   "\",\"model\":\"m\",\"prefill_backlog\":400,"
					   "\"decode_seqs\":3,\"decode_slots\":32}");
		return true;
	}
	std::mutex lock;
	std::map<string, int> polled;
	std::map<string, string> roles;
	TinyServer server;
};

/* Age of the oldest report that @r has of any engine of @dc; @role: that of one engine. */
static int64_t oldest(struct rig *r, const string &dc, const string &engine = "",
		      enum endpoint_role *role = nullptr)
{
	int64_t now = clock_boot_ms();
	int64_t age = 0;
	int n;
	struct endpoint_status *all = fleet_statuses(rig_fleet(r), &n);

	for (int i = 0; i < n; i++) {
		if (dc == all[i].info.dc)
			age = std::max(age, now - all[i].load.at_ms);
		if (role && engine == all[i].info.name)
			*role = all[i].info.role;
	}
	free(all);
	return n < ENGINES ? INT64_MAX : age;
}

class RelayRegion : public testing::Test
{
      protected:
	void begin(const std::vector<std::pair<string, string>> &members, const string &extra = "")
	{
		engines.list(g.table);
		for (auto &m : members) {
			g.start(m.first, m.second, m.first == "a1" ? extra : "");
			rig_poll(g.rigs[m.first]);
		}
		ASSERT_TRUE(g.ready());
		ASSERT_TRUE(g.see_each_other(8000));
		ASSERT_TRUE(eventually(
			[&] {
				for (auto &r : g.rigs) {
					if (oldest(r.second, "abertawe") > RELAY_FRESH_MS ||
					    oldest(r.second, "caerdydd") > RELAY_FRESH_MS)
						return false;
				}
				return true;
			},
			20000));
	}
	Region g;
	Engines engines;
};

/*
 * Guards against instances that poll every engine of a large region, engines without a poller, a
 * role that only the poller learns, and a crash of a distant engine that stays unconfirmed.
 */
TEST_F(RelayRegion, EachEngineIsPolledOnceAndRolesSpread)
{
	enum endpoint_role role = ROLE_MIXED;
	int64_t before;
	int64_t polls;

	begin({ { "a1", "abertawe" }, { "a2", "abertawe" }, { "c1", "caerdydd" } });
	clock_sleep_ms(3000);
	before = metric_get(METRIC_LOAD_POLLS);
	clock_sleep_ms(4000);
	polls = metric_get(METRIC_LOAD_POLLS) - before;
	std::cout << "polls a second: " << polls / 4 << " of " << ENGINES << " engines, stale "
		  << metric_get(METRIC_LOAD_POLLS_STALE) << "\n";
	/* All by all at the usual interval would be 420 a second. */
	EXPECT_LT(polls / 4, ENGINES * 3 / 2);
	EXPECT_GT(polls / 4, ENGINES / 2);
	engines.role("e4", "decode");
	EXPECT_TRUE(eventually(
		[&] {
			oldest(g.rigs["c1"], "abertawe", "e4", &role);
			return role == ROLE_DECODE;
		},
		6000));
	EXPECT_TRUE(eventually(
		[&] {
			enum endpoint_role one = ROLE_MIXED;
			enum endpoint_role two = ROLE_MIXED;

			oldest(g.rigs["a1"], "abertawe", "e4", &one);
			oldest(g.rigs["a2"], "abertawe", "e4", &two);
			return one == ROLE_DECODE && two == ROLE_DECODE;
		},
		6000));
	rig_quarantine(g.rigs["a1"], 7, true);
	EXPECT_EQ(rig_suspect(g.rigs["a1"], 7, "e1"), QUARANTINE_HOLD);
	EXPECT_TRUE(eventually(
		[&] { return rig_quarantine(g.rigs["a1"], 7, false) == QUARANTINE_REFUSE; }, 2000))
		<< "e1 runs with another boot id than before";
}

/* Guards against engines that stay unpolled after the loss of their poller. */
TEST_F(RelayRegion, EnginesOfALostPollerAreTakenOver)
{
	std::map<string, int> before;

	begin({ { "a1", "abertawe" }, { "a2", "abertawe" }, { "a3", "abertawe" } });
	g.kill("a3", true);
	clock_sleep_ms(4000);
	for (int i = 0; i < ENGINES; i += 2)
		before[Engines::name(i)] = engines.polls(Engines::name(i));
	clock_sleep_ms(3000);
	for (auto &b : before)
		EXPECT_GT(engines.polls(b.first), b.second) << b.first;
	EXPECT_LT(oldest(g.rigs["a1"], "abertawe"), RELAY_FRESH_MS + 1000);
	EXPECT_LT(oldest(g.rigs["a2"], "abertawe"), RELAY_FRESH_MS + 1000);
}

/*
 * Guards against old reports at an instance that one poller does not reach any more. It gives some
 * of the engines of that poller to another one, which does not poll them.
 */
TEST_F(RelayRegion, CutOffReceiverPollsItself)
{
	const int64_t span_ms = 5000;
	int64_t stale;

	g.start("a2", "abertawe");
	rig_poll(g.rigs["a2"]);
	string to_a2 = "127.0.0.1:" + std::to_string(rig_peer_port(g.rigs["a2"]));
	Standin proxy("ibisgate-faultproxy", { "--control", "0", "--route", "a2=" + to_a2 });
	begin({ { "a1", "abertawe" }, { "a3", "abertawe" }, { "c1", "caerdydd" } },
	      "[routes]\na2 = 127.0.0.1:" + std::to_string(proxy.route("a2")) + "\n");
	stale = metric_get(METRIC_LOAD_POLLS_STALE);
	proxy.tell("/faults", "{\"route\":\"a2\",\"mode\":\"silent_to_target\"}");
	for (int64_t i = 0; i < span_ms / 250; i++) {
		clock_sleep_ms(250);
		EXPECT_LT(oldest(g.rigs["a2"], "abertawe"), 2 * RELAY_FRESH_MS);
	}
	stale = metric_get(METRIC_LOAD_POLLS_STALE) - stale;
	EXPECT_GT(stale, 0);
	EXPECT_LT(stale, RELAY_DIRECT_PER_S * span_ms / 1000) << "of the budget of one instance";
}
