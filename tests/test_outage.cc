#include "standin_process.h"

#include <atomic>
#include <thread>

extern "C" {
#include "ibisgate/harness/harness.h"
}

using std::string;

static string http_get_body(const string &url)
{
	struct harness_reply r;

	harness_http_request("GET", url.c_str(), nullptr, nullptr, 3000, &r, nullptr);
	string s(r.body.data ? r.body.data : "", r.body.len);
	harness_reply_free(&r);
	return s;
}

class Deployment
{
      public:
	Deployment()
	{
		d.region = "de-cymru";
		d.dcs[0] = "abertawe";
		d.instances = 3;
		d.engines = engines;
		d.through_proxy = true;
		/* The proxy routes replace the addresses; a seed only needs a peer id. */
		d.settings = "[http]\nthreads = 24\n[seeds]\ni1 = 127.0.0.1:1\ni2 = "
			     "127.0.0.1:1\ni3 = 127.0.0.1:1\n";
		h = harness_create(&err);
		f = harness_fleet_create(h, &d, &err);
	}
	~Deployment()
	{
		if (f)
			harness_fleet_destroy(f);
		harness_destroy(h);
	}
	bool create_configuration()
	{
		return harness_wait_ready(f, 20000, &err) == 0 &&
		       harness_organisation_create(f, "o", "k", 1) == 200 &&
		       harness_model_service_create(f, "M") == 200 &&
		       harness_wait_config_version(f, 2, 10000) == 0;
	}
	void set_platform_links(const char *mode)
	{
		for (int i = 0; i < f->instance_count; i++)
			EXPECT_EQ(harness_route_fault_set(
					  f, (string(f->instances[i].id) + "-platform").c_str(),
					  mode, false),
				  200);
	}
	bool generate(int i, int tokens = 4, const char *model = "M")
	{
		const char *const headers[] = { "Authorization: Bearer k", nullptr };
		struct harness_reply r;

		harness_http_request(
			"POST", (string(f->instances[i].http) + "/v1/completions").c_str(), headers,
			("{\"model\":\"" + string(model) +
			 "\",\"prompt\":\"p\",\"stream\":true,\"max_tokens\":" +
			 std::to_string(tokens) + "}")
				.c_str(),
			20000, &r, nullptr);
		string body(r.body.data ? r.body.data : "", r.body.len);
		bool ok = r.status == 200 && body.find("[DONE]") != string::npos;
		harness_reply_free(&r);
		return ok;
	}
	int64_t version(int i)
	{
		json_t *o = harness_instance_status_get(f, i);
		int64_t v = json_get_i64(o, "config_version", -1);

		json_decref(o);
		return v;
	}
	bool is_ready(int i)
	{
		return http_get_body(string(f->instances[i].http) + "/readyz") == "ready\n";
	}
	const struct harness_engine_spec engines[3] = { { "mixed", true }, { "mixed", true }, {} };
	struct harness_deployment d = {};
	struct harness *h;
	struct harness_fleet *f;
	struct error err = {};
};

/* Guards against instances that cannot restart during a platform outage, or that lose their
 * configuration in the restart. */
TEST(Outage, RollingRestartKeepsConfiguration)
{
	Deployment t;

	ASSERT_TRUE(t.f) << t.err.text;
	ASSERT_TRUE(t.create_configuration()) << t.err.text;
	t.set_platform_links("cut");
	for (int i = 0; i < 3; i++) {
		ASSERT_EQ(harness_process_stop(t.f->instances[i].process, 20000), 0);
		for (int k = 0; k < 3; k++)
			EXPECT_TRUE(k == i || t.generate(k)) << "without instance " << i;
		ASSERT_EQ(harness_instance_start(t.f, i, &t.err), 0) << t.err.text;
		t.set_platform_links("cut");
		ASSERT_TRUE(eventually([&] { return t.is_ready(i); }, 15000))
			<< http_get_body(string(t.f->instances[i].http) + "/readyz");
		EXPECT_EQ(t.version(i), 2) << "ready without the configuration";
		for (int k = 0; k < 3; k++)
			EXPECT_TRUE(t.generate(k)) << "instance " << k;
	}
	t.set_platform_links("pass");
	EXPECT_EQ(harness_wait_ready(t.f, 20000, &t.err), 0) << t.err.text;
	EXPECT_EQ(harness_model_service_create(t.f, "M2"), 200);
	EXPECT_EQ(harness_wait_config_version(t.f, 3, 10000), 0);
}

/* Guards against an instance that reports ready without a configuration. */
TEST(Outage, StaysNotReadyWithoutPlatformAndPeers)
{
	Deployment t;

	ASSERT_TRUE(t.f) << t.err.text;
	ASSERT_TRUE(t.create_configuration()) << t.err.text;
	t.set_platform_links("cut");
	for (int i = 0; i < 3; i++)
		ASSERT_EQ(harness_process_stop(t.f->instances[i].process, 20000), 0);
	for (int i = 0; i < 2; i++)
		ASSERT_EQ(harness_instance_start(t.f, i, &t.err), 0) << t.err.text;
	t.set_platform_links("cut");
	clock_sleep_ms(3000);
	for (int i = 0; i < 2; i++)
		EXPECT_EQ(http_get_body(string(t.f->instances[i].http) + "/readyz"),
			  "not ready: no configuration from the platform or a ready peer\n");
	t.set_platform_links("pass");
	EXPECT_TRUE(eventually([&] { return t.is_ready(0) && t.is_ready(1); }, 15000));
}

