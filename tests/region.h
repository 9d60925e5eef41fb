#ifndef IBISGATE_TESTS_REGION_H
#define IBISGATE_TESTS_REGION_H

#include "standin_process.h"

#include <map>
#include <memory>

/* "class" is a member of a C header. */
#define class class_
extern "C" {
#include "control_rig.h"
#include "ibisgate/common/metrics.h"
#include "ibisgate/state/relay.h"
}
#undef class

using std::string;

static const char *const POOL = "model-a";

/* A region: platform, engines and instances, all behind one fault proxy where a test needs it. */
class Region
{
      public:
	Region() : table("ibisgate-platform", { "--port", "0", "--list-lag-ms", "200" })
	{
	}
	~Region()
	{
		for (auto &r : rigs)
			rig_kill(r.second);
	}
	void start(const string &id, const string &dc, const string &extra = "")
	{
		string text = "[instance]\nid = " + id + "\ndata-centre = " + dc +
			      "\nregion = r\n[http]\nlisten = 127.0.0.1:0\n[admin]\n"
			      "listen = 127.0.0.1:0\ntoken = 0123456789abcdef\n[peer]\n"
			      "listen = 127.0.0.1:0\n" +
			      peer_extra + "[platform]\nurl = " + table.url() +
			      "\ntimeout-ms = 500\nlist-poll-ms = 200\nconfig-poll-ms = 1000\n" +
			      extra;
		struct rig *r = rig_create(text.c_str());

		rigs[id] = r;
		table.tell("/list/instances",
			   "{\"id\":\"" + id + "\",\"dc\":\"" + dc +
				   "\",\"peer\":\"127.0.0.1:" + std::to_string(rig_peer_port(r)) +
				   "\",\"http\":\"\",\"admin\":\"\",\"state\":\"live\"}");
	}
	/* Settings of an instance that reaches the platform through @proxy and knows @seed. */
	static string behind(Standin &proxy, const string &seed = "")
	{
		return "[routes]\nplatform = 127.0.0.1:" + std::to_string(proxy.route("platform")) +
		       "\n" + (seed.empty() ? "" : "[seeds]\n" + seed + "\n");
	}
	std::unique_ptr<Standin> platform_proxy()
	{
		return std::make_unique<Standin>(
			"ibisgate-faultproxy",
			std::vector<string>{ "--control", "0", "--route",
					     "platform=" + table.address() });
	}
	/* Starts "a1", and "a2" that reaches it through route "a1" of the proxy returned. */
	std::unique_ptr<Standin> start_pair(const string &dc)
	{
		start("a1", dc);
		auto proxy = std::make_unique<Standin>(
			"ibisgate-faultproxy",
			std::vector<string>{ "--control", "0", "--route",
					     "a1=127.0.0.1:" +
						     std::to_string(rig_peer_port(rigs["a1"])) });
		start("a2", dc,
		      "[routes]\na1 = 127.0.0.1:" + std::to_string(proxy->route("a1")) + "\n");
		return proxy;
	}
	void kill(const string &id, bool listed)
	{
		rig_kill(rigs[id]);
		rigs.erase(id);
		if (!listed)
			json_decref(table.send("DELETE", "/list/instances/" + id));
	}
	Standin &engine(const string &name, const string &dc, const string &role, bool fencing)
	{
		string port = engines.count(name) ? std::to_string(engines[name]->port) : "0";

		engines[name].reset(new Standin(
			"ibisgate-engine", { "--port", port, "--name", name, "--dc", dc, "--model",
					     POOL, "--role", role, "--check-fencing",
					     fencing ? "1" : "0", "--role-change-ms", "300" }));
		table.tell("/list/endpoints",
			   "{\"name\":\"" + name + "\",\"dc\":\"" + dc + "\",\"url\":\"" +
				   engines[name]->url() + "\",\"kind\":\"engine\",\"model\":\"" +
				   POOL + "\",\"role\":\"" + role + "\",\"checks_fencing\":" +
				   (fencing ? "true" : "false") + ",\"state\":\"live\"}");
		return *engines[name];
	}
	bool ready()
	{
		return eventually(
			[&] {
				bool all = true;

				for (auto &r : rigs)
					all = rig_ready(r.second) && all;
				return all;
			},
			8000);
	}
	bool see_each_other(int64_t limit_ms)
	{
		return eventually(
			[&] {
				for (auto &r : rigs) {
					if (live(r.second) != (int)rigs.size())
						return false;
				}
				return true;
			},
			limit_ms);
	}
	static int live(struct rig *r)
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
	/* Instances that hold the lease of @dc, and the fencing number. */
	int holders(const string &dc, string *who = nullptr, int64_t *fencing = nullptr)
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
				if (who)
					*who = r.first;
				if (fencing)
					*fencing = json_get_i64(l, "fencing", 0);
			}
			json_decref(o);
		}
		return n;
	}
	int64_t version(const string &id)
	{
		json_t *o = rig_status(rigs[id]);
		int64_t v = json_get_i64(o, "config_version", -1);

		json_decref(o);
		return v;
	}
	bool version_everywhere(int64_t v, int64_t limit_ms)
	{
		return eventually(
			[&] {
				for (auto &r : rigs) {
					if (version(r.first) != v)
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
	int endpoints(const string &id)
	{
		int n;

		free(fleet_statuses(rig_fleet(rigs[id]), &n));
		return n;
	}
	bool stopped(const string &id, const string &endpoint)
	{
		int n;
		struct endpoint_status *all = fleet_statuses(rig_fleet(rigs[id]), &n);
		bool stopped = false;

		for (int i = 0; i < n; i++)
			stopped = stopped || (endpoint == all[i].info.name && all[i].stopped);
		free(all);
		return stopped;
	}
	Standin table;
	string peer_extra;
	std::map<string, struct rig *> rigs;
	std::map<string, std::unique_ptr<Standin>> engines;
};

inline bool done_with_role(Standin &engine, const string &role)
{
	json_t *o = engine.send("GET", "/orders");
	bool done = role == json_get_cstr(o, "role", "") && !*json_get_cstr(o, "current", "x") &&
		    json_get_i64(o, "conflicts", -1) == 0;

	json_decref(o);
	return done;
}

#endif
