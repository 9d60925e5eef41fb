#include "region.h"
#include "tiny_server.h"

#include <algorithm>
#include <set>

static const int ENGINE_COUNT = 70;

/* Engines that only answer load polls, all on one port. */
class PolledEngines
{
      public:
	PolledEngines()
	    : server([this](int fd, const string &request) { return answer(fd, request); })
	{
	}
	void add_to_list(StandinProcess &platform)
	{
		for (int i = 0; i < ENGINE_COUNT; i++)
			platform.post_json(
				"/list/endpoints",
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
	int poll_count(const string &name)
	{
		std::lock_guard<std::mutex> g(lock);
		return poll_counts[name];
	}
	void set_role(const string &name, const string &role)
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
			TinyServer::send_response(fd, 200,
						  "{\"boot_id\":\"b\",\"next\":0,\"events\":[]}");
			return true;
		}
		poll_counts[name]++;
		TinyServer::send_response(fd, 200,
					  "{\"boot_id\":\"b-" + name + "\",\"role\":\"" +
						  (roles.count(name) ? roles[name] : "mixed") +
						  "\",\"model\":\"m\",\"prefill_backlog\":400,"
						  "\"decode_seqs\":3,\"decode_slots\":32}");
		return true;
	}
	std::mutex lock;
	std::map<string, int> poll_counts;
	std::map<string, string> roles;
	TinyServer server;
};

/*
 * Age of the oldest load report that @r has of any engine of @dc, in ms; INT64_MAX while it lacks
 * engines. @role: out: the role of @engine.
 */
static int64_t oldest_report_age_ms(struct rig *r, const string &dc, const string &engine = "",
				    enum endpoint_role *role = nullptr)
{
	int64_t now = clock_boot_ms();
	int64_t age = 0;
	int n;
	struct endpoint_status *all = fleet_statuses_copy(rig_fleet(r), &n);

	for (int i = 0; i < n; i++) {
		if (dc == all[i].info.dc)
			age = std::max(age, now - all[i].load.received_ms);
		if (role && engine == all[i].info.name)
			*role = all[i].info.role;
	}
	free(all);
	return n < ENGINE_COUNT ? INT64_MAX : age;
}

class RelayRegion : public testing::Test
{
      protected:
	void start_region(const std::vector<std::pair<string, string>> &members,
			  const string &extra_settings = "")
	{
		engines.add_to_list(g.platform);
		for (auto &m : members) {
			g.start_instance(m.first, m.second, m.first == "a1" ? extra_settings : "");
			rig_start_polling(g.rigs[m.first]);
		}
		ASSERT_TRUE(g.all_ready());
		ASSERT_TRUE(g.all_members_live(8000));
		ASSERT_TRUE(eventually(
			[&] {
				for (auto &r : g.rigs) {
					if (oldest_report_age_ms(r.second, "abertawe") >
						    RELAY_REPORT_MAX_AGE_MS ||
					    oldest_report_age_ms(r.second, "caerdydd") >
						    RELAY_REPORT_MAX_AGE_MS)
						return false;
				}
				return true;
			},
			20000));
	}
	Region g;
	PolledEngines engines;
};

/*
 * Guards against instances that each poll every engine of a large region, engines that no instance
 * polls, a changed role that does not reach the other instances, and a crash of an engine in
 * another data centre that stays unconfirmed.
 */
