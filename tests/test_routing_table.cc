#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "ibisgate/state/routing_table.h"
}

static void add_rule(struct routing_table *t, const char *name, const char *host,
		     const char *prefix)
{
	struct routing_rule *r = &t->rules[t->rule_count++];

	buf_append_str(&r->name, str_from(name));
	buf_append_str(&r->host, str_from(host));
	buf_append_str(&r->prefix, str_from(prefix));
}

static std::string match_name(const struct routing_table *t, const char *host, const char *target)
{
	const struct routing_rule *r = routing_table_match(t, str_from(host), str_from(target));

	return r ? r->name.data : "-";
}

/* Guards against routing requests to a service that the operator did not intend. */
TEST(RoutingTable, LongestPrefixOfTheHostWins)
{
	struct routing_table *t = routing_table_create(1, 8, 0);

	add_rule(t, "root", "a.example", "/");
	add_rule(t, "long", "a.example", "/x/y/");
	add_rule(t, "short", "a.example", "/x/");
	add_rule(t, "other", "b.example", "/x/y/z/");
	EXPECT_EQ(match_name(t, "a.example", "/x/y/z/1"), "long");
	EXPECT_EQ(match_name(t, "A.EXAMPLE:80", "/x/1?/x/y/"), "short");
	EXPECT_EQ(match_name(t, "a.example", "/x"), "root");
	EXPECT_EQ(match_name(t, "b.example", "/x/y/"), "-");
	EXPECT_EQ(match_name(t, "c.example", "/x/y/"), "-");
	EXPECT_EQ(match_name(t, "a.exampl", "/"), "-");
	routing_table_put(t);
}

/* Guards against ignoring the weights of targets, and against using a target of weight zero. */
TEST(RoutingTable, TargetsAreChosenByWeight)
{
	struct routing_target targets[] = { { 4, 90 }, { 5, 0 }, { 6, 10 } };
	struct routing_rule r = {};
	std::map<int, int> seen;

	EXPECT_EQ(routing_rule_target(&r, 7), -1);
	r.target_count = 3;
	r.targets = targets;
	for (uint64_t h = 0; h < 1000; h++)
		seen[routing_rule_target(&r, h)]++;
	EXPECT_EQ(seen[4], 900);
	EXPECT_EQ(seen[5], 0);
	EXPECT_EQ(seen[6], 100);
	r.targets[0].weight = 0;
	r.targets[2].weight = 0;
	EXPECT_EQ(routing_rule_target(&r, 1), 4);
}

/* Guards against freeing a version while a request still uses it. */
TEST(RoutingTable, IsFreedWithItsLastReference)
{
	struct routing_table *t = routing_table_create(3, 1, 1);
	struct routing_table *held = routing_table_get(t);

	routing_table_put(t);
	EXPECT_EQ(held->version, 3);
	routing_table_put(held);
	EXPECT_EQ(routing_table_get(nullptr), nullptr);
}
