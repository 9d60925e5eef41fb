#include "promise_fixture.h"

#include <atomic>

/* Promises 5 and 6: "not run" is true, and a call with side effects runs at most once. */
class PromiseEffects : public PromiseTest
{
      protected:
	int64_t in_flight(int e)
	{
		return get(std::string(f->endpoints[e].url) + "/load").number("in_flight");
	}
	bool claimed(const std::string &token_owner)
	{
		Json rows = get(std::string(f->platform) + "/table?prefix=claim/&after=&limit=500");
		const json_t *list = rows.at("rows");

		for (size_t i = 0; i < json_array_size(list); i++) {
			const json_t *v = json_object_get(json_array_get(list, i), "value");

			if (token_owner == json_get_cstr(v, "owner", ""))
				return true;
		}
		return false;
	}
	int64_t requests(int i)
	{
		return status(i).number("requests");
	}
	/* A refusal "not run" has no effect; an effect is never answered "not run". */
	void expect_honest(const Answer &a)
	{
		if (a.error == "not_run") {
			EXPECT_EQ(effects("request_id", a.id), 0) << a.body;
		}
	}
};

/* Guards against a second effect, or a claim of "not run", when the owner of a call dies before the
 * claim, after the claim, after dispatch, and after the reply. */
TEST_F(PromiseEffects, OwnerKilledAtEachStep)
{
	std::vector<std::thread> callers;

	start({ "abertawe" }, 5, {}, true);
	ASSERT_EQ(order(3, "after-reply").status, 200);
	endpoint_fault(0, "{\"delay_ms\":1500}");
	route("i1-platform", "silent_to_target");
	route("i2-w1", "silent_to_target");
	callers.emplace_back([&] { order(0, "before-claim"); });
	callers.emplace_back([&] { order(1, "after-claim"); });
	callers.emplace_back([&] { order(2, "after-dispatch"); });
	EXPECT_TRUE(eventually([&] { return requests(0) >= 1; }, 3000));
	EXPECT_TRUE(eventually([&] { return claimed("i2"); }, 3000));
	EXPECT_TRUE(eventually([&] { return in_flight(0) >= 1; }, 3000));
	EXPECT_FALSE(claimed("i1"));
	for (int i = 0; i < 4; i++)
		kill_instance(i);
	for (auto &c : callers)
		c.join();
	callers.clear();
	endpoint_fault(0, "{\"delay_ms\":0}");
	std::map<std::string, Answer> again;
	for (const char *key : { "before-claim", "after-claim", "after-dispatch", "after-reply" })
		again[key];
	for (auto &a : again)
		callers.emplace_back([&] { a.second = order(4, a.first); });
	for (auto &c : callers)
		c.join();
	EXPECT_EQ(again["before-claim"].status, 200) << again["before-claim"].body;
	EXPECT_EQ(again["after-claim"].error, "outcome_unknown") << again["after-claim"].body;
	EXPECT_EQ(again["after-dispatch"].error, "outcome_unknown") << again["after-dispatch"].body;
	EXPECT_EQ(again["after-reply"].status, 200) << again["after-reply"].body;
	EXPECT_EQ(effects("key", "before-claim"), 1);
	EXPECT_EQ(effects("key", "after-claim"), 0);
	EXPECT_EQ(effects("key", "after-dispatch"), 1);
	EXPECT_EQ(effects("key", "after-reply"), 1);
}

/* Guards against a repeat that takes a paused owner for a dead one that never dispatched. */
TEST_F(PromiseEffects, FrozenOwner)
{
	Answer first;
	Answer repeat;

	start({ "abertawe" }, 2, {}, true);
	endpoint_fault(0, "{\"delay_ms\":600}");
	std::thread caller([&] { first = order(0, "frozen"); });
	EXPECT_TRUE(eventually([&] { return in_flight(0) >= 1; }, 3000));
	freeze(0);
	repeat = order(1, "frozen");
	EXPECT_EQ(repeat.error, "outcome_unknown") << repeat.body;
	wake(0);
	caller.join();
	/* The first caller's deadline may have passed in the pause; either answer is true. */
	EXPECT_TRUE(first.status == 200 || first.error == "outcome_unknown") << first.body;
	repeat = order(1, "frozen");
	EXPECT_EQ(repeat.status, first.status) << repeat.body;
	EXPECT_EQ(effects("key", "frozen"), 1);
}

/* Guards against orders that run without a claim while the table is down, and against results that
 * are lost when it goes down after dispatch. */
