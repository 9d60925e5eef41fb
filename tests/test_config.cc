#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

/* A struct in the C header has a field named "class", which is a keyword in C++. */
#define class class_
extern "C" {
#include "ibisgate/common/json.h"
#include "ibisgate/state/config.h"
}
#undef class

using std::string;

static json_t *parse(const string &text)
{
	return json_loads(text.c_str(), JSON_DECODE_ANY, nullptr);
}

static bool valid(const string &key, const string &value, string *text = nullptr)
{
	json_t *v = parse(value);
	struct error err = {};
	int rc = config_check(key.c_str(), v, &err);

	json_decref(v);
	if (text)
		*text = err.text;
	return rc == 0;
}

static int apply(struct config **c, int64_t version, const string &key, const char *value)
{
	json_t *v = value ? parse(value) : nullptr;
	struct config_change change = { version, key.c_str(), v, "op" };
	struct error err = {};
	struct config *next = config_apply(*c, &change, &err);

	json_decref(v);
	if (!next)
		return err.code;
	config_destroy(*c);
	*c = next;
	return 0;
}

static string exception_of(const string &scope, int value, int64_t expiry)
{
	return "{\"scope\":\"" + scope +
	       "\",\"setting\":\"deadline.gap-ms\",\"value\":" + std::to_string(value) +
	       ",\"reason\":\"r\",\"author\":\"a\",\"expiry\":" + std::to_string(expiry) + "}";
}

/* Guards against accepting a mistyped change that then has no effect. */
TEST(Config, RefusesMalformedChangesWithAMessage)
{
	string text;

	EXPECT_FALSE(valid("default/route.methd", "\"round-robin\"", &text));
	EXPECT_NE(text.find("unknown setting \"route.methd\""), string::npos) << text;
	EXPECT_FALSE(valid("default/route.method", "\"fastest\"", &text));
	EXPECT_NE(text.find("round-robin"), string::npos) << text;
	EXPECT_FALSE(valid("default/deadline.gap-ms", "0"));
	EXPECT_FALSE(valid("default/deadline.gap-ms", "1.5"));
	EXPECT_FALSE(valid("nothing/x", "1"));
	EXPECT_FALSE(valid("organisation/", "{}"));
	EXPECT_FALSE(valid("organisation/a", "{\"weight\":0}"));
	EXPECT_FALSE(valid("organisation/a", "{\"wieght\":1}"));
	EXPECT_FALSE(valid("organisation/a", "{\"keys\":[\"short\"]}"));
	EXPECT_FALSE(valid("service/s", "{\"kind\":\"model\"}"));
	EXPECT_FALSE(valid("exception/e", "{}"));
	EXPECT_FALSE(valid("drain/e1", "{}"));
	EXPECT_TRUE(valid("drain/e1", "{\"reason\":\"fan\"}"));
	EXPECT_TRUE(valid("exception/e", exception_of("dc/irazu", 70, 5)));
	EXPECT_TRUE(valid("service/s", "{\"kind\":\"model\",\"model\":\"m\",\"gap_ms\":80}"));
	EXPECT_TRUE(valid("default/route.method", "null"));
}

/* Guards against decreasing versions, skipped changes and keys that are lost after a restart. */
TEST(Config, VersionsOnlyIncreaseAndSnapshotsRoundTrip)
{
	uint64_t seed = std::random_device{}();
	std::mt19937_64 rng(seed);
	struct config *c = config_create();
	std::map<string, string> model;

	std::cout << "seed " << seed << "\n";
	for (int i = 0; i < 2000; i++) {
		int64_t now = config_version(c);
		int64_t version = now - 1 + (int64_t)(rng() % 4);
		string key = "organisation/o" + std::to_string(rng() % 9);
		string value = "{\"weight\":" + std::to_string(rng() % 9 + 1) + "}";
		bool remove = rng() % 3 == 0;
		int want = version <= now      ? CONFIG_VERSION_STALE
			   : version > now + 1 ? CONFIG_VERSION_GAP
					       : 0;

		ASSERT_EQ(apply(&c, version, key, remove ? nullptr : value.c_str()), want) << seed;
		ASSERT_EQ(config_version(c), want ? now : version);
		if (!want && remove)
			model.erase(key);
		else if (!want)
			model[key] = value;
	}
	json_t *snapshot = config_to_json(c);
	struct config *copy = config_from_json(snapshot, nullptr);
	json_t *items = json_object_get(snapshot, "items");
	ASSERT_EQ(json_object_size(items), model.size());
	for (auto &n : model) {
		json_t *v = parse(n.second);

		EXPECT_TRUE(json_equal(json_object_get(items, n.first.c_str()), v));
		json_decref(v);
	}
	EXPECT_EQ(config_version(copy), config_version(c));
	json_decref(snapshot);
	config_destroy(copy);
	config_destroy(c);
}

