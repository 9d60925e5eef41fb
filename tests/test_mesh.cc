#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "ibisgate/state/mesh.h"
}

namespace
{

/*
 * Simulated time: each instance sends a message every STEP_MS, and messages arrive within the same
 * step.
 */
constexpr int64_t STEP_MS = 500;

struct Instance {
	std::string id, dc, address;
	struct mesh *mesh = nullptr;
	uint64_t incarnation = 1;
	bool up = true;
	int sent = 0;
};

class Deployment
{
      public:
	/*
	 * Creates @dcs data centres with @each instances per data centre. The first instance of
	 * each of the first three data centres is a seed.
	 */
	Deployment(int dcs, int each, int large_from) : large_from(large_from)
	{
		for (int d = 0; d < dcs; d++) {
			for (int i = 0; i < each; i++)
				add("dc" + std::to_string(d), i);
		}
		for (int d = 0; d < dcs && d < 3; d++)
			seeds.push_back(all[(size_t)(d * each)]->address);
		for (auto &i : all)
			start(*i);
	}
	~Deployment()
	{
		for (auto &i : all)
			mesh_destroy(i->mesh);
	}
	Instance &add(const std::string &dc, int number)
	{
		char name[32];

		snprintf(name, sizeof(name), "%s-%03d", dc.c_str(), number);
		all.push_back(std::make_unique<Instance>());
		all.back()->id = name;
		all.back()->dc = dc;
		all.back()->address = "10.0.0.1:" + std::to_string(all.size());
		by_address[all.back()->address] = all.back().get();
		return *all.back();
	}
	void start(Instance &i)
	{
		struct member self = {};

		mesh_destroy(i.mesh);
		snprintf(self.id, sizeof(self.id), "%s", i.id.c_str());
		snprintf(self.dc, sizeof(self.dc), "%s", i.dc.c_str());
		snprintf(self.peer, sizeof(self.peer), "%s", i.address.c_str());
		self.state = MEMBER_LIVE;
		self.incarnation = i.incarnation;
		i.mesh = mesh_create(&self, large_from);
		i.up = true;
	}
	Instance &instance_by_id(const std::string &id)
	{
		for (auto &i : all) {
			if (i->id == id)
				return *i;
		}
		ADD_FAILURE() << id;
		return *all[0];
	}
	void run(int64_t ms)
	{
		for (int64_t end = now + ms; now < end; now += STEP_MS) {
			for (auto &i : all) {
				if (i->up)
					step(*i);
			}
		}
	}
	void step(Instance &i)
	{
		for (size_t s = 0; s < seeds.size(); s++)
			mesh_add_seed(i.mesh, ("seed-" + std::to_string(s)).c_str(),
				      seeds[s].c_str(), now);
		mesh_tick(i.mesh, now);
		for (bool remote : { false, true }) {
			const struct member *to[512];
			struct mesh_gossip news = {};
			int n = mesh_select_targets(i.mesh, remote, to, 512, now);

			snprintf(news.dc, sizeof(news.dc), "%s", i.dc.c_str());
			snprintf(news.peer, sizeof(news.peer), "%s", i.address.c_str());
			news.state = MEMBER_LIVE;
			news.config_version = 1;
			mesh_fill_gossip(i.mesh, remote, &news, now);
			for (int k = 0; k < n; k++) {
				Instance *peer = by_address[to[k]->peer];

				i.sent++;
				if (peer && peer->up && !is_cut(i, *peer))
					mesh_receive(peer->mesh, i.id.c_str(), i.incarnation, &news,
						     now);
			}
		}
	}
	/* Number of live instances that do not count @total instances in all data centres. */
	int count_unconverged(int total)
	{
		int n = 0;

		for (auto &i : all)
			n += i->up && mesh_count_all(i->mesh) != total;
		return n;
	}
	std::vector<std::string> delegates()
	{
		std::vector<std::string> out;

		for (auto &i : all) {
			if (i->up && mesh_is_delegate(i->mesh))
				out.push_back(i->id);
		}
		return out;
	}
	std::vector<std::string> first_instances()
	{
		std::vector<std::string> out;

		for (auto &i : all) {
			if (i->up && mesh_is_first(i->mesh))
				out.push_back(i->id);
		}
		return out;
	}

