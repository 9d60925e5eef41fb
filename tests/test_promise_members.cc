#include "promise_fixture.h"

/* Membership: after a link failure all instances converge to the same member list. */
class PromiseMembers : public PromiseTest
{
      protected:
	const char *id(int i)
	{
		return f->instances[i].id;
	}
	/* Sets the mode of the links between @a and @b; only from @a to @b if @one_way. */
	void set_link_mode(int a, int b, const char *mode, bool one_way = false)
	{
		set_route_mode(std::string(id(a)) + "-" + id(b), mode);
		if (!one_way)
			set_route_mode(std::string(id(b)) + "-" + id(a), mode);
	}
	bool has_member_state(int i, int k, const char *state)
	{
		return member_state(i, id(k)) == state;
	}
	/* Sets the links of the last data centre, which has instances 4 and 5. */
	void set_last_dc_links(const char *mode, bool peers, bool platform)
	{
		for (int i = 4; i < 6; i++) {
			for (int k = 0; peers && k < 4; k++)
				set_link_mode(i, k, mode);
			if (platform)
				set_route_mode(std::string(id(i)) + "-platform", mode);
		}
	}
	void expect_converges()
	{
		EXPECT_TRUE(eventually([&] { return all_live(); }, 10000));
		/* No instance still reports the platform as down. */
		EXPECT_TRUE(eventually(
			[&] {
				for (int i = 0; i < f->instance_count; i++) {
					if (status(i).number("platform_down_since_ms") != 0)
						return false;
				}
				return true;
			},
			5000));
	}
};

/* Guards against a peer that stays live in the member list after its link failed in both directions
 * or in one, or after its process was paused. */
TEST_F(PromiseMembers, DetectsLinkFailureAndPause)
{
	start({ "abertawe" }, 3, {}, false);
	/* Both directions fail: 0 and 1 receive nothing from each other, 2 receives from both. */
	set_link_mode(0, 1, "silent");
	EXPECT_TRUE(eventually(
		[&] { return has_member_state(0, 1, "suspect") || has_member_state(0, 1, "gone"); },
		5000));
	EXPECT_TRUE(eventually(
		[&] { return has_member_state(1, 0, "suspect") || has_member_state(1, 0, "gone"); },
		5000));
	EXPECT_TRUE(has_member_state(2, 0, "live") && has_member_state(2, 1, "live"));
	set_link_mode(0, 1, "pass");
	expect_converges();
	/* One direction fails: 1 still receives from 0, but 0 receives nothing from 1. */
	set_link_mode(1, 0, "silent_to_target", true);
	EXPECT_TRUE(eventually([&] { return !has_member_state(0, 1, "live"); }, 5000));
	EXPECT_TRUE(eventually(
		[&] {
			Json st = status(1);
			return !json_get_bool(find_entry(st.at("members"), "id", id(0)), "hears_us",
					      true);
		},
		5000));
	set_link_mode(1, 0, "pass", true);
	expect_converges();
	pause_instance(2);
	EXPECT_TRUE(eventually([&] { return has_member_state(0, 2, "suspect"); }, 5000));
	EXPECT_TRUE(eventually([&] { return has_member_state(0, 2, "gone"); }, 8000));
	resume_instance(2);
	expect_converges();
}

/* Guards against a data centre that does not become a live member again after it was partitioned
 * from its peers, the platform or both. */
TEST_F(PromiseMembers, DataCentreRejoinsAfterPartition)
{
	struct {
		bool peers;
		bool platform;
	} partitions[] = { { true, false }, { false, true }, { true, true } };

	start({ "abertawe", "caerdydd", "merthyr" }, 2, {}, false);
	for (auto &partition : partitions) {
		SCOPED_TRACE(testing::Message()
			     << "peers " << partition.peers << " platform " << partition.platform);
		set_last_dc_links("silent", partition.peers, partition.platform);
		if (partition.peers) {
			EXPECT_TRUE(eventually(
				[&] {
					return !has_member_state(0, 4, "live") &&
					       !has_member_state(4, 0, "live");
				},
				10000));
		}
		if (partition.platform) {
			EXPECT_TRUE(eventually(
				[&] { return status(4).number("platform_down_since_ms") > 0; },
				5000));
		}
		EXPECT_TRUE(has_member_state(4, 5, "live"))
			<< "links within the data centre are not affected";
		set_last_dc_links("pass", partition.peers, partition.platform);
		expect_converges();
	}
}
