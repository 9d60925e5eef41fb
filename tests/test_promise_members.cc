#include "promise_fixture.h"

/* Membership: every instance ends with the same picture after any loss of links. */
class PromiseMembers : public PromiseTest
{
      protected:
	const char *id(int i)
	{
		return f->instances[i].id;
	}
	/* Sets the links between instances @a and @b; @a to @b only when @one_way. */
	void link(int a, int b, const char *mode, bool one_way = false)
	{
		route(std::string(id(a)) + "-" + id(b), mode);
		if (!one_way)
			route(std::string(id(b)) + "-" + id(a), mode);
	}
	bool sees(int i, int k, const char *state)
	{
		return member_state(i, id(k)) == state;
	}
	/* Instances 4 and 5 make up the last data centre. */
	void last_dc(const char *mode, bool peers, bool platform)
	{
		for (int i = 4; i < 6; i++) {
			for (int k = 0; peers && k < 4; k++)
				link(i, k, mode);
			if (platform)
				route(std::string(id(i)) + "-platform", mode);
		}
	}
	void expect_converges()
	{
		EXPECT_TRUE(eventually([&] { return all_live(); }, 10000));
		/* One holder of each lease, and no instance that thinks the platform is down. */
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

/* Guards against a peer that is believed live after it was lost, paused or cut off one way. */
TEST_F(PromiseMembers, LossFreezeAndCuts)
{
	start({ "abertawe" }, 3, {}, false);
	/* Silence both ways: neither hears the other, the third hears both. */
	link(0, 1, "silent");
	EXPECT_TRUE(eventually([&] { return sees(0, 1, "suspect") || sees(0, 1, "gone"); }, 5000));
	EXPECT_TRUE(eventually([&] { return sees(1, 0, "suspect") || sees(1, 0, "gone"); }, 5000));
	EXPECT_TRUE(sees(2, 0, "live") && sees(2, 1, "live"));
	link(0, 1, "pass");
	expect_converges();
	/* One way: the second still hears the first, which doesn't hear the second. */
	link(1, 0, "silent_to_target", true);
	EXPECT_TRUE(eventually([&] { return !sees(0, 1, "live"); }, 5000));
	EXPECT_TRUE(eventually(
		[&] {
			Json st = status(1);
			return !json_get_bool(entry_of(st.at("members"), "id", id(0)), "hears_us",
					      true);
		},
		5000));
	link(1, 0, "pass", true);
	expect_converges();
	freeze(2);
	EXPECT_TRUE(eventually([&] { return sees(0, 2, "suspect"); }, 5000));
	EXPECT_TRUE(eventually([&] { return sees(0, 2, "gone"); }, 8000));
	wake(2);
	expect_converges();
}

/* Guards against a data centre that isn't taken back after it was cut off from its peers, the
 * platform, or both. */
TEST_F(PromiseMembers, DataCentreRejoins)
{
	struct {
		bool peers;
		bool platform;
	} cuts[] = { { true, false }, { false, true }, { true, true } };

	start({ "abertawe", "caerdydd", "merthyr" }, 2, {}, false);
	for (auto &cut : cuts) {
		SCOPED_TRACE(testing::Message()
			     << "peers " << cut.peers << " platform " << cut.platform);
		last_dc("silent", cut.peers, cut.platform);
		if (cut.peers) {
			EXPECT_TRUE(eventually(
				[&] { return !sees(0, 4, "live") && !sees(4, 0, "live"); }, 10000));
		}
		if (cut.platform) {
			EXPECT_TRUE(eventually(
				[&] { return status(4).number("platform_down_since_ms") > 0; },
				5000));
		}
		EXPECT_TRUE(sees(4, 5, "live")) << "the inside of a data centre stays whole";
		last_dc("pass", cut.peers, cut.platform);
		expect_converges();
	}
}
