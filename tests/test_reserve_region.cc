#include "region.h"

#include <algorithm>
#include <thread>

extern "C" {
#include "ibisgate/daemon/fleet_use.h"
}

/* Three instances and three engines, on which a test can take slots as requests do. */
class ThreeEngineRegion : public Region
{
      public:
	ThreeEngineRegion()
	{
		for (string id : { "a1", "a2", "a3" })
			start_instance(id, "abertawe");
		for (string name : { "e0", "e1", "e2" })
			platform.post_json(
				"/list/endpoints",
				"{\"name\":\"" + name +
					"\",\"dc\":\"abertawe\",\"url\":\"http://127.0.0.1:1\","
					"\"kind\":\"engine\",\"model\":\"model-a\",\"role\":"
					"\"mixed\",\"state\":\"live\"}");
	}
	bool start_region()
	{
		return all_ready() && all_members_live(8000) &&
		       eventually(
			       [&] {
				       for (auto &r : rigs) {
					       if (endpoint_id(r.first, "e2") < 0)
						       return false;
				       }
				       return true;
			       },
			       4000);
	}
	int endpoint_id(const string &rig, const string &name)
	{
		int n;
		endpoint_status *all = fleet_statuses_copy(rig_fleet(rigs[rig]), &n);
		int id = -1;

		for (int i = 0; i < n; i++) {
			if (name == all[i].info.name)
				id = all[i].id;
		}
		free(all);
		return id;
	}
	bool acquire(const string &rig, const string &name, fleet_slot *slot)
	{
		return fleet_slot_acquire(rig_fleet(rigs[rig]), endpoint_id(rig, name), 1, 1, slot);
	}
	bool can_acquire(const string &rig, const string &name)
	{
		fleet_slot slot = {};
		bool ok = acquire(rig, name, &slot);

		fleet_slot_release(rig_fleet(rigs[rig]), &slot);
		return ok;
	}
};

/* Guards against a suspect request that runs on an engine beside work of another instance. */
TEST(ReserveRegion, ReservationExcludesOtherInstances)
{
	ThreeEngineRegion g;
	fleet_slot slot = {};
	std::vector<int64_t> grant_us;

	ASSERT_TRUE(g.start_region());
	ASSERT_TRUE(g.acquire("a2", "e0", &slot));
	uint64_t h = rig_reserve_begin(g.rigs["a1"], "e0", false);
	ASSERT_NE(h, 0u);
	EXPECT_EQ(rig_reserve_wait(g.rigs["a1"], h, 300), RESERVE_REQUESTED)
		<< "a2 has work in flight there";
	EXPECT_FALSE(g.can_acquire("a2", "e0"));
	EXPECT_FALSE(g.can_acquire("a3", "e0"));
	EXPECT_EQ(rig_reserve_begin(g.rigs["a2"], "e0", false), 0u) << "a1 reserved it first";
	fleet_slot_release(rig_fleet(g.rigs["a2"]), &slot);
	EXPECT_EQ(rig_reserve_wait(g.rigs["a1"], h, 1000), RESERVE_GRANTED);
	EXPECT_TRUE(rig_reserve_is_held(g.rigs["a1"], h));
	rig_reserve_end(g.rigs["a1"], h);
	EXPECT_TRUE(eventually(
		[&] { return g.can_acquire("a2", "e0") && g.can_acquire("a3", "e0"); }, 1000));
	for (int i = 0; i < 50; i++) {
		int64_t begun = clock_boot_us();

		h = rig_reserve_begin(g.rigs["a1"], "e1", false);
		EXPECT_EQ(rig_reserve_wait(g.rigs["a1"], h, 2000), RESERVE_GRANTED);
		grant_us.push_back(clock_boot_us() - begun);
		rig_reserve_end(g.rigs["a1"], h);
	}
	std::sort(grant_us.begin(), grant_us.end());
	printf("granted after %lld us in the median, %lld us at most\n", (long long)grant_us[25],
	       (long long)grant_us[49]);
	EXPECT_LT(grant_us[25], RESERVE_RESEND_MS * 1000 / 2) << "a grant takes one round trip";
}

/* Guards against two suspect requests that are both granted the same engine. */
TEST(ReserveRegion, ConcurrentReservationsGrantExactlyOne)
{
	ThreeEngineRegion g;
	const char *const ids[] = { "a1", "a2" };
	int granted = 0;

	ASSERT_TRUE(g.start_region());
	for (int round = 0; round < 50; round++) {
		uint64_t h[2];
		reserve_phase phase[2];
		std::vector<std::thread> threads;

		for (int i = 0; i < 2; i++)
			threads.emplace_back([&, i, r = g.rigs[ids[i]]] {
				h[i] = rig_reserve_begin(r, "e0", false);
				phase[i] = h[i] ? rig_reserve_wait(r, h[i], 2000) : RESERVE_LOST;
			});
		for (auto &t : threads)
			t.join();
		ASSERT_FALSE(phase[0] == RESERVE_GRANTED && phase[1] == RESERVE_GRANTED) << round;
		granted += phase[0] == RESERVE_GRANTED || phase[1] == RESERVE_GRANTED;
		for (int i = 0; i < 2; i++)
			rig_reserve_end(g.rigs[ids[i]], h[i]);
	}
	EXPECT_EQ(granted, 50);
}

/*
 * Guards against an engine that stays reserved by a dead holder, and a reservation that waits for
 * the confirmation of a dead instance.
 */
TEST(ReserveRegion, ReservationsOfADeadHolderExpire)
{
	ThreeEngineRegion g;
	uint64_t h;

	ASSERT_TRUE(g.start_region());
	h = rig_reserve_begin(g.rigs["a1"], "e0", false);
	ASSERT_EQ(rig_reserve_wait(g.rigs["a1"], h, 2000), RESERVE_GRANTED);
	clock_sleep_ms(RESERVE_TERM_MS + 1000);
	EXPECT_TRUE(rig_reserve_is_held(g.rigs["a1"], h))
		<< "a reservation is renewed past its term";
	EXPECT_FALSE(g.can_acquire("a2", "e0"));
	g.kill_instance("a1", true);
	h = rig_reserve_begin(g.rigs["a2"], "e1", false);
	EXPECT_EQ(rig_reserve_wait(g.rigs["a2"], h, MEMBER_SUSPECT_MS + 2000), RESERVE_GRANTED);
	rig_reserve_end(g.rigs["a2"], h);
	EXPECT_TRUE(eventually([&] { return g.can_acquire("a2", "e0"); }, RESERVE_TERM_MS + 2000));
}