	int large_from;
	int64_t now = 1000000;
	std::vector<std::unique_ptr<Instance>> all;
	std::vector<std::string> seeds;
	std::map<std::string, Instance *> by_address;
	std::function<bool(const Instance &, const Instance &)> is_cut =
		[](const Instance &, const Instance &) { return false; };
};

using Names = std::vector<std::string>;

} // namespace

/* Guards against an instance that others do not know in a small deployment. */
TEST(Mesh, SmallDeploymentIsAFullMesh)
{
	Deployment d(3, 3, 64);

	d.run(4000);
	EXPECT_EQ(d.count_unconverged(9), 0);
	EXPECT_EQ(d.first_instances(), Names{ "dc0-000" });
	EXPECT_TRUE(d.delegates().empty());
	for (auto &i : d.all)
		i->sent = 0;
	d.run(STEP_MS * 4);
	for (auto &i : d.all)
		EXPECT_GE(i->sent, 8 * 4) << i->id;
}

/*
 * Guards against a partition after which neither side sends to the other one again, because it
 * lasted longer than the connections and what was queued on them (26 s on the platform).
 */
TEST(Mesh, ReconvergesAfterALongPartition)
{
	for (int large_from : { 64, 2 }) {
		Deployment d(3, 3, large_from);

		d.run(5000);
		ASSERT_EQ(d.count_unconverged(9), 0) << large_from;
		d.is_cut = [](const Instance &a, const Instance &b) {
			return (a.dc == "dc2") != (b.dc == "dc2");
		};
		d.run(240000);
		EXPECT_EQ(d.first_instances(), (Names{ "dc0-000", "dc2-000" })) << large_from;
		d.is_cut = [](const Instance &, const Instance &) { return false; };
		d.run(10000);
		EXPECT_EQ(d.count_unconverged(9), 0) << large_from;
		EXPECT_EQ(d.first_instances(), Names{ "dc0-000" }) << large_from;
	}
}

/*
 * Guards against numbers of messages and connections that grow with the square of the number of
 * instances. 300 instances in 4 data centres start together.
 */
TEST(Mesh, LargeDeploymentCommunicatesThroughDelegates)
{
	Deployment d(4, 75, 64);

	d.run(15000);
	EXPECT_EQ(d.count_unconverged(300), 0);
	EXPECT_EQ(d.delegates(), (Names{ "dc0-000", "dc1-000", "dc2-000", "dc3-000" }));
	EXPECT_EQ(d.first_instances(), Names{ "dc0-000" });
	for (auto &i : d.all)
		i->sent = 0;
	d.run(STEP_MS * 8);
	for (auto &i : d.all) {
		/* 74 in its own data centre; a delegate also sends to 3 others and some probes. */
		EXPECT_LE(i->sent, 8 * 74 + (mesh_is_delegate(i->mesh) ? 8 * 3 + 6 : 0)) << i->id;
	}
}

/*
 * Guards against data centres that use each other's engines but learn late what is in the KV caches
 * of those engines.
 */
TEST(Mesh, LargeDeploymentStaysAFullMeshIfRequested)
{
	Deployment d(4, 20, 64);

	/* Instances know their engines at most a few seconds after all have started. */
	d.run(3000);
	for (auto &i : d.all)
		mesh_set_flat(i->mesh, true);
	d.run(10000);
	EXPECT_TRUE(d.delegates().empty());
	EXPECT_EQ(d.count_unconverged(80), 0);
	for (auto &i : d.all)
		i->sent = 0;
	d.run(STEP_MS);
	for (auto &i : d.all)
		EXPECT_GE(i->sent, 79) << i->id;
}

