#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

extern "C" {
#include "ibisgate/common/clock.h"
#include "ibisgate/daemon/fleet_use.h"
#include "ibisgate/net/codec.h"
}

namespace
{

endpoint_info engine(const char *name, endpoint_role role = ROLE_MIXED)
{
	endpoint_info e = {};

	snprintf(e.name, sizeof(e.name), "%s", name);
	snprintf(e.model, sizeof(e.model), "m");
	snprintf(e.url, sizeof(e.url), "http://127.0.0.1:1");
	e.is_engine = true;
	e.role = role;
	return e;
}

struct Fleet : testing::Test {
	fleet *f = fleet_create();
	fleet_query q = {};

	Fleet()
	{
		endpoint_info infos[] = { engine("a"), engine("b") };

		fleet_update(f, infos, 2);
		q.model = "m";
		q.engine = true;
	}
	~Fleet() override
	{
		fleet_destroy(f);
	}
	std::vector<route_candidate> candidates()
	{
		std::vector<route_candidate> out(FLEET_ENDPOINTS_MAX);

		out.resize(static_cast<size_t>(fleet_candidates(f, &q, out.data())));
		return out;
	}
	/* Applies a load report with a boot id to both engines. Suspect requests require one. */
	void report_load(const char *boot)
	{
		endpoint_load load = {};

		load.received_ms = clock_boot_ms();
		load.role = ROLE_MIXED;
		load.decode_slots = 8;
		snprintf(load.model, sizeof(load.model), "m");
		snprintf(load.boot_id, sizeof(load.boot_id), "%s", boot);
		fleet_load_update(f, "a", &load);
		fleet_load_update(f, "b", &load);
	}
	/* Reserves an engine, unless @reserved is one, and acquires its slot when it is idle. */
	bool take_exclusive(endpoint_role role, int64_t tokens, int *reserved, fleet_slot *out)
	{
		fleet_reservation choice;

		if (*reserved < 0 && fleet_engine_reserve(f, &q, role, &choice))
			*reserved = choice.id;
		if (*reserved < 0 || fleet_slot_acquire_exclusive(f, *reserved, tokens, 1, out) !=
					     FLEET_EXCLUSIVE_ACQUIRED)
			return false;
		*reserved = -1;
		return true;
	}
};

/* Guards against an attempt that is sent after fleet_endpoint_stop() returned and the count was
 * read. */
TEST_F(Fleet, NoAttemptStartsAfterStop)
{
	for (int round = 0; round < 200; round++) {
		std::atomic<bool> stopped{ false };
		std::atomic<bool> done{ false };
		std::atomic<int> late{ 0 };
		std::vector<std::thread> senders;

		for (int i = 0; i < 4; i++) {
			senders.emplace_back([&] {
				while (!done) {
					fleet_slot s = {};
					bool before = stopped;

					if (!fleet_slot_acquire(f, 0, 10, 1, &s))
						continue;
					if (before || fleet_endpoint_in_flight(f, "a") < 1)
						late++;
					fleet_slot_release(f, &s);
				}
			});
		}
		usleep(100);
		ASSERT_TRUE(fleet_endpoint_stop(f, "a", "o1"));
		stopped = true;
		usleep(100);
		done = true;
		for (auto &t : senders)
			t.join();
		EXPECT_EQ(late, 0);
		EXPECT_EQ(fleet_endpoint_in_flight(f, "a"), 0);
		ASSERT_TRUE(fleet_endpoint_resume(f, "a", "o1", ROLE_MIXED));
	}
}

/* Guards against the return of one order lifting the stop of another order. */
TEST_F(Fleet, EndpointStaysStoppedUntilEveryOrderReturns)
{
	fleet_slot s = {};

	ASSERT_TRUE(fleet_endpoint_stop(f, "a", "o1"));
	ASSERT_TRUE(fleet_endpoint_stop(f, "a", "o2"));
	EXPECT_FALSE(fleet_endpoint_resume(f, "a", "o3", ROLE_MIXED));
	EXPECT_TRUE(fleet_endpoint_resume(f, "a", "o2", ROLE_DECODE));
	EXPECT_FALSE(fleet_slot_acquire(f, 0, 1, 1, &s));
	EXPECT_TRUE(fleet_endpoint_resume(f, "a", "o1", ROLE_DECODE));
	EXPECT_TRUE(fleet_slot_acquire(f, 0, 1, 1, &s));
	fleet_slot_release(f, &s);
}

/* Guards against work for an endpoint that was stopped before the lagging list named it. */
TEST_F(Fleet, StopAppliesToEndpointListedLater)
{
	endpoint_info infos[] = { engine("a"), engine("b"), engine("late") };

	ASSERT_TRUE(fleet_endpoint_stop(f, "late", "o1"));
	fleet_update(f, infos, 3);
	for (auto &c : candidates())
		EXPECT_EQ(c.usable, c.index != 2);
}

/* Guards against new work for an endpoint that the platform's list dropped or marks as leaving. */
TEST_F(Fleet, UnlistedAndLeavingEndpointsGetNoWork)
{
	endpoint_info b = engine("b");
	fleet_slot s = {};

	b.leaving = true;
	fleet_update(f, &b, 1);
	EXPECT_FALSE(fleet_slot_acquire(f, 0, 1, 1, &s));
	EXPECT_FALSE(fleet_slot_acquire(f, 1, 1, 1, &s));
}

/* Guards against counting own work twice: in the own counters and in the late load report. */
TEST_F(Fleet, OwnWorkIsSubtractedFromLateReport)
{
	fleet_slot s = {};
	endpoint_load load = {};

	fleet_set_load_lag(f, 100);
	ASSERT_TRUE(fleet_slot_acquire(f, 0, 1000, 1, &s));
	clock_sleep_ms(150);
	load.received_ms = clock_boot_ms();
	load.role = ROLE_MIXED;
	load.decode_slots = 8;
	load.prefill_backlog = 1300;
	load.decode_seqs = 3;
	fleet_load_update(f, "a", &load);
	EXPECT_EQ(candidates()[0].prefill_backlog, 1300);
	EXPECT_EQ(candidates()[0].decode_seqs, 3);
	fleet_slot_release(f, &s);
	EXPECT_EQ(candidates()[0].prefill_backlog, 300);
	EXPECT_EQ(candidates()[0].decode_seqs, 2);
}

/* Guards against an engine without work after each role change, for as long as reports lag. */
TEST_F(Fleet, LateReportOfCompletedRoleChangeIsIgnored)
{
	endpoint_load load = {};

	fleet_set_load_lag(f, 100);
	ASSERT_TRUE(fleet_endpoint_stop(f, "a", "o-1"));
	ASSERT_TRUE(fleet_endpoint_resume(f, "a", "o-1", ROLE_PREFILL));
	load.received_ms = clock_boot_ms() + 50;
	load.role = ROLE_DECODE;
	load.changing = true;
	fleet_load_update(f, "a", &load);
	EXPECT_TRUE(candidates()[0].usable);
	load.received_ms += 100;
	fleet_load_update(f, "a", &load);
	EXPECT_FALSE(candidates()[0].usable) << "a later change counts";
}

/*
 * Guards against all instances preferring the engine that was idle in the same stale report, and
 * against an instance that avoids every engine because there are fewer engines than instances.
 */
TEST_F(Fleet, InstancesPreferDifferentHomeEngines)
{
	endpoint_load load = {};
	fleet_slot s = {};
	fleet_slot other = {};

	fleet_set_homes(f, 0, 2);
	EXPECT_FALSE(candidates()[0].preferred_by_others);
	EXPECT_TRUE(candidates()[1].preferred_by_others);
	fleet_set_homes(f, 2, 3);
	EXPECT_FALSE(candidates()[0].preferred_by_others);
	EXPECT_FALSE(candidates()[1].preferred_by_others);
	load.received_ms = clock_boot_ms();
	load.role = ROLE_MIXED;
	load.decode_slots = 8;
	load.decode_seqs = 6;
	fleet_load_update(f, "a", &load);
	fleet_set_homes(f, 0, 2);
	EXPECT_EQ(candidates()[1].decode_seqs, 3)
		<< "an idle home engine of another instance counts as the mean";
	ASSERT_TRUE(fleet_slot_acquire(f, 1, 0, 4, &s));
	ASSERT_TRUE(fleet_slot_acquire(f, 0, 0, 4, &other));
	fleet_set_homes(f, 0, 2);
	EXPECT_EQ(candidates()[1].decode_seqs, 8) << "the other instance has sent as much";
	fleet_slot_release(f, &other);
	fleet_slot_release(f, &s);
}

/* Guards against all instances leaving and joining an engine together with each late report. */
TEST_F(Fleet, WorkOfOtherInstancesIsSmoothedOverReports)
{
	endpoint_load load = {};

	fleet_set_load_lag(f, 2000);
	load.received_ms = 10000;
	load.role = ROLE_MIXED;
	load.prefill_backlog = 8000;
	fleet_load_update(f, "a", &load);
	EXPECT_EQ(candidates()[0].prefill_backlog, 8000);
	load.received_ms += 500;
	load.prefill_backlog = 0;
	fleet_load_update(f, "a", &load);
	EXPECT_NEAR((double)candidates()[0].prefill_backlog, 7060, 2);
}

/* Guards against an old relayed report replacing a newer one or marking a crashed engine as up. */
TEST_F(Fleet, OlderReportIsIgnored)
{
	endpoint_load load = {};
	endpoint_load known = {};
	char name[ENDPOINT_NAME_MAX];
	int64_t polled_ms = clock_boot_ms();

	load.role = ROLE_MIXED;
	load.received_ms = polled_ms;
	load.prefill_backlog = 500;
	fleet_load_update(f, "a", &load);
	load.received_ms = polled_ms - 1;
	load.prefill_backlog = 9000;
	fleet_load_update(f, "a", &load);
	EXPECT_EQ(candidates()[0].prefill_backlog, 500);
	clock_sleep_ms(5);
	fleet_result_record(f, "a", FLEET_HARD_FAILURE);
	load.received_ms = polled_ms + 1;
	fleet_load_update(f, "a", &load);
	EXPECT_FALSE(candidates()[0].usable) << "the poll was sent before the crash";
	load.received_ms = clock_boot_ms();
	load.is_mean = true;
	fleet_load_update(f, "a", &load);
	EXPECT_FALSE(candidates()[0].usable)
		<< "a mean over several engines does not show that this one is up";
	ASSERT_TRUE(fleet_load_find_by_tag(f, peer_tag("a", 0), name, &known));
	EXPECT_STREQ(name, "a");
	EXPECT_FALSE(fleet_load_find_by_tag(f, 12345, name, &known));
}

/* Guards against other requests running beside a suspect one, whose crash would fail them, too. */
TEST_F(Fleet, SuspectRequestWaitsForIdleEngine)
{
	fleet_slot busy[2] = {};
	fleet_slot s = {};
	fleet_slot other = {};
	int reserved = -1;

	report_load("b1");
	ASSERT_TRUE(fleet_slot_acquire(f, 0, 1, 1, &busy[0]));
	ASSERT_TRUE(fleet_slot_acquire(f, 1, 1, 1, &busy[1]));
	EXPECT_FALSE(take_exclusive(ROLE_MIXED, 1, &reserved, &s));
	ASSERT_EQ(reserved, 0);
	EXPECT_FALSE(fleet_slot_acquire(f, 0, 1, 1, &other));
	fleet_slot_release(f, &busy[0]);
	EXPECT_TRUE(take_exclusive(ROLE_MIXED, 1, &reserved, &s));
	EXPECT_FALSE(fleet_slot_acquire(f, 0, 1, 1, &other));
	fleet_slot_release(f, &s);
	EXPECT_TRUE(fleet_slot_acquire(f, 0, 1, 1, &other));
	fleet_slot_release(f, &other);
	fleet_slot_release(f, &busy[1]);
}

/*
 * Guards against a suspect request on an engine whose boot id is unknown: a crash of it could not
 * be distinguished from a broken connection.
 */
TEST_F(Fleet, SuspectRequestWaitsForFirstLoadReport)
{
	fleet_slot s = {};
	int reserved = -1;

	EXPECT_FALSE(take_exclusive(ROLE_MIXED, 1, &reserved, &s));
	EXPECT_EQ(reserved, -1);
	report_load("b1");
	EXPECT_TRUE(take_exclusive(ROLE_MIXED, 1, &reserved, &s));
	EXPECT_STREQ(s.boot_id, "b1");
	fleet_slot_release(f, &s);
}

/* Guards against a crashed engine attracting requests because it has the fewest in flight. */
TEST_F(Fleet, CrashedEngineGetsNoWorkUntilItsLoadReport)
{
	endpoint_load load = {};
	fleet_slot s = {};
	int reserved = -1;

	report_load("b1");
	fleet_result_record(f, "a", FLEET_HARD_FAILURE);
	EXPECT_FALSE(fleet_slot_acquire(f, 0, 1, 1, &s));
	ASSERT_TRUE(take_exclusive(ROLE_MIXED, 1, &reserved, &s));
	EXPECT_EQ(s.id, 1);
	fleet_slot_release(f, &s);
	clock_sleep_ms(CIRCUIT_OPEN_MS + 20);
	EXPECT_FALSE(fleet_slot_acquire(f, 0, 1, 1, &s));
	load.received_ms = clock_boot_ms();
	load.decode_slots = 8;
	fleet_load_update(f, "a", &load);
	EXPECT_TRUE(fleet_slot_acquire(f, 0, 1, 1, &s));
	fleet_slot_release(f, &s);
}

/* Guards against suspect requests reserving every engine and leaving none for ordinary ones. */
TEST_F(Fleet, SuspectRequestsDoNotReserveEveryEngine)
{
	fleet_slot first = {};
	fleet_slot second = {};
	fleet_slot other = {};
	int reserved[2] = { -1, -1 };

	report_load("b1");
	ASSERT_TRUE(take_exclusive(ROLE_MIXED, 1, &reserved[0], &first));
	EXPECT_FALSE(take_exclusive(ROLE_MIXED, 1, &reserved[1], &second));
	EXPECT_EQ(reserved[1], -1);
	EXPECT_TRUE(fleet_slot_acquire(f, 1, 1, 1, &other));
	fleet_slot_release(f, &other);
	EXPECT_FALSE(fleet_slot_acquire(f, 0, 1, 1, &other));
	fleet_slot_end_exclusive(f, &first);
	EXPECT_TRUE(fleet_slot_acquire(f, 0, 1, 1, &other));
	fleet_slot_release(f, &other);
	fleet_slot_release(f, &first);
}

/*
 * Guards against suspect requests of two instances that both run on one engine as if it was
 * exclusive, and are both charged with its crash.
 */
TEST_F(Fleet, SuspectRequestsOfTwoInstancesUseDifferentEngines)
{
	int ids[2];

	report_load("b1");
	q.instances = 2;
	for (q.rank = 0; q.rank < 2; q.rank++) {
		fleet_slot s = {};
		int reserved = -1;

		ASSERT_TRUE(take_exclusive(ROLE_MIXED, 1, &reserved, &s));
		ids[q.rank] = s.id;
		fleet_slot_release(f, &s);
	}
	EXPECT_NE(ids[0], ids[1]);
	fleet_result_record(f, "a", FLEET_HARD_FAILURE);
	fleet_slot s = {};
	int reserved = -1;
	q.rank = 0;
	EXPECT_TRUE(take_exclusive(ROLE_MIXED, 1, &reserved, &s))
		<< "without an own engine any is used";
	fleet_slot_release(f, &s);
}

/*
 * Guards against requests beside the suspect request of another instance, and against reservations
 * that leave no engine to ordinary requests.
 */
TEST_F(Fleet, PeerReservationKeepsOrdinaryRequestsAway)
{
	fleet_slot s = {};
	fleet_slot other = {};
	int in_flight = -1;

	ASSERT_TRUE(fleet_slot_acquire(f, 0, 1, 1, &s));
	EXPECT_EQ(fleet_peer_reserve(f, "a", &in_flight), FLEET_PEER_RESERVED);
	EXPECT_EQ(in_flight, 1);
	EXPECT_FALSE(fleet_slot_acquire(f, 0, 1, 1, &other));
	EXPECT_FALSE(candidates()[0].usable);
	EXPECT_EQ(fleet_peer_reserve(f, "b", &in_flight), FLEET_PEER_REFUSED_FULL)
		<< "no engine would be left";
	EXPECT_TRUE(fleet_slot_acquire(f, 1, 1, 1, &other));
	fleet_slot_release(f, &other);
	fleet_slot_release(f, &s);
	fleet_peer_unreserve(f, "a");
	EXPECT_TRUE(fleet_slot_acquire(f, 0, 1, 1, &other));
	fleet_slot_release(f, &other);
	fleet_result_record(f, "a", FLEET_HARD_FAILURE);
	EXPECT_EQ(fleet_peer_reserve(f, "a", &in_flight), FLEET_PEER_REFUSED_DOWN);
	EXPECT_EQ(fleet_peer_reserve(f, "b", &in_flight), FLEET_PEER_RESERVED_LAST);
	EXPECT_TRUE(fleet_slot_acquire(f, 1, 1, 1, &other)) << "ordinary requests continue";
	fleet_slot_release(f, &other);
	EXPECT_EQ(fleet_peer_reserve(f, "new", &in_flight), FLEET_PEER_RESERVED)
		<< "not listed yet";
}

} // namespace