struct rule {
	int rank;
	string scope;
	int value;
	int64_t expiry;
};

/*
 * Guards against an exception that applies outside its scope or after its expiry, or that is
 * overridden by one with a wider scope. Compares with a simple lookup over all exceptions.
 */
TEST(Config, SettingLookupMatchesReferenceModel)
{
	static const char *const kinds[] = { "dc", "service", "organisation", "endpoint" };
	uint64_t seed = std::random_device{}();
	std::mt19937_64 rng(seed);

	std::cout << "seed " << seed << "\n";
	for (int round = 0; round < 300; round++) {
		struct config *c = config_create();
		std::map<string, rule> rules;
		int fallback = 59;

		if (rng() % 2) {
			fallback = 33;
			ASSERT_EQ(apply(&c, 1, "default/deadline.gap-ms", "33"), 0);
		}
		for (int i = 0; i < 8; i++) {
			int rank = (int)(rng() % 4);
			rule r = { rank, string(kinds[rank]) + "/n" + std::to_string(rng() % 2),
				   100 + i, 1 + (int64_t)(rng() % 20) };
			string key = "exception/e" + std::to_string(i);

			ASSERT_EQ(apply(&c, config_version(c) + 1, key,
					exception_of(r.scope, r.value, r.expiry).c_str()),
				  0);
			rules[key] = r;
		}
		for (int i = 0; i < 30; i++) {
			string n = "n" + std::to_string(rng() % 2);
			const char *names[4];
			int64_t now = (int64_t)(rng() % 20);
			int best = -1;
			int want = fallback;

			for (auto &name : names)
				name = rng() % 3 ? n.c_str() : nullptr;
			struct config_scope scope = { names[3], names[2], names[1], names[0], now };
			for (auto &r : rules) {
				const char *name = names[r.second.rank];

				if (!name || now >= r.second.expiry || r.second.rank <= best ||
				    r.second.scope != string(kinds[r.second.rank]) + "/" + name)
					continue;
				best = r.second.rank;
				want = r.second.value;
			}
			ASSERT_EQ(config_i64(c, "deadline.gap-ms", &scope), want)
				<< "seed " << seed;
		}
		config_destroy(c);
	}
}

/*
 * Guards against an API key that gives access to another organisation, or that still works after it
 * was removed.
 */
TEST(Config, ApiKeysBelongToOneOrganisation)
{
	string k(64, 'a');
	string value = "{\"weight\":2,\"keys\":[\"" + k + "\"]}";
	struct config *c = config_create();
	struct config_organisation o;
	struct config_service s;

	ASSERT_EQ(apply(&c, 1, "organisation/x", value.c_str()), 0);
	EXPECT_EQ(apply(&c, 2, "organisation/y", value.c_str()), CONFIG_BAD_VALUE);
	ASSERT_TRUE(config_organisation_by_key(c, k.c_str(), &o));
	EXPECT_STREQ(o.name, "x");
	EXPECT_EQ(o.weight, 2);
	ASSERT_EQ(apply(&c, 2, "organisation/x", nullptr), 0);
	EXPECT_FALSE(config_organisation_by_key(c, k.c_str(), &o));
	ASSERT_EQ(apply(&c, 3, "service/order", "{\"kind\":\"plain\",\"class\":\"urgent\"}"), 0);
	ASSERT_TRUE(config_service(c, "order", &s));
	EXPECT_FALSE(s.idempotent)
		<< "calls of a plain service are not retried unless its row allows it";
	EXPECT_EQ(s.class_, CLASS_URGENT);
	ASSERT_EQ(apply(&c, 4, "drain/e", "{\"reason\":\"fan\"}"), 0);
	EXPECT_TRUE(config_endpoint_drain(c, "e"));
	config_destroy(c);
}
