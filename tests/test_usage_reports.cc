#include <algorithm>
#include <csignal>
#include <map>
#include <set>

#include "entry_fixture.h"

extern "C" {
#include "ibisgate/common/clock.h"
}

/* As in the settings below. */
static constexpr int64_t WINDOW_MS = 2000;
static constexpr int64_t LATE_MS = 10000;

/*
 * Three instances report usage of two organisations. Requests are sent away from the edges of
 * windows, so that the truth is known exactly.
 */
class UsageReports : public EntryTest
{
      protected:
	void start(int count = 3)
	{
		start_grid(4, 0, 2);
		std::string text = config_json(1);
		text.insert(text.find("\"limits\""),
			    "\"tenants\":[{\"name\":\"one\",\"apiKeys\":[\"k-one\"]},"
			    "{\"name\":\"two\",\"apiKeys\":[\"k-two\"]}],");
		put_config(text);
		extra_settings =
			"[duties]\napi = 127.0.0.1:" + std::to_string(grid->route_port("api")) +
			"\nkinds = usage_report\ncalls-per-s = 5\nlease-ms = 1000\n"
			"usage-window-s = 2\nusage-late-s = 10\n";
		for (int i = 0; i < count; i++)
			all.push_back(start_instance(i));
		for (struct harness_process *p : all)
			EXPECT_TRUE(eventually([&] { return ready_status(p) == 200; }, 5000));
		begun = clock_wall_ms() / WINDOW_MS + 1;
		run_until(begun * WINDOW_MS);
	}
	/* The store has eras, and the first report is there. */
	void start_in_era()
	{
		start();
		grid->post_json("/store", "{\"era\":1}");
		serve(3000);
		ASSERT_TRUE(eventually([&] { return !duty_calls().empty(); }, 8000));
	}
	/* Pauses without requests. */
	static void run_until(int64_t wall_ms)
	{
		while (clock_wall_ms() < wall_ms)
			usleep(5000);
	}
	/* Sends requests to some instances for @ms, of one twice as many as of two. */
	void serve(int64_t ms, std::vector<int> at = { 0, 1, 2 })
	{
		int64_t until = clock_wall_ms() + ms;

		for (int n = 0; clock_wall_ms() < until; n++) {
			std::string name = n % 3 ? "one" : "two";
			std::string field = "Authorization: Token k-" + name + "\r\n";
			struct harness_process *p = all[(size_t)at[(size_t)n % at.size()]];
			int64_t in_window = clock_wall_ms() % WINDOW_MS;

			if (in_window < 100 || in_window > WINDOW_MS - 150) {
				usleep(10000);
				continue;
			}
			int64_t window = clock_wall_ms() / WINDOW_MS;
			int status = send_request(p, n % 2 ? request_text("peek/x", "GET", field)
							   : generation(field))
					     .status;
			EXPECT_EQ(status, 200);
			truth[window][name]++;
			usleep(15000);
		}
	}
	std::string generation(const std::string &field)
	{
		return request_text("stream/x", "POST",
				    field +
					    "X-Ibisgate-Model: m\r\nX-Ibisgate-Token-Count: "
					    "1460,3\r\nX-Ibisgate-Prefix-Hash: a1:800,c" +
					    std::to_string(last_request) + ":660\r\n");
	}
	void set_api_mode(const std::string &mode)
	{
		grid->post_json("/api", "{\"mode\":\"" + mode + "\"}");
	}
	std::set<int64_t> accepted_windows()
	{
		std::set<int64_t> out;

		for (const DutyCall &c : duty_calls()) {
			if (c.accepted)
				out.insert(c.window);
		}
		return out;
	}
	void check_rules()
	{
		for (const std::string &fault : duty_call_faults())
			ADD_FAILURE() << fault;
	}
	/*
	 * Each window from @from to @to was accepted in time, with the true figures. Times of calls
	 * are on the boot-time clock.
	 */
	void check_windows(int64_t from, int64_t to)
	{
		int64_t wall_less_boot = clock_wall_ms() - clock_boot_ms();
		std::map<int64_t, DutyCall> first;

		for (const DutyCall &c : duty_calls()) {
			if (c.accepted)
				first.emplace(c.window, c);
		}
		for (int64_t k = from; k <= to; k++) {
			ASSERT_TRUE(first.count(k))
				<< "window " << k << " of " << from << ".." << to;
			EXPECT_EQ(first[k].figures, truth[k]) << "window " << k;
			EXPECT_LE(first[k].at_ms + wall_less_boot, (k + 1) * WINDOW_MS + LATE_MS)
				<< "window " << k;
		}
	}
	int64_t last_served() const
	{
		return truth.rbegin()->first;
	}
	/* The instance that has made the newest call. */
	int holder_index()
	{
		std::vector<DutyCall> list = duty_calls();

		return list.empty() ? -1 : atoi(list.back().holder.c_str() + 2);
	}
	static std::vector<int> others(int index)
	{
		std::vector<int> out = { 0, 1, 2 };

		out.erase(out.begin() + index);
		return out;
	}

