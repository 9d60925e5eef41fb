#include <csignal>

#include "entry_fixture.h"

/* The store goes away for a moment and comes back from an older copy, in its next era. */
class StoreEra : public EntryTest
{
      protected:
	void start()
	{
		start_grid();
		grid->post_json("/store", "{\"era\":1}");
		put_config(config_json(1));
		instance = start_instance();
		EXPECT_TRUE(eventually([&] { return ready_status(instance) == 200; }, 5000));
		/* What was written so far is older than any copy. */
		usleep(300000);
	}
	Response read_store(const std::string &target)
	{
		Caller c(grid->route_port("store"));

		c.send_text("GET /" + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
		return c.read_response(1000);
	}
	int64_t store_version()
	{
		json_t *o = json_parse(str_from(read_store("rows-get?table=servers").body.c_str()));
		int64_t version = json_get_i64(o, "schemaVersion", -1);

		json_decref(o);
		return version;
	}
	/* Nodes that ran @count calls of the plain service. */
	std::map<std::string, int> serve_calls(int count)
	{
		std::map<std::string, int> nodes;

		for (int i = 0; i < count; i++) {
			EXPECT_EQ(send_request(instance, request_text("peek/x", "GET")).status,
				  200);
			usleep(20000);
			for (const Run &r : runs(last_id()))
				nodes[r.node]++;
		}
		return nodes;
	}

	/* Serves /poke/ in place of /peek/. */
	static std::string next_config()
	{
		std::string text = config_json(2);

		return text.replace(text.find("\"/peek/\""), 8, "\"/poke/\"");
	}
	int peek_status(struct harness_process *p)
	{
		return send_request(p, request_text("peek/x", "GET")).status;
	}

	struct harness_process *instance = nullptr;
};

/* Guards against a stand-in whose drill loses nothing, or more than the rules say. */
TEST_F(StoreEra, DrillGoesBackToTheOlderCopy)
{
	start();
	int64_t version = store_version();
	int64_t copy_ms = clock_boot_ms();
	usleep(50000);
	grid->post_json("/row", "{\"table\":\"own\",\"key\":\"k\",\"value\":\"v\"}");
	for (int i = 0; i < 5; i++)
		set_endpoint_state("s0", "ready");
	set_endpoint_state("s1", "draining");
	ASSERT_EQ(store_version(), version + 7);
	EXPECT_EQ(read_store("rows-get?table=own").field("Store-Era"), "1");

	drill_store(copy_ms);
	/* The two rows of workers are written again, each once; the system's own row is gone. */
	EXPECT_EQ(store_version(), version + 2);
	Response own = read_store("rows-get?table=own");
	EXPECT_EQ(own.field("Store-Era"), "2");
	EXPECT_EQ(own.body.find("\"key\":\"k\""), std::string::npos) << own.body;
	std::string after = std::to_string(version + 7);
	EXPECT_EQ(read_store("rows-feed?table=servers&waitMs=0&after=" + after).status, 410);
	after = std::to_string(version + 1);
	Response feed = read_store("rows-feed?table=servers&waitMs=0&after=" + after);
	EXPECT_EQ(feed.status, 200);
	EXPECT_NE(feed.body.find("\"schemaVersion\":" + std::to_string(version + 2)),
		  std::string::npos)
		<< feed.body;
}

/* Guards against callers who notice a drill in which nothing changes. */
TEST_F(StoreEra, CallsAreServedThroughADrill)
{
	start();
	int64_t copy_ms = clock_boot_ms();
	set_endpoint_state("s0", "ready");
	drill_begin(copy_ms);
	int runs = 0;
	for (const auto &node : serve_calls(60))
		runs += node.second;
	EXPECT_EQ(runs, 60);
	EXPECT_EQ(read_store("rows-get?table=own").field("Store-Era"), "2");
}

/*
 * Guards against a configuration that is never read, because the store gives its version out again
 * before an instance has noticed the drill.
 */
TEST_F(StoreEra, ConfigurationsWrittenJustAfterADrillAreRead)
{
	start();
	int64_t copy_ms = clock_boot_ms();
	/* Its age is counted from when the stand-in gets the call. */
	usleep(300000);
	for (int i = 0; i < 5; i++)
		set_endpoint_state("s0", "ready");
	/* Longer than the wait of a feed, so that the instance knows the last of these versions. */
	usleep(4500000);
	int64_t known = store_version();
	harness_process_signal(instance, SIGSTOP);
	drill_store(copy_ms);
	ASSERT_LT(store_version(), known);
	put_config(next_config());
	while (store_version() < known + 2)
		set_endpoint_state("s1", "ready");
	harness_process_signal(instance, SIGCONT);
	EXPECT_TRUE(eventually([&] { return peek_status(instance) == 404; }, 3000));
	EXPECT_EQ(send_request(instance, request_text("poke/x", "GET")).status, 200);
}

/*
 * Guards against requests for an endpoint that leaves after a drill, in a version that the store
 * had given out before.
 */
TEST_F(StoreEra, EndpointsThatLeaveAfterADrillGetNoMoreCalls)
{
	start();
	int64_t copy_ms = clock_boot_ms();
	for (int i = 0; i < 20; i++)
		set_endpoint_state("s0", "ready");
	usleep(1000000);
	drill_store(copy_ms);
	set_endpoint_state("s0", "draining");
	/* The time in which a change must be known. */
	usleep(4000000);
	std::map<std::string, int> nodes = serve_calls(20);
	EXPECT_EQ(nodes["s0"], 0);
	EXPECT_EQ(nodes["s1"], 20);
}

/* Guards against requests for an endpoint that is gone after a drill. */
TEST_F(StoreEra, EndpointsThatGoAfterADrillGetNoMoreCalls)
{
	start();
	int64_t copy_ms = clock_boot_ms();
	for (int i = 0; i < 20; i++)
		set_endpoint_state("s0", "ready");
	usleep(1000000);
	drill_store(copy_ms);
	set_endpoint_state("s0", "gone");
	usleep(4000000);
	EXPECT_EQ(serve_calls(20)["s0"], 0);
}

/* Guards against requests for an endpoint that went in the lost seconds and is ready in the copy.
 */
TEST_F(StoreEra, EndpointsThatWentInTheLostSecondsStayAway)
{
	start();
	int64_t copy_ms = clock_boot_ms();
	usleep(300000);
	set_endpoint_state("s0", "gone");
	usleep(1000000);
	EXPECT_EQ(serve_calls(4)["s0"], 0);
	drill_begin(copy_ms, 300, 1500);
	/* Until after all was written again. */
	std::map<std::string, int> nodes = serve_calls(120);
	EXPECT_EQ(read_store("rows-get?table=own").field("Store-Era"), "2");
	EXPECT_EQ(nodes["s0"], 0);
	EXPECT_EQ(nodes["s1"], 120);
}

/*
 * Guards against an instance that starts before the operator has written the configuration again,
 * and serves by the one in the copy, though others know better.
 */
TEST_F(StoreEra, InstancesThatStartJustAfterADrillServeByTheNewestConfiguration)
{
	start();
	int64_t copy_ms = clock_boot_ms();
	usleep(300000);
	put_config(next_config());
	ASSERT_TRUE(eventually([&] { return peek_status(instance) == 404; }, 3000));
	drill_begin(copy_ms, 300, 4000);
	usleep(600000);
	struct harness_process *late = start_instance(1);
	EXPECT_TRUE(eventually([&] { return ready_status(late) == 200; }, 2000));
	EXPECT_EQ(peek_status(late), 404);
	EXPECT_EQ(send_request(late, request_text("poke/x", "GET")).status, 200);
}