/* Guards against losing contact with a data centre when its delegate dies. */
TEST(Mesh, AnotherInstanceTakesOverFromADeadDelegate)
{
	Deployment d(4, 20, 64);

	d.run(10000);
	ASSERT_EQ(d.count_unconverged(80), 0);
	d.instance_by_id("dc0-000").up = false;
	d.instance_by_id("dc3-000").up = false;
	d.run(12000);
	EXPECT_EQ(d.delegates(), (Names{ "dc0-001", "dc1-000", "dc2-000", "dc3-001" }));
	EXPECT_EQ(d.first_instances(), Names{ "dc0-001" });
	EXPECT_EQ(d.count_unconverged(78), 0);
	/* With two data centres, no third one can pass on information about the other. */
	Deployment two(2, 40, 64);
	two.run(15000);
	two.instance_by_id("dc0-000").up = false;
	two.instance_by_id("dc1-000").up = false;
	two.run(20000);
	EXPECT_EQ(two.delegates(), (Names{ "dc0-001", "dc1-001" }));
	EXPECT_EQ(two.count_unconverged(78), 0);
}

/* Guards against a new instance that stays isolated because its seeds are in other data centres. */
TEST(Mesh, NewInstanceJoinsThroughSeedsOfOtherDataCentres)
{
	Deployment d(4, 20, 64);

	d.run(10000);
	Instance &i = d.add("dc3", 50);
	d.start(i);
	d.run(8000);
	EXPECT_EQ(mesh_count_local(i.mesh), 21);
	EXPECT_EQ(d.count_unconverged(81), 0);
	EXPECT_FALSE(mesh_is_delegate(i.mesh));
	EXPECT_TRUE(mesh_uses_delegates(i.mesh));
	/* An instance whose name sorts first becomes the delegate of its data centre. */
	Instance &first = d.add("dc3", -1);
	first.id = "dc2-999-first";
	d.start(first);
	d.run(10000);
	EXPECT_EQ(d.delegates(), (Names{ "dc0-000", "dc1-000", "dc2-000", "dc2-999-first" }));
	EXPECT_EQ(d.count_unconverged(82), 0);
}

/*
 * Guards against instances that lose each other permanently under overlapping kills, restarts and
 * partitions.
 */
TEST(Mesh, ConvergesAfterRandomKillsAndPartitions)
{
	unsigned first = std::random_device{}() % 100000;

	for (unsigned seed = first; seed < first + 4; seed++) {
		std::mt19937 rng(seed);
		Deployment d(4, 17, seed % 2 ? 64 : 1000);
		std::set<std::string> isolated;

		d.is_cut = [&isolated](const Instance &a, const Instance &b) {
			return a.dc != b.dc && (isolated.count(a.dc) || isolated.count(b.dc));
		};
		for (int k = 0; k < 60; k++) {
			Instance &i = *d.all[rng() % d.all.size()];
			std::string dc = "dc" + std::to_string(rng() % 4);

			switch (rng() % 4) {
			case 0:
				i.up = false;
				break;
			case 1:
				i.incarnation++;
				d.start(i);
				break;
			case 2:
				isolated.insert(dc);
				break;
			case 3:
				isolated.erase(dc);
				break;
			}
			d.run((int64_t)(rng() % 8) * 1000);
		}
		isolated.clear();
		int live = 0;
		std::string lowest = "z";
		for (auto &i : d.all) {
			live += i->up;
			if (i->up && i->id < lowest)
				lowest = i->id;
		}
		/* Members that are gone are probed one per second. */
		d.run(90000);
		EXPECT_EQ(d.count_unconverged(live), 0) << "seed " << seed;
		EXPECT_EQ(d.first_instances(), Names{ lowest }) << "seed " << seed;
	}
}
