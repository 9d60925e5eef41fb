#ifndef IBISGATE_TESTS_PROMISE_FIXTURE_H
#define IBISGATE_TESTS_PROMISE_FIXTURE_H

#include <gtest/gtest.h>

#include <csignal>
#include <cstring>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "eventually.h"

extern "C" {
#include "ibisgate/common/clock.h"
#include "ibisgate/common/json.h"
#include "ibisgate/harness/harness.h"
#include "ibisgate/load/report.h"
#include "ibisgate/standins/text.h"
}

#define API_KEY "promise-key"

/* Reference-counted owner of a JSON value. */
class Json
{
      public:
	explicit Json(json_t *v = nullptr) : value(v, json_decref)
	{
	}
	const json_t *get() const
	{
		return value.get();
	}
	const json_t *at(const char *key) const
	{
		return json_object_get(value.get(), key);
	}
	int64_t number(const char *key) const
	{
		return json_get_i64(value.get(), key, -1);
	}
	std::string text(const char *key) const
	{
		return json_get_cstr(value.get(), key, "");
	}

      private:
	std::shared_ptr<json_t> value;
};

/* Returns the object in the JSON array @list whose @key is @name; NULL if absent. */
inline const json_t *find_entry(const json_t *list, const char *key, const std::string &name)
{
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *o = json_array_get(list, i);

		if (name == json_get_cstr(o, key, ""))
			return o;
	}
	return nullptr;
}

struct Answer {
	int status = 0;
	std::string body;
	std::string id;
	std::string error;
};

/* A run of the load generator in its own thread. */
class LoadRun
{
      public:
	LoadRun()
	{
		scenario_defaults(&workload);
		load_options_defaults(&options);
		workload.organisation_count = 1;
		str_copy(workload.organisations[0].name, sizeof(workload.organisations[0].name),
			 str_from("spares"));
		str_copy(workload.organisations[0].key, sizeof(workload.organisations[0].key),
			 str_from(API_KEY));
		workload.organisations[0].weight = 1;
		workload.organisations[0].arrival_factor = 1;
		options.drain_s = 15;
		options.timeout_ms = 30000;
	}
	~LoadRun()
	{
		wait();
		load_result_free(&result);
	}
	void start(const std::vector<std::string> &targets)
	{
		urls = targets;
		for (auto &u : urls)
			options.urls[options.url_count++] = u.c_str();
		thread = std::thread([this] { rc = load_run(&workload, &options, &result, &err); });
	}
	void wait()
	{
		if (thread.joinable())
			thread.join();
	}
	int count(enum load_outcome outcome) const
	{
		int n = 0;

		for (size_t i = 0; i < result.count; i++)
			n += result.records[i].outcome == outcome;
		return n;
	}
	/* One line for each request that did not get a complete response. */
	std::string failures() const
	{
		std::ostringstream out;

		for (size_t i = 0; i < result.count; i++) {
			const struct load_record &r = result.records[i];

			if (r.outcome != LOAD_WHOLE)
				out << load_outcome_name(r.outcome) << " "
				    << check_fault_name(r.fault) << " status " << r.status << " "
				    << r.type << " " << r.code << " start " << r.start_us / 1000
				    << " end " << r.end_us / 1000 << " " << r.instance << " "
				    << r.endpoint << " " << r.request_id << "\n";
		}
		return out.str();
	}
	void expect_all_complete()
	{
		wait();
		EXPECT_EQ(rc, 0) << err.text;
		EXPECT_GT(count(LOAD_WHOLE), 0);
		EXPECT_EQ(count(LOAD_WHOLE), (int)result.count) << failures();
	}
	struct scenario workload;
	struct load_options options;
	struct load_result result = {};
	struct error err = {};
	int rc = -1;

      private:
	std::vector<std::string> urls;
	std::thread thread;
};

