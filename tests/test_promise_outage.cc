#include "promise_fixture.h"

#include <cinttypes>
#include <set>

/* Requests that crash engines, platform outages, and isolation between organisations. */
class PromiseOutage : public PromiseTest
{
      protected:
	std::string prompt_body(const std::string &prompt, int tokens)
	{
		return "{\"model\":\"M\",\"prompt\":\"" + prompt +
		       "\",\"max_tokens\":" + std::to_string(tokens) + "}";
	}
	int64_t cached_token_count(int64_t *prefilled = nullptr)
	{
		int64_t n = 0;

		for (int e = 0; e < f->endpoint_count; e++)
			n += engine_stat(e, "cached_tokens");
		if (prefilled) {
			*prefilled = 0;
			for (int e = 0; e < f->endpoint_count; e++)
				*prefilled += engine_stat(e, "prefill_tokens");
		}
		return n;
	}
	std::string expected_text(const std::string &prompt, int tokens)
	{
		uint64_t seed = text_seed(str_from(prompt.c_str()), str_from("M"));
		std::string out;
		char token[TEXT_TOKEN_BYTES + 1];

		for (int i = 0; i < tokens; i++) {
			generated_text_token(seed, i, token);
			out += token;
		}
		return out;
	}
	static double good_share(const LoadRun &load, double from_s, double to_s)
	{
		int good = 0;
		int all = 0;

		for (size_t i = 0; i < load.result.count; i++) {
			const struct load_record &r = load.result.records[i];

			if (r.is_call || r.start_us < from_s * 1e6 || r.start_us >= to_s * 1e6)
				continue;
			all++;
			good += load_record_counts_as_goodput(&r, &load.options);
		}
		return all ? (double)good / all : 0;
	}
	LoadRun load;
};

/* Guards against a request that crashes one engine after another, and against ordinary requests
 * that fail or are refused because of it. */
TEST_F(PromiseOutage, CrashingRequestStopsAfterTwoEngines)
{
	const int ordinary = 200;
	const int crashing = 20;
	std::vector<Answer> poison(crashing);
	std::vector<Answer> answers(ordinary);
	std::vector<std::thread> callers;
	std::vector<harness_engine_spec> six(6, { "mixed", true });
	int lost = 0;

	start({ "abertawe" }, 3, six, false);
	for (int e = 0; e < 6; e++)
		set_endpoint_fault(e, "{\"crash_marker\":\"poison\"}");
	for (int c = 0; c < 20; c++)
		callers.emplace_back([&, c] {
			for (int n = 0; n < ordinary / 20; n++)
				answers[c * 10 + n] = send_request(
					(c + n) % 3, "/v1/completions",
					prompt_body("part " + std::to_string(c * 10 + n), 20));
		});
	callers.emplace_back([&] {
		for (int n = 0; n < crashing; n++)
			poison[n] = send_request(n % 3, "/v1/completions",
						 prompt_body("a poison pill", 20));
	});
	for (auto &c : callers)
		c.join();
	for (int e = 0; e < 6; e++)
		lost += harness_process_wait(f->endpoints[e].process, 0) == 0;
	EXPECT_LE(lost, 2);
	EXPECT_GE(lost, 1);
	for (int n = 0; n < crashing; n++) {
		EXPECT_EQ(poison[n].status, 422) << n << poison[n].body;
		EXPECT_EQ(poison[n].body.find("poison"), std::string::npos);
	}
	for (int n = 0; n < ordinary; n++) {
		EXPECT_EQ(answers[n].status, 200) << n << answers[n].body;
		EXPECT_NE(answers[n].body.find(expected_text("part " + std::to_string(n), 20)),
			  std::string::npos)
			<< n << answers[n].body;
	}
}

/* Guards against an instance that, after its restart, runs a request which the others refuse. */
TEST_F(PromiseOutage, CrashingRequestIsRefusedAfterARestart)
{
	std::vector<harness_engine_spec> five(5, { "mixed", true });
	auto lost_engines = [&] {
		int lost = 0;

		for (int e = 0; e < 5; e++)
			lost += harness_process_wait(f->endpoints[e].process, 0) == 0;
		return lost;
	};

	start({ "abertawe" }, 3, five, false);
	for (int e = 0; e < 5; e++)
		set_endpoint_fault(e, "{\"crash_marker\":\"poison\"}");
	EXPECT_EQ(send_request(0, "/v1/completions", prompt_body("a poison pill", 20)).status, 422);
	EXPECT_EQ(lost_engines(), 2);
	for (int sig : { SIGKILL, SIGTERM }) {
		harness_process_signal(f->instances[2].process, sig);
		ASSERT_EQ(harness_process_wait(f->instances[2].process, 10000), 0);
		ASSERT_EQ(harness_instance_start(f, 2, &err), 0) << err.text;
		ASSERT_EQ(harness_wait_ready(f, 20000, &err), 0) << err.text;
		Answer a = send_request(2, "/v1/completions", prompt_body("a poison pill", 20));
		EXPECT_EQ(a.status, 422) << a.body;
		ASSERT_EQ(lost_engines(), 2) << "after signal " << sig;
	}
}

