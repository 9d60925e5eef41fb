#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

extern "C" {
#include "ibisgate/state/relay.h"
}

typedef char member_id_t[MEMBER_ID_MAX];

static int fill_ids(member_id_t *ids, int count, int skip = -1)
{
	int n = 0;

	for (int i = 0; i < count; i++) {
		if (i != skip)
			snprintf(ids[n++], MEMBER_ID_MAX, "i%d", i);
	}
	return n;
}

/* Guards against engines without a poller, and against reassigning all when one poller is lost. */
TEST(Relay, EachEngineHasOnePoller)
{
	member_id_t ids[18];
	member_id_t fewer[18];
	std::map<std::string, int> share;
	int n = fill_ids(ids, 18);
	int m = fill_ids(fewer, 18, 5);

	EXPECT_EQ(relay_poller("e", ids, 0), -1);
	for (int e = 0; e < 710; e++) {
		std::string name = "engine-" + std::to_string(e);
		std::string before = ids[relay_poller(name.c_str(), ids, n)];
		std::string after = fewer[relay_poller(name.c_str(), fewer, m)];

		share[before]++;
		if (before != "i5") {
			EXPECT_EQ(before, after)
				<< "only engines of the lost poller are reassigned";
		}
	}
	EXPECT_EQ(share.size(), 18u);
	for (auto &s : share)
		EXPECT_LT(s.second, 80) << s.first << " of 39 on average";
}

/* Guards against relaying in small regions, and against a poller that waits for relayed reports. */
TEST(Relay, SmallRegionsAndPollersPollAtOnce)
{
	struct relay_budget b = {};
	struct relay_view v = { .engines = RELAY_ENGINES_MIN, .report_ms = 9999 };

	EXPECT_EQ(relay_poll_decide(&v, &b, 10000), RELAY_POLL_OWN);
	v.engines++;
	EXPECT_EQ(relay_poll_decide(&v, &b, 10000), RELAY_POLL_NONE);
	v.crash_unconfirmed = true;
	EXPECT_EQ(relay_poll_decide(&v, &b, 10000), RELAY_POLL_EVIDENCE);
	v.is_poller = true;
	EXPECT_EQ(relay_poll_decide(&v, &b, 10000), RELAY_POLL_OWN);
	EXPECT_EQ(b.at_ms, 0) << "none of these polls uses the budget";
}

/* Guards against routing by stale reports, and against all instances polling all engines at once.
 */
TEST(Relay, StaleReportsArePolledWithinTheBudget)
{
	struct relay_budget b = {};
	struct relay_view v = { .engines = 200, .report_ms = 7001, .last_poll_ms = 1 };
	int polls = 0;

	EXPECT_EQ(relay_poll_decide(&v, &b, 10000), RELAY_POLL_NONE);
	EXPECT_EQ(relay_poll_decide(&v, &b, 10001), RELAY_POLL_STALE) << "report is 3 s old";
	v.last_poll_ms = 10001;
	EXPECT_EQ(relay_poll_decide(&v, &b, 12000), RELAY_POLL_NONE) << "polled recently";
	v.report_ms = 12000;
	v.last_poll_ms = 1;
	v.report_unusable = true;
	EXPECT_EQ(relay_poll_decide(&v, &b, 12000), RELAY_POLL_STALE) << "boot id is unknown";
	v = { .engines = 200 };
	for (int64_t now = 20000; now < 30000; now += 50) {
		for (int e = 0; e < 200; e++)
			polls += relay_poll_decide(&v, &b, now) == RELAY_POLL_STALE;
	}
	EXPECT_LE(polls, RELAY_DIRECT_POLLS_PER_S * 11);
	EXPECT_GE(polls, RELAY_DIRECT_POLLS_PER_S * 10);
}