TEST_F(RelayRegion, EachEngineIsPolledByOneInstanceAndAllReceiveItsRole)
{
	enum endpoint_role role = ROLE_MIXED;
	int64_t before;
	int64_t polls;

	start_region({ { "a1", "abertawe" }, { "a2", "abertawe" }, { "c1", "caerdydd" } });
	clock_sleep_ms(3000);
	before = metric_get(METRIC_LOAD_POLLS);
	clock_sleep_ms(4000);
	polls = metric_get(METRIC_LOAD_POLLS) - before;
	std::cout << "polls a second: " << polls / 4 << " of " << ENGINE_COUNT << " engines, stale "
		  << metric_get(METRIC_LOAD_POLLS_STALE) << "\n";
	/* If each instance polled all engines at the usual interval, there would be 420 polls/s. */
	EXPECT_LT(polls / 4, ENGINE_COUNT * 3 / 2);
	EXPECT_GT(polls / 4, ENGINE_COUNT / 2);
	engines.set_role("e4", "decode");
	EXPECT_TRUE(eventually(
		[&] {
			oldest_report_age_ms(g.rigs["c1"], "abertawe", "e4", &role);
			return role == ROLE_DECODE;
		},
		6000));
	EXPECT_TRUE(eventually(
		[&] {
			enum endpoint_role one = ROLE_MIXED;
			enum endpoint_role two = ROLE_MIXED;

			oldest_report_age_ms(g.rigs["a1"], "abertawe", "e4", &one);
			oldest_report_age_ms(g.rigs["a2"], "abertawe", "e4", &two);
			return one == ROLE_DECODE && two == ROLE_DECODE;
		},
		6000));
	rig_quarantine_verdict(g.rigs["a1"], 7, true);
	EXPECT_EQ(rig_quarantine_suspect(g.rigs["a1"], 7, "e1"), QUARANTINE_HOLD);
	EXPECT_TRUE(eventually(
		[&] { return rig_quarantine_verdict(g.rigs["a1"], 7, false) == QUARANTINE_REFUSE; },
		2000))
		<< "e1 now reports another boot id";
}

/* Guards against engines that no instance polls after the loss of their poller. */
TEST_F(RelayRegion, EnginesOfAKilledPollerArePolledByOthers)
{
	std::map<string, int> before;

	start_region({ { "a1", "abertawe" }, { "a2", "abertawe" }, { "a3", "abertawe" } });
	g.kill_instance("a3", true);
	clock_sleep_ms(4000);
	for (int i = 0; i < ENGINE_COUNT; i += 2)
		before[PolledEngines::name(i)] = engines.poll_count(PolledEngines::name(i));
	clock_sleep_ms(3000);
	for (auto &b : before)
		EXPECT_GT(engines.poll_count(b.first), b.second) << b.first;
	EXPECT_LT(oldest_report_age_ms(g.rigs["a1"], "abertawe"), RELAY_REPORT_MAX_AGE_MS + 1000);
	EXPECT_LT(oldest_report_age_ms(g.rigs["a2"], "abertawe"), RELAY_REPORT_MAX_AGE_MS + 1000);
}

/*
 * Guards against outdated reports at an instance that a poller can't reach. The instance then
 * assigns some engines of that poller to another instance, which does not poll them, so it has to
 * poll them itself.
 */
TEST_F(RelayRegion, InstanceWithoutReportsPollsEnginesItself)
{
	const int64_t span_ms = 5000;
	int64_t stale;

	g.start_instance("a2", "abertawe");
	rig_start_polling(g.rigs["a2"]);
	string to_a2 = "127.0.0.1:" + std::to_string(rig_peer_port(g.rigs["a2"]));
	StandinProcess proxy("ibisgate-faultproxy", { "--control", "0", "--route", "a2=" + to_a2 });
	start_region({ { "a1", "abertawe" }, { "a3", "abertawe" }, { "c1", "caerdydd" } },
		     "[routes]\na2 = 127.0.0.1:" + std::to_string(proxy.route_port("a2")) + "\n");
	stale = metric_get(METRIC_LOAD_POLLS_STALE);
	proxy.post_json("/faults", "{\"route\":\"a2\",\"mode\":\"silent_to_target\"}");
	for (int64_t i = 0; i < span_ms / 250; i++) {
		clock_sleep_ms(250);
		EXPECT_LT(oldest_report_age_ms(g.rigs["a2"], "abertawe"),
			  2 * RELAY_REPORT_MAX_AGE_MS);
	}
	stale = metric_get(METRIC_LOAD_POLLS_STALE) - stale;
	EXPECT_GT(stale, 0);
	EXPECT_LT(stale, RELAY_DIRECT_POLLS_PER_S * span_ms / 1000)
		<< "exceeds the poll budget of one instance";
}
