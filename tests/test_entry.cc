#include "entry_fixture.h"

#include <fstream>
#include <sstream>
#include <thread>

TEST_F(EntryTest, EachKindOfRequestIsServedWithTheEndpointsBytes)
{
	struct harness_process *p = start_all();
	Answer a = ask(p, stream_text("stream/x"));

	EXPECT_EQ(a.status, 200);
	EXPECT_TRUE(a.whole);
	EXPECT_EQ(a.body, events(last_id(), 5));
	EXPECT_EQ(a.field("X-Ibisgate-Request-Id"), last_id());
	EXPECT_NE(a.field("X-Ibisgate-Server-Signature"), "");
	a = ask(p, request_text("order/x"));
	EXPECT_EQ(a.status, 200);
	EXPECT_NE(a.body.find("\"id\":\"" + last_id() + "\""), std::string::npos);
	a = ask(p, request_text("peek/x?y=1", "GET"));
	EXPECT_EQ(a.status, 200);
	EXPECT_EQ(run_count(last_id()), 1);
	a = ask(p, request_text("unknown/x"));
	EXPECT_EQ(a.status, 404);
	EXPECT_EQ(harness_stop(p, 8000), 0);
}

/* Guards against work for a caller that leaves, and against bodies sent in pieces or chunks. */
TEST_F(EntryTest, KeptConnectionsAndChunkedBodies)
{
	struct harness_process *p = start_all();
	Caller c(harness_port(p, "http"), ip(p).c_str());

	for (int i = 0; i < 3; i++) {
		c.send_text(request_text("order/x", "POST", "", std::string(5000, 'b')));
		EXPECT_EQ(c.read_answer().status, 200);
	}
	c.send_text("POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Ibisgate-Request-Id: ch\r\n"
		    "X-Ibisgate-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
	usleep(50000);
	c.send_text("c\r\n0\r\n\r\n");
	EXPECT_EQ(c.read_answer().status, 200);
	EXPECT_EQ(run_count("ch"), 1);
	/* Two requests at once are answered one after the other. */
	std::string first = request_text("order/x");
	std::string first_id = last_id();
	c.send_text(first + request_text("peek/x", "GET"));
	EXPECT_NE(c.read_answer().body.find(first_id), std::string::npos);
	EXPECT_NE(c.read_answer().body.find(last_id()), std::string::npos);
}

/* Guards against requests hidden in another one (UNASKED) and against endless heads and bodies. */
TEST_F(EntryTest, ConflictingFramingAndLimitsAreRefusedBeforeAnythingRuns)
{
	struct harness_process *p = start_all();
	std::string base = "POST /order/x HTTP/1.1\r\nHost: h.example\r\n"
			   "X-Ibisgate-Request-Id: bad\r\nX-Ibisgate-Deadline-Ms: 3000\r\n";

	EXPECT_EQ(ask(p, base + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
				"POST /order/y HTTP/1.1\r\nHost: h.example\r\n"
				"X-Ibisgate-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n")
			  .status,
		  400);
	EXPECT_EQ(ask(p, base + "X-Big: " + std::string(5000, 'x') + "\r\n\r\n").status, 431);
	EXPECT_EQ(ask(p, base + "Content-Length: 200000\r\n\r\n").status, 413);
	/* A head that never ends. */
	Caller slow(harness_port(p, "http"), ip(p).c_str());
	slow.send_text("POST /order/x HTTP/1.1\r\nHost: h.exa");
	EXPECT_EQ(slow.read_answer(3000).status, 408);
	EXPECT_EQ(run_count("bad") + run_count("hidden"), 0);
}

/* Guards against streams that end at an engine's crash, or that join pieces of two runs. */
TEST_F(EntryTest, ResumableStreamGoesOnAtAnotherEngineAfterItsLastWholeEvent)
{
	struct harness_process *p = start_all(4, 0);

	for (const char *fault : { "cut-stream", "skip-event" }) {
		node("", fault, 1);
		Answer a = ask(p, stream_text("stream/x", 6));
		EXPECT_EQ(a.status, 200) << fault;
		EXPECT_TRUE(a.whole) << fault;
		EXPECT_EQ(a.body, events(last_id(), 6)) << fault;
		EXPECT_EQ(run_count(last_id()), 2) << fault;
		node("", "ok");
	}
}

/* Guards against a cut stream that looks complete, and against a second run of what runs once. */
TEST_F(EntryTest, StreamThatMayNotBeResumedIsCutVisibly)
{
	struct harness_process *p = start_all(4, 0);

	node("", "cut-stream");
	Answer a = ask(p, stream_text("once/x", 6));
	EXPECT_EQ(a.status, 200);
	EXPECT_FALSE(a.whole);
	EXPECT_TRUE(a.closed);
	EXPECT_EQ(run_count(last_id()), 1);
}

/* Guards against doubled orders (TWICE) and refusals that are not true (REFUSED). */
TEST_F(EntryTest, OrdersRunAtMostOnceAndRefusalsAreTrue)
{
	struct harness_process *p = start_all();

	for (const char *fault : { "lose-answer", "truncate", "garble" }) {
		node("", fault);
		Answer a = ask(p, request_text("order/x"));
		EXPECT_EQ(a.status, 502) << fault;
		EXPECT_EQ(a.field("Retry-After"), "") << fault;
		EXPECT_EQ(run_count(last_id()), 1) << fault;
	}
	node("", "silent");
	Answer a = ask(p, request_text("order/x"), 6000);
	EXPECT_EQ(a.status, 504);
	EXPECT_EQ(run_count(last_id()), 1);
	/* What an endpoint states not to have run may go to another one, or back to the caller. */
	node("", "ok");
	node("s0", "full");
	for (int i = 0; i < 4; i++) {
		EXPECT_EQ(ask(p, request_text("order/x")).status, 200);
		EXPECT_EQ(run_count(last_id()), 1);
	}
	node("s1", "moved");
	a = ask(p, request_text("order/x"));
	EXPECT_EQ(a.status, 503);
	EXPECT_NE(a.field("Retry-After"), "");
	EXPECT_EQ(run_count(last_id()), 0);
}

/* Guards against answers to other requests on the same connection (MIXED). */
TEST_F(EntryTest, AnswersToOtherRequestsAreDropped)
{
	struct harness_process *p = start_all();

	node("", "extra");
	for (int i = 0; i < 6; i++) {
		Answer a = ask(p, i % 2 ? request_text("order/x") : request_text("peek/x", "GET"));
		EXPECT_EQ(a.status, 200);
		EXPECT_NE(a.body.find("\"id\":\"" + last_id() + "\""), std::string::npos);
	}
}

/* Guards against one bad endpoint that callers of repeatable calls notice. */
TEST_F(EntryTest, IdempotentCallsAreRepeatedElsewhere)
{
	struct harness_process *p = start_all();

	for (const char *fault :
	     { "lose-answer", "truncate", "garble", "silent", "error", "full", "moved" }) {
		node("", fault, 1);
		Answer a = ask(p, request_text("peek/x", "GET"));
		EXPECT_EQ(a.status, 200) << fault;
		EXPECT_NE(a.body.find("\"id\":\"" + last_id() + "\""), std::string::npos);
		usleep(200000);
	}
	/* With both failing, the endpoint's own answer is passed on. */
	node("", "error");
	Answer a = ask(p, request_text("peek/x", "GET"));
	EXPECT_EQ(a.status, 500);
	EXPECT_NE(a.field("X-Ibisgate-Server-Signature"), "");
	EXPECT_LE(run_count(last_id()), 2);
}

/*
 * Load: everything is rejected and callers come again at once. Guards against a service that gets
 * more repeated sends than it allows (BUDGET).
 */
TEST_F(EntryTest, RejectedRequestsAreNotSentWithoutLimit)
{
	struct harness_process *p = start_all(4, 2, 2);
	int arrivals_before = 0;

	node("s0", "error");
	node("s1", "error");
	for (int i = 0; i < 200; i++)
		ask(p, request_text("peek/x", "GET"));
	for (const Run &r : runs())
		arrivals_before += r.work == "call";
	/* This instance's part: a fifth of its requests and half of the fixed 58. */
	EXPECT_LE(arrivals_before, 200 + 40 + 29);
	EXPECT_GT(arrivals_before, 205);
}

/* Guards against engines that go on for callers who have left (GONE). */
TEST_F(EntryTest, EngineStopsSoonAfterTheCallerHasLeft)
{
	struct harness_process *p = start_all(2, 0);
	Caller c(harness_port(p, "http"), ip(p).c_str());

	grid->tell("/node", "{\"id\":\"\",\"event_ms\":20}");
	c.send_text(stream_text("stream/x", 500));
	ASSERT_TRUE(c.wait_for("id: 3\n"));
	c.leave();
	EXPECT_TRUE(eventually(
		[&] {
			auto r = runs(last_id());
			return r.size() == 1 && r[0].cancelled;
		},
		500));
}

/* Guards against answers that come later than the operator wants callers to wait (CONFIG). */
TEST_F(EntryTest, TimeOutOfTheRuleIsAnsweredAtOnce)
{
	struct harness_process *p = start_all(2, 0);

	node("", "silent");
	int64_t begun = clock_boot_ms();
	EXPECT_EQ(ask(p, stream_text("brief/x")).status, 504);
	EXPECT_LT(clock_boot_ms() - begun, 800);
	EXPECT_GE(clock_boot_ms() - begun, 390);
}

/* Guards against new work for endpoints that leave (DRAIN). */
TEST_F(EntryTest, LeavingEndpointsGetNothingNew)
{
	struct harness_process *p = start_all(4, 2, 2);

	node_state("s0", "draining");
	node_state("s1", "gone");
	usleep(800000);
	EXPECT_EQ(ask(p, request_text("order/x")).status, 503);
	node_state("s1", "ready");
	EXPECT_TRUE(
		eventually([&] { return ask(p, request_text("order/x")).status == 200; }, 2000));
	for (int i = 0; i < 5; i++) {
		ask(p, request_text("order/x"));
		for (const Run &r : runs(last_id()))
			EXPECT_EQ(r.node, "s1");
	}
}

/* Guards against old or unreadable configurations that come into force (CONFIG). */
TEST_F(EntryTest, NewestConfigurationIsInForceAndNeverAnOlderOne)
{
	struct harness_process *p = start_all();

	put_config(config(5, rule("fresh", "idempotent", "orders", 2, false)));
	EXPECT_TRUE(eventually([&] { return ask(p, request_text("fresh/x", "GET")).status == 200; },
			       2000));
	put_config(config(4));
	put_config("\"{ not a configuration\"");
	usleep(500000);
	EXPECT_EQ(ask(p, request_text("fresh/x", "GET")).status, 200);
	put_config(config(6));
	EXPECT_TRUE(eventually([&] { return ask(p, request_text("fresh/x", "GET")).status == 404; },
			       2000));
}

/* Guards against a new instance that answers 404 before it knows what the operator allows. */
TEST_F(EntryTest, WithoutConfigurationItIsNotReadyAndRefusesAsNotRun)
{
	start_grid();
	struct harness_process *p = start_instance();

	EXPECT_EQ(ready_status(p), 503);
	Answer a = ask(p, request_text("order/x"));
	EXPECT_EQ(a.status, 503);
	EXPECT_NE(a.field("Retry-After"), "");
	put_config(config(1));
	EXPECT_TRUE(eventually([&] { return ready_status(p) == 200; }, 3000));
	EXPECT_EQ(ask(p, request_text("order/x")).status, 200);
}

/*
 * Guards against refusals in the moment between the start of an instance and the first answers of
 * the store, here 80 ms: a caller would come back after half a second.
 */
TEST_F(EntryTest, CallersWaitForAnInstanceThatIsJustStarting)
{
	start_grid();
	put_config(config(1));
	Standin proxy("ibisgate-faultproxy",
		      { "--route", "store=127.0.0.1:" + std::to_string(grid->route("store")) });
	proxy.tell("/faults", "{\"route\":\"store\",\"delay_ms\":40}");
	store_port = proxy.route("store");
	struct harness_process *p = start_instance();

	EXPECT_EQ(ask(p, request_text("order/x")).status, 200);
	EXPECT_TRUE(ask(p, stream_text("stream/x")).whole);
}

/*
 * Guards against a data centre with engines enough that uses those of another one, and against one
 * whose engines are gone that refuses while others could serve.
 */
TEST_F(EntryTest, NearEnginesAreUsedFirstAndOthersWhenTheyAreGone)
{
	more_settings = "[place]\nnear-engines = 2\nnear-instances = 1\n";
	struct harness_process *p = start_all(4, 0);

	/* Engines e0 and e2 are in the data centre of the instance, which it sees within a tick. */
	node("e0", "full", -1);
	node("e2", "full", -1);
	usleep(400000);
	EXPECT_TRUE(eventually([&] { return ask(p, stream_text("stream/x")).whole; }, 3000));
	/* Now another data centre keeps the parts; near engines read them all the same. */
	node("e0", "ok");
	node("e2", "ok");
	usleep(400000);
	size_t before = runs().size();
	for (int i = 0; i < 12; i++)
		EXPECT_TRUE(ask(p, stream_text("stream/x")).whole);
	std::vector<Run> all = runs();
	ASSERT_GT(all.size(), before);
	for (size_t i = before; i < all.size(); i++)
		EXPECT_TRUE(all[i].node == "e0" || all[i].node == "e2") << all[i].node;
}

/*
 * Guards against a data centre that stays without an engine that generates while the lease of a
 * holder that died long ago is waited for (darnau-gw, inc-e179: it was cut off meanwhile).
 */
TEST_F(EntryTest, LostDecodeEngineIsReplacedAtOnceAfterTheHolderDied)
{
	start_grid(4, 2, 1);
	put_config(config(1));
	grid->tell("/row", "{\"table\":\"ibisgate\",\"key\":\"stages\",\"value\":{\"holder\":"
			   "\"a-9\",\"incarnation\":1,\"token\":\"t\"}}");
	struct harness_process *p = start_instance(0, 0.5);
	auto ordered = [&] {
		for (const Run &r : runs()) {
			if (r.work == "order")
				return true;
		}
		return false;
	};

	ASSERT_TRUE(eventually([&] { return ask(p, stream_text("stream/x")).whole; }, 5000));
	/* The term of the dead holder passes while nothing is to change: 6 s and the pause. */
	std::this_thread::sleep_for(std::chrono::milliseconds(9500));
	EXPECT_FALSE(ordered());
	/* Of e1 and e3 in the second data centre, only e3 generates. */
	node_state("e3", "gone");
	EXPECT_TRUE(eventually(ordered, 3000));
}

/* Guards against one unreadable entry that hides the others. */
TEST_F(EntryTest, UnreadableEntriesAreIgnored)
{
	struct harness_process *p = start_all();

	grid->tell("/row", "{\"table\":\"servers\",\"key\":\"ghost\",\"value\":\"{{{\"}");
	grid->tell("/row", "{\"table\":\"servers\",\"key\":\"ghost2\",\"value\":{\"service\":7}}");
	usleep(400000);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(ask(p, request_text("order/x")).status, 200);
	EXPECT_EQ(ready_status(p), 200);
}

/* Guards against an outage of the store that callers notice. */
TEST_F(EntryTest, ServesThroughAnOutageAndLapsedEntries)
{
	struct harness_process *p = start_all();

	for (const char *mode : { "reset", "busy" }) {
		store(mode);
		/* The entries lapse while nobody can read or write. */
		for (const char *id : { "s0", "s1", "e0", "e1", "e2", "e3" })
			node_state(id, "gone");
		usleep(600000);
		EXPECT_EQ(ask(p, request_text("order/x")).status, 200) << mode;
		EXPECT_EQ(ready_status(p), 200);
		store("up");
		usleep(1200000);
		EXPECT_EQ(ask(p, request_text("order/x")).status, 200) << mode;
		EXPECT_EQ(ask(p, stream_text("stream/x")).status, 200) << mode;
		for (const char *id : { "s0", "s1", "e0", "e1", "e2", "e3" })
			node_state(id, "ready");
		usleep(2500000);
		EXPECT_EQ(ask(p, stream_text("stream/x")).status, 200) << mode;
	}
	/* What is still missing some seconds after the outage is gone. */
	store("reset");
	node_state("s0", "gone");
	node_state("s1", "gone");
	usleep(500000);
	store("up");
	EXPECT_TRUE(
		eventually([&] { return ask(p, request_text("order/x")).status == 503; }, 6000));
}

/* Guards against changes that are missed when the store drops its history. */
TEST_F(EntryTest, LostHistoryIsReadAgain)
{
	struct harness_process *p = start_all();

	store("reset");
	usleep(300000);
	put_config(config(9, rule("fresh", "idempotent", "orders", 2, false)));
	grid->tell("/store", "{\"mode\":\"up\",\"compact\":true}");
	EXPECT_TRUE(eventually([&] { return ask(p, request_text("fresh/x", "GET")).status == 200; },
			       4000));
}

/*
 * Guards against a wait for changes that outlives its connection: the way to the store falls silent
 * for a moment while TCP stays alive, and what was open then delivers nothing any more.
 */
TEST_F(EntryTest, SilentConnectionToTheStoreIsGivenUpSoon)
{
	start_grid();
	put_config(config(1));
	Standin proxy("ibisgate-faultproxy", {});
	store_port = proxied_store(proxy);
	struct harness_process *p = start_instance();
	ASSERT_TRUE(eventually([&] { return ready_status(p) == 200; }, 5000));
	sleep(1);
	proxy.tell("/faults", "{\"route\":\"store\",\"mode\":\"silent\"}");
	/* What the store says of these changes is lost on the way. */
	put_config(config(2, rule("fresh", "idempotent", "orders", 2, false)));
	node_state("s0", "draining");
	node_state("s1", "draining");
	usleep(300000);
	proxy.tell("/faults", "{\"route\":\"store\",\"mode\":\"pass\"}");
	/* The platform allows 3 s for the fault to settle and 2 s for the change. */
	EXPECT_TRUE(eventually([&] { return ask(p, request_text("fresh/x", "GET")).status == 503; },
			       5000));
	EXPECT_EQ(ask(p, request_text("order/x")).status, 503);
}

/*
 * Load: a large deployment, where waits for changes are long. Guards against an instance that
 * does not notice a change that the others have seen, since its wait has gone silent.
 */
TEST_F(EntryTest, ChangesThatOthersHaveSeenAreAskedForAgain)
{
	start_grid();
	put_config(config(1));
	struct harness_process *a = start_instance(0);
	Standin proxy("ibisgate-faultproxy", {});
	store_port = proxied_store(proxy);
	struct harness_process *b = start_instance(1);
	for (struct harness_process *p : { a, b })
		ASSERT_TRUE(eventually([&] { return ready_status(p) == 200; }, 5000));
	sleep(2);
	proxy.tell("/faults", "{\"route\":\"store\",\"mode\":\"silent\"}");
	put_config(config(2, rule("fresh", "idempotent", "orders", 2, false)));
	node_state("s0", "gone");
	node_state("s1", "draining");
	usleep(200000);
	proxy.tell("/faults", "{\"route\":\"store\",\"mode\":\"pass\"}");
	/* The platform's time for a change in force; the wait itself would last 3 s. */
	EXPECT_TRUE(eventually([&] { return ask(b, request_text("fresh/x", "GET")).status == 503; },
			       2000));
}

/* Guards against requests that a planned stop cuts off (LOST), and against a slow stop. */
TEST_F(EntryTest, StopFinishesWhatRunsAndTakesNoMore)
{
	struct harness_process *p = start_all(2, 0);
	Caller running(harness_port(p, "http"), ip(p).c_str());
	Caller kept(harness_port(p, "http"), ip(p).c_str());

	grid->tell("/node", "{\"id\":\"\",\"event_ms\":20}");
	kept.send_text(request_text("order/x"));
	EXPECT_EQ(kept.read_answer().status, 200);
	running.send_text(stream_text("stream/x", 60));
	std::string id = last_id();
	ASSERT_TRUE(running.wait_for("id: 2\n"));
	harness_signal(p, SIGTERM);
	EXPECT_TRUE(eventually([&] { return ready_status(p) == 503; }, 300));
	/* Callers that have not noticed yet are still served, and told to go. */
	Answer a = ask(p, request_text("order/x"));
	EXPECT_EQ(a.status, 200);
	EXPECT_EQ(a.field("Connection"), "close");
	a = running.read_answer();
	EXPECT_TRUE(a.whole);
	EXPECT_EQ(a.body, events(id, 60));
	EXPECT_EQ(harness_wait(p, 6000), 0);
	EXPECT_EQ(WEXITSTATUS(p->status), 0);
	/* The kept connection was closed without a request on it. */
	EXPECT_TRUE(kept.read_answer(500).closed);
}

/*
 * Load: more prompts than the engines that prefill can read. Guards against orders of two holders,
 * and orders without the engine's own count (ONE).
 */
TEST_F(EntryTest, OneInstanceOrdersStagesUnderOneLease)
{
	start_grid(6, 1);
	put_config(config(1));
	struct harness_process *a = start_instance(0, 0.5);
	struct harness_process *b = start_instance(1, 0.5);
	std::map<std::string, int> holders;
	int orders = 0;

	ASSERT_TRUE(eventually(
		[&] {
			orders = 0;
			for (const Run &r : runs())
				orders += r.work == "order";
			return orders >= 2;
		},
		12000));
	usleep(1500000);
	orders = 0;
	for (const Run &r : runs()) {
		if (r.work != "order" && r.work != "order-409")
			continue;
		EXPECT_EQ(r.work, "order") << r.detail;
		EXPECT_EQ(r.detail.rfind("prefill ", 0), 0u);
		holders[r.detail.substr(8)]++;
		orders++;
	}
	EXPECT_EQ(orders, 2);
	EXPECT_EQ(holders.size(), 1u);
	EXPECT_EQ(harness_stop(a, 8000), 0);
	EXPECT_EQ(harness_stop(b, 8000), 0);
}

/*
 * Load: all instances start again before engines that keep their caches. Guards against an instance
 * that asks a few engines each tick, and takes seconds before hundreds of them.
 */
TEST_F(EntryTest, CachesOfAllEnginesAreKnownSoonAfterAStart)
{
	struct harness_process *p = start_all(28, 14, 2);
	std::string path = std::string(h->dir) + "/a-0.out";
	auto known = [&] {
		std::vector<int64_t> at;
		FILE *f = fopen(path.c_str(), "r");
		char line[1024];
		int hour, minute, second, ms;

		while (f && fgets(line, sizeof(line), f)) {
			if (strstr(line, " cache-known ") &&
			    sscanf(line, "%*10cT%d:%d:%d.%dZ", &hour, &minute, &second, &ms) == 4)
				at.push_back(((hour * 60 + minute) * 60 + second) * 1000 + ms);
		}
		if (f)
			fclose(f);
		return at;
	};

	EXPECT_TRUE(eventually([&] { return known().size() >= 28; }, 5000));
	EXPECT_EQ(ready_status(p), 200);
	/* Six at a time with each tick of 100 ms took 400 ms and more. */
	EXPECT_LT(known().back() - known().front(), 300);
}

/* Guards against instances that don't learn from each other what engines keep. */
TEST_F(EntryTest, PromptKeptForOneInstanceIsFoundByTheOther)
{
	start_grid(6, 0);
	put_config(config(1));
	struct harness_process *a = start_instance(0);
	struct harness_process *b = start_instance(1);
	std::string fields = "X-Ibisgate-Model: m\r\nX-Ibisgate-Token-Count: 9250,3\r\n"
			     "X-Ibisgate-Prefix-Hash: dd:9000,ee:250\r\n";

	ASSERT_TRUE(
		eventually([&] { return ready_status(a) == 200 && ready_status(b) == 200; }, 5000));
	usleep(1500000);
	EXPECT_EQ(ask(a, request_text("stream/x", "POST", fields)).status, 200);
	std::string home = runs(last_id()).at(0).node;
	usleep(400000);
	EXPECT_EQ(ask(b, request_text("stream/x", "POST", fields)).status, 200);
	EXPECT_EQ(runs(last_id()).at(0).node, home);
	EXPECT_NE(std::string(home), "");
}

/* Guards against a changed settings file that stops or empties a running instance. */
TEST_F(EntryTest, BrokenSettingsFileChangesNothing)
{
	struct harness_process *p = start_all();
	std::string path = std::string(h->dir) + "/a-0.ini";
	auto log_has = [&](const char *text) {
		std::ifstream f(std::string(h->dir) + "/a-0.out");
		std::stringstream s;
		s << f.rdbuf();
		return s.str().find(text) != std::string::npos;
	};

	usleep(20000);
	std::ofstream(path) << "[instance\nid=";
	EXPECT_TRUE(eventually([&] { return log_has(" settings-kept "); }, 3000));
	EXPECT_EQ(ask(p, request_text("order/x")).status, 200);
	usleep(20000);
	std::ofstream(path) << settings_text(0, -1);
	harness_signal(p, SIGHUP);
	EXPECT_TRUE(eventually([&] { return log_has(" settings-reloaded "); }, 3000));
	EXPECT_EQ(ask(p, request_text("order/x")).status, 200);
}

/* Guards against an instance that forgets its deadlines while its machine stands still. */
TEST_F(EntryTest, PausedInstanceAnswersWhatHasExpiredAndGoesOn)
{
	struct harness_process *p = start_all(2, 0);
	Caller c(harness_port(p, "http"), ip(p).c_str());

	node("", "silent");
	c.send_text(stream_text("brief/x"));
	usleep(100000);
	harness_signal(p, SIGSTOP);
	usleep(1200000);
	harness_signal(p, SIGCONT);
	int64_t begun = clock_boot_ms();
	EXPECT_EQ(c.read_answer(2000).status, 504);
	EXPECT_LT(clock_boot_ms() - begun, 500);
	node("", "ok");
	EXPECT_TRUE(eventually([&] { return ask(p, stream_text("stream/x")).whole; }, 3000));
}

/* Guards against a request that takes down one endpoint after the other (BUDGET). */
TEST_F(EntryTest, RequestThatWasRunningAtThreeCrashesIsRefusedByAllInstances)
{
	start_grid(2, 1, 4);
	put_config(config(1));
	struct harness_process *a = start_instance(0);
	struct harness_process *b = start_instance(1);
	auto crash = [&] {
		Answer got = ask(a, request_text("order/x", "POST", "", "poison"));
		auto r = runs(last_id());

		EXPECT_EQ(got.status, 502);
		ASSERT_EQ(r.size(), 1u);
		node_state(r[0].node, "gone");
		usleep(700000);
	};

	ASSERT_TRUE(
		eventually([&] { return ready_status(a) == 200 && ready_status(b) == 200; }, 5000));
	usleep(1200000);
	node("", "lose-answer");
	for (int i = 0; i < 3; i++)
		crash();
	node("", "ok");
	for (struct harness_process *p : { a, b }) {
		EXPECT_EQ(ask(p, request_text("order/x", "POST", "", "poison")).status, 503);
		EXPECT_EQ(run_count(last_id()), 0);
		EXPECT_EQ(ask(p, request_text("order/x", "POST", "", "innocent")).status, 200);
	}
}

/*
 * Load: a large deployment, whose data centres talk through delegates. Guards against what one
 * instance has learned and that never reaches those of another data centre.
 */
TEST_F(EntryTest, DelegatesTellOtherDataCentresOfRequestsThatCrashEndpoints)
{
	data_centres = 2;
	more_settings = "[place]\nnear-engines = 1\nnear-instances = 2\n";
	start_grid(2, 1, 4);
	put_config(config(1));
	std::vector<struct harness_process *> all;
	for (int i = 0; i < 4; i++)
		all.push_back(start_instance(i));
	for (struct harness_process *p : all)
		ASSERT_TRUE(eventually([&] { return ready_status(p) == 200; }, 5000));
	/* Three endpoints crash one after the other while they run @body, sent through @p. */
	auto crash_three = [&](struct harness_process *p, const std::string &body) {
		node("", "lose-answer");
		for (int i = 0; i < 3; i++) {
			EXPECT_EQ(ask(p, request_text("order/x", "POST", "", body)).status, 502);
			auto r = runs(last_id());
			ASSERT_EQ(r.size(), 1u);
			node_state(r[0].node, "gone");
			usleep(700000);
		}
		node("", "ok");
	};
	auto refuses = [&](struct harness_process *p, const std::string &body) {
		return eventually(
			[&] {
				return ask(p, request_text("order/x", "POST", "", body)).status ==
				       503;
			},
			2000);
	};

	/* Neither of the two instances that are asked is the first of its data centre. */
	sleep(3);
	crash_three(all[2], "poison");
	EXPECT_TRUE(refuses(all[3], "poison"));
	EXPECT_EQ(ask(all[3], request_text("order/x", "POST", "", "innocent")).status, 200);
	/* The delegates die; what the others learn still gets through. */
	for (int i : { 0, 1 }) {
		harness_signal(all[(size_t)i], SIGKILL);
		harness_wait(all[(size_t)i], 2000);
	}
	sleep(5);
	for (const char *id : { "s0", "s1", "s2", "s3" })
		node_state(id, "ready");
	usleep(800000);
	crash_three(all[3], "second");
	EXPECT_TRUE(refuses(all[2], "second"));
}

/*
 * Load: calls that run once, each on a connection of its own. Guards against connections that pile
 * up until the endpoint takes no more (soak seed 9: calls waited seconds for a free one).
 */
TEST_F(EntryTest, FreshConnectionsDoNotPileUpAtAnEndpoint)
{
	struct harness_process *p = start_all(2, 1, 1);

	usleep(1200000);
	for (int i = 0; i < 60; i++)
		ASSERT_EQ(ask(p, request_text("order/x")).status, 200);
	json_t *o = grid->send("GET", "/ports");
	int port = (int)json_get_i64(o, "s0", 0);
	json_decref(o);
	EXPECT_LE(connections_to(p->pid, port), 6);
}

/* Guards against figures that on-call engineers can't read. */
TEST_F(EntryTest, MetricsShowCountersAndHistograms)
{
	struct harness_process *p = start_all();

	ask(p, request_text("order/x"));
	ask(p, stream_text("stream/x"));
	Caller c(harness_port(p, "metrics"), ip(p).c_str());
	c.send_text("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
	Answer a = c.read_answer(1000);
	EXPECT_NE(a.body.find("ibisgate_requests_ok_total{instance=\"a-0\"} 2\n"),
		  std::string::npos);
	EXPECT_NE(a.body.find("ibisgate_call_ms_count{instance=\"a-0\"} 1\n"), std::string::npos);
	EXPECT_NE(a.body.find("ibisgate_first_token_ms_count{instance=\"a-0\"} 1\n"),
		  std::string::npos);
	EXPECT_NE(a.body.find("le=\"+Inf\""), std::string::npos);
}

/* Guards against an instance that can't start while the store is away, though others know all. */
TEST_F(EntryTest, StartsDuringAnOutageWithWhatAnotherInstanceKnows)
{
	struct harness_process *a = start_all();

	store("reset");
	usleep(300000);
	struct harness_process *b = start_instance(1);
	EXPECT_EQ(ready_status(b), 503);
	EXPECT_TRUE(eventually([&] { return ready_status(b) == 200; }, 4000));
	EXPECT_EQ(ask(b, request_text("order/x")).status, 200);
	EXPECT_EQ(ask(b, stream_text("stream/x")).status, 200);
	EXPECT_EQ(ask(b, request_text("unknown/x")).status, 404);
	/* The store's own news go before it. */
	store("up");
	put_config(config(3, rule("fresh", "idempotent", "orders", 2, false)));
	EXPECT_TRUE(eventually([&] { return ask(b, request_text("fresh/x", "GET")).status == 200; },
			       4000));
	/* Each instance notices the store's return by itself. */
	EXPECT_TRUE(eventually([&] { return ask(a, request_text("fresh/x", "GET")).status == 200; },
			       4000));
}