/* A deployment of real processes, with fault injection on processes and links. */
class PromiseTest : public ::testing::Test
{
      protected:
	void TearDown() override
	{
		if (HasFailure() && f)
			save_timelines();
		harness_fleet_destroy(f);
		harness_destroy(h);
	}
	void deploy(std::vector<const char *> dcs, int instances,
		    std::vector<harness_engine_spec> specs, bool service)
	{
		engines = specs;
		engines.push_back({});
		h = harness_create(&err);
		ASSERT_NE(h, nullptr) << err.text;
		d.region = "de-cymru";
		for (size_t i = 0; i < dcs.size(); i++)
			d.dcs[i] = dcs[i];
		d.instances = instances;
		d.engines = engines.data();
		d.services = service ? services : nullptr;
		d.through_proxy = true;
		f = harness_fleet_create(h, &d, &err);
		ASSERT_NE(f, nullptr) << err.text;
		ASSERT_EQ(harness_wait_ready(f, 20000, &err), 0) << err.text;
		ASSERT_TRUE(eventually([&] { return all_live(); }, 15000));
		ASSERT_EQ(harness_organisation_create(f, "spares", API_KEY, 1), 200);
		ASSERT_EQ(harness_model_service_create(f, "M"), 200);
		if (service) {
			ASSERT_EQ(harness_plain_service_create(f, "orders", false), 200);
		}
		for (auto &c : defaults)
			ASSERT_EQ(harness_config_default_set(f, c.first.c_str(), c.second), 200);
		ASSERT_EQ(harness_wait_config_version(f, version(0), 10000), 0);
	}
	/* Deploys @d and waits until all instances are ready; throws if a step fails. */
	void start(std::vector<const char *> dcs, int instances,
		   std::vector<harness_engine_spec> specs, bool service)
	{
		deploy(dcs, instances, specs, service);
		if (HasFatalFailure())
			throw std::runtime_error("the deployment did not start");
	}
	std::string dir() const
	{
		return h->dir;
	}
	std::vector<std::string> urls() const
	{
		std::vector<std::string> all;

		for (int i = 0; i < f->instance_count; i++)
			all.push_back(f->instances[i].http);
		return all;
	}
	/* Proxy URLs of the instances, which stay the same when an instance restarts. */
	std::vector<std::string> balanced_urls()
	{
		std::vector<std::string> all;

		for (int i = 0; i < f->instance_count; i++)
			all.push_back("http://127.0.0.1:" + std::to_string(set_balancer_target(i)));
		return all;
	}
	/* Routes the proxy port of instance @i to its current process; returns the port. */
	int set_balancer_target(int i)
	{
		std::string url = std::string(f->proxy) + "/routes";
		std::string body = std::string("{\"name\":\"callers-") + f->instances[i].id +
				   "\",\"target\":\"" + (f->instances[i].http + strlen("http://")) +
				   "\"}";
		struct harness_reply reply;
		int port;

		harness_http_request("POST", url.c_str(), nullptr, body.c_str(), 2000, &reply,
				     nullptr);
		port = (int)json_get_i64(reply.json, "port", 0);
		harness_reply_free(&reply);
		return port;
	}
	Json status(int i)
	{
		return Json(harness_instance_status_get(f, i));
	}
	int64_t version(int i)
	{
		return status(i).number("config_version");
	}
	std::string member_state(int i, const std::string &id)
	{
		Json st = status(i);

		return json_get_cstr(find_entry(st.at("members"), "id", id), "state", "");
	}
	/* Whether every running instance lists every running instance as live. */
	bool all_live()
	{
		for (int i = 0; i < f->instance_count; i++) {
			if (!f->instances[i].process->pid)
				continue;
			for (int k = 0; k < f->instance_count; k++) {
				if (f->instances[k].process->pid &&
				    member_state(i, f->instances[k].id) != "live")
					return false;
			}
		}
		return true;
	}
	Json get(const std::string &url)
	{
		return Json(harness_json_get(url.c_str()));
	}
	static int post(const std::string &url, const std::string &body)
	{
		return harness_json_post(url.c_str(), json_loads(body.c_str(), 0, nullptr));
	}
	void set_platform_fault(const std::string &body)
	{
		ASSERT_EQ(post(std::string(f->platform) + "/faults", body), 200) << body;
	}
	void set_endpoint_fault(int e, const std::string &body)
	{
		ASSERT_EQ(post(std::string(f->endpoints[e].url) + "/faults", body), 200) << body;
	}
	void set_route_mode(const std::string &name, const char *mode, bool existing_only = false)
	{
		ASSERT_EQ(harness_route_fault_set(f, name.c_str(), mode, existing_only), 200)
			<< name;
	}
	void set_route_delay(const std::string &name, int ms)
	{
		ASSERT_EQ(post(std::string(f->proxy) + "/faults",
			       "{\"route\":\"" + name + "\",\"mode\":\"pass\",\"delay_ms\":" +
				       std::to_string(ms) + "}"),
			  200);
	}
	Answer send_request(int i, const std::string &path, const std::string &body,
			    const std::string &key = "", const std::string &api_key = API_KEY,
			    int64_t timeout_ms = 20000)
	{
		std::string url = std::string(f->instances[i].http) + path;
		std::string auth = "Authorization: Bearer " + api_key;
		std::string idempotency = "Idempotency-Key: " + key;
		const char *const headers[] = { auth.c_str(),
						key.empty() ? nullptr : idempotency.c_str(),
						nullptr };
		struct harness_reply reply;
		char id[64] = "";
		Answer a;

		harness_http_request("POST", url.c_str(), headers, body.c_str(), timeout_ms, &reply,
				     nullptr);
		a.status = reply.status;
		a.body.assign(reply.body.data ? reply.body.data : "", reply.body.len);
		harness_reply_header(&reply, "Ibisgate-Request-Id", id, sizeof(id));
		a.id = id;
		a.error = json_get_cstr(json_object_get(reply.json, "error"), "type", "");
		harness_reply_free(&reply);
		return a;
	}
	Answer send_order(int i, const std::string &key,
			  const std::string &body = "{\"item\":\"platen\"}")
	{
		return send_request(i, "/v1/services/orders", body, key);
	}
	/* Counts the entries whose @field is @value in the effect logs of all running services. */
	int count_effects(const char *field, const std::string &value)
	{
		int n = 0;

		for (int e = 0; e < f->endpoint_count; e++) {
			if (!f->endpoints[e].service || !f->endpoints[e].process->pid)
				continue;
			Json log = get(std::string(f->endpoints[e].url) + "/effects");
			const json_t *list = log.at("effects");

			for (size_t i = 0; i < json_array_size(list); i++)
				n += value == json_get_cstr(json_array_get(list, i), field, "");
		}
		return n;
	}
	int64_t engine_stat(int e, const char *name)
	{
		return get(std::string(f->endpoints[e].url) + "/stats").number(name);
	}
	void kill_instance(int i)
	{
		harness_process_signal(f->instances[i].process, SIGKILL);
		ASSERT_EQ(harness_process_wait(f->instances[i].process, 5000), 0);
	}
	void pause_instance(int i)
	{
		ASSERT_EQ(harness_process_signal(f->instances[i].process, SIGSTOP), 0);
	}
	void resume_instance(int i)
	{
		ASSERT_EQ(harness_process_signal(f->instances[i].process, SIGCONT), 0);
	}
	/*
	 * Index of the first running instance other than @except that reports the lease of @dc as
	 * held; -1 if there is none.
	 */
	int lease_holder(const std::string &dc, int except = -1)
	{
		for (int i = 0; i < f->instance_count; i++) {
			if (!f->instances[i].process->pid || i == except)
				continue;
			Json st = status(i);

			if (json_get_bool(find_entry(st.at("leases"), "dc", dc), "held", false))
				return i;
		}
		return -1;
	}
	/* Event timeline of instance @i as JSON text. */
	std::string events(int i)
	{
		std::string url = std::string(f->instances[i].admin) + "/admin/events?after=0";
		const char *const headers[] = { "Authorization: Bearer " HARNESS_TOKEN, nullptr };
		struct harness_reply reply;
		std::string text;

		harness_http_request("GET", url.c_str(), headers, nullptr, 3000, &reply, nullptr);
		text.assign(reply.body.data ? reply.body.data : "", reply.body.len);
		harness_reply_free(&reply);
		return text;
	}
	std::string log_text(const std::string &name)
	{
		std::ifstream in(dir() + "/" + name + ".log");
		std::ostringstream out;

		out << in.rdbuf();
		return out.str();
	}
	/*
	 * Writes the event timelines of the running instances to the harness directory, which
	 * IBISGATE_HARNESS_KEEP preserves together with the logs. Called when a case failed.
	 */
	void save_timelines()
	{
		for (int i = 0; i < f->instance_count; i++) {
			struct harness_process *p = f->instances[i].process;

			if (!p || !p->pid)
				continue;
			harness_process_signal(p, SIGCONT);
			std::ofstream(dir() + "/" + f->instances[i].id + ".events") << events(i);
		}
	}
	struct harness *h = nullptr;
	struct harness_fleet *f = nullptr;
	struct harness_deployment d = {};
	std::vector<harness_engine_spec> engines;
	std::vector<std::pair<std::string, json_t *>> defaults;
	struct error err = {};
	static constexpr const char *services[] = { "orders", nullptr };
};

#endif