	std::vector<struct harness_process *> all;
	int64_t begun = 0;
	std::map<int64_t, Figures> truth;
};

/* Guards against missed windows on days when the holder is killed. */
TEST_F(UsageReports, WindowsAreRightWhenTheHolderIsKilled)
{
	start();
	serve(5000);
	EXPECT_TRUE(eventually([&] { return !duty_calls().empty(); }, 4000));
	int former = holder_index();
	/* What it has counted and told outlives it. */
	usleep(1000000);
	harness_process_signal(all[(size_t)former], SIGKILL);
	harness_process_wait(all[(size_t)former], 1000);
	std::vector<int> left = others(former);
	serve(7000, left);
	ASSERT_TRUE(eventually([&] { return holder_index() != former; }, 6000));
	former = holder_index();
	usleep(1000000);
	harness_process_signal(all[(size_t)former], SIGKILL);
	harness_process_wait(all[(size_t)former], 1000);
	left.erase(std::find(left.begin(), left.end(), former));
	serve(1500, left);
	int64_t last = last_served();
	EXPECT_TRUE(eventually([&] { return accepted_windows().count(last) > 0; },
			       LATE_MS + WINDOW_MS));
	check_rules();
	check_windows(begun, last);
}

/* Guards against two holders at a time: the frozen one wakes when another has taken over. */
TEST_F(UsageReports, AFrozenHolderThatWakesSendsNothingElse)
{
	start();
	serve(4000);
	EXPECT_TRUE(eventually([&] { return !duty_calls().empty(); }, 4000));
	int frozen = holder_index();
	usleep(1000000);
	harness_process_signal(all[(size_t)frozen], SIGSTOP);
	serve(9000, others(frozen));
	harness_process_signal(all[(size_t)frozen], SIGCONT);
	serve(2500);
	int64_t last = last_served();
	EXPECT_TRUE(eventually([&] { return accepted_windows().count(last) > 0; },
			       LATE_MS + WINDOW_MS));
	EXPECT_NE(holder_index(), frozen);
	check_rules();
	check_windows(begun, last);
}

/*
 * Guards against a successor whose token is older than one used before, because the store has come
 * back from an older copy and gives its versions out again.
 */
TEST_F(UsageReports, TokensRiseWhenTheStoreComesBackFromAnOlderCopy)
{
	start();
	grid->post_json("/store", "{\"era\":1}");
	serve(3000);
	ASSERT_TRUE(eventually([&] { return !duty_calls().empty(); }, 4000));
	int former = holder_index();
	int64_t copy_ms = clock_boot_ms();
	/* Versions rise beyond those that the store gives out after the drill. */
	for (int i = 0; i < 60; i++)
		set_endpoint_state("s0", "ready");
	harness_process_signal(all[(size_t)former], SIGKILL);
	harness_process_wait(all[(size_t)former], 1000);
	std::vector<int> left = others(former);
	serve(6000, left);
	ASSERT_TRUE(eventually([&] { return holder_index() != former; }, 8000));
	drill_store(copy_ms);
	/* Longer than a term and the time until the next window is reported. */
	serve(12000, left);
	EXPECT_GT(accepted_windows().count(last_served() - 2), 0u);
	check_rules();
}

