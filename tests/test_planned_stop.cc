#include "played_endpoint.h"

#include <algorithm>
#include <atomic>
#include <vector>

extern "C" {
#include "ibisgate/policy/planned_stop.h"
}

/*
 * Guards against LOST by a decision that depends on when the instance last looked at the clock: a
 * request is admitted by its own time, to the millisecond, and never beyond the end.
 */
TEST(PlannedStop, RequestsAreAdmittedByTheirOwnTime)
{
	const struct planned_stop running = {};
	const struct planned_stop s = { .begun_ms = 50000, .grace_ms = 8000 };

	EXPECT_TRUE(planned_stop_admits(&running, 1000000, 60000));
	EXPECT_TRUE(planned_stop_accepts(&running, 60000));
	EXPECT_FALSE(planned_stop_answers_all(&running, 60000));
	EXPECT_FALSE(planned_stop_is_over(&running, 60000));
	/* The platform sends requests for 3 s after the signal; those may be cut at the end. */
	EXPECT_TRUE(planned_stop_admits(&s, 59000, 52500));
	for (int64_t now = 53000; now < 57500; now++) {
		ASSERT_FALSE(planned_stop_accepts(&s, now));
		ASSERT_FALSE(planned_stop_admits(&s, 57501, now)) << now;
		ASSERT_TRUE(planned_stop_admits(&s, 57500, now)) << now;
		ASSERT_FALSE(planned_stop_answers_all(&s, now)) << now;
	}
	EXPECT_TRUE(planned_stop_accepts(&s, 52999));
	EXPECT_TRUE(planned_stop_answers_all(&s, 57500));
	EXPECT_FALSE(planned_stop_is_over(&s, 57899));
	EXPECT_TRUE(planned_stop_is_over(&s, 57900));
}

/* Guards against steps of a stop that wait for a periodic check: each has its time. */
TEST(PlannedStop, EachStepHasItsTime)
{
	const struct planned_stop running = {};
	const struct planned_stop s = { .begun_ms = 50000, .grace_ms = 8000 };
	const struct planned_stop brief = { .begun_ms = 50000, .grace_ms = 2000 };
	std::vector<int64_t> times;

	EXPECT_EQ(planned_stop_next_ms(&running, 60000), -1);
	for (int64_t now = s.begun_ms; (now = planned_stop_next_ms(&s, now)) >= 0;)
		times.push_back(now);
	EXPECT_EQ(times, (std::vector<int64_t>{ 53000, 57500, 57900 }));
	EXPECT_EQ(planned_stop_next_ms(&brief, 50000), 51500);
	EXPECT_EQ(planned_stop_next_ms(&brief, 51500), 51900);
}

/* The instances of EntryTest are stopped with a grace of 8 s, and accept connections for 3 s of it.
 */
class LateInGraceTest : public PlayedEndpointTest
{
      protected:
	/* Starts an instance whose service has one endpoint that reads requests and never answers.
	 */
	void start()
	{
		process = start_all(1, 0, 1);
		server = std::make_unique<TinyServer>([this](int, const std::string &request) {
			received += !request_id(request).empty();
			while (!done)
				usleep(5000);
			return false;
		});
		put_config(config_json(
			2, rule_json("long", "non_idempotent", "orders", 1, false, 9000)));
		replace_endpoint("s0", *server);
	}
	~LateInGraceTest() override
	{
		done = true;
	}
	static std::string with_limit(std::string text, int ms)
	{
		const std::string field = "X-Ibisgate-Deadline-Ms: ";
		size_t at = text.find(field) + field.size();

		return text.replace(at, text.find("\r\n", at) - at, std::to_string(ms));
	}
	std::unique_ptr<Caller> connect_caller()
	{
		return std::make_unique<Caller>(harness_process_port(process, "http"),
						process_ip(process).c_str());
	}
	void sleep_until(int64_t ms)
	{
		while (clock_boot_ms() - stopped_ms < ms)
			usleep(2000);
	}
	void begin_stop()
	{
		stopped_ms = clock_boot_ms();
		harness_process_signal(process, SIGTERM);
	}

	struct harness_process *process = nullptr;
	std::unique_ptr<TinyServer> server;
	std::atomic<int> received{ 0 };
	std::atomic<bool> done{ false };
	int64_t stopped_ms = 0;
};

/*
 * Guards against a request that comes late in a planned stop, is passed on, and is cut at the end
 * of the grace: it is refused as not run if it may last longer than the instance.
 */
TEST_F(LateInGraceTest, RequestsThatMayOutlastTheInstanceAreRefused)
{
	start();
	auto c = connect_caller();
	std::string text = with_limit(request_text("long/x"), 9000);

	c->send_text(text.substr(0, text.size() - 1));
	begin_stop();
	sleep_until(3500);
	c->send_text(text.substr(text.size() - 1));
	Response a = c->read_response(1000);
	EXPECT_EQ(a.status, 503);
	EXPECT_TRUE(a.complete);
	EXPECT_EQ(a.field("Connection"), "close");
	EXPECT_NE(a.field("Retry-After"), "");
	EXPECT_EQ(received, 0);
	EXPECT_EQ(harness_process_wait(process, 8000), 0);
	EXPECT_EQ(WEXITSTATUS(process->status), 0);
}

/*
 * Guards against LOST: requests that come when connections are no longer accepted, but before the
 * instance's next periodic check, were passed on and cut at the end of the grace.
 */