class PromiseOutageTwoCrashes : public PromiseOutage, public ::testing::WithParamInterface<int>
{
      protected:
	/* Whether instance @i has sent the second attempt of a request. */
	bool has_retried(int i)
	{
		return events(i).find("\"n=2 ") != std::string::npos;
	}
	/*
	 * Lists the attempts that one instance sent to an engine while a suspect of the other
	 * instance had the engine reserved. A suspect is a request that may have crashed an engine;
	 * its retry runs alone for 16 tokens of 50 ms, or until it ends if that is earlier: a retry
	 * that resumes at token 28 of 30 has two tokens left, and its reservation ends with it.
	 */
	std::string attempts_beside_suspects()
	{
		const int64_t exclusive_ms = 500;
		std::set<std::string> crash_suspect_ids;
		std::map<std::string, const json_t *> last_attempts;
		std::map<std::string, int64_t> finished_ms;
		std::vector<const json_t *> sent;
		std::vector<const json_t *> suspects;
		std::vector<Json> all;
		std::string found;
		auto text = [](const json_t *e, const char *key) {
			return std::string(json_get_cstr(e, key, ""));
		};
		auto at = [](const json_t *e) { return json_get_i64(e, "time_ms", 0); };

		for (int i = 0; i < f->instance_count; i++)
			all.emplace_back(json_loads(events(i).c_str(), 0, nullptr));
		for (const Json &list : all) {
			for (size_t k = 0; k < json_array_size(list.get()); k++) {
				const json_t *e = json_array_get(list.get(), k);
				std::string id = text(e, "request");

				if (text(e, "kind") == "attempt-sent") {
					sent.push_back(e);
					if (crash_suspect_ids.count(id))
						last_attempts[id] = e;
				} else if (text(e, "kind") == "finished") {
					finished_ms[id] = at(e);
				} else if (text(e, "kind") == "attempt-failed") {
					last_attempts.erase(id);
					if (text(e, "detail").find("reason=reset") !=
					    std::string::npos)
						crash_suspect_ids.insert(id);
				}
			}
		}
		for (const auto &l : last_attempts)
			suspects.push_back(l.second);
		printf("%zu suspects finished\n", suspects.size());
		EXPECT_GT(suspects.size(), 0u);
		for (const json_t *s : suspects) {
			auto end = finished_ms.find(text(s, "request"));
			int64_t exclusive_until_ms = at(s) + exclusive_ms;

			if (end != finished_ms.end() && end->second < exclusive_until_ms)
				exclusive_until_ms = end->second;
			for (const json_t *e : sent) {
				int64_t after = at(e) - at(s);

				if (text(e, "instance") != text(s, "instance") &&
				    text(e, "endpoint") == text(s, "endpoint") && after > 0 &&
				    at(e) < exclusive_until_ms) {
					found += text(s, "endpoint") + " after " +
						 std::to_string(after) + " ms; ";
					print_events_around(all, at(s));
				}
			}
		}
		return found;
	}
	/* Prints the events of all instances from 3 s before @time_ms to 1 s after it. */
	static void print_events_around(const std::vector<Json> &all, int64_t time_ms)
	{
		for (const Json &list : all) {
			for (size_t k = 0; k < json_array_size(list.get()); k++) {
				const json_t *e = json_array_get(list.get(), k);
				int64_t after = json_get_i64(e, "time_ms", 0) - time_ms;
				char *line;

				if (after < -3000 || after > 1000)
					continue;
				line = json_dumps(e, JSON_COMPACT);
				printf("%+" PRId64 " ms %s\n", after, line);
				free(line);
			}
		}
	}
};

/*
 * Guards against an ordinary request that is blamed for a crash caused by another instance's
 * suspect. Each of two instances has its own crashing request; the second one starts while the
 * requests that shared an engine with the first one are retried as suspects.
 */
