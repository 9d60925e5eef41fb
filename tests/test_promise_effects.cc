#include "promise_fixture.h"

#include <atomic>

/* Promises 5 and 6: a call that is answered with "not_run" had no effect, and a call with side
 * effects runs at most once. */
class PromiseEffects : public PromiseTest
{
      protected:
	int64_t in_flight(int e)
	{
		return get(std::string(f->endpoints[e].url) + "/load").number("in_flight");
	}
	bool has_claim(const std::string &owner)
	{
		Json rows = get(std::string(f->platform) + "/table?prefix=claim/&after=&limit=500");
		const json_t *list = rows.at("rows");

		for (size_t i = 0; i < json_array_size(list); i++) {
			const json_t *v = json_object_get(json_array_get(list, i), "value");

			if (owner == json_get_cstr(v, "owner", ""))
				return true;
		}
		return false;
	}
	int64_t request_count(int i)
	{
		return status(i).number("requests");
	}
	/* Expects that a call that was answered with "not_run" had no effect. */
	void expect_not_run_is_true(const Answer &a)
	{
		if (a.error == "not_run") {
			EXPECT_EQ(count_effects("request_id", a.id), 0) << a.body;
		}
	}
};

/* Guards against a second effect, or a false "not_run" response, when the instance that owns a call
 * is killed before the claim, after the claim, after dispatch or after the reply. */
TEST_F(PromiseEffects, NoSecondEffectAfterOwnerKilled)
{
	std::vector<std::thread> callers;

	start({ "abertawe" }, 5, {}, true);
	ASSERT_EQ(send_order(3, "after-reply").status, 200);
	set_endpoint_fault(0, "{\"delay_ms\":1500}");
	set_route_mode("i1-platform", "silent_to_target");
	set_route_mode("i2-w1", "silent_to_target");
	callers.emplace_back([&] { send_order(0, "before-claim"); });
	callers.emplace_back([&] { send_order(1, "after-claim"); });
	callers.emplace_back([&] { send_order(2, "after-dispatch"); });
	EXPECT_TRUE(eventually([&] { return request_count(0) >= 1; }, 3000));
	EXPECT_TRUE(eventually([&] { return has_claim("i2"); }, 3000));
	EXPECT_TRUE(eventually([&] { return in_flight(0) >= 1; }, 3000));
	EXPECT_FALSE(has_claim("i1"));
	for (int i = 0; i < 4; i++)
		kill_instance(i);
	for (auto &c : callers)
		c.join();
	callers.clear();
	set_endpoint_fault(0, "{\"delay_ms\":0}");
	std::map<std::string, Answer> retry;
	for (const char *key : { "before-claim", "after-claim", "after-dispatch", "after-reply" })
		retry[key];
	for (auto &a : retry)
		callers.emplace_back([&] { a.second = send_order(4, a.first); });
	for (auto &c : callers)
		c.join();
	EXPECT_EQ(retry["before-claim"].status, 200) << retry["before-claim"].body;
	EXPECT_EQ(retry["after-claim"].error, "outcome_unknown") << retry["after-claim"].body;
	EXPECT_EQ(retry["after-dispatch"].error, "outcome_unknown") << retry["after-dispatch"].body;
	EXPECT_EQ(retry["after-reply"].status, 200) << retry["after-reply"].body;
	EXPECT_EQ(count_effects("key", "before-claim"), 1);
	EXPECT_EQ(count_effects("key", "after-claim"), 0);
	EXPECT_EQ(count_effects("key", "after-dispatch"), 1);
	EXPECT_EQ(count_effects("key", "after-reply"), 1);
}

/* Guards against a retry that runs the call again because the paused owner seems to have crashed
 * before dispatch. */
TEST_F(PromiseEffects, NoSecondEffectWhileOwnerPaused)
{
	Answer first;
	Answer retry;

	start({ "abertawe" }, 2, {}, true);
	set_endpoint_fault(0, "{\"delay_ms\":600}");
	std::thread caller([&] { first = send_order(0, "frozen"); });
	EXPECT_TRUE(eventually([&] { return in_flight(0) >= 1; }, 3000));
	pause_instance(0);
	retry = send_order(1, "frozen");
	EXPECT_EQ(retry.error, "outcome_unknown") << retry.body;
	resume_instance(0);
	caller.join();
	/* The deadline of the first call may have expired during the pause; both answers are
	 * correct. */
	EXPECT_TRUE(first.status == 200 || first.error == "outcome_unknown") << first.body;
	retry = send_order(1, "frozen");
	EXPECT_EQ(retry.status, first.status) << retry.body;
	EXPECT_EQ(count_effects("key", "frozen"), 1);
}

/* Guards against orders that run without a claim while the platform table is unavailable, and
 * against results that are lost when it becomes unavailable after dispatch. */
