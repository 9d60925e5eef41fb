#ifndef IBISGATE_TESTS_REGION_H
#define IBISGATE_TESTS_REGION_H

#include "standin_process.h"

#include <map>
#include <memory>

/* A C header has a member named "class". */
#define class class_
extern "C" {
#include "control_rig.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/state/relay.h"
}
#undef class

using std::string;

static const char *const MODEL_NAME = "model-a";

/*
 * A region of a platform stand-in, engine stand-ins and instances. A test may put any connection
 * behind a fault proxy.
 */
class Region
{
      public:
	Region() : platform("ibisgate-platform", { "--port", "0", "--list-lag-ms", "200" })
	{
	}
	~Region()
	{
		for (auto &r : rigs)
			rig_kill(r.second);
	}
	void start_instance(const string &id, const string &dc, const string &extra_settings = "")
	{
		string text = "[instance]\nid = " + id + "\ndata-centre = " + dc +
			      "\nregion = r\n[http]\nlisten = 127.0.0.1:0\n[admin]\n"
			      "listen = 127.0.0.1:0\ntoken = 0123456789abcdef\n[peer]\n"
			      "listen = 127.0.0.1:0\n" +
			      peer_settings + "[platform]\nurl = " + platform.url() +
			      "\ntimeout-ms = 500\nlist-poll-ms = 200\nconfig-poll-ms = 1000\n" +
			      extra_settings;
		struct rig *r = rig_create(text.c_str());

		rigs[id] = r;
		platform.post_json(
			"/list/instances",
			"{\"id\":\"" + id + "\",\"dc\":\"" + dc +
				"\",\"peer\":\"127.0.0.1:" + std::to_string(rig_peer_port(r)) +
				"\",\"http\":\"\",\"admin\":\"\",\"state\":\"live\"}");
	}
	/* Settings of an instance that reaches the platform through @proxy and has @seed as seed.
	 */
	static string settings_behind(StandinProcess &proxy, const string &seed = "")
	{
		return "[routes]\nplatform = 127.0.0.1:" +
		       std::to_string(proxy.route_port("platform")) + "\n" +
		       (seed.empty() ? "" : "[seeds]\n" + seed + "\n");
	}
	std::unique_ptr<StandinProcess> start_platform_proxy()
	{
		return std::make_unique<StandinProcess>(
			"ibisgate-faultproxy",
			std::vector<string>{ "--control", "0", "--route",
					     "platform=" + platform.address() });
	}
	/* Starts "a1", and "a2" whose connections to "a1" go through the proxy that is returned. */
	std::unique_ptr<StandinProcess> start_pair(const string &dc)
	{
		start_instance("a1", dc);
		auto proxy = std::make_unique<StandinProcess>(
			"ibisgate-faultproxy",
			std::vector<string>{ "--control", "0", "--route",
					     "a1=127.0.0.1:" +
						     std::to_string(rig_peer_port(rigs["a1"])) });
		start_instance("a2", dc,
			       "[routes]\na1 = 127.0.0.1:" +
				       std::to_string(proxy->route_port("a1")) + "\n");
		return proxy;
	}
	void kill_instance(const string &id, bool listed)
	{
		rig_kill(rigs[id]);
		rigs.erase(id);
		if (!listed)
			json_decref(platform.send_json("DELETE", "/list/instances/" + id));
	}
	StandinProcess &start_engine(const string &name, const string &dc, const string &role,
				     bool fencing)
	{
		string port = engines.count(name) ? std::to_string(engines[name]->port) : "0";

		engines[name].reset(new StandinProcess(
			"ibisgate-engine", { "--port", port, "--name", name, "--dc", dc, "--model",
					     MODEL_NAME, "--role", role, "--check-fencing",
					     fencing ? "1" : "0", "--role-change-ms", "300" }));
		platform.post_json("/list/endpoints",
				   "{\"name\":\"" + name + "\",\"dc\":\"" + dc + "\",\"url\":\"" +
					   engines[name]->url() +
					   "\",\"kind\":\"engine\",\"model\":\"" + MODEL_NAME +
					   "\",\"role\":\"" + role + "\",\"checks_fencing\":" +
					   (fencing ? "true" : "false") + ",\"state\":\"live\"}");
		return *engines[name];
	}
	bool all_ready()
	{
		return eventually(
			[&] {
				bool all = true;

				for (auto &r : rigs)
					all = rig_try_ready(r.second) && all;
				return all;
			},
			8000);
	}
	bool all_members_live(int64_t limit_ms)
	{
		return eventually(
			[&] {
				for (auto &r : rigs) {
					if (live_members(r.second) != (int)rigs.size())
						return false;
				}
				return true;
			},
			limit_ms);
	}
	static int live_members(struct rig *r)
	{
		json_t *o = rig_status(r);
		const json_t *list = json_object_get(o, "members");
		int n = 0;

		for (size_t i = 0; i < json_array_size(list); i++)
			n += strcmp(json_get_cstr(json_array_get(list, i), "state", ""), "live") ==
			     0;
		json_decref(o);
		return n;
	}
	/* Number of instances that hold the lease of @dc; @holder, @fencing: those of one of them.
	 */
	int lease_holders(const string &dc, string *holder = nullptr, int64_t *fencing = nullptr)
	{
		int n = 0;

		for (auto &r : rigs) {
			json_t *o = rig_status(r.second);
			const json_t *list = json_object_get(o, "leases");

			for (size_t i = 0; i < json_array_size(list); i++) {
				const json_t *l = json_array_get(list, i);

				if (dc != json_get_cstr(l, "dc", "") ||
				    !json_get_bool(l, "held", false))
					continue;
				n++;
				if (holder)
					*holder = r.first;
				if (fencing)
					*fencing = json_get_i64(l, "fencing", 0);
			}
			json_decref(o);
		}
		return n;
	}
	int64_t config_version(const string &id)
	{
		json_t *o = rig_status(rigs[id]);
		int64_t v = json_get_i64(o, "config_version", -1);

		json_decref(o);
		return v;
	}
	bool all_at_version(int64_t v, int64_t limit_ms)
	{
		return eventually(
			[&] {
				for (auto &r : rigs) {
					if (config_version(r.first) != v)
						return false;
				}
				return true;
			},
			limit_ms);
	}
	int64_t role_changes(const string &id)
	{
		json_t *o = rig_status(rigs[id]);
		int64_t n = json_get_i64(o, "role_changes", -1);

		json_decref(o);
		return n;
	}
	int endpoint_count(const string &id)
	{
		int n;

		free(fleet_statuses_copy(rig_fleet(rigs[id]), &n));
		return n;
	}
	bool endpoint_is_stopped(const string &id, const string &endpoint)
	{
		int n;
		struct endpoint_status *all = fleet_statuses_copy(rig_fleet(rigs[id]), &n);
		bool stopped = false;

		for (int i = 0; i < n; i++)
			stopped = stopped || (endpoint == all[i].info.name && all[i].stopped);
		free(all);
		return stopped;
	}
	StandinProcess platform;
	string peer_settings;
	std::map<string, struct rig *> rigs;
	std::map<string, std::unique_ptr<StandinProcess>> engines;
};

inline bool engine_has_role(StandinProcess &engine, const string &role)
{
	json_t *o = engine.send_json("GET", "/orders");
	bool done = role == json_get_cstr(o, "role", "") && !*json_get_cstr(o, "current", "x") &&
		    json_get_i64(o, "conflicts", -1) == 0;

	json_decref(o);
	return done;
}

#endif