/* Guards against an instance that interrupts requests, or does not exit, when an operator drains
 * it. */
TEST(Outage, OperatorDrainCompletesRequests)
{
	const char *const admin[] = { "Authorization: Bearer " HARNESS_TOKEN, nullptr };
	struct harness_reply r;
	Deployment t;

	ASSERT_TRUE(t.f) << t.err.text;
	ASSERT_TRUE(t.create_configuration()) << t.err.text;
	std::atomic<int> whole{ 0 };
	std::thread caller([&] { whole = t.generate(1, 200); });
	clock_sleep_ms(300);
	EXPECT_EQ(harness_config_set(t.f, 0, "drain-instance/i2",
				     json_pack("{s:s}", "reason", "fan")),
		  200);
	EXPECT_EQ(harness_process_wait(t.f->instances[1].process, 20000), 0);
	EXPECT_EQ(t.f->instances[1].process->status, 0);
	caller.join();
	EXPECT_EQ(whole, 1) << "the request in flight was interrupted";
	EXPECT_TRUE(t.generate(0));
	harness_http_request("POST", (string(t.f->instances[2].admin) + "/admin/drain").c_str(),
			     admin, "{\"reason\":\"fan\",\"author\":\"op\"}", 3000, &r, nullptr);
	EXPECT_EQ(r.status, 202);
	harness_reply_free(&r);
	EXPECT_EQ(harness_process_wait(t.f->instances[2].process, 20000), 0);
	EXPECT_EQ(t.f->instances[2].process->status, 0);
	EXPECT_TRUE(t.generate(0));
}

/* Guards against a model change by an operator that sends no order to the engine, sends it twice,
 * or gets no requests routed to the new model. */
TEST(Outage, OperatorModelChangeIsOrderedOnce)
{
	Deployment t;
	string id;

	ASSERT_TRUE(t.f) << t.err.text;
	ASSERT_TRUE(t.create_configuration()) << t.err.text;
	EXPECT_EQ(harness_config_set(t.f, 0, "model/e1", json_pack("{s:s}", "model", "N")), 400);
	ASSERT_EQ(harness_config_set(t.f, 0, "model/e1",
				     json_pack("{s:s,s:s,s:s}", "model", "N", "reason", "trial",
					       "author", "op")),
		  200);
	auto order_count = [&] {
		json_t *o = harness_json_get((string(t.f->endpoints[0].url) + "/orders").c_str());
		size_t n = json_array_size(json_object_get(o, "log"));
		bool done = string(json_get_cstr(o, "model", "")) == "N" &&
			    json_get_i64(o, "cut_requests", -1) == 0;

		json_decref(o);
		return done ? n : 0;
	};
	EXPECT_TRUE(eventually([&] { return order_count() == 1; }, 30000));
	for (int i = 0; i < 3; i++) {
		EXPECT_TRUE(t.generate(i)) << "the other engine still has the model";
		EXPECT_TRUE(eventually([&] { return t.generate(i, 4, "N"); }, 10000));
	}
	clock_sleep_ms(12000);
	EXPECT_EQ(order_count(), 1u) << "the same model was ordered again";
}

/* Guards against a model change of all engines during which no engine serves either model. */
TEST(Outage, ModelChangeLoadsOneEngineAtATime)
{
	Deployment t;
	int64_t starts[2] = { 0, 0 };
	int unserved_checks = 0;

	ASSERT_TRUE(t.f) << t.err.text;
	ASSERT_TRUE(t.create_configuration()) << t.err.text;
	for (const char *key : { "model/e1", "model/e2" })
		ASSERT_EQ(harness_config_set(t.f, 0, key,
					     json_pack("{s:s,s:s,s:s}", "model", "N", "reason",
						       "trial", "author", "op")),
			  200);
	auto both_done = [&] {
		int done = 0;

		for (int e = 0; e < 2; e++) {
			json_t *o = harness_json_get(
				(string(t.f->endpoints[e].url) + "/orders").c_str());
			const json_t *first = json_array_get(json_object_get(o, "log"), 0);

			if (first)
				starts[e] = json_get_i64(first, "at_ms", 0);
			EXPECT_EQ(json_get_i64(o, "cut_requests", -1), 0);
			done += string(json_get_cstr(o, "model", "")) == "N";
			json_decref(o);
		}
		unserved_checks += !t.generate(1) && !t.generate(1, 4, "N") && !t.generate(1);
		return done == 2;
	};
	EXPECT_TRUE(eventually(both_done, 60000));
	EXPECT_EQ(unserved_checks, 0) << "checks in which neither model was served";
	EXPECT_GE(std::abs(starts[0] - starts[1]), 3000)
		<< "the loads overlapped: one load takes longer than this";
	EXPECT_TRUE(eventually([&] { return t.generate(0, 4, "N"); }, 10000));
}
