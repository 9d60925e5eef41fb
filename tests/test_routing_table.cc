#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "ibisgate/state/routing_table.h"
}

static void rule(struct routing_table *t, const char *name, const char *host, const char *prefix)
{
	struct routing_rule *r = &t->rules[t->rule_count++];

	str_copy(r->name, sizeof(r->name), str_from(name));
	str_copy(r->host, sizeof(r->host), str_from(host));
	str_copy(r->prefix, sizeof(r->prefix), str_from(prefix));
}

static std::string match(const struct routing_table *t, const char *host, const char *target)
{
	const struct routing_rule *r = routing_table_match(t, str_from(host), str_from(target));

	return r ? r->name : "-";
}

/* Guards against requests that reach a service that the operator didn't mean. */
TEST(RoutingTable, LongestPrefixOfTheHostWins)
{
	struct routing_table *t = routing_table_create(1, 8, 0);

	rule(t, "root", "a.example", "/");
	rule(t, "long", "a.example", "/x/y/");
	rule(t, "short", "a.example", "/x/");
	rule(t, "other", "b.example", "/x/y/z/");
	EXPECT_EQ(match(t, "a.example", "/x/y/z/1"), "long");
	EXPECT_EQ(match(t, "A.EXAMPLE:80", "/x/1?/x/y/"), "short");
	EXPECT_EQ(match(t, "a.example", "/x"), "root");
	EXPECT_EQ(match(t, "b.example", "/x/y/"), "-");
	EXPECT_EQ(match(t, "c.example", "/x/y/"), "-");
	EXPECT_EQ(match(t, "a.exampl", "/"), "-");
	routing_table_put(t);
}

/* Guards against a split that ignores its weights or sends to a target of weight zero. */
TEST(RoutingTable, TargetsAreChosenByWeight)
{
	struct routing_rule r = {};
	std::map<int, int> seen;

	EXPECT_EQ(routing_rule_target(&r, 7), -1);
	r.target_count = 3;
	r.targets[0] = { 4, 90 };
	r.targets[1] = { 5, 0 };
	r.targets[2] = { 6, 10 };
	for (uint64_t h = 0; h < 1000; h++)
		seen[routing_rule_target(&r, h)]++;
	EXPECT_EQ(seen[4], 900);
	EXPECT_EQ(seen[5], 0);
	EXPECT_EQ(seen[6], 100);
	r.targets[0].weight = 0;
	r.targets[2].weight = 0;
	EXPECT_EQ(routing_rule_target(&r, 1), 4);
}

/* Guards against a version that is freed while a request still runs under it. */
TEST(RoutingTable, LivesAsLongAsItsLastHolder)
{
	struct routing_table *t = routing_table_create(3, 1, 1);
	struct routing_table *held = routing_table_get(t);

	routing_table_put(t);
	EXPECT_EQ(held->version, 3);
	routing_table_put(held);
	EXPECT_EQ(routing_table_get(nullptr), nullptr);
}