/*
 * Guards against lower tokens after a drill that follows a planned stop, where only the instances
 * themselves have written in the seconds that are lost.
 */
TEST_F(UsageReports, TokensRiseWhenADrillFollowsAPlannedStop)
{
	ASSERT_NO_FATAL_FAILURE(start_in_era());
	int former = holder_index();
	usleep(300000);
	int64_t copy_ms = clock_boot_ms();
	usleep(300000);
	harness_process_signal(all[(size_t)former], SIGTERM);
	harness_process_wait(all[(size_t)former], 9000);
	std::vector<int> left = others(former);
	serve(3000, left);
	ASSERT_TRUE(eventually([&] { return holder_index() != former; }, 8000));
	drill_store(copy_ms);
	serve(12000, left);
	EXPECT_GT(accepted_windows().count(last_served() - 2), 0u);
	check_rules();
}

/*
 * Guards against a holder that sleeps through a drill and goes on with what the store has lost,
 * and against a successor that reports the windows of the lost rows with other figures.
 */
TEST_F(UsageReports, AHolderFrozenAcrossADrillSendsNothingElse)
{
	ASSERT_NO_FATAL_FAILURE(start_in_era());
	int frozen = holder_index();
	int64_t copy_ms = clock_boot_ms();
	/* Windows are fixed and sent that the copy doesn't have. */
	serve(4500);
	harness_process_signal(all[(size_t)frozen], SIGSTOP);
	drill_store(copy_ms);
	serve(11000, others(frozen));
	harness_process_signal(all[(size_t)frozen], SIGCONT);
	serve(2500);
	int64_t last = last_served();
	EXPECT_TRUE(eventually([&] { return accepted_windows().count(last) > 0; },
			       LATE_MS + WINDOW_MS));
	EXPECT_NE(holder_index(), frozen);
	check_rules();
}

/* Guards against tokens that fall because nobody is left who remembers those before the drill. */
TEST_F(UsageReports, TokensRiseWhenAllRestartJustAfterADrill)
{
	ASSERT_NO_FATAL_FAILURE(start_in_era());
	int64_t copy_ms = clock_boot_ms();
	serve(4500);
	drill_store(copy_ms);
	for (struct harness_process *p : all)
		harness_process_signal(p, SIGKILL);
	for (size_t i = 0; i < all.size(); i++) {
		harness_process_wait(all[i], 1000);
		start_instance((int)i);
	}
	for (struct harness_process *p : all)
		EXPECT_TRUE(eventually([&] { return ready_status(p) == 200; }, 5000));
	serve(7000);
	int64_t last = last_served();
	EXPECT_TRUE(eventually([&] { return accepted_windows().count(last) > 0; },
			       LATE_MS + WINDOW_MS));
	check_rules();
}

/* Guards against other figures after lost answers, and against lost windows after outages. */
TEST_F(UsageReports, OutagesOfStoreAndInterfaceLoseAndChangeNothing)
{
	start();
	set_api_mode("lose-answer");
	serve(4500);
	set_api_mode("up");
	set_store_mode("busy");
	serve(3000);
	set_store_mode("up");
	set_api_mode("limited");
	serve(2500);
	set_api_mode("busy");
	serve(1500);
	set_api_mode("up");
	serve(2000);
	int64_t last = last_served();
	EXPECT_TRUE(eventually([&] { return accepted_windows().count(last) > 0; },
			       LATE_MS + WINDOW_MS));
	check_rules();
	check_windows(begun, last);
}

/* In a large deployment, counts and the holder's announcements pass through delegates. */
TEST_F(UsageReports, DelegatesPassCountsOn)
{
	dc_count = 2;
	extra_settings = "[place]\nnear-engines = 1\nnear-instances = 2\n";
	start(6);
	serve(5000, { 0, 1, 2, 3, 4, 5 });
	int64_t last = last_served();
	EXPECT_TRUE(eventually([&] { return accepted_windows().count(last) > 0; },
			       LATE_MS + WINDOW_MS));
	check_rules();
	/* Until the holder was heard, instances go by their own clocks; all are right here. */
	check_windows(begun, last);
}