TEST_F(PromiseEffects, NoEffectWithoutClaimInOutage)
{
	Answer a;

	start({ "abertawe" }, 2, {}, true);
	set_endpoint_fault(0, "{\"delay_ms\":800}");
	std::thread caller([&] { a = send_order(0, "before-outage"); });
	EXPECT_TRUE(eventually([&] { return in_flight(0) >= 1; }, 3000));
	set_platform_fault("{\"down\":true}");
	caller.join();
	EXPECT_EQ(a.status, 200) << a.body;
	std::vector<Answer> refused(6);
	std::vector<std::thread> callers;
	for (int i = 0; i < 6; i++)
		callers.emplace_back(
			[&, i] { refused[i] = send_order(i % 2, "outage-" + std::to_string(i)); });
	for (auto &c : callers)
		c.join();
	for (auto &r : refused) {
		EXPECT_TRUE(r.error == "not_run" || r.error == "outcome_unknown") << r.body;
		expect_not_run_is_true(r);
	}
	set_platform_fault("{\"down\":false}");
	set_endpoint_fault(0, "{\"delay_ms\":0}");
	Answer replay = send_order(1, "before-outage");
	EXPECT_EQ(replay.status, 200) << replay.body;
	EXPECT_EQ(replay.body, a.body);
	EXPECT_EQ(count_effects("key", "before-outage"), 1);
	for (int i = 0; i < 6; i++) {
		std::string key = "outage-" + std::to_string(i);

		EXPECT_EQ(send_order(i % 2, key).status, 200);
		EXPECT_EQ(count_effects("key", key), 1);
	}
}

/* Guards against a table write that took effect but is handled as failed because its reply was
 * lost, so that the call is answered with "not_run" after it ran, or runs twice. */
TEST_F(PromiseEffects, OneEffectDespiteLostTableReplies)
{
	const int n = 24;
	std::vector<Answer> first(n);
	std::vector<std::thread> callers;

	start({ "abertawe" }, 3, {}, true);
	set_platform_fault("{\"drop_reply\":1.0}");
	for (int i = 0; i < n; i++)
		callers.emplace_back(
			[&, i] { first[i] = send_order(i % 3, "lost-" + std::to_string(i)); });
	clock_sleep_ms(3000);
	set_platform_fault("{\"drop_reply\":0.0}");
	for (auto &c : callers)
		c.join();
	for (int i = 0; i < n; i++) {
		std::string key = "lost-" + std::to_string(i);
		Answer retry = send_order((i + 1) % 3, key);

		expect_not_run_is_true(first[i]);
		EXPECT_EQ(count_effects("key", key), 1) << first[i].body << retry.body;
		EXPECT_EQ(retry.status, 200) << retry.body;
		if (first[i].status == 200) {
			EXPECT_EQ(retry.body, first[i].body);
		}
	}
}

/* Guards against a second dispatch when the service ran the order and its response was lost. The
 * HTTP library could also cause it: by default it resends a request on a reused connection that
 * was closed before the response. */
TEST_F(PromiseEffects, OneEffectDespiteLostServiceReplies)
{
	start({ "abertawe" }, 2, {}, true);
	for (int i = 0; i < 10; i++) {
		std::string key = "dropped-" + std::to_string(i);

		/* A successful call leaves an open connection that can be reused. */
		ASSERT_EQ(send_order(0, "warm-" + std::to_string(i)).status, 200);
		ASSERT_EQ(send_order(0, "").status, 200);
		set_endpoint_fault(0, "{\"drop_reply\":1.0}");
		Answer keyed = send_order(0, key);
		Answer single = send_order(0, "");
		set_endpoint_fault(0, "{\"drop_reply\":0.0}");
		EXPECT_EQ(keyed.error, "outcome_unknown") << keyed.body;
		EXPECT_EQ(single.error, "outcome_unknown") << single.body;
		EXPECT_EQ(count_effects("key", key), 1);
		EXPECT_EQ(count_effects("request_id", single.id), 1);
		Answer retry = send_order(1, key);
		EXPECT_EQ(retry.error, "outcome_unknown") << retry.body;
		EXPECT_EQ(count_effects("key", key), 1);
		/* The circuit breaker of the endpoint may have opened. */
		ASSERT_TRUE(eventually([&] { return send_order(0, "").status == 200; }, 6000));
	}
}

/* Guards against an order that is sent again after the service crashed before or after the effect:
 * the sender cannot tell which of the two happened. */
TEST_F(PromiseEffects, NoRetryAfterServiceCrash)
{
	start({ "abertawe" }, 2, {}, true);
	for (const char *crash_fault : { "crash_before_effect", "crash_after_effect" }) {
		set_endpoint_fault(0, std::string("{\"") + crash_fault + "\":true}");
		Answer a = send_order(0, crash_fault);
		EXPECT_EQ(a.error, "outcome_unknown") << a.body;
		ASSERT_EQ(harness_process_wait(f->endpoints[0].process, 5000), 0);
		ASSERT_EQ(harness_endpoint_start(f, 0, &err), 0) << err.text;
		ASSERT_TRUE(eventually([&] { return send_order(1, "").status == 200; }, 15000));
		for (int i = 0; i < 2; i++) {
			Answer retry = send_order(i, crash_fault);

			EXPECT_EQ(retry.error, "outcome_unknown") << retry.body;
		}
		EXPECT_EQ(count_effects("key", crash_fault), 0)
			<< "the order was sent again to the restarted service";
	}
}

/* Guards against two instances that both acquire the claim of one idempotency key. */
TEST_F(PromiseEffects, OneEffectForConcurrentSameKey)
{
	start({ "abertawe" }, 3, {}, true);
	for (int i = 0; i < 60; i++) {
		std::string key = "twice-" + std::to_string(i);
		std::vector<std::thread> callers;
		std::vector<Answer> answers(3);

		for (int k = 0; k < 3; k++)
			callers.emplace_back([&, k] { answers[k] = send_order(k, key); });
		for (auto &c : callers)
			c.join();
		EXPECT_EQ(count_effects("key", key), 1);
		for (auto &a : answers) {
			EXPECT_EQ(a.status, 200) << a.body;
			EXPECT_EQ(a.body, answers[0].body);
		}
	}
}
