#include <gtest/gtest.h>

#include <map>
#include <random>

extern "C" {
#include "ibisgate/state/quarantine.h"
}

struct naive {
	int crashes = 0;
	int alone = 0;
	bool refuse = false;
	int64_t until = 0;
};

/* Guards against a crashing request that goes on to take engines down, and an innocent one refused.
 */
TEST(Quarantine, AgreesWithANaiveCount)
{
	uint64_t seed = std::random_device{}();
	std::mt19937_64 rng(seed);
	struct quarantine *q = quarantine_create(4096);
	std::map<uint64_t, naive> all;
	int64_t now = 0;

	std::cout << "seed " << seed << "\n";
	for (int i = 0; i < 50000; i++) {
		uint64_t f = rng() % 40 + 1;
		naive &n = all[f];

		now += (int64_t)(rng() % 4000);
		if (n.until <= now)
			n = naive();
		switch (rng() % 4) {
		case 0: {
			bool alone = rng() % 2;

			n.crashes++;
			n.alone += alone;
			n.refuse = n.refuse || (n.crashes >= 2 && n.alone >= 1);
			n.until = now + 600000;
			quarantine_charge(q, f, alone, now);
			break;
		}
		case 1:
			if (rng() % 4 == 0 && !n.refuse) {
				n = naive();
				quarantine_clear(q, f);
			}
			break;
		default:
			break;
		}
		quarantine_verdict want = n.refuse    ? QUARANTINE_REFUSE
					  : n.crashes ? QUARANTINE_SUSPECT
						      : QUARANTINE_CLEAR;
		ASSERT_EQ(quarantine_check(q, f, now), want) << "seed " << seed << " step " << i;
	}
	quarantine_destroy(q);
}

/* Guards against unbounded memory, and against suspects that push refused entries out. */
TEST(Quarantine, KeepsRefusedEntriesUnderAFloodOfSuspects)
{
	struct quarantine *q = quarantine_create(64);

	quarantine_learn(q, 99, 2, true, 500000, 0);
	for (uint64_t f = 1000; f < 100000; f++)
		quarantine_charge(q, f, false, 1);
	EXPECT_EQ(quarantine_check(q, 99, 2), QUARANTINE_REFUSE);
	EXPECT_EQ(quarantine_check(q, 99, 500000), QUARANTINE_CLEAR);
	quarantine_destroy(q);
}