TEST_F(LateInGraceTest, RequestsThatMayOutlastTheInstanceAreRefusedFromTheFirstMillisecond)
{
	const int count = 18;
	std::vector<std::unique_ptr<Caller>> callers;

	start();
	std::string text = with_limit(request_text("long/x"), 9000);
	for (int i = 0; i < count; i++) {
		callers.push_back(connect_caller());
		callers.back()->send_text(text.substr(0, text.size() - 1));
	}
	begin_stop();
	for (int i = 0; i < count; i++) {
		sleep_until(3003 + 5 * i);
		callers[(size_t)i]->send_text(text.substr(text.size() - 1));
	}
	for (int i = 0; i < count; i++) {
		Response a = callers[(size_t)i]->read_response(1000);

		EXPECT_EQ(a.status, 503) << "sent " << 3003 + 5 * i << " ms after SIGTERM";
		EXPECT_TRUE(a.complete);
	}
	EXPECT_EQ(received, 0);
	EXPECT_EQ(harness_process_wait(process, 8000), 0);
	EXPECT_EQ(WEXITSTATUS(process->status), 0);
}

/*
 * Guards against an instance that is killed: the end of a stop waited for a periodic check, at most
 * 100 ms later, which is all the time that is left then.
 */
TEST_F(LateInGraceTest, InstancesExitBeforeTheEndOfTheGrace)
{
	const size_t count = 6;
	std::vector<struct harness_process *> all = start_instances((int)count, 1, 0, 1);
	std::vector<std::unique_ptr<Caller>> callers;
	std::vector<std::string> texts;
	std::vector<int64_t> begun, late;

	/* At different phases of the periodic check. */
	for (struct harness_process *p : all) {
		begun.push_back(clock_boot_ms());
		harness_process_signal(p, SIGTERM);
		usleep(17000);
	}
	stopped_ms = begun[0];
	sleep_until(2500);
	for (struct harness_process *p : all) {
		texts.push_back(request_text("order/x"));
		callers.push_back(std::make_unique<Caller>(harness_process_port(p, "http"),
							   process_ip(p).c_str()));
		callers.back()->send_text(texts.back().substr(0, 20));
	}
	sleep_until(3000);
	/* Their bodies stay incomplete, so the instances wait for them to the end. */
	for (size_t i = 0; i < count; i++)
		callers[i]->send_text(texts[i].substr(20, texts[i].size() - 21));
	sleep_until(7900);
	for (std::vector<bool> ended(count);
	     late.size() < count && clock_boot_ms() < begun.back() + 9000; usleep(1000)) {
		for (size_t i = 0; i < count; i++) {
			if (ended[i] || harness_process_wait(all[i], 0) < 0)
				continue;
			ended[i] = true;
			late.push_back(clock_boot_ms() - begun[i] - 7900);
			EXPECT_EQ(WEXITSTATUS(all[i]->status), 0);
		}
	}
	ASSERT_EQ(late.size(), count);
	std::sort(late.begin(), late.end());
	EXPECT_GE(late.front(), 0);
	/* One of them may be late on a busy machine. */
	EXPECT_LT(late[count - 2], 50) << late.front() << " " << late.back();
}

/*
 * Guards against running requests that are cut without an answer at the end of the grace, among
 * them those that may run only once.
 */
TEST_F(LateInGraceTest, RequestsStillRunningAtTheEndOfTheGraceAreAnswered)
{
	start();
	auto before = connect_caller();
	auto later = connect_caller();

	before->send_text(with_limit(request_text("long/x"), 9000));
	usleep(100000);
	begin_stop();
	sleep_until(2500);
	later->send_text(with_limit(request_text("long/x"), 9000));
	Response a = before->read_response(8000);
	EXPECT_EQ(a.status, 504);
	EXPECT_TRUE(a.complete);
	Response b = later->read_response(8000);
	EXPECT_EQ(b.status, 504);
	EXPECT_TRUE(b.complete);
	EXPECT_EQ(received, 2);
	EXPECT_EQ(harness_process_wait(process, 8000), 0);
	EXPECT_EQ(WEXITSTATUS(process->status), 0);
	EXPECT_LT(clock_boot_ms() - stopped_ms, 8000);
}

/*
 * Guards against LOST in a planned stop: the head of a stream that began before it says that the
 * connection stays open, so the caller sends its next request there.
 */
TEST_F(EntryTest, ConnectionThatWasToStayOpenIsServedAfterItsStream)
{
	struct harness_process *p = start_all(2, 0, 2);
	Caller c(harness_process_port(p, "http"), process_ip(p).c_str());

	grid->post_json("/node", "{\"id\":\"\",\"event_ms\":20}");
	c.send_text(generation_text("stream/x", 40));
	ASSERT_TRUE(c.wait_for_text("id: 2\n"));
	harness_process_signal(p, SIGTERM);
	Response a = c.read_response();
	EXPECT_TRUE(a.complete);
	ASSERT_EQ(a.field("Connection"), "");
	c.send_text(request_text("order/x"), true);
	a = c.read_response();
	EXPECT_EQ(a.status, 200);
	EXPECT_EQ(a.field("Connection"), "close");
	EXPECT_EQ(harness_process_wait(p, 6000), 0);
	EXPECT_EQ(WEXITSTATUS(p->status), 0);
}
