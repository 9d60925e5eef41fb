#include <gtest/gtest.h>
#include <random>
#include <vector>

extern "C" {
#include "ibisgate/policy/rollout.h"
}

/* Guards against a model change that takes all engines of a data centre out of service, or none. */
TEST(Rollout, RespectsLimitAndPrefersTheMostServedModel)
{
	std::vector<rollout_engine> e = {
		{ "a", "M", ROLE_DECODE, true },
		{ "a", "M", ROLE_PREFILL, true },
		{ "b", "M", ROLE_PREFILL, true },
		{ "a", "N", ROLE_PREFILL, false },
	};

	EXPECT_EQ(rollout_next(e.data(), 4, "a", 0, 1), 1)
		<< "an engine in b also serves this model and role";
	EXPECT_EQ(rollout_next(e.data(), 4, "a", 1, 1), -1);
	EXPECT_EQ(rollout_next(e.data(), 4, "a", 1, 2), 1);
	EXPECT_EQ(rollout_next(e.data(), 4, "c", 0, 1), -1);
	e[1].needs_reload = false;
	EXPECT_EQ(rollout_next(e.data(), 4, "a", 0, 1), 0)
		<< "now the only engine of a that is due";
}

/* Compares the choice with a naive implementation for random sets of engines. */
TEST(Rollout, MatchesNaiveChoiceOnRandomEngines)
{
	const char *const dcs[] = { "a", "b" };
	const char *const models[] = { "M", "N", "" };
	const endpoint_role roles[] = { ROLE_PREFILL, ROLE_DECODE, ROLE_MIXED };
	const unsigned seed = std::random_device{}();
	std::mt19937 random(seed);

	for (int round = 0; round < 2000; round++) {
		std::vector<rollout_engine> e(random() % 12);
		int limit = 1 + (int)(random() % 3);
		int in_progress = (int)(random() % 4);
		int expected = -1;
		size_t most = 0;

		for (auto &x : e)
			x = { dcs[random() % 2], models[random() % 3], roles[random() % 3],
			      random() % 2 == 0 };
		for (size_t i = 0; i < e.size() && in_progress < limit; i++) {
			size_t alike = 0;

			for (auto &o : e)
				alike += std::string(o.model) == e[i].model && o.role == e[i].role;
			if (e[i].needs_reload && std::string(e[i].dc) == "a" && alike > most) {
				most = alike;
				expected = (int)i;
			}
		}
		ASSERT_EQ(rollout_next(e.data(), (int)e.size(), "a", in_progress, limit), expected)
			<< "seed " << seed << " round " << round;
	}
}
