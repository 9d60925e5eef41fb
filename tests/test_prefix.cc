#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>

extern "C" {
#include "ibisgate/common/hash.h"
#include "ibisgate/policy/prefix.h"
}

static struct prefix prefix_of_string(const std::string &s, uint64_t salt, int64_t piece)
{
	return prefix_hash_prompt(str{ s.data(), s.size() }, salt, piece);
}

/* Guards against hashes that differ from those in the cache events of the engines. */
TEST(Prefix, HashesAreChainedFromTheSalt)
{
	std::string s(350, 'x');
	struct prefix p = prefix_of_string(s, 42, 100);

	ASSERT_EQ(p.count, 3);
	EXPECT_EQ(p.hashes[0], hash_str(str{ s.data(), 100 }, 42));
	EXPECT_EQ(p.hashes[2], hash_str(str{ s.data() + 200, 100 }, p.hashes[1]));
	EXPECT_EQ(prefix_of_string(std::string(100000, 'x'), 42, 100).count, PREFIX_PIECES_MAX);
	EXPECT_EQ(prefix_of_string(s, 42, 0).count, 0);
	EXPECT_EQ(prefix_of_string("", 42, 100).count, 0);
}

/* Guards against organisations that share cache entries and so can probe those of others. */
TEST(Prefix, SaltSeparatesOrganisations)
{
	std::string s(300, 'x');
	struct prefix a = prefix_of_string(s, 1, 100);
	struct prefix b = prefix_of_string(s, 2, 100);

	for (int i = 0; i < 3; i++)
		EXPECT_NE(a.hashes[i], b.hashes[i]);
}

/* Guards against an uneven distribution of homes over the engines. */
TEST(Prefix, HomesAreEvenlyDistributed)
{
	std::map<int, int> homes;

	for (uint64_t salt = 0; salt < 2000; salt++) {
		struct prefix p = prefix_of_string(std::string(100, 'x'), salt, 100);
		uint64_t best = 0;
		int home = -1;

		for (int e = 0; e < 20; e++) {
			std::string name = "e" + std::to_string(e);
			uint64_t score = prefix_home_score(&p, str{ name.data(), name.size() });

			if (score > best) {
				best = score;
				home = e;
			}
		}
		homes[home]++;
	}
	for (auto &[e, n] : homes)
		EXPECT_NEAR(n, 100, 50) << e;
}

/* Guards against lost or stale entries: within its bounds, the index must equal an exact map. */
TEST(Prefix, IndexMatchesExactMapWithinItsBounds)
{
	for (uint64_t seed = 1; seed <= 5; seed++) {
		std::mt19937_64 rng(seed);
		std::map<uint64_t, std::set<int>> exact;
		struct prefix_index *idx = prefix_index_create(200);

		printf("seed %llu\n", (unsigned long long)seed);
		for (int step = 0; step < 100000; step++) {
			uint64_t piece = rng() % 200;
			int e = (int)(rng() % 15) * 290;
			int op = (int)(rng() % 100);

			if (op < 50) {
				prefix_index_insert(idx, piece, e);
				exact[piece].insert(e);
			} else if (op < 98) {
				prefix_index_remove(idx, piece, e);
				exact[piece].erase(e);
			} else {
				prefix_index_remove_endpoint(idx, e);
				for (auto &[k, v] : exact)
					v.erase(e);
			}
			struct prefix p = { 3, { rng() % 200, rng() % 200, rng() % 200 } };
			int n = 0;
			e = (int)(rng() % 15) * 290;
			while (n < 3 && exact[p.hashes[n]].count(e))
				n++;
			ASSERT_EQ(prefix_index_match_count(idx, &p, e), n) << "step " << step;
		}
		prefix_index_destroy(idx);
	}
}

/*
 * Guards against growth past the capacity, matches of pieces that were never inserted and eviction
 * of pieces in constant use. Endpoint ids out of range must be ignored.
 */
TEST(Prefix, FullIndexKeepsPiecesInUse)
{
	struct prefix_index *idx = prefix_index_create(64);
	struct prefix hot = { 1, { 5 } };

	for (uint64_t i = 0; i < 10000; i++) {
		struct prefix p = { 1, { 1000 + i } };

		EXPECT_EQ(prefix_index_match_count(idx, &p, 7), 0);
		prefix_index_insert(idx, 5, 9);
		prefix_index_insert(idx, 1000 + i, 7);
		EXPECT_EQ(prefix_index_match_count(idx, &p, 7), 1);
		ASSERT_EQ(prefix_index_match_count(idx, &hot, 9), 1);
	}
	/* Old entries must not become valid again when the 16-bit epoch wraps. */
	for (int e = 0; e < 70000; e++) {
		prefix_index_remove_endpoint(idx, 9);
		ASSERT_EQ(prefix_index_match_count(idx, &hot, 9), 0);
	}
	for (int e : { -1, 4096, 1 << 20 }) {
		prefix_index_insert(idx, 5, e);
		prefix_index_remove(idx, 5, e);
		prefix_index_remove_endpoint(idx, e);
		EXPECT_EQ(prefix_index_match_count(idx, &hot, e), 0);
	}
	for (int e = 0; e < 100; e++)
		prefix_index_insert(idx, 5, e);
	EXPECT_EQ(prefix_index_match_count(idx, &hot, 99), 1);
	prefix_index_destroy(idx);
}