TEST_F(PromiseEffects, PlatformOutage)
{
	Answer a;

	start({ "abertawe" }, 2, {}, true);
	endpoint_fault(0, "{\"delay_ms\":800}");
	std::thread caller([&] { a = order(0, "before-outage"); });
	EXPECT_TRUE(eventually([&] { return in_flight(0) >= 1; }, 3000));
	platform_fault("{\"down\":true}");
	caller.join();
	EXPECT_EQ(a.status, 200) << a.body;
	std::vector<Answer> refused(6);
	std::vector<std::thread> callers;
	for (int i = 0; i < 6; i++)
		callers.emplace_back(
			[&, i] { refused[i] = order(i % 2, "outage-" + std::to_string(i)); });
	for (auto &c : callers)
		c.join();
	for (auto &r : refused) {
		EXPECT_TRUE(r.error == "not_run" || r.error == "outcome_unknown") << r.body;
		expect_honest(r);
	}
	platform_fault("{\"down\":false}");
	endpoint_fault(0, "{\"delay_ms\":0}");
	Answer replay = order(1, "before-outage");
	EXPECT_EQ(replay.status, 200) << replay.body;
	EXPECT_EQ(replay.body, a.body);
	EXPECT_EQ(effects("key", "before-outage"), 1);
	for (int i = 0; i < 6; i++) {
		std::string key = "outage-" + std::to_string(i);

		EXPECT_EQ(order(i % 2, key).status, 200);
		EXPECT_EQ(effects("key", key), 1);
	}
}

/* Guards against a write that took effect and is taken for a failed one, so that the call is
 * refused as "not run" after it ran, or runs twice. */
TEST_F(PromiseEffects, LostTableReplies)
{
	const int n = 24;
	std::vector<Answer> first(n);
	std::vector<std::thread> callers;

	start({ "abertawe" }, 3, {}, true);
	platform_fault("{\"drop_reply\":1.0}");
	for (int i = 0; i < n; i++)
		callers.emplace_back(
			[&, i] { first[i] = order(i % 3, "lost-" + std::to_string(i)); });
	clock_sleep_ms(3000);
	platform_fault("{\"drop_reply\":0.0}");
	for (auto &c : callers)
		c.join();
	for (int i = 0; i < n; i++) {
		std::string key = "lost-" + std::to_string(i);
		Answer again = order((i + 1) % 3, key);

		expect_honest(first[i]);
		EXPECT_EQ(effects("key", key), 1) << first[i].body << again.body;
		EXPECT_EQ(again.status, 200) << again.body;
		if (first[i].status == 200) {
			EXPECT_EQ(again.body, first[i].body);
		}
	}
}

/* Guards against a second dispatch when the service took the order and its answer was lost, also
 * by the HTTP library, which by itself resends a request on a reused connection that was closed
 * before an answer. */
TEST_F(PromiseEffects, LostServiceReplies)
{
	start({ "abertawe" }, 2, {}, true);
	for (int i = 0; i < 10; i++) {
		std::string key = "dropped-" + std::to_string(i);

		/* A served call leaves a connection that could be reused. */
		ASSERT_EQ(order(0, "warm-" + std::to_string(i)).status, 200);
		ASSERT_EQ(order(0, "").status, 200);
		endpoint_fault(0, "{\"drop_reply\":1.0}");
		Answer keyed = order(0, key);
		Answer single = order(0, "");
		endpoint_fault(0, "{\"drop_reply\":0.0}");
		EXPECT_EQ(keyed.error, "outcome_unknown") << keyed.body;
		EXPECT_EQ(single.error, "outcome_unknown") << single.body;
		EXPECT_EQ(effects("key", key), 1);
		EXPECT_EQ(effects("request_id", single.id), 1);
		Answer again = order(1, key);
		EXPECT_EQ(again.error, "outcome_unknown") << again.body;
		EXPECT_EQ(effects("key", key), 1);
		/* The circuit of the worker may have opened. */
		ASSERT_TRUE(eventually([&] { return order(0, "").status == 200; }, 6000));
	}
}

/* Guards against an order that is sent again to a service that crashed before or after it took
 * effect: nobody can know which it was. */
TEST_F(PromiseEffects, ServiceCrash)
{
	start({ "abertawe" }, 2, {}, true);
	for (const char *moment : { "crash_before_effect", "crash_after_effect" }) {
		endpoint_fault(0, std::string("{\"") + moment + "\":true}");
		Answer a = order(0, moment);
		EXPECT_EQ(a.error, "outcome_unknown") << a.body;
		ASSERT_EQ(harness_wait(f->endpoints[0].process, 5000), 0);
		ASSERT_EQ(harness_endpoint_start(f, 0, &err), 0) << err.text;
		ASSERT_TRUE(eventually([&] { return order(1, "").status == 200; }, 15000));
		for (int i = 0; i < 2; i++) {
			Answer again = order(i, moment);

			EXPECT_EQ(again.error, "outcome_unknown") << again.body;
		}
		EXPECT_EQ(effects("key", moment), 0) << "sent to the restarted worker";
	}
}

/* Guards against two instances that both win the claim of one key. */
TEST_F(PromiseEffects, SameKeyThroughTwoInstances)
{
	start({ "abertawe" }, 3, {}, true);
	for (int i = 0; i < 60; i++) {
		std::string key = "twice-" + std::to_string(i);
		std::vector<std::thread> callers;
		std::vector<Answer> answers(3);

		for (int k = 0; k < 3; k++)
			callers.emplace_back([&, k] { answers[k] = order(k, key); });
		for (auto &c : callers)
			c.join();
		EXPECT_EQ(effects("key", key), 1);
		for (auto &a : answers) {
			EXPECT_EQ(a.status, 200) << a.body;
			EXPECT_EQ(a.body, answers[0].body);
		}
	}
}
