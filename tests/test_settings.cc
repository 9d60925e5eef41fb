#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "ibisgate/daemon/settings.h"
}

static const char *const minimal = "[instance]\nid = a1\ndata-centre = abertawe\n"
				   "region = de-cymru\n"
				   "[http]\nlisten = 127.0.0.1:0\n"
				   "[admin]\nlisten = 127.0.0.1:0\ntoken = 0123456789abcdef\n"
				   "[peer]\nlisten = 127.0.0.1:0\n"
				   "[platform]\nurl = http://127.0.0.1:9\n";

static std::string problems_of(const std::string &text)
{
	static struct settings s;
	struct error err = {};
	char *out = nullptr;
	size_t len = 0;
	FILE *f = open_memstream(&out, &len);
	int rc = settings_parse(&s, text.c_str(), "x.ini", f, &err);

	fclose(f);
	std::string got(out, len);
	free(out);
	EXPECT_EQ(rc != 0, !got.empty());
	return got;
}

static const char *const rows = "[instance]\nid = a1\ndata-centre = abertawe\n"
				"region = de-cymru\n"
				"[http]\nlisten = 127.0.0.1:0\n"
				"[ready]\nlisten = 127.0.0.1:0\n"
				"[platform]\nkind = rows\nurl = http://127.0.0.1:9\n"
				"[bounds]\nretry-ratio = 0.2\nretry-fixed = 58\n"
				"retry-window-ms = 10000\nstop-grace-ms = 8000\n";

/* Guards against requiring keys on a kind of platform that doesn't use them. */
TEST(Settings, RequiredKeysDependOnThePlatformKind)
{
	EXPECT_EQ(problems_of(rows), "");
	std::string got = problems_of(std::string(minimal) + "kind = rows\n");
	EXPECT_NE(got.find("[ready] listen: required"), std::string::npos) << got;
	EXPECT_NE(got.find("[bounds] retry-ratio: required"), std::string::npos) << got;
	EXPECT_EQ(got.find("[admin]"), std::string::npos) << got;
	got = problems_of(std::string(rows) + "[stages]\nprefill-share = much\n");
	EXPECT_NE(got.find("x.ini:18: [stages] prefill-share: expected a number from -1 to 1"),
		  std::string::npos)
		<< got;
	got = problems_of(std::string(rows) + "[platform]\nkind = log\n");
	EXPECT_NE(got.find("[platform] kind"), std::string::npos) << got;
}

/*
 * Guards against an instance that doesn't start where the platform has no value for a placeholder
 * of the template, and against an empty value of a required key that is taken for one.
 */
TEST(Settings, EmptyValuesAreDefaultsOrErrors)
{
	static struct settings s;
	struct error err = {};
	std::string text = std::string(rows) + "recovery-ms =\n[machine]\nmemory-mb = \n"
					       "descriptors =\ncpu-share = \nlink-mbps =\n"
					       "[instance]\nlog-level =\n[metrics]\nlisten =\n"
					       "[duties]\napi = \nlease-ms =\n"
					       "[platform]\ntimeout-ms =\n";

	EXPECT_EQ(problems_of(text), "");
	ASSERT_EQ(settings_parse(&s, text.c_str(), "x.ini", nullptr, &err), 0) << err.text;
	EXPECT_EQ(s.machine.memory_mb, 0);
	EXPECT_EQ(s.machine.descriptors, 0);
	EXPECT_EQ(s.machine.link_mbps, 0);
	EXPECT_EQ(s.bounds.recovery_ms, 3000);
	EXPECT_EQ(s.duties.lease_ms, 3000);
	EXPECT_EQ(s.instance.log_level, LOG_INFO);
	EXPECT_STREQ(s.metrics.listen, "");

	text = rows;
	text.replace(text.find("retry-fixed = 58"), 16, "retry-fixed = ");
	std::string got = problems_of(text);
	EXPECT_NE(got.find("x.ini:14: [bounds] retry-fixed: required, but empty"),
		  std::string::npos)
		<< got;
	text = rows;
	text.replace(text.find("http://127.0.0.1:9"), 18, "");
	got = problems_of(text);
	EXPECT_NE(got.find("x.ini:11: [platform] url: required, but empty"), std::string::npos)
		<< got;
}

TEST(Settings, MinimalFileIsValid)
{
	EXPECT_EQ(problems_of(minimal), "");
}

/* Guards against a misspelt key that is silently ignored. */
TEST(Settings, UnknownKeyIsReportedWithFileLineAndKey)
{
	std::string got = problems_of(std::string(minimal) + "[http]\nthread = 5\n");

	EXPECT_NE(got.find("x.ini:15: [http] thread: unknown key"), std::string::npos) << got;
}

/* Guards against a check that stops at the first problem. */
TEST(Settings, EveryProblemIsReported)
{
	std::string got = problems_of("[instance]\nid = A!\n[http]\nthreads = 0\n"
				      "listen = localhost:80\n[routes]\np1 = nowhere\n");

	EXPECT_NE(got.find("[instance] id: expected lower-case"), std::string::npos) << got;
	EXPECT_NE(got.find("[http] threads: expected a whole number from 1 to 4096"),
		  std::string::npos);
	EXPECT_NE(got.find("[http] listen: expected IPv4-ADDRESS:PORT"), std::string::npos);
	EXPECT_NE(got.find("[routes] p1: expected IPv4-ADDRESS:PORT"), std::string::npos);
	EXPECT_NE(got.find("[platform] url: required, but missing"), std::string::npos);
}

TEST(Settings, RoutesAndDistancesAreLookedUpByName)
{
	static struct settings s;
	struct error err = {};
	std::string text = std::string(minimal) + "[distance]\ncaerdydd = 1500\n"
						  "[routes]\nplatform = 127.0.0.1:99\n";

	ASSERT_EQ(settings_parse(&s, text.c_str(), "x.ini", nullptr, &err), 0) << err.text;
	EXPECT_EQ(settings_distance_us(&s, "abertawe"), 0);
	EXPECT_EQ(settings_distance_us(&s, "caerdydd"), 1500);
	EXPECT_STREQ(settings_route(&s, "platform"), "127.0.0.1:99");
	EXPECT_EQ(settings_route(&s, "b1"), nullptr);
}