TEST_P(PromiseOutageTwoCrashes, OrdinaryRequestsSurviveTwoCrashingRequests)
{
	const int callers = 24;
	const int requests_per_caller = 4;
	const int crashing = 4;
	std::vector<harness_engine_spec> six(6, { "mixed", true });
	std::vector<Answer> poison((size_t)2 * crashing);
	std::vector<Answer> answers((size_t)callers * requests_per_caller);
	std::vector<std::thread> threads;
	int lost = 0;

	start({ "abertawe" }, 2, six, false);
	/* The engines are slow, so that a suspect runs alone for most of a second. */
	for (int e = 0; e < 6; e++)
		set_endpoint_fault(e, "{\"crash_marker\":\"poison\",\"slow_factor\":2.5}");
	for (int c = 0; c < callers; c++)
		threads.emplace_back([&, c] {
			for (int n = c * requests_per_caller; n < (c + 1) * requests_per_caller;
			     n++)
				answers[n] =
					send_request(c % 2, "/v1/completions",
						     prompt_body("part " + std::to_string(n), 30),
						     "", API_KEY, 60000);
		});
	for (int i = 0; i < 2; i++)
		threads.emplace_back([&, i] {
			if (i == 0)
				clock_sleep_ms(1000);
			else if (eventually([&] { return has_retried(0); }, 10000))
				clock_sleep_ms(150 * GetParam());
			for (int n = i * crashing; n < (i + 1) * crashing; n++)
				poison[n] = send_request(
					i, "/v1/completions",
					prompt_body("poison of " + std::to_string(i), 20), "",
					API_KEY, 60000);
		});
	for (auto &t : threads)
		t.join();
	for (int e = 0; e < 6; e++)
		lost += harness_process_wait(f->endpoints[e].process, 0) == 0;
	EXPECT_LE(lost, 4) << "more than two engines for each crashing request";
	EXPECT_GE(lost, 2);
	EXPECT_EQ(attempts_beside_suspects(), "")
		<< "another request was sent to the engine of a suspect";
	for (auto &a : poison)
		EXPECT_EQ(a.status, 422) << a.body;
	for (size_t n = 0; n < answers.size(); n++) {
		EXPECT_EQ(answers[n].status, 200) << n << answers[n].body;
		EXPECT_NE(answers[n].body.find(expected_text("part " + std::to_string(n), 30)),
			  std::string::npos)
			<< n << answers[n].body;
	}
}

INSTANTIATE_TEST_SUITE_P(Repeated, PromiseOutageTwoCrashes, ::testing::Range(0, 3));

/* Guards against generations that wait for the platform table. */
TEST_F(PromiseOutage, GenerationsContinueWithoutPlatform)
{
	start({ "abertawe" }, 2,
	      { { "prefill", true }, { "decode", true }, { "decode", true }, { "mixed", true } },
	      true);
	load.options.duration_s = 36;
	load.workload.phases[0].rate = 15;
	load.workload.phases[0].prompt_tokens = 200;
	load.workload.phases[0].output_tokens = 30;
	load.start(urls());
	int64_t start_ms = clock_boot_ms();
	/* Phases of the run: platform normal for 8 s, down for 20 s, slow for 8 s. */
	EXPECT_TRUE(eventually([&] { return clock_boot_ms() - start_ms >= 8000; }, 9000));
	set_platform_fault("{\"down\":true}");
	EXPECT_TRUE(eventually([&] { return clock_boot_ms() - start_ms >= 28000; }, 21000));
	set_platform_fault("{\"down\":false,\"delay_ms\":2000}");
	load.wait();
	set_platform_fault("{\"delay_ms\":0}");
	double before = good_share(load, 0.5, 8);
	double down = good_share(load, 8, 28);
	double slow = good_share(load, 28, 36);
	printf("good share before %.3f down %.3f slow %.3f of %zu requests\n", before, down, slow,
	       load.result.count);
	EXPECT_GT(before, 0);
	EXPECT_GE(down, 0.95 * before);
	EXPECT_GE(slow, 0.95 * before);
	EXPECT_TRUE(report_is_correct(&load.result)) << load.failures();
}

/* Guards against prompts of one organisation that are served from the cache to another one, and
 * against prompts and keys in events and logs. */
TEST_F(PromiseOutage, OrganisationsAreIsolated)
{
	std::string secret = "torque-sheet-7f3a ";
	std::string prompt;
	int64_t first;
	int64_t second;

	start({ "abertawe" }, 2, { { "mixed", true } }, false);
	ASSERT_EQ(harness_organisation_create(f, "rivals", "rival-key", 1), 200);
	ASSERT_EQ(harness_wait_config_version(f, version(0), 5000), 0);
	while (prompt.size() < 20000)
		prompt += secret;
	auto send = [&](int i, const char *key) {
		Answer a = send_request(i, "/v1/completions", prompt_body(prompt, 4), "", key);

		EXPECT_EQ(a.status, 200) << a.body;
		EXPECT_NE(a.body.find(expected_text(prompt, 4)), std::string::npos);
	};
	send(0, API_KEY);
	EXPECT_EQ(cached_token_count(), 0);
	send(1, "rival-key");
	EXPECT_EQ(cached_token_count(), 0)
		<< "another organisation got a cache hit on the prompt of the first";
	send(1, API_KEY);
	first = cached_token_count();
	EXPECT_GE(first, 4000) << "no cache hit for the same organisation through another instance";
	send(0, "rival-key");
	second = cached_token_count();
	EXPECT_GE(second, first + 4000);
	for (int i = 0; i < f->instance_count; i++) {
		EXPECT_EQ(events(i).find("torque-sheet"), std::string::npos);
		EXPECT_EQ(log_text(f->instances[i].id).find("torque-sheet"), std::string::npos);
		EXPECT_EQ(events(i).find("rival-key"), std::string::npos);
		EXPECT_EQ(log_text(f->instances[i].id).find("rival-key"), std::string::npos);
		EXPECT_NE(events(i).find("request-received"), std::string::npos);
	}
}
